//! Which availability zones are evacuated, whatever the order in which a daemon learned it.
//!
//! Handles operators who take a zone out of use while the store is unreachable, drops records or
//! comes back from a copy, and daemons that tell each other what they have read. The state of the
//! topic at the highest position counts, so that a late report brings no evacuation back and undoes
//! none. A read that does not prove the state, such as one of a store that has just come back from a
//! copy, ends no evacuation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::store_position::{StoreEra, StorePosition};
use super::topic_position::TopicPosition;

/// Names of availability zones.
pub type ZoneSet = BTreeSet<Arc<str>>;

/// A record of the operators' topic that begins or ends an evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneRecord {
    /// The availability zone.
    pub zone: Arc<str>,
    /// Whether the record was written; otherwise it was removed.
    pub is_evacuated: bool,
    /// Its position in the topic.
    pub position: StorePosition,
}

/// A read of the store.
#[derive(Clone, Debug)]
pub struct EvacuationRead {
    /// The position from which on it holds the changes; `None` for a snapshot.
    pub from: Option<StorePosition>,
    /// The position up to which it is complete.
    pub position: StorePosition,
    /// The records on evacuations among those read, in write order.
    pub records: Vec<ZoneRecord>,
    /// Whether it proves the state of the topic.
    pub is_proof: bool,
}

/// What another daemon knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationClaim {
    /// The position up to which it knows the topic; `None` before it knows any.
    pub position: Option<StorePosition>,
    /// The zones whose evacuation the topic requests up to there.
    pub requested: ZoneSet,
    /// Zones from before the store's last return or refusal, whose end is not proven.
    pub carried: ZoneSet,
    /// Whether the state at the position was proven.
    pub is_settled: bool,
}

/// The evacuated zones, and up to where the topic is known.
#[derive(Clone, Debug, Default)]
pub struct EvacuationState {
    position: TopicPosition,
    /// The era of the topic that `requested` describes.
    era: Option<StoreEra>,
    requested: ZoneSet,
    carried: ZoneSet,
    is_settled: bool,
}

impl EvacuationState {
    /// The zones that are evacuated.
    ///
    /// ```
    /// use lentilway::policy::store_position::{StoreEra, StorePosition};
    /// use lentilway::policy::zone_evacuation::{EvacuationRead, EvacuationState, ZoneRecord};
    /// let at = |offset| StorePosition { era: StoreEra(0), offset };
    /// let record = ZoneRecord { zone: "north".into(), is_evacuated: true, position: at(3) };
    /// let mut state = EvacuationState::default();
    /// state.merge_read(EvacuationRead {
    ///     from: None, position: at(4), records: vec![record], is_proof: true,
    /// });
    /// assert!(state.evacuated().contains("north"));
    /// // A later snapshot that lacks the key.
    /// state.merge_read(EvacuationRead {
    ///     from: None, position: at(6), records: Vec::new(), is_proof: true,
    /// });
    /// assert!(state.evacuated().is_empty());
    /// ```
    pub fn evacuated(&self) -> ZoneSet {
        self.requested.union(&self.carried).cloned().collect()
    }

    /// The position from which the store is read on; `None` if only a snapshot leads on.
    pub fn read_position(&self) -> Option<StorePosition> {
        self.position.read_position()
    }

    /// Records that the store is in `era` or a later one. What is known stays in force until the
    /// topic of that era is known.
    pub fn enter_era(&mut self, era: StoreEra) {
        self.position.enter_era(era);
    }

    /// Records that the store no longer has the records before `first`.
    pub fn refuse_before(&mut self, first: StorePosition) {
        self.position.refuse_before(first);
    }

    /// Records that the store does not know the position.
    pub fn discard_position(&mut self) {
        self.position.discard();
    }

    /// Records that a snapshot requested after all refusals ends at `end`, before what they named.
    pub fn resume_at(&mut self, end: StorePosition) {
        self.position.resume_at(end);
    }

    /// Merges a read of the store. One that leaves a gap or is older than what is known is ignored.
    pub fn merge_read(&mut self, read: EvacuationRead) {
        self.enter_era(read.position.era);
        let reached = self.position.reached();
        let is_continuous = match read.from {
            Some(from) => {
                reached.is_some_and(|known| known.covers(from) && read.position.covers(known))
            }
            None => true,
        };
        if !is_continuous {
            return;
        }
        let is_proof = read.is_proof && !self.position.is_behind(read.position);
        let is_newer = self.position.reach_by_read(read.position);
        match read.from {
            None if is_newer => self.replace(&read.records, read.position.era),
            Some(_) if is_newer => self.update(&read.records, reached),
            _ => {}
        }
        let is_current = self.position.reached() == Some(read.position);
        if is_proof && is_current {
            self.settle();
        }
    }

    /// Merges what another daemon knows.
    pub fn merge_claim(&mut self, claim: &EvacuationClaim) {
        let Some(position) = claim.position else {
            return;
        };
        self.enter_era(position.era);
        let reached = self.position.reached();
        if self.position.reach_by_report(position) {
            let keeps_settled = self.is_settled && self.era == Some(position.era);
            if !keeps_settled {
                self.is_settled = false;
                self.carry_requested();
                self.carried.extend(claim.carried.iter().cloned());
            }
            self.requested = claim.requested.clone();
            self.era = Some(position.era);
            if claim.is_settled {
                self.settle();
            }
            return;
        }
        if self.is_settled || self.era.is_none() {
            return;
        }
        let is_same = reached == Some(position) && self.era == Some(position.era);
        let is_earlier = self.era.is_some_and(|era| era > position.era);
        match claim.is_settled {
            true if is_same => self.settle(),
            true if is_earlier => self.carried.extend(claim.requested.iter().cloned()),
            true => {}
            false => {
                if is_earlier {
                    self.carried.extend(claim.requested.iter().cloned());
                }
                self.carried.extend(claim.carried.iter().cloned());
            }
        }
    }

    /// What another daemon is told.
    pub fn claim(&self) -> EvacuationClaim {
        // Positions that the store has refused are told too: the contents are complete up to them.
        EvacuationClaim {
            position: self.position.reached(),
            requested: self.requested.clone(),
            carried: self.carried.clone(),
            is_settled: self.is_settled,
        }
    }

    /// Replaces the contents by those of a snapshot. Whether what it lacks has ended is not proven.
    fn replace(&mut self, records: &[ZoneRecord], era: StoreEra) {
        self.carry_requested();
        self.is_settled = false;
        self.era = Some(era);
        self.requested = requested_by(records);
    }

    /// Applies the changes from `reached` on. A later record also counts against what is carried.
    fn update(&mut self, records: &[ZoneRecord], reached: Option<StorePosition>) {
        for record in records.iter().filter(|record| Some(record.position) >= reached) {
            self.carried.remove(&record.zone);
            if record.is_evacuated {
                self.requested.insert(record.zone.clone());
            } else {
                self.requested.remove(&record.zone);
            }
        }
    }

    fn carry_requested(&mut self) {
        self.carried.append(&mut self.requested);
    }

    fn settle(&mut self) {
        self.carried.clear();
        self.is_settled = true;
    }
}

/// The zones whose last record requests an evacuation.
fn requested_by(records: &[ZoneRecord]) -> ZoneSet {
    let last: BTreeMap<&Arc<str>, bool> =
        records.iter().map(|record| (&record.zone, record.is_evacuated)).collect();
    let requested = last.into_iter().filter(|(_, is_evacuated)| *is_evacuated);
    requested.map(|(zone, _)| zone.clone()).collect()
}
