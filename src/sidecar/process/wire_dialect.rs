//! The platform's names and formats, supplied by an adapter.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderName;
use hyper::{HeaderMap, Method};
use snafu::Snafu;

use crate::policy::backend_notice::BackendNotice;
use crate::policy::incarnation::BackendIncarnation;
use crate::sidecar::version::fleet_config::FleetConfig;

/// Names of the headers that the daemon interprets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of a request, new for each attempt of a caller; echoed in answers.
    pub request_id: HeaderName,
    /// The caller's timeout in milliseconds.
    pub deadline_millis: HeaderName,
    /// Marks an answer as produced by a backend server.
    pub signature: HeaderName,
    /// The organisation; set for backend servers.
    pub organisation: HeaderName,
    /// The id of the only backend server that may run the request.
    pub target: HeaderName,
    /// Set by a backend server that did not run the request.
    pub not_run: HeaderName,
    /// The service of the daemon at which the request arrived; set for backend servers.
    pub caller_service: HeaderName,
    /// The header with the caller's key.
    pub key: HeaderName,
    /// The prefix of the key in that header.
    pub key_prefix: &'static str,
    /// The id of the backend server, in its answers to health checks.
    pub instance: HeaderName,
    /// The milliseconds for which the backend server stays cold, in its answers to health checks.
    pub cold_millis: HeaderName,
}

/// An announcement from a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendAnnouncement {
    /// It is running, with this state.
    Heartbeat(BackendHeartbeat),
    /// It is leaving.
    Leave {
        /// Its identity.
        id: Arc<str>,
    },
}

/// The state of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendHeartbeat {
    /// The server and its start.
    pub incarnation: BackendIncarnation,
    /// Sequence number, increasing within an incarnation.
    pub number: u64,
    /// Its service.
    pub service: Arc<str>,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// The number of requests that it runs concurrently.
    pub slots: usize,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Remaining warm-up time, during which it is slow.
    pub cold_for: Duration,
}

/// An error in data from outside.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {problem}"))]
pub struct DecodeError {
    /// The invalid field.
    pub field: String,
    /// What is wrong and what was expected.
    pub problem: String,
}

/// Names and decoders of the platform's formats.
pub trait WireDialect: Send + Sync {
    /// The header names.
    fn headers(&self) -> &HeaderNames;

    /// The path of readiness probes.
    fn ready_path(&self) -> &str;

    /// Decodes an announcement of a backend server; `None` if the call is not one.
    ///
    /// # Errors
    /// [`DecodeError`] if the announcement is invalid.
    fn announcement(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Option<Result<BackendAnnouncement, DecodeError>>;

    /// Decodes what the head of a backend server's answer states about that server.
    fn notice(&self, headers: &HeaderMap) -> BackendNotice;

    /// The key of the configuration's record in its topic.
    fn config_key(&self) -> &str;

    /// The availability zone whose evacuation a record of the operators' topic requests.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Decodes a version of the configuration; entries that cannot be decoded are left out and listed.
    ///
    /// # Errors
    /// [`DecodeError`] if the configuration is invalid.
    fn config(&self, bytes: &[u8]) -> Result<FleetConfig, DecodeError>;

    /// The number of a version that [`WireDialect::config`] rejects; `None` if it cannot be decoded
    /// either.
    fn config_version(&self, bytes: &[u8]) -> Option<u64>;
}
