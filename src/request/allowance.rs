//! The retry allowance of a request at one daemon.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

/// Retries left for a request's subtree, shared by its sub-calls at this daemon.
///
/// Retries left, lent, spent and lost always sum to the allowance: a loan moves retries to a call,
/// its repayment returns what the call did not spend, and a loan that is dropped is lost.
#[derive(Debug)]
pub struct RequestAllowance {
    state: Mutex<AllowanceState>,
    changed: Notify,
}

#[derive(Debug)]
struct AllowanceState {
    left: u8,
    loans: u32,
}

/// Retries lent to one call; they are lost if it is dropped without [`RetryLoan::repay`].
#[derive(Debug)]
pub struct RetryLoan {
    allowance: Arc<RequestAllowance>,
    amount: u8,
}

impl RequestAllowance {
    /// An allowance of `allowance` retries.
    pub fn new(allowance: u8) -> Self {
        let state = AllowanceState { left: allowance, loans: 0 };
        RequestAllowance { state: Mutex::new(state), changed: Notify::new() }
    }

    /// Spends one retry if one is left.
    pub fn spend(&self) -> bool {
        let mut state = self.lock();
        let spent = state.left > 0;
        state.left -= u8::from(spent);
        spent
    }

    /// Spends one retry, waiting up to `limit` for running calls to repay one.
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

    /// Lends all retries but one, so that a lost answer can still be retried here; a single
    /// retry is lent.
    ///
    /// ```
    /// use lentilway::request::allowance::RequestAllowance;
    /// use std::sync::Arc;
    /// let allowance = Arc::new(RequestAllowance::new(3));
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

    /// Retries left now, excluding those lent.
    pub fn left(&self) -> u8 {
        self.lock().left
    }

    /// Takes all retries left, to return them with the answer; running calls can no longer spend
    /// them.
    pub fn take_unspent(&self) -> u8 {
        std::mem::take(&mut self.lock().left)
    }

    fn lock(&self) -> MutexGuard<'_, AllowanceState> {
        self.state.lock().expect("lock not poisoned")
    }
}

impl RetryLoan {
    /// The number of retries lent.
    pub fn amount(&self) -> u8 {
        self.amount
    }

    /// Returns what the call did not spend, at most the amount lent.
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
