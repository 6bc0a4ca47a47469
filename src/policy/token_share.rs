//! One daemon's part of an organisation's rate.
//!
//! Answers an organisation that sends many times its rate through all daemons while daemons are
//! killed, frozen and cut off. Every daemon mints an equal part of the rate. Tokens that it does
//! not need go to the pool, the daemon chosen for the organisation by rendezvous hashing; a daemon
//! that runs out asks the pool. A sender deducts tokens before they leave, so tokens are lost with
//! daemons and messages but never made twice, whatever the daemons believe about each other.
//!
//! Answers a surge of some tens of seconds too, in which organisations stay within rate and burst
//! of every window by which rates are judged: the burst of each window is granted evenly over it.

use std::time::Duration;

use super::moving_average::RateAverage;
use crate::clock::MilliTime;

/// Time of own demand for which tokens are kept back from the pool.
const RESERVE_SPAN: Duration = Duration::from_millis(400);
/// Part of the burst that the pool may hold at least; the rest may stand at the daemons.
const POOL_PART: f64 = 0.6;
/// Window of the rate of own demand, in seconds.
const DEMAND_WINDOW_SECONDS: f64 = 1.0;
/// Minting time that a daemon holds beside its part of the burst until the next move to the pool.
const MOVE_SPAN: Duration = Duration::from_millis(500);
/// Amounts below this are not worth a message.
const SURPLUS_MIN: f64 = 0.25;

/// Rate and burst of an organisation over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateTerms {
    /// Requests a second.
    pub per_second: f64,
    /// Requests at once.
    pub burst: f64,
}

/// Part of the burst that is granted anew in each window, as rate. The rest stays a stock for
/// uneven arrivals. `spread_over_surge_refuses_less` compares parts.
const SPREAD_PART: f64 = 0.75;
/// Part of the tolerated excess that the stock uses; the rest is for tokens on their way.
const SLACK_PART: f64 = 0.5;

/// How a platform judges rates.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateWindow {
    /// Rate and burst hold in every span of this length; zero if in spans of any length.
    pub span: Duration,
    /// Requests beyond rate and burst that a span may admit: daemons cannot share whole tokens
    /// without some in hand.
    pub slack: f64,
}

impl RateTerms {
    /// The terms of a bucket that admits no more in any span of `window` than these do, and more
    /// under demand that lasts: a part of the burst becomes rate.
    ///
    /// A bucket of stock `b` and rate `r` admits at most `b + r * w` in a span `w`; moving `x`
    /// from the stock to the rate as `x / w` leaves that sum as it is.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::policy::token_share::{RateTerms, RateWindow};
    /// let terms = RateTerms { per_second: 10.0, burst: 20.0 };
    /// let window = RateWindow { span: Duration::from_secs(5), slack: 4.0 };
    /// assert_eq!(terms.spread_over(window), RateTerms { per_second: 13.0, burst: 7.0 });
    /// ```
    pub fn spread_over(self, window: RateWindow) -> RateTerms {
        if window.span.is_zero() {
            return self;
        }
        let moved = self.burst * SPREAD_PART;
        let per_second = self.per_second + moved / window.span.as_secs_f64();
        RateTerms { per_second, burst: self.burst - moved + window.slack * SLACK_PART }
    }
}

/// Tokens of one organisation at one daemon.
#[derive(Clone, Debug)]
pub struct TokenShare {
    terms: RateTerms,
    members: usize,
    is_pool: bool,
    mints: bool,
    tokens: f64,
    minted: MilliTime,
    demand: RateAverage,
    /// Surplus that is worth the next gift to the pool.
    gift_min: f64,
}

impl TokenShare {
    /// A share without tokens. `draw`, from 0 to 1, keeps daemons from giving to the pool all at
    /// the same moment, when it could not hold what they give.
    pub fn new(now: MilliTime, terms: RateTerms, draw: f64) -> Self {
        TokenShare {
            gift_min: SURPLUS_MIN * draw,
            terms,
            members: 1,
            is_pool: false,
            mints: false,
            tokens: 0.0,
            minted: now,
            demand: RateAverage::new(DEMAND_WINDOW_SECONDS, now),
        }
    }

    /// Sets the terms, the number of daemons that mint, whether this one does, and whether it is
    /// the pool. When the terms are lowered, tokens above the new bound are dropped; otherwise a
    /// borrower keeps what it borrowed.
    pub fn set_terms(
        &mut self,
        now: MilliTime,
        terms: RateTerms,
        members: usize,
        mints: bool,
        is_pool: bool,
    ) {
        self.mint(now);
        let is_lowered = terms.per_second < self.terms.per_second || terms.burst < self.terms.burst;
        self.terms = terms;
        self.members = members.max(1);
        self.mints = mints;
        self.is_pool = is_pool;
        if is_lowered {
            self.tokens = self.tokens.min(self.tokens_max());
        }
    }

    /// Takes a token for one request; `false` if there is none now.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::token_share::{RateTerms, TokenShare};
    /// let terms = RateTerms { per_second: 10.0, burst: 10.0 };
    /// let mut share = TokenShare::new(MilliTime(0), terms, 0.5);
    /// share.set_terms(MilliTime(0), terms, 2, true, false);
    /// assert!(!share.take(MilliTime(0)));
    /// assert!(share.take(MilliTime(200)));
    /// ```
    pub fn take(&mut self, now: MilliTime) -> bool {
        self.demand.add(now, 1.0);
        self.take_uncounted(now)
    }

    /// Like [`TokenShare::take`] for a request that was counted before.
    pub fn take_uncounted(&mut self, now: MilliTime) -> bool {
        self.mint(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Hands back the token of a request that was refused.
    pub fn refund(&mut self, now: MilliTime) {
        self.receive(now, 1.0);
    }

    /// Takes what is not needed here, for the pool.
    pub fn take_surplus(&mut self, now: MilliTime) -> Option<f64> {
        self.mint(now);
        if self.is_pool {
            return None;
        }
        let surplus = self.tokens - self.reserve(now);
        if surplus < self.gift_min {
            return None;
        }
        self.gift_min = SURPLUS_MIN;
        self.tokens -= surplus;
        Some(surplus)
    }

    /// Tokens to ask the pool for, if own demand needs them.
    pub fn shortage(&mut self, now: MilliTime) -> Option<f64> {
        self.mint(now);
        let reserve = self.demand.per_second(now) * RESERVE_SPAN.as_secs_f64();
        let wanted = reserve.max(1.0) - self.tokens;
        (!self.is_pool && wanted > 0.0).then_some(wanted)
    }

    /// Tokens to ask the pool for ahead of expected demand.
    pub fn expected_shortage(&mut self, now: MilliTime) -> Option<f64> {
        let is_asked = self.demand.per_second(now) * RESERVE_SPAN.as_secs_f64() >= SURPLUS_MIN;
        is_asked.then(|| self.shortage(now)).flatten().filter(|wanted| *wanted >= SURPLUS_MIN)
    }

    /// Lends `wanted` tokens, or the whole ones of those in hand if they are fewer: a part of a token
    /// admits nothing elsewhere. They are gone from here.
    pub fn lend(&mut self, now: MilliTime, wanted: f64) -> f64 {
        self.mint(now);
        let lent = if self.tokens >= wanted { wanted } else { self.tokens.floor() }.max(0.0);
        self.tokens -= lent;
        lent
    }

    /// Takes tokens in; those over the bound and over what own demand needs are dropped.
    pub fn receive(&mut self, now: MilliTime, tokens: f64) {
        let needed = self.demand.per_second(now) * RESERVE_SPAN.as_secs_f64() + 1.0;
        let bound = self.tokens_max().max(needed).max(self.tokens);
        self.tokens = (self.tokens + tokens).min(bound);
    }

    /// Tokens in hand.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn mint(&mut self, now: MilliTime) {
        let elapsed = now.since(self.minted).as_secs_f64();
        self.minted = self.minted.max(now);
        if self.mints {
            let minted = elapsed * self.terms.per_second / self.members as f64;
            self.receive(now, minted);
        }
    }

    /// The burst is divided so that all daemons together hold no more than it, besides what was
    /// minted since they last gave to the pool.
    fn tokens_max(&self) -> f64 {
        let members = self.members as f64;
        let on_the_move = self.terms.per_second * MOVE_SPAN.as_secs_f64() / members;
        let pooled = if self.is_pool { self.terms.burst * self.pool_part() } else { 0.0 };
        let equal_part = self.terms.burst * (1.0 - self.pool_part()) / members + on_the_move;
        (equal_part + pooled).max(1.0)
    }

    fn reserve(&mut self, now: MilliTime) -> f64 {
        let needed = self.demand.per_second(now) * RESERVE_SPAN.as_secs_f64();
        let idle = self.terms.burst * (1.0 - self.pool_part()) / self.members as f64;
        needed.max(idle.min(1.0))
    }

    /// The part of the burst that the pool may hold: all of it where the daemons' equal parts would
    /// be less than one token each.
    fn pool_part(&self) -> f64 {
        let equal_part = self.terms.burst * (1.0 - POOL_PART) / self.members as f64;
        if equal_part < 1.0 { 1.0 } else { POOL_PART }
    }
}
