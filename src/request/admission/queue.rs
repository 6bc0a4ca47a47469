//! The queue of calls that wait for a concurrency slot.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::sync::oneshot;

use super::allocator::{CallerGroup, CapacityAllocator};
use super::controller::{AdmissionPermit, ShedCause};
use crate::clock::MilliTime;
use crate::request::fraction::ShedRank;

/// How the wait of a queued call ends.
pub(super) type QueueOutcome = Result<AdmissionPermit, ShedCause>;

/// A queued call.
#[derive(Debug)]
pub(super) struct WaitingCall {
    pub(super) rank: ShedRank,
    pub(super) queued_at: MilliTime,
    pub(super) expires_at: MilliTime,
    pub(super) outcome: oneshot::Sender<QueueOutcome>,
}

/// Queued calls by group, oldest first.
#[derive(Debug, Default)]
pub(super) struct AdmissionQueue {
    groups: HashMap<CallerGroup, VecDeque<WaitingCall>>,
    length: usize,
}

impl AdmissionQueue {
    pub(super) fn len(&self) -> usize {
        self.length
    }

    pub(super) fn push(&mut self, group: CallerGroup, call: WaitingCall) {
        self.groups.entry(group).or_default().push_back(call);
        self.length += 1;
    }

    /// Takes the next call to run, from the highest class and its least served organisation: the
    /// newest call if the group is being shed, otherwise the oldest.
    pub(super) fn pop(
        &mut self,
        allocator: &CapacityAllocator,
    ) -> Option<(CallerGroup, WaitingCall)> {
        let order = |a: &CallerGroup, b: &CallerGroup| {
            let by_service = || allocator.served_rate(b).total_cmp(&allocator.served_rate(a));
            a.class.cmp(&b.class).then_with(by_service)
        };
        let group = self.groups.keys().max_by(|a, b| order(a, b))?.clone();
        let newest = allocator.is_shed(&group);
        let call = self.take(&group, |calls| if newest { calls.len() - 1 } else { 0 })?;
        Some((group, call))
    }

    /// Takes the call to shed, from the lowest class and its organisation with the highest offered
    /// rate: the call of the lowest rank.
    pub(super) fn evict(&mut self, allocator: &CapacityAllocator) -> Option<WaitingCall> {
        let order = |a: &CallerGroup, b: &CallerGroup| {
            let by_load = || allocator.offered_rate(a).total_cmp(&allocator.offered_rate(b));
            b.class.cmp(&a.class).then_with(by_load)
        };
        let group = self.groups.keys().max_by(|a, b| order(a, b))?.clone();
        self.take(&group, |calls| {
            let ranks = calls.iter().enumerate().map(|(index, call)| (call.rank, index));
            ranks.min().map_or(0, |(_, index)| index)
        })
    }

    /// Takes the calls that waited longer than `wait`, in groups that are being shed.
    pub(super) fn take_overdue(
        &mut self,
        allocator: &CapacityAllocator,
        now: MilliTime,
        wait: Duration,
    ) -> Vec<WaitingCall> {
        let mut taken = Vec::new();
        for (_, calls) in self.groups.iter_mut().filter(|(group, _)| allocator.is_shed(group)) {
            let is_overdue = |call: &&WaitingCall| now.since(call.queued_at) > wait;
            while calls.front().filter(is_overdue).is_some() {
                taken.extend(calls.pop_front());
            }
        }
        self.groups.retain(|_, calls| !calls.is_empty());
        self.length -= taken.len();
        taken
    }

    /// Drops calls whose caller cancelled them.
    pub(super) fn drop_abandoned(&mut self) {
        for calls in self.groups.values_mut() {
            calls.retain(|call| !call.outcome.is_closed());
        }
        self.groups.retain(|_, calls| !calls.is_empty());
        self.length = self.groups.values().map(VecDeque::len).sum();
    }

    fn take(
        &mut self,
        group: &CallerGroup,
        index: impl FnOnce(&VecDeque<WaitingCall>) -> usize,
    ) -> Option<WaitingCall> {
        let calls = self.groups.get_mut(group)?;
        let index = index(calls);
        let call = calls.remove(index)?;
        if calls.is_empty() {
            self.groups.remove(group);
        }
        self.length -= 1;
        Some(call)
    }
}
