//! Reads what is still to come of a refused request.
//!
//! Many callers read an answer only once they have sent their request, and closing a connection with
//! unread bytes resets it: the refusal, and its promise that the request has not run, would be lost.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::{Body, Incoming};
use hyper::header::EXPECT;
use tokio::time::timeout;

/// Longest time for the rest of a body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest pause of a caller that is still sending.
const PAUSE_MAX: Duration = Duration::from_millis(250);

/// Reads the rest of a body without keeping it, for as long as it comes without pauses.
pub(super) async fn discard_body(headers: &HeaderMap, body: &mut Incoming) {
    // Such a caller sends its body only after the answer to the head.
    if headers.contains_key(EXPECT) {
        return;
    }
    let discarded = async {
        while !body.is_end_stream() {
            match timeout(PAUSE_MAX, body.frame()).await {
                Ok(Some(Ok(_))) => {}
                _ => return,
            }
        }
    };
    // The connection is then closed, as it is after a pause.
    let _ = timeout(DISCARD_TIMEOUT, discarded).await;
}
