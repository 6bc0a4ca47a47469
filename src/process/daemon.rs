//! Start and stop of the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

use super::admin::serve_admin;
use super::http_log::HttpLog;
use super::members::prober::MemberProber;
use super::members::stream::MemberStream;
use super::members::sync::{bootstrap, serve_syncs};
use super::platform_log::PlatformLog;
use super::presence::watch_backend;
use super::rates::borrow_round::sweep_accounts;
use super::rates::lease_manager::LeaseManager;
use super::shared::{DaemonShared, new_shared};
use crate::config::DaemonConfig;
use crate::connection::listener::{ConnectionTimeouts, bind, serve_http};
use crate::connection::peer_listener::serve_peers;
use crate::connection::slot::serve_slot;
use crate::error::{DaemonError, ListenSnafu};
use crate::request::entry::{EntryPoint, serve_entry};
use crate::version::peer_exchange::exchange_with_peers;
use crate::version::reader::follow_tickets;
use crate::version::snapshot_writer::maintain_snapshots;
use crate::version::sync::maintain_zone_tree;

const SYNC_QUEUE_LIMIT: usize = 4;
const FREE_PORT_TRIES: u32 = 16;

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DaemonAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For the backend server.
    pub slot: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// A running daemon.
pub struct Daemon {
    /// State shared by its tasks.
    pub shared: Arc<DaemonShared>,
    /// The addresses that it listens on.
    pub addresses: DaemonAddresses,
    stream: Arc<MemberStream>,
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
    local_servers: Vec<JoinHandle<()>>,
    background: Vec<JoinHandle<()>>,
}

struct DaemonListeners {
    caller: TcpListener,
    slot: TcpListener,
    peer: TcpListener,
    members: UdpSocket,
    admin: TcpListener,
}

impl DaemonListeners {
    async fn open(config: &DaemonConfig) -> Result<Self, DaemonError> {
        let (peer, members) = bind_peer_ports(config.peer_listen).await?;
        Ok(DaemonListeners {
            caller: bind(config.caller_listen).await?,
            slot: bind(config.slot_listen).await?,
            peer,
            members,
            admin: bind(config.admin_listen).await?,
        })
    }

    fn addresses(&self, config: &DaemonConfig) -> DaemonAddresses {
        let bound =
            |listener: &TcpListener, configured| listener.local_addr().unwrap_or(configured);
        DaemonAddresses {
            caller: bound(&self.caller, config.caller_listen),
            slot: bound(&self.slot, config.slot_listen),
            peer: bound(&self.peer, config.peer_listen),
            admin: bound(&self.admin, config.admin_listen),
        }
    }
}

impl Daemon {
    /// Opens the listeners and starts every task.
    ///
    /// # Errors
    /// [`DaemonError`] if a listener cannot be opened or the peer identity cannot be created.
    pub async fn start(config: DaemonConfig) -> Result<Daemon, DaemonError> {
        let log = Arc::new(HttpLog::new(&config.log_url));
        Daemon::start_with_log(config, log).await
    }

    /// Starts with another implementation of the platform's log.
    ///
    /// # Errors
    /// As [`Daemon::start`].
    pub async fn start_with_log(
        config: DaemonConfig,
        log: Arc<dyn PlatformLog>,
    ) -> Result<Daemon, DaemonError> {
        let listeners = DaemonListeners::open(&config).await?;
        let addresses = listeners.addresses(&config);
        let shared = Arc::new(new_shared(config, addresses, log)?);
        let manager = LeaseManager::new(shared.clone());
        add_releases(&shared, &manager);
        let stream = MemberStream::new(shared.log.clone(), shared.gossip.clone());
        let DaemonListeners { caller, slot, peer, members, admin } = listeners;
        let background = start_background(&shared, &stream, &manager, members);
        let callers = start_callers(&shared, caller);
        let peers = tokio::spawn(serve_peers(shared.clone(), peer, shared.close.clone()));
        let local_servers = vec![start_slot(&shared, slot), start_admin(&shared, admin)];
        Ok(Daemon { shared, addresses, stream, callers, peers, local_servers, background })
    }

    /// Aborts every task at once, as a power failure would; requests in flight are lost.
    pub fn abort(self) {
        self.callers.abort();
        self.peers.abort();
        self.local_servers.iter().for_each(JoinHandle::abort);
        self.background.iter().for_each(JoinHandle::abort);
    }

    /// Drains and stops: announces the leave to other daemons, refuses new requests, waits for
    /// those in flight, and closes the connections. Requests that exceed the drain timeout are
    /// aborted.
    pub async fn stop(self) {
        let drain = self.shared.config.drain;
        self.shared.gossip.leave();
        let stream = self.stream.clone();
        let leave_published = tokio::spawn(async move { stream.publish_leave().await });
        sleep(drain.leave_grace).await;
        self.shared.stop.raise();
        let deadline = Instant::now() + drain.timeout;
        finish(self.callers, deadline).await;
        // Calls that exceed the drain timeout do not prevent the releases.
        let _ = timeout_at(deadline, self.shared.in_flight.drained()).await;
        self.shared.releases.run().await;
        self.shared.close.raise();
        finish(self.peers, deadline).await;
        self.shared.end.raise();
        for task in self.local_servers {
            finish(task, deadline).await;
        }
        // A panic of this task does not affect the stop.
        let _ = leave_published.await;
        self.background.iter().for_each(JoinHandle::abort);
    }
}

/// Waits for a task and aborts it at the deadline.
async fn finish(mut task: JoinHandle<()>, deadline: Instant) {
    if timeout_at(deadline, &mut task).await.is_err() {
        task.abort();
    }
}

/// Binds a TCP listener and a UDP socket for other daemons to the same port number.
async fn bind_peer_ports(address: SocketAddr) -> Result<(TcpListener, UdpSocket), DaemonError> {
    let mut tries = if address.port() == 0 { FREE_PORT_TRIES } else { 1 };
    loop {
        let listener = bind(address).await?;
        let bound = listener.local_addr().context(ListenSnafu { address })?;
        tries -= 1;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if tries > 0 => {}
            Err(source) => return Err(DaemonError::Listen { address, source }),
        }
    }
}

/// Adds the release steps of a planned stop.
fn add_releases(shared: &Arc<DaemonShared>, manager: &Arc<LeaseManager>) {
    let claims = shared.claims.clone();
    shared.releases.add("claims", move || async move {
        // Claims without an appended end are safe; their repeats get a less specific code.
        let _ = claims.flush_ends().await;
    });
    let manager = manager.clone();
    shared.releases.add("rates", move || async move { manager.release_all().await });
}

fn start_background(
    shared: &Arc<DaemonShared>,
    stream: &Arc<MemberStream>,
    manager: &Arc<LeaseManager>,
    socket: UdpSocket,
) -> Vec<JoinHandle<()>> {
    let (sync, sync_requests) = mpsc::channel(SYNC_QUEUE_LIMIT);
    let (gossip, links) = (shared.gossip.clone(), shared.links.clone());
    let (transport, clock) = (shared.transport.clone(), shared.clock.clone());
    let events = shared.metrics.events();
    let prober = MemberProber::new(gossip.clone(), socket, transport, clock, events, sync);
    let seeds = shared.config.seed_peers.clone();
    vec![
        tokio::spawn(prober.run()),
        tokio::spawn(serve_syncs(links.clone(), gossip.clone(), sync_requests)),
        tokio::spawn(bootstrap(links, gossip, seeds)),
        tokio::spawn(stream.clone().follow()),
        tokio::spawn(stream.clone().publish_changes()),
        tokio::spawn(watch_backend(shared.clone())),
        tokio::spawn(maintain_zone_tree(shared.clone())),
        tokio::spawn(follow_tickets(shared.clone())),
        tokio::spawn(exchange_with_peers(shared.clone())),
        tokio::spawn(maintain_snapshots(shared.clone())),
        tokio::spawn(shared.claims.clone().maintain()),
        tokio::spawn(manager.clone().follow()),
        tokio::spawn(manager.clone().maintain()),
        tokio::spawn(sweep_accounts(shared.rates.state().clone())),
    ]
}

fn connection_times(shared: &DaemonShared) -> ConnectionTimeouts {
    let head_timeout = shared.config.limits.head_timeout;
    ConnectionTimeouts { head_timeout, drain_time: shared.config.drain.linger }
}

fn start_callers(shared: &Arc<DaemonShared>, listener: TcpListener) -> JoinHandle<()> {
    let state = shared.clone();
    let handler = move |request| serve_entry(state.clone(), request, EntryPoint::Caller);
    let stop = shared.stop.clone();
    tokio::spawn(serve_http(listener, stop, connection_times(shared), handler))
}

fn start_slot(shared: &Arc<DaemonShared>, listener: TcpListener) -> JoinHandle<()> {
    let state = shared.clone();
    let handler = move |request| serve_slot(state.clone(), request);
    let times = ConnectionTimeouts { drain_time: Duration::ZERO, ..connection_times(shared) };
    tokio::spawn(serve_http(listener, shared.end.clone(), times, handler))
}

fn start_admin(shared: &Arc<DaemonShared>, listener: TcpListener) -> JoinHandle<()> {
    let state = shared.clone();
    let handler = move |request| serve_admin(state.clone(), request);
    let times = ConnectionTimeouts { drain_time: Duration::ZERO, ..connection_times(shared) };
    tokio::spawn(serve_http(listener, shared.end.clone(), times, handler))
}
