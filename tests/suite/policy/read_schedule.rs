//! Readers of the store whose reads fail, and the daemons that follow them.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::freshness::{FreshnessProof, ReadSchedule, proven_at};

/// Changes of the configuration are in force within this time.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Longest time of a read while the store works.
const READ_TIME: Duration = Duration::from_millis(300);
const STEP_MS: u64 = 10;

/// Replays a daemon that follows a reader by `schedule`. The reader's reads fail from `fails_at`
/// on. Returns when the daemon first reads the store itself, if within ten seconds of that.
fn first_own_read(schedule: ReadSchedule, fails_at: u64, ask_phase: u64) -> Option<MilliTime> {
    let (mut reader, mut follower) = (FreshnessProof::default(), FreshnessProof::default());
    reader.prove(MilliTime(0));
    follower.prove(MilliTime(0));
    let (mut asked, mut check_at) = (MilliTime(0), MilliTime(ask_phase));
    for millis in (0..fails_at + 10_000).step_by(STEP_MS as usize) {
        let now = MilliTime(millis);
        if now >= asked + schedule.changes_wait && millis < fails_at {
            reader.prove(proven_at(asked, true, schedule.changes_wait));
            asked = now;
        }
        if now >= check_at {
            let Some(pause) = schedule.ask_delay(follower.age(now)) else {
                return Some(now);
            };
            let age = reader.age(now).expect("the reader has proof from the start");
            follower.prove(now.before(age));
            check_at = now + pause;
        }
    }
    None
}

/// A change just after the reader's last proof must be read in time, whenever the reader fails.
#[gtest]
fn ask_delay_reader_refused() {
    let schedule = ReadSchedule::CONFIGURATION;
    for fails_at in (3_000..5_000).step_by(STEP_MS as usize) {
        for ask_phase in (0..400).step_by(50) {
            let read = first_own_read(schedule, fails_at, ask_phase)
                .expect("the daemon reads the store itself");
            let last_proof = fails_at - fails_at % schedule.changes_wait.as_millis() as u64;
            let known_after = read.since(MilliTime(last_proof.min(fails_at))) + READ_TIME;
            expect_that!(known_after, le(CONFIG_BOUND), "reader failed at {fails_at}");
        }
    }
}

#[gtest]
fn ask_delay_working_reader() {
    for schedule in [ReadSchedule::CONFIGURATION, ReadSchedule::DIRECTORY] {
        for ask_phase in (0..700).step_by(50) {
            // The reader does not fail within the replayed time.
            let read = first_own_read(schedule, 60_000, ask_phase);
            expect_that!(read.is_none_or(|read| read > MilliTime(60_000)), eq(true));
        }
    }
}
