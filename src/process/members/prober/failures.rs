//! Evaluation of probes that were not answered: suspicion of members and reachability of zones.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::{MemberProber, PROBE_TIMEOUT, PendingProbe, ZONE_PROBES};
use crate::clock::MilliTime;
use crate::process::members::datagram::DatagramKind;
use crate::process::members::entry::{InstanceId, MemberEntry, MemberLiveness};
use crate::process::members::zone_reachability::ZoneVerdict;

const INDIRECT_AFTER: Duration = Duration::from_millis(250);
const INDIRECT_PROBES: usize = 3;
const HINT_FANOUT: usize = 8;
/// A daemon that has received nothing for this long relies on its probes again.
const ISOLATION_LIMIT: Duration = Duration::from_secs(10);
/// With this few other members, silence does not indicate isolation.
const ISOLATION_MEMBERS: usize = 2;
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(24 * 3600);

impl MemberProber {
    pub(super) fn may_be_isolated(&self, now: MilliTime, limit: Duration) -> bool {
        let silence = now.since(self.last_received);
        let others = self.gossip.table().live_count().saturating_sub(1);
        silence >= limit && silence < ISOLATION_LIMIT && others > ISOLATION_MEMBERS
    }

    pub(super) fn check_probes(&mut self, now: MilliTime) {
        let mut late = Vec::new();
        let mut failed = Vec::new();
        for (number, probe) in &mut self.probes {
            let age = now.since(probe.sent);
            if age >= PROBE_TIMEOUT {
                failed.push(*number);
            } else if age >= INDIRECT_AFTER && !probe.indirect {
                probe.indirect = true;
                late.push((*number, probe.target));
            }
        }
        for (number, target) in late {
            self.request_indirect_probes(number, target);
        }
        for number in failed {
            if let Some(probe) = self.probes.remove(&number) {
                self.handle_failure(probe, now);
            }
        }
    }

    pub(super) fn request_indirect_probes(&mut self, number: u64, target: InstanceId) {
        let helpers = self.pick_local(INDIRECT_PROBES, target);
        for helper in helpers {
            let kind = DatagramKind::PingRequest(number, target);
            self.socket.send(helper, kind, Vec::new());
        }
    }

    pub(super) fn handle_failure(&mut self, probe: PendingProbe, now: MilliTime) {
        match probe.zone {
            Some(zone) => self.handle_zone_failure(zone, probe.sent),
            None if self.may_be_isolated(now, now.since(probe.sent)) => {}
            None => self.suspect(probe.target),
        }
    }

    pub(super) fn suspect(&mut self, target: InstanceId) {
        let entry = self.gossip.table().entry_at(target.address);
        let is_alive = |entry: &MemberEntry| {
            entry.instance == target && entry.liveness == MemberLiveness::Alive
        };
        if let Some(entry) = entry.filter(is_alive) {
            self.events.count("member_suspected");
            self.gossip
                .merge_and_spread(MemberEntry { liveness: MemberLiveness::Suspect, ..entry });
        }
    }

    pub(super) fn handle_zone_failure(&mut self, zone: Arc<str>, sent: MilliTime) {
        match self.zones.record_failure(&zone, sent) {
            ZoneVerdict::Reached => {}
            ZoneVerdict::Suspected => self.probe_zone(&zone, ZONE_PROBES),
            ZoneVerdict::Pending => {}
            ZoneVerdict::Unreachable => {
                if self.gossip.table().is_zone_reachable(&zone) {
                    self.events.count("zone_unreachable");
                    self.gossip.table().set_zone_reachable(&zone, false);
                    self.send_zone_hint(&zone);
                }
            }
        }
    }

    pub(super) fn send_zone_hint(&mut self, zone: &Arc<str>) {
        for member in self.pick_local(HINT_FANOUT, self.instance) {
            let kind = DatagramKind::ZoneHint(zone.clone());
            self.socket.send(member, kind, Vec::new());
        }
    }

    pub(super) fn record_zone_answer(&mut self, zone: Arc<str>) {
        self.zones.record_success(&zone, self.clock.now());
        self.gossip.table().set_zone_reachable(&zone, true);
    }

    pub(super) fn remove_tombstones(&mut self, now: MilliTime) {
        let departed: HashSet<InstanceId> = self.gossip.table().departed().into_iter().collect();
        self.departed_since.retain(|instance, _| departed.contains(instance));
        for instance in departed {
            self.departed_since.entry(instance).or_insert(now);
        }
        let departed_since = &self.departed_since;
        self.gossip.table().remove_departed(|entry| {
            let since = departed_since.get(&entry.instance);
            since.is_some_and(|since| now.since(*since) > TOMBSTONE_LIFETIME)
        });
    }
}
