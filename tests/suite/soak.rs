//! Checks of the soak test's ledger, and a short soak of a few daemons.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use lentilway_lab::soak::ledger::{CallerEnd, SentRequest, SoakLedger};
use lentilway_lab::soak::{SoakPlace, SoakTerms, run_soak};
use lentilway_stand_ins::platform::upstream::{UpstreamObserver, UpstreamRun};

const ID: &str = "request-1";

fn sent() -> SentRequest {
    SentRequest {
        daemon: 0,
        start: 1,
        route: "write",
        is_safe: false,
        organisation: "nord",
        key: "nord-1".to_owned(),
        at: Instant::now(),
        end: None,
    }
}

fn run() -> UpstreamRun {
    UpstreamRun {
        request_id: ID.to_owned(),
        service: "shop".to_owned(),
        instance: "i-1".to_owned(),
        organisation: "nord".to_owned(),
        has_key: false,
    }
}

fn answer_with(status: u16) -> CallerEnd {
    CallerEnd::Answered { status, body: format!("{ID}@i-1"), is_signed: true }
}

/// The violations in a ledger with one request that ran once and ended with `end`.
fn violations(request: SentRequest, run: UpstreamRun, end: CallerEnd) -> Vec<String> {
    let ledger = SoakLedger::default();
    ledger.sent(ID, request);
    ledger.ran(&run, Instant::now());
    ledger.ended(ID, end);
    ledger.broken_promises(&HashMap::new())
}

#[gtest]
fn broken_promises_none() {
    expect_that!(violations(sent(), run(), answer_with(200)), is_empty());
    expect_that!(violations(sent(), run(), answer_with(502)), is_empty());
    expect_that!(violations(sent(), run(), CallerEnd::Cut), is_empty());
}

#[gtest]
fn broken_promises_one_request() {
    let unsigned = CallerEnd::Answered { status: 200, body: format!("{ID}@i-1"), is_signed: false };
    let other = CallerEnd::Answered { status: 200, body: "request-2@i-1".into(), is_signed: true };
    let rows = [
        ("told not run", run(), answer_with(503)),
        ("with a key", UpstreamRun { has_key: true, ..run() }, answer_with(200)),
        (
            "another organisation",
            UpstreamRun { organisation: "sued".into(), ..run() },
            answer_with(200),
        ),
        ("no upstream gave", run(), unsigned),
        ("no upstream gave", run(), other),
    ];
    for (rule, run, end) in rows {
        expect_that!(violations(sent(), run, end), elements_are![contains_substring(rule)]);
    }
}

#[gtest]
fn broken_promises_ran_twice() {
    let ledger = SoakLedger::default();
    ledger.sent(ID, sent());
    ledger.ran(&run(), Instant::now());
    ledger.ran(&run(), Instant::now());
    let broken = ledger.broken_promises(&HashMap::new());
    expect_that!(broken, elements_are![contains_substring("ran twice")]);
}

#[gtest]
fn broken_promises_withdrawn_key() {
    let ledger = SoakLedger::default();
    ledger.withdrawn("nord-1");
    let at = Instant::now() + Duration::from_secs(6);
    ledger.sent(ID, SentRequest { at, ..sent() });
    ledger.ran(&run(), at);
    let broken = ledger.broken_promises(&HashMap::new());
    expect_that!(broken, elements_are![contains_substring("withdrawn key")]);
}

#[gtest]
fn broken_promises_left_upstream() {
    let ledger = SoakLedger::default();
    ledger.leave_acknowledged("i-1");
    ledger.ran(&run(), Instant::now() + Duration::from_secs(3));
    let broken = ledger.broken_promises(&HashMap::new());
    expect_that!(broken, elements_are![contains_substring("had left")]);
}

#[gtest]
fn broken_promises_cut_by_stop() {
    let ledger = SoakLedger::default();
    ledger.sent(ID, sent());
    ledger.ran(&run(), Instant::now());
    ledger.stopped(0);
    ledger.ended(ID, CallerEnd::Cut);
    let broken = ledger.broken_promises(&HashMap::new());
    expect_that!(broken, elements_are![contains_substring("planned stop")]);
    // An unplanned fault at the same time excuses the broken connection.
    ledger.fault(Instant::now() - Duration::from_secs(1));
    expect_that!(ledger.broken_promises(&HashMap::new()), is_empty());
}

#[gtest]
fn broken_promises_rate() {
    let ledger = SoakLedger::default();
    for number in 0..200 {
        let id = format!("request-{number}");
        ledger.sent(&id, sent());
        ledger.ran(&UpstreamRun { request_id: id, ..run() }, Instant::now());
    }
    // 20 requests per second with a burst of 20 are 120 in a window, 152 with the tolerance.
    let broken = ledger.broken_promises(&HashMap::from([("nord", 20.0)]));
    expect_that!(broken, elements_are![contains_substring("nord: 200 ran")]);
    expect_that!(ledger.broken_promises(&HashMap::from([("nord", 40.0)])), is_empty());
}

#[gtest]
fn broken_promises_retries() {
    let ledger = SoakLedger::default();
    for number in 0..100 {
        let id = format!("request-{number}");
        ledger.sent(&id, SentRequest { is_safe: true, ..sent() });
        for _ in 0..2 {
            ledger.ran(&UpstreamRun { request_id: id.clone(), ..run() }, Instant::now());
        }
    }
    let broken = ledger.broken_promises(&HashMap::new());
    expect_that!(broken, elements_are![contains_substring("100 repeats")]);
}

#[gtest]
fn broken_promises_older_version() {
    let ledger = SoakLedger::default();
    ledger.sent(ID, sent());
    ledger.ran(&run(), Instant::now());
    ledger.ended(ID, answer_with(200));
    let later = SentRequest { at: Instant::now() + Duration::from_secs(1), ..sent() };
    ledger.sent("request-2", later);
    ledger.ended("request-2", answer_with(404));
    let broken = ledger.broken_promises(&HashMap::new());
    expect_that!(broken, elements_are![contains_substring("denied")]);
}

/// Four daemons with the faults of one seed.
#[gtest]
#[tokio::test]
async fn run_soak_short() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak-short");
    let program = PathBuf::from(env!("CARGO_BIN_EXE_lentilway"));
    let terms = SoakTerms { seed: 1, nodes: 4, length: Duration::from_secs(5) };
    let report = run_soak(SoakPlace { program, folder }, &terms).await.expect("the soak starts");
    println!("{report}");
    expect_that!(report.broken, is_empty());
    expect_that!(report.requests.1, gt(0));
}
