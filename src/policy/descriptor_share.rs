//! Shares of a process's descriptors for the connections that others open to it.
//!
//! Handles crowds of connections on any of the listeners: each listener has a share of its own, so
//! that none of them takes the descriptors of the others, of the connections to the backend server,
//! or of those to other daemons and to the store.

use super::connection_roster::RosterLimits;

/// Whom connections serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorUse {
    /// Other daemons. Those that the directory lists are not counted.
    Links,
    /// One of the addresses for readiness, announcements and metrics.
    Service,
}

/// Part of the descriptors for callers. The rest must do for the backend server, to which each caller
/// may occupy a connection, and for everything else.
const CALLERS_SHARE: (usize, usize) = (5, 16);
/// Part of the descriptors for callers that come while these are taken.
const RESERVE_DIVISOR: usize = 16;
const LINKS_DIVISOR: usize = 8;
const SERVICE_DIVISOR: usize = 64;
/// The least for a use: the peer that it is for, one that takes its place, and others beside them.
const CONNECTIONS_MIN: usize = 4;

/// Numbers of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Those that may stay open between requests.
    pub kept: usize,
    /// Those that are accepted besides, for one request each, and have not sent it whole.
    pub receiving: usize,
    /// Those that have.
    pub handled: usize,
}

impl CallerLimits {
    /// The limits where there is memory for `memory_max` connections in all.
    ///
    /// ```
    /// use lentilway::policy::descriptor_share::{CallerLimits, caller_limits};
    /// let limits = caller_limits(4_100);
    /// assert_eq!(limits.within(10_000), limits);
    /// assert_eq!(limits.within(600), CallerLimits { kept: 500, receiving: 49, handled: 49 });
    /// ```
    pub fn within(self, memory_max: usize) -> CallerLimits {
        let all = self.kept + self.receiving + self.handled;
        let part = |limit: usize| (limit * memory_max.min(all) / all).max(1);
        CallerLimits {
            kept: part(self.kept),
            receiving: part(self.receiving),
            handled: part(self.handled),
        }
    }
}

/// The connections that callers may have.
///
/// ```
/// use lentilway::policy::descriptor_share::{CallerLimits, caller_limits};
/// let limits = caller_limits(4_100);
/// assert_eq!(limits, CallerLimits { kept: 1_281, receiving: 128, handled: 128 });
/// ```
pub fn caller_limits(descriptors: usize) -> CallerLimits {
    let (part, whole) = CALLERS_SHARE;
    let reserve = (descriptors / RESERVE_DIVISOR).max(CONNECTIONS_MIN) / 2;
    let kept = (descriptors * part / whole).max(1);
    CallerLimits { kept, receiving: reserve, handled: reserve }
}

/// The connections that others may have. Half of them are for those that have shown nothing yet.
///
/// ```
/// use lentilway::policy::connection_roster::RosterLimits;
/// use lentilway::policy::descriptor_share::{DescriptorUse, roster_limits};
/// let limits = roster_limits(4_100, DescriptorUse::Links);
/// assert_eq!(limits, RosterLimits { new: 256, proven: 256 });
/// let limits = roster_limits(256, DescriptorUse::Service);
/// assert_eq!(limits, RosterLimits { new: 2, proven: 2 });
/// ```
pub fn roster_limits(descriptors: usize, usage: DescriptorUse) -> RosterLimits {
    let divisor = match usage {
        DescriptorUse::Links => LINKS_DIVISOR,
        DescriptorUse::Service => SERVICE_DIVISOR,
    };
    let half = (descriptors / divisor).max(CONNECTIONS_MIN) / 2;
    RosterLimits { new: half, proven: half }
}
