//! Exchanges of tokens and of the demand for them between this daemon and the pools.

use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{MissedTickBehavior, interval};
use xxhash_rust::xxh3::Xxh3;

use super::decision_log::LineCategory;
use super::peer_table::PoolHost;
use super::quota_table::{QuotaTable, VIEW_AGE_MAX};
use super::sidecar_shared::SidecarShared;
use super::store_view::TopicView;
use crate::policy::token_priority::TokenCutoff;
use crate::sidecar::connection::frame::{PeerMessage, TokenAmount, TokenDemand};
use crate::sidecar::version::fleet_config::FleetConfig;

/// Time between exchanges of tokens with the pools.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Hosts of an organisation, which refill its tokens in equal parts.
const HOSTS_PER_ORGANISATION: usize = 16;

/// Messages for one pool.
#[derive(Debug, Default)]
struct PoolMessages {
    surplus: Vec<TokenAmount>,
    requests: Vec<TokenAmount>,
    demand: Vec<TokenDemand>,
}

/// Log line of an organisation whose tokens become scarce, or are no longer.
#[derive(Debug, Serialize)]
struct ScarcityLine {
    organisation: Arc<str>,
    is_scarce: bool,
    is_pool: bool,
    cutoff: Option<TokenCutoff>,
}

/// Result of an exchange.
#[derive(Debug, Default)]
struct TokenExchange {
    messages: HashMap<u64, PoolMessages>,
    changes: Vec<ScarcityLine>,
    scarce: i64,
}

fn rendezvous_weight(organisation: &str, member: u64) -> u64 {
    let mut hasher = Xxh3::with_seed(member);
    hasher.write(organisation.as_bytes());
    hasher.finish()
}

/// The hosts of an organisation, the first one first.
fn organisation_hosts(organisation: &str, hosts: &[PoolHost]) -> Vec<PoolHost> {
    let mut hosts = hosts.to_vec();
    hosts.sort_by_key(|host| std::cmp::Reverse(rendezvous_weight(organisation, host.key)));
    hosts.truncate(HOSTS_PER_ORGANISATION);
    hosts
}

impl QuotaTable {
    /// Updates the shares and returns the messages for each pool.
    fn exchange(
        &self,
        config: &FleetConfig,
        hosts: &[PoolHost],
        directory: &TopicView,
    ) -> TokenExchange {
        let now = self.clock.now();
        let mut exchange = TokenExchange::default();
        let mut state = self.lock();
        let has_fresh_view = directory.is_fresh(now, VIEW_AGE_MAX);
        let Some(was_listed) = state.was_listed else {
            return exchange;
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
            let messages = &mut exchange.messages;
            if let Some(counts) = quota.scarcity.report(now) {
                if is_pool {
                    quota.ledger.observe(now, &counts);
                    let cutoff = quota.pool_cutoff(now, spread);
                    quota.scarcity.set_cutoff(now, cutoff);
                } else {
                    let demand = TokenDemand { organisation: name.clone(), counts };
                    messages.entry(quota.pool).or_default().demand.push(demand);
                }
            }
            let cutoff = quota.scarcity.cutoff(now);
            let is_scarce = cutoff.is_some();
            quota.share.set_scarce(is_scarce);
            exchange.scarce += i64::from(is_scarce);
            if is_scarce != std::mem::replace(&mut quota.was_scarce, is_scarce) {
                let organisation = name.clone();
                exchange.changes.push(ScarcityLine { organisation, is_scarce, is_pool, cutoff });
            }
            if let Some(tokens) = quota.share.take_surplus(now) {
                let amount = TokenAmount { organisation: name.clone(), tokens };
                messages.entry(quota.pool).or_default().surplus.push(amount);
            } else if let Some(tokens) = quota.share.expected_shortage(now) {
                let amount = TokenAmount { organisation: name.clone(), tokens };
                messages.entry(quota.pool).or_default().requests.push(amount);
            }
        }
        exchange
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
        let exchange = shared.quota.exchange(&config, &hosts, &shared.store_view.directory);
        shared.metrics.scarce_organisations.set(exchange.scarce);
        for line in &exchange.changes {
            shared.log.write(LineCategory::Change, "rate-scarcity", line);
        }
        for (pool, messages) in exchange.messages {
            let Some(link) = shared.peers.linked(pool) else {
                // The link to the pool ended meanwhile: the surplus is lost.
                continue;
            };
            if !messages.surplus.is_empty() {
                link.send(PeerMessage::Tokens(messages.surplus));
            }
            if !messages.requests.is_empty() {
                link.send(PeerMessage::RequestTokens(messages.requests));
            }
            if !messages.demand.is_empty() {
                link.send(PeerMessage::TokenDemand(messages.demand));
            }
        }
    }
}
