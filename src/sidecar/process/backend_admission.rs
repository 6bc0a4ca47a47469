//! Admission of requests to the backend server beside this daemon.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::HeaderMap;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::backend_call::BackendCall;
use super::backend_pacing::{LoggedPace, starting_queue};
use super::settings::WarmUpTerms;
use crate::clock::{MilliClock, MilliTime, wall_time};
use crate::policy::admission_queue::{
    AdmissionDecision, AdmissionQueue, AdmissionRefusal, AdmissionRequest, RunEnd, WaitOutcome,
    WaitTicket,
};
use crate::policy::incarnation::BackendIncarnation;
use crate::policy::placement::InstanceLoad;
use crate::policy::retry_allowance::{RetryAllowance, RetryClaim, RetryTerms};
use crate::policy::root_admission::{CostList, SlotCost, add_cost};
use crate::policy::run_registry::{RunKey, RunRegistry};
use crate::sidecar::connection::backend_pool::{
    BackendExchange, BackendPool, BackendTarget, ExchangeAnswer, ExchangeObserver,
};
use crate::sidecar::request::context::{CallContext, CallOutcome, NotRunCause, UnknownCause};

/// Shortest time between notifications of a changed load.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(300);
/// Extra wait after the deadline passed to the backend server, for its answer to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// Data of a run in progress that its calls use and update.
#[derive(Debug)]
pub(crate) struct RunRecord {
    pub(crate) context: CallContext,
    pub(crate) due: MilliTime,
    started: MilliTime,
    /// Whether it was sent to the backend server.
    is_sent: AtomicBool,
    costs: Mutex<CostList>,
    call_failed: AtomicBool,
}

impl RunRecord {
    /// Adds the costs of an ended call of the run and records its failure.
    pub(crate) fn call_ended(&self, costs: &CostList, succeeded: bool) {
        let mut sum = self.costs.lock().expect("lock not poisoned");
        costs.iter().for_each(|cost| add_cost(&mut sum, cost.clone()));
        if !succeeded {
            self.call_failed.store(true, Ordering::Relaxed);
        }
    }
}

#[derive(Debug)]
pub(super) struct AdmissionState {
    pub(super) queue: AdmissionQueue,
    waiters: HashMap<WaitTicket, oneshot::Sender<WaitOutcome>>,
    retries: RetryAllowance,
    runs: RunRegistry<Arc<RunRecord>>,
    pub(super) target: Option<BackendTarget>,
    /// The incarnation that announced itself last.
    pub(super) announced: Option<BackendIncarnation>,
    /// The last incarnation of the backend server that ended without notice.
    ended: Option<BackendIncarnation>,
    /// The daemon is stopping: admission is never opened again.
    is_closed: bool,
}

/// Admits requests to the backend server and runs them there.
#[derive(Debug)]
pub(crate) struct BackendAdmission {
    pub(super) clock: MilliClock,
    service: Arc<str>,
    /// When this process started, in milliseconds since the Unix epoch.
    pub(super) started: MilliTime,
    pool: BackendPool,
    state: Mutex<AdmissionState>,
    /// Incremented when peers must learn of the load at once.
    changed: watch::Sender<u64>,
    /// Notified when a request waits for a token of a limited backend server.
    pub(super) paced: Notify,
    /// Notified when a health check becomes due soon.
    pub(super) check: Notify,
    /// The pace that was last logged.
    pub(super) logged: Mutex<LoggedPace>,
    /// The load of the last such notification, with its time.
    notified: Mutex<(MilliTime, InstanceLoad)>,
}

/// Marks a run as sent.
struct RunObserver<'a> {
    record: &'a RunRecord,
    next: &'a dyn ExchangeObserver,
}

impl ExchangeObserver for RunObserver<'_> {
    fn observe_send(&self) {
        self.record.is_sent.store(true, Ordering::Relaxed);
        self.next.observe_send();
    }

    fn observe_head(&self, target: &BackendTarget, headers: &HeaderMap) {
        self.next.observe_head(target, headers);
    }

    fn observe_answer(&self, context: &CallContext, answer: &ExchangeAnswer<'_>) {
        self.next.observe_answer(context, answer);
    }

    fn observe_end(&self, target: &BackendTarget) {
        self.next.observe_end(target);
    }
}

/// Removes a request from the admission queue when its future is dropped.
struct WaitGuard<'a> {
    admission: &'a BackendAdmission,
    ticket: WaitTicket,
    receiver: oneshot::Receiver<WaitOutcome>,
    is_notified: bool,
}

impl WaitGuard<'_> {
    async fn wait(mut self) -> WaitOutcome {
        let outcome = (&mut self.receiver).await;
        self.is_notified = true;
        outcome.unwrap_or(WaitOutcome::Refuse(AdmissionRefusal::NoBackend))
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.is_notified {
            return;
        }
        match self.receiver.try_recv() {
            // The slot was granted just as the request was dropped.
            Ok(WaitOutcome::Run) => self.admission.cancel_start(),
            Ok(WaitOutcome::Refuse(_)) => {}
            Err(_) => self.admission.abandon(self.ticket),
        }
    }
}

/// Frees the slot of a run when dropped.
struct RunGuard<'a> {
    admission: &'a BackendAdmission,
    key: RunKey,
    record: Arc<RunRecord>,
    started: MilliTime,
    end: Option<RunEnd>,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let mut state = self.admission.lock();
        state.runs.end(&self.record.context.request_id, self.key);
        match self.end {
            Some(end) => {
                let elapsed = now.since(self.started);
                state.queue.finish(now, self.record.context.rank, elapsed, end);
            }
            None => state.queue.release(),
        }
        self.admission.start_queued(&mut state);
    }
}

impl BackendAdmission {
    pub(crate) fn new(
        clock: MilliClock,
        service: Arc<str>,
        pool: BackendPool,
        retry_terms: RetryTerms,
        warm_up_terms: WarmUpTerms,
    ) -> Self {
        let now = clock.now();
        let state = AdmissionState {
            queue: starting_queue(now, warm_up_terms),
            waiters: HashMap::new(),
            retries: RetryAllowance::new(now, retry_terms),
            runs: RunRegistry::default(),
            target: None,
            announced: None,
            ended: None,
            is_closed: false,
        };
        let changed = watch::Sender::new(0);
        let notified = Mutex::new((now, InstanceLoad::default()));
        let (state, paced) = (Mutex::new(state), Notify::new());
        let (check, started) = (Notify::new(), wall_time());
        let logged = Mutex::default();
        BackendAdmission {
            clock,
            service,
            started,
            pool,
            state,
            changed,
            paced,
            check,
            logged,
            notified,
        }
    }

    /// Starts to admit requests to a backend server that stays cold for `cold_for`.
    pub(crate) fn open(&self, target: BackendTarget, slots: usize, cold_for: Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.is_closed {
            return;
        }
        let is_new = state.target.as_ref().is_none_or(|old| old.incarnation != target.incarnation);
        if is_new {
            self.pool.reset();
            state.queue.reset_measurements(now);
        }
        // One that starts reports whether it is cold. A warm one takes its usual load at once.
        if is_new && state.announced.as_ref() == Some(&target.incarnation) {
            state.queue.pace_mut().begin_slow_start(now);
        }
        self.report_start(&mut state, &target.incarnation, cold_for);
        state.target = Some(target);
        state.queue.set_slots(slots);
        self.start_queued(&mut state);
        drop(state);
        self.notify_change();
    }

    /// Stops admitting requests; those already running finish.
    pub(crate) fn suspend(&self) {
        let mut state = self.lock();
        state.target = None;
        state.queue.set_slots(0);
        self.start_queued(&mut state);
        drop(state);
        self.notify_change();
    }

    /// Suspends admission permanently.
    pub(crate) fn close(&self) {
        self.lock().is_closed = true;
        self.suspend();
    }

    /// The current load.
    pub(crate) fn load(&self) -> InstanceLoad {
        let now = self.clock.now();
        let mut state = self.lock();
        InstanceLoad {
            retries_denied_permille: state.retries.denied_permille(now),
            retries_permille: state.retries.earned_permille(),
            ..state.queue.load(now)
        }
    }

    /// Sets the number of instances of the service, which share the slack of its retry budget.
    pub(crate) fn set_instances(&self, instances: usize) {
        self.lock().retries.set_instances(instances);
    }

    /// The number of running requests.
    pub(crate) fn running(&self) -> usize {
        self.lock().runs.len()
    }

    /// Notifies peers if the load has changed notably.
    pub(crate) fn notify_load(&self) {
        let now = self.clock.now();
        let load = self.load();
        let mut notified = self.notified.lock().expect("lock not poisoned");
        if now.since(notified.0) >= NOTIFY_INTERVAL && load.differs_notably(&notified.1) {
            *notified = (now, load);
            self.notify_change();
        }
    }

    /// Notified when admission is opened or suspended, or the load has changed notably.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Records that an incarnation of the backend server ended without notice, no later than at
    /// `noticed`. Returns the requests that ran there, the last ones first, or `None` if it is known.
    pub(crate) fn record_ended(
        &self,
        incarnation: &BackendIncarnation,
        noticed: MilliTime,
    ) -> Option<Vec<Arc<RunRecord>>> {
        let mut state = self.lock();
        if state.ended.as_ref() == Some(incarnation) {
            return None;
        }
        state.ended = Some(incarnation.clone());
        let ran = |record: &&Arc<RunRecord>| {
            record.is_sent.load(Ordering::Relaxed) && record.started <= noticed
        };
        let running = state.runs.values().filter(ran);
        let mut running: Vec<Arc<RunRecord>> = running.cloned().collect();
        running.sort_by_key(|record| std::cmp::Reverse(record.started));
        Some(running)
    }

    /// The run that made a call with this id and deadline.
    pub(crate) fn parent(&self, call_id: &str, deadline: MilliTime) -> Option<Arc<RunRecord>> {
        self.lock().runs.parent(call_id, deadline).cloned()
    }

    /// Refuses waiting requests that can no longer finish in time.
    pub(crate) fn refuse_late(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        for ticket in state.queue.take_infeasible(now) {
            let refusal = WaitOutcome::Refuse(AdmissionRefusal::TooLate(Duration::ZERO));
            notify_waiter(&mut state, ticket, refusal);
        }
    }

    /// Runs a request; the costs include those of the calls that it made.
    pub(crate) async fn run(
        &self,
        call: &BackendCall,
        observer: &dyn ExchangeObserver,
    ) -> (CallOutcome, CostList) {
        // The call may be for a removed instance whose address is reused.
        if call.context.service != self.service {
            return (refusal_outcome(AdmissionRefusal::NoBackend), CostList::new());
        }
        if call.context.is_resend && !self.take_retry(&call.context) {
            let cause = NotRunCause::RetryBudget;
            return (CallOutcome::NotRun { cause, capacity_in_millis: 0 }, CostList::new());
        }
        if let Err(refusal) = self.acquire_slot(call).await {
            if call.context.is_resend {
                self.lock().retries.refund();
            }
            return (refusal_outcome(refusal), CostList::new());
        }
        let mut run = self.start_run(call);
        let Some(target) = self.lock().target.clone() else {
            return (refusal_outcome(AdmissionRefusal::NoBackend), CostList::new());
        };
        let remaining = call.deadline.until(self.clock.now());
        let observer = RunObserver { record: &run.record, next: observer };
        let exchange = BackendExchange {
            target: &target,
            context: &call.context,
            runs_once: call.runs_once,
            observer: &observer,
        };
        let exchange = self.pool.exchange(exchange, &call.request, remaining);
        let outcome = timeout(remaining + ANSWER_MARGIN, exchange).await;
        let outcome = outcome.unwrap_or(CallOutcome::Unknown(UnknownCause::Expired));
        run.end = Some(run.end_of(&outcome));
        let costs = run.costs(&self.service, self.clock.now());
        (outcome, costs)
    }

    fn take_retry(&self, context: &CallContext) -> bool {
        let now = self.clock.now();
        let root_hash = xxh3_64(context.root_id.as_bytes());
        let CallContext { rank, is_entitled, .. } = *context;
        let claim = RetryClaim { priority: rank.priority, root_hash, is_entitled };
        self.lock().retries.spend(now, claim)
    }

    async fn acquire_slot(&self, call: &BackendCall) -> Result<(), AdmissionRefusal> {
        let guard = {
            let mut state = self.lock();
            let request = AdmissionRequest {
                rank: call.context.rank,
                deadline: call.deadline,
                due: call.due,
            };
            match state.queue.offer(self.clock.now(), request) {
                AdmissionDecision::Run => {
                    self.notify_paced(&state);
                    return Ok(());
                }
                AdmissionDecision::Refuse(refusal) => return Err(refusal),
                AdmissionDecision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    self.notify_paced(&state);
                    WaitGuard { admission: self, ticket, receiver, is_notified: false }
                }
            }
        };
        match guard.wait().await {
            WaitOutcome::Run => Ok(()),
            WaitOutcome::Refuse(refusal) => Err(refusal),
        }
    }

    fn start_run(&self, call: &BackendCall) -> RunGuard<'_> {
        let record = Arc::new(RunRecord {
            context: call.context.clone(),
            due: call.due,
            started: self.clock.now(),
            is_sent: AtomicBool::new(false),
            costs: Mutex::default(),
            call_failed: AtomicBool::new(false),
        });
        let now = record.started;
        let mut state = self.lock();
        match (call.context.is_resend, call.context.is_repeat) {
            (true, _) => {}
            (false, true) => state.retries.charge(now),
            (false, false) => state.retries.count_request(now),
        }
        let key = state.runs.start(&call.context.request_id, call.deadline, record.clone());
        RunGuard { admission: self, key, record, started: now, end: None }
    }

    pub(super) fn start_queued(&self, state: &mut AdmissionState) {
        let now = self.clock.now();
        while let Some((ticket, outcome)) = state.queue.next(now) {
            let is_notified = notify_waiter(state, ticket, outcome);
            if !is_notified && outcome == WaitOutcome::Run {
                state.queue.cancel_start();
            }
        }
        self.notify_paced(state);
    }

    fn abandon(&self, ticket: WaitTicket) {
        let mut state = self.lock();
        state.queue.abandon(ticket);
        state.waiters.remove(&ticket);
    }

    fn cancel_start(&self) {
        let mut state = self.lock();
        state.queue.cancel_start();
        self.start_queued(&mut state);
    }

    pub(super) fn notify_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().expect("lock not poisoned")
    }
}

impl RunGuard<'_> {
    /// How the run ended. An error after a failed call of the run is not the backend server's.
    fn end_of(&self, outcome: &CallOutcome) -> RunEnd {
        match outcome {
            CallOutcome::Answered(answer)
                if answer.is_server_error() && !self.record.call_failed.load(Ordering::Relaxed) =>
            {
                RunEnd::Failed
            }
            CallOutcome::Answered(_) => RunEnd::Answered,
            CallOutcome::NotRun { cause: NotRunCause::BackendRefused, .. } => RunEnd::Refused,
            CallOutcome::NotRun { .. } | CallOutcome::Unknown(_) => RunEnd::Failed,
        }
    }

    fn costs(&self, service: &Arc<str>, now: MilliTime) -> CostList {
        let mut costs = self.record.costs.lock().expect("lock not poisoned").clone();
        let millis = now.since(self.started).as_secs_f32() * 1_000.0;
        add_cost(&mut costs, SlotCost { service: service.clone(), millis, calls: 1.0 });
        costs
    }
}

fn refusal_outcome(refusal: AdmissionRefusal) -> CallOutcome {
    match refusal {
        AdmissionRefusal::NoBackend => {
            CallOutcome::NotRun { cause: NotRunCause::NoBackend, capacity_in_millis: 0 }
        }
        AdmissionRefusal::TooLate(capacity_in) => {
            let capacity_in_millis = capacity_in.as_millis() as u32;
            CallOutcome::NotRun { cause: NotRunCause::TooLate, capacity_in_millis }
        }
    }
}

/// Sends a waiting request its outcome; `false` if it no longer waits.
fn notify_waiter(state: &mut AdmissionState, ticket: WaitTicket, outcome: WaitOutcome) -> bool {
    let waiter = state.waiters.remove(&ticket);
    waiter.is_some_and(|waiter| waiter.send(outcome).is_ok())
}
