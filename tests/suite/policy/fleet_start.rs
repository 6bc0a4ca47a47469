//! A fleet that starts whole under a load above the capacity of a deep service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::admission_queue::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, RunEnd, WaitOutcome, WaitTicket,
};
use lentilway::policy::caller_retry::retry_delay;
use lentilway::policy::placement::InstanceLoad;
use lentilway::policy::request_rank::RequestRank;
use lentilway::policy::root_admission::{
    CostList, RootAdmission, RootDecision, RootGroup, SlotCost, add_cost,
};
use lentilway::policy::start_pace::{PACE_RETRY_AFTER, PacedEnd, StartPace};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SERVICE: &str = "stock";
const ENTRIES: usize = 60;
const INSTANCES: usize = 4;
const SLOTS: usize = 80;
const CALLS: u32 = 3;
const WORK_MS: u64 = 48;
const ROUTES: usize = 6;
const DUE: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_millis(1_800);
const REPORT_MS: u64 = 200;
/// Time of the work of a root outside the deep service, before each call.
const OTHER_MS: u64 = 15;
const COUNTED_MS: u64 = 4_000;

struct Root {
    entry: usize,
    route: usize,
    arrived: u64,
    admitted: u64,
    calls_left: u32,
    may_retry: bool,
    costs: CostList,
}

enum Event {
    Arrive { entry: usize, route: usize, remaining: Duration, may_retry: bool },
    Call(u64),
    EndCall { id: u64, instance: usize, work: Duration },
}

#[derive(Debug, Default)]
struct StartResult {
    offered: u32,
    in_time: u32,
    late: u32,
    failed: u32,
    /// Callers refused for good, and all refusals.
    refused: u32,
    refusals: u32,
}

struct FleetStart {
    has_pace: bool,
    entries: Vec<(RootAdmission, StartPace)>,
    queues: Vec<(AdmissionQueue, BTreeMap<WaitTicket, u64>)>,
    roots: BTreeMap<u64, Root>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    random: StdRng,
    result: StartResult,
}

impl FleetStart {
    /// `load` is a multiple of the capacity.
    fn replay(has_pace: bool, load: f64, seed: u64) -> StartResult {
        let queue = || {
            let mut queue = AdmissionQueue::new(MilliTime(0));
            queue.set_slots(SLOTS);
            (queue, BTreeMap::new())
        };
        let entry = |_| (RootAdmission::new(MilliTime(0), 0.2), StartPace::default());
        let mut replay = FleetStart {
            has_pace,
            entries: (0..ENTRIES).map(entry).collect(),
            queues: (0..INSTANCES).map(|_| queue()).collect(),
            roots: BTreeMap::new(),
            events: BTreeMap::new(),
            next: 0,
            random: StdRng::seed_from_u64(seed),
            result: StartResult::default(),
        };
        let capacity = (INSTANCES * SLOTS) as f64 / WORK_MS as f64 / f64::from(CALLS);
        for millis in 0..COUNTED_MS {
            let mut expected = capacity * load;
            while replay.random.random::<f64>() < expected {
                expected -= 1.0;
                let entry = replay.random.random_range(0..ENTRIES);
                let route = replay.random.random_range(0..ROUTES);
                replay.result.offered += 1;
                let arrival = Event::Arrive { entry, route, remaining: DEADLINE, may_retry: true };
                replay.push(millis, arrival);
            }
        }
        for millis in 0..COUNTED_MS + 3_000 {
            replay.step(millis);
        }
        replay.result
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn step(&mut self, millis: u64) {
        while self.events.first_key_value().is_some_and(|((at, _), _)| *at <= millis) {
            let Some(((_, number), event)) = self.events.pop_first() else { break };
            match event {
                Event::Arrive { entry, route, remaining, may_retry } => {
                    self.arrive(millis, number, entry, route, remaining, may_retry);
                }
                Event::Call(id) => self.call(millis, id),
                Event::EndCall { id, instance, work } => self.end_call(millis, id, instance, work),
            }
        }
        let now = MilliTime(millis);
        for instance in 0..INSTANCES {
            for ticket in self.queues[instance].0.take_infeasible(now) {
                if let Some(id) = self.queues[instance].1.remove(&ticket) {
                    self.fail(millis, id);
                }
            }
            let load = self.queues[instance].0.load(now);
            for (number, entry) in self.entries.iter_mut().enumerate() {
                let phase = millis + 7 * number as u64 + 50 * instance as u64;
                if phase.is_multiple_of(REPORT_MS) {
                    entry.0.observe_load(now, &SERVICE.into(), instance as u64, &load);
                }
            }
        }
    }

    fn arrive(
        &mut self,
        millis: u64,
        id: u64,
        entry: usize,
        route: usize,
        remaining: Duration,
        may_retry: bool,
    ) {
        let now = MilliTime(millis);
        let draw = self.random.random::<f64>();
        let group = RootGroup { route: route_name(route), priority: route as u8 / 2 };
        let (admission, pace) = &mut self.entries[entry];
        let decision = admission.admit(now, &group, !may_retry, draw);
        let is_admitted = matches!(decision, RootDecision::Admit { .. });
        let is_paced = is_admitted && self.has_pace && !pace.admit(now, &group.route);
        if is_admitted && !is_paced {
            let arrived = millis + remaining.as_millis() as u64 - DEADLINE.as_millis() as u64;
            let costs = CostList::new();
            let root = Root {
                entry,
                route,
                arrived,
                admitted: millis,
                calls_left: CALLS,
                may_retry,
                costs,
            };
            self.roots.insert(id, root);
            return self.push(millis + OTHER_MS, Event::Call(id));
        }
        self.result.refusals += 1;
        if !may_retry {
            self.result.refused += 1;
            return;
        }
        let capacity_in = is_paced.then_some(PACE_RETRY_AFTER);
        let wait = retry_delay(remaining, capacity_in, self.random.random());
        let remaining = remaining - wait;
        let at = millis + wait.as_millis() as u64;
        self.push(at, Event::Arrive { entry, route, remaining, may_retry: false });
    }

    fn call(&mut self, millis: u64, id: u64) {
        let Some(root) = self.roots.get(&id) else { return };
        let priority = root.route as u8 / 2;
        let arrived = MilliTime(root.arrived);
        let request = AdmissionRequest {
            rank: RequestRank::call(priority),
            deadline: arrived + DEADLINE,
            due: arrived + DUE,
        };
        let instance = self.random.random_range(0..INSTANCES);
        match self.queues[instance].0.offer(MilliTime(millis), request) {
            AdmissionDecision::Run => self.start(millis, id, instance),
            AdmissionDecision::Wait(ticket) => {
                self.queues[instance].1.insert(ticket, id);
            }
            AdmissionDecision::Refuse(_) => self.fail(millis, id),
        }
    }

    fn start(&mut self, millis: u64, id: u64, instance: usize) {
        let work = self.random.random_range(WORK_MS / 2..=WORK_MS * 3 / 2);
        let end = Event::EndCall { id, instance, work: Duration::from_millis(work) };
        self.push(millis + work, end);
    }

    fn end_call(&mut self, millis: u64, id: u64, instance: usize, work: Duration) {
        let now = MilliTime(millis);
        let rank = self.roots.get(&id).map_or(0, |root| root.route as u8 / 2);
        self.queues[instance].0.finish(now, RequestRank::call(rank), work, RunEnd::Answered);
        if let Some(root) = self.roots.get_mut(&id) {
            let spent = work.as_millis() as f32;
            add_cost(
                &mut root.costs,
                SlotCost { service: SERVICE.into(), millis: spent, calls: 1.0 },
            );
            root.calls_left -= 1;
            match root.calls_left {
                0 => self.end(millis, id, true),
                _ => self.push(millis + OTHER_MS, Event::Call(id)),
            }
        }
        while let Some((ticket, outcome)) = self.queues[instance].0.next(now) {
            let Some(id) = self.queues[instance].1.remove(&ticket) else { continue };
            match outcome {
                WaitOutcome::Run => self.start(millis, id, instance),
                WaitOutcome::Refuse(_) => self.fail(millis, id),
            }
        }
    }

    fn fail(&mut self, millis: u64, id: u64) {
        self.end(millis, id, false);
    }

    fn end(&mut self, millis: u64, id: u64, succeeded: bool) {
        let Some(root) = self.roots.remove(&id) else { return };
        let is_in_time = succeeded && millis <= root.arrived + DUE.as_millis() as u64;
        let (admission, pace) = &mut self.entries[root.entry];
        if !root.costs.is_empty() {
            admission.observe_cost(&route_name(root.route), &root.costs, succeeded);
        }
        let elapsed = Duration::from_millis(millis - root.arrived);
        let end = if succeeded { PacedEnd::answered(elapsed, DUE) } else { PacedEnd::Bad };
        pace.end_root(MilliTime(millis), &route_name(root.route), MilliTime(root.admitted), end);
        match succeeded {
            true if is_in_time => self.result.in_time += 1,
            true => self.result.late += 1,
            // Refused before any work: the caller may return.
            false if root.costs.is_empty() && root.may_retry => {
                self.result.refusals += 1;
                let spent = Duration::from_millis(millis - root.arrived);
                let remaining = DEADLINE.saturating_sub(spent);
                let wait = retry_delay(remaining, None, self.random.random());
                let remaining = remaining.saturating_sub(wait);
                let (entry, route) = (root.entry, root.route);
                let at = millis + wait.as_millis() as u64;
                self.push(at, Event::Arrive { entry, route, remaining, may_retry: false });
            }
            false if root.costs.is_empty() => {
                self.result.refusals += 1;
                self.result.refused += 1;
            }
            false => self.result.failed += 1,
        }
    }
}

fn route_name(route: usize) -> Arc<str> {
    format!("route-{route}").into()
}

/// Guards against a fleet whose daemons all admit everything until the first reports come back, so
/// that the deep service fills with runs that end late.
#[gtest]
fn admit_fleet_start_under_overload() {
    for load in [1.6, 2.5] {
        for seed in 0..3 {
            let before = FleetStart::replay(false, load, seed);
            let after = FleetStart::replay(true, load, seed);
            println!("load {load}: {before:?} -> {after:?}");
            expect_that!(after.in_time * 10, gt(before.in_time * 14), "load {load}, seed {seed}");
            expect_that!(after.late * 10, lt(before.late * 7), "load {load}, seed {seed}");
            expect_that!(after.failed, le(before.failed), "load {load}, seed {seed}");
        }
    }
}

/// Guards against refusals by the pace while nothing is short.
#[gtest]
fn admit_fleet_start_in_calm() {
    for seed in 0..3 {
        let result = FleetStart::replay(true, 0.6, seed);
        println!("calm: {result:?}");
        expect_that!(result.refusals, eq(0), "seed {seed}");
        expect_that!(result.in_time, eq(result.offered), "seed {seed}");
    }
}

/// A busy entry whose answers take long is not refused in calm: 40 roots a second of 300 to 400 ms.
#[gtest]
fn admit_busy_entry_in_calm() {
    let mut random = StdRng::seed_from_u64(3);
    let route = route_name(0);
    let (mut pace, mut ends, mut refused) = (StartPace::default(), BTreeMap::new(), 0);
    for millis in 0..8_000_u64 {
        while let Some(entry) = ends.first_entry().filter(|entry| *entry.key() <= millis) {
            let admitted = entry.remove();
            let elapsed = Duration::from_millis(millis - admitted);
            let end = PacedEnd::answered(elapsed, DUE);
            pace.end_root(MilliTime(millis), &route, MilliTime(admitted), end);
        }
        if random.random_bool(0.04) {
            match pace.admit(MilliTime(millis), &route) {
                true => drop(ends.insert(millis + random.random_range(300..400), millis)),
                false => refused += 1,
            }
        }
    }
    expect_that!(refused, le(1));
    expect_that!(pace.is_active(), eq(false));
}

/// Guards against a broken service that holds back the roots of others: its route never succeeds, and
/// its roots stay in flight for long.
#[gtest]
fn admit_beside_broken_route() {
    let mut pace = StartPace::default();
    let (usual, broken) = (route_name(0), route_name(1));
    let start = MilliTime(0);
    for (route, end) in [(&usual, PacedEnd::Good), (&broken, PacedEnd::Failed)] {
        expect_that!(pace.admit(start, route), eq(true));
        pace.end_root(start, route, start, end);
    }
    let now = MilliTime(10);
    let in_flight = (0..100).filter(|_| pace.admit(now, &broken)).count();
    expect_that!(in_flight, eq(4));
    for step in 1..100 {
        let now = MilliTime(10 + step * 10);
        expect_that!(pace.admit(now, &usual), eq(true));
        pace.end_root(now, &usual, now, PacedEnd::Good);
        pace.end_root(now, &broken, now, PacedEnd::Failed);
        expect_that!(pace.admit(now, &broken), eq(true));
    }
}

/// A daemon that restarts among running ones admits as they do at once: without their costs and
/// fractions it takes the reduced demand for the whole one.
#[gtest]
fn learn_restarted_admits_as_peers() {
    let load =
        |demand_permille| InstanceLoad { slots: 80, demand_permille, ..InstanceLoad::default() };
    let group = |route: usize| RootGroup { route: route_name(route), priority: 1 };
    let mut peer = RootAdmission::new(MilliTime(0), 0.2);
    let costs = |millis: f32| {
        let mut costs = CostList::new();
        add_cost(&mut costs, SlotCost { service: SERVICE.into(), millis, calls: 1.0 });
        costs
    };
    let admitted = |admission: &mut RootAdmission, from: u64, peers_admit: f64| {
        let mut count = 0;
        for millis in (from..from + 300).step_by(10) {
            if millis % 100 == 0 {
                // Three times the slots, of which the peers admit a fraction.
                let permille = (3_000.0 * peers_admit) as u32;
                admission.observe_load(MilliTime(millis), &SERVICE.into(), 1, &load(permille));
            }
            for draw in 0..10 {
                let draw = f64::from(draw) / 10.0;
                let decision = admission.admit(MilliTime(millis), &group(0), false, draw);
                let is_admitted = matches!(decision, RootDecision::Admit { .. });
                // The fractions of groups are set with the first adjustment, after 100 ms.
                count += u32::from(is_admitted && millis >= from + 100);
            }
        }
        count
    };
    peer.observe_cost(&route_name(0), &costs(150.0), true);
    let mut last = 0;
    for step in 0..20 {
        let fraction = peer.admitted_fraction(SERVICE);
        last = admitted(&mut peer, 300 * step, fraction);
    }
    let mut fresh = RootAdmission::new(MilliTime(6_000), 0.2);
    let mut taught = RootAdmission::new(MilliTime(6_000), 0.2);
    taught.learn(&peer.knowledge());
    let fraction = peer.admitted_fraction(SERVICE);
    let [fresh, taught] =
        [&mut fresh, &mut taught].map(|admission| admitted(admission, 6_000, fraction));
    println!("admitted of 200: peer {last}, restarted {fresh}, with its knowledge {taught}");
    expect_that!(taught, le(last * 12 / 10));
    expect_that!(fresh, gt(last * 2));
}

/// One route with slow answers filled the window, and roots of the others were refused.
#[gtest]
fn admit_slow_route_leaves_shares() {
    let mut pace = StartPace::default();
    let count = |pace: &mut StartPace, route: &str| {
        let route = route.into();
        (0..100).filter(|_| pace.admit(MilliTime(5), &route)).count()
    };
    expect_that!(count(&mut pace, "slow"), eq(24));
    expect_that!(count(&mut pace, "usual"), eq(12));
    expect_that!(count(&mut pace, "slow"), eq(0));
}
