//! Exponentially weighted averages of samples, rates and failures.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::MilliTime;

/// An exponentially weighted mean of samples.
#[derive(Clone, Copy, Debug)]
pub struct SampleAverage {
    weight: f64,
    mean: Option<f64>,
}

impl SampleAverage {
    /// An average in which each new sample has this weight, between 0 and 1.
    ///
    /// ```
    /// use lentilway::policy::moving_average::SampleAverage;
    /// let mut average = SampleAverage::new(0.5);
    /// average.add(10.0);
    /// average.add(20.0);
    /// assert_eq!(average.mean_or(0.0), 15.0);
    /// ```
    pub fn new(weight: f64) -> Self {
        SampleAverage { weight, mean: None }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        let mean = self.mean.get_or_insert(sample);
        *mean += self.weight * (sample - *mean);
    }

    /// The mean, or `default` before the first sample.
    pub fn mean_or(&self, default: f64) -> f64 {
        self.mean.unwrap_or(default)
    }
}

/// A rate per second, averaged with an exponential window.
#[derive(Clone, Copy, Debug)]
pub struct RateAverage {
    window_seconds: f64,
    per_second: f64,
    updated: MilliTime,
}

impl RateAverage {
    /// A rate of zero, averaged over a window of this many seconds.
    pub fn new(window_seconds: f64, now: MilliTime) -> Self {
        RateAverage { window_seconds, per_second: 0.0, updated: now }
    }

    /// Counts `amount` at `now`.
    pub fn add(&mut self, now: MilliTime, amount: f64) {
        self.decay(now);
        self.per_second += amount / self.window_seconds;
    }

    /// Takes back an amount that was added a moment ago.
    pub fn subtract(&mut self, now: MilliTime, amount: f64) {
        self.add(now, -amount);
        self.per_second = self.per_second.max(0.0);
    }

    /// The rate at `now`.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::moving_average::RateAverage;
    /// let mut rate = RateAverage::new(1.0, MilliTime(0));
    /// rate.add(MilliTime(0), 5.0);
    /// assert_eq!(rate.per_second(MilliTime(0)), 5.0);
    /// assert!(rate.per_second(MilliTime(1000)) < 2.0);
    /// ```
    pub fn per_second(&mut self, now: MilliTime) -> f64 {
        self.decay(now);
        self.per_second
    }

    fn decay(&mut self, now: MilliTime) {
        let elapsed = now.since(self.updated).as_secs_f64();
        if elapsed > 0.0 {
            self.per_second *= (-elapsed / self.window_seconds).exp();
            self.updated = now;
        }
    }
}

/// Numbers of events in windows that end now or earlier.
#[derive(Clone, Debug)]
pub struct WindowCount {
    bucket_millis: u64,
    /// Counts by number of the bucket, the newest last.
    buckets: VecDeque<(u64, u32)>,
}

/// Buckets of a window.
const WINDOW_BUCKETS: u64 = 100;

impl WindowCount {
    /// A count of zero in windows of this length.
    pub fn new(window: Duration) -> Self {
        let bucket_millis = (window.as_millis() as u64 / WINDOW_BUCKETS).max(1);
        WindowCount { bucket_millis, buckets: VecDeque::new() }
    }

    /// Counts an event at `now`. Events must be added in the order of their times.
    pub fn add(&mut self, now: MilliTime) {
        let bucket = now.0 / self.bucket_millis;
        match self.buckets.back_mut() {
            Some((newest, count)) if *newest >= bucket => *count += 1,
            _ => self.buckets.push_back((bucket, 1)),
        }
        while self.buckets.front().is_some_and(|(oldest, _)| oldest + 2 * WINDOW_BUCKETS < bucket) {
            self.buckets.pop_front();
        }
    }

    /// Uncounts the last event.
    pub fn remove_last(&mut self) {
        if let Some((_, count)) = self.buckets.back_mut() {
            *count = count.saturating_sub(1);
        }
    }

    /// The events from `from` to `to`, both to the hundredth of a window, at most two windows before
    /// the last event.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::moving_average::WindowCount;
    /// let mut count = WindowCount::new(Duration::from_secs(10));
    /// count.add(MilliTime(1_000));
    /// count.add(MilliTime(8_000));
    /// assert_eq!(count.between(MilliTime(0), MilliTime(8_000)), 2);
    /// assert_eq!(count.between(MilliTime(2_000), MilliTime(8_000)), 1);
    /// ```
    pub fn between(&self, from: MilliTime, to: MilliTime) -> u32 {
        let (first, last) = (from.0 / self.bucket_millis, to.0 / self.bucket_millis);
        let is_within = |bucket: u64| bucket >= first && bucket <= last;
        let within = self.buckets.iter().filter(|(bucket, _)| is_within(*bucket));
        within.map(|(_, count)| count).sum()
    }
}

/// Fraction of recent events that failed. It decays with time, so that a source that is avoided for
/// its failures is tried again.
#[derive(Clone, Copy, Debug)]
pub struct FailureFraction {
    failures: RateAverage,
    events: RateAverage,
}

/// Usual window of the rates.
const FAILURE_WINDOW_SECONDS: f64 = 2.0;
/// Successes per second that are assumed in addition to those observed.
const ASSUMED_SUCCESSES: f64 = 1.0;

impl FailureFraction {
    /// A fraction without events.
    pub fn new(now: MilliTime) -> Self {
        FailureFraction::with_window(FAILURE_WINDOW_SECONDS, now)
    }

    /// A fraction without events, averaged over a window of this many seconds.
    pub fn with_window(window_seconds: f64, now: MilliTime) -> Self {
        let rate = RateAverage::new(window_seconds, now);
        FailureFraction { failures: rate, events: rate }
    }

    /// Events per second.
    pub fn events_per_second(&mut self, now: MilliTime) -> f64 {
        self.events.per_second(now)
    }

    /// Adds an event.
    pub fn add(&mut self, now: MilliTime, failed: bool) {
        self.events.add(now, 1.0);
        if failed {
            self.failures.add(now, 1.0);
        }
    }

    /// The fraction that failed, between 0 and 1.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::moving_average::FailureFraction;
    /// let mut failures = FailureFraction::new(MilliTime(0));
    /// (0..10).for_each(|_| failures.add(MilliTime(0), true));
    /// assert!(failures.fraction(MilliTime(0)) > 0.8);
    /// assert!(failures.fraction(MilliTime(10_000)) < 0.1);
    /// ```
    pub fn fraction(&mut self, now: MilliTime) -> f64 {
        let events = self.events.per_second(now) + ASSUMED_SUCCESSES;
        self.failures.per_second(now) / events
    }

    /// [`FailureFraction::fraction`] in thousandths.
    pub fn permille(&mut self, now: MilliTime) -> u16 {
        (self.fraction(now) * 1_000.0) as u16
    }
}
