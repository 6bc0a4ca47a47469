//! Recognises requests that a caller sends again, so that they count as retries.

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::{MilliClock, MilliTime};
use crate::process::routing::RetryBudget;

/// An identity is remembered for one to two of these.
const ROTATION_INTERVAL: Duration = Duration::from_secs(30);
const IDENTITIES_MAX: usize = 65_536;

/// How often a request has come here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// For the first time.
    Fresh,
    /// Again, and the ratio of repeats to fresh requests allows it.
    Repeat,
    /// Again, too often.
    Excess,
}

/// The identities of requests that came here lately.
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
    /// A memory of no request.
    pub fn new(clock: MilliClock) -> Self {
        let identities = Mutex::default();
        ResendDetector { clock, budget: RetryBudget::default(), identities }
    }

    /// Counts a request; `stated` is the identity that the caller gave it, if any.
    pub fn classify(&self, organisation: Option<&str>, stated: Option<&str>) -> SendKind {
        let fresh = stated.is_none_or(|id| self.record(organisation, id));
        if fresh {
            self.budget.add_call();
            return SendKind::Fresh;
        }
        if self.budget.spend() { SendKind::Repeat } else { SendKind::Excess }
    }

    /// Remembers an identity; false if it was known.
    pub fn record(&self, organisation: Option<&str>, id: &str) -> bool {
        let text = format!("{}\n{id}", organisation.unwrap_or_default());
        let hash = xxh3_64(text.as_bytes());
        let mut identities = self.identities.lock().expect("no holder panics");
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
