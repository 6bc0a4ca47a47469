//! Detects requests that a caller resends, so that they count as retries.

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::{MilliClock, MilliTime};
use crate::process::routing::RetryBudget;

/// Identities expire after one to two intervals.
const ROTATION_INTERVAL: Duration = Duration::from_secs(30);
const IDENTITIES_MAX: usize = 65_536;

/// Whether a request was received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// Not seen before.
    Fresh,
    /// Seen before; within the ratio of repeats to fresh requests.
    Repeat,
    /// Seen before; beyond that ratio.
    Excess,
}

/// The identities of recent requests and the retry budget of their repeats.
#[derive(Debug)]
pub struct ResendDetector {
    clock: MilliClock,
    budget: RetryBudget,
    identities: Mutex<RecentIdentities>,
}

#[derive(Debug, Default)]
struct RecentIdentities {
    recent: HashSet<u64>,
    previous: HashSet<u64>,
    rotated_at: MilliTime,
}

impl ResendDetector {
    /// A detector that has seen no request.
    pub fn new(clock: MilliClock) -> Self {
        let identities = Mutex::default();
        ResendDetector { clock, budget: RetryBudget::default(), identities }
    }

    /// Classifies and counts a request; `stated` is the identity sent by the caller, if any.
    pub fn classify(&self, organisation: Option<&str>, stated: Option<&str>) -> SendKind {
        let fresh = stated.is_none_or(|id| self.record(organisation, id));
        if fresh {
            self.budget.add_call();
            return SendKind::Fresh;
        }
        if self.budget.spend() { SendKind::Repeat } else { SendKind::Excess }
    }

    /// Records an identity; false if it was recorded before.
    pub fn record(&self, organisation: Option<&str>, id: &str) -> bool {
        let text = format!("{}\n{id}", organisation.unwrap_or_default());
        let hash = xxh3_64(text.as_bytes());
        let mut identities = self.identities.lock().expect("lock not poisoned");
        identities.rotate(self.clock.now());
        let fresh = identities.recent.insert(hash);
        fresh && !identities.previous.contains(&hash)
    }
}

impl RecentIdentities {
    fn rotate(&mut self, now: MilliTime) {
        if now.since(self.rotated_at) < ROTATION_INTERVAL && self.recent.len() < IDENTITIES_MAX {
            return;
        }
        self.previous = std::mem::take(&mut self.recent);
        self.rotated_at = now;
    }
}
