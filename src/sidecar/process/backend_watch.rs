//! Tracks heartbeats and leaves of the backend server beside this daemon.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use tokio::sync::{Notify, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::decision_log::LineCategory;
use super::directory::write_own_entry;
use super::notice_watch::{log_limited, set_incarnation};
use super::sidecar_shared::SidecarShared;
use super::wire_dialect::{BackendAnnouncement, BackendHeartbeat};
use crate::clock::MilliTime;
use crate::policy::incarnation::{AnnouncementDecision, BackendIncarnation, IncarnationTracker};
use crate::sidecar::connection::backend_pool::BackendTarget;

const ANNOUNCEMENT_BYTES_MAX: usize = 64 * 1024;
/// A backend server without a heartbeat for this long is considered crashed: two heartbeats, with
/// their usual delay, are missing.
const HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(4_500);
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// A leave is acknowledged after this time even if the store has not confirmed its record.
const LEAVE_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum wait of an announcement for the first read of the directory, which may contain a leave
/// acknowledged before a restart.
const DIRECTORY_WAIT_TIMEOUT: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct WatchState {
    tracker: IncarnationTracker,
    last_heartbeat: Option<MilliTime>,
    is_open: bool,
    left: Option<BackendIncarnation>,
}

/// State of the backend server beside this daemon.
#[derive(Debug, Default)]
pub(crate) struct BackendWatch {
    state: Mutex<WatchState>,
    directory_read: watch::Sender<bool>,
    /// Notified when an answer told of a leave.
    leave_noted: Notify,
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
struct ProblemLine {
    problem: String,
}

impl BackendWatch {
    /// The last incarnation that left.
    pub(crate) fn left(&self) -> Option<BackendIncarnation> {
        self.lock().left.clone()
    }

    /// Restores a leave recorded before a restart. Returns whether requests were admitted to that
    /// incarnation meanwhile.
    fn restore_left(&self, left: BackendIncarnation) -> bool {
        let mut state = self.lock();
        if state.left.is_some() {
            return false;
        }
        let is_current = state.tracker.is_current(&left);
        state.tracker.restore_left(left.clone());
        state.left = Some(left);
        is_current && std::mem::replace(&mut state.is_open, false)
    }

    /// Releases announcements that wait for the first read of the directory.
    pub(crate) fn mark_directory_read(&self) {
        self.directory_read.send_replace(true);
    }

    /// Waits until the directory was read since this process started.
    pub(crate) async fn directory_was_read(&self) {
        let mut receiver = self.directory_read.subscribe();
        // The sender lives as long as this watch.
        let _ = receiver.wait_for(|is_read| *is_read).await;
    }

    /// Whether the backend server announced its leave.
    pub(crate) fn has_left(&self) -> bool {
        let state = self.lock();
        state.left.is_some() && !state.is_open
    }

    async fn wait_directory(&self) {
        // A heartbeat is accepted even without the store; the wait only orders it after a restored
        // leave.
        let _ = timeout(DIRECTORY_WAIT_TIMEOUT, self.directory_was_read()).await;
    }

    fn lock(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().expect("lock not poisoned")
    }
}

/// Restores a leave recorded before a restart, and suspends admission if it was opened since.
pub(crate) fn restore_left(shared: &SidecarShared, left: BackendIncarnation) {
    if shared.backend_watch.restore_left(left) {
        shared.backend_admission.suspend();
        shared.observe_own_load();
    }
}

/// Suspends admission to an incarnation that ended, until the backend server announces itself.
pub(crate) fn close_admission(shared: &SidecarShared, ended: &BackendIncarnation) {
    let was_open = {
        let mut state = shared.backend_watch.lock();
        state.tracker.is_current(ended) && std::mem::replace(&mut state.is_open, false)
    };
    if was_open {
        shared.backend_admission.suspend();
        shared.observe_own_load();
    }
}

/// Suspends admission to an incarnation that said in an answer that it leaves, and has the leave
/// recorded for a restart.
pub(crate) fn note_leave(shared: &SidecarShared, left: &BackendIncarnation) {
    let is_current = {
        let mut state = shared.backend_watch.lock();
        if state.tracker.has_left(left) {
            return;
        }
        let is_current = state.tracker.is_current(left);
        state.tracker.restore_left(left.clone());
        state.left = Some(left.clone());
        state.is_open &= !is_current;
        is_current
    };
    if is_current {
        shared.backend_admission.suspend();
        shared.observe_own_load();
    }
    log_leave(shared, left);
    shared.backend_watch.leave_noted.notify_one();
}

/// Records leaves that were told in answers, until the task is aborted.
pub(crate) async fn record_leaves(shared: Arc<SidecarShared>) {
    loop {
        shared.backend_watch.leave_noted.notified().await;
        record_leave(&shared).await;
    }
}

/// Handles one announcement of the backend server.
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
    let line = ProblemLine { problem };
    shared.log.write(LineCategory::Failure, "announcement-unreadable", &line);
    answer(StatusCode::BAD_REQUEST, "{}")
}

async fn handle_heartbeat(
    shared: &Arc<SidecarShared>,
    heartbeat: &BackendHeartbeat,
) -> Response<Full<Bytes>> {
    let settings = &shared.settings;
    if heartbeat.service != settings.service || heartbeat.address != settings.backend_address {
        let problem =
            format!("announcement is not from the backend server at {}", settings.backend_address);
        return refuse(shared, problem);
    }
    if heartbeat.is_draining {
        let is_current = {
            let mut state = shared.backend_watch.lock();
            let decision = state.tracker.announce(&heartbeat.incarnation, heartbeat.number);
            decision != AnnouncementDecision::Stale
        };
        if is_current {
            handle_leave(shared, &heartbeat.incarnation.id).await;
        }
        return answer(StatusCode::OK, "{}");
    }
    let decision = {
        let mut state = shared.backend_watch.lock();
        let decision = state.tracker.announce(&heartbeat.incarnation, heartbeat.number);
        if decision != AnnouncementDecision::Stale {
            state.last_heartbeat = Some(shared.clock.now());
        }
        decision
    };
    if decision != AnnouncementDecision::Stale {
        open_admission(shared, heartbeat, decision);
    }
    answer(StatusCode::OK, "{}")
}

fn open_admission(
    shared: &Arc<SidecarShared>,
    heartbeat: &BackendHeartbeat,
    decision: AnnouncementDecision,
) {
    let was_open = std::mem::replace(&mut shared.backend_watch.lock().is_open, true);
    if was_open && decision == AnnouncementDecision::Update {
        return;
    }
    let incarnation = heartbeat.incarnation.clone();
    set_incarnation(shared, &incarnation);
    let target = BackendTarget { address: heartbeat.address, incarnation };
    shared.backend_admission.open(target, heartbeat.slots);
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

/// Suspends admission before the leave is acknowledged, and records the leave for a restart.
async fn handle_leave(shared: &Arc<SidecarShared>, id: &str) {
    let left = {
        let mut state = shared.backend_watch.lock();
        let Some(left) = state.tracker.leave(id) else {
            return;
        };
        let is_repeated = state.left.as_ref() == Some(&left);
        state.left = Some(left.clone());
        state.is_open = false;
        if is_repeated {
            return;
        }
        left
    };
    shared.backend_admission.suspend();
    shared.observe_own_load();
    log_leave(shared, &left);
    record_leave(shared).await;
}

fn log_leave(shared: &SidecarShared, left: &BackendIncarnation) {
    let line = BackendLine {
        backend: &left.id,
        born: left.born,
        number: 0,
        slots: 0,
        cold_ms: 0,
        verdict: "left",
    };
    shared.log.write(LineCategory::Change, "backend-server", &line);
}

/// Writes the leave into this daemon's record.
async fn record_leave(shared: &SidecarShared) {
    match timeout(LEAVE_WRITE_TIMEOUT, write_own_entry(shared, &shared.own_entry())).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => shared.store_failed("leave-record", &error),
        Err(_) => shared.metrics.count("leave_record_late"),
    }
}

/// Suspends admission when heartbeats stop. Runs until the task is aborted.
pub(crate) async fn watch_backend(shared: Arc<SidecarShared>) {
    let mut ticks = interval(WATCH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.backend_admission.refuse_late();
        shared.observe_own_load();
        shared.backend_admission.notify_load();
        log_limited(&shared);
        let now = shared.clock.now();
        let is_silent = {
            let mut state = shared.backend_watch.lock();
            let is_expired = state
                .last_heartbeat
                .is_some_and(|last_heartbeat| now.since(last_heartbeat) > HEARTBEAT_AGE_MAX);
            let is_silent = state.is_open && is_expired;
            if is_silent {
                state.is_open = false;
            }
            is_silent
        };
        if is_silent {
            shared.backend_admission.suspend();
            let line = ProblemLine { problem: "no heartbeat in time".to_owned() };
            shared.log.write(LineCategory::Change, "backend-server-silent", &line);
        }
    }
}
