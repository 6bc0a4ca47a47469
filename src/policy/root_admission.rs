//! Admission of root requests at the entry daemon.
//!
//! Handles a surge that exceeds the capacity of a service deep in the call graph. A run that loses
//! one of its calls fails as a whole, so work is saved only by refusing roots before any of it is
//! done. Answers report the cost of a root at every service and the demand for each service. From
//! the demand, each daemon computes the fraction of it that each service admits, and divides it
//! among the groups by priority and, within a priority, by cost. Caller retries are admitted before
//! first attempts. What is admitted of a priority is shared among the organisations by
//! [`super::fair_share`].
//!
//! Also handles a deep service that refuses a fraction of its requests for some seconds although it
//! has room. Its calls succeed after some retries, and the retry budget is what limits the runs: the
//! roots are admitted whose retries the budget allows, and the others are refused before any work.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::fair_share::{FairClaimant, FairShare};
use super::moving_average::{RateAverage, SampleAverage};
use super::placement::InstanceLoad;
use super::root_costs::{COST_ASSUMED, RouteCosts};
pub use super::root_costs::{CostList, RootKnowledge, RootLimit, SlotCost, add_cost};
use crate::clock::MilliTime;

/// Time between adjustments of the admitted fractions.
const ADJUST_SPAN: Duration = Duration::from_millis(100);
/// Target of the demand, as a fraction of the slots.
const DEMAND_TARGET: f64 = 0.95;
/// Adjustments after which an admitted root affects the demand: its calls arrive within a few
/// hundred milliseconds.
const EFFECT_DELAY: std::ops::Range<usize> = 2..8;
/// Weight of one adjustment in the estimated demand: a time constant of half a second.
const DEMAND_SAMPLE_WEIGHT: f64 = 0.2;
/// Bounds of the demand in one adjustment, as a ratio to the slots.
const DEMAND_RANGE: (f64, f64) = (0.02, 3.0);
/// Older reports are dropped: two are missing.
const REPORT_AGE_MAX: Duration = Duration::from_millis(2_100);
/// Smallest fraction of the demand for a service that is admitted.
const FRACTION_MIN: f64 = 0.05;
/// Smallest fraction of a group that is admitted, so that none starves.
const GROUP_FRACTION_MIN: f64 = 0.08;
/// The same while retries are short: without them, nearly all of its runs fail.
const RETRY_GROUP_FRACTION_MIN: f64 = 0.02;
/// Fraction of the retry budget that roots are admitted for: instances use less than all of it.
const RETRY_TARGET: f64 = 0.85;
/// Roots that succeed without any retry at least this often are admitted all the same.
const UNAIDED_SUCCESS_MIN: f64 = 0.3;
/// Smallest refused fraction for which the retries are considered.
const REFUSED_FRACTION_MIN: f64 = 0.03;
/// Window of the arrival rate of a group's roots: an entry has a few roots per second, whose mix
/// changes slowly.
const ARRIVAL_WINDOW_SECONDS: f64 = 4.0;
/// The same for callers that return: they come when others are refused.
const RETURN_WINDOW_SECONDS: f64 = 1.0;
/// Factor on the cost of a caller retry when groups are ordered: callers retry once, so a second
/// refusal is final.
const RETRY_COST_FACTOR: f64 = 0.5;

/// Root requests that are admitted by the same rule.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RootGroup {
    /// The route.
    pub route: Arc<str>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
}

/// Whether a root may start.
#[derive(Clone, Debug, PartialEq)]
pub enum RootDecision {
    /// It may.
    Admit {
        /// Whether it is admitted for retries that are short: its calls get them before others.
        is_entitled: bool,
    },
    /// It is refused to protect a service.
    Refuse {
        /// The service.
        service: Arc<str>,
        /// What that service is short of.
        limit: RootLimit,
        /// The fraction of the group that is admitted, of its organisation if there is one.
        fraction: f64,
        /// Whether it would be admitted but for the share of its organisation.
        is_above_share: bool,
    },
}

#[derive(Debug)]
struct InstanceReport {
    demand: f64,
    slots: f64,
    /// Ended and refused runs per second.
    ended: f64,
    refused: f64,
    /// Fraction of the retries of entitled roots for which there was no budget.
    denied: f64,
    at: MilliTime,
}

#[derive(Debug)]
pub(super) struct ServiceState {
    reports: HashMap<u64, InstanceReport>,
    fraction: f64,
    /// Admitted fractions of the last adjustments, the newest first.
    history: VecDeque<f64>,
    demand: SampleAverage,
    /// The fraction of the calls whose retries the budget allows.
    retried_fraction: f64,
    /// The fraction of the calls that the backend servers refuse.
    refused_fraction: f64,
}

impl Default for ServiceState {
    fn default() -> Self {
        ServiceState {
            reports: HashMap::new(),
            fraction: 1.0,
            history: VecDeque::from(vec![1.0; EFFECT_DELAY.end]),
            demand: SampleAverage::new(DEMAND_SAMPLE_WEIGHT),
            retried_fraction: 1.0,
            refused_fraction: 0.0,
        }
    }
}

/// Arrival rate of a group's roots and the fraction of them that is admitted.
#[derive(Debug)]
struct ArrivalFlow {
    arrivals: RateAverage,
    fraction: f64,
    limiting: Option<(Arc<str>, RootLimit)>,
    /// The fraction for whose retries the budget has room; `None` while retries are not short.
    entitled: Option<f64>,
}

impl ArrivalFlow {
    fn new(window_seconds: f64, now: MilliTime) -> Self {
        let arrivals = RateAverage::new(window_seconds, now);
        ArrivalFlow { arrivals, fraction: 1.0, limiting: None, entitled: None }
    }
}

#[derive(Debug)]
struct GroupDemand {
    first_attempts: ArrivalFlow,
    retries: ArrivalFlow,
}

impl GroupDemand {
    fn new(now: MilliTime) -> Self {
        GroupDemand {
            first_attempts: ArrivalFlow::new(ARRIVAL_WINDOW_SECONDS, now),
            retries: ArrivalFlow::new(RETURN_WINDOW_SECONDS, now),
        }
    }

    fn flows(&mut self) -> [&mut ArrivalFlow; 2] {
        [&mut self.retries, &mut self.first_attempts]
    }
}

/// Admits roots at one daemon.
#[derive(Debug)]
pub struct RootAdmission {
    pub(super) services: HashMap<Arc<str>, ServiceState>,
    groups: HashMap<RootGroup, GroupDemand>,
    pub(super) costs: HashMap<Arc<str>, RouteCosts>,
    /// Shares of the organisations by priority, while a service is short.
    shares: HashMap<u8, FairShare>,
    retries_per_request: f64,
    adjusted: MilliTime,
}

impl RootAdmission {
    /// Admits everything until demand is reported. The retry budget allows this many retries for
    /// each request for a service.
    pub fn new(now: MilliTime, retries_per_request: f64) -> Self {
        RootAdmission {
            services: HashMap::new(),
            groups: HashMap::new(),
            costs: HashMap::new(),
            shares: HashMap::new(),
            retries_per_request,
            adjusted: now,
        }
    }

    /// Removes the costs of the routes for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.costs.retain(|route, _| is_known(route));
    }

    /// Records the load that an instance of `service` reported.
    pub fn observe_load(
        &mut self,
        now: MilliTime,
        service: &Arc<str>,
        instance: u64,
        load: &InstanceLoad,
    ) {
        let ended = f64::from(load.ended_per_second);
        let report = InstanceReport {
            demand: f64::from(load.demand_permille) / 1_000.0,
            slots: f64::from(load.slots),
            ended,
            refused: ended * f64::from(load.refused_permille) / 1_000.0,
            denied: f64::from(load.retries_denied_permille) / 1_000.0,
            at: now,
        };
        match self.services.get_mut(service) {
            Some(state) => state.reports.insert(instance, report),
            None => {
                let state = self.services.entry(service.clone()).or_default();
                state.reports.insert(instance, report)
            }
        };
    }

    /// Records the cost of a root that ran, and whether it succeeded. A failed run counts too:
    /// after a restart into overload there may be no others.
    pub fn observe_cost(&mut self, route: &Arc<str>, costs: &CostList, succeeded: bool) {
        match self.costs.get_mut(route) {
            Some(known) => known.observe(costs, succeeded),
            None => self.costs.entry(route.clone()).or_default().observe(costs, succeeded),
        }
    }

    /// Admits or refuses an arriving root, by `draw` from 0 to 1; roots with a low draw should also
    /// be preferred where their calls arrive. `is_retry` is set for a caller that was refused
    /// before.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::root_admission::{RootAdmission, RootGroup, RootDecision};
    /// let mut admission = RootAdmission::new(MilliTime(0), 0.2);
    /// let group = RootGroup { route: "stock-read".into(), priority: 2 };
    /// let decision = admission.admit(MilliTime(5), &group, false, 0.99);
    /// assert_eq!(decision, RootDecision::Admit { is_entitled: false });
    /// ```
    pub fn admit(
        &mut self,
        now: MilliTime,
        group: &RootGroup,
        is_retry: bool,
        draw: f64,
    ) -> RootDecision {
        self.admit_for(now, group, None, is_retry, draw)
    }

    /// Like [`RootAdmission::admit`], for an organisation: what a service short of slots admits of a
    /// priority is shared fairly among them.
    pub fn admit_for(
        &mut self,
        now: MilliTime,
        group: &RootGroup,
        claimant: Option<FairClaimant<'_>>,
        is_retry: bool,
        draw: f64,
    ) -> RootDecision {
        if now.since(self.adjusted) >= ADJUST_SPAN {
            self.adjust(now);
        }
        let demand = match self.groups.get_mut(group) {
            Some(demand) => demand,
            None => self.groups.entry(group.clone()).or_insert_with(|| GroupDemand::new(now)),
        };
        let flow = if is_retry { &mut demand.retries } else { &mut demand.first_attempts };
        flow.arrivals.add(now, 1.0);
        let fraction = match (&flow.limiting, claimant) {
            (Some((service, RootLimit::Slots)), Some(claimant)) => {
                let known = self.costs.get(&group.route);
                let work =
                    known.map_or(COST_ASSUMED, |costs| costs.need(service, RootLimit::Slots));
                let share =
                    self.shares.entry(group.priority).or_insert_with(|| FairShare::new(now));
                share.admit(now, claimant, work, flow.fraction)
            }
            _ => flow.fraction,
        };
        match &flow.limiting {
            Some((service, limit)) if draw >= fraction => {
                let is_above_share = draw < flow.fraction;
                let (service, limit) = (service.clone(), *limit);
                RootDecision::Refuse { service, limit, fraction, is_above_share }
            }
            _ => {
                let is_entitled = flow.entitled.is_some_and(|fraction| draw < fraction);
                RootDecision::Admit { is_entitled }
            }
        }
    }

    /// The fraction of the roots of a group that is admitted.
    pub fn group_fraction(&self, group: &RootGroup, is_retry: bool) -> f64 {
        self.groups.get(group).map_or(1.0, |demand| {
            let flow = if is_retry { &demand.retries } else { &demand.first_attempts };
            flow.fraction
        })
    }

    /// The fraction of the demand for `service` that is admitted.
    pub fn admitted_fraction(&self, service: &str) -> f64 {
        self.services.get(service).map_or(1.0, |state| state.fraction)
    }

    /// The admitted fractions below one, for logs.
    pub fn reduced_fractions(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let fractions = self.services.iter().map(|(service, state)| (service, state.fraction));
        fractions.filter(|(_, fraction)| *fraction < 1.0)
    }

    fn adjust(&mut self, now: MilliTime) {
        self.adjusted = now;
        for state in self.services.values_mut() {
            state.adjust(now, self.retries_per_request);
        }
        let is_active = |flow: &mut ArrivalFlow| flow.arrivals.per_second(now) >= 0.01;
        self.shares.retain(|_, share| !share.is_idle(now));
        self.groups.retain(|_, demand| demand.flows().into_iter().any(is_active));
        for flow in self.groups.values_mut().flat_map(GroupDemand::flows) {
            flow.fraction = 1.0;
            flow.limiting = None;
            flow.entitled = None;
        }
        for (service, state) in &self.services {
            let limits =
                [(RootLimit::Slots, state.fraction), (RootLimit::Retries, state.retried_fraction)];
            for (limit, fraction) in limits {
                if fraction < 1.0 {
                    let refused = state.refused_fraction;
                    let shortage = ServiceShortage { service, limit, fraction, refused };
                    shortage.divide(now, &mut self.groups, &self.costs);
                }
            }
        }
    }
}

impl ServiceState {
    pub(super) fn learn(&mut self, fraction: f64) {
        // A broken message must not close a service.
        let fraction = if fraction.is_finite() { fraction.clamp(FRACTION_MIN, 1.0) } else { 1.0 };
        self.fraction = fraction;
        self.history = VecDeque::from(vec![fraction; EFFECT_DELAY.end]);
        self.demand = SampleAverage::new(DEMAND_SAMPLE_WEIGHT);
        self.demand.add(DEMAND_TARGET / fraction);
    }

    fn adjust(&mut self, now: MilliTime, retries_per_request: f64) {
        self.reports.retain(|_, report| now.since(report.at) < REPORT_AGE_MAX);
        let slots: f64 = self.reports.values().map(|report| report.slots).sum();
        let demanded: f64 = self.reports.values().map(|report| report.demand * report.slots).sum();
        let demand = if slots > 0.0 { demanded / slots } else { 0.0 };
        let demand = demand.clamp(DEMAND_RANGE.0, DEMAND_RANGE.1);
        self.demand.add(demand / self.effective_fraction());
        self.fraction = (DEMAND_TARGET / self.demand.mean_or(0.0)).clamp(FRACTION_MIN, 1.0);
        self.history.push_front(self.fraction);
        self.history.truncate(EFFECT_DELAY.end);
        self.retried_fraction = self.allowed_by_retries(retries_per_request);
    }

    /// The fraction of the calls that the retry budget can complete: one that is refused with
    /// probability `p` needs `p / (1 - p)` retries.
    fn allowed_by_retries(&mut self, retries_per_request: f64) -> f64 {
        let ended: f64 = self.reports.values().map(|report| report.ended).sum();
        let refused: f64 = self.reports.values().map(|report| report.refused).sum();
        let fraction = if ended > 0.0 { refused / ended } else { 0.0 };
        self.refused_fraction = fraction;
        if fraction < REFUSED_FRACTION_MIN {
            return 1.0;
        }
        let reports = self.reports.values();
        let denied = reports.map(|report| report.denied * report.ended).sum::<f64>() / ended;
        let allowed = RETRY_TARGET * retries_per_request * (1.0 - fraction) / fraction;
        (allowed * (1.0 - denied)).min(1.0)
    }

    /// Mean admitted fraction when the roots that cause the current demand arrived.
    fn effective_fraction(&self) -> f64 {
        let fractions = self.history.range(EFFECT_DELAY);
        fractions.sum::<f64>() / EFFECT_DELAY.len() as f64
    }
}

/// A service that can take only a fraction of what all roots need of it.
struct ServiceShortage<'a> {
    service: &'a Arc<str>,
    limit: RootLimit,
    fraction: f64,
    /// The fraction of the calls that its backend servers refuse.
    refused: f64,
}

/// The need of the roots of one flow.
struct FlowClaim<'a> {
    priority: u8,
    /// Need of each root, less for those that are preferred.
    cost: f64,
    /// Need of all roots.
    work: f64,
    /// Smallest fraction that is admitted.
    least: f64,
    flow: &'a mut ArrivalFlow,
}

impl ServiceShortage<'_> {
    /// Divides what the service can take among the groups that use it.
    fn divide(
        &self,
        now: MilliTime,
        groups: &mut HashMap<RootGroup, GroupDemand>,
        costs: &HashMap<Arc<str>, RouteCosts>,
    ) {
        let mut claims = self.claims(now, groups, costs);
        claims.sort_by(|a, b| a.priority.cmp(&b.priority).then(a.cost.total_cmp(&b.cost)));
        let total: f64 = claims.iter().map(|claim| claim.work).sum();
        let mut remaining = total * self.fraction;
        for claim in claims {
            let share = if claim.work > 0.0 { remaining.max(0.0) / claim.work } else { 1.0 };
            let fraction = share.max(claim.least).min(1.0);
            match self.limit {
                RootLimit::Slots => remaining -= claim.work * fraction,
                RootLimit::Retries => {
                    // The others run without retries.
                    remaining -= claim.work * share.min(1.0);
                    let entitled = claim.flow.entitled.unwrap_or(1.0);
                    claim.flow.entitled = Some(entitled.min(share));
                }
            }
            if fraction < claim.flow.fraction {
                claim.flow.fraction = fraction;
                claim.flow.limiting = Some((self.service.clone(), self.limit));
            }
        }
    }

    fn claims<'a>(
        &self,
        now: MilliTime,
        groups: &'a mut HashMap<RootGroup, GroupDemand>,
        costs: &HashMap<Arc<str>, RouteCosts>,
    ) -> Vec<FlowClaim<'a>> {
        let unknown = RouteCosts::default();
        let mut claims = Vec::with_capacity(2 * groups.len());
        for (group, demand) in groups {
            let known = costs.get(&group.route).unwrap_or(&unknown);
            let need = known.need(self.service, self.limit);
            if need == 0.0 {
                continue;
            }
            let least = self.least_fraction(need);
            for (flow, factor) in demand.flows().into_iter().zip([RETRY_COST_FACTOR, 1.0]) {
                let work = flow.arrivals.per_second(now) * need;
                let (priority, cost) = (group.priority, need * factor);
                claims.push(FlowClaim { priority, cost, work, least, flow });
            }
        }
        claims
    }

    /// The smallest admitted fraction of a group whose roots have this need.
    fn least_fraction(&self, need: f64) -> f64 {
        match self.limit {
            RootLimit::Slots => GROUP_FRACTION_MIN,
            RootLimit::Retries if (1.0 - self.refused).powf(need) >= UNAIDED_SUCCESS_MIN => 1.0,
            RootLimit::Retries => RETRY_GROUP_FRACTION_MIN,
        }
    }
}
