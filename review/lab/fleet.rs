//! A few machines of one service, each with a daemon and an upstream.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Stage;
use crate::daemon::{Machine, Place};
use crate::http::{Connection, Message};
use crate::record::Recorder;
use crate::store::Store;
use crate::upstream::{Run, Runs, Upstream};

/// The prefix of the route to [`SERVICE`].
pub const ROUTE: &str = "/leny950/";
pub const HOST: &str = "hulo84.example";
pub const SERVICE: &str = "portfel";
/// Another route and its service.
pub const LONG_ROUTE: &str = "/puka111/";
pub const LONG_SERVICE: &str = "dostawy";
/// A service that no route leads to.
pub const ENTRY_SERVICE: &str = "cennik";
const SERVICES: [&str; 3] = [SERVICE, LONG_SERVICE, ENTRY_SERVICE];
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// Time for the fleet to settle: longer than `stable_window_s`.
const SETTLING: Duration = Duration::from_millis(4_000);
/// Clients give up after this time.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// The fleet; dropping it kills the daemons.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub upstreams: Vec<Upstream>,
    pub runs: Runs,
    pub store: Store,
}

/// The tenant of the configuration.
pub struct Tenant {
    pub name: &'static str,
    pub per_second: u32,
    pub burst: u32,
}

/// The machines, the route and the tenant of a fleet.
pub struct Plan {
    pub sites: Vec<Site>,
    pub memory_mb: u64,
    pub tenant: Tenant,
    /// Whether requests may run once at most.
    pub runs_once: bool,
    pub timeout_s: f64,
}

/// A machine of a plan.
#[derive(Clone, Copy)]
pub struct Site {
    pub zone: &'static str,
    /// The service of the upstream.
    pub service: &'static str,
    /// How long each request runs there.
    pub work: Duration,
}

impl Site {
    /// A machine with an upstream of [`SERVICE`].
    pub fn new(work: Duration) -> Self {
        Site { zone: "waw-a", service: SERVICE, work }
    }
}

impl Fleet {
    /// Starts the machines and waits until all daemons are ready; the error says which is not.
    pub fn start(stage: &Stage, plan: &Plan) -> Result<Self, String> {
        let store = Store::start();
        store.write_config(&config(plan, &Version::FIRST));
        let runs: Runs = Arc::default();
        let (mut machines, mut upstreams) = (Vec::new(), Vec::new());
        for (index, site) in plan.sites.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let app = listener.local_addr().expect("a bound address");
            let name = format!("sidecar-waw-a-{}", index + 1);
            let (store, memory_mb) = (store.address, plan.memory_mb);
            let Site { zone, service, work } = *site;
            let place = Place { name: &name, zone, service, app, store, memory_mb };
            let mut machine = Machine::new(&stage.scratch, &place);
            machine.start();
            let (id, recorder) = (format!("i-{}", index + 1), &stage.recorder);
            let upstream = Upstream::start(listener, &id, service, work, &runs, recorder);
            upstream.start_heartbeats(machine.control);
            machines.push(machine);
            upstreams.push(upstream);
        }
        for machine in &machines {
            if !machine.wait_ready(Duration::from_secs(10)) {
                return Err(format!("{} is not ready", machine.name));
            }
        }
        thread::sleep(SETTLING);
        Ok(Fleet { machines, upstreams, runs, store })
    }

    /// The runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("lock not poisoned").clone()
    }
}

/// What changes from one version of the configuration to the next.
pub struct Version {
    pub number: u64,
    /// Routes that nobody uses.
    pub idle_routes: usize,
    pub has_key: bool,
}

impl Version {
    pub const FIRST: Version = Version { number: 7, idle_routes: 0, has_key: true };
}

/// A version of the configuration.
pub fn config(plan: &Plan, version: &Version) -> String {
    let Version { number, idle_routes, has_key } = version;
    let idle: String = (0..*idle_routes)
        .map(|route| {
            format!(
                r#"{{"entry_kind":"routes","metadata":{{"name":"idle-{route}"}},"spec":{{
                "hostname":"{HOST}","path_prefix":"/idle{route}/","kind":"safe","timeout_s":0.8,
                "target_latency_s":1.5,"priority":2,"service":"{SERVICE}","max_attempts":2,
                "public":false}}}},"#
            )
        })
        .collect();
    let services: String = SERVICES
        .iter()
        .map(|service| {
            format!(
                r#"{{"entry_kind":"services","metadata":{{"name":"{service}"}},"spec":{{
                "health_path":"/healthz","max_conns":694,"protocol":"h1","tls":false}}}},"#
            )
        })
        .collect();
    let keys = if *has_key { format!("\"{KEY}\"") } else { String::new() };
    let Tenant { name, per_second, burst } = plan.tenant;
    let timeout = plan.timeout_s;
    let kind = if plan.runs_once { "unsafe" } else { "safe" };
    format!(
        r#"{{"version":{number},"resources":[{idle}
        {{"entry_kind":"routes","metadata":{{"name":"r-1"}},"spec":{{"hostname":"{HOST}",
          "path_prefix":"{ROUTE}","kind":"{kind}","timeout_s":{timeout},
          "target_latency_s":{timeout},"priority":2,"service":"{SERVICE}","max_attempts":2,
          "public":false}}}},
        {{"entry_kind":"routes","metadata":{{"name":"r-2"}},"spec":{{"hostname":"{HOST}",
          "path_prefix":"{LONG_ROUTE}","kind":"safe","timeout_s":{timeout},
          "target_latency_s":{timeout},"priority":2,"service":"{LONG_SERVICE}","max_attempts":2,
          "public":false}}}},
        {services}
        {{"entry_kind":"tenants","metadata":{{"name":"{name}"}},"spec":{{
          "api_keys":[{keys}],"priority":1,"rate_per_s":{per_second},"burst":{burst}}}}},
        {{"entry_kind":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,
          "max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}]}}"#
    )
}

/// A request of the tenant.
pub struct Request<'a> {
    pub attempt: &'a str,
    /// The prefix of its route.
    pub path: &'a str,
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Sends it over a connection: a GET without a body, otherwise a POST.
    pub fn send(&self, connection: &mut Connection) -> Option<Message> {
        let Request { attempt, path, body } = self;
        let headers = [
            ("Host", HOST.to_owned()),
            ("X-Lentilway-Attempt-Id", attempt.to_string()),
            ("X-Lentilway-Deadline-Ms", "5000".to_owned()),
            ("Authorization", format!("Bearer {KEY}")),
        ];
        let method = if body.is_empty() { "GET" } else { "POST" };
        connection.exchange(&format!("{method} {path}{attempt} HTTP/1.1"), &headers, body)
    }
}

/// Clients that send requests one after the other, until [`Load::stop`].
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

/// What each client of a [`Load`] sends.
#[derive(Clone)]
pub struct Client {
    /// The daemon on its machine.
    pub address: SocketAddr,
    /// The time from one request to the next, unless the answer takes longer.
    pub pause: Duration,
    pub body: Arc<Vec<u8>>,
}

impl Load {
    pub fn start(clients: Vec<Client>, recorder: &Recorder) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let start = |client: Client| {
            let (stop, sent, recorder) = (stop.clone(), sent.clone(), recorder.clone());
            thread::spawn(move || client.run(&stop, &sent, &recorder))
        };
        let clients = clients.into_iter().map(start).collect();
        Load { stop, clients }
    }

    /// Lets the clients end after their last answers.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            let _ = client.join();
        }
    }
}

impl Client {
    fn run(&self, stop: &AtomicBool, sent: &AtomicU64, recorder: &Recorder) {
        let mut kept = None;
        while !stop.load(Ordering::SeqCst) {
            let started = Instant::now();
            let open = kept.take().or_else(|| Connection::open(self.address, ANSWER_LIMIT));
            if let Some(mut connection) = open {
                let attempt = format!("a{}", sent.fetch_add(1, Ordering::SeqCst));
                recorder.note(&format!("send {attempt}"));
                let request = Request { attempt: &attempt, path: ROUTE, body: &self.body };
                let answer = request.send(&mut connection);
                let status = answer.as_ref().map_or(0, Message::status);
                recorder.note(&format!("answer {attempt} {status}"));
                kept = answer.is_some().then_some(connection);
            }
            thread::sleep(self.pause.saturating_sub(started.elapsed()));
        }
    }
}
