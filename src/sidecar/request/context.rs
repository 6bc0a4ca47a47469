//! Requests, their context and their outcome as sent between daemons.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::shared_body::shared_body;
use crate::policy::request_identity::RequestIdentity;
use crate::policy::request_rank::RequestRank;

/// Identity, origin and rank of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallContext {
    /// The id that the caller gave the request.
    pub request_id: Arc<str>,
    /// The digest of its contents.
    pub identity: RequestIdentity,
    /// The id of the root request that this one belongs to; its own for a root.
    pub root_id: Arc<str>,
    /// The organisation that owns the request's key.
    pub organisation: Option<Arc<str>>,
    /// Its rank in the admission queue.
    pub rank: RequestRank,
    /// The service of the daemon at which the request arrived.
    pub caller_service: Arc<str>,
    /// The service that runs it.
    pub service: Arc<str>,
    /// Whether it is a resend, or a call of a run that is one.
    pub is_repeat: bool,
    /// Whether it is a resend, which needs a retry of the instance's budget.
    pub is_resend: bool,
    /// Whether its root was admitted for retries that are short.
    pub is_entitled: bool,
    /// Whether it runs on probation: a backend server that ran it has ended.
    pub is_suspect: bool,
}

/// A request for a backend server, without the headers that the last daemon adds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Names and values of the end-to-end headers.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    #[serde(deserialize_with = "shared_body")]
    pub body: Bytes,
}

/// A backend server's complete answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Names and values of the end-to-end headers.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    #[serde(deserialize_with = "shared_body")]
    pub body: Bytes,
}

impl BackendAnswer {
    /// Whether the status is 2xx.
    ///
    /// ```
    /// use lentilway::sidecar::request::context::BackendAnswer;
    /// let answer = BackendAnswer { status: 204, headers: Vec::new(), body: Default::default() };
    /// assert!(answer.is_success());
    /// ```
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the status is 5xx.
    pub fn is_server_error(&self) -> bool {
        self.status >= 500
    }
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunCause {
    /// No backend server accepts requests there.
    NoBackend,
    /// It would have missed its deadline.
    TooLate,
    /// The backend server reported that it did not run the request.
    BackendRefused,
    /// No connection could be opened.
    Unreachable,
    /// It is a resend for which the retry budget has no room.
    RetryBudget,
    /// Backend servers ended under it.
    Held,
}

/// Why a request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownCause {
    /// The link to the other daemon ended.
    LinkLost,
    /// The connection to the backend server ended early.
    Broken,
    /// The backend server ended.
    ServerEnded,
    /// The answer was incomplete, unsigned or for another request.
    Spoiled,
    /// No answer arrived before the deadline.
    Expired,
    /// The answer's body is larger than this daemon can take.
    TooLarge,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The backend server answered.
    Answered(BackendAnswer),
    /// It did not run and will not run.
    NotRun {
        /// The reason.
        cause: NotRunCause,
        /// Milliseconds until capacity is expected; 0 if unknown.
        #[serde(rename = "room_millis")]
        capacity_in_millis: u32,
    },
    /// It may have run.
    Unknown(UnknownCause),
}

impl CallOutcome {
    /// Whether the backend server answered, if only to refuse.
    ///
    /// ```
    /// use lentilway::sidecar::request::context::{CallOutcome, NotRunCause};
    /// let outcome = |cause| CallOutcome::NotRun { cause, capacity_in_millis: 0 };
    /// assert!(outcome(NotRunCause::BackendRefused).is_from_backend());
    /// assert!(!outcome(NotRunCause::TooLate).is_from_backend());
    /// ```
    pub fn is_from_backend(&self) -> bool {
        match self {
            CallOutcome::Answered(_) => true,
            CallOutcome::NotRun { cause, .. } => *cause == NotRunCause::BackendRefused,
            CallOutcome::Unknown(_) => false,
        }
    }
}
