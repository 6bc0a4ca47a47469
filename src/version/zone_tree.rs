//! The relay tree of a zone's daemons: which read the log and which forward records to which.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::contact::ZoneAddress;
use crate::process::members::{InstanceId, UpstreamMember};

/// Daemons of each availability zone that read the log.
pub const ZONE_READERS: usize = 3;

/// Daemons that one daemon forwards records to.
pub const RELAY_FAN_OUT: usize = 8;

/// Daemons of each availability zone, readers included, that read the log while contact is lost.
pub const STANDBY_READERS: usize = 9;

/// Daemons of each other zone that this one pulls from in rotation.
const REMOTE_PEERS: usize = 3;

const ORDER_SEED: u64 = 0x7469_636b_6574_7301;

/// The daemons of one availability zone in the order of their hashes, from the view of one.
///
/// The first [`ZONE_READERS`] read the log and each is the root of a tree with
/// [`RELAY_FAN_OUT`] children per node. Daemons whose views of the members differ forward some
/// records twice and others not at all; the latter are pulled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneTree {
    order: Vec<SocketAddr>,
    position: usize,
    remote: BTreeMap<Arc<str>, SmallVec<[SocketAddr; REMOTE_PEERS]>>,
}

impl ZoneTree {
    /// The tree of `members` from the view of `own` in `zone`, which need not be a member.
    pub fn new(members: &[UpstreamMember], own: InstanceId, zone: &str) -> Self {
        let (local, remote): (Vec<_>, Vec<_>) =
            members.iter().partition(|member| &*member.availability_zone == zone);
        let local = local.iter().map(|member| member.instance);
        let others = local.filter(|instance| instance.address != own.address);
        let mut scored: Vec<_> = others.map(|instance| (score(instance, 0), instance)).collect();
        scored.push((score(own, 0), own));
        scored.sort_unstable();
        let order: Vec<_> = scored.iter().map(|(_, instance)| instance.address).collect();
        let position = order.iter().position(|address| *address == own.address).unwrap_or(0);
        ZoneTree { order, position, remote: select_remote_peers(&remote, own) }
    }

    /// This daemon's position in the order.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Whether this daemon reads the log.
    pub fn is_reader(&self) -> bool {
        self.position < ZONE_READERS
    }

    /// Whether this daemon reads the log while the contact is lost.
    pub fn is_standby(&self) -> bool {
        self.position < STANDBY_READERS
    }

    /// The daemon that forwards records to this one; none for a reader.
    pub fn parent(&self) -> Option<SocketAddr> {
        let parent = self.position.checked_sub(ZONE_READERS)? / RELAY_FAN_OUT;
        self.order.get(parent).copied()
    }

    /// The daemons that this one forwards records to.
    pub fn children(&self) -> &[SocketAddr] {
        let children = child_positions(self.position);
        let end = children.end.min(self.order.len());
        self.order.get(children.start..end).unwrap_or_default()
    }

    /// Another daemon of the zone, selected by `pick` modulo their number.
    pub fn neighbour(&self, pick: usize) -> Option<SocketAddr> {
        let others = self.order.len().checked_sub(1).filter(|others| *others > 0)?;
        let index = (self.position + 1 + pick % others) % self.order.len();
        Some(self.order[index])
    }

    /// The daemon to pull from in each other zone in this round.
    pub fn remote_peers(&self, round: usize) -> Vec<ZoneAddress> {
        let peers = self.remote.iter();
        let entry = |(zone, peers): (&Arc<str>, &SmallVec<_>)| ZoneAddress {
            zone: zone.clone(),
            address: peers[round % peers.len()],
        };
        peers.map(entry).collect()
    }

    /// The number of daemons in the zone, this one included.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the tree has no daemon.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

/// The positions of the children of the daemon at `position`.
pub fn child_positions(position: usize) -> Range<usize> {
    let first = ZONE_READERS + position * RELAY_FAN_OUT;
    first..first + RELAY_FAN_OUT
}

/// The number of hops of a record from a reader to the daemon at `position`.
///
/// ```
/// use lentilway::version::zone_tree::relay_depth;
/// assert_eq!(relay_depth(0), 0);
/// assert_eq!(relay_depth(683), 3);
/// ```
pub fn relay_depth(position: usize) -> usize {
    match position.checked_sub(ZONE_READERS) {
        None => 0,
        Some(index) => 1 + relay_depth(index / RELAY_FAN_OUT),
    }
}

/// Rendezvous hashing: in each other zone, the daemons with the lowest scores for this one.
fn select_remote_peers(
    remote: &[&UpstreamMember],
    own: InstanceId,
) -> BTreeMap<Arc<str>, SmallVec<[SocketAddr; REMOTE_PEERS]>> {
    let seed = score(own, 0);
    let mut scored: BTreeMap<Arc<str>, Vec<(u64, SocketAddr)>> = BTreeMap::new();
    for member in remote {
        let peers = scored.entry(member.availability_zone.clone()).or_default();
        peers.push((score(member.instance, seed), member.instance.address));
    }
    let choose = |(zone, mut peers): (Arc<str>, Vec<(u64, SocketAddr)>)| {
        peers.sort_unstable();
        let chosen = peers.into_iter().take(REMOTE_PEERS).map(|(_, address)| address);
        (zone, chosen.collect())
    };
    scored.into_iter().map(choose).collect()
}

fn score(instance: InstanceId, salt: u64) -> u64 {
    let text = format!("{}/{}", instance.address, instance.boot);
    xxh3_64_with_seed(text.as_bytes(), ORDER_SEED ^ salt)
}
