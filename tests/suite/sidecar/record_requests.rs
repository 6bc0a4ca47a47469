//! Which request for records an answer belongs to.

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::sidecar::connection::record_request::RecordRequests;

/// Milliseconds between the requests of a starting daemon.
const REQUEST_INTERVAL: u64 = 100;
/// The longest round trip that the history covers, in milliseconds.
const ROUND_TRIP_MAX: u64 = 2_000;

/// Only the last eight requests were remembered: answers that took longer than 0.8 s proved nothing.
#[gtest]
fn requested_at_any_round_trip() {
    for round_trip in (0..=ROUND_TRIP_MAX).step_by(50) {
        let mut requests = RecordRequests::default();
        for number in 0..200 {
            let now = number * REQUEST_INTERVAL;
            requests.record(number, MilliTime(now));
            // The newest request whose answer is here by now.
            let Some(answered) = now.checked_sub(round_trip).map(|at| at / REQUEST_INTERVAL) else {
                continue;
            };
            let expected = MilliTime(answered * REQUEST_INTERVAL);
            expect_that!(requests.requested_at(Some(answered)), some(eq(expected)), "{round_trip}");
            expect_that!(requests.requested_at(Some(number + 1)), none());
            expect_that!(requests.requested_at(None), none());
        }
    }
}

/// What is remembered does not grow with the time for which a link is open.
#[gtest]
fn requested_at_after_span() {
    let mut requests = RecordRequests::default();
    for number in 0..200 {
        requests.record(number, MilliTime(number * REQUEST_INTERVAL));
    }
    let remembered = (0..200).filter(|number| requests.requested_at(Some(*number)).is_some());
    expect_that!(remembered.count() as u64, le(ROUND_TRIP_MAX / REQUEST_INTERVAL + 1));
}
