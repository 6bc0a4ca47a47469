//! Lets requests in to one backend server and orders those that wait.
//!
//! Answers a backend server that is asked for more than its slots: it hangs when it is full and
//! slows down when it is nearly full, so it is kept just below, and the rest waits here. The
//! request that must be started soonest goes first. A call of a run has only a part of the time
//! that its run has left, since the run goes on after it. A request that cannot finish in time by
//! the measured service time is told so at once instead of after a wait.

use std::collections::BTreeMap;
use std::time::Duration;

use super::moving_average::{FailureFraction, RateAverage, SampleAverage};
use super::placement::InstanceLoad;
use super::request_rank::RequestRank;
use crate::clock::MilliTime;

/// Part of the declared slots in use at most: backend servers slow down when nearly full, and a
/// health check or a new connection may hold a slot too.
pub const SLOTS_USED_PART: f64 = 0.95;
/// Part of the mean service time that must fit before the deadline for a request to be started.
const SERVICE_PART_NEEDED: f64 = 0.7;
/// Service time in milliseconds before the first sample.
const SERVICE_MILLIS_DEFAULT: f64 = 50.0;
/// Part of the time that is left for a run which one of its calls may take: runs make several
/// calls, most of them one after the other.
const CALL_TIME_PART: f64 = 0.33;
/// Start times of less urgent requests are put off by this for each step of priority.
const PRIORITY_STEP: Duration = Duration::from_millis(10);
/// Weight of one run in the mean service time.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.05;
/// Window of the rate of arriving work, in seconds: a few runs of a deep service.
const DEMAND_WINDOW_SECONDS: f64 = 0.5;
/// Weight of the backlog in the demand: it is to be worked off beside the arrivals.
const BACKLOG_WEIGHT: f64 = 0.5;

/// A request at the door.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Its place among the others.
    pub rank: RequestRank,
    /// When its answer is of no use any more.
    pub deadline: MilliTime,
    /// When its answer becomes late; a root that cannot make it is refused.
    pub due: MilliTime,
}

/// Why a request was refused; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// No backend server takes work here.
    NoBackend,
    /// It would not finish in time; room is expected after this time.
    TooLate(Duration),
}

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run,
    /// It waits under this ticket.
    Wait(WaitTicket),
    /// It is refused.
    Refuse(AdmissionRefusal),
}

/// Names a request that waits; the order is the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket {
    start_by: MilliTime,
    number: u64,
}

/// What a waiting request is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// It runs now.
    Run,
    /// It is refused.
    Refuse(AdmissionRefusal),
}

/// The requests at one backend server.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: usize,
    running: usize,
    waiting: BTreeMap<WaitTicket, AdmissionRequest>,
    next_number: u64,
    call_millis: SampleAverage,
    root_millis: SampleAverage,
    failed_part: FailureFraction,
    arrivals: RateAverage,
}

impl AdmissionQueue {
    /// A door that is shut until [`AdmissionQueue::set_slots`].
    pub fn new(now: MilliTime) -> Self {
        AdmissionQueue {
            slots: 0,
            running: 0,
            waiting: BTreeMap::new(),
            next_number: 0,
            call_millis: SampleAverage::new(SERVICE_SAMPLE_WEIGHT),
            root_millis: SampleAverage::new(SERVICE_SAMPLE_WEIGHT),
            failed_part: FailureFraction::new(now),
            arrivals: RateAverage::new(DEMAND_WINDOW_SECONDS, now),
        }
    }

    /// Sets how many requests the backend server says it can run; 0 shuts the door. What waits is
    /// told with the next [`AdmissionQueue::next`].
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Forgets what was measured, for another backend server.
    pub fn reset_measurements(&mut self, now: MilliTime) {
        self.call_millis = SampleAverage::new(SERVICE_SAMPLE_WEIGHT);
        self.root_millis = SampleAverage::new(SERVICE_SAMPLE_WEIGHT);
        self.failed_part = FailureFraction::new(now);
    }

    /// Requests that may run at a time.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::admission_queue::AdmissionQueue;
    /// let mut door = AdmissionQueue::new(MilliTime(0));
    /// door.set_slots(24);
    /// assert_eq!(door.limit(), 22);
    /// ```
    pub fn limit(&self) -> usize {
        match self.slots {
            0 => 0,
            slots => ((slots as f64 * SLOTS_USED_PART) as usize).max(1),
        }
    }

    /// Judges a request that arrives.
    pub fn offer(&mut self, now: MilliTime, request: AdmissionRequest) -> AdmissionDecision {
        let limit = self.limit();
        if limit == 0 {
            return AdmissionDecision::Refuse(AdmissionRefusal::NoBackend);
        }
        self.arrivals.add(now, self.service_millis(request.rank.is_root));
        if self.running < limit && self.waiting.is_empty() {
            self.running += 1;
            return AdmissionDecision::Run;
        }
        self.next_number += 1;
        let ticket =
            WaitTicket { start_by: self.start_by(now, &request), number: self.next_number };
        let wait = self.expected_wait(self.waiting.range(..ticket).count());
        if now + wait + self.needed_time(&request) > latest_finish(&request) {
            return AdmissionDecision::Refuse(AdmissionRefusal::TooLate(wait));
        }
        self.waiting.insert(ticket, request);
        AdmissionDecision::Wait(ticket)
    }

    /// Takes the next request to run, or the next to refuse, if there is one.
    pub fn next(&mut self, now: MilliTime) -> Option<(WaitTicket, WaitOutcome)> {
        let limit = self.limit();
        if limit == 0 {
            let (ticket, _) = self.waiting.pop_first()?;
            return Some((ticket, WaitOutcome::Refuse(AdmissionRefusal::NoBackend)));
        }
        let (ticket, request) = self.waiting.first_key_value()?;
        let (ticket, request) = (*ticket, *request);
        if self.is_hopeless(now, &request) {
            self.waiting.remove(&ticket);
            let room_in = self.expected_wait(self.waiting.len());
            return Some((ticket, WaitOutcome::Refuse(AdmissionRefusal::TooLate(room_in))));
        }
        if self.running >= limit {
            return None;
        }
        self.waiting.remove(&ticket);
        self.running += 1;
        Some((ticket, WaitOutcome::Run))
    }

    /// Takes waiting requests that cannot finish in time any more.
    pub fn take_infeasible(&mut self, now: MilliTime) -> Vec<WaitTicket> {
        let waiting = self.waiting.iter();
        let hopeless = waiting.filter(|(_, request)| self.is_hopeless(now, request));
        let tickets: Vec<WaitTicket> = hopeless.map(|(ticket, _)| *ticket).collect();
        for ticket in &tickets {
            self.waiting.remove(ticket);
        }
        tickets
    }

    /// Removes a request whose caller has gone; `false` if it does not wait any more.
    pub fn abandon(&mut self, ticket: WaitTicket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Ends a run that was broken off.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Ends a run that took `elapsed`; `failed` tells whether the backend server failed it. A run
    /// that did not fail counts for the service time. One that failed used its slot for another
    /// time than was expected, a refused one for hardly any: the demand is put right.
    pub fn finish(&mut self, now: MilliTime, rank: RequestRank, elapsed: Duration, failed: bool) {
        self.release();
        self.failed_part.add(now, failed);
        let millis = elapsed.as_secs_f64() * 1_000.0;
        if failed {
            self.arrivals.add(now, millis - self.service_millis(rank.is_root));
            return;
        }
        let average = if rank.is_root { &mut self.root_millis } else { &mut self.call_millis };
        average.add(millis);
    }

    /// The load to report to senders.
    pub fn load(&mut self, now: MilliTime) -> InstanceLoad {
        let limit = self.limit();
        InstanceLoad {
            slots: limit as u32,
            running: self.running as u32,
            waiting: self.waiting.len() as u32,
            service_micros: (self.service_mean() * 1_000.0) as u32,
            failed_permille: self.failed_part.permille(now),
            demand_permille: (self.demand(now) * 1_000.0) as u32,
        }
    }

    /// Demand for the slots: arriving work by the work that they do, and the backlog.
    fn demand(&mut self, now: MilliTime) -> f64 {
        let limit = self.limit().max(1) as f64;
        let arriving = self.arrivals.per_second(now).max(0.0) / 1_000.0 / limit;
        arriving + BACKLOG_WEIGHT * self.waiting.len() as f64 / limit
    }

    fn service_millis(&self, is_root: bool) -> f64 {
        let (own, other) = match is_root {
            true => (&self.root_millis, &self.call_millis),
            false => (&self.call_millis, &self.root_millis),
        };
        own.mean_or(other.mean_or(SERVICE_MILLIS_DEFAULT))
    }

    /// The mean over calls and roots, which a sender does not know apart.
    fn service_mean(&self) -> f64 {
        (self.service_millis(true) + self.service_millis(false)) / 2.0
    }

    fn needed_time(&self, request: &AdmissionRequest) -> Duration {
        let millis = self.service_millis(request.rank.is_root) * SERVICE_PART_NEEDED;
        Duration::from_secs_f64(millis / 1_000.0)
    }

    fn is_hopeless(&self, now: MilliTime, request: &AdmissionRequest) -> bool {
        now + self.needed_time(request) > latest_finish(request)
    }

    /// When a request must be started so that its root request is answered in time. A run that is
    /// late already has until its deadline.
    fn start_by(&self, now: MilliTime, request: &AdmissionRequest) -> MilliTime {
        let end = if request.due > now { request.due } else { request.deadline };
        let part = if request.rank.is_root { 1.0 } else { CALL_TIME_PART };
        let left = end.until(now).mul_f64(part).saturating_sub(self.needed_time(request));
        now + left + PRIORITY_STEP * u32::from(request.rank.priority.min(PRIORITY_MAX))
    }

    /// A full server of `s` slots and service time `t` takes a request every `t / s`.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let per_request = self.service_mean() / 1_000.0 / self.limit().max(1) as f64;
        Duration::from_secs_f64(per_request * (ahead + 1) as f64)
    }
}

/// Priorities beyond this are treated alike.
const PRIORITY_MAX: u8 = 40;

fn latest_finish(request: &AdmissionRequest) -> MilliTime {
    if request.rank.is_root { request.due.min(request.deadline) } else { request.deadline }
}
