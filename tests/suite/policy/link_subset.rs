//! Subsets of instances that daemons link to, in fleets of several sizes.

use googletest::prelude::*;
use lentilway::policy::link_subset::{SUBSET_ALL_MAX, SubsetMember, choose_subset};

const ZONES: u64 = 5;

/// Instances of a service with one of the daemons of the fleet beside each.
fn instances(count: u64, zone: u64) -> Vec<SubsetMember> {
    let key = |index: u64| index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (0..count)
        .map(|index| SubsetMember { key: key(index), same_zone: index % ZONES == zone })
        .collect()
}

/// How many of `daemons` choose each of `count` instances.
fn choosers(daemons: u64, count: u64) -> Vec<usize> {
    let mut chosen = vec![0; count as usize];
    for daemon in 0..daemons {
        let members = instances(count, daemon % ZONES);
        for index in choose_subset(daemon + 1_000, &members) {
            chosen[index] += 1;
        }
    }
    chosen
}

/// Links grow with the services that are called, not with the fleet.
#[gtest]
fn choose_subset_fleet_of_any_size() {
    for count in [30, 200, 1_000, 13_000] {
        expect_that!(choose_subset(7, &instances(count, 0)).len(), le(SUBSET_ALL_MAX));
    }
}

/// No instance is chosen by far more or far fewer daemons than the others.
#[gtest]
fn choose_subset_even() {
    for (daemons, count) in [(195, 65), (1_000, 38), (1_000, 300)] {
        let chosen = choosers(daemons, count);
        let mean = chosen.iter().sum::<usize>() as f64 / count as f64;
        expect_that!(*chosen.iter().max().unwrap() as f64, lt(2.0 * mean), "{daemons}, {count}");
        expect_that!(*chosen.iter().min().unwrap() as f64, gt(0.4 * mean), "{daemons}, {count}");
    }
}

/// An instance that joins is chosen at once, and replaces at most one other of each daemon.
#[gtest]
fn choose_subset_joiner() {
    for count in [30, 65, 300] {
        let mut choosers = 0;
        for daemon in 0..195 {
            let zone = daemon % ZONES;
            let keys = |count| {
                let members = instances(count, zone);
                let chosen = choose_subset(daemon + 1_000, &members);
                chosen.into_iter().map(|index| members[index].key).collect::<Vec<u64>>()
            };
            let (before, after) = (keys(count), keys(count + 1));
            let gone = before.iter().filter(|key| !after.contains(key)).count();
            expect_that!(gone, le(1));
            let joiner = instances(count + 1, zone)[count as usize].key;
            choosers += usize::from(after.contains(&joiner));
        }
        expect_that!(choosers, ge(195 * 8 / (count as usize + 1) / 4), "{count} instances");
    }
}
