//! Backend servers and strangers that send bytes without end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use super::fleet::{KEY, TestFleet, own_loopback, wait_until};

/// Bytes that a connection may take in before the daemon closes it: what one head or body may have,
/// and the buffers of the sockets between.
const HEAD_BYTES_MAX: usize = 1 << 20;
const BODY_BYTES_MAX: usize = 24 << 20;
pub(crate) const SOCKET_BUFFER_BYTES: usize = 8 << 20;
/// The timeout of the test's routes, and some time to close.
const CLOSED_WITHIN: Duration = Duration::from_millis(3_500);

/// What a flooding server sends after it has read the head of a request.
#[derive(Clone, Debug)]
pub(crate) struct Flood {
    pub(crate) name: &'static str,
    /// Sent once; `{id}` stands for the id of the request.
    prefix: &'static str,
    /// Sent again and again until the connection is closed.
    pub(crate) repeated: Vec<u8>,
    /// Time between the repeats.
    pub(crate) pause: Duration,
    bytes_max: usize,
}

pub(crate) fn floods() -> Vec<Flood> {
    let head = |name, prefix, repeated: Vec<u8>| {
        let bytes_max = HEAD_BYTES_MAX + SOCKET_BUFFER_BYTES;
        Flood { name, prefix, repeated, pause: Duration::ZERO, bytes_max }
    };
    let body = |name, prefix, repeated: Vec<u8>| {
        let bytes_max = BODY_BYTES_MAX + SOCKET_BUFFER_BYTES;
        Flood { name, prefix, repeated, pause: Duration::ZERO, bytes_max }
    };
    vec![
        head("no answer", "", vec![b'x'; 4_096]),
        head("empty lines", "", b"\r\n".repeat(2_048)),
        head("one header", "HTTP/1.1 200 OK\r\nx-long: ", vec![b'a'; 4_096]),
        head("many headers", "HTTP/1.1 200 OK\r\n", b"x-more: b\r\n".repeat(400)),
        head("interim answers", "", b"HTTP/1.1 100 Continue\r\n\r\n".repeat(160)),
        body(
            "body to the end",
            concat!(
                "HTTP/1.1 200 OK\r\nx-lentilway-attempt-id: {id}\r\n",
                "x-lentilway-server-signature: signed\r\n\r\n"
            ),
            vec![b'a'; 65_536],
        ),
        body(
            "long length",
            concat!(
                "HTTP/1.1 200 OK\r\nx-lentilway-attempt-id: {id}\r\n",
                "x-lentilway-server-signature: signed\r\ncontent-length: 99999999999\r\n\r\n"
            ),
            vec![b'a'; 65_536],
        ),
        body(
            "chunks",
            concat!(
                "HTTP/1.1 200 OK\r\nx-lentilway-attempt-id: {id}\r\n",
                "x-lentilway-server-signature: signed\r\ntransfer-encoding: chunked\r\n\r\n"
            ),
            [b"1000\r\n".to_vec(), vec![b'a'; 4_096], b"\r\n".to_vec()].concat(),
        ),
        head(
            "chunk size",
            concat!(
                "HTTP/1.1 200 OK\r\nx-lentilway-attempt-id: {id}\r\n",
                "x-lentilway-server-signature: signed\r\ntransfer-encoding: chunked\r\n\r\n"
            ),
            vec![b'0'; 4_096],
        ),
        head(
            "chunk extension",
            concat!(
                "HTTP/1.1 200 OK\r\nx-lentilway-attempt-id: {id}\r\n",
                "x-lentilway-server-signature: signed\r\ntransfer-encoding: chunked\r\n\r\n5;x="
            ),
            vec![b'a'; 4_096],
        ),
        head(
            "trailers",
            concat!(
                "HTTP/1.1 200 OK\r\nx-lentilway-attempt-id: {id}\r\n",
                "x-lentilway-server-signature: signed\r\ntransfer-encoding: chunked\r\n\r\n",
                "2\r\nok\r\n0\r\n"
            ),
            b"x-more: b\r\n".repeat(400),
        ),
    ]
}

/// A backend server that floods every connection.
pub(crate) struct FloodingServer {
    pub(crate) address: std::net::SocketAddr,
    arrivals: Arc<AtomicUsize>,
    pub(crate) written: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
}

impl FloodingServer {
    pub(crate) async fn start(flood: Flood) -> Self {
        let listener = TcpListener::bind((own_loopback(), 0)).await.unwrap();
        let server = FloodingServer {
            address: listener.local_addr().unwrap(),
            arrivals: Arc::default(),
            written: Arc::default(),
            open: Arc::default(),
        };
        let counts = (server.arrivals.clone(), server.written.clone(), server.open.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (flood, counts) = (flood.clone(), counts.clone());
                tokio::spawn(async move {
                    let (arrivals, written, open) = counts;
                    open.fetch_add(1, Ordering::SeqCst);
                    // An error means that the daemon has closed the connection.
                    let _ = send_flood(stream, &flood, &arrivals, &written).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        server
    }
}

async fn send_flood(
    mut stream: TcpStream,
    flood: &Flood,
    arrivals: &AtomicUsize,
    written: &AtomicUsize,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).await?;
        head.push(byte[0]);
    }
    arrivals.fetch_add(1, Ordering::SeqCst);
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let id = head.split("x-lentilway-attempt-id: ").nth(1).and_then(|rest| rest.lines().next());
    let prefix = flood.prefix.replace("{id}", id.unwrap_or_default());
    stream.write_all(prefix.as_bytes()).await?;
    loop {
        stream.write_all(&flood.repeated).await?;
        written.fetch_add(flood.repeated.len(), Ordering::SeqCst);
        if !flood.pause.is_zero() {
            sleep(flood.pause).await;
        }
    }
}

/// Whatever a server sends without end, the daemon takes in a bounded part of it, the caller gets a
/// true failure in time, and the connection is not used again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_without_end() {
    for flood in floods() {
        let (name, bytes_max) = (flood.name, flood.bytes_max);
        let server = FloodingServer::start(flood).await;
        let fleet = TestFleet::new();
        let daemon = fleet.start_beside("one", "stock", server.address).await;
        fleet.until(&daemon, "/none/1", KEY, 404).await;
        let started = Instant::now();
        let answer = fleet.send(&daemon, "/write/1", KEY).await;
        expect_that!(answer.status, any![eq(502), eq(504)], "{name}");
        expect_that!(answer.headers["lentilway-execution"], eq("may-have-run"), "{name}");
        expect_that!(started.elapsed(), lt(CLOSED_WITHIN), "{name}");
        expect_that!(server.arrivals.load(Ordering::SeqCst), eq(1), "{name}");
        let open = server.open.clone();
        let closed = wait_until(move || open.load(Ordering::SeqCst) == 0);
        expect_that!(timeout(CLOSED_WITHIN, closed).await, ok(anything()), "{name}");
        let written = server.written.load(Ordering::SeqCst);
        println!("{name}: {written} bytes in {:?}", started.elapsed());
        expect_that!(written, le(bytes_max), "{name}");
    }
}

/// Several bodies without end at a time share one bound, and the daemon goes on serving.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_together() {
    let flood = floods().into_iter().find(|flood| flood.name == "chunks").unwrap();
    let server = FloodingServer::start(flood).await;
    let fleet = Arc::new(TestFleet::new());
    let flooded = Arc::new(fleet.start_beside("one", "stock", server.address).await);
    fleet.until(&flooded, "/none/1", KEY, 404).await;
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..6 {
        let (fleet, flooded) = (fleet.clone(), flooded.clone());
        callers.spawn(async move { fleet.send(&flooded, "/write/1", KEY).await.status });
    }
    let statuses = callers.join_all().await;
    expect_that!(statuses, each(any![eq(&502), eq(&504), eq(&503)]));
    let written = server.written.load(Ordering::SeqCst);
    println!("{written} bytes for six answers");
    // The bound over all bodies, and the buffers of the sockets.
    expect_that!(written, le((48 << 20) + 6 * SOCKET_BUFFER_BYTES));
}

/// A whole answer with bytes after it: the caller gets the answer, and the next caller nothing of
/// the rest.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_followed_by_bytes() {
    let prefix = concat!(
        "HTTP/1.1 200 OK\r\nx-lentilway-attempt-id: {id}\r\n",
        "x-lentilway-server-signature: signed\r\ncontent-length: 5\r\n\r\nwhole"
    );
    for repeated in [vec![b'x'; 4_096], b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_vec()] {
        let bytes_max = HEAD_BYTES_MAX + SOCKET_BUFFER_BYTES;
        let flood =
            Flood { name: "after an answer", prefix, repeated, pause: Duration::ZERO, bytes_max };
        let server = FloodingServer::start(flood).await;
        let fleet = TestFleet::new();
        let daemon = fleet.start_beside("one", "stock", server.address).await;
        fleet.until(&daemon, "/none/1", KEY, 404).await;
        for _ in 0..5 {
            let answer = fleet.send(&daemon, "/read/1", KEY).await;
            expect_that!(answer.status, eq(200));
            expect_that!(&answer.body[..], eq(b"whole"));
        }
        sleep(Duration::from_millis(300)).await;
        expect_that!(server.open.load(Ordering::SeqCst), eq(0));
        expect_that!(server.written.load(Ordering::SeqCst), le(5 * bytes_max));
    }
}

/// A stranger at the listener for daemons announces long messages and never ends them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn frame_without_end() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    let mut written = 0;
    for length in [u32::MAX, 70 << 20, 30 << 20, 30 << 20, 30 << 20] {
        let mut stranger = TcpStream::connect(daemon.settings.peer_listen).await.unwrap();
        stranger.write_all(&length.to_be_bytes()).await.unwrap();
        let chunk = vec![7; 64 * 1024];
        for _ in 0..length as usize / chunk.len() - 1 {
            // An error means that the daemon has closed the connection.
            match timeout(Duration::from_secs(1), stranger.write_all(&chunk)).await {
                Ok(Ok(())) => written += chunk.len(),
                Ok(Err(_)) | Err(_) => break,
            }
        }
        std::mem::forget(stranger);
    }
    println!("{written} bytes of messages without end");
    expect_that!(written, le((40 << 20) + 5 * SOCKET_BUFFER_BYTES));
    expect_that!(fleet.send(&daemon, "/read/1", KEY).await.status, eq(200));
}
