//! Copies of a backend server's earlier answers, where the next answer on the connection is due.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use lentilway::process::daemon::Daemon;
use lentilway_lab::fleet::{
    ANY_PORT, Fleet, FleetNode, NodePlan, organisation, read_route, ticket, wait_members,
};
use lentilway_stand_ins::backend::BackendBehaviour;
use lentilway_stand_ins::caller::{Caller, CallerAnswer, CallerRequest};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

const KEY: &str = "key-nord";
const REQUESTS: usize = 30;
/// The request whose answer is sent twice.
const COPIED: usize = 5;
/// The time between a copy, or a part of it, and what follows on the connection.
const PAUSE: Duration = Duration::from_millis(20);
const SERVICE_TIME: Duration = Duration::from_millis(10);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const NOT_RUN: u16 = 2020;
const ANSWERED: u16 = 1000;
/// A body for which the server never answers.
const UNANSWERED: &str = "unanswered";

/// When the copy of an answer is sent.
#[derive(Clone, Copy, Debug)]
enum CopyTiming {
    /// At once.
    WithAnswer,
    /// While the connection is idle, in two pieces.
    Idle,
    /// After the next request on the connection has arrived, in one piece.
    LateWhole,
    /// The same in two pieces, cut in the body.
    LateInPieces,
}

/// What the server does with the request whose answer it copies.
#[derive(Clone, Copy, Debug)]
enum CopiedAnswer {
    Success,
    Refusal,
    /// The success that goes before the cancellation of another request on the connection.
    BeforeCancel,
}

#[derive(Clone, Copy)]
struct CopyingServer {
    answer: CopiedAnswer,
    timing: CopyTiming,
}

fn answer_bytes(attempt: &str, body: &str, is_refused: bool) -> Vec<u8> {
    let (status, mark) = match is_refused {
        true => ("503 Service Unavailable", "lentilway-not-run: true\r\n"),
        false => ("200 OK", ""),
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nlentilway-attempt: {attempt}\r\n{mark}content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

struct RawRequest {
    is_cancel: bool,
    attempt: String,
    body: String,
}

async fn read_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<RawRequest> {
    loop {
        let text = String::from_utf8_lossy(received).to_lowercase();
        if let Some(end) = text.find("\r\n\r\n") {
            let header = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
            let length = header("content-length: ").map_or(0, |value| value.parse().unwrap());
            if received.len() >= end + 4 + length {
                let body = text[end + 4..end + 4 + length].to_owned();
                let attempt = header("lentilway-attempt: ").unwrap_or_default().to_owned();
                let is_cancel = text.starts_with("delete ");
                received.drain(..end + 4 + length);
                return Some(RawRequest { is_cancel, attempt, body });
            }
        }
        let mut buffer = [0; 4_096];
        let Ok(count @ 1..) = stream.read(&mut buffer).await else { return None };
        received.extend_from_slice(&buffer[..count]);
    }
}

impl CopyingServer {
    async fn start(self) -> (SocketAddr, JoinSet<()>) {
        let listener = TcpListener::bind(ANY_PORT).await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let served = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(self.serve(stream, served.clone()));
            }
        });
        (address, tasks)
    }

    async fn serve(self, mut stream: TcpStream, served: Arc<AtomicUsize>) {
        stream.set_nodelay(true).expect("the option is known");
        let mut received = Vec::new();
        let mut last_answer: Option<Vec<u8>> = None;
        let mut due_copy = None;
        while let Some(request) = read_request(&mut stream, &mut received).await {
            if request.body == UNANSWERED {
                return std::future::pending().await;
            }
            if request.is_cancel && matches!(self.answer, CopiedAnswer::BeforeCancel) {
                due_copy = last_answer.take();
            }
            if let Some(copy) = due_copy.take() {
                self.send_late(&mut stream, copy).await;
                sleep(PAUSE).await;
            }
            if request.is_cancel {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
                continue;
            }
            sleep(SERVICE_TIME).await;
            let is_copied = served.fetch_add(1, Ordering::SeqCst) == COPIED;
            let is_refused = is_copied && matches!(self.answer, CopiedAnswer::Refusal);
            let answer = answer_bytes(&request.attempt, &request.body, is_refused);
            let copies = usize::from(is_copied && matches!(self.timing, CopyTiming::WithAnswer));
            // An error is seen by the next read.
            let _ = stream.write_all(&answer.repeat(1 + copies)).await;
            last_answer = Some(answer.clone());
            let is_copied = is_copied && !matches!(self.answer, CopiedAnswer::BeforeCancel);
            match self.timing {
                CopyTiming::Idle if is_copied => self.send_late(&mut stream, answer).await,
                CopyTiming::LateWhole | CopyTiming::LateInPieces if is_copied => {
                    due_copy = Some(answer);
                }
                _ => {}
            }
        }
    }

    async fn send_late(self, stream: &mut TcpStream, copy: Vec<u8>) {
        let cut = match self.timing {
            CopyTiming::WithAnswer | CopyTiming::LateWhole => copy.len(),
            CopyTiming::Idle | CopyTiming::LateInPieces => copy.len() - 1,
        };
        let (first, rest) = copy.split_at(cut);
        let _ = stream.write_all(first).await;
        sleep(PAUSE).await;
        let _ = stream.write_all(rest).await;
    }
}

struct CopyFleet {
    fleet: Fleet,
    daemon: Daemon,
    caller: Caller,
    _tasks: JoinSet<()>,
}

impl CopyFleet {
    async fn start(server: CopyingServer) -> CopyFleet {
        let plans = [
            NodePlan::new("stock", "az1", BackendBehaviour::default()),
            NodePlan::new("pricing", "az2", BackendBehaviour::default()),
        ];
        let organisation = organisation("nord", KEY, 100_000.0, 100_000.0);
        let tickets = [ticket(1, &[organisation, read_route("stock-read", "/stock", "stock")])];
        let fleet = Fleet::start(&tickets, &plans, |config| config.retry_allowance = 0);
        let mut fleet = fleet.await.expect("the fleet starts");
        let FleetNode { daemon, backend, .. } = fleet.nodes.remove(0);
        backend.kill();
        let (address, mut tasks) = server.start().await;
        let (caller, slot) = (Caller::default(), daemon.addresses.slot);
        let announcement = CallerRequest {
            method: "POST".into(),
            path: "/lentilway/announce".into(),
            body: json!({ "service": "stock", "address": address, "boot": 1 }).to_string(),
            ..CallerRequest::default()
        };
        let announced = caller.send(slot, &announcement).await;
        expect_that!(announced.map(|answer| answer.status), ok(eq(&200)));
        let announcer = caller.clone();
        tasks.spawn(async move {
            loop {
                sleep(ANNOUNCE_INTERVAL).await;
                // The next announcement repeats a lost one.
                let _ = announcer.send(slot, &announcement).await;
            }
        });
        wait_members(&daemon, 2).await;
        CopyFleet { fleet, daemon, caller, _tasks: tasks }
    }

    async fn send(&self, body: &str, timeout_millis: u32) -> CallerAnswer {
        let headers = vec![("lentilway-timeout-ms".into(), timeout_millis.to_string())];
        let request =
            CallerRequest { body: body.into(), headers, ..CallerRequest::get("/stock/7", KEY) };
        let answer = self.caller.send(self.daemon.addresses.caller, &request).await;
        answer.expect("the daemon answers")
    }

    /// Sends requests one after the other; returns how many failed, and how many were refused.
    async fn send_in_turn(&self, case: &str) -> (usize, usize) {
        let (mut failed, mut refused) = (0, 0);
        for index in 0..REQUESTS {
            let body = format!("request {index}");
            let answer = self.send(&body, 2_000).await;
            match answer.code {
                ANSWERED => expect_that!(answer.body, eq(&body), "{case}"),
                NOT_RUN => {
                    refused += 1;
                    expect_that!(index, eq(COPIED), "{case}: the request that was refused");
                }
                _ => failed += 1,
            }
        }
        (failed, refused)
    }
}

/// A copy costs the request whose answer is due, and no later one.
#[gtest]
#[tokio::test]
async fn copied_answer_fails_one_request_at_most() {
    for answer in [CopiedAnswer::Success, CopiedAnswer::Refusal] {
        for timing in [
            CopyTiming::WithAnswer,
            CopyTiming::Idle,
            CopyTiming::LateWhole,
            CopyTiming::LateInPieces,
        ] {
            let case = format!("{answer:?} {timing:?}");
            let fleet = CopyFleet::start(CopyingServer { answer, timing }).await;
            let (failed, refused) = fleet.send_in_turn(&case).await;
            println!("{case}: {failed} of {REQUESTS} failed, {refused} refused");
            expect_that!(failed, le(1), "{case}");
            let is_refusal = matches!(answer, CopiedAnswer::Refusal);
            expect_that!(refused, eq(usize::from(is_refusal)), "{case}");
            fleet.fleet.stop().await;
        }
    }
}

/// A copy that takes the place of the answer to a cancellation costs no request.
#[gtest]
#[tokio::test]
async fn copied_answer_to_cancel_fails_no_request() {
    for timing in [CopyTiming::LateWhole, CopyTiming::LateInPieces] {
        let case = format!("{timing:?}");
        let server = CopyingServer { answer: CopiedAnswer::BeforeCancel, timing };
        let fleet = CopyFleet::start(server).await;
        // Two connections are kept: one for the request that is cancelled, one for its cancellation.
        let (first, second) = tokio::join!(fleet.send("a", 2_000), fleet.send("b", 2_000));
        expect_that!((first.code, second.code), eq((ANSWERED, ANSWERED)), "{case}");
        let late = fleet.send(UNANSWERED, 100).await;
        expect_that!(late.code, eq(3003), "{case}");
        sleep(PAUSE / 2).await;
        let (failed, refused) = fleet.send_in_turn(&case).await;
        println!("{case}: {failed} of {REQUESTS} failed after a cancellation");
        expect_that!((failed, refused), eq((0, 0)), "{case}");
        fleet.fleet.stop().await;
    }
}
