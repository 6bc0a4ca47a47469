//! What this daemon has seen of one upstream.

use std::time::Duration;

use crate::clock::MilliTime;
use crate::process::members::UpstreamMember;

const RAMP_SPAN: Duration = Duration::from_secs(5);
const RAMP_START: f64 = 0.1;
/// Time constant of the averaged latency.
const LATENCY_SPAN: Duration = Duration::from_secs(1);
/// Without calls, a latency seen fades towards the group's lowest over this time.
const LATENCY_FADE_SPAN: Duration = Duration::from_secs(5);
const LATENCY_MIN_SECONDS: f64 = 0.000_2;
/// Weight of one call in the averaged failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
const FAILURES_IN_A_ROW: u32 = 5;
const FAILURE_RATE_MAX: f64 = 0.5;
const EJECTION_SPAN: Duration = Duration::from_secs(5);
const EJECTION_SPAN_MAX: Duration = Duration::from_secs(60);
/// An upstream that took no call because it leaves or cannot be reached rests for this long.
const ABSENCE_SPAN: Duration = Duration::from_secs(1);
/// Shedding seen fades over this time.
const PRESSURE_SPAN: Duration = Duration::from_secs(1);
const PRESSURE_WEIGHT: f64 = 0.2;
const PRESSURE_COST: f64 = 8.0;

/// How a call to an upstream ended, as far as routing cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A whole answer came back.
    Answered,
    /// The upstream shed the call.
    Overloaded,
    /// The upstream leaves or cannot be reached; it did not take the call.
    Unavailable,
    /// The call failed there or got no whole answer.
    Failed,
    /// The call was abandoned.
    Cancelled,
}

/// One upstream as its calls from here have shown it.
#[derive(Clone, Debug)]
pub(super) struct UpstreamState {
    pub(super) member: UpstreamMember,
    pub(super) in_flight: u32,
    latency: Option<f64>,
    latency_at: MilliTime,
    failure_rate: f64,
    failures_in_a_row: u32,
    pressure: f64,
    pressure_at: MilliTime,
    ramp_from: Option<MilliTime>,
    rests_until: MilliTime,
    ejected_until: MilliTime,
    ejections: u32,
}

impl UpstreamState {
    /// A newcomer ramps up unless the daemon itself has just started to call the service.
    pub(super) fn new(member: UpstreamMember, now: MilliTime, ramps: bool) -> Self {
        UpstreamState {
            member,
            in_flight: 0,
            latency: None,
            latency_at: now,
            failure_rate: 0.0,
            failures_in_a_row: 0,
            pressure: 0.0,
            pressure_at: now,
            ramp_from: ramps.then_some(now),
            rests_until: MilliTime::default(),
            ejected_until: MilliTime::default(),
            ejections: 0,
        }
    }

    pub(super) fn is_ejected(&self, now: MilliTime) -> bool {
        now < self.ejected_until
    }

    pub(super) fn is_usable(&self, now: MilliTime) -> bool {
        !self.is_ejected(now) && now >= self.rests_until
    }

    /// The share of its fair load that the upstream gets while it starts, from 0 to 1.
    pub(super) fn ramp(&self, now: MilliTime) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let progress = now.since(from).as_secs_f64() / RAMP_SPAN.as_secs_f64();
        RAMP_START + (1.0 - RAMP_START) * progress.min(1.0)
    }

    /// Averaged latency in seconds, if calls have been answered.
    pub(super) fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// Expected time of one more call, in seconds; `lowest` is the group's lowest latency.
    pub(super) fn cost(&self, now: MilliTime, lowest: f64) -> f64 {
        let latency = self.faded_latency(now, lowest);
        let pressure = self.faded_pressure(now);
        f64::from(self.in_flight + 1) * latency * (1.0 + PRESSURE_COST * pressure)
    }

    fn faded_latency(&self, now: MilliTime, lowest: f64) -> f64 {
        let latency = self.latency.unwrap_or(lowest).max(lowest);
        let idle = now.since(self.latency_at).as_secs_f64() / LATENCY_FADE_SPAN.as_secs_f64();
        let fade = if self.in_flight > 0 { 0.0 } else { idle.min(1.0) };
        (latency + (lowest - latency) * fade).max(LATENCY_MIN_SECONDS)
    }

    fn faded_pressure(&self, now: MilliTime) -> f64 {
        let fade = now.since(self.pressure_at).as_secs_f64() / PRESSURE_SPAN.as_secs_f64();
        (self.pressure - fade).max(0.0)
    }

    /// Takes a call's end in.
    pub(super) fn finish(&mut self, now: MilliTime, elapsed: Duration, outcome: CallOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            CallOutcome::Answered => {
                self.note_latency(now, elapsed);
                self.note_failure(0.0);
                self.note_pressure(now, 0.0);
            }
            CallOutcome::Overloaded => self.note_pressure(now, 1.0),
            CallOutcome::Unavailable => self.rests_until = now + ABSENCE_SPAN,
            CallOutcome::Failed => {
                self.note_slow(now, elapsed);
                self.note_failure(1.0);
            }
            CallOutcome::Cancelled => self.note_slow(now, elapsed),
        }
    }

    /// A call that did not end counts only as a lower bound.
    fn note_slow(&mut self, now: MilliTime, elapsed: Duration) {
        if self.latency.is_some_and(|latency| elapsed.as_secs_f64() > latency) {
            self.note_latency(now, elapsed);
        }
    }

    fn note_latency(&mut self, now: MilliTime, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let idle = now.since(self.latency_at) + Duration::from_millis(50);
        let weight = 1.0 - (-idle.as_secs_f64() / LATENCY_SPAN.as_secs_f64()).exp();
        self.latency =
            Some(self.latency.map_or(seconds, |latency| latency + weight * (seconds - latency)));
        self.latency_at = now;
    }

    fn note_failure(&mut self, failed: f64) {
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate);
        self.failures_in_a_row = if failed > 0.0 { self.failures_in_a_row + 1 } else { 0 };
    }

    fn note_pressure(&mut self, now: MilliTime, shed: f64) {
        let pressure = self.faded_pressure(now);
        self.pressure = pressure + PRESSURE_WEIGHT * (shed - pressure);
        self.pressure_at = now;
    }

    /// Averaged fraction of calls that failed.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether its calls fail so often that it should rest.
    pub(super) fn is_failing(&self) -> bool {
        self.failures_in_a_row >= FAILURES_IN_A_ROW || self.failure_rate > FAILURE_RATE_MAX
    }

    /// Sends no calls for a while, longer each time; afterwards the upstream ramps up.
    pub(super) fn eject(&mut self, now: MilliTime) {
        self.ejections += 1;
        let span = EJECTION_SPAN.saturating_mul(self.ejections).min(EJECTION_SPAN_MAX);
        self.ejected_until = now + span;
        self.ramp_from = Some(self.ejected_until);
        self.failures_in_a_row = 0;
        self.failure_rate = 0.0;
    }
}
