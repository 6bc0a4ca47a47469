//! A fleet of real processes under load, some of which are killed or suspended.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lentilway::process::daemon::DaemonAddresses;
use lentilway::process::rates::share::SHARE_COUNT;
use lentilway_lab::fleet::{organisation, read_route, ticket};
use lentilway_lab::measure::rates::window::{AdmissionSpan, WindowExcess, worst_window};
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use rustix::process::{Pid, Signal, kill_process};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::fleet::{BURST, RATE, wait};
use crate::processes::{
    OPERATOR_TOKEN, TestProcess, start_backend, start_daemon_with, start_log, submit_ticket,
};

const SENDERS: usize = 8;
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(20);
const WAIT_LIMIT: Duration = Duration::from_secs(40);
const LEASES: [&str; 4] = ["--rate-lease-short-ms", "1000", "--rate-lease-long-ms", "2000"];

struct ProcessNode {
    daemon: TestProcess,
    addresses: DaemonAddresses,
    _backend: TestProcess,
    _callers: JoinSet<()>,
}

/// Real processes under the load of one organisation at several times its rate.
pub struct ProcessFleet {
    _log: TestProcess,
    log: SocketAddr,
    nodes: Vec<ProcessNode>,
    caller: Caller,
    origin: Instant,
    admitted: Arc<Mutex<Vec<AdmissionSpan>>>,
}

impl ProcessFleet {
    /// Starts `count` daemons in one availability zone.
    pub async fn start(count: usize) -> Self {
        let (process, log) = start_log();
        let mut fleet = ProcessFleet {
            _log: process,
            log,
            nodes: Vec::new(),
            caller: Caller::default(),
            origin: Instant::now(),
            admitted: Arc::default(),
        };
        for index in 0..count {
            fleet.add("az1").await;
            if index == 0 {
                fleet.submit_terms();
            }
        }
        fleet
    }

    fn submit_terms(&self) {
        let objects = [
            organisation("nord", "key-nord", RATE, BURST),
            read_route("stock-read", "/stock", "stock"),
        ];
        let ticket = ticket(1, &objects).to_string();
        let output = submit_ticket(self.nodes[0].addresses.admin, &ticket);
        assert!(output.status.success(), "the ticket is accepted");
    }

    /// Adds a daemon with its callers.
    pub async fn add(&mut self, zone: &str) {
        let (daemon, addresses) = start_daemon_with(self.log, zone, &LEASES);
        let backend = start_backend("stock", addresses.slot, "{}");
        let mut callers = JoinSet::new();
        for _ in 0..SENDERS {
            callers.spawn(send_load(addresses.caller, self.origin, self.admitted.clone()));
        }
        let node = ProcessNode { daemon, addresses, _backend: backend, _callers: callers };
        self.nodes.push(node);
    }

    pub fn kill(&self, index: usize) {
        self.signal(index, Signal::KILL);
    }

    pub fn suspend(&self, index: usize) {
        self.signal(index, Signal::STOP);
    }

    pub fn resume(&self, index: usize) {
        self.signal(index, Signal::CONT);
    }

    /// Waits until the daemons at `indices` hold every share.
    pub async fn wait_all_held(&self, indices: &[usize]) {
        let held = async {
            loop {
                let mut sum = 0;
                for index in indices {
                    sum += self.held(*index).await;
                }
                if sum == u64::from(SHARE_COUNT) {
                    return;
                }
                sleep(POLL).await;
            }
        };
        timeout(WAIT_LIMIT, held).await.expect("the daemons take every share in time");
    }

    pub async fn wait_admitted(&self, more: usize) {
        let count = || self.admitted.lock().expect("lock not poisoned").len();
        let enough = count() + more;
        wait(|| count() >= enough).await;
    }

    /// Ends the processes and returns the number of admissions and the worst window.
    pub async fn finish(self) -> (usize, WindowExcess) {
        let spans = std::mem::take(&mut *self.admitted.lock().expect("lock not poisoned"));
        (spans.len(), worst_window(&spans, RATE, BURST).expect("a request was admitted"))
    }

    fn signal(&self, index: usize, signal: Signal) {
        let id = self.nodes[index].daemon.id() as i32;
        let pid = Pid::from_raw(id).expect("a process has an id");
        kill_process(pid, signal).expect("the process runs");
    }

    async fn held(&self, index: usize) -> u64 {
        let request = CallerRequest {
            method: "GET".into(),
            path: "/metrics".into(),
            headers: vec![("authorization".into(), format!("Bearer {OPERATOR_TOKEN}"))],
            ..CallerRequest::default()
        };
        let answer = self.caller.send(self.nodes[index].addresses.admin, &request).await;
        let text = answer.map(|answer| answer.body).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("lentilway_rate_shares_held "));
        line.and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// Sends requests in sequence and records the span of each that ran.
async fn send_load(target: SocketAddr, origin: Instant, admitted: Arc<Mutex<Vec<AdmissionSpan>>>) {
    let caller = Caller::default();
    let request = CallerRequest::get("/stock/7", "key-nord");
    loop {
        let after = Instant::now();
        let answer = timeout(ANSWER_LIMIT, caller.send(target, &request)).await;
        match answer {
            Ok(Ok(answer)) if answer.code == 1000 => {
                let span = AdmissionSpan::between(origin, after, Instant::now());
                admitted.lock().expect("lock not poisoned").push(span);
            }
            Ok(Ok(_)) => sleep(POLL / 4).await,
            _ => sleep(POLL).await,
        }
    }
}
