//! State shared by all tasks of a daemon.

use std::sync::Arc;

use rand::Rng;

use super::claims::ClaimRegistry;
use super::claims::registry::ClaimDependencies;
use super::daemon::DaemonAddresses;
use super::members::{InstanceId, MemberGossip, MemberTable};
use super::metrics::MetricRegistry;
use super::platform_log::PlatformLog;
use super::presence::PresenceWatch;
use super::rates::RateLimiter;
use super::routing::UpstreamRouter;
use super::stop::{InFlightCalls, ReleaseList, StopSignal};
use crate::clock::MilliClock;
use crate::config::{ControlMode, DaemonConfig};
use crate::connection::backend_link::BackendSlot;
use crate::connection::control_link::ControlLinks;
use crate::connection::peer_call::PeerConnections;
use crate::connection::peer_transport::PeerTransport;
use crate::error::DaemonError;
use crate::request::admission::{AdmissionController, ConcurrencyLimit, ShedFeedback};
use crate::request::handle::HandleTable;
use crate::request::resend::ResendDetector;
use crate::version::cell::ConfigCell;
use crate::version::sync::StateSync;

/// State shared by all tasks of a daemon.
pub struct DaemonShared {
    /// The validated settings.
    pub config: DaemonConfig,
    /// The process's clock.
    pub clock: MilliClock,
    /// This run of the daemon.
    pub instance: InstanceId,
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// The configuration in force.
    pub version: Arc<ConfigCell>,
    /// Synchronisation of the configuration with peers and the log.
    pub sync: StateSync,
    /// Rate limiter of organisations.
    pub rates: RateLimiter,
    /// Claims of non-idempotent requests.
    pub claims: Arc<ClaimRegistry>,
    /// The member table.
    pub members: Arc<MemberTable>,
    /// Dissemination of membership entries.
    pub gossip: Arc<MemberGossip>,
    /// Presence of the backend server.
    pub presence: PresenceWatch,
    /// Selection of upstreams.
    pub router: UpstreamRouter,
    /// Admission of calls to the backend server.
    pub admission: AdmissionController,
    /// Shedding by daemons downstream, as reported in answers.
    pub feedback: ShedFeedback,
    /// Detection of requests that callers send again.
    pub resends: ResendDetector,
    /// Handles of running requests.
    pub handles: Arc<HandleTable>,
    /// The backend server in the slot.
    pub backend: BackendSlot,
    /// Connections for calls to other daemons.
    pub peers: PeerConnections,
    /// Control links to other daemons.
    pub links: Arc<ControlLinks>,
    /// Encryption and authentication between daemons.
    pub transport: PeerTransport,
    /// Counters and histograms.
    pub metrics: MetricRegistry,
    /// Raised first: new requests are refused.
    pub stop: StopSignal,
    /// Raised second: connections of peers are closed.
    pub close: StopSignal,
    /// Raised last, when no request runs: connections of the slot and of operators are closed.
    pub end: StopSignal,
    /// Calls of peers that are in flight here.
    pub in_flight: InFlightCalls,
    /// Release steps of a planned stop.
    pub releases: ReleaseList,
}

/// Creates the shared state of a daemon that listens on `addresses`.
///
/// # Errors
/// [`DaemonError::PeerIdentity`] if the TLS library rejects the peer secrets.
pub(super) fn new_shared(
    config: DaemonConfig,
    addresses: DaemonAddresses,
    log: Arc<dyn PlatformLog>,
) -> Result<DaemonShared, DaemonError> {
    let clock = MilliClock::monotonic();
    let address = config.peer_advertise.unwrap_or(addresses.peer);
    let instance = InstanceId { address, boot: rand::rng().random() };
    let transport = PeerTransport::new(&config.peer_secrets)?;
    let members = Arc::new(MemberTable::default());
    let zone = config.availability_zone.clone();
    let gossip = MemberGossip::new(members.clone(), clock.clone(), instance, zone.clone());
    let metrics = MetricRegistry::default();
    let links = ControlLinks::new(transport.clone(), instance);
    let claims = ClaimRegistry::new(ClaimDependencies {
        log: log.clone(),
        members: members.clone(),
        links: links.clone(),
        instance,
        availability_zone: zone.clone(),
        relay_members: config.claim_relay_members,
        clock: clock.clone(),
        events: metrics.events(),
    });
    let rates = RateLimiter::new(
        clock.clone(),
        instance,
        links.clone(),
        metrics.rates.clone(),
        &config.lease_terms,
    );
    Ok(DaemonShared {
        version: Arc::new(ConfigCell::default()),
        sync: StateSync::new(clock.clone()),
        rates,
        claims,
        router: UpstreamRouter::new(members.clone(), zone, clock.clone()),
        members,
        gossip: Arc::new(gossip),
        presence: PresenceWatch::default(),
        admission: admission_controller(&clock, &config),
        feedback: ShedFeedback::new(clock.clone()),
        resends: ResendDetector::new(clock.clone()),
        handles: Arc::new(HandleTable::default()),
        backend: BackendSlot::default(),
        peers: PeerConnections::new(transport.clone()),
        links,
        transport,
        metrics,
        stop: StopSignal::default(),
        close: StopSignal::default(),
        end: StopSignal::default(),
        in_flight: InFlightCalls::default(),
        releases: ReleaseList::default(),
        config,
        clock,
        instance,
        log,
    })
}

fn admission_controller(clock: &MilliClock, config: &DaemonConfig) -> AdmissionController {
    let concurrency = config.initial_concurrency;
    let limit = match config.control {
        ControlMode::Full => ConcurrencyLimit::new(concurrency),
        ControlMode::FixedLimit => ConcurrencyLimit::fixed(concurrency),
        ControlMode::Unlimited | ControlMode::PlainRetries => ConcurrencyLimit::fixed(usize::MAX),
    };
    AdmissionController::with_limit(clock.clone(), limit)
}
