//! Retry budget of a daemon: bounds retries to backend servers by the requests for their service.
//!
//! Handles failing or hanging backend servers under load: retries beyond a small fraction of the
//! demand would add to the load that makes them fail. While most sends to a deep service are
//! refused, far fewer retries are allowed than runs need, and a run that lacks one of them fails as
//! a whole. So retries go to the runs of few roots, the urgent ones first: every daemon prefers the
//! same roots, by the hash of their ids.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::moving_average::RateAverage;
use crate::clock::MilliTime;

/// Fraction of the fleet's bound that is used. Requests are counted in windows of seconds, and a
/// window may have fewer requests than the ones that earned its retries.
const BOUND_FRACTION: f64 = 0.85;
/// Fraction of the fleet's slack that all daemons together may accumulate.
const SLACK_FRACTION: f64 = 0.5;
/// The retries earned in this time may also be accumulated, so that a few failures in a row cause
/// no shortage.
const BALANCE_SPAN: Duration = Duration::from_secs(1);
/// Window of the rate at which retries are earned.
const EARNING_WINDOW_SECONDS: f64 = 2.0;
/// Smallest bound of a daemon's balance, in retries; with less, a daemon with few requests would
/// have none.
const BALANCE_MIN: f64 = 1.0;
/// Maximum debt from repeated sends that were not claimed, as a multiple of the maximum balance.
const DEBT_FACTOR: f64 = 4.0;

/// Time between adjustments of the fraction of roots whose runs may retry.
const ADJUST_SPAN: Duration = Duration::from_millis(100);
/// The fraction of roots is too large if more than this fraction of the claims found no balance.
const DENIED_FRACTION_MAX: f64 = 0.1;
/// Decrease factor of the fraction of roots when it is too large, and its increment while retries
/// are unused: it falls to a tenth in one second and recovers in two.
const FRACTION_DECREASE: f64 = 0.8;
const FRACTION_INCREASE: f64 = 0.05;
const FRACTION_MIN: f64 = 0.02;
/// Priorities without a claim for this long are not counted.
const PRIORITY_AGE_MAX: Duration = Duration::from_secs(2);

/// Bound on retries over all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryTerms {
    /// Retries for each request for a service.
    pub per_request: f64,
    /// Further retries in a window.
    pub slack: f64,
}

/// The root request whose run needs a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryClaim {
    /// The priority of the root request; 0 is the most urgent.
    pub priority: u8,
    /// A hash of the id of the root request.
    pub root_hash: u64,
}

#[derive(Clone, Debug)]
struct ServiceBalance {
    balance: f64,
    earning: RateAverage,
    /// Fraction of the roots, in order of urgency, whose runs may retry.
    eligible_fraction: f64,
    adjusted: MilliTime,
    granted: u32,
    denied: u32,
    /// Priorities with the time of their last claim, the most urgent first.
    priorities: SmallVec<[(u8, MilliTime); 8]>,
}

/// Retry balances by service.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    terms: RetryTerms,
    members: usize,
    services: HashMap<Arc<str>, ServiceBalance>,
}

impl RetryAllowance {
    /// An allowance for a fleet of one daemon, until [`RetryAllowance::set_members`].
    pub fn new(terms: RetryTerms) -> Self {
        RetryAllowance { terms, members: 1, services: HashMap::new() }
    }

    /// Sets the number of daemons that share the slack.
    pub fn set_members(&mut self, members: usize) {
        self.members = members.max(1);
    }

    /// Adds the retries that a first send to `service` earns.
    pub fn deposit(&mut self, now: MilliTime, service: &Arc<str>) {
        let earned = self.terms.per_request * BOUND_FRACTION;
        let slack_share = self.slack_share();
        let account = self.account(now, service);
        account.earning.add(now, earned);
        let bound = account.balance_max(now, slack_share);
        account.balance = (account.balance + earned).min(bound);
    }

    /// Charges a send to `service` that repeats work without a claim: a call of a run that was
    /// itself a retry.
    pub fn charge(&mut self, now: MilliTime, service: &Arc<str>) {
        let slack_share = self.slack_share();
        let account = self.account(now, service);
        let debt_max = account.balance_max(now, slack_share) * DEBT_FACTOR;
        account.balance = (account.balance - 1.0).max(-debt_max);
    }

    /// Takes one retry if the balance allows it and the claimant's root is among the eligible ones.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::retry_allowance::{RetryAllowance, RetryClaim, RetryTerms};
    /// let now = MilliTime(0);
    /// let claim = RetryClaim { priority: 0, root_hash: 7 };
    /// let mut allowance = RetryAllowance::new(RetryTerms { per_request: 0.2, slack: 10.0 });
    /// assert!(!allowance.spend(now, "stock", claim));
    /// allowance.deposit(now, &"stock".into());
    /// assert!(allowance.spend(now, "stock", claim));
    /// assert!(!allowance.spend(now, "stock", claim));
    /// ```
    pub fn spend(&mut self, now: MilliTime, service: &str, claim: RetryClaim) -> bool {
        let slack_share = self.slack_share();
        let Some(account) = self.services.get_mut(service) else {
            return false;
        };
        account.record_priority(now, claim.priority);
        account.adjust(now, slack_share);
        if account.position(claim) >= account.eligible_fraction {
            return false;
        }
        if account.balance < 1.0 {
            account.denied += 1;
            return false;
        }
        account.balance -= 1.0;
        account.granted += 1;
        true
    }

    /// The fraction of the roots whose runs may retry at `service`, for logs.
    pub fn eligible_fraction(&self, service: &str) -> f64 {
        self.services.get(service).map_or(1.0, |account| account.eligible_fraction)
    }

    fn slack_share(&self) -> f64 {
        self.terms.slack * SLACK_FRACTION / self.members as f64
    }

    fn account(&mut self, now: MilliTime, service: &Arc<str>) -> &mut ServiceBalance {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceBalance::new(now));
        }
        self.services.get_mut(service).expect("the account was inserted above")
    }
}

impl ServiceBalance {
    fn new(now: MilliTime) -> Self {
        ServiceBalance {
            balance: BALANCE_MIN,
            earning: RateAverage::new(EARNING_WINDOW_SECONDS, now),
            eligible_fraction: 1.0,
            adjusted: now,
            granted: 0,
            denied: 0,
            priorities: SmallVec::new(),
        }
    }

    fn balance_max(&mut self, now: MilliTime, slack_share: f64) -> f64 {
        let span = self.earning.per_second(now) * BALANCE_SPAN.as_secs_f64();
        span.max(slack_share).max(BALANCE_MIN)
    }

    fn record_priority(&mut self, now: MilliTime, priority: u8) {
        match self.priorities.binary_search_by_key(&priority, |(known, _)| *known) {
            Ok(index) => self.priorities[index].1 = now,
            Err(index) => self.priorities.insert(index, (priority, now)),
        }
    }

    /// Position of the claimant's root among all roots, from 0 for the first to 1.
    fn position(&self, claim: RetryClaim) -> f64 {
        let more_urgent = self.priorities.partition_point(|(known, _)| *known < claim.priority);
        let within = claim.root_hash as f64 / u64::MAX as f64;
        (more_urgent as f64 + within) / self.priorities.len().max(1) as f64
    }

    fn adjust(&mut self, now: MilliTime, slack_share: f64) {
        if now.since(self.adjusted) < ADJUST_SPAN {
            return;
        }
        self.adjusted = now;
        self.priorities.retain(|(_, claimed)| now.since(*claimed) < PRIORITY_AGE_MAX);
        let claims = f64::from(self.denied + self.granted);
        if f64::from(self.denied) > claims * DENIED_FRACTION_MAX {
            self.eligible_fraction = (self.eligible_fraction * FRACTION_DECREASE).max(FRACTION_MIN);
        } else if self.balance > 0.5 * self.balance_max(now, slack_share) {
            self.eligible_fraction = (self.eligible_fraction + FRACTION_INCREASE).min(1.0);
        }
        self.denied = 0;
        self.granted = 0;
    }
}
