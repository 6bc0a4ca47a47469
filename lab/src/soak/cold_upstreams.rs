//! Upstreams that become cold: the requests that reach one in a second are bounded.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::Soak;
use super::history::{HistoryState, max_within};

/// Requests per second that a cold upstream takes, as the configuration states.
pub(super) const COLD_PER_SECOND: f64 = 15.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 8.0;
/// The bounds on requests to cold upstreams in the settings of a daemon.
pub(super) const COLD_BOUNDS: &str = "cold_overage = 1.5\ncold_slack = 8\n";
const COLD_WINDOW: Duration = Duration::from_secs(1);

impl Soak {
    /// Has an upstream become cold for `duration`.
    pub(super) async fn chill_upstream(&self, number: usize, duration: Duration) {
        let from = Instant::now();
        let instance = {
            let node = self.nodes[number].lock().await;
            let Some(upstream) = &node.upstream else { return };
            upstream.become_cold(duration);
            node.upstream_id()
        };
        self.history.record_cold(&instance, from, from + duration);
        sleep(duration).await;
    }
}

impl HistoryState {
    /// No cold upstream gets more requests in a second than the bound, whatever the daemons know.
    pub(super) fn check_cold(&self, violations: &mut Vec<String>) {
        let bound = COLD_PER_SECOND * COLD_OVERAGE + COLD_SLACK;
        for (instance, from, until) in &self.cold {
            let runs = self.runs.values().flatten();
            let mut received: Vec<Instant> = runs
                .filter(|(at, run)| run.instance == *instance && at >= from && at < until)
                .map(|(at, _)| *at)
                .collect();
            received.sort_unstable();
            let max = max_within(&received, COLD_WINDOW);
            if max as f64 > bound {
                violations.push(format!("{instance}: {max} in a second while cold, bound {bound}"));
            }
        }
    }
}
