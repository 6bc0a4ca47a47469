//! Bounds second sends to a backend server by the requests for its service.
//!
//! Answers failing or hanging backend servers under load: retries that exceed a small part of the
//! demand would add to the load that makes them fail. While most sends to a deep service are
//! refused there are far fewer retries than runs that need them, and a run that lacks one of them
//! fails whole. So they go to the runs of few roots, the urgent ones first: every daemon prefers
//! the same roots, by the hash of their ids.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::moving_average::RateAverage;
use crate::clock::MilliTime;

/// The part of the fleet's bound that is used. Requests are counted in windows of seconds, and
/// those of a window may be fewer than those that its retries were saved from.
const BOUND_PART: f64 = 0.85;
/// The part of the fleet's slack that all daemons together may save up.
const SLACK_PART: f64 = 0.5;
/// Retries of this much time may be saved besides: a few failures in a row are no shortage.
const SAVED_SPAN: Duration = Duration::from_secs(1);
/// Window of the rate at which retries are earned, in seconds.
const EARNING_WINDOW_SECONDS: f64 = 2.0;
/// Retries that a daemon may save at least, or one with few requests would have none.
const SAVED_MIN: f64 = 1.0;
/// Repeats that a daemon could not avoid are made up for, up to this many times the saved retries.
const DEBT_FACTOR: f64 = 4.0;

/// Time between adjustments of the share of roots whose runs may retry.
const ADJUST_SPAN: Duration = Duration::from_millis(100);
/// A share in which more than this part of the claims found nothing saved is too large.
const SHORT_PART_MAX: f64 = 0.1;
/// Factor of a share that is too large, and addition to one that leaves retries unused: the share
/// falls to a tenth in a second and is back after two.
const SHARE_DECREASE: f64 = 0.8;
const SHARE_INCREASE: f64 = 0.05;
const SHARE_MIN: f64 = 0.02;
/// Priorities that claimed nothing for this long are not counted.
const PRIORITY_AGE_MAX: Duration = Duration::from_secs(2);

/// The bound on second sends over all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryTerms {
    /// Second sends for each request for a service.
    pub per_request: f64,
    /// Second sends in a window beside those.
    pub slack: f64,
}

/// Whose run needs a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryClaim {
    /// The priority of the root request; 0 is the most urgent.
    pub priority: u8,
    /// A hash of the id of the root request.
    pub root_hash: u64,
}

#[derive(Clone, Debug)]
struct ServiceRetries {
    saved: f64,
    earning: RateAverage,
    /// The part of the roots, in order of urgency, whose runs may retry.
    share: f64,
    adjusted: MilliTime,
    granted: u32,
    short: u32,
    /// Priorities with the time of their last claim, the most urgent first.
    priorities: SmallVec<[(u8, MilliTime); 8]>,
}

/// Saved retries by service.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    terms: RetryTerms,
    members: usize,
    services: HashMap<Arc<str>, ServiceRetries>,
}

impl RetryAllowance {
    /// An allowance of one daemon, which is the only one until [`RetryAllowance::set_members`].
    pub fn new(terms: RetryTerms) -> Self {
        RetryAllowance { terms, members: 1, services: HashMap::new() }
    }

    /// Sets the number of daemons that share the slack.
    pub fn set_members(&mut self, members: usize) {
        self.members = members.max(1);
    }

    /// Counts a first send to `service`.
    pub fn deposit(&mut self, now: MilliTime, service: &Arc<str>) {
        let earned = self.terms.per_request * BOUND_PART;
        let equal_part = self.equal_part();
        let account = self.account(now, service);
        account.earning.add(now, earned);
        let bound = account.saved_max(now, equal_part);
        account.saved = (account.saved + earned).min(bound);
    }

    /// Counts a send to `service` that repeats work without having been claimed: a call of a run
    /// that was itself a second send.
    pub fn charge(&mut self, now: MilliTime, service: &Arc<str>) {
        let equal_part = self.equal_part();
        let account = self.account(now, service);
        let debt_max = account.saved_max(now, equal_part) * DEBT_FACTOR;
        account.saved = (account.saved - 1.0).max(-debt_max);
    }

    /// Takes one retry if one is saved and the claimant's root is among those that may have it.
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
        let equal_part = self.equal_part();
        let Some(account) = self.services.get_mut(service) else {
            return false;
        };
        account.note_priority(now, claim.priority);
        account.adjust(now, equal_part);
        if account.position(claim) >= account.share {
            return false;
        }
        if account.saved < 1.0 {
            account.short += 1;
            return false;
        }
        account.saved -= 1.0;
        account.granted += 1;
        true
    }

    /// The part of the roots whose runs may retry at `service`, for logs.
    pub fn share(&self, service: &str) -> f64 {
        self.services.get(service).map_or(1.0, |account| account.share)
    }

    fn equal_part(&self) -> f64 {
        self.terms.slack * SLACK_PART / self.members as f64
    }

    fn account(&mut self, now: MilliTime, service: &Arc<str>) -> &mut ServiceRetries {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceRetries::new(now));
        }
        self.services.get_mut(service).expect("the account was made above")
    }
}

impl ServiceRetries {
    fn new(now: MilliTime) -> Self {
        ServiceRetries {
            saved: SAVED_MIN,
            earning: RateAverage::new(EARNING_WINDOW_SECONDS, now),
            share: 1.0,
            adjusted: now,
            granted: 0,
            short: 0,
            priorities: SmallVec::new(),
        }
    }

    fn saved_max(&mut self, now: MilliTime, equal_part: f64) -> f64 {
        let span = self.earning.per_second(now) * SAVED_SPAN.as_secs_f64();
        span.max(equal_part).max(SAVED_MIN)
    }

    fn note_priority(&mut self, now: MilliTime, priority: u8) {
        match self.priorities.binary_search_by_key(&priority, |(known, _)| *known) {
            Ok(index) => self.priorities[index].1 = now,
            Err(index) => self.priorities.insert(index, (priority, now)),
        }
    }

    /// Where the claimant's root stands among all roots, from 0 for the first to 1.
    fn position(&self, claim: RetryClaim) -> f64 {
        let more_urgent = self.priorities.partition_point(|(known, _)| *known < claim.priority);
        let within = claim.root_hash as f64 / u64::MAX as f64;
        (more_urgent as f64 + within) / self.priorities.len().max(1) as f64
    }

    fn adjust(&mut self, now: MilliTime, equal_part: f64) {
        if now.since(self.adjusted) < ADJUST_SPAN {
            return;
        }
        self.adjusted = now;
        self.priorities.retain(|(_, claimed)| now.since(*claimed) < PRIORITY_AGE_MAX);
        let claims = f64::from(self.short + self.granted);
        if f64::from(self.short) > claims * SHORT_PART_MAX {
            self.share = (self.share * SHARE_DECREASE).max(SHARE_MIN);
        } else if self.saved > 0.5 * self.saved_max(now, equal_part) {
            self.share = (self.share + SHARE_INCREASE).min(1.0);
        }
        self.short = 0;
        self.granted = 0;
    }
}
