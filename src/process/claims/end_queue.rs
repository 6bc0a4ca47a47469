//! Queue of ended attempts that are not yet appended to the shards' streams.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use tokio::sync::Notify;

use super::worker::AttemptEnd;

/// Maximum number of ends in the queue. Beyond it, the oldest are dropped, and their keys stay
/// claimed.
pub const END_QUEUE_LIMIT: usize = 20_000;

/// Ends that wait to be sent to the owners of their shards.
#[derive(Debug, Default)]
pub struct EndQueue {
    ends: Mutex<VecDeque<AttemptEnd>>,
    filled: Notify,
}

impl EndQueue {
    /// Adds an end. Returns whether an older one was dropped for it.
    pub fn push(&self, end: AttemptEnd) -> bool {
        let mut ends = self.ends.lock().expect("lock not poisoned");
        ends.push_back(end);
        let is_over_limit = ends.len() > END_QUEUE_LIMIT;
        if is_over_limit {
            ends.pop_front();
        }
        self.filled.notify_one();
        is_over_limit
    }

    /// Waits until the queue is not empty.
    pub async fn filled(&self) {
        while self.is_empty() {
            self.filled.notified().await;
        }
    }

    /// Removes all ends, grouped by shard.
    pub fn take(&self) -> BTreeMap<u16, Vec<AttemptEnd>> {
        let ends = std::mem::take(&mut *self.ends.lock().expect("lock not poisoned"));
        let mut shards: BTreeMap<u16, Vec<AttemptEnd>> = BTreeMap::new();
        for end in ends {
            shards.entry(end.key.shard()).or_default().push(end);
        }
        shards
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.ends.lock().expect("lock not poisoned").is_empty()
    }
}
