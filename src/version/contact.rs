//! Records when the log and other daemons were last in contact.

use std::collections::BTreeMap;
use std::net::{AddrParseError, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::freshness::{CONTACT_AGE_MAX, ContactEvidence};
use crate::clock::{MilliClock, MilliTime};

/// An availability zone counts as answering for this long after an answer.
const ZONE_ANSWER_AGE_MAX: Duration = Duration::from_secs(5);

/// An availability zone and a daemon in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "ZoneText", try_from = "ZoneText")]
pub struct ZoneAddress {
    /// The availability zone.
    pub zone: Arc<str>,
    /// The peer address of a daemon of the zone.
    pub address: SocketAddr,
}

/// Addresses are encoded as text, which is the same in text and binary formats.
#[derive(Serialize, Deserialize)]
struct ZoneText {
    zone: Arc<str>,
    address: String,
}

impl From<ZoneAddress> for ZoneText {
    fn from(entry: ZoneAddress) -> Self {
        ZoneText { zone: entry.zone, address: entry.address.to_string() }
    }
}

impl TryFrom<ZoneText> for ZoneAddress {
    type Error = AddrParseError;

    fn try_from(text: ZoneText) -> Result<Self, Self::Error> {
        Ok(ZoneAddress { zone: text.zone, address: text.address.parse()? })
    }
}

#[derive(Clone, Copy, Debug)]
struct ZoneContact {
    address: SocketAddr,
    answered_at: Option<MilliTime>,
    /// When the zone lost its last known member.
    absent_since: Option<MilliTime>,
}

impl ZoneContact {
    fn new(address: SocketAddr) -> Self {
        ZoneContact { address, answered_at: None, absent_since: None }
    }
}

#[derive(Debug, Default)]
struct PeerContacts {
    zones: BTreeMap<Arc<str>, ZoneContact>,
    /// The highest offset that a peer has reported.
    highest_offset: u64,
}

/// When the state was last known to be up to date, and which availability zones answer.
#[derive(Debug)]
pub struct ContactTable {
    clock: MilliClock,
    /// The time of the last contact in milliseconds plus one; 0 before the first.
    confirmed_at: AtomicU64,
    peers: Mutex<PeerContacts>,
}

impl ContactTable {
    /// A table without any contact.
    pub fn new(clock: MilliClock) -> Self {
        ContactTable { clock, confirmed_at: AtomicU64::new(0), peers: Mutex::default() }
    }

    /// Records that at `time` the log held no record beyond the state in force.
    pub fn confirm(&self, time: MilliTime) {
        self.confirmed_at.fetch_max(time.0 + 1, Ordering::AcqRel);
    }

    /// How long ago the state in force was last known to be up to date.
    pub fn contact_age(&self) -> Option<Duration> {
        let confirmed_at = self.confirmed_at.load(Ordering::Acquire).checked_sub(1)?;
        Some(self.clock.now().since(MilliTime(confirmed_at)))
    }

    /// Records that a daemon of `zone` has answered and has the state up to `offset`.
    pub fn record_answer(&self, zone: &Arc<str>, address: SocketAddr, offset: u64) {
        let mut peers = self.peers.lock().expect("lock not poisoned");
        let contact = peers.zones.entry(zone.clone()).or_insert(ZoneContact::new(address));
        contact.address = address;
        contact.answered_at = Some(self.clock.now());
        peers.highest_offset = peers.highest_offset.max(offset);
    }

    /// Updates which zones have daemons now.
    pub fn update_zones(&self, present: &[ZoneAddress]) {
        self.add_zones(present);
        let now = self.clock.now();
        let mut peers = self.peers.lock().expect("lock not poisoned");
        for (zone, contact) in &mut peers.zones {
            let is_present = present.iter().any(|entry| entry.zone == *zone);
            contact.absent_since =
                if is_present { None } else { contact.absent_since.or(Some(now)) };
        }
    }

    /// Removes zones without daemons, if the log was reached well after the last one was lost.
    ///
    /// A zone that is lost together with the log, or during an outage, is kept: it may be dead or
    /// partitioned off with a newer configuration, and the two are indistinguishable.
    pub fn remove_dead_zones(&self) {
        let Some(age) = self.contact_age() else { return };
        let now = self.clock.now();
        let mut peers = self.peers.lock().expect("lock not poisoned");
        let is_dead = |since: MilliTime| now.since(since) > age + CONTACT_AGE_MAX;
        peers.zones.retain(|_, contact| !contact.absent_since.is_some_and(is_dead));
    }

    /// Adds zones that a peer has reported.
    pub fn add_zones(&self, known: &[ZoneAddress]) {
        let mut peers = self.peers.lock().expect("lock not poisoned");
        for entry in known {
            let contact = ZoneContact::new(entry.address);
            peers.zones.entry(entry.zone.clone()).or_insert(contact);
        }
    }

    /// The known zones, each with the address of a daemon.
    pub fn zones(&self) -> Vec<ZoneAddress> {
        let peers = self.peers.lock().expect("lock not poisoned");
        let zones = peers.zones.iter();
        let entry = |(zone, contact): (&Arc<str>, &ZoneContact)| ZoneAddress {
            zone: zone.clone(),
            address: contact.address,
        };
        zones.map(entry).collect()
    }

    /// The evidence as of now, for a daemon whose state is at `next_offset`.
    pub fn evidence(&self, next_offset: u64) -> ContactEvidence {
        let contact_age = self.contact_age();
        let peers = self.peers.lock().expect("lock not poisoned");
        let now = self.clock.now();
        let answers = peers.zones.values().filter_map(|contact| contact.answered_at);
        ContactEvidence {
            has_state: next_offset > 0,
            contact_age,
            behind_peer: peers.highest_offset > next_offset,
            zones_known: peers.zones.len(),
            zones_answering: answers.filter(|time| now.since(*time) <= ZONE_ANSWER_AGE_MAX).count(),
        }
    }

    /// Whether the contact is recent. Lock-free, and decides nearly every request.
    pub fn is_recent(&self) -> bool {
        self.contact_age().is_some_and(|age| age <= CONTACT_AGE_MAX)
    }
}
