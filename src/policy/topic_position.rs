//! Up to where a copy of a topic of the store is complete, and from where it can be read on.
//!
//! Handles a store that drops records or comes back from a copy while daemons tell each other what
//! they have read: no report of another daemon brings back a position that the store has refused.
//!
//! Also handles a store whose answers contradict each other, such as a snapshot that ends before the
//! first offset that a refusal has named: it proves nothing, and the next read tells which one counts.

use super::store_position::{StoreEra, StorePosition};

/// The position of a copy. It only goes forward, in whatever order reads and reports arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TopicPosition {
    reached: Option<StorePosition>,
    /// The store can be read on from here or later. Only its answers move this within an era.
    readable_from: StorePosition,
    /// The store did not know the position, so that only a read of it counts.
    needs_read: bool,
    /// A position of this era that the store did not know, until a read of the store reaches it.
    unknown_from: Option<StorePosition>,
}

impl TopicPosition {
    /// The position of the newest era up to which the copy is complete, dropped or not.
    pub fn reached(&self) -> Option<StorePosition> {
        self.reached.filter(|reached| reached.era == self.era())
    }

    /// The position from which the store is read on; `None` if only a snapshot leads on.
    ///
    /// ```
    /// use lentilway::policy::store_position::{StoreEra, StorePosition};
    /// use lentilway::policy::topic_position::TopicPosition;
    /// let at = |offset| StorePosition { era: StoreEra(1), offset };
    /// let mut position = TopicPosition::default();
    /// position.reach_by_read(at(4));
    /// position.refuse_before(at(6));
    /// assert_eq!(position.read_position(), None);
    /// // Another daemon has not learned yet that the records were dropped.
    /// position.reach_by_report(at(5));
    /// assert_eq!(position.read_position(), None);
    /// position.reach_by_report(at(6));
    /// assert_eq!(position.read_position(), Some(at(6)));
    /// ```
    pub fn read_position(&self) -> Option<StorePosition> {
        self.reached.filter(|reached| *reached >= self.readable_from)
    }

    /// The newest era that is known of.
    pub fn era(&self) -> StoreEra {
        self.readable_from.era
    }

    /// Records that the store is in `era` or a later one, which voids positions of earlier ones.
    pub fn enter_era(&mut self, era: StoreEra) {
        self.refuse_before(StorePosition { era, offset: 0 });
    }

    /// Records that the store no longer has the records before `first`.
    pub fn refuse_before(&mut self, first: StorePosition) {
        if first.era > self.era() {
            self.needs_read = false;
            self.unknown_from = None;
        }
        self.readable_from = self.readable_from.max(first);
    }

    /// Records that the store does not know the position: it was never one of this topic's.
    pub fn discard(&mut self) {
        if let Some(position) = self.reached() {
            let known = self.unknown_from.filter(|known| *known < position);
            self.unknown_from = known.or(Some(position));
        }
        self.reached = None;
        self.readable_from.offset = 0;
        self.needs_read = true;
    }

    /// Whether a read that ends at `position` contradicts what the store has said before: it may be
    /// older than that.
    ///
    /// ```
    /// use lentilway::policy::store_position::{StoreEra, StorePosition};
    /// use lentilway::policy::topic_position::TopicPosition;
    /// let at = |offset| StorePosition { era: StoreEra(1), offset };
    /// let mut position = TopicPosition::default();
    /// position.reach_by_read(at(4));
    /// position.refuse_before(at(6));
    /// assert!(position.is_behind(at(5)));
    /// assert!(!position.is_behind(at(6)));
    /// ```
    pub fn is_behind(&self, position: StorePosition) -> bool {
        let unknown = self.unknown_from.filter(|_| self.needs_read);
        position < self.readable_from || unknown.is_some_and(|unknown| position < unknown)
    }

    /// Records that a snapshot requested after all refusals ends at `end`, before the first offset that
    /// they named. One of the answers is wrong: the next read of changes is tried again.
    ///
    /// ```
    /// use lentilway::policy::store_position::{StoreEra, StorePosition};
    /// use lentilway::policy::topic_position::TopicPosition;
    /// let at = |offset| StorePosition { era: StoreEra(1), offset };
    /// let mut position = TopicPosition::default();
    /// position.reach_by_read(at(4));
    /// position.refuse_before(at(900));
    /// position.reach_by_read(at(5));
    /// assert_eq!(position.read_position(), None);
    /// position.resume_at(at(5));
    /// assert_eq!(position.read_position(), Some(at(5)));
    /// ```
    pub fn resume_at(&mut self, end: StorePosition) {
        if end.era == self.era() {
            self.readable_from = self.readable_from.min(end);
        }
    }

    /// Records a read of the store that is complete up to `position`; whether the copy advances.
    pub fn reach_by_read(&mut self, position: StorePosition) -> bool {
        if position.era == self.era() {
            self.needs_read = false;
            self.unknown_from = self.unknown_from.filter(|unknown| position < *unknown);
        }
        self.reach(position)
    }

    /// Records that another daemon's copy, which was taken over, is complete up to `position`; whether
    /// this one advances.
    pub fn reach_by_report(&mut self, position: StorePosition) -> bool {
        let is_unknown = self.unknown_from.is_some_and(|unknown| position >= unknown);
        let is_suspect = position.era == self.era() && (self.needs_read || is_unknown);
        !is_suspect && self.reach(position)
    }

    fn reach(&mut self, position: StorePosition) -> bool {
        let advances = position.era >= self.era() && self.reached < Some(position);
        if advances {
            self.enter_era(position.era);
            self.reached = Some(position);
        }
        advances
    }
}
