//! The rule QUOTA: a tenant's requests that run, counted over all machines.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::CaseRun;
use crate::fleet::{Machine, Record, wait_ready};
use crate::http::{read_message, request_bytes};
use crate::store::Store;

const TENANT: &str = "tenant-a";
const KEY: &str = "key-of-tenant-a";
/// Bounds of the settings.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Machines that stand still, one after the other.
const ROUNDS: usize = 7;
/// Clients at each machine.
const CLIENTS: usize = 24;

/// Rate and burst of the tenant.
#[derive(Clone, Copy)]
struct Quota {
    rate: f64,
    burst: f64,
}

impl Quota {
    /// (`rate_per_s` x window + `burst`) x (1 + `quota_overage`) + `quota_slack`
    fn bound(self) -> f64 {
        (self.rate * WINDOW.as_secs_f64() + self.burst) * (1.0 + OVERAGE) + SLACK
    }

    fn config(self) -> String {
        let Quota { rate, burst } = self;
        format!(
            r#"{{"version":1,"resources":[{{"entry_kind":"routes","metadata":{{"name":"r-1"}},"spec":{{"hostname":"shop.example","path_prefix":"/read/","kind":"safe","timeout_s":2,"target_latency_s":1,"priority":1,"service":"lager","max_attempts":2,"public":false}}}},{{"entry_kind":"services","metadata":{{"name":"lager"}},"spec":{{"health_path":"/healthz","max_conns":568,"protocol":"h1","tls":false}}}},{{"entry_kind":"tenants","metadata":{{"name":"{TENANT}"}},"spec":{{"api_keys":["{KEY}"],"priority":1,"rate_per_s":{rate},"burst":{burst}}}}},{{"entry_kind":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}]}}"#
        )
    }
}

/// Clients of the tenant at all machines, each sending at the same pace.
struct Crowd {
    record: Arc<Record>,
    /// Milliseconds between the requests of a client.
    pause: AtomicU64,
    is_over: AtomicBool,
    next: AtomicU64,
    sent: Mutex<HashMap<String, Duration>>,
}

impl Crowd {
    fn start(record: &Arc<Record>, machines: &[Arc<Machine>], pause: u64) -> Arc<Self> {
        let crowd = Arc::new(Crowd {
            record: record.clone(),
            pause: AtomicU64::new(pause),
            is_over: AtomicBool::new(false),
            next: AtomicU64::new(0),
            sent: Mutex::default(),
        });
        for machine in machines {
            for client in 0..CLIENTS {
                let (crowd, machine) = (crowd.clone(), machine.clone());
                thread::spawn(move || crowd.send_all(&machine, client));
            }
        }
        crowd
    }

    fn send_all(&self, machine: &Machine, client: usize) {
        let mut stream: Option<BufReader<TcpStream>> = None;
        thread::sleep(Duration::from_millis(
            self.pause.load(Ordering::SeqCst) * client as u64 / CLIENTS as u64,
        ));
        while !self.is_over.load(Ordering::SeqCst) {
            let begun = Instant::now();
            if stream.is_none() {
                stream = TcpStream::connect_timeout(&machine.outbound, Duration::from_secs(1))
                    .ok()
                    .map(BufReader::new);
            }
            let result = stream.as_mut().map(|stream| self.send(machine, stream));
            if !matches!(result, Some(Ok(()))) {
                stream = None;
            }
            loop {
                let pause = Duration::from_millis(self.pause.load(Ordering::SeqCst));
                let left = pause.saturating_sub(begun.elapsed());
                if left.is_zero() {
                    break;
                }
                // The pause may become shorter meanwhile.
                thread::sleep(left.min(Duration::from_millis(10)));
            }
        }
    }

    fn send(&self, machine: &Machine, stream: &mut BufReader<TcpStream>) -> std::io::Result<()> {
        let id = format!("{:016x}", self.next.fetch_add(1, Ordering::SeqCst));
        let key = format!("Bearer {KEY}");
        let headers = [
            ("Host", "shop.example"),
            ("X-Lentilway-Attempt-Id", id.as_str()),
            ("X-Lentilway-Deadline-Ms", "2000"),
            ("Authorization", key.as_str()),
        ];
        // Each request is for another object.
        let request = request_bytes("GET", &format!("/read/{id}/10"), &headers, b"");
        stream.get_ref().set_read_timeout(Some(Duration::from_millis(2_500)))?;
        let at = self.record.now();
        self.sent.lock().unwrap().insert(id.clone(), at);
        self.record.note(&format!("send {id} to {}", machine.name));
        stream.get_mut().write_all(&request)?;
        let answer = read_message(stream)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        self.record.note(&format!("answer {} to {id}", answer.status()));
        if answer.header("connection").is_some_and(|value| value.contains("close")) {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// The most requests that were both sent and arrived at an upstream that ran them within one
    /// window, and the begin of that window.
    fn most_in_window(&self) -> (usize, Duration) {
        let sent = self.sent.lock().unwrap();
        let mut runs: Vec<(Duration, Duration)> = self
            .record
            .runs()
            .iter()
            .filter(|run| run.tenant == TENANT)
            .filter_map(|run| Some((*sent.get(&run.id)?, run.at)))
            .collect();
        runs.sort();
        let count_from = |from: Duration| {
            let within = |(sent, at): &&(Duration, Duration)| *sent >= from && *at < from + WINDOW;
            runs.iter().filter(within).count()
        };
        runs.iter().map(|(from, _)| (count_from(*from), *from)).max().unwrap_or_default()
    }
}

fn start_fleet(run: &CaseRun, quota: Quota) -> Vec<Arc<Machine>> {
    let store = Arc::new(Store::default());
    store.append("keyed.op", "config", quota.config().as_bytes());
    let store = store.open();
    let names = ["sidecar-wien-a-1", "sidecar-wien-a-2", "sidecar-wien-a-3", "sidecar-wien-a-4"];
    let place = |name| (name, "wien-a", "lager");
    let machines: Vec<_> = names
        .into_iter()
        .map(|name| Machine::new(&run.record, store, &run.folder, place(name)))
        .collect();
    machines.iter().for_each(|machine| machine.start_daemon());
    wait_ready(&machines);
    run.record.note("all machines are ready");
    machines
}

/// Notes the result; whether the rule was broken.
fn judge(run: &CaseRun, crowd: &Crowd, quota: Quota) -> bool {
    let (most, from) = crowd.most_in_window();
    let text = format!(
        "QUOTA: {most} requests of {TENANT} run in the {} s from {:.3} s; the bound is {:.1}",
        WINDOW.as_secs(),
        from.as_secs_f64(),
        quota.bound(),
    );
    run.record.note(&text);
    println!("{text}");
    most as f64 > quota.bound()
}

/// Each machine in turn stands still for 3.5 s. The tenant sends its requests in batches; one begins as
/// the machine is back.
pub fn freeze(run: &CaseRun) -> bool {
    let quota = Quota { rate: 10.0, burst: 600.0 };
    let machines = start_fleet(run, quota);
    // Milliseconds between the requests of a client, outside of batches and in them.
    let (quiet, batch) = (12_000, 30);
    let crowd = Crowd::start(&run.record, &machines, quiet);
    thread::sleep(Duration::from_secs(8));
    // Which machine holds the pool is not known here.
    for machine in machines.iter().rev().cycle().take(ROUNDS) {
        thread::sleep(Duration::from_secs(4));
        if run.has_trouble {
            machine.signal("STOP");
        }
        thread::sleep(Duration::from_millis(3_500));
        if run.has_trouble {
            machine.signal("CONT");
        }
        crowd.pause.store(batch, Ordering::SeqCst);
        run.record.note("a batch begins");
        thread::sleep(Duration::from_millis(5_500));
        crowd.pause.store(quiet, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(500));
        if judge(run, &crowd, quota) {
            break;
        }
    }
    crowd.is_over.store(true, Ordering::SeqCst);
    judge(run, &crowd, quota)
}
