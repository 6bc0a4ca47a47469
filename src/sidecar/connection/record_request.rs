//! Requests for records over a link, and which of them an answer belongs to.

use smallvec::SmallVec;

use crate::clock::MilliTime;

/// Requests whose answers are awaited; answers to earlier ones prove nothing.
const AWAITED_MAX: usize = 8;

/// The last requests for records over one link. An answer proves the state as of the request that it
/// names, however long it was under way.
#[derive(Debug, Default)]
pub(crate) struct RecordRequests {
    awaited: SmallVec<[(u64, MilliTime); AWAITED_MAX]>,
}

impl RecordRequests {
    /// Records the request `number`, sent at `now`.
    pub(crate) fn record(&mut self, number: u64, now: MilliTime) {
        if self.awaited.len() == AWAITED_MAX {
            self.awaited.remove(0);
        }
        self.awaited.push((number, now));
    }

    /// The time of the request that an answer names, if it was sent over this link lately.
    pub(crate) fn requested_at(&self, number: Option<u64>) -> Option<MilliTime> {
        let request = self.awaited.iter().find(|(sent, _)| Some(*sent) == number);
        request.map(|(_, at)| *at)
    }
}
