//! The holders of shares, replayed from the share stream.

use std::time::Duration;

use super::record::{HoldRecord, ReleaseRecord, ReleasedLevel, ShareRecord};
use super::share::{SHARE_COUNT, ShareId};
use super::terms::lapse_bound;
use crate::clock::MilliTime;
use crate::process::members::InstanceId;

/// State of one share.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ShareState {
    /// No record was read; the share was never held if the stream was read from its start.
    Unrecorded,
    /// A record whose validity depends on expired records.
    Undetermined { offset: u64, free_at: MilliTime },
    /// Held since the record at `since`, last renewed at `offset`, certainly lapsed at `free_at`.
    Held { holder: InstanceId, since: u64, offset: u64, free_at: MilliTime },
    /// Released by its holder.
    Released { offset: u64, since: MilliTime, levels: Vec<ReleasedLevel> },
}

/// How a share was held before its new holder took it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PriorHolding {
    /// It was never held.
    NeverHeld,
    /// The previous holder released it with these levels; other organisations never drew on it.
    Released(Vec<ReleasedLevel>),
    /// The previous holder's lease lapsed.
    Lapsed,
    /// The same instance held it.
    Renewal,
}

/// Change of one share by a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShareEvent {
    /// The instance holds the share by its append `sequence`.
    Taken {
        /// The share.
        share: ShareId,
        /// The holder.
        holder: InstanceId,
        /// Number of the holder's append.
        sequence: u64,
        /// Duration of the lease, from before the append was sent.
        term: Duration,
        /// How the share was held before.
        prior: PriorHolding,
    },
    /// The instance no longer holds the share.
    Lost {
        /// The share.
        share: ShareId,
        /// The former holder.
        holder: InstanceId,
    },
}

/// The holders of all shares, as of an offset of the stream.
#[derive(Clone, Debug)]
pub struct ShareTable {
    start: u64,
    next: u64,
    unrecorded_free_at: MilliTime,
    longest_term: Duration,
    shares: Vec<ShareState>,
}

impl ShareTable {
    /// A table that is replayed from `start`; leases from earlier records lapse by `now` plus the
    /// bound of the longest term.
    pub fn new(start: u64, now: MilliTime, longest_term: Duration) -> Self {
        let unrecorded_free_at = if start == 0 { now } else { now + lapse_bound(longest_term) };
        let shares = vec![ShareState::Unrecorded; SHARE_COUNT as usize];
        ShareTable { start, next: start, unrecorded_free_at, longest_term, shares }
    }

    /// The offset after the last applied record.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Applies the record at `offset`, read at `now`. Who holds a share depends on the stream
    /// alone.
    pub fn apply(&mut self, offset: u64, body: &[u8], now: MilliTime) -> Vec<ShareEvent> {
        self.next = offset + 1;
        match serde_json::from_slice(body) {
            Ok(ShareRecord::Hold(record)) => {
                let shares = record.shares.clone().into_iter();
                shares.flat_map(|share| self.take(offset, &record, share, now)).collect()
            }
            Ok(ShareRecord::Release(record)) => self.release(offset, record, now),
            // A record of a newer release, or a truncated one, changes no holder.
            Err(_) => Vec::new(),
        }
    }

    /// The holder of a share, until its lease has certainly lapsed.
    pub fn holder(&self, share: ShareId, now: MilliTime) -> Option<InstanceId> {
        match self.shares.get(share.index()?)? {
            ShareState::Held { holder, free_at, .. } if *free_at > now => Some(*holder),
            _ => None,
        }
    }

    /// The time since which no instance can hold the share, if it is free.
    pub fn free_since(&self, share: ShareId, now: MilliTime) -> Option<MilliTime> {
        let since = match self.shares.get(share.index()?)? {
            ShareState::Unrecorded => self.unrecorded_free_at,
            ShareState::Undetermined { free_at, .. } => *free_at,
            ShareState::Held { free_at, .. } => *free_at,
            ShareState::Released { since, .. } => *since,
        };
        (since <= now).then_some(since)
    }

    fn take(
        &mut self,
        offset: u64,
        record: &HoldRecord,
        share: ShareId,
        now: MilliTime,
    ) -> Vec<ShareEvent> {
        let Some(index) = share.index() else { return Vec::new() };
        let free_at = now + lapse_bound(record.term());
        let holder = record.instance;
        let mut since = offset;
        let prior = match &self.shares[index] {
            ShareState::Held { holder: known, since: first, .. } if *known == holder => {
                since = *first;
                PriorHolding::Renewal
            }
            ShareState::Held { offset, .. } if *offset >= record.seen => return Vec::new(),
            ShareState::Released { offset, .. } if *offset >= record.seen => return Vec::new(),
            ShareState::Undetermined { offset, .. } if *offset >= record.seen => return Vec::new(),
            _ if record.seen < self.start => {
                self.shares[index] = ShareState::Undetermined { offset, free_at };
                return Vec::new();
            }
            ShareState::Released { levels, .. } => PriorHolding::Released(levels.clone()),
            ShareState::Unrecorded if self.start == 0 => PriorHolding::NeverHeld,
            _ => PriorHolding::Lapsed,
        };
        let previous = std::mem::replace(
            &mut self.shares[index],
            ShareState::Held { holder, since, offset, free_at },
        );
        let (sequence, term) = (record.sequence, record.term());
        let taken = ShareEvent::Taken { share, holder, sequence, term, prior };
        match previous {
            ShareState::Held { holder: former, .. } if former != holder => {
                vec![ShareEvent::Lost { share, holder: former }, taken]
            }
            _ => vec![taken],
        }
    }

    fn is_history_unknown(&self, index: usize) -> bool {
        match self.shares[index] {
            ShareState::Unrecorded => self.start > 0,
            ShareState::Undetermined { .. } => true,
            _ => false,
        }
    }

    fn release(&mut self, offset: u64, record: ReleaseRecord, now: MilliTime) -> Vec<ShareEvent> {
        let mut events = Vec::new();
        for released in record.shares {
            let Some(index) = released.share.index() else { continue };
            if self.is_history_unknown(index) {
                // Whether the release is valid depends on records that have expired.
                let free_at = now + lapse_bound(self.longest_term);
                self.shares[index] = ShareState::Undetermined { offset, free_at };
                continue;
            }
            let held = matches!(
                &self.shares[index],
                ShareState::Held { holder, since, .. }
                    if *holder == record.instance && *since < record.seen
            );
            if held {
                let levels = released.levels;
                self.shares[index] = ShareState::Released { offset, since: now, levels };
                let (share, holder) = (released.share, record.instance);
                events.push(ShareEvent::Lost { share, holder });
            }
        }
        events
    }
}
