//! Submission of change tickets: appends a ticket to the log and determines its result.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::platform_log::{LogError, StreamName};
use super::shared::DaemonShared;
use crate::error::ResultCode;
use crate::version::digest::Sha256Digest;
use crate::version::reader::read_once;
use crate::version::state::ConfigState;
use crate::version::ticket::{CanonicalTicket, ChangeTicket, ObjectChange, TicketError};
use crate::version::verdict::TicketVerdict;

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(6);
const READ_WAIT: Duration = Duration::from_millis(200);
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Consecutive appends that definitely did not reach the log, after which the submission fails.
const MAX_UNSENT_ATTEMPTS: u32 = 5;

/// Confirmation of an accepted ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketReceipt {
    /// The ticket's number.
    pub number: u64,
    /// The ticket's digest.
    pub digest: Sha256Digest,
    /// The offset of its record.
    pub offset: u64,
}

/// A refusal of a ticket, with details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketRefusal {
    /// The numbered code.
    pub code: ResultCode,
    /// Details in addition to the code's text; may be empty.
    pub detail: String,
}

impl From<ResultCode> for TicketRefusal {
    fn from(code: ResultCode) -> Self {
        TicketRefusal { code, detail: String::new() }
    }
}

/// The effect that a ticket would have on the state in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TicketPreview {
    /// The ticket's number.
    pub number: u64,
    /// The ticket's digest.
    pub digest: Sha256Digest,
    /// The result that the ticket would have now.
    pub code: ResultCode,
    /// Each object that the ticket changes.
    pub objects: Vec<ObjectPreview>,
}

/// An object before and after a ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectPreview {
    /// The object in force.
    pub before: ObjectChange,
    /// The object in the ticket.
    pub after: ObjectChange,
}

fn parse(text: &[u8]) -> Result<CanonicalTicket, TicketRefusal> {
    let malformed = |error: TicketError| TicketRefusal {
        code: ResultCode::TicketMalformed,
        detail: error.to_string(),
    };
    ChangeTicket::canonicalise(text).map_err(malformed)
}

/// The effect of the ticket if it were submitted now; nothing is appended.
///
/// # Errors
/// [`ResultCode::TicketMalformed`] if it could not be parsed.
pub fn preview_ticket(shared: &DaemonShared, text: &[u8]) -> Result<TicketPreview, TicketRefusal> {
    let canonical = parse(text)?;
    let state = shared.version.current();
    let result = known_result(&state, &canonical).unwrap_or(Err(ResultCode::Answered));
    let code = result.err().unwrap_or(ResultCode::Answered);
    let changes = canonical.ticket.objects.iter();
    let preview = |after: &ObjectChange| ObjectPreview {
        before: state.object(&after.key()),
        after: after.clone(),
    };
    let objects = changes.map(preview).collect();
    Ok(TicketPreview { number: canonical.ticket.number, digest: canonical.digest, code, objects })
}

/// Submits a ticket and waits until it is in force at this daemon.
///
/// # Errors
/// The ticket's refusal; [`ResultCode::LogUnavailable`] if it was definitely not appended;
/// [`ResultCode::TicketOutcomeUnknown`] if it may have been.
pub async fn submit_ticket(
    shared: &Arc<DaemonShared>,
    text: &[u8],
) -> Result<TicketReceipt, TicketRefusal> {
    let canonical = parse(text)?;
    if let Some(result) = known_result(&shared.version.current(), &canonical) {
        return Ok(result?);
    }
    let mut written = false;
    let submission = append_until_decided(shared, &canonical, &mut written);
    if let Ok(result) = tokio::time::timeout(SUBMIT_TIMEOUT, submission).await {
        return Ok(result?);
    }
    match written {
        true => Err(ResultCode::TicketOutcomeUnknown.into()),
        false => Err(ResultCode::LogUnavailable.into()),
    }
}

/// Appends the ticket until its verdict is on the stream. A duplicate record has no effect.
///
/// `written` tracks whether an append may have taken effect.
async fn append_until_decided(
    shared: &Arc<DaemonShared>,
    canonical: &CanonicalTicket,
    written: &mut bool,
) -> Result<TicketReceipt, ResultCode> {
    let mut sent = false;
    for attempt in 1.. {
        // An append that is cancelled by the timeout may take effect.
        *written = true;
        let body = Bytes::from(canonical.record.clone());
        let appended = shared.log.append(&StreamName::tickets(), body).await;
        let answered = appended.is_ok();
        sent |= !matches!(appended, Err(LogError::Unavailable { sent: false, .. }));
        *written = sent;
        // Only the record on the stream decides, regardless of the append's result.
        if let Some(result) = read_verdict(shared, canonical, appended.ok()).await {
            return result;
        }
        if answered {
            return Err(ResultCode::TicketOutcomeUnknown);
        }
        if !sent && attempt >= MAX_UNSENT_ATTEMPTS {
            break;
        }
        sleep(RETRY_DELAY).await;
    }
    Err(ResultCode::LogUnavailable)
}

/// Reads the stream up to the tail, or past `offset`, and returns the verdict if it is there.
async fn read_verdict(
    shared: &Arc<DaemonShared>,
    canonical: &CanonicalTicket,
    offset: Option<u64>,
) -> Option<Result<TicketReceipt, ResultCode>> {
    loop {
        // The state may already contain the record, received from a peer.
        if let Some(result) = known_result(&shared.version.current(), canonical) {
            return Some(result);
        }
        let read = read_once(shared, READ_WAIT).await;
        let state = shared.version.current();
        if let Some(result) = known_result(&state, canonical) {
            return Some(result);
        }
        let passed = offset.is_some_and(|offset| state.next_offset > offset);
        match read {
            _ if passed => return None,
            Ok(true) if offset.is_none() => return None,
            Ok(_) => {}
            Err(_) if offset.is_none() => return None,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// The result of the ticket if the state already decides it, whether it was appended or not.
fn known_result(
    state: &ConfigState,
    canonical: &CanonicalTicket,
) -> Option<Result<TicketReceipt, ResultCode>> {
    let number = canonical.ticket.number;
    match state.verdict(number) {
        Some(verdict) => Some(receipt(number, canonical.digest, verdict)),
        // Numbers only increase, so the ticket is refused at any later offset.
        None if state.is_stale(&canonical.ticket) => Some(Err(ResultCode::TicketStale)),
        None => None,
    }
}

fn receipt(
    number: u64,
    digest: Sha256Digest,
    verdict: &TicketVerdict,
) -> Result<TicketReceipt, ResultCode> {
    if verdict.digest != digest {
        return Err(ResultCode::TicketConflict);
    }
    if !verdict.accepted {
        return Err(ResultCode::TicketStale);
    }
    Ok(TicketReceipt { number, digest, offset: verdict.offset })
}
