//! Freshness proof: how recently the configuration here was proven to be the newest.
//!
//! Handles a daemon that is partitioned, frozen or refused by the store while keys are withdrawn:
//! it must stop serving keyed requests before the bound for withdrawn keys has passed.

use std::time::Duration;

use crate::clock::MilliTime;

/// The latest time at which the configuration held here is proven to have been the newest.
///
/// Times must come from a clock that also runs while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshnessProof {
    proven_at: Option<MilliTime>,
}

impl FreshnessProof {
    /// Records that everything written before `at` has been read here; an older proof is ignored.
    pub fn prove(&mut self, at: MilliTime) {
        self.proven_at = self.proven_at.max(Some(at));
    }

    /// The age of the proof; `None` before the first.
    pub fn age(&self, now: MilliTime) -> Option<Duration> {
        self.proven_at.map(|at| now.since(at))
    }

    /// Whether the proof is younger than `bound`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::freshness::FreshnessProof;
    /// let mut proof = FreshnessProof::default();
    /// proof.prove(MilliTime(1_000));
    /// assert!(proof.is_fresh(MilliTime(2_000), Duration::from_secs(3)));
    /// assert!(!proof.is_fresh(MilliTime(4_000), Duration::from_secs(3)));
    /// ```
    pub fn is_fresh(&self, now: MilliTime, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}

/// The time up to which a read of the store is proven to be complete: an empty answer is given only
/// after the whole wait, any other answer may be as old as its request.
///
/// ```
/// use std::time::Duration;
/// use lentilway::clock::MilliTime;
/// use lentilway::policy::freshness::proven_at;
/// let wait = Duration::from_secs(4);
/// assert_eq!(proven_at(MilliTime(100), true, wait), MilliTime(4_100));
/// assert_eq!(proven_at(MilliTime(100), false, wait), MilliTime(100));
/// ```
pub fn proven_at(asked: MilliTime, is_empty: bool, wait: Duration) -> MilliTime {
    if is_empty { asked + wait } else { asked }
}
