//! What a backend server states about itself in the heads of its answers.
//!
//! Handles a backend server in need, which states how many requests per second it takes from all
//! senders together, and one that leaves before its daemon has heard of it in another way.

use serde::{Deserialize, Serialize};

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
