//! All tokens of a daemon: those of its held shares and those that it borrowed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::borrow_account::{AskAmount, BorrowAccount, LenderReport};
use super::held_shares::HeldShares;
use super::message::{QuotaAsk, QuotaGrant};
use super::terms::{MICROS_PER_TOKEN, ShareTerms};
use crate::clock::MilliTime;
use crate::process::members::InstanceId;

const ACCOUNT_IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Backoff towards a daemon that does not yet, or no longer, hold a share.
const NO_SHARE_BACKOFF: Duration = Duration::from_millis(10);
/// Backoff towards a relay that is short of tokens while none of its own lenders is in backoff.
const RELAY_BACKOFF: Duration = Duration::from_millis(5);
/// Divisor of the remaining level that a borrower may get for requests that have not arrived.
const AHEAD_DIVISOR: u64 = 8;

/// A daemon to ask for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenLender {
    /// The daemon.
    pub instance: InstanceId,
    /// Whether it is asked as the zone's relay.
    pub relay: bool,
}

/// The tokens that a daemon refills, lends and borrows; the rate limiter keeps them under one lock.
#[derive(Debug, Default)]
pub struct TokenPool {
    /// The shares held here.
    pub held: HeldShares,
    /// Borrowed tokens by organisation.
    pub accounts: HashMap<Arc<str>, BorrowAccount>,
}

impl TokenPool {
    /// The account of an organisation.
    pub fn account(&mut self, name: &Arc<str>) -> &mut BorrowAccount {
        self.accounts.entry(name.clone()).or_default()
    }

    /// Held and borrowed tokens, in millionths of a token.
    pub fn level(&mut self, name: &Arc<str>, terms: &ShareTerms, now: MilliTime) -> u64 {
        self.held.level(name, terms, now).0 + self.account(name).level(now)
    }

    /// Whether a holder of shares is known: this daemon or another that answered recently.
    pub fn has_known_holder(&mut self, name: &Arc<str>, now: MilliTime) -> bool {
        self.held.holds_any(name, now) || self.account(name).has_known_holder(now)
    }

    /// Takes a token if there is a whole one here.
    pub fn take(&mut self, name: &Arc<str>, terms: &ShareTerms, now: MilliTime) -> bool {
        if self.level(name, terms, now) < MICROS_PER_TOKEN {
            return false;
        }
        let spent = self.account(name).spend(MICROS_PER_TOKEN, now);
        self.held.take(name, MICROS_PER_TOKEN - spent, terms, now);
        true
    }

    /// Settles the report of `borrower`; `false` if a later one was already settled.
    pub fn settle(&mut self, borrower: InstanceId, ask: &QuotaAsk, now: MilliTime) -> bool {
        let is_current = self.held.settle(borrower, ask, now);
        let TokenPool { held, accounts } = self;
        let account = accounts.entry(ask.organisation.clone()).or_default();
        is_current & account.settle(borrower, ask, |share| held.holds(share), now)
    }

    /// Lends from the held shares and, as a relay, from borrowed tokens.
    pub fn lend(
        &mut self,
        borrower: InstanceId,
        ask: &QuotaAsk,
        terms: &ShareTerms,
        now: MilliTime,
    ) -> QuotaGrant {
        let name = &ask.organisation;
        let (own, shares) = self.held.level(name, terms, now);
        let borrowed = if ask.relay { self.account(name).level(now) } else { 0 };
        let burst = terms.burst_micros * u64::from(shares);
        let for_waiting = match own + borrowed {
            available if available >= ask.need => ask.need,
            // Only borrowers that collect from many shares can use a fraction of a token.
            available if !ask.relay && burst < MICROS_PER_TOKEN => available,
            available => available - available % MICROS_PER_TOKEN,
        };
        let ahead = ask.ahead.min((own + borrowed - for_waiting) / AHEAD_DIVISOR);
        let mut parts = self.held.lend(borrower, ask, for_waiting + ahead, terms, now);
        if ask.relay {
            let lent: u64 = parts.iter().map(|part| part.micros).sum();
            let remaining = (for_waiting + ahead).saturating_sub(lent);
            let TokenPool { held, accounts } = self;
            let account = accounts.entry(name.clone()).or_default();
            parts.extend(account.lend(borrower, ask, remaining, |share| held.holds(share), now));
        }
        let unmet = parts.iter().map(|part| part.micros).sum::<u64>() < ask.need;
        let retry = if unmet { self.retry_after(ask, terms, shares, now) } else { Duration::ZERO };
        let holder_known = self.has_known_holder(name, now);
        QuotaGrant { parts, holder_known, retry_ms: retry.as_millis() as u64 }
    }

    fn retry_after(
        &mut self,
        ask: &QuotaAsk,
        terms: &ShareTerms,
        shares: u32,
        now: MilliTime,
    ) -> Duration {
        let account = self.account(&ask.organisation);
        if shares == 0 && !ask.relay {
            return NO_SHARE_BACKOFF;
        }
        if ask.relay {
            let backoff = account.next_backoff_end(now).map(|end| end.since(now));
            return backoff.unwrap_or(RELAY_BACKOFF).max(RELAY_BACKOFF);
        }
        let shares = u64::from(shares);
        let rate = terms.micros_per_milli * shares as f64;
        account.retry_after(rate, terms.burst_micros * shares, now)
    }

    /// An ask for the missing tokens; `None` if none are missing or the lender is in backoff.
    pub fn prepare_ask(
        &mut self,
        organisation: &Arc<str>,
        terms: &ShareTerms,
        lender: TokenLender,
        sequence: u64,
        now: MilliTime,
    ) -> Option<QuotaAsk> {
        let own = self.held.level(organisation, terms, now).0;
        let account = self.account(organisation);
        let AskAmount { need, ahead } = account.amount(own, terms, now)?;
        if account.backoff_until(lender.instance, now).is_some() {
            return None;
        }
        account.record_asked(lender.instance, now);
        let parts = account.report(lender.instance, now);
        let (organisation, relay) = (organisation.clone(), lender.relay);
        Some(QuotaAsk { organisation, sequence, need, ahead, relay, parts })
    }

    /// Asks that return unused tokens, with the lenders; `sequence` gives the number of the next
    /// message.
    pub fn take_unused(
        &mut self,
        mut sequence: impl FnMut() -> u64,
        now: MilliTime,
    ) -> Vec<(InstanceId, QuotaAsk)> {
        let mut unused = Vec::new();
        for (organisation, account) in &mut self.accounts {
            unused.extend(unused_of(organisation, account, &mut sequence, now));
        }
        unused
    }

    /// Like [`TokenPool::take_unused`], for one organisation.
    pub fn take_unused_of(
        &mut self,
        organisation: &Arc<str>,
        mut sequence: impl FnMut() -> u64,
        now: MilliTime,
    ) -> Vec<(InstanceId, QuotaAsk)> {
        let account = self.account(organisation);
        unused_of(organisation, account, &mut sequence, now)
    }

    /// Whether neither the held shares nor any of `lenders` can have enough tokens before
    /// `deadline`.
    pub fn is_unobtainable(
        &mut self,
        organisation: &Arc<str>,
        terms: &ShareTerms,
        lenders: &[TokenLender],
        deadline: MilliTime,
        now: MilliTime,
    ) -> bool {
        let (own, shares) = self.held.level(organisation, terms, now);
        let account = self.account(organisation);
        let is_open =
            |lender| account.backoff_until(lender, now).is_none_or(|until| until < deadline);
        if account.asking || lenders.iter().any(|lender| is_open(lender.instance)) {
            return false;
        }
        let rate = terms.micros_per_milli * f64::from(shares);
        let refill = (rate * deadline.since(now).as_millis() as f64) as u64;
        let available = own + account.level(now) + refill;
        // Without a lender or a share, shares may still be taken over in time.
        available < account.waiting * MICROS_PER_TOKEN && (shares > 0 || !lenders.is_empty())
    }

    /// Removes the accounts of idle organisations.
    pub fn remove_idle(&mut self, now: MilliTime) {
        self.accounts.retain(|_, account| !account.is_idle(ACCOUNT_IDLE_LIMIT, now));
    }
}

fn unused_of(
    organisation: &Arc<str>,
    account: &mut BorrowAccount,
    sequence: &mut impl FnMut() -> u64,
    now: MilliTime,
) -> Vec<(InstanceId, QuotaAsk)> {
    let ask = |report: LenderReport| {
        let (organisation, sequence) = (organisation.clone(), sequence());
        let (need, ahead, relay, parts) = (0, 0, false, report.parts);
        (report.lender, QuotaAsk { organisation, sequence, need, ahead, relay, parts })
    };
    account.sweep(now).into_iter().map(ask).collect()
}
