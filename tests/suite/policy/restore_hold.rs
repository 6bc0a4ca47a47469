//! Reads of a store that came back from a copy of itself.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::restore_hold::{EraEvidence, REWRITE_TIME, RestoreHold};
use lentilway::policy::store_position::StoreEra;

const START: MilliTime = MilliTime(10_000);
const NOTHING: EraEvidence = EraEvidence { is_confirmed: false, has_rewrite: false };
const CONFIRMED: EraEvidence = EraEvidence { is_confirmed: true, has_rewrite: false };
const REWRITE: EraEvidence = EraEvidence { is_confirmed: false, has_rewrite: true };

fn trusting(era: u64) -> RestoreHold {
    let mut hold = RestoreHold::default();
    assert!(hold.observe(START, StoreEra(era), CONFIRMED));
    hold
}

/// Of a store in its usual state every read is a proof, from the first one of a process on.
#[gtest]
fn observe_confirmed_era() {
    let mut hold = trusting(1);
    expect_that!(hold.observe(START, StoreEra(1), NOTHING), eq(true));
    expect_that!(hold.witnessed_era(START), some(eq(StoreEra(1))));
    expect_that!(hold.remaining(START), eq(Duration::ZERO));
}

/// A daemon that starts after the return proves nothing until the operator could have written.
#[gtest]
fn observe_start_in_new_era() {
    let mut hold = RestoreHold::default();
    let before_end = START + (REWRITE_TIME - Duration::from_millis(1));
    for at in [START, before_end] {
        expect_that!(hold.observe(at, StoreEra(2), NOTHING), eq(false));
        expect_that!(hold.witnessed_era(at), none());
    }
    expect_that!(hold.remaining(before_end), eq(Duration::from_millis(1)));
    expect_that!(hold.observe(START + REWRITE_TIME, StoreEra(2), NOTHING), eq(true));
}

/// What a running daemon knew before is evidence for others, although its reads prove nothing yet.
#[gtest]
fn observe_return_while_running() {
    let mut hold = trusting(1);
    expect_that!(hold.observe(START, StoreEra(2), NOTHING), eq(false));
    expect_that!(hold.witnessed_era(START), some(eq(StoreEra(2))));
    expect_that!(hold.observe(START, StoreEra(2), REWRITE), eq(true));
    expect_that!(hold.observe(START, StoreEra(2), NOTHING), eq(true));
}

/// An answer that was given before the return arrives after it.
#[gtest]
fn observe_late_answer() {
    let mut hold = trusting(1);
    hold.observe(START, StoreEra(3), NOTHING);
    for evidence in [NOTHING, CONFIRMED, REWRITE] {
        expect_that!(hold.observe(START + REWRITE_TIME, StoreEra(2), evidence), eq(false));
    }
    expect_that!(hold.newest_era(), some(eq(StoreEra(3))));
}

/// Each return holds anew, also one within the hold of another.
#[gtest]
fn observe_two_returns() {
    let mut hold = trusting(1);
    hold.observe(START, StoreEra(2), NOTHING);
    let later = START + REWRITE_TIME / 2;
    expect_that!(hold.observe(later, StoreEra(3), NOTHING), eq(false));
    expect_that!(hold.remaining(later), eq(REWRITE_TIME));
    expect_that!(hold.observe(START + REWRITE_TIME, StoreEra(3), NOTHING), eq(false));
    expect_that!(hold.observe(later + REWRITE_TIME, StoreEra(3), NOTHING), eq(true));
}
