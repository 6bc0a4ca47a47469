//! Zones whose upstreams are to get nothing for a while.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::Soak;
use super::history::{HistoryState, daemon_of};
use super::node::{ZONES, zone_name};

/// Time until an evacuation is in force, from the settings of a daemon without another value.
pub(super) const EVACUATION_TIMEOUT: Duration = Duration::from_secs(5);

impl Soak {
    /// Evacuates a zone for `duration`.
    pub(super) async fn evacuate_zone(&self, zone: usize, duration: Duration) {
        self.set_evacuated(zone, true).await;
        let from = Instant::now();
        sleep(duration).await;
        self.history.record_evacuation(zone, from, Instant::now());
        self.set_evacuated(zone, false).await;
    }

    async fn set_evacuated(&self, zone: usize, is_evacuated: bool) {
        let mut config = self.config.lock().await;
        config.evacuated[zone] = Some(is_evacuated);
        self.store.write_evacuation(&zone_name(zone), is_evacuated);
    }

    /// Writes the state of all zones again, which the store may have lost.
    pub(super) async fn rewrite_evacuations(&self) {
        let config = self.config.lock().await;
        for (zone, evacuated) in config.evacuated.iter().enumerate() {
            if let Some(is_evacuated) = evacuated {
                self.store.write_evacuation(&zone_name(zone), *is_evacuated);
            }
        }
    }
}

impl HistoryState {
    /// No request reaches an upstream of an evacuated zone from a daemon in touch.
    pub(super) fn check_evacuations(&self, violations: &mut Vec<String>) {
        for (zone, from, until) in &self.evacuations {
            let binding = *from + EVACUATION_TIMEOUT;
            for (id, runs) in &self.runs {
                for (at, run) in runs.iter().filter(|(at, _)| *at > binding && at < until) {
                    let is_inside =
                        daemon_of(&run.instance).is_some_and(|daemon| daemon % ZONES == *zone);
                    if is_inside && self.is_in_touch(id, *from, *at) {
                        violations.push(format!("reached an evacuated zone: {run:?}"));
                    }
                }
            }
        }
    }
}
