//! Admitted fractions of calls under overload; a hash of the root request selects the calls.

use xxhash_rust::xxh3::xxh3_64;

const WHOLE_MILLIS: u16 = 1000;

/// A fraction of calls, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmitFraction(u16);

/// The fractions that an admission controller admits of a call's group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupFractions {
    /// The fraction of the call's organisation in its class.
    pub organisation: AdmitFraction,
    /// The fraction of the least affected organisation in the class.
    pub class: AdmitFraction,
}

impl GroupFractions {
    /// Everything is admitted.
    pub const ALL: GroupFractions =
        GroupFractions { organisation: AdmitFraction::ALL, class: AdmitFraction::ALL };
    /// Nothing is admitted.
    pub const NONE: GroupFractions =
        GroupFractions { organisation: AdmitFraction::NONE, class: AdmitFraction::NONE };

    /// The smaller fraction of each kind.
    pub fn min(self, other: GroupFractions) -> Self {
        GroupFractions {
            organisation: self.organisation.min(other.organisation),
            class: self.class.min(other.class),
        }
    }
}

/// The position of a root request in its organisation's shedding order, in thousandths; the same
/// at every hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShedRank(u16);

impl ShedRank {
    /// The rank of a root request; the lowest rank is shed first.
    pub fn of(request_id: &str) -> Self {
        ShedRank((xxh3_64(request_id.as_bytes()) % u64::from(WHOLE_MILLIS)) as u16)
    }
}

impl AdmitFraction {
    /// Everything is admitted.
    pub const ALL: AdmitFraction = AdmitFraction(WHOLE_MILLIS);
    /// Nothing is admitted.
    pub const NONE: AdmitFraction = AdmitFraction(0);

    /// A fraction from thousandths, at most [`AdmitFraction::ALL`].
    pub fn from_millis(millis: u16) -> Self {
        AdmitFraction(millis.min(WHOLE_MILLIS))
    }

    /// A fraction from a ratio between 0 and 1.
    pub fn from_ratio(ratio: f64) -> Self {
        AdmitFraction((ratio.clamp(0.0, 1.0) * f64::from(WHOLE_MILLIS)).round() as u16)
    }

    /// The fraction in thousandths.
    pub fn millis(self) -> u16 {
        self.0
    }

    /// The fraction as a ratio between 0 and 1.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / f64::from(WHOLE_MILLIS)
    }

    /// Whether a request of this rank is admitted.
    ///
    /// ```
    /// use lentilway::request::fraction::{AdmitFraction, ShedRank};
    /// let rank = ShedRank::of("r1");
    /// assert!(AdmitFraction::ALL.admits(rank));
    /// assert!(!AdmitFraction::NONE.admits(rank));
    /// ```
    pub fn admits(self, rank: ShedRank) -> bool {
        rank.0 >= WHOLE_MILLIS - self.0
    }
}
