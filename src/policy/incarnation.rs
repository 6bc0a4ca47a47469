//! Orders the announcements of a backend server.
//!
//! Handles announcements that arrive late or twice: from a dead incarnation after a new one started
//! at the same address, or from before a leave, also if the leave is the first thing that a new
//! process hears of the server.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::{ClockReading, MilliTime};

/// How long a leave of an unknown start holds: longer than announcements may be delayed. It bounds
/// the time in which a server with a wrong clock is not used.
const IDENTITY_LEAVE_SPAN: Duration = Duration::from_secs(60);

/// One start of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendIncarnation {
    /// The identity that it announces; it may stay the same over a restart.
    pub id: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch by its own clock.
    pub born: u64,
}

/// A leave from which the start of the server is not known. It covers all starts under this identity
/// up to a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdentityLeave {
    /// The identity that left.
    pub id: Arc<str>,
    /// When the leave arrived, in milliseconds since the Unix epoch by the clock of the machine, which
    /// the server shares.
    pub until: u64,
}

/// The leaves at one machine, in the form in which they outlast a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaveRecord {
    /// The newest incarnation that left.
    #[serde(rename = "left")]
    pub incarnation: Option<BackendIncarnation>,
    /// The newest leave of an unknown start.
    #[serde(rename = "left_identity")]
    pub identity: Option<IdentityLeave>,
}

impl LeaveRecord {
    /// The record of an incarnation that left.
    pub fn of(incarnation: BackendIncarnation) -> Self {
        LeaveRecord { incarnation: Some(incarnation), identity: None }
    }

    /// Whether there is no leave.
    pub fn is_empty(&self) -> bool {
        self.incarnation.is_none() && self.identity.is_none()
    }

    /// Takes over the leaves of `other` that are newer; returns whether there are any.
    ///
    /// ```
    /// use lentilway::policy::incarnation::{BackendIncarnation, LeaveRecord};
    /// let leave = |born| LeaveRecord::of(BackendIncarnation { id: "a".into(), born });
    /// let mut record = leave(10);
    /// assert!(!record.merge(&leave(9)));
    /// assert!(record.merge(&leave(11)));
    /// assert_eq!(record, leave(11));
    /// ```
    pub fn merge(&mut self, other: &LeaveRecord) -> bool {
        self.merge_if(other, |born, known| born > known)
    }

    /// Takes over the leaves of a later report. Of starts with the same time, such as servers that
    /// state none, the reported one is the newer; returns whether anything changed.
    ///
    /// ```
    /// use lentilway::policy::incarnation::{BackendIncarnation, LeaveRecord};
    /// let leave = |id: &str| LeaveRecord::of(BackendIncarnation { id: id.into(), born: 0 });
    /// let mut record = leave("a");
    /// assert!(!record.merge(&leave("b")));
    /// assert!(record.update(&leave("b")));
    /// assert_eq!(record, leave("b"));
    /// ```
    pub fn update(&mut self, later: &LeaveRecord) -> bool {
        self.merge_if(later, |born, known| born >= known)
    }

    fn merge_if(
        &mut self,
        other: &LeaveRecord,
        is_newer: impl Fn(Option<u64>, Option<u64>) -> bool,
    ) -> bool {
        let before = self.clone();
        let born = |leaves: &LeaveRecord| leaves.incarnation.as_ref().map(|left| left.born);
        let until = |leaves: &LeaveRecord| leaves.identity.as_ref().map(|leave| leave.until);
        if other.incarnation.is_some() && is_newer(born(other), born(self)) {
            self.incarnation = other.incarnation.clone();
        }
        if other.identity.is_some() && is_newer(until(other), until(self)) {
            self.identity = other.identity.clone();
        }
        *self != before
    }
}

/// Decision on an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementDecision {
    /// It is the newest one of the current incarnation.
    Update,
    /// It comes from a new incarnation.
    Replace,
    /// It is older than the current one, or its incarnation left.
    Stale,
}

/// The newest announcement and the latest leaves.
#[derive(Clone, Debug, Default)]
pub struct IncarnationTracker {
    current: Option<(BackendIncarnation, u64)>,
    leaves: LeaveRecord,
    /// When this process learned of the leave of an unknown start.
    identity_noted: ClockReading,
}

impl IncarnationTracker {
    /// Classifies the announcement with this number and records it unless it is stale.
    ///
    /// ```
    /// use lentilway::clock::ClockReading;
    /// use lentilway::policy::incarnation::{
    ///     AnnouncementDecision, BackendIncarnation, IncarnationTracker,
    /// };
    /// let now = ClockReading::default();
    /// let one = BackendIncarnation { id: "a".into(), born: 10 };
    /// let mut tracker = IncarnationTracker::default();
    /// assert_eq!(tracker.announce(now, &one, 1), AnnouncementDecision::Replace);
    /// assert_eq!(tracker.announce(now, &one, 2), AnnouncementDecision::Update);
    /// assert_eq!(tracker.announce(now, &one, 1), AnnouncementDecision::Stale);
    /// ```
    pub fn announce(
        &mut self,
        now: ClockReading,
        from: &BackendIncarnation,
        number: u64,
    ) -> AnnouncementDecision {
        if self.has_left(from) || self.covers_identity(now, from) {
            return AnnouncementDecision::Stale;
        }
        let decision = match &self.current {
            Some((current, _)) if current.born > from.born => AnnouncementDecision::Stale,
            Some((current, last)) if current == from && *last >= number => {
                AnnouncementDecision::Stale
            }
            Some((current, _)) if current == from => AnnouncementDecision::Update,
            _ => AnnouncementDecision::Replace,
        };
        if decision != AnnouncementDecision::Stale {
            self.current = Some((from.clone(), number));
        }
        decision
    }

    /// The leave that a server with this identity states: of the current incarnation if that is the
    /// server, otherwise of all starts under the identity until now.
    ///
    /// ```
    /// use lentilway::clock::{ClockReading, MilliTime};
    /// use lentilway::policy::incarnation::{
    ///     AnnouncementDecision, BackendIncarnation, IncarnationTracker,
    /// };
    /// let now = ClockReading { wall: MilliTime(50), steady: MilliTime(0) };
    /// let mut tracker = IncarnationTracker::default();
    /// let leave = tracker.leave_of(now, "a");
    /// tracker.record_leaves(now, &leave);
    /// let late = BackendIncarnation { id: "a".into(), born: 10 };
    /// assert_eq!(tracker.announce(now, &late, 7), AnnouncementDecision::Stale);
    /// ```
    pub fn leave_of(&self, now: ClockReading, id: &str) -> LeaveRecord {
        match &self.current {
            Some((current, _)) if &*current.id == id => LeaveRecord::of(current.clone()),
            _ => {
                let identity = IdentityLeave { id: id.into(), until: now.wall.0 };
                LeaveRecord { incarnation: None, identity: Some(identity) }
            }
        }
    }

    /// Records leaves, unless newer ones are known; returns whether any was recorded.
    pub fn record_leaves(&mut self, now: ClockReading, leaves: &LeaveRecord) -> bool {
        let identity = self.leaves.identity.clone();
        let left = leaves.incarnation.as_ref();
        let is_new = match left.is_some_and(|left| self.is_current(left)) {
            true => self.leaves.update(leaves),
            false => self.leaves.merge(leaves),
        };
        if self.leaves.identity != identity {
            self.identity_noted = now;
        }
        is_new
    }

    /// The recorded leaves.
    pub fn leaves(&self) -> &LeaveRecord {
        &self.leaves
    }

    /// The incarnation that sent the newest announcement.
    pub fn current(&self) -> Option<&BackendIncarnation> {
        self.current.as_ref().map(|(current, _)| current)
    }

    /// Whether this incarnation sent the newest announcement.
    pub fn is_current(&self, incarnation: &BackendIncarnation) -> bool {
        self.current() == Some(incarnation)
    }

    /// Whether the current incarnation has left.
    pub fn has_current_left(&self, now: ClockReading) -> bool {
        self.current()
            .is_some_and(|current| self.has_left(current) || self.covers_identity(now, current))
    }

    /// Whether this incarnation or a later one has left.
    pub fn has_left(&self, incarnation: &BackendIncarnation) -> bool {
        self.leaves.incarnation.as_ref().is_some_and(|left| {
            left.born > incarnation.born
                || (left.id == incarnation.id && left.born == incarnation.born)
        })
    }

    /// Whether the leave of an unknown start covers the incarnation. A start after the time of day was
    /// set back is dated too early by that much.
    fn covers_identity(&self, now: ClockReading, incarnation: &BackendIncarnation) -> bool {
        let noted = self.identity_noted;
        let is_recent = now.steady.since(noted.steady) <= IDENTITY_LEAVE_SPAN;
        self.leaves.identity.as_ref().is_some_and(|leave| {
            let until = MilliTime(leave.until).before(noted.set_back_until(now));
            is_recent && leave.id == incarnation.id && incarnation.born <= until.0
        })
    }
}
