//! Pace at which a daemon admits roots before it knows their costs and the demand.
//!
//! Handles a fleet that starts whole under a load above the capacity of a deep service. Its daemons
//! know neither the cost of a root nor the demand, and admit everything, so the service fills with
//! runs that cannot finish in time. Here each daemon begins with a bounded number of roots in
//! flight. The number doubles with each round of good answers and is cut as soon as answers are
//! late, failed or refused; the other roots are refused at once.
//!
//! A route none of whose roots succeeds while others do is counted apart, so that a broken service
//! does not hold back the roots of other services.
//!
//! In calm the first bound is several times what an entry has in flight, and the pace ends with the
//! first seconds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::MilliTime;

/// Roots in flight with which a daemon starts: an entry has 20 to 40 roots a second, which are
/// answered within 50 to 400 ms, so 2 to 16 in flight.
const WINDOW_START: f64 = 24.0;
/// Smallest number of roots in flight.
const WINDOW_MIN: f64 = 4.0;
/// Largest number of roots in flight; beyond it the pace limits nothing.
const WINDOW_MAX: f64 = 4_096.0;
/// Time after which a round of good answers doubles the window: about the time of an answer.
const ROUND_SPAN: Duration = Duration::from_millis(200);
/// Factor on the roots in flight when answers are bad.
const CUT_FACTOR: f64 = 0.5;
/// Growth in a good round after a cut: doubling again would fill the service again.
const GROWTH_AFTER_CUT: f64 = 1.15;
/// Fraction of the target latency above which an answer no longer shows that more roots fit. With
/// 0.5, windows doubled while the service filled: at 2.5 times its capacity, 3,238 instead of 5,084
/// roots were answered in time in `admit_fleet_start_under_overload`.
const PROMPT_FRACTION: f64 = 0.35;
/// Fraction of the answers of a round that may be bad: some fail without any overload.
const BAD_FRACTION: f64 = 0.2;
/// Smallest number of bad answers for a cut.
const BAD_MIN: u32 = 2;
/// The pace ends after this time without a cut.
const CALM_SPAN: Duration = Duration::from_millis(2_000);
/// The pace ends after this time in any case: costs and demand are known by then.
const SPAN_MAX: Duration = Duration::from_millis(6_000);
/// `Retry-After` of the roots that the pace refuses: a round.
pub const PACE_RETRY_AFTER: Duration = ROUND_SPAN;

/// How an admitted root ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacedEnd {
    /// It was answered well within the time in which the answer is of use.
    Good,
    /// It was answered late or refused for lack of capacity.
    Bad,
    /// It failed or was not answered at all. A broken service is no shortage: if no root of the route
    /// succeeds while others do, the route is counted apart.
    Failed,
    /// It ended for another reason, or in time but not well within it.
    Neutral,
}

impl PacedEnd {
    /// The end of a root that was answered after `elapsed`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::policy::start_pace::PacedEnd;
    /// let target = Duration::from_millis(200);
    /// assert_eq!(PacedEnd::answered(target / 4, target), PacedEnd::Good);
    /// assert_eq!(PacedEnd::answered(target, target), PacedEnd::Neutral);
    /// assert_eq!(PacedEnd::answered(target * 2, target), PacedEnd::Bad);
    /// ```
    pub fn answered(elapsed: Duration, target: Duration) -> Self {
        match elapsed {
            elapsed if elapsed > target => PacedEnd::Bad,
            elapsed if elapsed > target.mul_f64(PROMPT_FRACTION) => PacedEnd::Neutral,
            _ => PacedEnd::Good,
        }
    }
}

/// Roots of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RoutePace {
    in_flight: u32,
    has_succeeded: bool,
    /// Whether it has a window of [`WINDOW_MIN`] of its own.
    is_apart: bool,
}

#[derive(Clone, Debug)]
struct PaceState {
    window: f64,
    /// Roots in flight of the routes that are not apart.
    in_flight: u32,
    routes: HashMap<Arc<str>, RoutePace>,
    started: MilliTime,
    round_start: MilliTime,
    cut_at: MilliTime,
    was_cut: bool,
    good: u32,
    bad: u32,
    /// Whether the window was full in this round; otherwise its answers do not show that more fit.
    was_full: bool,
}

/// Admits roots of a daemon that started.
#[derive(Clone, Debug, Default)]
pub struct StartPace {
    /// `None` before the first root.
    state: Option<PaceState>,
    has_ended: bool,
}

impl StartPace {
    /// Admits an arriving root of a route, which is in flight until [`StartPace::end_root`].
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::start_pace::StartPace;
    /// let mut pace = StartPace::default();
    /// let admitted = (0..1_000).filter(|_| pace.admit(MilliTime(5), &"read".into()));
    /// assert_eq!(admitted.count(), 24);
    /// ```
    pub fn admit(&mut self, now: MilliTime, route: &Arc<str>) -> bool {
        if self.has_ended {
            return true;
        }
        let state = self.state.get_or_insert(PaceState {
            window: WINDOW_START,
            in_flight: 0,
            routes: HashMap::new(),
            started: now,
            round_start: now,
            cut_at: now,
            was_cut: false,
            good: 0,
            bad: 0,
            was_full: false,
        });
        let is_calm = now.since(state.cut_at) >= CALM_SPAN;
        if is_calm || now.since(state.started) >= SPAN_MAX {
            self.finish();
            return true;
        }
        state.end_round(now);
        let RoutePace { in_flight, is_apart, .. } = *state.routes.entry(route.clone()).or_default();
        let in_flight = f64::from(in_flight);
        // A route with slow answers may fill the window, but not the equal shares of the others.
        let share = state.window / state.routes.len() as f64;
        let has_room = f64::from(state.in_flight) < state.window || in_flight < share;
        let is_admitted = if is_apart { in_flight < WINDOW_MIN } else { has_room };
        let known = state.routes.entry(route.clone()).or_default();
        known.in_flight += u32::from(is_admitted);
        if !known.is_apart {
            state.in_flight += u32::from(is_admitted);
            state.was_full |= !is_admitted;
        }
        is_admitted
    }

    /// Records the end of a root that was admitted at `admitted`. Those admitted before a cut say
    /// nothing about the window after it. Returns whether this end cut the window.
    pub fn end_root(
        &mut self,
        now: MilliTime,
        route: &Arc<str>,
        admitted: MilliTime,
        end: PacedEnd,
    ) -> bool {
        let Some(state) = &mut self.state else {
            return false;
        };
        let in_flight = f64::from(state.in_flight);
        if state.end_route(route, end) || admitted < state.cut_at {
            return false;
        }
        match end {
            PacedEnd::Good => state.good += 1,
            PacedEnd::Bad | PacedEnd::Failed => state.bad += 1,
            PacedEnd::Neutral => {}
        }
        let is_cut = state.is_bad();
        if is_cut {
            state.window = (in_flight.min(state.window) * CUT_FACTOR).max(WINDOW_MIN);
            (state.cut_at, state.was_cut) = (now, true);
            state.start_round(now);
        }
        is_cut
    }

    /// Ends the pace: a peer told the costs and the demand.
    pub fn finish(&mut self) {
        self.has_ended = true;
        self.state = None;
    }

    /// Whether roots are still paced.
    pub fn is_active(&self) -> bool {
        !self.has_ended
    }

    /// Roots that may be in flight; `None` before the first one and after the end.
    pub fn window(&self) -> Option<u32> {
        self.state.as_ref().map(|state| state.window as u32)
    }
}

impl PaceState {
    /// Records the end of a root of `route`; returns whether the route is apart.
    fn end_route(&mut self, route: &Arc<str>, end: PacedEnd) -> bool {
        let others_succeed = self.routes.values().any(|known| known.has_succeeded);
        let Some(known) = self.routes.get_mut(route) else {
            return false;
        };
        let was_apart = known.is_apart;
        known.in_flight = known.in_flight.saturating_sub(1);
        known.has_succeeded |= end == PacedEnd::Good;
        known.is_apart = match end {
            PacedEnd::Good => false,
            PacedEnd::Failed => !known.has_succeeded && others_succeed,
            PacedEnd::Bad | PacedEnd::Neutral => was_apart,
        };
        let (is_apart, left) = (known.is_apart, known.in_flight);
        self.in_flight = match (was_apart, is_apart) {
            (false, false) => self.in_flight.saturating_sub(1),
            (false, true) => self.in_flight.saturating_sub(left + 1),
            (true, false) => self.in_flight + left,
            (true, true) => self.in_flight,
        };
        is_apart
    }

    fn is_bad(&self) -> bool {
        let answers = f64::from(self.good + self.bad);
        self.bad >= BAD_MIN && f64::from(self.bad) > BAD_FRACTION * answers
    }

    fn start_round(&mut self, now: MilliTime) {
        (self.good, self.bad, self.round_start) = (0, 0, now);
        self.was_full = false;
    }

    fn end_round(&mut self, now: MilliTime) {
        if now.since(self.round_start) < ROUND_SPAN || self.good == 0 {
            return;
        }
        if self.was_full && !self.is_bad() {
            let growth = if self.was_cut { GROWTH_AFTER_CUT } else { 2.0 };
            self.window = (self.window * growth).min(WINDOW_MAX);
        }
        self.start_round(now);
    }
}
