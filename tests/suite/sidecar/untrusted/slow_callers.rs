//! Crowds of callers that make progress, but too little.

use super::*;

/// Bytes that a caller reads in each [`DRIP_INTERVAL`]: little more than what keeps its connection.
const SLOWLY_READ_BYTES: usize = 1_600;
/// A body that counts as small.
const SMALL_BODY_BYTES: usize = 60_000;
/// A timeout of routes longer than the wait of an ordinary caller.
const LONG_TIMEOUT_S: u64 = 60;

/// Guards against callers that keep all connections by reading long answers just above the bound.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_read_slowly_spare_connections() {
    let path = format!("/near/{LONG_ANSWER_BYTES}");
    let caller = || {
        let mut caller = CrowdCaller::sending(head("GET", &path, ""), "");
        caller.read_bytes = SLOWLY_READ_BYTES;
        caller
    };
    face_crowd((0..READERS).map(|_| caller()).collect(), READER_GAP).await;
}

/// Guards against callers that keep all connections with small bodies until the timeout of the route.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn small_bodies_dripped_spare_connections() {
    let caller = |number: usize| {
        let announced = format!("content-length: {SMALL_BODY_BYTES}\r\n");
        match number % 2 {
            0 => CrowdCaller::sending(head("POST", "/near/1", &announced), "a"),
            _ => CrowdCaller::sending(
                head("POST", "/near/1", "transfer-encoding: chunked\r\n"),
                "1\r\na\r\n",
            ),
        }
    };
    let crowd = (0..CROWD).map(caller).collect();
    face_crowd_within(LONG_TIMEOUT_S, crowd, Duration::ZERO).await;
}
