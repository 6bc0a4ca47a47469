//! The contract of the platform's log, checked with the HTTP client and the stand-in.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use lentilway::process::http_log::HttpLog;
use lentilway::process::platform_log::{LogError, LogPage, PlatformLog, StreamName};
use lentilway_lab::fleet::ANY_PORT;
use lentilway_stand_ins::log::{LogFaults, LogServer};

use crate::copying_server::{CopyForm, CopyPlan, CopyingServer, answer};

const LONG_WAIT: Duration = Duration::from_secs(20);

async fn start() -> (LogServer, HttpLog, StreamName) {
    let server = LogServer::start(ANY_PORT, None).await.expect("loopback has a free port");
    let log = HttpLog::new(&server.url());
    (server, log, StreamName::new("contract"))
}

async fn read(log: &HttpLog, stream: &StreamName, from: u64) -> Result<LogPage, LogError> {
    log.read(stream, from, 10, Duration::ZERO).await
}

fn bodies(page: &LogPage) -> Vec<(u64, Bytes)> {
    page.records.iter().map(|record| (record.offset, record.body.clone())).collect()
}

#[googletest::test]
#[tokio::test]
async fn append_offsets_rise() {
    let (_server, log, stream) = start().await;
    for offset in 0..3 {
        assert_that!(log.append(&stream, vec![offset as u8].into()).await, ok(eq(&offset)));
    }
    let other = StreamName::new("other");
    assert_that!(log.append(&other, Bytes::new()).await, ok(eq(&0)));
    let page = read(&log, &stream, 1).await.expect("the log answers");
    assert_that!(
        bodies(&page),
        elements_are![eq(&(1, Bytes::from_static(&[1]))), eq(&(2, Bytes::from_static(&[2])))]
    );
    assert_that!(page.tail, eq(3));
}

#[googletest::test]
#[tokio::test]
async fn read_limit_kept() {
    let (_server, log, stream) = start().await;
    for _ in 0..3 {
        log.append(&stream, Bytes::from_static(b"x")).await.expect("the log answers");
    }
    let page = log.read(&stream, 0, 2, Duration::ZERO).await.expect("the log answers");
    assert_that!(page.records.len(), eq(2));
    assert_that!(page.tail, eq(3));
}

#[googletest::test]
#[tokio::test]
async fn read_waits_append() {
    let (_server, log, stream) = start().await;
    assert_that!(read(&log, &stream, 0).await, ok(eq(&LogPage::default())));
    let waiting = log.read(&stream, 0, 10, LONG_WAIT);
    let append = log.append(&stream, Bytes::from_static(b"late"));
    let (page, appended) = tokio::join!(waiting, append);
    assert_that!(appended, ok(eq(&0)));
    assert_that!(bodies(&page.expect("the log answers")), len(eq(1)));
}

#[googletest::test]
#[tokio::test]
async fn read_expired_gap() {
    let (server, log, stream) = start().await;
    for _ in 0..4 {
        log.append(&stream, Bytes::from_static(b"x")).await.expect("the log answers");
    }
    server.expire(stream.as_str(), 3);
    assert_that!(read(&log, &stream, 0).await, err(eq(&LogError::Gap { earliest: 3 })));
    assert_that!(read(&log, &stream, 3).await.map(|page| page.tail), ok(eq(&4)));
    server.expire(stream.as_str(), 4);
    assert_that!(log.append(&stream, Bytes::from_static(b"y")).await, ok(eq(&4)));
}

#[googletest::test]
#[tokio::test]
async fn append_faults_reported() {
    let (server, log, stream) = start().await;
    let rows = [
        ("answer lost", LogFaults { lose_append_answers: 1, ..LogFaults::default() }, 1),
        ("dropped", LogFaults { drop_appends: 1, ..LogFaults::default() }, 1),
        ("down", LogFaults { down: true, ..LogFaults::default() }, 1),
    ];
    for (name, faults, tail) in rows {
        server.set_faults(faults);
        let appended = log.append(&stream, Bytes::from_static(b"x")).await;
        expect_that!(appended, err(matches_pattern!(LogError::Unavailable { .. })), "{name}");
        server.set_faults(LogFaults::default());
        let page = read(&log, &stream, 0).await.expect("the log answers");
        expect_that!(page.tail, eq(tail), "{name}");
    }
}

#[googletest::test]
#[tokio::test]
async fn read_down_reported() {
    let (server, log, stream) = start().await;
    server.set_faults(LogFaults { down: true, ..LogFaults::default() });
    let page = read(&log, &stream, 0).await;
    assert_that!(page, err(matches_pattern!(LogError::Unavailable { .. })));
}

async fn start_copying(form: CopyForm, answers: impl IntoIterator<Item = Vec<u8>>) -> HttpLog {
    HttpLog::new(&format!("http://{}", CopyingServer::start(CopyPlan::first(form), answers).await))
}

/// An append that the log refused must not count as done: it may be that of a claim.
#[googletest::test]
#[tokio::test]
async fn append_refused_after_copied_append() {
    for form in [CopyForm::Whole, CopyForm::InPieces] {
        let appended = answer("200 OK", br#"{"offset":0}"#);
        let refused = answer("503 Service Unavailable", b"{}");
        let log = start_copying(form, [appended, refused]).await;
        let (one, two) = (StreamName::new("one"), StreamName::new("two"));
        expect_that!(log.append(&one, Bytes::new()).await, ok(eq(&0)), "{form:?}");
        let second = log.append(&two, Bytes::new()).await;
        expect_that!(second, err(matches_pattern!(LogError::Unavailable { .. })), "{form:?}");
    }
}

/// A copy of an earlier page hides records, such as a ticket or a claim.
#[googletest::test]
#[tokio::test]
async fn read_after_copied_read() {
    const READS: u64 = 10;
    for form in [CopyForm::Whole, CopyForm::InPieces] {
        let page = |tail| format!(r#"{{"records":[],"tail":{tail}}}"#);
        let answers = (0..READS).map(|tail| answer("200 OK", page(tail).as_bytes()));
        let log = start_copying(form, answers).await;
        let mut outdated = 0;
        for tail in 0..READS {
            let page = read(&log, &StreamName::new("one"), 0).await;
            outdated += usize::from(page.map(|page| page.tail) != Ok(tail));
        }
        println!("{form:?}: {outdated} of {READS} reads outdated or failed");
        expect_that!(outdated, eq(0), "{form:?}");
    }
}
