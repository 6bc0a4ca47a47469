//! What is logged and counted of the store: its era, and whether it answers.

use serde::Serialize;

use super::decision_log::LineCategory;
use super::directory::known_version;
use super::keyed_store::{StoreError, StoreTopic};
use super::sidecar_shared::SidecarShared;
use super::store_view::PositionSource;
use crate::clock::MilliTime;
use crate::policy::restore_hold::EraEvidence;
use crate::policy::store_position::{StoreEra, StorePosition};
use crate::sidecar::connection::frame::TopicReport;

#[derive(Serialize)]
pub(super) struct DependencyLine<'a> {
    pub(super) dependency: &'a str,
    pub(super) reason: String,
}

#[derive(Serialize)]
struct EraLine {
    topic: StoreTopic,
    era: StoreEra,
    /// The position that was known before.
    known: Option<StorePosition>,
    /// Whether reads prove the state from now on.
    is_trusted: bool,
}

#[derive(Serialize)]
struct PositionRefusedLine {
    topic: StoreTopic,
    /// The position that was read from.
    position: Option<StorePosition>,
    told_by: Option<PositionSource>,
    reason: String,
}

#[derive(Serialize)]
struct SnapshotLine {
    topic: StoreTopic,
    end: StorePosition,
    /// The position from which the store is read on.
    position: Option<StorePosition>,
    is_proof: bool,
}

#[derive(Serialize)]
struct ReportBehindLine {
    known: StorePosition,
    cursor: StorePosition,
    age_ms: Option<u32>,
}

impl SidecarShared {
    /// Records the era of a read of the store, and logs it if it is a new one; returns the time as of
    /// which the read proves the state: `proven`, if it does.
    pub(super) fn observe_era(
        &self,
        topic: StoreTopic,
        era: StoreEra,
        proven: Option<MilliTime>,
        has_rewrite: bool,
    ) -> Option<MilliTime> {
        let is_confirmed = known_version(self, era).is_some();
        let evidence = EraEvidence { is_confirmed, has_rewrite };
        let mut hold = self.store_view.hold.lock().expect("lock not poisoned");
        let is_new = hold.newest_era().is_none_or(|newest| era > newest);
        let proven = proven.filter(|proven| hold.observe(*proven, era, evidence));
        drop(hold);
        if is_new {
            self.metrics.store_era.set(era.0.try_into().unwrap_or(i64::MAX));
            let known = self.store_view.read_position(topic);
            let line = EraLine { topic, era, known, is_trusted: proven.is_some() };
            self.log.write(LineCategory::Change, "store-era", &line);
        }
        proven
    }

    /// Records who told of the position of a topic if it is another one than `before`.
    pub(super) fn note_position(
        &self,
        topic: StoreTopic,
        before: Option<StorePosition>,
        source: &PositionSource,
    ) {
        self.store_view.record_source(topic, before, source);
        self.show_position(topic);
    }

    /// Shows the position of a topic in the metrics.
    fn show_position(&self, topic: StoreTopic) {
        let position = self.store_view.read_position(topic);
        self.metrics.set_position(topic.name(), position.map(|position| position.offset));
    }

    /// Logs that another daemon knows the directory of an earlier era.
    pub(super) fn log_report_behind(&self, report: &TopicReport) {
        let known = self.store_view.directory.cursor().unwrap_or_default();
        if report.cursor.era < known.era {
            let line = ReportBehindLine { known, cursor: report.cursor, age_ms: report.age_millis };
            self.log.write(LineCategory::Change, "report-behind", &line);
        }
    }

    /// Logs that the store refused a position of a topic.
    pub(super) fn log_position_refused(
        &self,
        topic: StoreTopic,
        position: Option<StorePosition>,
        error: &StoreError,
    ) {
        self.metrics.count("position_refused");
        self.show_position(topic);
        let told_by = self.store_view.source(topic);
        let line = PositionRefusedLine { topic, position, told_by, reason: error.to_string() };
        self.log.write(LineCategory::Change, "position-refused", &line);
    }

    /// Logs a snapshot of a topic up to `end`.
    pub(super) fn log_snapshot_read(&self, topic: StoreTopic, end: StorePosition, is_proof: bool) {
        self.metrics.count("snapshot_read");
        self.show_position(topic);
        let position = self.store_view.read_position(topic);
        let line = SnapshotLine { topic, end, position, is_proof };
        self.log.write(LineCategory::Change, "snapshot-read", &line);
    }

    /// Counts a failed call to the store; logs the first failure of each reader.
    pub(crate) fn store_failed(&self, reader: &str, error: &StoreError) {
        self.metrics.count("store_failed");
        let is_new =
            self.lost_dependencies.lock().expect("lock not poisoned").insert(reader.to_owned());
        if is_new {
            let line = DependencyLine { dependency: reader, reason: error.to_string() };
            self.log.write(LineCategory::Change, "store-lost", &line);
        }
    }

    /// Logs the first answer to a reader after a failure.
    pub(crate) fn store_answered(&self, reader: &str) {
        let was_lost = self.lost_dependencies.lock().expect("lock not poisoned").remove(reader);
        if was_lost {
            let line = DependencyLine { dependency: reader, reason: "answered".to_owned() };
            self.log.write(LineCategory::Change, "store-regained", &line);
        }
    }
}
