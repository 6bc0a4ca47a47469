//! Selection of members to probe and to send updates to.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time::Instant;

use super::{MemberProber, PendingProbe};
use crate::process::members::datagram::DatagramKind;
use crate::process::members::entry::{InstanceId, MemberLiveness};

const LOCAL_FANOUT: usize = 3;
const REMOTE_FANOUT: usize = 2;
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(10);
const PUSH_BYTES_PER_SECOND: u64 = 12_000;

impl MemberProber {
    pub(super) fn probe_member(&mut self) {
        if self.member_cycle.is_empty() {
            self.member_cycle = self.gossip.table().live_in_zone(&self.zone);
            self.member_cycle.retain(|instance| *instance != self.instance);
            self.member_cycle.shuffle(&mut rand::rng());
        }
        if let Some(target) = self.member_cycle.pop() {
            self.probe(target, None);
        }
    }

    pub(super) fn probe_other_zone(&mut self) {
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

    /// Pings a dead run, which may have been partitioned: it refutes when it receives its entry.
    pub(super) fn probe_dead(&mut self) {
        let dead = self.gossip.table().dead_in_zone(&self.zone);
        if let Some(target) = dead.choose(&mut rand::rng()) {
            self.ping(*target, rand::rng().random());
        }
    }

    pub(super) fn probe(&mut self, target: InstanceId, zone: Option<Arc<str>>) {
        let number = rand::rng().random();
        let probe = PendingProbe { target, zone, sent: self.clock.now(), indirect: false };
        self.probes.insert(number, probe);
        self.ping(target, number);
    }

    pub(super) fn ping(&mut self, target: InstanceId, number: u64) {
        let mut entries = vec![self.gossip.own()];
        let known = self.gossip.table().entry_at(target.address);
        entries.extend(known.filter(|entry| entry.liveness != MemberLiveness::Alive));
        let updates = self.gossip.take_updates();
        entries.extend(updates);
        self.socket.send(target, DatagramKind::Ping(number), entries);
    }

    /// Sends the newest entries to a few members, limited to [`PUSH_BYTES_PER_SECOND`].
    pub(super) fn push(&mut self) {
        let entries = self.gossip.take_updates();
        let mut targets = self.pick_local(LOCAL_FANOUT, self.instance);
        targets.extend(self.pick_remote(REMOTE_FANOUT));
        let before = self.socket.sent_bytes();
        for target in targets {
            self.socket.send(target, DatagramKind::Push, entries.clone());
        }
        let bytes = self.socket.sent_bytes() - before;
        let interval = Duration::from_millis(bytes * 1000 / PUSH_BYTES_PER_SECOND);
        self.next_push = Instant::now() + interval.max(MIN_PUSH_INTERVAL);
    }

    pub(super) fn pick_local(&self, count: usize, except: InstanceId) -> Vec<InstanceId> {
        let mut members = self.gossip.table().live_in_zone(&self.zone);
        members.retain(|member| *member != self.instance && *member != except);
        if members.len() < count {
            let remote = self.pick_remote(count - members.len());
            members.extend(remote.into_iter().filter(|instance| *instance != except));
            return members;
        }
        members.choose_multiple(&mut rand::rng(), count).copied().collect()
    }

    pub(super) fn pick_remote(&self, count: usize) -> Vec<InstanceId> {
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
