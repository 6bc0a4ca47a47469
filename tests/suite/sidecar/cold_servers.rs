//! A backend server that is cold gets a bounded number of requests from all daemons together.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::sidecar::process::keyed_store::StoreTopic;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::fleet::{KEY, TestDaemon, TestFleet, config_with_warm_up};

const COLD_PER_SECOND: f64 = 15.0;
/// 15 x 1.5 + 8 in any second.
const BOUND: usize = 30;
const SECOND: Duration = Duration::from_secs(1);
const HEALTH_PATH: &str = "/health";
const INSTANCE: &str = "x-lentilway-instance-id";
const COLD_MILLIS: &str = "x-lentilway-cold-ms";

/// A fleet whose service `stock` has a limit of cold servers.
fn fleet(health_path: Option<&str>) -> TestFleet {
    let fleet = TestFleet::new();
    let config = config_with_warm_up(2, COLD_PER_SECOND, health_path);
    fleet.store.write(StoreTopic::Configuration, "config", Some(config));
    fleet
}

/// Sends a request to one of the entries every 5 ms for `span`; how many were answered with 200.
async fn flood(fleet: &TestFleet, entries: &[&TestDaemon], span: Duration) -> usize {
    let end = Instant::now() + span;
    let mut requests = JoinSet::new();
    for entry in entries.iter().cycle() {
        if Instant::now() >= end {
            break;
        }
        requests.spawn(fleet.request(entry, "/read/1", KEY));
        sleep(Duration::from_millis(5)).await;
    }
    requests.join_all().await.iter().filter(|answer| answer.status == 200).count()
}

/// A repeated heartbeat that says that the server has become cold was ignored.
#[gtest]
#[tokio::test]
async fn run_cold_by_later_heartbeat() {
    let fleet = fleet(None);
    let cold = fleet.start("one", "stock").await;
    let entry = fleet.start("two", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    fleet.announce_cold(&cold, 2, Duration::from_secs(4)).await;
    let since = Instant::now();
    let served = flood(&fleet, &[&entry], Duration::from_secs(3)).await;
    let most = cold.backend.most_arrivals_within(SECOND, since);
    expect_that!(most, all![ge(8), le(BOUND)]);
    expect_that!(served, ge(20), "the server takes 15 per second");
}

/// A server that becomes cold between two heartbeats got all requests until the next one.
#[gtest]
#[tokio::test]
async fn run_cold_by_health_check() {
    let fleet = fleet(Some(HEALTH_PATH));
    let cold = fleet.start("one", "stock").await;
    let entry = fleet.start("two", "prices").await;
    cold.backend.state_in_answers(&[(INSTANCE, "i-one"), (COLD_MILLIS, "0")]);
    fleet.until(&entry, "/read/1", KEY, 200).await;
    let entries = [&entry];
    // The slow start.
    flood(&fleet, &entries, 2 * SECOND).await;
    let warm = cold.backend.arrivals();
    flood(&fleet, &entries, SECOND).await;
    expect_that!(cold.backend.arrivals() - warm, ge(100), "a warm server is not limited");
    let (_, since) = tokio::join!(flood(&fleet, &entries, 2 * SECOND), async {
        sleep(Duration::from_millis(300)).await;
        cold.backend.state_in_answers(&[(INSTANCE, "i-one"), (COLD_MILLIS, "3000")]);
        Instant::now()
    });
    let most = cold.backend.most_arrivals_within(SECOND, since);
    expect_that!(most, le(BOUND));
}

/// A restarted daemon knows neither what the former process has just sent nor, until the first
/// heartbeat, that the server is cold.
#[gtest]
#[tokio::test]
async fn run_cold_through_restart() {
    let fleet = fleet(Some(HEALTH_PATH));
    let cold = fleet.start("one", "stock").await;
    let first = fleet.start("two", "prices").await;
    let second = fleet.start("three", "prices").await;
    let entries = [&first, &second];
    cold.backend.state_in_answers(&[(INSTANCE, "i-one"), (COLD_MILLIS, "4000")]);
    fleet.announce_cold(&cold, 2, 4 * SECOND).await;
    let since = Instant::now();
    let restarts = async {
        sleep(Duration::from_millis(1_500)).await;
        let restarted = fleet.restart_silent(cold).await;
        fleet.announce_cold(&restarted, 3, Duration::from_millis(2_500)).await;
        restarted
    };
    let (_, restarted) = tokio::join!(flood(&fleet, &entries, 4 * SECOND), restarts);
    let most = restarted.backend.most_arrivals_within(SECOND, since);
    expect_that!(most, all![ge(8), le(BOUND)]);
}
