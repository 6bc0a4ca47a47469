//! Token bucket of one organisation in one share, with its loans.

use std::time::Duration;

use super::loan::{LoanLedger, SettledReport};
use super::terms::ShareTerms;
use crate::clock::MilliTime;

const CLOCK_TICK: Duration = Duration::from_millis(1);

/// A token bucket whose level and loans together never exceed the share's burst.
#[derive(Clone, Debug)]
pub struct ShareBucket {
    level: u64,
    remainder: f64,
    refilled_at: MilliTime,
    /// Loans from the bucket.
    pub loans: LoanLedger,
}

impl ShareBucket {
    /// A bucket with `level` millionths of a token that refills from `refill_from` on.
    pub fn new(level: u64, refill_from: MilliTime) -> Self {
        let loans = LoanLedger::default();
        ShareBucket { level, remainder: 0.0, refilled_at: refill_from, loans }
    }

    /// Level in millionths of a token, refilled up to `now`.
    pub fn level(&mut self, terms: &ShareTerms, now: MilliTime) -> u64 {
        self.refill(terms, now);
        self.level
    }

    /// Level in millionths of a token, without a refill.
    pub fn stored(&self) -> u64 {
        self.level
    }

    /// Takes up to `micros` and returns the amount taken.
    pub fn take(&mut self, micros: u64, terms: &ShareTerms, now: MilliTime) -> u64 {
        self.refill(terms, now);
        let taken = micros.min(self.level);
        self.level -= taken;
        taken
    }

    /// Applies the effect of a borrower's report.
    pub fn adjust(&mut self, report: SettledReport) {
        self.level = (self.level + report.returned).saturating_sub(report.unknown);
    }

    fn refill(&mut self, terms: &ShareTerms, now: MilliTime) {
        self.loans.expire(now);
        let cap = terms.burst_micros.saturating_sub(self.loans.lent());
        if now > self.refilled_at {
            let millis = now.since(self.refilled_at).as_millis() as f64;
            let refill = terms.micros_per_milli * millis + self.remainder;
            self.remainder = refill.fract();
            self.level = self.level.saturating_add(refill as u64);
            self.refilled_at = now;
        }
        // The bucket may have become full at the end of a clock tick, so the next tick adds
        // nothing.
        if self.level.saturating_add(terms.micros_per_milli.ceil() as u64) > cap {
            self.level = self.level.min(cap);
            self.remainder = 0.0;
            self.refilled_at = self.refilled_at.max(now + CLOCK_TICK);
        }
    }
}
