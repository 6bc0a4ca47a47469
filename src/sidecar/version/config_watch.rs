//! Follows the configuration in the platform's store and proves how new the one held here is.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::policy::evidence::{ReadTerms, proven_at};
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

/// Follows the configuration until the task is aborted.
pub(crate) async fn follow_config(shared: Arc<SidecarShared>) {
    let mut delay = RETRY_DELAY;
    // The first read after a failure brings proof at once instead of after a wait.
    let mut wait = Duration::ZERO;
    loop {
        match read_config(&shared, wait).await {
            Ok(()) => {
                delay = RETRY_DELAY;
                wait = wait_for_read(&shared, StoreTopic::Configuration, ReadTerms::CONFIGURATION)
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

/// Waits until this daemon is to read `topic` itself and returns how long that read may wait for
/// changes: the reader of an availability zone reads on, the others ask it.
pub(crate) async fn wait_for_read(
    shared: &SidecarShared,
    topic: StoreTopic,
    terms: ReadTerms,
) -> Duration {
    let view = shared.store_view.topic(topic);
    loop {
        let Some(reader) = shared.store_reader() else {
            return terms.changes_wait;
        };
        if let Some(link) = reader.link() {
            link.request_proof(shared.clock.now());
        }
        let Some(delay) = terms.follow_for(view.age(shared.clock.now())) else {
            return Duration::ZERO;
        };
        if timeout(delay, view.wait_until_behind()).await.is_ok() {
            return Duration::ZERO;
        }
    }
}

/// Reads from where the last read ended.
async fn read_config(shared: &Arc<SidecarShared>, wait: Duration) -> Result<(), StoreError> {
    let asked = shared.clock.now();
    let read = match shared.store_view.configuration.cursor() {
        Some(cursor) => shared.store.changes(StoreTopic::Configuration, cursor, wait).await?,
        None => shared.store.snapshot(StoreTopic::Configuration).await?,
    };
    apply_read(shared, &read);
    let proven = proven_at(asked, read.records.is_empty(), wait);
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
            shared.install(config);
            let change = ConfigLine { version, previous, routes, cursor: read.cursor };
            shared.log.write(LineCategory::Change, "configuration", &change);
        }
        Err(error) => {
            let line = ConfigErrorLine { cursor: read.cursor, problem: error.to_string() };
            shared.log.write(LineCategory::Failure, "configuration-unreadable", &line);
        }
    }
}
