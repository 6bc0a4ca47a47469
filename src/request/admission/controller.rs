//! Admission of calls to the backend server.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::oneshot;

use super::allocator::{CallerGroup, CapacityAllocator};
use super::limit::ConcurrencyLimit;
use super::queue::{AdmissionQueue, QueueOutcome, WaitingCall};
use crate::clock::{MilliClock, MilliTime};
use crate::error::ResultCode;
use crate::request::context::RequestContext;
use crate::request::fraction::{GroupFractions, ShedRank};

/// Longest queue wait of a call whose group is being shed.
const SHEDDING_WAIT_MAX: Duration = Duration::from_millis(100);
/// Otherwise a call may wait for its remaining time divided by this.
const QUEUE_WAIT_DIVISOR: u32 = 2;
/// Queue length per unit of the concurrency limit; the queue wait bounds it further.
const QUEUE_PER_SLOT: usize = 4;

/// Why a call was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShedCause {
    /// It is outside the admitted fraction of its group.
    Fraction,
    /// The queue was full and it was evicted.
    QueueFull,
    /// It waited in the queue up to the bound.
    QueueWait,
    /// Its deadline passed.
    Expired,
}

impl ShedCause {
    /// The metric label of the cause.
    pub fn name(self) -> &'static str {
        match self {
            ShedCause::Fraction => "share",
            ShedCause::QueueFull => "queue-full",
            ShedCause::QueueWait => "queue-wait",
            ShedCause::Expired => "expired",
        }
    }

    /// The numbered result of a call that was shed.
    pub fn code(self) -> ResultCode {
        match self {
            ShedCause::Expired => ResultCode::DeadlineExpired,
            _ => ResultCode::Overloaded,
        }
    }
}

/// A call that was not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedNotice {
    /// Why it was shed.
    pub cause: ShedCause,
    /// The admitted fractions of its group.
    pub fractions: GroupFractions,
}

/// What a finished call contributes to the concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSample {
    /// It was served in this time, excluding its sub-calls.
    Served(Duration),
    /// The backend server refused it.
    Refused,
}

#[derive(Debug)]
struct ControllerState {
    limit: ConcurrencyLimit,
    allocator: CapacityAllocator,
    queue: AdmissionQueue,
    running: usize,
}

#[derive(Debug)]
struct ControllerCore {
    clock: MilliClock,
    state: Mutex<ControllerState>,
}

/// Admits calls up to the concurrency limit, queues the next and sheds the rest.
#[derive(Debug)]
pub struct AdmissionController {
    core: Arc<ControllerCore>,
}

/// Permission to run one call; dropping it frees the slot.
#[derive(Debug)]
pub struct AdmissionPermit {
    slot: Arc<ConcurrencySlot>,
    epoch: u32,
    was_queued: bool,
    sample: Option<CallSample>,
    /// Time spent in the queue.
    pub queue_wait: Duration,
    /// The admitted fractions of the call's group.
    pub fractions: GroupFractions,
}

/// A call's concurrency slot, released while the call only waits for its sub-calls.
#[derive(Debug)]
pub struct ConcurrencySlot {
    core: Arc<ControllerCore>,
    phase: Mutex<SlotPhase>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotPhase {
    Held,
    Released,
    Ended,
}

enum AdmitDecision {
    Running(AdmissionPermit),
    Waiting(oneshot::Receiver<QueueOutcome>),
    Shed(ShedCause),
}

/// Outcomes to send after the lock is released.
type QueueOutcomes = Vec<(oneshot::Sender<QueueOutcome>, QueueOutcome)>;

impl AdmissionController {
    /// A controller whose limit starts at `concurrency` calls.
    pub fn new(clock: MilliClock, concurrency: usize) -> Self {
        AdmissionController::with_limit(clock, ConcurrencyLimit::new(concurrency))
    }

    /// A controller with the given limit.
    pub fn with_limit(clock: MilliClock, limit: ConcurrencyLimit) -> Self {
        let state = ControllerState {
            limit,
            allocator: CapacityAllocator::default(),
            queue: AdmissionQueue::default(),
            running: 0,
        };
        AdmissionController { core: Arc::new(ControllerCore { clock, state: Mutex::new(state) }) }
    }

    /// Waits for a slot, at most until `deadline`. Dropping the future abandons the wait.
    ///
    /// # Errors
    /// [`ShedNotice`] if the call is shed; it has not run.
    pub async fn admit(
        &self,
        context: &RequestContext,
        deadline: MilliTime,
    ) -> Result<AdmissionPermit, ShedNotice> {
        let group = CallerGroup::of(context);
        let cause = match self.enter(context, &group, deadline) {
            AdmitDecision::Running(permit) => return Ok(permit),
            AdmitDecision::Shed(cause) => cause,
            AdmitDecision::Waiting(outcome) => match self.wait(outcome, deadline).await {
                Ok(permit) => return Ok(permit),
                Err(cause) => cause,
            },
        };
        let fractions = self.core.lock().allocator.fractions(&group);
        Err(ShedNotice { cause, fractions })
    }

    /// The current concurrency limit, in calls.
    pub fn limit(&self) -> usize {
        self.core.lock().limit.current()
    }

    /// Calls running now.
    pub fn running(&self) -> usize {
        self.core.lock().running
    }

    /// Calls waiting in the queue now.
    pub fn queued(&self) -> usize {
        self.core.lock().queue.len()
    }

    fn enter(
        &self,
        context: &RequestContext,
        group: &CallerGroup,
        deadline: MilliTime,
    ) -> AdmitDecision {
        let now = self.core.clock.now();
        if now >= deadline {
            return AdmitDecision::Shed(ShedCause::Expired);
        }
        let rank = ShedRank::of(&context.request_id);
        let mut state = self.core.lock();
        let fraction = state.allocator.record_arrival(now, group, f64::from(context.weight));
        if !fraction.admits(rank) {
            return AdmitDecision::Shed(ShedCause::Fraction);
        }
        if state.running < state.limit.current() {
            return AdmitDecision::Running(self.core.start(&mut state, group, None));
        }
        let (outcome, receiver) = oneshot::channel();
        let expires_at = now + deadline.until(now) / QUEUE_WAIT_DIVISOR;
        let call = WaitingCall { rank, queued_at: now, expires_at, outcome };
        state.queue.push(group.clone(), call);
        let evicted = state.evict_excess();
        drop(state);
        if let Some(evicted) = evicted {
            // The receiver is gone if the caller cancelled the call.
            let _ = evicted.outcome.send(Err(ShedCause::QueueFull));
        }
        AdmitDecision::Waiting(receiver)
    }

    async fn wait(
        &self,
        mut outcome: oneshot::Receiver<QueueOutcome>,
        deadline: MilliTime,
    ) -> QueueOutcome {
        let wait = deadline.until(self.core.clock.now()) / QUEUE_WAIT_DIVISOR;
        let cause = tokio::select! {
            biased;
            outcome = &mut outcome => return outcome.unwrap_or(Err(ShedCause::QueueFull)),
            () = self.core.clock.sleep(wait) => ShedCause::QueueWait,
        };
        drop(outcome);
        let mut state = self.core.lock();
        state.allocator.record_queue_shed();
        state.queue.drop_abandoned();
        Err(cause)
    }
}

impl ControllerState {
    /// Evicts a call if the queue is too long.
    fn evict_excess(&mut self) -> Option<WaitingCall> {
        let bound = self.limit.current() * QUEUE_PER_SLOT;
        if self.queue.len() <= bound {
            return None;
        }
        self.queue.drop_abandoned();
        if self.queue.len() <= bound {
            return None;
        }
        self.allocator.record_queue_shed();
        self.queue.evict(&self.allocator)
    }
}

impl ControllerCore {
    fn lock(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().expect("lock not poisoned")
    }

    fn start(
        self: &Arc<Self>,
        state: &mut ControllerState,
        group: &CallerGroup,
        queue_wait: Option<Duration>,
    ) -> AdmissionPermit {
        let was_queued = queue_wait.is_some();
        let queue_wait = queue_wait.unwrap_or_default();
        state.running += 1;
        state.allocator.record_dispatch(group, queue_wait);
        AdmissionPermit {
            slot: Arc::new(ConcurrencySlot {
                core: self.clone(),
                phase: Mutex::new(SlotPhase::Held),
            }),
            epoch: state.limit.epoch(),
            was_queued,
            sample: None,
            queue_wait,
            fractions: state.allocator.fractions(group),
        }
    }

    /// Starts waiting calls up to the limit and sheds those that waited too long.
    fn start_waiting(self: &Arc<Self>, state: &mut ControllerState) -> QueueOutcomes {
        let now = self.clock.now();
        let mut outcomes = Vec::new();
        for call in state.queue.take_overdue(&state.allocator, now, SHEDDING_WAIT_MAX) {
            state.allocator.record_queue_shed();
            outcomes.push((call.outcome, Err(ShedCause::QueueWait)));
        }
        while state.running < state.limit.current() {
            let Some((group, call)) = state.queue.pop(&state.allocator) else {
                break;
            };
            if call.outcome.is_closed() {
                continue;
            }
            if now >= call.expires_at {
                state.allocator.record_queue_shed();
                outcomes.push((call.outcome, Err(ShedCause::QueueWait)));
                continue;
            }
            let permit = self.start(state, &group, Some(now.since(call.queued_at)));
            outcomes.push((call.outcome, Ok(permit)));
        }
        outcomes
    }

    fn record_sample(&self, epoch: u32, was_queued: bool, sample: CallSample) {
        let now = self.clock.now();
        let mut state = self.lock();
        let running = state.running;
        match sample {
            CallSample::Served(latency) => state.limit.observe(now, epoch, was_queued, latency),
            CallSample::Refused => state.limit.observe_refusal(now, running),
        }
    }

    fn release_slot(self: &Arc<Self>) {
        let mut state = self.lock();
        state.running -= 1;
        let outcomes = self.start_waiting(&mut state);
        drop(state);
        for (sender, outcome) in outcomes {
            // A permit without a receiver is dropped, which frees its slot.
            let _ = sender.send(outcome);
        }
    }
}

impl ConcurrencySlot {
    /// Frees the slot until [`ConcurrencySlot::reacquire`].
    pub fn release(&self) {
        if self.transition(SlotPhase::Held, SlotPhase::Released) {
            self.core.release_slot();
        }
    }

    /// Takes a slot again without waiting, even above the limit: part of the call has already run.
    pub fn reacquire(&self) {
        if self.transition(SlotPhase::Released, SlotPhase::Held) {
            self.core.lock().running += 1;
        }
    }

    fn end(&self) {
        let previous = std::mem::replace(&mut *self.phase(), SlotPhase::Ended);
        if previous == SlotPhase::Held {
            self.core.release_slot();
        }
    }

    fn transition(&self, from: SlotPhase, to: SlotPhase) -> bool {
        let mut phase = self.phase();
        let matches = *phase == from;
        if matches {
            *phase = to;
        }
        matches
    }

    fn phase(&self) -> MutexGuard<'_, SlotPhase> {
        self.phase.lock().expect("lock not poisoned")
    }
}

impl AdmissionPermit {
    /// The slot, to release while the call waits for its sub-calls.
    pub fn slot(&self) -> Arc<ConcurrencySlot> {
        self.slot.clone()
    }

    /// Ends the call and feeds `sample` to the limit.
    pub fn complete(mut self, sample: CallSample) {
        self.sample = Some(sample);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        if let Some(sample) = self.sample.take() {
            self.slot.core.record_sample(self.epoch, self.was_queued, sample);
        }
        self.slot.end();
    }
}
