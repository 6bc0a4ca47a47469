//! Latency, failures and shedding of one upstream, as observed by this daemon.

use std::time::Duration;

use crate::clock::MilliTime;
use crate::process::members::UpstreamMember;

const RAMP_SPAN: Duration = Duration::from_secs(5);
const RAMP_START: f64 = 0.1;
/// Time constant of the mean latency.
const LATENCY_SPAN: Duration = Duration::from_secs(1);
/// Time in which the latency of an idle upstream decays to the lowest of its group.
const LATENCY_DECAY_SPAN: Duration = Duration::from_secs(5);
const LATENCY_MIN_SECONDS: f64 = 0.000_2;
/// Weight of one call in the mean failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
const CONSECUTIVE_FAILURES_LIMIT: u32 = 5;
const FAILURE_RATE_MAX: f64 = 0.5;
const EJECTION_SPAN: Duration = Duration::from_secs(5);
const EJECTION_SPAN_MAX: Duration = Duration::from_secs(60);
/// Backoff towards an upstream that did not accept a call because it is leaving or unreachable.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_secs(1);
/// Time in which observed shedding decays to 0.
const SHEDDING_SPAN: Duration = Duration::from_secs(1);
const SHEDDING_WEIGHT: f64 = 0.2;
const SHEDDING_COST: f64 = 8.0;

/// Outcome of a call to an upstream, for routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer arrived.
    Answered,
    /// The upstream shed the call.
    Overloaded,
    /// The upstream is leaving or unreachable; it did not accept the call.
    Unavailable,
    /// The call failed there or got no complete answer.
    Failed,
    /// The call was abandoned.
    Cancelled,
}

/// State of one upstream, from the calls of this daemon.
#[derive(Clone, Debug)]
pub(super) struct UpstreamState {
    pub(super) member: UpstreamMember,
    pub(super) in_flight: u32,
    latency: Option<f64>,
    latency_at: MilliTime,
    failure_rate: f64,
    consecutive_failures: u32,
    shedding: f64,
    shedding_at: MilliTime,
    ramp_from: Option<MilliTime>,
    backoff_until: MilliTime,
    ejected_until: MilliTime,
    ejections: u32,
}

impl UpstreamState {
    /// A new upstream ramps up, unless the daemon itself has just started to call the service.
    pub(super) fn new(member: UpstreamMember, now: MilliTime, ramps: bool) -> Self {
        UpstreamState {
            member,
            in_flight: 0,
            latency: None,
            latency_at: now,
            failure_rate: 0.0,
            consecutive_failures: 0,
            shedding: 0.0,
            shedding_at: now,
            ramp_from: ramps.then_some(now),
            backoff_until: MilliTime::default(),
            ejected_until: MilliTime::default(),
            ejections: 0,
        }
    }

    pub(super) fn is_ejected(&self, now: MilliTime) -> bool {
        now < self.ejected_until
    }

    pub(super) fn is_usable(&self, now: MilliTime) -> bool {
        !self.is_ejected(now) && now >= self.backoff_until
    }

    /// Fraction of its normal load that the upstream gets while it ramps up.
    pub(super) fn ramp(&self, now: MilliTime) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let progress = now.since(from).as_secs_f64() / RAMP_SPAN.as_secs_f64();
        RAMP_START + (1.0 - RAMP_START) * progress.min(1.0)
    }

    /// Mean latency in seconds, if calls have been answered.
    pub(super) fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// Expected time of a further call in seconds; `lowest` is the group's lowest latency.
    pub(super) fn cost(&self, now: MilliTime, lowest: f64) -> f64 {
        let latency = self.decayed_latency(now, lowest);
        let shedding = self.decayed_shedding(now);
        f64::from(self.in_flight + 1) * latency * (1.0 + SHEDDING_COST * shedding)
    }

    fn decayed_latency(&self, now: MilliTime, lowest: f64) -> f64 {
        let latency = self.latency.unwrap_or(lowest).max(lowest);
        let idle = now.since(self.latency_at).as_secs_f64() / LATENCY_DECAY_SPAN.as_secs_f64();
        let decay = if self.in_flight > 0 { 0.0 } else { idle.min(1.0) };
        (latency + (lowest - latency) * decay).max(LATENCY_MIN_SECONDS)
    }

    fn decayed_shedding(&self, now: MilliTime) -> f64 {
        let decay = now.since(self.shedding_at).as_secs_f64() / SHEDDING_SPAN.as_secs_f64();
        (self.shedding - decay).max(0.0)
    }

    /// Records the outcome of a call.
    pub(super) fn finish(&mut self, now: MilliTime, elapsed: Duration, outcome: CallOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            CallOutcome::Answered => {
                self.record_latency(now, elapsed);
                self.record_failure(0.0);
                self.record_shedding(now, 0.0);
            }
            CallOutcome::Overloaded => self.record_shedding(now, 1.0),
            CallOutcome::Unavailable => self.backoff_until = now + UNAVAILABLE_BACKOFF,
            CallOutcome::Failed => {
                self.record_unanswered(now, elapsed);
                self.record_failure(1.0);
            }
            CallOutcome::Cancelled => self.record_unanswered(now, elapsed),
        }
    }

    /// The latency of a call without an answer is only a lower bound.
    fn record_unanswered(&mut self, now: MilliTime, elapsed: Duration) {
        if self.latency.is_some_and(|latency| elapsed.as_secs_f64() > latency) {
            self.record_latency(now, elapsed);
        }
    }

    fn record_latency(&mut self, now: MilliTime, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let idle = now.since(self.latency_at) + Duration::from_millis(50);
        let weight = 1.0 - (-idle.as_secs_f64() / LATENCY_SPAN.as_secs_f64()).exp();
        self.latency =
            Some(self.latency.map_or(seconds, |latency| latency + weight * (seconds - latency)));
        self.latency_at = now;
    }

    fn record_failure(&mut self, failed: f64) {
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate);
        self.consecutive_failures = if failed > 0.0 { self.consecutive_failures + 1 } else { 0 };
    }

    fn record_shedding(&mut self, now: MilliTime, shed: f64) {
        let shedding = self.decayed_shedding(now);
        self.shedding = shedding + SHEDDING_WEIGHT * (shed - shedding);
        self.shedding_at = now;
    }

    /// Mean fraction of calls that failed.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether calls fail so often that the upstream should be ejected.
    pub(super) fn is_failing(&self) -> bool {
        self.consecutive_failures >= CONSECUTIVE_FAILURES_LIMIT
            || self.failure_rate > FAILURE_RATE_MAX
    }

    /// Ejects the upstream, longer each time; afterwards it ramps up.
    pub(super) fn eject(&mut self, now: MilliTime) {
        self.ejections += 1;
        let span = EJECTION_SPAN.saturating_mul(self.ejections).min(EJECTION_SPAN_MAX);
        self.ejected_until = now + span;
        self.ramp_from = Some(self.ejected_until);
        self.consecutive_failures = 0;
        self.failure_rate = 0.0;
    }
}
