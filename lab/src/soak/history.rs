//! Records what callers and upstreams observed and checks it against the guarantees.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use lentilway_stand_ins::platform::upstream::{UpstreamObserver, UpstreamRun};

// Bounds from the settings that the soak writes and from the platform's rules.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(5);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
const RATE_WINDOW: Duration = Duration::from_secs(5);
const RATE_TOLERANCE: f64 = 0.1;
const RATE_SLACK: f64 = 20.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 50.0;
/// An unplanned fault excuses connections that end within this time before or after it.
const FAULT_MARGIN: Duration = Duration::from_secs(3);
/// Statuses which guarantee that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// How a request of a caller ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOutcome {
    /// A whole answer arrived.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
        /// Whether an upstream signed it.
        is_signed: bool,
    },
    /// The connection closed before the whole answer arrived.
    Cut,
    /// The caller abandoned the request.
    Left,
}

/// A request sent by a caller.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Index of the daemon that it was sent to.
    pub daemon: usize,
    /// Number of times that daemon had been started.
    pub start: u32,
    /// The route's name.
    pub route: &'static str,
    /// Whether it may run twice.
    pub is_safe: bool,
    /// The organisation that the key belongs to.
    pub organisation: &'static str,
    /// The key that it carried.
    pub key: String,
    /// When it was sent.
    pub at: Instant,
    /// When and how it ended; `None` while the caller waits for it.
    pub end: Option<(Instant, CallerOutcome)>,
}

#[derive(Debug, Default)]
struct HistoryState {
    sent: HashMap<String, SentRequest>,
    runs: HashMap<String, Vec<(Instant, UpstreamRun)>>,
    /// Departures of upstreams with the time of the first acknowledgement, by instance.
    leaves: HashMap<String, Instant>,
    /// Withdrawn keys with the time from which the current configuration lacks them.
    withdrawn: HashMap<String, Instant>,
    /// Start and end of each unplanned fault.
    faults: Vec<(Instant, Instant)>,
    /// Index of each daemon that was told to stop, and when.
    stops: Vec<(usize, Instant)>,
}

/// Every request, run and fault of a soak.
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
    /// Records that a request began to run.
    pub fn record_run(&self, run: &UpstreamRun, at: Instant) {
        let mut state = self.lock();
        state.runs.entry(run.request_id.clone()).or_default().push((at, run.clone()));
    }

    /// Records that a caller sent the request with this id.
    pub fn record_sent(&self, id: &str, request: SentRequest) {
        self.lock().sent.insert(id.to_owned(), request);
    }

    /// Records how the request with this id ended for its caller.
    pub fn record_outcome(&self, id: &str, end: CallerOutcome) {
        if let Some(request) = self.lock().sent.get_mut(id) {
            request.end = Some((Instant::now(), end));
        }
    }

    /// Records that the withdrawal of a key was acknowledged.
    pub fn record_withdrawal(&self, key: &str) {
        self.lock().withdrawn.insert(key.to_owned(), Instant::now());
    }

    /// Records an unplanned fault that began at `from` and ends now.
    pub fn record_fault(&self, from: Instant) {
        self.lock().faults.push((from, Instant::now()));
    }

    /// Records that a daemon is told to stop.
    pub fn record_stop(&self, daemon: usize) {
        self.lock().stops.push((daemon, Instant::now()));
    }

    /// Ended requests that were sent since `from`, and how many of them were served.
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

    /// Every violated guarantee, a line each. `rates` (requests/s) holds the organisations that
    /// have a rate limit.
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
        let is_refused = request.status().is_some_and(|status| NOT_RUN_STATUSES.contains(&status));
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
        if withdrawn.is_some_and(|at| request.at > *at + WITHDRAWAL_TIMEOUT) && !runs.is_empty() {
            report("ran with a withdrawn key");
        }
        if self.is_lost_to_stop(request) && !runs.is_empty() {
            report("lost around a planned stop");
        }
    }

    /// Whether the connection closed around a planned stop and no unplanned fault excuses it.
    fn is_lost_to_stop(&self, request: &SentRequest) -> bool {
        let Some((end, CallerOutcome::Cut)) = &request.end else { return false };
        let is_stopped = self.stops.iter().any(|(daemon, at)| {
            *daemon == request.daemon && request.at < *at + FAULT_MARGIN && *end >= *at
        });
        let is_excused = self
            .faults
            .iter()
            .any(|(from, until)| *from < *end && *until + FAULT_MARGIN > request.at);
        is_stopped && !is_excused
    }

    fn check_drains(&self, violations: &mut Vec<String>) {
        for (at, run) in self.runs.values().flatten() {
            let left = self.leaves.get(&run.instance);
            if left.is_some_and(|left| *at > *left + DRAIN_TIMEOUT) {
                violations.push(format!("reached an upstream that had left: {run:?}"));
            }
        }
    }

    fn check_rates(&self, rates: &HashMap<&'static str, f64>, violations: &mut Vec<String>) {
        for (organisation, rate) in rates {
            let requests = self.sent.iter().filter(|(_, sent)| sent.organisation == *organisation);
            let mut ran: Vec<Instant> = requests
                .filter_map(|(id, _)| self.runs.get(id)?.first().map(|(at, _)| *at))
                .collect();
            ran.sort_unstable();
            let bound =
                rate * (RATE_WINDOW.as_secs_f64() + 1.0) * (1.0 + RATE_TOLERANCE) + RATE_SLACK;
            let max = max_within(&ran, RATE_WINDOW);
            if max as f64 > bound {
                violations.push(format!("{organisation}: {max} ran in a window, bound {bound:.0}"));
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
            let bound = max_within(&firsts, RETRY_WINDOW) as f64 * RETRY_RATIO + RETRY_SLACK;
            let max = max_within(&repeats, RETRY_WINDOW);
            if max as f64 > bound {
                violations.push(format!("{service}: {max} repeats in a window, bound {bound:.0}"));
            }
        }
    }

    /// A daemon that has served a route must not answer 404 for it later: it never returns to an
    /// older configuration.
    fn check_versions(&self, violations: &mut Vec<String>) {
        let mut first_served: HashMap<(usize, u32, &str), Instant> = HashMap::new();
        for request in self.sent.values().filter(|request| request.is_served()) {
            let (end, _) = request.end.as_ref().expect("a served request has ended");
            let route = (request.daemon, request.start, request.route);
            let first = first_served.entry(route).or_insert(*end);
            *first = (*first).min(*end);
        }
        for (id, request) in self.sent.iter().filter(|(_, sent)| sent.status() == Some(404)) {
            let route = (request.daemon, request.start, request.route);
            if first_served.get(&route).is_some_and(|first| request.at > *first) {
                violations.push(format!("a route that was served is denied: {id} {request:?}"));
            }
        }
    }
}

/// The largest number of `times`, which are sorted, within any window of length `span`.
fn max_within(times: &[Instant], span: Duration) -> usize {
    let mut first = 0;
    let mut max = 0;
    for (last, time) in times.iter().enumerate() {
        while times[first] + span <= *time {
            first += 1;
        }
        max = max.max(last + 1 - first);
    }
    max
}
