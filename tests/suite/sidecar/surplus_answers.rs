//! A backend server that sends some of its answers twice, beside usual load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::fleet::{KEY, TestFleet};
use super::kept_connections::{listen, read_head, request_id, whole_answer};

const SEED: u64 = 41;
const CALLERS: usize = 8;
const REQUESTS_PER_CALLER: usize = 150;
/// Longest time from an answer to its copy.
const COPY_DELAY: Duration = Duration::from_millis(150);
const RUN_TIME: Duration = Duration::from_millis(10);

/// A server that counts what it gets and what it sends twice.
#[derive(Clone)]
struct DoublingServer {
    copied_fraction: f64,
    connections: Arc<AtomicUsize>,
    copies: Arc<AtomicUsize>,
}

impl DoublingServer {
    async fn start(copied_fraction: f64) -> (Self, SocketAddr) {
        let (listener, address) = listen().await;
        let (connections, copies) = (Arc::default(), Arc::default());
        let server = DoublingServer { copied_fraction, connections, copies };
        let accepting = server.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let number = accepting.connections.fetch_add(1, Ordering::SeqCst);
                let random = StdRng::seed_from_u64(SEED + number as u64);
                // An error means that the daemon has closed the connection.
                tokio::spawn(accepting.clone().serve(stream, random));
            }
        });
        (server, address)
    }

    async fn serve(self, stream: TcpStream, mut random: StdRng) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, writer) = tokio::io::split(stream);
        let writer = Arc::new(Mutex::new(writer));
        let mut copies = JoinSet::new();
        loop {
            let head = read_head(&mut reader).await?;
            let answer = whole_answer(request_id(&head));
            sleep(RUN_TIME).await;
            writer.lock().await.write_all(answer.as_bytes()).await?;
            if random.random_bool(self.copied_fraction) {
                let delay = random.random_range(Duration::ZERO..COPY_DELAY);
                let (writer, count) = (writer.clone(), self.copies.clone());
                copies.spawn(async move {
                    sleep(delay).await;
                    if writer.lock().await.write_all(answer.as_bytes()).await.is_ok() {
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                });
            }
        }
    }
}

/// Answers that a caller cannot rely on, and connections, of requests on `path`, of whose answers a
/// fraction comes twice.
async fn failures_beside_copies(path: &'static str, copied_fraction: f64) -> (usize, usize) {
    let (server, address) = DoublingServer::start(copied_fraction).await;
    let fleet = Arc::new(TestFleet::new());
    let daemon = Arc::new(fleet.start_beside("one", "stock", address).await);
    fleet.until(&daemon, path, KEY, 200).await;
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let (fleet, daemon) = (fleet.clone(), daemon.clone());
        callers.spawn(async move {
            let mut failures = 0;
            for _ in 0..REQUESTS_PER_CALLER {
                failures += usize::from(fleet.send(&daemon, path, KEY).await.status == 502);
            }
            failures
        });
    }
    let failures = callers.join_all().await.into_iter().sum();
    let (copies, connections) = (&server.copies, &server.connections);
    let expected = copied_fraction == 0.0;
    assert_eq!(copies.load(Ordering::SeqCst) == 0, expected, "answers are sent twice as planned");
    (failures, connections.load(Ordering::SeqCst))
}

/// One answer in a hundred that comes twice costs at most one request in four hundred.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn copies_cost_few_requests() {
    for path in ["/write/1", "/read/1"] {
        let (failures, _) = failures_beside_copies(path, 0.01).await;
        expect_that!(failures, le(CALLERS * REQUESTS_PER_CALLER / 400), "{path}");
    }
}

/// A server that sends each answer once gets a connection for each request at the same time.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_copies_connections_kept() {
    for path in ["/write/1", "/read/1"] {
        let (failures, connections) = failures_beside_copies(path, 0.0).await;
        expect_that!((failures, connections), (eq(0), le(CALLERS)), "{path}");
    }
}
