//! Backend servers that drain and daemons that stop.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use super::fleet::{BackendBehaviour, KEY, TestFleet, wait_until};

const RUN_TIME: Duration = Duration::from_millis(700);

/// After a draining announcement is acknowledged, no request reaches the backend server.
#[gtest]
#[tokio::test]
async fn draining_gets_nothing_new() {
    let fleet = TestFleet::new();
    let leaving = fleet.start("one", "stock").await;
    let staying = fleet.start("two", "stock").await;
    let entry = fleet.start("three", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    wait_until(|| leaving.backend.arrivals() + staying.backend.arrivals() > 0).await;
    fleet.announce(&leaving, 2, true).await;
    let before = leaving.backend.arrivals();
    for _ in 0..50 {
        expect_that!(fleet.send(&entry, "/read/1", KEY).await.status, eq(200));
    }
    expect_that!(leaving.backend.arrivals(), eq(before));
    // A late announcement from before the leave is ignored.
    fleet.announce(&leaving, 1, false).await;
    fleet.send(&leaving, "/read/1", KEY).await;
    expect_that!(leaving.backend.arrivals(), eq(before));
}

/// A stopping daemon receives calls from other daemons until the end; none of them is cut off.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stop_cuts_no_call() {
    let fleet = Arc::new(TestFleet::new());
    let stopping = fleet.start("one", "stock").await;
    let entry = Arc::new(fleet.start("two", "prices").await);
    fleet.until(&entry, "/write/1", KEY, 200).await;
    stopping.backend.set_behaviour(BackendBehaviour::Answers(RUN_TIME));
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let (fleet, entry) = (fleet.clone(), entry.clone());
        callers.spawn(async move {
            let mut statuses = Vec::new();
            for _ in 0..5 {
                statuses.push(fleet.send(&entry, "/write/1", KEY).await.status);
            }
            statuses
        });
    }
    let arrivals = stopping.backend.arrivals();
    wait_until(|| stopping.backend.arrivals() > arrivals).await;
    stopping.daemon.stop().await;
    let statuses: Vec<u16> = callers.join_all().await.concat();
    // Answered, or refused as not run after admission was closed; never with unknown outcome.
    expect_that!(statuses, each(any![eq(&200), eq(&503)]));
    expect_that!(statuses, contains(eq(&200)));
}

#[gtest]
#[tokio::test]
async fn stop_ends_readiness() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    expect_that!(fleet.ready(&daemon).await, eq(200));
    let ready = daemon.settings.ready_listen;
    let stop = tokio::spawn(daemon.daemon.stop());
    let uri = format!("http://{ready}/api/readyz");
    let ask = || hyper::Request::get(&uri).body(http_body_util::Full::default()).unwrap();
    let mut status = 200;
    while status == 200 {
        status = fleet.client.request(ask()).await.unwrap().status().as_u16();
    }
    expect_that!(status, eq(503));
    stop.await.unwrap();
}

/// A daemon that restarts while the store does not answer learns from the others that its backend
/// server has left; a late announcement does not bring it back.
#[gtest]
#[tokio::test]
async fn restart_store_down_server_left() {
    let fleet = TestFleet::new();
    let leaving = fleet.start("one", "stock").await;
    let staying = fleet.start("two", "stock").await;
    fleet.until(&staying, "/read/1", KEY, 200).await;
    fleet.announce(&leaving, 2, true).await;
    // The others learn of the leave.
    sleep(Duration::from_secs(1)).await;
    fleet.store.set_down(true);
    let (backend, address) = (leaving.backend, leaving.settings.peer_listen);
    leaving.daemon.abort().await;
    let restarted = fleet.start_with("one", "stock", backend, address).await;
    let before = restarted.backend.arrivals();
    fleet.announce(&restarted, 1, false).await;
    sleep(Duration::from_secs(2)).await;
    // Only the server that left could run a request now.
    fleet.announce(&staying, 2, true).await;
    for _ in 0..20 {
        expect_that!(fleet.send(&staying, "/open/1", KEY).await.status, eq(503));
    }
    expect_that!(restarted.backend.arrivals(), eq(before));
}
