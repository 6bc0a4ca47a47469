//! This daemon's own entry, and dissemination of the entries that it receives.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::entry::{InstanceId, MemberEntry, MemberLiveness};
use super::table::MemberTable;
use super::update_queue::UpdateQueue;
use crate::clock::{MilliClock, MilliTime, wall_time};

/// How long a member has to refute a suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// A message with this many entries or more is a table transfer: its entries are new to this
/// daemon only and are not disseminated.
const BULK_THRESHOLD: usize = 64;

#[derive(Clone, Debug)]
struct Suspicion {
    entry: MemberEntry,
    deadline: MilliTime,
}

/// Merges entries into the member table and disseminates changes.
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
    /// Gossip of a daemon without a backend server.
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

    /// The member table.
    pub fn table(&self) -> &Arc<MemberTable> {
        &self.table
    }

    /// This daemon's newest entry for itself.
    pub fn own(&self) -> MemberEntry {
        self.own.borrow().clone()
    }

    /// Subscribes to changes of this daemon's entry.
    pub fn subscribe_own(&self) -> watch::Receiver<MemberEntry> {
        self.own.subscribe()
    }

    /// Sets the service of the backend server in the slot; `None` if it accepts no requests.
    pub fn set_service(&self, service: Option<Arc<str>>) {
        self.change_own(|own| {
            let changed = own.service != service;
            own.service = service;
            changed
        });
    }

    /// Announces that this daemon is stopping.
    pub fn leave(&self) {
        self.change_own(|own| {
            let changed = own.liveness != MemberLiveness::Leaving;
            own.liveness = MemberLiveness::Leaving;
            changed
        });
    }

    /// Merges an entry and disseminates it if it changed the table.
    pub fn merge_and_spread(&self, entry: MemberEntry) {
        if self.merge(&entry) {
            self.enqueue(entry);
        }
    }

    /// Merges entries and disseminates the changed ones, unless it is a table transfer.
    pub fn merge_many(&self, entries: Vec<MemberEntry>) {
        let is_update = entries.len() < BULK_THRESHOLD;
        for entry in entries {
            if self.merge(&entry) && is_update {
                self.enqueue(entry);
            }
        }
    }

    /// Merges an entry without dissemination, such as one of the log, which every daemon reads.
    pub fn merge(&self, entry: &MemberEntry) -> bool {
        if entry.instance.address == self.own.borrow().instance.address {
            self.refute(entry);
            return false;
        }
        let changed = self.table.merge(entry.clone());
        if changed {
            self.track_suspicion(entry);
        }
        changed
    }

    /// Declares members dead whose [`SUSPICION_TIMEOUT`] has passed.
    pub fn expire_suspicions(&self) {
        let now = self.clock.now();
        let mut expired = Vec::new();
        let mut suspicions = self.suspicions.lock().expect("lock not poisoned");
        suspicions.retain(|_, suspicion| {
            let is_pending = now < suspicion.deadline;
            if !is_pending {
                expired.push(suspicion.entry.clone());
            }
            is_pending
        });
        drop(suspicions);
        for entry in expired {
            if self.table.entry_at(entry.instance.address).as_ref() == Some(&entry) {
                self.merge_and_spread(MemberEntry { liveness: MemberLiveness::Dead, ..entry });
            }
        }
    }

    /// Restarts the timeout of every suspicion, after this process was paused.
    pub fn extend_suspicions(&self) {
        let deadline = self.clock.now() + SUSPICION_TIMEOUT;
        let mut suspicions = self.suspicions.lock().expect("lock not poisoned");
        suspicions.values_mut().for_each(|suspicion| suspicion.deadline = deadline);
    }

    /// Selects the entries for the next datagram.
    pub(super) fn take_updates(&self) -> Vec<MemberEntry> {
        let count = self.table.live_count();
        self.updates.lock().expect("lock not poisoned").take(count)
    }

    /// Whether an entry waits to be sent in a separate datagram.
    pub(super) fn has_urgent(&self) -> bool {
        self.updates.lock().expect("lock not poisoned").has_urgent()
    }

    /// Whether every change was disseminated.
    pub(super) fn has_no_updates(&self) -> bool {
        self.updates.lock().expect("lock not poisoned").is_empty()
    }

    /// Waits for an entry that should be sent at once.
    pub(super) async fn urgent(&self) {
        self.urgent.notified().await;
    }

    fn enqueue(&self, entry: MemberEntry) {
        self.updates.lock().expect("lock not poisoned").add(entry);
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
            self.enqueue(own);
        }
    }

    /// Refutes an entry about this daemon, or about an earlier run at its address, with a higher
    /// incarnation.
    fn refute(&self, entry: &MemberEntry) {
        self.change_own(|own| {
            let needs_refutation = entry != own && entry.incarnation >= own.incarnation;
            if needs_refutation && own.liveness == MemberLiveness::Alive {
                own.incarnation = entry.incarnation;
                return true;
            }
            false
        });
    }

    /// Starts or cancels the suspicion timeout. Only members of the same zone declare each other
    /// dead, because refutations reach them first.
    fn track_suspicion(&self, entry: &MemberEntry) {
        let is_same_zone = entry.availability_zone == self.own.borrow().availability_zone;
        let mut suspicions = self.suspicions.lock().expect("lock not poisoned");
        if entry.liveness != MemberLiveness::Suspect || !is_same_zone {
            suspicions.remove(&entry.instance.address);
            return;
        }
        let deadline = self.clock.now() + SUSPICION_TIMEOUT;
        let suspicion = Suspicion { entry: entry.clone(), deadline };
        suspicions.insert(entry.instance.address, suspicion);
    }
}
