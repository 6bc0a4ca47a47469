//! What the backend server beside this daemon stated in its answers, and how many requests it got.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use serde::Serialize;

use super::backend_watch::note_leaves;
use super::decision_log::LineCategory;
use super::sidecar_shared::SidecarShared;
use crate::clock::MilliTime;
use crate::policy::backend_notice::{
    BackendNotice, KnownNotice, NoticeTracker, RequestLimit, StatedLimit,
};
use crate::policy::incarnation::{BackendIncarnation, LeaveRecord};

/// Time between log lines about the requests of a limited backend server.
const LIMITED_LINE_INTERVAL: Duration = Duration::from_secs(4);

#[derive(Debug, Default)]
struct NoticeState {
    tracker: NoticeTracker,
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

/// How a notice reached this daemon.
#[derive(Clone, Copy, Serialize)]
#[serde(rename_all = "kebab-case")]
enum NoticeSource {
    /// The start of an incarnation.
    Announcement,
    /// An answer of the backend server.
    Answer,
    /// A call of another daemon that heard it.
    Call,
}

#[derive(Serialize)]
struct NoticeLine<'a> {
    backend: &'a str,
    source: NoticeSource,
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

impl NoticeWatch {
    /// Counts a request that is sent to the backend server.
    pub(crate) fn count_send(&self) {
        self.lock().sends += 1;
    }

    /// What senders have to know of the backend server's notices.
    pub(crate) fn known(&self) -> Option<KnownNotice> {
        self.lock().tracker.known()
    }

    fn lock(&self) -> MutexGuard<'_, NoticeState> {
        self.state.lock().expect("lock not poisoned")
    }
}

/// Records that an incarnation of the backend server takes over.
pub(crate) fn set_incarnation(shared: &SidecarShared, incarnation: &BackendIncarnation) {
    update(shared, incarnation, NoticeSource::Announcement, |state| {
        state.tracker.set_current(incarnation);
    });
}

/// Records what the head of an answer states.
pub(crate) fn observe_notice(
    shared: &SidecarShared,
    from: &BackendIncarnation,
    notice: &BackendNotice,
) {
    update(shared, from, NoticeSource::Answer, |state| {
        state.tracker.observe(from, notice);
        state.is_unreadable = notice.limit == StatedLimit::Unreadable;
    });
}

/// Records a notice that another daemon repeats.
pub(crate) fn learn_notice(shared: &SidecarShared, notice: KnownNotice) {
    let incarnation = notice.incarnation.clone();
    if notice.is_leaving {
        // Also if the server has not announced itself to this process yet.
        note_leaves(shared, &LeaveRecord::of(incarnation.clone()));
    }
    update(shared, &incarnation, NoticeSource::Call, |state| state.tracker.repeat(notice));
}

/// Applies a change of what is known, and logs it.
fn update(
    shared: &SidecarShared,
    from: &BackendIncarnation,
    source: NoticeSource,
    change: impl FnOnce(&mut NoticeState),
) {
    let mut state = shared.notice_watch.lock();
    let facts = |state: &NoticeState| {
        (state.tracker.limit(), state.tracker.is_leaving(), state.is_unreadable)
    };
    let before = facts(&state);
    change(&mut state);
    let (limit, leaving, unreadable) = facts(&state);
    if (limit, leaving, unreadable) == before {
        return;
    }
    if leaving {
        note_leaves(shared, &LeaveRecord::of(from.clone()));
    }
    // Under the lock, so that limits are set in the order in which they became known.
    shared.backend_admission.set_limit(limit);
    shared.metrics.set_limit(limit);
    state.last_line = (shared.clock.now(), state.sends);
    let line = NoticeLine {
        backend: &from.id,
        source,
        limit_per_second: limit.map(RequestLimit::per_second),
        leaving,
        unreadable,
        sends: state.sends,
    };
    shared.log.write(LineCategory::Change, "backend-notice", &line);
}

/// Logs from time to time how many requests a limited backend server got.
pub(crate) fn log_limited(shared: &SidecarShared) {
    let now = shared.clock.now();
    let mut state = shared.notice_watch.lock();
    let Some(limit) = state.tracker.limit() else {
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
