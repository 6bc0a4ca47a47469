//! Enforces the rates of organisations with this daemon's shares of fleet-wide token buckets.

use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};
use xxhash_rust::xxh3::Xxh3;

use super::peer_table::{PoolHost, instance_key};
use super::sidecar_shared::SidecarShared;
use super::store_view::TopicView;
use crate::clock::{MilliClock, MilliTime};
use crate::policy::token_share::{RateTerms, RateWindow, TokenShare};
use crate::sidecar::connection::frame::{PeerMessage, TokenAmount};
use crate::sidecar::version::fleet_config::{FleetConfig, FleetOrganisation};

/// Time between exchanges of tokens with the pools.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum wait of a request for tokens from the pool.
const BORROW_TIMEOUT: Duration = Duration::from_millis(40);
/// After a token request without success, requests are refused without waiting for this long.
const EMPTY_POOL_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum age of the directory view for a refill, and the wait of a new host before its first
/// refill, so that no two daemons refill the same share of a rate.
const VIEW_AGE_MAX: Duration = Duration::from_secs(6);
/// Hosts of an organisation, which refill its tokens in equal parts.
const HOSTS_PER_ORGANISATION: usize = 16;

#[derive(Debug)]
struct OrganisationQuota {
    share: TokenShare,
    pool: u64,
    /// Since when this daemon may refill as a host; `None` if it is none.
    refill_from: Option<MilliTime>,
    /// Whether tokens were exchanged since the organisation is known here.
    has_exchanged: bool,
    /// Requests waiting for tokens from the pool.
    waiting: u32,
    backoff_until: MilliTime,
}

#[derive(Debug, Default)]
struct QuotaState {
    quotas: HashMap<Arc<str>, OrganisationQuota>,
    /// Hosts of each organisation.
    hosts: usize,
    /// Replacement times and host counts of earlier views.
    former_hosts: Vec<(MilliTime, usize)>,
    /// Whether the first directory view after the start listed this daemon; `None` before it.
    was_listed: Option<bool>,
}

/// This daemon's shares of all organisations' tokens.
#[derive(Debug)]
pub(crate) struct QuotaTable {
    clock: MilliClock,
    own_key: u64,
    window: RateWindow,
    state: Mutex<QuotaState>,
    received: Notify,
}

/// Counts a request as waiting for a token from the pool until dropped.
struct TokenWait<'a> {
    table: &'a QuotaTable,
    organisation: &'a FleetOrganisation,
    has_timed_out: bool,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        self.table.end_wait(self.organisation, self.has_timed_out);
    }
}

fn rendezvous_weight(organisation: &str, member: u64) -> u64 {
    let mut hasher = Xxh3::with_seed(member);
    hasher.write(organisation.as_bytes());
    hasher.finish()
}

impl QuotaState {
    fn set_hosts(&mut self, now: MilliTime, hosts: usize) {
        if hosts < self.hosts {
            self.former_hosts.push((now, self.hosts));
            self.former_hosts.retain(|(until, _)| now.since(*until) < VIEW_AGE_MAX);
        }
        self.hosts = hosts;
    }

    /// The number of hosts by which rates are divided: the largest in any view that another daemon
    /// may still hold.
    fn divisor(&self, now: MilliTime) -> usize {
        let former = self.former_hosts.iter().filter(|(until, _)| now.since(*until) < VIEW_AGE_MAX);
        former.map(|(_, count)| *count).max().unwrap_or(0).max(self.hosts)
    }
}

impl OrganisationQuota {
    /// Updates whether this daemon refills. A host that was one when it started was counted by all
    /// others; a new one waits until every older view has expired.
    fn update_host(&mut self, now: MilliTime, is_host: bool, was_listed: bool) {
        let is_first = !std::mem::replace(&mut self.has_exchanged, true);
        if !is_host {
            self.refill_from = None;
        } else if self.refill_from.is_none() {
            let wait = if is_first && was_listed { Duration::ZERO } else { VIEW_AGE_MAX };
            self.refill_from = Some(now + wait);
        }
    }

    fn can_refill(&self, now: MilliTime) -> bool {
        self.refill_from.is_some_and(|from| now >= from)
    }
}

/// The hosts of an organisation, the first one first.
fn organisation_hosts(organisation: &str, hosts: &[PoolHost]) -> Vec<PoolHost> {
    let mut hosts = hosts.to_vec();
    hosts.sort_by_key(|host| std::cmp::Reverse(rendezvous_weight(organisation, host.key)));
    hosts.truncate(HOSTS_PER_ORGANISATION);
    hosts
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
                    pool: self.own_key,
                    refill_from: None,
                    has_exchanged: false,
                    waiting: 0,
                    backoff_until: MilliTime(0),
                });
            }
        }
    }

    /// Takes a token for a request, waiting briefly for one from the pool. `false` if none is
    /// available: the organisation is over its rate as far as this daemon can determine.
    pub(crate) async fn admit(
        &self,
        shared: &SidecarShared,
        organisation: &FleetOrganisation,
    ) -> bool {
        let Some(terms) = organisation.rate else {
            return true;
        };
        let Some(pool) = self.take_or_pool(organisation, terms) else {
            return true;
        };
        let Some(pool) = pool else {
            return false;
        };
        let mut wait = TokenWait { table: self, organisation, has_timed_out: false };
        self.request_tokens(shared, pool, organisation);
        let is_admitted = self.wait_token(organisation).await;
        wait.has_timed_out = !is_admitted;
        is_admitted
    }

    async fn wait_token(&self, organisation: &FleetOrganisation) -> bool {
        let deadline = Instant::now() + BORROW_TIMEOUT;
        loop {
            let received = self.received.notified();
            if self.take_received(organisation) {
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
        format!(
            "{:.2} local tokens, rate {}/s over {} hosts, refill {}, pool {}",
            quota.share.tokens(),
            terms.per_second,
            state.divisor(now),
            quota.can_refill(now),
            if quota.pool == self.own_key { "here" } else { "asked" },
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

    /// Takes a token and returns `None`; without a token returns the pool to borrow from, if any.
    fn take_or_pool(
        &self,
        organisation: &FleetOrganisation,
        terms: RateTerms,
    ) -> Option<Option<u64>> {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(quota) = state.quotas.get_mut(&organisation.name) else {
            return Some(None);
        };
        debug_assert!(terms.per_second > 0.0);
        if quota.share.take(now) {
            return None;
        }
        let can_borrow = quota.pool != self.own_key && now >= quota.backoff_until;
        Some(can_borrow.then_some(quota.pool))
    }

    fn take_received(&self, organisation: &FleetOrganisation) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let quota = state.quotas.get_mut(&organisation.name);
        quota.is_some_and(|quota| quota.share.take_uncounted(now))
    }

    fn end_wait(&self, organisation: &FleetOrganisation, has_timed_out: bool) {
        let now = self.clock.now();
        if let Some(quota) = self.lock().quotas.get_mut(&organisation.name) {
            quota.waiting = quota.waiting.saturating_sub(1);
            if has_timed_out {
                quota.backoff_until = now + EMPTY_POOL_BACKOFF;
            }
        }
    }

    fn request_tokens(&self, shared: &SidecarShared, pool: u64, organisation: &FleetOrganisation) {
        let now = self.clock.now();
        let shortage = {
            let mut state = self.lock();
            let Some(quota) = state.quotas.get_mut(&organisation.name) else {
                return;
            };
            // Each waiting request needs its own token.
            let others = f64::from(quota.waiting);
            quota.waiting += 1;
            quota.share.shortage(now).map(|tokens| tokens + others)
        };
        if let (Some(tokens), Some(link)) = (shortage, shared.peers.linked(pool)) {
            let organisation = organisation.name.clone();
            link.send(PeerMessage::RequestTokens(vec![TokenAmount { organisation, tokens }]));
        }
    }

    /// Updates the shares and returns the surplus and the token requests for each pool.
    fn exchange(
        &self,
        config: &FleetConfig,
        hosts: &[PoolHost],
        directory: &TopicView,
    ) -> HashMap<u64, (Vec<TokenAmount>, Vec<TokenAmount>)> {
        let now = self.clock.now();
        let mut transfers: HashMap<u64, (Vec<TokenAmount>, Vec<TokenAmount>)> = HashMap::new();
        let mut state = self.lock();
        let has_fresh_view = directory.is_fresh(now, VIEW_AGE_MAX);
        let Some(was_listed) = state.was_listed else {
            return transfers;
        };
        state.set_hosts(now, hosts.len().min(HOSTS_PER_ORGANISATION));
        let divisor = state.divisor(now);
        for (name, quota) in &mut state.quotas {
            let Some(terms) = config.organisation(name).and_then(|found| found.rate) else {
                continue;
            };
            let hosts = organisation_hosts(name, hosts);
            let pool = hosts.iter().find(|host| host.is_reachable);
            quota.pool = pool.map_or(self.own_key, |host| host.key);
            let is_pool = quota.pool == self.own_key;
            let is_host = hosts.iter().any(|host| host.key == self.own_key);
            let starts = was_listed && !quota.has_exchanged && is_host;
            quota.update_host(now, is_host, was_listed);
            let spread = terms.spread_over(self.window);
            let can_refill = has_fresh_view && quota.can_refill(now);
            quota.share.set_terms(now, spread, divisor, can_refill, is_pool);
            if starts {
                let is_first = hosts.first().is_some_and(|host| host.key == self.own_key);
                let granted = if is_first { terms.start_grant(self.window) } else { 0.0 };
                quota.share.start(granted, rand::random::<f64>());
            }
            if let Some(tokens) = quota.share.take_surplus(now) {
                let amount = TokenAmount { organisation: name.clone(), tokens };
                transfers.entry(quota.pool).or_default().0.push(amount);
            } else if let Some(tokens) = quota.share.expected_shortage(now) {
                let amount = TokenAmount { organisation: name.clone(), tokens };
                transfers.entry(quota.pool).or_default().1.push(amount);
            }
        }
        transfers
    }

    fn lock(&self) -> MutexGuard<'_, QuotaState> {
        self.state.lock().expect("lock not poisoned")
    }
}

/// Exchanges tokens with the pools until the task is aborted.
pub(crate) async fn exchange_tokens(shared: Arc<SidecarShared>) {
    let mut ticks = interval(EXCHANGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changes = shared.store_view.subscribe();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            // A starting daemon grants tokens as soon as it knows the rates and the hosts.
            _ = changes.changed() => {}
        }
        let Some(config) = shared.config() else {
            continue;
        };
        let hosts = shared.peers.pool_hosts();
        for (pool, (surplus, requests)) in
            shared.quota.exchange(&config, &hosts, &shared.store_view.directory)
        {
            let Some(link) = shared.peers.linked(pool) else {
                // The link to the pool ended meanwhile: the surplus is lost.
                continue;
            };
            if !surplus.is_empty() {
                link.send(PeerMessage::Tokens(surplus));
            }
            if !requests.is_empty() {
                link.send(PeerMessage::RequestTokens(requests));
            }
        }
    }
}
