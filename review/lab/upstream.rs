//! An upstream: runs requests, announces itself to the daemon beside it and leaves.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Connection, Message, serve};
use crate::record::Recorder;

/// Time between heartbeats, `heartbeat_s` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// An acknowledgement counts if it arrives within this time.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(1);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Seconds since the start of the record.
    pub at: f64,
    pub attempt: String,
    pub work: Duration,
}

/// The runs at all upstreams.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A running upstream.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    born: u128,
    sequence: Arc<AtomicU64>,
    beats: Arc<AtomicBool>,
    recorder: Recorder,
}

impl Upstream {
    /// Serves requests that each take `work`.
    pub fn start(
        listener: TcpListener,
        id: &str,
        service: &str,
        work: Duration,
        runs: &Runs,
        recorder: &Recorder,
    ) -> Self {
        let address = listener.local_addr().expect("a bound address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        let upstream = Upstream {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            slots: 99,
            born: born.as_millis(),
            sequence: Arc::default(),
            beats: Arc::default(),
            recorder: recorder.clone(),
        };
        let (shared, runs) = (upstream.clone(), runs.clone());
        serve(listener, move |request| shared.answer(&request, work, &runs));
        upstream
    }

    fn answer(&self, request: &Message, work: Duration, runs: &Runs) -> Answer {
        if request.path() == "/healthz" {
            let mut answer = Answer::new(200, "");
            answer.headers.push(("X-Lentilway-Instance-Id", self.id.clone()));
            return answer;
        }
        let text = |name| request.header(name).unwrap_or("").to_owned();
        let attempt = text("x-lentilway-attempt-id");
        let target = request.header("x-lentilway-target-instance");
        if target.is_some_and(|target| target != self.id) {
            let mut answer = Answer::new(421, "");
            answer.headers.push(("X-Lentilway-Attempt-Id", attempt));
            return answer;
        }
        let (instance, tenant) = (self.id.clone(), text("x-lentilway-tenant-id"));
        self.recorder.note(&format!("run {attempt} at {instance} for '{tenant}'"));
        let run = Run { at: self.recorder.now(), attempt: attempt.clone(), work };
        runs.lock().expect("lock not poisoned").push(run);
        thread::sleep(work);
        let mut answer = Answer::new(200, format!("answer to {attempt}"));
        answer.headers.push(("X-Lentilway-Attempt-Id", attempt));
        answer.headers.push(("X-Lentilway-Server-Signature", self.id.clone()));
        answer.headers.push(("Keep-Alive", "timeout=10".to_owned()));
        answer
    }

    /// Sends heartbeats to `control` until [`Upstream::stop_heartbeats`].
    pub fn start_heartbeats(&self, control: SocketAddr) {
        self.beats.store(true, Ordering::SeqCst);
        let upstream = self.clone();
        thread::spawn(move || {
            while upstream.beats.load(Ordering::SeqCst) {
                let beat = upstream.next_heartbeat("ready");
                upstream.send(control, &beat);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    pub fn stop_heartbeats(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }

    /// The body of the next heartbeat.
    pub fn next_heartbeat(&self, phase: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let Upstream { service, address, slots, born, .. } = self;
        format!(
            "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\
             \"version\":\"v1\",\"zone\":\"waw-a\",\"slots\":{slots}}},\"status\":{{\"phase\":\
             \"{phase}\",\"sequence\":{sequence},\"cold_remaining_s\":0}}}}"
        )
    }

    /// Sends a heartbeat; whether it was acknowledged.
    pub fn send(&self, control: SocketAddr, beat: &str) -> bool {
        self.call(control, "PUT", beat)
    }

    /// Says that the upstream is gone; whether that was acknowledged.
    pub fn leave(&self, control: SocketAddr) -> bool {
        self.call(control, "DELETE", "")
    }

    fn call(&self, control: SocketAddr, method: &str, body: &str) -> bool {
        let start = format!("{method} /api/instances/{} HTTP/1.1", self.id);
        let json = "application/json".to_owned();
        let headers = [("host", control.to_string()), ("content-type", json)];
        let answer = Connection::open(control, ACKNOWLEDGED_WITHIN)
            .and_then(|mut open| open.exchange(&start, &headers, body.as_bytes()));
        let status = answer.map_or(0, |answer| answer.status());
        self.recorder.note(&format!("{method} of {} answered {status} {body}", self.id));
        (200..300).contains(&status)
    }
}
