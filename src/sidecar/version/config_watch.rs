//! Follows the configuration in the platform's store and proves how new the one held here is.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use crate::policy::evidence::proven_at;
use crate::sidecar::process::decision_log::LineWeight;
use crate::sidecar::process::keyed_store::{StoreError, StoreRead, StoreTopic};
use crate::sidecar::process::sidecar_shared::SidecarShared;

/// How long one read waits for changes. An answer lost costs this much age of the proof, and two
/// must fit into the bound for withdrawn keys.
const CHANGES_WAIT: Duration = Duration::from_millis(1_500);
const RETRY_PAUSE: Duration = Duration::from_millis(150);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(600);

#[derive(Serialize)]
struct ConfigChange {
    version: u64,
    previous: u64,
    routes: usize,
    cursor: u64,
}

#[derive(Serialize)]
struct ConfigFault {
    cursor: u64,
    problem: String,
}

/// Follows the configuration until the task is aborted.
pub(crate) async fn follow_config(shared: Arc<SidecarShared>) {
    let mut cursor = None;
    let mut pause = RETRY_PAUSE;
    loop {
        match follow_once(&shared, &mut cursor).await {
            Ok(()) => pause = RETRY_PAUSE,
            Err(error) => {
                if error == StoreError::Expired {
                    cursor = None;
                }
                shared.store_failed("configuration", &error);
                sleep(pause).await;
                pause = (pause * 2).min(RETRY_PAUSE_MAX);
            }
        }
    }
}

/// Reads from `cursor` on, at once and then waiting for changes, until a read fails.
async fn follow_once(
    shared: &Arc<SidecarShared>,
    cursor: &mut Option<u64>,
) -> Result<(), StoreError> {
    // The first read after a failure brings proof at once instead of after a wait.
    let mut wait = Duration::ZERO;
    loop {
        let asked = shared.clock.now();
        let read = match *cursor {
            Some(cursor) => shared.store.changes(StoreTopic::Configuration, cursor, wait).await?,
            None => shared.store.snapshot(StoreTopic::Configuration).await?,
        };
        take_read(shared, &read);
        *cursor = Some(read.cursor);
        shared.prove(proven_at(asked, read.records.is_empty(), wait));
        shared.store_answered("configuration");
        wait = CHANGES_WAIT;
    }
}

fn take_read(shared: &Arc<SidecarShared>, read: &StoreRead) {
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
            let change = ConfigChange { version, previous, routes, cursor: read.cursor };
            shared.log.write(LineWeight::Change, "configuration", &change);
        }
        Err(fault) => {
            let line = ConfigFault { cursor: read.cursor, problem: fault.to_string() };
            shared.log.write(LineWeight::Failure, "configuration-unreadable", &line);
        }
    }
}
