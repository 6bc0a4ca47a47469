//! What callers and upstreams saw, and the promises that it must agree with.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use lentilway_stand_ins::platform::upstream::{UpstreamObserver, UpstreamRun};

/// Bounds of the settings that the soak writes, and of the platform's rules.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);
const DRAIN_BOUND: Duration = Duration::from_secs(2);
const RATE_WINDOW: Duration = Duration::from_secs(5);
const RATE_OVERAGE: f64 = 0.1;
const RATE_SLACK: f64 = 20.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 50.0;
/// An unplanned fault excuses connections that end from this long before it until as long after.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// How a request of a caller ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOutcome {
    /// With an answer.
    Answered {
        /// Its status.
        status: u16,
        /// Its whole body.
        body: String,
        /// Whether an upstream signed it.
        is_signed: bool,
    },
    /// The connection ended first.
    Cut,
    /// The caller left.
    Left,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The daemon that it was sent to.
    pub daemon: usize,
    /// How often that daemon had been started.
    pub start: u32,
    /// The route's name.
    pub route: &'static str,
    /// Whether it may run twice.
    pub is_safe: bool,
    /// The organisation that the key belongs to.
    pub organisation: &'static str,
    /// The key that came with it.
    pub key: String,
    /// When it was sent.
    pub at: Instant,
    /// When and how it ended; `None` while the caller waits.
    pub end: Option<(Instant, CallerOutcome)>,
}

#[derive(Debug, Default)]
struct HistoryState {
    sent: HashMap<String, SentRequest>,
    runs: HashMap<String, Vec<(Instant, UpstreamRun)>>,
    /// Leavings with the time of their first acknowledgement.
    leaves: HashMap<String, Instant>,
    /// Keys with the time from which no configuration has them.
    withdrawn: HashMap<String, Instant>,
    /// Spans of unplanned faults.
    faults: Vec<(Instant, Instant)>,
    /// When daemons were told to stop, by number.
    stops: Vec<(usize, Instant)>,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct SoakHistory {
    state: Mutex<HistoryState>,
}

impl UpstreamObserver for SoakHistory {
    fn started(&self, run: &UpstreamRun) {
        self.record_run(run, Instant::now());
    }

    fn leave_acknowledged(&self, instance: &str) {
        self.lock().leaves.entry(instance.to_owned()).or_insert_with(Instant::now);
    }
}

impl SoakHistory {
    /// Notes that a request began to run.
    pub fn record_run(&self, run: &UpstreamRun, at: Instant) {
        let mut state = self.lock();
        state.runs.entry(run.request_id.clone()).or_default().push((at, run.clone()));
    }

    /// Notes that a caller sent the request with this id.
    pub fn record_sent(&self, id: &str, request: SentRequest) {
        self.lock().sent.insert(id.to_owned(), request);
    }

    /// Notes how the request with this id ended for its caller.
    pub fn record_outcome(&self, id: &str, end: CallerOutcome) {
        if let Some(request) = self.lock().sent.get_mut(id) {
            request.end = Some((Instant::now(), end));
        }
    }

    /// Notes that the withdrawal of a key was acknowledged.
    pub fn record_withdrawal(&self, key: &str) {
        self.lock().withdrawn.insert(key.to_owned(), Instant::now());
    }

    /// Notes that an unplanned fault lasted since `from`.
    pub fn record_fault(&self, from: Instant) {
        self.lock().faults.push((from, Instant::now()));
    }

    /// Notes that a daemon is told to stop.
    pub fn record_stop(&self, daemon: usize) {
        self.lock().stops.push((daemon, Instant::now()));
    }

    /// Requests sent since `from` and how many of them were served.
    pub fn served_since(&self, from: Instant) -> (usize, usize) {
        let state = self.lock();
        let ended = state.sent.values().filter(|sent| sent.at >= from && sent.end.is_some());
        let (mut all, mut served) = (0, 0);
        for request in ended {
            all += 1;
            served += usize::from(request.is_served());
        }
        (all, served)
    }

    /// Every broken promise, a line each. `rates` are those of the organisations that have one.
    pub fn violations(&self, rates: &HashMap<&'static str, f64>) -> Vec<String> {
        let state = self.lock();
        let mut violations = Vec::new();
        for (id, request) in &state.sent {
            state.check_request(id, request, &mut violations);
        }
        state.check_drains(&mut violations);
        state.check_rates(rates, &mut violations);
        state.check_retries(&mut violations);
        state.check_versions(&mut violations);
        violations
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HistoryState> {
        self.state.lock().expect("no holder panics")
    }
}

impl SentRequest {
    fn is_served(&self) -> bool {
        let answered = self.end.as_ref().map(|(_, end)| end);
        matches!(answered, Some(CallerOutcome::Answered { status: 200, .. }))
    }

    fn status(&self) -> Option<u16> {
        match self.end {
            Some((_, CallerOutcome::Answered { status, .. })) => Some(status),
            _ => None,
        }
    }
}

impl HistoryState {
    fn check_request(&self, id: &str, request: &SentRequest, violations: &mut Vec<String>) {
        let runs = self.runs.get(id).map(Vec::as_slice).unwrap_or_default();
        let mut report = |rule: &str| violations.push(format!("{rule}: {id} {request:?} {runs:?}"));
        if !request.is_safe && runs.len() > 1 {
            report("ran twice");
        }
        let is_refused = request.status().is_some_and(|status| NOT_RUN.contains(&status));
        if !request.is_safe && is_refused && !runs.is_empty() {
            report("told not run, but ran");
        }
        if runs.iter().any(|(_, run)| run.has_key || run.organisation != request.organisation) {
            report("run with a key, or for another organisation");
        }
        if let Some((_, CallerOutcome::Answered { status: 200, body, is_signed })) = &request.end {
            let is_own = runs.iter().any(|(_, run)| *body == format!("{id}@{}", run.instance));
            if !is_signed || !is_own {
                report("an answer that no upstream gave to this request");
            }
        }
        let withdrawn = self.withdrawn.get(&request.key);
        if withdrawn.is_some_and(|at| request.at > *at + WITHDRAWAL_BOUND) && !runs.is_empty() {
            report("ran with a withdrawn key");
        }
        if self.is_cut_by_stop(request) && !runs.is_empty() {
            report("lost around a planned stop");
        }
    }

    /// Whether the connection ended around a planned stop, with no unplanned fault about.
    fn is_cut_by_stop(&self, request: &SentRequest) -> bool {
        let Some((end, CallerOutcome::Cut)) = &request.end else { return false };
        let is_stopped = self.stops.iter().any(|(daemon, at)| {
            *daemon == request.daemon && request.at < *at + STABLE_WINDOW && *end >= *at
        });
        let is_excused = self
            .faults
            .iter()
            .any(|(from, until)| *from < *end && *until + STABLE_WINDOW > request.at);
        is_stopped && !is_excused
    }

    fn check_drains(&self, violations: &mut Vec<String>) {
        for (at, run) in self.runs.values().flatten() {
            let left = self.leaves.get(&run.instance);
            if left.is_some_and(|left| *at > *left + DRAIN_BOUND) {
                violations.push(format!("reached an upstream that had left: {run:?}"));
            }
        }
    }

    fn check_rates(&self, rates: &HashMap<&'static str, f64>, violations: &mut Vec<String>) {
        for (organisation, rate) in rates {
            let of_it = self.sent.iter().filter(|(_, sent)| sent.organisation == *organisation);
            let mut ran: Vec<Instant> =
                of_it.filter_map(|(id, _)| self.runs.get(id)?.first().map(|(at, _)| *at)).collect();
            ran.sort_unstable();
            let bound =
                rate * (RATE_WINDOW.as_secs_f64() + 1.0) * (1.0 + RATE_OVERAGE) + RATE_SLACK;
            let most = most_within(&ran, RATE_WINDOW);
            if most as f64 > bound {
                violations
                    .push(format!("{organisation}: {most} ran in a window, bound {bound:.0}"));
            }
        }
    }

    fn check_retries(&self, violations: &mut Vec<String>) {
        let mut services: HashMap<&str, (Vec<Instant>, Vec<Instant>)> = HashMap::new();
        for runs in self.runs.values() {
            let mut runs: Vec<_> = runs.iter().collect();
            runs.sort_by_key(|(at, _)| *at);
            for (index, (at, run)) in runs.into_iter().enumerate() {
                let (firsts, repeats) = services.entry(&run.service).or_default();
                if index == 0 { firsts.push(*at) } else { repeats.push(*at) }
            }
        }
        for (service, (mut firsts, mut repeats)) in services {
            firsts.sort_unstable();
            repeats.sort_unstable();
            let bound = most_within(&firsts, RETRY_WINDOW) as f64 * RETRY_RATIO + RETRY_SLACK;
            let most = most_within(&repeats, RETRY_WINDOW);
            if most as f64 > bound {
                violations.push(format!("{service}: {most} repeats in a window, bound {bound:.0}"));
            }
        }
    }

    /// A daemon that has served a route does not deny it later: configurations never go back.
    fn check_versions(&self, violations: &mut Vec<String>) {
        let mut first_served: HashMap<(usize, u32, &str), Instant> = HashMap::new();
        for request in self.sent.values().filter(|request| request.is_served()) {
            let (end, _) = request.end.as_ref().expect("a served request has ended");
            let place = (request.daemon, request.start, request.route);
            let first = first_served.entry(place).or_insert(*end);
            *first = (*first).min(*end);
        }
        for (id, request) in self.sent.iter().filter(|(_, sent)| sent.status() == Some(404)) {
            let place = (request.daemon, request.start, request.route);
            if first_served.get(&place).is_some_and(|first| request.at > *first) {
                violations.push(format!("a route that was served is denied: {id} {request:?}"));
            }
        }
    }
}

/// The most of these moments, in order, that lie within `span`.
fn most_within(moments: &[Instant], span: Duration) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, moment) in moments.iter().enumerate() {
        while moments[first] + span <= *moment {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
