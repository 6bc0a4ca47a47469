//! Rates over all daemons: enforced under every load, without refusals below the rate.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::caller_retry::retry_delay;
use lentilway::policy::freshness::{FreshnessProof, proven_at};
use lentilway::policy::token_share::{RateTerms, RateWindow, TokenShare};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DAEMONS: usize = 14;
/// Enforcement window of rates.
const WINDOW: RateWindow = RateWindow { span: Duration::from_secs(5), slack: 20.0, overage: 0.1 };
/// A small organisation, of which each daemon refills one token in five seconds.
const SMALL: RateTerms = RateTerms { per_second: 13.0, burst: 13.0 };
const MANY_DAEMONS: usize = 66;
const TERMS: RateTerms = RateTerms { per_second: 38.0, burst: 38.0 };
const EXCHANGE_INTERVAL_MS: u64 = 200;

/// Daemons that refill a rate.
const HOSTS: usize = 16;

/// Daemons that share a rate; the first of the hosts is the pool.
struct TokenFleet {
    shares: Vec<TokenShare>,
    admitted: Vec<u64>,
    refused: u32,
}

impl TokenFleet {
    fn new() -> Self {
        TokenFleet::with_terms(TERMS, DAEMONS)
    }

    fn with_terms(terms: RateTerms, daemons: usize) -> Self {
        let now = MilliTime(0);
        let mut shares = vec![TokenShare::new(now, terms); daemons];
        for (index, share) in shares.iter_mut().enumerate() {
            share.set_terms(now, terms, daemons.min(HOSTS), index < HOSTS, index == 0);
        }
        TokenFleet { shares, admitted: Vec::new(), refused: 0 }
    }

    /// Replaces all processes.
    fn restart(&mut self, now: MilliTime, terms: RateTerms, random: &mut StdRng) {
        let (spread, daemons) = (terms.spread_over(WINDOW), self.shares.len());
        for (index, share) in self.shares.iter_mut().enumerate() {
            *share = TokenShare::new(now, spread);
            share.set_terms(now, spread, daemons.min(HOSTS), index < HOSTS, index == 0);
            let granted = if index == 0 { terms.start_grant(WINDOW) } else { 0.0 };
            if index < HOSTS {
                share.start(granted, random.random());
            }
        }
    }

    fn exchange(&mut self, now: MilliTime) {
        for index in 1..self.shares.len() {
            if let Some(surplus) = self.shares[index].take_surplus(now) {
                self.shares[0].receive(now, surplus);
            } else if let Some(shortage) = self.shares[index].expected_shortage(now) {
                self.lend(now, index, shortage);
            }
        }
    }

    fn lend(&mut self, now: MilliTime, index: usize, shortage: f64) {
        let lent = self.shares[0].lend(now, shortage);
        self.shares[index].receive(now, lent);
    }

    fn request(&mut self, now: MilliTime, index: usize) {
        let mut is_admitted = self.shares[index].take(now);
        if !is_admitted {
            if let Some(shortage) = self.shares[index].shortage(now) {
                self.lend(now, index, shortage);
            }
            is_admitted = self.shares[index].take_uncounted(now);
        }
        match is_admitted {
            true => self.admitted.push(now.0),
            false => self.refused += 1,
        }
    }

    /// Sends `per_second` requests a second, most of them to a few daemons.
    fn run(&mut self, from_ms: u64, until_ms: u64, per_second: f64, random: &mut StdRng) {
        for millis in from_ms..until_ms {
            let now = MilliTime(millis);
            if millis % EXCHANGE_INTERVAL_MS == 0 {
                self.exchange(now);
            }
            if random.random_bool((per_second / 1_000.0).min(1.0)) {
                let daemons = self.shares.len();
                let skewed = random.random::<f64>().powi(2) * daemons as f64;
                self.request(now, (skewed as usize).min(daemons - 1));
            }
        }
    }

    /// As [`TokenFleet::run`], but the requests that get a token return it.
    fn run_refunded(&mut self, from_ms: u64, until_ms: u64, per_second: f64, random: &mut StdRng) {
        for millis in from_ms..until_ms {
            let now = MilliTime(millis);
            if millis % EXCHANGE_INTERVAL_MS == 0 {
                self.exchange(now);
            }
            if random.random_bool((per_second / 1_000.0).min(1.0)) {
                let index = random.random_range(0..self.shares.len());
                let admitted = self.admitted.len();
                self.request(now, index);
                if self.admitted.len() > admitted {
                    self.admitted.pop();
                    self.shares[index].refund(now);
                }
            }
        }
    }

    /// Largest number of admissions in any window of `span_ms`.
    fn max_in(&self, span_ms: u64) -> usize {
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
        expect_that!(fleet.max_in(seconds * 1_000) as f64, le(bound));
    }
    // Apart from the start with empty buckets, the organisation gets its whole rate.
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

/// Fraction of the requests that are refused in 18 s of a surge to `per_second`.
fn refused_in_surge(terms: RateTerms, daemons: usize, per_second: f64) -> f64 {
    let mut fleet = TokenFleet::with_terms(terms, daemons);
    let mut random = StdRng::seed_from_u64(13);
    fleet.run(0, 5_000, per_second * 0.5, &mut random);
    fleet.refused = 0;
    let admitted = fleet.admitted.len();
    fleet.run(5_000, 23_000, per_second, &mut random);
    let refused = f64::from(fleet.refused);
    refused / (refused + (fleet.admitted.len() - admitted) as f64)
}

/// Demand above the rate, but within rate and burst of every window, which allow 1.2 times the
/// rate.
#[gtest]
fn spread_over_surge_refuses_less() {
    for (terms, daemons) in [(TERMS, DAEMONS), (SMALL, MANY_DAEMONS)] {
        let surge = terms.per_second * 1.1;
        let before = refused_in_surge(terms, daemons, surge);
        let after = refused_in_surge(terms.spread_over(WINDOW), daemons, surge);
        println!("refused with a stock of the burst {before:.3}, with the burst spread {after:.3}");
        expect_that!(after, lt(0.02));
        expect_that!(before, gt(2.0 * after));
    }
}

/// Daemons with a small refill transfer it to the pool continuously, and the pool can hold it.
#[gtest]
fn take_small_organisation_not_refused() {
    let refused = refused_in_surge(SMALL, MANY_DAEMONS, SMALL.per_second / 1.2);
    expect_that!(refused, lt(0.01));
}

#[gtest]
fn spread_over_hot_organisation_bounded() {
    for (terms, daemons) in [(TERMS, DAEMONS), (SMALL, MANY_DAEMONS)] {
        let mut fleet = TokenFleet::with_terms(terms.spread_over(WINDOW), daemons);
        let mut random = StdRng::seed_from_u64(11);
        fleet.run(0, 5_000, terms.per_second * 0.2, &mut random);
        fleet.run(5_000, 25_000, terms.per_second * 8.0, &mut random);
        let bound = terms.per_second * WINDOW.span.as_secs_f64() + terms.burst + WINDOW.slack;
        expect_that!(fleet.max_in(WINDOW.span.as_millis() as u64) as f64, le(bound));
    }
}

/// Requests that take a token and are refused for another reason: the fleet does not save tokens
/// for them beyond what a window allows.
#[gtest]
fn refund_while_service_full_bounded() {
    for (per_second, daemons) in [(20.0, 6), (38.0, 14), (13.0, 66), (69.0, 195)] {
        let terms = RateTerms { per_second, burst: per_second };
        let mut fleet = TokenFleet::with_terms(terms.spread_over(WINDOW), daemons);
        let mut random = StdRng::seed_from_u64(17);
        fleet.run_refunded(0, 8_000, per_second * 8.0, &mut random);
        fleet.run(8_000, 20_000, per_second * 8.0, &mut random);
        let whole = per_second * 5.0 + per_second;
        let bound = whole * (1.0 + WINDOW.overage) + WINDOW.slack;
        expect_that!(
            fleet.max_in(5_000) as f64,
            le(bound),
            "{per_second}/s over {daemons} daemons"
        );
    }
}

/// An organisation of few requests per second, far fewer than there are daemons, gets its rate.
#[gtest]
fn take_far_fewer_requests_than_daemons() {
    for (per_second, daemons) in [(5.0, 195), (13.0, 66), (5.0, 1_000)] {
        let terms = RateTerms { per_second, burst: per_second }.spread_over(WINDOW);
        let refused = refused_in_surge(terms, daemons, per_second / 1.05);
        expect_that!(refused, lt(0.02), "{per_second}/s over {daemons} daemons");
    }
}

/// Fraction of the requests that are refused in the first two seconds after all daemons restarted.
fn refused_after_restart(terms: RateTerms, daemons: usize, has_start: bool) -> f64 {
    let spread = terms.spread_over(WINDOW);
    let (mut refused, mut asked) = (0, 0);
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = TokenFleet::with_terms(spread, daemons);
        for index in 0..if has_start { daemons.min(HOSTS) } else { 0 } {
            let granted = if index == 0 { terms.start_grant(WINDOW) } else { 0.0 };
            fleet.shares[index].start(granted, random.random());
        }
        // Callers return together: twice the usual demand.
        fleet.run(0, 2_000, terms.per_second / 1.6 * 2.0, &mut random);
        refused += fleet.refused;
        asked += fleet.refused + fleet.admitted.len() as u32;
    }
    f64::from(refused) / f64::from(asked)
}

/// After a loss of all daemons, the callers that return are within what their organisation may send.
#[gtest]
fn start_after_loss_of_all() {
    for (per_second, daemons) in [(5.0, 25), (5.0, 195), (13.0, 195), (40.0, 195)] {
        let terms = RateTerms { per_second, burst: per_second };
        let before = refused_after_restart(terms, daemons, false);
        let after = refused_after_restart(terms, daemons, true);
        println!("{per_second}/s over {daemons}: refused {before:.3}, with a start {after:.3}");
        expect_that!(after, lt(0.3 * before), "{per_second}/s over {daemons}");
    }
}

/// An organisation at many times its rate while all daemons restart, twice within a window.
#[gtest]
fn start_hot_organisation_bounded() {
    for (per_second, daemons) in [(5.0, 195), (13.0, 66), (69.0, 195), (38.0, 14)] {
        let terms = RateTerms { per_second, burst: per_second };
        for seed in 0..10 {
            let mut random = StdRng::seed_from_u64(seed);
            let mut fleet = TokenFleet::with_terms(terms.spread_over(WINDOW), daemons);
            fleet.run(0, 8_000, per_second * 0.3, &mut random);
            let mut now = 8_000;
            for until in [9_000, 11_500, 20_000] {
                fleet.run(now, until, per_second * 8.0, &mut random);
                // The processes are gone for half a second.
                now = until + 500;
                fleet.restart(MilliTime(now), terms, &mut random);
            }
            let whole = per_second * 5.0 + per_second;
            let bound = whole * (1.0 + WINDOW.overage) + WINDOW.slack;
            expect_that!(fleet.max_in(5_000) as f64, le(bound), "{per_second}/s, seed {seed}");
        }
    }
}

/// A fraction of a token admits no request at the borrower and would be missing at the pool.
#[gtest]
fn lend_whole_tokens() {
    let mut pool = TokenShare::new(MilliTime(0), TERMS);
    pool.set_terms(MilliTime(0), TERMS, DAEMONS, false, true);
    pool.receive(MilliTime(0), 1.6);
    expect_that!(pool.lend(MilliTime(1), 4.0), eq(1.0));
    expect_that!(pool.lend(MilliTime(2), 0.9), eq(0.0));
    expect_that!(pool.lend(MilliTime(3), 0.5), eq(0.5));
}

/// Idle daemons transfer their refill above the reserve to the pool.
#[gtest]
fn take_surplus_idle() {
    let mut share = TokenShare::new(MilliTime(0), TERMS);
    share.set_terms(MilliTime(0), TERMS, DAEMONS, true, false);
    let ticks = (1..=100).map(|tick| share.take_surplus(MilliTime(tick * EXCHANGE_INTERVAL_MS)));
    let given: f64 = ticks.flatten().sum();
    expect_that!(given, gt(0.9 * 20.0 * TERMS.per_second / DAEMONS as f64));
}

/// A borrower keeps the tokens that its demand needs, even beyond its share of the burst.
#[gtest]
fn receive_loan_above_share_of_burst() {
    let mut share = TokenShare::new(MilliTime(0), TERMS);
    share.set_terms(MilliTime(0), TERMS, DAEMONS, false, false);
    for step in 0..20 {
        share.take(MilliTime(step * 50));
    }
    let shortage = share.shortage(MilliTime(1_000)).expect("demand needs tokens");
    share.receive(MilliTime(1_000), shortage);
    expect_that!(share.tokens(), near(shortage, 0.01));
    expect_that!(shortage, gt(3.0));
}

/// Terms are set with every exchange; unchanged terms must not drop a borrower's tokens.
#[gtest]
fn set_terms_unchanged_keeps_loan() {
    let mut share = TokenShare::new(MilliTime(0), TERMS);
    share.set_terms(MilliTime(0), TERMS, DAEMONS, false, false);
    for step in 0..20 {
        share.take(MilliTime(step * 50));
    }
    share.receive(MilliTime(1_000), 4.0);
    share.set_terms(MilliTime(1_000), TERMS, DAEMONS, false, false);
    expect_that!(share.tokens(), near(4.0, 0.01));
}

/// A daemon that lacks a small fraction of a token for a request borrows it.
#[gtest]
fn shortage_fraction_of_a_token() {
    let mut share = TokenShare::new(MilliTime(0), TERMS);
    share.set_terms(MilliTime(0), TERMS, DAEMONS, false, false);
    share.receive(MilliTime(0), 0.9);
    expect_that!(share.take(MilliTime(1)), eq(false));
    expect_that!(share.shortage(MilliTime(1)), some(gt(0.09)));
}

#[gtest]
fn set_terms_lowered_clips() {
    let mut share = TokenShare::new(MilliTime(0), TERMS);
    share.set_terms(MilliTime(0), TERMS, 1, true, true);
    share.take_uncounted(MilliTime(10_000));
    let low = RateTerms { per_second: 2.0, burst: 2.0 };
    share.set_terms(MilliTime(10_000), low, 1, true, true);
    expect_that!(share.tokens(), le(3.0));
}

#[gtest]
fn refill_not_a_member_yet() {
    let mut share = TokenShare::new(MilliTime(0), TERMS);
    share.set_terms(MilliTime(0), TERMS, DAEMONS, false, false);
    expect_that!(share.take(MilliTime(60_000)), eq(false));
}

/// Proofs that are renewed by empty reads of 4 s stay younger than 6 s.
#[gtest]
fn proven_at_empty_wait() {
    let wait = Duration::from_secs(4);
    let mut proof = FreshnessProof::default();
    let mut asked = MilliTime(0);
    proof.prove(asked);
    for _ in 0..5 {
        let answered = asked + wait;
        expect_that!(proof.is_fresh(answered, Duration::from_secs(6)), eq(true));
        proof.prove(proven_at(asked, true, wait));
        asked = answered + Duration::from_millis(5);
    }
}

#[gtest]
fn prove_older_ignored() {
    let mut proof = FreshnessProof::default();
    proof.prove(MilliTime(5_000));
    proof.prove(MilliTime(1_000));
    expect_that!(proof.age(MilliTime(6_000)), some(eq(Duration::from_secs(1))));
}

#[gtest]
fn retry_delay_within_third() {
    let remaining = Duration::from_millis(900);
    for draw in [0.0, 0.5, 1.0] {
        let wait = retry_delay(remaining, Some(Duration::from_secs(9)), draw);
        expect_that!(wait, le(remaining / 3));
    }
}
