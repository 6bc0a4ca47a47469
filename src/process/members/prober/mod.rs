//! Failure detection: probes members over UDP and disseminates changed entries.

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
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const ZONE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
const DEAD_PROBE_INTERVAL: Duration = Duration::from_secs(5);
const TOMBSTONE_INTERVAL: Duration = Duration::from_secs(60);
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
const ZONE_PROBES: usize = 3;
/// A tick that is this late means that the process was paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(600);
/// A daemon that has received nothing for this long may be isolated and declares no member dead.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

struct PendingProbe {
    target: InstanceId,
    zone: Option<Arc<str>>,
    sent: MilliTime,
    indirect: bool,
}

struct RelayedProbe {
    number: u64,
    requester: InstanceId,
    sent: MilliTime,
}

/// The task that probes members.
pub struct MemberProber {
    gossip: Arc<MemberGossip>,
    socket: MemberSocket,
    clock: MilliClock,
    events: EventCounters,
    sync: mpsc::Sender<SocketAddr>,
    instance: InstanceId,
    zone: Arc<str>,
    probes: BTreeMap<u64, PendingProbe>,
    relayed: HashMap<u64, RelayedProbe>,
    member_cycle: Vec<InstanceId>,
    zone_cycle: Vec<Arc<str>>,
    zones: ZoneReachability,
    departed_since: HashMap<InstanceId, MilliTime>,
    last_tick: MilliTime,
    last_received: MilliTime,
    next_probe: MilliTime,
    next_zone_probe: MilliTime,
    next_dead_probe: MilliTime,
    next_tombstone_check: MilliTime,
    next_push: Instant,
    diverged_acks: u32,
    next_sync: MilliTime,
}

impl MemberProber {
    /// A prober on `socket`. It sends the address of a daemon whose table differs to `sync`.
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
            socket: MemberSocket::new(gossip.clone(), socket, transport, events.clone()),
            gossip,
            clock,
            events,
            sync,
            instance: own.instance,
            zone: own.availability_zone,
            probes: BTreeMap::new(),
            relayed: HashMap::new(),
            member_cycle: Vec::new(),
            zone_cycle: Vec::new(),
            zones: ZoneReachability::default(),
            departed_since: HashMap::new(),
            last_tick: now,
            last_received: now,
            next_probe: now,
            next_zone_probe: now,
            next_dead_probe: now,
            next_tombstone_check: now,
            next_push: Instant::now(),
            diverged_acks: 0,
            next_sync: now,
        }
    }

    /// Counters of sent and received datagrams, updated while the prober runs.
    pub fn traffic(&self) -> Arc<Mutex<ProberTraffic>> {
        self.socket.traffic()
    }

    /// Probes until the task is dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let gossip = self.gossip.clone();
        loop {
            tokio::select! {
                received = self.socket.receive() => {
                    // An error means that an earlier datagram was not delivered.
                    if let Ok(length) = received {
                        self.handle(length);
                    }
                }
                _ = ticks.tick() => self.tick(),
                () = gossip.urgent() => {}
                () = sleep_until(self.next_push), if gossip.has_urgent() => self.push(),
            }
        }
    }

    fn handle(&mut self, length: usize) {
        let Some(datagram) = self.socket.decode(length) else { return };
        self.last_received = self.clock.now();
        datagram.entries.iter().for_each(|entry| self.gossip.merge_and_spread(entry.clone()));
        self.push_correction(datagram.from);
        self.dispatch(datagram);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now.since(self.last_tick) > TICK + PAUSE_LIMIT {
            self.reset_after_pause(now);
        }
        self.last_tick = now;
        self.check_probes(now);
        if !self.may_be_isolated(now, SILENCE_LIMIT) {
            self.gossip.expire_suspicions();
        }
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            self.probe_member();
        }
        if now >= self.next_zone_probe {
            self.next_zone_probe = now + ZONE_PROBE_INTERVAL;
            self.probe_other_zone();
        }
        if now >= self.next_dead_probe {
            self.next_dead_probe = now + DEAD_PROBE_INTERVAL;
            self.probe_dead();
        }
        if now >= self.next_tombstone_check {
            self.next_tombstone_check = now + TOMBSTONE_INTERVAL;
            self.remove_tombstones(now);
        }
        self.relayed.retain(|_, relayed| now.since(relayed.sent) < PROBE_TIMEOUT);
    }

    /// Discards open probes after a pause, because their answers could not be received in time.
    fn reset_after_pause(&mut self, now: MilliTime) {
        self.events.count("member_prober_paused");
        self.probes.clear();
        self.gossip.extend_suspicions();
        self.last_received = now;
    }
}
