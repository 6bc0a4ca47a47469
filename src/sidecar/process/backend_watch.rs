//! Tracks heartbeats and leaves of the backend server beside this daemon.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use super::backend_pacing::observe_pace;
use super::decision_log::LineCategory;
use super::directory::write_own_entry;
use super::notice_watch::{log_limited, set_incarnation};
use super::sidecar_shared::SidecarShared;
use super::wire_dialect::{BackendAnnouncement, BackendHeartbeat};
use crate::clock::{ClockReading, MilliTime};
use crate::policy::incarnation::{
    AnnouncementDecision, BackendIncarnation, IncarnationTracker, LeaveRecord,
};
use crate::sidecar::connection::backend_pool::BackendTarget;
use crate::sidecar::connection::frame::PeerMessage;

const ANNOUNCEMENT_BYTES_MAX: usize = 64 * 1024;
/// From the end of an announcement's head to that of its body.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// A backend server without a heartbeat for this long is considered crashed: two heartbeats, with
/// their usual delay, are missing.
const HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(4_500);
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time for a leave to be held by the store and by another daemon, which is safe also if the store
/// comes back from a copy; and then, for either of them. A leave that nobody holds is not
/// acknowledged: it would be forgotten if this process ended. Backend servers ignore answers that
/// take longer than a second.
const LEAVE_HOLD_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between requests to the linked daemons to hold a leave.
const LEAVE_HOLD_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after the first write of a leave that failed; it doubles up to the maximum.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(150);
const RECORD_RETRY_DELAY_MAX: Duration = Duration::from_millis(2_400);
/// Maximum wait of an announcement for the first read of the directory, which may contain a leave
/// acknowledged before a restart.
const DIRECTORY_WAIT_TIMEOUT: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct WatchState {
    tracker: IncarnationTracker,
    last_heartbeat: Option<MilliTime>,
    is_open: bool,
}

/// State of the backend server beside this daemon.
#[derive(Debug, Default)]
pub(crate) struct BackendWatch {
    state: Mutex<WatchState>,
    directory_read: watch::Sender<bool>,
    /// Incremented when this daemon's record in the store lacks a leave.
    noted: watch::Sender<u64>,
    /// The value of `noted` up to which the store has recorded all leaves.
    recorded: watch::Sender<u64>,
    /// The value of `noted` up to which another daemon holds all leaves.
    held: watch::Sender<u64>,
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
struct LeaveLine<'a> {
    leaves: &'a LeaveRecord,
    verdict: &'static str,
}

#[derive(Serialize)]
struct ProblemLine {
    problem: String,
}

impl BackendWatch {
    /// The leaves to record for the next process.
    pub(crate) fn leaves(&self) -> LeaveRecord {
        self.lock().tracker.leaves().clone()
    }

    /// Has this daemon's record written again, which lacks a leave.
    pub(crate) fn request_record(&self) {
        self.noted.send_modify(|number| *number += 1);
    }

    /// Records that another daemon holds the leaves up to this value of `noted`.
    pub(crate) fn confirm_held(&self, number: u64) {
        self.held.send_if_modified(|held| {
            let is_later = number > *held;
            *held = number.max(*held);
            is_later
        });
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
        !state.tracker.leaves().is_empty() && !state.is_open
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

/// Restores leaves that this daemon's record holds, from before a restart.
pub(crate) fn restore_leaves(shared: &SidecarShared, leaves: &LeaveRecord) {
    if apply_leaves(shared, leaves) {
        log_leaves(shared, leaves, "restored");
    }
}

/// Applies leaves and suspends admission if they concern the current server; returns whether any was
/// new.
fn apply_leaves(shared: &SidecarShared, leaves: &LeaveRecord) -> bool {
    let now = ClockReading::now(&shared.clock);
    let (is_new, was_open) = {
        let mut state = shared.backend_watch.lock();
        let is_new = state.tracker.record_leaves(now, leaves);
        let has_left = state.tracker.has_current_left(now);
        (is_new, has_left && std::mem::replace(&mut state.is_open, false))
    };
    if was_open {
        shared.backend_admission.suspend();
        shared.observe_own_load();
    }
    is_new
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

/// Records leaves that an announcement, an answer or another daemon told of: suspends admission, and
/// has them recorded for a restart.
pub(crate) fn note_leaves(shared: &SidecarShared, leaves: &LeaveRecord) {
    if apply_leaves(shared, leaves) {
        log_leaves(shared, leaves, "left");
        shared.backend_watch.request_record();
    }
}

fn log_leaves(shared: &SidecarShared, leaves: &LeaveRecord, verdict: &'static str) {
    let line = LeaveLine { leaves, verdict };
    shared.log.write(LineCategory::Change, "backend-server", &line);
}

/// Writes leaves into this daemon's directory record until the task is aborted.
pub(crate) async fn record_leaves(shared: Arc<SidecarShared>) {
    let watch = &shared.backend_watch;
    let mut noted = watch.noted.subscribe();
    let mut delay = RECORD_RETRY_DELAY;
    loop {
        let number = *noted.borrow_and_update();
        if number == *watch.recorded.borrow() {
            // The sender lives as long as `shared`.
            let _ = noted.changed().await;
            continue;
        }
        match write_own_entry(&shared).await {
            Ok(_) => {
                watch.recorded.send_replace(number);
                delay = RECORD_RETRY_DELAY;
            }
            Err(error) => {
                shared.store_failed("leave-record", &error);
                sleep(delay.mul_f64(0.5 + rand::random::<f64>())).await;
                delay = (delay * 2).min(RECORD_RETRY_DELAY_MAX);
            }
        }
    }
}

/// Handles one announcement of the backend server.
pub(crate) async fn serve_announcement(
    shared: Arc<SidecarShared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let received = Limited::new(body, ANNOUNCEMENT_BYTES_MAX).collect();
    let body = match timeout(ANNOUNCEMENT_TIMEOUT, received).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return refuse(&shared, error.to_string()),
        Err(_) => return refuse(&shared, "the body did not arrive in time".to_owned()),
    };
    match shared.dialect.announcement(&parts.method, parts.uri.path(), &body) {
        None => answer(StatusCode::NOT_FOUND, ""),
        Some(Err(error)) => refuse(&shared, error.to_string()),
        Some(Ok(BackendAnnouncement::Heartbeat(heartbeat))) => {
            shared.backend_watch.wait_directory().await;
            handle_heartbeat(&shared, &heartbeat).await
        }
        Some(Ok(BackendAnnouncement::Leave { id })) => {
            let now = ClockReading::now(&shared.clock);
            let leaves = shared.backend_watch.lock().tracker.leave_of(now, &id);
            note_leaves(&shared, &leaves);
            acknowledge_leave(&shared).await
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
    let now = ClockReading::now(&shared.clock);
    let decision = {
        let mut state = shared.backend_watch.lock();
        let decision = state.tracker.announce(now, &heartbeat.incarnation, heartbeat.number);
        if decision != AnnouncementDecision::Stale && !heartbeat.is_draining {
            state.last_heartbeat = Some(now.steady);
        }
        decision
    };
    if decision == AnnouncementDecision::Stale {
        log_backend(shared, heartbeat, "stale");
    }
    if heartbeat.is_draining {
        if decision != AnnouncementDecision::Stale {
            note_leaves(shared, &LeaveRecord::of(heartbeat.incarnation.clone()));
        }
        return acknowledge_leave(shared).await;
    }
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
    let incarnation = &heartbeat.incarnation;
    if shared.backend_watch.lock().is_open && decision == AnnouncementDecision::Update {
        shared.backend_admission.report_cold(heartbeat.cold_for);
        return;
    }
    set_incarnation(shared, incarnation);
    let target = BackendTarget { address: heartbeat.address, incarnation: incarnation.clone() };
    {
        let mut state = shared.backend_watch.lock();
        let now = ClockReading::now(&shared.clock);
        // Another announcement or a leave may have come in meanwhile.
        if !state.tracker.is_current(incarnation) || state.tracker.has_current_left(now) {
            return;
        }
        state.is_open = true;
        shared.backend_admission.open(target, heartbeat.slots, heartbeat.cold_for);
    }
    shared.observe_own_load();
    log_backend(shared, heartbeat, "open");
}

fn log_backend(shared: &SidecarShared, heartbeat: &BackendHeartbeat, verdict: &'static str) {
    let line = BackendLine {
        backend: &heartbeat.incarnation.id,
        born: heartbeat.incarnation.born,
        number: heartbeat.number,
        slots: heartbeat.slots,
        cold_ms: heartbeat.cold_for.as_millis() as u64,
        verdict,
    };
    shared.log.write(LineCategory::Change, "backend-server", &line);
}

/// Acknowledges a leave once a restarted daemon would know it too.
async fn acknowledge_leave(shared: &SidecarShared) -> Response<Full<Bytes>> {
    let number = *shared.backend_watch.noted.borrow();
    let both = async {
        wait_recorded(shared, number).await;
        if shared.peers.has_entries() {
            wait_held(shared, number).await;
        }
    };
    if timeout(LEAVE_HOLD_TIMEOUT, both).await.is_ok() {
        return answer(StatusCode::OK, "{}");
    }
    let either = async {
        tokio::select! {
            () = wait_recorded(shared, number) => "leave_held_by_store",
            () = wait_held(shared, number) => "leave_held_by_peers",
        }
    };
    match timeout(LEAVE_HOLD_TIMEOUT, either).await {
        Ok(event) => {
            shared.metrics.count(event);
            answer(StatusCode::OK, "{}")
        }
        Err(_) => {
            shared.metrics.count("leave_not_held");
            answer(StatusCode::SERVICE_UNAVAILABLE, "{}")
        }
    }
}

/// Waits until the store has recorded the leaves up to `number`.
async fn wait_recorded(shared: &SidecarShared, number: u64) {
    let mut recorded = shared.backend_watch.recorded.subscribe();
    // The sender lives as long as `shared`.
    let _ = recorded.wait_for(|recorded| *recorded >= number).await;
}

/// Waits until another daemon holds the leaves up to `number`. It tells them the next process as soon
/// as it has linked to it.
async fn wait_held(shared: &SidecarShared, number: u64) {
    let watch = &shared.backend_watch;
    let mut held = watch.held.subscribe();
    while *held.borrow() < number {
        shared
            .crash_watch
            .tell_followers(PeerMessage::HoldLeaves { number, leaves: watch.leaves() });
        // At the timeout, daemons that have linked meanwhile are asked too.
        let _ = timeout(LEAVE_HOLD_INTERVAL, held.wait_for(|held| *held >= number)).await;
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
        observe_pace(&shared);
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
