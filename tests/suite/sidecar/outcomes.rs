//! Outcomes reported to callers are correct.

use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::timeout;

use super::fleet::{BackendBehaviour, KEY, TestFleet, wait_until};

/// A request that must not be repeated is sent once, whatever the failure of the backend server.
#[gtest]
#[tokio::test]
async fn write_sent_once() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/write/1", KEY, 200).await;
    for behaviour in
        [BackendBehaviour::Disconnects, BackendBehaviour::WrongId, BackendBehaviour::Unsigned]
    {
        daemon.backend.set_behaviour(behaviour);
        let before = daemon.backend.arrivals();
        let answer = fleet.send(&daemon, "/write/1", KEY).await;
        expect_that!(answer.status, eq(502), "{behaviour:?}");
        expect_that!(answer.headers["lentilway-execution"], eq("may-have-run"));
        expect_that!(daemon.backend.arrivals() - before, eq(1), "{behaviour:?}");
    }
}

/// A refusal is reported as "not-run" only if the backend server reports it so itself.
#[gtest]
#[tokio::test]
async fn write_shed() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/write/1", KEY, 200).await;
    daemon.backend.set_behaviour(BackendBehaviour::Sheds);
    let answer = fleet.send(&daemon, "/write/1", KEY).await;
    expect_that!(answer.status, eq(503));
    expect_that!(answer.headers["lentilway-execution"], eq("not-run"));
    expect_that!(answer.headers.contains_key("retry-after"), eq(true));
}

/// A status that callers take for "not run" is no such promise if the backend server did not say so.
#[gtest]
#[tokio::test]
async fn write_unmarked_promise_not_passed_on() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/write/1", KEY, 200).await;
    for status in [408, 429, 503] {
        daemon.backend.set_behaviour(BackendBehaviour::Ends { status, is_marked: false });
        let before = daemon.backend.arrivals();
        let answer = fleet.send(&daemon, "/write/1", KEY).await;
        expect_that!(answer.status, eq(502), "{status}");
        expect_that!(answer.headers["lentilway-execution"], eq("may-have-run"), "{status}");
        expect_that!(daemon.backend.arrivals() - before, eq(1), "{status}");
    }
}

/// "Not run" beside a status that counts as run does not make a request run again.
#[gtest]
#[tokio::test]
async fn write_marked_end_not_resent() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/write/1", KEY, 200).await;
    for status in [200, 404, 500, 504] {
        daemon.backend.set_behaviour(BackendBehaviour::Ends { status, is_marked: true });
        let before = daemon.backend.arrivals();
        let answer = fleet.send(&daemon, "/write/1", KEY).await;
        expect_that!(answer.status, eq(status));
        expect_that!(daemon.backend.arrivals() - before, eq(1), "{status}");
    }
}

/// Resends after refusals by backend servers are limited by the retry budget.
#[gtest]
#[tokio::test]
async fn read_shed_everywhere_bounded() {
    let fleet = TestFleet::new();
    let one = fleet.start("one", "stock").await;
    let two = fleet.start("two", "stock").await;
    let entry = fleet.start("three", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    one.backend.set_behaviour(BackendBehaviour::Sheds);
    two.backend.set_behaviour(BackendBehaviour::Sheds);
    let before = one.backend.arrivals() + two.backend.arrivals();
    let requests = 100;
    for _ in 0..requests {
        expect_that!(fleet.send(&entry, "/read/1", KEY).await.status, eq(503));
    }
    let arrivals = one.backend.arrivals() + two.backend.arrivals() - before;
    // The retry budget of the fleet is 0.2 of the requests plus each daemon's reserve.
    expect_that!(arrivals, le(requests + requests / 5 + 2));
}

/// A request that may be repeated is resent after an unsigned answer.
#[gtest]
#[tokio::test]
async fn read_spoiled_sent_again() {
    let fleet = TestFleet::new();
    let one = fleet.start("one", "stock").await;
    let two = fleet.start("two", "stock").await;
    let entry = fleet.start("three", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    one.backend.set_behaviour(BackendBehaviour::Unsigned);
    two.backend.set_behaviour(BackendBehaviour::Answers(Duration::from_millis(1)));
    let answer = fleet.send(&entry, "/read/1", KEY).await;
    expect_that!(answer.status, eq(200));
    expect_that!(&answer.body[..], eq(b"whole"));
}

/// A request without an answer by its deadline gets a final answer then.
#[gtest]
#[tokio::test]
async fn write_timeout() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/write/1", KEY, 200).await;
    daemon.backend.set_behaviour(BackendBehaviour::Answers(Duration::from_secs(60)));
    let answer = fleet.send(&daemon, "/write/1", KEY).await;
    expect_that!(answer.status, eq(504));
    expect_that!(answer.headers["lentilway-execution"], eq("may-have-run"));
}

/// A caller's disconnect cancels its run through both daemons.
#[gtest]
#[tokio::test]
async fn caller_gone_cancels_run() {
    let fleet = TestFleet::new();
    let stock = fleet.start("one", "stock").await;
    let entry = fleet.start("two", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    stock.backend.set_behaviour(BackendBehaviour::Answers(Duration::from_secs(60)));
    let arrived = stock.backend.arrivals();
    let cancelled_call = async {
        let sent = fleet.send(&entry, "/read/1", KEY);
        let arrival = wait_until(|| stock.backend.arrivals() > arrived);
        tokio::select! {
            answer = sent => panic!("no answer was expected: {answer:?}"),
            () = arrival => {}
        }
    };
    cancelled_call.await;
    let cancelled = wait_until(|| stock.backend.cancelled.load(Ordering::SeqCst) > 0);
    // Well before the caller's deadline of two seconds, which would end the run too.
    expect_that!(timeout(Duration::from_millis(1_500), cancelled).await, ok(anything()));
}

/// An answer that counts as run does not carry "not run" to the caller.
#[gtest]
#[tokio::test]
async fn write_marked_end_mark_removed() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/write/1", KEY, 200).await;
    for status in [200, 404, 500, 504] {
        daemon.backend.set_behaviour(BackendBehaviour::Ends { status, is_marked: true });
        let answer = fleet.send(&daemon, "/write/1", KEY).await;
        let is_marked = answer.headers.contains_key("x-lentilway-not-executed");
        expect_that!((answer.status, is_marked), eq((status, false)));
    }
}
