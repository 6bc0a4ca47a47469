//! Slow start of a backend server.
//!
//! Handles a backend server that was cold, or returns after a failure or a pause: how much it takes is
//! not known, and a load at full rate may end it again. One that starts warm has none: a fleet that
//! starts whole would refuse most of its first load. Its pace begins at the rate that it
//! tolerates while cold, doubles in each step with good answers, and is halved as soon as answers are
//! bad: failed, refused, or much slower than usual. It ends when the pace exceeds the demand.

use std::time::Duration;

use super::admission_queue::RunEnd;
use crate::clock::MilliTime;

/// Shortest time between changes to a higher pace.
const STEP_SPAN: Duration = Duration::from_millis(250);
/// Runs that must have ended in a step.
const STEP_ENDS_MIN: usize = 5;
/// Factor on the pace after a step with good answers.
const GROWTH_FACTOR: f64 = 2.0;
/// Factor on the pace when answers are bad.
const CUT_FACTOR: f64 = 0.5;
/// Fraction of the pace that requests must use for it to grow.
const USED_FRACTION: f64 = 0.7;
/// Fraction of failed and refused runs above which answers are bad.
const BAD_FRACTION: f64 = 0.3;
/// Bad runs that are needed for a cut, so that a single one does not halve the pace.
const BAD_ENDS_MIN: usize = 3;
/// Factor on the usual service time above which answers are bad. Means of a few runs vary.
const SLOW_FACTOR: f64 = 2.0;
/// Steps in a row that leave some of the pace unused, after which the slow start ends.
const UNUSED_STEPS: u32 = 4;
/// Longest slow start. A service all of whose servers fail must not stay at the lowest pace.
const SPAN_MAX: Duration = Duration::from_secs(30);

/// What happened in the current step.
#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    begun: MilliTime,
    sends: usize,
    ends: usize,
    bad: usize,
    answered_millis: f64,
}

impl StepCounts {
    fn new(begun: MilliTime) -> Self {
        StepCounts { begun, ..StepCounts::default() }
    }

    fn mean_millis(&self) -> Option<f64> {
        let answered = self.ends - self.bad;
        (answered > 0).then(|| self.answered_millis / answered as f64)
    }
}

/// The pace of a backend server from its start until it keeps up with the demand.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// The lowest pace, at which it began.
    floor: f64,
    rate: f64,
    begun: MilliTime,
    /// Runs that were sent before this are not counted: they belong to a higher pace.
    counted_from: MilliTime,
    step: StepCounts,
    unused_steps: u32,
    /// Service time to compare with, in milliseconds.
    usual_millis: Option<f64>,
}

impl SlowStart {
    /// A slow start from `floor` requests per second; `usual_millis` is the earlier service time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::admission_queue::RunEnd;
    /// use lentilway::policy::slow_start::SlowStart;
    /// let mut start = SlowStart::new(MilliTime(0), 20.0, None);
    /// for at in [50, 100, 150, 200, 250] {
    ///     start.count_send();
    ///     start.record_end(MilliTime(at), Duration::from_millis(10), RunEnd::Answered);
    /// }
    /// assert_eq!(start.rate(), 40.0);
    /// ```
    pub fn new(now: MilliTime, floor: f64, usual_millis: Option<f64>) -> Self {
        SlowStart {
            floor,
            rate: floor,
            begun: now,
            counted_from: now,
            step: StepCounts::new(now),
            unused_steps: 0,
            usual_millis,
        }
    }

    /// Requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether the server keeps up with the demand, or the slow start took its longest time.
    pub fn is_over(&self, now: MilliTime) -> bool {
        self.unused_steps >= UNUSED_STEPS || now.since(self.begun) >= SPAN_MAX
    }

    /// Counts a request that is sent.
    pub fn count_send(&mut self) {
        self.step.sends += 1;
    }

    /// Records the end of a run that took `elapsed`.
    pub fn record_end(&mut self, now: MilliTime, elapsed: Duration, end: RunEnd) {
        if now.before(elapsed) < self.counted_from {
            return;
        }
        self.step.ends += 1;
        match end {
            RunEnd::Answered => self.step.answered_millis += elapsed.as_secs_f64() * 1_000.0,
            RunEnd::Failed | RunEnd::Refused => self.step.bad += 1,
        }
        let bad_fraction = self.step.bad as f64 / self.step.ends as f64;
        if self.step.bad >= BAD_ENDS_MIN && bad_fraction > BAD_FRACTION {
            self.cut(now);
        }
        self.advance(now);
    }

    /// Ends the current step if it is due.
    pub fn advance(&mut self, now: MilliTime) {
        let span = now.since(self.step.begun);
        if span < STEP_SPAN {
            return;
        }
        let is_used = self.step.sends as f64 >= USED_FRACTION * self.rate * span.as_secs_f64();
        if !is_used {
            // A step without good answers shows nothing of what the server takes.
            self.unused_steps += u32::from(self.step.ends > self.step.bad);
            self.step = StepCounts::new(now);
            return;
        }
        if self.step.ends < STEP_ENDS_MIN {
            return;
        }
        self.unused_steps = 0;
        let (Some(mean), usual) = (self.step.mean_millis(), self.usual_millis) else {
            return self.cut(now);
        };
        if usual.is_some_and(|usual| mean > usual * SLOW_FACTOR) {
            return self.cut(now);
        }
        self.usual_millis = Some(usual.map_or(mean, |usual| usual.min(mean)));
        self.rate *= GROWTH_FACTOR;
        self.step = StepCounts::new(now);
    }

    /// Limits the pace to the one at which the server is known to be cold.
    pub fn cap(&mut self) {
        self.rate = self.rate.min(self.floor);
        self.unused_steps = 0;
    }

    fn cut(&mut self, now: MilliTime) {
        self.rate = (self.rate * CUT_FACTOR).max(self.floor);
        self.counted_from = now;
        self.unused_steps = 0;
        self.step = StepCounts::new(now);
    }
}
