//! Chooses whom to probe and whom to tell.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time::Instant;

use super::{MemberProber, OpenProbe};
use crate::process::members::datagram::DatagramKind;
use crate::process::members::entry::{InstanceId, MemberLiveness};

const NEAR_FANOUT: usize = 3;
const FAR_FANOUT: usize = 2;
const PUSH_PAUSE: Duration = Duration::from_millis(10);
const PUSH_BYTES_PER_SECOND: u64 = 12_000;

impl MemberProber {
    pub(super) fn probe_near(&mut self) {
        if self.near_cycle.is_empty() {
            self.near_cycle = self.gossip.table().live_in_zone(&self.zone);
            self.near_cycle.retain(|instance| *instance != self.instance);
            self.near_cycle.shuffle(&mut rand::rng());
        }
        if let Some(target) = self.near_cycle.pop() {
            self.probe(target, None);
        }
    }

    pub(super) fn probe_far(&mut self) {
        if self.zone_cycle.is_empty() {
            self.zone_cycle = self.gossip.table().zones();
            self.zone_cycle.retain(|zone| *zone != self.zone);
            self.zone_cycle.shuffle(&mut rand::rng());
        }
        if let Some(zone) = self.zone_cycle.pop() {
            self.probe_zone(&zone, 1);
        }
    }

    pub(super) fn probe_zone(&mut self, zone: &Arc<str>, count: usize) {
        let members = self.gossip.table().live_in_zone(zone);
        let targets: Vec<InstanceId> = match members.len() {
            0 => return,
            length if length < count => (0..count).map(|index| members[index % length]).collect(),
            _ => members.choose_multiple(&mut rand::rng(), count).copied().collect(),
        };
        for target in targets {
            self.probe(target, Some(zone.clone()));
        }
    }

    /// A run that was declared dead may have been cut off; it refutes as soon as it hears of it.
    pub(super) fn probe_dead(&mut self) {
        let dead = self.gossip.table().dead_in_zone(&self.zone);
        if let Some(target) = dead.choose(&mut rand::rng()) {
            self.ping(*target, rand::rng().random());
        }
    }

    pub(super) fn probe(&mut self, target: InstanceId, zone: Option<Arc<str>>) {
        let number = rand::rng().random();
        let probe = OpenProbe { target, zone, sent: self.clock.now(), indirect: false };
        self.probes.insert(number, probe);
        self.ping(target, number);
    }

    pub(super) fn ping(&mut self, target: InstanceId, number: u64) {
        let mut entries = vec![self.gossip.own()];
        let known = self.gossip.table().entry_at(target.address);
        entries.extend(known.filter(|entry| entry.liveness != MemberLiveness::Alive));
        let room = self.gossip.take_updates();
        entries.extend(room);
        self.port.send(target, DatagramKind::Ping(number), entries);
    }

    /// Sends the newest entries to a few members at once.
    pub(super) fn push(&mut self) {
        let entries = self.gossip.take_updates();
        let mut targets = self.pick_near(NEAR_FANOUT, self.instance);
        targets.extend(self.pick_far(FAR_FANOUT));
        let before = self.port.sent_bytes();
        for target in targets {
            self.port.send(target, DatagramKind::Push, entries.clone());
        }
        let bytes = self.port.sent_bytes() - before;
        let pause = Duration::from_millis(bytes * 1000 / PUSH_BYTES_PER_SECOND);
        self.next_push = Instant::now() + pause.max(PUSH_PAUSE);
    }

    pub(super) fn pick_near(&self, count: usize, except: InstanceId) -> Vec<InstanceId> {
        let mut mates = self.gossip.table().live_in_zone(&self.zone);
        mates.retain(|mate| *mate != self.instance && *mate != except);
        if mates.len() < count {
            let far = self.pick_far(count - mates.len());
            mates.extend(far.into_iter().filter(|instance| *instance != except));
            return mates;
        }
        mates.choose_multiple(&mut rand::rng(), count).copied().collect()
    }

    pub(super) fn pick_far(&self, count: usize) -> Vec<InstanceId> {
        let mut zones = self.gossip.table().zones();
        zones.retain(|zone| *zone != self.zone);
        let mut picked = Vec::new();
        for _ in 0..count {
            let Some(zone) = zones.choose(&mut rand::rng()) else { break };
            let members = self.gossip.table().live_in_zone(zone);
            picked.extend(members.choose(&mut rand::rng()).copied());
        }
        picked
    }
}
