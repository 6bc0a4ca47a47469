//! The only daemon of a zone is stopped with SIGTERM while its upstream works on a request of another
//! machine, and the clients on its machine go on sending.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::fleet::{Fleet, LONG_ROUTE, LONG_SERVICE, Plan, ROUTE, Request, Site, Tenant};
use crate::http::Connection;
use crate::record::Recorder;
use crate::{Stage, Verdict};

/// `grace_s` of the settings; an answer is not owed to a request at which its upstream is still at
/// work in the last sixth of it, if it was sent up to [`SENT_IN_TIME`] after the SIGTERM.
const GRACE: f64 = 6.0;
const LAST_SIXTH: f64 = 5.0;
const SENT_IN_TIME: f64 = 3.0;
/// How long requests run, and the timeout of their route: `swap-booking` runs for up to 3 s.
const WORK: Duration = Duration::from_millis(2_400);
const TIMEOUT_S: f64 = 2.5;
/// From the SIGTERM to the long request, which another machine sends.
const LONG_AT: Duration = Duration::from_millis(1_000);
/// Clients on the machine, and the time between the requests of each.
const CLIENTS: u32 = 32;
/// Clients begin one after the other.
const STAGGER: Duration = Duration::from_millis(75);
const PAUSE: Duration = Duration::from_millis(50);

/// A request that was sent, in seconds since the start of the record.
struct Sent {
    attempt: String,
    at: f64,
    ended: f64,
    is_answered: bool,
}

pub fn play(stage: &Stage) -> Verdict {
    let recorder = &stage.recorder;
    let alone = Site { zone: "krk-a", service: LONG_SERVICE, work: WORK };
    let plan = Plan {
        // The first machine has a zone and a service of its own.
        sites: vec![alone, Site::new(WORK), Site::new(WORK), Site::new(WORK)],
        memory_mb: 260,
        tenant: Tenant { name: "pulo780", per_second: 0, burst: 0 },
        runs_once: false,
        timeout_s: TIMEOUT_S,
    };
    let mut fleet = match Fleet::start(stage, &plan) {
        Ok(fleet) => fleet,
        Err(reason) => return Verdict::NotRun(reason),
    };
    let address = fleet.machines[0].outbound;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<JoinHandle<Vec<Sent>>> = (0..CLIENTS)
        .map(|client| {
            let (stop, recorder) = (stop.clone(), recorder.clone());
            thread::spawn(move || {
                let mut sent = Vec::new();
                let mut kept = None;
                thread::sleep(STAGGER * client);
                while !stop.load(Ordering::SeqCst) {
                    let attempt = format!("c{client}-{}", sent.len());
                    sent.extend(send(&mut kept, address, &attempt, &recorder));
                    thread::sleep(PAUSE);
                }
                sent
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let terminated = recorder.now();
    if stage.has_trouble {
        fleet.machines[0].terminate();
        recorder.note("SIGTERM to the daemon of the first machine");
    }
    thread::sleep(LONG_AT);
    let (entry, log) = (fleet.machines[1].outbound, recorder.clone());
    let long = thread::spawn(move || {
        let connection = Connection::open(entry, Duration::from_secs(6));
        let request = Request { attempt: "long", path: LONG_ROUTE, body: b"" };
        let answer = connection.and_then(|mut open| request.send(&mut open));
        let status = answer.map_or(0, |answer| answer.status());
        log.note(&format!("answer long {status}"));
    });
    thread::sleep(Duration::from_secs_f64(GRACE) - LONG_AT);
    if stage.has_trouble {
        // SIGKILL after the grace, to a process that is still there.
        fleet.machines[0].kill();
        recorder.note("the daemon of the first machine has ended");
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    let _ = long.join();
    let sent: Vec<Sent> = clients.into_iter().flat_map(|client| client.join()).flatten().collect();
    let runs = fleet.runs();
    let is_lost = |sent: &&Sent| {
        let Some(run) = runs.iter().find(|run| run.attempt == sent.attempt) else {
            return false;
        };
        let works_until = run.at + run.work.as_secs_f64() - terminated;
        let is_excused = works_until >= LAST_SIXTH && sent.at - terminated <= SENT_IN_TIME;
        !sent.is_answered && !is_excused
    };
    let lost: Vec<&Sent> = sent.iter().filter(is_lost).collect();
    for sent in &lost {
        let (at, ended) = (sent.at - terminated, sent.ended - terminated);
        let text = format!("lost {}: sent {at:.3} s after SIGTERM, cut {ended:.3} s", sent.attempt);
        recorder.note(&text);
    }
    recorder.say(&format!("{} of {} requests were passed on and cut", lost.len(), sent.len()));
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// Sends a request over a kept connection or a new one; `None` if the daemon takes none.
fn send(
    kept: &mut Option<Connection>,
    address: std::net::SocketAddr,
    attempt: &str,
    recorder: &Recorder,
) -> Option<Sent> {
    let open = kept.take().or_else(|| Connection::open(address, Duration::from_secs(6)));
    let mut connection = open?;
    recorder.note(&format!("send {attempt}"));
    let at = recorder.now();
    let request = Request { attempt, path: ROUTE, body: b"" };
    let answer = request.send(&mut connection);
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    recorder.note(&format!("answer {attempt} {status}"));
    let closes = answer.as_ref().is_none_or(|answer| answer.header("connection") == Some("close"));
    *kept = (!closes).then_some(connection);
    let (attempt, ended) = (attempt.to_owned(), recorder.now());
    Some(Sent { attempt, at, ended, is_answered: answer.is_some() })
}
