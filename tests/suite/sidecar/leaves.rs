//! Backend servers that leave: that say so in their answers, whatever they announce, and whose leave
//! must outlast a restart of the daemon.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use lentilway::clock::wall_time;
use lentilway::sidecar::process::keyed_store::StoreTopic;

use super::fleet::{BackendBehaviour, KEY, TestDaemon, TestFleet, wait_until};

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

/// The number of a heartbeat that the server sent before it left and that arrives late.
const LATE_NUMBER: u64 = 2;
/// Requests that would reach a server that is in use again.
const REQUESTS: usize = 20;

/// A fleet in which the server beside the first daemon is the only one for requests at the second.
async fn start_pair(fleet: &TestFleet) -> (TestDaemon, TestDaemon) {
    let leaving = fleet.start("one", "stock").await;
    let entry = fleet.start("two", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    (leaving, entry)
}

/// Has a heartbeat from before the leave arrive, and expects that no request reaches the server.
async fn expect_unused(fleet: &TestFleet, leaving: &TestDaemon, entry: &TestDaemon) {
    let before = leaving.backend.arrivals();
    fleet.announce(leaving, LATE_NUMBER, false).await;
    for _ in 0..REQUESTS {
        expect_that!(fleet.send(entry, "/read/1", KEY).await.status, eq(503));
        sleep(Duration::from_millis(20)).await;
    }
    expect_that!(leaving.backend.arrivals(), eq(before));
}

/// Review 1: a leave that is the first message after a restart was acknowledged and forgotten.
#[gtest]
#[tokio::test]
async fn restart_leave_first() {
    let fleet = TestFleet::new();
    let (leaving, entry) = start_pair(&fleet).await;
    let leaving = fleet.restart_silent(leaving).await;
    expect_that!(fleet.leave(&leaving).await, eq(200));
    expect_unused(&fleet, &leaving, &entry).await;
}

/// A heartbeat that waits for the directory must not undo the leave that overtakes it.
#[gtest]
#[tokio::test]
async fn restart_leave_overtakes_heartbeat() {
    let fleet = TestFleet::new();
    let (leaving, entry) = start_pair(&fleet).await;
    fleet.store.set_down(true);
    let leaving = fleet.restart_silent(leaving).await;
    let waiting = fleet.announce(&leaving, LATE_NUMBER, false);
    let leave = async {
        sleep(Duration::from_millis(50)).await;
        fleet.leave(&leaving).await
    };
    tokio::join!(waiting, leave);
    fleet.store.set_down(false);
    fleet.until(&leaving, "/missing/1", KEY, 404).await;
    expect_unused(&fleet, &leaving, &entry).await;
}

/// The daemon is killed again after it acknowledged a leave of a server that it never heard of.
#[gtest]
#[tokio::test]
async fn restart_twice_leave_between() {
    let fleet = TestFleet::new();
    let (leaving, entry) = start_pair(&fleet).await;
    let leaving = fleet.restart_silent(leaving).await;
    expect_that!(fleet.leave(&leaving).await, eq(200));
    let leaving = fleet.restart_silent(leaving).await;
    expect_unused(&fleet, &leaving, &entry).await;
}

/// A leave was acknowledged that nobody else knew, so that a kill would have undone it.
#[gtest]
#[tokio::test]
async fn leave_unrecorded_not_acknowledged() {
    let fleet = TestFleet::new();
    let alone = fleet.start("one", "stock").await;
    fleet.until(&alone, "/read/1", KEY, 200).await;
    fleet.store.set_down(true);
    expect_that!(fleet.announce_born(&alone, 1, 2, "draining").await, eq(503));
    expect_that!(fleet.send(&alone, "/read/1", KEY).await.status, eq(503), "it counts at once");
    fleet.store.set_down(false);
    let acknowledged = async {
        while fleet.announce_born(&alone, 1, 3, "draining").await != 200 {
            sleep(Duration::from_millis(50)).await;
        }
    };
    let limit = Duration::from_secs(5);
    tokio::time::timeout(limit, acknowledged).await.expect("the leave is recorded in time");
    let alone = fleet.restart_silent(alone).await;
    fleet.until(&alone, "/read/1", KEY, 503).await;
    expect_unused(&fleet, &alone, &alone).await;
}

/// While the store is down, another daemon holds an acknowledged leave.
#[gtest]
#[tokio::test]
async fn leave_held_by_peer_store_down() {
    let fleet = TestFleet::new();
    let (leaving, entry) = start_pair(&fleet).await;
    fleet.store.set_down(true);
    expect_that!(fleet.announce_born(&leaving, 1, 3, "draining").await, eq(200));
    let leaving = fleet.restart_silent(leaving).await;
    fleet.announce(&leaving, LATE_NUMBER, false).await;
    // By then the other daemon has linked to the new process.
    sleep(Duration::from_secs(2)).await;
    expect_unused(&fleet, &leaving, &entry).await;
}

/// The store comes back from a copy that lacks an acknowledged leave, before others have read it.
#[gtest]
#[tokio::test]
async fn leave_record_lost_by_store() {
    let fleet = TestFleet::new();
    let (leaving, entry) = start_pair(&fleet).await;
    let leaving = fleet.restart_silent(leaving).await;
    // The others read it, and pause before their next read.
    let other = fleet.store.directory_value("two");
    fleet.store.write(StoreTopic::Directory, "two", other);
    sleep(Duration::from_millis(50)).await;
    let (versions, entries) = [StoreTopic::Configuration, StoreTopic::Directory]
        .map(|topic| fleet.store.count(topic))
        .into();
    expect_that!(fleet.leave(&leaving).await, eq(200));
    let TestDaemon { daemon, settings, backend, .. } = leaving;
    daemon.abort().await;
    fleet.store.restore(versions, entries);
    let leaving = fleet.start_with("one", "stock", backend, settings.peer_listen).await;
    fleet.until(&leaving, "/missing/1", KEY, 404).await;
    expect_unused(&fleet, &leaving, &entry).await;
}

/// A planned stop removed the record of a leave while the server was still there.
#[gtest]
#[tokio::test]
async fn stop_keeps_leave_of_running_server() {
    let fleet = TestFleet::new();
    let (leaving, entry) = start_pair(&fleet).await;
    expect_that!(fleet.announce_born(&leaving, 1, 3, "draining").await, eq(200));
    let leaving = fleet.stop_and_start(leaving).await;
    expect_unused(&fleet, &leaving, &entry).await;
}

/// A write of the daemon's record that the store carries out late must not drop the leave.
#[gtest]
#[tokio::test]
async fn leave_record_overwritten_late() {
    let fleet = TestFleet::new();
    let (leaving, entry) = start_pair(&fleet).await;
    wait_until(|| fleet.store.directory_value("one").is_some()).await;
    let early = fleet.store.directory_value("one");
    expect_that!(fleet.announce_born(&leaving, 1, 3, "draining").await, eq(200));
    fleet.store.write(StoreTopic::Directory, "one", early.clone());
    wait_until(|| fleet.store.directory_value("one") != early).await;
    let leaving = fleet.restart_silent(leaving).await;
    expect_unused(&fleet, &leaving, &entry).await;
}

/// The opposite fault: a new start under the identity of a leave is used at once.
#[gtest]
#[tokio::test]
async fn restart_leave_first_new_start() {
    let fleet = TestFleet::new();
    let (leaving, entry) = start_pair(&fleet).await;
    let leaving = fleet.restart_silent(leaving).await;
    expect_that!(fleet.leave(&leaving).await, eq(200));
    sleep(Duration::from_millis(5)).await;
    let born = wall_time().0;
    expect_that!(fleet.announce_born(&leaving, born, 1, "ready").await, eq(200));
    let served = fleet.until(&entry, "/read/1", KEY, 200);
    let limit = Duration::from_secs(1);
    expect_that!(tokio::time::timeout(limit, served).await, ok(anything()));
    // A late heartbeat of the earlier start changes nothing.
    fleet.announce(&leaving, LATE_NUMBER, false).await;
    expect_that!(fleet.send(&entry, "/read/1", KEY).await.status, eq(200));
}
