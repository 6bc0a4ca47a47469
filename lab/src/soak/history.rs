//! Records what callers and upstreams observed and checks it against the guarantees.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use lentilway_stand_ins::platform::upstream::{UpstreamObserver, UpstreamRun, UpstreamStatement};

// Bounds from the settings that the soak writes and from the platform's rules.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(5);
pub(crate) const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
const RATE_WINDOW: Duration = Duration::from_secs(5);
const RATE_TOLERANCE: f64 = 0.1;
const RATE_SLACK: f64 = 20.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 50.0;
/// A limit binds from this time after it was first stated.
pub(crate) const LIMIT_STABLE_TIME: Duration = Duration::from_secs(3);
pub(crate) const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_TOLERANCE: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// A daemon counts from this time after it passed on the limit.
const LIMIT_TOLD_TIME: Duration = Duration::from_millis(500);
/// An unplanned fault excuses connections that end within this time before or after it.
const FAULT_MARGIN: Duration = Duration::from_secs(3);
/// The bound on a request that ends upstreams binds from this time after the third of them.
pub(super) const CRASH_STABLE_TIME: Duration = Duration::from_secs(3);
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
pub(super) struct HistoryState {
    sent: HashMap<String, SentRequest>,
    pub(super) runs: HashMap<String, Vec<(Instant, UpstreamRun)>>,
    /// Cold upstreams, with the begin and end of each time.
    pub(super) cold: Vec<(String, Instant, Instant)>,
    /// Evacuated zones, with the acknowledgement and the end of each evacuation.
    pub(super) evacuations: Vec<(usize, Instant, Instant)>,
    /// Departures of upstreams with the time of the first acknowledgement, by instance.
    leaves: HashMap<String, Instant>,
    /// Withdrawn keys with the time from which the current configuration lacks them.
    withdrawn: HashMap<String, Instant>,
    /// When the addition of each route was acknowledged.
    added: HashMap<&'static str, Instant>,
    /// Start and end of each unplanned fault.
    faults: Vec<(Instant, Instant)>,
    /// Index of each daemon that was signalled to stop, and when.
    stops: Vec<(usize, Instant)>,
    /// Restarts and suspensions of daemons, which excuse what they were told before.
    interruptions: Vec<(usize, Instant)>,
    /// Daemons whose upstream a request has ended, with its instance.
    crashed: Vec<(usize, String)>,
    /// The limits stated by each instance, in order, `None` for the end of one.
    limits: HashMap<String, Vec<(Instant, Option<f64>)>>,
    /// When each daemon passed on an answer with a limit, and one that told of a leave, by instance.
    told: HashMap<(usize, String), ToldTimes>,
}

#[derive(Debug, Default)]
struct ToldTimes {
    limit: Vec<Instant>,
    leave: Vec<Instant>,
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

    fn crashed(&self, instance: &str) {
        if let Some(daemon) = daemon_of(instance) {
            self.lock().crashed.push((daemon, instance.to_owned()));
        }
    }

    fn leave_acknowledged(&self, instance: &str) {
        self.lock().leaves.entry(instance.to_owned()).or_insert_with(Instant::now);
    }

    fn limit_changed(&self, instance: &str, limit: Option<f64>) {
        self.record_limit(instance, limit, Instant::now());
    }

    fn statement_received(&self, receiver: &str, statement: &UpstreamStatement) {
        if let Some(daemon) = daemon_of(receiver) {
            self.record_told(daemon, statement);
        }
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

    /// Records that the addition of a route was acknowledged.
    pub fn record_added(&self, route: &'static str) {
        self.lock().added.entry(route).or_insert_with(Instant::now);
    }

    /// Records an unplanned fault that began at `from` and ends now.
    pub fn record_fault(&self, from: Instant) {
        self.lock().faults.push((from, Instant::now()));
    }

    /// Records that a daemon is signalled to stop.
    pub fn record_stop(&self, daemon: usize) {
        self.lock().stops.push((daemon, Instant::now()));
    }

    /// Records that a daemon restarts or was suspended.
    pub fn record_interruption(&self, daemon: usize) {
        self.lock().interruptions.push((daemon, Instant::now()));
    }

    /// Records that an upstream is cold from `from` to `until`.
    pub(super) fn record_cold(&self, instance: &str, from: Instant, until: Instant) {
        self.lock().cold.push((instance.to_owned(), from, until));
    }

    /// Records that a zone was evacuated from `from` to `until`.
    pub(super) fn record_evacuation(&self, zone: usize, from: Instant, until: Instant) {
        self.lock().evacuations.push((zone, from, until));
    }

    /// Records the limit that an upstream states from `at` on.
    pub fn record_limit(&self, instance: &str, limit: Option<f64>, at: Instant) {
        self.lock().limits.entry(instance.to_owned()).or_default().push((at, limit));
    }

    /// Records what a daemon told by passing on an answer.
    pub fn record_told(&self, daemon: usize, statement: &UpstreamStatement) {
        if statement.limit.is_none() && !statement.is_leaving {
            return;
        }
        let mut state = self.lock();
        let told = state.told.entry((daemon, statement.instance.clone())).or_default();
        let now = Instant::now();
        if statement.limit.is_some() {
            told.limit.push(now);
        }
        if statement.is_leaving {
            told.leave.push(now);
        }
    }

    /// The upstreams that requests have ended since the last call, each with its daemon.
    pub(crate) fn take_crashed(&self) -> Vec<(usize, String)> {
        std::mem::take(&mut self.lock().crashed)
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
        state.check_added_routes(&mut violations);
        state.check_limits(&mut violations);
        state.check_told_leaves(&mut violations);
        state.check_deadly(&mut violations);
        state.check_cold(&mut violations);
        state.check_evacuations(&mut violations);
        violations
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HistoryState> {
        self.state.lock().expect("lock not poisoned")
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
            report("answered as not run, but ran");
        }
        if runs.iter().any(|(_, run)| run.has_key || run.organisation != request.organisation) {
            report("ran with a key, or for another organisation");
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
                let (first_runs, repeats) = services.entry(&run.service).or_default();
                if index == 0 { first_runs.push(*at) } else { repeats.push(*at) }
            }
        }
        for (service, (mut first_runs, mut repeats)) in services {
            first_runs.sort_unstable();
            repeats.sort_unstable();
            let bound = max_within(&first_runs, RETRY_WINDOW) as f64 * RETRY_RATIO + RETRY_SLACK;
            let max = max_within(&repeats, RETRY_WINDOW);
            if max as f64 > bound {
                violations.push(format!("{service}: {max} repeats in a window, bound {bound:.0}"));
            }
        }
    }

    /// No upstream gets more than the limit that it states, from the daemons that passed it on.
    fn check_limits(&self, violations: &mut Vec<String>) {
        for (instance, changes) in &self.limits {
            for (index, (from, limit)) in changes.iter().enumerate() {
                let Some(limit) = limit else { continue };
                let until = changes.get(index + 1).map(|(until, _)| *until);
                let binding = *from + LIMIT_STABLE_TIME;
                let runs =
                    self.runs.iter().flat_map(|(id, runs)| runs.iter().map(move |run| (id, run)));
                let mut counted: Vec<Instant> = runs
                    .filter(|(_, (at, run))| {
                        run.instance == *instance
                            && *at >= binding
                            && until.is_none_or(|until| *at < until)
                    })
                    .filter(|(id, (at, _))| self.was_told(id, instance, *from, *at))
                    .map(|(_, (at, _))| *at)
                    .collect();
                counted.sort_unstable();
                let bound = limit * LIMIT_TOLERANCE * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
                let max = max_within(&counted, LIMIT_WINDOW);
                if max as f64 > bound {
                    violations
                        .push(format!("{instance}: {max} beyond its limit, bound {bound:.0}"));
                }
            }
        }
    }

    /// Whether the daemon where a request began had passed on the limit stated since `from`, and
    /// was not interrupted since.
    fn was_told(&self, id: &str, instance: &str, from: Instant, at: Instant) -> bool {
        let Some(daemon) = self.origin(id) else { return false };
        let Some(told) = self.told.get(&(daemon, instance.to_owned())) else { return false };
        let interrupted = self.last_interruption(daemon, at).unwrap_or(from).max(from);
        told.limit.iter().any(|told| *told >= interrupted && *told + LIMIT_TOLD_TIME <= at)
    }

    /// No request that was sent later than the drain time after a daemon passed on that an upstream
    /// leaves reaches it from there.
    fn check_told_leaves(&self, violations: &mut Vec<String>) {
        for (id, runs) in &self.runs {
            let Some(daemon) = self.origin(id) else { continue };
            for (at, run) in runs {
                let sent = self.sent.get(id).map_or(*at, |sent| sent.at);
                let Some(told) = self.told.get(&(daemon, run.instance.clone())) else { continue };
                let interrupted = self.last_interruption(daemon, *at);
                let binds = |told: &Instant| {
                    interrupted.is_none_or(|interrupted| *told > interrupted)
                        && sent > *told + DRAIN_TIMEOUT
                };
                if told.leave.iter().any(binds) {
                    violations.push(format!("reached an upstream that told of its leave: {run:?}"));
                }
            }
        }
    }

    /// Whether the daemon where a request began at `at` could know what happened at `since`.
    pub(super) fn is_in_touch(&self, id: &str, since: Instant, at: Instant) -> bool {
        let interrupted = self.origin(id).and_then(|daemon| self.last_interruption(daemon, at));
        let has_fault = self.faults.iter().any(|(from, until)| *from < at && *until > since);
        !has_fault && interrupted.is_none_or(|interrupted| at > interrupted + CRASH_STABLE_TIME)
    }

    /// The daemon at which a request or a sub-call began.
    fn origin(&self, id: &str) -> Option<usize> {
        match id.rsplit_once('.') {
            Some((_, caller)) => daemon_of(caller),
            None => self.sent.get(id).map(|sent| sent.daemon),
        }
    }

    fn last_interruption(&self, daemon: usize, at: Instant) -> Option<Instant> {
        let interruptions = self.interruptions.iter().filter(|(other, _)| *other == daemon);
        interruptions.map(|(_, interrupted)| *interrupted).filter(|when| *when <= at).max()
    }

    /// No daemon denies a route that was added: after the withdrawal bound it refuses what it cannot
    /// prove.
    fn check_added_routes(&self, violations: &mut Vec<String>) {
        for (id, request) in self.sent.iter().filter(|(_, sent)| sent.status() == Some(404)) {
            let added = self.added.get(request.route);
            if added.is_some_and(|at| request.at > *at + WITHDRAWAL_TIMEOUT) {
                violations.push(format!("an added route is denied: {id} {request:?}"));
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

/// The index of the daemon beside an upstream, from the id of the instance or of its sub-call:
/// `i-node-INDEX-START` or `i-node-INDEX-START-NUMBER`.
pub(super) fn daemon_of(instance: &str) -> Option<usize> {
    instance.strip_prefix("i-node-")?.split('-').next()?.parse().ok()
}

/// The largest number of `times`, which are sorted, within any window of length `span`.
pub(super) fn max_within(times: &[Instant], span: Duration) -> usize {
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
