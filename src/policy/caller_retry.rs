//! Retries by refused callers: the delay until a retry, and how a retry is detected.
//!
//! Handles many callers refused at one moment: their retries are spread over the time in which
//! capacity is expected, and early enough to use the time that they have left. A caller retries
//! once, so retries are admitted before first attempts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Largest fraction of its remaining time that a caller is asked to wait; callers ignore more than
/// a third.
const REMAINING_FRACTION_MAX: f64 = 0.3;
/// Time until capacity is expected if the refusing side gives no estimate.
const EXPECTED_DELAY: Duration = Duration::from_millis(600);
/// Shortest delay until a retry.
const DELAY_MIN: Duration = Duration::from_millis(50);

/// The delay until a refused caller should retry: 0.5 to 1.5 times the expected time, by `draw` (0
/// to 1), bounded by the caller's remaining time.
///
/// ```
/// use std::time::Duration;
/// use lentilway::policy::caller_retry::retry_delay;
/// let delay = retry_delay(Duration::from_secs(1), None, 0.5);
/// assert_eq!(delay, Duration::from_millis(300));
/// ```
pub fn retry_delay(remaining: Duration, capacity_in: Option<Duration>, draw: f64) -> Duration {
    let expected = capacity_in.unwrap_or(EXPECTED_DELAY).mul_f64(0.5 + draw);
    expected.min(remaining.mul_f64(REMAINING_FRACTION_MAX)).max(DELAY_MIN)
}

/// The delay until a caller without a token should retry: 0.5 to 1.5 times the time until tokens
/// come, by `draw` (0 to 1). Where the caller's remaining time is shorter, the delays are spread over
/// the second half of what it allows, so that the refused callers do not return in one wave.
///
/// ```
/// use std::time::Duration;
/// use lentilway::policy::caller_retry::token_retry_delay;
/// let (remaining, tokens_in) = (Duration::from_secs(1), Duration::from_secs(4));
/// let [first, last] = [0.0, 1.0].map(|draw| token_retry_delay(remaining, tokens_in, draw));
/// assert_eq!(first, Duration::from_millis(150));
/// assert_eq!(last, Duration::from_millis(300));
/// ```
pub fn token_retry_delay(remaining: Duration, tokens_in: Duration, draw: f64) -> Duration {
    let latest = remaining.mul_f64(REMAINING_FRACTION_MAX);
    let last = tokens_in.mul_f64(1.5).max(DELAY_MIN).min(latest);
    let first = tokens_in.mul_f64(0.5).max(DELAY_MIN).min(latest / 2);
    first + last.saturating_sub(first).mul_f64(draw)
}

/// A request that states less than this fraction of the usual time has spent the rest on an earlier
/// attempt. Without a capacity estimate, the shortest retry delay is a twentieth of most deadlines.
const FIRST_ATTEMPT_FRACTION: f64 = 0.96;

/// Distinguishes retries from first attempts by the time that callers state.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    usual: HashMap<Arc<str>, Duration>,
}

impl RetryDetector {
    /// Removes the routes for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.usual.retain(|route, _| is_known(route));
    }

    /// Whether a request for `route` whose caller waits for `stated` is a retry.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::policy::caller_retry::RetryDetector;
    /// let mut detector = RetryDetector::default();
    /// let route = "stock".into();
    /// assert!(!detector.is_retry(&route, Duration::from_secs(6)));
    /// assert!(detector.is_retry(&route, Duration::from_secs(5)));
    /// ```
    pub fn is_retry(&mut self, route: &Arc<str>, stated: Duration) -> bool {
        match self.usual.get_mut(route) {
            Some(usual) => {
                *usual = stated.max(*usual);
                stated < usual.mul_f64(FIRST_ATTEMPT_FRACTION)
            }
            None => {
                self.usual.insert(route.clone(), stated);
                false
            }
        }
    }
}
