//! Retries stay within the fleet's bound and go to runs that they complete.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::retry_allowance::{RetryAllowance, RetryClaim, RetryTerms};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TERMS: RetryTerms =
    RetryTerms { per_request: 0.2, slack: 50.0, window: Duration::from_secs(10) };
const SEED: u64 = 5;

fn claim(priority: u8, root_hash: u64) -> RetryClaim {
    RetryClaim { priority, root_hash, is_entitled: false }
}

/// Checks retries against the platform's rule for every window: the requests are those of the
/// window, the one before it or the one half a window before it, whichever has most.
fn expect_within_bound(requests: &[u64], retries: &[u64], end: u64) {
    let within = |times: &[u64], from: u64| {
        times.iter().filter(|at| (from..from + 10_000).contains(at)).count() as f64
    };
    for from in (0..end - 10_000).step_by(500) {
        let counted = [0, 5_000, 10_000].map(|back| within(requests, from.saturating_sub(back)));
        let most = counted.into_iter().fold(0.0, f64::max);
        let bound = most * TERMS.per_request + TERMS.slack;
        expect_that!(within(retries, from), le(bound), "from {from}");
    }
}

/// Every request claims a retry while the load falls from 500 to 20 requests a second.
#[gtest]
fn spend_bounded_by_requests() {
    let mut allowance = RetryAllowance::new(MilliTime(0), TERMS);
    let (mut sent, mut spent): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for millis in 0..40_000_u64 {
        let now = MilliTime(millis);
        let every = if millis < 20_000 { 2 } else { 50 };
        if millis % every == 0 {
            sent.push(millis);
            allowance.count_request(now);
            spent.extend(allowance.spend(now, claim(0, 0)).then_some(millis));
        }
    }
    expect_within_bound(&sent, &spent, 40_000);
    expect_that!(spent.len() as f64, gt(0.1 * sent.len() as f64));
}

/// The requests fall to a seventh when the service fails, and each claims ten retries.
#[gtest]
fn spend_bounded_after_fall() {
    for fall in [12_000, 20_000, 23_700] {
        let mut allowance = RetryAllowance::new(MilliTime(0), TERMS);
        let (mut sent, mut spent): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        for millis in 0..60_000_u64 {
            let now = MilliTime(millis);
            let every = if millis < fall { 2 } else { 14 };
            if millis % every != 0 {
                continue;
            }
            sent.push(millis);
            allowance.count_request(now);
            let claims = if millis < fall { 0 } else { 10 };
            spent.extend((0..claims).filter(|_| allowance.spend(now, claim(0, 0))).map(|_| millis));
        }
        expect_within_bound(&sent, &spent, 60_000);
        let soon = spent.iter().filter(|at| (fall..fall + 8_500).contains(at)).count();
        // Half of what the window before the fall allows is spent while the service fails.
        expect_that!(soon, ge(500), "fall at {fall}");
    }
}

/// Where the retries of a service are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BudgetPlace {
    /// At each of the senders; the baseline.
    Senders(usize),
    /// At each of the instances.
    Instances(usize),
}

/// Runs while a deep service refuses more than half of the sends.
struct RefusedRuns {
    /// Whether the allowance cannot distinguish roots; the baseline.
    is_blind: bool,
    allowances: Vec<RetryAllowance>,
    place: BudgetPlace,
    random: StdRng,
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
    fn replay(is_blind: bool, place: BudgetPlace) -> Self {
        let (BudgetPlace::Senders(count) | BudgetPlace::Instances(count)) = place;
        let mut allowance = RetryAllowance::new(MilliTime(0), TERMS);
        allowance.set_instances(count);
        let mut runs = RefusedRuns {
            is_blind,
            allowances: vec![allowance; count],
            place,
            random: StdRng::seed_from_u64(SEED),
            completed: [0; 2],
            retries: 0,
            sends: 0,
        };
        for root in 0..ROOTS {
            let now = MilliTime(root * 2);
            for kind in 0..CALLS.len() {
                let hash = runs.random.random::<u64>();
                runs.run(now, kind, hash);
            }
        }
        runs
    }

    fn run(&mut self, now: MilliTime, kind: usize, hash: u64) {
        let claim = if self.is_blind { claim(0, 0) } else { claim(kind as u8, hash) };
        for _ in 0..CALLS[kind] {
            let sender = self.random.random_range(0..self.allowances.len());
            self.allowances[sender].count_request(now);
            self.sends += 1;
            while self.random.random_bool(REFUSED_FRACTION) {
                let counted_at = match self.place {
                    BudgetPlace::Senders(_) => sender,
                    BudgetPlace::Instances(count) => self.random.random_range(0..count),
                };
                if !self.allowances[counted_at].spend(now, claim) {
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
    let before = RefusedRuns::replay(true, BudgetPlace::Instances(1));
    let after = RefusedRuns::replay(false, BudgetPlace::Instances(1));
    println!("credit first come {}, few roots {}", before.credit(), after.credit());
    expect_that!(after.credit(), gt(2 * before.credit()));
    let bound = f64::from(after.sends) * TERMS.per_request + TERMS.slack;
    expect_that!(f64::from(after.retries), le(bound));
}

/// A budget in as many parts as there are senders is spent to a smaller part, by runs that then lack
/// a retry elsewhere.
#[gtest]
fn spend_at_instances_completes_more() {
    let before = RefusedRuns::replay(false, BudgetPlace::Senders(195));
    let after = RefusedRuns::replay(false, BudgetPlace::Instances(12));
    println!("credit at 195 senders {}, at 12 instances {}", before.credit(), after.credit());
    expect_that!(f64::from(after.credit()), gt(1.5 * f64::from(before.credit())));
    let bound = f64::from(after.sends) * TERMS.per_request + TERMS.slack;
    expect_that!(f64::from(after.retries), le(bound));
}

#[gtest]
fn spend_few_failures_all_granted() {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut allowance = RetryAllowance::new(MilliTime(0), TERMS);
    let (mut claimed, mut granted) = (0, 0);
    for request in 0..20_000_u64 {
        let now = MilliTime(request * 2);
        allowance.count_request(now);
        if random.random_bool(0.09) {
            claimed += 1;
            let priority = random.random_range(0..4);
            granted += u32::from(allowance.spend(now, claim(priority, random.random())));
        }
    }
    expect_that!(f64::from(granted), gt(0.97 * f64::from(claimed)));
}

/// Calls of runs that were themselves retries are charged to the retries.
#[gtest]
fn charge_takes_from_retries() {
    let terms = RetryTerms { slack: 0.0, ..TERMS };
    let mut allowance = RetryAllowance::new(MilliTime(0), terms);
    let mut granted = 0;
    for request in 0..1_000_u64 {
        let now = MilliTime(request * 2);
        match request % 5 {
            0 => allowance.charge(now),
            _ => allowance.count_request(now),
        }
        granted += u32::from(allowance.spend(now, claim(0, 0)));
    }
    // Four of five requests earn 0.17 each; the others are charged 0.2 per request on average.
    expect_that!(granted, le(2));
}

/// A retry that was not sent is returned.
#[gtest]
fn refund_restores_retry() {
    let mut allowance = RetryAllowance::new(MilliTime(0), TERMS);
    expect_that!(allowance.spend(MilliTime(0), claim(0, 0)), eq(true));
    expect_that!(allowance.spend(MilliTime(0), claim(0, 0)), eq(false));
    allowance.refund();
    expect_that!(allowance.spend(MilliTime(0), claim(0, 0)), eq(true));
}
