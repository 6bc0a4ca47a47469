//! Backend servers that state how many requests per second they take from all senders together,
//! called by few or many senders whose reports of the load are old.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::admission_queue::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, RunEnd, WaitOutcome, WaitTicket,
};
use lentilway::policy::backend_notice::RequestLimit;
use lentilway::policy::placement::{InstanceLoad, PlacementCandidate, choose_instance};
use lentilway::policy::request_rank::RequestRank;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: usize = 78;
const WORK_MS: u64 = 160;
const DEADLINE_MS: u64 = 6_000;
const DUE_MS: u64 = 1_500;
const SECONDS: u64 = 20;
/// When the servers state their limits.
const STATED_MS: u64 = 4_000;
/// When the users' rule begins to bind.
const BINDING_MS: u64 = STATED_MS + 3_000;
const WINDOW_MS: u64 = 4_000;
/// Senders hear from each server at least this often.
const REPORT_MS: u64 = 900;
const UNSENT_REFUSALS_MAX: usize = 3;
const URGENT: u8 = 2;
const ORDINARY: u8 = 17;

/// Requests per second that each server takes in the course of the load, `None` without a limit.
type LimitPlan<'a> = &'a [&'a [(u64, Option<f64>)]];

struct Attempt {
    sender: usize,
    priority: u8,
    sent: u64,
    tried: Vec<usize>,
}

struct LimitedServer {
    queue: AdmissionQueue,
    waiting: HashMap<WaitTicket, Attempt>,
    ends: BTreeMap<(u64, u64), (Attempt, u64)>,
    arrivals: Vec<u64>,
}

/// What one sender knows of one server.
#[derive(Clone, Copy, Default)]
struct SenderView {
    load: InstanceLoad,
    in_flight: u32,
    in_flight_at_report: u32,
}

struct LimitReplay {
    servers: Vec<LimitedServer>,
    views: Vec<Vec<SenderView>>,
    random: StdRng,
    next: u64,
    offered: BTreeMap<u8, u32>,
    served: BTreeMap<u8, u32>,
    refusals: u32,
}

impl LimitReplay {
    fn run(senders: usize, per_second: f64, plan: LimitPlan<'_>, seed: u64) -> Self {
        let server = || {
            let mut queue = AdmissionQueue::new(MilliTime(0));
            queue.set_slots(SLOTS);
            LimitedServer {
                queue,
                waiting: HashMap::new(),
                ends: BTreeMap::new(),
                arrivals: Vec::new(),
            }
        };
        let mut replay = LimitReplay {
            servers: plan.iter().map(|_| server()).collect(),
            views: vec![vec![SenderView::default(); plan.len()]; senders],
            random: StdRng::seed_from_u64(seed),
            next: 0,
            offered: BTreeMap::new(),
            served: BTreeMap::new(),
            refusals: 0,
        };
        for server in 0..plan.len() {
            replay.report_to_all(0, server);
        }
        for now in 0..SECONDS * 1_000 + DUE_MS {
            replay.tick(now, per_second, plan);
        }
        replay
    }

    fn tick(&mut self, now: u64, per_second: f64, plan: LimitPlan<'_>) {
        for (index, changes) in plan.iter().enumerate() {
            for (_, limit) in changes.iter().filter(|(at, _)| *at == now) {
                let limit = limit.and_then(RequestLimit::new);
                self.servers[index].queue.set_limit(MilliTime(now), limit);
                self.report_to_all(now, index);
            }
        }
        self.end_runs(now);
        self.report(now);
        for index in 0..self.servers.len() {
            self.start_waiting(now, index);
        }
        let mut expected = if now < SECONDS * 1_000 { per_second / 1_000.0 } else { 0.0 };
        while self.random.random::<f64>() < expected {
            expected -= 1.0;
            let priority = if self.random.random_bool(0.2) { URGENT } else { ORDINARY };
            *self.offered.entry(priority).or_default() += 1;
            let sender = self.random.random_range(0..self.views.len());
            self.place(now, Attempt { sender, priority, sent: now, tried: Vec::new() });
        }
    }

    fn report(&mut self, now: u64) {
        for sender in 0..self.views.len() {
            for server in 0..self.servers.len() {
                let phase = now + 37 * sender as u64 + 211 * server as u64;
                if phase.is_multiple_of(REPORT_MS) {
                    self.report_to(now, sender, server);
                }
            }
        }
    }

    fn report_to_all(&mut self, now: u64, server: usize) {
        for sender in 0..self.views.len() {
            self.report_to(now, sender, server);
        }
    }

    fn report_to(&mut self, now: u64, sender: usize, server: usize) {
        let view = &mut self.views[sender][server];
        view.load = self.servers[server].queue.load(MilliTime(now));
        view.in_flight_at_report = view.in_flight;
    }

    fn place(&mut self, now: u64, mut attempt: Attempt) {
        while attempt.tried.len() < UNSENT_REFUSALS_MAX {
            let views = &self.views[attempt.sender];
            let untried: Vec<usize> =
                (0..views.len()).filter(|server| !attempt.tried.contains(server)).collect();
            let candidates: Vec<PlacementCandidate> =
                untried.iter().map(|server| candidate(&views[*server])).collect();
            let random = &mut self.random;
            let chosen = choose_instance(&candidates, Duration::ZERO, || random.random());
            let Some(server) = chosen.map(|index| untried[index]) else { return };
            attempt.tried.push(server);
            let Some(returned) = self.offer(now, server, attempt) else { return };
            attempt = returned;
        }
    }

    /// Offers an attempt to a server; returns it if it is refused.
    fn offer(&mut self, now: u64, server: usize, attempt: Attempt) -> Option<Attempt> {
        self.views[attempt.sender][server].in_flight += 1;
        let request = AdmissionRequest {
            rank: RequestRank::root(attempt.priority),
            deadline: MilliTime(attempt.sent + DEADLINE_MS),
            due: MilliTime(attempt.sent + DUE_MS),
        };
        match self.servers[server].queue.offer(MilliTime(now), request) {
            AdmissionDecision::Run => self.start(now, server, attempt),
            AdmissionDecision::Wait(ticket) => {
                self.servers[server].waiting.insert(ticket, attempt);
            }
            AdmissionDecision::Refuse(_) => return Some(self.refuse(now, server, attempt)),
        }
        None
    }

    /// The answer of a refusal carries the load.
    fn refuse(&mut self, now: u64, server: usize, attempt: Attempt) -> Attempt {
        self.refusals += 1;
        self.views[attempt.sender][server].in_flight -= 1;
        self.report_to(now, attempt.sender, server);
        attempt
    }

    fn start(&mut self, now: u64, server: usize, attempt: Attempt) {
        let work = self.random.random_range(WORK_MS / 2..=WORK_MS * 3 / 2);
        self.next += 1;
        let server = &mut self.servers[server];
        server.arrivals.push(now);
        server.ends.insert((now + work, self.next), (attempt, work));
    }

    fn start_waiting(&mut self, now: u64, server: usize) {
        let mut refused = Vec::new();
        while let Some((ticket, outcome)) = self.servers[server].queue.next(MilliTime(now)) {
            let waiting = self.servers[server].waiting.remove(&ticket);
            let attempt = waiting.expect("every ticket belongs to an attempt");
            match outcome {
                WaitOutcome::Run => self.start(now, server, attempt),
                WaitOutcome::Refuse(_) => refused.push(attempt),
            }
        }
        if now.is_multiple_of(100) {
            for ticket in self.servers[server].queue.take_infeasible(MilliTime(now)) {
                let waiting = self.servers[server].waiting.remove(&ticket);
                refused.push(waiting.expect("every ticket belongs to an attempt"));
            }
        }
        for attempt in refused {
            let attempt = self.refuse(now, server, attempt);
            self.place(now, attempt);
        }
    }

    fn end_runs(&mut self, now: u64) {
        for index in 0..self.servers.len() {
            while let Some(entry) = self.servers[index].ends.first_entry() {
                if entry.key().0 > now {
                    break;
                }
                let (attempt, work) = entry.remove();
                let rank = RequestRank::root(attempt.priority);
                let queue = &mut self.servers[index].queue;
                queue.finish(MilliTime(now), rank, Duration::from_millis(work), RunEnd::Answered);
                self.views[attempt.sender][index].in_flight -= 1;
                self.report_to(now, attempt.sender, index);
                if now <= attempt.sent + DUE_MS {
                    *self.served.entry(attempt.priority).or_default() += 1;
                }
            }
        }
    }

    /// The most arrivals in a window of the users' rule, from when it binds.
    fn most_arrivals(&self, server: usize) -> usize {
        let bound = self.servers[server].arrivals.iter().filter(|at| **at >= BINDING_MS);
        let times: Vec<u64> = bound.copied().collect();
        let within = |start: &u64| {
            times.iter().filter(|at| (*start..start + WINDOW_MS).contains(at)).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }

    fn served_fraction(&self, priority: u8) -> f64 {
        let count = |counts: &BTreeMap<u8, u32>| f64::from(*counts.get(&priority).unwrap_or(&0));
        count(&self.served) / count(&self.offered)
    }
}

fn candidate(view: &SenderView) -> PlacementCandidate {
    PlacementCandidate {
        load: view.load,
        in_flight: view.in_flight,
        in_flight_at_report: view.in_flight_at_report,
        same_zone: true,
        failed_permille: 0,
        report_age: Duration::ZERO,
    }
}

fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * 4.0 + 5.0) as usize
}

/// Three of four servers state half of what they get; the fourth has room for the rest.
#[gtest]
fn offer_limited_peer_has_room() {
    let limited: &[(u64, Option<f64>)] = &[(STATED_MS, Some(17.3))];
    for senders in [3, 30, 200, 1_000] {
        let replay = LimitReplay::run(senders, 138.0, &[limited, limited, limited, &[]], 7);
        for server in 0..3 {
            expect_that!(replay.most_arrivals(server), le(allowed(17.3)), "{senders} senders");
        }
        for priority in [URGENT, ORDINARY] {
            expect_that!(replay.served_fraction(priority), ge(0.99), "{senders}, {priority}");
        }
        println!("{senders} senders: {} refusals", replay.refusals);
    }
}

/// All servers of the service state limits, together less than what is asked.
#[gtest]
fn offer_all_limited_urgent_first() {
    let limited: &[(u64, Option<f64>)] = &[(STATED_MS, Some(10.0))];
    for senders in [3, 30, 200, 1_000] {
        let replay = LimitReplay::run(senders, 80.0, &[limited; 4], 7);
        for server in 0..4 {
            let most = replay.most_arrivals(server);
            expect_that!(most, le(allowed(10.0)), "{senders} senders");
            expect_that!(most, ge(36), "{senders} senders: the limit is used");
        }
        expect_that!(replay.served_fraction(URGENT), ge(0.95), "{senders} senders");
        println!(
            "{senders} senders: ordinary {:.3}, {} refusals",
            replay.served_fraction(ORDINARY),
            replay.refusals
        );
    }
}

/// A limit of zero, which only answers can end, a huge one, one that falls and one that ends.
#[gtest]
fn offer_limit_changes() {
    let plan: LimitPlan<'_> = &[
        &[(STATED_MS, Some(0.0))],
        &[(STATED_MS, Some(9e10))],
        &[(STATED_MS, Some(20.0)), (9_000, Some(3.0))],
        &[(STATED_MS, Some(5.0)), (9_000, None)],
    ];
    for senders in [3, 30, 200, 1_000] {
        let replay = LimitReplay::run(senders, 138.0, plan, 7);
        expect_that!(replay.most_arrivals(0), all![ge(1), le(5)], "{senders}: zero");
        expect_that!(replay.most_arrivals(1), ge(120), "{senders}: huge");
        let fallen = &replay.servers[2].arrivals;
        let after = fallen.iter().filter(|at| (12_000..16_000).contains(*at)).count();
        expect_that!(after, le(allowed(3.0)), "{senders}: fallen");
        let ended = &replay.servers[3].arrivals;
        let after = ended.iter().filter(|at| (14_000..18_000).contains(*at)).count();
        expect_that!(after, ge(100), "{senders}: ended");
        expect_that!(replay.served_fraction(ORDINARY), ge(0.99), "{senders}");
    }
}
