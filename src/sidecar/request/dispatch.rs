//! Sends a request to instances of its service until it is answered or must not be resent.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use smallvec::SmallVec;
use tokio::time::sleep;

use super::context::{BackendAnswer, CallOutcome, NotRunCause, UnknownCause};
use crate::policy::crash_ledger::RequestStanding;
use crate::policy::placement::{
    PlacementCandidate, choose_instance, choose_retry_instance, zone_penalty,
};
use crate::policy::region_rule::RegionRule;
use crate::policy::request_identity::RequestIdentity;
use crate::policy::root_admission::CostList;
use crate::sidecar::connection::frame::PeerCall;
use crate::sidecar::process::backend_call::BackendCall;
use crate::sidecar::process::directory::connect_peers;
use crate::sidecar::process::peer_table::PeerEntry;
use crate::sidecar::process::sidecar_shared::SidecarShared;

/// A request is given up after this many refusals without reaching a backend server.
const UNSENT_REFUSALS_MAX: usize = 3;
/// The same for refusals of instances without a backend server, which cost next to nothing.
const ABSENT_REFUSALS_MAX: usize = 8;
/// Refusals by backend servers after which a request is given up. If half of the sends are refused,
/// about one request in four thousand is refused this often.
const BACKEND_REFUSALS_MAX: usize = 12;
/// Maximum wait for a first instance of the service to become available.
const INSTANCE_WAIT: Duration = Duration::from_millis(150);
const INSTANCE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum wait for a link to the instance at which a suspect runs.
const PROBATION_LINK_WAIT: Duration = Duration::from_millis(150);
/// Time between looks at a suspect that waits, which may have been acquitted.
const STANDING_POLL_INTERVAL: Duration = Duration::from_millis(20);
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Fraction of the planned time that must remain for a resend.
const RETRY_TIME_FRACTION: f64 = 0.3;

/// The outcome of a request after all sends.
#[derive(Debug)]
pub(crate) enum DispatchOutcome {
    /// A backend server answered.
    Answered(BackendAnswer),
    /// It did not run; capacity is expected after `capacity_in`.
    NotRun { cause: NotRunCause, capacity_in: Option<Duration> },
    /// It may have run.
    Unknown(UnknownCause),
}

/// Dispatches one request to the instances of its service.
pub(crate) struct RequestDispatch<'a> {
    shared: &'a Arc<SidecarShared>,
    call: &'a mut BackendCall,
    attempts_max: u32,
    regions: RegionRule<'a>,
    tried: SmallVec<[u64; 4]>,
    /// Sends that may have reached a backend server.
    pub(crate) sends: u32,
    /// Slot costs of the last send.
    pub(crate) costs: CostList,
    /// The instance that the request was last sent to.
    pub(crate) instance: Option<Arc<str>>,
    last_unknown: Option<UnknownCause>,
    /// An error that a backend server answered before a resend.
    last_error: Option<BackendAnswer>,
}

enum Destination {
    Local,
    Peer(Arc<PeerEntry>),
}

/// Counts a call as in flight to a peer until dropped.
struct InFlightGuard {
    peer: Arc<PeerEntry>,
    failed: Option<bool>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.peer.call_ended(self.failed);
    }
}

impl<'a> RequestDispatch<'a> {
    pub(crate) fn new(
        shared: &'a Arc<SidecarShared>,
        call: &'a mut BackendCall,
        attempts_max: u32,
        regions: RegionRule<'a>,
    ) -> Self {
        RequestDispatch {
            shared,
            call,
            attempts_max: attempts_max.max(1),
            regions,
            tried: SmallVec::new(),
            sends: 0,
            costs: CostList::new(),
            instance: None,
            last_unknown: None,
            last_error: None,
        }
    }

    /// Whether the request may have reached a backend server.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sends > 0
    }

    /// Sends the request until it is answered or given up.
    pub(crate) async fn run(&mut self) -> DispatchOutcome {
        let (mut unsent, mut absent, mut refused) = (0, 0, 0);
        let mut last_refusal = (NotRunCause::NoBackend, 0);
        loop {
            let is_refused = last_refusal.0 == NotRunCause::BackendRefused && refused > 0;
            let is_resend = is_refused || self.last_unknown.is_some() || self.last_error.is_some();
            if is_resend && self.choose_destination().is_none() {
                // All instances were tried. One that fails only a fraction may accept a resend.
                self.tried.clear();
            }
            let standing = self.settled_standing().await;
            self.call.context.is_suspect = matches!(standing, RequestStanding::Suspect { .. });
            let destination = match standing {
                RequestStanding::Clear => self.next_destination().await,
                RequestStanding::Suspect { .. } => self.probation_destination().await,
                RequestStanding::Held { remaining } => {
                    let millis = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
                    return self.not_run_outcome(NotRunCause::Held, millis);
                }
            };
            let Some(destination) = destination else {
                let (cause, capacity_in_millis) = last_refusal;
                return self.not_run_outcome(cause, capacity_in_millis);
            };
            let outcome = self.send(destination).await;
            match outcome {
                CallOutcome::Answered(answer) => {
                    if !answer.is_server_error() {
                        self.shared.crash_watch.acquit(self.shared, self.identity());
                    }
                    let is_own_failure = answer.is_server_error() && self.costs.len() <= 1;
                    if !is_own_failure || !self.may_resend() {
                        return DispatchOutcome::Answered(answer);
                    }
                    self.last_error = Some(answer);
                }
                CallOutcome::NotRun { cause: NotRunCause::BackendRefused, capacity_in_millis } => {
                    refused += 1;
                    last_refusal = (NotRunCause::BackendRefused, capacity_in_millis);
                    if refused >= BACKEND_REFUSALS_MAX || self.remaining().is_zero() {
                        return self.not_run_outcome(last_refusal.0, capacity_in_millis);
                    }
                    // The refused send reached a backend server.
                    self.mark_resend();
                }
                CallOutcome::NotRun { cause: NotRunCause::Held, capacity_in_millis } => {
                    return self.not_run_outcome(NotRunCause::Held, capacity_in_millis);
                }
                CallOutcome::NotRun { cause, capacity_in_millis } => {
                    let is_absent =
                        matches!(cause, NotRunCause::NoBackend | NotRunCause::Unreachable);
                    absent += usize::from(is_absent);
                    unsent += usize::from(!is_absent);
                    last_refusal = (cause, capacity_in_millis);
                    // A suspect whose turn comes too late does not run at another instance.
                    let has_missed_turn =
                        self.call.context.is_suspect && cause == NotRunCause::TooLate;
                    let is_given_up = has_missed_turn
                        || unsent >= UNSENT_REFUSALS_MAX
                        || absent >= ABSENT_REFUSALS_MAX;
                    if is_given_up || self.remaining().is_zero() {
                        return self.not_run_outcome(cause, capacity_in_millis);
                    }
                }
                CallOutcome::Unknown(cause) => {
                    self.last_unknown = Some(cause);
                    let has_ended = cause == UnknownCause::ServerEnded;
                    let ended_twice = has_ended && self.call.context.is_suspect;
                    if has_ended {
                        self.shared.crash_watch.note_end(self.shared, self.identity());
                    }
                    if ended_twice || !self.may_resend() {
                        return DispatchOutcome::Unknown(cause);
                    }
                }
            }
        }
    }

    /// Returns `NotRun` only if no earlier send may have run.
    fn not_run_outcome(&mut self, cause: NotRunCause, capacity_in_millis: u32) -> DispatchOutcome {
        if let Some(answer) = self.last_error.take() {
            return DispatchOutcome::Answered(answer);
        }
        match self.last_unknown {
            Some(unknown) => DispatchOutcome::Unknown(unknown),
            None => {
                let capacity_in = Duration::from_millis(u64::from(capacity_in_millis));
                DispatchOutcome::NotRun {
                    cause,
                    capacity_in: (capacity_in_millis > 0).then_some(capacity_in),
                }
            }
        }
    }

    fn identity(&self) -> RequestIdentity {
        self.call.context.identity
    }

    fn remaining(&self) -> Duration {
        self.call.deadline.until(self.shared.clock.now())
    }

    /// Prepares a resend if the request may be sent again; the instance that it is sent to checks
    /// the retry budget.
    fn may_resend(&mut self) -> bool {
        let has_time = self.remaining() > self.call.planned_time().mul_f64(RETRY_TIME_FRACTION);
        let may_resend = !self.call.runs_once && self.sends < self.attempts_max && has_time;
        if may_resend {
            self.mark_resend();
        }
        may_resend
    }

    fn mark_resend(&mut self) {
        self.call.context.is_repeat = true;
        self.call.context.is_resend = true;
        self.shared.metrics.count("retry");
    }

    async fn next_destination(&self) -> Option<Destination> {
        let end = self.shared.clock.now() + INSTANCE_WAIT;
        loop {
            let mut chosen = self.choose_destination();
            if chosen.is_none() && self.regions.is_restricted() {
                chosen = self.unlinked_destination().await;
            }
            if chosen.is_some() || self.shared.clock.now() >= end || !self.tried.is_empty() {
                return chosen;
            }
            sleep(INSTANCE_POLL_INTERVAL).await;
        }
    }

    /// An instance in an allowed region to which this daemon has not linked: the links to a large
    /// service may all lead to other regions.
    async fn unlinked_destination(&self) -> Option<Destination> {
        let service = &self.call.context.service;
        let mut keys = self.shared.peers.instances_in(service, |zone| self.may_use(zone));
        keys.retain(|key| !self.tried.contains(key));
        let key = *keys.choose(&mut rand::rng())?;
        let peer = self.linked_peer(key).await?;
        let candidate = peer.candidate()?;
        (candidate.load.slots > 0 && self.may_use(&peer.zone)).then_some(Destination::Peer(peer))
    }

    /// Whether the request may run in a zone.
    fn may_use(&self, zone: &str) -> bool {
        !self.shared.is_evacuated(zone) && self.regions.allows(self.shared.settings.region_of(zone))
    }

    /// Waits until a suspect may run, and returns the standing that it then has.
    async fn settled_standing(&self) -> RequestStanding {
        loop {
            let standing = self.shared.crash_watch.standing(self.shared, self.identity());
            match standing {
                RequestStanding::Suspect { delay } if !delay.is_zero() => {
                    sleep(delay.min(STANDING_POLL_INTERVAL)).await;
                }
                _ => return standing,
            }
        }
    }

    /// The instance at which a suspect runs: the first one in its order that is up.
    async fn probation_destination(&self) -> Option<Destination> {
        let service = &self.call.context.service;
        let order = self.shared.peers.probation_order(service, self.identity());
        let is_own_service = *service == self.shared.settings.service
            && self.may_use(&self.shared.settings.availability_zone);
        for key in order.into_iter().filter(|key| !self.tried.contains(key)) {
            if key == self.shared.own_key {
                if is_own_service && self.shared.backend_admission.load().slots > 0 {
                    return Some(Destination::Local);
                }
                continue;
            }
            let peer = self.linked_peer(key).await.filter(|peer| self.may_use(&peer.zone));
            let candidate = peer.as_ref().and_then(|peer| peer.candidate());
            if candidate.is_some_and(|candidate| candidate.load.slots > 0) {
                return peer.map(Destination::Peer);
            }
        }
        None
    }

    /// The peer with this key, once it is linked; `None` if it cannot be reached.
    async fn linked_peer(&self, key: u64) -> Option<Arc<PeerEntry>> {
        let end = self.shared.clock.now() + PROBATION_LINK_WAIT;
        loop {
            if let Some(peer) = self.shared.peers.peer(key).filter(|peer| peer.link().is_some()) {
                return Some(peer);
            }
            if self.shared.peers.want(key) {
                connect_peers(self.shared);
            }
            if self.shared.clock.now() >= end {
                return None;
            }
            sleep(LINK_POLL_INTERVAL).await;
        }
    }

    fn choose_destination(&self) -> Option<Destination> {
        let service = &self.call.context.service;
        if self.shared.peers.use_service(service) {
            connect_peers(self.shared);
        }
        let peers = self.shared.peers.of_service(service);
        let mut destinations: SmallVec<[Destination; 8]> = SmallVec::new();
        let mut candidates: SmallVec<[PlacementCandidate; 8]> = SmallVec::new();
        let is_own_service = *service == self.shared.settings.service;
        if is_own_service
            && !self.tried.contains(&self.shared.own_key)
            && self.may_use(&self.shared.settings.availability_zone)
        {
            destinations.push(Destination::Local);
            candidates.push(local_candidate(self.shared));
        }
        for peer in peers.iter().flat_map(|peers| peers.iter()) {
            if self.tried.contains(&peer.key) || !self.may_use(&peer.zone) {
                continue;
            }
            if let Some(candidate) = peer.candidate() {
                destinations.push(Destination::Peer(peer.clone()));
                candidates.push(candidate);
            }
        }
        let mut random = rand::rng();
        let retry = self.call.context.is_resend.then(|| random.random::<f64>());
        if let Some(index) = retry.and_then(|draw| choose_retry_instance(&candidates, draw)) {
            return Some(destinations.swap_remove(index));
        }
        let remaining = self.call.due.until(self.shared.clock.now());
        let penalty = zone_penalty(self.call.context.rank, remaining);
        let index = choose_instance(&candidates, penalty, || random.random::<f64>())?;
        Some(destinations.swap_remove(index))
    }

    async fn send(&mut self, destination: Destination) -> CallOutcome {
        let (outcome, costs) = match destination {
            Destination::Local => {
                self.tried.push(self.shared.own_key);
                self.instance = Some(self.shared.settings.name.clone());
                self.sends += 1;
                self.shared.run_on_backend(self.call).await
            }
            Destination::Peer(peer) => {
                self.tried.push(peer.key);
                self.instance = Some(peer.name.clone());
                self.sends += 1;
                self.send_to_peer(peer).await
            }
        };
        if matches!(outcome, CallOutcome::NotRun { .. }) {
            self.sends -= 1;
        }
        self.costs = costs;
        outcome
    }

    async fn send_to_peer(&self, peer: Arc<PeerEntry>) -> (CallOutcome, CostList) {
        let Some(link) = peer.link() else {
            let cause = NotRunCause::Unreachable;
            return (CallOutcome::NotRun { cause, capacity_in_millis: 0 }, CostList::new());
        };
        let instance = peer.key;
        peer.call_sent();
        let mut guard = InFlightGuard { peer, failed: None };
        let now = self.shared.clock.now();
        let call = PeerCall {
            number: 0,
            context: self.call.context.clone(),
            request: self.call.request.clone(),
            deadline_millis: self.call.deadline.until(now).as_millis() as u32,
            due_millis: self.call.due.until(now).as_millis() as u32,
            runs_once: self.call.runs_once,
            notice: self.shared.notice_of(instance),
        };
        match link.call(call).await {
            Some(answer) => {
                guard.failed = Some(matches!(answer.outcome, CallOutcome::Unknown(_)));
                if answer.outcome.is_from_backend() {
                    self.shared.remember_notice(instance, answer.notice);
                }
                (answer.outcome, answer.costs)
            }
            None => {
                guard.failed = Some(true);
                (CallOutcome::Unknown(UnknownCause::LinkLost), CostList::new())
            }
        }
    }
}

fn local_candidate(shared: &SidecarShared) -> PlacementCandidate {
    PlacementCandidate {
        load: shared.backend_admission.load(),
        in_flight: 0,
        in_flight_at_report: 0,
        same_zone: true,
        failed_permille: 0,
    }
}
