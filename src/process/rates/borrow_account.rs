//! What this daemon has borrowed for one organisation, and what it should ask for.

use std::time::Duration;

use smallvec::SmallVec;

use super::loan::LoanLedger;
use super::message::{AskPart, GrantPart, GrantParts, QuotaAsk, QuotaGrant};
use super::meter::DemandMeter;
use super::share::ShareId;
use super::terms::{MICROS_PER_TOKEN, ShareTerms};
use crate::clock::MilliTime;
use crate::process::members::InstanceId;

/// Expected requests of this span are asked for ahead, where the burst allows.
const AHEAD_MILLIS: f64 = 200.0;
/// The part of the time that mints a burst for which requests are asked for ahead.
const AHEAD_BURST_PARTS: f64 = 10.0;
/// After this long without a grant, a borrower reports what it spent and hands the rest back.
const RETURN_AFTER: Duration = Duration::from_millis(20);
/// A lender that did not answer is left alone this long.
const SILENT_PAUSE: Duration = Duration::from_millis(500);
const RELAY_MEMORY: Duration = Duration::from_secs(2);
const MINTED_MEMORY: Duration = Duration::from_secs(5);
const ASKED_MEMORY: Duration = Duration::from_secs(10);
const RETRY_MIN: Duration = Duration::from_millis(2);
const RETRY_MAX: Duration = Duration::from_millis(1000);

/// Tokens borrowed from one share, parts of which may be lent on.
#[derive(Clone, Debug)]
struct TokenLot {
    share: ShareId,
    lender: InstanceId,
    level: u64,
    loans: LoanLedger,
    /// What the lender takes to be held here.
    reported: u64,
    granted_at: MilliTime,
    expires: MilliTime,
}

impl TokenLot {
    /// Whether all was spent without a report, or something lies unused for a while.
    fn is_unused(&self, now: MilliTime) -> bool {
        let spent = self.level + self.loans.lent() < self.reported;
        let aged = self.granted_at + RETURN_AFTER <= now;
        if self.level == 0 { spent } else { aged }
    }

    fn report(&mut self, returned: u64) -> AskPart {
        self.reported = self.level + self.loans.lent();
        AskPart { share: self.share, held: self.reported, returned }
    }

    fn hand_back(&mut self, now: MilliTime) -> AskPart {
        self.loans.expire(now);
        let unused = self.is_unused(now);
        let returned = if unused { std::mem::take(&mut self.level) } else { 0 };
        self.report(returned)
    }
}

/// What a borrower reports to one lender, of all that it has from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LenderReport {
    /// The lender.
    pub lender: InstanceId,
    /// What the borrower has and hands back.
    pub parts: SmallVec<[AskPart; 8]>,
}

#[derive(Clone, Copy, Debug)]
struct ClosedLender {
    lender: InstanceId,
    until: MilliTime,
    silent: bool,
}

/// What to ask a lender for, in millionths of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskAmount {
    /// For requests that wait.
    pub need: u64,
    /// For requests that are expected.
    pub ahead: u64,
}

/// One organisation's borrowed tokens and waiting requests.
#[derive(Clone, Debug, Default)]
pub struct BorrowAccount {
    lots: SmallVec<[TokenLot; 2]>,
    closed: SmallVec<[ClosedLender; 2]>,
    asked: SmallVec<[(InstanceId, MilliTime); 2]>,
    demand: DemandMeter,
    used_at: MilliTime,
    next_turn: MilliTime,
    relaying_until: MilliTime,
    minted_until: MilliTime,
    asked_now: Option<InstanceId>,
    /// Requests that wait for a token, here and at borrowers.
    pub waiting: u64,
    /// Whether a round of asks is under way.
    pub asking: bool,
}

impl BorrowAccount {
    /// Counts the arrival of `requests`.
    pub fn count_arrivals(&mut self, requests: f64, now: MilliTime) {
        self.demand.count(requests, now);
        self.used_at = now;
    }

    /// Notes that another daemon takes this one for its relay.
    pub fn mark_relay(&mut self, now: MilliTime) {
        self.relaying_until = now + RELAY_MEMORY;
    }

    /// Whether another daemon took this one for its relay lately.
    pub fn is_relay(&self, now: MilliTime) -> bool {
        self.relaying_until > now
    }

    /// Whether a holder of shares answered lately.
    pub fn has_known_holder(&self, now: MilliTime) -> bool {
        self.minted_until > now
    }

    /// Millionths of a token that are borrowed and may be spent.
    pub fn level(&self, now: MilliTime) -> u64 {
        self.lots.iter().filter(|lot| lot.expires > now).map(|lot| lot.level).sum()
    }

    /// Spends up to `micros`, what expires first before the rest, and returns how much it was.
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

    /// What to ask the next lender for, if anything; `own` is what this daemon's shares have.
    pub fn amount(&self, own: u64, terms: &ShareTerms, now: MilliTime) -> Option<AskAmount> {
        let have = self.level(now) + own;
        let waiting = self.waiting * MICROS_PER_TOKEN;
        let need = waiting.saturating_sub(have);
        let ahead = self.expected(terms, now).saturating_sub(have.saturating_sub(waiting));
        let ahead = if ahead >= MICROS_PER_TOKEN { ahead } else { 0 };
        (need > 0 || ahead > 0).then_some(AskAmount { need, ahead })
    }

    /// Whether less than half of what is expected is at hand, so that it is time to ask.
    pub fn is_low(&self, own: u64, terms: &ShareTerms, now: MilliTime) -> bool {
        let low = self.expected(terms, now) / 2;
        low >= MICROS_PER_TOKEN && self.level(now) + own < low
    }

    /// What to report to `lender` in an ask.
    pub fn report(&mut self, lender: InstanceId, now: MilliTime) -> SmallVec<[AskPart; 8]> {
        self.lots.iter_mut().for_each(|lot| lot.loans.expire(now));
        let lots = self.lots.iter_mut().filter(|lot| lot.lender == lender && lot.expires > now);
        lots.map(|lot| lot.report(0)).collect()
    }

    /// Takes a grant in; `sent_at` is from before its ask was sent.
    pub fn receive(
        &mut self,
        lender: InstanceId,
        grant: &QuotaGrant,
        sent_at: MilliTime,
        now: MilliTime,
    ) {
        self.asked_now = None;
        self.lots.retain(|lot| lot.expires > now);
        for part in &grant.parts {
            let expires = sent_at + Duration::from_millis(part.life_ms);
            if expires > now {
                self.add_lot(lender, part, expires, now);
            }
        }
        if grant.holder_known {
            self.minted_until = now + MINTED_MEMORY;
        }
        if grant.retry_ms > 0 {
            self.close(lender, now + Duration::from_millis(grant.retry_ms), false);
        }
    }

    /// Notes that a lender did not answer.
    pub fn note_timeout(&mut self, lender: InstanceId, now: MilliTime) {
        self.asked_now = None;
        self.close(lender, now + SILENT_PAUSE, true);
    }

    /// When the lender was asked last. Asked in this order, all are drawn on alike: a holder
    /// whose share is full mints in vain.
    pub fn asked_at(&self, lender: InstanceId) -> MilliTime {
        let asked = self.asked.iter().find(|(known, _)| *known == lender);
        asked.map_or(MilliTime(0), |(_, at)| *at)
    }

    /// Notes that the lender is asked.
    pub fn note_asked(&mut self, lender: InstanceId, now: MilliTime) {
        self.asked.retain(|(known, at)| *known != lender && now.since(*at) < ASKED_MEMORY);
        self.asked.push((lender, now));
        self.asked_now = Some(lender);
    }

    /// Millionths of a token of one share that may be spent.
    pub fn share_level(&self, share: ShareId, now: MilliTime) -> u64 {
        let lots = self.lots.iter().filter(|lot| lot.share == share && lot.expires > now);
        lots.map(|lot| lot.level).sum()
    }

    /// When the lender may be asked again, if not now.
    pub fn backoff_until(&self, lender: InstanceId, now: MilliTime) -> Option<MilliTime> {
        let closed = self.closed.iter().find(|closed| closed.lender == lender)?;
        (closed.until > now).then_some(closed.until)
    }

    /// When the first of the closed lenders may be asked again.
    pub fn next_backoff_end(&self, now: MilliTime) -> Option<MilliTime> {
        let closed = self.closed.iter().map(|closed| closed.until);
        closed.filter(|until| *until > now).min()
    }

    /// Whether the lender did not answer lately.
    pub fn is_silent(&self, lender: InstanceId, now: MilliTime) -> bool {
        let mut closed = self.closed.iter();
        closed.any(|closed| closed.lender == lender && closed.silent && closed.until > now)
    }

    /// Whether any lender did not answer lately.
    pub fn has_silent_lender(&self, now: MilliTime) -> bool {
        self.closed.iter().any(|closed| closed.silent && closed.until > now)
    }

    /// Settles what `borrower` reports; false if a later report of it came before. What comes
    /// back from a share that is `minted` here meanwhile counts there alone.
    pub fn settle(
        &mut self,
        borrower: InstanceId,
        ask: &QuotaAsk,
        minted: impl Fn(ShareId) -> bool,
        now: MilliTime,
    ) -> bool {
        let mut current = true;
        for lot in self.lots.iter_mut().filter(|lot| lot.expires > now) {
            match lot.loans.settle(borrower, ask.sequence, ask.part(lot.share), now) {
                Some(report) if !minted(lot.share) => {
                    lot.level = (lot.level + report.returned).saturating_sub(report.unknown);
                }
                Some(_) => {}
                None => current = false,
            }
        }
        current
    }

    /// Lends up to `micros` of what was borrowed on to `borrower`, but nothing of a share that is
    /// `minted` here meanwhile: loans are accounted by share.
    pub fn lend(
        &mut self,
        borrower: InstanceId,
        ask: &QuotaAsk,
        micros: u64,
        minted: impl Fn(ShareId) -> bool,
        now: MilliTime,
    ) -> GrantParts {
        let mut parts = GrantParts::new();
        let mut rest = micros;
        let lots = self.lots.iter_mut().filter(|lot| lot.expires > now);
        for lot in lots.filter(|lot| !minted(lot.share)) {
            let amount = lot.level.min(rest);
            if amount == 0 && ask.part(lot.share).held == 0 {
                continue;
            }
            if lot.loans.lend(borrower, ask.sequence, amount, lot.expires) {
                lot.level -= amount;
                rest -= amount;
                let life_ms = lot.expires.since(now).as_millis() as u64;
                parts.push(GrantPart { share: lot.share, micros: amount, life_ms });
            }
        }
        parts
    }

    /// The time after which a borrower that got too little may ask again. Each gets a turn of its
    /// own, the minting time of a token at `micros_per_milli` apart, but soon enough to find no
    /// more than an eighth of `burst_micros` minted meanwhile.
    pub fn retry_after(
        &mut self,
        micros_per_milli: f64,
        burst_micros: u64,
        now: MilliTime,
    ) -> Duration {
        let rate = micros_per_milli.max(f64::MIN_POSITIVE);
        let most = (burst_micros as f64 / 8.0 / rate).min(RETRY_MAX.as_millis() as f64);
        let turn = Duration::from_millis((MICROS_PER_TOKEN as f64 / rate).min(most) as u64);
        let latest = now + Duration::from_millis(most as u64);
        self.next_turn = (self.next_turn.max(now) + turn).min(latest);
        self.next_turn.since(now).max(RETRY_MIN)
    }

    /// Takes out what lay unused too long; the reports, by lender, hand it back and tell what was
    /// spent, so that it no longer counts against the burst.
    pub fn sweep(&mut self, now: MilliTime) -> SmallVec<[LenderReport; 2]> {
        self.closed.retain(|closed| closed.until > now);
        self.lots.retain(|lot| lot.expires > now);
        let mut reports: SmallVec<[LenderReport; 2]> = SmallVec::new();
        // A report that overtook the ask under way would hide what its grant lends.
        let asked = self.asked_now;
        for lot in self.lots.iter().filter(|lot| lot.is_unused(now) && Some(lot.lender) != asked) {
            if !reports.iter().any(|report| report.lender == lot.lender) {
                let parts = SmallVec::new();
                reports.push(LenderReport { lender: lot.lender, parts });
            }
        }
        for report in &mut reports {
            let lots = self.lots.iter_mut().filter(|lot| lot.lender == report.lender);
            report.parts = lots.map(|lot| lot.hand_back(now)).collect();
        }
        self.lots.retain(|lot| lot.level + lot.loans.lent() > 0);
        reports
    }

    /// Whether nothing happened for `span` and nothing is held.
    pub fn is_idle(&self, span: Duration, now: MilliTime) -> bool {
        let quiet = self.waiting == 0 && !self.asking && now.since(self.used_at) > span;
        quiet && self.lots.is_empty()
    }

    fn expected(&self, terms: &ShareTerms, now: MilliTime) -> u64 {
        let rate = terms.micros_per_milli.max(f64::MIN_POSITIVE);
        let millis = (terms.burst_micros as f64 / rate / AHEAD_BURST_PARTS).min(AHEAD_MILLIS);
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
            // Loans are accounted by share, so a share has one lot. While tokens of another
            // lender are lent on, they must stay in the reports to it, and the grant is lost.
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

    fn close(&mut self, lender: InstanceId, until: MilliTime, silent: bool) {
        self.closed.retain(|closed| closed.lender != lender);
        self.closed.push(ClosedLender { lender, until, silent });
    }
}
