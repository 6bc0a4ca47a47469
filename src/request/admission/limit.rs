//! An adaptive concurrency limit for the backend server, derived from its latency.
//!
//! The baseline is the latency of calls that did not queue. A server that queues internally has a
//! constant throughput, so its latency grows with the limit (Little's law, L = rate x latency).
//! While calls are queued here and latency is far above the baseline, a probe lowers the limit for
//! one short window to the point where the server would be just busy if the baseline still held.
//! The latency in that window gives the knee: limit before x latency now / latency before.
//!
//! - Knee above the lowered limit: the server became slower and keeps its concurrency.
//! - Latency back at the baseline: the lowered limit is the knee.
//! - Otherwise the probe is repeated from the lowered limit.
//!
//! Between probes the limit grows while latency is near the baseline and otherwise shrinks by their
//! ratio. A limit that is not in use does not change.

use std::time::Duration;

use crate::clock::MilliTime;

const LIMIT_MIN: f64 = 4.0;
const LIMIT_MAX: f64 = 10_000.0;
const WINDOW_SPAN: Duration = Duration::from_millis(50);
const WINDOW_SPAN_MAX: Duration = Duration::from_secs(1);
const WINDOW_SAMPLES: usize = 32;
/// Samples per unit of the limit; fewer would over-represent short calls.
const SAMPLES_PER_CALL: usize = 1;
/// Latency up to this multiple of the baseline does not shrink the limit.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Ratios of tolerated to measured latency that leave the limit unchanged.
const HOLD_BAND: std::ops::RangeInclusive<f64> = 0.8..=1.2;
const SHRINK_FACTOR_MIN: f64 = 0.7;
const PROBE_LIMIT_FACTOR: f64 = 0.5;
/// A knee above the probe's limit by this factor shows that the probe went below the knee.
const KNEE_MARGIN: f64 = 1.15;
/// Latency within this factor of the baseline confirms it.
const BASELINE_MARGIN: f64 = 1.3;
/// Weight of one unqueued call in the baseline's moving average.
const BASELINE_WEIGHT: f64 = 0.005;
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Probe interval while latency is above the tolerance.
const SLOW_INTERVAL: Duration = Duration::from_secs(1);
/// Probe interval after a jump or drop of latency.
const JUMP_INTERVAL: Duration = Duration::from_millis(150);
/// Latency this many times above the tolerance is a jump.
const LATENCY_JUMP: f64 = 2.0;
/// Latency this many times below the tolerance is a drop: the server became faster.
const LATENCY_DROP: f64 = 3.0;
const REFUSAL_LIMIT_FACTOR: f64 = 0.9;

#[derive(Clone, Copy, Debug, PartialEq)]
enum LimitPhase {
    Steady { since: Option<MilliTime> },
    Probe { limit_before: f64, latency_before: f64 },
}

/// The latency samples of one window.
#[derive(Clone, Copy, Debug, Default)]
struct SampleWindow {
    started: Option<MilliTime>,
    count: usize,
    unqueued: usize,
    total_seconds: f64,
    refused: bool,
}

impl SampleWindow {
    fn is_full(&self, now: MilliTime, limit: usize) -> bool {
        let elapsed = self.started.map(|started| now.since(started)).unwrap_or_default();
        let required = WINDOW_SAMPLES.max(limit * SAMPLES_PER_CALL);
        let has_samples = self.count >= required && elapsed >= WINDOW_SPAN;
        self.count > 0 && (has_samples || elapsed >= WINDOW_SPAN_MAX)
    }

    fn latency(&self) -> f64 {
        self.total_seconds / self.count as f64
    }
}

/// The number of calls that the backend server can run without queueing them internally.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    adaptive: bool,
    limit: f64,
    baseline: Option<f64>,
    window: SampleWindow,
    phase: LimitPhase,
    epoch: u32,
}

impl ConcurrencyLimit {
    /// A limit that starts at `initial` calls.
    ///
    /// ```
    /// use lentilway::request::admission::ConcurrencyLimit;
    /// assert_eq!(ConcurrencyLimit::new(64).current(), 64);
    /// ```
    pub fn new(initial: usize) -> Self {
        ConcurrencyLimit {
            adaptive: true,
            limit: (initial as f64).clamp(LIMIT_MIN, LIMIT_MAX),
            baseline: None,
            window: SampleWindow::default(),
            phase: LimitPhase::Steady { since: None },
            epoch: 0,
        }
    }

    /// A static limit of `calls`.
    pub fn fixed(calls: usize) -> Self {
        ConcurrencyLimit { adaptive: false, ..ConcurrencyLimit::new(calls) }
    }

    /// The current limit, in calls.
    pub fn current(&self) -> usize {
        self.limit as usize
    }

    /// Changes when a probe starts or ends; samples of calls that started in an earlier epoch
    /// are ignored.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Records the latency, excluding sub-calls, of a call that started in `epoch`.
    ///
    /// Outside a probe only queued calls count, because they started with the limit in use. While
    /// most calls start without queueing, the limit does not change.
    pub fn observe(&mut self, now: MilliTime, epoch: u32, was_queued: bool, latency: Duration) {
        let probing = matches!(self.phase, LimitPhase::Probe { .. });
        if epoch != self.epoch || !self.adaptive {
            return;
        }
        if !(was_queued || probing) {
            self.window.unqueued += 1;
            self.update_baseline(latency.as_secs_f64());
            return;
        }
        self.window.started.get_or_insert(now);
        self.window.count += 1;
        self.window.total_seconds += latency.as_secs_f64();
        self.close_window(now);
    }

    /// Records that the backend server refused a call while `running` calls ran.
    pub fn observe_refusal(&mut self, now: MilliTime, running: usize) {
        if !self.adaptive {
            return;
        }
        if !std::mem::replace(&mut self.window.refused, true) {
            self.set_limit(self.limit.min(running as f64) * REFUSAL_LIMIT_FACTOR);
        }
        self.window.started.get_or_insert(now);
    }

    fn close_window(&mut self, now: MilliTime) {
        if !self.window.is_full(now, self.current()) {
            return;
        }
        let window = std::mem::take(&mut self.window);
        match self.phase {
            LimitPhase::Steady { since } => {
                self.close_steady(window, since.map(|since| now.since(since)))
            }
            LimitPhase::Probe { limit_before, latency_before } => {
                self.close_probe(now, window, limit_before, latency_before)
            }
        }
    }

    fn close_steady(&mut self, window: SampleWindow, elapsed: Option<Duration>) {
        if window.unqueued > window.count {
            return;
        }
        let latency = window.latency();
        let Some(baseline) = self.baseline else {
            return self.start_probe(latency);
        };
        let ratio = baseline * LATENCY_TOLERANCE / latency;
        // The first probe starts as soon as the limit is in use.
        if elapsed.is_none_or(|elapsed| elapsed >= probe_interval(ratio)) {
            self.start_probe(latency);
        } else if HOLD_BAND.contains(&ratio) {
            // Within the noise of the ratio.
        } else if ratio < 1.0 {
            self.set_limit(self.limit * ratio.max(SHRINK_FACTOR_MIN) + 1.0);
        } else if !window.refused {
            self.set_limit(self.limit + self.limit.sqrt());
        }
    }

    fn update_baseline(&mut self, latency: f64) {
        let baseline = self.baseline.get_or_insert(latency);
        *baseline += BASELINE_WEIGHT * (latency - *baseline);
    }

    fn start_probe(&mut self, latency: f64) {
        let limit_before = self.limit;
        let knee = self.baseline.map_or(0.0, |baseline| limit_before * baseline / latency);
        let target = if knee > LIMIT_MIN { knee } else { limit_before };
        self.phase = LimitPhase::Probe { limit_before, latency_before: latency };
        self.epoch += 1;
        self.set_limit(target.min(limit_before * PROBE_LIMIT_FACTOR));
    }

    fn close_probe(
        &mut self,
        now: MilliTime,
        window: SampleWindow,
        limit_before: f64,
        latency_before: f64,
    ) {
        let latency = window.latency();
        let knee = limit_before * latency / latency_before;
        let below_knee = knee > self.limit * KNEE_MARGIN;
        let confirmed = self.baseline.is_some_and(|baseline| latency <= baseline * BASELINE_MARGIN);
        if !below_knee && !confirmed && self.limit > LIMIT_MIN {
            self.baseline = None;
            return self.start_probe(latency);
        }
        self.baseline = Some(latency);
        self.phase = LimitPhase::Steady { since: Some(now) };
        self.epoch += 1;
        self.set_limit(knee.max(self.limit));
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = limit.clamp(LIMIT_MIN, LIMIT_MAX);
    }
}

/// Time between probes, by the ratio of tolerated to measured latency.
fn probe_interval(ratio: f64) -> Duration {
    match ratio {
        _ if ratio * LATENCY_JUMP < 1.0 || ratio > LATENCY_DROP => JUMP_INTERVAL,
        _ if ratio < *HOLD_BAND.start() => SLOW_INTERVAL,
        _ => PROBE_INTERVAL,
    }
}
