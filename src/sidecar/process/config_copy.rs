//! This daemon's copy of the newest configuration, and its freshness.
//!
//! Versions order the contents, whatever their source. The position in the store only tells from
//! where this daemon reads on.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;

use crate::clock::MilliTime;
use crate::policy::freshness::FreshnessProof;
use crate::policy::store_position::{StoreEra, StorePosition};
use crate::sidecar::connection::frame::ConfigReport;

/// A version of the configuration and its record, which other daemons are given.
#[derive(Clone, Debug)]
pub(crate) struct VersionRecord {
    pub(crate) version: u64,
    pub(crate) record: Bytes,
}

#[derive(Debug, Default)]
struct ConfigState {
    newest: Option<VersionRecord>,
    position: Option<StorePosition>,
    /// The newest era of a position, and the version known when it was reached.
    era: StoreEra,
    first_version: u64,
    freshness: FreshnessProof,
}

impl ConfigState {
    fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// Takes a version over unless a higher one is known.
    fn offer(&mut self, found: Option<VersionRecord>, apply: impl FnOnce()) {
        if let Some(found) = found.filter(|found| found.version > self.version()) {
            apply();
            self.newest = Some(found);
        }
    }

    fn advance(&mut self, position: StorePosition) {
        self.position = self.position.max(Some(position));
    }

    fn enter_era(&mut self, era: StoreEra) {
        if era > self.era {
            self.first_version = self.version();
            self.era = era;
            self.position = None;
        }
    }
}

/// The copy of the newest configuration.
#[derive(Debug, Default)]
pub(crate) struct ConfigCopy {
    state: Mutex<ConfigState>,
}

impl ConfigCopy {
    /// The version known here; 0 before the first.
    pub(crate) fn version(&self) -> u64 {
        self.lock().version()
    }

    /// The position up to which the store was read.
    pub(crate) fn position(&self) -> Option<StorePosition> {
        self.lock().position
    }

    /// Forgets the position, so that the next read is a snapshot.
    pub(crate) fn clear_position(&self) {
        self.lock().position = None;
    }

    /// Forgets a position of an earlier era than `era`, and ignores those that others report.
    pub(crate) fn enter_era(&self, era: StoreEra) {
        self.lock().enter_era(era);
    }

    /// The age of the freshness proof.
    pub(crate) fn age(&self, now: MilliTime) -> Option<Duration> {
        self.lock().freshness.age(now)
    }

    /// Whether the freshness proof is younger than `bound`.
    pub(crate) fn is_fresh(&self, now: MilliTime, bound: Duration) -> bool {
        self.lock().freshness.is_fresh(now, bound)
    }

    /// The version known here when `era` began.
    pub(crate) fn first_version(&self, era: StoreEra) -> u64 {
        let state = self.lock();
        if state.era == era { state.first_version } else { state.version() }
    }

    /// Merges a read of the store up to `position`. It proves the state as of `proven`, if that is
    /// given, unless it lacks `floor`, a version that others know of; returns whether it does.
    /// `apply` puts the version in force that was found.
    pub(crate) fn merge_read(
        &self,
        position: StorePosition,
        (proven, floor): (Option<MilliTime>, u64),
        found: Option<VersionRecord>,
        apply: impl FnOnce(),
    ) -> bool {
        let mut state = self.lock();
        state.enter_era(position.era);
        state.offer(found, apply);
        if position.era < state.era {
            return false;
        }
        state.advance(position);
        let proven = proven.filter(|_| state.version() >= floor);
        if let Some(proven) = proven {
            state.freshness.prove(proven);
        }
        proven.is_some()
    }

    /// Merges the report of another daemon, which answers a request made at `requested` if it is
    /// given; `found` is the version that the report holds. The time in transit counts as age of the
    /// proof.
    pub(crate) fn merge_report(
        &self,
        requested: Option<MilliTime>,
        report: &ConfigReport,
        found: Option<VersionRecord>,
        apply: impl FnOnce(),
    ) {
        let mut state = self.lock();
        if let Some(position) = report.position {
            state.enter_era(position.era);
        }
        state.offer(found, apply);
        if state.version() < report.version {
            return;
        }
        if let Some(position) = report.position.filter(|position| position.era >= state.era) {
            state.advance(position);
        }
        if let (Some(requested), Some(age)) = (requested, report.age_millis) {
            state.freshness.prove(requested.before(Duration::from_millis(u64::from(age))));
        }
    }

    /// The report for a daemon that knows `version`; `None` before the first read.
    pub(crate) fn report(&self, now: MilliTime, version: u64) -> Option<ConfigReport> {
        let state = self.lock();
        if state.newest.is_none() && state.position.is_none() {
            return None;
        }
        let age_millis =
            state.freshness.age(now).map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        let newest = state.newest.as_ref().filter(|newest| newest.version > version);
        Some(ConfigReport {
            version: state.version(),
            position: state.position,
            age_millis,
            record: newest.map(|newest| newest.record.clone()),
        })
    }

    fn lock(&self) -> MutexGuard<'_, ConfigState> {
        self.state.lock().expect("lock not poisoned")
    }
}
