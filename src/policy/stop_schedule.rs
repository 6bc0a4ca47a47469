//! Which requests a stopping daemon still takes, and when it disconnects its callers.
//!
//! Handles callers that go on sending to a daemon that stops because too few others are up: what can
//! end in time is served, the rest is refused before it is sent on, so that nothing is cut off.

use std::time::Duration;

use crate::clock::MilliTime;

/// Fraction of the stop time after which the backend server gets no new requests. Before that,
/// other daemons can detect lower capacity here only by refusals.
const ADMISSION_OPEN_FRACTION: f64 = 0.2;
/// Fraction of the stop time during which callers may open connections: readiness is probed once a
/// second, and callers switch to other daemons after two failed probes.
const ACCEPT_FRACTION: f64 = 0.4;
/// Time in which all requests are taken, unless callers are to switch sooner. The callers of one that
/// is cut off all the same were told to switch before they sent it.
const TAKE_ALL_SPAN: Duration = Duration::from_millis(2_500);
/// Time reserved before the process is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Time for the answer to a request that ends at its deadline to reach the caller.
const ANSWER_SPAN: Duration = Duration::from_millis(200);

/// The phases of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopSchedule {
    started: MilliTime,
    bound: Duration,
}

impl StopSchedule {
    /// A stop that begins at `started` and must end within `bound`.
    pub fn new(started: MilliTime, bound: Duration) -> Self {
        StopSchedule { started, bound }
    }

    /// When the backend server gets no new requests.
    pub fn admission_end(&self) -> MilliTime {
        self.started + self.bound.mul_f64(ADMISSION_OPEN_FRACTION)
    }

    /// Until when callers may open connections at least.
    pub fn accept_end(&self) -> MilliTime {
        self.started + self.bound.mul_f64(ACCEPT_FRACTION)
    }

    /// When callers are disconnected even if requests are running.
    pub fn end(&self) -> MilliTime {
        self.started + self.bound.saturating_sub(EXIT_MARGIN)
    }

    /// Whether a caller's request is taken that ends at `deadline` at the latest.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::stop_schedule::StopSchedule;
    /// let schedule = StopSchedule::new(MilliTime(0), Duration::from_secs(6));
    /// assert!(schedule.takes(MilliTime(1_000), MilliTime(9_000)));
    /// assert!(schedule.takes(MilliTime(3_000), MilliTime(5_000)));
    /// assert!(!schedule.takes(MilliTime(3_000), MilliTime(5_500)));
    /// ```
    pub fn takes(&self, now: MilliTime, deadline: MilliTime) -> bool {
        let all_end = self.accept_end().min(self.started + TAKE_ALL_SPAN);
        now < all_end || deadline + ANSWER_SPAN <= self.end()
    }
}
