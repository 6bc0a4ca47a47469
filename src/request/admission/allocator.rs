//! Allocates the backend server's capacity to classes and, within a class, to organisations.
//!
//! While there is a standing queue, capacity is the rate at which calls leave it. Classes take from
//! it in order of priority; the organisations of a class share the rest by max-min fairness. The
//! result is the fraction of each group's calls that is admitted; the root request's rank decides
//! which calls those are. Ticks without a standing queue raise the capacity until nothing is shed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::MilliTime;
use crate::request::context::RequestContext;
use crate::request::fraction::{AdmitFraction, GroupFractions};
use crate::version::route::RequestClass;

const TICK_SPAN: Duration = Duration::from_millis(50);
/// After this long without a call all state is stale and is reset.
const IDLE_RESET: Duration = Duration::from_secs(1);
/// Time constant of the moving averages.
const AVERAGE_SPAN: Duration = Duration::from_millis(250);
/// A tick whose shortest queue wait exceeds this has a standing queue.
const STANDING_QUEUE_WAIT: Duration = Duration::from_millis(10);
/// Fewer consecutive ticks with a queue are a burst that will be served.
const STANDING_QUEUE_TICKS: u32 = 4;
/// Calls admitted per call served, so that the queue does not run empty.
const QUEUE_FILL_FACTOR: f64 = 1.1;
/// Decay per tick of the peak served rate: a probe of the limit must not count as lost capacity.
const PEAK_DECAY: f64 = 0.97;
const CAPACITY_GROWTH: f64 = 0.02;
const GROWTH_DOUBLINGS_MAX: u32 = 5;
/// Shedding ends when capacity exceeds the offered rate by this factor.
const RECOVERY_FACTOR: f64 = 1.2;
/// Groups below this rate, in calls per second, are removed.
const TRACKED_RATE_MIN: f64 = 0.01;

/// The unit of fairness: one organisation's calls in one class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallerGroup {
    /// The request class.
    pub class: RequestClass,
    /// The organisation; none on open routes.
    pub organisation: Option<Arc<str>>,
}

impl CallerGroup {
    /// The group of the call with this context.
    pub fn of(context: &RequestContext) -> Self {
        CallerGroup { class: context.class, organisation: context.organisation.clone() }
    }
}

#[derive(Clone, Copy, Debug)]
struct GroupLoad {
    arrived: f64,
    dispatched: f64,
    offered_rate: f64,
    served_rate: f64,
    fraction: AdmitFraction,
}

impl Default for GroupLoad {
    fn default() -> Self {
        GroupLoad {
            arrived: 0.0,
            dispatched: 0.0,
            offered_rate: 0.0,
            served_rate: 0.0,
            fraction: AdmitFraction::ALL,
        }
    }
}

/// Computes the fraction of each group's calls that is admitted.
#[derive(Debug, Default)]
pub struct CapacityAllocator {
    groups: HashMap<CallerGroup, GroupLoad>,
    capacity: Option<f64>,
    tick_started: MilliTime,
    min_wait: Option<Duration>,
    queue_shed: bool,
    uncongested_ticks: u32,
    standing_queue_ticks: u32,
    peak_served_rate: f64,
    class_fractions: [Option<AdmitFraction>; RequestClass::ALL.len()],
}

impl CapacityAllocator {
    /// Records an arriving call that represents `weight` calls and returns the admitted fraction
    /// of its group.
    pub fn record_arrival(
        &mut self,
        now: MilliTime,
        group: &CallerGroup,
        weight: f64,
    ) -> AdmitFraction {
        self.advance(now);
        if !self.groups.contains_key(group) {
            self.groups.insert(group.clone(), GroupLoad::default());
        }
        let load = self.groups.get_mut(group).expect("the group was inserted above");
        load.arrived += weight;
        load.fraction
    }

    /// Records that a call of `group` starts after `wait` in the queue.
    pub fn record_dispatch(&mut self, group: &CallerGroup, wait: Duration) {
        let min_wait = self.min_wait.map_or(wait, |min_wait| min_wait.min(wait));
        self.min_wait = Some(min_wait);
        if let Some(load) = self.groups.get_mut(group) {
            load.dispatched += 1.0;
        }
    }

    /// Records that a queued call was shed.
    pub fn record_queue_shed(&mut self) {
        self.queue_shed = true;
    }

    /// The offered rate of `group` in calls per second, current tick included.
    pub fn offered_rate(&self, group: &CallerGroup) -> f64 {
        let tick = TICK_SPAN.as_secs_f64();
        self.groups.get(group).map_or(0.0, |load| load.offered_rate + load.arrived / tick)
    }

    /// The served rate of `group` in calls per second, current tick included.
    pub fn served_rate(&self, group: &CallerGroup) -> f64 {
        let tick = TICK_SPAN.as_secs_f64();
        self.groups.get(group).map_or(0.0, |load| load.served_rate + load.dispatched / tick)
    }

    /// The admitted fraction of `group`.
    pub fn fraction(&self, group: &CallerGroup) -> AdmitFraction {
        self.groups.get(group).map_or(AdmitFraction::ALL, |load| load.fraction)
    }

    /// The fractions that answers to calls of `group` report.
    pub fn fractions(&self, group: &CallerGroup) -> GroupFractions {
        let class = self.class_fractions[group.class as usize];
        GroupFractions {
            organisation: self.fraction(group),
            class: class.unwrap_or(AdmitFraction::ALL),
        }
    }

    /// Whether calls of `group` are being shed.
    pub fn is_shed(&self, group: &CallerGroup) -> bool {
        self.fraction(group) < AdmitFraction::ALL
    }

    fn advance(&mut self, now: MilliTime) {
        let span = now.since(self.tick_started);
        if span < TICK_SPAN {
            return;
        }
        if span >= IDLE_RESET {
            *self = CapacityAllocator { tick_started: now, ..CapacityAllocator::default() };
            return;
        }
        self.update_averages(span);
        self.adjust_capacity();
        self.allocate();
        self.tick_started = now;
        self.min_wait = None;
        self.queue_shed = false;
    }

    fn update_averages(&mut self, span: Duration) {
        let span = span.as_secs_f64();
        let weight = 1.0 - (-span / AVERAGE_SPAN.as_secs_f64()).exp();
        for load in self.groups.values_mut() {
            load.offered_rate += weight * (load.arrived / span - load.offered_rate);
            load.served_rate += weight * (load.dispatched / span - load.served_rate);
            load.arrived = 0.0;
            load.dispatched = 0.0;
        }
        self.groups.retain(|_, load| load.offered_rate + load.served_rate > TRACKED_RATE_MIN);
    }

    fn adjust_capacity(&mut self) {
        let has_queue = self.min_wait.is_some_and(|wait| wait > STANDING_QUEUE_WAIT);
        let served: f64 = self.groups.values().map(|load| load.served_rate).sum();
        self.peak_served_rate = served.max(self.peak_served_rate * PEAK_DECAY);
        self.standing_queue_ticks = if has_queue { self.standing_queue_ticks + 1 } else { 0 };
        if self.queue_shed || self.standing_queue_ticks >= STANDING_QUEUE_TICKS {
            self.uncongested_ticks = 0;
            self.capacity = Some(self.peak_served_rate * QUEUE_FILL_FACTOR);
            return;
        }
        self.uncongested_ticks = (self.uncongested_ticks + 1).min(GROWTH_DOUBLINGS_MAX);
        let growth = 1.0 + CAPACITY_GROWTH * f64::from(1 << self.uncongested_ticks);
        let offered: f64 = self.groups.values().map(|load| load.offered_rate).sum();
        let raised = self.capacity.map(|capacity| capacity * growth + 1.0);
        self.capacity = raised.filter(|capacity| *capacity < offered * RECOVERY_FACTOR);
    }

    fn allocate(&mut self) {
        let Some(mut left) = self.capacity else {
            self.groups.values_mut().for_each(|load| load.fraction = AdmitFraction::ALL);
            self.class_fractions = Default::default();
            return;
        };
        for class in RequestClass::ALL.into_iter().rev() {
            let members = self.groups.iter_mut().filter(|(group, _)| group.class == class);
            let mut loads: Vec<&mut GroupLoad> = members.map(|(_, load)| load).collect();
            loads.sort_by(|a, b| a.offered_rate.total_cmp(&b.offered_rate));
            left = allocate_max_min(&mut loads, left);
            self.class_fractions[class as usize] = loads.iter().map(|load| load.fraction).max();
        }
    }
}

/// Allocates `capacity` by max-min fairness to loads sorted by offered rate; returns the rest.
fn allocate_max_min(loads: &mut [&mut GroupLoad], mut capacity: f64) -> f64 {
    let count = loads.len();
    for (index, load) in loads.iter_mut().enumerate() {
        let fair = capacity / (count - index) as f64;
        let granted = load.offered_rate.min(fair);
        let ratio = if load.offered_rate > 0.0 { granted / load.offered_rate } else { 1.0 };
        load.fraction = AdmitFraction::from_ratio(ratio);
        capacity -= granted;
    }
    capacity
}
