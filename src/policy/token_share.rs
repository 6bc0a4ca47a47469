//! Token bucket of one daemon's share of an organisation's rate.
//!
//! Handles an organisation that sends many times its rate through all daemons while daemons are
//! killed, frozen and partitioned. Each of a few daemons, its hosts, refills at an equal fraction of
//! the rate. Tokens that it does not need go to the pool, the first reachable host; a daemon that
//! runs out asks the pool. A sender deducts tokens before it sends them, so tokens are lost with
//! daemons and messages but never duplicated, also when the daemons' views of each other differ.
//! With a refill at each of hundreds of daemons, the parts of tokens that lie at each would be more
//! than a small organisation's burst.
//!
//! Also handles a surge of some tens of seconds in which organisations stay within rate and burst
//! of every enforcement window: the burst of each window is granted evenly over it.
//!
//! Also handles the loss of all daemons at once, after which all callers return together: the first
//! host starts with a part of what the enforcement tolerates beyond rate and burst.

use std::time::Duration;

use super::moving_average::RateAverage;
use crate::clock::MilliTime;

/// Time of local demand for which tokens are kept here instead of being moved to the pool.
const RESERVE_SPAN: Duration = Duration::from_millis(400);
/// The same while tokens are scarce: those that lie at many daemons are missing for more urgent
/// requests at others.
const SCARCE_RESERVE_SPAN: Duration = Duration::from_millis(50);
/// Smallest fraction of the burst that the pool may hold; the daemons may hold the rest.
const POOL_FRACTION: f64 = 0.6;
/// Window of the rate of local demand.
const DEMAND_WINDOW_SECONDS: f64 = 1.0;
/// Refill time that a daemon may hold beyond its share of the burst until the next transfer to the
/// pool.
const TRANSFER_SPAN: Duration = Duration::from_millis(500);
/// Smallest number of tokens that is worth a message.
const SURPLUS_MIN: f64 = 0.25;

/// Rate and burst of an organisation over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateTerms {
    /// Requests per second.
    pub per_second: f64,
    /// Requests in one burst.
    pub burst: f64,
}

/// Fraction of the burst that is granted in each window as additional rate; the rest stays in the
/// bucket for uneven arrivals. `spread_over_surge_refuses_less` compares it with an unspread burst.
const SPREAD_FRACTION: f64 = 0.75;
/// Fraction of the tolerated excess that is added to the bucket; the rest covers tokens in transit
/// and starts.
const STOCK_FRACTION: f64 = 0.2;
/// Fraction of the tolerated excess that is granted in each window as additional rate: daemons lose
/// tokens when they end, and some lie where no request arrives. Without it, an organisation short of
/// its rate got 0.83 to 0.96 of it in `surge_most_urgent_first`.
const REFILL_FRACTION: f64 = 0.3;

/// Fraction of the tolerated excess that is granted after a start. Before another one in the same
/// window, nothing is refilled for some time.
const START_FRACTION: f64 = 0.35;

/// Window over which a platform enforces rates.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateWindow {
    /// Rate and burst hold in every span of this length; zero if they hold in spans of any length.
    pub span: Duration,
    /// Requests beyond rate and burst that a span may admit: daemons cannot share whole tokens
    /// without holding some in reserve.
    pub slack: f64,
    /// Fraction of rate and burst that a span may admit in addition.
    pub overage: f64,
}

impl RateTerms {
    /// Converts a fraction of the burst to rate. The result admits no more in any span of `window`,
    /// and more under sustained demand.
    ///
    /// A bucket of burst `b` and rate `r` admits at most `b + r * w` in a span `w`; moving `x`
    /// from the burst to the rate as `x / w` leaves that sum unchanged.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::policy::token_share::{RateTerms, RateWindow};
    /// let terms = RateTerms { per_second: 10.0, burst: 20.0 };
    /// let window = RateWindow { span: Duration::from_secs(5), slack: 4.0, overage: 0.0 };
    /// let spread = terms.spread_over(window);
    /// assert!((spread.per_second - 13.24).abs() < 1e-9);
    /// assert!((spread.burst - 5.8).abs() < 1e-9);
    /// ```
    pub fn spread_over(self, window: RateWindow) -> RateTerms {
        if window.span.is_zero() {
            return self;
        }
        let moved = self.burst * SPREAD_FRACTION;
        let excess = self.tolerated_excess(window);
        let granted = moved + excess * REFILL_FRACTION;
        let per_second = self.per_second + granted / window.span.as_secs_f64();
        let stock = excess * STOCK_FRACTION;
        RateTerms { per_second, burst: self.burst - moved + stock }
    }

    /// Requests beyond rate and burst that each span of `window` may admit.
    fn tolerated_excess(self, window: RateWindow) -> f64 {
        let whole = self.per_second * window.span.as_secs_f64() + self.burst;
        whole * window.overage + window.slack
    }

    /// Tokens that the first host may hold after a start: what earlier processes admitted in the
    /// same window is unknown, but they kept within the terms of [`RateTerms::spread_over`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::policy::token_share::{RateTerms, RateWindow};
    /// let terms = RateTerms { per_second: 10.0, burst: 20.0 };
    /// let window = RateWindow { span: Duration::from_secs(5), slack: 4.0, overage: 0.2 };
    /// assert_eq!(terms.start_grant(window), 6.3);
    /// ```
    pub fn start_grant(self, window: RateWindow) -> f64 {
        self.tolerated_excess(window) * START_FRACTION
    }
}

/// Tokens of one organisation at one daemon.
#[derive(Clone, Debug)]
pub struct TokenShare {
    terms: RateTerms,
    members: usize,
    is_pool: bool,
    refills: bool,
    is_scarce: bool,
    tokens: f64,
    refilled_at: MilliTime,
    demand: RateAverage,
}

impl TokenShare {
    /// A share without tokens.
    pub fn new(now: MilliTime, terms: RateTerms) -> Self {
        TokenShare {
            terms,
            members: 1,
            is_pool: false,
            refills: false,
            is_scarce: false,
            tokens: 0.0,
            refilled_at: now,
            demand: RateAverage::new(DEMAND_WINDOW_SECONDS, now),
        }
    }

    /// Adds the tokens with which a host starts: `granted`, and by `draw` (0 to 1) the part of a
    /// transfer that the process before it had collected on average. Otherwise the transfers of all
    /// hosts to the pool would begin late.
    pub fn start(&mut self, granted: f64, draw: f64) {
        self.tokens += granted + SURPLUS_MIN * draw;
    }

    /// Sets the terms, the number of daemons that refill, whether this one does, and whether it is
    /// the pool. When the terms are lowered, tokens above the new bound are dropped; otherwise a
    /// borrower keeps its borrowed tokens.
    pub fn set_terms(
        &mut self,
        now: MilliTime,
        terms: RateTerms,
        members: usize,
        refills: bool,
        is_pool: bool,
    ) {
        self.refill(now);
        let is_lowered = terms.per_second < self.terms.per_second || terms.burst < self.terms.burst;
        self.terms = terms;
        self.members = members.max(1);
        self.refills = refills;
        self.is_pool = is_pool;
        if is_lowered {
            self.tokens = self.tokens.min(self.tokens_max());
        }
    }

    /// Sets whether the organisation's demand is above its rate: fewer tokens are kept here then.
    pub fn set_scarce(&mut self, is_scarce: bool) {
        self.is_scarce = is_scarce;
    }

    /// Takes a token for one request; `false` if there is none.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::token_share::{RateTerms, TokenShare};
    /// let terms = RateTerms { per_second: 10.0, burst: 10.0 };
    /// let mut share = TokenShare::new(MilliTime(0), terms);
    /// share.set_terms(MilliTime(0), terms, 2, true, false);
    /// assert!(!share.take(MilliTime(0)));
    /// assert!(share.take(MilliTime(200)));
    /// ```
    pub fn take(&mut self, now: MilliTime) -> bool {
        self.demand.add(now, 1.0);
        self.take_uncounted(now)
    }

    /// Like [`TokenShare::take`], for a request that the demand already counts.
    pub fn take_uncounted(&mut self, now: MilliTime) -> bool {
        self.refill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the token of a request that was refused for another reason, which is no demand.
    pub fn refund(&mut self, now: MilliTime) {
        self.demand.subtract(now, 1.0);
        self.receive(now, 1.0);
    }

    /// Removes the tokens that are not needed here, for a transfer to the pool.
    pub fn take_surplus(&mut self, now: MilliTime) -> Option<f64> {
        self.refill(now);
        if self.is_pool {
            return None;
        }
        let surplus = self.tokens - self.reserve(now);
        if surplus < SURPLUS_MIN {
            return None;
        }
        self.tokens -= surplus;
        Some(surplus)
    }

    /// Tokens to request from the pool, if local demand needs them.
    pub fn shortage(&mut self, now: MilliTime) -> Option<f64> {
        self.refill(now);
        let reserve = self.needed(now);
        let shortage = reserve.max(1.0) - self.tokens;
        (!self.is_pool && shortage > 0.0).then_some(shortage)
    }

    /// Tokens to request from the pool ahead of expected demand, if that is at least a token until
    /// the next exchanges. Tokens for rare requests would lie idle at each daemon.
    pub fn expected_shortage(&mut self, now: MilliTime) -> Option<f64> {
        let has_demand = self.needed(now) >= 1.0;
        has_demand.then(|| self.shortage(now)).flatten().filter(|shortage| *shortage >= SURPLUS_MIN)
    }

    /// Removes `requested` tokens for a borrower, or the whole tokens held here if they are fewer:
    /// a fraction of a token admits no request there.
    pub fn lend(&mut self, now: MilliTime, requested: f64) -> f64 {
        self.refill(now);
        let lent = if self.tokens >= requested { requested } else { self.tokens.floor() }.max(0.0);
        self.tokens -= lent;
        lent
    }

    /// Adds tokens; those above both the bound and the local demand are dropped.
    pub fn receive(&mut self, now: MilliTime, tokens: f64) {
        let needed = self.demand.per_second(now) * RESERVE_SPAN.as_secs_f64() + 1.0;
        let bound = self.tokens_max().max(needed).max(self.tokens);
        self.tokens = (self.tokens + tokens).min(bound);
    }

    /// The terms in force.
    pub fn terms(&self) -> RateTerms {
        self.terms
    }

    /// Tokens held here.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: MilliTime) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        if self.refills {
            let refilled = elapsed * self.terms.per_second / self.members as f64;
            self.receive(now, refilled);
        }
    }

    /// The burst is divided so that all daemons together hold no more than it, apart from refills
    /// since their last transfers to the pool.
    fn tokens_max(&self) -> f64 {
        let members = self.members as f64;
        let untransferred = self.terms.per_second * TRANSFER_SPAN.as_secs_f64() / members;
        let pooled = if self.is_pool { self.terms.burst * self.pool_fraction() } else { 0.0 };
        let equal_share = self.terms.burst * (1.0 - self.pool_fraction()) / members + untransferred;
        (equal_share + pooled).max(1.0)
    }

    /// Tokens that local demand needs until the next exchanges.
    fn needed(&mut self, now: MilliTime) -> f64 {
        let span = if self.is_scarce { SCARCE_RESERVE_SPAN } else { RESERVE_SPAN };
        self.demand.per_second(now) * span.as_secs_f64()
    }

    fn reserve(&mut self, now: MilliTime) -> f64 {
        let needed = self.needed(now);
        let equal_share = self.terms.burst * (1.0 - self.pool_fraction()) / self.members as f64;
        let idle = if self.refills { equal_share.min(1.0) } else { 0.0 };
        needed.max(idle)
    }

    /// Fraction of the burst that the pool may hold: all of it if the daemons' equal shares would
    /// be less than one token each.
    fn pool_fraction(&self) -> f64 {
        let equal_share = self.terms.burst * (1.0 - POOL_FRACTION) / self.members as f64;
        if equal_share < 1.0 { 1.0 } else { POOL_FRACTION }
    }
}
