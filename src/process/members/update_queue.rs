//! Queue of changed entries that are disseminated to other daemons.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use super::datagram::ENTRY_BYTES_LIMIT;
use super::entry::MemberEntry;

/// Sends of an entry for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Sends of an entry in separate datagrams; later ones are piggybacked on probes only.
const PUSH_SENDS: u32 = 2;
/// Maximum size in bytes of an entry without its service and zone names.
const ENTRY_OVERHEAD_BYTES: usize = 110;

/// The order of the queue: entries with the fewest sends first, then departures before arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UpdatePriority {
    sends: u32,
    is_live: bool,
    address: SocketAddr,
}

/// Changed entries, those with the fewest sends first.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    entries: HashMap<SocketAddr, (UpdatePriority, MemberEntry)>,
    order: BTreeSet<UpdatePriority>,
}

impl UpdateQueue {
    /// Adds an entry, which replaces an older one of the same address.
    pub fn add(&mut self, entry: MemberEntry) {
        let address = entry.instance.address;
        let priority = UpdatePriority { sends: 0, is_live: entry.is_live(), address };
        if let Some((previous, _)) = self.entries.insert(address, (priority, entry)) {
            self.order.remove(&previous);
        }
        self.order.insert(priority);
    }

    /// Whether an entry waits to be sent in a separate datagram.
    pub fn has_urgent(&self) -> bool {
        self.order.first().is_some_and(|priority| priority.sends < PUSH_SENDS)
    }

    /// Whether no entry waits to be sent.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Selects the entries for one datagram and counts the send, in a fleet of `member_count`
    /// daemons.
    pub fn take(&mut self, member_count: usize) -> Vec<MemberEntry> {
        let doublings = usize::BITS - member_count.leading_zeros();
        let limit = SENDS_PER_DOUBLING * doublings.max(2);
        let mut selected = Vec::new();
        let mut bytes = 0;
        for priority in &self.order {
            let (_, entry) = &self.entries[&priority.address];
            bytes += entry_bytes(entry);
            if bytes > ENTRY_BYTES_LIMIT {
                break;
            }
            selected.push((*priority, entry.clone()));
        }
        for (priority, _) in &selected {
            self.mark_sent(*priority, limit);
        }
        selected.into_iter().map(|(_, entry)| entry).collect()
    }

    fn mark_sent(&mut self, priority: UpdatePriority, limit: u32) {
        self.order.remove(&priority);
        let next = UpdatePriority { sends: priority.sends + 1, ..priority };
        if next.sends >= limit {
            self.entries.remove(&priority.address);
            return;
        }
        self.order.insert(next);
        if let Some(entry) = self.entries.get_mut(&priority.address) {
            entry.0 = next;
        }
    }
}

fn entry_bytes(entry: &MemberEntry) -> usize {
    let service = entry.service.as_ref().map_or(0, |service| service.len());
    ENTRY_OVERHEAD_BYTES + service + entry.availability_zone.len()
}
