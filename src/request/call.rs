//! Runs one outgoing call: a root request or a backend server's sub-call.

use std::sync::Arc;

use super::allowance::RequestAllowance;
use super::answer::BufferedAnswer;
use super::context::RequestContext;
use super::header::{IDEMPOTENCY_KEY, KEY_ISSUED, parse_number};
use super::incoming::BufferedRequest;
use super::relay::relay_call;
use super::tracker::CallTracker;
use crate::clock::MilliTime;
use crate::error::ResultCode;
use crate::process::claims::key::issue_time;
use crate::process::claims::{ClaimKey, ClaimOutcome};
use crate::process::shared::DaemonShared;
use crate::version::digest::Sha256Digest;

/// A call to send to an upstream daemon.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// Method, path, end-to-end headers and body.
    pub request: BufferedRequest,
    /// The context to send with the call.
    pub context: RequestContext,
    /// Deadline of the call.
    pub deadline: MilliTime,
    /// Retry allowance, shared by the request's calls at this daemon.
    pub allowance: Arc<RequestAllowance>,
    /// Failures and shed feedback, shared by the request's calls at this daemon.
    pub tracker: Arc<CallTracker>,
}

/// Runs a call; a non-idempotent one is claimed first.
///
/// # Errors
/// The result code, which states whether the call ran.
pub async fn run_call(
    shared: &Arc<DaemonShared>,
    call: OutgoingCall,
) -> Result<BufferedAnswer, ResultCode> {
    if call.context.idempotent {
        return relay_call(shared, &call).await;
    }
    let shared = shared.clone();
    // If the caller disconnects, the claim must still be finished.
    let claimed = tokio::spawn(async move { run_claimed(&shared, call).await });
    claimed.await.unwrap_or(Err(ResultCode::OutcomeUnknown))
}

async fn run_claimed(
    shared: &Arc<DaemonShared>,
    call: OutgoingCall,
) -> Result<BufferedAnswer, ResultCode> {
    let key = claim_key(&call)?;
    let issued = parse_number(&call.request.headers, &KEY_ISSUED).map(MilliTime);
    let issued = issue_time(&key.key, issued)?;
    let digest = request_digest(&call.request);
    match shared.claims.claim(&key, issued, digest, call.deadline).await? {
        ClaimOutcome::Repeat(answer) => Ok(answer),
        ClaimOutcome::Run(permit) => {
            // The deadline may have passed while this process was paused; each attempt checks it.
            let result = relay_call(shared, &call).await;
            shared.claims.finish(permit, &result);
            result
        }
    }
}

fn claim_key(call: &OutgoingCall) -> Result<ClaimKey, ResultCode> {
    let value = call.request.headers.get(IDEMPOTENCY_KEY);
    let value = value.ok_or(ResultCode::IdempotencyKeyMissing)?;
    let key = value.to_str().map_err(|_| ResultCode::RequestMalformed)?;
    Ok(ClaimKey {
        organisation: call.context.organisation.clone(),
        method: call.request.method.as_str().into(),
        path: call.request.bare_path().into(),
        key: key.into(),
    })
}

fn request_digest(request: &BufferedRequest) -> Sha256Digest {
    let mut bytes = format!("{} {}\n", request.method, request.path).into_bytes();
    bytes.extend_from_slice(&request.body);
    Sha256Digest::of(&bytes)
}
