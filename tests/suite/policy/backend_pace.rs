//! Pace of a backend server that is cold, or becomes so at any moment.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::admission_queue::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, RunEnd, WaitOutcome,
};
use lentilway::policy::backend_pace::ColdTerms;
use lentilway::policy::request_rank::RequestRank;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// What a cold server takes, in any second.
const BOUND: usize = 30;
const COLD_MS: u64 = 3_000;
const HEARTBEAT_MS: u64 = 2_000;

fn terms() -> ColdTerms {
    ColdTerms::new(15.0, 1.5, 8.0)
}

/// A load on one server, and when the server is cold.
#[derive(Clone, Debug)]
struct ColdReplay {
    per_second: f64,
    /// Starts of spans in which the server is cold; it is also cold at the start.
    cold_at: Vec<u64>,
    /// Time from the sending of a health check to its answer; `None` if there is no answer.
    check_ms: Option<u64>,
    service_ms: u64,
    seed: u64,
}

/// What the server got.
#[derive(Debug, Default)]
struct ColdResult {
    /// Times of the requests, with whether the server was cold.
    arrivals: Vec<(u64, bool)>,
    checks: usize,
    offered: usize,
}

impl ColdResult {
    /// The most requests in a second at a cold server.
    fn most_cold(&self) -> usize {
        let cold: Vec<u64> =
            self.arrivals.iter().filter(|(_, cold)| *cold).map(|(at, _)| *at).collect();
        let within =
            |start: usize| cold[start..].iter().take_while(|at| **at < cold[start] + 1_000).count();
        (0..cold.len()).map(within).max().unwrap_or(0)
    }

    fn count_between(&self, from: u64, to: u64) -> usize {
        self.arrivals.iter().filter(|(at, _)| (from..to).contains(at)).count()
    }
}

impl ColdReplay {
    fn cold_left(&self, now: u64) -> u64 {
        let starts = std::iter::once(0).chain(self.cold_at.iter().copied());
        let begun = starts.filter(|start| *start <= now);
        begun.map(|start| (start + COLD_MS).saturating_sub(now)).max().unwrap_or(0)
    }

    fn run(&self, end: u64) -> ColdResult {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut queue = AdmissionQueue::new(MilliTime(0));
        queue.set_slots(57);
        queue.pace_mut().set_terms(MilliTime(0), Some(terms()));
        queue.pace_mut().start_incarnation(MilliTime(0));
        let heartbeat_at = rng.random_range(0..HEARTBEAT_MS);
        let mut running = BTreeSet::new();
        let mut answer = None;
        let mut result = ColdResult::default();
        for now in 0..end {
            let at = MilliTime(now);
            let cold_for = Duration::from_millis(self.cold_left(now));
            if now % HEARTBEAT_MS == heartbeat_at {
                queue.pace_mut().report(at, cold_for);
            }
            if queue.pace().check_wait(at) == Some(Duration::ZERO) {
                queue.pace_mut().begin_check(at);
                result.checks += 1;
                let known = self.check_ms.map(|_| cold_for);
                answer = Some((now + self.check_ms.unwrap_or(250), known));
            }
            if let Some((_, known)) = answer.take_if(|(due, _)| *due <= now) {
                queue.pace_mut().end_check(at, known);
            }
            while running.first().is_some_and(|(ends, _)| *ends <= now) {
                running.pop_first();
                let elapsed = Duration::from_millis(self.service_ms);
                queue.finish(at, RequestRank::call(1), elapsed, RunEnd::Answered);
            }
            let mut started = 0;
            if rng.random_bool(self.per_second / 1_000.0) {
                result.offered += 1;
                let deadline = at + Duration::from_millis(1_500);
                let request =
                    AdmissionRequest { rank: RequestRank::call(1), deadline, due: deadline };
                started += usize::from(queue.offer(at, request) == AdmissionDecision::Run);
            }
            while let Some((_, outcome)) = queue.next(at) {
                started += usize::from(outcome == WaitOutcome::Run);
            }
            queue.take_infeasible(at);
            for _ in 0..started {
                running.insert((now + self.service_ms, result.arrivals.len()));
                result.arrivals.push((now, !cold_for.is_zero()));
            }
        }
        result
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// A cold server got 37 requests in a second where 30.5 are allowed; above, it crashes.
    #[test]
    fn replay_cold_at_any_moment_bounded(
        per_second in 1.0..600.0_f64,
        cold_at in proptest::collection::vec(3_500..9_000_u64, 1..4),
        check_ms in 1..80_u64,
        service_ms in 5..120_u64,
        seed: u64,
    ) {
        let replay =
            ColdReplay { per_second, cold_at, check_ms: Some(check_ms), service_ms, seed };
        let result = replay.run(11_000);
        prop_assert!(result.most_cold() <= BOUND, "{} requests in a second", result.most_cold());
    }
}

/// A cold server that is left idle warms up without serving anything; a warm one is not limited.
#[gtest]
fn replay_cold_not_idle() {
    let replay = ColdReplay {
        per_second: 190.0,
        cold_at: vec![6_000],
        check_ms: Some(3),
        service_ms: 20,
        seed: 1,
    };
    let result = replay.run(10_000);
    expect_that!(result.count_between(0, 3_000), all![ge(35), le(50)], "15 per second");
    expect_that!(result.count_between(7_200, 9_000), all![ge(22), le(30)], "15 per second");
    expect_that!(result.count_between(4_000, 6_000), ge(340), "nothing is held back while warm");
    expect_that!(result.checks, le(200), "a check costs a slot");
}

/// Health checks without an answer leave the last known state: a warm server is not limited, a cold
/// one until its time has passed.
#[gtest]
fn replay_checks_unanswered() {
    let replay =
        ColdReplay { per_second: 190.0, cold_at: vec![], check_ms: None, service_ms: 20, seed: 2 };
    let result = replay.run(8_000);
    expect_that!(result.most_cold(), le(BOUND));
    expect_that!(result.count_between(4_000, 8_000), ge(700));
}

/// Without requests there is nothing to bound, and a check would only cost a slot.
#[gtest]
fn check_wait_idle() {
    let mut queue = AdmissionQueue::new(MilliTime(0));
    expect_that!(queue.pace().check_wait(MilliTime(5_000)), none());
    queue.pace_mut().set_terms(MilliTime(0), Some(terms()));
    queue.pace_mut().report(MilliTime(0), Duration::ZERO);
    expect_that!(queue.pace().check_wait(MilliTime(5_000)), none());
}

/// After a restart of the daemon, the former process may have sent all that the bound allows.
#[gtest]
fn wait_former_process() {
    let mut queue = AdmissionQueue::new(MilliTime(0));
    let pace = queue.pace_mut();
    pace.set_terms(MilliTime(0), Some(terms()));
    pace.assume_former(MilliTime(0));
    pace.report(MilliTime(0), Duration::from_secs(3));
    expect_that!(pace.take(MilliTime(1_000)), eq(false));
    expect_that!(pace.take(MilliTime(1_200)), eq(true));
    pace.assume_former(MilliTime(1_300));
    pace.exclude_former();
    expect_that!(pace.take(MilliTime(1_300)), eq(true));
}
