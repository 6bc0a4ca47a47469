//! Slow start: a server that starts or returns takes less than the load for a while.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::admission_queue::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, RunEnd, WaitOutcome,
};
use lentilway::policy::backend_pace::ColdTerms;
use lentilway::policy::request_rank::RequestRank;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LOAD_PER_SECOND: f64 = 200.0;
const SERVICE_MS: u64 = 20;
/// A refusal or failure takes no work.
const REFUSAL_MS: u64 = 2;

/// A server that returns at time 0, under a load beyond what it takes at first.
struct ReturningServer {
    /// Requests that it takes in a second, by time.
    capacity: fn(u64) -> f64,
    /// Fraction of its requests that it fails, by time.
    failing: fn(u64) -> f64,
}

/// Times of the runs by how they ended.
#[derive(Default)]
struct RunTimes {
    answered: Vec<u64>,
    bad: Vec<u64>,
}

fn count_until(times: &[u64], end: u64) -> usize {
    times.iter().filter(|at| **at < end).count()
}

impl ReturningServer {
    fn run(&self, end: u64, seed: u64) -> RunTimes {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut queue = AdmissionQueue::new(MilliTime(0));
        queue.set_slots(57);
        let pace = queue.pace_mut();
        pace.set_terms(MilliTime(0), Some(ColdTerms::new(15.0, 1.5, 8.0)));
        pace.report(MilliTime(0), Duration::ZERO);
        pace.begin_slow_start(MilliTime(0));
        let mut taken: VecDeque<u64> = VecDeque::new();
        let mut running: BTreeMap<(u64, usize), (u64, RunEnd)> = BTreeMap::new();
        let mut times = RunTimes::default();
        for now in 0..end {
            let at = MilliTime(now);
            if queue.pace().check_wait(at) == Some(Duration::ZERO) {
                queue.pace_mut().begin_check(at);
                queue.pace_mut().end_check(at, Some(Duration::ZERO));
            }
            while running.first_key_value().is_some_and(|((ends, _), _)| *ends <= now) {
                let (_, (begun, run_end)) = running.pop_first().expect("a run ends");
                let elapsed = Duration::from_millis(now - begun);
                queue.finish(at, RequestRank::call(1), elapsed, run_end);
            }
            let mut started = 0;
            if rng.random_bool(LOAD_PER_SECOND / 1_000.0) {
                let deadline = at + Duration::from_millis(600);
                let request =
                    AdmissionRequest { rank: RequestRank::call(1), deadline, due: deadline };
                started += usize::from(queue.offer(at, request) == AdmissionDecision::Run);
            }
            while let Some((_, outcome)) = queue.next(at) {
                started += usize::from(outcome == WaitOutcome::Run);
            }
            queue.take_infeasible(at);
            while taken.front().is_some_and(|at| at + 1_000 <= now) {
                taken.pop_front();
            }
            for _ in 0..started {
                let number = times.answered.len() + times.bad.len();
                let is_taken = (taken.len() as f64) < (self.capacity)(now)
                    && !rng.random_bool((self.failing)(now));
                let (ends, run_end) = match is_taken {
                    true => (now + SERVICE_MS, RunEnd::Answered),
                    false => (now + REFUSAL_MS, RunEnd::Failed),
                };
                running.insert((ends, number), (now, run_end));
                if is_taken {
                    taken.push_back(now);
                    times.answered.push(now);
                } else {
                    times.bad.push(now);
                }
            }
        }
        times
    }
}

/// At full load, a server that takes more and more fails most of its first requests.
#[gtest]
fn replay_takes_more_and_more() {
    let server = ReturningServer {
        capacity: |now| 25.0 * 2.0_f64.powf(now as f64 / 1_500.0),
        failing: |_| 0.0,
    };
    for seed in 0..8 {
        let times = server.run(8_000, seed);
        let (answered, bad) = (times.answered.len(), times.bad.len());
        expect_that!(bad * 5, le(answered), "seed {seed}: {bad} failed, {answered} answered");
        let late = answered - count_until(&times.answered, 6_000);
        expect_that!(late, ge(300), "seed {seed}: 400 offered once the server takes them");
    }
}

/// A server that fails most requests after its return gets few of them, but always some, so that its
/// recovery is noticed.
#[gtest]
fn replay_fails_at_rate() {
    let server = ReturningServer {
        capacity: |_| f64::INFINITY,
        failing: |now| if now < 4_000 { 0.6 } else { 0.0 },
    };
    for seed in 0..8 {
        let times = server.run(8_000, seed);
        let early = count_until(&times.answered, 4_000) + count_until(&times.bad, 4_000);
        expect_that!(early, all![ge(40), le(160)], "seed {seed}: 800 offered");
        let late = times.answered.len() - count_until(&times.answered, 6_000);
        expect_that!(late, ge(360), "seed {seed}: 400 offered after the recovery");
    }
}

/// Deployments without a limit of cold servers see no slow start.
#[gtest]
fn begin_without_terms() {
    let mut queue = AdmissionQueue::new(MilliTime(0));
    queue.pace_mut().begin_slow_start(MilliTime(0));
    expect_that!(queue.pace().rate(MilliTime(0)), none());
    queue.pace_mut().set_terms(MilliTime(0), Some(ColdTerms::UNCONFIGURED));
    queue.pace_mut().report(MilliTime(0), Duration::ZERO);
    queue.pace_mut().begin_slow_start(MilliTime(0));
    expect_that!(queue.pace().rate(MilliTime(0)), none());
    queue.pace_mut().set_terms(MilliTime(0), Some(ColdTerms::new(15.0, 1.5, 8.0)));
    expect_that!(queue.pace().rate(MilliTime(0)), some(eq(15.0)));
}
