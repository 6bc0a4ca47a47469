//! Retry budget: bounds retries by the number of first attempts.

use std::sync::atomic::{AtomicU64, Ordering};

/// Deposit of each first attempt, in thousandths of a retry.
const RETRY_MILLIS_PER_CALL: u64 = 100;
/// Maximum balance of unspent deposits, in thousandths of a retry.
const BALANCE_MILLIS_MAX: u64 = 20_000;
const RETRY_MILLIS: u64 = 1000;

/// Balance of retries: first attempts add to it, retries take from it.
#[derive(Debug)]
pub struct RetryBudget {
    millis: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { millis: AtomicU64::new(BALANCE_MILLIS_MAX) }
    }
}

impl RetryBudget {
    /// Adds the deposit of a first attempt.
    pub fn add_call(&self) {
        let add = |millis: u64| {
            let filled = (millis + RETRY_MILLIS_PER_CALL).min(BALANCE_MILLIS_MAX);
            (filled != millis).then_some(filled)
        };
        // A full budget is left unchanged.
        let _ = self.millis.fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Takes one retry if the ratio of retries to first attempts allows it.
    ///
    /// ```
    /// use lentilway::process::routing::RetryBudget;
    /// let budget = RetryBudget::default();
    /// while budget.spend() {}
    /// (0..9).for_each(|_| budget.add_call());
    /// assert!(!budget.spend());
    /// budget.add_call();
    /// assert!(budget.spend());
    /// ```
    pub fn spend(&self) -> bool {
        let spend = |millis: u64| millis.checked_sub(RETRY_MILLIS);
        self.millis.fetch_update(Ordering::AcqRel, Ordering::Acquire, spend).is_ok()
    }
}
