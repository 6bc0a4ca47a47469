//! The state of a shard: the replay of its stream, record by record.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::claimant_pool::ClaimantPool;
use super::key::{CLOCK_SKEW_LIMIT, ISSUE_LEAD_LIMIT, KEY_LIFETIME, KeyHash};
use super::record::{ClaimBatch, RunAttempt, RunEnding};
use crate::clock::MilliTime;
use crate::process::members::InstanceId;

/// Maximum number of claims that a daemon retains over all its shards; the oldest are evicted
/// first.
pub const RETAINED_LIMIT: usize = 300_000;

/// Maximum amount by which a key's issue time exceeds the stamp of a later record.
const ISSUE_MARGIN: Duration =
    Duration::from_secs(ISSUE_LEAD_LIMIT.as_secs() + CLOCK_SKEW_LIMIT.as_secs());
/// Age of a claim from which on no daemon accepts its key any more.
const RETENTION_TIME: Duration = Duration::from_secs(
    KEY_LIFETIME.as_secs() + ISSUE_LEAD_LIMIT.as_secs() + 2 * CLOCK_SKEW_LIMIT.as_secs(),
);

/// The holder of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The attempt that may run the request.
    pub attempt: RunAttempt,
    /// The short digest of its request.
    pub digest: u64,
    /// How the attempt ended, if the stream has its end.
    pub ending: Option<RunEnding>,
}

/// The decision of a shard's stream on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimVerdict {
    /// The claim is first on the stream: its attempt may run the request once.
    Won,
    /// Another attempt's claim was first.
    Held(ClaimHolder),
    /// The key is older than its lifetime.
    Expired,
    /// Records that may contain the key were not read or were evicted.
    Unproven,
    /// The log did not confirm the claim.
    Unavailable,
}

impl ClaimVerdict {
    /// Whether the verdict is final, so that no other daemon has to be queried.
    pub fn is_decided(&self) -> bool {
        *self != ClaimVerdict::Unavailable
    }
}

/// A retained claim. The claimant is shared, because many claims may have the same one.
#[derive(Clone, Debug)]
struct KeyState {
    offset: u64,
    number: u64,
    digest: u64,
    claimant: Arc<InstanceId>,
    ending: Option<RunEnding>,
}

impl KeyState {
    fn is_held_by(&self, attempt: &RunAttempt) -> bool {
        self.number == attempt.number && *self.claimant == attempt.instance
    }

    fn is_released(&self) -> bool {
        self.ending == Some(RunEnding::NotRun)
    }

    fn holder(&self) -> ClaimHolder {
        let attempt = RunAttempt { instance: *self.claimant, number: self.number };
        ClaimHolder { attempt, digest: self.digest, ending: self.ending }
    }
}

#[derive(Debug)]
struct AppliedBatch {
    offset: u64,
    stamp: MilliTime,
    keys: Vec<KeyHash>,
    released: Vec<u64>,
}

/// Number of retained claims over all shards of a daemon.
pub type RetainedCount = Arc<AtomicUsize>;

/// The replayed state of one shard's stream.
#[derive(Debug)]
pub struct ShardState {
    next_offset: u64,
    keys: HashMap<KeyHash, KeyState>,
    claimants: ClaimantPool,
    /// Numbers of attempts that will never run. A claim by one of them that is appended later is
    /// void.
    released: HashSet<u64>,
    batches: VecDeque<AppliedBatch>,
    /// Some records before this offset were not read.
    unread_before: u64,
    /// Whether no later batch has bounded the age of the unread records yet.
    unread_unbounded: bool,
    /// Unknown keys issued at or before this time may be in unread records.
    unread_until: MilliTime,
    /// Unknown keys issued at or before this time may have been evicted.
    evicted_until: MilliTime,
    retained: RetainedCount,
    limit: usize,
}

impl ShardState {
    /// The empty state at the start of a stream.
    pub fn new(retained: RetainedCount, limit: usize) -> Self {
        ShardState {
            next_offset: 0,
            keys: HashMap::new(),
            claimants: ClaimantPool::default(),
            released: HashSet::new(),
            batches: VecDeque::new(),
            unread_before: 0,
            unread_unbounded: false,
            unread_until: MilliTime::default(),
            evicted_until: MilliTime::default(),
            retained,
            limit,
        }
    }

    /// The offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Number of retained claims.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no claim is retained.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Skips to `earliest`, because the records before it are unreadable or expired at the
    /// wall-clock time `now`.
    pub fn skip_gap(&mut self, earliest: u64, now: MilliTime) {
        self.next_offset = self.next_offset.max(earliest);
        self.unread_before = self.next_offset;
        self.unread_unbounded = true;
        self.unread_until = now + ISSUE_MARGIN;
    }

    /// Applies the record at `offset`, which must be the next one, and returns the batch's id.
    ///
    /// # Errors
    /// The reason why the record could not be decoded; it then counts as unread.
    pub fn apply_record(
        &mut self,
        offset: u64,
        body: &[u8],
        now: MilliTime,
    ) -> Result<u64, String> {
        match ClaimBatch::decode(body) {
            Ok(batch) => {
                let id = batch.id;
                self.apply_batch(offset, batch);
                Ok(id)
            }
            Err(reason) => {
                self.skip_gap(offset + 1, now);
                Err(reason)
            }
        }
    }

    /// Applies a batch whose offset is known to be the next one.
    pub fn apply_batch(&mut self, offset: u64, batch: ClaimBatch) {
        self.next_offset = offset + 1;
        self.bound_unread_age(&batch);
        let mut keys = Vec::with_capacity(batch.claims.len());
        for claim in &batch.claims {
            let Some(attempt) = batch.attempt(claim.claimant, claim.attempt) else { continue };
            if self.grant(claim.key, offset, attempt, claim.digest) {
                keys.push(claim.key);
            }
        }
        let mut released = Vec::new();
        for end in &batch.ends {
            let Some(attempt) = batch.attempt(end.claimant, end.attempt) else { continue };
            self.record_end(end.key, &attempt, end.ending);
            if end.ending == RunEnding::NotRun && self.released.insert(end.attempt) {
                self.retained.fetch_add(1, Ordering::AcqRel);
                released.push(end.attempt);
            }
        }
        if !keys.is_empty() || !released.is_empty() {
            self.batches.push_back(AppliedBatch { offset, stamp: batch.stamp, keys, released });
        }
        self.evict_over_limit();
    }

    /// Limits the age of the unread records: a writer that had read past them stamped its batch
    /// after they were written.
    fn bound_unread_age(&mut self, batch: &ClaimBatch) {
        if self.unread_unbounded && batch.base >= self.unread_before {
            self.unread_unbounded = false;
            self.unread_until = self.unread_until.min(batch.stamp + ISSUE_MARGIN);
        }
    }

    fn grant(&mut self, key: KeyHash, offset: u64, attempt: RunAttempt, digest: u64) -> bool {
        let held = self.keys.get(&key).is_some_and(|known| !known.is_released());
        if held || self.released.contains(&attempt.number) {
            return false;
        }
        let claimant = self.claimants.intern(attempt.instance);
        let number = attempt.number;
        let state = KeyState { offset, number, digest, claimant, ending: None };
        if self.keys.insert(key, state).is_none() {
            self.retained.fetch_add(1, Ordering::AcqRel);
        }
        true
    }

    fn record_end(&mut self, key: KeyHash, attempt: &RunAttempt, ending: RunEnding) {
        if let Some(known) = self.keys.get_mut(&key).filter(|known| known.is_held_by(attempt)) {
            known.ending.get_or_insert(ending);
        }
    }

    /// The stream's decision on a claim, or `None` if the claim is not on it and may be appended.
    pub fn verdict(
        &self,
        key: KeyHash,
        attempt: &RunAttempt,
        issued: MilliTime,
    ) -> Option<ClaimVerdict> {
        let provable = issued > self.unread_until.max(self.evicted_until);
        if self.released.contains(&attempt.number) {
            return Some(ClaimVerdict::Unavailable);
        }
        match self.keys.get(&key) {
            Some(known) if known.is_held_by(attempt) => Some(match known.ending {
                Some(_) => ClaimVerdict::Unavailable,
                None if provable => ClaimVerdict::Won,
                None => ClaimVerdict::Unproven,
            }),
            Some(known) if !known.is_released() => Some(ClaimVerdict::Held(known.holder())),
            // Unknown or released: free, unless an unread record may contain another claim.
            _ => (!provable).then_some(ClaimVerdict::Unproven),
        }
    }

    /// Whether the end of an attempt would change the state.
    pub fn changes_state(&self, key: KeyHash, attempt: &RunAttempt, ending: RunEnding) -> bool {
        match ending {
            RunEnding::NotRun => !self.released.contains(&attempt.number),
            RunEnding::Ran => {
                let known = self.keys.get(&key);
                known.is_some_and(|known| known.is_held_by(attempt) && known.ending.is_none())
            }
        }
    }

    /// Evicts claims whose keys no daemon accepts any more at the wall-clock time `now`.
    pub fn evict_expired(&mut self, now: MilliTime) {
        while self.batches.front().is_some_and(|batch| batch.stamp + RETENTION_TIME < now) {
            self.evict_oldest();
        }
    }

    fn evict_over_limit(&mut self) {
        while self.retained.load(Ordering::Acquire) > self.limit && self.batches.len() > 1 {
            let stamp = self.evict_oldest();
            self.evicted_until = self.evicted_until.max(stamp + ISSUE_MARGIN);
        }
    }

    fn evict_oldest(&mut self) -> MilliTime {
        let Some(batch) = self.batches.pop_front() else {
            return MilliTime::default();
        };
        for key in &batch.keys {
            let is_same_claim =
                self.keys.get(key).is_some_and(|known| known.offset == batch.offset);
            if is_same_claim {
                self.keys.remove(key);
                self.retained.fetch_sub(1, Ordering::AcqRel);
            }
        }
        for number in &batch.released {
            self.released.remove(number);
            self.retained.fetch_sub(1, Ordering::AcqRel);
        }
        batch.stamp
    }
}

impl Drop for ShardState {
    fn drop(&mut self) {
        let count = self.keys.len() + self.released.len();
        self.retained.fetch_sub(count, Ordering::AcqRel);
    }
}
