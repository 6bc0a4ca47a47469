//! Arrival rate of an organisation's requests at this daemon.

use crate::clock::MilliTime;

const WINDOW_MILLIS: f64 = 500.0;

/// An exponentially weighted rate of arrivals.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    per_milli: f64,
    updated_at: MilliTime,
}

impl DemandMeter {
    /// Counts the arrival of `requests`.
    pub fn add(&mut self, requests: f64, now: MilliTime) {
        self.per_milli = self.per_milli(now) + requests / WINDOW_MILLIS;
        self.updated_at = now;
    }

    /// Arrivals per millisecond.
    pub fn per_milli(&self, now: MilliTime) -> f64 {
        let millis = now.since(self.updated_at).as_millis() as f64;
        self.per_milli * (-millis / WINDOW_MILLIS).exp()
    }
}
