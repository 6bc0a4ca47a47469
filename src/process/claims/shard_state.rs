//! What a shard's stream says, folded record by record.

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

/// Claims that a daemon remembers over all its shards; the oldest are forgotten first.
pub const RETAINED_LIMIT: usize = 300_000;

/// How much later than a record's stamp a key in an earlier record may have been issued.
const ISSUE_MARGIN: Duration =
    Duration::from_secs(ISSUE_LEAD_LIMIT.as_secs() + CLOCK_SKEW_LIMIT.as_secs());
/// After this long no daemon accepts a key whose claim has this age.
const MEMORY_SPAN: Duration = Duration::from_secs(
    KEY_LIFETIME.as_secs() + ISSUE_LEAD_LIMIT.as_secs() + 2 * CLOCK_SKEW_LIMIT.as_secs(),
);

/// Who holds a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The attempt that may run the request.
    pub attempt: RunAttempt,
    /// The short digest of its request.
    pub digest: u64,
    /// How it ended, if it said so on the stream.
    pub ending: Option<RunEnding>,
}

/// What a shard says of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimVerdict {
    /// The claim is first on the stream: its attempt may run, once.
    Won,
    /// Another attempt's claim was first.
    Held(ClaimHolder),
    /// The key is older than its life.
    Expired,
    /// Records that may hold the key are gone.
    Unproven,
    /// The log did not confirm the claim.
    Unavailable,
}

impl ClaimVerdict {
    /// Whether no other daemon need be asked.
    pub fn is_decided(&self) -> bool {
        *self != ClaimVerdict::Unavailable
    }
}

/// A holder as it is remembered: there may be many of one claimant.
#[derive(Clone, Debug)]
struct KeyState {
    offset: u64,
    number: u64,
    digest: u64,
    claimant: Arc<InstanceId>,
    ending: Option<RunEnding>,
}

impl KeyState {
    fn is(&self, attempt: &RunAttempt) -> bool {
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
struct FoldedBatch {
    offset: u64,
    stamp: MilliTime,
    keys: Vec<KeyHash>,
    released: Vec<u64>,
}

/// Counts remembered claims over all shards of a daemon.
pub type RetainedCount = Arc<AtomicUsize>;

/// The folded stream of one shard.
#[derive(Debug)]
pub struct ShardState {
    next_offset: u64,
    keys: HashMap<KeyHash, KeyState>,
    claimants: ClaimantPool,
    /// Numbers of attempts that will never run; a claim of theirs that lands later is void.
    released: HashSet<u64>,
    batches: VecDeque<FoldedBatch>,
    /// Records before this offset were not read.
    blind_before: u64,
    /// Whether no record since `blind_before` bounds the age of what was not read.
    blind_unbounded: bool,
    /// Unknown keys issued at or before this time may stand in records that were not read.
    blind_until: MilliTime,
    /// Unknown keys issued at or before this time may have been forgotten.
    forgotten_until: MilliTime,
    remembered: RetainedCount,
    limit: usize,
}

impl ShardState {
    /// An empty state at the start of the stream.
    pub fn new(remembered: RetainedCount, limit: usize) -> Self {
        ShardState {
            next_offset: 0,
            keys: HashMap::new(),
            claimants: ClaimantPool::default(),
            released: HashSet::new(),
            batches: VecDeque::new(),
            blind_before: 0,
            blind_unbounded: false,
            blind_until: MilliTime::default(),
            forgotten_until: MilliTime::default(),
            remembered,
            limit,
        }
    }

    /// The offset of the next record to fold.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Claims remembered now.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Skips to `earliest`: the records before it are gone as of the wall time `now`.
    pub fn skip_gap(&mut self, earliest: u64, now: MilliTime) {
        self.next_offset = self.next_offset.max(earliest);
        self.blind_before = self.next_offset;
        self.blind_unbounded = true;
        self.blind_until = now + ISSUE_MARGIN;
    }

    /// Folds the record at `offset`, which must be the next one.
    ///
    /// # Errors
    /// What is wrong with the record; it then counts as not read.
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

    /// Folds a batch whose offset is known to be the next one.
    pub fn apply_batch(&mut self, offset: u64, batch: ClaimBatch) {
        self.next_offset = offset + 1;
        self.bound_blindness(&batch);
        let mut keys = Vec::with_capacity(batch.claims.len());
        for claim in &batch.claims {
            let Some(attempt) = batch.attempt(claim.claimant, claim.attempt) else { continue };
            if self.take(claim.key, offset, attempt, claim.digest) {
                keys.push(claim.key);
            }
        }
        let mut released = Vec::new();
        for end in &batch.ends {
            let Some(attempt) = batch.attempt(end.claimant, end.attempt) else { continue };
            self.end(end.key, &attempt, end.ending);
            if end.ending == RunEnding::NotRun && self.released.insert(end.attempt) {
                self.remembered.fetch_add(1, Ordering::AcqRel);
                released.push(end.attempt);
            }
        }
        if !keys.is_empty() || !released.is_empty() {
            self.batches.push_back(FoldedBatch { offset, stamp: batch.stamp, keys, released });
        }
        self.forget_over_limit();
    }

    /// A writer that had read past the missing records stamped its batch after they were written.
    fn bound_blindness(&mut self, batch: &ClaimBatch) {
        if self.blind_unbounded && batch.base >= self.blind_before {
            self.blind_unbounded = false;
            self.blind_until = self.blind_until.min(batch.stamp + ISSUE_MARGIN);
        }
    }

    fn take(&mut self, key: KeyHash, offset: u64, attempt: RunAttempt, digest: u64) -> bool {
        let held = self.keys.get(&key).is_some_and(|known| !known.is_released());
        if held || self.released.contains(&attempt.number) {
            return false;
        }
        let claimant = self.claimants.intern(attempt.instance);
        let number = attempt.number;
        let state = KeyState { offset, number, digest, claimant, ending: None };
        if self.keys.insert(key, state).is_none() {
            self.remembered.fetch_add(1, Ordering::AcqRel);
        }
        true
    }

    fn end(&mut self, key: KeyHash, attempt: &RunAttempt, ending: RunEnding) {
        if let Some(known) = self.keys.get_mut(&key).filter(|known| known.is(attempt)) {
            known.ending.get_or_insert(ending);
        }
    }

    /// What the stream says of a claim, or nothing if the claim is not on it and may be appended.
    pub fn verdict(
        &self,
        key: KeyHash,
        attempt: &RunAttempt,
        issued: MilliTime,
    ) -> Option<ClaimVerdict> {
        let provable = issued > self.blind_until.max(self.forgotten_until);
        if self.released.contains(&attempt.number) {
            return Some(ClaimVerdict::Unavailable);
        }
        match self.keys.get(&key) {
            Some(known) if known.is(attempt) => Some(match known.ending {
                Some(_) => ClaimVerdict::Unavailable,
                None if provable => ClaimVerdict::Won,
                None => ClaimVerdict::Unproven,
            }),
            Some(known) if !known.is_released() => Some(ClaimVerdict::Held(known.holder())),
            // Unknown or released: free, unless records that were not read may hold another claim.
            _ => (!provable).then_some(ClaimVerdict::Unproven),
        }
    }

    /// Whether the end of an attempt changes anything.
    pub fn changes_state(&self, key: KeyHash, attempt: &RunAttempt, ending: RunEnding) -> bool {
        match ending {
            RunEnding::NotRun => !self.released.contains(&attempt.number),
            RunEnding::Ran => {
                let known = self.keys.get(&key);
                known.is_some_and(|known| known.is(attempt) && known.ending.is_none())
            }
        }
    }

    /// Forgets claims whose keys no daemon accepts any more at the wall time `now`.
    pub fn evict_expired(&mut self, now: MilliTime) {
        while self.batches.front().is_some_and(|batch| batch.stamp + MEMORY_SPAN < now) {
            self.forget_first();
        }
    }

    fn forget_over_limit(&mut self) {
        while self.remembered.load(Ordering::Acquire) > self.limit && self.batches.len() > 1 {
            let stamp = self.forget_first();
            self.forgotten_until = self.forgotten_until.max(stamp + ISSUE_MARGIN);
        }
    }

    fn forget_first(&mut self) -> MilliTime {
        let Some(batch) = self.batches.pop_front() else {
            return MilliTime::default();
        };
        for key in &batch.keys {
            let same = self.keys.get(key).is_some_and(|known| known.offset == batch.offset);
            if same {
                self.keys.remove(key);
                self.remembered.fetch_sub(1, Ordering::AcqRel);
            }
        }
        for number in &batch.released {
            self.released.remove(number);
            self.remembered.fetch_sub(1, Ordering::AcqRel);
        }
        batch.stamp
    }
}

impl Drop for ShardState {
    fn drop(&mut self) {
        let count = self.keys.len() + self.released.len();
        self.remembered.fetch_sub(count, Ordering::AcqRel);
    }
}
