//! The directory of daemons in the platform's store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::decision_log::LineCategory;
use super::keyed_store::{StoreError, StoreRead, StoreTopic};
use super::sidecar_shared::SidecarShared;
use crate::policy::freshness::{ReadSchedule, proven_at};
use crate::policy::incarnation::BackendIncarnation;
use crate::sidecar::connection::peer_link::maintain_link;
use crate::sidecar::version::config_watch::wait_for_read;

const BATCH_DELAY: Duration = Duration::from_millis(400);
const RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// A daemon's record, keyed by its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DirectoryEntry {
    pub(crate) name: Arc<str>,
    /// The address for other daemons.
    pub(crate) address: SocketAddr,
    pub(crate) service: Arc<str>,
    pub(crate) availability_zone: Arc<str>,
    /// The last backend server there that left; the daemon restores it after a restart.
    #[serde(default)]
    pub(crate) left: Option<BackendIncarnation>,
}

#[derive(Serialize)]
struct DirectoryLine<'a> {
    daemons: usize,
    cursor: u64,
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
struct DirectoryView {
    entries: Vec<DirectoryEntry>,
    positions: HashMap<Arc<str>, u64>,
}

impl DirectoryView {
    fn apply(&mut self, shared: &SidecarShared, read: &StoreRead) {
        for record in &read.records {
            self.entries.retain(|entry| *entry.name != *record.key);
            let Some(value) = &record.value else {
                continue;
            };
            match serde_json::from_slice::<DirectoryEntry>(value) {
                Ok(entry) if *entry.name == *record.key => self.insert(entry, record.position),
                Ok(_) => report_unreadable(shared, &record.key, "the name differs from the key"),
                Err(error) => report_unreadable(shared, &record.key, &error.to_string()),
            }
        }
    }

    /// Adds an entry. One instance uses an address at a time, so of two records with the same
    /// address the newer one replaces the older.
    fn insert(&mut self, entry: DirectoryEntry, position: u64) {
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

    fn own_entry<'a>(&'a self, shared: &SidecarShared) -> Option<&'a DirectoryEntry> {
        self.entries.iter().find(|entry| entry.name == shared.settings.name)
    }

    fn publish(&self, shared: &Arc<SidecarShared>, cursor: u64) {
        let own_name = &shared.settings.name;
        let others: Vec<DirectoryEntry> =
            self.entries.iter().filter(|entry| entry.name != *own_name).cloned().collect();
        let zone = &shared.settings.availability_zone;
        shared.peers.update(&shared.clock, zone, &others, |peer| {
            tokio::spawn(maintain_link(shared.clone(), peer))
        });
        shared.quota.set_members(self.entries.len());
        shared.retries.lock().expect("lock not poisoned").set_members(self.entries.len());
        let names: Vec<&str> = self.entries.iter().take(8).map(|entry| &*entry.name).collect();
        let change = DirectoryLine { daemons: self.entries.len(), cursor, names: &names };
        shared.log.write(LineCategory::Change, "directory", &change);
    }
}

fn report_unreadable(shared: &SidecarShared, key: &str, problem: &str) {
    let line = UnreadableRecordLine { topic: "directory", key, problem: problem.to_owned() };
    shared.log.write(LineCategory::Failure, "record-unreadable", &line);
}

/// Keeps this daemon's record and the peer table up to date. Runs until the task is aborted.
pub(crate) async fn follow_directory(shared: Arc<SidecarShared>) {
    loop {
        if let Err(error) = follow_once(&shared).await {
            shared.store_failed("directory", &error);
            sleep(RETRY_DELAY).await;
        }
    }
}

async fn follow_once(shared: &Arc<SidecarShared>) -> Result<(), StoreError> {
    let mut view = DirectoryView::default();
    let requested = shared.clock.now();
    let mut read = shared.store.snapshot(StoreTopic::Directory).await?;
    view.apply(shared, &read);
    if let Some(left) = view.own_entry(shared).and_then(|entry| entry.left.clone()) {
        shared.backend_watch.restore_left(left);
    }
    shared.quota.record_join(view.own_entry(shared).is_some());
    shared.backend_watch.mark_directory_read();
    view.publish(shared, read.cursor);
    shared.store_view.directory.record_read(read.cursor, requested);
    let own = shared.own_entry();
    if view.own_entry(shared) != Some(&own) {
        write_own_entry(shared, &own).await?;
    }
    loop {
        // Many daemons start or stop together: the delay lets one read cover them.
        sleep(BATCH_DELAY).await;
        let wait = wait_for_read(shared, StoreTopic::Directory, ReadSchedule::DIRECTORY).await;
        let requested = shared.clock.now();
        read = shared.store.changes(StoreTopic::Directory, read.cursor, wait).await?;
        shared.store_answered("directory");
        let proven = proven_at(requested, read.records.is_empty(), wait);
        if !read.records.is_empty() {
            view.apply(shared, &read);
            view.publish(shared, read.cursor);
        }
        shared.store_view.directory.record_read(read.cursor, proven);
        if !read.records.is_empty() {
            shared.store_view.notify_change();
        }
    }
}

/// Writes this daemon's record.
pub(crate) async fn write_own_entry(
    shared: &SidecarShared,
    own: &DirectoryEntry,
) -> Result<(), StoreError> {
    let value = serde_json::to_vec(own)
        .map_err(|error| StoreError::Unreadable { reason: error.to_string() })?;
    shared.store.put(StoreTopic::Directory, &own.name, Some(&value)).await
}

/// Removes this daemon's record, for an instance that does not return.
pub(crate) async fn remove_own_entry(shared: &SidecarShared) -> Result<(), StoreError> {
    shared.store.put(StoreTopic::Directory, &shared.settings.name, None).await
}
