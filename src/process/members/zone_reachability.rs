//! Reachability of the other availability zones from this daemon.

use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::MilliTime;

/// Number of failed probes, of different members, after which a zone is unreachable.
const FAILURE_THRESHOLD: u32 = 4;

/// The state of a zone after a failed probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneVerdict {
    /// The zone answered another probe since this one was sent.
    Reached,
    /// First failure; more members should be probed at once.
    Suspected,
    /// Further probes are in flight.
    Pending,
    /// All probes failed.
    Unreachable,
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneProbes {
    failures: u32,
    last_success: MilliTime,
}

/// Probe results for each of the other zones. They are local to this daemon and never
/// disseminated, so that nothing has to be corrected after a partition between zones.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    zones: HashMap<Arc<str>, ZoneProbes>,
}

impl ZoneReachability {
    /// Records an answer from the zone at `now`.
    pub fn record_success(&mut self, zone: &Arc<str>, now: MilliTime) {
        self.zones.insert(zone.clone(), ZoneProbes { failures: 0, last_success: now });
    }

    /// Records that a probe sent at `sent` was not answered.
    pub fn record_failure(&mut self, zone: &Arc<str>, sent: MilliTime) -> ZoneVerdict {
        let probes = self.zones.entry(zone.clone()).or_default();
        if probes.last_success > sent {
            return ZoneVerdict::Reached;
        }
        probes.failures += 1;
        match probes.failures {
            1 => ZoneVerdict::Suspected,
            failures if failures < FAILURE_THRESHOLD => ZoneVerdict::Pending,
            _ => ZoneVerdict::Unreachable,
        }
    }

    /// Records that another daemon cannot reach the zone. Returns whether this daemon should probe
    /// the zone now.
    pub fn suspect(&mut self, zone: &Arc<str>) -> bool {
        let probes = self.zones.entry(zone.clone()).or_default();
        let is_first = probes.failures == 0;
        if is_first {
            probes.failures = 1;
        }
        is_first
    }
}
