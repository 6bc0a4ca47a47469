//! Bytes without end from backend servers, other daemons, the store and announcements, against daemon
//! processes whose memory is measured.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::Full;
use hyper::Request;
use lentilway::platform::PlatformStore;
use lentilway::sidecar::process::keyed_store::{KeyedStore, StoreTopic};
use lentilway_stand_ins::http::{HttpClient, exchange, http_client};
use lentilway_stand_ins::platform::store::StoreServer;
use lentilway_stand_ins::platform::{
    DEADLINE_MILLIS, DaemonPlan, HOST, REQUEST_ID, RoutePlan, TenantPlan, config_record,
    settings_file,
};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::fleet::{
    BackendBehaviour, KEY, TestBackend, TestFleet, free_address, free_port_pair, own_loopback,
};
use super::floods::{FloodingServer, SOCKET_BUFFER_BYTES, floods};

/// Memory that the platform allows a process.
const MEMORY_KB_MAX: u64 = 260 << 10;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// The deadline of requests, and some time to answer.
const DEADLINE: Duration = Duration::from_secs(2);
const ANSWERED_WITHIN: Duration = Duration::from_millis(2_500);
/// Callers that wait for servers without end at a time, and their requests.
const FLOODED_CALLERS: usize = 60;
const FLOODED_REQUESTS: usize = 3;
/// Callers of the ordinary service.
const USUAL_CALLERS: usize = 8;

/// A daemon process beside a backend server that announces itself; killed on drop.
pub(super) struct DaemonProcess {
    child: Child,
    pub(super) plan: DaemonPlan,
    _announcer: JoinSet<()>,
}

impl DaemonProcess {
    fn start(name: &str, service: &str, server: SocketAddr, store: &StoreServer) -> Self {
        let limits = format!("memory_mb = {}\n", MEMORY_KB_MAX >> 10);
        Self::start_limited(name, service, server, store, &limits)
    }

    /// Starts a process with these limits of the machine in its settings.
    pub(super) fn start_limited(
        name: &str,
        service: &str,
        server: SocketAddr,
        store: &StoreServer,
        limits: &str,
    ) -> Self {
        let plan = DaemonPlan {
            name: name.to_owned(),
            zone: "zone".to_owned(),
            service: service.to_owned(),
            upstream: server,
            outbound: free_address(),
            inbound: free_address(),
            ready: free_address(),
            control: free_address(),
            first_port: free_port_pair(),
            store: store.address(),
        };
        let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("endless-{}-{name}.toml", std::process::id()));
        let limits = format!("[self.limits]\n{limits}");
        std::fs::write(&settings, settings_file(&plan) + &limits).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lentilway"))
            .arg("sidecar")
            .env("LENTILWAY_BOOT", &settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut announcer = JoinSet::new();
        announcer.spawn(announce(plan.clone()));
        DaemonProcess { child, plan, _announcer: announcer }
    }

    /// The most memory that the process has used, in kilobytes.
    pub(super) fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.trim().split(' ').next());
        number.and_then(|number| number.parse().ok()).expect("a number of kilobytes")
    }

    /// The process id.
    pub(super) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not ended.
    pub(super) fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("the process is a child of this one").is_none()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Announces the backend server of a daemon again and again.
async fn announce(plan: DaemonPlan) {
    let client = http_client();
    for number in 1.. {
        let body = json!({"address": plan.upstream.to_string(), "born": 1,
            "info": {"service": plan.service, "version": "v1", "zone": plan.zone, "slots": 99},
            "status": {"phase": "ready", "sequence": number, "cold_remaining_s": 0}});
        let uri = format!("http://{}/api/instances/i-{}", plan.control, plan.name);
        let request = Request::put(uri).body(Full::new(Bytes::from(body.to_string())));
        // Fails while the daemon starts.
        let _ = exchange(&client, request.unwrap()).await;
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends a request; 0 if the connection ends without an answer.
pub(super) async fn send(client: &HttpClient, entry: SocketAddr, path: &str, id: String) -> u16 {
    let request = Request::get(format!("http://{entry}{path}"))
        .header("host", HOST)
        .header(REQUEST_ID, id)
        .header(DEADLINE_MILLIS, DEADLINE.as_millis().to_string())
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::default());
    let answer = timeout(ANSWERED_WITHIN, exchange(client, request.unwrap())).await;
    answer.map_or(0, |answer| answer.map_or(0, |(status, ..)| status.as_u16()))
}

/// Sends requests until one is not refused.
async fn wait_sent(client: &HttpClient, entry: SocketAddr, path: &str) {
    let is_refused = |status| [0, 401, 404, 503].contains(&status);
    let sent = async {
        while is_refused(send(client, entry, path, "start".to_owned()).await) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(20), sent).await.expect("requests reach a backend server");
}

fn write_config(store: &StoreServer) {
    let route = |name: &str, is_safe| RoutePlan {
        name: name.to_owned(),
        service: name.to_owned(),
        is_safe,
        is_public: false,
    };
    let tenant = TenantPlan { name: "nord".to_owned(), keys: vec![KEY.to_owned()], rate: 0.0 };
    let routes = [route("flooded", true), route("usual", true)];
    store.write_config(&config_record(1, &routes, &[tenant]));
}

/// Review, first report: a caller's machine kept all bytes of endless answers and ran out of memory,
/// and the requests of others there ended with it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_spare_other_requests() {
    let store = StoreServer::start((own_loopback(), 0).into()).await.unwrap();
    write_config(&store);
    let usual = TestBackend::start(BackendBehaviour::Answers(DEADLINE / 100)).await;
    let entry = DaemonProcess::start("entry", "usual", usual.address, &store);
    let mut flooded = Vec::new();
    for (number, flood) in floods().into_iter().enumerate() {
        let server = FloodingServer::start(flood).await;
        let name = format!("flooded-{number}");
        flooded.push(DaemonProcess::start(&name, "flooded", server.address, &store));
    }
    let (client, outbound) = (http_client(), entry.plan.outbound);
    wait_sent(&client, outbound, "/usual/start").await;
    wait_sent(&client, outbound, "/flooded/start").await;
    let is_over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut usual_callers = JoinSet::new();
    for caller in 0..USUAL_CALLERS {
        let (client, is_over) = (client.clone(), is_over.clone());
        usual_callers.spawn(async move {
            let mut statuses = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("usual-{caller}-{}", statuses.len());
                statuses.push(send(&client, outbound, "/usual/1", id).await);
                sleep(Duration::from_millis(10)).await;
            }
            statuses
        });
    }
    let mut callers = JoinSet::new();
    for caller in 0..FLOODED_CALLERS {
        let client = client.clone();
        callers.spawn(async move {
            let mut statuses = Vec::new();
            for number in 0..FLOODED_REQUESTS {
                let path = format!("/flooded/{caller}-{number}");
                let id = format!("flooded-{caller}-{number}");
                statuses.push(send(&client, outbound, &path, id).await);
            }
            statuses
        });
    }
    let statuses = callers.join_all().await.concat();
    is_over.store(true, Ordering::SeqCst);
    let usual = usual_callers.join_all().await.concat();
    expect_that!(statuses, each(any![eq(&502), eq(&503), eq(&504)]));
    expect_that!(statuses.iter().filter(|status| **status != 503).count(), gt(0), "some were sent");
    expect_that!(usual.len(), gt(USUAL_CALLERS));
    expect_that!(usual, each(eq(&200)));
    let peaks: Vec<u64> =
        flooded.iter().chain([&entry]).map(DaemonProcess::peak_memory_kb).collect();
    println!("{} usual requests; most memory in kB, the entry's last: {peaks:?}", usual.len());
    expect_that!(peaks, each(lt(&MEMORY_KB_MAX)));
}

/// Answers that come a byte at a time end at the deadline and hold up nobody else.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn dripped_answers_end_at_deadline() {
    let store = StoreServer::start((own_loopback(), 0).into()).await.unwrap();
    write_config(&store);
    let usual = TestBackend::start(BackendBehaviour::Answers(DEADLINE / 100)).await;
    let entry = DaemonProcess::start("entry", "usual", usual.address, &store);
    let mut flood = floods().into_iter().find(|flood| flood.name == "body to the end").unwrap();
    flood.repeated = vec![b'a'];
    flood.pause = Duration::from_millis(20);
    let server = FloodingServer::start(flood).await;
    let flooded = DaemonProcess::start("flooded", "flooded", server.address, &store);
    let (client, outbound) = (http_client(), entry.plan.outbound);
    wait_sent(&client, outbound, "/usual/start").await;
    wait_sent(&client, outbound, "/flooded/start").await;
    let mut callers = JoinSet::new();
    for caller in 0..FLOODED_CALLERS {
        let client = client.clone();
        callers.spawn(async move {
            let path = format!("/flooded/{caller}");
            send(&client, outbound, &path, format!("flooded-{caller}")).await
        });
    }
    for number in 0..USUAL_CALLERS {
        let status = send(&client, outbound, "/usual/1", format!("usual-{number}")).await;
        expect_that!(status, eq(200));
    }
    expect_that!(callers.join_all().await, each(any![eq(&502), eq(&503), eq(&504)]));
    expect_that!(entry.peak_memory_kb(), lt(MEMORY_KB_MAX));
    expect_that!(flooded.peak_memory_kb(), lt(MEMORY_KB_MAX));
}

/// A message that daemons may send each other, and daemons that never end it.
const LONG_FRAME_BYTES: u32 = 60 << 20;
const FAKE_PEERS: usize = 6;

/// A daemon that, once linked to, sends all of a long message but its end.
async fn start_fake_peer(written: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind((own_loopback(), 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let written = written.clone();
            tokio::spawn(async move {
                // An error means that the daemon has closed the connection.
                let _ = send_long_frame(stream, &written).await;
            });
        }
    });
    address
}

async fn send_long_frame(mut stream: TcpStream, written: &AtomicUsize) -> std::io::Result<()> {
    stream.write_all(&LONG_FRAME_BYTES.to_be_bytes()).await?;
    let chunk = vec![7; 64 * 1024];
    for _ in 1..LONG_FRAME_BYTES as usize / chunk.len() {
        stream.write_all(&chunk).await?;
        written.fetch_add(chunk.len(), Ordering::SeqCst);
    }
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.map(drop)
}

/// Daemons that send messages without end share one bound, and requests go to the others.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn peers_without_end_spare_others() {
    let store = StoreServer::start((own_loopback(), 0).into()).await.unwrap();
    write_config(&store);
    let written = Arc::new(AtomicUsize::new(0));
    let directory = PlatformStore::new(store.address());
    for number in 0..FAKE_PEERS {
        let (name, address) = (format!("fake-{number}"), start_fake_peer(written.clone()).await);
        let record = json!({"name": name, "address": address.to_string(), "service": "flooded",
            "availability_zone": "zone"});
        let value = record.to_string().into_bytes();
        let registered = directory.put(StoreTopic::Directory, &name, Some(&value)).await;
        registered.expect("the store takes the record");
    }
    let usual = TestBackend::start(BackendBehaviour::Answers(DEADLINE / 100)).await;
    let entry = DaemonProcess::start("entry", "usual", usual.address, &store);
    let sound = DaemonProcess::start("sound", "flooded", usual.address, &store);
    let (client, outbound) = (http_client(), entry.plan.outbound);
    wait_sent(&client, outbound, "/flooded/start").await;
    wait_sent(&client, outbound, "/usual/start").await;
    for number in 0..100 {
        let status = send(&client, outbound, "/flooded/1", format!("flooded-{number}")).await;
        expect_that!(status, eq(200));
        let status = send(&client, outbound, "/usual/1", format!("usual-{number}")).await;
        expect_that!(status, eq(200));
    }
    let peaks = [entry.peak_memory_kb(), sound.peak_memory_kb()];
    let written = written.load(Ordering::SeqCst);
    println!("{written} bytes of messages without end; most memory in kB {peaks:?}");
    expect_that!(written, gt(LONG_FRAME_BYTES as usize));
    expect_that!(peaks, each(lt(MEMORY_KB_MAX)));
}

/// An announcement may have this many bytes, and what its connection has read of it.
const ANNOUNCEMENT_BYTES_MAX: usize = 256 << 10;

/// A server that announces itself without end is refused, and the next announcement is taken.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn announcement_without_end() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    let heads = [
        "PUT /api/instances/i-one HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n",
        "PUT /api/instances/i-one HTTP/1.1\r\nhost: a\r\nx-long: ",
        "PUT /api/instances/",
    ];
    for head in heads {
        let mut stream = TcpStream::connect(daemon.settings.announce_listen).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        let (chunk, mut written) = (vec![b'a'; 16 * 1024], 0);
        // An error or no progress means that the daemon takes in no more.
        while let Ok(Ok(())) = timeout(Duration::from_secs(1), stream.write_all(&chunk)).await {
            written += chunk.len();
            assert!(written < 1 << 30, "the daemon goes on reading");
        }
        println!("{written} bytes after {head:?}");
        expect_that!(written, le(ANNOUNCEMENT_BYTES_MAX + SOCKET_BUFFER_BYTES));
    }
    fleet.announce(&daemon, 2, false).await;
    expect_that!(fleet.send(&daemon, "/read/1", KEY).await.status, eq(200));
}
