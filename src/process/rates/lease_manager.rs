//! Takes shares on, renews their leases, and gives them up, through the share stream.

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
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const KEEP_INTERVAL: Duration = Duration::from_millis(200);
/// After a failed append, the next one waits up to this long, drawn at random.
const APPEND_PAUSE_MAX: Duration = Duration::from_secs(5);
/// How much later each further candidate claims a free share.
const CLAIM_STAGGER: Duration = Duration::from_secs(2);
/// Candidates that claim a free share at all.
const CLAIM_RANKS: usize = 8;
/// The parts of a lease after which it is renewed.
const SHORT_RENEWALS: u32 = 3;
const LONG_RENEWALS: u32 = 6;
/// Shares move to their first candidate once the members have not changed for this long.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const MOVE_INTERVAL: Duration = Duration::from_secs(1);
const MOVES_AT_ONCE: usize = 256;
/// A share that another candidate left free is not offered again for this long.
const KEEP_TIME: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct ManagerState {
    caught_up: bool,
    leases: LeaseTracker,
    keep_until: HashMap<ShareId, MilliTime>,
    release: Option<ReleaseRecord>,
}

/// Keeps this daemon's shares.
pub struct LeaseManager {
    shared: Arc<DaemonShared>,
    gate: Arc<LimiterState>,
    state: Mutex<ManagerState>,
}

#[derive(Serialize)]
struct SharesEvent {
    shares: usize,
    written: bool,
}

impl LeaseManager {
    /// A keeper of the daemon's shares.
    pub fn new(shared: Arc<DaemonShared>) -> Arc<Self> {
        let gate = shared.rates.state().clone();
        let state = ManagerState {
            caught_up: false,
            leases: LeaseTracker::new(gate.instance),
            keep_until: HashMap::new(),
            release: None,
        };
        Arc::new(LeaseManager { shared, gate, state: Mutex::new(state) })
    }

    fn state(&self) -> MutexGuard<'_, ManagerState> {
        self.state.lock().expect("no holder panics")
    }

    fn now(&self) -> MilliTime {
        self.gate.clock.now()
    }

    fn instance(&self) -> InstanceId {
        self.gate.instance
    }

    /// Reads the share stream for as long as the daemon runs.
    pub async fn follow(self: Arc<Self>) {
        loop {
            let next = self.gate.table().next_offset();
            let wait = if self.state().caught_up { READ_WAIT } else { Duration::ZERO };
            match self.shared.log.read(&share_stream(), next, READ_LIMIT, wait).await {
                Ok(page) => {
                    for record in &page.records {
                        self.apply(record.offset, &record.body);
                    }
                    let next = self.gate.table().next_offset();
                    self.state().caught_up = next >= page.tail;
                    self.gate.granted.notify_waiters();
                }
                Err(LogError::Gap { earliest }) => self.reset_table(earliest),
                Err(LogError::Unavailable { .. }) => {
                    self.state().caught_up = false;
                    sleep(RETRY_PAUSE).await;
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
            sleep(KEEP_INTERVAL).await;
            if members.has_changed().unwrap_or(false) {
                members.mark_unchanged();
                candidates = self.read_members();
                settled_at = self.now() + SETTLE_TIME;
            }
            if self.shared.stop.is_raised() || !self.state().caught_up {
                continue;
            }
            let mut written = self.join_shares().await;
            written &= self.claim(&candidates).await;
            written &= self.renew().await;
            if self.now() >= settled_at && self.now() >= moved_at {
                moved_at = self.now() + MOVE_INTERVAL;
                written &= self.move_shares(&candidates).await;
            }
            if !written {
                let millis = APPEND_PAUSE_MAX.as_millis() as u64;
                let pause = rand::rng().random_range(0..millis);
                sleep(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Gives every share up; what this daemon lent may still be spent until it expires.
    pub async fn release_all(&self) {
        let shares = {
            let mut pool = self.gate.pool();
            let held: Vec<ShareId> = pool.held.leases().map(|(share, _)| share).collect();
            pool.held.release(&held)
        };
        if !shares.is_empty() {
            let (instance, seen) = (self.instance(), self.gate.table().next_offset());
            self.append(&ShareRecord::Release(ReleaseRecord { instance, seen, shares })).await;
        }
    }

    fn apply(&self, offset: u64, body: &[u8]) {
        let now = self.now();
        let events = self.gate.table().apply(offset, body, now);
        let mut state = self.state();
        let mut pool = self.gate.pool();
        for event in events {
            state.leases.apply(event, &mut pool, now);
        }
        self.gate.metrics.shares_held.set(pool.held.leases().count() as i64);
    }

    fn reset_table(&self, earliest: u64) {
        let longest = self.shared.config.lease_terms.long;
        *self.gate.table() = ShareTable::new(earliest, self.now(), longest);
    }

    /// Notes the zone's members, for the choice of relays, and returns all members.
    fn read_members(&self) -> Vec<InstanceId> {
        let members = self.shared.members.all_upstreams();
        let zone = &self.shared.config.availability_zone;
        let near = members.iter().filter(|member| member.availability_zone == *zone);
        self.gate.zone.store(Arc::new(near.map(|member| member.instance).collect()));
        members.into_iter().map(|member| member.instance).collect()
    }

    /// Starts to use shares that were taken after a lapse. Organisations that tickets had named
    /// by then may have drawn on them, so these start with nothing.
    async fn join_shares(&self) -> bool {
        let joining = self.state().leases.pending();
        if joining.is_empty() {
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
            let mut pool = self.gate.pool();
            state.leases.activate(&joining, &named, &mut pool, self.now());
        }
        true
    }

    /// Claims the free shares that this daemon is a candidate for.
    async fn claim(&self, candidates: &[InstanceId]) -> bool {
        let now = self.now();
        let free: Vec<(ShareId, MilliTime)> = {
            let table = self.gate.table();
            let since = |share| Some((share, table.free_since(share, now)?));
            ShareId::all().filter_map(since).collect()
        };
        let due = free.into_iter().filter(|(share, since)| {
            let rank = share.rank(&self.instance(), candidates);
            rank < CLAIM_RANKS && now.since(*since) >= CLAIM_STAGGER * rank as u32
        });
        let due: Vec<ShareId> = due.map(|(share, _)| share).collect();
        self.hold(due, candidates).await
    }

    /// Renews the leases that are due.
    async fn renew(&self) -> bool {
        let now = self.now();
        let due: Vec<ShareId> = {
            let pool = self.gate.pool();
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

    /// Appends a hold for each length of lease among `shares`.
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
        let shares = state.leases.not_under_way(shares, now);
        let term = shares.first()?.term(&self.shared.config.lease_terms);
        for share in &shares {
            if share.rank(&self.instance(), candidates) > 0 {
                state.keep_until.insert(*share, now + KEEP_TIME);
            }
        }
        let seen = self.gate.table().next_offset();
        Some(state.leases.hold(shares, term, seen, self.gate.next_sequence(), now))
    }

    /// Gives shares up whose first candidate is another daemon.
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
        state.keep_until.retain(|_, until| *until > now);
        let mut pool = self.gate.pool();
        let held = pool.held.leases().map(|(share, _)| share);
        let held = state.leases.not_under_way(held.collect(), now).into_iter();
        let free = held.filter(|share| !state.keep_until.contains_key(share));
        let misplaced = free.filter(|share| share.rank(&self.instance(), candidates) > 0);
        let misplaced: Vec<ShareId> = misplaced.take(MOVES_AT_ONCE).collect();
        if misplaced.is_empty() {
            return None;
        }
        let shares = pool.held.release(&misplaced);
        self.gate.metrics.shares_held.set(pool.held.leases().count() as i64);
        drop(pool);
        let (instance, seen) = (self.instance(), self.gate.table().next_offset());
        Some(ReleaseRecord { instance, seen, shares })
    }

    async fn append(&self, record: &ShareRecord) -> bool {
        let body = serde_json::to_vec(record).expect("a record has only string keys");
        let written = self.shared.log.append(&share_stream(), Bytes::from(body)).await.is_ok();
        let shares = match record {
            ShareRecord::Hold(hold) => hold.shares.len(),
            ShareRecord::Release(release) => release.shares.len(),
        };
        log_event(Level::Info, "shares-written", SharesEvent { shares, written });
        written
    }
}
