//! Ends of backend servers without notice, and the requests that ran there.
//!
//! A daemon tells the ones that it is linked with of the end of its backend server, and of suspects
//! whose runs there end well. It writes the end into its directory record for the others and for
//! those that start later.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;
use tokio::sync::{Notify, Semaphore, SemaphorePermit, broadcast};
use tokio::time::{sleep, timeout};

use super::backend_admission::RunRecord;
use super::backend_call::BackendCall;
use super::backend_watch::close_admission;
use super::decision_log::LineCategory;
use super::directory::write_own_entry;
use super::sidecar_shared::SidecarShared;
use crate::clock::wall_time;
use crate::policy::crash_ledger::{
    CrashId, CrashLedger, CrashReport, HoldVerdict, RequestStanding, SUSPECT_SPAN, SUSPECTS_MAX,
};
use crate::policy::incarnation::BackendIncarnation;
use crate::policy::request_identity::RequestIdentity;
use crate::sidecar::connection::frame::PeerMessage;
use crate::sidecar::request::context::{CallOutcome, NotRunCause, UnknownCause};

/// Reports of a daemon's own backend server in its directory record.
const OWN_REPORTS_MAX: usize = 2;
/// Messages that wait for the task of a link; one that misses some learns of the ends from the
/// directory.
const NEWS_QUEUE: usize = 128;
/// Fraction of the planned time that must remain when a suspect begins to run, since a run that its
/// deadline cuts short shows nothing.
const PROBATION_TIME_FRACTION: f64 = 0.3;
/// Time between writes of the directory record for reports.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// Writes of a report before it is given up.
const RECORD_ATTEMPTS_MAX: usize = 4;

/// The reports of a daemon's own backend server.
pub(crate) type OwnReports = SmallVec<[CrashReport; OWN_REPORTS_MAX]>;

#[derive(Debug, Default)]
struct WatchState {
    ledger: CrashLedger,
    own_reports: OwnReports,
    /// The request that runs on probation at this daemon's backend server.
    on_probation: Option<RequestIdentity>,
}

/// What this daemon knows of ends of backend servers.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    state: Mutex<WatchState>,
    /// One suspect runs at a time at this daemon's backend server.
    probation: Semaphore,
    /// Messages for the daemons that have linked to this one.
    news: broadcast::Sender<PeerMessage>,
    /// Notified when an own report is to be recorded.
    reported: Notify,
}

impl Default for CrashWatch {
    fn default() -> Self {
        CrashWatch {
            state: Mutex::default(),
            probation: Semaphore::new(1),
            news: broadcast::Sender::new(NEWS_QUEUE),
            reported: Notify::new(),
        }
    }
}

/// A run on probation, until dropped.
pub(crate) struct ProbationRun<'a> {
    shared: &'a SidecarShared,
    identity: RequestIdentity,
    is_conclusive: bool,
    _permit: SemaphorePermit<'a>,
}

impl ProbationRun<'_> {
    /// Ends the run with its outcome.
    pub(crate) fn end(mut self, outcome: &CallOutcome) {
        self.is_conclusive = match outcome {
            CallOutcome::Answered(answer) => !answer.is_server_error(),
            CallOutcome::NotRun { .. } => true,
            CallOutcome::Unknown(cause) => *cause == UnknownCause::ServerEnded,
        };
    }
}

impl Drop for ProbationRun<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.crash_watch.lock();
        state.on_probation = None;
        if !self.is_conclusive {
            state.ledger.note_inconclusive(self.shared.clock.now(), self.identity);
        }
    }
}

#[derive(Serialize)]
struct CrashLine<'a> {
    backend: &'a str,
    born: u64,
    running: usize,
    /// Identities of the requests that ran there, the last ones first.
    identities: Vec<String>,
    on_probation: Option<String>,
}

#[derive(Serialize)]
struct HoldLine<'a> {
    identity: String,
    request: &'a str,
    organisation: Option<&'a str>,
    route_service: &'a str,
    crashes: u32,
    held_ms: u64,
}

#[derive(Serialize)]
struct ReleaseLine<'a> {
    identity: String,
    request: &'a str,
}

impl CrashWatch {
    /// What to do with a request.
    pub(crate) fn standing(
        &self,
        shared: &SidecarShared,
        identity: RequestIdentity,
    ) -> RequestStanding {
        self.lock().ledger.standing(shared.clock.now(), identity)
    }

    /// Records that the backend server of an instance ended that ran the request.
    pub(crate) fn note_end(&self, shared: &SidecarShared, identity: RequestIdentity) {
        self.lock().ledger.note_end(shared.clock.now(), identity);
    }

    /// Records that a run of the request ended well; whether it was a suspect.
    pub(crate) fn acquit(&self, shared: &SidecarShared, identity: RequestIdentity) -> bool {
        self.lock().ledger.acquit(shared.clock.now(), identity)
    }

    /// Records that another daemon saw a run of the request end well.
    pub(crate) fn release(&self, shared: &SidecarShared, identity: RequestIdentity) {
        self.acquit(shared, identity);
    }

    /// Sends a message to the daemons that have linked to this one.
    pub(crate) fn tell_followers(&self, message: PeerMessage) {
        // Fails only if there are none.
        let _ = self.news.send(message);
    }

    /// Messages for a daemon that has linked to this one.
    pub(crate) fn subscribe(&self) -> broadcast::Receiver<PeerMessage> {
        self.news.subscribe()
    }

    /// The last reports of this daemon's backend server, for its directory record.
    pub(crate) fn own_reports(&self) -> OwnReports {
        let now = wall_time().0;
        let is_recent = |report: &&CrashReport| age_at(now, report) <= SUSPECT_SPAN;
        self.lock().own_reports.iter().filter(is_recent).cloned().collect()
    }

    /// Restores the reports of an earlier process.
    pub(crate) fn restore_own(&self, reports: &OwnReports) {
        let mut state = self.lock();
        if state.own_reports.is_empty() {
            state.own_reports = reports.clone();
        }
    }

    /// Records a report of another daemon.
    pub(crate) fn learn(&self, shared: &SidecarShared, report: &CrashReport) {
        self.record(shared, report);
    }

    fn record(&self, shared: &SidecarShared, report: &CrashReport) -> Option<HoldVerdict> {
        let age = age_at(wall_time().0, report);
        let mut state = self.lock();
        let verdict = state.ledger.record(shared.clock.now(), age, report);
        let suspects = state.ledger.suspects(shared.clock.now());
        drop(state);
        shared.metrics.suspects.set(suspects as i64);
        verdict
    }

    /// Waits until a suspect may run at this daemon's backend server; `None` if it no longer is one.
    ///
    /// # Errors
    /// The outcome if it does not run.
    pub(crate) async fn begin_probation<'a>(
        &'a self,
        shared: &'a SidecarShared,
        call: &BackendCall,
    ) -> Result<Option<ProbationRun<'a>>, CallOutcome> {
        let identity = call.context.identity;
        if self.lock().ledger.is_acquitted(identity) {
            return Ok(None);
        }
        let remaining = call.deadline.until(shared.clock.now());
        let remaining =
            remaining.saturating_sub(call.planned_time().mul_f64(PROBATION_TIME_FRACTION));
        let permit = match timeout(remaining, self.probation.acquire()).await {
            Ok(permit) => permit.expect("the semaphore is never closed"),
            Err(_) => return Err(not_run(NotRunCause::TooLate, Duration::ZERO)),
        };
        let mut state = self.lock();
        if state.ledger.is_acquitted(identity) {
            return Ok(None);
        }
        if let RequestStanding::Held { remaining } =
            state.ledger.standing(shared.clock.now(), identity)
        {
            return Err(not_run(NotRunCause::Held, remaining));
        }
        state.on_probation = Some(identity);
        shared.metrics.count("probation_run");
        Ok(Some(ProbationRun { shared, identity, is_conclusive: false, _permit: permit }))
    }

    fn lock(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().expect("lock not poisoned")
    }
}

fn age_at(wall_millis: u64, report: &CrashReport) -> Duration {
    Duration::from_millis(wall_millis.saturating_sub(report.wall_millis))
}

/// The outcome of a request that does not run.
pub(crate) fn not_run(cause: NotRunCause, capacity_in: Duration) -> CallOutcome {
    let capacity_in_millis = u32::try_from(capacity_in.as_millis()).unwrap_or(u32::MAX);
    CallOutcome::NotRun { cause, capacity_in_millis }
}

/// Records that an incarnation of the backend server beside this daemon ended, and tells others.
pub(crate) fn observe_crash(shared: &SidecarShared, incarnation: &BackendIncarnation) {
    let now = shared.clock.now();
    let Some(running) = shared.backend_admission.record_ended(incarnation, now) else {
        return;
    };
    close_admission(shared, incarnation);
    shared.metrics.count("backend_ended");
    let identities = || running.iter().map(|record| record.context.identity);
    let on_probation = shared.crash_watch.lock().on_probation;
    let on_probation = on_probation.filter(|suspect| identities().any(|found| found == *suspect));
    let report = CrashReport {
        crash: CrashId::new(&shared.settings.name, incarnation),
        wall_millis: wall_time().0,
        running: identities().take(SUSPECTS_MAX).collect(),
        on_probation,
    };
    let line = CrashLine {
        backend: &incarnation.id,
        born: incarnation.born,
        running: running.len(),
        identities: report.running.iter().map(RequestIdentity::to_string).collect(),
        on_probation: on_probation.map(|identity| identity.to_string()),
    };
    shared.log.write(LineCategory::Change, "backend-server-ended", &line);
    if !report.running.is_empty() {
        tell_crash(shared, report, &running);
    }
}

fn tell_crash(shared: &SidecarShared, report: CrashReport, running: &[Arc<RunRecord>]) {
    let verdict = shared.crash_watch.record(shared, &report);
    tell_linked(shared, &PeerMessage::Crash(report.clone()));
    {
        let mut state = shared.crash_watch.lock();
        if state.own_reports.len() == OWN_REPORTS_MAX {
            state.own_reports.remove(0);
        }
        state.own_reports.push(report);
    }
    shared.crash_watch.reported.notify_one();
    if let Some(verdict) = verdict {
        log_hold(shared, &verdict, running);
    }
}

fn tell_linked(shared: &SidecarShared, message: &PeerMessage) {
    for peer in shared.peers.connected() {
        if let Some(link) = peer.link() {
            link.send(message.clone());
        }
    }
    shared.crash_watch.tell_followers(message.clone());
}

fn log_hold(shared: &SidecarShared, verdict: &HoldVerdict, running: &[Arc<RunRecord>]) {
    let mut runs = running.iter().map(|record| &record.context);
    let Some(context) = runs.find(|context| context.identity == verdict.identity) else {
        return;
    };
    let line = HoldLine {
        identity: verdict.identity.to_string(),
        request: &context.request_id,
        organisation: context.organisation.as_deref(),
        route_service: &context.service,
        crashes: verdict.crashes,
        held_ms: verdict.span.as_millis() as u64,
    };
    shared.log.write(LineCategory::Change, "request-held", &line);
}

/// Records that a run at this daemon's backend server ended well.
pub(crate) fn observe_good_end(shared: &SidecarShared, call: &BackendCall) {
    if shared.crash_watch.acquit(shared, call.context.identity) {
        tell_linked(shared, &PeerMessage::Release(call.context.identity));
        shared.metrics.count("suspect_released");
        let identity = call.context.identity.to_string();
        let line = ReleaseLine { identity, request: &call.context.request_id };
        shared.log.write(LineCategory::Routine, "request-released", &line);
    }
}

/// Writes reports into this daemon's directory record until the task is aborted.
pub(crate) async fn record_crashes(shared: Arc<SidecarShared>) {
    loop {
        shared.crash_watch.reported.notified().await;
        for _ in 0..RECORD_ATTEMPTS_MAX {
            let written = write_own_entry(&shared).await;
            sleep(RECORD_INTERVAL).await;
            match written {
                Ok(_) => break,
                Err(error) => shared.store_failed("crash-record", &error),
            }
        }
    }
}
