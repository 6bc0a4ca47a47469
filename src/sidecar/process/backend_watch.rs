//! Follows what the backend server beside this daemon announces.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::decision_log::LineCategory;
use super::directory::write_own_entry;
use super::sidecar_shared::SidecarShared;
use super::wire_dialect::{BackendAnnouncement, BackendHeartbeat};
use crate::clock::MilliTime;
use crate::policy::incarnation::{AnnouncementVerdict, BackendIncarnation, IncarnationOrder};
use crate::sidecar::connection::backend_pool::BackendTarget;

/// An announcement is a small document.
const ANNOUNCEMENT_BYTES_MAX: usize = 64 * 1024;
/// A backend server that has not been last_heartbeat for this long has crashed: two heartbeats and their
/// usual delay are missing.
const HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(4_500);
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// A leave is acknowledged after this even if the store has not confirmed the record of it.
const LEAVE_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// An announcement that arrives before the directory was read waits this long for it: a leave that
/// an earlier process acknowledged stands there.
const DIRECTORY_WAIT_TIMEOUT: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct WatchState {
    order: IncarnationOrder,
    last_heartbeat: Option<MilliTime>,
    is_open: bool,
    left: Option<BackendIncarnation>,
}

/// What is known of the own backend server.
#[derive(Debug, Default)]
pub(crate) struct BackendWatch {
    state: Mutex<WatchState>,
    directory: watch::Sender<bool>,
}

#[derive(Serialize)]
struct BackendLine<'a> {
    backend: &'a str,
    born: u64,
    number: u64,
    slots: usize,
    cold_ms: u64,
    verdict: &'static str,
}

#[derive(Serialize)]
struct AnnouncementErrorLine {
    problem: String,
}

impl BackendWatch {
    /// The incarnation that left last.
    pub(crate) fn left(&self) -> Option<BackendIncarnation> {
        self.lock().left.clone()
    }

    /// Restores a leave that an earlier process recorded.
    pub(crate) fn restore_left(&self, left: BackendIncarnation) {
        let mut state = self.lock();
        if state.left.is_none() {
            state.order.restore_left(left.clone());
            state.left = Some(left);
        }
    }

    /// Notes that the directory was read.
    pub(crate) fn mark_directory_read(&self) {
        self.directory.send_replace(true);
    }

    /// Whether the backend server announced that it leaves.
    pub(crate) fn has_left(&self) -> bool {
        let state = self.lock();
        state.left.is_some() && !state.is_open
    }

    async fn wait_directory(&self) {
        let mut known = self.directory.subscribe();
        // Without the store a heartbeat still counts; the wait only orders the two at a restart.
        let _ = timeout(DIRECTORY_WAIT_TIMEOUT, known.wait_for(|known| *known)).await;
    }

    fn lock(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().expect("no holder panics")
    }
}

/// Answers one call of the backend server.
pub(crate) async fn serve_announcement(
    shared: Arc<SidecarShared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, ANNOUNCEMENT_BYTES_MAX).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return refuse(&shared, error.to_string()),
    };
    match shared.dialect.announcement(&parts.method, parts.uri.path(), &body) {
        None => answer(StatusCode::NOT_FOUND, ""),
        Some(Err(error)) => refuse(&shared, error.to_string()),
        Some(Ok(BackendAnnouncement::Heartbeat(heartbeat))) => {
            shared.backend_watch.wait_directory().await;
            handle_heartbeat(&shared, &heartbeat).await
        }
        Some(Ok(BackendAnnouncement::Leave { id })) => {
            handle_leave(&shared, &id).await;
            answer(StatusCode::OK, "{}")
        }
    }
}

fn answer(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}

fn refuse(shared: &SidecarShared, problem: String) -> Response<Full<Bytes>> {
    let line = AnnouncementErrorLine { problem };
    shared.log.write(LineCategory::Failure, "announcement-unreadable", &line);
    answer(StatusCode::BAD_REQUEST, "{}")
}

async fn handle_heartbeat(
    shared: &Arc<SidecarShared>,
    heartbeat: &BackendHeartbeat,
) -> Response<Full<Bytes>> {
    let settings = &shared.settings;
    if heartbeat.service != settings.service || heartbeat.address != settings.backend_address {
        let problem = format!("not of the backend server at {}", settings.backend_address);
        return refuse(shared, problem);
    }
    if heartbeat.is_draining {
        let is_current = {
            let mut state = shared.backend_watch.lock();
            let verdict = state.order.announce(&heartbeat.incarnation, heartbeat.number);
            verdict != AnnouncementVerdict::Stale
        };
        if is_current {
            handle_leave(shared, &heartbeat.incarnation.id).await;
        }
        return answer(StatusCode::OK, "{}");
    }
    let verdict = {
        let mut state = shared.backend_watch.lock();
        let verdict = state.order.announce(&heartbeat.incarnation, heartbeat.number);
        if verdict != AnnouncementVerdict::Stale {
            state.last_heartbeat = Some(shared.clock.now());
        }
        verdict
    };
    if verdict != AnnouncementVerdict::Stale {
        open_admission(shared, heartbeat, verdict);
    }
    answer(StatusCode::OK, "{}")
}

fn open_admission(
    shared: &Arc<SidecarShared>,
    heartbeat: &BackendHeartbeat,
    verdict: AnnouncementVerdict,
) {
    let was_open = std::mem::replace(&mut shared.backend_watch.lock().is_open, true);
    if was_open && verdict == AnnouncementVerdict::Update {
        return;
    }
    let id = heartbeat.incarnation.id.clone();
    shared
        .backend_admission
        .open(BackendTarget { address: heartbeat.address, id }, heartbeat.slots);
    shared.observe_own_load();
    log_backend(shared, &heartbeat.incarnation, heartbeat, "open");
}

fn log_backend(
    shared: &SidecarShared,
    incarnation: &BackendIncarnation,
    heartbeat: &BackendHeartbeat,
    verdict: &'static str,
) {
    let line = BackendLine {
        backend: &incarnation.id,
        born: incarnation.born,
        number: heartbeat.number,
        slots: heartbeat.slots,
        cold_ms: heartbeat.cold_for.as_millis() as u64,
        verdict,
    };
    shared.log.write(LineCategory::Change, "backend-server", &line);
}

/// Shuts the backend_admission before the leave is acknowledged, and records it for a successor.
async fn handle_leave(shared: &Arc<SidecarShared>, id: &str) {
    let left = {
        let mut state = shared.backend_watch.lock();
        let Some(left) = state.order.leave(id) else {
            return;
        };
        let is_known = state.left.as_ref() == Some(&left);
        state.left = Some(left.clone());
        state.is_open = false;
        if is_known {
            return;
        }
        left
    };
    shared.backend_admission.suspend();
    shared.observe_own_load();
    let line = BackendLine {
        backend: &left.id,
        born: left.born,
        number: 0,
        slots: 0,
        cold_ms: 0,
        verdict: "left",
    };
    shared.log.write(LineCategory::Change, "backend-server", &line);
    let own = shared.own_entry();
    match timeout(LEAVE_WRITE_TIMEOUT, write_own_entry(shared, &own)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => shared.store_failed("leave-record", &error),
        Err(_) => shared.metrics.count("leave_record_late"),
    }
}

/// Shuts the backend_admission to a backend server that fell silent, until the task is aborted.
pub(crate) async fn watch_backend(shared: Arc<SidecarShared>) {
    let mut ticks = interval(WATCH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.backend_admission.refuse_late();
        shared.observe_own_load();
        let now = shared.clock.now();
        let is_silent = {
            let mut state = shared.backend_watch.lock();
            let is_old = state
                .last_heartbeat
                .is_some_and(|last_heartbeat| now.since(last_heartbeat) > HEARTBEAT_AGE_MAX);
            let is_silent = state.is_open && is_old;
            if is_silent {
                state.is_open = false;
            }
            is_silent
        };
        if is_silent {
            shared.backend_admission.suspend();
            let line = AnnouncementErrorLine { problem: "no heartbeat in time".to_owned() };
            shared.log.write(LineCategory::Change, "backend-server-silent", &line);
        }
    }
}
