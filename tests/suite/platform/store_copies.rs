//! Copies of the store's earlier answers, where the answer to the next call is due.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use googletest::prelude::*;
use lentilway::platform::PlatformStore;
use lentilway::policy::store_position::StorePosition;
use lentilway::sidecar::process::keyed_store::{KeyedStore, StoreError, StoreRead, StoreTopic};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::copying_server::{CopyForm, CopyPlan, CopyingServer, answer};

const NO_WAIT: Duration = Duration::ZERO;
const READS: usize = 10;
const CONFIGURATION: StoreTopic = StoreTopic::Configuration;
const DIRECTORY: StoreTopic = StoreTopic::Directory;

async fn start(form: CopyForm, answers: impl IntoIterator<Item = Vec<u8>>) -> PlatformStore {
    PlatformStore::new(CopyingServer::start(CopyPlan::first(form), answers).await)
}

/// The answer to a read from the beginning of a topic.
fn records(records: &[&[u8]]) -> Vec<u8> {
    let (end, first) = (records.len() as u64, 0_u64);
    let mut body = [end.to_be_bytes(), first.to_be_bytes()].concat();
    for record in records {
        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
        body.extend_from_slice(record);
    }
    answer("200 OK", &body)
}

fn keys(read: &StoreRead) -> Vec<&str> {
    read.records.iter().map(|record| record.key.as_str()).collect()
}

/// A write that the store refused must not count as recorded: it may be that of a leave.
#[gtest]
#[tokio::test]
async fn put_refused_after_copied_acknowledgement() {
    for form in [CopyForm::Whole, CopyForm::InPieces] {
        let acknowledged = answer("200 OK", br#"{"offset":0,"end_offset":1}"#);
        let refused = answer("503 Service Unavailable", b"{}");
        let store = start(form, [acknowledged, refused]).await;
        expect_that!(store.put(DIRECTORY, "one", Some(b"1")).await, ok(anything()), "{form:?}");
        let second = store.put(DIRECTORY, "one", Some(b"2")).await;
        expect_that!(second, err(eq(&StoreError::Refused { status: 503 })), "{form:?}");
    }
}

/// A copy of an empty read would prove that nothing was written, such as the withdrawal of a key.
#[gtest]
#[tokio::test]
async fn changes_after_copied_read() {
    for form in [CopyForm::Whole, CopyForm::InPieces] {
        let written: Vec<Vec<u8>> =
            (0..READS).map(|index| format!("\x01a{index}").into()).collect();
        let written: Vec<&[u8]> = written.iter().map(Vec::as_slice).collect();
        let answers = (0..READS).map(|count| records(&written[..count]));
        let store = start(form, answers).await;
        let mut outdated = 0;
        for count in 0..READS {
            let read = store.changes(CONFIGURATION, StorePosition::default(), NO_WAIT).await;
            expect_that!(read, ok(anything()), "{form:?}, read {count}");
            let found = read.map_or(0, |read| read.records.len());
            outdated += usize::from(found != count);
        }
        println!("{form:?}: {outdated} of {READS} reads outdated or failed");
        expect_that!(outdated, eq(0), "{form:?}");
    }
}

/// Records of one topic must not be taken for those of another.
#[gtest]
#[tokio::test]
async fn changes_after_copied_read_of_other_topic() {
    for form in [CopyForm::Whole, CopyForm::InPieces] {
        let answers = [records(&[b"\x06config1"]), records(&[b"\x03one1"])];
        let store = start(form, answers).await;
        let read = store.changes(CONFIGURATION, StorePosition::default(), NO_WAIT).await;
        expect_that!(keys(&read.unwrap_or_default()), elements_are![eq(&"config")], "{form:?}");
        let read = store.changes(DIRECTORY, StorePosition::default(), NO_WAIT).await;
        expect_that!(keys(&read.unwrap_or_default()), elements_are![eq(&"one")], "{form:?}");
    }
}

#[gtest]
#[tokio::test]
async fn snapshot_after_copied_snapshot() {
    for form in [CopyForm::Whole, CopyForm::InPieces] {
        let page = |items: &str, end: u64| {
            let body = format!(r#"{{"items":[{items}],"has_more":false,"end_offset":{end}}}"#);
            answer("200 OK", body.as_bytes())
        };
        let item = r#"{"key":"one","value":"MQ==","offset":0}"#;
        let store = start(form, [page("", 0), page(item, 1)]).await;
        expect_that!(store.snapshot(CONFIGURATION).await, ok(anything()), "{form:?}");
        let read = store.snapshot(DIRECTORY).await;
        expect_that!(keys(&read.unwrap_or_default()), elements_are![eq(&"one")], "{form:?}");
    }
}

/// A store that takes a call and closes the connection without an answer, on each connection after
/// `answered` calls; returns the calls that it took.
async fn start_closing(answered: usize) -> (PlatformStore, Arc<Mutex<usize>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let client = PlatformStore::new(listener.local_addr().unwrap());
    let taken = Arc::new(Mutex::new(0));
    let calls = taken.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let calls = calls.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                for call in 0..=answered {
                    let Ok(1..) = stream.read(&mut buffer).await else { return };
                    *calls.lock().unwrap() += 1;
                    if call < answered {
                        let body = br#"{"offset":0,"end_offset":1}"#;
                        let _ = stream.write_all(&answer("200 OK", body)).await;
                    }
                }
            });
        }
    });
    (client, taken)
}

/// A write without an answer is not sent again by the client: it may take effect later.
#[gtest]
#[tokio::test]
async fn put_unanswered_sent_once() {
    for answered in [0, 1, 2] {
        let (store, taken) = start_closing(answered).await;
        for call in 1..=20 {
            let written = store.put(DIRECTORY, "one", Some(b"1")).await;
            let lost = matches!(written, Err(StoreError::NoAnswer { .. }));
            expect_that!(written.is_ok() || lost, eq(true), "{answered} answered: {written:?}");
            expect_that!(*taken.lock().unwrap(), le(call), "{answered} answered, call {call}");
        }
    }
}
