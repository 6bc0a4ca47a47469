//! Checks the rate limit: no window holds more admissions than burst + rate * length.

use std::time::Instant;

/// An admission that happened between two instants, in milliseconds since a common origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSpan {
    /// Earliest time of the admission.
    pub after: f64,
    /// Latest time of the admission.
    pub before: f64,
}

impl AdmissionSpan {
    /// An admission between two instants, as milliseconds since `origin`.
    pub fn between(origin: Instant, after: Instant, before: Instant) -> Self {
        let millis = |instant: Instant| instant.duration_since(origin).as_secs_f64() * 1000.0;
        AdmissionSpan { after: millis(after), before: millis(before) }
    }

    /// An admission at a known time.
    pub fn at(millis: f64) -> Self {
        AdmissionSpan { after: millis, before: millis }
    }
}

/// The window that exceeds its allowed number of admissions the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowExcess {
    /// Start of the window in milliseconds.
    pub start: f64,
    /// End of the window in milliseconds.
    pub end: f64,
    /// Admissions that certainly happened within the window.
    pub admitted: usize,
    /// `admitted` minus burst + rate * length; at most 0 if the bound holds.
    pub excess: f64,
}

/// Returns the window with the largest excess; `rate` is per second. An admission counts only if
/// it certainly happened within the window, so a positive excess proves a violation.
pub fn worst_window(spans: &[AdmissionSpan], rate: f64, burst: f64) -> Option<WindowExcess> {
    let mut by_end = spans.to_vec();
    by_end.sort_by(|one, other| one.before.total_cmp(&other.before));
    let mut starts: Vec<f64> = spans.iter().map(|span| span.after).collect();
    starts.sort_by(f64::total_cmp);
    let mut worst: Option<WindowExcess> = None;
    for start in starts {
        let within = by_end.iter().filter(|span| span.after >= start);
        for (index, span) in within.enumerate() {
            let (end, admitted) = (span.before, index + 1);
            let allowed = burst + rate * (end - start) / 1000.0;
            let excess = admitted as f64 - allowed;
            if worst.is_none_or(|worst| excess > worst.excess) {
                worst = Some(WindowExcess { start, end, admitted, excess });
            }
        }
    }
    worst
}

/// A central token bucket that sees every request: the reference for what may be admitted.
#[derive(Clone, Copy, Debug)]
pub struct IdealBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: f64,
}

impl IdealBucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64) -> Self {
        IdealBucket { rate, burst, level: burst, refilled_at: 0.0 }
    }

    /// Takes `tokens` at `millis`, even if the level becomes negative.
    pub fn charge(&mut self, tokens: f64, millis: f64) {
        let refilled = self.rate * (millis - self.refilled_at) / 1000.0;
        self.level = (self.level + refilled).min(self.burst) - tokens;
        self.refilled_at = millis;
    }

    /// Whether a request at `millis` is admitted. Calls must be in order of time.
    pub fn admit(&mut self, millis: f64) -> bool {
        self.charge(0.0, millis);
        let admitted = self.level >= 1.0;
        if admitted {
            self.level -= 1.0;
        }
        admitted
    }
}
