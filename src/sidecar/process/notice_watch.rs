//! What the backend server beside this daemon stated in its answers, and how many requests it got.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use serde::Serialize;

use super::decision_log::LineCategory;
use super::sidecar_shared::SidecarShared;
use crate::clock::MilliTime;
use crate::policy::backend_notice::{BackendNotice, RequestLimit, StatedLimit};
use crate::sidecar::connection::backend_pool::BackendTarget;

/// Time between log lines about the requests of a limited backend server.
const LIMITED_LINE_INTERVAL: Duration = Duration::from_secs(4);

#[derive(Debug, Default)]
struct NoticeState {
    limit: Option<RequestLimit>,
    is_leaving: bool,
    is_unreadable: bool,
    /// Requests sent to the backend server since this process started.
    sends: u64,
    /// Time and count of the last line about a limited backend server.
    last_line: (MilliTime, u64),
}

/// The notices of the backend server beside this daemon.
#[derive(Debug, Default)]
pub(crate) struct NoticeWatch {
    state: Mutex<NoticeState>,
}

#[derive(Serialize)]
struct NoticeLine<'a> {
    backend: &'a str,
    limit_per_second: Option<f64>,
    leaving: bool,
    unreadable: bool,
    sends: u64,
}

#[derive(Serialize)]
struct LimitedLine {
    limit_per_second: f64,
    sends: u64,
    span_ms: u64,
    waiting: u32,
}

impl NoticeState {
    /// Records a notice; whether it says something new.
    fn record(&mut self, notice: &BackendNotice) -> bool {
        let is_unreadable = notice.limit == StatedLimit::Unreadable;
        let limit = match notice.limit {
            StatedLimit::Absent => None,
            StatedLimit::Rate(limit) => Some(limit),
            StatedLimit::Unreadable => self.limit,
        };
        let is_new = limit != self.limit
            || notice.is_leaving != self.is_leaving
            || is_unreadable && !self.is_unreadable;
        self.limit = limit;
        self.is_leaving = notice.is_leaving;
        self.is_unreadable = is_unreadable;
        is_new
    }
}

impl NoticeWatch {
    /// Counts a request that is sent to the backend server.
    pub(crate) fn count_send(&self) {
        self.lock().sends += 1;
    }

    fn lock(&self) -> MutexGuard<'_, NoticeState> {
        self.state.lock().expect("lock not poisoned")
    }
}

/// Records what the head of an answer states, and logs changes.
pub(crate) fn observe_notice(
    shared: &SidecarShared,
    target: &BackendTarget,
    notice: &BackendNotice,
) {
    let mut state = shared.notice_watch.lock();
    if !state.record(notice) {
        return;
    }
    state.last_line = (shared.clock.now(), state.sends);
    let line = NoticeLine {
        backend: &target.id,
        limit_per_second: state.limit.map(RequestLimit::per_second),
        leaving: state.is_leaving,
        unreadable: state.is_unreadable,
        sends: state.sends,
    };
    shared.metrics.set_limit(state.limit);
    shared.log.write(LineCategory::Change, "backend-notice", &line);
}

/// Logs from time to time how many requests a limited backend server got.
pub(crate) fn log_limited(shared: &SidecarShared) {
    let now = shared.clock.now();
    let mut state = shared.notice_watch.lock();
    let Some(limit) = state.limit else {
        return;
    };
    let (last, sends) = state.last_line;
    if now.since(last) < LIMITED_LINE_INTERVAL {
        return;
    }
    let line = LimitedLine {
        limit_per_second: limit.per_second(),
        sends: state.sends - sends,
        span_ms: now.since(last).as_millis() as u64,
        waiting: shared.backend_admission.load().waiting,
    };
    state.last_line = (now, state.sends);
    shared.log.write(LineCategory::Change, "backend-limited", &line);
}
