//! Requests that must stay in some regions.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::sidecar::process::keyed_store::StoreTopic;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::fleet::{KEY, TestDaemon, TestFleet, config};

/// After this time a new configuration is in force: the bound of the test settings and a margin.
const CONFIG_BOUND: Duration = Duration::from_millis(2_200);
const ROUNDS: usize = 10;

/// A configuration whose route `read` and whose organisation are restricted to regions.
fn restricted_config(version: u64, route: &[&str], organisation: &[&str]) -> Vec<u8> {
    let mut config: Value = serde_json::from_slice(&config(version, true)).unwrap();
    for entry in config["resources"].as_array_mut().unwrap() {
        if entry["metadata"]["name"] == "read" {
            entry["spec"]["allowed_regions"] = json!(route);
        } else if entry["entry_kind"] == "tenants" {
            entry["spec"]["allowed_regions"] = json!(organisation);
        }
    }
    config.to_string().into_bytes()
}

/// Puts a configuration in force and sends requests through each daemon; returns the statuses and the
/// requests that reached each backend server.
async fn send_restricted(
    fleet: &TestFleet,
    daemons: &[TestDaemon],
    config: Vec<u8>,
) -> (Vec<u16>, Vec<usize>) {
    fleet.store.write(StoreTopic::Configuration, "config", Some(config));
    sleep(CONFIG_BOUND).await;
    let before: Vec<usize> = daemons.iter().map(|daemon| daemon.backend.arrivals()).collect();
    let mut statuses = Vec::new();
    for _ in 0..ROUNDS {
        for daemon in daemons {
            statuses.push(fleet.send(daemon, "/read/1", KEY).await.status);
        }
    }
    statuses.dedup();
    let arrivals = daemons.iter().map(|daemon| daemon.backend.arrivals());
    (statuses, arrivals.zip(before).map(|(after, before)| after - before).collect())
}

/// Guards against a request that reaches a server outside the regions of its route or organisation, and
/// against one that is refused although a server in an allowed region is up.
#[gtest]
#[tokio::test]
async fn request_stays_in_regions() {
    let fleet = TestFleet::with_shared_zones();
    let daemons = [fleet.start("east-1", "stock").await, fleet.start("west-1", "stock").await];
    for daemon in &daemons {
        fleet.until(daemon, "/read/1", KEY, 200).await;
    }
    let sent = ROUNDS * daemons.len();
    let by_route = send_restricted(&fleet, &daemons, restricted_config(2, &["north"], &[])).await;
    expect_that!(by_route, eq(&(vec![200], vec![sent, 0])));
    for daemon in &daemons {
        fleet.announce(daemon, 2, false).await;
    }
    let both = restricted_config(3, &["north", "south"], &["south"]);
    let by_both = send_restricted(&fleet, &daemons, both).await;
    expect_that!(by_both, eq(&(vec![200], vec![0, sent])));
    for daemon in &daemons {
        fleet.announce(daemon, 3, false).await;
    }
    let none = restricted_config(4, &["north"], &["south"]);
    let by_none = send_restricted(&fleet, &daemons, none).await;
    expect_that!(by_none, eq(&(vec![503], vec![0, 0])));
}
