//! Requests for records over a link, and which of them an answer belongs to.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::MilliTime;

/// For how long a request is remembered. An answer that is under way for longer proves too little to
/// be worth waiting for. A number of requests is no bound: a starting daemon sends one each 0.1 s, and
/// the last eight do not reach back to the one that is answered after a round trip of more than 0.8 s.
const AWAITED_SPAN: Duration = Duration::from_secs(2);

/// The requests for records over one link within `AWAITED_SPAN`. An answer proves the state as of the
/// request that it names, however long it was under way. The intervals between requests bound their
/// number.
#[derive(Debug, Default)]
pub struct RecordRequests {
    awaited: VecDeque<(u64, MilliTime)>,
}

impl RecordRequests {
    /// Records the request `number`, sent at `now`.
    pub fn record(&mut self, number: u64, now: MilliTime) {
        while self.awaited.front().is_some_and(|(_, at)| now.since(*at) > AWAITED_SPAN) {
            self.awaited.pop_front();
        }
        self.awaited.push_back((number, now));
    }

    /// The time of the request that an answer names, if it was sent over this link lately.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::sidecar::connection::record_request::RecordRequests;
    /// let mut requests = RecordRequests::default();
    /// requests.record(7, MilliTime(100));
    /// assert_eq!(requests.requested_at(Some(7)), Some(MilliTime(100)));
    /// assert_eq!(requests.requested_at(Some(8)), None);
    /// ```
    pub fn requested_at(&self, number: Option<u64>) -> Option<MilliTime> {
        let request = self.awaited.iter().find(|(sent, _)| Some(*sent) == number);
        request.map(|(_, at)| *at)
    }
}
