//! This daemon's copy of the newest configuration and of the evacuated zones, and its freshness.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;

use crate::clock::MilliTime;
use crate::policy::config_state::{ConfigChange, ConfigClaim, ConfigRead, ConfigState};
use crate::policy::store_position::{StoreEra, StorePosition};
use crate::policy::zone_evacuation::{EvacuationClaim, EvacuationRead, EvacuationState, ZoneSet};
use crate::sidecar::connection::frame::ConfigReport;

/// A version of the configuration and its record, which other daemons are given.
#[derive(Clone, Debug)]
pub(crate) struct VersionRecord {
    pub(crate) version: u64,
    pub(crate) record: Bytes,
}

/// A record of the configuration that cannot be read here.
#[derive(Debug)]
struct UnreadRecord {
    version: Option<u64>,
    record: Bytes,
    /// Whether no later version is in force.
    is_newest: bool,
}

#[derive(Debug, Default)]
struct CopyState {
    known: ConfigState,
    newest: Option<VersionRecord>,
    unread: Option<UnreadRecord>,
    evacuations: EvacuationState,
}

impl CopyState {
    /// The position from which the store is read on: no record of either kind is passed over.
    fn read_position(&self) -> Option<StorePosition> {
        let position = self.known.read_position()?;
        Some(position.min(self.evacuations.read_position()?))
    }

    fn take(
        &mut self,
        change: ConfigChange,
        found: Option<VersionRecord>,
        apply: impl FnOnce(),
    ) -> bool {
        if change.is_newer {
            apply();
            self.newest = found;
            let in_force = self.known.version();
            if let Some(unread) = &mut self.unread {
                unread.is_newest &= unread.version.is_some_and(|version| version > in_force);
            }
        }
        change.is_proof
    }
}

/// The copy of the newest configuration.
#[derive(Debug, Default)]
pub(crate) struct ConfigCopy {
    state: Mutex<CopyState>,
}

impl ConfigCopy {
    /// The version known here; 0 before the first.
    pub(crate) fn version(&self) -> u64 {
        self.lock().known.version()
    }

    /// Records that a version cannot be read here; `None` if its number cannot be read either. Returns
    /// whether it is another record than the last one.
    pub(crate) fn reject(&self, version: Option<u64>, record: &Bytes) -> bool {
        let mut state = self.lock();
        if state.unread.as_ref().is_some_and(|unread| unread.record == record) {
            return false;
        }
        let is_newest = version.is_none_or(|version| version > state.known.version());
        if is_newest {
            state.known.reject(version);
            state.unread = Some(UnreadRecord { version, record: record.clone(), is_newest });
        }
        true
    }

    /// Whether this is the last record that could not be read here.
    pub(crate) fn is_rejected(&self, record: &Bytes) -> bool {
        self.lock().unread.as_ref().is_some_and(|unread| unread.record == record)
    }

    /// The position from which the store is read on; `None` if only a snapshot leads on.
    pub(crate) fn read_position(&self) -> Option<StorePosition> {
        self.lock().read_position()
    }

    /// Records that the store no longer has the records before `first`.
    pub(crate) fn refuse_before(&self, first: StorePosition) {
        let mut state = self.lock();
        state.known.refuse_before(first);
        state.evacuations.refuse_before(first);
    }

    /// Records that the store does not know the position.
    pub(crate) fn discard_position(&self) {
        let mut state = self.lock();
        state.known.discard_position();
        state.evacuations.discard_position();
    }

    /// Records that a snapshot requested after all refusals ends at `end`, before what they named.
    pub(crate) fn resume_at(&self, end: StorePosition) {
        let mut state = self.lock();
        state.known.resume_at(end);
        state.evacuations.resume_at(end);
    }

    /// Records that the store is in `era` or a later one.
    pub(crate) fn enter_era(&self, era: StoreEra) {
        let mut state = self.lock();
        state.known.enter_era(era);
        state.evacuations.enter_era(era);
    }

    /// The age of the freshness proof.
    pub(crate) fn age(&self, now: MilliTime) -> Option<Duration> {
        self.lock().known.age(now)
    }

    /// Whether the freshness proof is younger than `bound`.
    pub(crate) fn is_fresh(&self, now: MilliTime, bound: Duration) -> bool {
        self.lock().known.is_fresh(now, bound)
    }

    /// The version known here when `era` began.
    pub(crate) fn first_version(&self, era: StoreEra) -> u64 {
        self.lock().known.first_version(era)
    }

    /// Merges a read of the store; `evacuations` is what it says of them. It proves the state as of
    /// `proven`, if that is given, unless it lacks `floor`, a version that others know of; returns
    /// whether it does. `apply` puts the version in force that was found.
    pub(crate) fn merge_read(
        &self,
        evacuations: EvacuationRead,
        (proven, floor): (Option<MilliTime>, u64),
        found: Option<VersionRecord>,
        apply: impl FnOnce(),
    ) -> bool {
        let found_version = found.as_ref().map(|found| found.version);
        let read =
            ConfigRead { position: evacuations.position, found: found_version, proven, floor };
        let mut state = self.lock();
        state.evacuations.merge_read(evacuations);
        let change = state.known.merge_read(&read);
        state.take(change, found, apply)
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
        let age = report.age_millis.map(|age| Duration::from_millis(u64::from(age)));
        let claim = ConfigClaim {
            version: report.version,
            found: found.as_ref().map(|found| found.version),
            position: report.position,
            proven: requested.zip(age).map(|(requested, age)| requested.before(age)),
        };
        let mut state = self.lock();
        let change = state.known.merge_claim(&claim);
        state.take(change, found, apply);
    }

    /// The report for a daemon that knows `version`; `None` before the first read.
    pub(crate) fn report(&self, now: MilliTime, version: u64) -> Option<ConfigReport> {
        let state = self.lock();
        if state.known.is_unknown() {
            return None;
        }
        let age_millis =
            state.known.age(now).map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        let newest = state.newest.as_ref().filter(|newest| newest.version > version);
        let unread = state.unread.as_ref().filter(|unread| unread.is_newest);
        Some(ConfigReport {
            version: state.known.version(),
            position: state.read_position(),
            age_millis,
            record: newest.map(|newest| newest.record.clone()),
            unread: unread.map(|unread| unread.record.clone()),
        })
    }

    /// The zones whose evacuation is known here.
    pub(crate) fn evacuated(&self) -> ZoneSet {
        self.lock().evacuations.evacuated()
    }

    /// Merges what another daemon knows of evacuations.
    pub(crate) fn merge_evacuations(&self, claim: &EvacuationClaim) {
        self.lock().evacuations.merge_claim(claim);
    }

    /// What other daemons are told of evacuations.
    pub(crate) fn evacuation_claim(&self) -> EvacuationClaim {
        self.lock().evacuations.claim()
    }

    fn lock(&self) -> MutexGuard<'_, CopyState> {
        self.state.lock().expect("lock not poisoned")
    }
}
