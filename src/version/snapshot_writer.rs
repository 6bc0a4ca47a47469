//! Writes snapshots to the log when they are due and restores the newest one.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use rand::Rng;
use serde::Serialize;
use tokio::time::sleep;

use super::snapshot::{SnapshotError, decode_snapshot, encode_snapshot};
use super::state::ConfigState;
use super::sync::{StateSource, install_snapshot};
use crate::clock::MilliTime;
use crate::logging::log_event;
use crate::process::platform_log::{LogError, LogRecord, StreamName};
use crate::process::shared::DaemonShared;

/// Snapshots written per retention period of the log's records.
const SNAPSHOTS_PER_RETENTION: u32 = 8;

/// Checks for a new snapshot per snapshot interval.
const CHECKS_PER_INTERVAL: u32 = 8;

const CHECK_PERIOD_MAX: Duration = Duration::from_secs(60);

/// With this many records after the newest snapshot, the next one is due.
const REPLAY_RECORDS_MAX: u64 = 4096;

/// Snapshots that a restore tries, newest first.
const RESTORE_ATTEMPTS_MAX: usize = 8;

const READ_RECORDS_MAX: usize = 4;

#[derive(Serialize)]
struct SnapshotEvent {
    next_offset: u64,
    bytes: usize,
}

#[derive(Serialize)]
struct RefusedEvent {
    reason: String,
}

/// The newest snapshot seen on the log.
#[derive(Clone, Copy, Debug)]
struct SeenSnapshot {
    next_offset: u64,
    seen_at: MilliTime,
}

/// Writes a snapshot when one is due and no other daemon wrote it, for the daemon's lifetime.
pub async fn maintain_snapshots(shared: Arc<DaemonShared>) {
    let interval = shared.config.log_retention / SNAPSHOTS_PER_RETENTION;
    let period = (interval / CHECKS_PER_INTERVAL).min(CHECK_PERIOD_MAX);
    let mut writer = SnapshotWriter { shared, interval, next: 0, newest: None };
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(period.mul_f64(jitter)).await;
        if writer.is_writer() && writer.read_new().await.is_ok() && writer.is_due() {
            writer.write().await;
        }
    }
}

struct SnapshotWriter {
    shared: Arc<DaemonShared>,
    interval: Duration,
    next: u64,
    newest: Option<SeenSnapshot>,
}

impl SnapshotWriter {
    /// Readers write snapshots, while their state is known to include the whole log.
    fn is_writer(&self) -> bool {
        let state = self.shared.version.current();
        let is_complete = state.next_offset > 0 && state.skipped_newer() == 0;
        is_complete && self.shared.sync.tree().is_reader() && self.shared.sync.contacts.is_recent()
    }

    fn is_due(&self) -> bool {
        let Some(newest) = self.newest else { return true };
        let age = self.shared.clock.now().since(newest.seen_at);
        let replay = self.shared.version.next_offset().saturating_sub(newest.next_offset);
        age >= self.interval || replay >= REPLAY_RECORDS_MAX
    }

    /// Reads the snapshots that were written since the last call.
    async fn read_new(&mut self) -> Result<(), LogError> {
        loop {
            let stream = StreamName::snapshots();
            let read =
                self.shared.log.read(&stream, self.next, READ_RECORDS_MAX, Duration::ZERO).await;
            match read {
                Ok(page) if page.records.is_empty() => return Ok(()),
                Ok(page) => page.records.iter().for_each(|record| self.record_seen(record)),
                Err(LogError::Gap { earliest }) => {
                    self.next = earliest;
                    self.newest = None;
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn record_seen(&mut self, record: &LogRecord) {
        self.next = record.offset + 1;
        match decode_snapshot(&record.body) {
            Ok(state) if matches_own_state(&self.shared, &state) => {
                let seen_at = self.shared.clock.now();
                let next_offset = state.next_offset;
                self.newest = Some(SeenSnapshot { next_offset, seen_at });
            }
            Ok(_) => {}
            Err(error) => report_refused(&self.shared, &error),
        }
    }

    async fn write(&mut self) {
        let state = self.shared.version.current();
        let next_offset = state.next_offset;
        let body = encode_snapshot(&state);
        let bytes = body.len();
        // Without an answer, the next read shows whether the snapshot was written.
        if self.shared.log.append(&StreamName::snapshots(), body).await.is_ok() {
            let seen_at = self.shared.clock.now();
            self.newest = Some(SeenSnapshot { next_offset, seen_at });
            self.shared.metrics.count("snapshot_written");
            log_event(Level::Info, "snapshot-written", SnapshotEvent { next_offset, bytes });
        }
    }
}

/// Whether a snapshot matches this daemon's state at its offset; true if that is not kept.
fn matches_own_state(shared: &DaemonShared, state: &ConfigState) -> bool {
    let own_digest = shared.version.digest_at(state.next_offset);
    let matches_own_state = own_digest.is_none_or(|digest| digest == state.digest());
    if !matches_own_state {
        shared.metrics.count("snapshot_differs");
        let event = SnapshotEvent { next_offset: state.next_offset, bytes: 0 };
        log_event(Level::Error, "snapshot-differs", event);
    }
    matches_own_state
}

/// Counts and logs a snapshot that was not applied.
pub(super) fn report_refused(shared: &DaemonShared, error: &SnapshotError) {
    shared.metrics.count("snapshot_refused");
    log_event(Level::Error, "snapshot-refused", RefusedEvent { reason: error.to_string() });
}

/// Puts the newest snapshot on the log in force, if it is above the state in force.
pub async fn restore_newest(shared: &Arc<DaemonShared>) -> bool {
    let Ok((earliest, tail)) = stream_bounds(shared).await else { return false };
    for offset in (earliest..tail).rev().take(RESTORE_ATTEMPTS_MAX) {
        let read = shared.log.read(&StreamName::snapshots(), offset, 1, Duration::ZERO).await;
        let Some(record) = read.ok().and_then(|page| page.records.into_iter().next()) else {
            continue;
        };
        match decode_snapshot(&record.body) {
            Ok(state) => return install_snapshot(shared, state, StateSource::Log),
            Err(error) => report_refused(shared, &error),
        }
    }
    false
}

/// The earliest retained offset and the tail of the snapshot stream.
async fn stream_bounds(shared: &DaemonShared) -> Result<(u64, u64), LogError> {
    let stream = StreamName::snapshots();
    match shared.log.read(&stream, 0, 1, Duration::ZERO).await {
        Ok(page) => Ok((0, page.tail)),
        Err(LogError::Gap { earliest }) => {
            let page = shared.log.read(&stream, earliest, 1, Duration::ZERO).await?;
            Ok((earliest, page.tail))
        }
        Err(error) => Err(error),
    }
}
