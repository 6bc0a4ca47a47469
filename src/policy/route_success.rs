//! Refuses roots of routes whose runs nearly all fail.
//!
//! Answers a deep service that fails or refuses a large part of its requests for some seconds. A
//! run needs several of them and fails after most of its work; its caller comes back at once, or
//! may not come back at all since the request has run. Refused unstarted, callers come back as late
//! as they may, many of them to a service that is well again. Callers that came back are let in,
//! and a few others, so that the end of the failure shows.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::moving_average::RateAverage;
use crate::clock::MilliTime;

/// Below this part of successes a return in some seconds has better prospects than a run now:
/// failures of a service last some five seconds, of which a caller can wait about two.
const SUCCESS_PART_MIN: f64 = 0.2;
/// Part of the roots that are let in all the same.
const PROBED_PART: f64 = 0.1;
/// Window of the rates, in seconds.
const WINDOW_SECONDS: f64 = 1.0;
/// Fewer ended runs a second than this say nothing.
const ENDS_MIN: f64 = 3.0;
/// When callers are told that room is expected; they are not asked to wait for longer than they can.
pub const RECOVERY_TIME: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct RouteEnds {
    ended: RateAverage,
    succeeded: RateAverage,
}

/// How runs of roots ended of late, by route.
#[derive(Clone, Debug, Default)]
pub struct RouteSuccess {
    routes: HashMap<Arc<str>, RouteEnds>,
}

impl RouteSuccess {
    /// Forgets the routes that are not among those that `is_known` names.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }

    /// Takes in a root that was run.
    pub fn observe(&mut self, now: MilliTime, route: &Arc<str>, succeeded: bool) {
        let rate = RateAverage::new(WINDOW_SECONDS, now);
        let none = RouteEnds { ended: rate, succeeded: rate };
        let ends = self.routes.entry(route.clone()).or_insert(none);
        ends.ended.add(now, 1.0);
        if succeeded {
            ends.succeeded.add(now, 1.0);
        }
    }

    /// The part of successes for whose sake a new root of `route` is refused; `None` if it may
    /// start. `draw` from 0 to 1.
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
        let ends = self.routes.get_mut(route)?;
        let ended = ends.ended.per_second(now);
        let part = ends.succeeded.per_second(now) / ended.max(f64::MIN_POSITIVE);
        let is_failing = ended >= ENDS_MIN && part < SUCCESS_PART_MIN;
        (is_failing && draw >= PROBED_PART).then_some(part)
    }
}
