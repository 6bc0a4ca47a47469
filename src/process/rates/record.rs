//! Records of the share stream, which assigns shares to holders.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::share::ShareId;
use crate::process::members::InstanceId;
use crate::process::platform_log::StreamName;

/// The stream of share records.
pub fn share_stream() -> StreamName {
    StreamName::new("rate-shares")
}

/// A record of the share stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum ShareRecord {
    /// Takes or renews leases.
    Hold(HoldRecord),
    /// Releases shares.
    Release(ReleaseRecord),
}

/// Takes or renews leases of shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRecord {
    /// The holder.
    pub instance: InstanceId,
    /// Number of the holder's append.
    pub sequence: u64,
    /// The offset up to which the holder had read; a share that another instance took at or
    /// after this offset is not taken.
    pub seen: u64,
    /// Duration of the lease, from before the record was sent, in milliseconds.
    pub term_ms: u64,
    /// The shares.
    pub shares: Vec<ShareId>,
}

impl HoldRecord {
    /// Duration of the lease.
    pub fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms)
    }
}

/// Releases shares; the holder has stopped refilling and lending them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// The former holder.
    pub instance: InstanceId,
    /// The offset up to which it had read; a share that it took at or after this offset stays held.
    pub seen: u64,
    /// The shares with their levels.
    pub shares: Vec<ReleasedShare>,
}

/// A released share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedShare {
    /// The share.
    pub share: ShareId,
    /// The level of every organisation that ever drew on the share.
    pub levels: Vec<ReleasedLevel>,
}

/// Level of one organisation's bucket when its share was released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedLevel {
    /// The organisation.
    pub organisation: Arc<str>,
    /// Millionths of a token.
    pub micros: u64,
}
