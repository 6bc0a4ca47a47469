//! Conventional per-hop retries, a baseline for comparison with the retry allowance.

use std::sync::Arc;

use smallvec::SmallVec;

use super::answer::BufferedAnswer;
use super::call::OutgoingCall;
use super::relay::{RelayProgress, send_attempt};
use crate::error::ResultCode;
use crate::process::shared::DaemonShared;

const ATTEMPTS_MAX: u32 = 3;

/// Each hop divides the remaining time among its attempts and retries an idempotent call after
/// any failure.
pub(super) async fn send_with_plain_retries(
    shared: &Arc<DaemonShared>,
    call: &OutgoingCall,
) -> Result<BufferedAnswer, ResultCode> {
    let mut progress = RelayProgress::default();
    let attempts = if call.context.idempotent { ATTEMPTS_MAX } else { 1 };
    for left in (1..=attempts).rev() {
        let Some(guard) = shared.router.choose(&call.context.service, &SmallVec::new()) else {
            return Err(progress.outcome());
        };
        let remaining = call.deadline.until(shared.clock.now());
        let attempt = send_attempt(shared, call, guard, true);
        let result = tokio::time::timeout(remaining / left, attempt).await;
        match result.map(|(result, _)| result).unwrap_or(Err(ResultCode::AnswerLate)) {
            Ok(answer) if !answer.status().is_server_error() || left == 1 => return Ok(answer),
            Ok(_) => progress.record_failure(ResultCode::AnswerMissing),
            Err(code) => progress.record_failure(code),
        }
    }
    Err(progress.outcome())
}
