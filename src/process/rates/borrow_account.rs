//! Tokens that this daemon borrowed for one organisation, and its backoff towards lenders.

use std::time::Duration;

use smallvec::SmallVec;

use super::loan::LoanLedger;
use super::message::{AskPart, GrantPart, GrantParts, QuotaAsk, QuotaGrant};
use super::meter::DemandMeter;
use super::share::ShareId;
use super::terms::{MICROS_PER_TOKEN, ShareTerms};
use crate::clock::MilliTime;
use crate::process::members::InstanceId;

/// Maximum time span of expected requests for which tokens are borrowed ahead.
const AHEAD_MILLIS: f64 = 200.0;
/// The time to borrow ahead is also bounded by the refill time of a burst divided by this.
const AHEAD_BURST_DIVISOR: f64 = 10.0;
/// Time without a grant after which a borrower reports what it spent and returns the rest.
const RETURN_AFTER: Duration = Duration::from_millis(20);
/// Backoff towards a lender that did not answer.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(500);
const RELAY_SPAN: Duration = Duration::from_secs(2);
const KNOWN_HOLDER_SPAN: Duration = Duration::from_secs(5);
const ASKED_SPAN: Duration = Duration::from_secs(10);
const RETRY_MIN: Duration = Duration::from_millis(2);
const RETRY_MAX: Duration = Duration::from_millis(1000);

/// Tokens borrowed from one share, some of which may be re-lent.
#[derive(Clone, Debug)]
struct TokenLot {
    share: ShareId,
    lender: InstanceId,
    level: u64,
    loans: LoanLedger,
    /// Tokens that the lender accounts as held here.
    reported: u64,
    granted_at: MilliTime,
    expires: MilliTime,
}

impl TokenLot {
    /// Whether all tokens were spent without a report, or some have been unused for [`RETURN_AFTER`].
    fn needs_report(&self, now: MilliTime) -> bool {
        let spent = self.level + self.loans.lent() < self.reported;
        let aged = self.granted_at + RETURN_AFTER <= now;
        if self.level == 0 { spent } else { aged }
    }

    fn report(&mut self, returned: u64) -> AskPart {
        self.reported = self.level + self.loans.lent();
        AskPart { share: self.share, held: self.reported, returned }
    }

    fn return_unused(&mut self, now: MilliTime) -> AskPart {
        self.loans.expire(now);
        let is_due = self.needs_report(now);
        let returned = if is_due { std::mem::take(&mut self.level) } else { 0 };
        self.report(returned)
    }
}

/// Report to one lender of all tokens borrowed from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LenderReport {
    /// The lender.
    pub lender: InstanceId,
    /// Tokens held and returned.
    pub parts: SmallVec<[AskPart; 8]>,
}

#[derive(Clone, Copy, Debug)]
struct LenderBackoff {
    lender: InstanceId,
    until: MilliTime,
    is_unresponsive: bool,
}

/// Amounts to ask a lender for, in millionths of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskAmount {
    /// For waiting requests.
    pub need: u64,
    /// For expected requests.
    pub ahead: u64,
}

/// One organisation's borrowed tokens and waiting requests.
#[derive(Clone, Debug, Default)]
pub struct BorrowAccount {
    lots: SmallVec<[TokenLot; 2]>,
    backoffs: SmallVec<[LenderBackoff; 2]>,
    asked: SmallVec<[(InstanceId, MilliTime); 2]>,
    demand: DemandMeter,
    used_at: MilliTime,
    next_retry: MilliTime,
    relaying_until: MilliTime,
    known_holder_until: MilliTime,
    ask_in_flight: Option<InstanceId>,
    /// Requests waiting for a token, here and at borrowers.
    pub waiting: u64,
    /// Whether a round of asks is in flight.
    pub asking: bool,
}

impl BorrowAccount {
    /// Counts the arrival of `requests`.
    pub fn count_arrivals(&mut self, requests: f64, now: MilliTime) {
        self.demand.add(requests, now);
        self.used_at = now;
    }

    /// Records that another daemon uses this one as its relay.
    pub fn mark_relay(&mut self, now: MilliTime) {
        self.relaying_until = now + RELAY_SPAN;
    }

    /// Whether another daemon recently used this one as its relay.
    pub fn is_relay(&self, now: MilliTime) -> bool {
        self.relaying_until > now
    }

    /// Whether a recent grant came from a holder of shares or from a relay with a known holder.
    pub fn has_known_holder(&self, now: MilliTime) -> bool {
        self.known_holder_until > now
    }

    /// Borrowed tokens that may be spent, in millionths of a token.
    pub fn level(&self, now: MilliTime) -> u64 {
        self.lots.iter().filter(|lot| lot.expires > now).map(|lot| lot.level).sum()
    }

    /// Spends up to `micros`, the earliest to expire first, and returns the amount spent.
    pub fn spend(&mut self, micros: u64, now: MilliTime) -> u64 {
        self.lots.retain(|lot| lot.expires > now);
        self.lots.sort_by_key(|lot| lot.expires);
        let mut spent = 0;
        for lot in &mut self.lots {
            let part = lot.level.min(micros - spent);
            lot.level -= part;
            spent += part;
        }
        spent
    }

    /// Amounts to ask the next lender for, if any; `own` is the level of this daemon's shares.
    pub fn amount(&self, own: u64, terms: &ShareTerms, now: MilliTime) -> Option<AskAmount> {
        let available = self.level(now) + own;
        let waiting = self.waiting * MICROS_PER_TOKEN;
        let need = waiting.saturating_sub(available);
        let ahead = self.expected(terms, now).saturating_sub(available.saturating_sub(waiting));
        let ahead = if ahead >= MICROS_PER_TOKEN { ahead } else { 0 };
        (need > 0 || ahead > 0).then_some(AskAmount { need, ahead })
    }

    /// Whether the tokens here cover less than half of the expected requests, so that more must be
    /// borrowed.
    pub fn is_low(&self, own: u64, terms: &ShareTerms, now: MilliTime) -> bool {
        let low = self.expected(terms, now) / 2;
        low >= MICROS_PER_TOKEN && self.level(now) + own < low
    }

    /// The report to `lender` in an ask.
    pub fn report(&mut self, lender: InstanceId, now: MilliTime) -> SmallVec<[AskPart; 8]> {
        self.lots.iter_mut().for_each(|lot| lot.loans.expire(now));
        let lots = self.lots.iter_mut().filter(|lot| lot.lender == lender && lot.expires > now);
        lots.map(|lot| lot.report(0)).collect()
    }

    /// Adds the tokens of a grant; `sent_at` is a time before its ask was sent.
    pub fn receive(
        &mut self,
        lender: InstanceId,
        grant: &QuotaGrant,
        sent_at: MilliTime,
        now: MilliTime,
    ) {
        self.ask_in_flight = None;
        self.lots.retain(|lot| lot.expires > now);
        for part in &grant.parts {
            let expires = sent_at + Duration::from_millis(part.life_ms);
            if expires > now {
                self.add_lot(lender, part, expires, now);
            }
        }
        if grant.holder_known {
            self.known_holder_until = now + KNOWN_HOLDER_SPAN;
        }
        if grant.retry_ms > 0 {
            self.back_off(lender, now + Duration::from_millis(grant.retry_ms), false);
        }
    }

    /// Starts the backoff towards a lender that did not answer.
    pub fn note_timeout(&mut self, lender: InstanceId, now: MilliTime) {
        self.ask_in_flight = None;
        self.back_off(lender, now + UNRESPONSIVE_BACKOFF, true);
    }

    /// When the lender was last asked. Asking in this order draws on all lenders evenly: the refill
    /// of a full bucket is lost.
    pub fn asked_at(&self, lender: InstanceId) -> MilliTime {
        let asked = self.asked.iter().find(|(known, _)| *known == lender);
        asked.map_or(MilliTime(0), |(_, at)| *at)
    }

    /// Records that the lender is asked.
    pub fn record_asked(&mut self, lender: InstanceId, now: MilliTime) {
        self.asked.retain(|(known, at)| *known != lender && now.since(*at) < ASKED_SPAN);
        self.asked.push((lender, now));
        self.ask_in_flight = Some(lender);
    }

    /// Tokens borrowed from one share that may be spent, in millionths of a token.
    pub fn share_level(&self, share: ShareId, now: MilliTime) -> u64 {
        let lots = self.lots.iter().filter(|lot| lot.share == share && lot.expires > now);
        lots.map(|lot| lot.level).sum()
    }

    /// End of the backoff towards the lender, if there is one.
    pub fn backoff_until(&self, lender: InstanceId, now: MilliTime) -> Option<MilliTime> {
        let backoff = self.backoffs.iter().find(|backoff| backoff.lender == lender)?;
        (backoff.until > now).then_some(backoff.until)
    }

    /// Earliest end of a backoff towards a lender.
    pub fn next_backoff_end(&self, now: MilliTime) -> Option<MilliTime> {
        let ends = self.backoffs.iter().map(|backoff| backoff.until);
        ends.filter(|until| *until > now).min()
    }

    /// Whether the lender recently did not answer.
    pub fn is_lender_unresponsive(&self, lender: InstanceId, now: MilliTime) -> bool {
        let mut backoffs = self.backoffs.iter();
        backoffs.any(|backoff| {
            backoff.lender == lender && backoff.is_unresponsive && backoff.until > now
        })
    }

    /// Whether any lender recently did not answer.
    pub fn has_unresponsive_lender(&self, now: MilliTime) -> bool {
        self.backoffs.iter().any(|backoff| backoff.is_unresponsive && backoff.until > now)
    }

    /// Settles the report of `borrower`; `false` if a later one was already settled. Tokens
    /// returned to a share that is now `held` here are counted only in that share.
    pub fn settle(
        &mut self,
        borrower: InstanceId,
        ask: &QuotaAsk,
        held: impl Fn(ShareId) -> bool,
        now: MilliTime,
    ) -> bool {
        let mut current = true;
        for lot in self.lots.iter_mut().filter(|lot| lot.expires > now) {
            match lot.loans.settle(borrower, ask.sequence, ask.part(lot.share), now) {
                Some(report) if !held(lot.share) => {
                    lot.level = (lot.level + report.returned).saturating_sub(report.unknown);
                }
                Some(_) => {}
                None => current = false,
            }
        }
        current
    }

    /// Lends up to `micros` of the borrowed tokens to `borrower`, except from shares that are now
    /// `held` here: loans are accounted by share.
    pub fn lend(
        &mut self,
        borrower: InstanceId,
        ask: &QuotaAsk,
        micros: u64,
        held: impl Fn(ShareId) -> bool,
        now: MilliTime,
    ) -> GrantParts {
        let mut parts = GrantParts::new();
        let mut remaining = micros;
        let lots = self.lots.iter_mut().filter(|lot| lot.expires > now);
        for lot in lots.filter(|lot| !held(lot.share)) {
            let amount = lot.level.min(remaining);
            if amount == 0 && ask.part(lot.share).held == 0 {
                continue;
            }
            if lot.loans.lend(borrower, ask.sequence, amount, lot.expires) {
                lot.level -= amount;
                remaining -= amount;
                let life_ms = lot.expires.since(now).as_millis() as u64;
                parts.push(GrantPart { share: lot.share, micros: amount, life_ms });
            }
        }
        parts
    }

    /// Backoff of a borrower whose ask was not met in full. Borrowers are spaced by the refill time
    /// of a token at `micros_per_milli`, but each may ask again before more than an eighth of
    /// `burst_micros` is refilled.
    pub fn retry_after(
        &mut self,
        micros_per_milli: f64,
        burst_micros: u64,
        now: MilliTime,
    ) -> Duration {
        let rate = micros_per_milli.max(f64::MIN_POSITIVE);
        let longest = (burst_micros as f64 / 8.0 / rate).min(RETRY_MAX.as_millis() as f64);
        let spacing = Duration::from_millis((MICROS_PER_TOKEN as f64 / rate).min(longest) as u64);
        let latest = now + Duration::from_millis(longest as u64);
        self.next_retry = (self.next_retry.max(now) + spacing).min(latest);
        self.next_retry.since(now).max(RETRY_MIN)
    }

    /// Removes tokens that were unused for too long. The reports, by lender, return them and state
    /// what was spent, so that it no longer counts against the burst.
    pub fn sweep(&mut self, now: MilliTime) -> SmallVec<[LenderReport; 2]> {
        self.backoffs.retain(|backoff| backoff.until > now);
        self.lots.retain(|lot| lot.expires > now);
        let mut reports: SmallVec<[LenderReport; 2]> = SmallVec::new();
        // A report that overtakes the ask in flight would hide the tokens of its grant.
        let asked = self.ask_in_flight;
        for lot in self.lots.iter().filter(|lot| lot.needs_report(now) && Some(lot.lender) != asked)
        {
            if !reports.iter().any(|report| report.lender == lot.lender) {
                let parts = SmallVec::new();
                reports.push(LenderReport { lender: lot.lender, parts });
            }
        }
        for report in &mut reports {
            let lots = self.lots.iter_mut().filter(|lot| lot.lender == report.lender);
            report.parts = lots.map(|lot| lot.return_unused(now)).collect();
        }
        self.lots.retain(|lot| lot.level + lot.loans.lent() > 0);
        reports
    }

    /// Whether no request arrived for `span` and no tokens are held.
    pub fn is_idle(&self, span: Duration, now: MilliTime) -> bool {
        let is_quiet = self.waiting == 0 && !self.asking && now.since(self.used_at) > span;
        is_quiet && self.lots.is_empty()
    }

    fn expected(&self, terms: &ShareTerms, now: MilliTime) -> u64 {
        let rate = terms.micros_per_milli.max(f64::MIN_POSITIVE);
        let millis = (terms.burst_micros as f64 / rate / AHEAD_BURST_DIVISOR).min(AHEAD_MILLIS);
        (self.demand.per_milli(now) * millis * MICROS_PER_TOKEN as f64) as u64
    }

    fn add_lot(
        &mut self,
        lender: InstanceId,
        part: &GrantPart,
        expires: MilliTime,
        now: MilliTime,
    ) {
        let known = self.lots.iter_mut().find(|lot| lot.share == part.share);
        if let Some(lot) = known {
            // Loans are accounted by share, so a share has one lot. While tokens of another lender
            // are re-lent, they must stay in the reports to it, so the grant is dropped.
            if lot.lender != lender {
                if lot.loans.lent() > 0 {
                    return;
                }
                (lot.lender, lot.level, lot.reported) = (lender, 0, 0);
                lot.loans = LoanLedger::default();
            }
            lot.level += part.micros;
            lot.reported += part.micros;
            (lot.granted_at, lot.expires) = (now, expires);
        } else if part.micros > 0 {
            let (share, level, loans) = (part.share, part.micros, LoanLedger::default());
            let (reported, granted_at) = (level, now);
            let lot = TokenLot { share, lender, level, loans, reported, granted_at, expires };
            self.lots.push(lot);
        }
    }

    fn back_off(&mut self, lender: InstanceId, until: MilliTime, is_unresponsive: bool) {
        self.backoffs.retain(|backoff| backoff.lender != lender);
        self.backoffs.push(LenderBackoff { lender, until, is_unresponsive });
    }
}
