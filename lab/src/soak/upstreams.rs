//! Faults of upstreams and of their answers.

use std::time::Duration;

use lentilway_stand_ins::platform::answer_faults::AnswerFaultPlan;
use tokio::time::sleep;

use super::history::{LIMIT_STABLE_TIME, LIMIT_WINDOW};
use super::{POLL_INTERVAL, Soak};

/// Limits stated by upstreams reach from 0 to about the usual load.
const LIMIT_PER_SECOND_OF_FAULT: f64 = 8.0;

impl Soak {
    pub(super) async fn replace_upstream(&self, number: usize, pause: Duration) {
        self.nodes[number].lock().await.upstream = None;
        sleep(pause).await;
        let mut node = self.nodes[number].lock().await;
        // Connections of the old upstream may still hold its port.
        while node.start_upstream(&self.history).await.is_err() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Has the upstream state a limit for `duration` beyond the time from which it binds; a longer
    /// one states a higher limit.
    pub(super) async fn limit_upstream(&self, number: usize, duration: Duration) {
        let limit = (duration.as_secs_f64() * LIMIT_PER_SECOND_OF_FAULT).round();
        self.set_limit(number, Some(limit)).await;
        sleep(LIMIT_STABLE_TIME + LIMIT_WINDOW + duration).await;
        self.set_limit(number, None).await;
    }

    async fn set_limit(&self, number: usize, limit: Option<f64>) {
        if let Some(upstream) = &self.nodes[number].lock().await.upstream {
            upstream.set_limit(limit);
        }
    }

    /// Has all upstreams refuse requests and copy answers for `duration`, each with draws of its own.
    pub(super) async fn copy_answers(&self, plan: AnswerFaultPlan, duration: Duration) {
        for (number, node) in self.nodes.iter().enumerate() {
            let seed = plan.seed ^ number as u64;
            node.lock().await.answer_faults.set(Some(AnswerFaultPlan { seed, ..plan }));
        }
        sleep(duration).await;
        for node in &self.nodes {
            node.lock().await.answer_faults.set(None);
        }
    }
}
