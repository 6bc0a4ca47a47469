//! Decides whether the state in force is fresh enough to act on.

use std::time::Duration;

use crate::error::ResultCode;

/// If the last contact with the log is older than this, the evidence of peers decides.
pub const CONTACT_AGE_MAX: Duration = Duration::from_secs(8);

/// Evidence of a daemon's contact with the log and with other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactEvidence {
    /// Whether there is a state at all.
    pub has_state: bool,
    /// How long ago the state was last known to include every record of the log, from own reads
    /// or from peers that this daemon has caught up with; none if never.
    pub contact_age: Option<Duration>,
    /// Whether a peer has records that this daemon lacks.
    pub behind_peer: bool,
    /// Availability zones with other daemons at the last contact.
    pub zones_known: usize,
    /// Those of them in which a daemon answered recently.
    pub zones_answering: usize,
}

/// How fresh the state is known to be, which decides whether requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateFreshness {
    /// There is no state yet.
    Absent,
    /// The state was recently known to be up to date.
    Confirmed,
    /// The log is down for every availability zone, so no daemon can have a newer record.
    LogDown,
    /// A peer is ahead and this daemon has not caught up.
    Behind,
    /// Cut off from the log and from part of the fleet, where a newer record may be in force.
    CutOff,
}

impl ContactEvidence {
    /// The freshness of the state under this evidence.
    ///
    /// ```
    /// use lentilway::version::freshness::{ContactEvidence, StateFreshness};
    /// let evidence = ContactEvidence {
    ///     has_state: true,
    ///     contact_age: None,
    ///     behind_peer: false,
    ///     zones_known: 3,
    ///     zones_answering: 2,
    /// };
    /// assert_eq!(evidence.freshness(), StateFreshness::CutOff);
    /// ```
    pub fn freshness(&self) -> StateFreshness {
        if !self.has_state {
            return StateFreshness::Absent;
        }
        if self.contact_age.is_some_and(|age| age <= CONTACT_AGE_MAX) {
            return StateFreshness::Confirmed;
        }
        if self.behind_peer {
            return StateFreshness::Behind;
        }
        if self.zones_known > 0 && self.zones_answering >= self.zones_known {
            return StateFreshness::LogDown;
        }
        StateFreshness::CutOff
    }
}

impl StateFreshness {
    /// Permits a request, or returns the code that refuses it.
    ///
    /// # Errors
    /// [`ResultCode::NotReady`] without a state, [`ResultCode::StateStale`] if a newer one may be
    /// in force elsewhere; both have the execution state "not run".
    pub fn permit(self) -> Result<(), ResultCode> {
        match self {
            StateFreshness::Confirmed | StateFreshness::LogDown => Ok(()),
            StateFreshness::Absent => Err(ResultCode::NotReady),
            StateFreshness::Behind | StateFreshness::CutOff => Err(ResultCode::StateStale),
        }
    }

    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            StateFreshness::Absent => "absent",
            StateFreshness::Confirmed => "confirmed",
            StateFreshness::LogDown => "log-down",
            StateFreshness::Behind => "behind",
            StateFreshness::CutOff => "cut-off",
        }
    }
}
