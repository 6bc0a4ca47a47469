//! Costs of roots at the services that they use.
//!
//! Handles routes of which a root makes many calls of a service that is short: answers carry the
//! slot time and the calls of a whole run, from which the mean cost of each route is known before
//! its next root is admitted. A daemon that restarts among others learns the costs from one of them.

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

use super::moving_average::SampleAverage;
use super::root_admission::RootAdmission;

/// Weight of one root in the mean cost of its group.
const COST_SAMPLE_WEIGHT: f64 = 0.05;
/// Cost below which a group counts as not using a service, in slot-milliseconds.
const COST_MIN: f64 = 1.0;
/// Calls below which a group counts as not using a service.
const CALLS_MIN: f64 = 0.05;

/// Cost assumed for a group without answers so far, in slot-milliseconds.
pub(super) const COST_ASSUMED: f64 = 100.0;
/// Calls assumed for a group without answers so far.
const CALLS_ASSUMED: f64 = 2.0;

/// Slot time used at a service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct SlotCost {
    /// The service.
    pub service: Arc<str>,
    /// Slot-milliseconds.
    pub millis: f32,
    /// Requests that it ran.
    pub calls: f32,
}

/// The costs of a request and of the calls below it.
pub type CostList = SmallVec<[SlotCost; 4]>;

/// Adds `cost` to a list with one entry for each service.
///
/// ```
/// use lentilway::policy::root_costs::{CostList, SlotCost, add_cost};
/// let mut costs = CostList::new();
/// add_cost(&mut costs, SlotCost { service: "stock".into(), millis: 20.0, calls: 1.0 });
/// add_cost(&mut costs, SlotCost { service: "stock".into(), millis: 30.0, calls: 1.0 });
/// assert_eq!((costs[0].millis, costs[0].calls), (50.0, 2.0));
/// ```
pub fn add_cost(costs: &mut CostList, cost: SlotCost) {
    match costs.iter_mut().find(|one| one.service == cost.service) {
        Some(known) => {
            known.millis += cost.millis;
            known.calls += cost.calls;
        }
        None => costs.push(cost),
    }
}

/// What a daemon that admits roots tells one that has just started.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RootKnowledge {
    /// The mean costs of routes.
    pub routes: Vec<(Arc<str>, CostList)>,
    /// The admitted fractions of the services that are short.
    pub fractions: Vec<(Arc<str>, f32)>,
}

/// What a service is short of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RootLimit {
    /// Slots of its backend servers.
    Slots,
    /// Retries of requests that its backend servers refuse.
    Retries,
}

/// Mean cost of a route's roots at one service.
#[derive(Debug)]
struct ServiceCost {
    millis: SampleAverage,
    calls: SampleAverage,
}

/// Costs of a route's roots by service.
#[derive(Debug, Default)]
pub(super) struct RouteCosts {
    services: HashMap<Arc<str>, ServiceCost>,
    has_succeeded: bool,
}

impl RouteCosts {
    /// Adds the cost of a root. A failed run may not have made all its calls, so it counts only
    /// before the first successful one, or if it cost more than the mean.
    pub(super) fn observe(&mut self, costs: &CostList, succeeded: bool) {
        let counts_less = self.has_succeeded && !succeeded;
        for (service, average) in &mut self.services {
            let found = costs.iter().find(|cost| cost.service == *service);
            let (millis, calls) =
                found.map_or((0.0, 0.0), |cost| (f64::from(cost.millis), f64::from(cost.calls)));
            if !counts_less || millis > average.millis.mean_or(0.0) {
                average.millis.add(millis);
            }
            if !counts_less || calls > average.calls.mean_or(0.0) {
                average.calls.add(calls);
            }
        }
        for cost in costs {
            if !self.services.contains_key(&cost.service) {
                let sample = || SampleAverage::new(COST_SAMPLE_WEIGHT);
                let mut average = ServiceCost { millis: sample(), calls: sample() };
                average.millis.add(f64::from(cost.millis));
                average.calls.add(f64::from(cost.calls));
                self.services.insert(cost.service.clone(), average);
            }
        }
        self.has_succeeded |= succeeded;
    }

    /// What a root needs of `limit` at `service`; an assumption before the first answer, such that
    /// unknown roots do not crowd out the others.
    pub(super) fn need(&self, service: &str, limit: RootLimit) -> f64 {
        let (assumed, least) = match limit {
            RootLimit::Slots => (COST_ASSUMED, COST_MIN),
            RootLimit::Retries => (CALLS_ASSUMED, CALLS_MIN),
        };
        if self.services.is_empty() {
            return assumed;
        }
        let Some(cost) = self.services.get(service) else {
            return 0.0;
        };
        let need = match limit {
            RootLimit::Slots => cost.millis.mean_or(0.0),
            RootLimit::Retries => cost.calls.mean_or(0.0),
        };
        if need < least { 0.0 } else { need }
    }

    /// Mean cost of a root, if one succeeded.
    pub(super) fn means(&self) -> Option<CostList> {
        let mean = |(service, cost): (&Arc<str>, &ServiceCost)| SlotCost {
            service: service.clone(),
            millis: cost.millis.mean_or(0.0) as f32,
            calls: cost.calls.mean_or(0.0) as f32,
        };
        self.has_succeeded.then(|| self.services.iter().map(mean).collect())
    }

    /// Whether a root succeeded here.
    pub(super) fn has_succeeded(&self) -> bool {
        self.has_succeeded
    }
}

impl RootAdmission {
    /// The costs of the routes and the admitted fractions, for a daemon that has just started.
    pub fn knowledge(&self) -> RootKnowledge {
        let known = self.costs.iter();
        let routes = known.filter_map(|(route, costs)| Some((route.clone(), costs.means()?)));
        let fractions = self.reduced_fractions();
        RootKnowledge {
            routes: routes.collect(),
            fractions: fractions.map(|(service, part)| (service.clone(), part as f32)).collect(),
        }
    }

    /// Takes over what a peer knows, except of routes of which a root succeeded here. The demand
    /// that is reported now is that after the fractions which the peers admit.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::root_admission::{RootAdmission, RootKnowledge};
    /// let mut admission = RootAdmission::new(MilliTime(0), 0.2);
    /// let fractions = vec![("stock".into(), 0.4)];
    /// admission.learn(&RootKnowledge { routes: Vec::new(), fractions });
    /// assert!((admission.admitted_fraction("stock") - 0.4).abs() < 1e-6);
    /// ```
    pub fn learn(&mut self, knowledge: &RootKnowledge) {
        for (route, costs) in &knowledge.routes {
            let known = self.costs.entry(route.clone()).or_default();
            if !known.has_succeeded() {
                *known = RouteCosts::default();
                known.observe(costs, true);
            }
        }
        for (service, fraction) in &knowledge.fractions {
            self.services.entry(service.clone()).or_default().learn(f64::from(*fraction));
        }
    }
}
