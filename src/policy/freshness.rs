//! Freshness proof: how recently the configuration here was proven to be the newest.
//!
//! Handles a daemon that is partitioned, frozen or refused by the store while keys are withdrawn:
//! it must stop serving keyed requests before the bound for withdrawn keys has passed.
//!
//! Also handles a store that refuses only the daemons that read it for the others: the others then
//! read it themselves, early enough to apply changes that their reader missed.

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

/// Intervals at which a zone's reader reads a topic and the other daemons ask the reader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadSchedule {
    /// How long a read waits for changes.
    pub changes_wait: Duration,
    /// Time between requests to the reader.
    pub ask_interval: Duration,
    /// Age of the reader's proof from which on a daemon reads the store itself.
    pub peer_proof_age_max: Duration,
}

impl ReadSchedule {
    /// For the configuration: changes must be in force within 2 s, of which a read takes up to
    /// 0.3 s. A working reader renews its proof often enough that no other daemon reads.
    pub const CONFIGURATION: ReadSchedule = ReadSchedule {
        changes_wait: Duration::from_millis(1_000),
        ask_interval: Duration::from_millis(400),
        peer_proof_age_max: Duration::from_millis(1_600),
    };
    /// For the list of daemons: it rarely changes, and each read has a cost. Rates need a view
    /// younger than 6 s.
    pub const DIRECTORY: ReadSchedule = ReadSchedule {
        changes_wait: Duration::from_millis(4_000),
        ask_interval: Duration::from_millis(700),
        peer_proof_age_max: Duration::from_millis(5_200),
    };

    /// Time until a daemon whose proof has this age asks the reader again; `None` if it must read
    /// the store itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::policy::freshness::ReadSchedule;
    /// let schedule = ReadSchedule::CONFIGURATION;
    /// let millis = Duration::from_millis;
    /// assert_eq!(schedule.ask_delay(Some(millis(100))), Some(millis(400)));
    /// assert_eq!(schedule.ask_delay(Some(millis(1_500))), Some(millis(100)));
    /// assert_eq!(schedule.ask_delay(Some(millis(1_600))), None);
    /// assert_eq!(schedule.ask_delay(None), None);
    /// ```
    pub fn ask_delay(&self, proof_age: Option<Duration>) -> Option<Duration> {
        let remaining = self.peer_proof_age_max.saturating_sub(proof_age?);
        (!remaining.is_zero()).then(|| remaining.min(self.ask_interval))
    }
}
