//! Retries of refused callers while a service deep in the call graph fails for some seconds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::caller_retry::{RetryDetector, retry_delay};
use lentilway::policy::route_success::{RECOVERY_TIME, RouteSuccess};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DEADLINE: Duration = Duration::from_secs(6);
/// Time in which the deep service refuses most sends.
const FAILURE: std::ops::Range<u64> = 3_000..8_500;
const END_MS: u64 = 16_000;
/// Fraction of the runs that succeed meanwhile.
const SUCCESS_FRACTION: f64 = 0.02;
const SEED: u64 = 3;

/// Behaviour of callers after a failure.
#[derive(Clone, Copy, PartialEq)]
enum CallerKind {
    /// They retry at once: the request may be repeated.
    Retries,
    /// They do not retry: the request has run.
    GivesUp,
}

/// An entry daemon at which a root arrives every ten milliseconds.
struct EntryReplay {
    refuses: bool,
    kind: CallerKind,
    success: RouteSuccess,
    detector: RetryDetector,
    arrivals: BTreeMap<(u64, u64), (Duration, bool)>,
    random: StdRng,
    served: u32,
    offered: u32,
    runs: u32,
}

impl EntryReplay {
    fn replay(refuses: bool, kind: CallerKind) -> Self {
        let first_attempts = (0..END_MS / 10).map(|step| ((step * 10, step), (DEADLINE, true)));
        let mut replay = EntryReplay {
            refuses,
            kind,
            success: RouteSuccess::default(),
            detector: RetryDetector::default(),
            arrivals: first_attempts.collect(),
            random: StdRng::seed_from_u64(SEED),
            served: 0,
            offered: 0,
            runs: 0,
        };
        replay.offered = replay.arrivals.len() as u32;
        while let Some(((at, number), (remaining, may_retry))) = replay.arrivals.pop_first() {
            replay.arrive(at, number, remaining, may_retry);
        }
        replay
    }

    fn arrive(&mut self, at: u64, number: u64, remaining: Duration, may_retry: bool) {
        let (now, route): (MilliTime, Arc<str>) = (MilliTime(at), "refund".into());
        let is_retry = self.detector.is_retry(&route, remaining);
        expect_that!(is_retry, eq(!may_retry && remaining < DEADLINE.mul_f64(0.9)));
        let draw = self.random.random();
        let is_refused = !is_retry && self.success.refuse(now, &route, draw).is_some();
        if self.refuses && is_refused {
            if may_retry {
                let wait = retry_delay(remaining, Some(RECOVERY_TIME), self.random.random());
                let retry_at = at + wait.as_millis() as u64;
                self.arrivals.insert((retry_at, number), (remaining - wait, false));
            }
            return;
        }
        self.runs += 1;
        let succeeds = !FAILURE.contains(&at) || self.random.random_bool(SUCCESS_FRACTION);
        self.success.observe(now, &route, succeeds);
        self.served += u32::from(succeeds);
        if !succeeds && may_retry && self.kind == CallerKind::Retries {
            let elapsed = Duration::from_millis(200);
            let entry = (at + 200, number + 1_000_000);
            self.arrivals.insert(entry, (remaining - elapsed, false));
        }
    }
}

#[gtest]
fn refuse_failing_route_serves_more() {
    for kind in [CallerKind::Retries, CallerKind::GivesUp] {
        let before = EntryReplay::replay(false, kind);
        let after = EntryReplay::replay(true, kind);
        println!("of {}: served {} -> {}", before.offered, before.served, after.served);
        println!("runs {} -> {}", before.runs, after.runs);
        // Callers wait for at most 1.8 s of the 5.5 s, so a third of the failure can be bridged.
        let lost = before.offered - before.served;
        expect_that!(after.served, gt(before.served + lost / 5));
    }
}

#[gtest]
fn refuse_working_route_never() {
    let mut success = RouteSuccess::default();
    let route: Arc<str> = "refund".into();
    for step in 0..2_000_u64 {
        let now = MilliTime(step * 10);
        // One of five servers refuses half of its requests, and a run makes ten.
        success.observe(now, &route, step % 3 == 0);
        expect_that!(success.refuse(now, &route, 0.99), none());
    }
}

#[gtest]
fn retain_drops_removed_routes() {
    let (mut detector, mut success) = (RetryDetector::default(), RouteSuccess::default());
    let route: Arc<str> = "stock".into();
    detector.is_retry(&route, DEADLINE);
    (0..20).for_each(|step| success.observe(MilliTime(step * 20), &route, false));
    detector.retain(|name| name != "stock");
    success.retain(|name| name != "stock");
    expect_that!(detector.is_retry(&route, DEADLINE / 2), eq(false));
    expect_that!(success.refuse(MilliTime(400), &route, 0.99), none());
}

#[gtest]
fn is_retry_by_remaining_time() {
    let mut detector = RetryDetector::default();
    let route: Arc<str> = "stock".into();
    let seconds = Duration::from_secs_f64;
    for (stated, expected) in [(6.0, false), (5.95, false), (5.6, true), (6.0, false), (4.2, true)]
    {
        expect_that!(detector.is_retry(&route, seconds(stated)), eq(expected), "{stated}");
    }
}
