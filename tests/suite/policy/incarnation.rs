//! Order of announcements, and the registry of running requests.

use googletest::prelude::*;
use lentilway::clock::{ClockReading, MilliTime};
use lentilway::policy::incarnation::{
    AnnouncementDecision, BackendIncarnation, IncarnationTracker, LeaveRecord,
};
use lentilway::policy::run_registry::RunRegistry;

fn incarnation(id: &str, born: u64) -> BackendIncarnation {
    BackendIncarnation { id: id.into(), born }
}

/// The time of day and the monotonic clock, which starts at zero.
fn reading(wall: u64, steady: u64) -> ClockReading {
    ClockReading { wall: MilliTime(wall), steady: MilliTime(steady) }
}

const NOW: ClockReading = ClockReading { wall: MilliTime(1_000), steady: MilliTime(0) };

#[gtest]
fn announce_late_of_dead() {
    let mut tracker = IncarnationTracker::default();
    tracker.announce(NOW, &incarnation("a", 10), 4);
    expect_that!(
        tracker.announce(NOW, &incarnation("b", 20), 1),
        eq(AnnouncementDecision::Replace)
    );
    expect_that!(tracker.announce(NOW, &incarnation("a", 10), 5), eq(AnnouncementDecision::Stale));
}

#[gtest]
fn announce_same_id_restarted() {
    let mut tracker = IncarnationTracker::default();
    tracker.announce(NOW, &incarnation("a", 10), 40);
    expect_that!(
        tracker.announce(NOW, &incarnation("a", 90), 1),
        eq(AnnouncementDecision::Replace)
    );
}

#[gtest]
fn announce_after_leave() {
    let mut tracker = IncarnationTracker::default();
    let one = incarnation("a", 10);
    tracker.announce(NOW, &one, 4);
    let leaves = tracker.leave_of(NOW, "a");
    expect_that!(leaves.incarnation, some(eq(&one)));
    expect_that!(tracker.record_leaves(NOW, &leaves), eq(true));
    expect_that!(tracker.announce(NOW, &one, 5), eq(AnnouncementDecision::Stale));
    expect_that!(
        tracker.announce(NOW, &incarnation("b", 11), 1),
        eq(AnnouncementDecision::Replace)
    );
}

/// A daemon that restarts after it acknowledged a leave restores the leave from the directory.
#[gtest]
fn announce_restored_leave() {
    let mut tracker = IncarnationTracker::default();
    tracker.record_leaves(NOW, &LeaveRecord::of(incarnation("a", 10)));
    expect_that!(tracker.announce(NOW, &incarnation("a", 10), 9), eq(AnnouncementDecision::Stale));
}

#[gtest]
fn leave_of_other() {
    let mut tracker = IncarnationTracker::default();
    tracker.announce(NOW, &incarnation("b", 20), 1);
    let leaves = tracker.leave_of(NOW, "a");
    expect_that!(leaves.incarnation, none());
    tracker.record_leaves(NOW, &leaves);
    expect_that!(tracker.has_current_left(NOW), eq(false));
    expect_that!(tracker.announce(NOW, &incarnation("b", 20), 2), eq(AnnouncementDecision::Update));
}

/// A tracker whose first message at `NOW` is a leave of "a".
fn left_first() -> IncarnationTracker {
    let mut tracker = IncarnationTracker::default();
    let leaves = tracker.leave_of(NOW, "a");
    tracker.record_leaves(NOW, &leaves);
    tracker
}

/// Review 1: a leave that is the first message must hold for late announcements.
#[gtest]
fn leave_first_announce_late() {
    let mut tracker = left_first();
    let decision = tracker.announce(reading(3_000, 2_000), &incarnation("a", 10), 7);
    expect_that!(decision, eq(AnnouncementDecision::Stale));
}

#[gtest]
fn leave_first_new_start() {
    let mut tracker = left_first();
    let decision = tracker.announce(reading(3_000, 2_000), &incarnation("a", 2_900), 1);
    expect_that!(decision, eq(AnnouncementDecision::Replace));
    let mut tracker = left_first();
    let decision = tracker.announce(reading(3_000, 2_000), &incarnation("b", 900), 1);
    expect_that!(decision, eq(AnnouncementDecision::Replace), "another identity");
}

/// The time of day is set back by 2 s between the leave and the new start.
#[gtest]
fn leave_first_new_start_clock_back() {
    let mut tracker = IncarnationTracker::default();
    let noted = reading(100_000, 0);
    let leaves = tracker.leave_of(noted, "a");
    tracker.record_leaves(noted, &leaves);
    let later = reading(99_000, 1_000);
    let late = tracker.announce(later, &incarnation("a", 90_000), 7);
    expect_that!(late, eq(AnnouncementDecision::Stale));
    let new = tracker.announce(later, &incarnation("a", 98_900), 1);
    expect_that!(new, eq(AnnouncementDecision::Replace));
}

/// The time of day is set forward: a start before the leave stays one.
#[gtest]
fn leave_first_late_clock_forward() {
    let mut tracker = left_first();
    let late = tracker.announce(reading(9_000, 1_000), &incarnation("a", 900), 7);
    expect_that!(late, eq(AnnouncementDecision::Stale));
}

/// A wrong clock keeps a new start out for a minute at most.
#[gtest]
fn leave_first_expires() {
    let mut tracker = left_first();
    let start = incarnation("a", 500);
    let early = tracker.announce(reading(61_000, 60_000), &start, 1);
    expect_that!(early, eq(AnnouncementDecision::Stale));
    let later = tracker.announce(reading(61_001, 60_001), &start, 2);
    expect_that!(later, eq(AnnouncementDecision::Replace));
}

/// An older leave that becomes known later does not replace a newer one.
#[gtest]
fn record_older_leave() {
    let mut tracker = IncarnationTracker::default();
    tracker.record_leaves(NOW, &LeaveRecord::of(incarnation("b", 20)));
    let is_new = tracker.record_leaves(NOW, &LeaveRecord::of(incarnation("a", 10)));
    expect_that!(is_new, eq(false));
    expect_that!(tracker.announce(NOW, &incarnation("b", 20), 3), eq(AnnouncementDecision::Stale));
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

/// Servers that state no start: the leave of the second one was not recorded.
#[gtest]
fn leave_without_start() {
    let mut tracker = IncarnationTracker::default();
    for id in ["a", "b"] {
        let server = incarnation(id, 0);
        expect_that!(tracker.announce(NOW, &server, 1), eq(AnnouncementDecision::Replace));
        let leaves = tracker.leave_of(NOW, id);
        expect_that!(tracker.record_leaves(NOW, &leaves), eq(true), "{id}");
        expect_that!(tracker.record_leaves(NOW, &leaves), eq(false), "{id} again");
        expect_that!(tracker.announce(NOW, &server, 2), eq(AnnouncementDecision::Stale));
    }
    // A copy from before the second leave.
    tracker.record_leaves(NOW, &LeaveRecord::of(incarnation("a", 0)));
    expect_that!(tracker.leaves(), eq(&LeaveRecord::of(incarnation("b", 0))));
}
