//! Paces the requests to a backend server that limits their rate.
//!
//! Handles a backend server in need, which states how many requests per second it takes from all
//! senders together. All of them pass the daemon beside it, so a token bucket there keeps the sum
//! whatever the number of senders. What exceeds the bucket waits briefly, the most urgent first, and
//! is otherwise refused at once: the server's peers may have room.

use std::time::Duration;

use super::backend_notice::RequestLimit;
use crate::clock::MilliTime;

/// Rate below which a limited server is not held: only its answers tell when the limit ends.
const RATE_MIN: f64 = 0.5;
/// Span of the limit that may be used at once after a pause.
const BURST_SPAN: Duration = Duration::from_millis(100);
/// A burst is at least one request.
const BURST_MIN: f64 = 1.0;

/// A token bucket with the rate of a stated limit.
#[derive(Clone, Debug)]
pub struct RequestPacer {
    limit: RequestLimit,
    tokens: f64,
    refilled: MilliTime,
    /// When the last token was taken.
    taken: MilliTime,
}

impl RequestPacer {
    /// A pacer that starts without tokens: what the server has just been sent is not known.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::backend_notice::RequestLimit;
    /// use lentilway::policy::request_pacer::RequestPacer;
    /// let limit = RequestLimit::new(10.0).unwrap();
    /// let mut pacer = RequestPacer::new(MilliTime(0), limit);
    /// assert!(!pacer.take(MilliTime(99)));
    /// assert!(pacer.take(MilliTime(100)));
    /// assert!(!pacer.take(MilliTime(100)));
    /// ```
    pub fn new(now: MilliTime, limit: RequestLimit) -> Self {
        RequestPacer { limit, tokens: 0.0, refilled: now, taken: now }
    }

    /// Changes the limit; tokens beyond the burst of the new one are dropped.
    pub fn set_limit(&mut self, now: MilliTime, limit: RequestLimit) {
        self.refill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Takes the token of one request; `false` if there is none.
    pub fn take(&mut self, now: MilliTime) -> bool {
        self.refill(now);
        let is_taken = self.tokens >= 1.0;
        if is_taken {
            self.tokens -= 1.0;
            self.taken = now;
        }
        is_taken
    }

    /// Returns the token of a request that was not sent.
    pub fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst());
    }

    /// Time until a request with `ahead` others before it gets its token.
    pub fn wait(&self, now: MilliTime, ahead: usize) -> Duration {
        let elapsed = now.since(self.refilled).as_secs_f64();
        let tokens = (self.tokens + elapsed * self.rate()).min(self.burst());
        let missing = (ahead as f64 + 1.0 - tokens).max(0.0);
        Duration::from_secs_f64(missing / self.rate())
    }

    /// Time since a request was last let through.
    pub fn idle_time(&self, now: MilliTime) -> Duration {
        now.since(self.taken)
    }

    /// Requests per second.
    pub fn rate(&self) -> f64 {
        self.limit.per_second().max(RATE_MIN)
    }

    fn burst(&self) -> f64 {
        (self.rate() * BURST_SPAN.as_secs_f64()).max(BURST_MIN)
    }

    fn refill(&mut self, now: MilliTime) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate()).min(self.burst());
        self.refilled = now;
    }
}
