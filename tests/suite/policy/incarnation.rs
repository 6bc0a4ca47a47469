//! Order of announcements, and the runs that calls belong to.

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::incarnation::{
    AnnouncementDecision, BackendIncarnation, IncarnationTracker,
};
use lentilway::policy::run_registry::RunRegistry;

fn incarnation(id: &str, born: u64) -> BackendIncarnation {
    BackendIncarnation { id: id.into(), born }
}

#[gtest]
fn announce_late_of_dead() {
    let mut order = IncarnationTracker::default();
    order.announce(&incarnation("a", 10), 4);
    expect_that!(order.announce(&incarnation("b", 20), 1), eq(AnnouncementDecision::Replace));
    expect_that!(order.announce(&incarnation("a", 10), 5), eq(AnnouncementDecision::Stale));
}

#[gtest]
fn announce_same_id_restarted() {
    let mut order = IncarnationTracker::default();
    order.announce(&incarnation("a", 10), 40);
    expect_that!(order.announce(&incarnation("a", 90), 1), eq(AnnouncementDecision::Replace));
}

#[gtest]
fn announce_after_leave() {
    let mut order = IncarnationTracker::default();
    let one = incarnation("a", 10);
    order.announce(&one, 4);
    expect_that!(order.leave("a"), some(eq(&one)));
    expect_that!(order.announce(&one, 5), eq(AnnouncementDecision::Stale));
    expect_that!(order.announce(&incarnation("b", 11), 1), eq(AnnouncementDecision::Replace));
}

/// A daemon that restarted after it had acknowledged a leave knows it from the directory.
#[gtest]
fn announce_restored_leave() {
    let mut order = IncarnationTracker::default();
    order.restore_left(incarnation("a", 10));
    expect_that!(order.announce(&incarnation("a", 10), 9), eq(AnnouncementDecision::Stale));
}

#[gtest]
fn leave_of_other() {
    let mut order = IncarnationTracker::default();
    order.announce(&incarnation("b", 20), 1);
    expect_that!(order.leave("a"), none());
}

#[gtest]
fn parent_by_id_before_deadline() {
    let mut book = RunRegistry::default();
    book.start(&"one".into(), MilliTime(1_000), 1);
    book.start(&"two".into(), MilliTime(1_001), 2);
    expect_that!(book.parent("one.77", MilliTime(1_001)), some(eq(&1)));
}

#[gtest]
fn end_forgets() {
    let mut book = RunRegistry::default();
    let entry = book.start(&"one".into(), MilliTime(1_000), 1);
    expect_that!(book.end("one", entry), some(eq(1)));
    expect_that!(book.parent("one.77", MilliTime(1_000)), none());
}
