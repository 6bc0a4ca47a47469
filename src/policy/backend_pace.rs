//! Pace of the requests to one backend server.
//!
//! Handles a backend server that is cold: after its start, and again at any later moment. It
//! tolerates a stated rate and crashes at rates well above, so any second holds at most a stated
//! number of requests from all senders together. All of them pass the daemon beside it, which keeps
//! the bound. Health checks tell when a warm server becomes cold; what was sent since the last one
//! that found it warm may have reached a cold server, so it stays within the same bound. A server
//! that starts or returns also gets a slow start, whose pace the cold one bounds.

use std::collections::VecDeque;
use std::time::Duration;

use super::admission_queue::RunEnd;
use super::backend_notice::RequestLimit;
use super::moving_average::SampleAverage;
use super::request_pacer::RequestPacer;
use super::slow_start::SlowStart;
use crate::clock::MilliTime;

/// The window of the bound with an allowance for the way: requests that are sent within it may
/// arrive within a second.
const BOUND_WINDOW: Duration = Duration::from_millis(1_200);
/// Fraction of the bound that is used. The rest is for health checks and for what was on its way
/// when a health check was sent.
const BOUND_FRACTION: f64 = 0.9;
/// Fraction of the usable bound after which the next health check is due; what is sent until its
/// answer arrives takes from the rest.
const CHECK_FRACTION: f64 = 0.5;
/// Shortest time between health checks: each takes a slot.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(25);
/// The same after one without an answer.
const CHECK_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between health checks while requests are sent or the server is cold.
const CHECK_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// Time until a waiting request is tried again while a health check is under way. Its answer starts
/// the request sooner.
const CHECK_WAIT: Duration = Duration::from_millis(10);
/// Added to each reported end: reports are rounded, and requests arrive later than they are sent.
const COLD_END_MARGIN: Duration = Duration::from_millis(20);
/// Maximum number of remembered sends; a bound beyond it is kept as this one.
const SENDS_MAX: usize = 4_096;

/// Weight of one run in the usual service time, which outlasts the server's starts.
const USUAL_SAMPLE_WEIGHT: f64 = 0.02;

/// Requests that a cold backend server may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Requests per second that it tolerates.
    pub per_second: f64,
    /// Maximum number of requests in any second.
    pub per_window: f64,
}

impl ColdTerms {
    /// The terms before a configuration is known: below those of usual services.
    pub const UNCONFIGURED: ColdTerms = ColdTerms { per_second: 5.0, per_window: 8.0 };

    /// The terms of a rate with `overage` as a factor and `slack` in addition.
    ///
    /// ```
    /// use lentilway::policy::backend_pace::ColdTerms;
    /// assert_eq!(ColdTerms::new(15.0, 1.5, 8.0).per_window, 30.5);
    /// ```
    pub fn new(per_second: f64, overage: f64, slack: f64) -> Self {
        ColdTerms { per_second, per_window: per_second * overage + slack }
    }

    /// Requests that are sent within the window, at least one.
    fn allowance(self) -> usize {
        ((self.per_window * BOUND_FRACTION) as usize).clamp(1, SENDS_MAX)
    }
}

/// Why requests to a backend server are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceCause {
    /// It is cold, or has not reported whether it is.
    Cold,
    /// It started or returned a short time ago.
    SlowStart,
    /// It may have become cold since it last answered a health check.
    Check,
}

/// Requests that did not run at once, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldCounts {
    /// See [`PaceCause::Cold`].
    pub cold: u64,
    /// See [`PaceCause::SlowStart`].
    pub slow_start: u64,
    /// See [`PaceCause::Check`].
    pub check: u64,
}

/// A request that may have reached a cold server.
#[derive(Clone, Copy, Debug)]
struct UnprovenSend {
    at: MilliTime,
    /// Whether the server was cold or its state unknown; no later health check changes that.
    is_cold: bool,
}

/// The health checks of a backend server.
#[derive(Clone, Copy, Debug, Default)]
struct CheckState {
    /// When the last one began.
    begun: MilliTime,
    is_under_way: bool,
    /// Whether the last one that ended got no answer.
    is_failed: bool,
    /// Requests since the last one began.
    sends: usize,
}

/// Decides when a backend server gets its next request.
#[derive(Clone, Debug)]
pub struct BackendPace {
    /// `None` if the server takes requests at any rate.
    terms: Option<ColdTerms>,
    /// Whether the current incarnation reported whether it is cold.
    is_known: bool,
    cold_until: MilliTime,
    /// Until when a cold server may hold requests of a former process.
    former_until: MilliTime,
    /// Times of the requests within the window of the bound.
    sends: VecDeque<MilliTime>,
    /// Those of them that may have reached a cold server.
    unproven: VecDeque<UnprovenSend>,
    /// Present while a rate is in force.
    pacer: Option<RequestPacer>,
    check: CheckState,
    held: HeldCounts,
    slow_start: Option<SlowStart>,
    /// Whether a slow start is to begin once the configuration is known.
    is_start_due: bool,
    /// Service time outside slow starts.
    usual_millis: SampleAverage,
}

impl Default for BackendPace {
    fn default() -> Self {
        BackendPace {
            terms: None,
            is_known: false,
            cold_until: MilliTime::default(),
            former_until: MilliTime::default(),
            sends: VecDeque::new(),
            unproven: VecDeque::new(),
            pacer: None,
            check: CheckState::default(),
            held: HeldCounts::default(),
            slow_start: None,
            is_start_due: false,
            usual_millis: SampleAverage::new(USUAL_SAMPLE_WEIGHT),
        }
    }
}

impl BackendPace {
    /// Sets what a cold server may get; `None` if it takes requests at any rate.
    pub fn set_terms(&mut self, now: MilliTime, terms: Option<ColdTerms>) {
        self.terms = terms;
        self.check.is_failed = false;
        self.update(now);
        if std::mem::take(&mut self.is_start_due) && self.terms.is_some() {
            self.begin_slow_start(now);
        }
    }

    /// Assumes that a former process beside the same server has just sent what the bound allows.
    pub fn assume_former(&mut self, now: MilliTime) {
        self.former_until = now + BOUND_WINDOW;
    }

    /// Records that the server started after this process: no former one has sent it anything.
    pub fn exclude_former(&mut self) {
        self.former_until = MilliTime::default();
    }

    /// Has the strictest limit apply until the server that starts reports whether it is cold.
    pub fn start_incarnation(&mut self, now: MilliTime) {
        self.is_known = false;
        self.cold_until = now;
        self.check.is_failed = false;
        self.update(now);
    }

    /// Begins a slow start: the server is cold or returns. Without a limit of cold servers it waits for the
    /// next configuration, since the server may start before the first one is known.
    pub fn begin_slow_start(&mut self, now: MilliTime) {
        if self.terms.is_none() || !self.is_configured() {
            self.is_start_due = true;
            return;
        }
        let usual = self.usual_millis.mean_or(0.0);
        let usual = (usual > 0.0).then_some(usual);
        self.slow_start = self.terms.map(|terms| SlowStart::new(now, terms.per_second, usual));
        self.update(now);
    }

    /// Records the end of a run that took `elapsed`.
    pub fn record_end(&mut self, now: MilliTime, elapsed: Duration, end: RunEnd) {
        if let Some(start) = &mut self.slow_start {
            start.record_end(now, elapsed, end);
            self.update(now);
        } else if end == RunEnd::Answered {
            self.usual_millis.add(elapsed.as_secs_f64() * 1_000.0);
        }
    }

    /// Records that the server stays cold for `cold_for`, zero if it is warm. Of several reports, the
    /// one with the latest end applies.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::backend_pace::{BackendPace, ColdTerms};
    /// let mut pace = BackendPace::default();
    /// pace.set_terms(MilliTime(0), Some(ColdTerms::new(15.0, 1.5, 8.0)));
    /// assert!(pace.is_cold(MilliTime(0)));
    /// pace.report(MilliTime(0), Duration::from_secs(3));
    /// pace.report(MilliTime(10), Duration::ZERO);
    /// assert!(pace.is_cold(MilliTime(3_000)));
    /// assert!(!pace.is_cold(MilliTime(3_100)));
    /// ```
    pub fn report(&mut self, now: MilliTime, cold_for: Duration) {
        self.is_known = true;
        if !cold_for.is_zero() {
            self.unproven.iter_mut().for_each(|send| send.is_cold = true);
            if self.slow_start.is_none() {
                self.begin_slow_start(now);
            }
            self.cold_until = self.cold_until.max(now + cold_for + COLD_END_MARGIN);
        }
        self.update(now);
    }

    /// Whether the limit of cold servers applies.
    pub fn is_cold(&self, now: MilliTime) -> bool {
        self.terms.is_some() && (!self.is_known || now < self.cold_until)
    }

    /// Requests per second that the server gets; `None` if they are not limited.
    pub fn rate(&self, now: MilliTime) -> Option<f64> {
        let terms = self.terms?;
        let cold = self.is_cold(now).then_some(terms.per_second);
        let starting = self.slow_start.as_ref().map(SlowStart::rate);
        [cold, starting].into_iter().flatten().reduce(f64::min)
    }

    /// Why a rate is in force; `None` if there is none.
    pub fn cause(&self, now: MilliTime) -> Option<PaceCause> {
        match (self.is_cold(now), &self.slow_start) {
            (true, _) => Some(PaceCause::Cold),
            (false, Some(_)) => Some(PaceCause::SlowStart),
            (false, None) => None,
        }
    }

    /// Time for which the server is known to stay cold.
    pub fn cold_for(&self, now: MilliTime) -> Duration {
        self.cold_until.until(now)
    }

    /// Whether the configuration is known.
    pub fn is_configured(&self) -> bool {
        self.terms != Some(ColdTerms::UNCONFIGURED)
    }

    /// The requests that were held back.
    pub fn held(&self) -> HeldCounts {
        self.held
    }

    /// Counts an arriving request that does not run at once, if the pace holds it back.
    pub fn count_held(&mut self, now: MilliTime) {
        if self.wait(now, 0).is_none_or(|wait| wait.is_zero()) {
            return;
        }
        let count = match self.cause(now) {
            Some(PaceCause::Cold) => &mut self.held.cold,
            Some(PaceCause::SlowStart) => &mut self.held.slow_start,
            Some(PaceCause::Check) | None => &mut self.held.check,
        };
        *count += 1;
    }

    /// Time until a request with `ahead` others before it may be sent; `None` if no limit applies.
    pub fn wait(&self, now: MilliTime, ahead: usize) -> Option<Duration> {
        let terms = self.terms?;
        let rate = self.rate(now);
        let paced =
            rate.map(|_| self.pacer.as_ref().map_or(CHECK_WAIT, |pacer| pacer.wait(now, ahead)));
        if !self.is_cold(now) {
            let sent_at = |index: usize| self.unproven[index].at;
            let wait = Self::window_wait(now, terms.allowance(), self.unproven.len(), sent_at);
            return paced.max((!self.check.is_failed && !wait.is_zero()).then_some(CHECK_WAIT));
        }
        let sent_at = |index: usize| self.sends[index];
        let window = Self::window_wait(now, terms.allowance(), self.sends.len(), sent_at);
        let former = self.former_until.until(now);
        paced.max(Some(window.max(former)))
    }

    /// Counts a request that is sent; `false` if it must not be sent now.
    pub fn take(&mut self, now: MilliTime) -> bool {
        self.update(now);
        // The wait is rounded to the resolution of durations, the tokens are not.
        if self.wait(now, 0).is_some_and(|wait| !wait.is_zero())
            || self.pacer.as_mut().is_some_and(|pacer| !pacer.take(now))
        {
            return false;
        }
        self.slow_start.iter_mut().for_each(SlowStart::count_send);
        let is_past = |at: MilliTime| now.since(at) >= BOUND_WINDOW;
        while self.sends.len() >= SENDS_MAX || self.sends.front().is_some_and(|at| is_past(*at)) {
            self.sends.pop_front();
        }
        while self.unproven.len() >= SENDS_MAX
            || self.unproven.front().is_some_and(|send| is_past(send.at))
        {
            self.unproven.pop_front();
        }
        self.sends.push_back(now);
        self.unproven.push_back(UnprovenSend { at: now, is_cold: self.is_cold(now) });
        self.check.sends += 1;
        true
    }

    /// Uncounts the last request, which was not sent.
    pub fn put_back(&mut self) {
        if let Some(pacer) = &mut self.pacer {
            pacer.put_back();
        }
        self.sends.pop_back();
        self.unproven.pop_back();
        self.check.sends = self.check.sends.saturating_sub(1);
    }

    /// Time until the next health check; `None` while none is needed. The interval follows from the
    /// requests that are sent.
    pub fn check_wait(&self, now: MilliTime) -> Option<Duration> {
        let terms = self.terms?;
        let check = &self.check;
        let share = (terms.allowance() as f64 * CHECK_FRACTION).max(1.0);
        let interval = match check.sends as f64 {
            _ if check.is_under_way => return None,
            sends if sends >= share && !check.is_failed => CHECK_INTERVAL_MIN,
            sends if sends >= share || !self.is_known => CHECK_RETRY_INTERVAL,
            sends if sends > 0.0 || self.is_cold(now) => CHECK_INTERVAL_MAX,
            _ => return None,
        };
        Some((check.begun + interval).until(now))
    }

    /// Records that a health check is sent.
    pub fn begin_check(&mut self, now: MilliTime) {
        self.check = CheckState { begun: now, is_under_way: true, sends: 0, ..self.check };
    }

    /// Records the end of a health check, with the time for which the server stays cold. Without an
    /// answer the last known state holds.
    pub fn end_check(&mut self, now: MilliTime, cold_for: Option<Duration>) {
        self.check.is_under_way = false;
        self.check.is_failed = cold_for.is_none();
        if let Some(cold_for) = cold_for {
            if cold_for.is_zero() {
                let later = self.unproven.len().saturating_sub(self.check.sends);
                let mut index = 0;
                self.unproven.retain(|send| {
                    index += 1;
                    send.is_cold || index > later
                });
            }
            self.report(now, cold_for);
        }
    }

    /// Time until the window holds fewer than `allowance` of these requests.
    fn window_wait(
        now: MilliTime,
        allowance: usize,
        count: usize,
        sent_at: impl Fn(usize) -> MilliTime,
    ) -> Duration {
        let first = count.checked_sub(allowance);
        first.map_or(Duration::ZERO, |index| (sent_at(index) + BOUND_WINDOW).until(now))
    }

    /// Applies the time that has passed: a slow start moves on, and the pacer gets the rate in force.
    pub fn update(&mut self, now: MilliTime) {
        let is_cold = self.is_cold(now);
        if let Some(start) = &mut self.slow_start {
            start.advance(now);
            if is_cold {
                start.cap();
            }
        }
        let is_over = self.slow_start.as_ref().is_some_and(|start| start.is_over(now));
        if (is_over && !is_cold) || self.terms.is_none() {
            self.slow_start = None;
        }
        let limit = self.rate(now).and_then(RequestLimit::new);
        match (&mut self.pacer, limit) {
            (Some(pacer), Some(limit)) => pacer.set_limit(now, limit),
            (pacer, limit) => *pacer = limit.map(|limit| RequestPacer::new(now, limit)),
        }
    }
}
