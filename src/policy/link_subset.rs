//! Chooses the daemons to which a daemon keeps links.
//!
//! Handles fleets in which links from each daemon to each other cost more memory, processor time
//! and traffic than the calls themselves: a daemon links to a bounded number of instances of each
//! service that it calls, most of them in its own availability zone. The choice by rendezvous
//! hashing differs for each daemon, so that every instance is chosen about equally often, and
//! changes by one place when an instance joins or leaves.

use std::hash::Hasher;

use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

/// Up to this number, a daemon links to all instances of a service.
pub const SUBSET_ALL_MAX: usize = 20;
/// Instances of a larger service in the daemon's availability zone.
const SUBSET_OWN_ZONE: usize = 8;
/// Instances of a larger service in other availability zones.
const SUBSET_OTHER_ZONES: usize = 8;

/// An instance of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetMember {
    /// The hash of its name.
    pub key: u64,
    /// Whether it is in the availability zone of the daemon that chooses.
    pub same_zone: bool,
}

/// The indices of the instances of one service that the daemon with key `own` links to.
///
/// ```
/// use lentilway::policy::link_subset::{SubsetMember, choose_subset};
/// let members: Vec<SubsetMember> =
///     (0..100).map(|key| SubsetMember { key, same_zone: key < 20 }).collect();
/// let chosen = choose_subset(7, &members);
/// assert_eq!(chosen.len(), 16);
/// assert_eq!(chosen.iter().filter(|index| members[**index].same_zone).count(), 8);
/// assert_eq!(choose_subset(7, &members[..5]).len(), 5);
/// ```
pub fn choose_subset(own: u64, members: &[SubsetMember]) -> SmallVec<[usize; 24]> {
    if members.len() <= SUBSET_ALL_MAX {
        return (0..members.len()).collect();
    }
    let in_zone = members.iter().filter(|member| member.same_zone).count();
    let own_zone = in_zone.min(SUBSET_OWN_ZONE);
    let others = SUBSET_OWN_ZONE + SUBSET_OTHER_ZONES - own_zone;
    let mut chosen = highest(own, members, true, own_zone);
    chosen.extend(highest(own, members, false, others));
    chosen
}

fn highest(
    own: u64,
    members: &[SubsetMember],
    same_zone: bool,
    count: usize,
) -> SmallVec<[usize; 24]> {
    let indices = 0..members.len();
    let mut ranked: Vec<(u64, usize)> = indices
        .filter(|index| members[*index].same_zone == same_zone)
        .map(|index| (rendezvous_weight(own, members[index].key), index))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, index)| index).collect()
}

/// The weight of `member` for `chooser`; each chooser prefers the members in another order.
pub fn rendezvous_weight(chooser: u64, member: u64) -> u64 {
    let mut hasher = Xxh3::with_seed(chooser);
    hasher.write_u64(member);
    hasher.finish()
}
