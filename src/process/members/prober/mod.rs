//! Probes members over UDP and carries news of them.

mod failures;
mod handlers;
mod targets;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use super::entry::InstanceId;
use super::gossip::MemberGossip;
use super::socket::{MemberSocket, ProberTraffic};
use super::zone_reachability::ZoneReachability;
use crate::clock::{MilliClock, MilliTime};
use crate::connection::peer_transport::PeerTransport;
use crate::process::metrics::EventCounters;

const TICK: Duration = Duration::from_millis(100);
const PROBE_PERIOD: Duration = Duration::from_millis(500);
const ZONE_PERIOD: Duration = Duration::from_secs(1);
const DEAD_PERIOD: Duration = Duration::from_secs(5);
const FORGET_PERIOD: Duration = Duration::from_secs(60);
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
const ZONE_PROBES: usize = 3;
/// A tick that is this late means that the process stood still.
const PAUSE_LIMIT: Duration = Duration::from_millis(600);
/// A daemon that has heard nothing for this long doubts itself and declares nobody dead.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

struct OpenProbe {
    target: InstanceId,
    zone: Option<Arc<str>>,
    sent: MilliTime,
    indirect: bool,
}

struct RelayedProbe {
    number: u64,
    asker: InstanceId,
    sent: MilliTime,
}

/// The task that probes members.
pub struct MemberProber {
    gossip: Arc<MemberGossip>,
    port: MemberSocket,
    clock: MilliClock,
    events: EventCounters,
    sync: mpsc::Sender<SocketAddr>,
    instance: InstanceId,
    zone: Arc<str>,
    probes: BTreeMap<u64, OpenProbe>,
    relayed: HashMap<u64, RelayedProbe>,
    near_cycle: Vec<InstanceId>,
    zone_cycle: Vec<Arc<str>>,
    zones: ZoneReachability,
    gone_since: HashMap<InstanceId, MilliTime>,
    last_tick: MilliTime,
    last_heard: MilliTime,
    next_probe: MilliTime,
    next_zone: MilliTime,
    next_dead: MilliTime,
    next_forget: MilliTime,
    next_push: Instant,
    diverged: u32,
    next_sync: MilliTime,
}

impl MemberProber {
    /// A prober on `socket`; it asks on `sync` for a comparison with a daemon whose table differs.
    pub fn new(
        gossip: Arc<MemberGossip>,
        socket: UdpSocket,
        transport: PeerTransport,
        clock: MilliClock,
        events: EventCounters,
        sync: mpsc::Sender<SocketAddr>,
    ) -> Self {
        let own = gossip.own();
        let now = clock.now();
        MemberProber {
            port: MemberSocket::new(gossip.clone(), socket, transport, events.clone()),
            gossip,
            clock,
            events,
            sync,
            instance: own.instance,
            zone: own.availability_zone,
            probes: BTreeMap::new(),
            relayed: HashMap::new(),
            near_cycle: Vec::new(),
            zone_cycle: Vec::new(),
            zones: ZoneReachability::default(),
            gone_since: HashMap::new(),
            last_tick: now,
            last_heard: now,
            next_probe: now,
            next_zone: now,
            next_dead: now,
            next_forget: now,
            next_push: Instant::now(),
            diverged: 0,
            next_sync: now,
        }
    }

    /// What was sent and received, kept up to date while the prober runs.
    pub fn traffic(&self) -> Arc<Mutex<ProberTraffic>> {
        self.port.traffic()
    }

    /// Probes until the task is dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let gossip = self.gossip.clone();
        loop {
            tokio::select! {
                received = self.port.receive() => {
                    // An error reports that an earlier datagram found no receiver.
                    if let Ok(length) = received {
                        self.receive(length);
                    }
                }
                _ = ticks.tick() => self.tick(),
                () = gossip.urgent() => {}
                () = sleep_until(self.next_push), if gossip.has_urgent() => self.push(),
            }
        }
    }

    fn receive(&mut self, length: usize) {
        let Some(datagram) = self.port.open(length) else { return };
        self.last_heard = self.clock.now();
        datagram.entries.iter().for_each(|entry| self.gossip.merge_and_spread(entry.clone()));
        self.correct(datagram.from);
        self.serve(datagram);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now.since(self.last_tick) > TICK + PAUSE_LIMIT {
            self.forgive(now);
        }
        self.last_tick = now;
        self.check_probes(now);
        if !self.doubts_itself(now, SILENCE_LIMIT) {
            self.gossip.expire_suspicions();
        }
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD;
            self.probe_near();
        }
        if now >= self.next_zone {
            self.next_zone = now + ZONE_PERIOD;
            self.probe_far();
        }
        if now >= self.next_dead {
            self.next_dead = now + DEAD_PERIOD;
            self.probe_dead();
        }
        if now >= self.next_forget {
            self.next_forget = now + FORGET_PERIOD;
            self.forget_gone(now);
        }
        self.relayed.retain(|_, relayed| now.since(relayed.sent) < PROBE_TIMEOUT);
    }

    /// Draws no conclusions from answers that could not be read in time.
    fn forgive(&mut self, now: MilliTime) {
        self.events.count("member_prober_paused");
        self.probes.clear();
        self.gossip.extend_suspicions();
        self.last_heard = now;
    }
}
