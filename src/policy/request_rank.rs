//! Rank by which waiting requests are ordered under overload.

use serde::{Deserialize, Serialize};

/// Rank of a request among those that wait for the same service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestRank {
    /// Whether it is the root request itself, not a call made by a run.
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
