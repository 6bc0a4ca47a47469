//! Subset of a service's upstreams to which a daemon sends calls.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::process::members::{InstanceId, UpstreamMember};

/// Largest number of upstreams in the daemon's own availability zone.
pub const LOCAL_SUBSET_MAX: usize = 16;
/// Largest number of upstreams, including those in other availability zones.
pub const SUBSET_MAX: usize = 24;

/// The members of a daemon's subset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamSubset {
    /// In the daemon's own availability zone.
    pub local: Vec<UpstreamMember>,
    /// In other availability zones.
    pub remote: Vec<UpstreamMember>,
}

impl UpstreamSubset {
    /// Chooses by rendezvous hashing. Each daemon draws its own `seed`, so that subsets spread over
    /// the members; a member that joins or leaves changes few subsets.
    pub fn of(members: &[UpstreamMember], availability_zone: &str, seed: u64) -> Self {
        let is_local = |member: &&UpstreamMember| &*member.availability_zone == availability_zone;
        let (local, remote): (Vec<_>, Vec<_>) = members.iter().partition(is_local);
        let local = highest(local, seed, LOCAL_SUBSET_MAX);
        let remote = highest(remote, seed, SUBSET_MAX - local.len());
        UpstreamSubset { local, remote }
    }
}

fn highest(members: Vec<&UpstreamMember>, seed: u64, count: usize) -> Vec<UpstreamMember> {
    let mut ranked: Vec<(Reverse<u64>, &UpstreamMember)> = members
        .into_iter()
        .map(|member| (Reverse(rendezvous_weight(&member.instance, seed)), member))
        .collect();
    ranked.sort_by_key(|(weight, member)| (*weight, member.instance));
    ranked.into_iter().take(count).map(|(_, member)| member.clone()).collect()
}

fn rendezvous_weight(instance: &InstanceId, seed: u64) -> u64 {
    let text = format!("{}/{}", instance.address, instance.boot);
    xxh3_64_with_seed(text.as_bytes(), seed)
}
