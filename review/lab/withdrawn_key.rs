//! The store turns a machine away for some seconds. Meanwhile the operator writes several large
//! versions of the configuration; the last one takes the key away from a tenant, which goes on to send.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Plan, ROUTE, Request, Site, Tenant, Version, config};
use crate::http::Connection;
use crate::record::Recorder;
use crate::{Stage, Verdict};

/// `revoke_s` of the settings.
const REVOKE: f64 = 5.0;
/// Routes that a large version has in addition; its record stays within `record_bytes`.
const IDLE_ROUTES: usize = 890;
const RECORD_BYTES: usize = 262_144;
/// Large versions before the one that takes the key away, and the time between versions.
const VERSIONS: u64 = 4;
const GAP: Duration = Duration::from_millis(330);
/// How long the store turns the machine away.
const REFUSED: Duration = Duration::from_millis(8_500);
/// Clients of the tenant, and the time between the requests of each.
const CLIENTS: usize = 32;
const PAUSE: Duration = Duration::from_millis(4);

pub fn play(stage: &Stage) -> Verdict {
    let recorder = &stage.recorder;
    let plan = Plan {
        sites: vec![Site::new(Duration::from_millis(20))],
        memory_mb: 260,
        tenant: Tenant { name: "pulo780", per_second: 0, burst: 0 },
        runs_once: false,
        timeout_s: 0.8,
    };
    let fleet = match Fleet::start(stage, &plan) {
        Ok(fleet) => fleet,
        Err(reason) => return Verdict::NotRun(reason),
    };
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, sent, recorder) = (stop.clone(), sent.clone(), recorder.clone());
            let address = fleet.machines[0].outbound;
            thread::spawn(move || send_all(client, address, &stop, &sent, &recorder))
        })
        .collect();
    let started = Instant::now();
    fleet.store.set_refuses(stage.has_trouble);
    recorder.note("the store turns the machine away");
    for number in 8..8 + VERSIONS {
        thread::sleep(GAP);
        let version = config(&plan, &Version { number, idle_routes: IDLE_ROUTES, has_key: true });
        if version.len() + 11 > RECORD_BYTES {
            return Verdict::NotRun(format!("a version of {} bytes", version.len()));
        }
        fleet.store.write_config(&version);
        recorder.note(&format!("version {number} of {} bytes is acknowledged", version.len()));
    }
    thread::sleep(GAP);
    let number = 8 + VERSIONS;
    let last = Version { number, idle_routes: IDLE_ROUTES, has_key: false };
    fleet.store.write_config(&config(&plan, &last));
    let withdrawn = recorder.now();
    recorder.note(&format!("version {number}, without the key, is acknowledged"));
    thread::sleep(REFUSED.saturating_sub(started.elapsed()));
    fleet.store.set_refuses(false);
    recorder.note("the store serves the machine again");
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().expect("lock not poisoned");
    let runs = fleet.runs();
    let late = sent.iter().filter(|(attempt, at)| {
        *at > withdrawn + REVOKE && runs.iter().any(|run| run.attempt == *attempt)
    });
    let late = late.count();
    recorder
        .say(&format!("{late} requests ran that were sent over {REVOKE} s after the withdrawal"));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

fn send_all(
    client: usize,
    address: SocketAddr,
    stop: &AtomicBool,
    sent: &Mutex<Vec<(String, f64)>>,
    recorder: &Recorder,
) {
    let mut kept = None;
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let open = kept.take().or_else(|| Connection::open(address, Duration::from_secs(2)));
        if let Some(mut connection) = open {
            let attempt = format!("c{client}-{number}");
            let at = recorder.now();
            recorder.note(&format!("send {attempt}"));
            let request = Request { attempt: &attempt, path: ROUTE, body: b"" };
            let answer = request.send(&mut connection);
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            recorder.note(&format!("answer {attempt} {status}"));
            sent.lock().expect("lock not poisoned").push((attempt, at));
            kept = answer.is_some().then_some(connection);
        }
        thread::sleep(PAUSE);
    }
}
