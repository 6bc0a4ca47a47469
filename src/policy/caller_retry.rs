//! When a refused caller should come back.
//!
//! Answers a crowd of callers refused at one moment: they return spread over the time in which
//! room is expected, and early enough to use the time that they have left. One that has returned
//! has no further try, so it goes before those that come for the first time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The part of the remaining time that a caller is asked to wait at most; callers ignore more than
/// a third.
const REMAINING_PART_MAX: f64 = 0.3;
/// Room is expected within this time unless the refusing side knows better.
const EXPECTED_ROOM: Duration = Duration::from_millis(600);
/// No caller is asked to come back sooner.
const WAIT_MIN: Duration = Duration::from_millis(50);

/// The time to wait: between half and one and a half times the expected time, by `draw` (0 to 1),
/// within the caller's remaining time.
///
/// ```
/// use std::time::Duration;
/// use lentilway::policy::caller_retry::retry_delay;
/// let wait = retry_delay(Duration::from_secs(1), None, 0.5);
/// assert_eq!(wait, Duration::from_millis(300));
/// ```
pub fn retry_delay(remaining: Duration, room_in: Option<Duration>, draw: f64) -> Duration {
    let expected = room_in.unwrap_or(EXPECTED_ROOM).mul_f64(0.5 + draw);
    expected.min(remaining.mul_f64(REMAINING_PART_MAX)).max(WAIT_MIN)
}

/// A request with less than this part of the usual time has spent the rest on an earlier try: the
/// shortest return time of a request without other knowledge is a twentieth of most deadlines.
const FIRST_TRY_PART: f64 = 0.96;

/// Tells callers that return from those that come for the first time, by the time that they have.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    usual: HashMap<Arc<str>, Duration>,
}

impl RetryDetector {
    /// Forgets the routes that are not among those that `is_known` names.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.usual.retain(|route, _| is_known(route));
    }

    /// Whether a request for `route` whose caller waits for `stated` was tried before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::policy::caller_retry::RetryDetector;
    /// let mut signs = RetryDetector::default();
    /// let route = "stock".into();
    /// assert!(!signs.is_retry(&route, Duration::from_secs(6)));
    /// assert!(signs.is_retry(&route, Duration::from_secs(5)));
    /// ```
    pub fn is_retry(&mut self, route: &Arc<str>, stated: Duration) -> bool {
        match self.usual.get_mut(route) {
            Some(usual) => {
                *usual = stated.max(*usual);
                stated < usual.mul_f64(FIRST_TRY_PART)
            }
            None => {
                self.usual.insert(route.clone(), stated);
                false
            }
        }
    }
}
