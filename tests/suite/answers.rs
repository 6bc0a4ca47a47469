//! Faulty answers of backend servers: late, crossed, truncated, reset, duplicated and unframed.

use std::net::SocketAddr;

use googletest::prelude::*;
use lentilway_lab::fleet::{
    ANY_PORT, Fleet, NodePlan, organisation, read_route, ticket, wait_members,
};
use lentilway_stand_ins::backend::{AnswerFault, BackendBehaviour};
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

const KEY: &str = "key-nord";

fn tickets() -> [Value; 1] {
    let organisation = organisation("nord", KEY, 100_000.0, 100_000.0);
    [ticket(1, &[organisation, read_route("stock-read", "/stock", "stock")])]
}

async fn start_fleet(behaviour: BackendBehaviour) -> Fleet {
    let plans = [
        NodePlan::new("stock", "az1", behaviour),
        NodePlan::new("pricing", "az2", BackendBehaviour::default()),
    ];
    let tickets = tickets();
    let fleet = Fleet::start(&tickets, &plans, |config| {
        config.retry_allowance = 0;
        config.limits.answer_bytes = 64 * 1024;
    });
    fleet.await.expect("the fleet starts")
}

fn with_body(body: &str) -> CallerRequest {
    CallerRequest { body: body.into(), ..CallerRequest::get("/stock/7", KEY) }
}

fn echo_of(body: &str) -> String {
    let answer: Value = serde_json::from_str(body).unwrap_or_default();
    answer["echo"].as_str().unwrap_or("no echo").to_string()
}

/// Result code of each fault, the same at every daemon.
#[gtest]
#[tokio::test]
async fn answer_fault_table() -> Result<()> {
    let base = BackendBehaviour::default;
    let table = [
        ("whole", base(), 1000),
        ("crossed", BackendBehaviour { answer: AnswerFault::Crossed, ..base() }, 3001),
        ("truncated", BackendBehaviour { answer: AnswerFault::Truncated, ..base() }, 3001),
        ("reset", BackendBehaviour { answer: AnswerFault::Reset, ..base() }, 3001),
        ("refused", BackendBehaviour { answer: AnswerFault::Refused, ..base() }, 2020),
        ("failed", BackendBehaviour { answer: AnswerFault::Failed, ..base() }, 1000),
        ("too large", BackendBehaviour { padding_bytes: 65 * 1024, ..base() }, 3004),
    ];
    let fleet = start_fleet(base()).await;
    let caller = Caller::default();
    for (case, behaviour, expected) in table {
        fleet.nodes[0].backend.set_behaviour(behaviour);
        for daemon in fleet.callers() {
            let answer = caller.send(daemon, &with_body(case)).await;
            let code = answer.as_ref().map(|answer| answer.code).unwrap_or(0);
            expect_that!(code, eq(expected), "{case}");
            let echo = answer.map(|answer| echo_of(&answer.body)).unwrap_or_default();
            let own = if expected == 1000 { case } else { "no echo" };
            expect_that!(echo, eq(own), "{case}");
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn answer_late_dropped() -> Result<()> {
    let fleet = start_fleet(BackendBehaviour::default()).await;
    let caller = Caller::default();
    let slow = BackendBehaviour { service_ms: 400.0, ..BackendBehaviour::default() };
    fleet.nodes[0].backend.set_behaviour(slow);
    let short_timeout = CallerRequest {
        headers: vec![("lentilway-timeout-ms".into(), "100".into())],
        ..with_body("late")
    };
    for daemon in fleet.callers() {
        let answer = caller.send(daemon, &short_timeout).await.expect("the daemon answers");
        expect_that!(answer.code, eq(3003));
    }
    fleet.nodes[0].backend.set_behaviour(BackendBehaviour::default());
    for daemon in fleet.callers() {
        let answer = caller.send(daemon, &with_body("next")).await.expect("the daemon answers");
        expect_that!((answer.code, echo_of(&answer.body).as_str()), eq((1000, "next")));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn answer_concurrent_own() -> Result<()> {
    let exponential = BackendBehaviour { exponential: true, ..BackendBehaviour::default() };
    let fleet = start_fleet(exponential).await;
    let caller = Caller::default();
    let mut requests = JoinSet::new();
    for index in 0..200 {
        let daemon = fleet.callers()[index % 2];
        let caller = caller.clone();
        requests.spawn(async move {
            let body = format!("request {index}");
            let answer = caller.send(daemon, &with_body(&body)).await;
            answer.map(|answer| echo_of(&answer.body) == body)
        });
    }
    while let Some(own) = requests.join_next().await {
        expect_that!(own, ok(ok(eq(&true))));
    }
    Ok(())
}

/// The raw answers of a backend server that violates the protocol.
#[derive(Clone, Copy)]
enum RawAnswer {
    /// The same answer twice.
    Twice,
    /// An answer without a length.
    Unframed,
    /// Another attempt's identity and a length.
    Foreign,
}

impl RawAnswer {
    fn bytes(self, attempt: &str) -> String {
        let framed = |attempt: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nlentilway-attempt: {attempt}\r\ncontent-length: 2\r\n\r\nok"
            )
        };
        match self {
            RawAnswer::Twice => framed(attempt).repeat(2),
            RawAnswer::Unframed => {
                format!("HTTP/1.1 200 OK\r\nlentilway-attempt: {attempt}\r\n\r\nok")
            }
            RawAnswer::Foreign => framed("00000000000000000000000000000000"),
        }
    }
}

/// Serves `answer` on every connection; returns the address and the tasks.
async fn start_raw_backend(answer: RawAnswer) -> (SocketAddr, JoinSet<()>) {
    let listener = TcpListener::bind(ANY_PORT).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn(serve_raw(stream, answer));
        }
    });
    (address, tasks)
}

async fn serve_raw(mut stream: TcpStream, answer: RawAnswer) {
    let mut received = Vec::new();
    loop {
        let mut buffer = [0; 4096];
        let Ok(count @ 1..) = stream.read(&mut buffer).await else { return };
        received.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&received).to_lowercase();
        let Some(end) = text.find("\r\n\r\n") else { continue };
        let attempt = text.lines().find_map(|line| line.strip_prefix("lentilway-attempt: "));
        let bytes = answer.bytes(attempt.unwrap_or_default());
        received.drain(..end + 4);
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        if matches!(answer, RawAnswer::Unframed) {
            return;
        }
    }
}

#[gtest]
#[tokio::test]
async fn answer_raw_table() -> Result<()> {
    let table = [
        ("twice", RawAnswer::Twice, vec![1000, 3001]),
        ("unframed", RawAnswer::Unframed, vec![3001]),
        ("foreign", RawAnswer::Foreign, vec![3001]),
    ];
    for (case, answer, allowed) in table {
        let mut fleet = start_fleet(BackendBehaviour::default()).await;
        let node = fleet.nodes.remove(0);
        node.backend.kill();
        let (address, _tasks) = start_raw_backend(answer).await;
        let announcement = CallerRequest {
            method: "POST".into(),
            path: "/lentilway/announce".into(),
            body: json!({ "service": "stock", "address": address, "boot": 1 }).to_string(),
            ..CallerRequest::default()
        };
        let caller = Caller::default();
        let announced = caller.send(node.daemon.addresses.slot, &announcement).await;
        expect_that!(announced.map(|answer| answer.status), ok(eq(&200)));
        wait_members(&node.daemon, 2).await;
        for _ in 0..20 {
            let answer = caller.send(node.daemon.addresses.caller, &with_body("")).await;
            let answer = answer.expect("the daemon answers");
            expect_that!(allowed, contains(eq(&answer.code)), "{case}");
            if answer.code == 1000 {
                expect_that!(answer.body.as_str(), eq("ok"), "{case}");
            }
        }
    }
    Ok(())
}

/// A cut part of a refusal, which the answer that is due continues.
const CUT_REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nlentilway-not-run: true\r\nserver: sto";

/// Answers the first request of a connection wholly, and later ones after a cut refusal.
async fn serve_after_cut_refusal(mut stream: TcpStream) -> std::io::Result<()> {
    let mut received = Vec::new();
    for exchange in 0.. {
        let end = loop {
            let mut buffer = [0; 4096];
            let count = stream.read(&mut buffer).await?;
            if count == 0 {
                return Ok(());
            }
            received.extend_from_slice(&buffer[..count]);
            let found = received.windows(4).position(|window| window == b"\r\n\r\n");
            if let Some(end) = found {
                break end;
            }
        };
        let text = String::from_utf8_lossy(&received[..end]).to_lowercase();
        let attempt = text.lines().find_map(|line| line.strip_prefix("lentilway-attempt: "));
        let whole = RawAnswer::Foreign.bytes("");
        let whole = whole.replace(&"0".repeat(32), attempt.unwrap_or_default());
        received.clear();
        let surplus = if exchange == 0 { "" } else { CUT_REFUSAL };
        stream.write_all(format!("{surplus}{whole}").as_bytes()).await?;
    }
    Ok(())
}

/// An answer that continues a cut refusal is no refusal: the request ran.
#[gtest]
#[tokio::test]
async fn answer_after_cut_refusal_may_have_run() -> Result<()> {
    let mut fleet = start_fleet(BackendBehaviour::default()).await;
    let node = fleet.nodes.remove(0);
    node.backend.kill();
    let listener = TcpListener::bind(ANY_PORT).await?;
    let address = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn(serve_after_cut_refusal(stream));
        }
    });
    let announcement = CallerRequest {
        method: "POST".into(),
        path: "/lentilway/announce".into(),
        body: json!({ "service": "stock", "address": address, "boot": 1 }).to_string(),
        ..CallerRequest::default()
    };
    let caller = Caller::default();
    let announced = caller.send(node.daemon.addresses.slot, &announcement).await;
    expect_that!(announced.map(|answer| answer.status), ok(eq(&200)));
    wait_members(&node.daemon, 2).await;
    for number in 0..4 {
        let request = CallerRequest::get("/stock/7", KEY);
        let answer = caller.send(node.daemon.addresses.caller, &request).await;
        let code = answer.map(|answer| answer.code).unwrap_or(0);
        expect_that!([1000, 3001].contains(&code), eq(true), "request {number}: {code}");
    }
    Ok(())
}
