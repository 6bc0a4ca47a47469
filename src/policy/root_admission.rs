//! Admission of root requests at the entry daemon.
//!
//! Handles a surge that exceeds the capacity of a service deep in the call graph. A run that loses
//! one of its calls fails as a whole, so work is saved only by refusing roots before any of it is
//! done. Answers report the cost of a root at every service and the demand for each service. From
//! the demand, each daemon computes the fraction of it that each service admits, and divides it
//! among the groups by priority and, within a priority, by cost. Caller retries are admitted before
//! first attempts.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::moving_average::{RateAverage, SampleAverage};
use super::placement::InstanceLoad;
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
/// Older reports are dropped.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Smallest fraction of the demand for a service that is admitted.
const FRACTION_MIN: f64 = 0.05;
/// Smallest fraction of a group that is admitted, so that none starves.
const GROUP_FRACTION_MIN: f64 = 0.08;
/// Window of the arrival rate of a group's roots.
const ARRIVAL_WINDOW_SECONDS: f64 = 1.5;
/// Weight of one root in the mean cost of its group.
const COST_SAMPLE_WEIGHT: f64 = 0.05;
/// Cost below which a group counts as not using a service, in slot-milliseconds.
const COST_MIN: f64 = 1.0;

/// Factor on the cost of a caller retry when groups are ordered: callers retry once, so a second
/// refusal is final.
const RETRY_COST_FACTOR: f64 = 0.5;

/// Cost assumed for a group without answers so far, in slot-milliseconds.
const COST_ASSUMED: f64 = 100.0;

/// Root requests that are admitted by the same rule.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RootGroup {
    /// The route.
    pub route: Arc<str>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
}

/// Slot time used at a service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct SlotCost {
    /// The service.
    pub service: Arc<str>,
    /// Slot-milliseconds.
    pub millis: f32,
}

/// The costs of a request and of the calls below it.
pub type CostList = SmallVec<[SlotCost; 4]>;

/// Adds `cost` to a list with one entry for each service.
///
/// ```
/// use lentilway::policy::root_admission::{CostList, SlotCost, add_cost};
/// let mut costs = CostList::new();
/// add_cost(&mut costs, SlotCost { service: "stock".into(), millis: 20.0 });
/// add_cost(&mut costs, SlotCost { service: "stock".into(), millis: 30.0 });
/// assert_eq!(costs[0].millis, 50.0);
/// ```
pub fn add_cost(costs: &mut CostList, cost: SlotCost) {
    match costs.iter_mut().find(|one| one.service == cost.service) {
        Some(known) => known.millis += cost.millis,
        None => costs.push(cost),
    }
}

/// Whether a root may start.
#[derive(Clone, Debug, PartialEq)]
pub enum RootDecision {
    /// It may.
    Admit,
    /// It is refused to protect a service.
    Refuse {
        /// The overloaded service.
        service: Arc<str>,
        /// The fraction of the group that is admitted.
        fraction: f64,
    },
}

#[derive(Debug)]
struct InstanceReport {
    demand: f64,
    slots: f64,
    at: MilliTime,
}

#[derive(Debug)]
struct ServiceState {
    reports: HashMap<u64, InstanceReport>,
    fraction: f64,
    /// Admitted fractions of the last adjustments, the newest first.
    history: VecDeque<f64>,
    demand: SampleAverage,
}

impl Default for ServiceState {
    fn default() -> Self {
        ServiceState {
            reports: HashMap::new(),
            fraction: 1.0,
            history: VecDeque::from(vec![1.0; EFFECT_DELAY.end]),
            demand: SampleAverage::new(DEMAND_SAMPLE_WEIGHT),
        }
    }
}

/// Arrival rate of a group's roots and the fraction of them that is admitted.
#[derive(Debug)]
struct ArrivalFlow {
    arrivals: RateAverage,
    fraction: f64,
    limiting: Option<Arc<str>>,
}

impl ArrivalFlow {
    fn new(now: MilliTime) -> Self {
        let arrivals = RateAverage::new(ARRIVAL_WINDOW_SECONDS, now);
        ArrivalFlow { arrivals, fraction: 1.0, limiting: None }
    }
}

#[derive(Debug)]
struct GroupDemand {
    first_attempts: ArrivalFlow,
    retries: ArrivalFlow,
    costs: HashMap<Arc<str>, SampleAverage>,
}

impl GroupDemand {
    fn new(now: MilliTime) -> Self {
        GroupDemand {
            first_attempts: ArrivalFlow::new(now),
            retries: ArrivalFlow::new(now),
            costs: HashMap::new(),
        }
    }

    fn flows(&mut self) -> [&mut ArrivalFlow; 2] {
        [&mut self.retries, &mut self.first_attempts]
    }
}

/// Admits roots at one daemon.
#[derive(Debug)]
pub struct RootAdmission {
    services: HashMap<Arc<str>, ServiceState>,
    groups: HashMap<RootGroup, GroupDemand>,
    adjusted: MilliTime,
}

impl RootAdmission {
    /// Admits everything until demand is reported.
    pub fn new(now: MilliTime) -> Self {
        RootAdmission { services: HashMap::new(), groups: HashMap::new(), adjusted: now }
    }

    /// Records the load that an instance of `service` reported.
    pub fn observe_load(
        &mut self,
        now: MilliTime,
        service: &Arc<str>,
        instance: u64,
        load: &InstanceLoad,
    ) {
        let report = InstanceReport {
            demand: f64::from(load.demand_permille) / 1_000.0,
            slots: f64::from(load.slots),
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

    /// Records the cost of an answered root. A failed run counts too, though it may not have made
    /// all its calls: after a restart into overload there may be no other runs.
    pub fn observe_cost(&mut self, group: &RootGroup, costs: &CostList) {
        let Some(demand) = self.groups.get_mut(group) else {
            return;
        };
        for (service, average) in &mut demand.costs {
            let found = costs.iter().find(|cost| cost.service == *service);
            average.add(found.map_or(0.0, |cost| f64::from(cost.millis)));
        }
        for cost in costs {
            if !demand.costs.contains_key(&cost.service) {
                let mut average = SampleAverage::new(COST_SAMPLE_WEIGHT);
                average.add(f64::from(cost.millis));
                demand.costs.insert(cost.service.clone(), average);
            }
        }
    }

    /// Admits or refuses an arriving root, by `draw` from 0 to 1. `is_retry` is set for a caller
    /// that was refused before.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::root_admission::{RootAdmission, RootGroup, RootDecision};
    /// let mut admission = RootAdmission::new(MilliTime(0));
    /// let group = RootGroup { route: "stock-read".into(), priority: 2 };
    /// assert_eq!(admission.admit(MilliTime(5), &group, false, 0.99), RootDecision::Admit);
    /// ```
    pub fn admit(
        &mut self,
        now: MilliTime,
        group: &RootGroup,
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
        match &flow.limiting {
            Some(service) if draw >= flow.fraction => {
                RootDecision::Refuse { service: service.clone(), fraction: flow.fraction }
            }
            _ => RootDecision::Admit,
        }
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
            state.adjust(now);
        }
        let is_active = |flow: &mut ArrivalFlow| flow.arrivals.per_second(now) >= 0.01;
        self.groups.retain(|_, demand| demand.flows().into_iter().any(is_active));
        for flow in self.groups.values_mut().flat_map(GroupDemand::flows) {
            flow.fraction = 1.0;
            flow.limiting = None;
        }
        for (service, state) in &self.services {
            if state.fraction < 1.0 {
                divide_fraction(&mut self.groups, now, service, state.fraction);
            }
        }
    }
}

impl ServiceState {
    fn adjust(&mut self, now: MilliTime) {
        self.reports.retain(|_, report| now.since(report.at) < REPORT_AGE_MAX);
        let slots: f64 = self.reports.values().map(|report| report.slots).sum();
        let demanded: f64 = self.reports.values().map(|report| report.demand * report.slots).sum();
        let demand = if slots > 0.0 { demanded / slots } else { 0.0 };
        let demand = demand.clamp(DEMAND_RANGE.0, DEMAND_RANGE.1);
        self.demand.add(demand / self.effective_fraction());
        self.fraction = (DEMAND_TARGET / self.demand.mean_or(0.0)).clamp(FRACTION_MIN, 1.0);
        self.history.push_front(self.fraction);
        self.history.truncate(EFFECT_DELAY.end);
    }

    /// Mean admitted fraction when the roots that cause the current demand arrived.
    fn effective_fraction(&self) -> f64 {
        let fractions = self.history.range(EFFECT_DELAY);
        fractions.sum::<f64>() / EFFECT_DELAY.len() as f64
    }
}

/// Divides the admitted `fraction` of the demand for `service` among the groups that use it.
fn divide_fraction(
    groups: &mut HashMap<RootGroup, GroupDemand>,
    now: MilliTime,
    service: &Arc<str>,
    fraction: f64,
) {
    struct Claim<'a> {
        priority: u8,
        cost: f64,
        work: f64,
        flow: &'a mut ArrivalFlow,
    }
    let mut claims: Vec<Claim<'_>> = Vec::with_capacity(2 * groups.len());
    for (group, demand) in groups.iter_mut() {
        // Costs are unknown before the first answer; such roots must not crowd out the others.
        let unknown = if demand.costs.is_empty() { COST_ASSUMED } else { 0.0 };
        let cost = demand.costs.get(service).map_or(unknown, |cost| cost.mean_or(0.0));
        if cost < COST_MIN {
            continue;
        }
        for (flow, cost_factor) in demand.flows().into_iter().zip([RETRY_COST_FACTOR, 1.0]) {
            let work = flow.arrivals.per_second(now) * cost;
            claims.push(Claim { priority: group.priority, cost: cost * cost_factor, work, flow });
        }
    }
    claims.sort_by(|a, b| a.priority.cmp(&b.priority).then(a.cost.total_cmp(&b.cost)));
    let total: f64 = claims.iter().map(|claim| claim.work).sum();
    let mut remaining = total * fraction;
    for claim in claims {
        let granted = claim.work.min(remaining.max(claim.work * GROUP_FRACTION_MIN));
        remaining -= granted;
        let fraction = if claim.work > 0.0 { granted / claim.work } else { 1.0 };
        if fraction < claim.flow.fraction {
            claim.flow.fraction = fraction;
            claim.flow.limiting = Some(service.clone());
        }
    }
}
