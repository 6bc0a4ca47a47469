//! Evidence about requests that end the backend servers that run them, and what follows from it.
//!
//! Handles a request that ends each server that begins to run it and comes again through its caller,
//! at any daemon, as soon as it has failed. What it has in common with the innocent requests beside
//! it is that all of them ran when a server ended; what tells it apart is that it never ends well.
//!
//! A request that ran at a server when it ended is a suspect until a run of it ends well. It runs
//! next a moment later, so that ends of other servers that run it already are known, at one instance
//! that all daemons agree on, one suspect at a time there. If that instance ends too, it is held
//! back, for longer each time that this happens, and for a shorter time if a run there shows neither:
//! its deadline came, or it failed. One that ran at several servers that ended waits
//! until these are back. Daemons that were told of the same ends and runs decide alike, in whatever
//! order and however often they were told.

use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use super::incarnation::BackendIncarnation;
use super::link_subset::rendezvous_weight;
use super::request_identity::RequestIdentity;
use crate::clock::MilliTime;

/// Requests that a report names: those that began last.
pub const SUSPECTS_MAX: usize = 64;
/// Requests that a ledger knows; the ones with the least and oldest evidence are forgotten first.
const RECORDS_MAX: usize = 4_096;
/// Reports that are remembered, so that one that comes again is recognised.
const REPORTS_MAX: usize = 512;
/// Of a full table, one entry in this many is forgotten at a time.
const FORGOTTEN_PART: usize = 8;
/// A request is a suspect for this long after a server ended that ran it.
pub const SUSPECT_SPAN: Duration = Duration::from_secs(600);
/// A request that ran at several servers that ended, beside others, is held back for this long: servers
/// are back after some seconds.
const REPEATED_HOLD: Duration = Duration::from_secs(4);
/// A request is held back for this long after its first run on probation that ended neither well nor
/// with the server.
const INCONCLUSIVE_HOLD: Duration = Duration::from_secs(4);
/// Factor by which each further one prolongs that hold.
const INCONCLUSIVE_FACTOR: u32 = 4;
/// A suspect runs this long after the end of the server that ran it.
const PROBATION_DELAY: Duration = Duration::from_millis(250);
/// A request is held back for this long after the first server that ended under it on probation.
const FIRST_HOLD: Duration = Duration::from_secs(15);
/// Factor by which each further one prolongs the hold.
const HOLD_FACTOR: u32 = 40;
const HOLD_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// One end of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(u64);

impl CrashId {
    /// The end of an incarnation beside the daemon `instance`.
    ///
    /// ```
    /// use lentilway::policy::crash_ledger::CrashId;
    /// use lentilway::policy::incarnation::BackendIncarnation;
    /// let incarnation = |born| BackendIncarnation { id: "i-1".into(), born };
    /// assert_eq!(CrashId::new("a", &incarnation(1)), CrashId::new("a", &incarnation(1)));
    /// assert_ne!(CrashId::new("a", &incarnation(1)), CrashId::new("a", &incarnation(2)));
    /// ```
    pub fn new(instance: &str, incarnation: &BackendIncarnation) -> Self {
        let mut hasher = Xxh3::new();
        for part in [instance, &incarnation.id] {
            hasher.write_usize(part.len());
            hasher.write(part.as_bytes());
        }
        hasher.write_u64(incarnation.born);
        CrashId(hasher.finish())
    }
}

/// What ran at a backend server when it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Which end.
    pub crash: CrashId,
    /// When, in milliseconds since the Unix epoch.
    pub wall_millis: u64,
    /// The requests that ran there, the last ones first.
    pub running: SmallVec<[RequestIdentity; 8]>,
    /// The one of them that was on probation.
    pub on_probation: Option<RequestIdentity>,
}

/// What a daemon does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStanding {
    /// It runs like any other.
    Clear,
    /// It runs on probation.
    Suspect {
        /// Time until it may.
        delay: Duration,
    },
    /// It does not run for this long.
    Held {
        /// Time until it may run on probation.
        remaining: Duration,
    },
}

/// A request that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldVerdict {
    /// The request.
    pub identity: RequestIdentity,
    /// Servers that ended while it was on probation.
    pub crashes: u32,
    /// For how long it is held.
    pub span: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct SuspectRecord {
    /// When a server that ran it ended last.
    crashed: MilliTime,
    /// Servers that ended while it ran there beside others.
    beside: u32,
    /// Servers that ended while it was on probation.
    crashes: u32,
    /// Runs on probation that ended neither well nor with the server, and the end of the last one.
    inconclusive: u32,
    tried: MilliTime,
    /// Whether a run of it has ended well since.
    is_acquitted: bool,
}

/// What a daemon knows of requests that ran at servers that ended.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    records: HashMap<RequestIdentity, SuspectRecord>,
    /// Known reports, with the time at which each was recorded.
    reports: HashMap<CrashId, MilliTime>,
}

impl CrashLedger {
    /// Records the end of a server, `age` ago. Returns the request that is held back for it; `None`
    /// also for a report that is known or too old.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::crash_ledger::{CrashId, CrashLedger, CrashReport, RequestStanding};
    /// use lentilway::policy::incarnation::BackendIncarnation;
    /// use lentilway::policy::request_identity::RequestIdentity;
    /// let (now, request) = (MilliTime(1_000), RequestIdentity(7));
    /// let server = BackendIncarnation { id: "i-1".into(), born: 1 };
    /// let report = CrashReport {
    ///     crash: CrashId::new("a", &server),
    ///     wall_millis: 0,
    ///     running: [request].into_iter().collect(),
    ///     on_probation: None,
    /// };
    /// let mut ledger = CrashLedger::default();
    /// assert!(ledger.record(now, Duration::ZERO, &report).is_none());
    /// assert!(matches!(ledger.standing(now, request), RequestStanding::Suspect { .. }));
    /// assert!(ledger.acquit(now, request));
    /// assert_eq!(ledger.standing(now, request), RequestStanding::Clear);
    /// ```
    pub fn record(
        &mut self,
        now: MilliTime,
        age: Duration,
        report: &CrashReport,
    ) -> Option<HoldVerdict> {
        if age > SUSPECT_SPAN || self.reports.insert(report.crash, now).is_some() {
            return None;
        }
        if self.reports.len() > REPORTS_MAX {
            forget_least(&mut self.reports, |recorded| *recorded);
        }
        let crashed = now.before(age);
        for identity in report.running.iter().take(SUSPECTS_MAX) {
            let is_beside = report.on_probation != Some(*identity);
            self.suspect(crashed, *identity).beside += u32::from(is_beside);
        }
        let identity = report.on_probation?;
        let record = self.suspect(crashed, identity);
        record.crashes += 1;
        Some(HoldVerdict { identity, crashes: record.crashes, span: hold_span(record.crashes) })
    }

    /// Records that a server ended at `crashed` that ran the request, whichever it was.
    pub fn note_end(&mut self, crashed: MilliTime, identity: RequestIdentity) {
        self.suspect(crashed, identity);
    }

    /// Records that a run of a suspect on probation ended at `now` neither well nor with the server:
    /// its deadline came, it failed, or its caller left.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::crash_ledger::{CrashLedger, RequestStanding};
    /// use lentilway::policy::request_identity::RequestIdentity;
    /// let (now, request) = (MilliTime(1_000), RequestIdentity(7));
    /// let mut ledger = CrashLedger::default();
    /// ledger.note_end(now, request);
    /// ledger.note_inconclusive(now, request);
    /// let remaining = Duration::from_secs(4);
    /// assert_eq!(ledger.standing(now, request), RequestStanding::Held { remaining });
    /// ```
    pub fn note_inconclusive(&mut self, now: MilliTime, identity: RequestIdentity) {
        let record = self.records.get_mut(&identity);
        if let Some(record) = record.filter(|record| !record.is_acquitted) {
            record.inconclusive += 1;
            record.tried = now;
        }
    }

    fn suspect(&mut self, crashed: MilliTime, identity: RequestIdentity) -> &mut SuspectRecord {
        if self.records.len() >= RECORDS_MAX && !self.records.contains_key(&identity) {
            forget_least(&mut self.records, |record| (record.crashes, record.crashed));
        }
        let record = self.records.entry(identity).or_default();
        record.crashed = record.crashed.max(crashed);
        record.is_acquitted = false;
        record
    }

    /// Records that a run of the request ended well. Returns whether that changes its standing.
    pub fn acquit(&mut self, now: MilliTime, identity: RequestIdentity) -> bool {
        let Some(record) = self.records.get_mut(&identity) else {
            return false;
        };
        let is_change = !record.is_acquitted && !record.is_expired(now);
        *record =
            SuspectRecord { crashed: record.crashed, is_acquitted: true, ..Default::default() };
        is_change
    }

    /// What to do with a request.
    pub fn standing(&self, now: MilliTime, identity: RequestIdentity) -> RequestStanding {
        let Some(record) = self.records.get(&identity) else {
            return RequestStanding::Clear;
        };
        let remaining = record.held_until().until(now);
        match record.is_acquitted || record.is_expired(now) {
            true => RequestStanding::Clear,
            false if remaining.is_zero() => {
                let delay = (record.crashed + PROBATION_DELAY).until(now);
                RequestStanding::Suspect { delay }
            }
            false => RequestStanding::Held { remaining },
        }
    }

    /// Whether a run of the request has ended well since the last server ended that ran it.
    pub fn is_acquitted(&self, identity: RequestIdentity) -> bool {
        self.records.get(&identity).is_some_and(|record| record.is_acquitted)
    }

    /// The number of requests that are suspects or held back.
    pub fn suspects(&self, now: MilliTime) -> usize {
        let counts = |record: &&SuspectRecord| !record.is_acquitted && !record.is_expired(now);
        self.records.values().filter(counts).count()
    }
}

impl SuspectRecord {
    fn held_until(&self) -> MilliTime {
        let after_end = match (self.crashes, self.beside) {
            (0, 0 | 1) => self.crashed,
            (0, _) => self.crashed + REPEATED_HOLD,
            (crashes, _) => self.crashed + hold_span(crashes),
        };
        after_end.max(self.tried + inconclusive_span(self.inconclusive))
    }

    fn is_expired(&self, now: MilliTime) -> bool {
        now.since(self.held_until()) > SUSPECT_SPAN
    }
}

/// The time for which a request is held back under which so many servers ended on probation.
///
/// ```
/// use std::time::Duration;
/// use lentilway::policy::crash_ledger::hold_span;
/// assert_eq!(hold_span(1), Duration::from_secs(15));
/// assert_eq!(hold_span(2), Duration::from_secs(600));
/// assert_eq!(hold_span(9), Duration::from_secs(86_400));
/// ```
pub fn hold_span(crashes: u32) -> Duration {
    let factor = HOLD_FACTOR.saturating_pow(crashes.saturating_sub(1));
    FIRST_HOLD.saturating_mul(factor).min(HOLD_MAX)
}

fn inconclusive_span(runs: u32) -> Duration {
    let Some(repeated) = runs.checked_sub(1) else {
        return Duration::ZERO;
    };
    let factor = INCONCLUSIVE_FACTOR.saturating_pow(repeated);
    INCONCLUSIVE_HOLD.saturating_mul(factor).min(HOLD_MAX)
}

/// Forgets an eighth of the entries, those that come first in `order`.
fn forget_least<K: Copy + Eq + std::hash::Hash, V, O: Ord>(
    known: &mut HashMap<K, V>,
    order: impl Fn(&V) -> O,
) {
    let mut keys: Vec<(O, K)> = known.iter().map(|(key, value)| (order(value), *key)).collect();
    let count = keys.len() / FORGOTTEN_PART;
    keys.select_nth_unstable_by(count, |a, b| a.0.cmp(&b.0));
    for (_, key) in &keys[..count] {
        known.remove(key);
    }
}

/// Orders the instances at which a suspect runs on probation: the first one that is up. All daemons
/// that know the same instances agree on the order.
///
/// ```
/// use lentilway::policy::crash_ledger::probation_order;
/// use lentilway::policy::request_identity::RequestIdentity;
/// let order = probation_order(RequestIdentity(7), [1, 2, 3]);
/// assert_eq!(order, probation_order(RequestIdentity(7), [3, 1, 2]));
/// ```
pub fn probation_order(
    identity: RequestIdentity,
    instances: impl IntoIterator<Item = u64>,
) -> Vec<u64> {
    let mut instances: Vec<u64> = instances.into_iter().collect();
    let weight = |key: &u64| std::cmp::Reverse((rendezvous_weight(identity.0, *key), *key));
    instances.sort_unstable_by_key(weight);
    instances
}
