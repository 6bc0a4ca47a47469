//! Choice of upstreams: subsets, load, zones, slow start, outlier ejection, dropped calls.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliClock;
use lentilway::process::members::{InstanceId, MemberRecord, MemberTable, UpstreamMember};
use lentilway::process::routing::subset::{LOCAL_SUBSET_MAX, SUBSET_MAX, UpstreamSubset};
use lentilway::process::routing::{CallOutcome, UpstreamGuard, UpstreamRouter};
use lentilway_lab::fleet::{Fleet, NodePlan, organisation, read_route, ticket};
use lentilway_stand_ins::backend::BackendBehaviour;
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use smallvec::SmallVec;

const SEED: u64 = 7;

fn member(port: u16, zone: &str) -> UpstreamMember {
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    UpstreamMember {
        instance: InstanceId { address, boot: u64::from(port) },
        service: "stock".into(),
        availability_zone: zone.into(),
    }
}

/// A router in zone az1 and one upstream per given zone, with ports from 1.
struct TestRouter {
    router: UpstreamRouter,
    members: Arc<MemberTable>,
    clock: MilliClock,
    service: Arc<str>,
}

impl TestRouter {
    fn new(zones: &[&str]) -> Self {
        let members = Arc::new(MemberTable::default());
        let clock = MilliClock::manual();
        // Default timestamps of zero must lie in the past.
        clock.advance(Duration::from_secs(1000));
        for (port, zone) in (1..).zip(zones) {
            members.apply(MemberRecord::Join(member(port, zone)));
        }
        let router = UpstreamRouter::seeded(members.clone(), "az1".into(), clock.clone(), SEED);
        TestRouter { router, members, clock, service: "stock".into() }
    }

    fn choose(&self) -> UpstreamGuard {
        let tried = SmallVec::new();
        self.router.choose(&self.service, &tried).expect("there are upstreams")
    }

    /// Sends `count` sequential calls with the outcome per port; returns the calls per port.
    fn send(&self, count: usize, outcome: impl Fn(u16) -> CallOutcome) -> BTreeMap<u16, usize> {
        let mut calls = BTreeMap::new();
        for _ in 0..count {
            let guard = self.choose();
            let port = guard.member.instance.address.port();
            guard.release(outcome(port));
            *calls.entry(port).or_default() += 1;
        }
        calls
    }
}

fn answered(_port: u16) -> CallOutcome {
    CallOutcome::Answered
}

/// Subsets are bounded, prefer the own zone, spread over its members and change little when a
/// member leaves.
#[gtest]
fn subset_spreads_and_stays() -> googletest::Result<()> {
    let zones = ["az1", "az2", "az3", "az4"];
    let members: Vec<UpstreamMember> =
        (1..=400).map(|port| member(port, zones[usize::from(port) % zones.len()])).collect();
    let mut uses: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for seed in 0..400 {
        let subset = UpstreamSubset::of(&members, "az1", seed);
        verify_that!(subset.local.len(), eq(LOCAL_SUBSET_MAX))?;
        verify_that!(subset.local.len() + subset.remote.len(), eq(SUBSET_MAX))?;
        for chosen in subset.local {
            *uses.entry(chosen.instance).or_default() += 1;
        }
        let fewer = UpstreamSubset::of(&members[1..], "az1", seed);
        let all = UpstreamSubset::of(&members, "az1", seed);
        let kept = all.remote.iter().filter(|one| fewer.remote.contains(one)).count();
        verify_that!(kept, ge(all.remote.len() - 1))?;
    }
    verify_that!(uses.len(), eq(100))?;
    // 16 of 100 members for each of 400 daemons: 64 on average.
    verify_that!(uses.values().max(), some(le(&100)))
}

/// A call whose guard is dropped, as on cancellation, is no longer counted as in flight.
#[gtest]
fn guard_dropped_released() -> googletest::Result<()> {
    let test = TestRouter::new(&["az1", "az1"]);
    let held: Vec<UpstreamGuard> = (0..20).map(|_| test.choose()).collect();
    let ports: Vec<u16> = held.iter().map(|guard| guard.member.instance.address.port()).collect();
    let first = ports.iter().filter(|port| **port == 1).count();
    verify_that!(first, all![ge(8), le(12)])?;
    let kept: Vec<UpstreamGuard> =
        held.into_iter().filter(|guard| guard.member.instance.address.port() == 2).collect();
    let calls = test.send(200, answered);
    // Two random choices include the idle upstream with probability 3/4.
    verify_that!(calls.get(&1).copied().unwrap_or(0), ge(130))?;
    verify_that!(kept.len(), ge(8))
}

/// The upstream with fewer calls in flight gets the next one.
#[gtest]
fn choose_least_in_flight() -> googletest::Result<()> {
    let test = TestRouter::new(&["az1", "az1", "az1", "az1"]);
    let guards: Vec<UpstreamGuard> = (0..400).map(|_| test.choose()).collect();
    let mut in_flight: BTreeMap<u16, usize> = BTreeMap::new();
    for guard in &guards {
        *in_flight.entry(guard.member.instance.address.port()).or_default() += 1;
    }
    verify_that!(in_flight.values().copied().collect::<Vec<_>>(), each(all![ge(&90), le(&110)]))
}

/// Calls stay in the own zone while it has capacity and spill over when it sheds or fills up.
#[gtest]
fn choose_zone_then_spill() -> googletest::Result<()> {
    let test = TestRouter::new(&["az1", "az1", "az2", "az2"]);
    let local = |calls: &BTreeMap<u16, usize>| -> usize {
        calls.iter().filter(|(port, _)| **port <= 2).map(|(_, count)| count).sum()
    };
    let unloaded = test.send(100, answered);
    verify_that!(local(&unloaded), eq(100))?;
    let shedding = |port| if port <= 2 { CallOutcome::Overloaded } else { CallOutcome::Answered };
    let spilled = test.send(100, shedding);
    verify_that!(local(&spilled), le(20))?;
    test.clock.advance(Duration::from_secs(2));
    let held: Vec<UpstreamGuard> = (0..100).map(|_| test.choose()).collect();
    let filled = held.iter().filter(|guard| guard.member.instance.address.port() > 2).count();
    verify_that!(filled, ge(20))
}

/// The overload observed in the own zone decays, so that the zone is used again.
#[gtest]
fn choose_zone_again() -> googletest::Result<()> {
    let test = TestRouter::new(&["az1", "az2"]);
    test.send(50, |port| if port == 1 { CallOutcome::Overloaded } else { CallOutcome::Answered });
    test.clock.advance(Duration::from_secs(5));
    let calls = test.send(50, answered);
    verify_that!(calls.get(&1).copied().unwrap_or(0), ge(45))
}

/// A new upstream gets a small fraction of the calls at first and its fair share after slow start.
#[gtest]
fn choose_ramps_new_upstream() -> googletest::Result<()> {
    let test = TestRouter::new(&["az1", "az1", "az1"]);
    test.send(100, answered);
    test.members.apply(MemberRecord::Join(member(4, "az1")));
    let cold = test.send(1000, answered);
    verify_that!(cold.get(&4).copied().unwrap_or(0), all![ge(1), le(100)])?;
    test.clock.advance(Duration::from_secs(5));
    let mut warm: BTreeMap<u16, usize> = BTreeMap::new();
    let held: Vec<UpstreamGuard> = (0..400).map(|_| test.choose()).collect();
    for guard in &held {
        *warm.entry(guard.member.instance.address.port()).or_default() += 1;
    }
    verify_that!(warm.get(&4).copied().unwrap_or(0), ge(80))
}

/// Failing upstreams are ejected, up to the bound, and return after the ejection time.
#[gtest]
fn eject_bounded() -> googletest::Result<()> {
    let test = TestRouter::new(&["az1"; 10]);
    let failing = |port| if port <= 3 { CallOutcome::Failed } else { CallOutcome::Answered };
    test.send(400, failing);
    let after = test.send(200, failing);
    verify_that!(after.keys().copied().collect::<Vec<_>>(), each(gt(&3)))?;
    test.clock.advance(Duration::from_secs(60));
    let returned = test.send(400, answered);
    verify_that!(returned.len(), eq(10))?;
    let many = TestRouter::new(&["az1"; 10]);
    let failing = |port| if port <= 5 { CallOutcome::Failed } else { CallOutcome::Answered };
    many.send(1000, failing);
    let used: BTreeSet<u16> = many.send(1000, failing).into_keys().collect();
    verify_that!(used.len(), eq(7))
}

/// A single upstream is never ejected.
#[gtest]
fn eject_never_last() -> googletest::Result<()> {
    let test = TestRouter::new(&["az1"]);
    verify_that!(test.send(100, |_| CallOutcome::Failed).len(), eq(1))
}

/// An upstream that refuses because it is leaving gets no calls for a while.
#[gtest]
fn choose_avoids_unavailable() -> googletest::Result<()> {
    let test = TestRouter::new(&["az1", "az1"]);
    let unavailable =
        |port| if port == 1 { CallOutcome::Unavailable } else { CallOutcome::Answered };
    let calls = test.send(100, unavailable);
    verify_that!(calls.get(&1).copied().unwrap_or(0), le(1))
}

/// Stated health and load do not increase a server's fraction of the calls.
#[tokio::test]
async fn choose_ignores_stated_load() -> googletest::Result<()> {
    let slow_stated_idle = BackendBehaviour {
        healthy: true,
        stated_load: 0.0,
        service_ms: 40.0,
        ..BackendBehaviour::default()
    };
    let fast_stated_busy =
        BackendBehaviour { healthy: false, stated_load: 1.0, ..BackendBehaviour::default() };
    let plans = [
        NodePlan::new("entry", "az1", BackendBehaviour::default()),
        NodePlan::new("stock", "az1", slow_stated_idle),
        NodePlan::new("stock", "az1", fast_stated_busy),
    ];
    let objects =
        [organisation("nord", "key", 1e6, 1e6), read_route("stock-read", "/stock", "stock")];
    let fleet = Fleet::start(&[ticket(1, &objects)], &plans, |_| {}).await.or_fail()?;
    let caller = Caller::default();
    for _ in 0..100 {
        let request = CallerRequest::get("/stock/7", "key");
        let answer = caller.send(fleet.callers()[0], &request).await;
        verify_that!(answer.map_err(std::io::Error::other)?.code, eq(1000))?;
    }
    let slow = fleet.nodes[1].backend.counts().executions;
    verify_that!(slow, lt(50))?;
    fleet.stop().await;
    Ok(())
}
