//! Rates over all daemons: kept under every load, and not refused below it.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::evidence::{ConfigEvidence, proven_at};
use lentilway::policy::retry_allowance::{RETRIES_PER_REQUEST, RetryAllowance, SAVED_RETRIES_MAX};
use lentilway::policy::return_time::return_after;
use lentilway::policy::token_share::{RateTerms, TokenShare};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DAEMONS: usize = 14;
const TERMS: RateTerms = RateTerms { per_second: 38.0, burst: 38.0 };
const EXCHANGE_EVERY_MS: u64 = 200;

/// Daemons that share a rate; the first is the pool.
struct TokenFleet {
    shares: Vec<TokenShare>,
    admitted: Vec<u64>,
    refused: u32,
}

impl TokenFleet {
    fn new() -> Self {
        let now = MilliTime(0);
        let mut shares: Vec<TokenShare> =
            (0..DAEMONS).map(|_| TokenShare::new(now, TERMS)).collect();
        for (index, share) in shares.iter_mut().enumerate() {
            share.set_terms(now, TERMS, DAEMONS, true, index == 0);
        }
        TokenFleet { shares, admitted: Vec::new(), refused: 0 }
    }

    fn exchange(&mut self, now: MilliTime) {
        for index in 1..DAEMONS {
            if let Some(surplus) = self.shares[index].take_surplus(now) {
                self.shares[0].receive(now, surplus);
            } else if let Some(wanted) = self.shares[index].wanted_by_demand(now) {
                self.lend(now, index, wanted);
            }
        }
    }

    fn lend(&mut self, now: MilliTime, index: usize, wanted: f64) {
        let lent = self.shares[0].lend(now, wanted);
        self.shares[index].receive(now, lent);
    }

    fn request(&mut self, now: MilliTime, index: usize) {
        let mut is_admitted = self.shares[index].take(now);
        if !is_admitted {
            if let Some(wanted) = self.shares[index].wanted(now) {
                self.lend(now, index, wanted);
            }
            is_admitted = self.shares[index].retake(now);
        }
        match is_admitted {
            true => self.admitted.push(now.0),
            false => self.refused += 1,
        }
    }

    /// Sends `per_second` requests, most of them through a few daemons.
    fn run(&mut self, from_ms: u64, until_ms: u64, per_second: f64, random: &mut StdRng) {
        for millis in from_ms..until_ms {
            let now = MilliTime(millis);
            if millis % EXCHANGE_EVERY_MS == 0 {
                self.exchange(now);
            }
            if random.random_bool((per_second / 1_000.0).min(1.0)) {
                let skewed = random.random::<f64>().powi(2) * DAEMONS as f64;
                self.request(now, (skewed as usize).min(DAEMONS - 1));
            }
        }
    }

    /// The most that any window of `span_ms` admitted.
    fn most_in(&self, span_ms: u64) -> usize {
        let ends = self.admitted.iter().enumerate();
        let counts = ends.map(|(index, end)| {
            let before = self.admitted[..=index].iter().rev();
            before.take_while(|at| **at + span_ms > *end).count()
        });
        counts.max().unwrap_or(0)
    }
}

#[gtest]
fn take_hot_organisation_bounded() {
    let mut fleet = TokenFleet::new();
    let mut random = StdRng::seed_from_u64(11);
    fleet.run(0, 20_000, TERMS.per_second * 8.0, &mut random);
    for seconds in [1, 5, 10] {
        let bound = TERMS.per_second * seconds as f64 + TERMS.burst;
        expect_that!(fleet.most_in(seconds * 1_000) as f64, le(bound));
    }
    // What the organisation may use it gets, beside the start from nothing.
    expect_that!(fleet.admitted.len() as f64, gt(0.9 * 20.0 * TERMS.per_second));
}

#[gtest]
fn take_usual_demand_not_refused() {
    let mut fleet = TokenFleet::new();
    let mut random = StdRng::seed_from_u64(12);
    fleet.run(0, 3_000, 1.0, &mut random);
    fleet.refused = 0;
    fleet.run(3_000, 23_000, TERMS.per_second / 1.6, &mut random);
    expect_that!(f64::from(fleet.refused), lt(0.01 * 20.0 * TERMS.per_second / 1.6));
}

/// Idle daemons give what they mint to the pool, above their reserve too.
#[gtest]
fn take_surplus_idle() {
    let mut share = TokenShare::new(MilliTime(0), TERMS);
    share.set_terms(MilliTime(0), TERMS, DAEMONS, true, false);
    let ticks = (1..=100).map(|tick| share.take_surplus(MilliTime(tick * EXCHANGE_EVERY_MS)));
    let given: f64 = ticks.flatten().sum();
    expect_that!(given, gt(0.9 * 20.0 * TERMS.per_second / DAEMONS as f64));
}

/// A borrower keeps what its demand needs, though it is more than its part of the burst.
#[gtest]
fn receive_loan_above_part_of_burst() {
    let mut share = TokenShare::new(MilliTime(0), TERMS);
    share.set_terms(MilliTime(0), TERMS, DAEMONS, false, false);
    for step in 0..20 {
        share.take(MilliTime(step * 50));
    }
    let wanted = share.wanted(MilliTime(1_000)).expect("demand needs tokens");
    share.receive(MilliTime(1_000), wanted);
    expect_that!(share.tokens(), near(wanted, 0.01));
    expect_that!(wanted, gt(3.0));
}

/// A request that lacks a small part of a token asks for it.
#[gtest]
fn wanted_part_of_a_token() {
    let mut share = TokenShare::new(MilliTime(0), TERMS);
    share.set_terms(MilliTime(0), TERMS, DAEMONS, false, false);
    share.receive(MilliTime(0), 0.9);
    expect_that!(share.take(MilliTime(1)), eq(false));
    expect_that!(share.wanted(MilliTime(1)), some(gt(0.09)));
}

#[gtest]
fn set_terms_lowered_clips() {
    let mut share = TokenShare::new(MilliTime(0), TERMS);
    share.set_terms(MilliTime(0), TERMS, 1, true, true);
    share.retake(MilliTime(10_000));
    let low = RateTerms { per_second: 2.0, burst: 2.0 };
    share.set_terms(MilliTime(10_000), low, 1, true, true);
    expect_that!(share.tokens(), le(3.0));
}

#[gtest]
fn mint_not_a_member_yet() {
    let mut share = TokenShare::new(MilliTime(0), TERMS);
    share.set_terms(MilliTime(0), TERMS, DAEMONS, false, false);
    expect_that!(share.take(MilliTime(60_000)), eq(false));
}

/// Views that are refreshed by empty reads of 4 s stay younger than 6 s.
#[gtest]
fn proven_at_empty_wait() {
    let wait = Duration::from_secs(4);
    let mut evidence = ConfigEvidence::default();
    let mut asked = MilliTime(0);
    evidence.prove(asked);
    for _ in 0..5 {
        let answered = asked + wait;
        expect_that!(evidence.is_fresh(answered, Duration::from_secs(6)), eq(true));
        evidence.prove(proven_at(asked, true, wait));
        asked = answered + Duration::from_millis(5);
    }
}

#[gtest]
fn prove_older_ignored() {
    let mut evidence = ConfigEvidence::default();
    evidence.prove(MilliTime(5_000));
    evidence.prove(MilliTime(1_000));
    expect_that!(evidence.age(MilliTime(6_000)), some(eq(Duration::from_secs(1))));
}

#[gtest]
fn spend_bounded_by_requests() {
    let mut allowance = RetryAllowance::default();
    let service = "stock".into();
    let spent = (0..10_000).filter(|_| {
        allowance.earn(&service);
        allowance.spend("stock")
    });
    let bound = 10_000.0 * RETRIES_PER_REQUEST + SAVED_RETRIES_MAX;
    expect_that!(spent.count() as f64, le(bound));
}

#[gtest]
fn return_after_within_third() {
    let remaining = Duration::from_millis(900);
    for draw in [0.0, 0.5, 1.0] {
        let wait = return_after(remaining, Some(Duration::from_secs(9)), draw);
        expect_that!(wait, le(remaining / 3));
    }
}
