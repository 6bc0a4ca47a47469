//! The rule LOST: requests broken off around a planned stop, while clients read slowly.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::CaseRun;
use crate::fleet::{Machine, Record, wait_ready};
use crate::http::{call_once, read_head, request_bytes};
use crate::store::Store;

const CONFIG: &str = r#"{"version":1,"resources":[
{"entry_kind":"routes","metadata":{"name":"r-manual"},"spec":{"hostname":"shop.example","path_prefix":"/manual/","kind":"safe","timeout_s":10,"target_latency_s":5,"priority":2,"service":"pfand","max_attempts":2,"public":true}},
{"entry_kind":"routes","metadata":{"name":"r-refund"},"spec":{"hostname":"shop.example","path_prefix":"/refund/","kind":"unsafe","timeout_s":6,"target_latency_s":4,"priority":0,"service":"pfand","max_attempts":2,"public":true}},
{"entry_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}"#;
/// Clients that fetch a manual each, and its size.
const READERS: usize = 3;
const MANUAL_BYTES: usize = 40_000_000;
/// What a slow client reads at a time, and its pause after it: 200 KB/s.
const SLOW_READ_BYTES: usize = 16 * 1024;
const SLOW_PAUSE: Duration = Duration::from_millis(80);
/// Bounds of the settings.
const GRACE: Duration = Duration::from_secs(6);
/// A refund: the work of the upstream, the client's deadline, the route's timeout.
const WORK: Duration = Duration::from_millis(3_000);
const DEADLINE: Duration = Duration::from_secs(8);
const TIMEOUT: Duration = Duration::from_secs(6);

/// What a client saw of its refund.
struct Refund {
    id: String,
    sent: Duration,
    ended: Duration,
    /// The status; `None` if the connection ended without an answer.
    status: Option<u16>,
    is_signed: bool,
}

fn fetch_manual(record: &Record, machine: &Machine, number: usize, is_slow: bool) -> Option<()> {
    let id = format!("manual-{number}");
    let path = format!("/manual/{number}/b{MANUAL_BYTES}/10");
    let headers = [
        ("Host", "shop.example"),
        ("X-Lentilway-Attempt-Id", id.as_str()),
        ("X-Lentilway-Deadline-Ms", "60000"),
    ];
    let mut stream = TcpStream::connect_timeout(&machine.outbound, Duration::from_secs(1)).ok()?;
    stream.write_all(&request_bytes("GET", &path, &headers, b"")).ok()?;
    record.note(&format!("send {id} to {}", machine.name));
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    record.note(&format!("answer {} to {id}", head.status()));
    let mut buffer = vec![0; SLOW_READ_BYTES];
    let mut count = 0;
    while let Ok(bytes @ 1..) = reader.read(&mut buffer) {
        count += bytes;
        if is_slow {
            thread::sleep(SLOW_PAUSE);
        }
    }
    record.note(&format!("{id} ended after {count} bytes"));
    Some(())
}

fn send_refund(record: &Record, machine: &Machine, number: usize) -> Refund {
    let id = format!("refund-{number}");
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", "shop.example"),
        ("X-Lentilway-Attempt-Id", id.as_str()),
        ("X-Lentilway-Deadline-Ms", deadline.as_str()),
    ];
    let path = format!("/refund/{number}/{}", WORK.as_millis());
    let request = request_bytes("POST", &path, &headers, b"order");
    let sent = record.now();
    record.note(&format!("send {id} to {}", machine.name));
    let answer = call_once(machine.outbound, &request, DEADLINE);
    let ended = record.now();
    let status = answer.as_ref().ok().map(|answer| answer.status());
    let signature = "x-lentilway-server-signature";
    let is_signed = answer.is_ok_and(|answer| answer.header(signature).is_some());
    record.note(&format!("answer {status:?} to {id}, signed: {is_signed}"));
    Refund { id, sent, ended, status, is_signed }
}

/// Sends a refund each 50 ms until `is_over`.
fn send_refunds(
    record: &Arc<Record>,
    entry: &Arc<Machine>,
    refunds: &Arc<Mutex<Vec<Refund>>>,
    is_over: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, entry) = (record.clone(), entry.clone());
    let (refunds, is_over) = (refunds.clone(), is_over.clone());
    thread::spawn(move || {
        let mut clients = Vec::new();
        while !is_over.load(Ordering::SeqCst) {
            let number = clients.len();
            let (record, entry, refunds) = (record.clone(), entry.clone(), refunds.clone());
            clients.push(thread::spawn(move || {
                let refund = send_refund(&record, &entry, number);
                refunds.lock().unwrap().push(refund);
            }));
            thread::sleep(Duration::from_millis(50));
        }
        clients.into_iter().for_each(|client| client.join().expect("a client does not panic"));
    })
}

/// A machine gets SIGTERM, as is planned, while refunds pass it. With trouble, clients that fetch
/// manuals from it read slowly.
pub fn stop(run: &CaseRun) -> bool {
    let store = Arc::new(Store::default());
    store.append("keyed.op", "config", CONFIG.replace('\n', "").as_bytes());
    let store = store.open();
    // Of the two machines of the zone, the daemon beside the upstream reads the store for both.
    let (entry_name, server_name) = ("sidecar-wien-a-1", "sidecar-wien-a-2");
    let entry = Machine::new(&run.record, store, &run.folder, (entry_name, "wien-a", "tour"));
    let server = Machine::new(&run.record, store, &run.folder, (server_name, "wien-a", "pfand"));
    entry.start_daemon();
    server.start_daemon();
    wait_ready(&[entry.clone(), server.clone()]);
    run.record.note("both machines are ready");
    thread::sleep(Duration::from_secs(6));

    let refunds: Arc<Mutex<Vec<Refund>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = send_refunds(&run.record, &entry, &refunds, &is_over);
    thread::sleep(Duration::from_secs(5));
    for number in 0..READERS {
        let (record, entry, is_slow) = (run.record.clone(), entry.clone(), run.has_trouble);
        thread::spawn(move || fetch_manual(&record, &entry, number, is_slow));
    }
    thread::sleep(Duration::from_millis(2_500));
    let stopped = run.record.now();
    entry.signal("TERM");
    // Two questions in a row for its readiness are missed: clients get no new work here.
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    thread::sleep(GRACE - Duration::from_secs(2));
    entry.kill_daemon();
    clients.join().expect("the clients do not panic");
    judge(run, stopped, &refunds.lock().unwrap())
}

/// LOST: after a SIGTERM, a request is broken off at which its upstream is at work, and the client
/// gets another answer in its place, or none.
fn judge(run: &CaseRun, stopped: Duration, refunds: &[Refund]) -> bool {
    let runs = run.record.runs();
    let mut lost = 0;
    for refund in refunds {
        let Some(begun) = runs.iter().find(|run| run.id == refund.id).map(|run| run.at) else {
            continue;
        };
        // The upstream does not break off.
        let is_at_work = refund.ended < begun + WORK;
        let is_of_stop = refund.ended >= stopped && refund.ended <= stopped + GRACE;
        let is_in_time = refund.ended < refund.sent + TIMEOUT;
        let is_in_last_sixth = begun + WORK > stopped + GRACE * 5 / 6;
        let is_own = refund.status.is_none() || !refund.is_signed;
        if is_at_work && is_of_stop && is_in_time && !is_in_last_sixth && is_own {
            run.record.note(&format!("LOST: {} at which its upstream is at work", refund.id));
            lost += 1;
        }
    }
    let count =
        |status: Option<u16>| refunds.iter().filter(|refund| refund.status == status).count();
    let text = format!(
        "LOST: {lost} refunds broken off after the SIGTERM; of all {}: 200 {}, 502 {}, 503 {}, 504 {}, none {}",
        refunds.len(),
        count(Some(200)),
        count(Some(502)),
        count(Some(503)),
        count(Some(504)),
        count(None),
    );
    run.record.note(&text);
    println!("{text}");
    lost > 0
}
