//! The retry allowance of a request at one daemon.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

/// Retries left for a request's subtree; shared by all its sub-calls at this daemon.
///
/// What is left, lent and spent always sums to the allowance: a loan moves retries to a call, its
/// repayment brings back what the call did not spend, and a loan that is dropped is lost.
#[derive(Debug)]
pub struct RetryAllowance {
    state: Mutex<AllowanceState>,
    changed: Notify,
}

#[derive(Debug)]
struct AllowanceState {
    left: u8,
    loans: u32,
}

/// Retries handed to one call; dropped without [`RetryLoan::repay`], they are lost.
#[derive(Debug)]
pub struct RetryLoan {
    allowance: Arc<RetryAllowance>,
    amount: u8,
}

impl RetryAllowance {
    /// A ledger with `allowance` retries.
    pub fn new(allowance: u8) -> Self {
        let state = AllowanceState { left: allowance, loans: 0 };
        RetryAllowance { state: Mutex::new(state), changed: Notify::new() }
    }

    /// Spends one retry if there is one.
    pub fn spend(&self) -> bool {
        let mut state = self.lock();
        let spent = state.left > 0;
        state.left -= u8::from(spent);
        spent
    }

    /// Spends one retry; waits up to `limit` for one that calls still running may bring back.
    pub async fn spend_within(&self, limit: Duration) -> bool {
        let spend = async {
            loop {
                let changed = self.changed.notified();
                if self.spend() {
                    return true;
                }
                if self.lock().loans == 0 {
                    return false;
                }
                changed.await;
            }
        };
        timeout(limit, spend).await.unwrap_or(false)
    }

    /// Hands retries to a call: one of one, else all but one, so that a lost answer can still be
    /// retried here.
    ///
    /// ```
    /// use lentilway::request::allowance::RetryAllowance;
    /// use std::sync::Arc;
    /// let allowance = Arc::new(RetryAllowance::new(3));
    /// let loan = allowance.lend();
    /// assert_eq!((loan.amount(), allowance.left()), (2, 1));
    /// loan.repay(2);
    /// assert_eq!(allowance.left(), 3);
    /// ```
    pub fn lend(self: &Arc<Self>) -> RetryLoan {
        let mut state = self.lock();
        let amount = state.left.saturating_sub(1).max(state.left.min(1));
        state.left -= amount;
        state.loans += 1;
        RetryLoan { allowance: self.clone(), amount }
    }

    /// Retries left now, those on loan aside.
    pub fn left(&self) -> u8 {
        self.lock().left
    }

    /// Takes every retry left for the answer; calls still running can spend none of them.
    pub fn take_unspent(&self) -> u8 {
        std::mem::take(&mut self.lock().left)
    }

    fn lock(&self) -> MutexGuard<'_, AllowanceState> {
        self.state.lock().expect("no holder panics")
    }
}

impl RetryLoan {
    /// Retries that the call may spend.
    pub fn amount(&self) -> u8 {
        self.amount
    }

    /// Returns what the call did not spend, at most the loan itself.
    pub fn repay(self, unspent: u8) {
        self.allowance.lock().left += unspent.min(self.amount);
    }
}

impl Drop for RetryLoan {
    fn drop(&mut self) {
        self.allowance.lock().loans -= 1;
        self.allowance.changed.notify_waiters();
    }
}
