//! Choice of instances and services for requests.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::moving_average::FailureFraction;
use lentilway::policy::placement::{InstanceLoad, PlacementCandidate, choose_instance};
use lentilway::policy::weighted_split::WeightedSplit;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 24;
const ZONE_PENALTY: Duration = Duration::from_millis(60);

fn candidate(running: u32, service_ms: u32, same_zone: bool) -> PlacementCandidate {
    let load = InstanceLoad {
        slots: SLOTS,
        running,
        service_micros: service_ms * 1_000,
        ..InstanceLoad::default()
    };
    PlacementCandidate {
        load,
        in_flight: 0,
        in_flight_at_report: 0,
        same_zone,
        failed_permille: 0,
        report_age: Duration::ZERO,
    }
}

fn choose(candidates: &[PlacementCandidate]) -> Option<usize> {
    choose_instance(candidates, ZONE_PENALTY, || 0.5)
}

#[gtest]
fn choose_instance_own_zone_with_capacity() {
    expect_that!(choose(&[candidate(0, 30, false), candidate(8, 40, true)]), some(eq(1)));
}

#[gtest]
fn choose_instance_zone_short_of_capacity() {
    let full = PlacementCandidate {
        load: InstanceLoad { waiting: 60, ..candidate(SLOTS, 40, true).load },
        ..candidate(0, 40, true)
    };
    expect_that!(choose(&[full, candidate(4, 40, false)]), some(eq(1)));
}

#[gtest]
fn choose_instance_own_sends_count() {
    let busy = PlacementCandidate { in_flight: 60, ..candidate(0, 40, true) };
    expect_that!(choose(&[busy, candidate(4, 40, true)]), some(eq(1)));
}

#[gtest]
fn choose_instance_failing_avoided() {
    let failing = PlacementCandidate { failed_permille: 400, ..candidate(0, 40, true) };
    expect_that!(choose(&[failing, candidate(12, 40, false)]), some(eq(1)));
}

#[gtest]
fn choose_instance_none_with_slots() {
    let without_slots =
        PlacementCandidate { load: InstanceLoad::default(), ..candidate(0, 40, true) };
    expect_that!(choose(&[without_slots]), none());
}

/// Servers of speeds 0.7, 0.7 and 1.6 must get requests in proportion to their speed, not equally.
#[gtest]
fn choose_instance_replay_speeds() {
    let speeds = [0.7, 0.7, 1.6];
    let mut random = StdRng::seed_from_u64(5);
    let mut ends: Vec<Vec<f64>> = vec![Vec::new(); speeds.len()];
    let mut placed = [0_u32; 3];
    for step in 0..40_000 {
        let now = f64::from(step) / 2_000.0;
        ends.iter_mut().for_each(|ends| ends.retain(|end| *end > now));
        let candidates: Vec<PlacementCandidate> = speeds
            .iter()
            .zip(&ends)
            .map(|(speed, ends)| candidate(ends.len() as u32, (30.0 / speed) as u32, true))
            .collect();
        let chosen = choose_instance(&candidates, ZONE_PENALTY, || random.random())
            .expect("all instances have slots");
        placed[chosen] += 1;
        ends[chosen].push(now + 0.030 / speeds[chosen]);
    }
    expect_that!(placed[2], gt(placed[0] + placed[1]));
    expect_that!(placed[0], gt(4_000));
    // No server gets more requests than its capacity.
    let fastest_capacity = 24.0 * speeds[2] / 0.030 * 20.0;
    expect_that!(f64::from(placed[2]), lt(1.05 * fastest_capacity));
}

/// A server that is avoided for its failures must be tried again after some seconds.
#[gtest]
fn failure_fraction_decays() {
    let mut fraction = FailureFraction::new(MilliTime(0));
    (0..50).for_each(|step| fraction.add(MilliTime(step * 20), true));
    expect_that!(fraction.permille(MilliTime(1_000)), gt(900));
    expect_that!(fraction.permille(MilliTime(12_000)), lt(100));
}

#[gtest]
fn choose_weights_exact() {
    let mut split = WeightedSplit::default();
    let counts = (0..1_000).fold([0, 0, 0], |mut counts, _| {
        counts[split.choose(&"route".into(), &[70, 20, 10])] += 1;
        counts
    });
    expect_that!(counts, eq([700, 200, 100]));
}
