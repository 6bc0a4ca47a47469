//! Checks of the soak test's history, and a short soak of a few daemons.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use lentilway_lab::soak::history::{CallerOutcome, SentRequest, SoakHistory};
use lentilway_lab::soak::{SoakPaths, SoakSettings, run_soak};
use lentilway_stand_ins::platform::upstream::{UpstreamObserver, UpstreamRun, UpstreamStatement};

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
        path: "/write/1".to_owned(),
        request_id: ID.to_owned(),
        service: "shop".to_owned(),
        instance: "i-1".to_owned(),
        organisation: "nord".to_owned(),
        has_key: false,
    }
}

fn answer_with(status: u16) -> CallerOutcome {
    CallerOutcome::Answered { status, body: format!("{ID}@i-1"), is_signed: true }
}

/// The violations in a history with one request that ran once and ended with `end`.
fn violations(request: SentRequest, run: UpstreamRun, end: CallerOutcome) -> Vec<String> {
    let history = SoakHistory::default();
    history.record_sent(ID, request);
    history.record_run(&run, Instant::now());
    history.record_outcome(ID, end);
    history.violations(&HashMap::new())
}

#[gtest]
fn violations_none() {
    expect_that!(violations(sent(), run(), answer_with(200)), is_empty());
    expect_that!(violations(sent(), run(), answer_with(502)), is_empty());
    expect_that!(violations(sent(), run(), CallerOutcome::Cut), is_empty());
}

#[gtest]
fn violations_one_request() {
    let unsigned =
        CallerOutcome::Answered { status: 200, body: format!("{ID}@i-1"), is_signed: false };
    let other =
        CallerOutcome::Answered { status: 200, body: "request-2@i-1".into(), is_signed: true };
    let rows = [
        ("answered as not run", run(), answer_with(503)),
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
fn violations_ran_twice() {
    let history = SoakHistory::default();
    history.record_sent(ID, sent());
    history.record_run(&run(), Instant::now());
    history.record_run(&run(), Instant::now());
    let violations = history.violations(&HashMap::new());
    expect_that!(violations, elements_are![contains_substring("ran twice")]);
}

#[gtest]
fn violations_withdrawn_key() {
    let history = SoakHistory::default();
    history.record_withdrawal("nord-1");
    let at = Instant::now() + Duration::from_secs(6);
    history.record_sent(ID, SentRequest { at, ..sent() });
    history.record_run(&run(), at);
    let violations = history.violations(&HashMap::new());
    expect_that!(violations, elements_are![contains_substring("withdrawn key")]);
}

#[gtest]
fn violations_left_upstream() {
    let history = SoakHistory::default();
    history.leave_acknowledged("i-1");
    history.record_run(&run(), Instant::now() + Duration::from_secs(3));
    let violations = history.violations(&HashMap::new());
    expect_that!(violations, elements_are![contains_substring("had left")]);
}

#[gtest]
fn violations_cut_by_stop() {
    let history = SoakHistory::default();
    history.record_sent(ID, sent());
    history.record_run(&run(), Instant::now());
    history.record_stop(0);
    history.record_outcome(ID, CallerOutcome::Cut);
    let violations = history.violations(&HashMap::new());
    expect_that!(violations, elements_are![contains_substring("planned stop")]);
    // An unplanned fault at the same time excuses the broken connection.
    history.record_fault(Instant::now() - Duration::from_secs(1));
    expect_that!(history.violations(&HashMap::new()), is_empty());
}

#[gtest]
fn violations_rate() {
    let history = SoakHistory::default();
    for number in 0..200 {
        let id = format!("request-{number}");
        history.record_sent(&id, sent());
        history.record_run(&UpstreamRun { request_id: id, ..run() }, Instant::now());
    }
    // 20 requests per second with a burst of 20 are 120 in a window, 152 with the tolerance.
    let violations = history.violations(&HashMap::from([("nord", 20.0)]));
    expect_that!(violations, elements_are![contains_substring("nord: 200 ran")]);
    expect_that!(history.violations(&HashMap::from([("nord", 40.0)])), is_empty());
}

#[gtest]
fn violations_retries() {
    let history = SoakHistory::default();
    for number in 0..100 {
        let id = format!("request-{number}");
        history.record_sent(&id, SentRequest { is_safe: true, ..sent() });
        for _ in 0..2 {
            history.record_run(&UpstreamRun { request_id: id.clone(), ..run() }, Instant::now());
        }
    }
    let violations = history.violations(&HashMap::new());
    expect_that!(violations, elements_are![contains_substring("100 repeats")]);
}

#[gtest]
fn violations_older_version() {
    let history = SoakHistory::default();
    history.record_sent(ID, sent());
    history.record_run(&run(), Instant::now());
    history.record_outcome(ID, answer_with(200));
    let later = SentRequest { at: Instant::now() + Duration::from_secs(1), ..sent() };
    history.record_sent("request-2", later);
    history.record_outcome("request-2", answer_with(404));
    let violations = history.violations(&HashMap::new());
    expect_that!(violations, elements_are![contains_substring("denied")]);
}

#[gtest]
fn violations_added_route() {
    let history = SoakHistory::default();
    history.record_added("write");
    for (id, after) in [("request-1", 4), ("request-2", 6)] {
        let at = Instant::now() + Duration::from_secs(after);
        history.record_sent(id, SentRequest { at, ..sent() });
        history.record_outcome(id, answer_with(404));
    }
    let violations = history.violations(&HashMap::new());
    expect_that!(violations, elements_are![contains_substring("an added route is denied")]);
    expect_that!(violations[0], contains_substring("request-2"));
}

/// Runs a soak that ends without findings; `name` is that of its folder.
async fn check_soak(name: &str, settings: SoakSettings) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let program = PathBuf::from(env!("CARGO_BIN_EXE_lentilway"));
    let report = run_soak(SoakPaths { program, folder }, &settings).await.expect("the soak starts");
    println!("{report}");
    expect_that!(report.violations, is_empty());
    expect_that!(report.requests.1, gt(0));
}

/// Four daemons with the faults of one seed.
#[gtest]
#[tokio::test]
async fn run_soak_short() {
    let settings = SoakSettings { seed: 1, nodes: 4, duration: Duration::from_secs(5) };
    check_soak("soak-short", settings).await;
}

/// Review case 6: the fleet did not recover after the store had dropped its records in an outage.
#[gtest]
#[tokio::test]
async fn run_soak_history_dropped() {
    let settings = SoakSettings { seed: 15_002, nodes: 6, duration: Duration::from_secs(8) };
    check_soak("soak-history-dropped", settings).await;
}

/// The violations if daemon 0 hears `statement` and its upstream then gets 30 requests
/// that began there, 3.5 s later.
fn violations_of_statement(statement: UpstreamStatement, is_interrupted: bool) -> Vec<String> {
    let history = SoakHistory::default();
    let now = Instant::now();
    history.record_limit("i-1", statement.limit, now);
    history.record_told(0, &statement);
    if is_interrupted {
        history.record_interruption(0);
    }
    for number in 0..30 {
        // Calls of a run beside daemon 0.
        let request_id = format!("request-1.i-node-0-1-{number}");
        let at = now + Duration::from_millis(3_500 + 10 * number);
        history.record_run(&UpstreamRun { request_id, ..run() }, at);
    }
    history.violations(&HashMap::new())
}

#[gtest]
fn violations_limit() {
    let statement =
        UpstreamStatement { instance: "i-1".into(), limit: Some(2.0), is_leaving: false };
    let found = violations_of_statement(statement.clone(), false);
    expect_that!(found, elements_are![contains_substring("beyond its limit")]);
    expect_that!(violations_of_statement(statement.clone(), true), is_empty());
    let high = UpstreamStatement { limit: Some(20.0), ..statement };
    expect_that!(violations_of_statement(high, false), is_empty());
}

#[gtest]
fn violations_told_leave() {
    let statement = UpstreamStatement { instance: "i-1".into(), limit: None, is_leaving: true };
    let found = violations_of_statement(statement.clone(), false);
    expect_that!(found, len(eq(30)));
    expect_that!(found, each(contains_substring("told of its leave")));
    expect_that!(violations_of_statement(statement, true), is_empty());
}

/// The violations if a deadly request has ended an upstream six times, a second apart but for a
/// pause of four after the third, and `fault` happens.
fn violations_of_deadly(fault: impl FnOnce(&SoakHistory)) -> Vec<String> {
    let history = SoakHistory::default();
    let now = Instant::now();
    for (number, after) in [0, 1, 2, 6, 7, 8, 9].into_iter().enumerate() {
        let request_id = format!("deadly-{number}");
        let path = "/read/deadly-1".to_owned();
        let at = now + Duration::from_secs(after);
        history.record_sent(&request_id, SentRequest { is_safe: true, at, ..sent() });
        history.record_run(&UpstreamRun { path, request_id, ..run() }, at);
    }
    fault(&history);
    history.violations(&HashMap::new())
}

#[gtest]
fn violations_deadly() {
    let found = violations_of_deadly(|_| {});
    expect_that!(found, elements_are![contains_substring("4 sends after the third end")]);
    let crash = |history: &SoakHistory| history.record_fault(Instant::now());
    expect_that!(violations_of_deadly(crash), not(is_empty()));
}
