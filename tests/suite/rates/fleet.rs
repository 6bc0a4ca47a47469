//! Fleets in one process, whose links to the log and between daemons the test can cut.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lentilway::process::rates::limiter::AdmissionStamp;
use lentilway::process::rates::share::SHARE_COUNT;
use lentilway::process::rates::terms::LeaseTerms;
use lentilway::process::shared::DaemonShared;
use lentilway::version::organisation::OrganisationState;
use lentilway_lab::fleet::{Fleet, NodePlan, organisation, ticket, wait_offset};
use lentilway_lab::measure::rates::window::{AdmissionSpan, WindowExcess, worst_window};
use lentilway_stand_ins::backend::BackendBehaviour;
use lentilway_stand_ins::relay::PartitionRelay;
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout};

const POLL: Duration = Duration::from_millis(10);
const WAIT_LIMIT: Duration = Duration::from_secs(40);
const LEASES: LeaseTerms =
    LeaseTerms { short: Duration::from_millis(1000), long: Duration::from_millis(2000) };

pub const RATE: f64 = 200.0;
pub const BURST: f64 = 40.0;
/// Requests a second over all daemons.
const LOAD: f64 = 5.0 * RATE;

struct LoadState {
    stopped: AtomicBool,
    admitted: AtomicUsize,
}

/// A fleet under the load of one organisation, whose admissions are all recorded.
pub struct RateFleet {
    pub fleet: Fleet,
    pub log_relays: Vec<PartitionRelay>,
    pub peer_relays: Vec<PartitionRelay>,
    origin: Instant,
    stamps: Vec<UnboundedReceiver<AdmissionStamp>>,
    state: Arc<LoadState>,
    callers: JoinSet<()>,
}

impl RateFleet {
    /// Starts `count` daemons in two availability zones and waits until all shares are held.
    pub async fn start(count: usize) -> Self {
        let organisations = [organisation("nord", "key-nord", RATE, BURST)];
        let fleet = Fleet::start(&[ticket(1, &organisations)], &[], |_| {}).await;
        let mut fleet = RateFleet {
            fleet: fleet.expect("the log starts"),
            log_relays: Vec::new(),
            peer_relays: Vec::new(),
            origin: Instant::now(),
            stamps: Vec::new(),
            state: Arc::new(LoadState {
                stopped: AtomicBool::new(false),
                admitted: AtomicUsize::new(0),
            }),
            callers: JoinSet::new(),
        };
        for index in 0..count {
            fleet.add(if index % 2 == 0 { "az1" } else { "az2" }).await;
        }
        fleet.fleet.settle(1).await.expect("the fleet settles");
        fleet.wait_all_held().await;
        fleet
    }

    /// Adds a daemon with its own relays to the log and to its peers.
    pub async fn add(&mut self, zone: &str) {
        let log =
            PartitionRelay::start(Some(self.fleet.log.address())).await.expect("a relay starts");
        let peer = PartitionRelay::start(None).await.expect("a relay starts");
        let plan = NodePlan::new("stock", zone, BackendBehaviour::default());
        let configure = |config: &mut lentilway::config::DaemonConfig| {
            config.log_url = format!("http://{}", log.address()).into();
            config.peer_advertise = Some(peer.address());
            config.lease_terms = LEASES;
        };
        self.fleet.add(&plan, configure).await.expect("a daemon starts");
        let daemon = &self.fleet.nodes.last().expect("a daemon was added").daemon;
        peer.set_target(daemon.addresses.peer);
        self.stamps.push(daemon.shared.rates.record_admissions());
        self.log_relays.push(log);
        self.peer_relays.push(peer);
    }

    pub fn shared(&self, index: usize) -> &Arc<DaemonShared> {
        &self.fleet.nodes[index].daemon.shared
    }

    /// Sends the daemon a fraction of the load, with the terms in force there.
    pub fn load(&mut self, index: usize, fraction: f64) {
        let (shared, state) = (self.shared(index).clone(), self.state.clone());
        let period = Duration::from_secs_f64(1.0 / (LOAD * fraction));
        self.callers.spawn(send_load(shared, state, period));
    }

    /// Sends every daemon an equal fraction of the load.
    pub fn load_evenly(&mut self) {
        let count = self.fleet.nodes.len();
        (0..count).for_each(|index| self.load(index, 1.0 / count as f64));
    }

    pub fn held(&self, index: usize) -> usize {
        self.shared(index).rates.held_shares().len()
    }

    pub fn held_by_all(&self) -> usize {
        (0..self.fleet.nodes.len()).map(|index| self.held(index)).sum()
    }

    pub async fn wait_all_held(&self) {
        wait(|| self.held_by_all() == usize::from(SHARE_COUNT)).await;
    }

    pub async fn wait_admitted(&self, more: usize) {
        let enough = self.state.admitted.load(Ordering::Relaxed) + more;
        wait(|| self.state.admitted.load(Ordering::Relaxed) >= enough).await;
    }

    pub async fn submit(&self, number: u64, objects: &[Value]) {
        let ticket = ticket(number, objects).to_string();
        let offset = self.fleet.log.append("tickets", ticket.as_bytes());
        for node in &self.fleet.nodes {
            wait_offset(&node.daemon, offset + 1).await;
        }
    }

    /// Ends the load and returns the number of admissions and the worst window.
    pub async fn finish(mut self) -> (usize, WindowExcess) {
        self.state.stopped.store(true, Ordering::Relaxed);
        while self.callers.join_next().await.is_some() {}
        let mut spans = Vec::new();
        for stamps in &mut self.stamps {
            while let Ok(stamp) = stamps.try_recv() {
                spans.push(AdmissionSpan::between(self.origin, stamp.after, stamp.before));
            }
        }
        self.fleet.stop().await;
        let worst = worst_window(&spans, RATE, BURST).expect("a request was admitted");
        (spans.len(), worst)
    }
}

pub fn deleted(name: &str) -> Value {
    json!({ "kind": "organisation", "name": name, "state": null })
}

/// Waits until `condition` is true.
pub async fn wait(condition: impl Fn() -> bool) {
    let held = async {
        while !condition() {
            sleep(POLL).await;
        }
    };
    timeout(WAIT_LIMIT, held).await.expect("the condition becomes true in time");
}

async fn send_load(shared: Arc<DaemonShared>, state: Arc<LoadState>, period: Duration) {
    let mut ticks = interval(period);
    let mut requests = JoinSet::new();
    let name: Arc<str> = "nord".into();
    while !state.stopped.load(Ordering::Relaxed) && !shared.stop.is_raised() {
        ticks.tick().await;
        let version = shared.version.current();
        let Some(terms) = version.organisations.get(&name).cloned() else { continue };
        requests.spawn(send(shared.clone(), state.clone(), name.clone(), terms));
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
}

async fn send(
    shared: Arc<DaemonShared>,
    state: Arc<LoadState>,
    name: Arc<str>,
    terms: Arc<OrganisationState>,
) {
    if shared.rates.admit(&name, &terms).await.is_ok() {
        state.admitted.fetch_add(1, Ordering::Relaxed);
    }
}
