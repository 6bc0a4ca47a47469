//! Rate limiter of organisations.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

use super::borrow_round::{report_spent, start_round};
use super::message::{QuotaAsk, QuotaGrant};
use super::pool::TokenPool;
use super::share::ShareId;
use super::share_table::ShareTable;
use super::terms::{GRANT_MARGIN, LeaseTerms, MICROS_PER_TOKEN, ShareTerms};
use crate::clock::{MilliClock, MilliTime};
use crate::connection::control_link::ControlLinks;
use crate::error::ResultCode;
use crate::process::members::InstanceId;
use crate::process::metrics::RateMetrics;
use crate::version::organisation::OrganisationState;

/// Longest wait of a request for a token.
pub const TOKEN_WAIT: Duration = Duration::from_millis(40);
/// Longest wait of a request while no holder of its organisation's shares is known.
const HOLDER_WAIT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait of a request for the answer to an ask in flight.
const ANSWER_WAIT: Duration = Duration::from_millis(400);
/// Longest wait of a relay for tokens before it answers.
const RELAY_WAIT: Duration = Duration::from_millis(30);
/// Backoff of a borrower whose ask was overtaken or names an organisation that is unknown here.
const REFUSAL_BACKOFF_MILLIS: u64 = 100;

/// A recorded admission: the token was taken between the two instants.
#[derive(Clone, Debug)]
pub struct AdmissionStamp {
    /// The organisation.
    pub organisation: Arc<str>,
    /// A time before the token was taken.
    pub after: Instant,
    /// A time after the token was taken.
    pub before: Instant,
}

/// State shared by the limiter and its tasks.
pub(crate) struct LimiterState {
    pub(crate) clock: MilliClock,
    pub(crate) instance: InstanceId,
    pub(crate) links: Arc<ControlLinks>,
    pub(crate) metrics: RateMetrics,
    pub(crate) table: Mutex<ShareTable>,
    pub(crate) granted: Notify,
    /// The members of this daemon's availability zone.
    pub(crate) zone_members: ArcSwap<Vec<InstanceId>>,
    pool: Mutex<TokenPool>,
    sequence: AtomicU64,
    recorder: Mutex<Option<mpsc::UnboundedSender<AdmissionStamp>>>,
}

impl LimiterState {
    pub(crate) fn pool(&self) -> MutexGuard<'_, TokenPool> {
        self.pool.lock().expect("lock not poisoned")
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, ShareTable> {
        self.table.lock().expect("lock not poisoned")
    }

    pub(crate) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Admits requests at the entry daemon within the organisation's rate and burst.
#[derive(Clone)]
pub struct RateLimiter {
    state: Arc<LimiterState>,
}

/// Counts waiting requests until it is dropped, also when their caller disconnects.
struct WaitingGuard<'a> {
    state: &'a LimiterState,
    name: &'a Arc<str>,
    tokens: u64,
}

impl<'a> WaitingGuard<'a> {
    fn new(state: &'a LimiterState, name: &'a Arc<str>, tokens: u64) -> Self {
        state.pool().account(name).waiting += tokens;
        WaitingGuard { state, name, tokens }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.state.pool().account(self.name).waiting -= self.tokens;
    }
}

impl RateLimiter {
    /// A limiter without shares; [`super::lease_manager`] acquires them.
    pub fn new(
        clock: MilliClock,
        instance: InstanceId,
        links: Arc<ControlLinks>,
        metrics: RateMetrics,
        terms: &LeaseTerms,
    ) -> Self {
        let table = ShareTable::new(0, clock.now(), terms.long);
        let state = LimiterState {
            clock,
            instance,
            links,
            metrics,
            table: Mutex::new(table),
            granted: Notify::new(),
            zone_members: ArcSwap::default(),
            pool: Mutex::default(),
            sequence: AtomicU64::new(0),
            recorder: Mutex::default(),
        };
        RateLimiter { state: Arc::new(state) }
    }

    /// Charges one root request to `name`; sub-calls and retries are not charged.
    ///
    /// # Errors
    /// [`ResultCode::RateExceeded`] if no token was available in time.
    pub async fn admit(
        &self,
        name: &Arc<str>,
        terms: &OrganisationState,
    ) -> Result<(), ResultCode> {
        let terms = ShareTerms::from(terms);
        let started = self.state.clock.now();
        self.state.pool().account(name).count_arrivals(1.0, started);
        if self.take_token(name, &terms) {
            self.ask_ahead(name, &terms, started);
            return Ok(());
        }
        let guard = WaitingGuard::new(&self.state, name, 1);
        let admitted = self.wait_token(name, &terms, started).await;
        drop(guard);
        report_spent(&self.state, name);
        if admitted {
            return Ok(());
        }
        self.state.metrics.refused.inc();
        if self.state.pool().account(name).has_unresponsive_lender(self.state.clock.now()) {
            self.state.metrics.refused_suspect.inc();
        }
        Err(ResultCode::RateExceeded)
    }

    /// Serves an ask of another daemon with the terms in force here. A relay that is short of
    /// tokens asks the holders of shares before it answers.
    pub async fn serve_ask(
        &self,
        borrower: InstanceId,
        ask: &QuotaAsk,
        terms: Option<&OrganisationState>,
    ) -> QuotaGrant {
        self.state.metrics.asks_served.inc();
        let refusal = QuotaGrant { retry_ms: REFUSAL_BACKOFF_MILLIS, ..QuotaGrant::default() };
        let started = self.state.clock.now();
        if !self.state.pool().settle(borrower, ask, started) {
            return refusal;
        }
        let Some(terms) = terms.map(ShareTerms::from) else { return refusal };
        if ask.need + ask.ahead == 0 {
            report_spent(&self.state, &ask.organisation);
            return QuotaGrant::default();
        }
        if ask.relay {
            self.wait_relayed(ask, &terms, started).await;
        }
        let now = self.state.clock.now();
        let grant = self.state.pool().lend(borrower, ask, &terms, now);
        let micros: u64 = grant.parts.iter().map(|part| part.micros).sum();
        self.state.metrics.tokens_lent.inc_by(micros / MICROS_PER_TOKEN);
        grant
    }

    /// Waits until the relay has the requested tokens or cannot get them in time.
    async fn wait_relayed(&self, ask: &QuotaAsk, terms: &ShareTerms, started: MilliTime) {
        let name = &ask.organisation;
        let tokens = ask.need.div_ceil(MICROS_PER_TOKEN);
        {
            let mut pool = self.state.pool();
            let account = pool.account(name);
            account.mark_relay(started);
            account
                .count_arrivals((ask.need + ask.ahead) as f64 / MICROS_PER_TOKEN as f64, started);
        }
        let _guard = WaitingGuard::new(&self.state, name, tokens);
        let deadline = started + RELAY_WAIT;
        loop {
            let granted = self.state.granted.notified();
            let now = self.state.clock.now();
            let available = self.state.pool().level(name, terms, now);
            if available >= ask.need
                || now >= deadline
                || self.is_unobtainable(name, terms, deadline)
            {
                break;
            }
            start_round(&self.state, name, terms);
            // After a grant or a timeout, the relay checks its level again.
            let _ = timeout(POLL_INTERVAL, granted).await;
        }
        self.ask_ahead(name, terms, self.state.clock.now());
    }

    /// Records every admission from now on, for checks of the bound.
    pub fn record_admissions(&self) -> mpsc::UnboundedReceiver<AdmissionStamp> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.state.recorder.lock().expect("lock not poisoned") = Some(sender);
        receiver
    }

    /// The shares held here under a valid lease.
    pub fn held_shares(&self) -> Vec<ShareId> {
        let now = self.state.clock.now();
        let pool = self.state.pool();
        pool.held.leases().filter(|(_, end)| *end > now).map(|(share, _)| share).collect()
    }

    pub(crate) fn state(&self) -> &Arc<LimiterState> {
        &self.state
    }

    /// Takes a local token. Leases and expiries are checked under the lock under which it is spent.
    fn take_token(&self, name: &Arc<str>, terms: &ShareTerms) -> bool {
        let after = Instant::now();
        let mut pool = self.state.pool();
        // The clock is read under the lock, so that a process that was frozen does not use an
        // outdated time.
        let now = self.state.clock.now();
        let taken = pool.take(name, terms, now);
        drop(pool);
        // A process frozen after the clock was read may have taken a token that has expired since.
        let in_time = self.state.clock.now().since(now) < GRANT_MARGIN;
        if taken && in_time {
            self.state.metrics.admitted.inc();
            self.record(name, after);
        }
        taken && in_time
    }

    fn record(&self, name: &Arc<str>, after: Instant) {
        let recorder = self.state.recorder.lock().expect("lock not poisoned");
        if let Some(recorder) = recorder.as_ref() {
            let (organisation, before) = (name.clone(), Instant::now());
            // The receiver may have been dropped.
            let _ = recorder.send(AdmissionStamp { organisation, after, before });
        }
    }

    fn ask_ahead(&self, name: &Arc<str>, terms: &ShareTerms, now: MilliTime) {
        let low = {
            let mut pool = self.state.pool();
            let own = pool.held.level(name, terms, now).0;
            let account = pool.account(name);
            !account.asking && account.is_low(own, terms, now)
        };
        if low {
            start_round(&self.state, name, terms);
        }
    }

    async fn wait_token(&self, name: &Arc<str>, terms: &ShareTerms, started: MilliTime) -> bool {
        loop {
            let granted = self.state.granted.notified();
            if self.take_token(name, terms) {
                return true;
            }
            let deadline = self.deadline(name, started);
            if self.state.clock.now() >= deadline || self.is_unobtainable(name, terms, deadline) {
                return false;
            }
            start_round(&self.state, name, terms);
            // After a grant or a timeout, the request tries again.
            let _ = timeout(POLL_INTERVAL, granted).await;
        }
    }

    fn deadline(&self, name: &Arc<str>, started: MilliTime) -> MilliTime {
        let mut pool = self.state.pool();
        let now = self.state.clock.now();
        let has_holder = pool.has_known_holder(name, now);
        match (has_holder, pool.account(name).asking) {
            (false, _) => started + HOLDER_WAIT,
            (true, true) => started + ANSWER_WAIT,
            (true, false) => started + TOKEN_WAIT,
        }
    }

    /// Whether neither the held shares nor any lender can have enough tokens before the deadline.
    fn is_unobtainable(&self, name: &Arc<str>, terms: &ShareTerms, deadline: MilliTime) -> bool {
        let lenders = self.state.lenders(name);
        let mut pool = self.state.pool();
        let now = self.state.clock.now();
        pool.is_unobtainable(name, terms, &lenders, deadline, now)
    }
}
