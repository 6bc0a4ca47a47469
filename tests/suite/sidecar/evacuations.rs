//! Evacuation of an availability zone by the operators.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use lentilway::sidecar::process::keyed_store::StoreTopic;
use tokio::time::{Instant, sleep};

use super::fleet::{KEY, TestDaemon, TestFleet};

/// After this time the links are up and the initial reads are done.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// The evacuation bound in the test settings, with a margin for a busy machine.
const EVACUATION_BOUND: Duration = Duration::from_millis(5_500);
const NAMES: [&str; 4] = ["east-1", "east-2", "west-1", "west-2"];
const EAST: std::ops::Range<usize> = 0..2;
const KEY_EAST: &str = "evacuate/east";
const ROUNDS: usize = 5;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Number of the next heartbeat.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(10);

/// Waits for `span` while the backend servers send heartbeats.
async fn pass_time(fleet: &TestFleet, daemons: &[TestDaemon], span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        for daemon in daemons {
            fleet.announce(daemon, NEXT_NUMBER.fetch_add(1, Ordering::SeqCst), false).await;
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn start_all(fleet: &TestFleet) -> Vec<TestDaemon> {
    let mut daemons = Vec::new();
    for name in NAMES {
        daemons.push(fleet.start(name, "stock").await);
    }
    for daemon in &daemons {
        fleet.until(daemon, "/read/1", KEY, 200).await;
    }
    pass_time(fleet, &daemons, SETTLE_TIME).await;
    daemons
}

/// The requests that reached backend servers in the east.
fn east_arrivals(daemons: &[TestDaemon]) -> usize {
    daemons[EAST].iter().map(|daemon| daemon.backend.arrivals()).sum()
}

/// Sends requests through all daemons, which are all answered; returns how many ran in the east.
async fn run_in_east(fleet: &TestFleet, daemons: &[TestDaemon]) -> usize {
    let before = east_arrivals(daemons);
    for _ in 0..ROUNDS {
        for daemon in daemons {
            expect_that!(fleet.send(daemon, "/read/1", KEY).await.status, eq(200));
        }
    }
    east_arrivals(daemons) - before
}

async fn evacuated_zones(fleet: &TestFleet, daemon: &TestDaemon) -> Option<String> {
    let uri = format!("http://{}/metrics", daemon.settings.metrics_listen);
    let request = Request::get(uri).body(Full::default()).unwrap();
    let answer = fleet.client.request(request).await.unwrap();
    let text = answer.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8_lossy(&text);
    let value = text.lines().find_map(|line| line.strip_prefix("lentilway_evacuated_zones "));
    value.map(str::to_owned)
}

/// Guards against requests to an evacuated zone: in calm, from a daemon that restarts while the store
/// is down and can learn of it from other daemons only, and until the record is removed.
#[gtest]
#[tokio::test]
async fn evacuated_zone_gets_nothing() {
    let fleet = TestFleet::with_shared_zones();
    let mut daemons = start_all(&fleet).await;
    expect_that!(run_in_east(&fleet, &daemons).await, gt(0));
    fleet.store.write(StoreTopic::Configuration, KEY_EAST, Some(b"{}".to_vec()));
    pass_time(&fleet, &daemons, EVACUATION_BOUND).await;
    for daemon in &daemons {
        expect_that!(evacuated_zones(&fleet, daemon).await, some(eq("1")));
    }
    expect_that!(run_in_east(&fleet, &daemons).await, eq(0));

    fleet.store.set_down(true);
    let before = east_arrivals(&daemons);
    let restarted = fleet.restart(daemons.remove(0)).await;
    daemons.insert(0, restarted);
    pass_time(&fleet, &daemons, SETTLE_TIME).await;
    fleet.until(&daemons[0], "/read/1", KEY, 200).await;
    expect_that!(run_in_east(&fleet, &daemons).await, eq(0));
    expect_that!(east_arrivals(&daemons), eq(before));
    expect_that!(evacuated_zones(&fleet, &daemons[0]).await, some(eq("1")));

    fleet.store.set_down(false);
    fleet.store.write(StoreTopic::Configuration, KEY_EAST, None);
    let ended = async {
        while run_in_east(&fleet, &daemons).await == 0 {
            pass_time(&fleet, &daemons, SETTLE_TIME).await;
        }
    };
    expect_that!(tokio::time::timeout(3 * EVACUATION_BOUND, ended).await, ok(anything()));
}

/// Guards against a restarted daemon that serves an evacuated zone because its snapshot of the store
/// was taken before the record.
#[gtest]
#[tokio::test]
async fn evacuated_zone_survives_late_snapshot() {
    let fleet = TestFleet::with_shared_zones();
    let mut daemons = start_all(&fleet).await;
    fleet.store.hold_snapshots(StoreTopic::Configuration);
    fleet.store.write(StoreTopic::Configuration, KEY_EAST, Some(b"{}".to_vec()));
    pass_time(&fleet, &daemons, EVACUATION_BOUND).await;
    let restarted = fleet.restart(daemons.remove(0)).await;
    daemons.insert(0, restarted);
    pass_time(&fleet, &daemons, SETTLE_TIME).await;
    fleet.until(&daemons[0], "/read/1", KEY, 200).await;
    pass_time(&fleet, &daemons, SETTLE_TIME).await;
    expect_that!(run_in_east(&fleet, &daemons).await, eq(0));
    expect_that!(evacuated_zones(&fleet, &daemons[0]).await, some(eq("1")));
    fleet.store.release_snapshots();
}
