//! The client of the platform's store against its stand-in.

use std::net::Ipv4Addr;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::platform::PlatformStore;
use lentilway::policy::store_position::{StoreEra, StorePosition};
use lentilway::sidecar::process::keyed_store::{KeyedStore, StoreError, StoreTopic};
use lentilway_stand_ins::platform::store::StoreServer;
use serde_json::json;

const NO_WAIT: Duration = Duration::ZERO;
/// A copy of this age holds nothing.
const EMPTY_COPY_AGE: Duration = Duration::from_secs(3_600);
const DIRECTORY: StoreTopic = StoreTopic::Directory;

async fn start() -> (StoreServer, PlatformStore) {
    let server = StoreServer::start((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
    let client = PlatformStore::new(server.address());
    (server, client)
}

fn position(era: u64, offset: u64) -> StorePosition {
    StorePosition { era: StoreEra(era), offset }
}

#[gtest]
#[tokio::test]
async fn read_positions_carry_era() {
    let (_server, client) = start().await;
    expect_that!(client.snapshot(DIRECTORY).await.unwrap().cursor, eq(position(1, 0)));
    expect_that!(client.put(DIRECTORY, "one", Some(b"1")).await, ok(eq(&StoreEra(1))));
    let read = client.changes(DIRECTORY, position(1, 0), NO_WAIT).await.unwrap();
    expect_that!(read.cursor, eq(position(1, 1)));
    expect_that!(read.records[0].position, eq(position(1, 0)));
    let snapshot = client.snapshot(DIRECTORY).await.unwrap();
    expect_that!(snapshot, eq(&read));
}

/// A position of before the return is void, whether the topic is shorter now or not.
#[gtest]
#[tokio::test]
async fn changes_after_restore() {
    let (server, client) = start().await;
    client.put(DIRECTORY, "one", Some(b"1")).await.unwrap();
    server.restore(EMPTY_COPY_AGE);
    let restored = StoreError::Restored { era: StoreEra(2) };
    for records in 0..3 {
        for offset in 0..2 {
            let read = client.changes(DIRECTORY, position(1, offset), NO_WAIT).await;
            expect_that!(read, err(eq(&restored)), "{records} records, from {offset}");
        }
        expect_that!(client.put(DIRECTORY, "two", Some(b"2")).await, ok(eq(&StoreEra(2))));
    }
    let snapshot = client.snapshot(DIRECTORY).await.unwrap();
    expect_that!(snapshot.cursor, eq(position(2, 3)));
    expect_that!(snapshot.records.len(), eq(1));
}

/// A read that waits when the store goes is not answered from the copy.
#[gtest]
#[tokio::test]
async fn changes_waiting_during_restore() {
    let (server, client) = start().await;
    server.write_config(&json!({"version": 1}));
    let wait = Duration::from_secs(5);
    let read = tokio::spawn(async move {
        client.changes(StoreTopic::Configuration, position(1, 1), wait).await
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    server.restore(EMPTY_COPY_AGE);
    let error = read.await.unwrap().unwrap_err();
    expect_that!(error, matches_pattern!(StoreError::NoAnswer { .. }));
}
