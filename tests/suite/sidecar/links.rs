//! Links between daemons.

use googletest::prelude::*;

use super::fleet::{KEY, TestFleet};

#[gtest]
#[tokio::test]
async fn call_served_by_peer() {
    let fleet = TestFleet::new();
    let stock = fleet.start("one", "stock").await;
    let other = fleet.start("two", "prices").await;
    fleet.until(&other, "/read/1", KEY, 200).await;
    expect_that!(stock.backend.arrivals(), gt(0));
    expect_that!(other.backend.arrivals(), eq(0));
}

/// The address of an instance that is gone serves another service now; the old record still
/// stands in the directory.
#[gtest]
#[tokio::test]
async fn call_address_used_again() {
    let fleet = TestFleet::new();
    let gone = fleet.start("gone", "stock").await;
    let entry = fleet.start("entry", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    let address = gone.settings.peer_listen;
    let backend = gone.backend;
    let before = backend.arrivals();
    gone.daemon.abort().await;
    let reused = fleet.start_with("new", "delivery", backend, address).await;
    fleet.announce(&reused, 1, false).await;
    fleet.until(&entry, "/read/1", KEY, 503).await;
    for _ in 0..20 {
        expect_that!(fleet.send(&entry, "/read/1", KEY).await.status, eq(503));
    }
    expect_that!(reused.backend.arrivals(), eq(before));
}
