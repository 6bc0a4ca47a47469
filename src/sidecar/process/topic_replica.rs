//! A copy of a keyed topic of the store, kept current with records from the store or other daemons.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::keyed_store::{StoreRead, StoreRecord};
use crate::policy::store_position::{StoreEra, StorePosition};
use crate::policy::topic_position::TopicPosition;

/// Removed keys that are remembered, so that other daemons can be told of the removal.
const REMOVED_KEYS_MAX: usize = 1_024;

/// Records of a topic, for a daemon that holds the ones before `from`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicUpdate {
    /// The position from which on the update is complete; `None` if it holds all keys.
    pub from: Option<StorePosition>,
    /// The newest record of each key that changed, in the order of their positions.
    pub records: Vec<StoreRecord>,
    /// The position up to which it is complete.
    pub cursor: StorePosition,
}

/// What an update changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopicChange {
    /// Whether the records replace all others.
    pub is_snapshot: bool,
    /// The changed records, in the order of their positions.
    pub records: Vec<StoreRecord>,
    /// The era of the records.
    pub era: StoreEra,
}

/// The newest record of each key, and the position up to which the topic is known.
#[derive(Clone, Debug, Default)]
pub struct TopicReplica {
    records: BTreeMap<String, StoreRecord>,
    position: TopicPosition,
    /// Removals before this position may be unknown.
    removals_from: StorePosition,
    removed: usize,
}

impl TopicReplica {
    /// The position up to which the topic is known; `None` before the first read.
    pub fn cursor(&self) -> Option<StorePosition> {
        self.position.reached()
    }

    /// The position from which the store is read on; `None` if only a snapshot leads on.
    pub fn read_position(&self) -> Option<StorePosition> {
        self.position.read_position()
    }

    /// The changes since `cursor`, or all records if that position is unknown here or of an earlier
    /// era; `None` if this replica is not ahead of it.
    pub fn update_since(&self, cursor: Option<StorePosition>) -> Option<TopicUpdate> {
        let end = self.cursor()?;
        match cursor {
            Some(known) if known >= end => None,
            Some(known) if known.covers(self.removals_from) => Some(TopicUpdate {
                from: Some(known),
                records: self.sorted(|record| record.position >= known),
                cursor: end,
            }),
            _ => Some(TopicUpdate {
                from: None,
                records: self.sorted(|record| record.value.is_some()),
                cursor: end,
            }),
        }
    }

    /// Applies an update from another daemon and returns what changed. An update that is not newer,
    /// or that leaves a gap, is ignored. Only a snapshot leads to another era.
    ///
    /// ```
    /// use lentilway::policy::store_position::{StoreEra, StorePosition};
    /// use lentilway::sidecar::process::topic_replica::{TopicReplica, TopicUpdate};
    /// let position = |offset| StorePosition { era: StoreEra(1), offset };
    /// let mut replica = TopicReplica::default();
    /// let snapshot = TopicUpdate { from: None, records: Vec::new(), cursor: position(7) };
    /// assert!(replica.apply_update(snapshot.clone()).is_some());
    /// assert!(replica.apply_update(snapshot).is_none());
    /// let with_gap =
    ///     TopicUpdate { from: Some(position(8)), records: Vec::new(), cursor: position(9) };
    /// assert!(replica.apply_update(with_gap).is_none());
    /// assert_eq!(replica.cursor(), Some(position(7)));
    /// ```
    pub fn apply_update(&mut self, update: TopicUpdate) -> Option<TopicChange> {
        let is_accepted = self.continues(&update) && self.position.reach_by_report(update.cursor);
        is_accepted.then(|| self.take(update))
    }

    /// Applies a read of the store from position `from`, or of a snapshot, and returns what changed.
    pub fn apply_read(
        &mut self,
        from: Option<StorePosition>,
        read: StoreRead,
    ) -> Option<TopicChange> {
        let update = TopicUpdate { from, records: read.records, cursor: read.cursor };
        let is_accepted = self.continues(&update) && self.position.reach_by_read(update.cursor);
        is_accepted.then(|| self.take(update))
    }

    /// Records that the store no longer has the records before `first`. What is known is kept.
    pub fn refuse_before(&mut self, first: StorePosition) {
        self.position.refuse_before(first);
    }

    /// Records that the store does not know the position. Only a read of the store leads on.
    pub fn discard_position(&mut self) {
        self.position.discard();
    }

    /// Records that a snapshot requested after all refusals ends at `end`, before what they named. What
    /// is known is kept.
    pub fn resume_at(&mut self, end: StorePosition) {
        self.position.resume_at(end);
    }

    /// Whether a read that ends at `position` contradicts what the store has said before.
    pub fn is_behind(&self, position: StorePosition) -> bool {
        self.position.is_behind(position)
    }

    /// Records that the store is in `era` or a later one; updates of earlier ones are ignored from
    /// now on.
    pub fn enter_era(&mut self, era: StoreEra) {
        self.position.enter_era(era);
    }

    /// Whether an update leaves no gap after what is known. Only a snapshot leads to another era.
    fn continues(&self, update: &TopicUpdate) -> bool {
        let Some(from) = update.from else {
            return true;
        };
        self.cursor().is_some_and(|known| known.covers(from) && update.cursor.covers(known))
    }

    fn take(&mut self, update: TopicUpdate) -> TopicChange {
        let TopicUpdate { from, records, cursor } = update;
        let is_snapshot = from.is_none();
        if is_snapshot {
            self.clear(cursor);
        }
        TopicChange { is_snapshot, records: self.insert(records), era: cursor.era }
    }

    fn clear(&mut self, cursor: StorePosition) {
        self.records.clear();
        self.removed = 0;
        self.removals_from = cursor;
    }

    /// Inserts the records that are newer than the known ones and returns them.
    fn insert(&mut self, records: Vec<StoreRecord>) -> Vec<StoreRecord> {
        let mut inserted = Vec::with_capacity(records.len());
        for record in records {
            let known = self.records.get(&record.key);
            if known.is_some_and(|known| known.position >= record.position) {
                continue;
            }
            let was_removed = known.is_some_and(|known| known.value.is_none());
            self.removed -= usize::from(was_removed);
            self.removed += usize::from(record.value.is_none());
            self.records.insert(record.key.clone(), record.clone());
            inserted.push(record);
        }
        while self.removed > REMOVED_KEYS_MAX {
            self.forget_oldest_removal();
        }
        inserted
    }

    fn forget_oldest_removal(&mut self) {
        let removals = self.records.values().filter(|record| record.value.is_none());
        let Some(oldest) = removals.min_by_key(|record| record.position) else {
            return;
        };
        let (key, position) = (oldest.key.clone(), oldest.position);
        self.records.remove(&key);
        self.removed -= 1;
        let after = StorePosition { offset: position.offset + 1, ..position };
        self.removals_from = self.removals_from.max(after);
    }

    fn sorted(&self, is_wanted: impl Fn(&StoreRecord) -> bool) -> Vec<StoreRecord> {
        let wanted = self.records.values().filter(|record| is_wanted(record));
        let mut records: Vec<StoreRecord> = wanted.cloned().collect();
        records.sort_by_key(|record| record.position);
        records
    }
}
