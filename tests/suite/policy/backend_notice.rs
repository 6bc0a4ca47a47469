//! Notices of a backend server whose daemon restarts, or that restarts itself.

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::backend_notice::{
    BackendNotice, KnownNotice, NoticeMemory, NoticeTracker, RequestLimit, StatedLimit,
};
use lentilway::policy::incarnation::BackendIncarnation;

fn server(id: &str, born: u64) -> BackendIncarnation {
    BackendIncarnation { id: id.into(), born }
}

fn rate(per_second: f64) -> RequestLimit {
    RequestLimit::new(per_second).expect("the limit is a finite number")
}

fn notice(limit: StatedLimit) -> BackendNotice {
    BackendNotice { limit, ..BackendNotice::default() }
}

fn known(incarnation: BackendIncarnation, limit: f64) -> KnownNotice {
    KnownNotice { incarnation, limit: Some(rate(limit)), is_leaving: false }
}

fn tracker() -> NoticeTracker {
    let mut tracker = NoticeTracker::default();
    tracker.set_current(&server("a", 1));
    tracker
}

#[gtest]
fn observe_unreadable_keeps_limit() {
    let mut tracker = tracker();
    tracker.observe(&server("a", 1), &notice(StatedLimit::Rate(rate(4.0))));
    tracker.observe(&server("a", 1), &notice(StatedLimit::Unreadable));
    expect_that!(tracker.limit(), some(eq(rate(4.0))));
    tracker.observe(&server("a", 1), &notice(StatedLimit::Absent));
    expect_that!(tracker.limit(), none());
}

/// A server that starts again under its id has stated nothing yet, and late answers of its former
/// run say nothing of it.
#[gtest]
fn observe_former_incarnation() {
    let mut tracker = tracker();
    tracker.observe(&server("a", 1), &notice(StatedLimit::Rate(rate(4.0))));
    tracker.set_current(&server("a", 2));
    expect_that!(tracker.limit(), none());
    tracker.observe(&server("a", 1), &notice(StatedLimit::Rate(rate(4.0))));
    expect_that!(tracker.limit(), none());
}

#[gtest]
fn repeat_until_own_answer() {
    let mut tracker = tracker();
    tracker.repeat(known(server("a", 1), 3.0));
    expect_that!(tracker.limit(), some(eq(rate(3.0))));
    tracker.observe(&server("a", 1), &notice(StatedLimit::Absent));
    tracker.repeat(known(server("a", 1), 3.0));
    expect_that!(tracker.limit(), none());
}

/// Calls may arrive before the first heartbeat that a restarted daemon gets.
#[gtest]
fn repeat_before_announcement() {
    let mut tracker = NoticeTracker::default();
    tracker.repeat(known(server("a", 1), 3.0));
    expect_that!(tracker.limit(), none());
    tracker.set_current(&server("a", 1));
    expect_that!(tracker.limit(), some(eq(rate(3.0))));
    let mut other = NoticeTracker::default();
    other.repeat(known(server("a", 1), 3.0));
    other.set_current(&server("b", 1));
    expect_that!(other.limit(), none());
}

/// A leave is final for its incarnation, whoever says so and whatever later answers lack.
#[gtest]
fn observe_leaving_final() {
    let leaving = BackendNotice { is_leaving: true, ..BackendNotice::default() };
    let mut tracker = tracker();
    tracker.observe(&server("a", 1), &leaving);
    tracker.observe(&server("a", 1), &BackendNotice::default());
    expect_that!(tracker.is_leaving(), eq(true));
    let heard = tracker.known();
    tracker.set_current(&server("a", 2));
    expect_that!(tracker.is_leaving(), eq(false));
    expect_that!(tracker.known(), none());
    let mut restarted = self::tracker();
    restarted.observe(&server("a", 1), &BackendNotice::default());
    heard.into_iter().for_each(|notice| restarted.repeat(notice));
    expect_that!(restarted.is_leaving(), eq(true));
}

#[gtest]
fn record_answers_replace() {
    let mut memory = NoticeMemory::default();
    memory.record(MilliTime(1), 7, Some(known(server("a", 1), 3.0)));
    expect_that!(memory.notice(7), some(eq(&known(server("a", 1), 3.0))));
    expect_that!(memory.notice(8), none());
    memory.record(MilliTime(2), 7, None);
    expect_that!(memory.notice(7), none());
}

#[gtest]
fn record_many_bounded() {
    let mut memory = NoticeMemory::default();
    for instance in 0..2_000 {
        memory.record(MilliTime(instance), instance, Some(known(server("a", 1), 3.0)));
    }
    expect_that!(memory.notice(0), none());
    expect_that!(memory.notice(1_999), some(anything()));
    let kept = (0..2_000).filter(|instance| memory.notice(*instance).is_some()).count();
    expect_that!(kept, eq(1_024));
}
