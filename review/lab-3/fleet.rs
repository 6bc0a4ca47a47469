//! Machines: an upstream and a daemon each, and the record of what is seen.

use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{answer_bytes, call_once, read_message, request_bytes, write_answer};

/// Writes `record.txt`, and remembers runs.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

/// A request that an upstream began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub upstream: String,
    pub tenant: String,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("record.txt can be written");
        let runs = Mutex::default();
        Arc::new(Record { started: Instant::now(), file: Mutex::new(file), runs })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

/// Bytes that a garbled answer lacks.
const CUT_BYTES: usize = 250;

/// The body of the answer to a request.
pub fn body_for(id: &str, size: usize) -> Vec<u8> {
    format!("{id};").bytes().cycle().take(size).collect()
}

/// An upstream that works for as many milliseconds as the last segment of the path states. A segment
/// such as `b8000` states the size of the answer.
pub struct Upstream {
    pub address: SocketAddr,
    pub id: String,
    service: String,
    zone: String,
    born: u128,
    record: Arc<Record>,
    sequence: AtomicU64,
    /// Of this many answers one is garbled; 0 for none.
    pub garbles_one_in: AtomicU64,
    answers: AtomicU64,
}

impl Upstream {
    pub fn start(record: &Arc<Record>, service: &str, zone: &str, id: &str) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let upstream = Arc::new(Upstream {
            address: listener.local_addr().unwrap(),
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born,
            record: record.clone(),
            sequence: AtomicU64::new(0),
            garbles_one_in: AtomicU64::new(0),
            answers: AtomicU64::new(0),
        });
        let shared = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = shared.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        // The last answer on this connection.
        let mut last = Vec::new();
        while let Ok(Some(request)) = read_message(&mut reader) {
            let id = request.header("x-lentilway-attempt-id").unwrap_or("").to_owned();
            let target = request.header("x-lentilway-target-instance");
            if request.target() == "/healthz" {
                let headers = [("X-Lentilway-Instance-Id", self.id.as_str())];
                let _ = write_answer(&mut stream, 200, &headers, b"");
                continue;
            }
            if target.is_some_and(|target| target != self.id) {
                let headers = [("X-Lentilway-Instance-Id", self.id.as_str())];
                let _ = write_answer(&mut stream, 421, &headers, b"");
                continue;
            }
            let tenant = request.header("x-lentilway-tenant-id").unwrap_or("-").to_owned();
            let upstream = self.id.clone();
            let run = Run { at: self.record.now(), id: id.clone(), upstream, tenant };
            self.record.note(&format!("run {id} at {} for {}", run.upstream, run.tenant));
            self.record.runs.lock().unwrap().push(run);
            let work = request.target().rsplit('/').next().and_then(|text| text.parse().ok());
            thread::sleep(Duration::from_millis(work.unwrap_or(10)));
            let size = request.target().split('/').find_map(|part| part.strip_prefix('b'));
            let size = size.and_then(|text| text.parse().ok()).unwrap_or(12);
            let signature = format!("{}.{id}", self.id);
            let headers = [
                ("X-Lentilway-Attempt-Id", id.as_str()),
                ("X-Lentilway-Server-Signature", signature.as_str()),
            ];
            let answer = answer_bytes(200, &headers, &body_for(&id, size));
            let sent = self.garble(&id, &answer, &last);
            last = answer;
            if stream.write_all(&sent).is_err() {
                return;
            }
        }
    }

    /// What is sent for an answer: a garbled one lacks its end, and a second copy of the answer before it
    /// on the connection follows.
    fn garble(&self, id: &str, answer: &[u8], last: &[u8]) -> Vec<u8> {
        let one_in = self.garbles_one_in.load(Ordering::SeqCst);
        let number = self.answers.fetch_add(1, Ordering::SeqCst);
        if one_in == 0 || number % one_in != one_in - 1 || last.is_empty() {
            return answer.to_vec();
        }
        self.record
            .note(&format!("the answer to {id} is cut, and the one before it is sent again"));
        let cut = answer.len() - CUT_BYTES;
        [&answer[..cut], last].concat()
    }

    /// Sends heartbeats to `control`, about one each 1.5 s.
    pub fn send_beats(self: &Arc<Self>, control: SocketAddr) {
        let upstream = self.clone();
        thread::spawn(move || {
            loop {
                let _ = upstream.beat(control);
                thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    fn beat(&self, control: SocketAddr) -> std::io::Result<u16> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let Upstream { address, id, service, zone, born, .. } = self;
        let body = format!(
            r#"{{"address":"{address}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":80}},"status":{{"phase":"ready","sequence":{sequence},"cold_remaining_s":0}}}}"#
        );
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let path = format!("/api/instances/{id}");
        let request = request_bytes("PUT", &path, &headers, body.as_bytes());
        Ok(call_once(control, &request, Duration::from_secs(1))?.status())
    }
}

/// A machine with its daemon.
pub struct Machine {
    pub name: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub upstream: Arc<Upstream>,
    settings: PathBuf,
    log: PathBuf,
    record: Arc<Record>,
    child: Mutex<Option<Child>>,
}

/// The next port to try. The ports are below those that systems give to outgoing connections.
static NEXT_PORT: AtomicU64 = AtomicU64::new(0);
const PORTS: std::ops::Range<u64> = 12_000..30_000;

/// An address at which nothing listens.
fn free_address() -> SocketAddr {
    loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::SeqCst) + u64::from(std::process::id()) * 61;
        let port = PORTS.start + step % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Machine {
    /// Prepares a machine; its daemon is not started yet.
    pub fn new(
        record: &Arc<Record>,
        store: SocketAddr,
        folder: &Path,
        (name, zone, service): (&str, &str, &str),
    ) -> Arc<Self> {
        let upstream = Upstream::start(record, service, zone, &format!("i-{name}"));
        let [outbound, inbound, ready, control] = [(); 4].map(|()| free_address());
        // The daemon's metrics are one port after the first of the range.
        let metrics = free_address().port();
        let text = format!(
            "[self]\nnode_name = \"{name}\"\nrole = \"sidecar\"\nmachine_class = \"sidecar\"\n\
             serves = [\"sidecar\"]\nip = \"127.0.0.1\"\nzone = \"{zone}\"\nregion = \"ost\"\n\
             counts_as_loss = false\nbootstrap = true\napp_addr = \"{}\"\nservice = \"{service}\"\n\
             [self.limits]\ncpu_share = 0.4\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [network]\nport_range = [{}, {}]\nseeds = []\n\
             [network.listen_addrs]\ninbound = \"{inbound}\"\noutbound = \"{outbound}\"\n\
             ready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [network.zones]\n{zone} = \"ost\"\n\
             [platform]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeat_s = 1.5\n\
             [platform.platform]\naddress = \"{}\"\nform = \"log\"\nkeep_s = 300\n\
             [terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"pressure\",\"tenants\",\"quota\",\"platform\"]\n\
             [terms.fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [terms.bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_s = 3\nack_s = 4\n\
             catch_up_s = 4\ndrain_s = 2\ngrace_s = 6\nloss_slack_s = 0.2\nconfig_s = 2\n\
             rollback_slack_s = 0.25\nmax_skew_s = 5\nrevoke_strict = true\nrevoke_s = 5\n\
             retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 50\n\
             quota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20\nrecovery_s = 15\n",
            upstream.address,
            metrics - 1,
            metrics + 14,
            store,
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        upstream.send_beats(control);
        Arc::new(Machine {
            name: name.to_owned(),
            outbound,
            ready,
            upstream,
            settings,
            log,
            record: record.clone(),
            child: Mutex::default(),
        })
    }

    pub fn start_daemon(&self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let errors = log.try_clone().unwrap();
        let child = Command::new("target/release/lentilway")
            .arg("sidecar")
            .env("LENTILWAY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let Ok(child) = child else { cannot_run("target/release/lentilway does not start") };
        self.record.note(&format!("start {} as process {}", self.name, child.id()));
        DAEMONS.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    /// Sends a signal to this machine's daemon.
    pub fn signal(&self, name: &str) {
        self.record.note(&format!("signal {name} to {}", self.name));
        let child = self.child.lock().unwrap();
        let pid = child.as_ref().expect("the daemon runs").id();
        let sent = Command::new("sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run("a signal cannot be sent");
        }
    }

    /// Kills the daemon.
    pub fn kill_daemon(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            self.record.note(&format!("kill {}", self.name));
            DAEMONS.lock().unwrap().retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = request_bytes("GET", "/api/readyz", &[("Host", "ready")], b"");
        call_once(self.ready, &request, Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200)
    }
}

/// The processes of daemons that were started and not ended yet.
static DAEMONS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the daemons and this process.
pub fn end(code: i32) -> ! {
    for pid in DAEMONS.lock().unwrap().drain(..) {
        let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
    }
    std::process::exit(code)
}

/// Ends the script as one that could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    end(2)
}

/// Waits until all machines are ready.
pub fn wait_ready(machines: &[Arc<Machine>]) {
    let end = Instant::now() + Duration::from_secs(25);
    while !machines.iter().all(|machine| machine.is_ready()) {
        if Instant::now() > end {
            cannot_run("the daemons do not become ready");
        }
        thread::sleep(Duration::from_millis(200));
    }
}
