//! Applies new versions of the configuration.

use serde::Serialize;

use crate::policy::store_position::StorePosition;
use crate::sidecar::process::decision_log::LineCategory;
use crate::sidecar::process::sidecar_shared::SidecarShared;
use crate::sidecar::process::topic_replica::TopicChange;

#[derive(Serialize)]
struct ConfigLine {
    version: u64,
    previous: u64,
    routes: usize,
    cursor: StorePosition,
}

#[derive(Serialize)]
struct ConfigErrorLine {
    cursor: StorePosition,
    problem: String,
}

/// Applies the newest configuration among changed records, whatever their source. A version that is
/// not higher than the one in force is ignored.
pub(crate) fn apply_config_records(shared: &SidecarShared, change: &TopicChange) {
    let key = shared.dialect.config_key();
    let newest = change.records.iter().rev().find(|record| record.key == key);
    let Some(value) = newest.and_then(|record| record.value.as_ref()) else {
        return;
    };
    let cursor = shared.store_view.configuration.cursor().unwrap_or_default();
    match shared.dialect.config(value) {
        Ok(config) => {
            let previous = shared.config_version();
            if config.version <= previous {
                return;
            }
            let (version, routes) = (config.version, config.route_count());
            shared.apply_config(config);
            let line = ConfigLine { version, previous, routes, cursor };
            shared.log.write(LineCategory::Change, "configuration", &line);
        }
        Err(error) => {
            let line = ConfigErrorLine { cursor, problem: error.to_string() };
            shared.log.write(LineCategory::Failure, "configuration-unreadable", &line);
        }
    }
}
