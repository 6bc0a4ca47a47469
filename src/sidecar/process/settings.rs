//! The validated settings of a sidecar daemon.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::policy::retry_allowance::RetryTerms;
use crate::policy::token_share::RateWindow;

/// Requests that a cold backend server may get beyond its stated rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpTerms {
    /// Factor on the stated rate.
    pub overage: f64,
    /// Requests in any second in addition.
    pub slack: f64,
}

impl Default for WarmUpTerms {
    fn default() -> Self {
        WarmUpTerms { overage: 1.0, slack: 0.0 }
    }
}

/// The settings of a sidecar daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct SidecarSettings {
    /// The instance's name, unique in the fleet and stable across restarts.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its region; empty if the settings name none.
    pub region: Arc<str>,
    /// The region of each availability zone.
    pub zone_regions: HashMap<Arc<str>, Arc<str>>,
    /// The service of the backend server beside it.
    pub service: Arc<str>,
    /// The address on which that backend server accepts requests.
    pub backend_address: SocketAddr,
    /// Listen address for requests from callers and the backend server.
    pub request_listen: SocketAddr,
    /// Listen address for other daemons.
    pub peer_listen: SocketAddr,
    /// Listen address for announcements of the backend server.
    pub announce_listen: SocketAddr,
    /// Listen address for readiness probes.
    pub ready_listen: SocketAddr,
    /// Listen address for metrics.
    pub metrics_listen: SocketAddr,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// Maximum time for which a key works after its withdrawal was acknowledged.
    pub withdrawal_bound: Duration,
    /// Maximum time until a configuration is in force after it was acknowledged.
    pub config_bound: Duration,
    /// The window over which the rates of organisations apply.
    pub rate_window: RateWindow,
    /// The retry budget.
    pub retry_terms: RetryTerms,
    /// Requests that a cold backend server may get beyond its stated rate.
    pub warm_up_terms: WarmUpTerms,
    /// Maximum time until the evacuation of a zone is in force after it was acknowledged.
    pub evacuation_bound: Duration,
    /// Memory of the machine that this process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that this process may open.
    pub descriptors_max: usize,
    /// Memory for the bodies of messages in flight, in bytes.
    pub body_bytes: usize,
    /// Time after which a stopping process is killed.
    pub stop_bound: Duration,
}

impl SidecarSettings {
    /// The region of an availability zone; `None` if the settings do not tell.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        let is_own = *zone == *self.availability_zone && !self.region.is_empty();
        let region = if is_own { Some(&self.region) } else { self.zone_regions.get(zone) };
        region.map(|region| &**region)
    }
}
