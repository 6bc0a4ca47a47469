//! Root admission under a surge on a service deep in the call graph.

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::placement::InstanceLoad;
use lentilway::policy::root_admission::{
    CostList, RootAdmission, RootDecision, RootGroup, SlotCost, add_cost,
};

use super::model::{DeepService, EntryRule, RootKind};

const SLOTS: usize = 72;
const SECONDS: u64 = 20;
const SEED: u64 = 7;

/// Request mix at `load` times the usual: reads that fan out, urgent top-ups, and price reads that
/// run at the deep service itself.
fn kinds(load: f64) -> [RootKind; 3] {
    [
        RootKind {
            name: "read",
            priority: 2,
            per_second: 175.0 * load,
            calls: 8,
            work_ms: 30,
            credit: 1.0,
            due_ms: 1_000,
            deadline_ms: 4_500,
        },
        RootKind {
            name: "top-up",
            priority: 0,
            per_second: 72.0 * load,
            calls: 4,
            work_ms: 30,
            credit: 3.0,
            due_ms: 1_000,
            deadline_ms: 4_500,
        },
        RootKind {
            name: "price",
            priority: 2,
            per_second: 24.0 * load,
            calls: 0,
            work_ms: 96,
            credit: 1.0,
            due_ms: 300,
            deadline_ms: 1_200,
        },
    ]
}

fn offered_credit(load: f64) -> f64 {
    let kinds = kinds(load);
    kinds.iter().map(|kind| kind.per_second * kind.credit * SECONDS as f64).sum()
}

#[gtest]
fn admit_surge_serves_more() {
    let load = 2.3;
    let open = DeepService::new(&kinds(load), EntryRule::Open, SLOTS, SEED).run(SECONDS);
    let admitted = DeepService::new(&kinds(load), EntryRule::Admission, SLOTS, SEED).run(SECONDS);
    println!("offered {:.0}", offered_credit(load));
    println!("served open {:.0}, with admission {:.0}", open.credit, admitted.credit);
    // The optimum of a fluid model is about 0.8 of the offered credit at this load.
    expect_that!(admitted.credit, gt(0.6 * offered_credit(load)));
    expect_that!(admitted.credit, gt(2.0 * open.credit));
}

#[gtest]
fn admit_surge_urgent_first() {
    let result = DeepService::new(&kinds(2.3), EntryRule::Admission, SLOTS, SEED).run(SECONDS);
    expect_that!(result.fraction("top-up"), gt(result.fraction("read")));
    expect_that!(result.fraction("top-up"), gt(0.9));
}

#[gtest]
fn admit_surge_starves_no_group() {
    let result = DeepService::new(&kinds(2.3), EntryRule::Admission, SLOTS, SEED).run(SECONDS);
    expect_that!(result.fraction("price"), gt(0.25));
    expect_that!(result.fraction("read"), gt(0.1));
}

#[gtest]
fn admit_usual_load_refuses_little() {
    let result = DeepService::new(&kinds(1.0), EntryRule::Admission, SLOTS, SEED).run(SECONDS);
    expect_that!(result.credit, gt(0.95 * offered_credit(1.0)));
}

/// After a restart into overload, costs are unknown and no run succeeds from which they could be
/// observed.
#[gtest]
fn admit_restart_into_overload() {
    let load = 4.0;
    let result = DeepService::new(&kinds(load), EntryRule::Restarted, SLOTS, SEED).run(SECONDS);
    let steady = DeepService::new(&kinds(load), EntryRule::Admission, SLOTS, SEED).run(SECONDS);
    expect_that!(result.credit, gt(0.8 * steady.credit));
}

#[gtest]
fn observe_cost_failed_run() {
    let mut admission = RootAdmission::new(MilliTime(0), 0.2);
    let known = RootGroup { route: "free".into(), priority: 2 };
    let costly = RootGroup { route: "costly".into(), priority: 2 };
    let mut costs = CostList::new();
    add_cost(&mut costs, SlotCost { service: "deep".into(), millis: 200.0, calls: 1.0 });
    let mut free = CostList::new();
    add_cost(&mut free, SlotCost { service: "other".into(), millis: 50.0, calls: 1.0 });
    let load = InstanceLoad { slots: 10, demand_permille: 3_000, ..InstanceLoad::default() };
    let mut refused = [0, 0];
    for step in 1..200_u64 {
        let now = MilliTime(step * 25);
        admission.observe_load(now, &"deep".into(), 1, &load);
        for (index, (group, costs)) in [(&known, &free), (&costly, &costs)].iter().enumerate() {
            let decision = admission.admit(now, group, false, 0.5);
            refused[index] += u32::from(matches!(decision, RootDecision::Refuse { .. }));
            admission.observe_cost(&group.route, costs, false);
        }
    }
    expect_that!(refused[0], eq(0));
    expect_that!(refused[1], gt(100));
}
