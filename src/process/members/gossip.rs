//! This daemon's own entry, what it learns of others and what it passes on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::entry::{InstanceId, MemberEntry, MemberLiveness};
use super::table::MemberTable;
use super::update_queue::UpdateQueue;
use crate::clock::{MilliClock, MilliTime, wall_time};

/// How long a suspected member has to refute.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// From so many entries at once on, they are news to this daemon alone and are not passed on.
const BULK_ENTRIES: usize = 64;

#[derive(Clone, Debug)]
struct Suspicion {
    entry: MemberEntry,
    deadline: MilliTime,
}

/// What this daemon tells others of members.
#[derive(Debug)]
pub struct MemberGossip {
    table: Arc<MemberTable>,
    clock: MilliClock,
    own: watch::Sender<MemberEntry>,
    updates: Mutex<UpdateQueue>,
    suspicions: Mutex<HashMap<SocketAddr, Suspicion>>,
    urgent: Notify,
}

impl MemberGossip {
    /// Gossip of a daemon that has no backend server yet.
    pub fn new(
        table: Arc<MemberTable>,
        clock: MilliClock,
        instance: InstanceId,
        availability_zone: Arc<str>,
    ) -> Self {
        let own = MemberEntry {
            incarnation: wall_time().0,
            liveness: MemberLiveness::Alive,
            instance,
            service: None,
            availability_zone,
        };
        table.merge(own.clone());
        MemberGossip {
            table,
            clock,
            own: watch::Sender::new(own),
            updates: Mutex::default(),
            suspicions: Mutex::default(),
            urgent: Notify::new(),
        }
    }

    /// The table that is kept up to date.
    pub fn table(&self) -> &Arc<MemberTable> {
        &self.table
    }

    /// This daemon's newest entry for itself.
    pub fn own(&self) -> MemberEntry {
        self.own.borrow().clone()
    }

    /// Reports each change of the own entry.
    pub fn subscribe_own(&self) -> watch::Receiver<MemberEntry> {
        self.own.subscribe()
    }

    /// Says which service the backend server in the slot serves, if one takes work.
    pub fn set_service(&self, service: Option<Arc<str>>) {
        self.change_own(|own| {
            let changed = own.service != service;
            own.service = service;
            changed
        });
    }

    /// Says that this daemon is stopping.
    pub fn leave(&self) {
        self.change_own(|own| {
            let changed = own.liveness != MemberLiveness::Leaving;
            own.liveness = MemberLiveness::Leaving;
            changed
        });
    }

    /// Takes one entry in and passes it on if it is news.
    pub fn merge_and_spread(&self, entry: MemberEntry) {
        if self.merge(&entry) {
            self.spread(entry);
        }
    }

    /// Takes many entries in; passes them on unless they are too many to be news to others.
    pub fn merge_many(&self, entries: Vec<MemberEntry>) {
        let pass_on = entries.len() < BULK_ENTRIES;
        for entry in entries {
            if self.merge(&entry) && pass_on {
                self.spread(entry);
            }
        }
    }

    /// Takes an entry of the log in; every daemon reads the log by itself.
    pub fn merge(&self, entry: &MemberEntry) -> bool {
        if entry.instance.address == self.own.borrow().instance.address {
            self.defend(entry);
            return false;
        }
        let changed = self.table.merge(entry.clone());
        if changed {
            self.note_suspicion(entry);
        }
        changed
    }

    /// Declares members dead whose time to refute has passed.
    pub fn expire_suspicions(&self) {
        let now = self.clock.now();
        let mut expired = Vec::new();
        let mut suspicions = self.suspicions.lock().expect("no holder panics");
        suspicions.retain(|_, suspicion| {
            let waits = now < suspicion.deadline;
            if !waits {
                expired.push(suspicion.entry.clone());
            }
            waits
        });
        drop(suspicions);
        for entry in expired {
            if self.table.entry_at(entry.instance.address).as_ref() == Some(&entry) {
                self.merge_and_spread(MemberEntry { liveness: MemberLiveness::Dead, ..entry });
            }
        }
    }

    /// Gives every suspected member its full time again, after this process stood still.
    pub fn extend_suspicions(&self) {
        let deadline = self.clock.now() + SUSPICION_TIMEOUT;
        let mut suspicions = self.suspicions.lock().expect("no holder panics");
        suspicions.values_mut().for_each(|suspicion| suspicion.deadline = deadline);
    }

    /// Entries for the next datagram.
    pub(super) fn take_updates(&self) -> Vec<MemberEntry> {
        let count = self.table.live_count();
        self.updates.lock().expect("no holder panics").take(count)
    }

    /// Whether an entry waits for a datagram of its own.
    pub(super) fn has_urgent(&self) -> bool {
        self.updates.lock().expect("no holder panics").has_urgent()
    }

    /// Whether everything learned was passed on.
    pub(super) fn has_no_updates(&self) -> bool {
        self.updates.lock().expect("no holder panics").is_empty()
    }

    /// Waits for an entry that should go out at once.
    pub(super) async fn urgent(&self) {
        self.urgent.notified().await;
    }

    fn spread(&self, entry: MemberEntry) {
        self.updates.lock().expect("no holder panics").add(entry);
        self.urgent.notify_one();
    }

    fn change_own(&self, change: impl FnOnce(&mut MemberEntry) -> bool) {
        let changed = self.own.send_if_modified(|own| {
            let changed = change(own);
            own.incarnation += u64::from(changed);
            changed
        });
        if changed {
            let own = self.own();
            self.table.merge(own.clone());
            self.spread(own);
        }
    }

    /// Overrides what others say of this daemon, or of an earlier run at its address.
    fn defend(&self, entry: &MemberEntry) {
        self.change_own(|own| {
            let contested = entry != own && entry.incarnation >= own.incarnation;
            if contested && own.liveness == MemberLiveness::Alive {
                own.incarnation = entry.incarnation;
                return true;
            }
            false
        });
    }

    /// Only members of the same zone declare each other dead: they hear refutations first.
    fn note_suspicion(&self, entry: &MemberEntry) {
        let is_near = entry.availability_zone == self.own.borrow().availability_zone;
        let mut suspicions = self.suspicions.lock().expect("no holder panics");
        if entry.liveness != MemberLiveness::Suspect || !is_near {
            suspicions.remove(&entry.instance.address);
            return;
        }
        let deadline = self.clock.now() + SUSPICION_TIMEOUT;
        let suspicion = Suspicion { entry: entry.clone(), deadline };
        suspicions.insert(entry.instance.address, suspicion);
    }
}
