//! Ownership of shards, by rendezvous hashing over the members.
//!
//! Daemons may disagree on the owner of a shard. This is safe, because the lowest offset on the
//! stream decides, whichever daemon appended.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::key::CLAIM_SHARDS;
use crate::clock::{MilliClock, MilliTime};
use crate::process::members::{InstanceId, MemberTable};

/// Daemons that are queried for a claim, one after another.
pub const CANDIDATE_COUNT: usize = 3;

const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
const SUSPECT_DURATION: Duration = Duration::from_secs(3);

/// The daemons to query, in this order.
pub type Candidates = SmallVec<[InstanceId; CANDIDATE_COUNT + 1]>;

#[derive(Debug, Default)]
struct OwnerCache {
    ranked: Vec<Candidates>,
    /// The highest-ranked daemon of this zone for each shard.
    zone_owners: Vec<Option<InstanceId>>,
    uses_relay: bool,
    refreshed_at: Option<MilliTime>,
    changes: u64,
    suspects: HashMap<InstanceId, MilliTime>,
}

/// The owners of all shards, according to this daemon's member table.
#[derive(Debug)]
pub struct OwnerTable {
    members: Arc<MemberTable>,
    instance: InstanceId,
    availability_zone: Arc<str>,
    relay_members: usize,
    clock: MilliClock,
    cache: Mutex<OwnerCache>,
}

impl OwnerTable {
    /// Owners among `members`; `instance` owns every shard while there are none.
    ///
    /// With `relay_members` members or more, claims go through a relay in `availability_zone`.
    pub fn new(
        members: Arc<MemberTable>,
        instance: InstanceId,
        availability_zone: Arc<str>,
        relay_members: usize,
        clock: MilliClock,
    ) -> Self {
        let cache = Mutex::default();
        OwnerTable { members, instance, availability_zone, relay_members, clock, cache }
    }

    /// The relay for `shard` in this zone, unless it is this daemon or suspected.
    pub fn relay(&self, shard: u16) -> Option<InstanceId> {
        let now = self.clock.now();
        let mut cache = self.cache.lock().expect("lock not poisoned");
        self.refresh(&mut cache, now);
        let relay = cache.zone_owners[usize::from(shard)].filter(|_| cache.uses_relay)?;
        let suspected = cache.suspects.get(&relay).is_some_and(|until| *until > now);
        (relay != self.instance && !suspected).then_some(relay)
    }

    /// The daemons to query for `shard`; suspects come last.
    pub fn candidates(&self, shard: u16) -> Candidates {
        let now = self.clock.now();
        let mut cache = self.cache.lock().expect("lock not poisoned");
        self.refresh(&mut cache, now);
        cache.suspects.retain(|_, until| *until > now);
        let mut candidates = cache.ranked[usize::from(shard)].clone();
        // During a partition between regions all candidates above may be unreachable.
        let zone_owner =
            cache.zone_owners[usize::from(shard)].filter(|owner| !candidates.contains(owner));
        candidates.extend(zone_owner);
        candidates.sort_by_key(|instance| cache.suspects.contains_key(instance));
        candidates
    }

    /// Whether this daemon ranks first for `shard`.
    pub fn is_owner(&self, shard: u16) -> bool {
        let mut cache = self.cache.lock().expect("lock not poisoned");
        self.refresh(&mut cache, self.clock.now());
        cache.ranked[usize::from(shard)].first() == Some(&self.instance)
    }

    /// Ranks `instance` last for `SUSPECT_DURATION`, because it did not answer.
    pub fn mark_suspect(&self, instance: InstanceId) {
        let until = self.clock.now() + SUSPECT_DURATION;
        self.cache.lock().expect("lock not poisoned").suspects.insert(instance, until);
    }

    fn refresh(&self, cache: &mut OwnerCache, now: MilliTime) {
        let changes = *self.members.subscribe().borrow();
        let fresh = cache.refreshed_at.is_some_and(|at| now < at + REFRESH_INTERVAL);
        let ranked = !cache.ranked.is_empty();
        if ranked && (fresh || changes == cache.changes) {
            return;
        }
        let members = self.members.all_upstreams();
        let mut instances: Vec<InstanceId> = members.iter().map(|member| member.instance).collect();
        if instances.is_empty() {
            instances.push(self.instance);
        }
        cache.ranked = (0..CLAIM_SHARDS).map(|shard| rank(shard, &instances)).collect();
        let local = members.iter().filter(|one| one.availability_zone == self.availability_zone);
        let local: Vec<InstanceId> = local.map(|member| member.instance).collect();
        let first = |shard| rank(shard, &local).first().copied();
        cache.zone_owners = (0..CLAIM_SHARDS).map(first).collect();
        cache.uses_relay = members.len() >= self.relay_members;
        cache.refreshed_at = Some(now);
        cache.changes = changes;
    }
}

/// The candidates for `shard` among `instances`, highest weight first.
///
/// ```
/// use lentilway::process::claims::owner::rank;
/// use lentilway::process::members::InstanceId;
/// let at = |port, boot| InstanceId { address: ([127, 0, 0, 1], port).into(), boot };
/// let instances = [at(1, 1), at(2, 2), at(3, 3), at(4, 4)];
/// let ranked = rank(7, &instances);
/// assert_eq!(ranked.len(), 3);
/// let without_last: Vec<_> = instances.iter().copied().filter(|one| *one != ranked[2]).collect();
/// assert_eq!(rank(7, &without_last)[..2], ranked[..2]);
/// ```
pub fn rank(shard: u16, instances: &[InstanceId]) -> Candidates {
    let mut best: SmallVec<[(u64, InstanceId); CANDIDATE_COUNT + 1]> = SmallVec::new();
    for instance in instances {
        let weighted = (weight(shard, instance), *instance);
        let outranked = best.last().is_some_and(|last| weighted < *last);
        if outranked && best.len() == CANDIDATE_COUNT {
            continue;
        }
        best.push(weighted);
        best.sort_unstable_by(|first, second| second.cmp(first));
        best.truncate(CANDIDATE_COUNT);
    }
    best.into_iter().map(|(_, instance)| instance).collect()
}

fn weight(shard: u16, instance: &InstanceId) -> u64 {
    let mut bytes: SmallVec<[u8; 32]> = SmallVec::new();
    bytes.extend_from_slice(&shard.to_le_bytes());
    bytes.extend_from_slice(&instance.boot.to_le_bytes());
    bytes.extend_from_slice(&instance.address.port().to_le_bytes());
    xxh3_64(&bytes)
}
