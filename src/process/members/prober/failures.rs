//! Judges members and zones by probes that were answered or not.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::{MemberProber, OpenProbe, PROBE_TIMEOUT, ZONE_PROBES};
use crate::clock::MilliTime;
use crate::process::members::datagram::DatagramKind;
use crate::process::members::entry::{InstanceId, MemberEntry, MemberLiveness};
use crate::process::members::zone_reachability::ZoneVerdict;

const INDIRECT_AFTER: Duration = Duration::from_millis(250);
const INDIRECT_PROBES: usize = 3;
const HINT_FANOUT: usize = 8;
/// A daemon that has heard nothing for this long trusts its probes again.
const ISOLATION_LIMIT: Duration = Duration::from_secs(10);
/// Among so few other members, silence is no reason for self-doubt.
const FEW_OTHERS: usize = 2;
const TOMBSTONE_LIFE: Duration = Duration::from_secs(24 * 3600);

impl MemberProber {
    pub(super) fn doubts_itself(&self, now: MilliTime, limit: Duration) -> bool {
        let silence = now.since(self.last_heard);
        let others = self.gossip.table().live_count().saturating_sub(1);
        silence >= limit && silence < ISOLATION_LIMIT && others > FEW_OTHERS
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
            self.ask_others(number, target);
        }
        for number in failed {
            if let Some(probe) = self.probes.remove(&number) {
                self.fail(probe, now);
            }
        }
    }

    pub(super) fn ask_others(&mut self, number: u64, target: InstanceId) {
        let helpers = self.pick_near(INDIRECT_PROBES, target);
        for helper in helpers {
            let kind = DatagramKind::PingRequest(number, target);
            self.port.send(helper, kind, Vec::new());
        }
    }

    pub(super) fn fail(&mut self, probe: OpenProbe, now: MilliTime) {
        match probe.zone {
            Some(zone) => self.fail_zone(zone, probe.sent),
            None if self.doubts_itself(now, now.since(probe.sent)) => {}
            None => self.accuse(probe.target),
        }
    }

    pub(super) fn accuse(&mut self, target: InstanceId) {
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

    pub(super) fn fail_zone(&mut self, zone: Arc<str>, sent: MilliTime) {
        match self.zones.record_failure(&zone, sent) {
            ZoneVerdict::Reached => {}
            ZoneVerdict::Suspected => self.probe_zone(&zone, ZONE_PROBES),
            ZoneVerdict::Pending => {}
            ZoneVerdict::Unreachable => {
                if self.gossip.table().is_zone_reachable(&zone) {
                    self.events.count("zone_unreachable");
                    self.gossip.table().set_zone_reachable(&zone, false);
                    self.hint(&zone);
                }
            }
        }
    }

    pub(super) fn hint(&mut self, zone: &Arc<str>) {
        for mate in self.pick_near(HINT_FANOUT, self.instance) {
            let kind = DatagramKind::ZoneHint(zone.clone());
            self.port.send(mate, kind, Vec::new());
        }
    }

    pub(super) fn reach(&mut self, zone: Arc<str>) {
        self.zones.record_success(&zone, self.clock.now());
        self.gossip.table().set_zone_reachable(&zone, true);
    }

    pub(super) fn forget_gone(&mut self, now: MilliTime) {
        let gone: HashSet<InstanceId> = self.gossip.table().departed().into_iter().collect();
        self.gone_since.retain(|instance, _| gone.contains(instance));
        for instance in gone {
            self.gone_since.entry(instance).or_insert(now);
        }
        let gone_since = &self.gone_since;
        self.gossip.table().remove_departed(|entry| {
            let since = gone_since.get(&entry.instance);
            since.is_some_and(|since| now.since(*since) > TOMBSTONE_LIFE)
        });
    }
}
