//! Puts evacuations of zones in force.

use std::sync::Arc;

use serde::Serialize;

use crate::policy::zone_evacuation::{EvacuationClaim, ZoneRecord, ZoneSet};
use crate::sidecar::process::decision_log::LineCategory;
use crate::sidecar::process::directory::connect_peers;
use crate::sidecar::process::keyed_store::StoreRecord;
use crate::sidecar::process::sidecar_shared::SidecarShared;
use crate::sidecar::process::store_view::PositionSource;

#[derive(Serialize)]
struct EvacuationLine<'a> {
    zone: &'a str,
    /// Who told of it.
    source: &'a PositionSource,
    is_own_zone: bool,
}

#[derive(Serialize)]
struct UnknownZoneLine<'a> {
    zone: &'a str,
}

/// Whether the settings name a zone. Settings without zones name all.
fn is_known_zone(shared: &SidecarShared, zone: &str) -> bool {
    let settings = &shared.settings;
    settings.zone_regions.is_empty()
        || settings.zone_regions.contains_key(zone)
        || *settings.availability_zone == *zone
}

/// The records that begin or end evacuations.
pub(super) fn zone_records(shared: &SidecarShared, records: &[StoreRecord]) -> Vec<ZoneRecord> {
    let zone_record = |record: &StoreRecord| {
        let zone = shared.dialect.evacuated_zone(&record.key)?;
        let is_evacuated = record.value.is_some();
        if is_evacuated && !is_known_zone(shared, zone) {
            let line = UnknownZoneLine { zone };
            shared.log.write(LineCategory::Failure, "evacuation-zone-unknown", &line);
        }
        Some(ZoneRecord { zone: zone.into(), is_evacuated, position: record.position })
    };
    records.iter().filter_map(zone_record).collect()
}

/// Merges what another daemon knows of evacuations.
pub(crate) fn merge_evacuations(
    shared: &Arc<SidecarShared>,
    source: &PositionSource,
    claim: &EvacuationClaim,
) {
    shared.store_view.configuration.merge_evacuations(claim);
    apply_evacuations(shared, source);
}

/// Puts what is known of evacuations in force.
pub(crate) fn apply_evacuations(shared: &Arc<SidecarShared>, source: &PositionSource) {
    let _order = shared.evacuation_order.lock().expect("lock not poisoned");
    let mut known = shared.store_view.configuration.evacuated();
    known.retain(|zone| is_known_zone(shared, zone));
    let before = shared.evacuated.load_full();
    if known == *before {
        return;
    }
    let evacuated = Arc::new(known);
    shared.evacuated.store(evacuated.clone());
    shared.metrics.evacuated_zones.set(evacuated.len().try_into().unwrap_or(i64::MAX));
    log_zones(shared, source, "evacuation-begun", &evacuated, &before);
    log_zones(shared, source, "evacuation-ended", &before, &evacuated);
    let is_own = evacuated.contains(&shared.settings.availability_zone);
    shared.backend_admission.set_evacuated(is_own);
    shared.peers.set_evacuated(evacuated);
    connect_peers(shared);
    // The limit of roots follows from the room that is left.
    shared.observe_own_load();
    for peer in shared.peers.connected() {
        if let Some(load) = peer.load() {
            shared.observe_load(&peer, &load);
        }
    }
    shared.store_view.notify_change();
}

/// Logs each zone of `zones` that is not among `others`.
fn log_zones(
    shared: &SidecarShared,
    source: &PositionSource,
    event: &'static str,
    zones: &ZoneSet,
    others: &ZoneSet,
) {
    for zone in zones.difference(others) {
        let is_own_zone = *zone == shared.settings.availability_zone;
        let line = EvacuationLine { zone, source, is_own_zone };
        shared.log.write(LineCategory::Change, event, &line);
    }
}
