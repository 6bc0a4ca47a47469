//! Planned stops: requests in flight complete, new ones are refused, and the stop does not hang.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::{TokioExecutor, TokioIo};
use lentilway::config::DaemonConfig;
use lentilway::error::ResultCode;
use lentilway_lab::fleet::{Fleet, FleetNode, NodePlan, route, ticket};
use lentilway_stand_ins::backend::{BackendBehaviour, SubCall};
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use lentilway_stand_ins::log::LogFaults;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::processes::{start_backend, start_daemon, start_log, submit_ticket, wait_members};

/// Longer than any test, so that the linger time does not end.
const LONG_LINGER: Duration = Duration::from_secs(600);

fn open_routes() -> Value {
    let mut objects = Vec::new();
    for service in ["stock", "price"] {
        let mut route = route(service, "POST", &format!("/{service}"), service, "normal", true);
        route["state"]["open"] = json!(true);
        route["state"]["timeout_ms"] = json!(20_000);
        objects.push(route);
    }
    ticket(1, &objects)
}

fn stock(zone: &str, service_ms: f64) -> NodePlan {
    let behaviour = BackendBehaviour { service_ms, ..BackendBehaviour::default() };
    NodePlan::new("stock", zone, behaviour)
}

async fn fleet(plans: &[NodePlan], configure: impl Fn(&mut DaemonConfig)) -> Result<Fleet> {
    Ok(Fleet::start(&[open_routes()], plans, configure).await?)
}

fn request(body: &str) -> CallerRequest {
    CallerRequest {
        method: "POST".into(),
        path: "/stock/7".into(),
        body: body.into(),
        ..CallerRequest::default()
    }
}

/// Outcomes of the requests of a load, identified by their unique bodies.
#[derive(Default)]
struct LoadRecord {
    answered: Mutex<Vec<String>>,
    refused: Mutex<Vec<(String, ResultCode)>>,
    failed: Mutex<Vec<String>>,
    count: AtomicU64,
    ended: AtomicBool,
}

/// Sends requests sequentially on open connections until the load ends or the daemon stops
/// listening.
async fn send_load(record: Arc<LoadRecord>, target: SocketAddr) {
    let caller = Caller::default();
    while !record.ended.load(Ordering::Acquire) {
        let body = format!("request-{}", record.count.fetch_add(1, Ordering::AcqRel));
        match caller.send(target, &request(&body)).await {
            Ok(answer) if answer.code == 1000 && answer.status == 200 => {
                record.answered.lock().expect("lock not poisoned").push(body);
            }
            Ok(answer) => match ResultCode::from_number(answer.code) {
                Some(code) => record.refused.lock().expect("lock not poisoned").push((body, code)),
                None => record.failed.lock().expect("lock not poisoned").push(answer.body),
            },
            // The daemon has closed its port, so nothing was sent.
            Err(error) if error.contains("Connect") => return,
            Err(error) => record.failed.lock().expect("lock not poisoned").push(error),
        }
    }
}

fn start_load(targets: &[SocketAddr]) -> (Arc<LoadRecord>, JoinSet<()>) {
    let record = Arc::new(LoadRecord::default());
    let mut senders = JoinSet::new();
    for target in targets.iter().cycle().take(targets.len() * 6) {
        senders.spawn(send_load(record.clone(), *target));
    }
    (record, senders)
}

impl LoadRecord {
    async fn wait_answers(&self, count: usize) {
        let answered = || self.answered.lock().expect("lock not poisoned").len();
        let target_count = answered() + count;
        while answered() < target_count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Every request has a complete answer and ran once, or a refusal and did not run.
    fn verify(&self, executions: &BTreeMap<String, u64>) -> Result<()> {
        expect_that!(*self.failed.lock().expect("lock not poisoned"), is_empty());
        for body in self.answered.lock().expect("lock not poisoned").iter() {
            expect_that!(executions.get(body), some(eq(&1)), "answered {body}");
        }
        for (body, code) in self.refused.lock().expect("lock not poisoned").iter() {
            expect_that!(code.is_not_run(), eq(true), "{code:?}");
            expect_that!(executions.get(body), none(), "refused {body} with {code:?}");
        }
        Ok(())
    }
}

fn executions<'a>(
    counts: impl Iterator<Item = BTreeMap<String, u64>> + 'a,
) -> BTreeMap<String, u64> {
    let mut sum = BTreeMap::new();
    for (body, count) in counts.flatten() {
        *sum.entry(body).or_default() += count;
    }
    sum
}

/// Stops the first `count` nodes at the same time under load on every node.
async fn stop_under_load(plans: &[NodePlan], count: usize, faults: LogFaults) -> Result<()> {
    let mut fleet = fleet(plans, |_| {}).await?;
    let (record, mut senders) = start_load(&fleet.callers());
    record.wait_answers(200).await;
    fleet.log.set_faults(faults);
    let mut stops = JoinSet::new();
    let mut backends = Vec::new();
    for FleetNode { daemon, backend, .. } in fleet.nodes.drain(..count) {
        backends.push(backend);
        stops.spawn(daemon.stop());
    }
    while stops.join_next().await.is_some() {}
    if !fleet.nodes.is_empty() {
        record.wait_answers(100).await;
    }
    record.ended.store(true, Ordering::Release);
    while senders.join_next().await.is_some() {}
    let running = fleet.nodes.iter().map(|node| &node.backend);
    let counts = backends.iter().chain(running).map(|backend| backend.counts().by_body);
    record.verify(&executions(counts))?;
    fleet.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_under_load_one() -> Result<()> {
    let plans = [stock("az1", 2.0), stock("az1", 2.0), stock("az2", 2.0)];
    stop_under_load(&plans, 1, LogFaults::default()).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_under_load_two_of_one_service() -> Result<()> {
    let plans = [stock("az1", 2.0), stock("az1", 2.0), stock("az2", 2.0)];
    stop_under_load(&plans, 2, LogFaults::default()).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_under_load_all_of_one_service() -> Result<()> {
    let plans = [stock("az1", 2.0), stock("az1", 2.0)];
    stop_under_load(&plans, 2, LogFaults::default()).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_under_load_store_down() -> Result<()> {
    let plans = [stock("az1", 2.0), stock("az1", 2.0), stock("az2", 2.0)];
    stop_under_load(&plans, 1, LogFaults { down: true, ..LogFaults::default() }).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_under_load_store_silent() -> Result<()> {
    let plans = [stock("az1", 2.0), stock("az1", 2.0)];
    stop_under_load(&plans, 1, LogFaults { delay_ms: 3_600_000, ..LogFaults::default() }).await
}

#[gtest]
#[tokio::test]
async fn stop_with_sub_calls_running() -> Result<()> {
    let price = SubCall { method: "POST".into(), path: "/price/7".into() };
    let behaviour = BackendBehaviour {
        service_ms: 400.0,
        sub_calls: vec![price.clone(), price],
        ..BackendBehaviour::default()
    };
    let plans = [
        NodePlan::new("stock", "az1", behaviour),
        NodePlan::new("price", "az1", BackendBehaviour { service_ms: 200.0, ..Default::default() }),
    ];
    let mut fleet = fleet(&plans, |_| {}).await?;
    // One call comes from a caller of the daemon that stops, the other from a peer.
    let callers = fleet.callers();
    let own_call = tokio::spawn(send_once(callers[0]));
    // The peer's call starts later, so that it ends last.
    fleet.nodes[1].backend.wait_executions(1).await;
    let calls = [own_call, tokio::spawn(send_once(callers[1]))];
    let FleetNode { daemon, backend, .. } = fleet.nodes.remove(0);
    backend.wait_executions(2).await;
    let (executions_at_release, read_counts) =
        (Arc::new(AtomicU64::new(0)), fleet.nodes[0].backend.counts_reader());
    let recorded = executions_at_release.clone();
    daemon.shared.releases.add("test", move || async move {
        // Releases must not start before the last sub-call of the running requests.
        recorded.store(read_counts().executions, Ordering::Release);
    });
    daemon.stop().await;
    expect_that!(executions_at_release.load(Ordering::Acquire), eq(4));
    for call in calls {
        let (code, status) = call.await?;
        expect_that!((code, status), eq((1000, 200)));
    }
    expect_that!(fleet.nodes[0].backend.counts().executions, eq(4));
    fleet.stop().await;
    Ok(())
}

async fn send_once(target: SocketAddr) -> (u16, u16) {
    let answer = Caller::default().send(target, &request("once")).await;
    answer.map(|answer| (answer.code, answer.status)).unwrap_or((0, 0))
}

/// Stops the first node in the background and waits until it refuses new requests.
async fn begin_stop(fleet: &mut Fleet) -> tokio::task::JoinHandle<()> {
    let FleetNode { daemon, backend, .. } = fleet.nodes.remove(0);
    let shared = daemon.shared.clone();
    let stop = tokio::spawn(async move {
        daemon.stop().await;
        drop(backend);
    });
    shared.stop.raised().await;
    stop
}

fn set_long_linger(config: &mut DaemonConfig) {
    config.drain.linger = LONG_LINGER;
}

#[gtest]
#[tokio::test]
async fn kept_connection_refused_then_closed() -> Result<()> {
    let mut fleet = fleet(&[stock("az1", 1.0), stock("az1", 1.0)], set_long_linger).await?;
    let stream = TcpStream::connect(fleet.callers()[0]).await?;
    let mut stream = BufReader::new(stream);
    let text = "POST /stock/7 HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi";
    stream.write_all(text.as_bytes()).await?;
    let head = read_answer(&mut stream).await?;
    expect_that!(head, contains_substring("lentilway-result: 1000"));
    expect_that!(head, not(contains_substring("connection: close")));
    let stop = begin_stop(&mut fleet).await;
    stream.write_all(text.as_bytes()).await?;
    let head = read_answer(&mut stream).await?;
    expect_that!(head, contains_substring("lentilway-result: 2016"));
    expect_that!(head, contains_substring("lentilway-execution: not-run"));
    expect_that!(head, contains_substring("connection: close"));
    let mut rest = Vec::new();
    expect_that!(stream.read_to_end(&mut rest).await?, eq(0));
    stop.abort();
    Ok(())
}

#[gtest]
#[tokio::test]
async fn body_in_flight_served() -> Result<()> {
    let mut fleet = fleet(&[stock("az1", 1.0), stock("az1", 1.0)], set_long_linger).await?;
    let mut stream = BufReader::new(TcpStream::connect(fleet.callers()[0]).await?);
    let head =
        "POST /stock/7 HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    expect_that!(line, starts_with("HTTP/1.1 100"));
    stream.read_line(&mut line).await?;
    let stop = begin_stop(&mut fleet).await;
    stream.write_all(b"body").await?;
    let head = read_answer(&mut stream).await?;
    expect_that!(head, contains_substring("lentilway-result: 1000"));
    stop.abort();
    Ok(())
}

async fn read_answer(stream: &mut BufReader<TcpStream>) -> Result<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).await? == 0 {
            return Ok(head);
        }
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|length| length.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).await?;
    Ok(head)
}

#[gtest]
#[tokio::test]
async fn http2_stream_in_flight_served() -> Result<()> {
    let mut fleet = fleet(&[stock("az1", 500.0)], |_| {}).await?;
    let stream = TcpStream::connect(fleet.callers()[0]).await?;
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let outgoing = Request::post("http://x/stock/7").body(Full::new(Bytes::from("two")))?;
    let answer = tokio::spawn(sender.send_request(outgoing));
    fleet.nodes[0].backend.wait_executions(1).await;
    let stop = begin_stop(&mut fleet).await;
    let answer = answer.await??;
    expect_that!(answer.headers()["lentilway-result"], eq("1000"));
    let body = answer.into_body().collect().await?.to_bytes();
    expect_that!(String::from_utf8_lossy(&body).into_owned(), contains_substring("\"two\""));
    connection.await??;
    stop.await?;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn stopping_upstream_costs_no_retry() -> Result<()> {
    let plans = [stock("az1", 1.0), stock("az1", 1.0), stock("az1", 1.0)];
    let fleet = fleet(&plans, |config| config.retry_allowance = 0).await?;
    // Two upstreams refuse new requests, and the third is not informed that they leave.
    fleet.nodes[0].daemon.shared.stop.raise();
    fleet.nodes[1].daemon.shared.stop.raise();
    for _ in 0..30 {
        expect_that!(send_once(fleet.callers()[2]).await, eq((1000, 200)));
    }
    expect_that!(fleet.nodes[2].backend.counts().executions, eq(30));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn leave_announced_before_requests_refused() -> Result<()> {
    let fleet = fleet(&[stock("az1", 1.0), stock("az2", 1.0)], |_| {}).await?;
    fleet.nodes[0].daemon.shared.gossip.leave();
    let members = &fleet.nodes[1].daemon.shared.members;
    let mut changes = members.subscribe();
    while members.upstreams("stock").len() > 1 {
        changes.changed().await?;
    }
    expect_that!(send_once(fleet.callers()[0]).await, eq((1000, 200)));
    fleet.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn drain_timeout_ends_stop() -> Result<()> {
    let short_timeout =
        |config: &mut DaemonConfig| config.drain.timeout = Duration::from_millis(300);
    let mut fleet = fleet(&[stock("az1", 3_600_000.0)], short_timeout).await?;
    let call = tokio::spawn(send_once(fleet.callers()[0]));
    fleet.nodes[0].backend.wait_executions(1).await;
    fleet.nodes.remove(0).daemon.stop().await;
    expect_that!(call.await?, eq((0, 0)));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn releases_in_order_before_peers_close() -> Result<()> {
    let mut fleet = fleet(&[stock("az1", 1.0)], |_| {}).await?;
    let daemon = fleet.nodes.remove(0).daemon;
    let shared = daemon.shared.clone();
    let steps = Arc::new(Mutex::new(Vec::new()));
    for name in ["shares", "claims"] {
        let (recorded, shared) = (steps.clone(), shared.clone());
        daemon.shared.releases.add(name, move || async move {
            let state = (name, shared.stop.is_raised(), shared.close.is_raised());
            recorded.lock().expect("lock not poisoned").push(state);
            if name == "shares" {
                // A step that hangs must not block the others.
                std::future::pending::<()>().await;
            }
        });
    }
    daemon.stop().await;
    let expected = vec![("shares", true, false), ("claims", true, false)];
    expect_that!(*steps.lock().expect("lock not poisoned"), eq(&expected));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminate_process_under_load() -> Result<()> {
    let (_log, log) = start_log();
    let (mut first, stopped) = start_daemon(log, "az1");
    let (_second, other) = start_daemon(log, "az1");
    let _backends = [stopped, other].map(|daemon| start_backend("stock", daemon.slot, "{}"));
    let submitted = submit_ticket(other.admin, &open_routes().to_string());
    assert_that!(submitted.status.code(), some(eq(0)));
    wait_members(stopped.admin, 2).await;
    wait_members(other.admin, 2).await;
    let (record, mut senders) = start_load(&[stopped.caller, other.caller]);
    record.wait_answers(100).await;
    first.send(Signal::TERM);
    let code = tokio::task::spawn_blocking(move || first.wait()).await?;
    expect_that!(code, some(eq(0)));
    record.wait_answers(50).await;
    record.ended.store(true, Ordering::Release);
    while senders.join_next().await.is_some() {}
    expect_that!(*record.failed.lock().expect("lock not poisoned"), is_empty());
    let refused = record.refused.lock().expect("lock not poisoned");
    expect_that!(refused.iter().all(|(_, code)| code.is_not_run()), eq(true), "{refused:?}");
    Ok(())
}
