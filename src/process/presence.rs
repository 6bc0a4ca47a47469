//! Presence of the backend server in the slot: announcement, withdrawal and silence.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::shared::DaemonShared;
use crate::connection::backend_link::BackendServer;
use crate::logging::log_event;

/// A backend server that sent no announcement for this long gets no new requests.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// A check that is this late means that the daemon itself was paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(600);
const CONNECT_PERIOD: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const REFUSAL_THRESHOLD: u32 = 2;

#[derive(Serialize)]
struct BackendEvent<'a> {
    service: &'a str,
    boot: u64,
    reason: &'a str,
}

/// Time of the backend server's last contact, and the run that has left.
#[derive(Debug)]
pub struct PresenceWatch {
    state: Mutex<WatchState>,
}

#[derive(Debug)]
struct WatchState {
    last_contact: Instant,
    left_boot: Option<u64>,
}

impl Default for PresenceWatch {
    fn default() -> Self {
        let state = WatchState { last_contact: Instant::now(), left_boot: None };
        PresenceWatch { state: Mutex::new(state) }
    }
}

impl PresenceWatch {
    fn reset_silence(&self) {
        self.state.lock().expect("lock not poisoned").last_contact = Instant::now();
    }

    fn silence(&self) -> Duration {
        self.state.lock().expect("lock not poisoned").last_contact.elapsed()
    }

    fn record_left(&self, boot: u64) {
        self.state.lock().expect("lock not poisoned").left_boot = Some(boot);
    }

    fn has_left(&self, boot: u64) -> bool {
        self.state.lock().expect("lock not poisoned").left_boot == Some(boot)
    }
}

/// Puts the backend server into the slot; repeated announcements keep it there.
pub async fn announce(shared: &Arc<DaemonShared>, server: BackendServer) {
    if shared.stop.is_raised() || shared.presence.has_left(server.boot) {
        return;
    }
    if shared.backend.current().as_ref() == Some(&server) {
        shared.presence.reset_silence();
        return;
    }
    if refuses_connections(server.address).await {
        shared.metrics.count("backend_unreachable");
        return;
    }
    shared.presence.reset_silence();
    report(&server, "announced");
    shared.gossip.set_service(Some(server.service.clone()));
    shared.backend.replace(Some(server));
}

/// Removes the backend server from the slot at its own request; this run is not accepted again.
pub async fn withdraw(shared: &Arc<DaemonShared>) {
    if let Some(server) = remove_backend(shared, "left") {
        shared.presence.record_left(server.boot);
    }
}

fn remove_backend(shared: &DaemonShared, reason: &str) -> Option<BackendServer> {
    let server = shared.backend.replace(None)?;
    shared.gossip.set_service(None);
    report(&server, reason);
    Some(server)
}

/// Removes the backend server from the slot when its announcements stop or it refuses
/// connections. Its health endpoint is never queried.
pub async fn watch_backend(shared: Arc<DaemonShared>) {
    let mut checks = interval(CHECK_PERIOD);
    checks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut last_check = Instant::now();
    let mut last_connect = Instant::now();
    let mut refusals = 0;
    loop {
        checks.tick().await;
        if last_check.elapsed() > CHECK_PERIOD + PAUSE_LIMIT {
            shared.presence.reset_silence();
        }
        last_check = Instant::now();
        let Some(server) = shared.backend.current() else {
            refusals = 0;
            continue;
        };
        if shared.presence.silence() > SILENCE_LIMIT {
            shared.metrics.count("backend_silent");
            remove_backend(&shared, "silent");
            continue;
        }
        if last_connect.elapsed() >= CONNECT_PERIOD {
            last_connect = Instant::now();
            let refuses = refuses_connections(server.address).await;
            refusals = if refuses { refusals + 1 } else { 0 };
            last_check = Instant::now();
        }
        if refusals >= REFUSAL_THRESHOLD {
            refusals = 0;
            shared.metrics.count("backend_unreachable");
            remove_backend(&shared, "unreachable");
        }
    }
}

/// A connection timeout is not a refusal, because a busy server's accept queue may be full.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connect, Ok(Err(_)))
}

fn report(server: &BackendServer, reason: &str) {
    let event = BackendEvent { service: &server.service, boot: server.boot, reason };
    log_event(Level::Info, "backend-server", event);
}
