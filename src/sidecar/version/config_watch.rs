//! Applies new versions of the configuration.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;

use super::evacuation_watch::{apply_evacuations, zone_records};
use super::fleet_config::FleetConfig;
use crate::clock::MilliTime;
use crate::policy::store_position::StorePosition;
use crate::policy::zone_evacuation::EvacuationRead;
use crate::sidecar::connection::frame::ConfigReport;
use crate::sidecar::process::config_copy::VersionRecord;
use crate::sidecar::process::decision_log::LineCategory;
use crate::sidecar::process::directory::known_version;
use crate::sidecar::process::keyed_store::{StoreRead, StoreRecord};
use crate::sidecar::process::sidecar_shared::SidecarShared;
use crate::sidecar::process::store_view::PositionSource;

#[derive(Serialize)]
struct ConfigLine {
    version: u64,
    previous: u64,
    routes: usize,
    source: ConfigSource,
}

#[derive(Serialize)]
struct ConfigErrorLine {
    source: ConfigSource,
    problem: String,
}

/// Where a record of the configuration came from.
#[derive(Clone, Copy, Serialize)]
#[serde(rename_all = "kebab-case")]
enum ConfigSource {
    Store,
    Peer,
}

/// Whether the operator's configuration is among records of the store.
pub(crate) fn has_config(shared: &SidecarShared, records: &[StoreRecord]) -> bool {
    records.iter().any(|record| record.key == shared.dialect.config_key())
}

/// Merges a read of the store from position `from`, or of a snapshot. It proves the state as of
/// `proven`, if that is given, unless it lacks a version that others know of; returns whether it does.
pub(crate) fn merge_config_read(
    shared: &Arc<SidecarShared>,
    from: Option<StorePosition>,
    read: StoreRead,
    proven: Option<MilliTime>,
) -> bool {
    let evacuations = EvacuationRead {
        from,
        position: read.cursor,
        records: zone_records(shared, &read.records),
        is_proof: proven.is_some(),
    };
    let key = shared.dialect.config_key();
    let records = read.records.into_iter().filter(|record| record.key == key);
    let values = records.filter_map(|record| record.value);
    let versions =
        values.filter_map(|value| decode(shared, ConfigSource::Store, Bytes::from(value)));
    let newest = versions.max_by_key(|(_, found)| found.version);
    let (config, found) = newest.unzip();
    let apply = || apply(shared, ConfigSource::Store, config);
    let floor = known_version(shared, read.cursor.era).unwrap_or(0);
    let configuration = &shared.store_view.configuration;
    let is_proof = configuration.merge_read(evacuations, (proven, floor), found, apply);
    apply_evacuations(shared, &PositionSource::Store);
    is_proof
}

/// Merges the report of another daemon, which answers a request made at `requested` if it is given.
pub(crate) fn merge_config_report(
    shared: &Arc<SidecarShared>,
    requested: Option<MilliTime>,
    report: &ConfigReport,
) {
    let is_newer = report.version > shared.config_version();
    let record = report.record.clone().filter(|_| is_newer);
    let decoded = record.and_then(|record| decode(shared, ConfigSource::Peer, record));
    let (config, found) = decoded.unzip();
    let apply = || apply(shared, ConfigSource::Peer, config);
    shared.store_view.configuration.merge_report(requested, report, found, apply);
}

/// Decodes a version; one that cannot be decoded is logged and skipped.
fn decode(
    shared: &SidecarShared,
    source: ConfigSource,
    record: Bytes,
) -> Option<(FleetConfig, VersionRecord)> {
    match shared.dialect.config(&record) {
        Ok(config) => {
            let version = config.version;
            Some((config, VersionRecord { version, record }))
        }
        Err(error) => {
            let line = ConfigErrorLine { source, problem: error.to_string() };
            shared.log.write(LineCategory::Failure, "configuration-unreadable", &line);
            None
        }
    }
}

fn apply(shared: &Arc<SidecarShared>, source: ConfigSource, config: Option<FleetConfig>) {
    let Some(config) = config else {
        return;
    };
    let (version, routes) = (config.version, config.route_count());
    let previous = shared.config_version();
    shared.apply_config(config);
    shared.store_view.notify_change();
    let line = ConfigLine { version, previous, routes, source };
    shared.log.write(LineCategory::Change, "configuration", &line);
}
