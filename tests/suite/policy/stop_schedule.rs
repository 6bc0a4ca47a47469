//! Which requests a stopping daemon takes.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::stop_schedule::StopSchedule;

const STARTED: MilliTime = MilliTime(10_000);

fn schedule(bound_s: u64) -> StopSchedule {
    StopSchedule::new(STARTED, Duration::from_secs(bound_s))
}

/// Whether a request is taken that arrives after `at` and ends after `deadline`, both since the stop.
fn takes(bound_s: u64, at: u64, deadline: u64) -> bool {
    let after = |millis| STARTED + Duration::from_millis(millis);
    schedule(bound_s).takes(after(at), after(deadline))
}

/// Callers are told to switch at once and do so within two probes, a second apart.
#[gtest]
fn take_all_until_callers_switch() {
    expect_that!(takes(6, 2_300, 20_000), eq(true));
    expect_that!(takes(10, 2_400, 20_000), eq(true));
}

/// A request that is cut off is excused if it came up to 3 s after the signal, which may be handled
/// half a second late.
#[gtest]
fn take_nothing_unexcused() {
    for bound_s in [6, 10, 20] {
        expect_that!(takes(bound_s, 2_500, 30_000), eq(false), "{bound_s} s");
    }
}

#[gtest]
fn take_what_ends_in_time() {
    expect_that!(takes(6, 3_000, 5_100), eq(true));
    expect_that!(takes(6, 3_000, 5_101), eq(false));
    expect_that!(takes(10, 6_000, 9_000), eq(true));
}

/// The process is killed at the bound; it ends before that, and after five sixths of it.
#[gtest]
fn end_before_kill() {
    for bound_s in [5, 6, 10] {
        let (bound, end) = (Duration::from_secs(bound_s), schedule(bound_s).end());
        expect_that!(end.since(STARTED), gt(bound.mul_f64(5.0 / 6.0)));
        expect_that!(end, lt(STARTED + bound));
    }
}
