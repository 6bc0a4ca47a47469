//! Callers that are asked to come back, while a deep service fails for some seconds.

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
/// The deep service refuses most sends in this time.
const FAILURE: std::ops::Range<u64> = 3_000..8_500;
const END_MS: u64 = 16_000;
/// Part of the runs that succeed meanwhile.
const LUCKY_PART: f64 = 0.02;
const SEED: u64 = 3;

/// What callers do after a failure.
#[derive(Clone, Copy, PartialEq)]
enum CallerKind {
    /// They come back at once: the request may be repeated.
    Repeats,
    /// They do not: the request has run.
    GivesUp,
}

/// Roots that arrive every ten milliseconds at an entry.
struct EntryReplay {
    refuses: bool,
    kind: CallerKind,
    success: RouteSuccess,
    signs: RetryDetector,
    arrivals: BTreeMap<(u64, u64), (Duration, bool)>,
    random: StdRng,
    served: u32,
    offered: u32,
    runs: u32,
}

impl EntryReplay {
    fn play(refuses: bool, kind: CallerKind) -> Self {
        let firsts = (0..END_MS / 10).map(|step| ((step * 10, step), (DEADLINE, true)));
        let mut replay = EntryReplay {
            refuses,
            kind,
            success: RouteSuccess::default(),
            signs: RetryDetector::default(),
            arrivals: firsts.collect(),
            random: StdRng::seed_from_u64(SEED),
            served: 0,
            offered: 0,
            runs: 0,
        };
        replay.offered = replay.arrivals.len() as u32;
        while let Some(((at, number), (remaining, may_return))) = replay.arrivals.pop_first() {
            replay.arrive(at, number, remaining, may_return);
        }
        replay
    }

    fn arrive(&mut self, at: u64, number: u64, remaining: Duration, may_return: bool) {
        let (now, route): (MilliTime, Arc<str>) = (MilliTime(at), "refund".into());
        let is_return = self.signs.is_retry(&route, remaining);
        expect_that!(is_return, eq(!may_return && remaining < DEADLINE.mul_f64(0.9)));
        let draw = self.random.random();
        let is_refused = !is_return && self.success.refuse(now, &route, draw).is_some();
        if self.refuses && is_refused {
            if may_return {
                let wait = retry_delay(remaining, Some(RECOVERY_TIME), self.random.random());
                let back = at + wait.as_millis() as u64;
                self.arrivals.insert((back, number), (remaining - wait, false));
            }
            return;
        }
        self.runs += 1;
        let succeeds = !FAILURE.contains(&at) || self.random.random_bool(LUCKY_PART);
        self.success.observe(now, &route, succeeds);
        self.served += u32::from(succeeds);
        if !succeeds && may_return && self.kind == CallerKind::Repeats {
            let elapsed = Duration::from_millis(200);
            let entry = (at + 200, number + 1_000_000);
            self.arrivals.insert(entry, (remaining - elapsed, false));
        }
    }
}

#[gtest]
fn refuse_failing_route_serves_more() {
    for kind in [CallerKind::Repeats, CallerKind::GivesUp] {
        let before = EntryReplay::play(false, kind);
        let after = EntryReplay::play(true, kind);
        println!("of {}: served {} -> {}", before.offered, before.served, after.served);
        println!("runs {} -> {}", before.runs, after.runs);
        // Callers wait for 1.8 s of the 5.5 s: a third of the failure is bridged at the best.
        let lost = before.offered - before.served;
        expect_that!(after.served, gt(before.served + lost / 5));
    }
}

#[gtest]
fn refuse_sound_route_never() {
    let mut success = RouteSuccess::default();
    let route: Arc<str> = "refund".into();
    for step in 0..2_000_u64 {
        let now = MilliTime(step * 10);
        // One of five servers refuses half of its requests, and a run needs ten.
        success.observe(now, &route, step % 3 == 0);
        expect_that!(success.refuse(now, &route, 0.99), none());
    }
}

#[gtest]
fn retain_forgets_removed_routes() {
    let (mut signs, mut success) = (RetryDetector::default(), RouteSuccess::default());
    let route: Arc<str> = "stock".into();
    signs.is_retry(&route, DEADLINE);
    (0..20).for_each(|step| success.observe(MilliTime(step * 20), &route, false));
    signs.retain(|name| name != "stock");
    success.retain(|name| name != "stock");
    expect_that!(signs.is_retry(&route, DEADLINE / 2), eq(false));
    expect_that!(success.refuse(MilliTime(400), &route, 0.99), none());
}

#[gtest]
fn is_return_by_remaining_time() {
    let mut signs = RetryDetector::default();
    let route: Arc<str> = "stock".into();
    let seconds = Duration::from_secs_f64;
    for (stated, expected) in [(6.0, false), (5.95, false), (5.6, true), (6.0, false), (4.2, true)]
    {
        expect_that!(signs.is_retry(&route, seconds(stated)), eq(expected), "{stated}");
    }
}
