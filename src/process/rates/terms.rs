//! Rate and burst of one share, and the terms of leases and grants.

use std::time::Duration;

use super::share::PART_COUNT;
use crate::version::organisation::OrganisationState;

/// Amounts of tokens are whole millionths, so that rounding neither loses nor creates tokens.
pub const MICROS_PER_TOKEN: u64 = 1_000_000;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// Rate and burst of one share of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareTerms {
    /// Refill per millisecond, in millionths of a token.
    pub micros_per_milli: f64,
    /// Largest sum of the bucket's level and its loans, in millionths of a token.
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

/// Durations of leases. Each record contains its own, so the daemons' settings may differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// For shares that are taken over soon after a crash.
    pub short: Duration,
    /// For shares that stay held during an outage of the platform's log.
    pub long: Duration,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        LeaseTerms { short: Duration::from_secs(180), long: Duration::from_secs(90 * 60) }
    }
}

/// Time in which a lent token may be spent.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(1000);

/// Time after [`GRANT_LIFETIME`] at which the lender considers a grant expired.
pub const GRANT_MARGIN: Duration = Duration::from_millis(20);

/// Time from reading a lease of `term` until it has certainly lapsed at its holder.
pub fn lapse_bound(term: Duration) -> Duration {
    const FIXED_MARGIN: Duration = Duration::from_millis(200);
    const DRIFT_DIVISOR: u32 = 100;
    term + term / DRIFT_DIVISOR + FIXED_MARGIN
}
