//! A reader of a store that refuses each position from which it reads on.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::policy::read_backoff::ReadBackoff;
use lentilway::policy::read_schedule::ReaderRank;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ANSWER_TIME: Duration = Duration::from_millis(4);
const SPAN: Duration = Duration::from_secs(60);
/// A refused read and a snapshot for each of the shortest delays, and those of the first second.
const CALLS_MAX: usize = 2 * (60_000 / 450) + 20;

/// Refusals that each followed a good snapshot were repeated without any delay.
#[gtest]
fn record_refusal_each_position_refused() {
    for has_reader in [false, true] {
        let rank = ReaderRank { before: usize::from(has_reader), has_reader };
        let mut random = StdRng::seed_from_u64(45);
        let mut backoff = ReadBackoff::default();
        let (mut elapsed, mut calls) = (Duration::ZERO, 0);
        while elapsed < SPAN {
            elapsed += ANSWER_TIME + backoff.record_refusal(rank, random.random()) + ANSWER_TIME;
            backoff.record_snapshot();
            calls += 2;
        }
        expect_that!(calls, le(CALLS_MAX));
    }
}

/// Each loss of history costs one snapshot at once, however many there were before.
#[gtest]
fn record_refusal_after_changes() {
    let rank = ReaderRank { before: 0, has_reader: false };
    let mut backoff = ReadBackoff::default();
    for _ in 0..20 {
        for _ in 0..6 {
            backoff.record_failure(rank, 0.5);
        }
        expect_that!(backoff.record_refusal(rank, 0.5), eq(Duration::ZERO));
        expect_that!(backoff.is_failing(), is_true());
        backoff.record_snapshot();
        expect_that!(backoff.is_failing(), is_false());
        backoff.record_changes();
    }
}
