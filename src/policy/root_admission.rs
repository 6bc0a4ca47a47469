//! Decides at the entry which root requests start at all.
//!
//! Answers a surge that asks more of a service deep in the graph than it has. A run that loses one
//! of its calls fails whole, so work is saved only by refusing roots before any of it is done. Each
//! daemon learns what a root of each group costs at every service, and how much is asked of each
//! service, both from answers. A level for each service, the part of the demand that is let in,
//! follows the reported demand. Groups share it in order of priority and, within one, of cost;
//! callers that return go before those that come for the first time.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::moving_average::{RateAverage, SampleAverage};
use super::placement::InstanceLoad;
use crate::clock::MilliTime;

/// Time between adjustments of the levels.
const ADJUST_SPAN: Duration = Duration::from_millis(100);
/// Demand, as a part of the slots, that the levels steer towards.
const DEMAND_TARGET: f64 = 0.95;
/// Adjustments after which an admitted root shows in the demand: its calls arrive within some
/// hundred milliseconds.
const EFFECT_DELAY: std::ops::Range<usize> = 2..8;
/// Weight of one adjustment in the estimated demand, a time constant of half a second.
const DEMAND_SAMPLE_WEIGHT: f64 = 0.2;
/// Bounds of the measured demand in one adjustment.
const DEMAND_RANGE: (f64, f64) = (0.02, 3.0);
/// Reports older than this say nothing.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_500);
/// The least part of the demand that is let in.
const LEVEL_MIN: f64 = 0.05;
/// The least part of any group that is let in, so that none is starved.
const GROUP_PART_MIN: f64 = 0.08;
/// Window of the rate at which roots of a group arrive, in seconds.
const ARRIVAL_WINDOW_SECONDS: f64 = 1.5;
/// Weight of one root in the mean cost of its group.
const COST_SAMPLE_WEIGHT: f64 = 0.05;
/// Cost below which a group does not use a service, in slot-milliseconds.
const COST_MIN: f64 = 1.0;

/// Cost of a root whose caller returned, as a part of the same for the first time: refused again,
/// it is lost for good.
const RETURN_COST_PART: f64 = 0.5;

/// Cost at a short service of a group that nothing is known of, in slot-milliseconds.
const COST_ASSUMED: f64 = 100.0;

/// Roots that are treated alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RootGroup {
    /// The route.
    pub route: Arc<str>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
}

/// Time of slots used at a service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct SlotCost {
    /// The service.
    pub service: Arc<str>,
    /// Slot-milliseconds.
    pub millis: f32,
}

/// The costs of a request and of the calls below it.
pub type CostList = SmallVec<[SlotCost; 4]>;

/// Adds `cost` to a list that has one entry a service.
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
    /// It is refused for the sake of a service.
    Refuse {
        /// The service that is short of room.
        service: Arc<str>,
        /// The part of the group that is let in.
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
struct ServiceLevel {
    reports: HashMap<u64, InstanceReport>,
    level: f64,
    /// Levels of the last adjustments, the newest first.
    history: VecDeque<f64>,
    demand: SampleAverage,
}

impl Default for ServiceLevel {
    fn default() -> Self {
        ServiceLevel {
            reports: HashMap::new(),
            level: 1.0,
            history: VecDeque::from(vec![1.0; EFFECT_DELAY.end]),
            demand: SampleAverage::new(DEMAND_SAMPLE_WEIGHT),
        }
    }
}

/// Roots of a group that arrive, and the part of them that is let in.
#[derive(Debug)]
struct ArrivalFlow {
    arrivals: RateAverage,
    part: f64,
    tightest: Option<Arc<str>>,
}

impl ArrivalFlow {
    fn new(now: MilliTime) -> Self {
        let arrivals = RateAverage::new(ARRIVAL_WINDOW_SECONDS, now);
        ArrivalFlow { arrivals, part: 1.0, tightest: None }
    }
}

#[derive(Debug)]
struct GroupDemand {
    first_tries: ArrivalFlow,
    returns: ArrivalFlow,
    costs: HashMap<Arc<str>, SampleAverage>,
}

impl GroupDemand {
    fn new(now: MilliTime) -> Self {
        GroupDemand {
            first_tries: ArrivalFlow::new(now),
            returns: ArrivalFlow::new(now),
            costs: HashMap::new(),
        }
    }

    fn flows(&mut self) -> [&mut ArrivalFlow; 2] {
        [&mut self.returns, &mut self.first_tries]
    }
}

/// Admits roots at one daemon.
#[derive(Debug)]
pub struct RootAdmission {
    services: HashMap<Arc<str>, ServiceLevel>,
    groups: HashMap<RootGroup, GroupDemand>,
    adjusted: MilliTime,
}

impl RootAdmission {
    /// Lets everything in until demand is reported.
    pub fn new(now: MilliTime) -> Self {
        RootAdmission { services: HashMap::new(), groups: HashMap::new(), adjusted: now }
    }

    /// Takes in the load that an instance of `service` reported.
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
            Some(level) => level.reports.insert(instance, report),
            None => {
                let level = self.services.entry(service.clone()).or_default();
                level.reports.insert(instance, report)
            }
        };
    }

    /// Takes in what a root that was answered cost. A run that failed counts too, though it may
    /// not have made all its calls: after a restart into overload there may be no others.
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

    /// Judges a root that arrives, by `draw` from 0 to 1. `is_return` tells that its caller was
    /// refused before.
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
        is_return: bool,
        draw: f64,
    ) -> RootDecision {
        if now.since(self.adjusted) >= ADJUST_SPAN {
            self.adjust(now);
        }
        let demand = match self.groups.get_mut(group) {
            Some(demand) => demand,
            None => self.groups.entry(group.clone()).or_insert_with(|| GroupDemand::new(now)),
        };
        let flow = if is_return { &mut demand.returns } else { &mut demand.first_tries };
        flow.arrivals.add(now, 1.0);
        match &flow.tightest {
            Some(service) if draw >= flow.part => {
                RootDecision::Refuse { service: service.clone(), fraction: flow.part }
            }
            _ => RootDecision::Admit,
        }
    }

    /// The part of the demand for `service` that is let in.
    pub fn admitted_fraction(&self, service: &str) -> f64 {
        self.services.get(service).map_or(1.0, |level| level.level)
    }

    /// The levels below one, for logs.
    pub fn reduced_fractions(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let levels = self.services.iter().map(|(service, level)| (service, level.level));
        levels.filter(|(_, level)| *level < 1.0)
    }

    fn adjust(&mut self, now: MilliTime) {
        self.adjusted = now;
        for level in self.services.values_mut() {
            level.adjust(now);
        }
        let is_busy = |flow: &mut ArrivalFlow| flow.arrivals.per_second(now) >= 0.01;
        self.groups.retain(|_, demand| demand.flows().into_iter().any(is_busy));
        for flow in self.groups.values_mut().flat_map(GroupDemand::flows) {
            flow.part = 1.0;
            flow.tightest = None;
        }
        for (service, level) in &self.services {
            if level.level < 1.0 {
                share_level(&mut self.groups, now, service, level.level);
            }
        }
    }
}

impl ServiceLevel {
    fn adjust(&mut self, now: MilliTime) {
        self.reports.retain(|_, report| now.since(report.at) < REPORT_AGE_MAX);
        let slots: f64 = self.reports.values().map(|report| report.slots).sum();
        let asked: f64 = self.reports.values().map(|report| report.demand * report.slots).sum();
        let demand = if slots > 0.0 { asked / slots } else { 0.0 };
        let demand = demand.clamp(DEMAND_RANGE.0, DEMAND_RANGE.1);
        self.demand.add(demand / self.effective_level());
        self.level = (DEMAND_TARGET / self.demand.mean_or(0.0)).clamp(LEVEL_MIN, 1.0);
        self.history.push_front(self.level);
        self.history.truncate(EFFECT_DELAY.end);
    }

    /// The mean level when the roots came that show in the demand now.
    fn effective_level(&self) -> f64 {
        let levels = self.history.range(EFFECT_DELAY);
        levels.sum::<f64>() / EFFECT_DELAY.len() as f64
    }
}

/// Shares the part `level` of the demand for `service` among the groups that use it.
fn share_level(
    groups: &mut HashMap<RootGroup, GroupDemand>,
    now: MilliTime,
    service: &Arc<str>,
    level: f64,
) {
    struct Claim<'a> {
        priority: u8,
        cost: f64,
        work: f64,
        flow: &'a mut ArrivalFlow,
    }
    let mut claims: Vec<Claim<'_>> = Vec::with_capacity(2 * groups.len());
    for (group, demand) in groups.iter_mut() {
        // Until the first answer nothing is known; such roots may not crowd out the others.
        let unknown = if demand.costs.is_empty() { COST_ASSUMED } else { 0.0 };
        let cost = demand.costs.get(service).map_or(unknown, |cost| cost.mean_or(0.0));
        if cost < COST_MIN {
            continue;
        }
        for (flow, cost_part) in demand.flows().into_iter().zip([RETURN_COST_PART, 1.0]) {
            let work = flow.arrivals.per_second(now) * cost;
            claims.push(Claim { priority: group.priority, cost: cost * cost_part, work, flow });
        }
    }
    claims.sort_by(|a, b| a.priority.cmp(&b.priority).then(a.cost.total_cmp(&b.cost)));
    let total: f64 = claims.iter().map(|claim| claim.work).sum();
    let mut left = total * level;
    for claim in claims {
        let granted = claim.work.min(left.max(claim.work * GROUP_PART_MIN));
        left -= granted;
        let part = if claim.work > 0.0 { granted / claim.work } else { 1.0 };
        if part < claim.flow.part {
            claim.flow.part = part;
            claim.flow.tightest = Some(service.clone());
        }
    }
}
