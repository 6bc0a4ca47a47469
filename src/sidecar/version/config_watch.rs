//! Reads the configuration from the platform's store and proves its freshness.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::policy::freshness::{ReadSchedule, proven_at};
use crate::sidecar::process::decision_log::LineCategory;
use crate::sidecar::process::keyed_store::{StoreError, StoreRead, StoreTopic};
use crate::sidecar::process::sidecar_shared::SidecarShared;

const RETRY_DELAY: Duration = Duration::from_millis(150);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(900);

#[derive(Serialize)]
struct ConfigLine {
    version: u64,
    previous: u64,
    routes: usize,
    cursor: u64,
}

#[derive(Serialize)]
struct ConfigErrorLine {
    cursor: u64,
    problem: String,
}

/// Reads new configurations until the task is aborted.
pub(crate) async fn follow_config(shared: Arc<SidecarShared>) {
    let mut delay = RETRY_DELAY;
    // The first read after a failure does not wait for changes: it yields a proof at once.
    let mut wait = Duration::ZERO;
    loop {
        match read_config(&shared, wait).await {
            Ok(()) => {
                delay = RETRY_DELAY;
                wait =
                    wait_for_read(&shared, StoreTopic::Configuration, ReadSchedule::CONFIGURATION)
                        .await;
            }
            Err(error) => {
                if error == StoreError::Expired {
                    shared.store_view.configuration.clear_cursor();
                }
                shared.store_failed("configuration", &error);
                sleep(delay).await;
                wait = Duration::ZERO;
                delay = (delay * 2).min(RETRY_DELAY_MAX);
            }
        }
    }
}

/// Waits until this daemon has to read `topic` itself; returns the maximum wait of the read for
/// changes. The reader of an availability zone reads at once, the others request its proofs.
pub(crate) async fn wait_for_read(
    shared: &SidecarShared,
    topic: StoreTopic,
    schedule: ReadSchedule,
) -> Duration {
    let view = shared.store_view.topic(topic);
    loop {
        let Some(reader) = shared.store_reader() else {
            return schedule.changes_wait;
        };
        if let Some(link) = reader.link() {
            link.request_proof(shared.clock.now());
        }
        let Some(delay) = schedule.ask_delay(view.age(shared.clock.now())) else {
            return Duration::ZERO;
        };
        if timeout(delay, view.wait_until_behind()).await.is_ok() {
            return Duration::ZERO;
        }
    }
}

/// Reads from the current position, or a snapshot without one.
async fn read_config(shared: &Arc<SidecarShared>, wait: Duration) -> Result<(), StoreError> {
    let requested = shared.clock.now();
    let read = match shared.store_view.configuration.cursor() {
        Some(cursor) => shared.store.changes(StoreTopic::Configuration, cursor, wait).await?,
        None => shared.store.snapshot(StoreTopic::Configuration).await?,
    };
    apply_read(shared, &read);
    let proven = proven_at(requested, read.records.is_empty(), wait);
    shared.store_view.configuration.record_read(read.cursor, proven);
    if !read.records.is_empty() {
        shared.store_view.notify_change();
    }
    shared.store_answered("configuration");
    Ok(())
}

fn apply_read(shared: &Arc<SidecarShared>, read: &StoreRead) {
    let key = shared.dialect.config_key();
    let newest = read.records.iter().rev().find(|record| record.key == key);
    let Some(value) = newest.and_then(|record| record.value.as_ref()) else {
        return;
    };
    match shared.dialect.config(value) {
        Ok(config) => {
            let previous = shared.config_version();
            if config.version <= previous {
                return;
            }
            let (version, routes) = (config.version, config.route_count());
            shared.apply_config(config);
            let change = ConfigLine { version, previous, routes, cursor: read.cursor };
            shared.log.write(LineCategory::Change, "configuration", &change);
        }
        Err(error) => {
            let line = ConfigErrorLine { cursor: read.cursor, problem: error.to_string() };
            shared.log.write(LineCategory::Failure, "configuration-unreadable", &line);
        }
    }
}
