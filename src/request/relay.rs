//! Relays calls to upstream daemons, with reroutes and retries.

use std::sync::Arc;

use smallvec::SmallVec;

use super::allowance::RetryLoan;
use super::answer::BufferedAnswer;
use super::call::OutgoingCall;
use super::local::serve_local;
use super::plain_relay::send_with_plain_retries;
use super::report::CallReport;
use crate::config::ControlMode;
use crate::connection::peer_call::{PeerAnswer, call_peer};
use crate::error::ResultCode;
use crate::process::members::InstanceId;
use crate::process::routing::{CallOutcome, UpstreamGuard};
use crate::process::shared::DaemonShared;
use crate::version::route::RequestClass;

/// Upstreams that one call may try after refusals that ran nothing.
const UPSTREAMS_TRIED_MAX: usize = 4;

/// What may follow a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowUp {
    /// Nothing ran: the call may go to another upstream, up to this many in total.
    Reroute(usize),
    /// It may have run: an idempotent call may be retried within allowance and retry budget.
    Retry,
    /// Another attempt would have the same result.
    Stop,
}

impl FollowUp {
    fn of(code: ResultCode, class: RequestClass) -> Self {
        match code {
            ResultCode::NoUpstream | ResultCode::Stopping | ResultCode::BackendRefused => {
                FollowUp::Reroute(UPSTREAMS_TRIED_MAX)
            }
            ResultCode::Overloaded => FollowUp::Reroute(shedding_tried_max(class)),
            ResultCode::AnswerMissing => FollowUp::Retry,
            _ => FollowUp::Stop,
        }
    }
}

/// Upstreams that one call may try after one has shed it.
fn shedding_tried_max(class: RequestClass) -> usize {
    match class {
        RequestClass::High => UPSTREAMS_TRIED_MAX,
        RequestClass::Normal => 2,
        RequestClass::Low => 1,
    }
}

/// The upstreams tried for a call and its outcome so far.
#[derive(Debug, Default)]
pub(super) struct RelayProgress {
    tried: SmallVec<[InstanceId; 4]>,
    outcome: Option<ResultCode>,
}

impl RelayProgress {
    /// Records a failed attempt; "not run" never replaces "may have run".
    pub(super) fn record_failure(&mut self, code: ResultCode) {
        let may_have_run = self.outcome.is_some_and(|outcome| !outcome.is_not_run());
        if !may_have_run || !code.is_not_run() {
            self.outcome = Some(code);
        }
    }

    pub(super) fn outcome(&self) -> ResultCode {
        self.outcome.unwrap_or(ResultCode::NoUpstream)
    }
}

/// Sends `call` to upstreams until one answers or no further attempt is allowed.
///
/// # Errors
/// The code of the attempts, "may have run" before "not run", or [`ResultCode::NoUpstream`].
pub async fn relay_call(
    shared: &Arc<DaemonShared>,
    call: &OutgoingCall,
) -> Result<BufferedAnswer, ResultCode> {
    shared.router.budget(&call.context.service).add_call();
    let result = match shared.config.control {
        ControlMode::PlainRetries => send_with_plain_retries(shared, call).await,
        _ => send_until_answered(shared, call).await,
    };
    if result.is_err() {
        call.tracker.mark_failed();
    }
    result
}

async fn send_until_answered(
    shared: &Arc<DaemonShared>,
    call: &OutgoingCall,
) -> Result<BufferedAnswer, ResultCode> {
    let mut progress = RelayProgress::default();
    loop {
        let Some(guard) = shared.router.choose(&call.context.service, &progress.tried) else {
            return Err(progress.outcome());
        };
        progress.tried.push(guard.member.instance);
        // Only the first upstream counts the call towards its offered rate.
        let is_first = progress.tried.len() == 1;
        let (result, report) = send_attempt(shared, call, guard, is_first).await;
        let code = match result {
            Ok(answer) => return Ok(answer),
            Err(code) => code,
        };
        progress.record_failure(code);
        if !may_resend(shared, call, code, report.retried, progress.tried.len()).await {
            return Err(progress.outcome());
        }
    }
}

async fn may_resend(
    shared: &DaemonShared,
    call: &OutgoingCall,
    code: ResultCode,
    retried: bool,
    tried: usize,
) -> bool {
    let remaining = call.deadline.until(shared.clock.now());
    if remaining.is_zero() {
        return false;
    }
    match FollowUp::of(code, call.context.class) {
        FollowUp::Reroute(limit) => tried < limit,
        FollowUp::Retry if call.context.idempotent && !retried => {
            let spent = call.allowance.spend_within(remaining).await;
            spent && spend_budget(shared, call)
        }
        FollowUp::Retry | FollowUp::Stop => false,
    }
}

fn spend_budget(shared: &DaemonShared, call: &OutgoingCall) -> bool {
    let spent = shared.router.budget(&call.context.service).spend();
    shared.metrics.count(if spent { "retry_spent" } else { "retry_budget_exhausted" });
    spent
}

/// Sends `call` to one upstream; `is_first` if no other upstream has counted it as offered.
pub(super) async fn send_attempt(
    shared: &Arc<DaemonShared>,
    call: &OutgoingCall,
    guard: UpstreamGuard,
    is_first: bool,
) -> (Result<BufferedAnswer, ResultCode>, CallReport) {
    let remaining = call.deadline.until(shared.clock.now());
    if remaining.is_zero() {
        return (Err(ResultCode::DeadlineExpired), CallReport::lost());
    }
    let loan = call.allowance.lend();
    let mut context = call.context.clone();
    context.remaining_ms = remaining.as_millis() as u64;
    context.retries = loan.amount();
    context.weight = if is_first { context.weight } else { 0 };
    let answer = match guard.member.instance == shared.instance {
        true => serve_local(shared, &context, &call.request).await,
        false => call_peer(shared, &guard.member.instance, &context, &call.request).await,
    };
    let PeerAnswer { result, report } = answer;
    record_report(call, loan, &report);
    guard.release(classify(&result));
    (result, report)
}

fn record_report(call: &OutgoingCall, loan: RetryLoan, report: &CallReport) {
    loan.repay(report.retries_left);
    call.tracker.record_report(report);
}

fn classify(result: &Result<BufferedAnswer, ResultCode>) -> CallOutcome {
    match result {
        Ok(answer) if answer.status().is_server_error() => CallOutcome::Failed,
        Ok(_) => CallOutcome::Answered,
        Err(ResultCode::NoUpstream | ResultCode::Stopping) => CallOutcome::Unavailable,
        Err(ResultCode::Overloaded | ResultCode::BackendRefused) => CallOutcome::Overloaded,
        Err(code) if code.is_not_run() => CallOutcome::Answered,
        Err(_) => CallOutcome::Failed,
    }
}
