//! A fleet on loopback in one process: the log, daemons and their backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use lentilway::config::DaemonConfig;
use lentilway::error::DaemonError;
use lentilway::process::daemon::Daemon;
use lentilway::process::rates::share::SHARE_COUNT;
use lentilway::version::digest::Sha256Digest;
use lentilway_stand_ins::backend::{BackendBehaviour, BackendServer};
use lentilway_stand_ins::log::LogServer;
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};
use tokio::time::{sleep, timeout};

const POLL_PAUSE: Duration = Duration::from_millis(5);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A loopback address whose port the operating system selects.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// An error while a fleet starts.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A daemon did not start.
    #[snafu(display("a daemon did not start: {source}"))]
    StartDaemon {
        /// The daemon's error.
        source: DaemonError,
    },
    /// A stand-in did not start.
    #[snafu(display("a stand-in did not start: {source}"))]
    StartStandIn {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The daemons did not all receive the tickets, members and shares in time.
    #[snafu(display("the fleet did not settle in time"))]
    Unsettled,
}

/// An instance to start.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// The service.
    pub service: String,
    /// The availability zone.
    pub availability_zone: String,
    /// The behaviour of the backend server.
    pub behaviour: BackendBehaviour,
}

impl NodePlan {
    /// An instance with this behaviour.
    pub fn new(service: &str, availability_zone: &str, behaviour: BackendBehaviour) -> Self {
        let (service, availability_zone) = (service.into(), availability_zone.into());
        NodePlan { service, availability_zone, behaviour }
    }
}

/// A daemon and its backend server.
pub struct FleetNode {
    /// The service.
    pub service: String,
    /// The daemon.
    pub daemon: Daemon,
    /// The backend server.
    pub backend: BackendServer,
}

/// A running fleet.
pub struct Fleet {
    /// The platform's log.
    pub log: LogServer,
    /// The instances in the order of their plans.
    pub nodes: Vec<FleetNode>,
}

impl Fleet {
    /// Starts a log with `tickets` and an instance for each plan, and waits until every daemon has
    /// every ticket and member and all rate shares are held. `configure` changes each daemon's
    /// settings.
    ///
    /// # Errors
    /// [`FleetError`] if something does not start or the fleet does not settle.
    pub async fn start(
        tickets: &[Value],
        plans: &[NodePlan],
        configure: impl Fn(&mut DaemonConfig),
    ) -> Result<Fleet, FleetError> {
        Fleet::start_each(tickets, plans, |config, _| configure(config)).await
    }

    /// Like [`Fleet::start`], but `configure` also gets the instance's plan.
    ///
    /// # Errors
    /// As [`Fleet::start`].
    pub async fn start_each(
        tickets: &[Value],
        plans: &[NodePlan],
        configure: impl Fn(&mut DaemonConfig, &NodePlan),
    ) -> Result<Fleet, FleetError> {
        let log = LogServer::start(ANY_PORT, None).await.context(StartStandInSnafu)?;
        for ticket in tickets {
            log.append("tickets", ticket.to_string().as_bytes());
        }
        let mut fleet = Fleet { log, nodes: Vec::new() };
        for plan in plans {
            fleet.add(plan, |config| configure(config, plan)).await?;
        }
        fleet.settle(tickets.len() as u64).await?;
        Ok(fleet)
    }

    /// Adds an instance without waiting for the fleet to settle.
    ///
    /// # Errors
    /// [`FleetError`] if something does not start.
    pub async fn add(
        &mut self,
        plan: &NodePlan,
        configure: impl Fn(&mut DaemonConfig),
    ) -> Result<(), FleetError> {
        let mut config = DaemonConfig::loopback(&self.log.url(), &plan.availability_zone);
        configure(&mut config);
        let daemon = Daemon::start(config).await.context(StartDaemonSnafu)?;
        let slot = daemon.addresses.slot;
        let behaviour = plan.behaviour.clone();
        let backend = BackendServer::start(ANY_PORT, &plan.service, slot, behaviour).await;
        let backend = backend.context(StartStandInSnafu)?;
        self.nodes.push(FleetNode { service: plan.service.clone(), daemon, backend });
        Ok(())
    }

    /// Waits until every daemon has applied `offset` records and has every instance in its member
    /// table, and all rate shares are held.
    ///
    /// # Errors
    /// [`FleetError::Unsettled`] after 20 s.
    pub async fn settle(&self, offset: u64) -> Result<(), FleetError> {
        let settled = async {
            for node in &self.nodes {
                wait_offset(&node.daemon, offset).await;
                wait_members(&node.daemon, self.nodes.len()).await;
            }
            if !self.nodes.is_empty() {
                wait_shares(|| self.nodes.iter().map(|node| &node.daemon)).await;
            }
        };
        timeout(SETTLE_TIMEOUT, settled).await.map_err(|_| FleetError::Unsettled)
    }

    /// Each daemon's address for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.daemon.addresses.caller).collect()
    }

    /// Stops everything at once, like a power failure.
    pub fn abort(self) {
        for node in self.nodes {
            node.daemon.abort();
            node.backend.kill();
        }
    }

    /// Stops every daemon gracefully.
    pub async fn stop(self) {
        join_all(self.nodes.into_iter().map(|node| node.daemon.stop())).await;
    }
}

/// Waits until the daemon has applied `offset` records of the ticket stream.
pub async fn wait_offset(daemon: &Daemon, offset: u64) {
    let mut offsets = daemon.shared.version.subscribe();
    // The daemon keeps the sender, so the wait cannot fail.
    let _ = offsets.wait_for(|next| *next >= offset).await;
}

/// Waits until the daemon's member table has at least `count` upstreams.
pub async fn wait_members(daemon: &Daemon, count: usize) {
    let mut changes = daemon.shared.members.subscribe();
    while daemon.shared.members.all_upstreams().len() < count {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Waits until the daemons hold every share of the organisations' rates.
pub async fn wait_shares<'a, D: Iterator<Item = &'a Daemon>>(daemons: impl Fn() -> D) {
    let held =
        || -> usize { daemons().map(|daemon| daemon.shared.rates.held_shares().len()).sum() };
    while held() < usize::from(SHARE_COUNT) {
        sleep(POLL_PAUSE).await;
    }
}

/// An organisation with one key, as an object of a ticket.
pub fn organisation(name: &str, key: &str, rate: f64, burst: f64) -> Value {
    let digest = Sha256Digest::of(key.as_bytes());
    let state = json!({ "keys": [{ "digest": digest }], "rate": rate, "burst": burst });
    json!({ "kind": "organisation", "name": name, "state": state })
}

/// An idempotent GET route of class normal, as an object of a ticket.
pub fn read_route(name: &str, prefix: &str, service: &str) -> Value {
    route(name, "GET", prefix, service, "normal", true)
}

/// A non-idempotent POST route of class high, as an object of a ticket.
pub fn write_route(name: &str, prefix: &str, service: &str) -> Value {
    route(name, "POST", prefix, service, "high", false)
}

/// A route with a timeout of two seconds, as an object of a ticket.
pub fn route(
    name: &str,
    method: &str,
    prefix: &str,
    service: &str,
    class: &str,
    idempotent: bool,
) -> Value {
    let state = json!({
        "method": method,
        "prefix": prefix,
        "service": service,
        "class": class,
        "idempotent": idempotent,
        "timeout_ms": 2000,
    });
    json!({ "kind": "route", "name": name, "state": state })
}

/// A ticket that changes `objects`.
pub fn ticket(number: u64, objects: &[Value]) -> Value {
    json!({ "number": number, "author": "operator", "objects": objects })
}
