//! Orders what a backend server announces of itself.
//!
//! Answers announcements that arrive late or twice: from a dead incarnation after a new one has
//! started at the same address, or from before a leave.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One start of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendIncarnation {
    /// The identity that it announces; it may keep it over a restart.
    pub id: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch by its own clock.
    pub born: u64,
}

/// What to do with an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementDecision {
    /// It is the newest word of the current incarnation.
    Update,
    /// It is of a new incarnation.
    Replace,
    /// It is older than what is known.
    Stale,
}

/// The newest announcement taken in, and the incarnations that left.
#[derive(Clone, Debug, Default)]
pub struct IncarnationTracker {
    current: Option<(BackendIncarnation, u64)>,
    left: Option<BackendIncarnation>,
}

impl IncarnationTracker {
    /// Judges the announcement with this number and takes it in unless it is stale.
    ///
    /// ```
    /// use lentilway::policy::incarnation::{
    ///     AnnouncementDecision, BackendIncarnation, IncarnationTracker,
    /// };
    /// let one = BackendIncarnation { id: "a".into(), born: 10 };
    /// let mut order = IncarnationTracker::default();
    /// assert_eq!(order.announce(&one, 1), AnnouncementDecision::Replace);
    /// assert_eq!(order.announce(&one, 2), AnnouncementDecision::Update);
    /// assert_eq!(order.announce(&one, 1), AnnouncementDecision::Stale);
    /// ```
    pub fn announce(&mut self, from: &BackendIncarnation, number: u64) -> AnnouncementDecision {
        if self.has_left(from) {
            return AnnouncementDecision::Stale;
        }
        let verdict = match &self.current {
            Some((current, _)) if current.born > from.born => AnnouncementDecision::Stale,
            Some((current, last)) if current == from && *last >= number => {
                AnnouncementDecision::Stale
            }
            Some((current, _)) if current == from => AnnouncementDecision::Update,
            _ => AnnouncementDecision::Replace,
        };
        if verdict != AnnouncementDecision::Stale {
            self.current = Some((from.clone(), number));
        }
        verdict
    }

    /// Notes that the incarnation with this identity leaves; returns it if it is the current one.
    pub fn leave(&mut self, id: &str) -> Option<BackendIncarnation> {
        let (current, _) = self.current.as_ref().filter(|(current, _)| &*current.id == id)?;
        let left = current.clone();
        self.left = Some(left.clone());
        Some(left)
    }

    /// Restores a leave that an earlier process noted.
    pub fn restore_left(&mut self, left: BackendIncarnation) {
        self.left = Some(left);
    }

    /// Whether this incarnation, or a later one, has left already.
    pub fn has_left(&self, incarnation: &BackendIncarnation) -> bool {
        self.left.as_ref().is_some_and(|left| {
            left.born > incarnation.born
                || (left.id == incarnation.id && left.born == incarnation.born)
        })
    }
}
