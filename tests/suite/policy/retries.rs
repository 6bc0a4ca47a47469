//! Retries stay within the fleet's bound and go to runs that they complete.

use std::sync::Arc;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::retry_allowance::{RetryAllowance, RetryClaim, RetryTerms};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TERMS: RetryTerms = RetryTerms { per_request: 0.2, slack: 50.0 };
const SERVICE: &str = "tour";
const SEED: u64 = 5;

fn claim(priority: u8, root_hash: u64) -> RetryClaim {
    RetryClaim { priority, root_hash }
}

/// Every request claims a retry while the load falls from 500 to 20 requests a second.
#[gtest]
fn spend_bounded_by_requests() {
    let service: Arc<str> = SERVICE.into();
    let mut allowance = RetryAllowance::new(TERMS);
    let (mut sent, mut spent): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for millis in 0..40_000_u64 {
        let now = MilliTime(millis);
        let every = if millis < 20_000 { 2 } else { 50 };
        if millis % every == 0 {
            sent.push(millis);
            allowance.deposit(now, &service);
            spent.extend(allowance.spend(now, SERVICE, claim(0, 0)).then_some(millis));
        }
    }
    let within = |times: &[u64], from: u64| {
        times.iter().filter(|at| (from..from + 10_000).contains(at)).count() as f64
    };
    for from in (0..30_000).step_by(500) {
        // The larger request count of this window and the one before bounds the retries.
        let requests = within(&sent, from).max(within(&sent, from.saturating_sub(10_000)));
        let bound = requests * TERMS.per_request + TERMS.slack;
        expect_that!(within(&spent, from), le(bound), "from {from}");
    }
    expect_that!(spent.len() as f64, gt(0.1 * sent.len() as f64));
}

/// Runs while a deep service refuses more than half of the sends.
struct RefusedRuns {
    /// Whether the allowance cannot distinguish roots; the baseline.
    is_blind: bool,
    completed: [u32; 2],
    retries: u32,
    sends: u32,
}

/// Calls of a run of each kind; the first kind is more urgent.
const CALLS: [u32; 2] = [10, 5];
const REFUSED_FRACTION: f64 = 0.55;
const ROOTS: u64 = 6_000;

impl RefusedRuns {
    /// Starts a root of each kind every two milliseconds.
    fn replay(is_blind: bool) -> Self {
        let service: Arc<str> = SERVICE.into();
        let mut random = StdRng::seed_from_u64(SEED);
        let mut allowance = RetryAllowance::new(TERMS);
        let mut result = RefusedRuns { is_blind, completed: [0; 2], retries: 0, sends: 0 };
        for root in 0..ROOTS {
            let now = MilliTime(root * 2);
            for kind in 0..CALLS.len() {
                let hash = random.random::<u64>();
                result.run(now, &service, kind, hash, &mut allowance, &mut random);
            }
        }
        result
    }

    fn run(
        &mut self,
        now: MilliTime,
        service: &Arc<str>,
        kind: usize,
        hash: u64,
        allowance: &mut RetryAllowance,
        random: &mut StdRng,
    ) {
        let claim = if self.is_blind { claim(0, 0) } else { claim(kind as u8, hash) };
        for _ in 0..CALLS[kind] {
            allowance.deposit(now, service);
            self.sends += 1;
            while random.random_bool(REFUSED_FRACTION) {
                if !allowance.spend(now, SERVICE, claim) {
                    return;
                }
                self.retries += 1;
            }
        }
        self.completed[kind] += 1;
    }

    /// Credit of completed runs; an urgent root counts three times.
    fn credit(&self) -> u32 {
        3 * self.completed[0] + self.completed[1]
    }
}

#[gtest]
fn spend_refused_runs_complete() {
    let before = RefusedRuns::replay(true);
    let after = RefusedRuns::replay(false);
    println!("credit first come {}, few roots {}", before.credit(), after.credit());
    expect_that!(after.credit(), gt(2 * before.credit()));
    let bound = f64::from(after.sends) * TERMS.per_request + TERMS.slack;
    expect_that!(f64::from(after.retries), le(bound));
}

#[gtest]
fn spend_few_failures_all_granted() {
    let service: Arc<str> = SERVICE.into();
    let mut random = StdRng::seed_from_u64(SEED);
    let mut allowance = RetryAllowance::new(TERMS);
    let (mut claimed, mut granted) = (0, 0);
    for request in 0..20_000_u64 {
        let now = MilliTime(request * 2);
        allowance.deposit(now, &service);
        if random.random_bool(0.09) {
            claimed += 1;
            let priority = random.random_range(0..4);
            granted += u32::from(allowance.spend(now, SERVICE, claim(priority, random.random())));
        }
    }
    expect_that!(f64::from(granted), gt(0.97 * f64::from(claimed)));
}

/// Calls of runs that were themselves retries are charged to the retries.
#[gtest]
fn charge_takes_from_retries() {
    let service: Arc<str> = SERVICE.into();
    let mut allowance = RetryAllowance::new(TERMS);
    let mut granted = 0;
    for request in 0..1_000_u64 {
        let now = MilliTime(request * 2);
        match request % 5 {
            0 => allowance.charge(now, &service),
            _ => allowance.deposit(now, &service),
        }
        granted += u32::from(allowance.spend(now, SERVICE, claim(0, 0)));
    }
    // Four of five requests deposit 0.17 each; the others are charged 0.2 per request on average.
    expect_that!(granted, le(2));
}
