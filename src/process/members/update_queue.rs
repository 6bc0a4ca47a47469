//! Entries on their way to other daemons.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use super::datagram::ENTRY_BYTES_LIMIT;
use super::entry::MemberEntry;

/// Sends of an entry, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Sends of an entry in datagrams of their own, before it rides on probes alone.
const EAGER_SENDS: u32 = 2;
/// Bytes of an entry besides its names, at most.
const ENTRY_OVERHEAD_BYTES: usize = 110;

/// The place of an entry in the queue: sent least first, then departures before arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UpdatePriority {
    sends: u32,
    is_live: bool,
    address: SocketAddr,
}

/// Changed entries, those sent least first.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    entries: HashMap<SocketAddr, (UpdatePriority, MemberEntry)>,
    order: BTreeSet<UpdatePriority>,
}

impl UpdateQueue {
    /// Adds an entry; an older one of its address gives way.
    pub fn add(&mut self, entry: MemberEntry) {
        let address = entry.instance.address;
        let place = UpdatePriority { sends: 0, is_live: entry.is_live(), address };
        if let Some((former, _)) = self.entries.insert(address, (place, entry)) {
            self.order.remove(&former);
        }
        self.order.insert(place);
    }

    /// Whether an entry waits for a datagram of its own.
    pub fn has_urgent(&self) -> bool {
        self.order.first().is_some_and(|place| place.sends < EAGER_SENDS)
    }

    /// Whether nothing waits to be sent.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Entries for one datagram among `member_count` daemons.
    pub fn take(&mut self, member_count: usize) -> Vec<MemberEntry> {
        let doublings = usize::BITS - member_count.leading_zeros();
        let limit = SENDS_PER_DOUBLING * doublings.max(2);
        let mut taken = Vec::new();
        let mut bytes = 0;
        for place in &self.order {
            let (_, entry) = &self.entries[&place.address];
            bytes += entry_bytes(entry);
            if bytes > ENTRY_BYTES_LIMIT {
                break;
            }
            taken.push((*place, entry.clone()));
        }
        for (place, _) in &taken {
            self.mark_sent(*place, limit);
        }
        taken.into_iter().map(|(_, entry)| entry).collect()
    }

    fn mark_sent(&mut self, place: UpdatePriority, limit: u32) {
        self.order.remove(&place);
        let next = UpdatePriority { sends: place.sends + 1, ..place };
        if next.sends >= limit {
            self.entries.remove(&place.address);
            return;
        }
        self.order.insert(next);
        if let Some(entry) = self.entries.get_mut(&place.address) {
            entry.0 = next;
        }
    }
}

fn entry_bytes(entry: &MemberEntry) -> usize {
    let service = entry.service.as_ref().map_or(0, |service| service.len());
    ENTRY_OVERHEAD_BYTES + service + entry.availability_zone.len()
}
