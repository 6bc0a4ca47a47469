//! What answers said about shedding further down, so that the entry sheds before any work.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clock::{MilliClock, MilliTime};
use crate::request::fraction::{AdmitFraction, GroupFractions, ShedRank};

/// A report stays as it is for this long, then what was shed opens.
const HOLD_SPAN: Duration = Duration::from_millis(300);
/// Without news, a group that was shut entirely is open again this long after the hold.
const DECAY_SPAN: Duration = Duration::from_secs(1);
/// Weight of a new report against those before.
const REPORT_WEIGHT: f64 = 0.5;
const SHED_FRACTION_MIN: f64 = 0.001;
/// The most calls that one admitted call stands for.
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

/// The fraction of each route's and organisation's requests that this entry sheds.
#[derive(Debug)]
pub struct ShedFeedback {
    clock: MilliClock,
    fractions: Mutex<HashMap<FeedbackKey, ShedFraction>>,
}

impl ShedFeedback {
    /// A table that sheds nothing.
    pub fn new(clock: MilliClock) -> Self {
        ShedFeedback { clock, fractions: Mutex::default() }
    }

    /// The fraction of such requests that the entry lets through now.
    pub fn fraction(&self, route: &Arc<str>, organisation: &Option<Arc<str>>) -> AdmitFraction {
        let now = self.clock.now();
        let fractions = self.fractions.lock().expect("no holder panics");
        let shed = keys(route, organisation)
            .map(|key| fractions.get(&key).map_or(0.0, |fraction| fraction.at(now)))
            .into_iter()
            .fold(0.0, f64::max);
        AdmitFraction::from_ratio(1.0 - shed)
    }

    /// Whether a request may start, and for how many requests it then stands.
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

    /// Takes in what the answer to a request reported.
    ///
    /// What holds for the whole class is learned from all organisations' requests together, for
    /// one organisation alone sends few through one daemon.
    pub fn record(
        &self,
        route: &Arc<str>,
        organisation: &Option<Arc<str>>,
        reported: GroupFractions,
    ) {
        let now = self.clock.now();
        let mut fractions = self.fractions.lock().expect("no holder panics");
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
