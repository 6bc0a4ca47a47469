//! What an adapter tells the daemon of the outside's names and formats.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::header::HeaderName;
use snafu::Snafu;

use crate::policy::incarnation::BackendIncarnation;
use crate::sidecar::version::fleet_config::FleetConfig;

/// Names of the headers with a meaning to the daemon.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of a request, new for each attempt of a caller, echoed in answers.
    pub request_id: HeaderName,
    /// Milliseconds that the caller will wait.
    pub deadline_millis: HeaderName,
    /// Proof that a backend server made an answer.
    pub signature: HeaderName,
    /// The organisation, told to backend servers.
    pub organisation: HeaderName,
    /// The only backend server that may run the request.
    pub target: HeaderName,
    /// A backend server's word that it did not run the request.
    pub not_run: HeaderName,
    /// The service beside which a request began, told to backend servers.
    pub caller_service: HeaderName,
    /// The header in which callers show their key.
    pub key: HeaderName,
    /// What stands before the key there.
    pub key_prefix: &'static str,
}

/// What a backend server announces of itself.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendAnnouncement {
    /// Its state.
    Heartbeat(BackendHeartbeat),
    /// It leaves.
    Leave {
        /// Its identity.
        id: Arc<str>,
    },
}

/// The state of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendHeartbeat {
    /// Which start of which server.
    pub incarnation: BackendIncarnation,
    /// Rises with each heartbeat of an incarnation.
    pub number: u64,
    /// Its service.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// How long it stays slow after its start.
    pub cold_for: Duration,
}

/// Something from outside that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {problem}"))]
pub struct DecodeError {
    /// Where.
    pub field: String,
    /// What is wrong there and what was expected.
    pub problem: String,
}

/// Decodes what comes from outside.
pub trait WireDialect: Send + Sync {
    /// The headers' names.
    fn headers(&self) -> &HeaderNames;

    /// The path at which readiness is asked for.
    fn ready_path(&self) -> &str;

    /// Decodes a call of a backend server; `None` if it is no announcement.
    ///
    /// # Errors
    /// [`DecodeError`] if it names no backend server that can be used.
    fn announcement(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Option<Result<BackendAnnouncement, DecodeError>>;

    /// The key of the configuration's record in its topic.
    fn config_key(&self) -> &str;

    /// Decodes a version of the configuration.
    ///
    /// # Errors
    /// [`DecodeError`] if it cannot be used.
    fn config(&self, bytes: &[u8]) -> Result<FleetConfig, DecodeError>;
}
