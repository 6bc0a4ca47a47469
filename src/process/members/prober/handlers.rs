//! Handling of datagrams from other members.

use std::time::Duration;

use rand::Rng;

use super::{MemberProber, RelayedProbe, ZONE_PROBES};
use crate::process::members::datagram::{DatagramKind, MemberDatagram};
use crate::process::members::entry::{InstanceId, MemberEntry, MemberLiveness};

const DIVERGED_ACKS_LIMIT: u32 = 3;
const SYNC_INTERVAL: Duration = Duration::from_secs(5);

impl MemberProber {
    /// Sends a daemon its wrong entry in this table, so that it refutes it.
    pub(super) fn push_correction(&mut self, from: InstanceId) {
        let known = self.gossip.table().entry_at(from.address);
        let is_wrong = |entry: &MemberEntry| {
            let is_suspected =
                matches!(entry.liveness, MemberLiveness::Suspect | MemberLiveness::Dead);
            entry.instance != from || is_suspected
        };
        if let Some(entry) = known.filter(is_wrong) {
            self.socket.send(from, DatagramKind::Push, vec![entry]);
        }
    }

    pub(super) fn dispatch(&mut self, datagram: MemberDatagram) {
        match datagram.kind {
            DatagramKind::Ping(number) => {
                let entries = self.gossip.take_updates();
                self.socket.send(datagram.from, DatagramKind::Ack(number), entries);
            }
            DatagramKind::Ack(number) => self.handle_ack(number, &datagram),
            DatagramKind::PingRequest(number, target) => {
                let sent = self.clock.now();
                let relayed = RelayedProbe { number, requester: datagram.from, sent };
                let number = rand::rng().random();
                self.relayed.insert(number, relayed);
                self.ping(target, number);
            }
            DatagramKind::Push => {}
            DatagramKind::ZoneHint(zone) => {
                if zone != self.zone && self.zones.suspect(&zone) {
                    self.probe_zone(&zone, ZONE_PROBES);
                }
            }
        }
    }

    pub(super) fn handle_ack(&mut self, number: u64, datagram: &MemberDatagram) {
        if let Some(relayed) = self.relayed.remove(&number) {
            let kind = DatagramKind::Ack(relayed.number);
            self.socket.send(relayed.requester, kind, Vec::new());
        }
        let Some(probe) = self.probes.remove(&number) else { return };
        if let Some(zone) = &probe.zone {
            self.record_zone_answer(zone.clone());
        }
        match probe.target == datagram.from {
            true => self.check_divergence(datagram),
            false => self.events.count("member_reached_indirectly"),
        }
    }

    /// Requests a table sync after several consecutive acks from daemons whose tables differ.
    pub(super) fn check_divergence(&mut self, datagram: &MemberDatagram) {
        let table = self.gossip.table();
        if datagram.digest == table.digest() || !self.gossip.has_no_updates() {
            self.diverged_acks = 0;
            return;
        }
        self.diverged_acks += 1;
        let now = self.clock.now();
        if self.diverged_acks >= DIVERGED_ACKS_LIMIT && now >= self.next_sync {
            self.diverged_acks = 0;
            self.next_sync = now + SYNC_INTERVAL;
            // A full queue means that a sync is in progress.
            let _ = self.sync.try_send(datagram.from.address);
        }
    }
}
