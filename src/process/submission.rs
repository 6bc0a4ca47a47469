//! Writes a change ticket to the log and finds out what became of it.

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
use crate::version::ticket::{CanonicalTicket, ChangeTicket, ObjectChange, TicketFault};
use crate::version::verdict::TicketVerdict;

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(6);
const READ_WAIT: Duration = Duration::from_millis(200);
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Appends in a row that certainly did not reach the log before the ticket is given up.
const UNSENT_ATTEMPTS: u32 = 5;

/// What became of a submitted ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketReceipt {
    /// The ticket's number.
    pub number: u64,
    /// The ticket's digest.
    pub digest: Sha256Digest,
    /// Where it stands on the log.
    pub offset: u64,
}

/// A refusal of a ticket, with what is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketRefusal {
    /// The numbered code.
    pub code: ResultCode,
    /// More than the code's own text, or empty.
    pub detail: String,
}

impl From<ResultCode> for TicketRefusal {
    fn from(code: ResultCode) -> Self {
        TicketRefusal { code, detail: String::new() }
    }
}

/// What a ticket would do to the state in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TicketPreview {
    /// The ticket's number.
    pub number: u64,
    /// The ticket's digest.
    pub digest: Sha256Digest,
    /// The result that the ticket would get now.
    pub code: ResultCode,
    /// Each object that the ticket touches.
    pub objects: Vec<ObjectPreview>,
}

/// An object before and after a ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectPreview {
    /// The object in force.
    pub before: ObjectChange,
    /// The object as the ticket has it.
    pub after: ObjectChange,
}

fn seal(text: &[u8]) -> Result<CanonicalTicket, TicketRefusal> {
    let malformed = |fault: TicketFault| TicketRefusal {
        code: ResultCode::TicketMalformed,
        detail: fault.to_string(),
    };
    ChangeTicket::canonicalise(text).map_err(malformed)
}

/// What the ticket would do if it were submitted now; nothing is written.
///
/// # Errors
/// [`ResultCode::TicketMalformed`] if it could not be read.
pub fn preview_ticket(shared: &DaemonShared, text: &[u8]) -> Result<TicketPreview, TicketRefusal> {
    let sealed = seal(text)?;
    let state = shared.version.current();
    let settled = settle(&state, &sealed).unwrap_or(Err(ResultCode::Answered));
    let code = settled.err().unwrap_or(ResultCode::Answered);
    let changes = sealed.ticket.objects.iter();
    let preview = |after: &ObjectChange| ObjectPreview {
        before: state.object(&after.key()),
        after: after.clone(),
    };
    let objects = changes.map(preview).collect();
    Ok(TicketPreview { number: sealed.ticket.number, digest: sealed.digest, code, objects })
}

/// Submits a ticket and waits until it is in force at this daemon.
///
/// # Errors
/// A refusal that is true of the ticket; [`ResultCode::LogUnavailable`] if it was certainly not
/// written; [`ResultCode::TicketOutcomeUnknown`] if it may have been.
pub async fn submit_ticket(
    shared: &Arc<DaemonShared>,
    text: &[u8],
) -> Result<TicketReceipt, TicketRefusal> {
    let sealed = seal(text)?;
    if let Some(settled) = settle(&shared.version.current(), &sealed) {
        return Ok(settled?);
    }
    let mut written = false;
    let submission = write_until_settled(shared, &sealed, &mut written);
    if let Ok(settled) = tokio::time::timeout(SUBMIT_TIMEOUT, submission).await {
        return Ok(settled?);
    }
    match written {
        true => Err(ResultCode::TicketOutcomeUnknown.into()),
        false => Err(ResultCode::LogUnavailable.into()),
    }
}

/// Appends the ticket until the stream shows its verdict; a second record of it is harmless.
///
/// `written` tells meanwhile whether some append may have taken effect.
async fn write_until_settled(
    shared: &Arc<DaemonShared>,
    sealed: &CanonicalTicket,
    written: &mut bool,
) -> Result<TicketReceipt, ResultCode> {
    let mut sent = false;
    for attempt in 1.. {
        // An append that is given up on halfway may take effect.
        *written = true;
        let body = Bytes::from(sealed.record.clone());
        let appended = shared.log.append(&StreamName::tickets(), body).await;
        let answered = appended.is_ok();
        sent |= !matches!(appended, Err(LogError::Unavailable { sent: false, .. }));
        *written = sent;
        // Whatever the append answered, only the record on the stream counts.
        if let Some(settled) = read_verdict(shared, sealed, appended.ok()).await {
            return settled;
        }
        if answered {
            return Err(ResultCode::TicketOutcomeUnknown);
        }
        if !sent && attempt >= UNSENT_ATTEMPTS {
            break;
        }
        sleep(RETRY_PAUSE).await;
    }
    Err(ResultCode::LogUnavailable)
}

/// Reads the stream up to the tail, or past `offset`, and gives the verdict if it is there.
async fn read_verdict(
    shared: &Arc<DaemonShared>,
    sealed: &CanonicalTicket,
    offset: Option<u64>,
) -> Option<Result<TicketReceipt, ResultCode>> {
    loop {
        // A peer may have handed the record on already.
        if let Some(settled) = settle(&shared.version.current(), sealed) {
            return Some(settled);
        }
        let read = read_once(shared, READ_WAIT).await;
        let state = shared.version.current();
        if let Some(settled) = settle(&state, sealed) {
            return Some(settled);
        }
        let passed = offset.is_some_and(|offset| state.next_offset > offset);
        match read {
            _ if passed => return None,
            Ok(true) if offset.is_none() => return None,
            Ok(_) => {}
            Err(_) if offset.is_none() => return None,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

/// The result of the ticket where the state already decides it, whether it was written or not.
fn settle(
    state: &ConfigState,
    sealed: &CanonicalTicket,
) -> Option<Result<TicketReceipt, ResultCode>> {
    let number = sealed.ticket.number;
    match state.verdict(number) {
        Some(verdict) => Some(receipt(number, sealed.digest, verdict)),
        // Numbers only rise, so the ticket is refused wherever its record comes to stand.
        None if state.is_stale(&sealed.ticket) => Some(Err(ResultCode::TicketStale)),
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
