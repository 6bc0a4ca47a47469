//! Chooses the instance that a request is sent to.
//!
//! Handles instances of one service whose speeds differ by more than a factor of two at equal
//! slots, instances that slow down or fail while they report that they are healthy, and
//! availability zones short of capacity: the instance with the lowest expected finish time is
//! chosen. The sender's own availability zone is preferred while that costs little time, since
//! traffic between zones is billed.
//!
//! Also handles many senders that hold equal reports of some age: the random spread of the costs
//! grows with the age of the report and with the load, so that they do not all choose the same
//! instance until the next report.
//!
//! Also handles an instance that was slow for a while: nobody chooses it, so that its service time is
//! not measured again. Few requests try it.
//!
//! Also handles resends while all instances refuse a fraction of their requests: each has a retry
//! budget by the requests that it received, and the resends are spread by these budgets.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::request_rank::RequestRank;

/// Load of a backend server as its daemon reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceLoad {
    /// Requests that may run at a time; 0 while the backend server accepts none.
    pub slots: u32,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Mean service time, in microseconds.
    pub service_micros: u32,
    /// Thousandths of recent runs that failed.
    pub failed_permille: u16,
    /// Demand for the backend server's slots, in thousandths of them.
    pub demand_permille: u32,
    /// Runs that ended, per second.
    pub ended_per_second: u32,
    /// Thousandths of them that the backend server refused to run.
    pub refused_permille: u16,
    /// Thousandths of the retries of entitled roots that the budget had no room for.
    pub retries_denied_permille: u16,
    /// Retries that the budget allows there, in thousandths per second.
    pub retries_permille: u32,
}

/// Smallest change of a demand that is reported at once, in thousandths of the slots.
const DEMAND_CHANGE_PERMILLE: u32 = 200;
/// Demands below this need no report at once.
const DEMAND_NOTABLE_PERMILLE: u32 = 600;
/// Smallest change of the refused fraction that is reported at once, in thousandths.
const REFUSED_CHANGE_PERMILLE: u16 = 100;

impl InstanceLoad {
    /// Whether senders should learn of this load before the next regular report, after `reported`
    /// was sent: entries limit the roots by demand and refusals.
    ///
    /// ```
    /// use lentilway::policy::placement::InstanceLoad;
    /// let load = |demand_permille| InstanceLoad { demand_permille, ..InstanceLoad::default() };
    /// assert!(load(1_400).differs_notably(&load(900)));
    /// assert!(!load(500).differs_notably(&load(100)));
    /// ```
    pub fn differs_notably(&self, reported: &InstanceLoad) -> bool {
        let demand = self.demand_permille.max(reported.demand_permille);
        let demand_change = self.demand_permille.abs_diff(reported.demand_permille);
        let refused_change = self.refused_permille.abs_diff(reported.refused_permille);
        (demand >= DEMAND_NOTABLE_PERMILLE && demand_change >= DEMAND_CHANGE_PERMILLE)
            || refused_change >= REFUSED_CHANGE_PERMILLE
    }
}

/// One instance that may take a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCandidate {
    /// Its last reported load.
    pub load: InstanceLoad,
    /// Requests in flight from this sender.
    pub in_flight: u32,
    /// Those of them that the last report already counts.
    pub in_flight_at_report: u32,
    /// Whether it is in the sender's availability zone.
    pub same_zone: bool,
    /// Thousandths of this sender's recent requests there that failed.
    pub failed_permille: u16,
    /// The age of the last report.
    pub report_age: Duration,
}

/// Time by which another availability zone must be faster to be chosen for a call of a run; short,
/// since the delays of a run's many calls add up.
const CALL_ZONE_PENALTY: Duration = Duration::from_millis(60);
/// The same for a root request, as a fraction of the time until its answer is late.
const ROOT_ZONE_FRACTION: f64 = 0.2;

/// Time by which another availability zone must be faster to be chosen for a request that is late
/// after `remaining`.
///
/// ```
/// use std::time::Duration;
/// use lentilway::policy::placement::zone_penalty;
/// use lentilway::policy::request_rank::RequestRank;
/// let remaining = Duration::from_secs(1);
/// assert_eq!(zone_penalty(RequestRank::root(1), remaining), Duration::from_millis(200));
/// assert!(zone_penalty(RequestRank::call(1), remaining) < Duration::from_millis(200));
/// ```
pub fn zone_penalty(rank: RequestRank, remaining: Duration) -> Duration {
    if rank.is_root { remaining.mul_f64(ROOT_ZONE_FRACTION) } else { CALL_ZONE_PENALTY }
}
/// Penalty at a failure fraction of 1.
const FAILURE_PENALTY: Duration = Duration::from_secs(4);
/// Fraction of the slots above which waiting is expected; backend servers slow down when nearly
/// full.
const BUSY_FRACTION: f64 = 0.85;

/// Relative slowdown of a server from empty to full.
const FULLNESS_WEIGHT: f64 = 0.25;
/// Cost of requests beyond the busy fraction: each also delays the ones after it.
const CROWDING_WEIGHT: f64 = 6.0;

impl PlacementCandidate {
    /// Expected time to finish in milliseconds, with penalties; infinite without slots.
    ///
    /// A server of `s` slots, `n` requests and service time `t` finishes a new request after about
    /// `t` while it has free slots, and after `t * n / s` once it is full.
    pub fn expected_millis(&self, zone_penalty: Duration) -> f64 {
        if self.load.slots == 0 {
            return f64::INFINITY;
        }
        let service = f64::from(self.load.service_micros.max(1_000)) / 1_000.0;
        let fullness = self.fullness();
        let crowding = (fullness - BUSY_FRACTION).max(0.0) / BUSY_FRACTION;
        let zone = if self.same_zone { 0.0 } else { zone_penalty.as_secs_f64() * 1_000.0 };
        let failed = f64::from(self.failed_permille.max(self.load.failed_permille)) / 1_000.0;
        let failure = failed * FAILURE_PENALTY.as_secs_f64() * 1_000.0;
        service * (1.0 + FULLNESS_WEIGHT * fullness + CROWDING_WEIGHT * crowding) + zone + failure
    }

    /// Its requests with a new one, as a ratio to its slots.
    fn fullness(&self) -> f64 {
        let newly_sent = self.in_flight.saturating_sub(self.in_flight_at_report);
        let requests = f64::from(self.load.running + self.load.waiting + newly_sent + 1);
        requests / f64::from(self.load.slots)
    }

    /// The factor of its cost by `draw` (0 to 1) while the best instance is this full.
    fn spread_factor(&self, best_fullness: f64, draw: f64) -> f64 {
        let load = (best_fullness - SPREAD_FULLNESS_MIN) / SPREAD_FULLNESS_SPAN;
        let load = load.clamp(0.0, 1.0);
        let age = self.report_age.as_secs_f64().min(REPORT_AGE_MAX_SECONDS);
        let spread = JITTER + AGE_SPREAD * load * age;
        1.0 + spread * draw
    }
}

/// The index of the candidate with the lowest cost. `draw` yields numbers from 0 to 1, with which
/// senders that have equal load reports choose differently.
///
/// ```
/// use std::time::Duration;
/// use lentilway::policy::placement::{InstanceLoad, PlacementCandidate, choose_instance};
/// let load = InstanceLoad { slots: 10, service_micros: 50_000, ..InstanceLoad::default() };
/// let idle = PlacementCandidate {
///     load, in_flight: 0, in_flight_at_report: 0, same_zone: true, failed_permille: 0,
///     report_age: Duration::ZERO,
/// };
/// let full = PlacementCandidate { load: InstanceLoad { running: 30, ..load }, ..idle };
/// assert_eq!(choose_instance(&[full, idle], Duration::ZERO, || 0.5), Some(1));
/// ```
pub fn choose_instance(
    candidates: &[PlacementCandidate],
    zone_penalty: Duration,
    mut draw: impl FnMut() -> f64,
) -> Option<usize> {
    let costs: SmallVec<[f64; 24]> =
        candidates.iter().map(|candidate| candidate.expected_millis(zone_penalty)).collect();
    let lowest = costs.iter().zip(candidates).min_by(|a, b| a.0.total_cmp(b.0));
    let best_fullness = lowest.map_or(0.0, |(_, candidate)| candidate.fullness());
    let chance = draw();
    if chance < TRY_FRACTION {
        let suspects = slow_idle(candidates);
        let index = (chance / TRY_FRACTION * suspects.len() as f64) as usize;
        if let Some(suspect) = suspects.get(index) {
            return Some(*suspect);
        }
    }
    let mut best: Option<(f64, usize)> = None;
    for (index, (cost, candidate)) in costs.iter().zip(candidates).enumerate() {
        let cost = cost * candidate.spread_factor(best_fullness, draw());
        if cost.is_finite() && best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, index));
        }
    }
    best.map(|(_, index)| index)
}

/// The indices of the instances in the sender's zone that get no requests since they were slow. Their
/// service time stays as it was until a request is tried.
fn slow_idle(candidates: &[PlacementCandidate]) -> SmallVec<[usize; 8]> {
    let used = candidates.iter().filter(|candidate| candidate.load.slots > 0);
    let fastest = used.map(|candidate| candidate.load.service_micros).min().unwrap_or_default();
    let is_slow_idle = |candidate: &PlacementCandidate| {
        let requests = candidate.load.running + candidate.load.waiting + candidate.in_flight;
        candidate.same_zone
            && candidate.load.slots > 0
            && requests == 0
            && candidate.load.service_micros / SLOW_FACTOR > fastest
    };
    let indices = 0..candidates.len();
    indices.filter(|index| is_slow_idle(&candidates[*index])).collect()
}

/// The index of the candidate that a resend goes to, chosen by `draw` (0 to 1) with probabilities
/// that grow with the retries that each allows and fall with its expected finish time; `None` if
/// none allows any.
///
/// ```
/// use std::time::Duration;
/// use lentilway::policy::placement::{
///     InstanceLoad, PlacementCandidate, choose_retry_instance,
/// };
/// let load = InstanceLoad { slots: 10, service_micros: 50_000, ..InstanceLoad::default() };
/// let candidate = |retries_permille| PlacementCandidate {
///     load: InstanceLoad { retries_permille, ..load },
///     in_flight: 0, in_flight_at_report: 0, same_zone: true, failed_permille: 0,
///     report_age: Duration::ZERO,
/// };
/// let candidates = [candidate(0), candidate(9_000), candidate(1_000)];
/// assert_eq!(choose_retry_instance(&candidates, 0.5), Some(1));
/// assert_eq!(choose_retry_instance(&candidates, 0.95), Some(2));
/// assert_eq!(choose_retry_instance(&candidates[..1], 0.5), None);
/// ```
pub fn choose_retry_instance(candidates: &[PlacementCandidate], draw: f64) -> Option<usize> {
    let weight = |candidate: &PlacementCandidate| {
        f64::from(candidate.load.retries_permille) / candidate.expected_millis(Duration::ZERO)
    };
    let total: f64 = candidates.iter().map(weight).sum();
    let mut remaining = draw * total;
    for (index, candidate) in candidates.iter().enumerate() {
        remaining -= weight(candidate);
        if remaining < 0.0 {
            return Some(index);
        }
    }
    None
}

/// Fraction of the requests that may try a slow instance: few enough to leave the 99th percentile of
/// the others as it is.
const TRY_FRACTION: f64 = 1.0 / 256.0;
/// An instance is slow if its service time is more than this many times the shortest one.
const SLOW_FACTOR: u32 = 2;
/// Relative random spread of the costs, which breaks ties between instances.
const JITTER: f64 = 0.1;
/// Additional spread for each second of the report's age while the best instance is full. Below that,
/// it would send requests to slower instances and to other zones for nothing.
const AGE_SPREAD: f64 = 4.0;
/// Fullness of the best instance from which on the spread grows, and the span in which it does.
const SPREAD_FULLNESS_MIN: f64 = 0.9;
const SPREAD_FULLNESS_SPAN: f64 = 0.2;
/// Reports that arrive at all are not much older, in seconds.
const REPORT_AGE_MAX_SECONDS: f64 = 1.0;
