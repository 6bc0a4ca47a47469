//! Crowds of callers that read slowly, send heads, lines or bodies without end or keep connections
//! open, against daemon processes with lowered limits.

mod http2;
mod listeners;
mod slow_callers;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lentilway_stand_ins::http::http_client;
use lentilway_stand_ins::platform::store::StoreServer;
use lentilway_stand_ins::platform::{
    HOST, REQUEST_ID, RoutePlan, SIGNATURE, TenantPlan, config_record,
};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::endless::{DaemonProcess, send};
use super::fleet::{KEY, own_loopback};

/// Limits of the machine of each daemon, stated in its settings.
const MEMORY_MB: u64 = 96;
const DESCRIPTORS_MAX: usize = 256;
/// The largest body of the platform's configuration, and the smallest memory of a machine that has it.
const LARGEST_BODY_BYTES: usize = 64 << 20;
const CALM_MEMORY_MB: u64 = 260;
/// Callers of a crowd, more than the daemon has descriptors.
const CROWD: usize = 400;
/// Callers that want long answers, and the size of each.
const READERS: usize = 120;
const LONG_ANSWER_BYTES: usize = 4 << 20;
/// Time between the starts of two such callers: a daemon receives a few answers at a time only.
const READER_GAP: Duration = Duration::from_millis(40);
/// Pipelined requests of a caller, and the size of each answer.
const PIPELINED: usize = 50;
const PIPELINED_ANSWER_BYTES: usize = 256 << 10;
/// Time for which a crowd acts before the ordinary request is sent.
const CROWD_SPAN: Duration = Duration::from_secs(5);
/// Receive buffer of a caller, so that what it has not read stays at the daemon.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Time between the parts that a caller sends or reads.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);
/// Larger than `max_header_bytes` of the configuration.
const LONG_HEAD_BYTES: usize = 48 << 10;

/// What a caller sends once, then again and again, and how much it reads at a time.
#[derive(Clone)]
struct CrowdCaller {
    first: Bytes,
    repeated: Bytes,
    read_bytes: usize,
}

impl CrowdCaller {
    fn sending(first: impl Into<Bytes>, repeated: impl Into<Bytes>) -> Self {
        CrowdCaller { first: first.into(), repeated: repeated.into(), read_bytes: 0 }
    }

    /// Acts until the daemon closes the connection, then opens another.
    async fn act(self, entry: SocketAddr) {
        loop {
            // An error means that the daemon has closed the connection.
            let _ = self.act_once(entry).await;
            sleep(DRIP_INTERVAL).await;
        }
    }

    async fn act_once(&self, entry: SocketAddr) -> std::io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let mut stream = socket.connect(entry).await?;
        let mut part = vec![0; self.read_bytes];
        write_some(&mut stream, &self.first).await?;
        loop {
            sleep(DRIP_INTERVAL).await;
            write_some(&mut stream, &self.repeated).await?;
            if self.read_bytes > 0 {
                let read = timeout(DRIP_INTERVAL, stream.read(&mut part)).await;
                if matches!(read, Ok(Ok(0) | Err(_))) {
                    return Ok(());
                }
            } else if self.repeated.is_empty() && is_closed(&stream) {
                return Ok(());
            }
        }
    }
}

/// Writes a part, or as much of it as the daemon reads in time.
async fn write_some(stream: &mut TcpStream, part: &[u8]) -> std::io::Result<()> {
    timeout(CROWD_SPAN, stream.write_all(part)).await.unwrap_or(Ok(()))
}

/// Whether the daemon has closed the connection, without taking bytes from it.
fn is_closed(stream: &TcpStream) -> bool {
    match stream.try_write(&[]) {
        Ok(_) => matches!(stream.take_error(), Ok(Some(_)) | Err(_)),
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// A backend server whose answers have the length that the path names.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind((own_loopback(), 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let longest = Bytes::from(vec![b'a'; LONG_ANSWER_BYTES]);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let longest = longest.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let longest = longest.clone();
                async move {
                    let length = request.uri().path().rsplit('/').next().unwrap().parse();
                    let body = longest.slice(..length.unwrap_or(1).min(longest.len()));
                    let id = request.headers()[REQUEST_ID].clone();
                    // Reads the request's body without keeping it.
                    let mut received = request.into_body();
                    while let Some(Ok(_)) = received.frame().await {}
                    let answer = Response::builder().header(REQUEST_ID, id);
                    answer.header(SIGNATURE, "signed").body(Full::new(body))
                }
            });
            let builder = hyper::server::conn::http1::Builder::new();
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

fn write_config(store: &StoreServer, body_bytes: usize, timeout_s: u64, idle_timeout_s: u64) {
    write_config_heads(store, body_bytes, timeout_s, idle_timeout_s, 4096);
}

/// The same with another limit on heads.
fn write_config_heads(
    store: &StoreServer,
    body_bytes: usize,
    timeout_s: u64,
    idle_timeout_s: u64,
    head_bytes: usize,
) {
    let route = |name: &str| RoutePlan {
        name: name.to_owned(),
        service: name.to_owned(),
        is_safe: true,
        is_public: false,
    };
    let tenant = TenantPlan { name: "nord".to_owned(), keys: vec![KEY.to_owned()], rate: 0.0 };
    let mut record = config_record(1, &[route("near"), route("far")], &[tenant]);
    record["resources"].as_array_mut().unwrap().push(json!({
        "entry_kind": "limits", "metadata": {"name": "limits"}, "spec": {
            "max_header_bytes": head_bytes, "max_body_bytes": body_bytes, "header_timeout_s": 1,
            "idle_timeout_s": idle_timeout_s}}));
    for route in &mut record["resources"].as_array_mut().unwrap()[..2] {
        route["spec"]["timeout_s"] = json!(timeout_s);
    }
    store.write_config(&record);
}

/// The head of a request, with these lines after its usual ones.
fn head(method: &str, path: &str, lines: &str) -> String {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{REQUEST_ID}: crowd-{id}\r\n\
         authorization: Bearer {KEY}\r\n{lines}\r\n"
    )
}

/// The most descriptors that the processes had open at a time.
fn watch_descriptors(processes: Vec<u32>) -> (Arc<AtomicUsize>, JoinSet<Infallible>) {
    let most = Arc::new(AtomicUsize::new(0));
    let (seen, mut watch) = (most.clone(), JoinSet::new());
    watch.spawn(async move {
        loop {
            for process in &processes {
                let open = std::fs::read_dir(format!("/proc/{process}/fd"));
                seen.fetch_max(open.map_or(0, Iterator::count), Ordering::Relaxed);
            }
            sleep(Duration::from_millis(20)).await;
        }
    });
    (most, watch)
}

/// Sends ordinary requests until one is answered by the backend server.
async fn wait_served(entry: SocketAddr, path: &str) {
    let served = async {
        // A new connection for each, as an ordinary caller that has just started.
        while send(&http_client(), entry, path, "ordinary".to_owned()).await != 200 {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(30), served).await.expect("an ordinary request is answered");
}

/// Has a crowd, whose callers start with this gap, act on a daemon, and checks that both daemons
/// outlive it within their limits.
async fn face_crowd(crowd: Vec<CrowdCaller>, gap: Duration) {
    face_crowd_within(2, crowd, gap).await;
}

/// The same with another timeout of the routes.
async fn face_crowd_within(timeout_s: u64, crowd: Vec<CrowdCaller>, gap: Duration) {
    let store = StoreServer::start((own_loopback(), 0).into()).await.unwrap();
    write_config(&store, 4 << 20, timeout_s, 2);
    let limits = format!("memory_mb = {MEMORY_MB}\nmax_fds = {DESCRIPTORS_MAX}\n");
    let server = start_server().await;
    let mut entry = DaemonProcess::start_limited("entry", "near", server, &store, &limits);
    let mut far = DaemonProcess::start_limited("far", "far", server, &store, &limits);
    let outbound = entry.plan.outbound;
    wait_served(outbound, "/near/1").await;
    wait_served(outbound, "/far/1").await;
    let (descriptors, _watch) = watch_descriptors(vec![entry.id(), far.id()]);
    let mut callers = JoinSet::new();
    for caller in crowd {
        callers.spawn(caller.act(outbound));
        sleep(gap).await;
    }
    sleep(CROWD_SPAN).await;
    assert_that!(entry.is_alive() && far.is_alive(), eq(true));
    wait_served(outbound, "/near/1").await;
    wait_served(outbound, "/far/1").await;
    let peaks = [entry.peak_memory_kb(), far.peak_memory_kb()];
    let descriptors = descriptors.load(Ordering::Relaxed);
    println!("most memory in kB: {peaks:?}; most descriptors: {descriptors}");
    expect_that!(entry.is_alive() && far.is_alive(), eq(true));
    expect_that!(peaks, each(le(MEMORY_MB << 10)));
    expect_that!(descriptors, le(DESCRIPTORS_MAX));
}

/// Guards against budgets that refuse the largest allowed body although nothing else is held.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn largest_body_served_in_calm() {
    let store = StoreServer::start((own_loopback(), 0).into()).await.unwrap();
    write_config(&store, LARGEST_BODY_BYTES, 60, 2);
    let limits = format!("memory_mb = {CALM_MEMORY_MB}\nmax_fds = {DESCRIPTORS_MAX}\n");
    let server = start_server().await;
    let entry = DaemonProcess::start_limited("entry", "near", server, &store, &limits);
    let far = DaemonProcess::start_limited("far", "far", server, &store, &limits);
    let outbound = entry.plan.outbound;
    wait_served(outbound, "/near/1").await;
    wait_served(outbound, "/far/1").await;
    for path in ["/near/1", "/far/1"] {
        let length = format!("content-length: {LARGEST_BODY_BYTES}\r\nconnection: close\r\n");
        let mut stream = TcpStream::connect(outbound).await.unwrap();
        stream.write_all(head("POST", path, &length).as_bytes()).await.unwrap();
        stream.write_all(&vec![b'a'; LARGEST_BODY_BYTES]).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        expect_that!(answer, starts_with("HTTP/1.1 200 "), "{path}");
    }
    let peaks = [entry.peak_memory_kb(), far.peak_memory_kb()];
    println!("most memory in kB: {peaks:?}");
    expect_that!(peaks, each(le(CALM_MEMORY_MB << 10)));
}

/// Guards against a daemon that accepts no caller while others keep idle connections open: more of
/// them than there is room for, each within the idle timeout.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_make_room() {
    let store = StoreServer::start((own_loopback(), 0).into()).await.unwrap();
    write_config(&store, 4 << 20, 2, 120);
    let limits = format!("memory_mb = {MEMORY_MB}\nmax_fds = {DESCRIPTORS_MAX}\n");
    let server = start_server().await;
    let entry = DaemonProcess::start_limited("entry", "near", server, &store, &limits);
    let outbound = entry.plan.outbound;
    wait_served(outbound, "/near/1").await;
    let mut idle = Vec::new();
    for _ in 0..DESCRIPTORS_MAX / 2 {
        let mut stream = TcpStream::connect(outbound).await.unwrap();
        stream.write_all(head("GET", "/near/1", "").as_bytes()).await.unwrap();
        idle.push(stream);
    }
    wait_served(outbound, "/near/1").await;
}

/// (a) Guards against answers that wait for slow callers and are in no budget.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_unread_spare_memory() {
    let caller = |number: usize| {
        let service = if number.is_multiple_of(2) { "near" } else { "far" };
        let path = format!("/{service}/{LONG_ANSWER_BYTES}");
        let mut caller = CrowdCaller::sending(head("GET", &path, ""), "");
        caller.read_bytes = if number.is_multiple_of(3) { 1 } else { 0 };
        caller
    };
    face_crowd((0..READERS).map(caller).collect(), READER_GAP).await;
}

/// (b) Guards against heads that are kept until the process has no memory or descriptors left.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_closed() {
    let caller = |number: usize| match number % 2 {
        0 => {
            let line = format!("x-long: {}\r\n", "a".repeat(LONG_HEAD_BYTES));
            let whole = head("GET", "/near/1", &line);
            // All but the empty line that ends the head.
            CrowdCaller::sending(whole[..whole.len() - 2].to_owned(), "x-more: a\r\n")
        }
        _ => {
            let whole = head("GET", "/near/1", "");
            CrowdCaller::sending(whole[..whole.len() - 2].to_owned(), "x-more: a\r\n")
        }
    };
    face_crowd((0..CROWD).map(caller).collect(), Duration::ZERO).await;
}

/// (c) Guards against empty lines that keep a connection open as if a request had begun.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_without_end_closed() {
    let caller = |number: usize| match number % 2 {
        0 => CrowdCaller::sending("\r\n", "\r\n"),
        _ => CrowdCaller::sending("\r\n".repeat(1_000), "\r\n".repeat(1_000)),
    };
    face_crowd((0..CROWD).map(caller).collect(), Duration::ZERO).await;
}

/// (d) Guards against bodies that never end, however they are announced.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_end_closed() {
    let caller = |number: usize| {
        let service = if number.is_multiple_of(2) { "near" } else { "far" };
        let path = format!("/{service}/1");
        let announced = head("POST", &path, &format!("content-length: {}\r\n", 4 << 20));
        let chunked = head("POST", &path, "transfer-encoding: chunked\r\n");
        match number % 4 {
            0 => CrowdCaller::sending(announced, ""),
            1 => CrowdCaller::sending(announced, "a"),
            2 => CrowdCaller::sending(chunked, "1\r\na\r\n".repeat(10_000)),
            _ => CrowdCaller::sending(chunked + "1;", "a=b;".repeat(1_000)),
        }
    };
    face_crowd((0..CROWD).map(caller).collect(), Duration::ZERO).await;
}

/// (e) Guards against connections that are opened and left until no descriptor is free.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn connections_left_open_closed() {
    face_crowd(vec![CrowdCaller::sending("", ""); CROWD], Duration::ZERO).await;
}

/// (f) Guards against pipelined requests whose answers pile up unread.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_answers_unread_spare_memory() {
    let caller = |number: usize| {
        let service = if number.is_multiple_of(2) { "near" } else { "far" };
        let path = format!("/{service}/{PIPELINED_ANSWER_BYTES}");
        let requests: String = (0..PIPELINED).map(|_| head("GET", &path, "")).collect();
        CrowdCaller::sending(requests, "")
    };
    face_crowd((0..CROWD).map(caller).collect(), Duration::ZERO).await;
}
