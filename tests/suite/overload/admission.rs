//! Admission: queueing, shedding order, allocation of capacity, and recovery from overload.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::{MilliClock, MilliTime};
use lentilway::request::admission::{
    AdmissionController, AdmissionPermit, CallSample, CallerGroup, CapacityAllocator,
    ConcurrencyLimit, ShedCause, ShedFeedback, ShedNotice,
};
use lentilway::request::context::RequestContext;
use lentilway::request::fraction::{AdmitFraction, GroupFractions, ShedRank};
use lentilway::version::route::RequestClass;
use lentilway_lab::fleet::{Fleet, NodePlan, organisation, read_route, ticket};
use lentilway_stand_ins::backend::{BackendBehaviour, SubCall};
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use tokio::task::JoinHandle;

const KEY: &str = "key-of-nord";
const SLOTS: usize = 4;
/// Queue bound of a controller with this limit.
const QUEUE: usize = 16;
const TICK: Duration = Duration::from_millis(50);
const FAR_DEADLINE: MilliTime = MilliTime(1_000_000);

type Admission = std::result::Result<AdmissionPermit, ShedNotice>;

fn context(id: &str, organisation: &str, class: RequestClass) -> RequestContext {
    RequestContext {
        request_id: id.into(),
        organisation: Some(organisation.into()),
        class,
        route: "stock".into(),
        service: "stock".into(),
        idempotent: true,
        remaining_ms: 1000,
        retries: 0,
        weight: 1,
        depth: 0,
    }
}

/// An admission controller whose slots are all in use.
struct BusyController {
    controller: Arc<AdmissionController>,
    clock: MilliClock,
    permits: Vec<AdmissionPermit>,
}

impl BusyController {
    async fn new() -> Self {
        let clock = MilliClock::manual();
        let controller = Arc::new(AdmissionController::new(clock.clone(), SLOTS));
        let mut permits = Vec::new();
        for index in 0..SLOTS {
            let context = context(&format!("busy-{index}"), "busy", RequestClass::High);
            permits.push(
                controller.admit(&context, FAR_DEADLINE).await.expect("the controller has slots"),
            );
        }
        BusyController { controller, clock, permits }
    }

    /// Sends a call that has to wait and returns once it is queued.
    async fn send(&self, context: RequestContext, deadline: MilliTime) -> JoinHandle<Admission> {
        let controller = self.controller.clone();
        let call = tokio::spawn(async move { controller.admit(&context, deadline).await });
        tokio::task::yield_now().await;
        call
    }

    async fn send_many(&self, class: RequestClass, count: usize) -> Vec<JoinHandle<Admission>> {
        let mut calls = Vec::new();
        for index in 0..count {
            let id = format!("{class:?}-{index}");
            calls.push(self.send(context(&id, "nord", class), FAR_DEADLINE).await);
        }
        calls
    }
}

async fn cause(call: JoinHandle<Admission>) -> googletest::Result<ShedCause> {
    match call.await? {
        Ok(_) => fail!("the call was admitted").map(|()| unreachable!()),
        Err(notice) => Ok(notice.cause),
    }
}

/// A full queue evicts the low class in favour of the high class, which is then served.
#[tokio::test]
async fn admit_high_before_low() -> googletest::Result<()> {
    let mut busy = BusyController::new().await;
    let low = busy.send_many(RequestClass::Low, QUEUE).await;
    let high = busy.send_many(RequestClass::High, QUEUE).await;
    for call in low {
        verify_that!(cause(call).await?, eq(ShedCause::QueueFull))?;
    }
    let late_low = busy.send(context("late", "nord", RequestClass::Low), FAR_DEADLINE).await;
    verify_that!(cause(late_low).await?, eq(ShedCause::QueueFull))?;
    busy.permits.clear();
    for call in high {
        verify_that!(call.await?.is_ok(), eq(true))?;
    }
    Ok(())
}

#[tokio::test]
async fn admit_high_first_from_queue() -> googletest::Result<()> {
    let mut busy = BusyController::new().await;
    let low = busy.send(context("l", "nord", RequestClass::Low), FAR_DEADLINE).await;
    let high = busy.send(context("h", "nord", RequestClass::High), FAR_DEADLINE).await;
    busy.permits.pop();
    let permit = high.await?.expect("the high class is served first");
    verify_that!(low.is_finished(), eq(false))?;
    drop(permit);
    verify_that!(low.await?.is_ok(), eq(true))
}

/// Within a class, the organisation with the highest offered rate is shed, lowest rank first.
#[tokio::test]
async fn admit_sheds_largest_organisation() -> googletest::Result<()> {
    let busy = BusyController::new().await;
    let mut large = Vec::new();
    for index in 0..QUEUE - 1 {
        let id = format!("large-{index}");
        let call = busy.send(context(&id, "large", RequestClass::Normal), FAR_DEADLINE).await;
        large.push((ShedRank::of(&id), call));
    }
    let small = busy.send(context("s", "small", RequestClass::Normal), FAR_DEADLINE).await;
    large.sort_by_key(|(rank, _)| *rank);
    for (_, lowest) in large.into_iter().take(3) {
        verify_that!(lowest.is_finished(), eq(false))?;
        let next = context(&format!("small-{lowest:?}"), "small", RequestClass::Normal);
        let next = busy.send(next, FAR_DEADLINE).await;
        verify_that!(cause(lowest).await?, eq(ShedCause::QueueFull))?;
        verify_that!(next.is_finished(), eq(false))?;
    }
    verify_that!(small.is_finished(), eq(false))
}

/// A queued call whose queue wait has expired is not started when a slot is freed.
#[tokio::test]
async fn admit_expired_not_started() -> googletest::Result<()> {
    let mut busy = BusyController::new().await;
    let call = busy.send(context("r", "nord", RequestClass::High), MilliTime(40)).await;
    busy.clock.advance(Duration::from_millis(20));
    busy.permits.clear();
    verify_that!(cause(call).await?, eq(ShedCause::QueueWait))?;
    verify_that!(busy.controller.running(), eq(0))?;
    busy.clock.advance(Duration::from_millis(20));
    let late = busy.send(context("r", "nord", RequestClass::High), MilliTime(40)).await;
    verify_that!(cause(late).await?, eq(ShedCause::Expired))
}

/// A call waits for at most half of its remaining time and is then shed, even if no slot is freed.
#[tokio::test]
async fn admit_queue_wait_bounded() -> googletest::Result<()> {
    let busy = BusyController::new().await;
    let context = context("r", "nord", RequestClass::High);
    let call = busy.send(context, MilliTime(200)).await;
    busy.clock.advance(Duration::from_millis(99));
    tokio::task::yield_now().await;
    verify_that!(call.is_finished(), eq(false))?;
    busy.clock.advance(Duration::from_millis(1));
    verify_that!(cause(call).await?, eq(ShedCause::QueueWait))?;
    verify_that!(busy.controller.queued(), eq(0))
}

/// A request identity of the highest rank, which is shed last.
fn last_shed_id(name: &str) -> String {
    let fraction = AdmitFraction::from_millis(2);
    let mut ids = (0..).map(|index| format!("{name}-{index}"));
    ids.find(|id| fraction.admits(ShedRank::of(id))).expect("some identity has the highest rank")
}

/// The oldest call of a group runs first, but the newest while the group is being shed.
#[tokio::test]
async fn admit_newest_first_overloaded() -> googletest::Result<()> {
    let mut busy = BusyController::new().await;
    for overloaded in [false, true] {
        if overloaded {
            let excess = busy.send_many(RequestClass::High, 10 * QUEUE).await;
            busy.clock.advance(Duration::from_millis(100));
            excess.iter().for_each(JoinHandle::abort);
            for call in excess {
                let _ = call.await;
            }
        }
        let call = |name: &str| context(&last_shed_id(name), "nord", RequestClass::High);
        let old = busy.send(call("old"), FAR_DEADLINE).await;
        let new = busy.send(call("new"), FAR_DEADLINE).await;
        verify_that!((old.is_finished(), new.is_finished()), eq((false, false)))?;
        drop(busy.permits.pop());
        let (first, second) = if overloaded { (new, old) } else { (old, new) };
        let permit = first.await?.expect("a slot was freed");
        verify_that!(second.is_finished(), eq(false))?;
        second.abort();
        let _ = second.await;
        busy.permits.push(permit);
    }
    Ok(())
}

/// A cancelled call is not started, and its slot goes to the next call.
#[tokio::test]
async fn admit_abandoned_not_started() -> googletest::Result<()> {
    let mut busy = BusyController::new().await;
    let cancelled = busy.send(context("gone", "nord", RequestClass::High), FAR_DEADLINE).await;
    cancelled.abort();
    let _ = cancelled.await;
    let next = busy.send(context("next", "nord", RequestClass::Low), FAR_DEADLINE).await;
    drop(busy.permits.pop());
    verify_that!(next.await?.is_ok(), eq(true))?;
    busy.permits.clear();
    verify_that!(busy.controller.running(), eq(0))
}

/// Offers calls to `allocator` tick by tick; the server runs `capacity` of them per tick.
fn offer(
    allocator: &mut CapacityAllocator,
    ticks: std::ops::Range<u64>,
    groups: &[(&CallerGroup, u32)],
    capacity: u32,
) {
    for tick in ticks {
        let now = MilliTime(tick * TICK.as_millis() as u64);
        let mut admitted = 0;
        for (group, count) in groups {
            for index in 0..*count {
                let fraction = allocator.record_arrival(now, group, 1.0);
                if !fraction.admits(ShedRank::of(&format!("{tick}-{index}"))) {
                    continue;
                }
                if admitted < capacity {
                    allocator.record_dispatch(group, Duration::ZERO);
                    admitted += 1;
                } else {
                    allocator.record_queue_shed();
                }
            }
        }
    }
}

fn group(organisation: &str, class: RequestClass) -> CallerGroup {
    CallerGroup { class, organisation: Some(organisation.into()) }
}

#[gtest]
fn allocate_by_class_order() -> googletest::Result<()> {
    let mut allocator = CapacityAllocator::default();
    let high = group("nord", RequestClass::High);
    let normal = group("nord", RequestClass::Normal);
    let low = group("nord", RequestClass::Low);
    let groups = [(&high, 30), (&normal, 40), (&low, 100)];
    offer(&mut allocator, 1..60, &groups, 50);
    verify_that!(allocator.fraction(&high), eq(AdmitFraction::ALL))?;
    verify_that!(allocator.fraction(&normal).ratio(), near(0.5, 0.2))?;
    verify_that!(allocator.fraction(&low).ratio(), le(0.1))
}

#[gtest]
fn allocate_max_min_organisations() -> googletest::Result<()> {
    let mut allocator = CapacityAllocator::default();
    let small = group("small", RequestClass::Normal);
    let middle = group("middle", RequestClass::Normal);
    let large = group("large", RequestClass::Normal);
    let groups = [(&small, 10), (&middle, 18), (&large, 150)];
    offer(&mut allocator, 1..60, &groups, 60);
    verify_that!(allocator.fraction(&small), eq(AdmitFraction::ALL))?;
    verify_that!(allocator.fraction(&middle), eq(AdmitFraction::ALL))?;
    verify_that!(allocator.fraction(&large).ratio(), near(32.0 / 150.0, 0.06))
}

/// After an overload everything is admitted again, with continued calls and without any.
#[gtest]
fn allocate_recovers_by_itself() -> googletest::Result<()> {
    let one = group("nord", RequestClass::Normal);
    let mut continued = CapacityAllocator::default();
    offer(&mut continued, 1..60, &[(&one, 150)], 50);
    verify_that!(continued.fraction(&one).ratio(), le(0.5))?;
    offer(&mut continued, 60..80, &[(&one, 35)], 50);
    verify_that!(continued.fraction(&one), eq(AdmitFraction::ALL))?;
    let mut idle = CapacityAllocator::default();
    offer(&mut idle, 1..60, &[(&one, 150)], 50);
    verify_that!(idle.record_arrival(MilliTime(60 * 50 + 1000), &one, 1.0), eq(AdmitFraction::ALL))
}

/// The weight of a call keeps the offered rate correct while the entry daemon sheds.
#[gtest]
fn allocate_counts_entry_shed() -> googletest::Result<()> {
    let one = group("nord", RequestClass::Normal);
    let mut allocator = CapacityAllocator::default();
    offer(&mut allocator, 1..60, &[(&one, 150)], 50);
    let before = allocator.fraction(&one).ratio();
    for tick in 60..80 {
        let now = MilliTime(tick * TICK.as_millis() as u64);
        for _ in 0..50 {
            allocator.record_arrival(now, &one, 3.0);
            allocator.record_dispatch(&one, Duration::from_millis(11));
        }
    }
    verify_that!(allocator.fraction(&one).ratio(), near(before, 0.1))
}

/// A request that is admitted at a smaller fraction is admitted at every larger fraction.
#[gtest]
fn rank_same_at_every_hop() -> googletest::Result<()> {
    let admitted = |millis: u16| -> BTreeSet<u32> {
        let fraction = AdmitFraction::from_millis(millis);
        (0..2000).filter(|id| fraction.admits(ShedRank::of(&format!("root-{id}")))).collect()
    };
    let fractions = [0, 100, 333, 500, 900, 1000];
    for pair in fractions.windows(2) {
        verify_that!(admitted(pair[0]).is_subset(&admitted(pair[1])), eq(true))?;
    }
    verify_that!(admitted(500).len(), all![ge(900), le(1100)])
}

#[gtest]
fn feedback_decays_without_news() -> googletest::Result<()> {
    let clock = MilliClock::manual();
    let feedback = ShedFeedback::new(clock.clone());
    let (route, organisation) = ("stock".into(), Some("nord".into()));
    for _ in 0..40 {
        let own = GroupFractions { organisation: AdmitFraction::NONE, class: AdmitFraction::ALL };
        feedback.record(&route, &organisation, own);
    }
    verify_that!(feedback.fraction(&route, &organisation).ratio(), le(0.001))?;
    verify_that!(feedback.admit(&route, &organisation, "r1"), none())?;
    verify_that!(feedback.fraction(&route, &None), eq(AdmitFraction::ALL))?;
    clock.advance(Duration::from_millis(800));
    verify_that!(feedback.fraction(&route, &organisation).ratio(), near(0.5, 0.01))?;
    clock.advance(Duration::from_millis(500));
    verify_that!(feedback.admit(&route, &organisation, "r1"), some(eq(1)))
}

/// The limit finds the server's concurrency from latency alone and keeps it when the server slows
/// down.
#[gtest]
fn observe_finds_slots() -> googletest::Result<()> {
    let mut limit = ConcurrencyLimit::new(64);
    let mut now = 0;
    for service_ms in [10, 100, 10] {
        for _ in 0..200 {
            let running = limit.current();
            let latency = service_ms * running.max(16) as u64 / 16;
            let epoch = limit.epoch();
            now += latency;
            for _ in 0..running.max(1) * 2 {
                let latency = Duration::from_millis(latency);
                limit.observe(MilliTime(now), epoch, true, latency);
            }
        }
        verify_that!(limit.current(), all![ge(16), le(40)])?;
    }
    Ok(())
}

#[gtest]
fn observe_idle_leaves_limit() -> googletest::Result<()> {
    let mut limit = ConcurrencyLimit::new(64);
    for step in 0..1000 {
        let latency = Duration::from_millis(if step < 500 { 5 } else { 500 });
        limit.observe(MilliTime(step * 10), limit.epoch(), false, latency);
    }
    verify_that!(limit.current(), eq(64))
}

#[gtest]
fn observe_refusal_lowers_limit() -> googletest::Result<()> {
    let mut limit = ConcurrencyLimit::new(64);
    limit.observe_refusal(MilliTime(10), 20);
    verify_that!(limit.current(), eq(18))?;
    limit.observe_refusal(MilliTime(10), 20);
    verify_that!(limit.current(), eq(18))
}

#[tokio::test]
async fn complete_refused_lowers_limit() -> googletest::Result<()> {
    let controller = AdmissionController::new(MilliClock::manual(), 64);
    let context = context("r", "nord", RequestClass::Low);
    let mut permits = Vec::new();
    for _ in 0..20 {
        permits.push(
            controller.admit(&context, FAR_DEADLINE).await.expect("the controller has slots"),
        );
    }
    permits.pop().into_iter().for_each(|permit| permit.complete(CallSample::Refused));
    verify_that!(controller.limit(), eq(18))?;
    verify_that!(controller.running(), eq(19))
}

async fn start_chain() -> googletest::Result<Fleet> {
    let objects = [
        organisation("nord", KEY, 100_000.0, 100_000.0),
        read_route("stock-read", "/stock", "stock"),
        read_route("price-read", "/price", "pricing"),
    ];
    let price = SubCall { method: "GET".into(), path: "/price".into() };
    let stock = BackendBehaviour { sub_calls: vec![price], ..BackendBehaviour::default() };
    let plans = [
        NodePlan::new("entry", "az1", BackendBehaviour::default()),
        NodePlan::new("stock", "az1", stock),
        NodePlan::new("pricing", "az1", BackendBehaviour::default()),
    ];
    let configure = |config: &mut lentilway::config::DaemonConfig| {
        config.initial_concurrency = SLOTS;
        config.retry_allowance = 0;
    };
    Fleet::start(&[ticket(1, &objects)], &plans, configure).await.or_fail()
}

async fn send(fleet: &Fleet) -> googletest::Result<(u16, u16)> {
    let limit = ("lentilway-timeout-ms".to_string(), "400".to_string());
    let request = CallerRequest { headers: vec![limit], ..CallerRequest::get("/stock", KEY) };
    let answer = Caller::default().send(fleet.callers()[0], &request).await;
    let answer = answer.map_err(std::io::Error::other)?;
    Ok((answer.code, answer.status))
}

/// Shedding two hops downstream makes the entry daemon shed before any work, until the overload
/// ends.
#[tokio::test]
async fn entry_sheds_for_deep_service() -> googletest::Result<()> {
    let fleet = start_chain().await?;
    let entry = &fleet.nodes[0].daemon.shared;
    let downstream = &fleet.nodes[2].daemon.shared.admission;
    let (route, organisation) = ("stock-read".into(), Some("nord".into()));
    let mut permits = Vec::new();
    for _ in 0..SLOTS {
        permits.push(
            downstream.admit(&context("busy", "busy", RequestClass::High), FAR_DEADLINE).await,
        );
    }
    while entry.feedback.fraction(&route, &organisation).ratio() > 0.5 {
        let calls = futures_util::future::join_all((0..2 * QUEUE).map(|_| send(&fleet)));
        calls.await;
    }
    while send(&fleet).await? != (2007, 503) {}
    let started = fleet.nodes[1].backend.counts().executions;
    let mut shed = 0;
    for _ in 0..200 {
        let before = fleet.nodes[1].backend.counts().executions;
        let code = send(&fleet).await?;
        let ran = fleet.nodes[1].backend.counts().executions - before;
        shed += u64::from(code == (2007, 503) && ran == 0);
    }
    let ran = fleet.nodes[1].backend.counts().executions - started;
    verify_that!(shed, ge(1))?;
    verify_that!(shed + ran, ge(200))?;
    permits.clear();
    while send(&fleet).await? != (1000, 200) {}
    fleet.stop().await;
    Ok(())
}
