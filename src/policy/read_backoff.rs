//! When a reader of the store repeats reads that failed or were refused.
//!
//! Handles a store that is down for a while, and one that refuses each position from which a daemon
//! reads on: the first refusal costs one snapshot at once, those that follow it are spread out until
//! changes are read again.

use std::time::Duration;

use super::read_schedule::{ReaderRank, read_retry_delay, snapshot_delay};

/// Failures and refusals in a row of the reads of one topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadBackoff {
    failures: u32,
    refusals: u32,
}

impl ReadBackoff {
    /// Whether the last read failed or proved nothing.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records a read that failed or proved nothing; returns the delay until the next one, spread by
    /// `draw` (0 to 1).
    pub fn record_failure(&mut self, rank: ReaderRank, draw: f64) -> Duration {
        self.failures += 1;
        read_retry_delay(self.failures, rank, draw)
    }

    /// Records that the store refused the position; returns the delay until the snapshot.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::policy::read_backoff::ReadBackoff;
    /// use lentilway::policy::read_schedule::ReaderRank;
    /// let reader = ReaderRank { before: 0, has_reader: false };
    /// let mut backoff = ReadBackoff::default();
    /// assert_eq!(backoff.record_refusal(reader, 0.5), Duration::ZERO);
    /// backoff.record_snapshot();
    /// assert_eq!(backoff.record_refusal(reader, 0.5), Duration::from_millis(150));
    /// backoff.record_changes();
    /// assert_eq!(backoff.record_refusal(reader, 0.5), Duration::ZERO);
    /// ```
    pub fn record_refusal(&mut self, rank: ReaderRank, draw: f64) -> Duration {
        let delay = match self.refusals {
            0 => snapshot_delay(self.failures, rank, draw),
            earlier => read_retry_delay(earlier, rank, draw),
        };
        self.refusals += 1;
        self.failures = 1;
        delay
    }

    /// Records a snapshot that proves the state. Whether the store can be read on from there is open.
    pub fn record_snapshot(&mut self) {
        self.failures = 0;
    }

    /// Records a read of changes that proves the state.
    pub fn record_changes(&mut self) {
        *self = ReadBackoff::default();
    }
}
