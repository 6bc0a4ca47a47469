//! A backend server that writes a refusal once more while the refused request runs.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::fleet::{KEY, TestFleet};
use super::kept_connections::{NO_BODY, REFUSAL, listen, read_head, request_id, whole_answer};

const REQUESTS: usize = 40;
const DEADLINE: Duration = Duration::from_secs(2);
const RUN_TIME: Duration = Duration::from_millis(20);

/// Runs by request id.
type RunCounts = Arc<Mutex<HashMap<String, usize>>>;

/// A server that refuses some requests once.
#[derive(Clone)]
struct CopyingServer {
    /// Requests whose ids contain this are refused.
    marker: &'static str,
    refused: Arc<Mutex<HashSet<String>>>,
    runs: RunCounts,
}

impl CopyingServer {
    async fn start(marker: &'static str) -> (Self, SocketAddr) {
        let (listener, address) = listen().await;
        let server = CopyingServer { marker, refused: Arc::default(), runs: Arc::default() };
        let accepting = server.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                // An error means that the daemon has closed the connection.
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        (server, address)
    }

    /// Before the answer to a request that was refused on the same connection, the refusal is
    /// written once more.
    async fn serve(self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut refused_here = HashSet::new();
        loop {
            let head = read_head(&mut stream).await?;
            let id = request_id(&head).to_owned();
            let refusal = format!("{REFUSAL}x-lentilway-attempt-id: {id}\r\n{NO_BODY}");
            let is_refused =
                id.contains(self.marker) && self.refused.lock().unwrap().insert(id.clone());
            if is_refused {
                refused_here.insert(id);
                stream.write_all(refusal.as_bytes()).await?;
                continue;
            }
            *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            if refused_here.contains(&id) {
                stream.write_all(refusal.as_bytes()).await?;
            }
            sleep(RUN_TIME).await;
            stream.write_all(whole_answer(&id).as_bytes()).await?;
        }
    }

    fn runs(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).copied().unwrap_or_default()
    }
}

/// The copy of a refusal that arrives while the request runs does not make it run again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_copied_runs_once() {
    let (server, address) = CopyingServer::start("refused").await;
    let fleet = TestFleet::new();
    let daemon = fleet.start_beside("one", "stock", address).await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    // Requests earn the retries for those that are refused.
    for _ in 0..REQUESTS {
        fleet.send(&daemon, "/read/1", KEY).await;
    }
    for number in 0..REQUESTS {
        let id = if number % 8 == 0 { format!("refused-{number}") } else { number.to_string() };
        let answer = fleet.try_request(&daemon, "/write/1", KEY, &id, DEADLINE).await.unwrap();
        expect_that!((answer.status, server.runs(&id)), eq((200, 1)), "{id}");
    }
}

/// A caller is not told "not run" about a request that ran because its earlier refusal came twice.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_copied_promise_true() {
    let (server, address) = CopyingServer::start("refused").await;
    let fleet = TestFleet::new();
    let daemon = fleet.start_beside("one", "stock", address).await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    // More are refused than the retry budget lets be sent again.
    for number in 0..REQUESTS {
        let id = format!("refused-{number}");
        let answer = fleet.try_request(&daemon, "/write/1", KEY, &id, DEADLINE).await.unwrap();
        let runs = server.runs(&id);
        let is_true = matches!((answer.status, runs), (200, 1) | (503, 0));
        expect_that!(is_true, eq(true), "{id} ran {runs} times, answered {}", answer.status);
    }
}

/// Refuses all writes in answers that name no request.
async fn serve_unnamed_refusals(mut stream: TcpStream) -> std::io::Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let answer = match head.contains("/write/") {
            true => format!("{REFUSAL}{NO_BODY}"),
            false => whole_answer(request_id(&head)),
        };
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// A connection on which an answer named no request is not used for the next one, whose refusal
/// could not be told from a copy.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_unnamed_next_is_attributed() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            // An error means that the daemon has closed the connection.
            tokio::spawn(serve_unnamed_refusals(stream));
        }
    });
    let fleet = TestFleet::new();
    let daemon = fleet.start_beside("one", "stock", address).await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    // It comes on the connection of the read, so that it cannot be attributed.
    expect_that!(fleet.send(&daemon, "/write/1", KEY).await.status, eq(502));
    for number in 0..REQUESTS {
        let answer = fleet.send(&daemon, "/write/1", KEY).await;
        expect_that!(answer.status, eq(503), "request {number}");
    }
}
