//! Organisations that send several times their usual load while a service is short.

use std::sync::Arc;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::fair_share::{FairClaimant, FairShare};
use lentilway::policy::placement::InstanceLoad;
use lentilway::policy::root_admission::{
    CostList, RootAdmission, RootDecision, RootGroup, SlotCost, add_cost,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SERVICE: &str = "stock";
const ENTRIES: usize = 60;
const ORGANISATIONS: usize = 72;
/// Roots that the service runs in a second; each takes a slot for 100 ms.
const CAPACITY: f64 = 1_500.0;
const COST_MS: f32 = 100.0;
const SECONDS: u64 = 10;
/// Seconds in which the entries know the demand.
const COUNTED_FROM_MS: u64 = 2_000;
const REPORT_MS: u64 = 200;

/// Served fractions of the organisations and of all.
struct FairResult {
    offered: Vec<f64>,
    served: Vec<f64>,
}

impl FairResult {
    fn fraction(&self, organisation: usize) -> f64 {
        self.served[organisation] / self.offered[organisation].max(1.0)
    }

    fn total(&self) -> f64 {
        self.served.iter().sum::<f64>() / self.offered.iter().sum::<f64>()
    }

    fn mean(&self, organisations: std::ops::Range<usize>) -> f64 {
        let served: f64 = self.served[organisations.clone()].iter().sum();
        served / self.offered[organisations].iter().sum::<f64>()
    }

    fn summary(&self, first: usize) -> String {
        let (first, others) = (self.mean(0..first), self.mean(first..ORGANISATIONS));
        let (all, least) = (self.total(), self.least());
        format!("first {first:.3}, others {others:.3}, all {all:.3}, least {least:.3}")
    }

    fn least(&self) -> f64 {
        (0..ORGANISATIONS).map(|one| self.fraction(one)).fold(f64::INFINITY, f64::min)
    }
}

/// Entries share only the load reports of the service, here its demand. `loads` are multiples of
/// the usual load by organisation, of which all together need 0.6 of the capacity.
fn replay(loads: &[f64], rates: &[Option<f64>], is_fair: bool, seed: u64) -> FairResult {
    let mut random = StdRng::seed_from_u64(seed);
    let (service, route): (Arc<str>, Arc<str>) = (SERVICE.into(), "read".into());
    let names: Vec<Arc<str>> = (0..ORGANISATIONS).map(|one| format!("org-{one}").into()).collect();
    let mut costs = CostList::new();
    add_cost(&mut costs, SlotCost { service: service.clone(), millis: COST_MS, calls: 1.0 });
    let mut entries: Vec<RootAdmission> =
        (0..ENTRIES).map(|_| RootAdmission::new(MilliTime(0), 0.2)).collect();
    entries.iter_mut().for_each(|entry| entry.observe_cost(&route, &costs, true));
    let usual = 0.6 * CAPACITY / ORGANISATIONS as f64;
    let mut result =
        FairResult { offered: vec![0.0; ORGANISATIONS], served: vec![0.0; ORGANISATIONS] };
    let mut admitted = std::collections::VecDeque::from(vec![0_u32; 200]);
    for millis in 0..SECONDS * 1_000 {
        let now = MilliTime(millis);
        admitted.push_front(0);
        admitted.truncate(200);
        let demand = f64::from(admitted.iter().sum::<u32>()) / 0.2 / CAPACITY;
        let load = InstanceLoad {
            slots: 150,
            demand_permille: (demand * 1_000.0) as u32,
            ..InstanceLoad::default()
        };
        for (number, entry) in entries.iter_mut().enumerate() {
            if (millis + 7 * number as u64).is_multiple_of(REPORT_MS) {
                entry.observe_load(now, &service, 1, &load);
            }
        }
        for (index, name) in names.iter().enumerate() {
            let mut expected = usual * loads[index] / 1_000.0;
            while random.random::<f64>() < expected {
                expected -= 1.0;
                let entry = &mut entries[random.random_range(0..ENTRIES)];
                let group = RootGroup { route: route.clone(), priority: 3 };
                let claimant = FairClaimant { organisation: name, rate: rates[index] };
                let claimant = is_fair.then_some(claimant);
                let decision = entry.admit_for(now, &group, claimant, false, random.random());
                let is_admitted = matches!(decision, RootDecision::Admit { .. });
                admitted[0] += u32::from(is_admitted);
                if millis >= COUNTED_FROM_MS {
                    result.offered[index] += 1.0;
                    result.served[index] += f64::from(u32::from(is_admitted));
                }
            }
        }
    }
    result
}

/// Loads at which the first `heavy` organisations send `factor` times as much as the others.
fn surge(heavy: usize, factor: f64) -> Vec<f64> {
    let load = |one: usize| if one < heavy { 1.6 * factor } else { 1.6 };
    (0..ORGANISATIONS).map(load).collect()
}

/// Guards against a few organisations that push the others aside: eight of 72 at 7.5 times the load
/// of the others take the service to 1.6 times its capacity.
#[gtest]
fn admit_for_heavy_organisations() {
    let rates = vec![Some(20.0); ORGANISATIONS];
    for seed in 0..3 {
        let before = replay(&surge(8, 7.5), &rates, false, seed);
        let after = replay(&surge(8, 7.5), &rates, true, seed);
        let (heavy, others) = (0..8, 8..ORGANISATIONS);
        println!("{} -> {}", before.summary(8), after.summary(8));
        expect_that!(after.mean(others.clone()), gt(0.85), "seed {seed}");
        expect_that!(before.mean(others), lt(0.7), "seed {seed}");
        expect_that!(after.mean(heavy), lt(0.5), "seed {seed}");
        // What the others leave goes to the heavy ones: as much is admitted as before.
        expect_that!(after.total(), ge(before.total() - 0.02), "seed {seed}");
        expect_that!(after.least(), gt(0.25 * after.total()), "seed {seed}");
    }
}

/// Weights are the configured rates: of organisations with equal loads, those with a fourfold rate
/// are admitted more.
#[gtest]
fn admit_for_weights() {
    let rate = |one: usize| if one < 8 { Some(80.0) } else { Some(20.0) };
    let rates: Vec<Option<f64>> = (0..ORGANISATIONS).map(rate).collect();
    for seed in 0..3 {
        let after = replay(&surge(16, 4.0), &rates, true, seed);
        println!("{}, second eight {:.3}", after.summary(8), after.mean(8..16));
        expect_that!(after.mean(0..8), gt(1.3 * after.mean(8..16)), "seed {seed}");
    }
}

/// Organisations of equal loads are served alike, also those without a rate, and as many roots are
/// admitted as without the division.
#[gtest]
fn admit_for_equal_loads() {
    let rate = |one: usize| (!one.is_multiple_of(3)).then_some(20.0);
    let rates: Vec<Option<f64>> = (0..ORGANISATIONS).map(rate).collect();
    for seed in 0..3 {
        let loads = vec![2.2; ORGANISATIONS];
        let before = replay(&loads, &rates, false, seed);
        let after = replay(&loads, &rates, true, seed);
        println!("{} -> {}", before.summary(24), after.summary(24));
        expect_that!(after.total(), near(before.total(), 0.02), "seed {seed}");
        expect_that!(after.least(), gt(0.85 * after.total()), "seed {seed}");
    }
}

/// Guards against a sketch that grows with the organisations, and against heavy organisations that
/// many light ones push out of it.
#[gtest]
fn admit_many_light_organisations() {
    let mut share = FairShare::new(MilliTime(0));
    let heavy: Arc<str> = "heavy".into();
    let mut last = [0.0; 2];
    for step in 0..20_000_u64 {
        let is_heavy = step % 2 == 0;
        let light: Arc<str> = format!("light-{}", step % 4_999).into();
        let organisation = if is_heavy { &heavy } else { &light };
        let claimant = FairClaimant { organisation, rate: None };
        last[usize::from(is_heavy)] = share.admit(MilliTime(step), claimant, 10.0, 0.5);
    }
    expect_that!(share.tracked(), le(96));
    expect_that!(last[1], lt(0.3));
    expect_that!(last[0], gt(0.6));
}
