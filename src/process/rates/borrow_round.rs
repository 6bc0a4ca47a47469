//! Borrowing rounds: a daemon that is short of tokens asks the holders of shares one after the
//! other.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::limiter::LimiterState;
use super::message::{QuotaAsk, QuotaMessage};
use super::pool::TokenLender;
use super::share::{ShareId, score};
use super::terms::ShareTerms;
use crate::connection::peer_message::PeerMessage;
use crate::process::members::InstanceId;

const ASK_TIMEOUT: Duration = Duration::from_millis(150);
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

pub(crate) type LenderList = SmallVec<[TokenLender; 8]>;

impl LimiterState {
    /// The daemons to ask for tokens of `organisation`, in order: the zone's relay, or the holders
    /// of the shares if this daemon is the relay or the relay does not answer.
    pub(crate) fn lenders(&self, organisation: &Arc<str>) -> LenderList {
        let now = self.clock.now();
        let relay = self.relay(organisation);
        let mut pool = self.pool();
        let account = pool.account(organisation);
        let is_unresponsive = account.is_lender_unresponsive(relay, now);
        let asks_holders = relay == self.instance || is_unresponsive || account.is_relay(now);
        drop(pool);
        if asks_holders {
            let mut holders = self.holders(organisation);
            let mut pool = self.pool();
            let account = pool.account(organisation);
            holders.sort_by_key(|holder| account.asked_at(holder.instance));
            return holders;
        }
        LenderList::from_slice(&[TokenLender { instance: relay, relay: true }])
    }

    /// The zone's relay for an organisation, by rendezvous hashing over the zone's members.
    fn relay(&self, organisation: &str) -> InstanceId {
        let zone_members = self.zone_members.load();
        let seed = ShareId::group_seed(organisation);
        let members = zone_members.iter().chain([&self.instance]);
        members.max_by_key(|member| score(seed, member)).copied().unwrap_or(self.instance)
    }

    /// The other holders of shares, in an order that spreads borrowers evenly.
    fn holders(&self, organisation: &str) -> LenderList {
        let now = self.clock.now();
        let table = self.table();
        let shares = ShareId::of_organisation(organisation);
        let mut holders: SmallVec<[InstanceId; 8]> =
            shares.filter_map(|share| table.holder(share, now)).collect();
        holders.retain(|holder| *holder != self.instance);
        holders.sort_by_key(|holder| (score(self.instance.boot, holder), *holder));
        holders.dedup();
        holders.into_iter().map(|instance| TokenLender { instance, relay: false }).collect()
    }
}

/// Starts a round for `organisation` unless one is in flight.
pub(crate) fn start_round(state: &Arc<LimiterState>, organisation: &Arc<str>, terms: &ShareTerms) {
    let mut pool = state.pool();
    let account = pool.account(organisation);
    if std::mem::replace(&mut account.asking, true) {
        return;
    }
    drop(pool);
    let (state, organisation, terms) = (state.clone(), organisation.clone(), *terms);
    tokio::spawn(async move {
        run_round(&state, &organisation, &terms).await;
        state.pool().account(&organisation).asking = false;
        state.granted.notify_waiters();
    });
}

async fn run_round(state: &Arc<LimiterState>, organisation: &Arc<str>, terms: &ShareTerms) {
    for lender in state.lenders(organisation) {
        let ask = {
            let mut pool = state.pool();
            let now = state.clock.now();
            // Numbers are assigned under the lock, so that they follow the order of the reports.
            pool.prepare_ask(organisation, terms, lender, state.next_sequence(), now)
        };
        let Some(ask) = ask else { continue };
        send_ask(state, lender.instance, ask).await;
        state.granted.notify_waiters();
    }
}

async fn send_ask(state: &Arc<LimiterState>, lender: InstanceId, ask: QuotaAsk) {
    let organisation = ask.organisation.clone();
    let body = PeerMessage::Quota(QuotaMessage::Ask(Box::new(ask)));
    state.metrics.asks_sent.inc();
    let sent_at = state.clock.now();
    let reply = state.links.call(lender.address, body, ASK_TIMEOUT).await;
    let mut pool = state.pool();
    let now = state.clock.now();
    let account = pool.account(&organisation);
    match reply {
        Ok(PeerMessage::Quota(QuotaMessage::Grant(grant))) => {
            account.receive(lender, &grant, sent_at, now);
        }
        _ => account.note_timeout(lender, now),
    }
}

/// Returns unused tokens for as long as the daemon runs.
pub(crate) async fn sweep_accounts(state: Arc<LimiterState>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let unused = take_unused(&state);
        send_reports(&state, unused);
    }
}

/// Reports at once to the lenders what was spent of `organisation`'s tokens: until then it counts
/// against the burst.
pub(crate) fn report_spent(state: &LimiterState, organisation: &Arc<str>) {
    let reports = {
        let mut pool = state.pool();
        let now = state.clock.now();
        pool.take_unused_of(organisation, || state.next_sequence(), now)
    };
    send_reports(state, reports);
}

fn send_reports(state: &LimiterState, reports: Vec<(InstanceId, QuotaAsk)>) {
    for (lender, ask) in reports {
        state.metrics.returns_sent.inc();
        state.links.cast(lender.address, PeerMessage::Quota(QuotaMessage::Ask(Box::new(ask))));
    }
}

fn take_unused(state: &LimiterState) -> Vec<(InstanceId, QuotaAsk)> {
    let mut pool = state.pool();
    let now = state.clock.now();
    pool.remove_idle(now);
    pool.take_unused(|| state.next_sequence(), now)
}
