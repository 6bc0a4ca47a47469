//! Backend servers that drain and daemons that stop.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::sidecar::process::keyed_store::StoreTopic;
use tokio::time::{Instant, sleep, sleep_until};

use super::fleet::{
    BackendBehaviour, CallerAnswer, KEY, TestDaemon, TestFleet, config, config_with_service,
    wait_until,
};

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
    let arrivals = stopping.backend.arrivals();
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

/// Time for a planned stop on the users' platform.
const GRACE: Duration = Duration::from_secs(6);
/// Work and timeout of requests that may run for longer than what is left of a stop.
const LONG_WORK: Duration = Duration::from_millis(2_200);
const LONG_DEADLINE: Duration = Duration::from_millis(2_500);
/// When the last request may be taken whatever it needs, from the stop on.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);
/// Time between requests, so that the server has slots for all.
const SEND_INTERVAL: Duration = Duration::from_millis(310);
/// When a run begins that keeps the stopping daemon's listener open, from the stop on, and its work.
const OWN_RUN_AT: Duration = Duration::from_millis(1_000);
const OWN_WORK: Duration = Duration::from_millis(2_800);

/// A fleet with a stopping daemon that has the only server of the service "solo", another that calls
/// it, and a server for the other routes.
async fn start_stopping() -> (Arc<TestFleet>, TestDaemon, TestDaemon, TestDaemon) {
    let fleet = TestFleet::with_stop_bound(GRACE);
    let timeout = Duration::from_secs(6);
    let config = config_with_service(2, "solo", timeout);
    fleet.store.write(StoreTopic::Configuration, "config", Some(config));
    let stopping = fleet.start("one", "solo").await;
    let entry = fleet.start("two", "prices").await;
    let other = fleet.start("three", "stock").await;
    fleet.until(&entry, "/solo/1", KEY, 200).await;
    fleet.until(&stopping, "/open/1", KEY, 200).await;
    (Arc::new(fleet), stopping, entry, other)
}

/// A request that was sent to a stopping daemon, and how it ended; times are since the stop.
struct StopRequest {
    sent: Duration,
    ended: Duration,
    answer: Option<CallerAnswer>,
}

/// Review 3: a stopping daemon took requests that it could only cut off at the end of its grace.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stop_late_requests_not_cut() {
    let (fleet, stopping, entry, other) = start_stopping().await;
    stopping.backend.set_behaviour(BackendBehaviour::Answers(OWN_WORK));
    other.backend.set_behaviour(BackendBehaviour::Answers(LONG_WORK));
    let arrivals = other.backend.arrivals();
    let started = Instant::now();
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..18 {
        let sent = SEND_INTERVAL * number;
        let (id, fleet) = (format!("late-{number}"), fleet.clone());
        let exchange = fleet.try_request(&stopping, "/open/1", KEY, &id, LONG_DEADLINE);
        callers.spawn(async move {
            sleep_until(started + sent).await;
            let answer = exchange.await;
            StopRequest { sent, ended: started.elapsed(), answer }
        });
    }
    let own_run = tokio::spawn({
        let exchange = fleet.try_request(&entry, "/solo/1", KEY, "own-run", GRACE);
        async move {
            sleep_until(started + OWN_RUN_AT).await;
            exchange.await
        }
    });
    stopping.daemon.stop().await;
    let requests = callers.join_all().await;
    let own_run = own_run.await.expect("the task ends");
    expect_that!(own_run.map(|answer| answer.status), some(eq(200)));
    let mut served = 0;
    for StopRequest { sent, ended, answer } in requests {
        let Some(answer) = answer else {
            // A closed connection is allowed where the request was not passed on.
            expect_that!(ended - sent, lt(Duration::from_millis(300)), "sent at {sent:?}");
            continue;
        };
        served += usize::from(answer.status == 200);
        if sent > EXCUSED_UNTIL && answer.status != 200 {
            expect_that!(answer.status, eq(503), "sent at {sent:?}");
            expect_that!(answer.headers["lentilway-execution"].to_str(), ok(eq(&"not-run")));
            expect_that!(answer.headers.contains_key("retry-after"), eq(true));
            expect_that!(answer.headers["connection"].to_str(), ok(eq(&"close")));
            expect_that!(ended - sent, lt(Duration::from_millis(300)), "refused at once");
        }
    }
    expect_that!(served, ge(8), "those of the first part of the stop");
    expect_that!(other.backend.arrivals() - arrivals, eq(served), "only what could end ran");
}

/// The opposite fault: calls of a run under way pass through a stopping daemon at any time.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stop_late_call_of_run_passes() {
    let (fleet, stopping, entry, _other) = start_stopping().await;
    stopping.backend.set_behaviour(BackendBehaviour::Answers(Duration::from_millis(4_000)));
    let arrivals = stopping.backend.arrivals();
    let run = tokio::spawn(fleet.try_request(&entry, "/solo/1", KEY, "parent", GRACE));
    wait_until(|| stopping.backend.arrivals() > arrivals).await;
    let call = fleet.try_request(&stopping, "/open/1", KEY, "parent.1", LONG_WORK);
    let call = tokio::spawn(async move {
        sleep(Duration::from_millis(3_200)).await;
        call.await
    });
    stopping.daemon.stop().await;
    let status = |answer: Option<CallerAnswer>| answer.map(|answer| answer.status);
    expect_that!(status(call.await.expect("the task ends")), some(eq(200)));
    expect_that!(status(run.await.expect("the task ends")), some(eq(200)));
}

/// A run for another daemon was cut off once no caller was left, although there was time.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stop_waits_for_run_of_peer() {
    let (fleet, stopping, entry, _other) = start_stopping().await;
    stopping.backend.set_behaviour(BackendBehaviour::Answers(Duration::from_millis(4_800)));
    let arrivals = stopping.backend.arrivals();
    let run = tokio::spawn(fleet.try_request(&entry, "/solo/1", KEY, "run", GRACE));
    wait_until(|| stopping.backend.arrivals() > arrivals).await;
    stopping.daemon.stop().await;
    let answer = run.await.expect("the task ends");
    expect_that!(answer.map(|answer| answer.status), some(eq(200)));
}

/// A new configuration without the route of a running request does not end it.
#[gtest]
#[tokio::test]
async fn request_running_route_removed() {
    let (fleet, stopping, entry, _other) = start_stopping().await;
    stopping.backend.set_behaviour(BackendBehaviour::Answers(Duration::from_millis(1_000)));
    let arrivals = stopping.backend.arrivals();
    let run = tokio::spawn(fleet.try_request(&entry, "/solo/1", KEY, "run", GRACE));
    wait_until(|| stopping.backend.arrivals() > arrivals).await;
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(3, true)));
    fleet.until(&entry, "/solo/1", KEY, 404).await;
    let answer = run.await.expect("the task ends");
    expect_that!(answer.map(|answer| answer.status), some(eq(200)));
}
