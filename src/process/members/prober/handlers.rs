//! Takes in what other members sent.

use std::time::Duration;

use rand::Rng;

use super::{MemberProber, RelayedProbe, ZONE_PROBES};
use crate::process::members::datagram::{DatagramKind, MemberDatagram};
use crate::process::members::entry::{InstanceId, MemberEntry, MemberLiveness};

const DIVERGED_ACKS: u32 = 3;
const SYNC_PAUSE: Duration = Duration::from_secs(5);

impl MemberProber {
    /// Tells a sender that is wrongly known here, so that it overrides that.
    pub(super) fn correct(&mut self, from: InstanceId) {
        let known = self.gossip.table().entry_at(from.address);
        let is_wrong = |entry: &MemberEntry| {
            let is_doubted =
                matches!(entry.liveness, MemberLiveness::Suspect | MemberLiveness::Dead);
            entry.instance != from || is_doubted
        };
        if let Some(entry) = known.filter(is_wrong) {
            self.port.send(from, DatagramKind::Push, vec![entry]);
        }
    }

    pub(super) fn serve(&mut self, datagram: MemberDatagram) {
        match datagram.kind {
            DatagramKind::Ping(number) => {
                let entries = self.gossip.take_updates();
                self.port.send(datagram.from, DatagramKind::Ack(number), entries);
            }
            DatagramKind::Ack(number) => self.take_ack(number, &datagram),
            DatagramKind::PingRequest(number, target) => {
                let sent = self.clock.now();
                let relayed = RelayedProbe { number, asker: datagram.from, sent };
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

    pub(super) fn take_ack(&mut self, number: u64, datagram: &MemberDatagram) {
        if let Some(relayed) = self.relayed.remove(&number) {
            let kind = DatagramKind::Ack(relayed.number);
            self.port.send(relayed.asker, kind, Vec::new());
        }
        let Some(probe) = self.probes.remove(&number) else { return };
        if let Some(zone) = &probe.zone {
            self.reach(zone.clone());
        }
        match probe.target == datagram.from {
            true => self.compare(datagram),
            false => self.events.count("member_reached_indirectly"),
        }
    }

    /// Asks for a comparison after several answers in a row from daemons with another table.
    pub(super) fn compare(&mut self, datagram: &MemberDatagram) {
        let table = self.gossip.table();
        if datagram.digest == table.digest() || !self.gossip.has_no_updates() {
            self.diverged = 0;
            return;
        }
        self.diverged += 1;
        let now = self.clock.now();
        if self.diverged >= DIVERGED_ACKS && now >= self.next_sync {
            self.diverged = 0;
            self.next_sync = now + SYNC_PAUSE;
            // A full queue means that a comparison is under way.
            let _ = self.sync.try_send(datagram.from.address);
        }
    }
}
