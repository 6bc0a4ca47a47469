//! A discrete-event simulation of one daemon and its backend server.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use hdrhistogram::Histogram;
use lentilway::clock::MilliTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::rules::LimitRule;

const DEADLINE_MICROS: u64 = 500_000;
const QUEUE_WAIT_MICROS: u64 = 100_000;
const QUEUE_LENGTH_MIN: usize = 8;
const RECOVERY_WINDOW_MICROS: u64 = 100_000;
const RECOVERED_FRACTION: f64 = 0.9;

/// A phase of a scenario; `rate` is in requests per second.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    pub seconds: f64,
    pub rate: f64,
    pub slow_factor: f64,
}

/// The simulated backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerModel {
    pub slots: usize,
    pub service_seconds: f64,
}

/// Results of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct ModelResult {
    /// Calls of the middle phase within their deadline, as a fraction of those possible.
    pub goodput: f64,
    /// Time from the end of the middle phase until at least 90% of calls meet their deadline again.
    pub recovery_seconds: f64,
    /// 99th percentile of the latency of these calls.
    pub p99_seconds: f64,
    /// The limit at the end of the middle phase.
    pub limit: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrival,
    Finished(usize),
}

struct ModelCall {
    arrived: u64,
    started: u64,
    epoch: u32,
    had_waited: bool,
    succeeded: bool,
}

struct ModelRun<'a> {
    server: ServerModel,
    phases: &'a [LoadPhase; 3],
    rule: Box<dyn LimitRule>,
    random: StdRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, ModelEvent)>>,
    calls: Vec<ModelCall>,
    waiting: VecDeque<usize>,
    server_queue: VecDeque<usize>,
    admitted: usize,
    busy: usize,
    middle_limit: usize,
}

/// Simulates `phases` against `server` with `rule` as the concurrency limit.
pub fn run_model(
    server: ServerModel,
    phases: &[LoadPhase; 3],
    rule: Box<dyn LimitRule>,
    seed: u64,
) -> ModelResult {
    let mut run = ModelRun {
        server,
        phases,
        rule,
        random: StdRng::seed_from_u64(seed),
        now: 0,
        events: BinaryHeap::new(),
        calls: Vec::new(),
        waiting: VecDeque::new(),
        server_queue: VecDeque::new(),
        admitted: 0,
        busy: 0,
        middle_limit: 0,
    };
    run.events.push(Reverse((0, ModelEvent::Arrival)));
    while let Some(Reverse((at, event))) = run.events.pop() {
        run.now = at;
        match event {
            ModelEvent::Arrival => run.handle_arrival(),
            ModelEvent::Finished(call) => run.handle_finish(call),
        }
    }
    run.result()
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

impl ModelRun<'_> {
    fn phase(&self) -> Option<(usize, LoadPhase)> {
        let mut end = 0;
        self.phases.iter().copied().enumerate().find(|(_, phase)| {
            end += micros(phase.seconds);
            self.now < end
        })
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        micros(-(1.0 - self.random.random::<f64>()).ln() * mean)
    }

    fn handle_arrival(&mut self) {
        let Some((index, phase)) = self.phase() else { return };
        if index == 1 {
            self.middle_limit = self.rule.current();
        }
        let next = self.now + self.exponential(1.0 / phase.rate);
        self.events.push(Reverse((next, ModelEvent::Arrival)));
        let call = self.calls.len();
        self.calls.push(ModelCall {
            arrived: self.now,
            started: 0,
            epoch: 0,
            had_waited: false,
            succeeded: false,
        });
        self.waiting.push_back(call);
        self.admit_waiting();
        let bound = self.rule.current().max(QUEUE_LENGTH_MIN);
        if self.rule.queues() && self.waiting.len() > bound {
            self.waiting.pop_front();
        }
    }

    fn admit_waiting(&mut self) {
        while self.admitted < self.rule.current() {
            let Some(call) = self.waiting.pop_back() else { return };
            if self.rule.queues() && self.now - self.calls[call].arrived > QUEUE_WAIT_MICROS {
                continue;
            }
            self.admitted += 1;
            self.calls[call].had_waited = self.calls[call].arrived < self.now;
            self.calls[call].started = self.now;
            self.calls[call].epoch = self.rule.epoch();
            self.server_queue.push_back(call);
            self.start_service();
        }
    }

    fn start_service(&mut self) {
        while self.busy < self.server.slots {
            let Some(call) = self.server_queue.pop_front() else { return };
            let slow = self.phase().map_or(1.0, |(_, phase)| phase.slow_factor);
            self.busy += 1;
            let end = self.now + self.exponential(self.server.service_seconds * slow);
            self.events.push(Reverse((end, ModelEvent::Finished(call))));
        }
    }

    fn handle_finish(&mut self, index: usize) {
        self.busy -= 1;
        self.admitted -= 1;
        let call = &mut self.calls[index];
        call.succeeded = self.now - call.arrived <= DEADLINE_MICROS;
        let latency = Duration::from_micros(self.now - call.started);
        let (epoch, had_waited) = (call.epoch, call.had_waited);
        self.rule.observe(MilliTime(self.now / 1000), epoch, had_waited, latency);
        let call = &mut self.calls[index];
        call.started = self.now;
        self.start_service();
        self.admit_waiting();
    }

    fn result(&self) -> ModelResult {
        let start = micros(self.phases[0].seconds);
        let end = start + micros(self.phases[1].seconds);
        let middle = self.calls.iter().filter(|call| (start..end).contains(&call.arrived));
        let succeeded: Vec<&ModelCall> = middle.clone().filter(|call| call.succeeded).collect();
        let phase = self.phases[1];
        let capacity = self.server.slots as f64 / (self.server.service_seconds * phase.slow_factor);
        let possible = (capacity * phase.seconds).min(middle.count() as f64);
        let mut latencies = Histogram::<u64>::new_with_bounds(1, DEADLINE_MICROS, 3)
            .expect("the bounds are constants");
        succeeded.iter().for_each(|call| latencies.saturating_record(call.started - call.arrived));
        ModelResult {
            goodput: succeeded.len() as f64 / possible,
            recovery_seconds: self.recovery(end),
            p99_seconds: latencies.value_at_quantile(0.99) as f64 / 1e6,
            limit: self.middle_limit,
        }
    }

    fn recovery(&self, end: u64) -> f64 {
        let windows = micros(self.phases[2].seconds) / RECOVERY_WINDOW_MICROS;
        let is_low = |window: &u64| {
            let start = end + window * RECOVERY_WINDOW_MICROS;
            let span = start..start + RECOVERY_WINDOW_MICROS;
            let calls = self.calls.iter().filter(|call| span.contains(&call.arrived));
            let (mut count, mut succeeded) = (0, 0);
            calls.for_each(|call| {
                count += 1;
                succeeded += usize::from(call.succeeded);
            });
            (succeeded as f64) < f64::from(count) * RECOVERED_FRACTION
        };
        let last = (0..windows).rev().find(is_low);
        last.map_or(0.0, |window| ((window + 1) * RECOVERY_WINDOW_MICROS) as f64 / 1e6)
    }
}
