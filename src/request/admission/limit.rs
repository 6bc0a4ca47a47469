//! The number of calls that the backend server runs at a time, learned from its own latency.
//!
//! The latency of calls that start at once is the baseline. A server that queues inside answers at
//! a constant rate, so its latency grows with the limit (Little's law, L = rate x latency). While
//! calls wait at the gate and latency is far above the baseline, the limit is lowered for a short
//! window to where the server would just be busy if the baseline still held. What latency does
//! then gives the knee: limit before x latency now / latency before. If the knee lies above the
//! lowered limit, the server became slower and keeps its concurrency; if latency is back at the
//! baseline, the lowered limit is the knee; otherwise the search goes on from there. The limit
//! grows while latency is near the baseline and shrinks by their ratio in between. A limit that is
//! not in use is left alone.

use std::time::Duration;

use crate::clock::MilliTime;

const LIMIT_MIN: f64 = 4.0;
const LIMIT_MAX: f64 = 10_000.0;
const WINDOW_SPAN: Duration = Duration::from_millis(50);
const WINDOW_SPAN_MAX: Duration = Duration::from_secs(1);
const WINDOW_SAMPLES: usize = 32;
/// Samples for each call of the limit; fewer would show short calls alone.
const SAMPLES_PER_CALL: usize = 1;
/// Latency may be this many times the baseline before the limit shrinks.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Ratios of tolerated to seen latency between these leave the limit as it is.
const HOLD_BAND: std::ops::RangeInclusive<f64> = 0.8..=1.2;
const SHRINK_FACTOR_MIN: f64 = 0.7;
const PROBE_LIMIT_FACTOR: f64 = 0.5;
/// The knee must lie this much above a probe's limit to show that the probe went below it.
const KNEE_MARGIN: f64 = 1.15;
/// Latency within this factor of the baseline confirms it.
const BASELINE_MARGIN: f64 = 1.3;
/// Weight of one call that started at once in the baseline.
const BASELINE_WEIGHT: f64 = 0.005;
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time until a probe if latency stays above the tolerance.
const SLOW_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time until a probe if latency jumped.
const JUMP_PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// A ratio this far from 1 shows a jump of latency.
const LATENCY_JUMP_FACTOR: f64 = 2.0;
/// Latency far below the baseline: the server became faster.
const LATENCY_DROP_FACTOR: f64 = 3.0;
const REFUSAL_LIMIT_FACTOR: f64 = 0.9;
#[derive(Clone, Copy, Debug, PartialEq)]
enum LimitPhase {
    Steady { since: Option<MilliTime> },
    Probe { limit_before: f64, latency_before: f64 },
}

/// The samples of one window.
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
        let enough = self.count >= required && elapsed >= WINDOW_SPAN;
        self.count > 0 && (enough || elapsed >= WINDOW_SPAN_MAX)
    }

    fn latency(&self) -> f64 {
        self.total_seconds / self.count as f64
    }
}

/// Learns how many calls the backend server runs at a time without queueing them inside.
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

    /// A limit that stays at `calls`, whatever the backend server shows.
    pub fn fixed(calls: usize) -> Self {
        ConcurrencyLimit { adaptive: false, ..ConcurrencyLimit::new(calls) }
    }

    /// Calls that may run now.
    pub fn current(&self) -> usize {
        self.limit as usize
    }

    /// Changes with each probe; a sample counts only in the epoch in which its call started.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Takes in the latency of a call that started in `epoch`, its sub-calls' time aside.
    ///
    /// Outside a probe only calls that had waited count: they started with the limit in use. Where
    /// most calls start at once the limit is left alone.
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

    /// Takes in that the backend server refused a call while `running` calls ran.
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
        // The first search starts as soon as the limit is in use.
        if elapsed.is_none_or(|elapsed| elapsed >= probe_interval(ratio)) {
            self.start_probe(latency);
        } else if HOLD_BAND.contains(&ratio) {
            // Noise moves the ratio within the band.
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

/// Time after the last probe until the next, by the ratio of tolerated to seen latency.
fn probe_interval(ratio: f64) -> Duration {
    match ratio {
        _ if ratio * LATENCY_JUMP_FACTOR < 1.0 || ratio > LATENCY_DROP_FACTOR => {
            JUMP_PROBE_INTERVAL
        }
        _ if ratio < *HOLD_BAND.start() => SLOW_PROBE_INTERVAL,
        _ => PROBE_INTERVAL,
    }
}
