//! What one share of an organisation's rate and burst mints, and how long things live.

use std::time::Duration;

use super::share::PART_COUNT;
use crate::version::organisation::OrganisationState;

/// Millionths of a token in a token; amounts are whole millionths, so that none is lost or made.
pub const MICROS_PER_TOKEN: u64 = 1_000_000;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// The part of an organisation's rate and burst that belongs to one share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareTerms {
    /// Millionths of a token minted in a millisecond.
    pub micros_per_milli: f64,
    /// The most millionths of a token that may exist: in the bucket and lent out.
    pub burst_micros: u64,
}

impl ShareTerms {
    /// The terms of each share of an organisation.
    ///
    /// ```
    /// use lentilway::process::rates::terms::ShareTerms;
    /// let terms = ShareTerms::new(800.0, 16.0);
    /// assert_eq!(terms.micros_per_milli, 100_000.0);
    /// assert_eq!(terms.burst_micros, 2_000_000);
    /// ```
    pub fn new(rate: f64, burst: f64) -> Self {
        let micros = MICROS_PER_TOKEN as f64 / f64::from(PART_COUNT);
        ShareTerms {
            micros_per_milli: rate * micros / MILLIS_PER_SECOND,
            burst_micros: (burst * micros) as u64,
        }
    }
}

impl From<&OrganisationState> for ShareTerms {
    fn from(state: &OrganisationState) -> Self {
        ShareTerms::new(state.rate, state.burst)
    }
}

/// How long leases of shares last; they stand in the records, so daemons may differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Of shares that are quickly taken over after a crash.
    pub short: Duration,
    /// Of shares that outlast an outage of the platform's log.
    pub long: Duration,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        LeaseTerms { short: Duration::from_secs(180), long: Duration::from_secs(90 * 60) }
    }
}

/// How long a lent token may be spent.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(1000);

/// What a lender adds to [`GRANT_LIFETIME`] before it counts a grant as expired.
pub const GRANT_MARGIN: Duration = Duration::from_millis(20);

/// The time after which a lease of `term` that was read now has certainly lapsed at its holder.
pub fn lapse_bound(term: Duration) -> Duration {
    const FIXED_MARGIN: Duration = Duration::from_millis(200);
    const DRIFT_PARTS: u32 = 100;
    term + term / DRIFT_PARTS + FIXED_MARGIN
}
