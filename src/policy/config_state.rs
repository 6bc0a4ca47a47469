//! What a daemon knows of the newest configuration, whatever the order in which it learned it.
//!
//! Handles reads of the store and reports of other daemons that arrive late or across a return of
//! the store from a copy. Versions order the contents, whatever their source; the position in the
//! store only tells from where to read on.
//!
//! Also handles fleets of mixed releases, in which some daemons cannot read the newest version: the
//! last one that they can read stays in force there, and is proven as before.

use std::time::Duration;

use super::freshness::FreshnessProof;
use super::store_position::{StoreEra, StorePosition};
use super::topic_position::TopicPosition;
use crate::clock::MilliTime;

/// A read of the store.
#[derive(Clone, Copy, Debug)]
pub struct ConfigRead {
    /// The position up to which it is complete.
    pub position: StorePosition,
    /// The highest version among its records.
    pub found: Option<u64>,
    /// The time as of which it proves the state, if it does.
    pub proven: Option<MilliTime>,
    /// A version that others know of, without which it proves nothing.
    pub floor: u64,
}

/// What another daemon knows.
#[derive(Clone, Copy, Debug)]
pub struct ConfigClaim {
    /// The newest version that it knows.
    pub version: u64,
    /// The version whose record came with the report.
    pub found: Option<u64>,
    /// The position up to which it knows of no other version.
    pub position: Option<StorePosition>,
    /// The time as of which it has proven its version to be the newest.
    pub proven: Option<MilliTime>,
}

/// What a read or report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// Whether the version that was found is in force from now on.
    pub is_newer: bool,
    /// Whether the state is proven as of the time given.
    pub is_proof: bool,
}

/// The newest version, up to where the store was read, and the freshness proof.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigState {
    version: u64,
    position: TopicPosition,
    /// The version known when the newest era began.
    first_version: u64,
    freshness: FreshnessProof,
    /// The highest version that cannot be read here; 0 if its number cannot be read either.
    rejected: Option<u64>,
}

impl ConfigState {
    /// The version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that a version cannot be read here; `None` if its number cannot be read either.
    pub fn reject(&mut self, version: Option<u64>) {
        self.rejected = self.rejected.max(Some(version.unwrap_or_default()));
    }

    /// Whether `version` is in force here, or an earlier one because it cannot be read here.
    fn accounts_for(&self, version: u64) -> bool {
        self.version >= version || (self.version > 0 && self.rejected >= Some(version))
    }

    /// Whether a proof counts. Where nothing is in force because all that was read is unreadable, it
    /// would keep the daemon from asking others for the last version that can be read.
    fn takes_proof(&self) -> bool {
        self.version > 0 || self.rejected.is_none()
    }

    /// The position from which the store is read on; `None` if only a snapshot leads on.
    pub fn read_position(&self) -> Option<StorePosition> {
        self.position.read_position()
    }

    /// Whether nothing was read or reported yet.
    pub fn is_unknown(&self) -> bool {
        self.version == 0 && self.position.reached().is_none()
    }

    /// The version known when `era` began.
    pub fn first_version(&self, era: StoreEra) -> u64 {
        if self.position.era() == era { self.first_version } else { self.version }
    }

    /// The age of the freshness proof.
    pub fn age(&self, now: MilliTime) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Whether the freshness proof is younger than `bound`.
    pub fn is_fresh(&self, now: MilliTime, bound: Duration) -> bool {
        self.freshness.is_fresh(now, bound)
    }

    /// Records that the store is in `era` or a later one.
    pub fn enter_era(&mut self, era: StoreEra) {
        if era > self.position.era() {
            self.first_version = self.version;
            self.position.enter_era(era);
        }
    }

    /// Records that the store no longer has the records before `first`.
    pub fn refuse_before(&mut self, first: StorePosition) {
        self.enter_era(first.era);
        self.position.refuse_before(first);
    }

    /// Records that the store does not know the position.
    pub fn discard_position(&mut self) {
        self.position.discard();
    }

    /// Records that a snapshot requested after all refusals ends at `end`, before what they named.
    pub fn resume_at(&mut self, end: StorePosition) {
        self.position.resume_at(end);
    }

    /// Merges a read of the store. One that is older than what the store has said before proves
    /// nothing.
    pub fn merge_read(&mut self, read: &ConfigRead) -> ConfigChange {
        self.enter_era(read.position.era);
        let is_newer = self.offer(read.found);
        let is_current = !self.position.is_behind(read.position);
        self.position.reach_by_read(read.position);
        let is_complete = self.takes_proof() && self.accounts_for(read.floor);
        let proven = read.proven.filter(|_| is_current && is_complete);
        if let Some(proven) = proven {
            self.freshness.prove(proven);
        }
        ConfigChange { is_newer, is_proof: proven.is_some() }
    }

    /// Merges what another daemon knows. It counts only once its version is known here, too, be it as
    /// one that cannot be read.
    pub fn merge_claim(&mut self, claim: &ConfigClaim) -> ConfigChange {
        if let Some(position) = claim.position {
            self.enter_era(position.era);
        }
        let is_newer = self.offer(claim.found);
        if !self.accounts_for(claim.version) || !self.takes_proof() {
            return ConfigChange { is_newer, is_proof: false };
        }
        if let Some(position) = claim.position {
            self.position.reach_by_report(position);
        }
        if let Some(proven) = claim.proven {
            self.freshness.prove(proven);
        }
        ConfigChange { is_newer, is_proof: claim.proven.is_some() }
    }

    /// Takes a version over unless a higher one is known.
    fn offer(&mut self, found: Option<u64>) -> bool {
        let is_newer = found.is_some_and(|found| found > self.version);
        self.version = self.version.max(found.unwrap_or_default());
        is_newer
    }
}
