//! Organisations: keys, rate and burst.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::digest::Sha256Digest;

/// A key of an organisation, of which only the digest is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// The digest of the key.
    pub digest: Sha256Digest,
    /// Whether the key was withdrawn and is refused.
    #[serde(default)]
    pub withdrawn: bool,
}

/// The complete state of an organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationState {
    /// Keys, including withdrawn ones.
    pub keys: SmallVec<[KeyEntry; 2]>,
    /// Requests per second, over all instances together.
    pub rate: f64,
    /// Burst size in requests, over all instances together.
    pub burst: f64,
}

impl OrganisationState {
    /// Checks the ranges of rate and burst.
    ///
    /// # Errors
    /// The value that is out of range and the allowed range.
    pub fn validate(&self) -> Result<(), String> {
        if !(self.rate.is_finite() && self.rate >= 0.0) {
            return Err("rate must be a finite number of requests a second, 0 or more".into());
        }
        if !(self.burst.is_finite() && self.burst >= 0.0) {
            return Err("burst must be a finite number of requests, 0 or more".into());
        }
        Ok(())
    }
}
