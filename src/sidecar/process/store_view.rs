//! Progress and freshness of reads from the store.
//!
//! Few daemons of an availability zone read the store. The others request freshness proofs from one
//! of them and read the store only if they are behind it or its proof is too old. The load on the
//! store thus grows with the number of availability zones, not of daemons.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::keyed_store::StoreTopic;
use crate::clock::{MilliClock, MilliTime};
use crate::policy::freshness::FreshnessProof;
use crate::sidecar::connection::frame::TopicProof;

#[derive(Debug, Default)]
struct TopicState {
    cursor: Option<u64>,
    freshness: FreshnessProof,
    /// Whether another daemon has read further.
    is_behind: bool,
}

/// Read position and freshness of a topic.
#[derive(Debug, Default)]
pub(crate) struct TopicView {
    state: Mutex<TopicState>,
    behind_notify: Notify,
}

impl TopicView {
    /// The position up to which the topic was read.
    pub(crate) fn cursor(&self) -> Option<u64> {
        self.lock().cursor
    }

    /// Records a read up to `cursor` that proves the state as of `proven`.
    pub(crate) fn record_read(&self, cursor: u64, proven: MilliTime) {
        let mut state = self.lock();
        state.cursor = Some(cursor);
        state.is_behind = false;
        state.freshness.prove(proven);
    }

    /// Clears the position, so that the next read is a snapshot.
    pub(crate) fn clear_cursor(&self) {
        self.lock().cursor = None;
    }

    /// The age of the freshness proof.
    pub(crate) fn age(&self, now: MilliTime) -> Option<Duration> {
        self.lock().freshness.age(now)
    }

    /// Whether the freshness proof is younger than `bound`.
    pub(crate) fn is_fresh(&self, now: MilliTime, bound: Duration) -> bool {
        self.lock().freshness.is_fresh(now, bound)
    }

    /// The freshness proof for other daemons.
    pub(crate) fn proof(&self, now: MilliTime) -> Option<TopicProof> {
        let state = self.lock();
        let age = state.freshness.age(now)?;
        let age_millis = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Some(TopicProof { cursor: state.cursor?, age_millis })
    }

    /// Applies a proof that another daemon sent in answer to a request at `requested`. It is valid
    /// here unless that daemon has read further. Transit time counts as age.
    pub(crate) fn apply_proof(&self, requested: Option<MilliTime>, proof: TopicProof) {
        let mut state = self.lock();
        let Some(cursor) = state.cursor else {
            return;
        };
        if proof.cursor > cursor {
            state.is_behind = true;
            self.behind_notify.notify_one();
        } else if let Some(requested) = requested {
            let age = Duration::from_millis(u64::from(proof.age_millis));
            state.freshness.prove(requested.before(age));
        }
    }

    /// Waits until a proof shows that another daemon has read further.
    pub(crate) async fn wait_until_behind(&self) {
        loop {
            let notified = self.behind_notify.notified();
            if self.lock().is_behind {
                return;
            }
            notified.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, TopicState> {
        self.state.lock().expect("lock not poisoned")
    }
}

/// The views of both topics.
#[derive(Debug)]
pub(crate) struct StoreView {
    clock: MilliClock,
    pub(crate) configuration: TopicView,
    pub(crate) directory: TopicView,
    /// Incremented when records were read.
    changed: watch::Sender<u64>,
}

impl StoreView {
    pub(crate) fn new(clock: MilliClock) -> Self {
        StoreView {
            clock,
            configuration: TopicView::default(),
            directory: TopicView::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// The view of a topic.
    pub(crate) fn topic(&self, topic: StoreTopic) -> &TopicView {
        match topic {
            StoreTopic::Configuration => &self.configuration,
            StoreTopic::Directory => &self.directory,
        }
    }

    /// The age of the configuration's freshness proof.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        self.configuration.age(self.clock.now())
    }

    /// Triggers a message to other daemons that records were read.
    pub(crate) fn notify_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Notified when records were read.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
