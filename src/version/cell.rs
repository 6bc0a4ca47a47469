//! The state in force and the most recent records that were applied to it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::digest::Sha256Digest;
use super::state::{ApplyOutcome, ConfigState};
use crate::process::platform_log::LogRecord;

/// Recent records kept to answer pulls of peers, in bytes.
const RECENT_RECORD_BYTES_MAX: usize = 256 * 1024;

/// Recent offsets whose state digest is kept for comparison with snapshots and peers.
const RECENT_DIGESTS_MAX: usize = 4096;

/// Consecutive records of the ticket stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    /// The first offset that the batch covers.
    pub from: u64,
    /// Offsets and records, in order.
    pub records: Vec<(u64, Bytes)>,
}

impl RecordBatch {
    /// A batch of the records of a log page that was read from `from`.
    pub fn of_page(from: u64, records: Vec<LogRecord>) -> Self {
        let records = records.into_iter().map(|record| (record.offset, record.body));
        RecordBatch { from, records: records.collect() }
    }

    /// The offset after the last record, `from` if the batch is empty.
    pub fn next_offset(&self) -> u64 {
        self.records.last().map_or(self.from, |(offset, _)| offset + 1)
    }

    /// Whether the offsets are strictly ascending and none is below `from`.
    pub fn is_ordered(&self) -> bool {
        let ascending = self.records.is_sorted_by(|a, b| a.0 < b.0);
        let bounded = self.records.iter().all(|(offset, _)| *offset < u64::MAX);
        ascending && bounded && self.records.first().is_none_or(|(offset, _)| *offset >= self.from)
    }
}

/// The result of applying a batch to the state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApplyReport {
    /// The outcome of each applied record, by offset.
    pub outcomes: Vec<(u64, ApplyOutcome)>,
    /// Whether the batch was rejected: it is not ordered or records before it are missing.
    pub gap: bool,
}

#[derive(Debug, Default)]
struct RecentRecords {
    records: VecDeque<(u64, Bytes)>,
    record_bytes: usize,
    /// `records` is complete from this offset on.
    from: u64,
    digests: VecDeque<(u64, Sha256Digest)>,
}

impl RecentRecords {
    fn push(&mut self, offset: u64, body: Bytes, digest: Sha256Digest) {
        self.record_bytes += body.len();
        self.records.push_back((offset, body));
        while self.record_bytes > RECENT_RECORD_BYTES_MAX {
            let Some((offset, body)) = self.records.pop_front() else { break };
            self.record_bytes -= body.len();
            self.from = offset + 1;
        }
        self.push_digest(offset + 1, digest);
    }

    fn push_digest(&mut self, next_offset: u64, digest: Sha256Digest) {
        if self.digests.len() == RECENT_DIGESTS_MAX {
            self.digests.pop_front();
        }
        self.digests.push_back((next_offset, digest));
    }
}

/// The state in force, replaced as a whole and read without locking.
#[derive(Debug)]
pub struct ConfigCell {
    state: ArcSwap<ConfigState>,
    recent: Mutex<RecentRecords>,
    offset: watch::Sender<u64>,
}

impl Default for ConfigCell {
    fn default() -> Self {
        let (state, recent) = (ArcSwap::default(), Mutex::default());
        ConfigCell { state, recent, offset: watch::Sender::new(0) }
    }
}

impl ConfigCell {
    /// The state in force now.
    pub fn current(&self) -> Arc<ConfigState> {
        self.state.load_full()
    }

    /// The offset after the last record in force.
    pub fn next_offset(&self) -> u64 {
        self.state.load().next_offset
    }

    /// Notifies of each change of the offset in force.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.offset.subscribe()
    }

    /// Applies the records of `batch` that are new and puts the result in force.
    pub fn apply_batch(&self, batch: &RecordBatch) -> ApplyReport {
        if batch.next_offset() <= self.next_offset() {
            return ApplyReport::default();
        }
        let mut recent = self.recent.lock().expect("lock not poisoned");
        let current = self.current();
        if batch.from > current.next_offset || !batch.is_ordered() {
            return ApplyReport { gap: true, ..ApplyReport::default() };
        }
        let mut state = ConfigState::clone(&current);
        let mut outcomes = Vec::new();
        let new = batch.records.iter().filter(|(offset, _)| *offset >= current.next_offset);
        for (offset, body) in new {
            outcomes.push((*offset, state.apply_record(*offset, body)));
            recent.push(*offset, body.clone(), state.digest());
        }
        if !outcomes.is_empty() {
            self.publish(state);
        }
        ApplyReport { outcomes, gap: false }
    }

    /// Puts the state of a snapshot in force if its offset is above the current one.
    pub fn install(&self, state: ConfigState) -> bool {
        let mut recent = self.recent.lock().expect("lock not poisoned");
        if state.next_offset <= self.next_offset() {
            return false;
        }
        *recent = RecentRecords { from: state.next_offset, ..RecentRecords::default() };
        recent.push_digest(state.next_offset, state.digest());
        self.publish(state);
        true
    }

    /// The recent records from `from` on, about `limit` bytes; none if some were dropped already.
    pub fn records_from(&self, from: u64, limit: usize) -> Option<RecordBatch> {
        let recent = self.recent.lock().expect("lock not poisoned");
        if from < recent.from {
            return None;
        }
        let mut remaining = limit;
        let kept = recent.records.iter().filter(|(offset, _)| *offset >= from);
        let records = kept.take_while(|(_, body)| {
            let fits = remaining > 0;
            remaining = remaining.saturating_sub(body.len());
            fits
        });
        Some(RecordBatch { from, records: records.cloned().collect() })
    }

    /// The digest of this daemon's state at `next_offset`, if it is still kept.
    pub fn digest_at(&self, next_offset: u64) -> Option<Sha256Digest> {
        let recent = self.recent.lock().expect("lock not poisoned");
        let index = recent.digests.binary_search_by_key(&next_offset, |(next, _)| *next).ok()?;
        Some(recent.digests[index].1)
    }

    /// The caller holds the lock on `recent`, so that offsets never decrease.
    fn publish(&self, state: ConfigState) {
        let next_offset = state.next_offset;
        self.state.store(Arc::new(state));
        self.offset.send_replace(next_offset);
    }
}
