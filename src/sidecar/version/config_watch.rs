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
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    problem: String,
}

#[derive(Serialize)]
struct EntryErrorLine<'a> {
    version: u64,
    kind: &'a str,
    name: &'a str,
    problem: &'a str,
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
        values.filter_map(|value| decode(shared, ConfigSource::Store, None, Bytes::from(value)));
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
    // A record that the other daemon cannot read may be one of this daemon's release.
    let is_new = |record: &Bytes| !shared.store_view.configuration.is_rejected(record);
    let record = record.map(|record| (Some(report.version), record));
    let unread = report.unread.clone().map(|record| (None, record));
    let records = record.into_iter().chain(unread).filter(|(_, record)| is_new(record));
    let decoded =
        records.filter_map(|(stated, record)| decode(shared, ConfigSource::Peer, stated, record));
    let (config, found) = decoded.max_by_key(|(_, found)| found.version).unzip();
    let apply = || apply(shared, ConfigSource::Peer, config);
    shared.store_view.configuration.merge_report(requested, report, found, apply);
}

/// Decodes a version, whose number another daemon may have stated. One that cannot be decoded is logged
/// once, and the last one stays in force.
fn decode(
    shared: &SidecarShared,
    source: ConfigSource,
    stated: Option<u64>,
    record: Bytes,
) -> Option<(FleetConfig, VersionRecord)> {
    match shared.dialect.config(&record) {
        Ok(config) => {
            let version = config.version;
            Some((config, VersionRecord { version, record }))
        }
        Err(error) => {
            let version = shared.dialect.config_version(&record).or(stated);
            if shared.store_view.configuration.reject(version, &record) {
                let line = ConfigErrorLine { source, version, problem: error.to_string() };
                shared.log.write(LineCategory::Failure, "configuration-unreadable", &line);
            }
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
    report_unreadable(shared, &config);
    shared.apply_config(config);
    shared.store_view.notify_change();
    let line = ConfigLine { version, previous, routes, source };
    shared.log.write(LineCategory::Change, "configuration", &line);
}

/// Logs the entries of a version that are left out or served with restrictions, and shows their number.
fn report_unreadable(shared: &SidecarShared, config: &FleetConfig) {
    for entry in &config.unreadable {
        let line = EntryErrorLine {
            version: config.version,
            kind: &entry.kind,
            name: &entry.name,
            problem: &entry.problem,
        };
        shared.log.write(LineCategory::Failure, "configuration-entry-unreadable", &line);
    }
    shared.metrics.unreadable_entries.set(config.unreadable.len().try_into().unwrap_or(i64::MAX));
}
