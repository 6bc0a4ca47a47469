//! Submission of tickets: races between operators, lost answers, outages.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use googletest::prelude::*;
use lentilway::config::DaemonConfig;
use lentilway::error::ResultCode;
use lentilway::process::daemon::Daemon;
use lentilway::process::http_log::HttpLog;
use lentilway::process::platform_log::{LogError, LogPage, PlatformLog, StreamName};
use lentilway::process::submission::{TicketReceipt, TicketRefusal, submit_ticket};
use lentilway_lab::fleet::{ANY_PORT, organisation, ticket, wait_offset};
use lentilway_stand_ins::log::{LogFaults, LogServer};
use serde_json::Value;
use tokio::task::JoinSet;

async fn start(log: &LogServer, zones: &[&str]) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for zone in zones {
        let config = DaemonConfig::loopback(&log.url(), zone);
        daemons.push(Daemon::start(config).await.expect("the daemon starts"));
    }
    daemons
}

async fn log() -> LogServer {
    LogServer::start(ANY_PORT, None).await.expect("the log starts")
}

async fn submit(daemon: &Daemon, ticket: &Value) -> Result<TicketReceipt, TicketRefusal> {
    submit_ticket(&daemon.shared, ticket.to_string().as_bytes()).await
}

async fn code(daemon: &Daemon, ticket: &Value) -> ResultCode {
    submit(daemon, ticket).await.err().map_or(ResultCode::Answered, |refusal| refusal.code)
}

fn change(number: u64, names: &[&str], rate: f64) -> Value {
    let objects: Vec<_> = names.iter().map(|name| organisation(name, name, rate, 1.0)).collect();
    ticket(number, &objects)
}

#[tokio::test]
async fn submit_race_one_number_one_winner() -> googletest::Result<()> {
    let log = log().await;
    let daemons = Arc::new(start(&log, &["az1", "az2", "az3"]).await);
    for number in 1..=10 {
        let mut operators = JoinSet::new();
        for operator in 0..6 {
            let daemons = daemons.clone();
            let ticket = change(number, &["nord"], f64::from(operator));
            operators.spawn(async move { code(&daemons[operator as usize % 3], &ticket).await });
        }
        let codes = operators.join_all().await;
        let accepted = codes.iter().filter(|code| **code == ResultCode::Answered).count();
        let conflicts = codes.iter().filter(|code| **code == ResultCode::TicketConflict).count();
        verify_that!((accepted, conflicts), eq((1, 5)))?;
    }
    verify_same_state(&log, &daemons).await
}

#[tokio::test]
async fn submit_race_overlapping_objects_same_state() -> googletest::Result<()> {
    let log = log().await;
    let daemons = Arc::new(start(&log, &["az1", "az2", "az3"]).await);
    let names = ["a", "b", "c", "d"];
    let mut operators = JoinSet::new();
    for number in 1..=24_u64 {
        let daemons = daemons.clone();
        let first = number as usize % 4;
        let ticket = change(number, &[names[first], names[(first + 1) % 4]], number as f64);
        operators
            .spawn(async move { (number, code(&daemons[number as usize % 3], &ticket).await) });
    }
    let results = operators.join_all().await;
    verify_same_state(&log, &daemons).await?;
    let state = daemons[0].shared.version.current();
    for (number, code) in results {
        verify_that!(code, any![eq(ResultCode::Answered), eq(ResultCode::TicketStale)])?;
        let accepted = state.verdict(number).is_some_and(|verdict| verdict.accepted);
        verify_that!(accepted, eq(code == ResultCode::Answered))?;
    }
    // The highest number always wins.
    verify_that!(state.organisations["a"].rate, eq(24.0))
}

async fn verify_same_state(log: &LogServer, daemons: &[Daemon]) -> googletest::Result<()> {
    let tail = log.records("tickets").len() as u64;
    for daemon in daemons {
        wait_offset(daemon, tail).await;
    }
    let digests: Vec<_> =
        daemons.iter().map(|daemon| daemon.shared.version.current().digest()).collect();
    verify_that!(digests, each(eq(&digests[0])))
}

#[tokio::test]
async fn submit_each_number() -> googletest::Result<()> {
    let log = log().await;
    let daemons = start(&log, &["az1", "az2"]).await;
    let rows = [
        (change(5, &["a", "b"], 5.0), ResultCode::Answered),
        (change(5, &["a", "b"], 5.0), ResultCode::Answered),
        (change(5, &["a", "b"], 6.0), ResultCode::TicketConflict),
        (change(4, &["a"], 4.0), ResultCode::TicketStale),
        (change(4, &["c"], 4.0), ResultCode::Answered),
        (change(3, &["b", "d"], 3.0), ResultCode::TicketStale),
        (change(3, &["d"], 3.0), ResultCode::Answered),
        (ticket(6, &[]), ResultCode::TicketMalformed),
    ];
    for (index, (ticket, expected)) in rows.iter().enumerate() {
        verify_that!(code(&daemons[index % 2], ticket).await, eq(*expected))?;
        verify_same_state(&log, &daemons).await?;
    }
    // A ticket whose outcome is certain beforehand is not written.
    verify_that!(log.records("tickets").len(), eq(3))
}

/// A log on which another operator's record is always written just before the next append.
struct RivalLog {
    client: HttpLog,
    server: Arc<LogServer>,
    rival: Value,
}

#[async_trait]
impl PlatformLog for RivalLog {
    async fn append(&self, stream: &StreamName, body: Bytes) -> Result<u64, LogError> {
        if *stream == StreamName::tickets() {
            self.server.append(stream.as_str(), self.rival.to_string().as_bytes());
        }
        self.client.append(stream, body).await
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        self.client.read(stream, from, limit, wait).await
    }
}

#[tokio::test]
async fn submit_rival_just_before() -> googletest::Result<()> {
    let rows = [
        (change(6, &["b", "c"], 6.0), ResultCode::TicketStale, 6.0),
        (change(5, &["b"], 6.0), ResultCode::TicketConflict, 6.0),
        (change(5, &["a", "b"], 5.0), ResultCode::Answered, 5.0),
        (change(4, &["a", "b"], 4.0), ResultCode::Answered, 5.0),
        (change(6, &["c"], 6.0), ResultCode::Answered, 5.0),
    ];
    for (rival, expected, rate) in rows {
        let server = Arc::new(log().await);
        let log = RivalLog { client: HttpLog::new(&server.url()), server: server.clone(), rival };
        let config = DaemonConfig::loopback(&server.url(), "az1");
        let daemon = Daemon::start_with_log(config, Arc::new(log)).await;
        let daemon = daemon.expect("the daemon starts");
        verify_that!(code(&daemon, &change(5, &["a", "b"], 5.0)).await, eq(expected))?;
        let state = daemon.shared.version.current();
        verify_that!(state.organisations["b"].rate, eq(rate))?;
        verify_that!(server.records("tickets").len(), eq(2))?;
    }
    Ok(())
}

#[tokio::test]
async fn submit_each_append_fault() -> googletest::Result<()> {
    let none = || LogFaults { streams: "tickets".into(), ..LogFaults::default() };
    let lost = LogFaults { lose_append_answers: 1, ..none() };
    let lost_often = LogFaults { lose_append_answers: 3, ..none() };
    let dropped = LogFaults { drop_appends: 2, ..none() };
    let both = LogFaults { drop_appends: 1, lose_append_answers: 1, ..none() };
    let slow = LogFaults { delay_ms: 300, ..none() };
    for faults in [lost, lost_often, dropped, both, slow] {
        let log = log().await;
        let daemons = start(&log, &["az1", "az2"]).await;
        log.set_faults(faults);
        let receipt = submit(&daemons[0], &change(1, &["a"], 1.0)).await;
        verify_that!(receipt, ok(anything()))?;
        log.set_faults(LogFaults::default());
        verify_same_state(&log, &daemons).await?;
        verify_that!(daemons[1].shared.version.current().organisations["a"].rate, eq(1.0))?;
    }
    Ok(())
}

#[tokio::test]
async fn submit_log_down_outcome_unknown() -> googletest::Result<()> {
    let log = log().await;
    let daemons = start(&log, &["az1"]).await;
    log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    // The connection is established and then breaks, so the log may have written the record.
    let ticket = change(1, &["a"], 1.0);
    verify_that!(code(&daemons[0], &ticket).await, eq(ResultCode::TicketOutcomeUnknown))
}

#[tokio::test]
async fn submit_log_slow_outcome_unknown_then_in_force() -> googletest::Result<()> {
    let log = log().await;
    let daemons = start(&log, &["az1"]).await;
    log.set_faults(LogFaults { delay_ms: 20_000, ..LogFaults::default() });
    let ticket = change(1, &["a"], 1.0);
    verify_that!(code(&daemons[0], &ticket).await, eq(ResultCode::TicketOutcomeUnknown))?;
    log.set_faults(LogFaults::default());
    verify_that!(code(&daemons[0], &ticket).await, eq(ResultCode::Answered))
}

#[tokio::test]
async fn submit_nothing_listens_not_written() -> googletest::Result<()> {
    let unused = tokio::net::TcpListener::bind(ANY_PORT).await?;
    let address = unused.local_addr()?;
    drop(unused);
    let config = DaemonConfig::loopback(&format!("http://{address}"), "az1");
    let daemon = Daemon::start(config).await.expect("the daemon starts");
    let ticket = change(1, &["a"], 1.0);
    verify_that!(code(&daemon, &ticket).await, eq(ResultCode::LogUnavailable))
}

#[tokio::test]
async fn submit_outage_ends_meanwhile() -> googletest::Result<()> {
    let log = Arc::new(log().await);
    let daemons = start(&log, &["az1"]).await;
    log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    let recovering_log = log.clone();
    let recovery = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(700)).await;
        recovering_log.set_faults(LogFaults::default());
    });
    let receipt = submit(&daemons[0], &change(1, &["a"], 1.0)).await;
    recovery.await?;
    verify_that!(receipt, ok(anything()))
}
