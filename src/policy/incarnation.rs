//! Orders the announcements of a backend server.
//!
//! Handles announcements that arrive late or twice: from a dead incarnation after a new one started
//! at the same address, or from before a leave.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One start of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendIncarnation {
    /// The identity that it announces; it may stay the same over a restart.
    pub id: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch by its own clock.
    pub born: u64,
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

/// The newest announcement and the latest incarnation that left.
#[derive(Clone, Debug, Default)]
pub struct IncarnationTracker {
    current: Option<(BackendIncarnation, u64)>,
    left: Option<BackendIncarnation>,
}

impl IncarnationTracker {
    /// Classifies the announcement with this number and records it unless it is stale.
    ///
    /// ```
    /// use lentilway::policy::incarnation::{
    ///     AnnouncementDecision, BackendIncarnation, IncarnationTracker,
    /// };
    /// let one = BackendIncarnation { id: "a".into(), born: 10 };
    /// let mut tracker = IncarnationTracker::default();
    /// assert_eq!(tracker.announce(&one, 1), AnnouncementDecision::Replace);
    /// assert_eq!(tracker.announce(&one, 2), AnnouncementDecision::Update);
    /// assert_eq!(tracker.announce(&one, 1), AnnouncementDecision::Stale);
    /// ```
    pub fn announce(&mut self, from: &BackendIncarnation, number: u64) -> AnnouncementDecision {
        if self.has_left(from) {
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

    /// Records that the incarnation with this identity leaves; returns it if it is the current one.
    pub fn leave(&mut self, id: &str) -> Option<BackendIncarnation> {
        let (current, _) = self.current.as_ref().filter(|(current, _)| &*current.id == id)?;
        let left = current.clone();
        self.left = Some(left.clone());
        Some(left)
    }

    /// Whether this incarnation sent the newest announcement.
    pub fn is_current(&self, incarnation: &BackendIncarnation) -> bool {
        self.current.as_ref().is_some_and(|(current, _)| current == incarnation)
    }

    /// Restores a leave that an earlier process recorded.
    pub fn restore_left(&mut self, left: BackendIncarnation) {
        self.left = Some(left);
    }

    /// Whether this incarnation or a later one has left.
    pub fn has_left(&self, incarnation: &BackendIncarnation) -> bool {
        self.left.as_ref().is_some_and(|left| {
            left.born > incarnation.born
                || (left.id == incarnation.id && left.born == incarnation.born)
        })
    }
}
