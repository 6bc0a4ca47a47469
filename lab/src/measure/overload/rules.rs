//! The compared algorithms for the concurrency limit.

use std::time::Duration;

use lentilway::clock::MilliTime;
use lentilway::request::admission::ConcurrencyLimit;

const WINDOW_SAMPLES: u32 = 24;
const AIMD_LATENCY_RATIO_MAX: f64 = 2.0;
const AIMD_DECREASE_FACTOR: f64 = 0.9;
const GRADIENT_TOLERANCE: f64 = 1.4;

/// An algorithm for the concurrency limit.
pub trait LimitRule {
    /// The current limit.
    fn current(&self) -> usize;
    /// The current epoch; samples of calls that started in an earlier one are ignored.
    fn epoch(&self) -> u32 {
        0
    }
    /// Whether calls beyond the limit wait in a short queue, newest first.
    fn queues(&self) -> bool {
        true
    }
    /// Adds the latency of a finished call.
    fn observe(&mut self, now: MilliTime, epoch: u32, had_waited: bool, latency: Duration);
}

/// A fixed limit.
pub struct StaticRule {
    pub limit: usize,
    pub queues: bool,
}

impl LimitRule for StaticRule {
    fn current(&self) -> usize {
        self.limit
    }

    fn queues(&self) -> bool {
        self.queues
    }

    fn observe(&mut self, _: MilliTime, _: u32, _: bool, _: Duration) {}
}

impl LimitRule for ConcurrencyLimit {
    fn current(&self) -> usize {
        ConcurrencyLimit::current(self)
    }

    fn epoch(&self) -> u32 {
        ConcurrencyLimit::epoch(self)
    }

    fn observe(&mut self, now: MilliTime, epoch: u32, had_waited: bool, latency: Duration) {
        ConcurrencyLimit::observe(self, now, epoch, had_waited, latency);
    }
}

/// Adds one per window, and reduces the limit by a tenth when the window's mean latency exceeds
/// twice the lowest seen.
pub struct AimdRule {
    limit: f64,
    window: LatencyWindow,
}

/// Reduces the limit by the ratio of the lowest mean latency seen to the window's.
pub struct GradientRule {
    limit: f64,
    window: LatencyWindow,
}

struct LatencyWindow {
    count: u32,
    total_seconds: f64,
    minimum: f64,
}

impl LatencyWindow {
    fn new() -> Self {
        LatencyWindow { count: 0, total_seconds: 0.0, minimum: f64::MAX }
    }

    /// Returns the ratio of the window's mean latency to the lowest seen once the window is full.
    fn add(&mut self, latency: Duration) -> Option<f64> {
        self.count += 1;
        self.total_seconds += latency.as_secs_f64();
        if self.count < WINDOW_SAMPLES {
            return None;
        }
        let mean = self.total_seconds / f64::from(self.count);
        (self.count, self.total_seconds) = (0, 0.0);
        self.minimum = self.minimum.min(mean);
        Some(mean / self.minimum)
    }
}

impl AimdRule {
    pub fn new(initial: usize) -> Self {
        AimdRule { limit: initial as f64, window: LatencyWindow::new() }
    }
}

impl LimitRule for AimdRule {
    fn current(&self) -> usize {
        self.limit as usize
    }

    fn observe(&mut self, _: MilliTime, _: u32, had_waited: bool, latency: Duration) {
        let Some(ratio) = self.window.add(latency) else { return };
        if ratio > AIMD_LATENCY_RATIO_MAX {
            self.limit = (self.limit * AIMD_DECREASE_FACTOR).max(2.0);
        } else if had_waited {
            self.limit += 1.0;
        }
    }
}

impl GradientRule {
    pub fn new(initial: usize) -> Self {
        GradientRule { limit: initial as f64, window: LatencyWindow::new() }
    }
}

impl LimitRule for GradientRule {
    fn current(&self) -> usize {
        self.limit as usize
    }

    fn observe(&mut self, _: MilliTime, _: u32, had_waited: bool, latency: Duration) {
        let Some(ratio) = self.window.add(latency) else { return };
        let gradient = (GRADIENT_TOLERANCE / ratio).clamp(0.5, 1.0);
        if gradient < 1.0 || had_waited {
            self.limit = (self.limit * gradient + self.limit.sqrt() / 2.0).max(2.0);
        }
    }
}
