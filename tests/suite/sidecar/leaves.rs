//! A backend server that says in its answers that it leaves, whatever it announces.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use super::fleet::{BackendBehaviour, KEY, TestDaemon, TestFleet};

const LEAVING: &[(&str, &str)] = &[("server-leaving", "1")];

/// Sends requests until one was answered by the leaving server.
async fn hear_leaving(fleet: &TestFleet, entry: &TestDaemon) {
    while !fleet.send(entry, "/read/1", KEY).await.headers.contains_key(LEAVING[0].0) {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Issue 25: an answer that tells of the leave binds, although heartbeats still say "ready".
#[gtest]
#[tokio::test]
async fn run_after_leaving_answer() {
    let fleet = TestFleet::new();
    let leaving = fleet.start("one", "stock").await;
    let entry = fleet.start("two", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    leaving.backend.state_in_answers(LEAVING);
    hear_leaving(&fleet, &entry).await;
    let before = leaving.backend.arrivals();
    for number in 2..5 {
        fleet.announce(&leaving, number, false).await;
        expect_that!(fleet.send(&entry, "/read/1", KEY).await.status, eq(503));
    }
    expect_that!(leaving.backend.arrivals(), eq(before));
}

/// Requests that wait at the leaving server's daemon go to its peer.
#[gtest]
#[tokio::test]
async fn run_after_leaving_answer_queued() {
    let fleet = TestFleet::new();
    let leaving = fleet.start("one", "stock").await;
    let entry = fleet.start("two", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    leaving.backend.set_behaviour(BackendBehaviour::Answers(Duration::from_millis(400)));
    leaving.backend.state_in_answers(LEAVING);
    let before = leaving.backend.arrivals();
    let requests: Vec<_> =
        (0..12).map(|_| tokio::spawn(fleet.request(&entry, "/read/1", KEY))).collect();
    sleep(Duration::from_millis(200)).await;
    let peer = fleet.start("three", "stock").await;
    fleet.until(&peer, "/read/1", KEY, 200).await;
    for request in requests {
        expect_that!(request.await.expect("the request ends").status, eq(200));
    }
    expect_that!(leaving.backend.arrivals() - before, eq(7), "its slots, and none of the queue");
}

/// The daemon beside the leaving server restarts while the store is down: its senders know.
#[gtest]
#[tokio::test]
async fn run_after_leaving_answer_restart() {
    let fleet = TestFleet::new();
    let leaving = fleet.start("one", "stock").await;
    let entry = fleet.start("two", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    leaving.backend.state_in_answers(LEAVING);
    fleet.store.set_down(true);
    hear_leaving(&fleet, &entry).await;
    let before = leaving.backend.arrivals();
    let leaving = fleet.restart(leaving).await;
    for number in 3..20 {
        fleet.announce(&leaving, number, false).await;
        fleet.send(&entry, "/read/1", KEY).await;
        sleep(Duration::from_millis(50)).await;
    }
    expect_that!(leaving.backend.arrivals(), eq(before));
}
