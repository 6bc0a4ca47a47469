//! Decides whether an organisation may send one more request.

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

/// How long a request waits for a token before it is refused.
pub const TOKEN_WAIT: Duration = Duration::from_millis(40);
/// How long a request waits while nobody holds its organisation's shares yet.
const HOLDER_WAIT: Duration = Duration::from_secs(2);
const POLL_PAUSE: Duration = Duration::from_millis(5);
/// How long a request waits for the answer to an ask that is under way.
const ANSWER_WAIT: Duration = Duration::from_millis(400);
/// How long a relay looks for tokens before it answers.
const RELAY_WAIT: Duration = Duration::from_millis(30);
/// When a borrower may ask again whose ask was overtaken or names no organisation known here.
const REFUSAL_RETRY_MILLIS: u64 = 100;

/// An admission, as a recorder sees it: the token was taken between the two instants.
#[derive(Clone, Debug)]
pub struct AdmissionStamp {
    /// The organisation.
    pub organisation: Arc<str>,
    /// Before the token was taken.
    pub after: Instant,
    /// After the token was taken.
    pub before: Instant,
}

/// What the gate and its tasks share.
pub(crate) struct LimiterState {
    pub(crate) clock: MilliClock,
    pub(crate) instance: InstanceId,
    pub(crate) hub: Arc<ControlLinks>,
    pub(crate) metrics: RateMetrics,
    pub(crate) table: Mutex<ShareTable>,
    pub(crate) granted: Notify,
    /// The members of this daemon's availability zone.
    pub(crate) zone: ArcSwap<Vec<InstanceId>>,
    pool: Mutex<TokenPool>,
    sequence: AtomicU64,
    recorder: Mutex<Option<mpsc::UnboundedSender<AdmissionStamp>>>,
}

impl LimiterState {
    pub(crate) fn pool(&self) -> MutexGuard<'_, TokenPool> {
        self.pool.lock().expect("no holder panics")
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, ShareTable> {
        self.table.lock().expect("no holder panics")
    }

    pub(crate) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Admits requests at the entry within the organisation's rate and burst.
#[derive(Clone)]
pub struct RateLimiter {
    state: Arc<LimiterState>,
}

/// The place of waiting requests, which ends with them, also when their caller goes away.
struct WaitingPlace<'a> {
    state: &'a LimiterState,
    name: &'a Arc<str>,
    tokens: u64,
}

impl<'a> WaitingPlace<'a> {
    fn new(state: &'a LimiterState, name: &'a Arc<str>, tokens: u64) -> Self {
        state.pool().account(name).waiting += tokens;
        WaitingPlace { state, name, tokens }
    }
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        self.state.pool().account(self.name).waiting -= self.tokens;
    }
}

impl RateLimiter {
    /// A gate that holds no share yet; [`super::lease_manager`] takes shares on.
    pub fn new(
        clock: MilliClock,
        instance: InstanceId,
        hub: Arc<ControlLinks>,
        metrics: RateMetrics,
        terms: &LeaseTerms,
    ) -> Self {
        let table = ShareTable::new(0, clock.now(), terms.long);
        let state = LimiterState {
            clock,
            instance,
            hub,
            metrics,
            table: Mutex::new(table),
            granted: Notify::new(),
            zone: ArcSwap::default(),
            pool: Mutex::default(),
            sequence: AtomicU64::new(0),
            recorder: Mutex::default(),
        };
        RateLimiter { state: Arc::new(state) }
    }

    /// Charges one root request to `name`; sub-calls and retries are not charged.
    ///
    /// # Errors
    /// [`ResultCode::RateExceeded`] if no token came in time.
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
        let place = WaitingPlace::new(&self.state, name, 1);
        let admitted = self.wait_token(name, &terms, started).await;
        drop(place);
        report_spent(&self.state, name);
        if admitted {
            return Ok(());
        }
        self.state.metrics.refused.inc();
        if self.state.pool().account(name).has_silent_lender(self.state.clock.now()) {
            self.state.metrics.refused_suspect.inc();
        }
        Err(ResultCode::RateExceeded)
    }

    /// Serves an ask of another daemon with the terms in force here. A relay that is short asks
    /// the holders of shares before it answers.
    pub async fn serve_ask(
        &self,
        borrower: InstanceId,
        ask: &QuotaAsk,
        terms: Option<&OrganisationState>,
    ) -> QuotaGrant {
        self.state.metrics.asks_served.inc();
        let refusal = QuotaGrant { retry_ms: REFUSAL_RETRY_MILLIS, ..QuotaGrant::default() };
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

    /// Waits until what is asked for is here, or cannot come in time.
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
        let _place = WaitingPlace::new(&self.state, name, tokens);
        let deadline = started + RELAY_WAIT;
        loop {
            let granted = self.state.granted.notified();
            let now = self.state.clock.now();
            let have = self.state.pool().level(name, terms, now);
            if have >= ask.need || now >= deadline || self.is_unobtainable(name, terms, deadline) {
                break;
            }
            start_round(&self.state, name, terms);
            // Woken by a grant or by the pause, the relay looks again either way.
            let _ = timeout(POLL_PAUSE, granted).await;
        }
        self.ask_ahead(name, terms, self.state.clock.now());
    }

    /// Reports every admission from now on, for checks of the bound.
    pub fn record_admissions(&self) -> mpsc::UnboundedReceiver<AdmissionStamp> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.state.recorder.lock().expect("no holder panics") = Some(sender);
        receiver
    }

    /// The shares held here, their leases not lapsed.
    pub fn held_shares(&self) -> Vec<ShareId> {
        let now = self.state.clock.now();
        let pool = self.state.pool();
        pool.held.leases().filter(|(_, end)| *end > now).map(|(share, _)| share).collect()
    }

    pub(crate) fn state(&self) -> &Arc<LimiterState> {
        &self.state
    }

    /// Takes a token that is here. Leases and expiries are checked under the lock that spends.
    fn take_token(&self, name: &Arc<str>, terms: &ShareTerms) -> bool {
        let after = Instant::now();
        let mut pool = self.state.pool();
        // The clock is read under the lock: a frozen process must not spend by an old reading.
        let now = self.state.clock.now();
        let taken = pool.take(name, terms, now);
        drop(pool);
        // Frozen since that reading, the process may have taken what expired meanwhile.
        let in_time = self.state.clock.now().since(now) < GRANT_MARGIN;
        if taken && in_time {
            self.state.metrics.admitted.inc();
            self.record(name, after);
        }
        taken && in_time
    }

    fn record(&self, name: &Arc<str>, after: Instant) {
        let recorder = self.state.recorder.lock().expect("no holder panics");
        if let Some(recorder) = recorder.as_ref() {
            let (organisation, before) = (name.clone(), Instant::now());
            // A recorder that went away needs no more stamps.
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
            // Woken by a grant or by the pause, the request looks again either way.
            let _ = timeout(POLL_PAUSE, granted).await;
        }
    }

    fn deadline(&self, name: &Arc<str>, started: MilliTime) -> MilliTime {
        let mut pool = self.state.pool();
        let now = self.state.clock.now();
        let minted = pool.has_known_holder(name, now);
        match (minted, pool.account(name).asking) {
            (false, _) => started + HOLDER_WAIT,
            (true, true) => started + ANSWER_WAIT,
            (true, false) => started + TOKEN_WAIT,
        }
    }

    /// Whether neither the shares here nor any lender can have enough before the deadline.
    fn is_unobtainable(&self, name: &Arc<str>, terms: &ShareTerms, deadline: MilliTime) -> bool {
        let lenders = self.state.lenders(name);
        let mut pool = self.state.pool();
        let now = self.state.clock.now();
        pool.is_unobtainable(name, terms, &lenders, deadline, now)
    }
}
