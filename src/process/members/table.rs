//! The member table of this daemon.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, RwLock, RwLockReadGuard, RwLockWriteGuard};

use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::entry::{InstanceId, MemberEntry, MemberLiveness, MemberRecord, UpstreamMember};

/// Number of buckets of the table, which two daemons compare by digest.
pub const BUCKET_COUNT: usize = 64;

/// The members by address. A newer run at an address replaces the older one.
#[derive(Debug)]
pub struct MemberTable {
    state: RwLock<TableState>,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct TableState {
    entries: BTreeMap<SocketAddr, MemberEntry>,
    by_service: HashMap<Arc<str>, Arc<[UpstreamMember]>>,
    by_zone: BTreeMap<Arc<str>, Vec<InstanceId>>,
    unreachable: BTreeSet<Arc<str>>,
    digests: [u64; BUCKET_COUNT],
}

impl Default for MemberTable {
    fn default() -> Self {
        let state = TableState {
            entries: BTreeMap::new(),
            by_service: HashMap::new(),
            by_zone: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            digests: [0; BUCKET_COUNT],
        };
        MemberTable { state: RwLock::new(state), changes: watch::Sender::new(0) }
    }
}

impl MemberTable {
    /// Stores an entry if it is greater than the stored one for its address. Returns whether it was
    /// stored.
    pub fn merge(&self, entry: MemberEntry) -> bool {
        let changed = self.write().merge(entry);
        if changed {
            self.notify_change();
        }
        changed
    }

    /// Applies a record of the members stream.
    pub fn apply(&self, record: MemberRecord) {
        match record {
            MemberRecord::Entry(entry) => {
                self.merge(entry);
            }
            MemberRecord::Join(member) => self.join(member),
            MemberRecord::Leave { instance } => self.leave(instance),
        }
    }

    fn join(&self, member: UpstreamMember) {
        let known = self.entry_at(member.instance.address);
        if known.as_ref().and_then(MemberEntry::upstream).as_ref() == Some(&member) {
            return;
        }
        self.merge(MemberEntry {
            incarnation: known.map_or(0, |entry| entry.incarnation + 1),
            liveness: MemberLiveness::Alive,
            instance: member.instance,
            service: Some(member.service),
            availability_zone: member.availability_zone,
        });
    }

    fn leave(&self, instance: InstanceId) {
        let known = self.entry_at(instance.address).filter(|entry| entry.instance == instance);
        if let Some(entry) = known {
            self.merge(MemberEntry { liveness: MemberLiveness::Leaving, ..entry });
        }
    }

    /// Subscribes to changes of the table.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The members that serve `service`, as a snapshot shared with other readers.
    pub fn upstreams(&self, service: &str) -> Arc<[UpstreamMember]> {
        self.read().by_service.get(service).cloned().unwrap_or_default()
    }

    /// Every upstream in a reachable zone, by address.
    pub fn all_upstreams(&self) -> Vec<UpstreamMember> {
        let state = self.read();
        let entries = state.entries.values().filter(|entry| state.is_reachable(entry));
        entries.filter_map(MemberEntry::upstream).collect()
    }

    /// Every entry, including those of daemons that left or died.
    pub fn entries(&self) -> Vec<MemberEntry> {
        self.read().entries.values().cloned().collect()
    }

    /// The run at `address`, if it is a live member.
    pub fn instance_at(&self, address: SocketAddr) -> Option<InstanceId> {
        self.entry_at(address).filter(MemberEntry::is_live).map(|entry| entry.instance)
    }

    /// The entry of the daemon at `address`.
    pub fn entry_at(&self, address: SocketAddr) -> Option<MemberEntry> {
        self.read().entries.get(&address).cloned()
    }

    /// The liveness of this run; a superseded run is dead.
    pub fn liveness(&self, instance: InstanceId) -> Option<MemberLiveness> {
        let entry = self.entry_at(instance.address)?;
        Some(if entry.instance == instance { entry.liveness } else { MemberLiveness::Dead })
    }

    /// The live daemons in an availability zone, with and without a backend server.
    pub fn live_in_zone(&self, zone: &str) -> Vec<InstanceId> {
        self.read().by_zone.get(zone).cloned().unwrap_or_default()
    }

    /// The availability zones that have live members.
    pub fn zones(&self) -> Vec<Arc<str>> {
        self.read().by_zone.keys().cloned().collect()
    }

    /// The number of live daemons.
    pub fn live_count(&self) -> usize {
        self.read().by_zone.values().map(Vec::len).sum()
    }

    /// Sets whether this daemon can reach a zone. Upstreams of an unreachable zone are not used.
    pub fn set_zone_reachable(&self, zone: &Arc<str>, reachable: bool) {
        if self.write().set_zone_reachable(zone, reachable) {
            self.notify_change();
        }
    }

    /// Whether this daemon can reach a zone, according to its probes.
    pub fn is_zone_reachable(&self, zone: &str) -> bool {
        !self.read().unreachable.contains(zone)
    }

    /// The runs in a zone that are dead and not superseded.
    pub fn dead_in_zone(&self, zone: &str) -> Vec<InstanceId> {
        let state = self.read();
        let entries = state.entries.values().filter(|entry| &*entry.availability_zone == zone);
        let dead = entries.filter(|entry| entry.liveness == MemberLiveness::Dead);
        dead.map(|entry| entry.instance).collect()
    }

    /// The runs that left or died and were not superseded.
    pub fn departed(&self) -> Vec<InstanceId> {
        let state = self.read();
        let departed = state.entries.values().filter(|entry| !entry.is_live());
        departed.map(|entry| entry.instance).collect()
    }

    /// A digest of the live members in each bucket.
    pub fn digests(&self) -> [u64; BUCKET_COUNT] {
        self.read().digests
    }

    /// A digest of the whole table.
    pub fn digest(&self) -> u64 {
        self.read().digests.iter().fold(0, |all, digest| all.rotate_left(1) ^ digest)
    }

    /// The entries of the buckets whose digests differ from `digests`.
    pub fn differing(&self, digests: &[u64]) -> Vec<MemberEntry> {
        let state = self.read();
        let differs = |bucket: usize| digests.get(bucket) != Some(&state.digests[bucket]);
        let entries = state.entries.values();
        entries.filter(|entry| differs(bucket(entry.instance.address))).cloned().collect()
    }

    /// Removes the entries of departed daemons for which `is_old` returns true.
    pub fn remove_departed(&self, is_old: impl Fn(&MemberEntry) -> bool) {
        let mut state = self.write();
        let old = state.entries.values().filter(|entry| !entry.is_live() && is_old(entry));
        let old: Vec<MemberEntry> = old.cloned().collect();
        for entry in old {
            state.remove(&entry);
        }
    }

    fn notify_change(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn read(&self) -> RwLockReadGuard<'_, TableState> {
        self.state.read().expect("lock not poisoned")
    }

    fn write(&self) -> RwLockWriteGuard<'_, TableState> {
        self.state.write().expect("lock not poisoned")
    }
}

impl TableState {
    fn merge(&mut self, entry: MemberEntry) -> bool {
        let known = self.entries.get(&entry.instance.address).cloned();
        if known.as_ref().is_some_and(|known| *known >= entry) {
            return false;
        }
        if let Some(known) = &known {
            self.remove(known);
        }
        self.insert(entry);
        true
    }

    fn insert(&mut self, entry: MemberEntry) {
        let address = entry.instance.address;
        if entry.is_live() {
            self.digests[bucket(address)] ^= digest(&entry);
            let zone = self.by_zone.entry(entry.availability_zone.clone()).or_default();
            zone.push(entry.instance);
        }
        self.publish(address, &entry);
        self.entries.insert(address, entry);
    }

    fn remove(&mut self, entry: &MemberEntry) {
        let address = entry.instance.address;
        if entry.is_live() {
            self.digests[bucket(address)] ^= digest(entry);
        }
        if let Some(zone) = self.by_zone.get_mut(&entry.availability_zone) {
            zone.retain(|instance| *instance != entry.instance);
            if zone.is_empty() {
                self.by_zone.remove(&entry.availability_zone);
            }
        }
        if let Some(service) = &entry.service {
            self.replace(service, address, None);
        }
        self.entries.remove(&address);
    }

    fn publish(&mut self, address: SocketAddr, entry: &MemberEntry) {
        if let Some(service) = &entry.service {
            let upstream = entry.upstream().filter(|_| self.is_reachable(entry));
            self.replace(service, address, upstream);
        }
    }

    fn replace(&mut self, service: &Arc<str>, address: SocketAddr, new: Option<UpstreamMember>) {
        let members = self.by_service.entry(service.clone()).or_default();
        let kept = members.iter().filter(|member| member.instance.address != address);
        *members = kept.cloned().chain(new).collect();
        if members.is_empty() {
            self.by_service.remove(service);
        }
    }

    fn is_reachable(&self, entry: &MemberEntry) -> bool {
        !self.unreachable.contains(&entry.availability_zone)
    }

    fn set_zone_reachable(&mut self, zone: &Arc<str>, reachable: bool) -> bool {
        let changed = match reachable {
            true => self.unreachable.remove(zone),
            false => self.unreachable.insert(zone.clone()),
        };
        if changed {
            let entries = self.entries.values().filter(|entry| entry.availability_zone == *zone);
            let entries: Vec<MemberEntry> = entries.cloned().collect();
            for entry in entries {
                self.publish(entry.instance.address, &entry);
            }
        }
        changed
    }
}

fn bucket(address: SocketAddr) -> usize {
    xxh3_64(address.to_string().as_bytes()) as usize % BUCKET_COUNT
}

/// Excludes suspicions, because they are transient.
fn digest(entry: &MemberEntry) -> u64 {
    let mut bytes = Vec::with_capacity(160);
    let entry = MemberEntry { liveness: MemberLiveness::Alive, ..entry.clone() };
    ciborium::into_writer(&entry, &mut bytes).expect("writing to memory succeeds");
    xxh3_64(&bytes)
}
