//! Keeps this daemon's copies of the store's topics current.
//!
//! Few daemons of an availability zone read the store; the others receive the records from them.
//! The load on the store thus grows with the number of groups, not of daemons.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use serde::Serialize;
use tokio::time::{sleep, timeout};

use super::decision_log::LineCategory;
use super::keyed_store::{StoreError, StoreTopic};
use super::sidecar_shared::SidecarShared;
use crate::clock::MilliTime;
use crate::policy::freshness::proven_at;
use crate::policy::read_backoff::ReadBackoff;
use crate::policy::read_schedule::{ReadSchedule, ReadStep, ReaderRank, first_read_delay};
use crate::policy::store_position::StorePosition;

/// Other daemons that a daemon with a stale proof asks at a time.
const STALE_ASK_COUNT: usize = 3;

/// Time after its first read of the directory in which a starting daemon reads the configuration.
const LISTED_MARGIN: Duration = Duration::from_millis(100);
/// Time between reads of the directory.
const DIRECTORY_READ_DELAY: Duration = Duration::from_millis(400);

#[derive(Serialize)]
struct UnreadableRecordsLine {
    topic: &'static str,
    records: usize,
}

/// Reads of one topic by this daemon.
struct TopicReader {
    shared: Arc<SidecarShared>,
    topic: StoreTopic,
    schedule: ReadSchedule,
    /// Since when no daemon that reads for this one was reachable.
    unled_since: MilliTime,
    backoff: ReadBackoff,
    /// No read before this time, after failed ones.
    retry_at: MilliTime,
}

/// Keeps the copy of `topic` current until the task is aborted.
pub(crate) async fn follow_topic(shared: Arc<SidecarShared>, topic: StoreTopic) {
    let schedule = match topic {
        StoreTopic::Configuration => ReadSchedule::configuration(shared.settings.config_bound),
        StoreTopic::Directory => ReadSchedule::DIRECTORY,
    };
    let now = shared.clock.now();
    let mut reader = TopicReader {
        shared,
        topic,
        schedule,
        unled_since: now,
        backoff: ReadBackoff::default(),
        retry_at: MilliTime(0),
    };
    match topic {
        StoreTopic::Directory => {
            reader.read_until_answered().await;
            reader.wait_until_listed(Duration::ZERO).await;
        }
        StoreTopic::Configuration => reader.wait_until_listed(LISTED_MARGIN).await,
    }
    reader.unled_since = reader.shared.clock.now();
    loop {
        reader.step().await;
    }
}

impl TopicReader {
    /// Reads the directory at the start: it holds this daemon's own record, which another daemon
    /// may not have yet, and the addresses of the others.
    async fn read_until_answered(&mut self) {
        while !self.read(Duration::ZERO).await {
            let changed = wait_for_change(&self.shared);
            // Another daemon may connect and send the directory.
            let _ = timeout(self.retry_at.until(self.shared.clock.now()), changed).await;
            if self.shared.was_directory_read() {
                return;
            }
        }
    }

    /// Waits until the directory lists this daemon and thus tells which one reads for it, but no
    /// longer than until it is this one's turn to read.
    async fn wait_until_listed(&self, margin: Duration) {
        let delay = first_read_delay(self.shared.own_key) + margin;
        let _ = timeout(delay, self.shared.wait_until_listed()).await;
    }

    async fn step(&mut self) {
        let now = self.shared.clock.now();
        let rank = self.shared.peers.reader_rank();
        if rank.has_reader {
            self.unled_since = now;
        }
        let age = self
            .shared
            .store_view
            .age(self.topic)
            .unwrap_or_else(|| now.since(self.shared.started));
        match self.schedule.next_step(age, rank, now.since(self.unled_since)) {
            ReadStep::Read { wait } if now >= self.retry_at => {
                // After a failure, a read that does not wait proves the state soonest.
                let wait = if self.backoff.is_failing() { Duration::ZERO } else { wait };
                self.read(wait).await;
                if self.topic == StoreTopic::Directory {
                    // Many daemons start or stop together: the delay lets one read cover them.
                    sleep(DIRECTORY_READ_DELAY).await;
                }
            }
            ReadStep::Read { .. } => {
                self.ask(rank, age >= self.schedule.stale_age);
                let remaining = self.retry_at.until(now);
                sleep(remaining.min(self.schedule.ask_interval)).await;
            }
            ReadStep::Ask { is_stale, pause } => {
                self.ask(rank, is_stale);
                sleep(pause).await;
            }
        }
    }

    /// Asks the daemon that reads for this one, which answers for both topics, and others if the
    /// proof is stale.
    fn ask(&self, rank: ReaderRank, is_stale: bool) {
        let asks_reader = rank.has_reader && self.topic == StoreTopic::Configuration;
        let reader = asks_reader.then(|| self.shared.peers.reader()).flatten();
        if let Some(link) = reader.and_then(|peer| peer.link()) {
            link.ask_records(&self.shared);
        }
        if is_stale {
            let peers = self.shared.peers.connected();
            for peer in peers.choose_multiple(&mut rand::rng(), STALE_ASK_COUNT) {
                if let Some(link) = peer.link() {
                    link.ask_records(&self.shared);
                }
            }
        }
    }

    /// Reads the changes since the known position, or a snapshot without one; whether the store
    /// answered.
    async fn read(&mut self, wait: Duration) -> bool {
        let requested = self.shared.clock.now();
        let view = &self.shared.store_view;
        let from = view.read_position(self.topic);
        let wait = match self.topic {
            // A read that proves nothing yet waits for what is to be written again.
            StoreTopic::Configuration => wait.max(view.hold_remaining()),
            StoreTopic::Directory => wait,
        };
        let store = &self.shared.store;
        let read = match from {
            Some(cursor) => store.changes(self.topic, cursor, wait).await,
            None => store.snapshot(self.topic).await,
        };
        match read {
            Ok(read) if view.newest_era().is_some_and(|newest| read.cursor.era < newest) => {
                self.record_failure(&StoreError::Outdated { era: read.cursor.era });
                false
            }
            Ok(read) => {
                self.report_unreadable(read.unreadable);
                let end = read.cursor;
                let proven = proven_at(requested, from == Some(end), wait);
                let proven = (!read.is_partial).then_some(proven);
                let reads_on = read.is_partial && from < Some(end);
                let is_proof = self.shared.merge_read(self.topic, from, read, proven);
                self.shared.store_answered(self.topic.name());
                if from.is_none() {
                    self.end_snapshot(end, is_proof);
                }
                match (is_proof, from) {
                    (true, Some(_)) => self.backoff.record_changes(),
                    (true, None) => self.backoff.record_snapshot(),
                    // The rest is read at once.
                    (false, _) if reads_on => {}
                    (false, _) => self.retry_later(),
                }
                true
            }
            Err(error) => {
                self.record_failure(&error);
                false
            }
        }
    }

    /// Records a snapshot up to `end`, which was requested after all refusals.
    fn end_snapshot(&self, end: StorePosition, is_proof: bool) {
        let view = &self.shared.store_view;
        if view.read_position(self.topic).is_none() {
            view.resume_at(self.topic, end);
        }
        self.shared.log_snapshot_read(self.topic, end, is_proof);
    }

    fn report_unreadable(&self, records: usize) {
        if records > 0 {
            let line = UnreadableRecordsLine { topic: self.topic.name(), records };
            self.shared.log.write(LineCategory::Failure, "records-unreadable", &line);
        }
    }

    fn retry_later(&mut self) {
        let rank = self.shared.peers.reader_rank();
        let delay = self.backoff.record_failure(rank, rand::random::<f64>());
        self.retry_at = self.shared.clock.now() + delay;
    }

    fn record_failure(&mut self, error: &StoreError) {
        let view = &self.shared.store_view;
        let position = view.read_position(self.topic);
        match error {
            StoreError::Expired { first } => view.refuse_before(self.topic, *first),
            StoreError::UnknownPosition => view.discard_position(self.topic),
            StoreError::Restored { era } => view.enter_era(*era),
            _ => {}
        }
        if matches!(error, StoreError::Expired { .. } | StoreError::UnknownPosition) {
            self.shared.log_position_refused(self.topic, position, error);
        }
        let needs_snapshot = position.is_some() && view.read_position(self.topic).is_none();
        if needs_snapshot {
            let rank = self.shared.peers.reader_rank();
            let delay = self.backoff.record_refusal(rank, rand::random::<f64>());
            self.retry_at = self.shared.clock.now() + delay;
        } else {
            self.retry_later();
        }
        // The snapshot that follows tells of the era.
        if !matches!(error, StoreError::Restored { .. }) {
            self.shared.store_failed(self.topic.name(), error);
        }
    }
}

async fn wait_for_change(shared: &SidecarShared) {
    // The sender lives as long as `shared`.
    let _ = shared.store_view.subscribe().changed().await;
}
