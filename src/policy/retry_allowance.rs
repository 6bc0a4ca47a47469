//! Bounds second sends to a backend server by the requests for its service.
//!
//! Answers failing or hanging backend servers under load: retries that exceed a small part of the
//! demand would add to the load that makes them fail.

use std::collections::HashMap;
use std::sync::Arc;

/// Retries per request, well below the fleet's bound of 0.2: a retried run makes its own calls
/// again, which count at the services called.
pub const RETRIES_PER_REQUEST: f64 = 0.08;
/// Retries that one daemon may save up. The sum over a fleet of 14 stays under its slack of 50.
pub const SAVED_RETRIES_MAX: f64 = 2.0;

/// Saved retries by service.
#[derive(Clone, Debug, Default)]
pub struct RetryAllowance {
    saved: HashMap<Arc<str>, f64>,
}

impl RetryAllowance {
    /// Counts a first send to `service`.
    pub fn earn(&mut self, service: &Arc<str>) {
        let saved = match self.saved.get_mut(service) {
            Some(saved) => saved,
            None => self.saved.entry(service.clone()).or_insert(1.0),
        };
        *saved = (*saved + RETRIES_PER_REQUEST).min(SAVED_RETRIES_MAX);
    }

    /// Takes one retry if one is saved.
    ///
    /// ```
    /// use lentilway::policy::retry_allowance::RetryAllowance;
    /// let mut allowance = RetryAllowance::default();
    /// assert!(!allowance.spend("stock"));
    /// allowance.earn(&"stock".into());
    /// assert!(allowance.spend("stock"));
    /// assert!(!allowance.spend("stock"));
    /// ```
    pub fn spend(&mut self, service: &str) -> bool {
        match self.saved.get_mut(service) {
            Some(saved) if *saved >= 1.0 => {
                *saved -= 1.0;
                true
            }
            _ => false,
        }
    }
}
