//! A backend server that states how many requests per second it takes from all senders together.

use std::time::Duration;

use googletest::prelude::*;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::fleet::{BackendBehaviour, CallerAnswer, KEY, TestDaemon, TestFleet};

const LIMIT: &str = "server-limit";
/// Requests between two announcements of a backend server.
const ANNOUNCE_EVERY: u64 = 50;
/// The window of the users' rule on limits.
const WINDOW: Duration = Duration::from_secs(4);

/// Sends a request to `entry` every 20 ms for `span`, without waiting for answers, while the
/// backend servers of `called` go on announcing themselves.
async fn send_paced(
    fleet: &TestFleet,
    entry: &TestDaemon,
    called: &[&TestDaemon],
    span: Duration,
) -> Vec<CallerAnswer> {
    let end = Instant::now() + span;
    let mut requests = JoinSet::new();
    for count in 0.. {
        if Instant::now() >= end {
            break;
        }
        if count % ANNOUNCE_EVERY == 0 {
            for daemon in called {
                fleet.announce(daemon, 3 + count, false).await;
            }
        }
        requests.spawn(fleet.request(entry, "/read/1", KEY));
        sleep(Duration::from_millis(20)).await;
    }
    requests.join_all().await
}

/// Sends requests, so many at once that all servers get some, until one told the entry its limit.
async fn learn_limit(fleet: &TestFleet, entry: &TestDaemon) {
    let mut is_told = false;
    while !is_told {
        sleep(Duration::from_millis(20)).await;
        let mut requests = JoinSet::new();
        for _ in 0..10 {
            requests.spawn(fleet.request(entry, "/read/1", KEY));
        }
        let answers = requests.join_all().await;
        is_told = answers.iter().any(|answer| answer.headers.contains_key(LIMIT));
    }
}

/// The answers to a load of 50 requests per second, and the most requests in a window at a server
/// that states 5 per second. Its peer takes `peer_time` for each.
async fn run_limited(peer_time: Duration) -> (Vec<CallerAnswer>, usize) {
    let fleet = TestFleet::new();
    let limited = fleet.start("one", "stock").await;
    let unlimited = fleet.start("two", "stock").await;
    let entry = fleet.start("three", "prices").await;
    for (daemon, time) in [(&limited, Duration::from_millis(30)), (&unlimited, peer_time)] {
        daemon.backend.set_behaviour(BackendBehaviour::Answers(time));
    }
    limited.backend.state_in_answers(&[(LIMIT, "5")]);
    learn_limit(&fleet, &entry).await;
    let told = Instant::now();
    let called = [&limited, &unlimited];
    let answers = send_paced(&fleet, &entry, &called, Duration::from_secs(6)).await;
    (answers, limited.backend.most_arrivals_within(WINDOW, told))
}

/// Issue 25: daemons ignored the limit.
#[gtest]
#[tokio::test]
async fn run_beyond_stated_limit() {
    let (answers, most) = run_limited(Duration::from_millis(30)).await;
    expect_that!(most, le(35), "1.5 x 5 x 4 + 5 are allowed");
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    expect_that!(served, eq(answers.len()), "the peer has room for the rest");
}

#[gtest]
#[tokio::test]
async fn run_stated_limit_peer_busy() {
    let (_, most) = run_limited(Duration::from_millis(120)).await;
    expect_that!(most, all![ge(12), le(35)], "the server takes 5 a second");
}

/// A daemon that restarts beside a limited server learns the limit from the senders that know it.
#[gtest]
#[tokio::test]
async fn run_beyond_stated_limit_after_restart() {
    let fleet = TestFleet::new();
    let limited = fleet.start("one", "stock").await;
    let entry = fleet.start("two", "prices").await;
    limited.backend.state_in_answers(&[(LIMIT, "0.1")]);
    learn_limit(&fleet, &entry).await;
    let limited = fleet.restart(limited).await;
    limited.backend.set_behaviour(BackendBehaviour::Answers(Duration::from_millis(1_500)));
    let told = Instant::now();
    send_paced(&fleet, &entry, &[&limited], Duration::from_secs(2)).await;
    let most = limited.backend.most_arrivals_within(WINDOW, told);
    expect_that!(most, le(5), "1.5 x 0.1 x 4 + 5 are allowed");
}
