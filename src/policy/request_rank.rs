//! The order in which requests are served when not all of them can be.

use serde::{Deserialize, Serialize};

/// What a request is worth to its service compared with others that wait there.
///
/// The derived order puts the request to be served first lowest: calls of runs that are under way
/// come before new roots, since a run whose call is lost has wasted all the work done for it; then
/// the more urgent priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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
    /// assert!(RequestRank::root(0) < RequestRank::root(2));
    /// assert!(RequestRank::call(2) < RequestRank::root(0));
    /// ```
    pub fn root(priority: u8) -> Self {
        RequestRank { is_root: true, priority }
    }

    /// The rank of a call made by a run of a root request with this priority.
    pub fn call(priority: u8) -> Self {
        RequestRank { is_root: false, priority }
    }
}
