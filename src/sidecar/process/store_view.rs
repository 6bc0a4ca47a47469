//! This daemon's copies of the store's topics, with the freshness of each.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::Serialize;
use tokio::sync::watch;

use super::config_copy::ConfigCopy;
use super::keyed_store::{StoreRead, StoreTopic};
use super::topic_replica::{TopicChange, TopicReplica};
use crate::clock::{MilliClock, MilliTime};
use crate::policy::freshness::FreshnessProof;
use crate::policy::restore_hold::RestoreHold;
use crate::policy::store_position::{StoreEra, StorePosition};
use crate::sidecar::connection::frame::TopicReport;

#[derive(Debug, Default)]
struct TopicState {
    replica: TopicReplica,
    freshness: FreshnessProof,
}

/// The copy of a topic and its freshness.
#[derive(Debug, Default)]
pub(crate) struct TopicView {
    state: Mutex<TopicState>,
    /// Held while changes are merged and applied, so that they are applied in order.
    apply_order: Mutex<()>,
}

impl TopicView {
    /// The position up to which the topic is known.
    pub(crate) fn cursor(&self) -> Option<StorePosition> {
        self.lock().replica.cursor()
    }

    /// The position from which the store is read on; `None` if only a snapshot leads on.
    pub(crate) fn read_position(&self) -> Option<StorePosition> {
        self.lock().replica.read_position()
    }

    /// Records that the store no longer has the records before `first`.
    pub(crate) fn refuse_before(&self, first: StorePosition) {
        self.lock().replica.refuse_before(first);
    }

    /// Records that the store does not know the position.
    pub(crate) fn discard_position(&self) {
        self.lock().replica.discard_position();
    }

    /// Records that a snapshot requested after all refusals ends at `end`, before what they named.
    pub(crate) fn resume_at(&self, end: StorePosition) {
        self.lock().replica.resume_at(end);
    }

    /// Records that the store is in `era` or a later one, and ignores records of earlier ones.
    pub(crate) fn enter_era(&self, era: StoreEra) {
        self.lock().replica.enter_era(era);
    }

    /// The age of the freshness proof.
    pub(crate) fn age(&self, now: MilliTime) -> Option<Duration> {
        self.lock().freshness.age(now)
    }

    /// Whether the freshness proof is younger than `bound`.
    pub(crate) fn is_fresh(&self, now: MilliTime, bound: Duration) -> bool {
        self.lock().freshness.is_fresh(now, bound)
    }

    /// Merges a read of the store that proves the state as of `proven`, if that is given, unless it is
    /// older than what the store has said before; returns whether it does. `apply` receives what changed.
    /// `from` is the position that was read from, `None` for a snapshot.
    pub(crate) fn merge_read(
        &self,
        from: Option<StorePosition>,
        read: StoreRead,
        proven: Option<MilliTime>,
        apply: impl FnOnce(TopicChange),
    ) -> bool {
        let _order = self.apply_order.lock().expect("lock not poisoned");
        let cursor = read.cursor;
        let mut state = self.lock();
        let is_behind = state.replica.is_behind(cursor);
        let change = state.replica.apply_read(from, read);
        drop(state);
        if let Some(change) = change {
            apply(change);
        }
        let mut state = self.lock();
        // Whatever was written before that time lies before the position now held.
        let is_known = state.replica.cursor().is_some_and(|known| known.covers(cursor));
        let proven = proven.filter(|_| is_known && !is_behind);
        if let Some(proven) = proven {
            state.freshness.prove(proven);
        }
        proven.is_some()
    }

    /// Merges the report of another daemon, which answers a request made at `requested` if it is
    /// given; `apply` receives what changed. The time in transit counts as age of the proof.
    pub(crate) fn merge_report(
        &self,
        requested: Option<MilliTime>,
        report: TopicReport,
        apply: impl FnOnce(TopicChange),
    ) {
        let _order = self.apply_order.lock().expect("lock not poisoned");
        let change = report.update.and_then(|update| self.lock().replica.apply_update(update));
        if let Some(change) = change {
            apply(change);
        }
        let mut state = self.lock();
        let is_known = state.replica.cursor().is_some_and(|known| known.covers(report.cursor));
        if let (true, Some(requested), Some(age)) = (is_known, requested, report.age_millis) {
            state.freshness.prove(requested.before(Duration::from_millis(u64::from(age))));
        }
    }

    /// The report for a daemon that knows the topic up to `known`; `None` before the first read.
    pub(crate) fn report(
        &self,
        now: MilliTime,
        known: Option<StorePosition>,
    ) -> Option<TopicReport> {
        let state = self.lock();
        let cursor = state.replica.cursor()?;
        let age_millis =
            state.freshness.age(now).map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        Some(TopicReport { cursor, age_millis, update: state.replica.update_since(known) })
    }

    fn lock(&self) -> MutexGuard<'_, TopicState> {
        self.state.lock().expect("lock not poisoned")
    }
}

/// Who told this daemon of a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum PositionSource {
    Store,
    /// The daemon of this name, to which this one has linked.
    Daemon(Arc<str>),
    /// A daemon that has linked to this one.
    LinkedDaemon,
}

/// The copies of both topics.
#[derive(Debug)]
pub(crate) struct StoreView {
    clock: MilliClock,
    pub(crate) configuration: ConfigCopy,
    pub(crate) directory: TopicView,
    /// Incremented when records changed.
    changed: watch::Sender<u64>,
    /// Which reads of the store prove its state.
    pub(crate) hold: Mutex<RestoreHold>,
    /// Who told of the position from which each topic is read on.
    sources: Mutex<HashMap<StoreTopic, PositionSource>>,
}

impl StoreView {
    pub(crate) fn new(clock: MilliClock) -> Self {
        StoreView {
            clock,
            configuration: ConfigCopy::default(),
            directory: TopicView::default(),
            changed: watch::Sender::new(0),
            hold: Mutex::default(),
            sources: Mutex::default(),
        }
    }

    /// The position from which a topic is read on; `None` if only a snapshot leads on.
    pub(crate) fn read_position(&self, topic: StoreTopic) -> Option<StorePosition> {
        match topic {
            StoreTopic::Configuration => self.configuration.read_position(),
            StoreTopic::Directory => self.directory.read_position(),
        }
    }

    /// Records who told of the position of a topic if it is another one than `before`.
    pub(crate) fn record_source(
        &self,
        topic: StoreTopic,
        before: Option<StorePosition>,
        source: &PositionSource,
    ) {
        if self.read_position(topic) != before {
            self.sources.lock().expect("lock not poisoned").insert(topic, source.clone());
        }
    }

    /// Who told of the position of a topic.
    pub(crate) fn source(&self, topic: StoreTopic) -> Option<PositionSource> {
        self.sources.lock().expect("lock not poisoned").get(&topic).cloned()
    }

    /// Records that the store no longer has the records of a topic before `first`.
    pub(crate) fn refuse_before(&self, topic: StoreTopic, first: StorePosition) {
        match topic {
            StoreTopic::Configuration => self.configuration.refuse_before(first),
            StoreTopic::Directory => self.directory.refuse_before(first),
        }
    }

    /// Records that the store does not know the position of a topic.
    pub(crate) fn discard_position(&self, topic: StoreTopic) {
        match topic {
            StoreTopic::Configuration => self.configuration.discard_position(),
            StoreTopic::Directory => self.directory.discard_position(),
        }
    }

    /// Records that a snapshot of a topic, requested after all refusals, ends at `end`, before what they
    /// named.
    pub(crate) fn resume_at(&self, topic: StoreTopic, end: StorePosition) {
        match topic {
            StoreTopic::Configuration => self.configuration.resume_at(end),
            StoreTopic::Directory => self.directory.resume_at(end),
        }
    }

    /// Records that the store is in `era` or a later one.
    pub(crate) fn enter_era(&self, era: StoreEra) {
        self.configuration.enter_era(era);
        self.directory.enter_era(era);
    }

    /// The age of a topic's freshness proof.
    pub(crate) fn age(&self, topic: StoreTopic) -> Option<Duration> {
        let now = self.clock.now();
        match topic {
            StoreTopic::Configuration => self.configuration.age(now),
            StoreTopic::Directory => self.directory.age(now),
        }
    }

    /// The newest era, if this daemon can tell others what was known when it began.
    pub(crate) fn witnessed_era(&self) -> Option<StoreEra> {
        self.hold.lock().expect("lock not poisoned").witnessed_era(self.clock.now())
    }

    /// The time until a read of the store proves the state.
    pub(crate) fn hold_remaining(&self) -> Duration {
        self.hold.lock().expect("lock not poisoned").remaining(self.clock.now())
    }

    /// The newest era that the store has stated.
    pub(crate) fn newest_era(&self) -> Option<StoreEra> {
        self.hold.lock().expect("lock not poisoned").newest_era()
    }

    /// Triggers messages to the daemons that follow this one.
    pub(crate) fn notify_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Notified when records changed.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
