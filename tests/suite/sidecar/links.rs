//! Links between daemons.

use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::sidecar::process::keyed_store::StoreTopic;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::fleet::{KEY, TestFleet, WITHDRAWN_KEY, config};

/// After this time the links are up and the initial reads are done.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

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

/// A call must not run on an instance of another service that reuses the address of a removed
/// instance while the directory still holds the old record.
#[gtest]
#[tokio::test]
async fn call_address_used_again() {
    let fleet = TestFleet::new();
    let removed = fleet.start("gone", "stock").await;
    let entry = fleet.start("entry", "prices").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    let address = removed.settings.peer_listen;
    let backend = removed.backend;
    let before = backend.arrivals();
    removed.daemon.abort().await;
    let reused = fleet.start_with("new", "delivery", backend, address).await;
    fleet.announce(&reused, 1, false).await;
    fleet.until(&entry, "/read/1", KEY, 503).await;
    for _ in 0..20 {
        expect_that!(fleet.send(&entry, "/read/1", KEY).await.status, eq(503));
    }
    expect_that!(reused.backend.arrivals(), eq(before));
}

/// One daemon of an availability zone reads the store. The others learn of changes from it at once,
/// and another one reads the store when it fails.
#[gtest]
#[tokio::test]
async fn store_read_by_one() {
    let fleet = TestFleet::new();
    let mut daemons = Vec::new();
    for name in ["one", "two", "three", "four", "five", "six"] {
        daemons.push(fleet.start(name, "stock").await);
    }
    for daemon in &daemons {
        fleet.until(daemon, "/read/1", WITHDRAWN_KEY, 200).await;
    }
    sleep(SETTLE_TIME).await;
    let before = fleet.store.reads.load(Ordering::SeqCst);
    sleep(OBSERVATION_TIME).await;
    let reads = fleet.store.reads.load(Ordering::SeqCst) - before;
    // If each daemon read both topics: 6 daemons, 3 s, every 1.5 s and every 4 s.
    expect_that!(reads, le(6));
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(2, false)));
    for daemon in &daemons {
        fleet.until(daemon, "/read/1", WITHDRAWN_KEY, 401).await;
    }
    let mut number = 1;
    while daemons.len() > 1 {
        daemons.remove(0).daemon.abort().await;
        // The backend servers keep sending heartbeats.
        number += 1;
        for daemon in &daemons {
            fleet.announce(daemon, number, false).await;
        }
        sleep(OBSERVATION_TIME).await;
        for daemon in &daemons {
            expect_that!(fleet.send(daemon, "/read/1", KEY).await.status, eq(200));
        }
    }
}

/// A change of the configuration costs the store a read by one daemon, and reaches the others over
/// their links.
#[gtest]
#[tokio::test]
async fn config_change_read_by_one() {
    let fleet = TestFleet::new();
    let mut daemons = Vec::new();
    for name in ["one", "two", "three", "four", "five", "six", "seven", "eight"] {
        daemons.push(fleet.start(name, "stock").await);
    }
    for daemon in &daemons {
        fleet.until(daemon, "/read/1", WITHDRAWN_KEY, 200).await;
    }
    sleep(SETTLE_TIME).await;
    let before = fleet.store.calls.load(Ordering::SeqCst);
    let started = Instant::now();
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(2, false)));
    for daemon in &daemons {
        fleet.until(daemon, "/read/1", WITHDRAWN_KEY, 401).await;
    }
    let calls = fleet.store.calls.load(Ordering::SeqCst) - before;
    // The reader's read of the change, and its next reads of both topics.
    expect_that!(calls, le(3));
    expect_that!(started.elapsed(), lt(Duration::from_millis(300)));
}

/// A daemon that starts reads the directory and registers itself; the rest comes from the others.
#[gtest]
#[tokio::test]
async fn start_reads_directory() {
    let fleet = TestFleet::new();
    let mut daemons = Vec::new();
    let names: Vec<String> = (0..24).map(|index| format!("daemon-{index}")).collect();
    for name in &names {
        daemons.push(fleet.start(name, "stock").await);
    }
    for daemon in &daemons {
        fleet.until(daemon, "/read/1", KEY, 200).await;
    }
    sleep(SETTLE_TIME).await;
    let calls = fleet.store.calls.load(Ordering::SeqCst);
    // Two calls each. Each daemon that is the first of those started so far, about four of 24, may
    // read for a while: both topics, at most every 0.4 s.
    expect_that!(calls, le(2 * names.len() + 4 * 12));
}

/// A message with the records that the receiver lacks, as its first byte states.
const RECORDS_KIND: u8 = 7;

/// A daemon of a later release may send messages that this one does not know. They cost neither the
/// link nor the calls on it.
#[gtest]
#[tokio::test]
async fn link_outlives_unknown_message() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    let mut link = TcpStream::connect(daemon.settings.peer_listen).await.unwrap();
    // A message of kind 99, and a question for records with the number 1.
    for message in [&[99, 1, 2, 3][..], &[6, 1, 0, 0]] {
        link.write_u32(message.len() as u32).await.unwrap();
        link.write_all(message).await.unwrap();
    }
    let answered = async {
        loop {
            let length = link.read_u32().await.expect("the link is open");
            let mut message = vec![0; length as usize];
            link.read_exact(&mut message).await.expect("the link is open");
            if message[0] == RECORDS_KIND {
                return;
            }
        }
    };
    timeout(Duration::from_secs(10), answered).await.expect("the question is answered");
}
