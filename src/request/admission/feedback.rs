//! Shed feedback from downstream services, so that the entry daemon sheds before any work is done.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clock::{MilliClock, MilliTime};
use crate::request::fraction::{AdmitFraction, GroupFractions, ShedRank};

/// Time after a report before its shed fraction starts to decay.
const HOLD_SPAN: Duration = Duration::from_millis(300);
/// Without new reports, a shed fraction of 1 decays to 0 in this time.
const DECAY_SPAN: Duration = Duration::from_secs(1);
/// Weight of a new report in the moving average.
const REPORT_WEIGHT: f64 = 0.5;
const SHED_FRACTION_MIN: f64 = 0.001;
/// Upper bound of the weight of one admitted call.
const WEIGHT_MAX: f64 = 20.0;
const ENTRIES_MAX: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FeedbackKey {
    route: Arc<str>,
    scope: FeedbackScope,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum FeedbackScope {
    All,
    Organisation(Option<Arc<str>>),
}

#[derive(Clone, Copy, Debug)]
struct ShedFraction {
    shed: f64,
    reported_at: MilliTime,
}

impl ShedFraction {
    fn at(&self, now: MilliTime) -> f64 {
        let age = now.since(self.reported_at).saturating_sub(HOLD_SPAN);
        let decay = age.as_secs_f64() / DECAY_SPAN.as_secs_f64();
        (self.shed - decay).max(0.0)
    }
}

/// The fraction of each route's and organisation's requests that this entry daemon sheds.
#[derive(Debug)]
pub struct ShedFeedback {
    clock: MilliClock,
    fractions: Mutex<HashMap<FeedbackKey, ShedFraction>>,
}

impl ShedFeedback {
    /// An empty table, which sheds nothing.
    pub fn new(clock: MilliClock) -> Self {
        ShedFeedback { clock, fractions: Mutex::default() }
    }

    /// The fraction of these requests that the entry admits now.
    pub fn fraction(&self, route: &Arc<str>, organisation: &Option<Arc<str>>) -> AdmitFraction {
        let now = self.clock.now();
        let fractions = self.fractions.lock().expect("lock not poisoned");
        let shed = keys(route, organisation)
            .map(|key| fractions.get(&key).map_or(0.0, |fraction| fraction.at(now)))
            .into_iter()
            .fold(0.0, f64::max);
        AdmitFraction::from_ratio(1.0 - shed)
    }

    /// The number of requests that an admitted request represents; none if it is shed.
    pub fn admit(
        &self,
        route: &Arc<str>,
        organisation: &Option<Arc<str>>,
        request_id: &str,
    ) -> Option<u16> {
        let admitted = self.fraction(route, organisation);
        let weight = (1.0 / admitted.ratio()).min(WEIGHT_MAX).round() as u16;
        admitted.admits(ShedRank::of(request_id)).then_some(weight)
    }

    /// Records the fractions that the answer to a request reported.
    ///
    /// The class fraction is averaged over all organisations' requests, because a single
    /// organisation sends few requests through one daemon.
    pub fn record(
        &self,
        route: &Arc<str>,
        organisation: &Option<Arc<str>>,
        reported: GroupFractions,
    ) {
        let now = self.clock.now();
        let mut fractions = self.fractions.lock().expect("lock not poisoned");
        for (key, admitted) in
            keys(route, organisation).into_iter().zip([reported.class, reported.organisation])
        {
            update_shed(&mut fractions, key, admitted, now);
        }
    }
}

fn keys(route: &Arc<str>, organisation: &Option<Arc<str>>) -> [FeedbackKey; 2] {
    let own = FeedbackScope::Organisation(organisation.clone());
    [FeedbackScope::All, own].map(|scope| FeedbackKey { route: route.clone(), scope })
}

fn update_shed(
    fractions: &mut HashMap<FeedbackKey, ShedFraction>,
    key: FeedbackKey,
    admitted: AdmitFraction,
    now: MilliTime,
) {
    let current = fractions.get(&key).map_or(0.0, |fraction| fraction.at(now));
    let shed = current + REPORT_WEIGHT * (1.0 - admitted.ratio() - current);
    if shed < SHED_FRACTION_MIN {
        fractions.remove(&key);
        return;
    }
    if fractions.len() >= ENTRIES_MAX {
        fractions.retain(|_, fraction| fraction.at(now) > 0.0);
    }
    if fractions.len() < ENTRIES_MAX {
        fractions.insert(key, ShedFraction { shed, reported_at: now });
    }
}
