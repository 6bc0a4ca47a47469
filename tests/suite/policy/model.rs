//! Model of a loaded service deep in the call graph: roots make calls in sequence, each of which
//! needs a slot.

use std::collections::{BTreeMap, HashMap};

use lentilway::clock::MilliTime;
use lentilway::policy::admission_queue::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, RunEnd, WaitOutcome, WaitTicket,
};
use lentilway::policy::request_rank::RequestRank;
use lentilway::policy::root_admission::{
    CostList, RootAdmission, RootDecision, RootGroup, SlotCost, add_cost,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

pub(super) const SERVICE: &str = "prices";
const REPORT_INTERVAL_MS: u64 = 20;
const RETRIES_PER_REQUEST: f64 = 0.2;

/// A kind of root request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RootKind {
    pub(super) name: &'static str,
    pub(super) priority: u8,
    /// Arrivals a second.
    pub(super) per_second: f64,
    /// Calls to the deep service; 0 for a root that runs there.
    pub(super) calls: u32,
    /// Mean work of each call in milliseconds.
    pub(super) work_ms: u64,
    /// Credit for an answer in time.
    pub(super) credit: f64,
    pub(super) due_ms: u64,
    pub(super) deadline_ms: u64,
}

/// Admission rule for roots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryRule {
    /// All roots are admitted; the baseline.
    Open,
    /// Root admission.
    Admission,
    /// Root admission of a daemon that restarts in the middle of the load.
    Restarted,
}

#[derive(Clone, Debug)]
struct RootRun {
    kind: usize,
    calls_left: u32,
    due: MilliTime,
    deadline: MilliTime,
    costs: CostList,
}

/// Result of a replay.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadResult {
    pub(super) offered: HashMap<&'static str, u32>,
    pub(super) served: HashMap<&'static str, u32>,
    pub(super) credit: f64,
    pub(super) max_running: u32,
}

impl LoadResult {
    pub(super) fn fraction(&self, name: &str) -> f64 {
        let served = f64::from(*self.served.get(name).unwrap_or(&0));
        served / f64::from(*self.offered.get(name).unwrap_or(&1))
    }
}

/// Replays `seconds` of load against one backend server with `slots`.
pub(super) struct DeepService {
    kinds: Vec<RootKind>,
    rule: EntryRule,
    now: MilliTime,
    queue: AdmissionQueue,
    admission: RootAdmission,
    runs: HashMap<u64, RootRun>,
    waiting: HashMap<WaitTicket, u64>,
    ends: BTreeMap<(MilliTime, u64), Duration>,
    next: u64,
    random: StdRng,
    result: LoadResult,
}

impl DeepService {
    pub(super) fn new(kinds: &[RootKind], rule: EntryRule, slots: usize, seed: u64) -> Self {
        let now = MilliTime(0);
        let mut queue = AdmissionQueue::new(now);
        queue.set_slots(slots);
        DeepService {
            kinds: kinds.to_vec(),
            rule,
            now,
            queue,
            admission: RootAdmission::new(now, RETRIES_PER_REQUEST),
            runs: HashMap::new(),
            waiting: HashMap::new(),
            ends: BTreeMap::new(),
            next: 0,
            random: StdRng::seed_from_u64(seed),
            result: LoadResult::default(),
        }
    }

    pub(super) fn run(mut self, seconds: u64) -> LoadResult {
        for millis in 1..=seconds * 1_000 {
            self.now = MilliTime(millis);
            if self.rule == EntryRule::Restarted && millis == seconds * 500 {
                self.admission = RootAdmission::new(self.now, RETRIES_PER_REQUEST);
            }
            self.end_runs();
            self.start_roots();
            self.refuse_infeasible();
            if millis % REPORT_INTERVAL_MS == 0 {
                let load = self.queue.load(self.now);
                self.result.max_running = self.result.max_running.max(load.running);
                self.admission.observe_load(self.now, &SERVICE.into(), 1, &load);
            }
        }
        self.result
    }

    fn start_roots(&mut self) {
        for index in 0..self.kinds.len() {
            let kind = self.kinds[index];
            if !self.random.random_bool(kind.per_second / 1_000.0) {
                continue;
            }
            *self.result.offered.entry(kind.name).or_default() += 1;
            let group = RootGroup { route: kind.name.into(), priority: kind.priority };
            let draw = self.random.random::<f64>();
            let decision = self.admission.admit(self.now, &group, false, draw);
            let is_refused = matches!(decision, RootDecision::Refuse { .. });
            if self.rule != EntryRule::Open && is_refused {
                continue;
            }
            self.next += 1;
            let run = RootRun {
                kind: index,
                calls_left: kind.calls.max(1),
                due: self.now + Duration::from_millis(kind.due_ms),
                deadline: self.now + Duration::from_millis(kind.deadline_ms),
                costs: CostList::new(),
            };
            self.runs.insert(self.next, run);
            self.call(self.next);
        }
    }

    /// Offers the next call of a run to the queue.
    fn call(&mut self, id: u64) {
        let run = &self.runs[&id];
        let kind = self.kinds[run.kind];
        let rank = match kind.calls {
            0 => RequestRank::root(kind.priority),
            _ => RequestRank::call(kind.priority),
        };
        let request = AdmissionRequest { rank, deadline: run.deadline, due: run.due };
        match self.queue.offer(self.now, request) {
            AdmissionDecision::Run => self.start(id),
            AdmissionDecision::Wait(ticket) => drop(self.waiting.insert(ticket, id)),
            AdmissionDecision::Refuse(_) => self.fail(id),
        }
    }

    fn start(&mut self, id: u64) {
        let mean = self.kinds[self.runs[&id].kind].work_ms;
        let work = self.random.random_range(mean / 2..=mean * 3 / 2).max(1);
        let work = Duration::from_millis(work);
        self.ends.insert((self.now + work, id), work);
    }

    fn end_runs(&mut self) {
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let ((_, id), work) = entry.remove_entry();
            self.end_call(id, work);
            self.admit_waiting();
        }
    }

    fn end_call(&mut self, id: u64, work: Duration) {
        let run = self.runs.get_mut(&id).expect("only runs in flight end");
        let kind = self.kinds[run.kind];
        let is_root = kind.calls == 0;
        let rank = RequestRank { is_root, priority: kind.priority };
        self.queue.finish(self.now, rank, work, RunEnd::Answered);
        let millis = work.as_secs_f32() * 1_000.0;
        add_cost(&mut run.costs, SlotCost { service: SERVICE.into(), millis, calls: 1.0 });
        run.calls_left -= 1;
        if run.calls_left > 0 {
            return self.call(id);
        }
        let run = self.runs.remove(&id).expect("the run exists");
        self.observe_cost(&run, true);
        if self.now <= run.due {
            *self.result.served.entry(kind.name).or_default() += 1;
            self.result.credit += kind.credit;
        }
    }

    fn admit_waiting(&mut self) {
        while let Some((ticket, outcome)) = self.queue.next(self.now) {
            let id = self.waiting.remove(&ticket).expect("every ticket belongs to a run");
            match outcome {
                WaitOutcome::Run => self.start(id),
                WaitOutcome::Refuse(_) => self.fail(id),
            }
        }
    }

    fn refuse_infeasible(&mut self) {
        for ticket in self.queue.take_infeasible(self.now) {
            let id = self.waiting.remove(&ticket).expect("every ticket belongs to a run");
            self.fail(id);
        }
    }

    fn fail(&mut self, id: u64) {
        let run = self.runs.remove(&id).expect("only runs in flight fail");
        if !run.costs.is_empty() {
            self.observe_cost(&run, false);
        }
    }

    fn observe_cost(&mut self, run: &RootRun, succeeded: bool) {
        let route = self.kinds[run.kind].name.into();
        self.admission.observe_cost(&route, &run.costs, succeeded);
    }
}
