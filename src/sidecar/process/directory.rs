//! The directory of daemons in the platform's store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::backend_watch::restore_leaves;
use super::crash_watch::OwnReports;
use super::decision_log::LineCategory;
use super::keyed_store::{StoreError, StoreTopic};
use super::sidecar_shared::SidecarShared;
use super::topic_replica::TopicChange;
use crate::clock::MilliTime;
use crate::policy::incarnation::LeaveRecord;
use crate::policy::read_schedule::spread_by_key;
use crate::policy::store_position::{StoreEra, StorePosition};
use crate::sidecar::connection::peer_link::maintain_link;

/// Delay after the first write of this daemon's record that failed; it doubles up to the maximum.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(600);
const WRITE_RETRY_DELAY_MAX: Duration = Duration::from_millis(4_800);
/// A write without an answer may have taken effect, or may do so soon: its record is awaited for
/// this long before it is written again.
const WRITE_CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Entries that the copy lacks from which the store came back are kept for this long, in which their
/// daemons write them again.
const CARRIED_SPAN: Duration = Duration::from_secs(10);
/// Daemons that write their records again do so within this time.
const REWRITE_SPAN: Duration = Duration::from_millis(500);
/// Daemons that record the version that they know do so within this time, so that one is enough.
const KNOWN_VERSION_SPAN: Duration = Duration::from_millis(200);
/// Time between checks whether other links are needed.
const LINK_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A daemon's record, keyed by its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DirectoryEntry {
    pub(crate) name: Arc<str>,
    /// The address for other daemons.
    pub(crate) address: SocketAddr,
    pub(crate) service: Arc<str>,
    pub(crate) availability_zone: Arc<str>,
    /// The last leaves of backend servers there; the daemon restores them after a restart.
    #[serde(flatten)]
    pub(crate) leaves: LeaveRecord,
    /// Ends of its backend server.
    #[serde(default)]
    pub(crate) crashes: OwnReports,
    /// The configuration that it knew of when it wrote the record.
    #[serde(default)]
    pub(crate) known: Option<KnownVersion>,
}

/// A version of the configuration that was acknowledged before or in an era of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KnownVersion {
    pub(crate) era: StoreEra,
    pub(crate) version: u64,
}

impl DirectoryEntry {
    /// Whether both say the same about the daemon.
    fn describes_same(&self, other: &DirectoryEntry) -> bool {
        let known = self.known;
        *self == DirectoryEntry { known, ..other.clone() }
    }
}

#[derive(Serialize)]
struct DirectoryLine<'a> {
    daemons: usize,
    cursor: StorePosition,
    names: &'a [&'a str],
}

#[derive(Serialize)]
struct UnreadableRecordLine<'a> {
    topic: &'static str,
    key: &'a str,
    problem: String,
}

/// The newest record of each name and of each address.
#[derive(Debug, Default)]
pub(crate) struct DirectoryView {
    entries: Vec<DirectoryEntry>,
    positions: HashMap<Arc<str>, StorePosition>,
    era: StoreEra,
    /// Names of entries from before the store came back, and until when they are kept.
    carried: HashMap<Arc<str>, MilliTime>,
    /// The last leaves at each daemon, also if its record was lost.
    leaves: HashMap<Arc<str>, LeaveRecord>,
}

impl DirectoryView {
    fn apply(&mut self, shared: &SidecarShared, change: &TopicChange) {
        if change.era > self.era {
            let until = shared.clock.now() + CARRIED_SPAN;
            let names = self.entries.iter().map(|entry| (entry.name.clone(), until));
            self.carried = names.collect();
            self.era = change.era;
        } else if change.is_snapshot {
            self.entries.retain(|entry| self.carried.contains_key(&entry.name));
        }
        for record in &change.records {
            self.entries.retain(|entry| *entry.name != *record.key);
            self.carried.remove(&*record.key);
            let Some(value) = &record.value else {
                continue;
            };
            match serde_json::from_slice::<DirectoryEntry>(value) {
                Ok(entry) if *entry.name == *record.key => {
                    self.hold_leaves(&entry.name, &entry.leaves);
                    for report in &entry.crashes {
                        shared.crash_watch.learn(shared, report);
                    }
                    self.insert(entry, record.position);
                }
                Ok(_) => report_unreadable(shared, &record.key, "the name differs from the key"),
                Err(error) => report_unreadable(shared, &record.key, &error.to_string()),
            }
        }
    }

    /// Adds an entry. One instance uses an address at a time, so of two records with the same
    /// address the newer one replaces the older.
    fn insert(&mut self, entry: DirectoryEntry, position: StorePosition) {
        let duplicate = self.entries.iter().position(|other| other.address == entry.address);
        if let Some(index) = duplicate {
            let other = &self.entries[index].name;
            if self.positions.get(other).is_some_and(|known| *known > position) {
                return;
            }
            self.entries.swap_remove(index);
        }
        self.positions.insert(entry.name.clone(), position);
        self.entries.push(entry);
    }

    /// Holds leaves at the daemon `name` for as long as it is listed.
    pub(crate) fn hold_leaves(&mut self, name: &Arc<str>, leaves: &LeaveRecord) {
        if !leaves.is_empty() {
            self.leaves.entry(name.clone()).or_default().update(leaves);
        }
    }

    /// The last leaves of backend servers at the daemon `name`.
    pub(crate) fn leaves_at(&self, name: &str) -> Option<&LeaveRecord> {
        self.leaves.get(name)
    }

    /// Drops carried entries that were not written again in time; whether there were any.
    fn drop_carried(&mut self, now: MilliTime) -> bool {
        let is_expired = |until: &MilliTime| now >= *until;
        let before = self.entries.len();
        let carried = &self.carried;
        self.entries.retain(|entry| !carried.get(&entry.name).is_some_and(is_expired));
        self.carried.retain(|_, until| !is_expired(until));
        self.entries.len() < before
    }

    fn own_entry<'a>(&'a self, shared: &SidecarShared) -> Option<&'a DirectoryEntry> {
        self.entries.iter().find(|entry| entry.name == shared.settings.name)
    }

    fn publish(&mut self, shared: &Arc<SidecarShared>) {
        let entries = &self.entries;
        self.leaves.retain(|name, _| entries.iter().any(|entry| entry.name == *name));
        let own_name = &shared.settings.name;
        let others = self.entries.iter().filter(|entry| entry.name != *own_name).cloned();
        shared.peers.set_entries(others.collect());
        connect_peers(shared);
        let own_service = &shared.settings.service;
        let instances = self.entries.iter().filter(|entry| entry.service == *own_service);
        shared.backend_admission.set_instances(instances.count());
        let names: Vec<&str> = self.entries.iter().take(8).map(|entry| &*entry.name).collect();
        let cursor = shared.store_view.directory.cursor().unwrap_or_default();
        let line = DirectoryLine { daemons: self.entries.len(), cursor, names: &names };
        shared.log.write(LineCategory::Change, "directory", &line);
    }
}

/// Opens and closes links so that they match the directory and the services in use.
pub(crate) fn connect_peers(shared: &Arc<SidecarShared>) {
    shared.peers.refresh(|peer| tokio::spawn(maintain_link(shared.clone(), peer)));
}

/// Keeps the links as planned until the task is aborted.
pub(crate) async fn maintain_links(shared: Arc<SidecarShared>) {
    loop {
        sleep(LINK_CHECK_INTERVAL).await;
        let mut view = shared.directory.lock().expect("lock not poisoned");
        if view.drop_carried(shared.clock.now()) {
            view.publish(&shared);
        }
        drop(view);
        shared.peers.close_idle_links();
        if shared.peers.needs_refresh() {
            connect_peers(&shared);
        }
    }
}

/// Applies changed records of the directory, whatever their source.
pub(crate) fn apply_directory(shared: &Arc<SidecarShared>, change: &TopicChange) {
    let mut view = shared.directory.lock().expect("lock not poisoned");
    view.apply(shared, change);
    if let Some(leaves) = view.leaves_at(&shared.settings.name) {
        restore_leaves(shared, leaves);
    }
    if let Some(own) = view.own_entry(shared) {
        shared.crash_watch.restore_own(&own.crashes);
    }
    if is_own_overwritten(shared, &view, change) {
        shared.backend_watch.request_record();
    }
    let is_listed = view.own_entry(shared).is_some();
    shared.quota.record_listed(is_listed);
    shared.listed.send_replace(is_listed);
    view.publish(shared);
}

/// Whether a write of an earlier time, which the store carried out late, took the place of this
/// daemon's record and dropped its leaves.
fn is_own_overwritten(shared: &SidecarShared, view: &DirectoryView, change: &TopicChange) -> bool {
    let has_own = change.records.iter().any(|record| *record.key == *shared.settings.name);
    let leaves = shared.backend_watch.leaves();
    let is_lost = view.own_entry(shared).is_none_or(|own| own.leaves != leaves);
    has_own && is_lost && !leaves.is_empty() && !shared.stop.is_raised()
}

fn report_unreadable(shared: &SidecarShared, key: &str, problem: &str) {
    let line = UnreadableRecordLine { topic: "directory", key, problem: problem.to_owned() };
    shared.log.write(LineCategory::Failure, "record-unreadable", &line);
}

/// Writes this daemon's record unless the store has it, for instance from before a restart, and again
/// when the store came back from a copy that lacks it. Runs until the task is aborted.
pub(crate) async fn register_daemon(shared: Arc<SidecarShared>) {
    shared.backend_watch.directory_was_read().await;
    loop {
        let era = write_until_registered(&shared).await;
        wait_until_restored(&shared, era).await;
        sleep(spread_by_key(shared.own_key, REWRITE_SPAN)).await;
    }
}

/// Writes this daemon's record until the store has it; returns the era in which it has.
async fn write_until_registered(shared: &SidecarShared) -> StoreEra {
    let mut delay = WRITE_RETRY_DELAY;
    loop {
        if let Some(era) = registered_era(shared) {
            return era;
        }
        match write_own_entry(shared).await {
            Ok(era) => return era,
            Err(error) => {
                shared.store_failed("registration", &error);
                if matches!(error, StoreError::NoAnswer { .. }) {
                    let confirmed = wait_until_registered(shared);
                    if let Ok(era) = timeout(WRITE_CONFIRM_TIMEOUT, confirmed).await {
                        return era;
                    }
                }
                sleep(delay.mul_f64(0.5 + rand::random::<f64>())).await;
                delay = (delay * 2).min(WRITE_RETRY_DELAY_MAX);
            }
        }
    }
}

/// The era of the known directory, if it has this daemon's record.
fn registered_era(shared: &SidecarShared) -> Option<StoreEra> {
    let view = shared.directory.lock().expect("lock not poisoned");
    let own = view.own_entry(shared);
    let is_registered = own.is_some_and(|own| own.describes_same(&shared.own_entry()))
        && !view.carried.contains_key(&shared.settings.name);
    is_registered.then_some(view.era)
}

async fn wait_until_registered(shared: &SidecarShared) -> StoreEra {
    let mut changes = shared.store_view.subscribe();
    loop {
        if let Some(era) = registered_era(shared) {
            return era;
        }
        // The sender lives as long as `shared`.
        let _ = changes.changed().await;
    }
}

/// Waits until the directory of an era after `era` is known.
async fn wait_until_restored(shared: &SidecarShared, era: StoreEra) {
    let mut changes = shared.store_view.subscribe();
    while shared.directory.lock().expect("lock not poisoned").era <= era {
        // The sender lives as long as `shared`.
        let _ = changes.changed().await;
    }
}

/// The highest version that daemons have recorded in `era`; `None` if none did although there are
/// any. A copy of the store may lack it.
pub(crate) fn known_version(shared: &SidecarShared, era: StoreEra) -> Option<u64> {
    let view = shared.directory.lock().expect("lock not poisoned");
    if view.era != era {
        return None;
    }
    let known = view.entries.iter().filter_map(|entry| entry.known);
    let versions = known.filter(|known| known.era == era).map(|known| known.version);
    versions.max().or(view.entries.is_empty().then_some(0))
}

/// Records in each era of the store which version of the configuration was known when it began, for
/// daemons that start before the operator has written it again. Those that read the store for their
/// group do so, unless another one has. Runs until the task is aborted.
pub(crate) async fn record_known_versions(shared: Arc<SidecarShared>) {
    let mut changes = shared.store_view.subscribe();
    loop {
        // The sender lives as long as `shared`.
        let _ = changes.changed().await;
        let Some(era) = shared.store_view.witnessed_era() else {
            continue;
        };
        let is_recorded = || {
            let first_version = shared.store_view.configuration.first_version(era);
            known_version(&shared, era).is_some_and(|version| version >= first_version)
        };
        if shared.peers.reader_rank().before > 0 || is_recorded() {
            continue;
        }
        sleep(spread_by_key(shared.own_key, KNOWN_VERSION_SPAN)).await;
        if is_recorded() {
            continue;
        }
        if let Err(error) = write_own_entry(&shared).await {
            shared.store_failed("known-version", &error);
        }
    }
}

/// Writes this daemon's record once the record of an earlier process, which may hold leaves, was
/// read; returns the era of the store that acknowledged it.
pub(crate) async fn write_own_entry(shared: &SidecarShared) -> Result<StoreEra, StoreError> {
    shared.backend_watch.directory_was_read().await;
    let own = shared.own_entry();
    let value = serde_json::to_vec(&own)
        .map_err(|error| StoreError::Unreadable { reason: error.to_string() })?;
    shared.store.put(StoreTopic::Directory, &own.name, Some(&value)).await
}

/// Removes this daemon's record, for an instance that does not return.
pub(crate) async fn remove_own_entry(shared: &SidecarShared) -> Result<StoreEra, StoreError> {
    shared.store.put(StoreTopic::Directory, &shared.settings.name, None).await
}
