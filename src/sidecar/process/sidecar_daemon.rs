//! Start and stop of a sidecar daemon.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::backend_pacing::check_backend;
use super::backend_watch::{record_leaves, serve_announcement, watch_backend};
use super::crash_watch::record_crashes;
use super::decision_log::{DecisionLog, LineCategory};
use super::directory::{maintain_links, record_known_versions, register_daemon, remove_own_entry};
use super::keyed_store::{KeyedStore, StoreTopic};
use super::memory_budget::MemoryHolder;
use super::settings::SidecarSettings;
use super::sidecar_shared::SidecarShared;
use super::store_reader::follow_topic;
use super::token_exchange::exchange_tokens;
use super::wire_dialect::WireDialect;
use crate::clock::{MilliClock, MilliTime};
use crate::connection::listener::bind;
use crate::error::DaemonError;
use crate::process::stop::StopSignal;
use crate::sidecar::connection::caller_listener::serve_callers;
use crate::sidecar::connection::peer_server::serve_peers;
use crate::sidecar::connection::service_listener::serve_service;

const RUNS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last answers to reach the daemons that called.
const ANSWER_FLUSH_SPAN: Duration = Duration::from_millis(100);
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(250);
/// The backend server is on the same machine.
const BACKEND_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// A running sidecar daemon.
pub struct SidecarDaemon {
    shared: Arc<SidecarShared>,
    callers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    callers_stop: StopSignal,
    listeners_stop: StopSignal,
}

#[derive(Serialize)]
struct ProcessLine<'a> {
    name: &'a str,
    version: &'static str,
    service: &'a str,
    availability_zone: &'a str,
    running: usize,
    config_version: u64,
}

impl SidecarDaemon {
    /// Opens the listeners and starts all tasks.
    ///
    /// # Errors
    /// [`DaemonError`] if a listener cannot be opened.
    pub async fn start(
        settings: SidecarSettings,
        dialect: Arc<dyn WireDialect>,
        store: Arc<dyn KeyedStore>,
        log: DecisionLog,
    ) -> Result<SidecarDaemon, DaemonError> {
        let requests = bind(settings.request_listen).await?;
        let peers = bind(settings.peer_listen).await?;
        let announcements = bind(settings.announce_listen).await?;
        let ready = bind(settings.ready_listen).await?;
        let metrics = bind(settings.metrics_listen).await?;
        let clock = MilliClock::boottime();
        let shared = Arc::new(SidecarShared::new(settings, dialect, store, clock, log));
        let listeners_stop = StopSignal::default();
        let callers_stop = StopSignal::default();
        let callers = start_callers(&shared, requests, &callers_stop);
        let tasks = vec![
            tokio::spawn(serve_peers(shared.clone(), peers)),
            start_announcements(&shared, announcements, &listeners_stop),
            start_ready(&shared, ready, &listeners_stop),
            start_metrics(&shared, metrics, &listeners_stop),
            tokio::spawn(follow_topic(shared.clone(), StoreTopic::Configuration)),
            tokio::spawn(follow_topic(shared.clone(), StoreTopic::Directory)),
            tokio::spawn(register_daemon(shared.clone())),
            tokio::spawn(record_known_versions(shared.clone())),
            tokio::spawn(maintain_links(shared.clone())),
            tokio::spawn(watch_backend(shared.clone())),
            tokio::spawn(pace_backend(shared.clone())),
            tokio::spawn(check_backend(shared.clone())),
            tokio::spawn(record_leaves(shared.clone())),
            tokio::spawn(record_crashes(shared.clone())),
            tokio::spawn(exchange_tokens(shared.clone())),
        ];
        log_process(&shared, "started");
        Ok(SidecarDaemon { shared, callers, tasks, callers_stop, listeners_stop })
    }

    /// Logs a reload signal.
    pub fn log_reload(&self) {
        log_process(&self.shared, "reloaded");
    }

    /// Stops within the bound of the settings without cutting off a request: readiness fails, then
    /// admission to the backend server ends, then running requests finish, then connections close.
    pub async fn stop(mut self) {
        log_process(&self.shared, "stopping");
        let schedule = self.shared.begin_stop();
        self.sleep_until(schedule.admission_end()).await;
        self.shared.backend_admission.close();
        self.sleep_until(schedule.accept_end()).await;
        // Running requests make calls through the callers' listener.
        while self.shared.backend_admission.running() > 0 && !self.is_past(schedule.end()) {
            sleep(RUNS_POLL_INTERVAL).await;
        }
        self.callers_stop.raise();
        let remaining = schedule.end().until(self.shared.clock.now());
        if timeout(remaining, &mut self.callers).await.is_err() {
            self.callers.abort();
        }
        sleep(ANSWER_FLUSH_SPAN).await;
        self.leave_directory().await;
        self.listeners_stop.raise();
        self.tasks.iter().for_each(JoinHandle::abort);
        log_process(&self.shared, "stopped");
        self.shared.log.close();
    }

    async fn sleep_until(&self, end: MilliTime) {
        sleep(end.until(self.shared.clock.now())).await;
    }

    fn is_past(&self, end: MilliTime) -> bool {
        self.shared.clock.now() >= end
    }

    /// Aborts all tasks at once, like a power failure.
    pub async fn abort(self) {
        for task in std::iter::once(self.callers).chain(self.tasks) {
            task.abort();
            // An aborted task has no result.
            let _ = task.await;
        }
        self.shared.peers.clear();
    }

    /// Removes the directory entry if the backend server left and ended: such an instance does not
    /// return. Beside one that still runs the daemon may start again, and must know of the leave.
    async fn leave_directory(&self) {
        if !self.shared.backend_watch.has_left() || self.is_backend_listening().await {
            return;
        }
        let removed = timeout(DEREGISTER_TIMEOUT, remove_own_entry(&self.shared)).await;
        if let Ok(Err(error)) = removed {
            self.shared.store_failed("directory-removal", &error);
        }
    }

    async fn is_backend_listening(&self) -> bool {
        let connected = TcpStream::connect(self.shared.settings.backend_address);
        matches!(timeout(BACKEND_PROBE_TIMEOUT, connected).await, Ok(Ok(_)))
    }
}

async fn pace_backend(shared: Arc<SidecarShared>) {
    shared.backend_admission.start_paced().await;
}

fn log_process(shared: &SidecarShared, event: &'static str) {
    let line = ProcessLine {
        name: &shared.settings.name,
        version: env!("CARGO_PKG_VERSION"),
        service: &shared.settings.service,
        availability_zone: &shared.settings.availability_zone,
        running: shared.backend_admission.running(),
        config_version: shared.config_version(),
    };
    shared.log.write(LineCategory::Change, event, &line);
}

fn start_callers(
    shared: &Arc<SidecarShared>,
    listener: TcpListener,
    stop: &StopSignal,
) -> JoinHandle<()> {
    tokio::spawn(serve_callers(shared.clone(), listener, stop.clone()))
}

fn start_announcements(
    shared: &Arc<SidecarShared>,
    listener: TcpListener,
    stop: &StopSignal,
) -> JoinHandle<()> {
    let state = shared.clone();
    let handler = move |request| serve_announcement(state.clone(), request);
    tokio::spawn(serve_service(shared.clone(), listener, stop.clone(), handler))
}

fn start_ready(
    shared: &Arc<SidecarShared>,
    listener: TcpListener,
    stop: &StopSignal,
) -> JoinHandle<()> {
    let state = shared.clone();
    let handler = move |request: Request<Incoming>| {
        let is_ready_path = request.uri().path() == state.dialect.ready_path();
        let status = match (is_ready_path, state.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        std::future::ready(plain_response(status, String::new()))
    };
    tokio::spawn(serve_service(shared.clone(), listener, stop.clone(), handler))
}

fn start_metrics(
    shared: &Arc<SidecarShared>,
    listener: TcpListener,
    stop: &StopSignal,
) -> JoinHandle<()> {
    let state = shared.clone();
    let handler = move |_request: Request<Incoming>| {
        let load = state.backend_admission.load();
        state.metrics.running.set(i64::from(load.running));
        state.metrics.waiting.set(i64::from(load.waiting));
        for holder in MemoryHolder::ALL {
            state.metrics.set_held(holder.name(), state.memory.held(holder));
        }
        std::future::ready(plain_response(StatusCode::OK, state.metrics.text()))
    };
    tokio::spawn(serve_service(shared.clone(), listener, stop.clone(), handler))
}

fn plain_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
