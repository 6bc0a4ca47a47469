//! The other daemons with the state of their backend servers.

use std::collections::HashMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::task::JoinHandle;
use xxhash_rust::xxh3::Xxh3;

use super::directory::DirectoryEntry;
use crate::clock::{MilliClock, MilliTime};
use crate::policy::moving_average::FailureFraction;
use crate::policy::placement::{InstanceLoad, PlacementCandidate};
use crate::sidecar::connection::peer_link::PeerLink;

/// Another daemon.
#[derive(Debug)]
pub(crate) struct PeerEntry {
    pub(crate) name: Arc<str>,
    pub(crate) service: Arc<str>,
    pub(crate) address: SocketAddr,
    /// The hash of its name.
    pub(crate) key: u64,
    same_zone: bool,
    clock: MilliClock,
    state: Mutex<PeerState>,
}

#[derive(Debug)]
struct PeerState {
    link: Option<Arc<PeerLink>>,
    load: InstanceLoad,
    in_flight: u32,
    in_flight_at_report: u32,
    failed: FailureFraction,
}

impl PeerState {
    fn new(now: MilliTime) -> Self {
        PeerState {
            link: None,
            load: InstanceLoad::default(),
            in_flight: 0,
            in_flight_at_report: 0,
            failed: FailureFraction::new(now),
        }
    }
}

impl PeerEntry {
    /// Records a load reported over `link`; `true` if this is the first on a new link.
    pub(crate) fn record_load(&self, link: &Arc<PeerLink>, load: InstanceLoad) -> bool {
        let mut state = self.lock();
        let is_new = state.link.is_none();
        if is_new {
            state.link = Some(link.clone());
        }
        state.load = load;
        state.in_flight_at_report = state.in_flight;
        is_new
    }

    /// Clears the link and the load.
    pub(crate) fn clear_link(&self) {
        let mut state = self.lock();
        state.link = None;
        state.load = InstanceLoad::default();
    }

    /// Whether it is in the availability zone of this daemon.
    pub(crate) fn is_in_own_zone(&self) -> bool {
        self.same_zone
    }

    /// The live link.
    pub(crate) fn link(&self) -> Option<Arc<PeerLink>> {
        self.lock().link.clone()
    }

    /// The daemon as a placement candidate, if it is connected.
    pub(crate) fn candidate(&self) -> Option<PlacementCandidate> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.link.as_ref()?;
        Some(PlacementCandidate {
            load: state.load,
            in_flight: state.in_flight,
            in_flight_at_report: state.in_flight_at_report,
            same_zone: self.same_zone,
            failed_permille: state.failed.permille(now),
        })
    }

    /// Counts a call in flight.
    pub(crate) fn call_sent(&self) {
        self.lock().in_flight += 1;
    }

    /// Counts a call that ended; `failed` is `None` if its outcome does not concern the instance.
    pub(crate) fn call_ended(&self, failed: Option<bool>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
        state.in_flight_at_report = state.in_flight_at_report.min(state.in_flight);
        if let Some(failed) = failed {
            state.failed.add(now, failed);
        }
    }

    fn lock(&self) -> MutexGuard<'_, PeerState> {
        self.state.lock().expect("lock not poisoned")
    }
}

#[derive(Debug, Default)]
struct TableState {
    peers: HashMap<Arc<str>, (Arc<PeerEntry>, JoinHandle<()>)>,
    by_service: HashMap<Arc<str>, Vec<Arc<PeerEntry>>>,
}

/// All other daemons, by name and by service.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    state: Mutex<TableState>,
}

/// The hash of a daemon's name.
pub(crate) fn instance_key(name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

impl PeerTable {
    /// Replaces the peers by `entries`, keeping unchanged ones; `connect` opens the link to a new
    /// peer.
    pub(crate) fn update(
        &self,
        clock: &MilliClock,
        own_zone: &str,
        entries: &[DirectoryEntry],
        connect: impl Fn(Arc<PeerEntry>) -> JoinHandle<()>,
    ) {
        let mut state = self.state.lock().expect("lock not poisoned");
        let listed = |peer: &PeerEntry| {
            entries.iter().any(|entry| {
                entry.name == peer.name
                    && entry.address == peer.address
                    && entry.service == peer.service
            })
        };
        state.peers.retain(|_, (peer, task)| {
            let keep = listed(peer);
            if !keep {
                task.abort();
                peer.clear_link();
            }
            keep
        });
        for entry in entries {
            if !state.peers.contains_key(&entry.name) {
                let peer = Arc::new(PeerEntry {
                    name: entry.name.clone(),
                    service: entry.service.clone(),
                    address: entry.address,
                    key: instance_key(&entry.name),
                    same_zone: &*entry.availability_zone == own_zone,
                    clock: clock.clone(),
                    state: Mutex::new(PeerState::new(clock.now())),
                });
                let task = connect(peer.clone());
                state.peers.insert(entry.name.clone(), (peer, task));
            }
        }
        let mut by_service: HashMap<Arc<str>, Vec<Arc<PeerEntry>>> = HashMap::new();
        for (peer, _) in state.peers.values() {
            by_service.entry(peer.service.clone()).or_default().push(peer.clone());
        }
        state.by_service = by_service;
    }

    /// Ends the links to all peers.
    pub(crate) fn clear(&self) {
        let mut state = self.state.lock().expect("lock not poisoned");
        state.by_service.clear();
        for (_, (peer, task)) in state.peers.drain() {
            task.abort();
            peer.clear_link();
        }
    }

    /// The daemons of `service`.
    pub(crate) fn of_service(&self, service: &str) -> Vec<Arc<PeerEntry>> {
        let state = self.state.lock().expect("lock not poisoned");
        state.by_service.get(service).cloned().unwrap_or_default()
    }

    /// All daemons with a live link.
    pub(crate) fn connected(&self) -> Vec<Arc<PeerEntry>> {
        let state = self.state.lock().expect("lock not poisoned");
        let peers = state.peers.values().map(|(peer, _)| peer.clone());
        peers.filter(|peer| peer.link().is_some()).collect()
    }
}
