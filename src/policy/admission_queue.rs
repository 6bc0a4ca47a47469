//! Admission queue of one backend server.
//!
//! Handles demand beyond the slots of a backend server. A full server hangs and a nearly full one
//! slows down, so it is kept just below its slots and the other requests wait here, ordered by
//! latest start time. A call of a run may use only a fraction of the run's remaining time, since
//! the run continues after it. A request that cannot finish in time at the measured service time
//! is refused at once instead of after a wait.
//!
//! Also handles a backend server that limits the rate of its requests or is cold: they wait only
//! briefly, so that the others can go to its peers while there is time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::backend_notice::RequestLimit;
use super::backend_pace::BackendPace;
use super::moving_average::{FailureFraction, RateAverage, SampleAverage};
use super::placement::InstanceLoad;
use super::request_pacer::RequestPacer;
use super::request_rank::RequestRank;
use crate::clock::MilliTime;

/// Fraction of the declared slots that requests may use: backend servers slow down when nearly
/// full, and a health check or a new connection may hold a slot too.
pub const SLOTS_USED_FRACTION: f64 = 0.95;
/// Fraction of the mean service time that must fit before the deadline for a request to start.
const SERVICE_FRACTION_NEEDED: f64 = 0.7;
/// Service time assumed before the first sample.
const SERVICE_MILLIS_DEFAULT: f64 = 50.0;
/// Fraction of a run's remaining time that one of its calls may take: runs make several calls,
/// mostly in sequence.
const CALL_TIME_FRACTION: f64 = 0.33;
/// Delay of the latest start time for each step of lower priority.
const PRIORITY_STEP: Duration = Duration::from_millis(10);
/// The same while the backend server limits its requests: waits are short, and what is refused may
/// find room at a peer.
const PACED_PRIORITY_STEP: Duration = Duration::from_millis(100);
/// Weight of one run in the mean service time.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.05;
/// Window of the rate of arriving work: it covers a few runs of a service deep in the call graph.
const DEMAND_WINDOW_SECONDS: f64 = 0.5;
/// Window of the fraction of runs that the backend server refuses: entries must know of it before
/// many more runs start.
const REFUSAL_WINDOW_SECONDS: f64 = 0.4;
/// Weight of the backlog in the demand: it is served in addition to the arrivals.
const BACKLOG_WEIGHT: f64 = 0.5;

/// Longest expected wait for a token of a limited backend server.
const PACED_WAIT_MAX: Duration = Duration::from_millis(200);
/// After this time without a request, a limited backend server is reported as if it had no limit:
/// without requests there are no answers that tell of its end.
const PACED_IDLE_MAX: Duration = Duration::from_secs(3);
/// Requests that may wait for tokens however long that takes, so that none is wasted.
const PACED_WAITING_MIN: usize = 2;

/// A request that needs a slot.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Its rank among the other requests.
    pub rank: RequestRank,
    /// When its caller stops waiting.
    pub deadline: MilliTime,
    /// When its answer becomes late; a root that cannot be answered by then is refused.
    pub due: MilliTime,
}

/// Why a request was refused; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// No backend server accepts requests here.
    NoBackend,
    /// It would not finish in time; a slot is expected after this time.
    TooLate(Duration),
}

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run,
    /// It waits, identified by this ticket.
    Wait(WaitTicket),
    /// It is refused.
    Refuse(AdmissionRefusal),
}

/// Identifies a waiting request. Tickets are ordered by latest start time, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket {
    start_by: MilliTime,
    number: u64,
}

/// How the wait of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// It runs now.
    Run,
    /// It is refused.
    Refuse(AdmissionRefusal),
}

/// How a run at the backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It was answered.
    Answered,
    /// The backend server failed it.
    Failed,
    /// The backend server refused to run it.
    Refused,
}

/// Running and waiting requests of one backend server.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: usize,
    /// The zone is evacuated: nothing runs, whatever the slots.
    is_evacuated: bool,
    /// Present while the backend server limits its requests.
    pacer: Option<RequestPacer>,
    /// The limit of a cold backend server.
    pace: BackendPace,
    running: usize,
    waiting: BTreeMap<WaitTicket, AdmissionRequest>,
    next_number: u64,
    call_millis: SampleAverage,
    root_millis: SampleAverage,
    failed_fraction: FailureFraction,
    refused_fraction: FailureFraction,
    arrivals: RateAverage,
}

impl AdmissionQueue {
    /// A queue that admits nothing until [`AdmissionQueue::set_slots`].
    pub fn new(now: MilliTime) -> Self {
        AdmissionQueue {
            slots: 0,
            is_evacuated: false,
            pacer: None,
            pace: BackendPace::default(),
            running: 0,
            waiting: BTreeMap::new(),
            next_number: 0,
            call_millis: SampleAverage::new(SERVICE_SAMPLE_WEIGHT),
            root_millis: SampleAverage::new(SERVICE_SAMPLE_WEIGHT),
            failed_fraction: FailureFraction::new(now),
            refused_fraction: FailureFraction::with_window(REFUSAL_WINDOW_SECONDS, now),
            arrivals: RateAverage::new(DEMAND_WINDOW_SECONDS, now),
        }
    }

    /// Sets the slots that the backend server declared; with 0, all requests are refused,
    /// waiting ones by [`AdmissionQueue::next`].
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Sets whether the backend server's zone is evacuated. Then all requests are refused as with no
    /// slots; the declared slots count again when the evacuation ends.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::admission_queue::AdmissionQueue;
    /// let mut queue = AdmissionQueue::new(MilliTime(0));
    /// queue.set_evacuated(true);
    /// queue.set_slots(24);
    /// assert_eq!((queue.limit(), queue.load(MilliTime(1)).slots), (0, 0));
    /// queue.set_evacuated(false);
    /// assert_eq!(queue.limit(), 22);
    /// ```
    pub fn set_evacuated(&mut self, is_evacuated: bool) {
        self.is_evacuated = is_evacuated;
    }

    /// Sets the rate of requests that the backend server takes; `None` if it states no limit.
    pub fn set_limit(&mut self, now: MilliTime, limit: Option<RequestLimit>) {
        match (&mut self.pacer, limit) {
            (Some(pacer), Some(limit)) => pacer.set_limit(now, limit),
            (pacer, limit) => *pacer = limit.map(|limit| RequestPacer::new(now, limit)),
        }
    }

    /// The pace of the requests.
    pub fn pace(&self) -> &BackendPace {
        &self.pace
    }

    /// The pace of the requests, to be told of reports and health checks.
    pub fn pace_mut(&mut self) -> &mut BackendPace {
        &mut self.pace
    }

    /// Discards service times and failures when another backend server takes over.
    pub fn reset_measurements(&mut self, now: MilliTime) {
        self.call_millis = SampleAverage::new(SERVICE_SAMPLE_WEIGHT);
        self.root_millis = SampleAverage::new(SERVICE_SAMPLE_WEIGHT);
        self.failed_fraction = FailureFraction::new(now);
        self.refused_fraction = FailureFraction::with_window(REFUSAL_WINDOW_SECONDS, now);
    }

    /// Requests that may run at a time.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::admission_queue::AdmissionQueue;
    /// let mut queue = AdmissionQueue::new(MilliTime(0));
    /// queue.set_slots(24);
    /// assert_eq!(queue.limit(), 22);
    /// ```
    pub fn limit(&self) -> usize {
        match self.slots {
            _ if self.is_evacuated => 0,
            0 => 0,
            slots => ((slots as f64 * SLOTS_USED_FRACTION) as usize).max(1),
        }
    }

    /// Runs, queues or refuses an arriving request.
    pub fn offer(&mut self, now: MilliTime, request: AdmissionRequest) -> AdmissionDecision {
        let limit = self.limit();
        if limit == 0 {
            return AdmissionDecision::Refuse(AdmissionRefusal::NoBackend);
        }
        self.arrivals.add(now, self.service_millis(request.rank.is_root));
        if self.running < limit && self.waiting.is_empty() && self.take_token(now) {
            self.running += 1;
            return AdmissionDecision::Run;
        }
        self.next_number += 1;
        let ticket =
            WaitTicket { start_by: self.start_by(now, &request), number: self.next_number };
        let ahead = self.waiting.range(..ticket).count();
        let wait = self.expected_wait(now, ahead);
        let is_infeasible = now + wait + self.needed_time(&request) > latest_finish(&request);
        if is_infeasible || self.is_paced_out(now, ahead, PACED_WAIT_MAX) {
            return AdmissionDecision::Refuse(AdmissionRefusal::TooLate(wait));
        }
        self.waiting.insert(ticket, request);
        AdmissionDecision::Wait(ticket)
    }

    /// Removes the next waiting request that can run or must be refused.
    pub fn next(&mut self, now: MilliTime) -> Option<(WaitTicket, WaitOutcome)> {
        let limit = self.limit();
        if limit == 0 {
            let (ticket, _) = self.waiting.pop_first()?;
            return Some((ticket, WaitOutcome::Refuse(AdmissionRefusal::NoBackend)));
        }
        let (ticket, request) = self.waiting.first_key_value()?;
        let (ticket, request) = (*ticket, *request);
        if self.is_infeasible(now, &request) {
            self.waiting.remove(&ticket);
            let capacity_in = self.expected_wait(now, self.waiting.len());
            return Some((ticket, WaitOutcome::Refuse(AdmissionRefusal::TooLate(capacity_in))));
        }
        if self.running >= limit || !self.take_token(now) {
            return None;
        }
        self.waiting.remove(&ticket);
        self.running += 1;
        Some((ticket, WaitOutcome::Run))
    }

    /// Time until a waiting request gets a token; `None` if no request waits for one.
    pub fn paced_wait(&self, now: MilliTime) -> Option<Duration> {
        let waits = !self.waiting.is_empty() && self.running < self.limit();
        self.token_wait(now, 0).filter(|_| waits)
    }

    /// Removes the waiting requests that can no longer finish in time, and those that more urgent
    /// ones overtook at a limited backend server.
    pub fn take_infeasible(&mut self, now: MilliTime) -> Vec<WaitTicket> {
        let waiting = self.waiting.iter().enumerate();
        let infeasible = waiting.filter(|(ahead, (_, request))| {
            self.is_infeasible(now, request) || self.is_paced_out(now, *ahead, 2 * PACED_WAIT_MAX)
        });
        let tickets: Vec<WaitTicket> = infeasible.map(|(_, (ticket, _))| *ticket).collect();
        for ticket in &tickets {
            self.waiting.remove(ticket);
        }
        tickets
    }

    /// Removes a request whose caller disconnected; `false` if it no longer waits.
    pub fn abandon(&mut self, ticket: WaitTicket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Frees the slot of a cancelled run.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Frees the slot and the token of a request that was not sent.
    pub fn cancel_start(&mut self) {
        self.release();
        self.pace.put_back();
        if let Some(pacer) = &mut self.pacer {
            pacer.put_back();
        }
    }

    /// Ends a run that took `elapsed`.
    ///
    /// Only an answered run counts towards the service time. A failed run occupied its slot for a
    /// different time than expected, a refused one for almost none, so the demand is corrected.
    pub fn finish(&mut self, now: MilliTime, rank: RequestRank, elapsed: Duration, end: RunEnd) {
        self.release();
        self.pace.record_end(now, elapsed, end);
        self.failed_fraction.add(now, end != RunEnd::Answered);
        self.refused_fraction.add(now, end == RunEnd::Refused);
        let millis = elapsed.as_secs_f64() * 1_000.0;
        if end != RunEnd::Answered {
            self.arrivals.add(now, millis - self.service_millis(rank.is_root));
            return;
        }
        let average = if rank.is_root { &mut self.root_millis } else { &mut self.call_millis };
        average.add(millis);
    }

    /// The load to report to senders.
    pub fn load(&mut self, now: MilliTime) -> InstanceLoad {
        let slots = self.usable_slots(now).round() as u32;
        InstanceLoad {
            slots: if self.limit() == 0 { 0 } else { slots.max(1) },
            running: self.running as u32,
            waiting: self.waiting.len() as u32,
            service_micros: (self.service_mean() * 1_000.0) as u32,
            failed_permille: self.failed_fraction.permille(now),
            demand_permille: (self.demand(now) * 1_000.0) as u32,
            ended_per_second: self.refused_fraction.events_per_second(now) as u32,
            refused_permille: self.refused_fraction.permille(now),
            // The retry budget is counted apart from the queue.
            retries_denied_permille: 0,
            retries_permille: 0,
        }
    }

    /// Demand as a ratio to the slots: arriving work plus the weighted backlog.
    fn demand(&mut self, now: MilliTime) -> f64 {
        let slots = self.usable_slots(now);
        let arriving = self.arrivals.per_second(now).max(0.0) / 1_000.0 / slots;
        arriving + BACKLOG_WEIGHT * self.waiting.len() as f64 / slots
    }

    /// Requests that run at a time at full load: a limit of `r` per second keeps `r * t` slots busy
    /// at service time `t`.
    fn usable_slots(&self, now: MilliTime) -> f64 {
        let limit = self.limit().max(1) as f64;
        let pacer = self.pacer.as_ref().filter(|pacer| pacer.idle_time(now) < PACED_IDLE_MAX);
        let rates = [pacer.map(RequestPacer::rate), self.pace.rate(now)];
        let paced = rates.into_iter().flatten().map(|rate| rate * self.service_mean() / 1_000.0);
        paced.fold(limit, f64::min)
    }

    fn take_token(&mut self, now: MilliTime) -> bool {
        if !self.pace.take(now) {
            return false;
        }
        let is_taken = self.pacer.as_mut().is_none_or(|pacer| pacer.take(now));
        if !is_taken {
            self.pace.put_back();
        }
        is_taken
    }

    /// Time until a request with `ahead` others before it gets a token; `None` if none is needed.
    fn token_wait(&self, now: MilliTime, ahead: usize) -> Option<Duration> {
        let limited = self.pacer.as_ref().map(|pacer| pacer.wait(now, ahead));
        limited.max(self.pace.wait(now, ahead))
    }

    /// Whether a request waits longer than `bound` for a token of a limited backend server.
    fn is_paced_out(&self, now: MilliTime, ahead: usize, bound: Duration) -> bool {
        let waits_long = |wait| wait > bound;
        ahead >= PACED_WAITING_MIN && self.token_wait(now, ahead).is_some_and(waits_long)
    }

    fn service_millis(&self, is_root: bool) -> f64 {
        let (own, other) = match is_root {
            true => (&self.root_millis, &self.call_millis),
            false => (&self.call_millis, &self.root_millis),
        };
        own.mean_or(other.mean_or(SERVICE_MILLIS_DEFAULT))
    }

    /// Mean over calls and roots, which senders cannot distinguish, in milliseconds.
    fn service_mean(&self) -> f64 {
        (self.service_millis(true) + self.service_millis(false)) / 2.0
    }

    fn needed_time(&self, request: &AdmissionRequest) -> Duration {
        let millis = self.service_millis(request.rank.is_root) * SERVICE_FRACTION_NEEDED;
        Duration::from_secs_f64(millis / 1_000.0)
    }

    fn is_infeasible(&self, now: MilliTime, request: &AdmissionRequest) -> bool {
        now + self.needed_time(request) > latest_finish(request)
    }

    /// Latest start time with which the root request is still answered in time. A run that is
    /// already late has until its deadline.
    fn start_by(&self, now: MilliTime, request: &AdmissionRequest) -> MilliTime {
        let end = if request.due > now { request.due } else { request.deadline };
        let fraction = if request.rank.is_root { 1.0 } else { CALL_TIME_FRACTION };
        let remaining = end.until(now).mul_f64(fraction).saturating_sub(self.needed_time(request));
        let is_paced = self.pacer.is_some() || self.pace.rate(now).is_some();
        let step = if is_paced { PACED_PRIORITY_STEP } else { PRIORITY_STEP };
        now + remaining + step * u32::from(request.rank.priority.min(PRIORITY_MAX))
    }

    /// A full server of `s` slots and service time `t` starts a request every `t / s`; a limited one
    /// whenever there is a token.
    fn expected_wait(&self, now: MilliTime, ahead: usize) -> Duration {
        let per_request = self.service_mean() / 1_000.0 / self.limit().max(1) as f64;
        let wait = Duration::from_secs_f64(per_request * (ahead + 1) as f64);
        self.token_wait(now, ahead).map_or(wait, |paced| wait.max(paced))
    }
}

/// Less urgent priorities are treated as this one.
const PRIORITY_MAX: u8 = 40;

fn latest_finish(request: &AdmissionRequest) -> MilliTime {
    if request.rank.is_root { request.due.min(request.deadline) } else { request.deadline }
}
