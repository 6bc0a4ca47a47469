//! Refuses root requests of routes on which nearly all runs fail.
//!
//! Handles a deep service that fails or refuses many of its requests for some seconds. A run needs
//! several of them and fails after most of its work; its caller retries at once, or cannot retry
//! since the request has run. Callers that are refused before the run retry as late as they can,
//! many of them after the service has recovered. Retries and a small fraction of first attempts are
//! admitted as probes of the recovery.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::moving_average::RateAverage;
use crate::clock::MilliTime;

/// Below this fraction of successes, a retry some seconds later is more likely to succeed than a
/// run now: failures of a service last about five seconds, of which a caller can wait about two.
const SUCCESS_FRACTION_MIN: f64 = 0.2;
/// Fraction of the roots that are admitted as probes.
const PROBE_FRACTION: f64 = 0.1;
/// Window of the rates.
const WINDOW_SECONDS: f64 = 1.0;
/// Ended runs per second below which the fraction is not used.
const ENDED_PER_SECOND_MIN: f64 = 3.0;
/// Expected time until recovery; callers are not asked to wait longer than their deadline allows.
pub const RECOVERY_TIME: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct RouteOutcomes {
    ended: RateAverage,
    succeeded: RateAverage,
}

/// Recent outcomes of root runs, by route.
#[derive(Clone, Debug, Default)]
pub struct RouteSuccess {
    routes: HashMap<Arc<str>, RouteOutcomes>,
}

impl RouteSuccess {
    /// Removes the routes for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }

    /// Records the outcome of a root that ran.
    pub fn observe(&mut self, now: MilliTime, route: &Arc<str>, succeeded: bool) {
        let rate = RateAverage::new(WINDOW_SECONDS, now);
        let none = RouteOutcomes { ended: rate, succeeded: rate };
        let outcomes = self.routes.entry(route.clone()).or_insert(none);
        outcomes.ended.add(now, 1.0);
        if succeeded {
            outcomes.succeeded.add(now, 1.0);
        }
    }

    /// The fraction of successes if a new root of `route` is refused because of it, `None` if the
    /// root is admitted. `draw` is from 0 to 1.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::route_success::RouteSuccess;
    /// let mut success = RouteSuccess::default();
    /// let route = "refunds".into();
    /// assert_eq!(success.refuse(MilliTime(0), &route, 0.5), None);
    /// (0..20).for_each(|step| success.observe(MilliTime(step * 20), &route, false));
    /// assert_eq!(success.refuse(MilliTime(400), &route, 0.5), Some(0.0));
    /// ```
    pub fn refuse(&mut self, now: MilliTime, route: &Arc<str>, draw: f64) -> Option<f64> {
        let outcomes = self.routes.get_mut(route)?;
        let ended = outcomes.ended.per_second(now);
        let fraction = outcomes.succeeded.per_second(now) / ended.max(f64::MIN_POSITIVE);
        let is_failing = ended >= ENDED_PER_SECOND_MIN && fraction < SUCCESS_FRACTION_MIN;
        (is_failing && draw >= PROBE_FRACTION).then_some(fraction)
    }
}
