//! The order of a zone's daemons: who reads the log and who hands records on to whom.

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

/// Daemons that one daemon hands records on to.
pub const RELAY_FAN_OUT: usize = 8;

/// Daemons of each zone that may read the log when the contact is lost.
pub const STANDBY_READERS: usize = 9;

/// Daemons of each other zone that this one asks in turn.
const REMOTE_PARTNERS: usize = 3;

const ORDER_SEED: u64 = 0x7469_636b_6574_7301;

/// The daemons of one availability zone in the order of their hashes, as one of them sees it.
///
/// The first [`ZONE_READERS`] read the log and each is the root of a tree with
/// [`RELAY_FAN_OUT`] children for each node. Two daemons with different members in view hand some
/// records on twice and miss some; what is missed is pulled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneTree {
    order: Vec<SocketAddr>,
    position: usize,
    remote: BTreeMap<Arc<str>, SmallVec<[SocketAddr; REMOTE_PARTNERS]>>,
}

impl ZoneTree {
    /// The order among `members` for the daemon `own` in `zone`, which need not be among them.
    pub fn new(members: &[UpstreamMember], own: InstanceId, zone: &str) -> Self {
        let (near, far): (Vec<_>, Vec<_>) =
            members.iter().partition(|member| &*member.availability_zone == zone);
        let near = near.iter().map(|member| member.instance);
        let others = near.filter(|instance| instance.address != own.address);
        let mut scored: Vec<_> = others.map(|instance| (score(instance, 0), instance)).collect();
        scored.push((score(own, 0), own));
        scored.sort_unstable();
        let order: Vec<_> = scored.iter().map(|(_, instance)| instance.address).collect();
        let position = order.iter().position(|address| *address == own.address).unwrap_or(0);
        ZoneTree { order, position, remote: choose_remote(&far, own) }
    }

    /// This daemon's place in the order.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Whether this daemon reads the log.
    pub fn is_reader(&self) -> bool {
        self.position < ZONE_READERS
    }

    /// Whether this daemon reads the log when the contact is lost.
    pub fn is_standby(&self) -> bool {
        self.position < STANDBY_READERS
    }

    /// The daemon that hands records to this one; none for a reader.
    pub fn parent(&self) -> Option<SocketAddr> {
        let parent = self.position.checked_sub(ZONE_READERS)? / RELAY_FAN_OUT;
        self.order.get(parent).copied()
    }

    /// The daemons that this one hands records to.
    pub fn children(&self) -> &[SocketAddr] {
        let children = child_positions(self.position);
        let end = children.end.min(self.order.len());
        self.order.get(children.start..end).unwrap_or_default()
    }

    /// Another daemon of the zone, chosen by `draw`.
    pub fn neighbour(&self, draw: usize) -> Option<SocketAddr> {
        let others = self.order.len().checked_sub(1).filter(|others| *others > 0)?;
        let index = (self.position + 1 + draw % others) % self.order.len();
        Some(self.order[index])
    }

    /// The daemon to ask in each other zone, in turn by `turn`.
    pub fn remote_peers(&self, turn: usize) -> Vec<ZoneAddress> {
        let partners = self.remote.iter();
        let entry = |(zone, partners): (&Arc<str>, &SmallVec<_>)| ZoneAddress {
            zone: zone.clone(),
            address: partners[turn % partners.len()],
        };
        partners.map(entry).collect()
    }

    /// The number of daemons in the zone, this one among them.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the tree is that of no daemon at all.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

/// The positions of the children of the daemon at `position`.
pub fn child_positions(position: usize) -> Range<usize> {
    let first = ZONE_READERS + position * RELAY_FAN_OUT;
    first..first + RELAY_FAN_OUT
}

/// How many times a record is handed on before it reaches the daemon at `position`.
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
fn choose_remote(
    far: &[&UpstreamMember],
    own: InstanceId,
) -> BTreeMap<Arc<str>, SmallVec<[SocketAddr; REMOTE_PARTNERS]>> {
    let seed = score(own, 0);
    let mut scored: BTreeMap<Arc<str>, Vec<(u64, SocketAddr)>> = BTreeMap::new();
    for member in far {
        let partners = scored.entry(member.availability_zone.clone()).or_default();
        partners.push((score(member.instance, seed), member.instance.address));
    }
    let choose = |(zone, mut partners): (Arc<str>, Vec<(u64, SocketAddr)>)| {
        partners.sort_unstable();
        let chosen = partners.into_iter().take(REMOTE_PARTNERS).map(|(_, address)| address);
        (zone, chosen.collect())
    };
    scored.into_iter().map(choose).collect()
}

fn score(instance: InstanceId, salt: u64) -> u64 {
    let text = format!("{}/{}", instance.address, instance.boot);
    xxh3_64_with_seed(text.as_bytes(), ORDER_SEED ^ salt)
}
