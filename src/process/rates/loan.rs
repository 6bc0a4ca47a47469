//! Ledger of the tokens that were lent and may still be spent by borrowers.

use std::collections::{HashMap, VecDeque};

use super::message::AskPart;
use super::terms::{GRANT_LIFETIME, GRANT_MARGIN};
use crate::clock::MilliTime;
use crate::process::members::InstanceId;

/// Upper bound of what a borrower holds.
#[derive(Clone, Copy, Debug)]
struct LoanAccount {
    micros: u64,
    sequence: u64,
    expires: MilliTime,
}

#[derive(Clone, Copy, Debug)]
struct LoanExpiry {
    at: MilliTime,
    borrower: InstanceId,
    sequence: u64,
}

/// Effect of a report on the lender's level, in millionths of a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SettledReport {
    /// Returned tokens.
    pub returned: u64,
    /// Tokens that the borrower holds without an account here, from before the lender took the
    /// share over again.
    pub unknown: u64,
}

/// Loans of millionths of a token; the total is never below what borrowers may still spend.
#[derive(Clone, Debug, Default)]
pub struct LoanLedger {
    lent: u64,
    accounts: HashMap<InstanceId, LoanAccount>,
    expiries: VecDeque<LoanExpiry>,
}

impl LoanLedger {
    /// Sum of what borrowers may still spend.
    pub fn lent(&self) -> u64 {
        self.lent
    }

    /// Applies a borrower's report; `None` if a later report was already applied.
    pub fn settle(
        &mut self,
        borrower: InstanceId,
        sequence: u64,
        report: AskPart,
        now: MilliTime,
    ) -> Option<SettledReport> {
        self.expire(now);
        let unknown = LoanAccount { micros: 0, sequence: 0, expires: now + GRANT_LIFETIME };
        let known = self.accounts.get(&borrower).copied().unwrap_or(unknown);
        if known.sequence >= sequence {
            return None;
        }
        if known.micros == 0 && report.held == 0 {
            return Some(SettledReport::default());
        }
        self.lent = self.lent - known.micros + report.held;
        self.insert_account(borrower, LoanAccount { micros: report.held, sequence, ..known });
        // Expired tokens were already refilled here, so they cannot be returned.
        let returned = report.returned.min(known.micros.saturating_sub(report.held));
        Some(SettledReport { returned, unknown: report.held.saturating_sub(known.micros) })
    }

    /// Lends `micros` after the borrower's report `sequence` was settled; the account, including
    /// what the borrower held, then expires at `expires`. `false` if a later report was settled
    /// meanwhile.
    pub fn lend(
        &mut self,
        borrower: InstanceId,
        sequence: u64,
        micros: u64,
        expires: MilliTime,
    ) -> bool {
        let known = self.accounts.get(&borrower);
        if known.is_some_and(|account| account.sequence > sequence) {
            return false;
        }
        let held = known.map_or(0, |account| account.micros);
        self.insert_account(borrower, LoanAccount { micros: held + micros, sequence, expires });
        self.lent += micros;
        true
    }

    fn insert_account(&mut self, borrower: InstanceId, account: LoanAccount) {
        let LoanAccount { sequence, expires, .. } = account;
        self.accounts.insert(borrower, account);
        let at = expires + GRANT_MARGIN;
        self.expiries.push_back(LoanExpiry { at, borrower, sequence });
    }

    /// Removes loans that have certainly expired at their borrowers.
    pub fn expire(&mut self, now: MilliTime) {
        while let Some(expiry) = self.expiries.front().copied().filter(|expiry| expiry.at <= now) {
            self.expiries.pop_front();
            let account = self.accounts.get(&expiry.borrower).copied();
            let is_last = |known: &LoanAccount| {
                known.sequence == expiry.sequence && known.expires + GRANT_MARGIN <= expiry.at
            };
            if let Some(account) = account.filter(is_last) {
                self.lent -= account.micros;
                self.accounts.remove(&expiry.borrower);
            }
        }
    }
}
