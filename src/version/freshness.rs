//! Decides from evidence whether the state in force may still be acted on.

use std::time::Duration;

use crate::error::ResultCode;

/// How old the last known contact with the log may be before peers' evidence counts.
pub const CONTACT_AGE_MAX: Duration = Duration::from_secs(8);

/// What a daemon knows of its contact with the log and with other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactEvidence {
    /// Whether there is a state at all.
    pub has_state: bool,
    /// How long ago the state was last known to hold every record of the log, from this
    /// daemon's own reads or from peers that it has caught up with; none if never.
    pub contact_age: Option<Duration>,
    /// Whether a peer has records that this daemon could not get.
    pub behind_peer: bool,
    /// Availability zones with other daemons at the last contact.
    pub zones_known: usize,
    /// Those of them in which a daemon answered within the last seconds.
    pub zones_answering: usize,
}

/// Whether the state may be acted on, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateFreshness {
    /// No state was ever taken.
    Absent,
    /// The state was lately known to be whole.
    Confirmed,
    /// The log is down for every availability zone: nobody can know of a newer record.
    LogDown,
    /// A peer is ahead and this daemon could not catch up.
    Behind,
    /// Cut from the log and from part of the fleet: a newer record may be in force there.
    CutOff,
}

impl ContactEvidence {
    /// The standing of the state under this evidence.
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
    /// Lets a request pass, or gives the code that refuses it.
    ///
    /// # Errors
    /// [`ResultCode::NotReady`] without a state, [`ResultCode::StateStale`] if a newer one may be
    /// in force elsewhere; both say "not run".
    pub fn permit(self) -> Result<(), ResultCode> {
        match self {
            StateFreshness::Confirmed | StateFreshness::LogDown => Ok(()),
            StateFreshness::Absent => Err(ResultCode::NotReady),
            StateFreshness::Behind | StateFreshness::CutOff => Err(ResultCode::StateStale),
        }
    }

    /// The standing's name in reports.
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
