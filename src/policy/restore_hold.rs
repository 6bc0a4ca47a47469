//! From when on a read of the store proves that nothing newer was acknowledged.
//!
//! Handles a store that comes back from a copy of itself while daemons start or regain it: until
//! writers have written again what the copy lacks, its newest record may be older than one that was
//! acknowledged, such as the withdrawal of a key.

use std::time::Duration;

use super::store_position::StoreEra;
use crate::clock::MilliTime;

/// Time in which writers write again what a copy lacks.
pub const REWRITE_TIME: Duration = Duration::from_millis(500);

/// What is known about an era besides the time of the reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraEvidence {
    /// Another daemon has recorded what it knew when the era began, or nothing was ever recorded.
    pub is_confirmed: bool,
    /// The read returned a record that was written in this era.
    pub has_rewrite: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum HoldState {
    #[default]
    Unseen,
    Held {
        era: StoreEra,
        until: MilliTime,
        /// Whether an earlier era was trusted.
        is_witness: bool,
    },
    Trusted(StoreEra),
}

/// Decides which reads of the store prove its state.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestoreHold {
    state: HoldState,
}

impl RestoreHold {
    /// Records a read that would prove the state as of `proven`; whether it does.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::restore_hold::{EraEvidence, REWRITE_TIME, RestoreHold};
    /// use lentilway::policy::store_position::StoreEra;
    /// let start = MilliTime(1_000);
    /// let mut hold = RestoreHold::default();
    /// assert!(!hold.observe(start, StoreEra(2), EraEvidence::default()));
    /// assert!(hold.observe(start + REWRITE_TIME, StoreEra(2), EraEvidence::default()));
    /// // An answer from before the store came back.
    /// assert!(!hold.observe(start + REWRITE_TIME, StoreEra(1), EraEvidence::default()));
    /// ```
    pub fn observe(&mut self, proven: MilliTime, era: StoreEra, evidence: EraEvidence) -> bool {
        let until = match self.state {
            HoldState::Trusted(known) | HoldState::Held { era: known, .. } if era < known => {
                return false;
            }
            HoldState::Trusted(known) if era == known => return true,
            HoldState::Held { era: known, until, .. } if era == known => until,
            _ => proven + REWRITE_TIME,
        };
        let is_trusted = evidence.is_confirmed || evidence.has_rewrite || proven >= until;
        let is_witness = match self.state {
            HoldState::Unseen => false,
            HoldState::Held { is_witness, .. } => is_witness,
            HoldState::Trusted(_) => true,
        };
        self.state = match is_trusted {
            true => HoldState::Trusted(era),
            false => HoldState::Held { era, until, is_witness },
        };
        is_trusted
    }

    /// The newest era, if what this daemon knows is as new as what others knew when it began.
    pub fn witnessed_era(&self, now: MilliTime) -> Option<StoreEra> {
        match self.state {
            HoldState::Trusted(era) => Some(era),
            HoldState::Held { era, until, is_witness } => {
                (is_witness || now >= until).then_some(era)
            }
            HoldState::Unseen => None,
        }
    }

    /// The newest era that was read.
    pub fn newest_era(&self) -> Option<StoreEra> {
        match self.state {
            HoldState::Trusted(era) | HoldState::Held { era, .. } => Some(era),
            HoldState::Unseen => None,
        }
    }

    /// The time until a read proves the state without further evidence.
    pub fn remaining(&self, now: MilliTime) -> Duration {
        match self.state {
            HoldState::Held { until, .. } => until.until(now),
            HoldState::Trusted(_) | HoldState::Unseen => Duration::ZERO,
        }
    }
}
