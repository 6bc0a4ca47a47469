//! Acquires, renews and releases leases of shares through the share stream.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use log::Level;
use rand::Rng;
use serde::Serialize;
use tokio::time::sleep;

use super::lease::LeaseTracker;
use super::limiter::LimiterState;
use super::record::{HoldRecord, ReleaseRecord, ShareRecord, share_stream};
use super::share::ShareId;
use super::share_table::ShareTable;
use crate::clock::MilliTime;
use crate::logging::log_event;
use crate::process::members::InstanceId;
use crate::process::platform_log::{LogError, StreamName};
use crate::process::shared::DaemonShared;
use crate::version::ticket::ObjectKind;

const READ_WAIT: Duration = Duration::from_secs(2);
const READ_LIMIT: usize = 256;
const READ_BACKOFF: Duration = Duration::from_millis(200);
const MAINTAIN_INTERVAL: Duration = Duration::from_millis(200);
/// Bound of the random backoff after a failed append.
const APPEND_BACKOFF_MAX: Duration = Duration::from_secs(5);
/// Delay per rank before a candidate claims a free share.
const CLAIM_STAGGER: Duration = Duration::from_secs(2);
/// Number of candidates that claim a free share.
const CLAIM_CANDIDATES: usize = 8;
/// Renewals in the term of a lease.
const SHORT_RENEWALS: u32 = 3;
const LONG_RENEWALS: u32 = 6;
/// Time without changes of the members after which shares move to their first candidate.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const MOVE_INTERVAL: Duration = Duration::from_secs(1);
const MOVE_BATCH_MAX: usize = 256;
/// Time for which a share that its first candidate did not claim is kept here.
const RETAIN_TIME: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct ManagerState {
    caught_up: bool,
    leases: LeaseTracker,
    retain_until: HashMap<ShareId, MilliTime>,
    release: Option<ReleaseRecord>,
}

/// Manages the leases of this daemon.
pub struct LeaseManager {
    shared: Arc<DaemonShared>,
    limiter: Arc<LimiterState>,
    state: Mutex<ManagerState>,
}

#[derive(Serialize)]
struct SharesEvent {
    shares: usize,
    written: bool,
}

impl LeaseManager {
    /// A manager of the daemon's leases.
    pub fn new(shared: Arc<DaemonShared>) -> Arc<Self> {
        let limiter = shared.rates.state().clone();
        let state = ManagerState {
            caught_up: false,
            leases: LeaseTracker::new(limiter.instance),
            retain_until: HashMap::new(),
            release: None,
        };
        Arc::new(LeaseManager { shared, limiter, state: Mutex::new(state) })
    }

    fn state(&self) -> MutexGuard<'_, ManagerState> {
        self.state.lock().expect("lock not poisoned")
    }

    fn now(&self) -> MilliTime {
        self.limiter.clock.now()
    }

    fn instance(&self) -> InstanceId {
        self.limiter.instance
    }

    /// Reads the share stream for as long as the daemon runs.
    pub async fn follow(self: Arc<Self>) {
        loop {
            let next = self.limiter.table().next_offset();
            let wait = if self.state().caught_up { READ_WAIT } else { Duration::ZERO };
            match self.shared.log.read(&share_stream(), next, READ_LIMIT, wait).await {
                Ok(page) => {
                    for record in &page.records {
                        self.apply(record.offset, &record.body);
                    }
                    let next = self.limiter.table().next_offset();
                    self.state().caught_up = next >= page.tail;
                    self.limiter.granted.notify_waiters();
                }
                Err(LogError::Gap { earliest }) => self.reset_table(earliest),
                Err(LogError::Unavailable { .. }) => {
                    self.state().caught_up = false;
                    sleep(READ_BACKOFF).await;
                }
            }
        }
    }

    /// Claims, renews and moves shares for as long as the daemon runs.
    pub async fn maintain(self: Arc<Self>) {
        let mut members = self.shared.members.subscribe();
        let mut candidates = self.read_members();
        let mut settled_at = self.now();
        let mut moved_at = self.now();
        loop {
            sleep(MAINTAIN_INTERVAL).await;
            if members.has_changed().unwrap_or(false) {
                members.mark_unchanged();
                candidates = self.read_members();
                settled_at = self.now() + SETTLE_TIME;
            }
            if self.shared.stop.is_raised() || !self.state().caught_up {
                continue;
            }
            let mut written = self.activate_shares().await;
            written &= self.claim(&candidates).await;
            written &= self.renew().await;
            if self.now() >= settled_at && self.now() >= moved_at {
                moved_at = self.now() + MOVE_INTERVAL;
                written &= self.move_shares(&candidates).await;
            }
            if !written {
                let millis = APPEND_BACKOFF_MAX.as_millis() as u64;
                let backoff = rand::rng().random_range(0..millis);
                sleep(Duration::from_millis(backoff)).await;
            }
        }
    }

    /// Releases every share; tokens lent by this daemon may still be spent until they expire.
    pub async fn release_all(&self) {
        let shares = {
            let mut pool = self.limiter.pool();
            let held: Vec<ShareId> = pool.held.leases().map(|(share, _)| share).collect();
            pool.held.release(&held)
        };
        if !shares.is_empty() {
            let (instance, seen) = (self.instance(), self.limiter.table().next_offset());
            self.append(&ShareRecord::Release(ReleaseRecord { instance, seen, shares })).await;
        }
    }

    fn apply(&self, offset: u64, body: &[u8]) {
        let now = self.now();
        let events = self.limiter.table().apply(offset, body, now);
        let mut state = self.state();
        let mut pool = self.limiter.pool();
        for event in events {
            state.leases.apply(event, &mut pool, now);
        }
        self.limiter.metrics.shares_held.set(pool.held.leases().count() as i64);
    }

    fn reset_table(&self, earliest: u64) {
        let longest = self.shared.config.lease_terms.long;
        *self.limiter.table() = ShareTable::new(earliest, self.now(), longest);
    }

    /// Stores the zone's members, for the choice of relays, and returns all members.
    fn read_members(&self) -> Vec<InstanceId> {
        let members = self.shared.members.all_upstreams();
        let zone = &self.shared.config.availability_zone;
        let in_zone = members.iter().filter(|member| member.availability_zone == *zone);
        self.limiter.zone_members.store(Arc::new(in_zone.map(|member| member.instance).collect()));
        members.into_iter().map(|member| member.instance).collect()
    }

    /// Starts to use shares that were taken after a lapse. Organisations that appeared in tickets
    /// before that may have drawn on them, so their buckets start empty.
    async fn activate_shares(&self) -> bool {
        let pending = self.state().leases.pending();
        if pending.is_empty() {
            return true;
        }
        let next = self.shared.version.current().next_offset;
        let page = self.shared.log.read(&StreamName::tickets(), next, 1, Duration::ZERO).await;
        let Ok(page) = page else { return false };
        let version = self.shared.version.current();
        if version.next_offset >= page.tail {
            let touched = version.touched().map(|(key, _)| key);
            let organisations = touched.filter(|key| key.kind == ObjectKind::Organisation);
            let named: Vec<Arc<str>> = organisations.map(|key| key.name.clone()).collect();
            let mut state = self.state();
            let mut pool = self.limiter.pool();
            state.leases.activate(&pending, &named, &mut pool, self.now());
        }
        true
    }

    /// Claims the free shares of which this daemon is a candidate.
    async fn claim(&self, candidates: &[InstanceId]) -> bool {
        let now = self.now();
        let free: Vec<(ShareId, MilliTime)> = {
            let table = self.limiter.table();
            let since = |share| Some((share, table.free_since(share, now)?));
            ShareId::all().filter_map(since).collect()
        };
        let due = free.into_iter().filter(|(share, since)| {
            let rank = share.rank(&self.instance(), candidates);
            rank < CLAIM_CANDIDATES && now.since(*since) >= CLAIM_STAGGER * rank as u32
        });
        let due: Vec<ShareId> = due.map(|(share, _)| share).collect();
        self.hold(due, candidates).await
    }

    /// Renews the leases that are due.
    async fn renew(&self) -> bool {
        let now = self.now();
        let due: Vec<ShareId> = {
            let pool = self.limiter.pool();
            let due = pool.held.leases().filter(|(share, end)| self.is_due(*share, *end, now));
            due.map(|(share, _)| share).collect()
        };
        self.hold(due, &[]).await
    }

    fn is_due(&self, share: ShareId, lease_end: MilliTime, now: MilliTime) -> bool {
        let term = share.term(&self.shared.config.lease_terms);
        let renewals = if share.is_short() { SHORT_RENEWALS } else { LONG_RENEWALS };
        lease_end.until(now) <= term - term / renewals
    }

    /// Appends one hold record for the short and one for the long leases among `shares`.
    async fn hold(&self, shares: Vec<ShareId>, candidates: &[InstanceId]) -> bool {
        let (short, long): (Vec<ShareId>, Vec<ShareId>) =
            shares.into_iter().partition(|share| share.is_short());
        let mut written = true;
        for shares in [short, long] {
            if let Some(record) = self.hold_record(shares, candidates) {
                written &= self.append(&ShareRecord::Hold(record)).await;
            }
        }
        written
    }

    fn hold_record(&self, shares: Vec<ShareId>, candidates: &[InstanceId]) -> Option<HoldRecord> {
        let mut state = self.state();
        let now = self.now();
        let shares = state.leases.not_in_flight(shares, now);
        let term = shares.first()?.term(&self.shared.config.lease_terms);
        for share in &shares {
            if share.rank(&self.instance(), candidates) > 0 {
                state.retain_until.insert(*share, now + RETAIN_TIME);
            }
        }
        let seen = self.limiter.table().next_offset();
        Some(state.leases.hold(shares, term, seen, self.limiter.next_sequence(), now))
    }

    /// Releases shares whose first candidate is another daemon.
    async fn move_shares(&self, candidates: &[InstanceId]) -> bool {
        if self.state().release.is_none() {
            let record = self.next_release(candidates);
            self.state().release = record;
        }
        let Some(record) = self.state().release.clone() else { return true };
        let written = self.append(&ShareRecord::Release(record)).await;
        if written {
            self.state().release = None;
        }
        written
    }

    fn next_release(&self, candidates: &[InstanceId]) -> Option<ReleaseRecord> {
        let now = self.now();
        let mut state = self.state();
        state.retain_until.retain(|_, until| *until > now);
        let mut pool = self.limiter.pool();
        let held = pool.held.leases().map(|(share, _)| share);
        let held = state.leases.not_in_flight(held.collect(), now).into_iter();
        let free = held.filter(|share| !state.retain_until.contains_key(share));
        let misplaced = free.filter(|share| share.rank(&self.instance(), candidates) > 0);
        let misplaced: Vec<ShareId> = misplaced.take(MOVE_BATCH_MAX).collect();
        if misplaced.is_empty() {
            return None;
        }
        let shares = pool.held.release(&misplaced);
        self.limiter.metrics.shares_held.set(pool.held.leases().count() as i64);
        drop(pool);
        let (instance, seen) = (self.instance(), self.limiter.table().next_offset());
        Some(ReleaseRecord { instance, seen, shares })
    }

    async fn append(&self, record: &ShareRecord) -> bool {
        let body = serde_json::to_vec(record).expect("a record serializes to JSON");
        let written = self.shared.log.append(&share_stream(), Bytes::from(body)).await.is_ok();
        let shares = match record {
            ShareRecord::Hold(hold) => hold.shares.len(),
            ShareRecord::Release(release) => release.shares.len(),
        };
        log_event(Level::Info, "shares-written", SharesEvent { shares, written });
        written
    }
}
