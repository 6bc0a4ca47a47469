//! Whether a backend server is expected to send answers too many.
//!
//! Handles faulty servers that answer some requests twice for a while: the second answer takes the
//! place of the next one on its connection, and the outcome of that request is lost. A request that
//! must not run twice then gets a connection of its own, which costs the server a little and the
//! caller nothing.

use std::time::Duration;

use crate::clock::MilliTime;

/// Time after an answer too many in which more are expected.
pub const DOUBT_SPAN: Duration = Duration::from_secs(10);

/// The last answer too many of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct SurplusDoubt {
    last: Option<MilliTime>,
}

impl SurplusDoubt {
    /// Records an answer too many.
    pub fn note(&mut self, now: MilliTime) {
        self.last = Some(now);
    }

    /// Whether more of them are expected.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::surplus_doubt::SurplusDoubt;
    /// let mut doubt = SurplusDoubt::default();
    /// assert!(!doubt.is_raised(MilliTime(1_000)));
    /// doubt.note(MilliTime(1_000));
    /// assert!(doubt.is_raised(MilliTime(2_000)));
    /// ```
    pub fn is_raised(&self, now: MilliTime) -> bool {
        self.last.is_some_and(|last| now.since(last) < DOUBT_SPAN)
    }
}
