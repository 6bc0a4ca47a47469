//! A store that comes back from a copy of itself, without what it acknowledged since.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use lentilway::sidecar::process::keyed_store::StoreTopic;
use tokio::time::{Instant, sleep};

use super::fleet::{
    BackendBehaviour, KEY, TestDaemon, TestFleet, WITHDRAWN_KEY, config, config_with_routes,
};

/// The configuration bound in the test settings.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// The withdrawal bound in the test settings.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);
/// After this time the links are up and the initial reads are done.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time until a daemon's record that was lost is in the store again.
const REGISTRATION_BOUND: Duration = Duration::from_secs(3);

/// Number of the next heartbeat.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(10);

/// Waits for `span` while the backend servers send heartbeats.
async fn pass_time(fleet: &TestFleet, daemons: &[TestDaemon], span: Duration) {
    let end = Instant::now() + span;
    loop {
        for daemon in daemons {
            fleet.announce(daemon, NEXT_NUMBER.fetch_add(1, Ordering::SeqCst), false).await;
        }
        if Instant::now() >= end {
            return;
        }
        sleep(HEARTBEAT_INTERVAL.min(end - Instant::now())).await;
    }
}

async fn start_all(fleet: &TestFleet, names: &[&str]) -> Vec<TestDaemon> {
    let mut daemons = Vec::new();
    for name in names {
        daemons.push(fleet.start(name, "stock").await);
    }
    for daemon in &daemons {
        fleet.until(daemon, "/read/1", WITHDRAWN_KEY, 200).await;
    }
    pass_time(fleet, &daemons, SETTLE_TIME).await;
    daemons
}

async fn write_versions(fleet: &TestFleet, versions: std::ops::RangeInclusive<u64>) {
    for version in versions {
        fleet.store.write(StoreTopic::Configuration, "config", Some(config(version, true)));
        sleep(Duration::from_millis(200)).await;
    }
}

/// The status of a request with the withdrawn key at each daemon.
async fn withdrawn_statuses(fleet: &TestFleet, daemons: &[TestDaemon]) -> Vec<u16> {
    let mut statuses = Vec::new();
    for daemon in daemons {
        statuses.push(fleet.send(daemon, "/read/1", WITHDRAWN_KEY).await.status);
    }
    statuses
}

/// Issue 28: a version whose position followers knew from before stayed out of force.
#[gtest]
#[tokio::test]
async fn config_in_force_after_restore() {
    let fleet = TestFleet::new();
    let daemons = start_all(&fleet, &["one", "two", "three", "four"]).await;
    write_versions(&fleet, 2..=3).await;
    fleet.store.set_down(true);
    sleep(Duration::from_millis(500)).await;
    fleet.store.restore(1, usize::MAX);
    fleet.store.set_down(false);
    pass_time(&fleet, &daemons, SETTLE_TIME).await;
    write_versions(&fleet, 3..=3).await;
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(4, false)));
    pass_time(&fleet, &daemons, CONFIG_BOUND).await;
    expect_that!(withdrawn_statuses(&fleet, &daemons).await, each(eq(&401)));
}

/// Records whose positions a reader had passed before the return are not missed.
#[gtest]
#[tokio::test]
async fn config_in_force_positions_reached_again() {
    let fleet = TestFleet::new();
    let daemons = start_all(&fleet, &["one", "two", "three"]).await;
    write_versions(&fleet, 2..=3).await;
    fleet.store.set_down(true);
    sleep(Duration::from_millis(500)).await;
    fleet.store.restore(1, usize::MAX);
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(3, true)));
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(4, false)));
    fleet.store.set_down(false);
    pass_time(&fleet, &daemons, CONFIG_BOUND).await;
    expect_that!(withdrawn_statuses(&fleet, &daemons).await, each(eq(&401)));
}

/// Daemons that have not noticed the return do not lead others back: each one reads the store for an
/// availability zone of its own.
#[gtest]
#[tokio::test]
async fn config_in_force_peers_of_earlier_era() {
    let fleet = TestFleet::with_zones();
    let daemons = start_all(&fleet, &["one", "two", "three", "four", "five", "six"]).await;
    write_versions(&fleet, 2..=3).await;
    fleet.store.set_down(true);
    pass_time(&fleet, &daemons, CONFIG_BOUND).await;
    fleet.store.restore(1, usize::MAX);
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(3, true)));
    fleet.store.set_down(false);
    pass_time(&fleet, &daemons, WITHDRAWAL_BOUND).await;
    expect_that!(withdrawn_statuses(&fleet, &daemons).await, each(eq(&200)));
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(4, false)));
    pass_time(&fleet, &daemons, CONFIG_BOUND).await;
    expect_that!(withdrawn_statuses(&fleet, &daemons).await, each(eq(&401)));
}

/// A key that was withdrawn stays withdrawn until the operator has written the version again, also
/// at a daemon that starts meanwhile.
#[gtest]
#[tokio::test]
async fn request_withdrawn_key_after_restore() {
    let fleet = TestFleet::new();
    let mut daemons = start_all(&fleet, &["one", "two", "three"]).await;
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(2, false)));
    for daemon in &daemons {
        fleet.until(daemon, "/read/1", WITHDRAWN_KEY, 401).await;
    }
    fleet.store.restore(1, usize::MAX);
    pass_time(&fleet, &daemons, SETTLE_TIME).await;
    expect_that!(withdrawn_statuses(&fleet, &daemons).await, each(eq(&401)));
    for index in 0..daemons.len() {
        let restarted = fleet.restart(daemons.remove(index)).await;
        daemons.insert(index, restarted);
        for _ in 0..10 {
            let statuses = withdrawn_statuses(&fleet, &daemons).await;
            expect_that!(statuses, each(any![eq(&401), eq(&503)]));
            pass_time(&fleet, &daemons, Duration::from_millis(100)).await;
        }
    }
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(2, false)));
    pass_time(&fleet, &daemons, CONFIG_BOUND).await;
    expect_that!(withdrawn_statuses(&fleet, &daemons).await, each(eq(&401)));
    for daemon in &daemons {
        expect_that!(fleet.send(daemon, "/read/1", KEY).await.status, eq(200));
    }
}

/// A daemon that starts before the operator has written again does not deny a route that was added.
#[gtest]
#[tokio::test]
async fn route_added_after_restore() {
    let fleet = TestFleet::new();
    let mut daemons = start_all(&fleet, &["one", "two"]).await;
    let added = config_with_routes(2, &["read", "added"]);
    fleet.store.write(StoreTopic::Configuration, "config", Some(added));
    for daemon in &daemons {
        fleet.until(daemon, "/added/1", KEY, 200).await;
    }
    fleet.store.restore(1, usize::MAX);
    for index in 0..daemons.len() {
        let restarted = fleet.restart(daemons.remove(index)).await;
        daemons.insert(index, restarted);
        let started = Instant::now();
        while started.elapsed() < SETTLE_TIME {
            let status = fleet.send(&daemons[index], "/added/1", KEY).await.status;
            expect_that!(status, any![eq(200), eq(503)]);
            sleep(Duration::from_millis(5)).await;
        }
        fleet.until(&daemons[index], "/added/1", KEY, 200).await;
    }
}

/// Daemons whose records were lost write them again, and are in use meanwhile.
#[gtest]
#[tokio::test]
async fn registration_written_again_after_restore() {
    let fleet = TestFleet::new();
    let entry = fleet.start("one", "prices").await;
    let kept = fleet.store.count(StoreTopic::Directory);
    let lost = fleet.start("two", "stock").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    sleep(SETTLE_TIME).await;
    fleet.store.restore(usize::MAX, kept);
    let restored = Instant::now();
    while fleet.store.directory_value("two").is_none() {
        expect_that!(fleet.send(&entry, "/read/1", KEY).await.status, eq(200));
        sleep(Duration::from_millis(50)).await;
        if restored.elapsed() > REGISTRATION_BOUND {
            break;
        }
    }
    expect_that!(fleet.store.directory_value("two"), some(anything()));
    for _ in 0..20 {
        expect_that!(fleet.send(&entry, "/read/1", KEY).await.status, eq(200));
        sleep(Duration::from_millis(50)).await;
    }
    expect_that!(lost.backend.arrivals(), gt(20));
}

/// A server that left stays out after its daemon's record of the leave was lost, also if that
/// daemon starts again.
#[gtest]
#[tokio::test]
async fn run_after_leave_restore() {
    let fleet = TestFleet::new();
    let mut leaving = fleet.start("one", "stock").await;
    let entry = fleet.start("two", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    leaving.backend.set_behaviour(BackendBehaviour::Answers(Duration::from_millis(1)));
    let kept = fleet.store.count(StoreTopic::Directory);
    fleet.announce(&leaving, 5, true).await;
    sleep(Duration::from_millis(300)).await;
    fleet.store.restore(usize::MAX, kept);
    let before = leaving.backend.arrivals();
    // Late heartbeats from before the leave arrive at the next process.
    leaving = fleet.restart(leaving).await;
    for number in 3..30 {
        fleet.announce(&leaving, number, false).await;
        fleet.send(&entry, "/read/1", KEY).await;
        sleep(Duration::from_millis(50)).await;
    }
    expect_that!(leaving.backend.arrivals(), eq(before));
}
