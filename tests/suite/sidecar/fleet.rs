//! A fleet of sidecar daemons on loopback, in one process.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use lentilway::clock::MilliClock;
use lentilway::platform::PlatformDialect;
use lentilway::policy::retry_allowance::RetryTerms;
use lentilway::policy::store_position::{StoreEra, StorePosition};
use lentilway::policy::token_share::RateWindow;
use lentilway::sidecar::process::decision_log::DecisionLog;
use lentilway::sidecar::process::keyed_store::{
    KeyedStore, StoreError, StoreRead, StoreRecord, StoreTopic,
};
use lentilway::sidecar::process::settings::{SidecarSettings, WarmUpTerms};
use lentilway::sidecar::process::sidecar_daemon::SidecarDaemon;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::log_output::LogOutput;
use super::older_release::OlderDialect;

/// When the backend servers of a fleet started, in milliseconds since the Unix epoch.
const FIRST_BORN: u64 = 1;
pub(super) const HOST: &str = "shop.example";
pub(super) const KEY: &str = "a-key";
pub(super) const WITHDRAWN_KEY: &str = "another-key";
/// The store's reads leave records with this key out, as ones that cannot be decoded.
pub(super) const UNREADABLE_KEY: &str = "unreadable";
const STOP_BOUND: Duration = Duration::from_secs(3);
const DEADLINE: Duration = Duration::from_secs(2);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the store takes for a snapshot.
const SNAPSHOT_TIME: Duration = Duration::from_millis(4);

/// An in-memory store that can be made unavailable.
#[derive(Default)]
pub(super) struct MemoryStore {
    records: Mutex<Vec<(StoreTopic, StoreRecord)>>,
    written: Notify,
    /// Reads of changes.
    pub(super) reads: AtomicUsize,
    /// Calls of all kinds.
    pub(super) calls: AtomicUsize,
    is_down: Mutex<bool>,
    /// How often it came back from a copy.
    era: AtomicU64,
    /// The first retained offset of each topic, if records were dropped.
    first_offsets: Mutex<HashMap<StoreTopic, u64>>,
    /// Reads of records that were dropped.
    expired: AtomicUsize,
    /// Snapshots of these topics end at this offset, behind what was written since.
    snapshot_ends: Mutex<HashMap<StoreTopic, u64>>,
    /// Reads of changes of these topics get this error.
    refusals: Mutex<HashMap<StoreTopic, StoreError>>,
    /// Reads of changes return one record at a time, each after this time.
    partial_read_time: Mutex<Option<Duration>>,
}

impl MemoryStore {
    pub(super) fn set_down(&self, is_down: bool) {
        *self.is_down.lock().unwrap() = is_down;
        self.written.notify_waiters();
    }

    pub(super) fn write(&self, topic: StoreTopic, key: &str, value: Option<Vec<u8>>) {
        let mut records = self.records.lock().unwrap();
        let offset = records.iter().filter(|(other, _)| *other == topic).count() as u64;
        let position = StorePosition { era: self.era(), offset };
        records.push((topic, StoreRecord { key: key.to_owned(), value, position }));
        drop(records);
        self.written.notify_waiters();
    }

    /// Comes back from a copy with the first `configurations` records of that topic and the first
    /// `entries` of the directory.
    pub(super) fn restore(&self, configurations: usize, entries: usize) {
        let mut records = self.records.lock().unwrap();
        records.retain(|(topic, record)| match topic {
            StoreTopic::Configuration => record.position.offset < configurations as u64,
            StoreTopic::Directory => record.position.offset < entries as u64,
        });
        self.era.fetch_add(1, Ordering::SeqCst);
        drop(records);
        self.written.notify_waiters();
    }

    /// The calls of all kinds.
    pub(super) fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    /// The reads of changes.
    pub(super) fn reads(&self) -> usize {
        self.reads.load(Ordering::SeqCst)
    }

    /// Drops all records of a topic except the newest one of each key.
    pub(super) fn drop_history(&self, topic: StoreTopic) {
        let end = self.count(topic) as u64;
        self.first_offsets.lock().unwrap().insert(topic, end);
    }

    /// Snapshots of a topic lack what is written from now on, until `release_snapshots`.
    pub(super) fn hold_snapshots(&self, topic: StoreTopic) {
        let end = self.count(topic) as u64;
        self.snapshot_ends.lock().unwrap().insert(topic, end);
    }

    /// Snapshots are complete again.
    pub(super) fn release_snapshots(&self) {
        self.snapshot_ends.lock().unwrap().clear();
    }

    /// Reads of changes of a topic fail with `error`, if given, from now on.
    pub(super) fn refuse_changes(&self, topic: StoreTopic, error: Option<StoreError>) {
        let mut refusals = self.refusals.lock().unwrap();
        match error {
            Some(error) => refusals.insert(topic, error),
            None => refusals.remove(&topic),
        };
        drop(refusals);
        self.written.notify_waiters();
    }

    /// Reads of changes return one record at a time, each after `read_time`, from now on.
    pub(super) fn cut_reads(&self, read_time: Duration) {
        *self.partial_read_time.lock().unwrap() = Some(read_time);
    }

    fn check_changes(&self, topic: StoreTopic) -> Result<(), StoreError> {
        self.refusals.lock().unwrap().get(&topic).cloned().map_or(Ok(()), Err)
    }

    /// The reads of records that were dropped.
    pub(super) fn expired(&self) -> usize {
        self.expired.load(Ordering::SeqCst)
    }

    fn first_offset(&self, topic: StoreTopic) -> u64 {
        self.first_offsets.lock().unwrap().get(&topic).copied().unwrap_or_default()
    }

    /// The number of records of a topic.
    pub(super) fn count(&self, topic: StoreTopic) -> usize {
        self.read(topic, 0).records.len()
    }

    /// The newest value of a key in the directory.
    pub(super) fn directory_value(&self, key: &str) -> Option<Vec<u8>> {
        let records = self.read(StoreTopic::Directory, 0).records;
        records.into_iter().rev().find(|record| record.key == key)?.value
    }

    fn era(&self) -> StoreEra {
        StoreEra(self.era.load(Ordering::SeqCst))
    }

    fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::SeqCst);
    }

    fn check(&self) -> Result<(), StoreError> {
        match *self.is_down.lock().unwrap() {
            true => Err(StoreError::Refused { status: 503 }),
            false => Ok(()),
        }
    }

    fn read(&self, topic: StoreTopic, from: u64) -> StoreRead {
        let records = self.records.lock().unwrap();
        let of_topic = records.iter().filter(|(other, _)| *other == topic);
        let mut all: Vec<StoreRecord> = of_topic.map(|(_, record)| record.clone()).collect();
        let era = self.era();
        all.iter_mut().for_each(|record| record.position.era = era);
        let cursor = StorePosition { era, offset: all.len() as u64 };
        let requested = all.into_iter().skip(from as usize);
        let (unreadable, records): (Vec<_>, Vec<_>) =
            requested.partition(|record| record.key == UNREADABLE_KEY);
        StoreRead { records, cursor, unreadable: unreadable.len(), is_partial: false }
    }
}

/// The first record of a read from `from`.
fn cut_read(mut read: StoreRead, from: StorePosition) -> StoreRead {
    let end = read.cursor;
    read.cursor.offset = from.offset + 1;
    read.is_partial = read.cursor < end;
    read.records.truncate(1);
    read
}

#[async_trait]
impl KeyedStore for MemoryStore {
    async fn snapshot(&self, topic: StoreTopic) -> Result<StoreRead, StoreError> {
        self.count_call();
        self.check()?;
        sleep(SNAPSHOT_TIME).await;
        let mut read = self.read(topic, 0);
        if let Some(end) = self.snapshot_ends.lock().unwrap().get(&topic) {
            read.cursor.offset = read.cursor.offset.min(*end);
            read.records.retain(|record| record.position.offset < *end);
        }
        let mut newest = BTreeMap::new();
        for record in read.records {
            newest.insert(record.key.clone(), record);
        }
        read.records = newest.into_values().filter(|record| record.value.is_some()).collect();
        Ok(read)
    }

    async fn changes(
        &self,
        topic: StoreTopic,
        cursor: StorePosition,
        wait: Duration,
    ) -> Result<StoreRead, StoreError> {
        self.count_call();
        self.reads.fetch_add(1, Ordering::SeqCst);
        let end = Instant::now() + wait;
        loop {
            let written = self.written.notified();
            self.check()?;
            self.check_changes(topic)?;
            let read = self.read(topic, cursor.offset);
            if read.cursor.era != cursor.era {
                return Err(StoreError::Restored { era: read.cursor.era });
            }
            if cursor.offset < self.first_offset(topic) {
                self.expired.fetch_add(1, Ordering::SeqCst);
                let first = StorePosition { offset: self.first_offset(topic), ..cursor };
                return Err(StoreError::Expired { first });
            }
            if read.cursor != cursor || Instant::now() >= end {
                let partial_read_time = *self.partial_read_time.lock().unwrap();
                return match partial_read_time {
                    Some(read_time) if read.cursor != cursor => {
                        sleep(read_time).await;
                        Ok(cut_read(read, cursor))
                    }
                    _ => Ok(read),
                };
            }
            let _ = timeout(end - Instant::now(), written).await;
        }
    }

    async fn put(
        &self,
        topic: StoreTopic,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<StoreEra, StoreError> {
        self.count_call();
        self.check()?;
        self.write(topic, key, value.map(<[u8]>::to_vec));
        Ok(self.era())
    }
}

/// How a backend server responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendBehaviour {
    /// It answers after a delay.
    Answers(Duration),
    /// It answers with another request's id.
    WrongId,
    /// It answers without the server signature.
    Unsigned,
    /// It reads the request and closes the connection.
    Disconnects,
    /// It reports that it did not run the request.
    Sheds,
    /// It runs the request and answers with this status, marked as "not run" or not.
    Ends { status: u16, is_marked: bool },
}

/// A backend server that counts the requests that reach it.
pub(super) struct TestBackend {
    pub(super) address: SocketAddr,
    pub(super) arrivals: Arc<AtomicUsize>,
    /// Runs whose connection was closed before the answer.
    pub(super) cancelled: Arc<AtomicUsize>,
    behaviour: Arc<Mutex<BackendBehaviour>>,
    state: Arc<BackendState>,
}

/// What a backend server states in its answers, and when requests reached it.
#[derive(Default)]
struct BackendState {
    statements: Mutex<Vec<(&'static str, String)>>,
    arrived: Mutex<Vec<Instant>>,
}

impl TestBackend {
    pub(super) async fn start(behaviour: BackendBehaviour) -> Self {
        let listener = TcpListener::bind((own_loopback(), 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let arrivals = Arc::new(AtomicUsize::new(0));
        let behaviour = Arc::new(Mutex::new(behaviour));
        let (arrival_count, current) = (arrivals.clone(), behaviour.clone());
        let cancelled = Arc::new(AtomicUsize::new(0));
        let cancellations = cancelled.clone();
        let state = Arc::new(BackendState::default());
        let shared = state.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (arrival_count, current, cancellations) =
                    (arrival_count.clone(), current.clone(), cancellations.clone());
                let shared = shared.clone();
                let service = service_fn(move |request| {
                    arrival_count.fetch_add(1, Ordering::SeqCst);
                    shared.arrived.lock().unwrap().push(Instant::now());
                    let run = TestRun { cancellations: cancellations.clone(), is_ended: false };
                    answer(request, *current.lock().unwrap(), run, shared.clone())
                });
                let server = hyper::server::conn::http1::Builder::new();
                tokio::spawn(server.serve_connection(TokioIo::new(stream), service));
            }
        });
        TestBackend { address, arrivals, cancelled, behaviour, state }
    }

    /// A server that the test runs itself.
    fn at(address: SocketAddr) -> Self {
        let behaviour = Arc::new(Mutex::new(BackendBehaviour::Sheds));
        TestBackend {
            address,
            arrivals: Arc::default(),
            cancelled: Arc::default(),
            behaviour,
            state: Arc::default(),
        }
    }

    pub(super) fn set_behaviour(&self, behaviour: BackendBehaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Sets headers of its answers from now on.
    pub(super) fn state_in_answers(&self, statements: &[(&'static str, &str)]) {
        let statements = statements.iter().map(|(name, value)| (*name, (*value).to_owned()));
        *self.state.statements.lock().unwrap() = statements.collect();
    }

    /// The most requests that reached it within `span`, counted from `since`.
    pub(super) fn most_arrivals_within(&self, span: Duration, since: Instant) -> usize {
        let arrived = self.state.arrived.lock().unwrap();
        let counted: Vec<&Instant> = arrived.iter().filter(|at| **at >= since).collect();
        let within = |start: usize| {
            counted[start..].iter().take_while(|at| ***at < *counted[start] + span).count()
        };
        (0..counted.len()).map(within).max().unwrap_or(0)
    }

    pub(super) fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }
}

/// Counts a run as cancelled if it is dropped without an answer.
struct TestRun {
    cancellations: Arc<AtomicUsize>,
    is_ended: bool,
}

impl Drop for TestRun {
    fn drop(&mut self) {
        if !self.is_ended {
            self.cancellations.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn answer(
    request: Request<Incoming>,
    behaviour: BackendBehaviour,
    mut run: TestRun,
    state: Arc<BackendState>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    // Health checks are no attempts of a request.
    let id = request.headers().get("x-lentilway-attempt-id").cloned();
    let leaks_key = request.headers().contains_key("authorization");
    let organisation = request.headers().get("x-lentilway-tenant-id").cloned();
    request.into_body().collect().await.map_err(std::io::Error::other)?;
    let mut response = Response::new(Full::new(Bytes::from_static(b"whole")));
    let headers = response.headers_mut();
    if let Some(id) = id {
        headers.insert("x-lentilway-attempt-id", id);
    }
    headers.insert("x-lentilway-server-signature", "signed".parse().unwrap());
    headers.insert("x-leaked", leaks_key.to_string().parse().unwrap());
    if let Some(name) = organisation {
        headers.insert("x-organisation", name);
    }
    match behaviour {
        BackendBehaviour::Answers(after) => sleep(after).await,
        BackendBehaviour::WrongId => {
            headers.insert("x-lentilway-attempt-id", "another".parse().unwrap());
        }
        BackendBehaviour::Unsigned => drop(headers.remove("x-lentilway-server-signature")),
        BackendBehaviour::Disconnects => {
            return Err(std::io::Error::other("connection closed by the test"));
        }
        BackendBehaviour::Sheds => {
            headers.insert("x-lentilway-not-executed", "1".parse().unwrap());
            *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        }
        BackendBehaviour::Ends { status, is_marked } => {
            if is_marked {
                headers.insert("x-lentilway-not-executed", "1".parse().unwrap());
            }
            *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap();
        }
    }
    for (name, value) in state.statements.lock().unwrap().iter() {
        response.headers_mut().insert(*name, value.parse().unwrap());
    }
    run.is_ended = true;
    Ok(response)
}

/// The answer to a caller.
#[derive(Debug)]
pub(super) struct CallerAnswer {
    pub(super) status: u16,
    pub(super) headers: hyper::HeaderMap,
    pub(super) body: Bytes,
}

/// A daemon of the fleet with its backend server.
pub(super) struct TestDaemon {
    pub(super) daemon: SidecarDaemon,
    pub(super) settings: SidecarSettings,
    pub(super) backend: TestBackend,
    /// What it logs.
    pub(super) output: LogOutput,
}

/// A store shared by daemons, and a client.
pub(super) struct TestFleet {
    /// The availability zone of the daemon of a name.
    zone_of: fn(&str) -> &str,
    /// The region of each availability zone.
    zone_regions: &'static [(&'static str, &'static str)],
    /// Time for a planned stop of a daemon.
    stop_bound: Duration,
    pub(super) store: Arc<MemoryStore>,
    pub(super) client: Client<HttpConnector, Full<Bytes>>,
    next_id: AtomicUsize,
    /// Daemons that are started reject versions of the configuration above this one.
    readable_max: AtomicU64,
}

/// Ports that the system does not assign by itself, so that none is taken between its choice and
/// the start of a daemon.
const TEST_PORTS: std::ops::Range<u16> = 10_000..32_000;
/// The next port to assign, from the begin of [`TEST_PORTS`].
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A loopback address unique to this process, so that no test running in parallel binds the port
/// between this call and the daemon's start.
pub(super) fn own_loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), middle ^ 1, low.max(1))
}

pub(super) fn free_address() -> SocketAddr {
    loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::SeqCst) % TEST_PORTS.len() as u16;
        let address = SocketAddr::from((own_loopback(), TEST_PORTS.start + step));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The first of two ports in a row.
pub(super) fn free_port_pair() -> u16 {
    loop {
        let (first, second) = (free_address().port(), free_address().port());
        if first + 1 == second {
            return first;
        }
    }
}

fn route(name: &str, kind: &str, service: &str, is_open: bool) -> serde_json::Value {
    json!({"entry_kind": "routes", "metadata": {"name": name}, "spec": {
        "hostname": HOST, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_s": 3,
        "target_latency_s": 2, "priority": 1, "service": service, "max_attempts": 2,
        "public": is_open}})
}

/// A configuration with or without [`WITHDRAWN_KEY`].
pub(super) fn config(version: u64, has_second_key: bool) -> Vec<u8> {
    let keys = if has_second_key { vec![KEY, WITHDRAWN_KEY] } else { vec![KEY] };
    config_of(version, &["read"], &keys)
}

/// A configuration whose open route `name` leads to the service of that name, for up to `timeout`.
pub(super) fn config_with_service(version: u64, name: &str, timeout: Duration) -> Vec<u8> {
    let mut config: serde_json::Value = serde_json::from_slice(&config(version, true)).unwrap();
    let mut added = route(name, "safe", name, true);
    added["spec"]["timeout_s"] = timeout.as_secs_f64().into();
    config["resources"].as_array_mut().unwrap().push(added);
    config.to_string().into_bytes()
}

/// A configuration whose service `stock` tolerates `cold_per_second` requests while it is cold, and
/// answers health checks at `health_path`.
pub(super) fn config_with_warm_up(
    version: u64,
    cold_per_second: f64,
    health_path: Option<&str>,
) -> Vec<u8> {
    let mut config: serde_json::Value = serde_json::from_slice(&config(version, true)).unwrap();
    let service = json!({"entry_kind": "services", "metadata": {"name": "stock"}, "spec": {
        "cold_start_s": 3, "cold_per_s": cold_per_second, "health_path": health_path}});
    config["resources"].as_array_mut().unwrap().push(service);
    config.to_string().into_bytes()
}

/// A configuration with safe routes of these names and the usual ones.
pub(super) fn config_with_routes(version: u64, names: &[&str]) -> Vec<u8> {
    config_of(version, names, &[KEY, WITHDRAWN_KEY])
}

fn config_of(version: u64, names: &[&str], keys: &[&str]) -> Vec<u8> {
    let mut resources = vec![
        route("write", "unsafe", "stock", false),
        route("open", "safe", "stock", true),
        json!({"entry_kind": "tenants", "metadata": {"name": "nord"}, "spec": {"api_keys": keys}}),
    ];
    resources.extend(names.iter().map(|name| route(name, "safe", "stock", false)));
    json!({"version": version, "resources": resources}).to_string().into_bytes()
}

impl TestFleet {
    pub(super) fn new() -> Self {
        let store = Arc::new(MemoryStore::default());
        store.write(StoreTopic::Configuration, "config", Some(config(1, true)));
        let client = Client::builder(TokioExecutor::new()).build_http();
        let stop_bound = STOP_BOUND;
        TestFleet {
            zone_of: |_| "zone",
            zone_regions: &[],
            stop_bound,
            store,
            client,
            next_id: AtomicUsize::new(0),
            readable_max: AtomicU64::new(u64::MAX),
        }
    }

    /// A fleet whose daemons are each alone in an availability zone.
    pub(super) fn with_zones() -> Self {
        TestFleet { zone_of: |name| name, ..Self::new() }
    }

    /// A fleet whose daemons are in the availability zone that their names begin with, up to a dash;
    /// `east` and `west` are in two regions.
    pub(super) fn with_shared_zones() -> Self {
        TestFleet {
            zone_of: |name| name.split('-').next().unwrap_or(name),
            zone_regions: &[("east", "north"), ("west", "south")],
            ..Self::new()
        }
    }

    /// A fleet whose daemons have this time for a planned stop.
    pub(super) fn with_stop_bound(stop_bound: Duration) -> Self {
        TestFleet { stop_bound, ..Self::new() }
    }

    /// Starts a daemon with a backend server and sends the first announcement.
    pub(super) async fn start(&self, name: &str, service: &str) -> TestDaemon {
        let backend = TestBackend::start(BackendBehaviour::Answers(Duration::from_millis(1))).await;
        let daemon = self.start_with(name, service, backend, free_address()).await;
        self.announce(&daemon, 1, false).await;
        daemon
    }

    /// Starts a daemon beside a server of the test's own, which announces itself at the daemon's
    /// address for announcements.
    pub(super) async fn start_unannounced(
        &self,
        name: &str,
        service: &str,
        server: SocketAddr,
    ) -> TestDaemon {
        self.start_with(name, service, TestBackend::at(server), free_address()).await
    }

    /// Starts a daemon beside a server of the test's own.
    pub(super) async fn start_beside(
        &self,
        name: &str,
        service: &str,
        server: SocketAddr,
    ) -> TestDaemon {
        let backend = TestBackend::at(server);
        let daemon = self.start_with(name, service, backend, free_address()).await;
        self.announce(&daemon, 1, false).await;
        daemon
    }

    pub(super) async fn start_with(
        &self,
        name: &str,
        service: &str,
        backend: TestBackend,
        peer_listen: SocketAddr,
    ) -> TestDaemon {
        let zone = (self.zone_of)(name);
        let regions = self.zone_regions.iter().copied();
        let region = regions
            .clone()
            .find(|(other, _)| *other == zone)
            .map_or("region", |(_, region)| region);
        let settings = SidecarSettings {
            name: name.into(),
            availability_zone: zone.into(),
            region: region.into(),
            zone_regions: regions.map(|(zone, region)| (zone.into(), region.into())).collect(),
            service: service.into(),
            backend_address: backend.address,
            request_listen: free_address(),
            peer_listen,
            announce_listen: free_address(),
            ready_listen: free_address(),
            metrics_listen: free_address(),
            store_address: free_address(),
            withdrawal_bound: Duration::from_secs(5),
            warm_up_terms: WarmUpTerms { overage: 1.5, slack: 8.0 },
            evacuation_bound: Duration::from_secs(5),
            memory_bytes: 160 << 20,
            descriptors_max: 4_100,
            body_bytes: 40 << 20,
            config_bound: Duration::from_secs(2),
            retry_terms: RetryTerms {
                per_request: 0.2,
                slack: 10.0,
                window: Duration::from_secs(10),
            },
            rate_window: RateWindow { span: Duration::from_secs(5), slack: 20.0, overage: 0.1 },
            stop_bound: self.stop_bound,
        };
        let output = LogOutput::default();
        let log = DecisionLog::new(MilliClock::monotonic(), Box::new(output.clone()));
        let readable_max = self.readable_max.load(Ordering::SeqCst);
        let dialect = Arc::new(OlderDialect { newer: PlatformDialect::default(), readable_max });
        let started =
            SidecarDaemon::start(settings.clone(), dialect, self.store.clone(), log).await;
        let daemon = started.unwrap_or_else(|error| panic!("{error}"));
        TestDaemon { daemon, settings, backend, output }
    }

    /// Announces the backend server of a daemon; `number` must increase.
    pub(super) async fn announce(&self, daemon: &TestDaemon, number: u64, is_draining: bool) {
        let phase = if is_draining { "draining" } else { "ready" };
        assert_eq!(self.announce_born(daemon, FIRST_BORN, number, phase).await, 200);
    }

    /// Announces a backend server that started at `born`; the status of the answer.
    pub(super) async fn announce_born(
        &self,
        daemon: &TestDaemon,
        born: u64,
        number: u64,
        phase: &str,
    ) -> u16 {
        self.announce_state(daemon, born, number, phase, Duration::ZERO).await
    }

    /// Announces that the backend server of a daemon stays cold for `cold_for`.
    pub(super) async fn announce_cold(&self, daemon: &TestDaemon, number: u64, cold_for: Duration) {
        let status = self.announce_state(daemon, FIRST_BORN, number, "ready", cold_for).await;
        assert_eq!(status, 200);
    }

    async fn announce_state(
        &self,
        daemon: &TestDaemon,
        born: u64,
        number: u64,
        phase: &str,
        cold_for: Duration,
    ) -> u16 {
        let cold_remaining = cold_for.as_secs_f64();
        let body = json!({"address": daemon.backend.address.to_string(), "born": born,
            "info": {"service": *daemon.settings.service, "version": "v1", "zone": "zone",
                "slots": 8},
            "status": {"phase": phase, "sequence": number, "cold_remaining_s": cold_remaining}});
        self.tell(daemon, Method::PUT, body.to_string()).await
    }

    /// Has the backend server of a daemon say that it is gone; the status of the answer.
    pub(super) async fn leave(&self, daemon: &TestDaemon) -> u16 {
        self.tell(daemon, Method::DELETE, String::new()).await
    }

    async fn tell(&self, daemon: &TestDaemon, method: Method, body: String) -> u16 {
        let address = daemon.settings.announce_listen;
        let uri = format!("http://{address}/api/instances/i-{}", daemon.settings.name);
        let request = Request::builder().method(method).uri(uri);
        let request = request.body(Full::new(body.into())).unwrap();
        self.client.request(request).await.unwrap().status().as_u16()
    }

    /// Kills a daemon and starts it again beside the same backend server.
    pub(super) async fn restart(&self, stopped: TestDaemon) -> TestDaemon {
        let restarted = self.restart_silent(stopped).await;
        self.announce(&restarted, 2, false).await;
        restarted
    }

    /// Kills a daemon and starts it again; its backend server does not announce itself.
    pub(super) async fn restart_silent(&self, stopped: TestDaemon) -> TestDaemon {
        let TestDaemon { daemon, settings, backend, .. } = stopped;
        daemon.abort().await;
        let (name, service) = (settings.name, settings.service);
        self.start_with(&name, &service, backend, settings.peer_listen).await
    }

    /// Stops a daemon as planned and starts it again; its backend server does not announce itself.
    pub(super) async fn stop_and_start(&self, stopped: TestDaemon) -> TestDaemon {
        let TestDaemon { daemon, settings, backend, .. } = stopped;
        daemon.stop().await;
        // Its aborted tasks close the listener soon after.
        while std::net::TcpListener::bind(settings.peer_listen).is_err() {
            sleep(POLL_INTERVAL).await;
        }
        let (name, service) = (settings.name, settings.service);
        self.start_with(&name, &service, backend, settings.peer_listen).await
    }

    /// Has daemons that are started from now on reject versions of the configuration above this one.
    pub(super) fn set_readable_max(&self, version: u64) {
        self.readable_max.store(version, Ordering::SeqCst);
    }

    /// Has the ids of the requests that follow count from `number`.
    pub(super) fn skip_ids_to(&self, number: usize) {
        self.next_id.store(number, Ordering::SeqCst);
    }

    /// Sends a request with a new id through a daemon.
    pub(super) async fn send(&self, daemon: &TestDaemon, path: &str, key: &str) -> CallerAnswer {
        self.request(daemon, path, key).await
    }

    /// The exchange of a request with a new id through a daemon.
    pub(super) fn request(
        &self,
        daemon: &TestDaemon,
        path: &str,
        key: &str,
    ) -> impl Future<Output = CallerAnswer> + Send + use<> {
        self.request_within(daemon, path, key, DEADLINE)
    }

    /// The exchange of a request whose caller waits for `deadline`.
    pub(super) fn request_within(
        &self,
        daemon: &TestDaemon,
        path: &str,
        key: &str,
        deadline: Duration,
    ) -> impl Future<Output = CallerAnswer> + Send + use<> {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let exchange = self.try_request(daemon, path, key, &format!("request-{id}"), deadline);
        async move { exchange.await.expect("the request is answered") }
    }

    /// The exchange of a request with this id; `None` if the connection ends without an answer.
    pub(super) fn try_request(
        &self,
        daemon: &TestDaemon,
        path: &str,
        key: &str,
        id: &str,
        deadline: Duration,
    ) -> impl Future<Output = Option<CallerAnswer>> + Send + use<> {
        let uri = format!("http://{}{path}", daemon.settings.request_listen);
        let request = Request::get(uri)
            .header("host", HOST)
            .header("x-lentilway-attempt-id", id)
            .header("x-lentilway-deadline-ms", deadline.as_millis().to_string())
            .header("x-lentilway-tenant-id", "forged")
            .header("authorization", format!("Bearer {key}"))
            .body(Full::default());
        let exchange = self.client.request(request.unwrap());
        async move {
            let (parts, body) = exchange.await.ok()?.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(CallerAnswer { status: parts.status.as_u16(), headers: parts.headers, body })
        }
    }

    /// Sends requests until one is answered with `status`.
    pub(super) async fn until(&self, daemon: &TestDaemon, path: &str, key: &str, status: u16) {
        let polled = async {
            while self.send(daemon, path, key).await.status != status {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, polled).await.expect("the expected status arrives in time");
    }

    /// The metrics of a daemon.
    pub(super) async fn metrics(&self, daemon: &TestDaemon) -> String {
        let uri = format!("http://{}/metrics", daemon.settings.metrics_listen);
        let request = Request::get(uri).body(Full::default()).unwrap();
        let body = self.client.request(request).await.unwrap().into_body();
        String::from_utf8(body.collect().await.unwrap().to_bytes().to_vec()).unwrap()
    }

    /// The status of a readiness probe.
    pub(super) async fn ready(&self, daemon: &TestDaemon) -> u16 {
        let uri = format!("http://{}/api/readyz", daemon.settings.ready_listen);
        let request = Request::get(uri).body(Full::default()).unwrap();
        self.client.request(request).await.unwrap().status().as_u16()
    }
}

/// Waits until `condition` holds.
pub(super) async fn wait_until(condition: impl Fn() -> bool) {
    let waited = async {
        while !condition() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(WAIT_TIMEOUT, waited).await.expect("the condition holds in time");
}
