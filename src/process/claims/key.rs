//! Claim keys, their shards and their lifetime.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::MilliTime;
use crate::error::ResultCode;
use crate::version::digest::Sha256Digest;

/// Number of shards, each with its own stream. All daemons must use the same number.
pub const CLAIM_SHARDS: u16 = 32;
/// How long a key may be used after it was issued.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);
/// How far in the future a key's issue time may be, for callers whose clocks are ahead.
pub const ISSUE_LEAD_LIMIT: Duration = Duration::from_secs(30);
/// The largest tolerated difference between the wall clocks of two daemons.
pub const CLOCK_SKEW_LIMIT: Duration = Duration::from_secs(30);

const UUID_LENGTH: usize = 36;
const UUID_VERSION_INDEX: usize = 14;
const UUID_HYPHENS: [usize; 4] = [8, 13, 18, 23];

/// What a claim covers: an organisation's idempotency key on a method and path.
///
/// The route is not part of it, so two repeats have the same key even if a change ticket between
/// them changes the route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimKey {
    /// The organisation; `None` on an open route.
    pub organisation: Option<Arc<str>>,
    /// The method.
    pub method: Arc<str>,
    /// The path without the query.
    pub path: Arc<str>,
    /// The caller's idempotency key.
    pub key: Arc<str>,
}

/// The first 128 bits of a claim key's SHA-256 digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub u64, pub u64);

impl ClaimKey {
    /// The key's hash. Each part is prefixed with its length, so that different parts never
    /// produce the same bytes.
    pub fn hash(&self) -> KeyHash {
        let organisation = self.organisation.as_deref();
        let mut bytes = vec![u8::from(organisation.is_some())];
        for part in [organisation.unwrap_or_default(), &self.method, &self.path, &self.key] {
            bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
            bytes.extend_from_slice(part.as_bytes());
        }
        let digest = Sha256Digest::of(&bytes);
        KeyHash(leading_number(&digest.bytes()[..8]), leading_number(&digest.bytes()[8..16]))
    }
}

impl KeyHash {
    /// The shard that the key belongs to.
    pub fn shard(self) -> u16 {
        (self.0 % u64::from(CLAIM_SHARDS)) as u16
    }
}

/// The first 64 bits of a request's digest, to distinguish requests with the same key.
pub fn short_digest(digest: &Sha256Digest) -> u64 {
    leading_number(&digest.bytes()[..8])
}

fn leading_number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// When a key was issued: the time in the UUIDv7 that it begins with, or the header's time.
///
/// # Errors
/// [`ResultCode::IdempotencyKeyUndated`] if both are missing.
///
/// ```
/// use lentilway::clock::MilliTime;
/// use lentilway::process::claims::key::issue_time;
/// let key = "0192f0c1-2a00-7abc-8def-0123456789ab/refill";
/// assert_eq!(issue_time(key, None), Ok(MilliTime(0x0192_f0c1_2a00)));
/// assert_eq!(issue_time("order-7", Some(MilliTime(5))), Ok(MilliTime(5)));
/// assert!(issue_time("order-7", None).is_err());
/// ```
pub fn issue_time(key: &str, header: Option<MilliTime>) -> Result<MilliTime, ResultCode> {
    uuid_time(key).or(header).ok_or(ResultCode::IdempotencyKeyUndated)
}

fn uuid_time(key: &str) -> Option<MilliTime> {
    let uuid = key.get(..UUID_LENGTH)?;
    let hyphens = UUID_HYPHENS.iter().all(|index| uuid.as_bytes()[*index] == b'-');
    if !hyphens || uuid.as_bytes()[UUID_VERSION_INDEX] != b'7' {
        return None;
    }
    let digits = uuid.replace('-', "");
    u128::from_str_radix(&digits, 16).ok()?;
    u64::from_str_radix(&digits[..12], 16).ok().map(MilliTime)
}

/// Whether a key issued at `issued` may be used at the wall time `now`.
pub fn is_within_lifetime(issued: MilliTime, now: MilliTime) -> bool {
    issued <= now + ISSUE_LEAD_LIMIT && now <= issued + KEY_LIFETIME
}
