//! Collects the evidence of contact with the log and with other daemons.

use std::collections::BTreeMap;
use std::net::{AddrParseError, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::freshness::{CONTACT_AGE_MAX, ContactEvidence};
use crate::clock::{MilliClock, MilliTime};

/// How long an availability zone counts as answering after an answer.
const ZONE_WINDOW: Duration = Duration::from_secs(5);

/// A daemon that stands for its availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "ZoneText", try_from = "ZoneText")]
pub struct ZoneAddress {
    /// The availability zone.
    pub zone: Arc<str>,
    /// Where a daemon of the zone is reached.
    pub address: SocketAddr,
}

/// Addresses go as text, which reads the same in every format.
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
    answered: Option<MilliTime>,
    /// Since when no member of the zone is known.
    gone_since: Option<MilliTime>,
}

impl ZoneContact {
    fn new(address: SocketAddr) -> Self {
        ZoneContact { address, answered: None, gone_since: None }
    }
}

#[derive(Debug, Default)]
struct PeerContacts {
    zones: BTreeMap<Arc<str>, ZoneContact>,
    /// The highest offset that a peer is known to have.
    highest_offset: u64,
}

/// When the state was last known to be whole, and which availability zones answer.
#[derive(Debug)]
pub struct ContactTable {
    clock: MilliClock,
    /// One more than the time in milliseconds; 0 if there never was a contact.
    confirmed: AtomicU64,
    peers: Mutex<PeerContacts>,
}

impl ContactTable {
    /// A book without any contact.
    pub fn new(clock: MilliClock) -> Self {
        ContactTable { clock, confirmed: AtomicU64::new(0), peers: Mutex::default() }
    }

    /// Notes that at `time` the log held no record beyond the state in force.
    pub fn confirm(&self, time: MilliTime) {
        self.confirmed.fetch_max(time.0 + 1, Ordering::AcqRel);
    }

    /// How long ago the state in force was last known to be whole.
    pub fn contact_age(&self) -> Option<Duration> {
        let confirmed = self.confirmed.load(Ordering::Acquire).checked_sub(1)?;
        Some(self.clock.now().since(MilliTime(confirmed)))
    }

    /// Notes that a daemon of `zone` has answered and has the state up to `offset`.
    pub fn record_answer(&self, zone: &Arc<str>, address: SocketAddr, offset: u64) {
        let mut peers = self.peers.lock().expect("no holder panics");
        let contact = peers.zones.entry(zone.clone()).or_insert(ZoneContact::new(address));
        contact.address = address;
        contact.answered = Some(self.clock.now());
        peers.highest_offset = peers.highest_offset.max(offset);
    }

    /// Takes in which zones have daemons now.
    pub fn update_zones(&self, present: &[ZoneAddress]) {
        self.add_zones(present);
        let now = self.clock.now();
        let mut peers = self.peers.lock().expect("no holder panics");
        for (zone, contact) in &mut peers.zones {
            let is_present = present.iter().any(|entry| entry.zone == *zone);
            contact.gone_since = if is_present { None } else { contact.gone_since.or(Some(now)) };
        }
    }

    /// Forgets zones whose daemons are all gone, if the log was in contact long after.
    ///
    /// A zone that is lost together with the log, or during an outage, is kept: nobody can tell
    /// whether it is dead or cut off with a newer configuration.
    pub fn remove_dead_zones(&self) {
        let Some(age) = self.contact_age() else { return };
        let now = self.clock.now();
        let mut peers = self.peers.lock().expect("no holder panics");
        let is_dead = |since: MilliTime| now.since(since) > age + CONTACT_AGE_MAX;
        peers.zones.retain(|_, contact| !contact.gone_since.is_some_and(is_dead));
    }

    /// Takes in zones that a peer knows of.
    pub fn add_zones(&self, known: &[ZoneAddress]) {
        let mut peers = self.peers.lock().expect("no holder panics");
        for entry in known {
            let contact = ZoneContact::new(entry.address);
            peers.zones.entry(entry.zone.clone()).or_insert(contact);
        }
    }

    /// The zones known, each with a daemon to ask.
    pub fn zones(&self) -> Vec<ZoneAddress> {
        let peers = self.peers.lock().expect("no holder panics");
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
        let peers = self.peers.lock().expect("no holder panics");
        let now = self.clock.now();
        let answers = peers.zones.values().filter_map(|contact| contact.answered);
        ContactEvidence {
            has_state: next_offset > 0,
            contact_age,
            behind_peer: peers.highest_offset > next_offset,
            zones_known: peers.zones.len(),
            zones_answering: answers.filter(|time| now.since(*time) <= ZONE_WINDOW).count(),
        }
    }

    /// Whether the contact is recent; the answer for nearly every request, without a lock.
    pub fn is_recent(&self) -> bool {
        self.contact_age().is_some_and(|age| age <= CONTACT_AGE_MAX)
    }
}
