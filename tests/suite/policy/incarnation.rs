//! Order of announcements, and the registry of running requests.

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
    let mut tracker = IncarnationTracker::default();
    tracker.announce(&incarnation("a", 10), 4);
    expect_that!(tracker.announce(&incarnation("b", 20), 1), eq(AnnouncementDecision::Replace));
    expect_that!(tracker.announce(&incarnation("a", 10), 5), eq(AnnouncementDecision::Stale));
}

#[gtest]
fn announce_same_id_restarted() {
    let mut tracker = IncarnationTracker::default();
    tracker.announce(&incarnation("a", 10), 40);
    expect_that!(tracker.announce(&incarnation("a", 90), 1), eq(AnnouncementDecision::Replace));
}

#[gtest]
fn announce_after_leave() {
    let mut tracker = IncarnationTracker::default();
    let one = incarnation("a", 10);
    tracker.announce(&one, 4);
    expect_that!(tracker.leave("a"), some(eq(&one)));
    expect_that!(tracker.announce(&one, 5), eq(AnnouncementDecision::Stale));
    expect_that!(tracker.announce(&incarnation("b", 11), 1), eq(AnnouncementDecision::Replace));
}

/// A daemon that restarts after it acknowledged a leave restores the leave from the directory.
#[gtest]
fn announce_restored_leave() {
    let mut tracker = IncarnationTracker::default();
    tracker.restore_left(incarnation("a", 10));
    expect_that!(tracker.announce(&incarnation("a", 10), 9), eq(AnnouncementDecision::Stale));
}

#[gtest]
fn leave_of_other() {
    let mut tracker = IncarnationTracker::default();
    tracker.announce(&incarnation("b", 20), 1);
    expect_that!(tracker.leave("a"), none());
}

#[gtest]
fn parent_by_id_before_deadline() {
    let mut registry = RunRegistry::default();
    registry.start(&"one".into(), MilliTime(1_000), 1);
    registry.start(&"two".into(), MilliTime(1_001), 2);
    expect_that!(registry.parent("one.77", MilliTime(1_001)), some(eq(&1)));
}

#[gtest]
fn end_removes() {
    let mut registry = RunRegistry::default();
    let key = registry.start(&"one".into(), MilliTime(1_000), 1);
    expect_that!(registry.end("one", key), some(eq(1)));
    expect_that!(registry.parent("one.77", MilliTime(1_000)), none());
}
