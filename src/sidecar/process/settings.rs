//! The checked settings of a sidecar daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::policy::retry_allowance::RetryTerms;
use crate::policy::token_share::RateWindow;

/// Everything that a sidecar daemon is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct SidecarSettings {
    /// The instance's name, unique in the fleet and kept over restarts.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// The service of the backend server beside it.
    pub service: Arc<str>,
    /// Where that backend server takes requests.
    pub backend_address: SocketAddr,
    /// Where callers and the backend server send requests.
    pub request_listen: SocketAddr,
    /// Where other daemons connect.
    pub peer_listen: SocketAddr,
    /// Where the backend server announces itself.
    pub announce_listen: SocketAddr,
    /// Where readiness is asked for.
    pub ready_listen: SocketAddr,
    /// Where metrics are served.
    pub metrics_listen: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// A withdrawn key must not work longer than this after the change was acknowledged.
    pub withdrawal_bound: Duration,
    /// How the rates of organisations are judged.
    pub rate_window: RateWindow,
    /// The bound on second sends.
    pub retry_terms: RetryTerms,
    /// A stopping process is killed after this.
    pub stop_bound: Duration,
}
