//! Load balancer over the members that serve a service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;
use tokio::sync::watch;

use super::budget::RetryBudget;
use super::subset::UpstreamSubset;
use super::upstream::{CallOutcome, UpstreamState};
use crate::clock::{MilliClock, MilliTime};
use crate::process::members::{InstanceId, MemberTable, UpstreamMember};

/// Factor by which another availability zone must be cheaper to be chosen.
const ZONE_PREFERENCE: f64 = 1.5;
/// Largest fraction of a subset that may be ejected.
const EJECTED_FRACTION_MAX: f64 = 0.3;
/// Margin by which the failure rate of an outlier exceeds the mean of the others.
const OUTLIER_MARGIN: f64 = 0.2;
const LATENCY_UNKNOWN_SECONDS: f64 = 0.001;
const DRAWS_MAX: usize = 4;

/// Chooses an upstream for each call.
#[derive(Debug)]
pub struct UpstreamRouter {
    members: Arc<MemberTable>,
    changes: watch::Receiver<u64>,
    availability_zone: Arc<str>,
    clock: MilliClock,
    seed: u64,
    groups: RwLock<HashMap<Arc<str>, Arc<ServiceGroup>>>,
}

/// A chosen upstream. If dropped without [`UpstreamGuard::release`], its call counts as cancelled.
#[derive(Debug)]
pub struct UpstreamGuard {
    /// The chosen member.
    pub member: UpstreamMember,
    group: Arc<ServiceGroup>,
    clock: MilliClock,
    started: Instant,
    outcome: CallOutcome,
}

/// The upstreams of one service.
#[derive(Debug)]
struct ServiceGroup {
    budget: Arc<RetryBudget>,
    state: Mutex<GroupState>,
}

#[derive(Debug)]
struct GroupState {
    random: StdRng,
    members_seen: Option<u64>,
    members: Option<Arc<[UpstreamMember]>>,
    local: Vec<UpstreamState>,
    remote: Vec<UpstreamState>,
}

type TriedInstances = SmallVec<[InstanceId; 4]>;

impl UpstreamRouter {
    /// A router over `members` for a daemon in `availability_zone`.
    pub fn new(members: Arc<MemberTable>, availability_zone: Arc<str>, clock: MilliClock) -> Self {
        UpstreamRouter::seeded(members, availability_zone, clock, rand::rng().random())
    }

    /// A router whose random draws are derived from `seed`.
    pub fn seeded(
        members: Arc<MemberTable>,
        availability_zone: Arc<str>,
        clock: MilliClock,
        seed: u64,
    ) -> Self {
        let changes = members.subscribe();
        let groups = RwLock::default();
        UpstreamRouter { members, changes, availability_zone, clock, seed, groups }
    }

    /// Chooses an upstream of `service` that is not in `tried`.
    pub fn choose(&self, service: &Arc<str>, tried: &TriedInstances) -> Option<UpstreamGuard> {
        let group = self.group(service);
        let now = self.clock.now();
        let mut state = group.lock();
        self.refresh(service, &mut state, now);
        let upstream = state.choose(now, tried)?;
        upstream.in_flight += 1;
        let member = upstream.member.clone();
        drop(state);
        Some(UpstreamGuard {
            member,
            group,
            clock: self.clock.clone(),
            started: Instant::now(),
            outcome: CallOutcome::Cancelled,
        })
    }

    /// The retry budget of calls to `service`.
    pub fn budget(&self, service: &Arc<str>) -> Arc<RetryBudget> {
        self.group(service).budget.clone()
    }

    fn group(&self, service: &Arc<str>) -> Arc<ServiceGroup> {
        if let Some(group) = self.groups.read().expect("lock not poisoned").get(service) {
            return group.clone();
        }
        let mut groups = self.groups.write().expect("lock not poisoned");
        let group = groups.entry(service.clone());
        group.or_insert_with(|| Arc::new(ServiceGroup::new(self.seed))).clone()
    }

    /// Applies changes of the members and keeps the state of those that remain.
    fn refresh(&self, service: &Arc<str>, state: &mut GroupState, now: MilliTime) {
        let changes = *self.changes.borrow();
        if state.members_seen == Some(changes) {
            return;
        }
        let members = self.members.upstreams(service);
        state.members_seen = Some(changes);
        if state.members.as_ref().is_some_and(|known| Arc::ptr_eq(known, &members)) {
            return;
        }
        let ramps = state.members.replace(members.clone()).is_some();
        let subset = UpstreamSubset::of(&members, &self.availability_zone, self.seed);
        let mut known: HashMap<InstanceId, UpstreamState> = state
            .local
            .drain(..)
            .chain(state.remote.drain(..))
            .map(|upstream| (upstream.member.instance, upstream))
            .collect();
        let mut keep = |member: UpstreamMember| {
            let upstream = known.remove(&member.instance);
            upstream.unwrap_or_else(|| UpstreamState::new(member, now, ramps))
        };
        state.local = subset.local.into_iter().map(&mut keep).collect();
        state.remote = subset.remote.into_iter().map(&mut keep).collect();
    }
}

impl ServiceGroup {
    fn new(seed: u64) -> Self {
        let state = GroupState {
            random: StdRng::seed_from_u64(seed),
            members_seen: None,
            members: None,
            local: Vec::new(),
            remote: Vec::new(),
        };
        ServiceGroup { budget: Arc::default(), state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().expect("lock not poisoned")
    }
}

impl GroupState {
    fn choose(&mut self, now: MilliTime, tried: &TriedInstances) -> Option<&mut UpstreamState> {
        let lowest = self.lowest_latency();
        let usable = |upstream: &UpstreamState| {
            upstream.is_usable(now) && !tried.contains(&upstream.member.instance)
        };
        let local = draw_cheaper(&mut self.random, &self.local, now, lowest, usable);
        let remote = draw_cheaper(&mut self.random, &self.remote, now, lowest, usable);
        match (local, remote) {
            (Some((local, near)), Some((remote, far))) => match far * ZONE_PREFERENCE < near {
                true => self.remote.get_mut(remote),
                false => self.local.get_mut(local),
            },
            (Some((local, _)), None) => self.local.get_mut(local),
            (None, Some((remote, _))) => self.remote.get_mut(remote),
            (None, None) => self.any_untried(tried),
        }
    }

    /// An upstream that is ejected or in backoff, for when there is no other.
    fn any_untried(&mut self, tried: &TriedInstances) -> Option<&mut UpstreamState> {
        let untried = |upstream: &&mut UpstreamState| !tried.contains(&upstream.member.instance);
        let mut upstreams: Vec<&mut UpstreamState> =
            self.local.iter_mut().chain(self.remote.iter_mut()).filter(untried).collect();
        if upstreams.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..upstreams.len());
        Some(upstreams.swap_remove(index))
    }

    fn lowest_latency(&self) -> f64 {
        let all = self.local.iter().chain(&self.remote);
        let known = all.filter_map(UpstreamState::latency);
        known.min_by(f64::total_cmp).unwrap_or(LATENCY_UNKNOWN_SECONDS)
    }

    fn finish(&mut self, now: MilliTime, guard: &UpstreamGuard) {
        let elapsed = guard.started.elapsed();
        let Some(upstream) = self.find(&guard.member.instance) else {
            return;
        };
        upstream.finish(now, elapsed, guard.outcome);
        let instance = guard.member.instance;
        if upstream.is_failing() && self.may_eject(&instance, now) {
            self.find(&instance).into_iter().for_each(|upstream| upstream.eject(now));
        }
    }

    fn find(&mut self, instance: &InstanceId) -> Option<&mut UpstreamState> {
        let mut all = self.local.iter_mut().chain(self.remote.iter_mut());
        all.find(|upstream| upstream.member.instance == *instance)
    }

    /// Whether the upstream fails more often than the others and another may be ejected.
    fn may_eject(&self, instance: &InstanceId, now: MilliTime) -> bool {
        let all = || self.local.iter().chain(&self.remote);
        let total = all().count();
        let ejected = all().filter(|upstream| upstream.is_ejected(now)).count();
        let bound = (total as f64 * EJECTED_FRACTION_MAX).max(1.0) as usize;
        if total < 2 || ejected >= bound {
            return false;
        }
        let rates = |own: bool| {
            let chosen = all().filter(move |one| (one.member.instance == *instance) == own);
            chosen.map(UpstreamState::failure_rate).sum::<f64>()
        };
        rates(true) > rates(false) / (total - 1) as f64 + OUTLIER_MARGIN
    }
}

/// Draws two usable upstreams and returns the cheaper one with its cost. An upstream that ramps up
/// is passed over with a probability of one minus its ramp, unless both are.
fn draw_cheaper(
    random: &mut StdRng,
    upstreams: &[UpstreamState],
    now: MilliTime,
    lowest: f64,
    usable: impl Fn(&UpstreamState) -> bool,
) -> Option<(usize, f64)> {
    let first = draw(random, upstreams, &usable)?;
    let second = draw(random, upstreams, &usable)?;
    let cost = |index: usize| upstreams[index].cost(now, lowest);
    let mut ready = |index: usize| random.random::<f64>() < upstreams[index].ramp(now);
    let (first_ready, second_ready) = (ready(first), ready(second));
    let chosen = match (first_ready, second_ready) {
        (true, false) => first,
        (false, true) => second,
        _ if cost(second) < cost(first) => second,
        _ => first,
    };
    Some((chosen, cost(chosen)))
}

fn draw(
    random: &mut StdRng,
    upstreams: &[UpstreamState],
    usable: impl Fn(&UpstreamState) -> bool,
) -> Option<usize> {
    if upstreams.is_empty() {
        return None;
    }
    for _ in 0..DRAWS_MAX {
        let index = random.random_range(0..upstreams.len());
        if usable(&upstreams[index]) {
            return Some(index);
        }
    }
    let usable: SmallVec<[usize; 24]> =
        (0..upstreams.len()).filter(|index| usable(&upstreams[*index])).collect();
    if usable.is_empty() {
        return None;
    }
    Some(usable[random.random_range(0..usable.len())])
}

impl UpstreamGuard {
    /// Records the outcome of the call.
    pub fn release(mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.group.lock().finish(now, self);
    }
}
