//! Admission queue: which requests run, wait or are refused because they cannot finish in time.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::admission_queue::{
    AdmissionDecision, AdmissionQueue, AdmissionRefusal, AdmissionRequest, RunEnd, WaitOutcome,
    WaitTicket,
};
use lentilway::policy::request_rank::RequestRank;

use super::model::{DeepService, EntryRule, RootKind};

const SLOTS: usize = 4;
/// Slots that the queue uses.
const LIMIT: usize = 3;

fn request(rank: RequestRank, due: u64, deadline: u64) -> AdmissionRequest {
    AdmissionRequest { rank, due: MilliTime(due), deadline: MilliTime(deadline) }
}

/// A queue at its limit whose runs take 50 ms.
fn full_queue() -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(MilliTime(0));
    queue.set_slots(SLOTS);
    for rank in [RequestRank::root(0), RequestRank::call(0)] {
        for _ in 0..200 {
            queue.offer(MilliTime(0), request(rank, 9_000, 9_000));
            queue.finish(MilliTime(0), rank, Duration::from_millis(50), RunEnd::Answered);
        }
    }
    for _ in 0..LIMIT {
        let decision = queue.offer(MilliTime(0), request(RequestRank::call(0), 9_000, 9_000));
        assert_eq!(decision, AdmissionDecision::Run);
    }
    queue
}

fn wait(queue: &mut AdmissionQueue, request: AdmissionRequest) -> WaitTicket {
    match queue.offer(MilliTime(0), request) {
        AdmissionDecision::Wait(ticket) => ticket,
        other => panic!("expected a wait, got {other:?}"),
    }
}

fn free_slot(queue: &mut AdmissionQueue, now: u64) -> Option<(WaitTicket, WaitOutcome)> {
    queue.finish(MilliTime(now), RequestRank::call(0), Duration::from_millis(50), RunEnd::Answered);
    queue.next(MilliTime(now))
}

#[gtest]
fn offer_no_backend() {
    let mut queue = AdmissionQueue::new(MilliTime(0));
    let decision = queue.offer(MilliTime(0), request(RequestRank::root(0), 100, 100));
    expect_that!(decision, eq(AdmissionDecision::Refuse(AdmissionRefusal::NoBackend)));
}

#[gtest]
fn offer_full_infeasible_refused_at_once() {
    let mut queue = full_queue();
    let decision = queue.offer(MilliTime(0), request(RequestRank::call(0), 20, 20));
    expect_that!(decision, matches_pattern!(AdmissionDecision::Refuse(anything())));
}

/// A root that would be late is refused; a call of a running request is not.
#[gtest]
fn offer_full_late() {
    let mut queue = full_queue();
    let root = queue.offer(MilliTime(0), request(RequestRank::root(0), 40, 2_000));
    expect_that!(root, matches_pattern!(AdmissionDecision::Refuse(anything())));
    let call = queue.offer(MilliTime(0), request(RequestRank::call(0), 40, 2_000));
    expect_that!(call, matches_pattern!(AdmissionDecision::Wait(anything())));
}

/// A root with a short deadline is not starved by a standing queue of calls with more time.
#[gtest]
fn next_short_root_before_calls() {
    let mut queue = full_queue();
    for _ in 0..10 {
        wait(&mut queue, request(RequestRank::call(0), 1_500, 4_500));
    }
    let root = wait(&mut queue, request(RequestRank::root(0), 300, 1_200));
    expect_that!(free_slot(&mut queue, 1), eq(Some((root, WaitOutcome::Run))));
}

#[gtest]
fn next_call_of_run_before_root_with_time() {
    let mut queue = full_queue();
    wait(&mut queue, request(RequestRank::root(0), 1_500, 4_500));
    let call = wait(&mut queue, request(RequestRank::call(0), 1_500, 4_500));
    expect_that!(free_slot(&mut queue, 1), eq(Some((call, WaitOutcome::Run))));
}

#[gtest]
fn next_limit_kept() {
    let mut queue = full_queue();
    wait(&mut queue, request(RequestRank::call(0), 1_500, 4_500));
    expect_that!(queue.next(MilliTime(1)), none());
}

#[gtest]
fn next_no_slots_refuses_all() {
    let mut queue = full_queue();
    let ticket = wait(&mut queue, request(RequestRank::call(0), 1_500, 4_500));
    queue.set_slots(0);
    let refused = WaitOutcome::Refuse(AdmissionRefusal::NoBackend);
    expect_that!(queue.next(MilliTime(1)), eq(Some((ticket, refused))));
}

#[gtest]
fn take_infeasible_passed() {
    let mut queue = full_queue();
    let ticket = wait(&mut queue, request(RequestRank::call(0), 200, 200));
    expect_that!(queue.take_infeasible(MilliTime(100)), is_empty());
    expect_that!(queue.take_infeasible(MilliTime(190)), eq(&vec![ticket]));
}

#[gtest]
fn abandon_waiting() {
    let mut queue = full_queue();
    let ticket = wait(&mut queue, request(RequestRank::call(0), 1_500, 4_500));
    expect_that!(queue.abandon(ticket), eq(true));
    expect_that!(free_slot(&mut queue, 1), none());
}

/// A server that hangs when it is full must never get more than the queue's limit.
#[gtest]
fn replay_overload_limit_kept() {
    let kind = RootKind {
        name: "price",
        priority: 1,
        per_second: 900.0,
        calls: 0,
        work_ms: 96,
        credit: 1.0,
        due_ms: 300,
        deadline_ms: 1_200,
    };
    let result = DeepService::new(&[kind], EntryRule::Open, 24, 3).run(5);
    expect_that!(result.max_running, le(22));
    expect_that!(result.served["price"], gt(0));
}

/// A backend server that refuses at once holds no slot: refused requests and their retries must not
/// count as demand for its slots.
#[gtest]
fn load_refused_runs_no_demand() {
    let mut queue = AdmissionQueue::new(MilliTime(0));
    queue.set_slots(24);
    let rank = RequestRank::call(0);
    for step in 0..2_000_u64 {
        let now = MilliTime(step * 2);
        let deadline = now + Duration::from_secs(2);
        queue.offer(now, AdmissionRequest { rank, deadline, due: deadline });
        queue.finish(now, rank, Duration::from_millis(1), RunEnd::Refused);
    }
    // 500 requests a second of 50 ms each would need 25 slots, of 1 ms each half a slot.
    expect_that!(queue.load(MilliTime(4_000)).demand_permille, lt(100));
}
