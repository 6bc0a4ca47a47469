//! The order in which requests are served when not all of them can be.

use serde::{Deserialize, Serialize};

/// What a request is worth to its service compared with others that wait there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestRank {
    /// The root request itself, not a call made by a run.
    pub is_root: bool,
    /// The priority of the root request; 0 is the most urgent.
    pub priority: u8,
}

impl RequestRank {
    /// The rank of a root request.
    ///
    /// ```
    /// use lentilway::policy::request_rank::RequestRank;
    /// assert!(RequestRank::root(0).is_root);
    /// assert!(!RequestRank::call(2).is_root);
    /// ```
    pub fn root(priority: u8) -> Self {
        RequestRank { is_root: true, priority }
    }

    /// The rank of a call made by a run of a root request with this priority.
    pub fn call(priority: u8) -> Self {
        RequestRank { is_root: false, priority }
    }
}
