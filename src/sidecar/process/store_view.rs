//! What is known of the store, and how new that is.
//!
//! Few daemons in each availability zone read the store; the others ask one of them how new its
//! knowledge is, and read themselves only when they are behind it or it is too old. Calls to the
//! store grow with the availability zones this way, not with the daemons.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::keyed_store::StoreTopic;
use crate::clock::{MilliClock, MilliTime};
use crate::policy::evidence::ConfigEvidence;
use crate::sidecar::connection::frame::FreshnessProof;

#[derive(Debug, Default)]
struct TopicState {
    cursor: Option<u64>,
    evidence: ConfigEvidence,
    /// Another daemon knows records that are not known here.
    is_behind: bool,
}

/// How far a topic was read.
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

    /// Notes a read up to `cursor` that proves what is known until `proven`.
    pub(crate) fn record_read(&self, cursor: u64, proven: MilliTime) {
        let mut state = self.lock();
        state.cursor = Some(cursor);
        state.is_behind = false;
        state.evidence.prove(proven);
    }

    /// Forgets the position, so that the next read is of everything.
    pub(crate) fn clear_cursor(&self) {
        self.lock().cursor = None;
    }

    /// The age of the proof.
    pub(crate) fn age(&self, now: MilliTime) -> Option<Duration> {
        self.lock().evidence.age(now)
    }

    /// Whether the proof is younger than `bound`.
    pub(crate) fn is_fresh(&self, now: MilliTime, bound: Duration) -> bool {
        self.lock().evidence.is_fresh(now, bound)
    }

    /// What others may rely on.
    pub(crate) fn proof(&self, now: MilliTime) -> Option<FreshnessProof> {
        let state = self.lock();
        let age = state.evidence.age(now)?;
        let age_millis = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Some(FreshnessProof { cursor: state.cursor?, age_millis })
    }

    /// Takes in what another daemon answered to a question asked at `asked`: its proof holds here
    /// if nothing is known there that is not known here. The time on the way counts as age.
    pub(crate) fn apply_proof(&self, asked: Option<MilliTime>, proof: FreshnessProof) {
        let mut state = self.lock();
        let Some(cursor) = state.cursor else {
            return;
        };
        if proof.cursor > cursor {
            state.is_behind = true;
            self.behind_notify.notify_one();
        } else if let Some(asked) = asked {
            let age = Duration::from_millis(u64::from(proof.age_millis));
            state.evidence.prove(asked.before(age));
        }
    }

    /// Waits until another daemon is known to know more.
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
        self.state.lock().expect("no holder panics")
    }
}

/// Both topics.
#[derive(Debug)]
pub(crate) struct StoreView {
    clock: MilliClock,
    pub(crate) configuration: TopicView,
    pub(crate) directory: TopicView,
    /// Rises with every record read.
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

    /// The age of the proof of the configuration.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        self.configuration.age(self.clock.now())
    }

    /// Tells other daemons that records were read.
    pub(crate) fn notify_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Notified when records were read.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
