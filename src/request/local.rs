//! Runs a call at the backend server beside this daemon.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::admission::{AdmissionPermit, CallSample};
use super::allowance::RequestAllowance;
use super::answer::BufferedAnswer;
use super::context::RequestContext;
use super::handle::{ContextHandle, HandleBinding};
use super::incoming::BufferedRequest;
use super::report::CallReport;
use super::tracker::CallTracker;
use crate::clock::MilliTime;
use crate::connection::backend_link::exchange;
use crate::connection::peer_call::PeerAnswer;
use crate::error::ResultCode;
use crate::process::shared::DaemonShared;

/// Runs a call with the given `context` and reports the retries left of its loan.
pub async fn serve_local(
    shared: &Arc<DaemonShared>,
    context: &RequestContext,
    request: &BufferedRequest,
) -> PeerAnswer {
    let allowance = Arc::new(RequestAllowance::new(context.retries));
    let tracker = Arc::new(CallTracker::default());
    let state = CallState { allowance: allowance.clone(), tracker: tracker.clone() };
    let result = run_local(shared, context, request, state).await;
    let retried = result.is_err() && tracker.has_failed();
    let report = CallReport {
        retries_left: allowance.take_unspent(),
        retried,
        fractions: tracker.fractions(),
    };
    PeerAnswer { result, report }
}

struct CallState {
    allowance: Arc<RequestAllowance>,
    tracker: Arc<CallTracker>,
}

async fn run_local(
    shared: &Arc<DaemonShared>,
    context: &RequestContext,
    request: &BufferedRequest,
    state: CallState,
) -> Result<BufferedAnswer, ResultCode> {
    if shared.stop.is_raised() {
        return Err(ResultCode::Stopping);
    }
    let backend = shared.backend.current().ok_or(ResultCode::NoUpstream)?;
    if backend.service != context.service {
        return Err(ResultCode::NoUpstream);
    }
    let deadline = shared.clock.now() + Duration::from_millis(context.remaining_ms);
    let permit = admit(shared, context, deadline, &state.tracker).await?;
    if shared.clock.now() >= deadline {
        return Err(ResultCode::DeadlineExpired);
    }
    let CallState { allowance, tracker } = state;
    let binding =
        HandleBinding { context: context.clone(), deadline, allowance, tracker: tracker.clone() };
    let handle = ContextHandle::issue(&shared.handles, binding);
    let started = Instant::now();
    let result = exchange(shared, &backend, &handle, deadline, request).await;
    let own_time = started.elapsed().saturating_sub(tracker.wait_time());
    if let Some(sample) = call_sample(&result, own_time) {
        permit.complete(sample);
    }
    shared.metrics.concurrency_limit(shared.admission.limit());
    result
}

async fn admit(
    shared: &DaemonShared,
    context: &RequestContext,
    deadline: MilliTime,
    tracker: &CallTracker,
) -> Result<AdmissionPermit, ResultCode> {
    let organisation = context.organisation.as_ref();
    match shared.admission.admit(context, deadline).await {
        Ok(permit) => {
            tracker.record_fractions(permit.fractions);
            tracker.set_slot(permit.slot());
            shared.metrics.call_admitted(organisation, context.class, permit.queue_wait);
            Ok(permit)
        }
        Err(notice) => {
            tracker.record_fractions(notice.fractions);
            shared.metrics.call_shed(organisation, context.class, notice.cause.name());
            Err(notice.cause.code())
        }
    }
}

/// The sample of a result; a server error may be immediate, so its latency does not count.
fn call_sample(
    result: &Result<BufferedAnswer, ResultCode>,
    own_time: Duration,
) -> Option<CallSample> {
    match result {
        Ok(answer) if !answer.status().is_server_error() => Some(CallSample::Served(own_time)),
        Err(ResultCode::AnswerLate) => Some(CallSample::Served(own_time)),
        Err(ResultCode::BackendRefused) => Some(CallSample::Refused),
        _ => None,
    }
}
