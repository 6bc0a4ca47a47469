//! How old the proof is that no newer configuration can be in force elsewhere.
//!
//! Answers the pattern of a daemon that is cut off, frozen or refused by the store while keys are
//! withdrawn: it must stop serving keyed requests before the bound for withdrawn keys has passed.
//!
//! Answers a store that turns away just the daemons that read it for the others, too: those read by
//! themselves in time for the change that nobody told them of.

use std::time::Duration;

use crate::clock::MilliTime;

/// The latest time at which the configuration held here is proven to have been the newest.
///
/// Times must come from a clock that counts suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshnessProof {
    proven_at: Option<MilliTime>,
}

impl FreshnessProof {
    /// Notes that everything written before `at` is known here; older proof changes nothing.
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
    /// let mut evidence = FreshnessProof::default();
    /// evidence.prove(MilliTime(1_000));
    /// assert!(evidence.is_fresh(MilliTime(2_000), Duration::from_secs(3)));
    /// assert!(!evidence.is_fresh(MilliTime(4_000), Duration::from_secs(3)));
    /// ```
    pub fn is_fresh(&self, now: MilliTime, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}

/// The moment up to which a read of the store proves that everything written is known: an answer
/// without records was given only after the whole wait, any other may be as old as its request.
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

/// How a topic is read by the reader of an availability zone and followed by the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadSchedule {
    /// How long a read waits for changes.
    pub changes_wait: Duration,
    /// Time between questions to the reader.
    pub ask_interval: Duration,
    /// How old proof of the reader may become before a daemon reads by itself.
    pub peer_proof_age_max: Duration,
}

impl ReadSchedule {
    /// For the configuration: changes are in force within 2 s, of which a read takes up to 0.3 s. Sound
    /// readers prove their knowledge often enough that nobody else reads.
    pub const CONFIGURATION: ReadSchedule = ReadSchedule {
        changes_wait: Duration::from_millis(1_000),
        ask_interval: Duration::from_millis(400),
        peer_proof_age_max: Duration::from_millis(1_600),
    };
    /// For the list of daemons: they rarely come and go, and each read has a price. Rates need a view
    /// that is younger than 6 s.
    pub const DIRECTORY: ReadSchedule = ReadSchedule {
        changes_wait: Duration::from_millis(4_000),
        ask_interval: Duration::from_millis(700),
        peer_proof_age_max: Duration::from_millis(5_200),
    };

    /// How long a daemon whose proof has this age waits until it asks again; `None` if it is to read
    /// by itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::policy::freshness::ReadSchedule;
    /// let terms = ReadSchedule::CONFIGURATION;
    /// let millis = Duration::from_millis;
    /// assert_eq!(terms.ask_delay(Some(millis(100))), Some(millis(400)));
    /// assert_eq!(terms.ask_delay(Some(millis(1_500))), Some(millis(100)));
    /// assert_eq!(terms.ask_delay(Some(millis(1_600))), None);
    /// assert_eq!(terms.ask_delay(None), None);
    /// ```
    pub fn ask_delay(&self, proof_age: Option<Duration>) -> Option<Duration> {
        let left = self.peer_proof_age_max.saturating_sub(proof_age?);
        (!left.is_zero()).then(|| left.min(self.ask_interval))
    }
}
