//! Crowds that connect to the addresses for readiness, announcements, metrics and other daemons.

use hyper::StatusCode;
use lentilway_stand_ins::http::exchange;
use lentilway_stand_ins::platform::{DaemonPlan, READY_PATH};

use super::*;

/// Links of a crowd that ask for records without end, and the questions of each part.
const ASKING_LINKS: usize = 40;
const ASKED_AT_ONCE: usize = 8_000;
/// A configuration that fills the buffers of a link with a few answers.
const LONG_RECORD_BYTES: usize = 200 << 10;

/// Two daemons with lowered limits, and a crowd that acts on one of their addresses.
struct CrowdedFleet {
    store: StoreServer,
    server: SocketAddr,
    entry: DaemonProcess,
    far: DaemonProcess,
    descriptors: Arc<AtomicUsize>,
    _watch: JoinSet<Infallible>,
    _callers: JoinSet<()>,
}

fn limits() -> String {
    format!("memory_mb = {MEMORY_MB}\nmax_fds = {DESCRIPTORS_MAX}\n")
}

impl CrowdedFleet {
    /// Has the crowd act on the address of the far daemon that `pick` names.
    async fn start(pick: fn(&DaemonPlan) -> SocketAddr, crowd: Vec<CrowdCaller>) -> Self {
        let store = StoreServer::start((own_loopback(), 0).into()).await.unwrap();
        write_config(&store, 4 << 20, 2, 2);
        let server = start_server().await;
        let entry = DaemonProcess::start_limited("entry", "near", server, &store, &limits());
        let far = DaemonProcess::start_limited("far", "far", server, &store, &limits());
        wait_served(entry.plan.outbound, "/near/1").await;
        wait_served(entry.plan.outbound, "/far/1").await;
        let (descriptors, watch) = watch_descriptors(vec![entry.id(), far.id()]);
        let mut callers = JoinSet::new();
        for caller in crowd {
            callers.spawn(caller.act(pick(&far.plan)));
        }
        sleep(CROWD_SPAN).await;
        CrowdedFleet { store, server, entry, far, descriptors, _watch: watch, _callers: callers }
    }

    /// Checks that callers, the platform, the backend server and other daemons get their answers.
    async fn check_served(&mut self) {
        assert_that!(self.entry.is_alive() && self.far.is_alive(), eq(true));
        wait_served(self.entry.plan.outbound, "/far/1").await;
        wait_served(self.far.plan.outbound, "/far/1").await;
        let plan = &self.far.plan;
        let metrics = SocketAddr::new(plan.outbound.ip(), plan.first_port + 1);
        wait_ok(|| Request::get(format!("http://{}{READY_PATH}", plan.ready)), String::new()).await;
        wait_ok(|| Request::get(format!("http://{metrics}/metrics")), String::new()).await;
        let heartbeat = json!({"address": plan.upstream.to_string(), "born": 1,
            "info": {"service": plan.service, "version": "v1", "zone": plan.zone, "slots": 99},
            "status": {"phase": "ready", "sequence": 100_000, "cold_remaining_s": 0}});
        let uri = format!("http://{}/api/instances/i-far", plan.control);
        wait_ok(|| Request::put(&uri), heartbeat.to_string()).await;
        // A daemon that links to the others while the crowd acts.
        let (late, server) = ("late", self.server);
        let late = DaemonProcess::start_limited(late, "near", server, &self.store, &limits());
        wait_served(late.plan.outbound, "/far/1").await;
        let peaks = [self.entry.peak_memory_kb(), self.far.peak_memory_kb()];
        let descriptors = self.descriptors.load(Ordering::Relaxed);
        println!("most memory in kB: {peaks:?}; most descriptors: {descriptors}");
        expect_that!(self.entry.is_alive() && self.far.is_alive(), eq(true));
        expect_that!(peaks, each(le(MEMORY_MB << 10)));
        expect_that!(descriptors, le(DESCRIPTORS_MAX));
    }
}

/// Sends requests on new connections until one is answered with 200.
async fn wait_ok(request: impl Fn() -> hyper::http::request::Builder, body: String) {
    let is_ok = async || {
        let request = request().body(Full::new(Bytes::from(body.clone()))).unwrap();
        let answer = timeout(CROWD_SPAN, exchange(&http_client(), request)).await;
        matches!(answer, Ok(Ok((StatusCode::OK, ..))))
    };
    let answered = async {
        while !is_ok().await {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(30), answered).await.expect("a request is answered");
}

/// Callers that send nothing, a part of a head, a part of a body, or whole requests and read nothing.
fn http_crowd(method: &str, path: &str) -> Vec<CrowdCaller> {
    let line = format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n");
    let caller = |number: usize| match number % 4 {
        0 => CrowdCaller::sending("", ""),
        1 => CrowdCaller::sending(line.clone(), "x-more: a\r\n"),
        2 => CrowdCaller::sending(format!("{line}content-length: 60000\r\n\r\n"), "a"),
        _ => CrowdCaller::sending("", format!("{line}\r\n").repeat(100)),
    };
    (0..CROWD).map(caller).collect()
}

/// Guards against connections to the address for readiness that use up the descriptors.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn readiness_connections_bounded() {
    let crowd = http_crowd("GET", READY_PATH);
    CrowdedFleet::start(|plan| plan.ready, crowd).await.check_served().await;
}

/// Guards against connections to the address for announcements that use up the descriptors.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn announcement_connections_bounded() {
    let crowd = http_crowd("PUT", "/api/instances/i-stranger");
    CrowdedFleet::start(|plan| plan.control, crowd).await.check_served().await;
}

/// Guards against connections to the address for metrics that use up the descriptors.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn metrics_connections_bounded() {
    let crowd = http_crowd("GET", "/metrics");
    let metrics = |plan: &DaemonPlan| SocketAddr::new(plan.outbound.ip(), plan.first_port + 1);
    CrowdedFleet::start(metrics, crowd).await.check_served().await;
}

/// A message between daemons: its length and its bytes.
fn link_frame(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes(), message].concat()
}

/// Guards against connections to the address for other daemons that use up the descriptors, or keep
/// daemons out.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn links_bounded() {
    let keepalive = link_frame(&[1]);
    let caller = |number: usize| match number % 4 {
        0 => CrowdCaller::sending("", ""),
        1 => CrowdCaller::sending(60_000_u32.to_be_bytes().to_vec(), "a"),
        2 => CrowdCaller::sending(keepalive.clone(), keepalive.clone()),
        _ => CrowdCaller::sending("GET / HTTP/1.1\r\n\r\n", ""),
    };
    let crowd = (0..CROWD).map(caller).collect();
    CrowdedFleet::start(|plan| plan.inbound, crowd).await.check_served().await;
}

/// Asks for records as a daemon that knows none, with the number 1.
fn record_question() -> Vec<u8> {
    link_frame(&[6, 1, 0, 0])
}

/// Guards against links whose short messages take all the time of the process.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn records_asked_without_end_spare_others() {
    let caller = CrowdCaller::sending("", record_question().repeat(ASKED_AT_ONCE));
    let crowd = vec![caller; ASKING_LINKS];
    CrowdedFleet::start(|plan| plan.inbound, crowd).await.check_served().await;
}

/// Guards against messages that wait without bound for a link that is not read.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unread_link_closed() {
    let store = StoreServer::start((own_loopback(), 0).into()).await.unwrap();
    let tenant = TenantPlan { name: "nord".to_owned(), keys: vec![KEY.to_owned()], rate: 0.0 };
    let mut record = config_record(1, &[], &[tenant]);
    record["resources"].as_array_mut().unwrap().push(json!({"entry_kind": "notes",
        "metadata": {"name": "long"}, "spec": {"text": "a".repeat(LONG_RECORD_BYTES)}}));
    store.write_config(&record);
    let server = start_server().await;
    let mut daemon = DaemonProcess::start_limited("far", "far", server, &store, &limits());
    let ready = daemon.plan.ready;
    wait_ok(|| Request::get(format!("http://{ready}{READY_PATH}")), String::new()).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut link = socket.connect(daemon.plan.inbound).await.unwrap();
    let asked = async { while link.write_all(&record_question()).await.is_ok() {} };
    timeout(Duration::from_secs(30), asked).await.expect("the daemon closes the link");
    expect_that!(daemon.is_alive(), eq(true));
}
