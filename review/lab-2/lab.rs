//! Stand-ins and cases of the second review. Standard library only; built by `review/build-2.sh`.
//!
//! `lab CASE DIR RECORD` runs a case from the root of the repository. It writes settings and the
//! daemons' logs into DIR and what was sent, answered and run into RECORD. It exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOST: &str = "shop.example";
const CASE_TIME_MAX: Duration = Duration::from_secs(112);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir, record] = &args[..] else {
        eprintln!("usage: lab CASE DIR RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let lab = Lab::new(PathBuf::from(dir), record, trouble);
    let watched = lab.clone();
    thread::spawn(move || {
        thread::sleep(CASE_TIME_MAX);
        watched.record("the case ran out of time");
        watched.kill_all();
        std::process::exit(2);
    });
    let outcome = match case.as_str() {
        "history" => history_case(&lab),
        "memory" => memory_case(&lab),
        "revoke" => revoke_case(&lab),
        "weight" => weight_case(&lab),
        "links" => links_case(&lab),
        other => Err(format!("unknown case {other}")),
    };
    lab.kill_all();
    let code = match outcome {
        Ok(Verdict::Held) => {
            lab.record("verdict: the rule held");
            0
        }
        Ok(Verdict::Broken(what)) => {
            lab.record(&format!("verdict: the rule is broken: {what}"));
            1
        }
        Err(problem) => {
            lab.record(&format!("verdict: the case could not run: {problem}"));
            2
        }
    };
    std::process::exit(code);
}

enum Verdict {
    Held,
    Broken(String),
}

type CaseResult = Result<Verdict, String>;

// ---------------------------------------------------------------------------------------------
// The lab: record, processes, ports
// ---------------------------------------------------------------------------------------------

struct LabState {
    dir: PathBuf,
    trouble: bool,
    start: Instant,
    record: Mutex<File>,
    pids: Mutex<Vec<(u32, Arc<Mutex<Option<Child>>>)>>,
    next_id: AtomicU64,
}

#[derive(Clone)]
struct Lab(Arc<LabState>);

impl Lab {
    fn new(dir: PathBuf, record: &str, trouble: bool) -> Self {
        let record = File::create(record).expect("the folder of the case is writable");
        let lab = Lab(Arc::new(LabState {
            dir,
            trouble,
            start: Instant::now(),
            record: Mutex::new(record),
            pids: Mutex::default(),
            next_id: AtomicU64::new(1),
        }));
        lab.record(&format!("trouble: {trouble}"));
        lab
    }

    fn trouble(&self) -> bool {
        self.0.trouble
    }

    fn record(&self, line: &str) {
        let mut file = self.0.record.lock().unwrap();
        let _ = writeln!(file, "{:9.3} s  {line}", self.0.start.elapsed().as_secs_f64());
    }

    fn attempt_id(&self) -> String {
        format!("{:016x}", 0x9c41_0000_0000_0000 + self.0.next_id.fetch_add(1, Ordering::Relaxed))
    }

    fn kill_all(&self) {
        for (_, child) in self.0.pids.lock().unwrap().iter() {
            if let Some(child) = child.lock().unwrap().as_mut() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 14_000..32_000;
/// Where the search for the next free port begins.
static NEXT_PORT: AtomicUsize = AtomicUsize::new(0);

/// `count` free ports in a row that this process has not given out before.
fn free_ports(count: u16) -> u16 {
    let span = usize::from(PORTS.end - PORTS.start - count);
    let offset = std::process::id() as usize * 397;
    loop {
        let number = NEXT_PORT.fetch_add(usize::from(count), Ordering::SeqCst);
        let first = PORTS.start + ((offset + number) % span) as u16;
        let is_free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (first..first + count).all(is_free) {
            return first;
        }
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1
// ---------------------------------------------------------------------------------------------

struct Message {
    start: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 65_536];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before it begins.
    fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message { start, headers, body: Vec::new() }))
    }

    fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        if let Some(length) = length {
            while self.buffer.len() < length {
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body = self.buffer.drain(..length).collect();
        }
        Ok(Some(message))
    }
}

fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection in a thread of its own.
fn serve(address: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("a free port");
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------
// The platform's store
// ---------------------------------------------------------------------------------------------

#[derive(Default)]
struct StoreState {
    topics: Mutex<HashMap<String, Vec<(String, Vec<u8>)>>>,
    /// The first retained offset of each topic.
    retained: Mutex<HashMap<String, usize>>,
    appended: Condvar,
    /// Addresses under which daemons are announced to each other, by name: relays of the links.
    relays: Mutex<HashMap<String, (SocketAddr, SocketAddr)>>,
}

#[derive(Clone, Default)]
struct Store(Arc<StoreState>);

/// The way of one machine to the store, which can be cut.
#[derive(Clone)]
struct StoreGate {
    address: SocketAddr,
    way: Arc<StoreWay>,
}

#[derive(Default)]
struct StoreWay {
    /// Requests get no answer, and their connections are closed.
    is_cut: AtomicBool,
    /// Requests and their connections are left without an answer.
    is_silent: AtomicBool,
    /// Status and path of the answers, for the record.
    answers: Mutex<Vec<(Instant, String)>>,
    /// When the machine last got an answer to a read of the operator's topic.
    config_read: Mutex<Option<Instant>>,
}

impl StoreGate {
    fn cut(&self, is_cut: bool) {
        self.way.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Waits until the machine has just read the configuration.
    fn wait_config_read(&self) -> Result<(), String> {
        let is_new = || {
            let read = *self.way.config_read.lock().unwrap();
            read.is_some_and(|at| at.elapsed() < Duration::from_millis(30))
        };
        wait_for(Duration::from_secs(5), is_new)
    }
}

impl Store {
    fn gate(&self) -> StoreGate {
        let way = Arc::new(StoreWay::default());
        let (store, served) = (self.clone(), way.clone());
        let address = serve(local(0), move |stream| store.serve_connection(stream, &served));
        StoreGate { address, way }
    }

    /// Writes a configuration as the operator does; it is acknowledged when this returns.
    fn write_config(&self, config: &str) {
        self.append("keyed.op", vec![("config".to_owned(), config.as_bytes().to_vec())]);
    }

    fn append(&self, topic: &str, records: Vec<(String, Vec<u8>)>) -> (usize, usize) {
        let mut topics = self.0.topics.lock().unwrap();
        let stored = topics.entry(topic.to_owned()).or_default();
        let offset = stored.len();
        stored.extend(records);
        let end = stored.len();
        self.0.appended.notify_all();
        (offset, end)
    }

    /// Deletes the oldest records of a topic; the newest record of each key stays.
    fn drop_history(&self, topic: &str) {
        let topics = self.0.topics.lock().unwrap();
        let end = topics.get(topic).map_or(0, Vec::len);
        self.0.retained.lock().unwrap().insert(topic.to_owned(), end.saturating_sub(1));
    }

    fn has_record(&self, topic: &str, key: &str) -> bool {
        let topics = self.0.topics.lock().unwrap();
        topics.get(topic).is_some_and(|records| records.iter().any(|(known, _)| known == key))
    }

    fn serve_connection(&self, stream: TcpStream, way: &StoreWay) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read_message() {
            let answer = match way.is_cut.load(Ordering::SeqCst) {
                true => None,
                false => self.answer(&request, way),
            };
            if way.is_silent.load(Ordering::SeqCst) {
                // A connection on which an answer is lost returns nothing further.
                let _ = connection.stream.read_to_end(&mut Vec::new());
                return;
            }
            let Some(answer) = answer.filter(|_| !way.is_cut.load(Ordering::SeqCst)) else {
                return;
            };
            let status = String::from_utf8_lossy(&answer[9..12]).into_owned();
            let path = request.start.split(' ').nth(1).unwrap_or_default();
            way.answers.lock().unwrap().push((Instant::now(), format!("{path}: {status}")));
            if connection.stream.write_all(&answer).is_err() {
                return;
            }
            if request.start.contains("keyed.op") {
                *way.config_read.lock().unwrap() = Some(Instant::now());
            }
        }
    }

    /// The answer to a request; `None` if the way is cut meanwhile.
    fn answer(&self, request: &Message, way: &StoreWay) -> Option<Vec<u8>> {
        let mut words = request.start.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let topic = value("topic").unwrap_or_default();
        match (method, path) {
            ("GET", "/api/log-newest") => Some(self.newest(&topic)),
            ("GET", "/api/log-read") => {
                let number = |name| value(name).and_then(|text| text.parse::<u64>().ok());
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                self.read(&topic, number("from").unwrap_or(0) as usize, wait, way)
            }
            ("POST", "/api/log-append") if topic != "keyed.op" => {
                let records = self.decode(&request.body);
                let (offset, end) = self.append(&topic, records);
                let body = format!("{{\"offset\":{offset},\"end_offset\":{end}}}");
                Some(response("200 OK", &[("content-type", "application/json")], body.as_bytes()))
            }
            _ => Some(response("403 Forbidden", &[], b"{}")),
        }
    }

    fn decode(&self, mut body: &[u8]) -> Vec<(String, Vec<u8>)> {
        let mut records = Vec::new();
        while body.len() > 4 {
            let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            let record = &body[4..4 + length];
            let (key, value) = record[1..].split_at(record[0] as usize);
            let key = String::from_utf8_lossy(key).into_owned();
            let value = self.announce_relay(&key, value);
            records.push((key, value));
            body = &body[4 + length..];
        }
        records
    }

    /// Replaces a daemon's address by that of the relay in front of it.
    fn announce_relay(&self, name: &str, value: &[u8]) -> Vec<u8> {
        match self.0.relays.lock().unwrap().get(name) {
            Some((own, relay)) => {
                let text = String::from_utf8_lossy(value);
                text.replace(&own.to_string(), &relay.to_string()).into_bytes()
            }
            None => value.to_vec(),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.0.topics.lock().unwrap();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest: Vec<(&str, usize, &[u8])> = Vec::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.retain(|(known, _, _)| known != key);
            newest.push((key, offset, value));
        }
        newest.retain(|(_, _, value)| !value.is_empty());
        newest.sort();
        let items: Vec<String> = newest
            .iter()
            .map(|(key, offset, value)| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":false,\"end_offset\":{}}}",
            items.join(","),
            records.len()
        );
        response("200 OK", &[("content-type", "application/json")], body.as_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration, way: &StoreWay) -> Option<Vec<u8>> {
        let end = Instant::now() + wait;
        let mut topics = self.0.topics.lock().unwrap();
        loop {
            if way.is_cut.load(Ordering::SeqCst) {
                return None;
            }
            let first = self.0.retained.lock().unwrap().get(topic).copied().unwrap_or(0);
            if from < first {
                let body = format!("{{\"first_offset\":{first}}}");
                return Some(response("410 Gone", &[], body.as_bytes()));
            }
            let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let now = Instant::now();
            if records.len() > from || now >= end {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&(first as u64).to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return Some(response("200 OK", &[], &body));
            }
            let step = (end - now).min(Duration::from_millis(20));
            topics = self.0.appended.wait_timeout(topics, step).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*part.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= part.len() { digit } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// The operator's configuration
// ---------------------------------------------------------------------------------------------

struct Route<'a> {
    name: &'a str,
    /// JSON of `service` or `traffic_split`.
    destination: String,
    timeout_s: f64,
    is_public: bool,
}

fn to_service(service: &str) -> String {
    format!("\"service\":\"{service}\"")
}

fn config(version: u64, routes: &[Route], services: &[&str], keys: &[&str]) -> String {
    let routes = routes.iter().map(|route| {
        format!(
            "{{\"entry_kind\":\"routes\",\"metadata\":{{\"name\":\"r-{0}\"}},\"spec\":{{\
             \"hostname\":\"{HOST}\",\"path_prefix\":\"/{0}/\",\"kind\":\"safe\",\"timeout_s\":{1},\
             \"target_latency_s\":{1},\"priority\":1,{2},\"max_attempts\":2,\"public\":{3}}}}}",
            route.name, route.timeout_s, route.destination, route.is_public
        )
    });
    let services = services.iter().map(|name| {
        format!(
            "{{\"entry_kind\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
             \"health_path\":\"/healthz\",\"max_conns\":568,\"protocol\":\"h1\",\"tls\":false}}}}"
        )
    });
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let rest = [
        format!(
            "{{\"entry_kind\":\"tenants\",\"metadata\":{{\"name\":\"pulo780\"}},\"spec\":{{\
             \"api_keys\":[{}],\"priority\":1}}}}",
            keys.join(",")
        ),
        "{\"entry_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
            .to_owned(),
    ];
    let entries: Vec<String> = routes.chain(services).chain(rest).collect();
    format!("{{\"version\":{version},\"resources\":[{}]}}", entries.join(","))
}

// ---------------------------------------------------------------------------------------------
// Machines: a daemon and the upstream beside it
// ---------------------------------------------------------------------------------------------

#[derive(Clone)]
struct Machine {
    lab: Lab,
    name: String,
    service: String,
    outbound: SocketAddr,
    inbound: SocketAddr,
    control: SocketAddr,
    ready: SocketAddr,
    upstream: SocketAddr,
    settings: PathBuf,
    child: Arc<Mutex<Option<Child>>>,
    starts: Arc<AtomicUsize>,
}

const MEMORY_MB: u64 = 260;

impl Machine {
    fn new(lab: &Lab, name: &str, zone: &str, service: &str, store: &StoreGate) -> Self {
        let first_port = free_ports(7);
        // A daemon serves its metrics on the second one.
        let [outbound, inbound, control, ready, upstream] =
            [2, 3, 4, 5, 6].map(|number| local(first_port + number));
        let settings = lab.0.dir.join(format!("{name}.toml"));
        let text = format!(
            "[self]\nnode_name = \"{name}\"\nrole = \"sidecar\"\nmachine_class = \"sidecar\"\n\
             serves = [\"sidecar\"]\nip = \"127.0.0.1\"\nzone = \"{zone}\"\nregion = \"ost\"\n\
             counts_as_loss = false\nbootstrap = true\napp_addr = \"{upstream}\"\n\
             service = \"{service}\"\n\
             [self.limits]\ncpu_share = 0.4\ncpu_cores = 1\nmemory_mb = {MEMORY_MB}\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [network]\nport_range = [{first_port},{}]\nseeds = []\n\
             [network.listen_addrs]\ninbound = \"{inbound}\"\noutbound = \"{outbound}\"\n\
             ready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [network.zones]\n\"wien-a\" = \"ost\"\n\"ibk-a\" = \"ost\"\n\
             [platform]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeat_s = 1.5\n\
             [platform.platform]\naddress = \"{}\"\nform = \"log\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nparts = 12\nappend_s = 0.002\npartition_mb_s = 20.0\n\
             read_mb_s = 80.0\nrecord_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\n\
             part_mb = 200\nmin_ttl_s = 1\n\
             [terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
             \"pressure\",\"tenants\",\"quota\",\"platform\"]\n\
             [terms.fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [terms.bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_s = 3\nack_s = 4\n\
             catch_up_s = 4\ndrain_s = 2\ngrace_s = 6\nloss_slack_s = 0.2\nconfig_s = 2\n\
             rollback_slack_s = 0.25\nmax_skew_s = 5\nrevoke_strict = true\nrevoke_s = 5\n\
             retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 50\nquota_window_s = 5\n\
             quota_overage = 0.1\nquota_slack = 20\nrecovery_s = 15\n",
            first_port + 1,
            store.address,
        );
        std::fs::write(&settings, text).expect("the folder of the case is writable");
        let child = Arc::new(Mutex::new(None));
        lab.0.pids.lock().unwrap().push((0, child.clone()));
        Machine {
            lab: lab.clone(),
            name: name.to_owned(),
            service: service.to_owned(),
            outbound,
            inbound,
            control,
            ready,
            upstream,
            settings,
            child,
            starts: Arc::default(),
        }
    }

    /// Starts the daemon with the command of the deploy file.
    fn start(&self) -> Result<(), String> {
        let number = self.starts.fetch_add(1, Ordering::SeqCst);
        let log = self.lab.0.dir.join(format!("{}.{number}.log", self.name));
        let log = File::create(log).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new("target/release/lentilway");
        command.arg("sidecar").env_clear().env("LENTILWAY_BOOT", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        let child = child.map_err(|error| format!("the daemon does not start: {error}"))?;
        self.lab.record(&format!("{}: the daemon starts, process {}", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Resident memory of the daemon in bytes.
    fn resident_bytes(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kilobytes| kilobytes * 1024)
    }

    fn is_ready(&self) -> bool {
        let request = "GET /api/readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        let answer = open(self.ready, Duration::from_secs(1)).and_then(|mut connection| {
            connection.stream.write_all(request.as_bytes())?;
            connection.read_message()
        });
        answer.ok().flatten().is_some_and(|answer| answer.status() == 200)
    }
}

fn wait_for(within: Duration, mut is_done: impl FnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + within;
    while !is_done() {
        if Instant::now() >= end {
            return Err("a state was not reached in time".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(Connection::new(stream))
}

/// A run of a request at an upstream.
#[derive(Clone)]
struct Run {
    at: Instant,
    id: String,
    service: String,
    tenant: String,
}

type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts the upstream of a machine, which answers each request with a body of `body_bytes`.
fn start_upstream(machine: &Machine, runs: &Runs, body_bytes: usize) {
    let id = format!("i-{}", machine.name);
    let (service, runs, own) = (machine.service.clone(), runs.clone(), id.clone());
    let body: Arc<Vec<u8>> = Arc::new((0..body_bytes).map(|index| b'a' + (index % 23) as u8).collect());
    serve(machine.upstream, move |stream| {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read_message() {
            let header = |name| request.header(name).unwrap_or_default().to_owned();
            let request_id = header("x-lentilway-attempt-id");
            if header("x-lentilway-target-instance") != own {
                let answer = response("421 Misdirected Request", &[("x-lentilway-not-executed", "1")], b"");
                let _ = connection.stream.write_all(&answer);
                continue;
            }
            runs.lock().unwrap().push(Run {
                at: Instant::now(),
                id: request_id.clone(),
                service: service.clone(),
                tenant: header("x-lentilway-tenant-id"),
            });
            thread::sleep(Duration::from_millis(10));
            let signature = format!("{own}.{request_id}");
            let headers = [
                ("x-lentilway-attempt-id", request_id.as_str()),
                ("x-lentilway-server-signature", signature.as_str()),
                ("keep-alive", "timeout=10"),
            ];
            if connection.stream.write_all(&response("200 OK", &headers, &body)).is_err() {
                return;
            }
        }
    });
    let (machine, born) = (machine.clone(), unix_millis());
    thread::spawn(move || {
        for sequence in 1_u64.. {
            let body = format!(
                "{{\"address\":\"{}\",\"born\":{born},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
                 \"zone\":\"z\",\"slots\":78}},\"status\":{{\"phase\":\"ready\",\"sequence\":{sequence},\
                 \"cold_remaining_s\":0}}}}",
                machine.upstream, machine.service
            );
            let request = format!(
                "PUT /api/instances/{id} HTTP/1.1\r\nhost: control\r\nconnection: close\r\n\
                 content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            let acknowledged = open(machine.control, Duration::from_secs(1)).and_then(|mut connection| {
                connection.stream.write_all(request.as_bytes())?;
                connection.read_message()
            });
            let is_acknowledged = acknowledged.is_ok_and(|answer| answer.is_some());
            thread::sleep(Duration::from_millis(if is_acknowledged { 1_500 } else { 300 }));
        }
    });
}

/// The answer to a client's request: the status, or why there is none.
fn request(
    lab: &Lab,
    machine: &Machine,
    path: &str,
    key: &str,
    deadline: Duration,
) -> (String, Result<u16, String>) {
    let id = lab.attempt_id();
    let text = request_text(path, &id, key, deadline);
    let answer = open(machine.outbound, deadline).and_then(|mut connection| {
        connection.stream.write_all(text.as_bytes())?;
        connection.read_message()
    });
    let answer = match answer {
        Ok(Some(answer)) => Ok(answer.status()),
        Ok(None) => Err("closed without an answer".to_owned()),
        Err(error) => Err(error.to_string()),
    };
    (id, answer)
}

fn request_text(path: &str, id: &str, key: &str, deadline: Duration) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-lentilway-attempt-id: {id}\r\n\
         x-lentilway-deadline-ms: {}\r\nauthorization: Bearer {key}\r\n\r\n",
        deadline.as_millis()
    )
}

/// Waits until requests for `path` are served at a machine.
fn wait_served(lab: &Lab, machine: &Machine, path: &str, key: &str) -> Result<(), String> {
    let is_served = || request(lab, machine, path, key, Duration::from_secs(2)).1 == Ok(200);
    wait_for(Duration::from_secs(12), is_served).map_err(|_| format!("{path} is not served"))
}

include!("history.rs");
include!("memory.rs");
include!("revoke.rs");
include!("weight.rs");
include!("links.rs");
