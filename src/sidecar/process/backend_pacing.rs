//! Paces the requests to the backend server beside this daemon, and checks whether it is cold.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use serde::Serialize;
use tokio::time::{sleep, timeout};

use super::backend_admission::{AdmissionState, BackendAdmission};
use super::decision_log::LineCategory;
use super::settings::WarmUpTerms;
use super::sidecar_shared::SidecarShared;
use super::wire_dialect::HeaderNames;
use crate::clock::MilliTime;
use crate::policy::admission_queue::AdmissionQueue;
use crate::policy::backend_notice::RequestLimit;
use crate::policy::backend_pace::{ColdTerms, HeldCounts, PaceCause};
use crate::policy::incarnation::BackendIncarnation;
use crate::sidecar::connection::backend_pool::BackendTarget;
use crate::sidecar::connection::single_call::{CallLimits, call};
use crate::sidecar::version::fleet_config::FleetConfig;

/// Shortest sleep until a token of a limited backend server is free: the resolution of the clock.
const PACED_WAIT_MIN: Duration = Duration::from_millis(1);
/// A backend server with a free slot answers a health check in a few milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
const CHECK_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Bodies of health answers are not read for their contents.
const CHECK_BYTES_MAX: usize = 64 * 1024;
/// Time between looks at whether a health check is due, if no request makes it due sooner.
const CHECK_IDLE_INTERVAL: Duration = Duration::from_millis(500);

impl BackendAdmission {
    /// Sets whether the zone is evacuated, in which nothing is admitted; runs under way finish.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool) {
        let mut state = self.lock();
        state.queue.set_evacuated(is_evacuated);
        self.start_queued(&mut state);
        drop(state);
        self.notify_change();
    }

    /// Sets the rate of requests that the backend server takes; `None` if it states no limit.
    pub(crate) fn set_limit(&self, limit: Option<RequestLimit>) {
        let mut state = self.lock();
        state.queue.set_limit(self.clock.now(), limit);
        self.start_queued(&mut state);
        drop(state);
        self.notify_change();
    }

    /// Sets what the backend server gets while it is cold.
    pub(crate) fn set_cold_terms(&self, terms: Option<ColdTerms>) {
        let now = self.clock.now();
        self.change_pace(|state| state.queue.pace_mut().set_terms(now, terms));
    }

    /// Records the first report of an announcement that opens admission.
    pub(super) fn report_start(
        &self,
        state: &mut AdmissionState,
        incarnation: &BackendIncarnation,
        cold_for: Duration,
    ) {
        let now = self.clock.now();
        let pace = state.queue.pace_mut();
        if state.announced.as_ref() != Some(incarnation) {
            state.announced = Some(incarnation.clone());
            pace.start_incarnation(now);
            if incarnation.born >= self.started.0 {
                pace.exclude_former();
            }
        }
        pace.report(now, cold_for);
    }

    /// Records that the backend server stays cold for `cold_for`.
    pub(crate) fn report_cold(&self, cold_for: Duration) {
        let now = self.clock.now();
        self.change_pace(|state| state.queue.pace_mut().report(now, cold_for));
    }

    /// Changes the pace, and notifies peers if that changes whether the limit of cold servers applies.
    fn change_pace(&self, change: impl FnOnce(&mut AdmissionState)) {
        let now = self.clock.now();
        let mut state = self.lock();
        let was_cold = state.queue.pace().is_cold(now);
        change(&mut state);
        let is_changed = state.queue.pace().is_cold(now) != was_cold;
        self.start_queued(&mut state);
        drop(state);
        if is_changed {
            self.notify_change();
        }
    }

    /// Starts waiting requests as a limited backend server takes them, until the task is aborted.
    pub(crate) async fn start_paced(&self) {
        loop {
            let wait = self.lock().queue.paced_wait(self.clock.now());
            match wait {
                Some(wait) => sleep(wait.max(PACED_WAIT_MIN)).await,
                None => self.paced.notified().await,
            }
            self.start_queued(&mut self.lock());
        }
    }

    /// Wakes the tasks that wait for requests: of the pace and of health checks.
    pub(super) fn notify_paced(&self, state: &AdmissionState) {
        let now = self.clock.now();
        if state.queue.paced_wait(now).is_some() {
            self.paced.notify_one();
        }
        if state.queue.pace().check_wait(now).is_some_and(|wait| wait < CHECK_IDLE_INTERVAL) {
            self.check.notify_one();
        }
    }

    /// Waits until a health check is due, and records that it begins.
    async fn begin_check(&self) -> BackendTarget {
        loop {
            let wait = {
                let now = self.clock.now();
                let mut state = self.lock();
                let wait = state.queue.pace().check_wait(now);
                // A suspended backend server or one in an evacuated zone gets no checks either.
                let target = state.target.clone().filter(|_| state.queue.limit() > 0);
                let has_target = target.is_some();
                if let (Some(Duration::ZERO), Some(target)) = (wait, target) {
                    state.queue.pace_mut().begin_check(now);
                    return target;
                }
                wait.filter(|_| has_target)
            };
            let wait = wait.unwrap_or(CHECK_IDLE_INTERVAL).max(PACED_WAIT_MIN);
            // At the timeout, requests that were sent without a wait count too.
            let _ = timeout(wait, self.check.notified()).await;
        }
    }

    /// Records the end of a health check of `target`. The answer of a server that was replaced says
    /// nothing of its successor.
    fn end_check(&self, target: &BackendTarget, cold_for: Option<Duration>) {
        let now = self.clock.now();
        self.change_pace(|state| {
            let current = state.target.as_ref().map(|current| &current.incarnation);
            let cold_for = cold_for.filter(|_| current == Some(&target.incarnation));
            state.queue.pace_mut().end_check(now, cold_for);
        });
    }
}

/// The queue of a process that starts.
pub(super) fn starting_queue(now: MilliTime, warm_up_terms: WarmUpTerms) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(now);
    // Deployments without cold servers state no terms for them.
    let limits_cold = warm_up_terms != WarmUpTerms::default();
    queue.pace_mut().set_terms(now, limits_cold.then_some(ColdTerms::UNCONFIGURED));
    queue.pace_mut().assume_former(now);
    queue
}

/// The pace as it was last logged.
#[derive(Debug, Default)]
pub(crate) struct LoggedPace {
    cause: Option<PaceCause>,
    rate: Option<f64>,
    held: HeldCounts,
}

#[derive(Serialize)]
struct PaceLine<'a> {
    backend: &'a str,
    cause: &'static str,
    per_second: Option<f64>,
    cold_ms: u64,
    held_cold: u64,
    held_slow_start: u64,
    held_check: u64,
}

fn cause_name(cause: Option<PaceCause>) -> &'static str {
    match cause {
        Some(PaceCause::Cold) => "cold",
        Some(PaceCause::SlowStart) => "slow-start",
        Some(PaceCause::Check) => "check",
        None => "none",
    }
}

/// Logs a changed pace, notifies peers of it, and updates the metrics.
pub(crate) fn observe_pace(shared: &SidecarShared) {
    let admission = &shared.backend_admission;
    let now = shared.clock.now();
    let (target, cause, rate, cold_for, held) = {
        let mut state = admission.lock();
        let pace = state.queue.pace_mut();
        pace.update(now);
        if !pace.is_configured() {
            return;
        }
        let (cause, rate) = (pace.cause(now), pace.rate(now));
        let (cold_for, held) = (pace.cold_for(now), pace.held());
        (state.target.clone(), cause, rate, cold_for, held)
    };
    shared.metrics.set_pace(rate, cause == Some(PaceCause::Cold));
    let mut logged = admission.logged.lock().expect("lock not poisoned");
    let before = logged.held;
    let since = HeldCounts {
        cold: held.cold - before.cold,
        slow_start: held.slow_start - before.slow_start,
        check: held.check - before.check,
    };
    let counts = [
        (PaceCause::Cold, since.cold),
        (PaceCause::SlowStart, since.slow_start),
        (PaceCause::Check, since.check),
    ];
    for (cause, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
        shared.metrics.count_held(cause_name(Some(cause)), count);
    }
    logged.held = held;
    let Some(target) = target else {
        return;
    };
    if (logged.cause, logged.rate) == (cause, rate) {
        return;
    }
    (logged.cause, logged.rate) = (cause, rate);
    drop(logged);
    admission.notify_change();
    let line = PaceLine {
        backend: &target.incarnation.id,
        cause: cause_name(cause),
        per_second: rate,
        cold_ms: cold_for.as_millis() as u64,
        held_cold: held.cold,
        held_slow_start: held.slow_start,
        held_check: held.check,
    };
    shared.log.write(LineCategory::Change, "backend-pace", &line);
}

/// What a cold backend server of this daemon's service may get, as the configuration says.
pub(crate) fn cold_terms(shared: &SidecarShared, config: &FleetConfig) -> Option<ColdTerms> {
    let warm_up = config.service(&shared.settings.service)?.warm_up?;
    let terms = shared.settings.warm_up_terms;
    Some(ColdTerms::new(warm_up.per_second, terms.overage, terms.slack))
}

/// Checks whether the backend server is cold, one check at a time, until the task is aborted.
pub(crate) async fn check_backend(shared: Arc<SidecarShared>) {
    let admission = &shared.backend_admission;
    loop {
        let target = admission.begin_check().await;
        let config = shared.config();
        let service = config.as_ref().and_then(|config| config.service(&shared.settings.service));
        let path = service.and_then(|service| service.health_path.as_deref());
        let cold_for = match path {
            Some(path) => check_cold(shared.dialect.headers(), &target, path).await,
            None => None,
        };
        if path.is_some() {
            let answered = cold_for.is_some();
            shared.metrics.count(if answered { "health_answered" } else { "health_unanswered" });
        }
        admission.end_check(&target, cold_for);
    }
}

/// The time for which the backend server stays cold; `None` without an answer of that server.
async fn check_cold(names: &HeaderNames, target: &BackendTarget, path: &str) -> Option<Duration> {
    let id = HeaderValue::from_str(&target.incarnation.id).ok()?;
    let request = Request::get(path)
        .header(CONNECTION, HeaderValue::from_static("close"))
        .header(&names.target, id)
        .body(Full::<Bytes>::default());
    let limits =
        CallLimits { connect_timeout: CHECK_CONNECT_TIMEOUT, answer_bytes: CHECK_BYTES_MAX };
    let exchange = call(target.address, request.ok()?, limits);
    let answer = timeout(CHECK_TIMEOUT, exchange).await.ok()?.ok()?;
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return None;
    }
    cold_time(names, &target.incarnation.id, answer.headers())
}

/// What the headers of a health answer state, unless they are of another server.
fn cold_time(names: &HeaderNames, id: &str, headers: &HeaderMap) -> Option<Duration> {
    if headers.get(&names.instance)?.as_bytes() != id.as_bytes() {
        return None;
    }
    let millis = headers.get(&names.cold_millis)?.to_str().ok()?.trim().parse::<f64>().ok()?;
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}
