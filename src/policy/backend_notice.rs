//! What a backend server states about itself in the heads of its answers.
//!
//! Handles a backend server in need, which states how many requests per second it takes from all
//! senders together, and one that leaves before its daemon has heard of it in another way.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::incarnation::BackendIncarnation;
use crate::clock::MilliTime;

/// A rate of requests that a backend server takes from all senders together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestLimit(f64);

impl RequestLimit {
    /// A limit in requests per second; `None` unless it is a finite number of 0 or more.
    ///
    /// ```
    /// use lentilway::policy::backend_notice::RequestLimit;
    /// assert_eq!(RequestLimit::new(17.3).unwrap().per_second(), 17.3);
    /// assert_eq!(RequestLimit::new(-1.0), None);
    /// assert_eq!(RequestLimit::new(f64::NAN), None);
    /// ```
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(RequestLimit(per_second))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// The limit in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The backend server states no limit.
    #[default]
    Absent,
    /// It states this limit.
    Rate(RequestLimit),
    /// The limit cannot be decoded, so that nothing is known about a change.
    Unreadable,
}

/// What one answer states about its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendNotice {
    /// The requests that it takes.
    pub limit: StatedLimit,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// What is known about one incarnation of a backend server, as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownNotice {
    /// The backend server and its start.
    pub incarnation: BackendIncarnation,
    /// The requests that it takes; `None` without a limit.
    pub limit: Option<RequestLimit>,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// What the daemon beside a backend server knows of its notices.
///
/// After a restart of the daemon, the senders that heard a notice repeat it with their calls. A
/// limit so repeated holds until the backend server answers again itself, a leave for good.
#[derive(Clone, Debug, Default)]
pub struct NoticeTracker {
    current: Option<BackendIncarnation>,
    limit: Option<RequestLimit>,
    is_leaving: bool,
    /// Whether the current incarnation has answered this daemon.
    has_answered: bool,
    /// The last notice that another daemon repeated.
    repeated: Option<KnownNotice>,
}

impl NoticeTracker {
    /// Sets the current incarnation; notices of another one no longer count.
    pub fn set_current(&mut self, incarnation: &BackendIncarnation) {
        if self.current.as_ref() == Some(incarnation) {
            return;
        }
        self.current = Some(incarnation.clone());
        self.limit = None;
        self.is_leaving = false;
        self.has_answered = false;
        if let Some(repeated) = self.repeated.take() {
            self.repeat(repeated);
        }
    }

    /// Records the notice in an answer of `from`.
    ///
    /// ```
    /// use lentilway::policy::backend_notice::{
    ///     BackendNotice, NoticeTracker, RequestLimit, StatedLimit,
    /// };
    /// use lentilway::policy::incarnation::BackendIncarnation;
    /// let server = BackendIncarnation { id: "a".into(), born: 1 };
    /// let limit = RequestLimit::new(5.0).unwrap();
    /// let mut tracker = NoticeTracker::default();
    /// tracker.set_current(&server);
    /// let notice = BackendNotice { limit: StatedLimit::Rate(limit), is_leaving: false };
    /// tracker.observe(&server, &notice);
    /// assert_eq!(tracker.limit(), Some(limit));
    /// tracker.observe(&server, &BackendNotice::default());
    /// assert_eq!(tracker.limit(), None);
    /// ```
    pub fn observe(&mut self, from: &BackendIncarnation, notice: &BackendNotice) {
        if self.current.as_ref() != Some(from) {
            return;
        }
        self.is_leaving |= notice.is_leaving;
        match notice.limit {
            StatedLimit::Absent => self.limit = None,
            StatedLimit::Rate(limit) => self.limit = Some(limit),
            StatedLimit::Unreadable => return,
        }
        self.has_answered = true;
    }

    /// Records a notice that another daemon repeats.
    pub fn repeat(&mut self, repeated: KnownNotice) {
        if self.current.as_ref() != Some(&repeated.incarnation) {
            // The incarnation may not have announced itself yet.
            self.repeated = Some(repeated);
            return;
        }
        self.is_leaving |= repeated.is_leaving;
        if !self.has_answered {
            self.limit = repeated.limit;
        }
    }

    /// Whether the current incarnation is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// The limit of the current incarnation.
    pub fn limit(&self) -> Option<RequestLimit> {
        self.limit
    }

    /// What senders have to repeat to the next process beside this backend server.
    pub fn known(&self) -> Option<KnownNotice> {
        let incarnation = self.current.clone()?;
        let (limit, is_leaving) = (self.limit, self.is_leaving);
        (limit.is_some() || is_leaving).then_some(KnownNotice { incarnation, limit, is_leaving })
    }
}

/// Remembered notices are those of a sender's callees, which are far fewer.
const REMEMBERED_MAX: usize = 1_024;

/// The notices of other daemons' backend servers that a sender has heard.
#[derive(Clone, Debug, Default)]
pub struct NoticeMemory {
    /// By instance, with the time at which each was last heard.
    notices: HashMap<u64, (MilliTime, KnownNotice)>,
}

impl NoticeMemory {
    /// Records what the answer of an instance said, `None` if nothing.
    pub fn record(&mut self, now: MilliTime, instance: u64, heard: Option<KnownNotice>) {
        let Some(notice) = heard else {
            self.notices.remove(&instance);
            return;
        };
        self.notices.insert(instance, (now, notice));
        if self.notices.len() > REMEMBERED_MAX {
            let oldest = self.notices.iter().min_by_key(|(_, (at, _))| *at);
            let oldest = oldest.map(|(instance, _)| *instance);
            oldest.and_then(|instance| self.notices.remove(&instance));
        }
    }

    /// The notice to repeat with a call to an instance.
    pub fn notice(&self, instance: u64) -> Option<KnownNotice> {
        self.notices.get(&instance).map(|(_, notice)| notice.clone())
    }
}
