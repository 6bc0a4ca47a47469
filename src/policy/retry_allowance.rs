//! Retry budget of one instance: bounds the sends to its backend server that repeat earlier ones by
//! the requests for it.
//!
//! Handles failing or refusing backend servers under load: retries beyond a small fraction of the
//! demand would add to the load that makes them fail. The budget is kept where the sends arrive.
//! Hundreds of senders with a small budget each could use only a part of it, while others lack it.
//!
//! While most sends to a deep service are refused, far fewer retries are allowed than runs need, and
//! a run that lacks one of them fails as a whole. So retries go to the runs of few roots: to those
//! that the entries admitted for the retries that are left, and before entries know of the shortage,
//! to the urgent ones. Every instance prefers the same roots, by the hash of their ids.

use std::time::Duration;

use smallvec::SmallVec;

use super::moving_average::{FailureFraction, WindowCount};
use crate::clock::MilliTime;

/// Fraction of the fleet's bound that is used: instances count in windows of their own.
const BOUND_FRACTION: f64 = 0.85;
/// Fraction of the fleet's slack that all instances together use in a window.
const SLACK_FRACTION: f64 = 0.5;
/// The retries of this time may be accumulated, so that a few failures in a row cause no shortage.
const BALANCE_SPAN: Duration = Duration::from_secs(1);
/// Windows that contain a moment and are checked: the one that ends then and later ones.
const WINDOW_PHASES: usize = 20;
/// Shortest time over which the requests are averaged after a start.
const COUNTED_SPAN_MIN: Duration = Duration::from_millis(200);
/// Smallest bound of the balance, in retries.
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
/// Fraction of the largest balance that only the most urgent roots may use.
const URGENT_RESERVE: f64 = 0.4;
/// Window of the denied claims of entitled roots.
const DENIED_WINDOW_SECONDS: f64 = 1.0;
/// Priorities without a claim for this long are not counted.
const PRIORITY_AGE_MAX: Duration = Duration::from_secs(2);

/// Bound on retries over all instances of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryTerms {
    /// Retries for each request of the same window, of the window before it or of the one that ends
    /// in its middle, whichever has most.
    pub per_request: f64,
    /// Further retries in a window.
    pub slack: f64,
    /// The window in which requests and retries are counted.
    pub window: Duration,
}

/// The root request whose run needs a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryClaim {
    /// The priority of the root request; 0 is the most urgent.
    pub priority: u8,
    /// A hash of the id of the root request.
    pub root_hash: u64,
    /// Whether the entry admitted the root for the retries that are left.
    pub is_entitled: bool,
}

/// Retry balance of one instance.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    terms: RetryTerms,
    /// Instances of the service, which share the slack.
    instances: usize,
    requests: WindowCount,
    /// Sends that repeated earlier ones.
    retries: WindowCount,
    /// Retries that each window which contains this moment may have so far.
    window_bounds: [f64; WINDOW_PHASES],
    /// The first counted request.
    first_request: Option<MilliTime>,
    /// Retries earned per second, as of the last adjustment.
    per_second: f64,
    balance: f64,
    refilled: MilliTime,
    /// Fraction of the roots, in order of urgency, whose runs may retry.
    eligible_fraction: f64,
    adjusted: MilliTime,
    granted: u32,
    denied: u32,
    /// Claims of entitled roots that found no balance.
    entitled_denied: FailureFraction,
    /// Priorities with the time of their last claim, the most urgent first.
    priorities: SmallVec<[(u8, MilliTime); 8]>,
}

impl RetryAllowance {
    /// An allowance for the only instance of a service, until [`RetryAllowance::set_instances`].
    pub fn new(now: MilliTime, terms: RetryTerms) -> Self {
        RetryAllowance {
            terms,
            instances: 1,
            requests: WindowCount::new(terms.window),
            retries: WindowCount::new(terms.window),
            window_bounds: [BALANCE_MIN; WINDOW_PHASES],
            first_request: None,
            per_second: 0.0,
            balance: BALANCE_MIN,
            refilled: now,
            eligible_fraction: 1.0,
            adjusted: now,
            granted: 0,
            denied: 0,
            entitled_denied: FailureFraction::with_window(DENIED_WINDOW_SECONDS, now),
            priorities: SmallVec::new(),
        }
    }

    /// Sets the number of instances of the service.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Counts the first send of a request, which earns retries.
    pub fn count_request(&mut self, now: MilliTime) {
        self.refill(now);
        self.first_request.get_or_insert(now);
        self.requests.add(now);
    }

    /// Charges a send that repeats work without a claim: a call of a run that was itself a retry.
    pub fn charge(&mut self, now: MilliTime) {
        self.refill(now);
        self.retries.add(now);
        self.balance = (self.balance - 1.0).max(-DEBT_FACTOR * self.balance_max());
    }

    /// Takes one retry if the balance allows it and the claimant's root is among the eligible ones.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::retry_allowance::{RetryAllowance, RetryClaim, RetryTerms};
    /// let window = Duration::from_secs(10);
    /// let terms = RetryTerms { per_request: 0.2, slack: 0.0, window };
    /// let claim = RetryClaim { priority: 0, root_hash: 7, is_entitled: false };
    /// let mut allowance = RetryAllowance::new(MilliTime(0), terms);
    /// assert!(allowance.spend(MilliTime(0), claim));
    /// assert!(!allowance.spend(MilliTime(0), claim));
    /// (0..600).for_each(|step| allowance.count_request(MilliTime(step)));
    /// assert!(allowance.spend(MilliTime(600), claim));
    /// ```
    pub fn spend(&mut self, now: MilliTime, claim: RetryClaim) -> bool {
        self.refill(now);
        self.record_priority(now, claim.priority);
        let has_balance =
            self.balance >= 1.0 + self.reserve(claim.priority) && self.fits_windows(now);
        if claim.is_entitled {
            self.entitled_denied.add(now, !has_balance);
        } else {
            if self.position(claim) >= self.eligible_fraction {
                return false;
            }
            self.denied += u32::from(!has_balance);
            self.granted += u32::from(has_balance);
        }
        if has_balance {
            self.balance -= 1.0;
            self.retries.add(now);
        }
        has_balance
    }

    /// Thousandths of a retry that are earned per second.
    pub fn earned_permille(&self) -> u32 {
        (self.per_second * 1_000.0) as u32
    }

    /// Thousandths of the recent claims of entitled roots that found no balance.
    pub fn denied_permille(&mut self, now: MilliTime) -> u16 {
        self.entitled_denied.permille(now)
    }

    /// Returns a retry that was not sent.
    pub fn refund(&mut self) {
        self.balance = (self.balance + 1.0).min(self.balance_max());
        self.retries.remove_last();
    }

    /// The fraction of the roots whose runs may retry, for logs.
    pub fn eligible_fraction(&self) -> f64 {
        self.eligible_fraction
    }

    fn refill(&mut self, now: MilliTime) {
        if now.since(self.adjusted) >= ADJUST_SPAN {
            self.adjust(now);
        }
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.balance = (self.balance + elapsed * self.per_second).min(self.balance_max());
    }

    fn balance_max(&self) -> f64 {
        (self.per_second * BALANCE_SPAN.as_secs_f64()).max(BALANCE_MIN)
    }

    /// Computes the retries that the requests so far allow.
    fn earn(&mut self, now: MilliTime) {
        let slack = self.terms.slack * SLACK_FRACTION / self.instances as f64;
        let window = self.terms.window;
        for phase in 0..WINDOW_PHASES {
            let earned = self.earned_in(now, self.window_start(now, phase));
            self.window_bounds[phase] = (earned + slack).max(BALANCE_MIN);
        }
        let earned = self.earned_in(now, now.before(window));
        let counted = now.since(self.first_request.unwrap_or(now)).max(COUNTED_SPAN_MIN);
        let counted = counted.min(window).as_secs_f64();
        let seconds = window.as_secs_f64();
        self.per_second = if seconds > 0.0 { earned / counted + slack / seconds } else { 0.0 };
    }

    /// The start of a window that contains `now`: of the one that ends now for the first phase, of
    /// later ones for the others.
    fn window_start(&self, now: MilliTime, phase: usize) -> MilliTime {
        now.before(self.terms.window * (WINDOW_PHASES - phase) as u32 / WINDOW_PHASES as u32)
    }

    /// Retries that a window which starts at `from` has earned by `now`: its requests, those of the
    /// window before it and those of the window that starts half a window earlier are known so far.
    fn earned_in(&self, now: MilliTime, from: MilliTime) -> f64 {
        let window = self.terms.window;
        let starts = [from, from.before(window / 2), from.before(window)];
        let counts = starts.map(|start| self.requests.between(start, now.min(start + window)));
        let requests = f64::from(counts.into_iter().max().unwrap_or(0));
        requests * self.terms.per_request * BOUND_FRACTION
    }

    /// Whether one more retry is within the bound of every window that contains `now`.
    fn fits_windows(&self, now: MilliTime) -> bool {
        (0..WINDOW_PHASES).all(|phase| {
            let spent = self.retries.between(self.window_start(now, phase), now);
            f64::from(spent) < self.window_bounds[phase]
        })
    }

    fn record_priority(&mut self, now: MilliTime, priority: u8) {
        match self.priorities.binary_search_by_key(&priority, |(known, _)| *known) {
            Ok(index) => self.priorities[index].1 = now,
            Err(index) => self.priorities.insert(index, (priority, now)),
        }
    }

    /// The part of the balance that is kept for more urgent roots.
    fn reserve(&self, priority: u8) -> f64 {
        let has_more_urgent = self.priorities.first().is_some_and(|(first, _)| *first < priority);
        if has_more_urgent { URGENT_RESERVE * self.balance_max() } else { 0.0 }
    }

    /// Position of the claimant's root among all roots, from 0 for the first to 1.
    fn position(&self, claim: RetryClaim) -> f64 {
        let more_urgent = self.priorities.partition_point(|(known, _)| *known < claim.priority);
        let within = hash_fraction(claim.root_hash);
        (more_urgent as f64 + within) / self.priorities.len().max(1) as f64
    }

    fn adjust(&mut self, now: MilliTime) {
        self.adjusted = now;
        self.earn(now);
        self.priorities.retain(|(_, claimed)| now.since(*claimed) < PRIORITY_AGE_MAX);
        let claims = f64::from(self.denied + self.granted);
        if f64::from(self.denied) > claims * DENIED_FRACTION_MAX {
            self.eligible_fraction = (self.eligible_fraction * FRACTION_DECREASE).max(FRACTION_MIN);
        } else if self.balance > 0.5 * self.balance_max() {
            self.eligible_fraction = (self.eligible_fraction + FRACTION_INCREASE).min(1.0);
        }
        self.denied = 0;
        self.granted = 0;
    }
}

/// A hash as a number from 0 to 1, by which all daemons order roots alike.
pub fn hash_fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
