//! A store that drops records while it is away, so that no daemon can read on from where it stands.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::policy::store_position::{StoreEra, StorePosition};
use lentilway::sidecar::process::keyed_store::{StoreError, StoreTopic};
use tokio::time::{Instant, sleep};

use super::fleet::{TestDaemon, TestFleet, WITHDRAWN_KEY, config};

/// Time after an outage of the store in which daemons regain it.
const CATCH_UP: Duration = Duration::from_secs(4);
/// After this time the links are up and the initial reads are done.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Longer than the freshness proofs that daemons hold for each topic.
const CONFIG_OUTAGE: Duration = Duration::from_millis(4_500);
const DIRECTORY_OUTAGE: Duration = Duration::from_secs(8);
/// The withdrawal bound in the test settings.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Calls to the store by each daemon in the time to catch up, for each of two topics: up to four retries
/// of failed reads, a refused one, its snapshot, and two reads that wait for changes.
const CALLS_MAX: usize = 16;

async fn start_all(fleet: &TestFleet, names: &[&str]) -> Vec<TestDaemon> {
    let mut daemons = Vec::new();
    for name in names {
        daemons.push(fleet.start(name, "stock").await);
    }
    for daemon in &daemons {
        fleet.until(daemon, "/read/1", WITHDRAWN_KEY, 200).await;
    }
    sleep(SETTLE_TIME).await;
    daemons
}

/// The daemons at which the withdrawn key is not refused as such.
async fn behind(fleet: &TestFleet, daemons: &[TestDaemon]) -> usize {
    let mut behind = 0;
    for daemon in daemons {
        let status = fleet.send(daemon, "/read/1", WITHDRAWN_KEY).await.status;
        behind += usize::from(status != 401);
    }
    behind
}

/// Checks that a version written while the store was away, with all before it dropped, is in force at
/// all daemons in time.
async fn check_config_in_force(fleet: TestFleet, names: &[&str]) {
    let daemons = start_all(&fleet, names).await;
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(2, true)));
    sleep(SETTLE_TIME).await;
    fleet.store.set_down(true);
    sleep(CONFIG_OUTAGE).await;
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(3, false)));
    fleet.store.drop_history(StoreTopic::Configuration);
    fleet.store.set_down(false);
    let returned = Instant::now();
    let calls = fleet.store.calls();
    while behind(&fleet, &daemons).await > 0 && returned.elapsed() < CATCH_UP {
        sleep(POLL_INTERVAL).await;
    }
    expect_that!(behind(&fleet, &daemons).await, eq(0));
    sleep(CATCH_UP.saturating_sub(returned.elapsed())).await;
    expect_that!(fleet.store.calls() - calls, le(CALLS_MAX * names.len()));
}

/// Review case 6: daemons gave each other a position back that the store had refused, and none read the
/// configuration again.
#[gtest]
#[tokio::test]
async fn config_in_force_history_dropped_in_outage() {
    check_config_in_force(TestFleet::with_zones(), &["one", "two", "three", "four"]).await;
}

/// The same with one reader for all daemons.
#[gtest]
#[tokio::test]
async fn config_in_force_history_dropped_one_reader() {
    check_config_in_force(TestFleet::new(), &["one", "two", "three", "four"]).await;
}

/// The same with the directory: no daemon goes on to ask for what was dropped.
#[gtest]
#[tokio::test]
async fn directory_read_history_dropped_in_outage() {
    check_directory_read(TestFleet::with_zones()).await;
}

/// The same with one reader: those that ask it hold the dropped position for seconds, and tell it.
#[gtest]
#[tokio::test]
async fn directory_read_history_dropped_one_reader() {
    check_directory_read(TestFleet::new()).await;
}

async fn check_directory_read(fleet: TestFleet) {
    let _daemons = start_all(&fleet, &["one", "two", "three", "four"]).await;
    fleet.store.set_down(true);
    sleep(DIRECTORY_OUTAGE).await;
    fleet.store.write(StoreTopic::Directory, "gone", None);
    fleet.store.drop_history(StoreTopic::Directory);
    fleet.store.set_down(false);
    sleep(CATCH_UP).await;
    let expired = fleet.store.expired();
    sleep(CATCH_UP).await;
    expect_that!(fleet.store.expired() - expired, eq(0));
}

/// Starts four readers, lets the store refuse each read of changes of the configuration with `error`,
/// and returns the fleet and the calls to the store in the time to catch up.
async fn refused_fleet(error: StoreError) -> (TestFleet, Vec<TestDaemon>, usize) {
    let fleet = TestFleet::with_zones();
    let daemons = start_all(&fleet, &["one", "two", "three", "four"]).await;
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(2, true)));
    sleep(SETTLE_TIME).await;
    fleet.store.refuse_changes(StoreTopic::Configuration, Some(error));
    let calls = fleet.store.calls();
    sleep(CATCH_UP).await;
    let calls = fleet.store.calls() - calls;
    (fleet, daemons, calls)
}

/// Checks that a version written now is in force at all daemons in time.
async fn check_next_version(fleet: &TestFleet, daemons: &[TestDaemon]) {
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(3, false)));
    sleep(CATCH_UP).await;
    expect_that!(behind(fleet, daemons).await, eq(0));
}

/// A store that refused each position without naming a first one was read thousands of times a second.
#[gtest]
#[tokio::test]
async fn calls_bounded_refused_without_offset() {
    let (fleet, daemons, calls) = refused_fleet(StoreError::UnknownPosition).await;
    expect_that!(calls, le(CALLS_MAX * daemons.len()));
    check_next_version(&fleet, &daemons).await;
}

/// The same with a first offset past the end of the topic. The store contradicts itself, so that a key
/// that was withdrawn meanwhile must not be served.
#[gtest]
#[tokio::test]
async fn calls_bounded_first_offset_past_end() {
    let first = StorePosition { era: StoreEra(0), offset: 1_000 };
    let (fleet, daemons, calls) = refused_fleet(StoreError::Expired { first }).await;
    expect_that!(calls, le(CALLS_MAX * daemons.len()));
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(3, false)));
    sleep(CATCH_UP).await;
    for daemon in &daemons {
        let status = fleet.send(daemon, "/read/1", WITHDRAWN_KEY).await.status;
        expect_that!(status, any![eq(401), eq(503)]);
    }
    fleet.store.refuse_changes(StoreTopic::Configuration, None);
    sleep(CATCH_UP).await;
    expect_that!(behind(&fleet, &daemons).await, eq(0));
}

/// One odd first offset, past the end of the topic, kept daemons from reading changes for good.
#[gtest]
#[tokio::test]
async fn changes_read_after_odd_first_offset() {
    let first = StorePosition { era: StoreEra(0), offset: 1_000 };
    let (fleet, daemons, _) = refused_fleet(StoreError::Expired { first }).await;
    fleet.store.refuse_changes(StoreTopic::Configuration, None);
    sleep(CATCH_UP).await;
    let (reads, calls) = (fleet.store.reads(), fleet.store.calls());
    sleep(CATCH_UP).await;
    // Reads of changes wait, and no snapshots are read beside them.
    expect_that!(fleet.store.reads() - reads, eq(fleet.store.calls() - calls));
    check_next_version(&fleet, &daemons).await;
}

/// Snapshots from before what the store retains were taken as proof that no newer version was written,
/// and read thousands of times a second.
#[gtest]
#[tokio::test]
async fn snapshot_behind_no_proof() {
    let fleet = TestFleet::with_zones();
    let daemons = start_all(&fleet, &["one", "two", "three", "four"]).await;
    fleet.store.set_down(true);
    sleep(CONFIG_OUTAGE).await;
    fleet.store.hold_snapshots(StoreTopic::Configuration);
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(2, false)));
    fleet.store.drop_history(StoreTopic::Configuration);
    fleet.store.set_down(false);
    let (calls, withdrawn) = (fleet.store.calls(), Instant::now());
    let mut number = 10;
    while withdrawn.elapsed() < WITHDRAWAL_BOUND + CATCH_UP {
        let is_bound = withdrawn.elapsed() > WITHDRAWAL_BOUND;
        for daemon in &daemons {
            number += 1;
            fleet.announce(daemon, number, false).await;
            let status = fleet.send(daemon, "/read/1", WITHDRAWN_KEY).await.status;
            expect_that!(is_bound && status == 200, is_false());
        }
        sleep(10 * POLL_INTERVAL).await;
    }
    expect_that!(fleet.store.calls() - calls, le(3 * CALLS_MAX * daemons.len()));
    fleet.store.release_snapshots();
    sleep(CATCH_UP).await;
    expect_that!(behind(&fleet, &daemons).await, eq(0));
}
