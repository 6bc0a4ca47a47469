//! Keys, organisations and freshness of the configuration.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::sidecar::process::keyed_store::StoreTopic;
use tokio::time::sleep;

use super::fleet::{KEY, TestFleet, WITHDRAWN_KEY, config};

/// The withdrawal bound in the test settings.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);
const PARTIAL_READ_TIME: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const POLLS_MAX: u64 = 400;

#[gtest]
#[tokio::test]
async fn request_served_in_name_of_key() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    let answer = fleet.send(&daemon, "/read/1", KEY).await;
    expect_that!(&answer.body[..], eq(b"whole"));
    expect_that!(answer.headers["x-organisation"], eq("nord"));
    expect_that!(answer.headers["x-leaked"], eq("false"));
}

#[gtest]
#[tokio::test]
async fn request_unknown_key_or_route() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    expect_that!(fleet.send(&daemon, "/read/1", "unknown").await.status, eq(401));
    expect_that!(fleet.send(&daemon, "/none/1", KEY).await.status, eq(404));
}

#[gtest]
#[tokio::test]
async fn request_withdrawn_key() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", WITHDRAWN_KEY, 200).await;
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(2, false)));
    fleet.until(&daemon, "/read/1", WITHDRAWN_KEY, 401).await;
    // An older version is ignored.
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(1, true)));
    sleep(Duration::from_millis(100)).await;
    expect_that!(fleet.send(&daemon, "/read/1", WITHDRAWN_KEY).await.status, eq(401));
    expect_that!(fleet.send(&daemon, "/read/1", KEY).await.status, eq(200));
}

/// Without the store a daemon cannot rule out that a key was withdrawn.
#[gtest]
#[tokio::test]
async fn request_cut_off_daemon() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    fleet.store.set_down(true);
    sleep(WITHDRAWAL_BOUND).await;
    // The backend server keeps sending heartbeats.
    fleet.announce(&daemon, 2, false).await;
    expect_that!(fleet.send(&daemon, "/read/1", KEY).await.status, eq(503));
    expect_that!(fleet.send(&daemon, "/open/1", KEY).await.status, eq(200));
    expect_that!(fleet.ready(&daemon).await, eq(503));
    fleet.store.set_down(false);
    fleet.until(&daemon, "/read/1", KEY, 200).await;
}

/// A configuration that cannot be decoded is ignored, and the previous one stays in force.
#[gtest]
#[tokio::test]
async fn config_unreadable_ignored() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    fleet.store.write(StoreTopic::Configuration, "config", Some(b"{\"version\": 9".to_vec()));
    fleet.store.write(StoreTopic::Configuration, "other", Some(config(9, false)));
    sleep(Duration::from_millis(100)).await;
    expect_that!(fleet.send(&daemon, "/read/1", WITHDRAWN_KEY).await.status, eq(200));
}

/// Review case 2: a read that held the first of several versions alone was taken as proof that none
/// was newer, so that a key that the last one withdraws worked beyond the bound.
#[gtest]
#[tokio::test]
async fn request_withdrawn_key_partial_reads() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", WITHDRAWN_KEY, 200).await;
    fleet.store.set_down(true);
    for version in 2..6 {
        fleet.store.write(StoreTopic::Configuration, "config", Some(config(version, true)));
    }
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(6, false)));
    sleep(WITHDRAWAL_BOUND).await;
    fleet.store.cut_reads(PARTIAL_READ_TIME);
    fleet.store.set_down(false);
    let mut status = 503;
    for number in 2.. {
        // The backend server keeps sending heartbeats.
        fleet.announce(&daemon, number, false).await;
        status = fleet.send(&daemon, "/read/1", WITHDRAWN_KEY).await.status;
        if status != 503 || number > POLLS_MAX {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    expect_that!(status, eq(401));
}
