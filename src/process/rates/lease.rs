//! Leases of this daemon: records in flight, and shares that may not be used yet.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::pool::TokenPool;
use super::record::{HoldRecord, ReleasedLevel};
use super::share::ShareId;
use super::share_table::{PriorHolding, ShareEvent};
use crate::clock::MilliTime;
use crate::process::members::InstanceId;

/// Maximum time until an acknowledged append is read back; after it, its shares count as having no
/// record in flight.
const READ_BACK_LIMIT: Duration = Duration::from_secs(3);

/// A share that was taken after its holder's lease lapsed; it is used once the configuration here
/// is as new as the share's lease.
#[derive(Clone, Copy, Debug)]
struct PendingShare {
    share: ShareId,
    lease_end: MilliTime,
}

/// State of this daemon's leases that is not on the share stream.
#[derive(Clone, Debug)]
pub struct LeaseTracker {
    instance: InstanceId,
    sent: HashMap<u64, MilliTime>,
    in_flight: HashMap<ShareId, MilliTime>,
    pending: Vec<PendingShare>,
}

impl LeaseTracker {
    /// A tracker of the leases of `instance`.
    pub fn new(instance: InstanceId) -> Self {
        let (sent, in_flight) = (HashMap::new(), HashMap::new());
        LeaseTracker { instance, sent, in_flight, pending: Vec::new() }
    }

    /// Those of `shares` without a record in flight.
    pub fn not_in_flight(&mut self, shares: Vec<ShareId>, now: MilliTime) -> Vec<ShareId> {
        self.in_flight.retain(|_, at| now.since(*at) < READ_BACK_LIMIT);
        shares.into_iter().filter(|share| !self.in_flight.contains_key(share)).collect()
    }

    /// A record that takes or renews `shares`. The lease starts now, before the record is sent;
    /// `seen` is the offset up to which the share stream was read.
    pub fn hold(
        &mut self,
        shares: Vec<ShareId>,
        term: Duration,
        seen: u64,
        sequence: u64,
        now: MilliTime,
    ) -> HoldRecord {
        self.sent.retain(|_, at| now.since(*at) < term.max(READ_BACK_LIMIT));
        self.sent.insert(sequence, now);
        self.in_flight.extend(shares.iter().map(|share| (*share, now)));
        let term_ms = term.as_millis() as u64;
        HoldRecord { instance: self.instance, sequence, seen, term_ms, shares }
    }

    /// Applies the change of a share.
    pub fn apply(&mut self, event: ShareEvent, pool: &mut TokenPool, now: MilliTime) {
        match event {
            ShareEvent::Lost { share, holder } if holder == self.instance => {
                self.remove(share, pool);
            }
            ShareEvent::Lost { .. } => {}
            ShareEvent::Taken { share, holder, .. } if holder != self.instance => {
                self.remove(share, pool);
            }
            ShareEvent::Taken { share, sequence, term, prior, .. } => {
                if let Some(sent_at) = self.sent.get(&sequence).copied() {
                    self.take(share, sent_at + term, prior, pool, now);
                }
            }
        }
    }

    /// The shares that were taken after a lapse and are not in use yet.
    pub fn pending(&self) -> Vec<ShareId> {
        self.pending.iter().map(|pending| pending.share).collect()
    }

    /// Starts to use `shares`. The organisations in `named` appeared in tickets before the shares
    /// were taken and may have drawn on them, so their buckets start empty.
    pub fn activate(
        &mut self,
        shares: &[ShareId],
        named: &[Arc<str>],
        pool: &mut TokenPool,
        now: MilliTime,
    ) {
        let (ready, remaining) =
            self.pending.iter().partition(|pending| shares.contains(&pending.share));
        self.pending = remaining;
        let ready: Vec<PendingShare> = ready;
        for PendingShare { share, lease_end } in ready {
            let drawn = named.iter().filter(|name| share.covers(name));
            let levels = drawn.map(|name| ReleasedLevel { organisation: name.clone(), micros: 0 });
            pool.held.take_over(share, lease_end, levels.collect(), now);
        }
    }

    fn take(
        &mut self,
        share: ShareId,
        lease_end: MilliTime,
        prior: PriorHolding,
        pool: &mut TokenPool,
        now: MilliTime,
    ) {
        self.in_flight.remove(&share);
        match prior {
            PriorHolding::NeverHeld => pool.held.take_over(share, lease_end, Vec::new(), now),
            PriorHolding::Released(levels) => pool.held.take_over(share, lease_end, levels, now),
            PriorHolding::Lapsed => self.pending.push(PendingShare { share, lease_end }),
            PriorHolding::Renewal => {
                pool.held.renew(share, lease_end);
                let pending = self.pending.iter_mut().filter(|pending| pending.share == share);
                pending.for_each(|pending| pending.lease_end = lease_end);
            }
        }
    }

    fn remove(&mut self, share: ShareId, pool: &mut TokenPool) {
        self.in_flight.remove(&share);
        self.pending.retain(|pending| pending.share != share);
        pool.held.remove(share);
    }
}
