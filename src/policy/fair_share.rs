//! Share of each organisation in what a short service admits within a priority.
//!
//! Handles a few organisations that send several times their usual load while a service is short.
//! With one admitted fraction for all, they push the others aside. Here the admitted work of a
//! priority is divided max-min fair by weights: organisations that ask for less than their part
//! get all of it, and what they leave goes to the others.
//!
//! Each entry divides what it admits by the arrivals that it sees. The state is a space-saving
//! sketch: the heaviest organisations are counted one by one, and the others share the smallest
//! counts.

use std::sync::Arc;
use std::time::Duration;

use super::moving_average::RateAverage;
use crate::clock::MilliTime;

/// Organisations that are counted one by one in each priority.
const TRACKED_MAX: usize = 96;
/// Window of the arrivals of an organisation: an entry sees less than one of most in a second.
const WINDOW_SECONDS: f64 = 4.0;
/// Work assumed of an organisation of mean weight beside what arrived, as a fraction of the mean
/// work of all: few arrivals at one entry say little.
const PRIOR_FRACTION: f64 = 0.25;
/// Smallest admitted fraction of an organisation, as a ratio to that of all. No organisation may be
/// served less than a quarter as often as the average.
const RATIO_MIN: f64 = 0.35;
/// Time between divisions.
const DIVIDE_SPAN: Duration = Duration::from_millis(100);
/// Steps of the bisection for the water level.
const LEVEL_STEPS: usize = 24;

/// An organisation that sends a root.
#[derive(Clone, Copy, Debug)]
pub struct FairClaimant<'a> {
    /// Its name.
    pub organisation: &'a Arc<str>,
    /// Its configured rate per second; without one, it has the mean weight.
    pub rate: Option<f64>,
}

#[derive(Debug)]
struct OrganisationWork {
    organisation: Arc<str>,
    rate: Option<f64>,
    /// Work that arrived per second.
    work: RateAverage,
}

/// What the last division decided.
#[derive(Clone, Copy, Debug)]
struct ShareLevel {
    /// The admitted work for each unit of weight.
    level: f64,
    /// The admitted fraction of all organisations together.
    fraction: f64,
    mean_rate: f64,
    /// Mean work of the organisations.
    mean_work: f64,
}

/// The organisations' shares in one priority at one entry.
#[derive(Debug)]
pub struct FairShare {
    tracked: Vec<OrganisationWork>,
    /// Work that arrived and was admitted per second before the division.
    offered: RateAverage,
    admitted: RateAverage,
    divided: MilliTime,
    level: Option<ShareLevel>,
}

impl FairShare {
    /// No arrivals so far.
    pub fn new(now: MilliTime) -> Self {
        FairShare {
            tracked: Vec::new(),
            offered: RateAverage::new(WINDOW_SECONDS, now),
            admitted: RateAverage::new(WINDOW_SECONDS, now),
            divided: now,
            level: None,
        }
    }

    /// Counts a root that needs `work` of the short service, of which all organisations together are
    /// admitted `fraction`. Returns the fraction of this organisation.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::fair_share::{FairClaimant, FairShare};
    /// let mut share = FairShare::new(MilliTime(0));
    /// let (heavy, light) = ("heavy".into(), "light".into());
    /// let mut fractions = [0.0; 2];
    /// for step in 0..4_000 {
    ///     let organisation = if step % 10 == 0 { &light } else { &heavy };
    ///     let claimant = FairClaimant { organisation, rate: None };
    ///     let fraction = share.admit(MilliTime(step), claimant, 20.0, 0.5);
    ///     fractions[usize::from(step % 10 == 0)] = fraction;
    /// }
    /// assert!(fractions[0] < 0.5 && fractions[1] > 0.9);
    /// ```
    pub fn admit(
        &mut self,
        now: MilliTime,
        claimant: FairClaimant<'_>,
        work: f64,
        fraction: f64,
    ) -> f64 {
        if now.since(self.divided) >= DIVIDE_SPAN {
            self.divided = now;
            self.divide(now);
        }
        self.offered.add(now, work);
        self.admitted.add(now, work * fraction);
        let index = self.place(now, claimant);
        let one = &mut self.tracked[index];
        // Without the root that arrives: at most arrivals of a light organisation there is no other.
        let earlier = one.work.per_second(now);
        one.work.add(now, work);
        let ratio = self.level.map_or(1.0, |level| level.ratio(claimant.rate, earlier));
        (fraction * ratio).min(1.0)
    }

    /// Whether no work arrived for some windows.
    pub fn is_idle(&mut self, now: MilliTime) -> bool {
        self.offered.per_second(now) < 0.01
    }

    /// The number of organisations that are counted one by one.
    pub fn tracked(&self) -> usize {
        self.tracked.len()
    }

    /// The index of the organisation's count; it takes over the smallest one if there are too many.
    fn place(&mut self, now: MilliTime, claimant: FairClaimant<'_>) -> usize {
        let known = |one: &OrganisationWork| one.organisation == *claimant.organisation;
        if let Some(index) = self.tracked.iter().position(known) {
            self.tracked[index].rate = claimant.rate;
            return index;
        }
        let organisation = claimant.organisation.clone();
        if self.tracked.len() < TRACKED_MAX {
            let work = RateAverage::new(WINDOW_SECONDS, now);
            self.tracked.push(OrganisationWork { organisation, rate: claimant.rate, work });
            return self.tracked.len() - 1;
        }
        let mut smallest = (0, f64::INFINITY);
        for (index, one) in self.tracked.iter_mut().enumerate() {
            let work = one.work.per_second(now);
            if work < smallest.1 {
                smallest = (index, work);
            }
        }
        let one = &mut self.tracked[smallest.0];
        (one.organisation, one.rate) = (organisation, claimant.rate);
        smallest.0
    }

    fn divide(&mut self, now: MilliTime) {
        self.tracked.retain_mut(|one| one.work.per_second(now) > 0.01);
        let offered = self.offered.per_second(now);
        if offered <= 0.0 || self.tracked.is_empty() {
            return;
        }
        let fraction = (self.admitted.per_second(now) / offered).clamp(0.0, 1.0);
        let rates: Vec<f64> = self.tracked.iter().filter_map(|one| one.rate).collect();
        let mean_rate = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        let mean_work = offered / self.tracked.len() as f64;
        let mut level = ShareLevel { level: 0.0, fraction, mean_rate, mean_work };
        let claims: Vec<(f64, f64)> = self
            .tracked
            .iter_mut()
            .map(|one| level.claim(one.rate, one.work.per_second(now)))
            .collect();
        level.level = water_level(&claims, fraction);
        self.level = Some(level);
    }
}

impl ShareLevel {
    /// Weight and work of an organisation.
    fn claim(&self, rate: Option<f64>, arrived: f64) -> (f64, f64) {
        let weight = match rate {
            Some(rate) if self.mean_rate > 0.0 => rate / self.mean_rate,
            _ => 1.0,
        };
        (weight, arrived + PRIOR_FRACTION * self.mean_work * weight)
    }

    /// The admitted fraction of an organisation, as a ratio to that of all.
    fn ratio(&self, rate: Option<f64>, arrived: f64) -> f64 {
        let (weight, work) = self.claim(rate, arrived);
        let whole = (work * self.fraction).max(f64::MIN_POSITIVE);
        granted(weight, work, self.level, self.fraction) / whole
    }
}

/// What an organisation gets at this level.
fn granted(weight: f64, work: f64, level: f64, fraction: f64) -> f64 {
    (level * weight).clamp(work * fraction * RATIO_MIN, work)
}

/// The work for each unit of weight at which all together get `fraction` of theirs.
fn water_level(claims: &[(f64, f64)], fraction: f64) -> f64 {
    let target = fraction * claims.iter().map(|(_, work)| work).sum::<f64>();
    let per_weight = claims.iter().map(|(weight, work)| work / weight.max(f64::MIN_POSITIVE));
    let (mut low, mut high) = (0.0, per_weight.fold(0.0, f64::max));
    for _ in 0..LEVEL_STEPS {
        let level = (low + high) / 2.0;
        let sum: f64 =
            claims.iter().map(|(weight, work)| granted(*weight, *work, level, fraction)).sum();
        if sum < target { low = level } else { high = level }
    }
    high
}
