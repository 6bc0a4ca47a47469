//! Positions in the platform's store.
//!
//! Handles a store that comes back from a copy of itself: records that it had acknowledged are
//! gone and positions are assigned again, so that a position says something only within its era.

use serde::{Deserialize, Serialize};

/// How often the store came back from a copy of itself.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// A position in a topic. Positions of a later era are later, whatever their offsets.
///
/// ```
/// use lentilway::policy::store_position::{StoreEra, StorePosition};
/// let before = StorePosition { era: StoreEra(1), offset: 90 };
/// let after = StorePosition { era: StoreEra(2), offset: 40 };
/// assert!(after > before);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// The era in which the offset was assigned.
    pub era: StoreEra,
    /// The offset in the topic.
    pub offset: u64,
}

impl StorePosition {
    /// Whether whoever has read up to this position has also read everything up to `other`.
    ///
    /// ```
    /// use lentilway::policy::store_position::{StoreEra, StorePosition};
    /// let position = |era, offset| StorePosition { era: StoreEra(era), offset };
    /// assert!(position(1, 5).covers(position(1, 4)));
    /// // What stood there before the store came back may be missing now.
    /// assert!(!position(2, 5).covers(position(1, 4)));
    /// ```
    pub fn covers(self, other: StorePosition) -> bool {
        self.era == other.era && self.offset >= other.offset
    }
}
