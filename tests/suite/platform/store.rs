//! The client of the platform's store against its stand-in.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use hyper::StatusCode;
use lentilway::platform::PlatformStore;
use lentilway::policy::store_position::{StoreEra, StorePosition};
use lentilway::sidecar::process::keyed_store::{KeyedStore, StoreError, StoreRead, StoreTopic};
use lentilway_stand_ins::platform::store::StoreServer;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::sidecar::floods::{FloodingServer, SOCKET_BUFFER_BYTES, floods};

/// Bytes that one answer of the store may have, and the time for it.
const STORE_ANSWER_BYTES_MAX: usize = 8 << 20;
const STORE_ANSWERED_WITHIN: Duration = Duration::from_secs(3);
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

/// A store that answers every call with these bytes.
async fn start_answering(body: Vec<u8>) -> PlatformStore {
    start_answering_with(StatusCode::OK, body).await
}

async fn start_answering_with(status: StatusCode, body: Vec<u8>) -> PlatformStore {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let client = PlatformStore::new(listener.local_addr().unwrap());
    let body: Arc<[u8]> = body.into();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let length = body.len();
            let head =
                format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close");
            let mut received = [0; 4_096];
            let _ = stream.read(&mut received).await.unwrap();
            stream.write_all(format!("{head}\r\n\r\n").as_bytes()).await.unwrap();
            stream.write_all(&body).await.unwrap();
        }
    });
    client
}

fn keys(read: &StoreRead) -> Vec<&str> {
    read.records.iter().map(|record| record.key.as_str()).collect()
}

/// An odd item of a page costs that item, not the page.
#[gtest]
#[tokio::test]
async fn snapshot_odd_items() {
    let nested = format!(
        r#"{{"key":"odd","value":{}{},"offset":1}}"#,
        "[".repeat(20_000),
        "]".repeat(20_000)
    );
    let odd_items: [&[u8]; 12] = [
        b"null",
        b"7",
        b"[]",
        br#"{"key":7,"value":"MQ==","offset":1}"#,
        br#"{"key":"odd","value":"no base64!","offset":1}"#,
        br#"{"key":"odd","value":null,"offset":1}"#,
        br#"{"key":"odd","value":"MQ==","offset":99999999999999999999999}"#,
        br#"{"key":"odd","value":"MQ==","offset":-1}"#,
        br#"{"key":"odd","value":"MQ==","offset":1e400}"#,
        br#"{"key":"odd","key":"odd","value":"MQ==","offset":1}"#,
        br#"{"key":"\ud800","value":"MQ==","offset":1}"#,
        nested.as_bytes(),
    ];
    for odd in odd_items {
        let first = br#"{"items":[{"key":"one","value":"MQ==","offset":0},"#;
        let last = br#",{"key":"two","value":"Mg==","offset":2}],"has_more":false,"end_offset":3}"#;
        let body = [&first[..], odd, last].concat();
        let read = start_answering(body).await.snapshot(DIRECTORY).await;
        let name = String::from_utf8_lossy(&odd[..odd.len().min(60)]);
        expect_that!(read, ok(anything()), "{name}");
        let read = read.unwrap_or_default();
        expect_that!(keys(&read), elements_are![eq(&"one"), eq(&"two")], "{name}");
        expect_that!(read.unreadable, eq(1), "{name}");
        expect_that!(read.cursor.offset, eq(3), "{name}");
    }
}

/// A key that is no text is kept apart from the others.
#[gtest]
#[tokio::test]
async fn snapshot_key_not_text() {
    let body = [
        &br#"{"items":[{"key":""#[..],
        b"\xff\xfe",
        br#"","value":"MQ==","offset":0},{"key":"two","value":"Mg==","offset":1}],"#,
        br#""has_more":false,"end_offset":2}"#,
    ]
    .concat();
    let read = start_answering(body).await.snapshot(DIRECTORY).await.unwrap();
    expect_that!(keys(&read), contains(eq(&"two")));
}

fn framed(records: &[&[u8]]) -> Vec<u8> {
    let (end, first) = (records.len() as u64, 0_u64);
    let mut body = [end.to_be_bytes(), first.to_be_bytes()].concat();
    for record in records {
        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
        body.extend_from_slice(record);
    }
    body
}

/// A record without a readable key costs that record; the read goes on behind it.
#[gtest]
#[tokio::test]
async fn changes_odd_records() {
    for odd in [&b""[..], b"\x00", b"\xffshort", b"\x02\xff\xfevalue", b"\x09four"] {
        let body = framed(&[b"\x03one1", odd, b"\x03two2"]);
        let store = start_answering(body).await;
        let read = store.changes(DIRECTORY, StorePosition::default(), NO_WAIT).await.unwrap();
        expect_that!(keys(&read), contains(eq(&"one")), "{odd:?}");
        expect_that!(keys(&read), contains(eq(&"two")), "{odd:?}");
        expect_that!(read.cursor.offset, eq(3), "{odd:?}");
    }
}

/// Records after a truncated one can't be told apart, so that a snapshot is read instead.
#[gtest]
#[tokio::test]
async fn changes_truncated_record() {
    let mut body = framed(&[b"\x03one1", b"\x03two2"]);
    body.truncate(body.len() - 1);
    let store = start_answering(body).await;
    let read = store.changes(DIRECTORY, StorePosition::default(), NO_WAIT).await;
    expect_that!(read, err(eq(&StoreError::Expired { first: position(0, 2) })));
}

/// Records that were dropped are not read; the newest one of each key is.
#[gtest]
#[tokio::test]
async fn changes_after_history_dropped() {
    let (server, client) = start().await;
    for value in [b"1", b"2"] {
        client.put(DIRECTORY, "one", Some(value)).await.unwrap();
    }
    server.drop_history("keyed.daemons");
    let expired = StoreError::Expired { first: position(1, 2) };
    let read = client.changes(DIRECTORY, position(1, 1), NO_WAIT).await;
    expect_that!(read, err(eq(&expired)));
    let snapshot = client.snapshot(DIRECTORY).await.unwrap();
    expect_that!(snapshot.cursor, eq(position(1, 2)));
    expect_that!(snapshot.records, len(eq(1)));
    let read = client.changes(DIRECTORY, snapshot.cursor, NO_WAIT).await.unwrap();
    expect_that!(read.records, is_empty());
    server.restore(EMPTY_COPY_AGE);
    let read = client.changes(DIRECTORY, position(2, 0), NO_WAIT).await;
    expect_that!(read.map(|read| read.cursor), ok(eq(&position(2, 0))));
}

/// What a read is told of a position that is no longer one of the topic.
#[gtest]
#[tokio::test]
async fn changes_refused_position() {
    let offsets = |end: u64, first: u64| [end.to_be_bytes(), first.to_be_bytes()].concat();
    let expired = |offset| StoreError::Expired { first: position(0, offset) };
    let gone = |body: &str| (StatusCode::GONE, body.as_bytes().to_vec());
    let cases = [
        (gone(r#"{"first_offset": 9}"#), expired(9)),
        (gone(r#"{"first_offset": 2}"#), StoreError::UnknownPosition),
        (gone(r#"{"first_offset": -1}"#), StoreError::UnknownPosition),
        (gone("no object"), StoreError::UnknownPosition),
        ((StatusCode::OK, offsets(9, 7)), expired(7)),
        ((StatusCode::OK, offsets(3, 0)), StoreError::UnknownPosition),
    ];
    for ((status, body), error) in cases {
        let store = start_answering_with(status, body).await;
        let read = store.changes(DIRECTORY, position(0, 5), NO_WAIT).await;
        expect_that!(read, err(eq(&error)));
    }
}

/// A store that answers without end, in a head or in a body, costs a bounded part of the answer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_without_end() {
    for flood in floods() {
        let name = flood.name;
        let server = FloodingServer::start(flood).await;
        let client = PlatformStore::new(server.address);
        let started = std::time::Instant::now();
        expect_that!(client.snapshot(DIRECTORY).await, err(anything()), "{name}");
        expect_that!(started.elapsed(), lt(STORE_ANSWERED_WITHIN), "{name}");
        let written = server.written.load(Ordering::SeqCst);
        println!("{name}: {written} bytes in {:?}", started.elapsed());
        expect_that!(written, le(STORE_ANSWER_BYTES_MAX + SOCKET_BUFFER_BYTES), "{name}");
    }
}

/// Review case 2: a read whose head tells of more records than it holds is not the whole.
#[gtest]
#[tokio::test]
async fn changes_cut_short() {
    for (end, is_partial) in [(2_u64, false), (3, true)] {
        let mut body = framed(&[b"\x03one1", b"\x03two2"]);
        body[..8].copy_from_slice(&end.to_be_bytes());
        let store = start_answering(body).await;
        let read = store.changes(DIRECTORY, StorePosition::default(), NO_WAIT).await.unwrap();
        expect_that!(read.cursor, eq(position(0, 2)));
        expect_that!(read.is_partial, eq(is_partial));
    }
}
