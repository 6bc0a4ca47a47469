//! Whether this daemon reaches the other availability zones.

use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::MilliTime;

/// Failed probes of different members after which a zone counts as unreachable.
const FAILURES_LIMIT: u32 = 4;

/// What a failed probe says of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneVerdict {
    /// The zone was heard of since the probe was sent.
    Reached,
    /// It is the first failure; more members should be probed at once.
    Suspected,
    /// More probes are under way.
    Pending,
    /// Every probe failed.
    Unreachable,
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneEvidence {
    failures: u32,
    reached: MilliTime,
}

/// Evidence on each of the other zones. It is this daemon's own and is never passed on, so that
/// zones that were cut from each other have nothing to take back afterwards.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    zones: HashMap<Arc<str>, ZoneEvidence>,
}

impl ZoneReachability {
    /// Something was heard from the zone at `now`.
    pub fn record_success(&mut self, zone: &Arc<str>, now: MilliTime) {
        self.zones.insert(zone.clone(), ZoneEvidence { failures: 0, reached: now });
    }

    /// A probe that was sent at `sent` got no answer.
    pub fn record_failure(&mut self, zone: &Arc<str>, sent: MilliTime) -> ZoneVerdict {
        let evidence = self.zones.entry(zone.clone()).or_default();
        if evidence.reached > sent {
            return ZoneVerdict::Reached;
        }
        evidence.failures += 1;
        match evidence.failures {
            1 => ZoneVerdict::Suspected,
            failures if failures < FAILURES_LIMIT => ZoneVerdict::Pending,
            _ => ZoneVerdict::Unreachable,
        }
    }

    /// Another daemon cannot reach the zone; true if this one should look now.
    pub fn suspect(&mut self, zone: &Arc<str>) -> bool {
        let evidence = self.zones.entry(zone.clone()).or_default();
        let is_first = evidence.failures == 0;
        if is_first {
            evidence.failures = 1;
        }
        is_first
    }
}
