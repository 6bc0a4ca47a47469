//! Many senders that place requests on uneven servers by reports of some age.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::moving_average::{FailureFraction, SampleAverage};
use lentilway::policy::placement::{InstanceLoad, PlacementCandidate, choose_instance};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SENDERS: usize = 60;
const SEEDS: [u64; 3] = [7, 8, 9];
const ZONES: usize = 3;
/// Speeds of the servers, which have equal slots.
const SPEEDS: [f64; 6] = [0.5, 0.7, 0.9, 1.1, 1.3, 1.5];
/// The server that becomes slow or fails: the fastest one.
const ODD_SERVER: usize = 5;
const SLOTS: usize = 37;
/// Mean time of a request at speed 1.
const WORK_MILLIS: f64 = 48.0;
const REPORT_INTERVAL_MILLIS: u64 = 900;
const END_MILLIS: u64 = 20_000;
/// Requests that arrive in this time count.
const COUNTED_MILLIS: std::ops::Range<u64> = 2_000..15_000;
/// The span in which the odd server is slow or fails, and that of a surge.
const ODD_MILLIS: std::ops::Range<u64> = 5_000..11_000;
/// After this time a server that has recovered is used again.
const RECOVERED_MILLIS: u64 = 17_000;
const SAMPLE_WEIGHT: f64 = 0.05;
const FAILED_RUN_MILLIS: f64 = 10.0;
const WINDOW_MILLIS: u64 = 250;
const WINDOWS: usize = (END_MILLIS / WINDOW_MILLIS) as usize + 1;

/// What is odd during [`ODD_MILLIS`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    /// The odd server is five times slower.
    Slow,
    /// The odd server fails half of its requests at once.
    Failing,
    /// The demand is 1.6 times as high.
    Surge,
}

#[derive(Clone, Copy)]
struct Scenario {
    disturbance: Disturbance,
    /// Demand as a ratio to the capacity of all servers.
    demand: f64,
    /// Whether answers carry reports, beside the regular ones.
    has_answer_reports: bool,
    /// Whether the policy is told the age of the reports; without it, its spread is constant.
    knows_age: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ReplayEvent {
    Arrive,
    Report { sender: usize, server: usize },
    End { request: usize, is_failed: bool },
}

struct ReplayServer {
    running: usize,
    queue: VecDeque<usize>,
    service: SampleAverage,
    failed: FailureFraction,
}

struct ReplayView {
    load: InstanceLoad,
    in_flight: u32,
    in_flight_at_report: u32,
    reported: u64,
    failed: FailureFraction,
}

struct ReplayRequest {
    sender: usize,
    server: usize,
    work: f64,
    arrived: u64,
    began: u64,
    ended: Option<u64>,
    sends: u32,
}

struct PlacementReplay {
    scenario: Scenario,
    random: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, ReplayEvent)>>,
    next_event: u64,
    servers: Vec<ReplayServer>,
    views: Vec<Vec<ReplayView>>,
    requests: Vec<ReplayRequest>,
    arrivals: Vec<[u32; SPEEDS.len()]>,
    cross_zone: u32,
}

/// Times in milliseconds, and ratios.
#[derive(Debug)]
struct ReplayResult {
    mean: f64,
    percentile_99: f64,
    /// Arrivals at the busiest server in each window against the mean weighted by speed, on average.
    busiest: f64,
    /// Sends to other zones.
    cross_zone: f64,
    /// Arrivals at the odd server after it has recovered.
    recovered: f64,
}

impl PlacementReplay {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let start = MilliTime(0);
        let server = |_: &f64| ReplayServer {
            running: 0,
            queue: VecDeque::new(),
            service: SampleAverage::new(SAMPLE_WEIGHT),
            failed: FailureFraction::new(start),
        };
        let view = |speed: &f64| ReplayView {
            load: InstanceLoad {
                slots: SLOTS as u32,
                service_micros: (WORK_MILLIS / speed * 1_000.0) as u32,
                ..InstanceLoad::default()
            },
            in_flight: 0,
            in_flight_at_report: 0,
            reported: 0,
            failed: FailureFraction::new(start),
        };
        let mut replay = PlacementReplay {
            scenario,
            random: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            next_event: 0,
            servers: SPEEDS.iter().map(server).collect(),
            views: (0..SENDERS).map(|_| SPEEDS.iter().map(view).collect()).collect(),
            requests: Vec::new(),
            arrivals: vec![[0; SPEEDS.len()]; WINDOWS],
            cross_zone: 0,
        };
        for (sender, server) in (0..SENDERS * SPEEDS.len()).map(|at| (at % SENDERS, at / SENDERS)) {
            let first = replay.random.random_range(0..REPORT_INTERVAL_MILLIS);
            replay.push(first, ReplayEvent::Report { sender, server });
        }
        replay.push(0, ReplayEvent::Arrive);
        replay
    }

    fn push(&mut self, at: u64, event: ReplayEvent) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn run(mut self) -> ReplayResult {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                ReplayEvent::Arrive if now < END_MILLIS => self.arrive(now),
                ReplayEvent::Report { sender, server } if now < END_MILLIS => {
                    self.report(now, sender, server);
                    let next = now + REPORT_INTERVAL_MILLIS;
                    self.push(next, ReplayEvent::Report { sender, server });
                }
                ReplayEvent::End { request, is_failed } => self.end(now, request, is_failed),
                ReplayEvent::Arrive | ReplayEvent::Report { .. } => {}
            }
        }
        self.result()
    }

    fn is_odd(&self, now: u64, disturbance: Disturbance) -> bool {
        self.scenario.disturbance == disturbance && ODD_MILLIS.contains(&now)
    }

    /// Starts all requests that arrive in this millisecond.
    fn arrive(&mut self, now: u64) {
        let capacity: f64 = SPEEDS.iter().sum::<f64>() * SLOTS as f64 / WORK_MILLIS;
        let surge = if self.is_odd(now, Disturbance::Surge) { 1.6 } else { 1.0 };
        let mut expected = capacity * self.scenario.demand * surge;
        while expected > self.random.random::<f64>() {
            expected -= 1.0;
            let sender = self.random.random_range(0..SENDERS);
            let work = WORK_MILLIS * self.random.random_range(0.5..1.5);
            let (server, began, ended, sends) = (0, 0, None, 0);
            let request = ReplayRequest { sender, server, work, arrived: now, began, ended, sends };
            self.requests.push(request);
            self.place(now, self.requests.len() - 1, None);
        }
        self.push(now + 1, ReplayEvent::Arrive);
    }

    fn report(&mut self, now: u64, sender: usize, server: usize) {
        let state = &mut self.servers[server];
        let view = &mut self.views[sender][server];
        let default = WORK_MILLIS / SPEEDS[server];
        view.load.running = state.running as u32;
        view.load.waiting = state.queue.len() as u32;
        view.load.service_micros = (state.service.mean_or(default) * 1_000.0) as u32;
        view.load.failed_permille = state.failed.permille(MilliTime(now));
        view.in_flight_at_report = view.in_flight;
        view.reported = now;
    }

    /// Sends a request to the server that the policy chooses, other than `tried`.
    fn place(&mut self, now: u64, request: usize, tried: Option<usize>) {
        let sender = self.requests[request].sender;
        let (knows_age, zone) = (self.scenario.knows_age, sender % ZONES);
        let views = self.views[sender].iter_mut().enumerate();
        let mut candidates: Vec<PlacementCandidate> = views
            .map(|(server, view)| PlacementCandidate {
                load: view.load,
                in_flight: view.in_flight,
                in_flight_at_report: view.in_flight_at_report,
                same_zone: server % ZONES == zone,
                failed_permille: view.failed.permille(MilliTime(now)),
                report_age: Duration::from_millis(if knows_age { now - view.reported } else { 0 }),
            })
            .collect();
        if let Some(tried) = tried {
            candidates[tried].load.slots = 0;
        }
        let random = &mut self.random;
        let penalty = Duration::from_millis(60);
        let chosen = choose_instance(&candidates, penalty, || random.random());
        let server = chosen.expect("all servers have slots");
        self.cross_zone += u32::from(!candidates[server].same_zone);
        self.arrivals[(now.min(END_MILLIS) / WINDOW_MILLIS) as usize][server] += 1;
        self.views[sender][server].in_flight += 1;
        self.requests[request].server = server;
        self.requests[request].sends += 1;
        if self.servers[server].running < SLOTS {
            self.start(now, request);
        } else {
            self.servers[server].queue.push_back(request);
        }
    }

    fn start(&mut self, now: u64, request: usize) {
        let server = self.requests[request].server;
        let is_odd = server == ODD_SERVER;
        let is_failed =
            is_odd && self.is_odd(now, Disturbance::Failing) && self.random.random::<f64>() < 0.5;
        let is_slow = is_odd && self.is_odd(now, Disturbance::Slow);
        let speed = SPEEDS[server] * if is_slow { 0.2 } else { 1.0 };
        let started = &mut self.requests[request];
        started.began = now;
        let millis = if is_failed { FAILED_RUN_MILLIS } else { started.work / speed };
        self.servers[server].running += 1;
        self.push(now + millis.round() as u64, ReplayEvent::End { request, is_failed });
    }

    fn end(&mut self, now: u64, request: usize, is_failed: bool) {
        let ReplayRequest { sender, server, began, sends, .. } = self.requests[request];
        let state = &mut self.servers[server];
        state.running -= 1;
        state.failed.add(MilliTime(now), is_failed);
        if !is_failed {
            state.service.add((now - began) as f64);
        }
        let waiting = state.queue.pop_front();
        waiting.into_iter().for_each(|waiting| self.start(now, waiting));
        let view = &mut self.views[sender][server];
        view.in_flight -= 1;
        view.in_flight_at_report = view.in_flight_at_report.min(view.in_flight);
        view.failed.add(MilliTime(now), is_failed);
        if self.scenario.has_answer_reports {
            self.report(now, sender, server);
        }
        if is_failed && sends < 2 {
            self.place(now, request, Some(server));
        } else {
            self.requests[request].ended = Some(now);
        }
    }

    fn result(self) -> ReplayResult {
        let counted = self.requests.iter().filter(|one| COUNTED_MILLIS.contains(&one.arrived));
        let mut millis: Vec<f64> =
            counted.filter_map(|request| Some((request.ended? - request.arrived) as f64)).collect();
        millis.sort_by(f64::total_cmp);
        let speeds: f64 = SPEEDS.iter().sum();
        let windows = COUNTED_MILLIS.start / WINDOW_MILLIS..COUNTED_MILLIS.end / WINDOW_MILLIS;
        let busiest = |window: u64| {
            let counts = &self.arrivals[window as usize];
            let total = f64::from(counts.iter().sum::<u32>());
            let ratios = counts
                .iter()
                .zip(SPEEDS)
                .map(|(count, speed)| f64::from(*count) / (total * speed / speeds));
            ratios.fold(0.0, f64::max)
        };
        let sends: u32 = self.requests.iter().map(|request| request.sends).sum();
        let late = self.requests.iter().filter(|one| one.arrived >= RECOVERED_MILLIS);
        let (late, odd): (Vec<_>, Vec<_>) = late.partition(|one| one.server != ODD_SERVER);
        ReplayResult {
            mean: millis.iter().sum::<f64>() / millis.len() as f64,
            percentile_99: millis[millis.len() * 99 / 100],
            busiest: windows.clone().map(busiest).sum::<f64>() / windows.count() as f64,
            cross_zone: f64::from(self.cross_zone) / f64::from(sends),
            recovered: odd.len() as f64 / (odd.len() + late.len()) as f64,
        }
    }
}

/// The means of the results with the constant spread and with the one by age. Single seeds differ by
/// several per cent.
fn compare(disturbance: Disturbance, demand: f64, has_answer_reports: bool) -> [ReplayResult; 2] {
    [false, true].map(|knows_age| {
        let scenario = Scenario { disturbance, demand, has_answer_reports, knows_age };
        let results = SEEDS.map(|seed| PlacementReplay::new(scenario, seed).run());
        let mean = |value: fn(&ReplayResult) -> f64| {
            results.iter().map(value).sum::<f64>() / results.len() as f64
        };
        let result = ReplayResult {
            mean: mean(|result| result.mean),
            percentile_99: mean(|result| result.percentile_99),
            busiest: mean(|result| result.busiest),
            cross_zone: mean(|result| result.cross_zone),
            recovered: mean(|result| result.recovered),
        };
        println!("knows age {knows_age}, demand {demand}: {result:.3?}");
        result
    })
}

/// Guards against senders that all choose the same server on an old report: requests wait there
/// while others have room.
#[gtest]
fn placement_old_reports_loaded() {
    let [constant, by_age] = compare(Disturbance::None, 0.85, false);
    expect_that!(by_age.mean, lt(0.9 * constant.mean));
    expect_that!(by_age.percentile_99, lt(0.85 * constant.percentile_99));
    expect_that!(by_age.busiest, lt(constant.busiest));
    let [constant, by_age] = compare(Disturbance::Surge, 0.6, false);
    expect_that!(by_age.mean, lt(0.9 * constant.mean));
    expect_that!(by_age.percentile_99, lt(0.85 * constant.percentile_99));
}

/// Guards against a loss in calm, and against more traffic between zones there, which is billed.
#[gtest]
fn placement_calm_unchanged() {
    for (demand, has_answer_reports) in [(0.35, true), (0.35, false), (0.6, true), (0.6, false)] {
        let [constant, by_age] = compare(Disturbance::None, demand, has_answer_reports);
        expect_that!(by_age.mean, lt(1.02 * constant.mean));
        expect_that!(by_age.percentile_99, lt(1.05 * constant.percentile_99));
        expect_that!(by_age.cross_zone, lt(constant.cross_zone + 0.02));
    }
}

/// Guards against a server that is never used again after it was slow, and against a loss while one is
/// slow or fails.
#[gtest]
fn placement_odd_server() {
    for has_answer_reports in [true, false] {
        for disturbance in [Disturbance::Slow, Disturbance::Failing] {
            let [constant, by_age] = compare(disturbance, 0.6, has_answer_reports);
            expect_that!(by_age.mean, lt(1.02 * constant.mean));
            expect_that!(by_age.percentile_99, lt(1.05 * constant.percentile_99));
            if disturbance == Disturbance::Slow {
                expect_that!(by_age.recovered, gt(0.25));
            }
        }
    }
}
