//! Enforces the rates of organisations with this daemon's shares of fleet-wide token buckets.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::peer_table::instance_key;
use super::sidecar_shared::SidecarShared;
use crate::clock::{MilliClock, MilliTime};
use crate::policy::token_priority::{DemandLedger, TokenCutoff, TokenScarcity, TokenUrgency};
use crate::policy::token_share::{RateTerms, RateWindow, TokenShare};
use crate::sidecar::connection::frame::{
    OrganisationCutoff, PeerMessage, TokenAmount, TokenDemand,
};
use crate::sidecar::version::fleet_config::{FleetConfig, FleetOrganisation};

/// Maximum wait of a request for tokens from the pool.
const BORROW_TIMEOUT: Duration = Duration::from_millis(40);
/// After a token request without success, requests are refused without waiting for this long.
const EMPTY_POOL_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum age of the directory view for a refill, and the wait of a new host before its first
/// refill, so that no two daemons refill the same share of a rate.
pub(super) const VIEW_AGE_MAX: Duration = Duration::from_secs(6);
#[derive(Debug)]
pub(super) struct OrganisationQuota {
    pub(super) share: TokenShare,
    pub(super) scarcity: TokenScarcity,
    /// The demand that other daemons reported to this one as the pool.
    pub(super) ledger: DemandLedger,
    /// Whether a cutoff was in force at the last exchange.
    pub(super) was_scarce: bool,
    pub(super) pool: u64,
    /// Since when this daemon may refill as a host; `None` if it is none.
    pub(super) refill_from: Option<MilliTime>,
    /// Whether tokens were exchanged since the organisation is known here.
    pub(super) has_exchanged: bool,
    /// Requests waiting for tokens from the pool.
    pub(super) waiting: SmallVec<[TokenUrgency; 4]>,
    pub(super) backoff_until: MilliTime,
}

#[derive(Debug, Default)]
pub(super) struct QuotaState {
    pub(super) quotas: HashMap<Arc<str>, OrganisationQuota>,
    /// Hosts of each organisation.
    pub(super) hosts: usize,
    /// Replacement times and host counts of earlier views.
    pub(super) former_hosts: Vec<(MilliTime, usize)>,
    /// Whether the first directory view after the start listed this daemon; `None` before it.
    pub(super) was_listed: Option<bool>,
}

/// This daemon's shares of all organisations' tokens.
#[derive(Debug)]
pub(crate) struct QuotaTable {
    pub(super) clock: MilliClock,
    pub(super) own_key: u64,
    pub(super) window: RateWindow,
    state: Mutex<QuotaState>,
    received: Notify,
}

/// Counts a request as waiting for a token from the pool until dropped.
struct TokenWait<'a> {
    table: &'a QuotaTable,
    organisation: &'a FleetOrganisation,
    urgency: TokenUrgency,
    has_timed_out: bool,
}

/// A request beyond its organisation's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaRefusal {
    /// Time until tokens for requests of its urgency come, if the pool stated it.
    pub(crate) tokens_in: Option<Duration>,
    /// Whether tokens were kept for more urgent requests.
    pub(crate) is_cut_off: bool,
}

/// What a request takes before it runs.
enum TokenStep {
    Admitted,
    Refused(QuotaRefusal),
    /// The pool may lend a token.
    Borrow(u64),
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        self.table.end_wait(self.organisation, self.urgency, self.has_timed_out);
    }
}

impl QuotaState {
    pub(super) fn set_hosts(&mut self, now: MilliTime, hosts: usize) {
        if hosts < self.hosts {
            self.former_hosts.push((now, self.hosts));
            self.former_hosts.retain(|(until, _)| now.since(*until) < VIEW_AGE_MAX);
        }
        self.hosts = hosts;
    }

    /// The number of hosts by which rates are divided: the largest in any view that another daemon
    /// may still hold.
    pub(super) fn divisor(&self, now: MilliTime) -> usize {
        let former = self.former_hosts.iter().filter(|(until, _)| now.since(*until) < VIEW_AGE_MAX);
        former.map(|(_, count)| *count).max().unwrap_or(0).max(self.hosts)
    }
}

impl OrganisationQuota {
    /// Updates whether this daemon refills. A host that was one when it started was counted by all
    /// others; a new one waits until every older view has expired.
    pub(super) fn update_host(&mut self, now: MilliTime, is_host: bool, was_listed: bool) {
        let is_first = !std::mem::replace(&mut self.has_exchanged, true);
        if !is_host {
            self.refill_from = None;
        } else if self.refill_from.is_none() {
            let wait = if is_first && was_listed { Duration::ZERO } else { VIEW_AGE_MAX };
            self.refill_from = Some(now + wait);
        }
    }

    /// The cutoff that this daemon states as the pool.
    pub(super) fn pool_cutoff(&mut self, now: MilliTime, terms: RateTerms) -> Option<TokenCutoff> {
        self.ledger.cutoff(now, terms, self.share.tokens())
    }

    pub(super) fn can_refill(&self, now: MilliTime) -> bool {
        self.refill_from.is_some_and(|from| now >= from)
    }
}

impl QuotaTable {
    pub(crate) fn new(clock: MilliClock, own_name: &str, window: RateWindow) -> Self {
        let own_key = instance_key(own_name);
        QuotaTable { clock, own_key, window, state: Mutex::default(), received: Notify::new() }
    }

    /// Records whether a directory view lists this daemon.
    pub(crate) fn record_listed(&self, is_listed: bool) {
        self.lock().was_listed.get_or_insert(is_listed);
    }

    /// Applies the rates of a new configuration.
    pub(crate) fn apply_config(&self, config: &FleetConfig) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.quotas.retain(|name, _| {
            config.organisation(name).is_some_and(|organisation| organisation.rate.is_some())
        });
        for organisation in config.organisations() {
            if let Some(terms) = organisation.rate {
                let quota = state.quotas.entry(organisation.name.clone());
                quota.or_insert_with(|| OrganisationQuota {
                    share: TokenShare::new(now, terms.spread_over(self.window)),
                    scarcity: TokenScarcity::new(now),
                    ledger: DemandLedger::default(),
                    was_scarce: false,
                    pool: self.own_key,
                    refill_from: None,
                    has_exchanged: false,
                    waiting: SmallVec::new(),
                    backoff_until: MilliTime(0),
                });
            }
        }
    }

    /// Takes a token for a request, waiting briefly for one from the pool. Fails if none is
    /// available: the organisation is over its rate as far as this daemon can determine, or the
    /// tokens go to its more urgent requests.
    pub(crate) async fn admit(
        &self,
        shared: &SidecarShared,
        organisation: &FleetOrganisation,
        urgency: TokenUrgency,
        demand: f32,
    ) -> Result<(), QuotaRefusal> {
        if organisation.rate.is_none() {
            return Ok(());
        }
        let pool = match self.take(organisation, urgency, demand) {
            TokenStep::Admitted => return Ok(()),
            TokenStep::Refused(refusal) => return Err(refusal),
            TokenStep::Borrow(pool) => pool,
        };
        let mut wait = TokenWait { table: self, organisation, urgency, has_timed_out: false };
        self.request_tokens(shared, pool, organisation, urgency);
        if self.wait_token(organisation, urgency).await {
            return Ok(());
        }
        wait.has_timed_out = true;
        let now = self.clock.now();
        let state = self.lock();
        let quota = state.quotas.get(&organisation.name);
        let cutoff = quota.and_then(|quota| quota.scarcity.cutoff(now));
        let tokens_in = cutoff.map(|cutoff| cutoff.tokens_in(urgency));
        drop(state);
        Err(QuotaRefusal { tokens_in, is_cut_off: false })
    }

    async fn wait_token(&self, organisation: &FleetOrganisation, urgency: TokenUrgency) -> bool {
        let deadline = Instant::now() + BORROW_TIMEOUT;
        loop {
            let received = self.received.notified();
            if self.take_received(organisation, urgency) {
                return true;
            }
            if timeout_at(deadline, received).await.is_err() {
                return false;
            }
        }
    }

    /// Describes the quota state for the log line of a refused request.
    pub(crate) fn describe(&self, organisation: &FleetOrganisation) -> String {
        let now = self.clock.now();
        let state = self.lock();
        let Some(quota) = state.quotas.get(&organisation.name) else {
            return "no rate configured".to_owned();
        };
        let terms = organisation.rate.unwrap_or(RateTerms { per_second: 0.0, burst: 0.0 });
        let cutoff = quota.scarcity.cutoff(now).map(|cutoff| {
            let percent = cutoff.fraction * 100.0;
            format!(", {percent:.0}% of the {} admitted", cutoff.urgency)
        });
        format!(
            "{:.2} local tokens, rate {}/s over {} hosts, refill {}, pool {}{}",
            quota.share.tokens(),
            terms.per_second,
            state.divisor(now),
            quota.can_refill(now),
            if quota.pool == self.own_key { "here" } else { "asked" },
            cutoff.unwrap_or_default(),
        )
    }

    /// Returns the token of a request that was refused for another reason.
    pub(crate) fn refund(&self, organisation: &FleetOrganisation) {
        let now = self.clock.now();
        if let Some(quota) = self.lock().quotas.get_mut(&organisation.name) {
            quota.share.refund(now);
        }
    }

    /// Adds tokens received from another daemon.
    pub(crate) fn receive(&self, amounts: &[TokenAmount]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for amount in amounts {
            if let Some(quota) = state.quotas.get_mut(&amount.organisation) {
                quota.share.receive(now, amount.tokens);
            }
        }
        drop(state);
        self.received.notify_waiters();
    }

    /// Lends tokens to another daemon.
    pub(crate) fn lend(&self, requests: &[TokenAmount]) -> Vec<TokenAmount> {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut lent = Vec::new();
        for request in requests {
            let quota = state.quotas.get_mut(&request.organisation);
            let tokens = quota.map_or(0.0, |quota| quota.share.lend(now, request.tokens));
            if tokens > 0.0 {
                lent.push(TokenAmount { organisation: request.organisation.clone(), tokens });
            }
        }
        lent
    }

    /// Records the demand that other daemons reported, and answers with the cutoffs.
    pub(crate) fn observe_demand(&self, demands: &[TokenDemand]) -> Vec<OrganisationCutoff> {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut cutoffs = Vec::with_capacity(demands.len());
        for demand in demands {
            if let Some(quota) = state.quotas.get_mut(&demand.organisation) {
                quota.ledger.observe(now, &demand.counts);
                let cutoff = quota.pool_cutoff(now, quota.share.terms());
                cutoffs
                    .push(OrganisationCutoff { organisation: demand.organisation.clone(), cutoff });
            }
        }
        cutoffs
    }

    /// The cutoffs in force of the organisations whose tokens another daemon transfers or requests.
    pub(crate) fn cutoffs(&self, amounts: &[TokenAmount]) -> Vec<OrganisationCutoff> {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut cutoffs = Vec::new();
        for amount in amounts {
            let quota = state.quotas.get_mut(&amount.organisation);
            let cutoff = quota.and_then(|quota| quota.pool_cutoff(now, quota.share.terms()));
            if cutoff.is_some() {
                cutoffs
                    .push(OrganisationCutoff { organisation: amount.organisation.clone(), cutoff });
            }
        }
        cutoffs
    }

    /// Records the cutoffs that a pool states.
    pub(crate) fn set_cutoffs(&self, cutoffs: &[OrganisationCutoff]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for stated in cutoffs {
            if let Some(quota) = state.quotas.get_mut(&stated.organisation) {
                quota.scarcity.set_cutoff(now, stated.cutoff);
            }
        }
    }

    /// Takes a token, unless those left are for more urgent requests.
    fn take(
        &self,
        organisation: &FleetOrganisation,
        urgency: TokenUrgency,
        demand: f32,
    ) -> TokenStep {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(quota) = state.quotas.get_mut(&organisation.name) else {
            return TokenStep::Refused(QuotaRefusal { tokens_in: None, is_cut_off: false });
        };
        let is_passed = quota.scarcity.arrive(now, urgency, demand, rand::random::<f64>());
        if is_passed && quota.share.take(now) {
            return TokenStep::Admitted;
        }
        if is_passed {
            quota.scarcity.record_short(now);
            if quota.pool != self.own_key && now >= quota.backoff_until {
                return TokenStep::Borrow(quota.pool);
            }
        }
        let tokens_in = quota.scarcity.cutoff(now).map(|cutoff| cutoff.tokens_in(urgency));
        TokenStep::Refused(QuotaRefusal { tokens_in, is_cut_off: !is_passed })
    }

    /// Takes a token for a waiting request, unless more urgent ones wait for those received.
    fn take_received(&self, organisation: &FleetOrganisation, urgency: TokenUrgency) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(quota) = state.quotas.get_mut(&organisation.name) else {
            return false;
        };
        let preferred = quota.waiting.iter().filter(|waiting| **waiting < urgency).count();
        let has_rest = preferred == 0 || quota.share.tokens() >= preferred as f64 + 1.0;
        has_rest && quota.share.take_uncounted(now)
    }

    fn end_wait(
        &self,
        organisation: &FleetOrganisation,
        urgency: TokenUrgency,
        has_timed_out: bool,
    ) {
        let now = self.clock.now();
        if let Some(quota) = self.lock().quotas.get_mut(&organisation.name) {
            let place = quota.waiting.iter().position(|waiting| *waiting == urgency);
            if let Some(place) = place {
                quota.waiting.swap_remove(place);
            }
            if has_timed_out {
                quota.backoff_until = now + EMPTY_POOL_BACKOFF;
            }
        }
    }

    fn request_tokens(
        &self,
        shared: &SidecarShared,
        pool: u64,
        organisation: &FleetOrganisation,
        urgency: TokenUrgency,
    ) {
        let now = self.clock.now();
        let shortage = {
            let mut state = self.lock();
            let Some(quota) = state.quotas.get_mut(&organisation.name) else {
                return;
            };
            // Each waiting request needs its own token.
            let others = quota.waiting.len() as f64;
            quota.waiting.push(urgency);
            quota.share.shortage(now).map(|tokens| tokens + others)
        };
        if let (Some(tokens), Some(link)) = (shortage, shared.peers.linked(pool)) {
            let organisation = organisation.name.clone();
            link.send(PeerMessage::RequestTokens(vec![TokenAmount { organisation, tokens }]));
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, QuotaState> {
        self.state.lock().expect("lock not poisoned")
    }
}
