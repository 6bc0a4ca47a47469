//! Order in which an organisation that is short of its rate gets its tokens.
//!
//! Handles an organisation that sends several times its rate for some seconds through all daemons.
//! Granted in order of arrival, tokens reach the most urgent requests no more often than the least
//! urgent ones. Daemons that run out of tokens report their demand by urgency to the pool. The pool
//! admits the urgencies one after the other as far as the refill reaches and answers with the
//! cutoff: requests that are more urgent get tokens, a fraction of those at the cutoff, and the
//! others are refused without asking for any. The pool's stock corrects the cutoff, so that tokens
//! that urgent requests do not need go to the others.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::moving_average::RateAverage;
use super::request_rank::RequestRank;
use super::token_share::RateTerms;
use crate::clock::MilliTime;

/// Window of the demand that the pool knows: reports come every 0.2 s.
const DEMAND_WINDOW_SECONDS: f64 = 0.4;
/// Time in which the difference between the pool's stock and its target is admitted.
const STOCK_SPAN: Duration = Duration::from_millis(600);
/// Refill time that the pool keeps for the most urgent requests while tokens are scarce.
const STOCK_TARGET: Duration = Duration::from_millis(60);
/// Age after which a cutoff or a shortage no longer counts: several reports are missing.
const SCARCITY_AGE_MAX: Duration = Duration::from_millis(1_000);
/// Arrivals that are older than this are not reported.
const REPORT_SPAN_MAX: Duration = Duration::from_millis(1_000);
/// Urgencies that are counted one by one; less urgent requests count with the last one.
const URGENCIES_MAX: usize = 32;
/// Time within which refused callers are expected to return.
const RETURN_SPAN: Duration = Duration::from_millis(600);

/// Place of a request among those of its organisation; the smallest is the most urgent. Within a
/// priority, callers that return after a refusal come before first attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TokenUrgency(u16);

impl TokenUrgency {
    /// The urgency of a request of this rank; `is_retry` is set for a caller that was refused.
    ///
    /// ```
    /// use lentilway::policy::request_rank::RequestRank;
    /// use lentilway::policy::token_priority::TokenUrgency;
    /// let [urgent, other] = [RequestRank::root(0), RequestRank::root(1)];
    /// assert!(TokenUrgency::of(urgent, true) < TokenUrgency::of(urgent, false));
    /// assert!(TokenUrgency::of(urgent, false) < TokenUrgency::of(other, true));
    /// ```
    pub fn of(rank: RequestRank, is_retry: bool) -> Self {
        TokenUrgency(2 * u16::from(rank.priority) + u16::from(!is_retry))
    }
}

impl std::fmt::Display for TokenUrgency {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let kind = if self.0.is_multiple_of(2) { "returns" } else { "first tries" };
        write!(formatter, "{kind} of priority {}", self.0 / 2)
    }
}

/// Requests of one urgency that arrived at a daemon since its last report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct UrgencyCount {
    /// The urgency.
    pub urgency: TokenUrgency,
    /// The number of tokens that they are expected to keep.
    pub requests: f32,
}

/// Requests by urgency.
pub type UrgencyCounts = SmallVec<[UrgencyCount; 4]>;

/// Which requests of an organisation may take tokens while these are scarce.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenCutoff {
    /// More urgent requests may take tokens, less urgent ones may not.
    pub urgency: TokenUrgency,
    /// The fraction of the requests of this urgency that may.
    pub fraction: f32,
    /// Time until tokens for the refused requests of this urgency are refilled.
    pub wait_millis: u32,
    /// The same for less urgent requests.
    pub later_millis: u32,
}

impl TokenCutoff {
    /// Whether a request may take a token, by `draw` from 0 to 1.
    pub fn admits(&self, urgency: TokenUrgency, draw: f64) -> bool {
        urgency < self.urgency || (urgency == self.urgency && draw < f64::from(self.fraction))
    }

    /// Time until a refused request of this urgency can expect a token.
    pub fn tokens_in(&self, urgency: TokenUrgency) -> Duration {
        let millis = if urgency <= self.urgency { self.wait_millis } else { self.later_millis };
        Duration::from_millis(millis.into())
    }
}

/// What one daemon knows of the scarcity of an organisation's tokens.
#[derive(Clone, Debug)]
pub struct TokenScarcity {
    arrived: UrgencyCounts,
    counted_from: MilliTime,
    cutoff: Option<(MilliTime, TokenCutoff)>,
    short_at: Option<MilliTime>,
}

impl TokenScarcity {
    /// No tokens are scarce.
    pub fn new(now: MilliTime) -> Self {
        let arrived = UrgencyCounts::new();
        TokenScarcity { arrived, counted_from: now, cutoff: None, short_at: None }
    }

    /// Counts an arriving request; whether it may take a token, by `draw` from 0 to 1. `demand` is the
    /// probability (0 to 1) that it keeps the token: what a full service refuses returns it.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::request_rank::RequestRank;
    /// use lentilway::policy::token_priority::{TokenScarcity, TokenUrgency};
    /// let mut scarcity = TokenScarcity::new(MilliTime(0));
    /// let urgency = TokenUrgency::of(RequestRank::root(3), false);
    /// assert!(scarcity.arrive(MilliTime(1), urgency, 1.0, 0.99));
    /// ```
    pub fn arrive(
        &mut self,
        now: MilliTime,
        urgency: TokenUrgency,
        demand: f32,
        draw: f64,
    ) -> bool {
        if now.since(self.counted_from) > REPORT_SPAN_MAX {
            self.arrived.clear();
            self.counted_from = now;
        }
        add_count(&mut self.arrived, UrgencyCount { urgency, requests: demand });
        self.cutoff(now).is_none_or(|cutoff| cutoff.admits(urgency, draw))
    }

    /// Records that a request found no token.
    pub fn record_short(&mut self, now: MilliTime) {
        self.short_at = Some(now);
    }

    /// The arrivals since the last report, if tokens are scarce here.
    pub fn report(&mut self, now: MilliTime) -> Option<UrgencyCounts> {
        let is_recent = |at: MilliTime| now.since(at) <= SCARCITY_AGE_MAX;
        if !self.short_at.is_some_and(is_recent) && self.cutoff(now).is_none() {
            return None;
        }
        self.counted_from = now;
        Some(std::mem::take(&mut self.arrived))
    }

    /// Records the cutoff that the pool states; `None` if tokens are not scarce.
    pub fn set_cutoff(&mut self, now: MilliTime, cutoff: Option<TokenCutoff>) {
        self.cutoff = cutoff.map(|cutoff| (now, cutoff));
    }

    /// The cutoff in force.
    pub fn cutoff(&self, now: MilliTime) -> Option<TokenCutoff> {
        let (at, cutoff) = self.cutoff?;
        (now.since(at) <= SCARCITY_AGE_MAX).then_some(cutoff)
    }
}

fn add_count(counts: &mut UrgencyCounts, count: UrgencyCount) {
    let is_full = counts.len() >= URGENCIES_MAX;
    let known = counts.iter_mut().find(|known| known.urgency == count.urgency);
    match known {
        Some(known) => known.requests += count.requests,
        None if is_full => {
            let last = counts.iter_mut().max_by_key(|known| known.urgency);
            last.into_iter().for_each(|known| known.requests += count.requests);
        }
        None => counts.push(count),
    }
}

/// An organisation's demand by urgency, as the pool knows it.
#[derive(Clone, Debug, Default)]
pub struct DemandLedger {
    flows: Vec<(TokenUrgency, RateAverage)>,
}

impl DemandLedger {
    /// Adds what a daemon reported.
    pub fn observe(&mut self, now: MilliTime, counts: &[UrgencyCount]) {
        for count in counts {
            let known = self.flows.binary_search_by_key(&count.urgency, |(urgency, _)| *urgency);
            let index = match known {
                Ok(index) => index,
                Err(_) if self.flows.len() >= URGENCIES_MAX => URGENCIES_MAX - 1,
                Err(index) => {
                    let flow = RateAverage::new(DEMAND_WINDOW_SECONDS, now);
                    self.flows.insert(index, (count.urgency, flow));
                    index
                }
            };
            // A broken report must not hold back an organisation.
            let requests = f64::from(count.requests);
            if requests.is_finite() && requests > 0.0 {
                self.flows[index].1.add(now, requests);
            }
        }
    }

    /// The cutoff at which the demand takes the refill and the pool's stock above its target;
    /// `None` if they suffice for all of it.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::request_rank::RequestRank;
    /// use lentilway::policy::token_priority::{DemandLedger, TokenUrgency, UrgencyCount};
    /// use lentilway::policy::token_share::RateTerms;
    /// let mut ledger = DemandLedger::default();
    /// let [urgent, other] = [0, 5].map(|rank| TokenUrgency::of(RequestRank::root(rank), false));
    /// let count = |urgency| UrgencyCount { urgency, requests: 4.0 };
    /// ledger.observe(MilliTime(0), &[count(urgent), count(other)]);
    /// let terms = RateTerms { per_second: 15.0, burst: 2.0 };
    /// assert_eq!(ledger.cutoff(MilliTime(0), terms, 0.9).map(|found| found.urgency), Some(other));
    /// let terms = RateTerms { per_second: 21.0, burst: 2.0 };
    /// assert_eq!(ledger.cutoff(MilliTime(0), terms, 2.0), None);
    /// ```
    pub fn cutoff(&mut self, now: MilliTime, terms: RateTerms, stock: f64) -> Option<TokenCutoff> {
        let target = (terms.per_second * STOCK_TARGET.as_secs_f64()).min(terms.burst / 2.0);
        let excess_stock = (stock - target) / STOCK_SPAN.as_secs_f64();
        let capacity = (terms.per_second + excess_stock).max(0.0);
        self.flows.retain_mut(|(_, flow)| flow.per_second(now) >= 0.01);
        let demand: f64 = self.flows.iter_mut().map(|(_, flow)| flow.per_second(now)).sum();
        let mut remaining = capacity;
        for (urgency, flow) in &mut self.flows {
            let wanted = flow.per_second(now);
            if wanted <= remaining {
                remaining -= wanted;
                continue;
            }
            // The refused requests of one return time, at the pace of the refill.
            let refill_millis = |refused: f64| {
                let requests = (refused * RETURN_SPAN.as_secs_f64()).max(1.0);
                (requests / terms.per_second * 1_000.0) as u32
            };
            return Some(TokenCutoff {
                urgency: *urgency,
                fraction: (remaining / wanted) as f32,
                wait_millis: refill_millis(wanted - remaining),
                later_millis: refill_millis(demand - capacity),
            });
        }
        None
    }
}
