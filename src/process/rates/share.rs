//! Shares: the equal parts into which the rates and bursts of a group of organisations are split.

use std::net::IpAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::terms::LeaseTerms;
use crate::process::members::InstanceId;

/// Number of groups that organisations hash to.
pub const GROUP_COUNT: u16 = 256;

/// Number of shares of a group.
pub const PART_COUNT: u16 = 8;

/// Number of all shares.
pub const SHARE_COUNT: u16 = GROUP_COUNT * PART_COUNT;

const SHORT_LEASE_PARTS: u16 = 2;

/// Identifies a share of a group of organisations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShareId(u16);

impl ShareId {
    /// Every share.
    pub fn all() -> impl Iterator<Item = ShareId> {
        (0..SHARE_COUNT).map(ShareId)
    }

    /// The shares that `organisation`'s rate and burst are split into.
    ///
    /// ```
    /// use lentilway::process::rates::share::ShareId;
    /// assert_eq!(ShareId::of_organisation("nord").count(), 8);
    /// ```
    pub fn of_organisation(organisation: &str) -> impl Iterator<Item = ShareId> + use<> {
        let group = group(organisation);
        (0..PART_COUNT).map(move |part| ShareId(group * PART_COUNT + part))
    }

    /// The seed by which an organisation's relays are chosen, distinct from those of shares.
    pub fn group_seed(organisation: &str) -> u64 {
        u64::from(SHARE_COUNT + group(organisation))
    }

    /// Whether the share is part of `organisation`'s rate and burst.
    pub fn covers(self, organisation: &str) -> bool {
        ShareId::of_organisation(organisation).any(|share| share == self)
    }

    /// Index in a list of all shares, if the number is that of a share.
    pub fn index(self) -> Option<usize> {
        (self.0 < SHARE_COUNT).then_some(self.0 as usize)
    }

    /// Whether the share has the short lease.
    pub fn is_short(self) -> bool {
        self.0 % PART_COUNT < SHORT_LEASE_PARTS
    }

    /// Duration of a lease of the share.
    pub fn term(self, terms: &LeaseTerms) -> Duration {
        if self.is_short() { terms.short } else { terms.long }
    }

    /// The instance's score in rendezvous hashing for the share; the instance with the highest
    /// score should hold it.
    pub fn score(self, instance: &InstanceId) -> u64 {
        score(u64::from(self.0), instance)
    }

    /// Number of `members` before `instance` in rendezvous hashing.
    pub fn rank(self, instance: &InstanceId, members: &[InstanceId]) -> usize {
        let own = self.score(instance);
        members.iter().filter(|member| self.score(member) > own).count()
    }
}

/// The score of an instance for a seed.
pub fn score(seed: u64, instance: &InstanceId) -> u64 {
    let mut bytes = [0; 26];
    match instance.address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..18].copy_from_slice(&instance.address.port().to_le_bytes());
    bytes[18..].copy_from_slice(&instance.boot.to_le_bytes());
    xxh3_64_with_seed(&bytes, seed)
}

fn group(organisation: &str) -> u16 {
    (xxh3_64(organisation.as_bytes()) % u64::from(GROUP_COUNT)) as u16
}
