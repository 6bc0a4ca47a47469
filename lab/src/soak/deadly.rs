//! Requests that end each upstream that runs them, and the upstreams' return.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use lentilway_stand_ins::platform::upstream::DEADLY_PATH;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::callers::send_once;
use super::history::{CRASH_STABLE_TIME, CallerOutcome, HistoryState, SentRequest};
use super::{POLL_INTERVAL, Soak, UNLIMITED};

/// Time between requests with the same contents, each at the next daemon.
const DEADLY_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time for which they are sent: the third end, the time after which the limit binds, and
/// some more.
const DEADLY_SPAN: Duration = Duration::from_secs(10);
const SENDS_AFTER_CRASHES_MAX: usize = 3;
/// Time after which an upstream that ended is back.
const UPSTREAM_RETURN_TIME: Duration = Duration::from_millis(2_500);

impl Soak {
    /// Sends the same deadly request through one daemon after the other, for `duration` beyond
    /// [`DEADLY_SPAN`].
    pub(super) async fn send_deadly(&self, is_safe: bool, duration: Duration) {
        let span = DEADLY_SPAN + duration;
        let route = if is_safe { "read" } else { "write" };
        let path = format!("/{route}/{DEADLY_PATH}-{}", duration.as_millis());
        let count = (span.as_millis() / DEADLY_INTERVAL.as_millis()) as u32;
        let sends = (0..count).map(async |number| {
            sleep(DEADLY_INTERVAL * number).await;
            let daemon = number as usize % self.nodes.len();
            let id = format!("{DEADLY_PATH}-{}-{number}", duration.as_millis());
            let sent = SentRequest {
                daemon,
                start: self.start_count(daemon),
                route,
                is_safe,
                organisation: UNLIMITED.name,
                key: UNLIMITED.keys[0].to_owned(),
                at: Instant::now(),
                end: None,
            };
            self.history.record_sent(&id, sent);
            let address = self.nodes[daemon].lock().await.plan.outbound;
            let answer = send_once(address, &path, &id, UNLIMITED.keys[0]).await;
            self.history.record_outcome(&id, answer.unwrap_or(CallerOutcome::Cut));
        });
        join_all(sends).await;
    }
}

/// Starts upstreams again that a request has ended, until `end` is set.
pub(super) async fn return_upstreams(soak: Arc<Soak>, end: watch::Receiver<bool>) {
    let mut returns = JoinSet::new();
    while !*end.borrow() {
        for (daemon, instance) in soak.history.take_crashed() {
            let soak = soak.clone();
            returns.spawn(async move {
                sleep(UPSTREAM_RETURN_TIME).await;
                // Another fault may have replaced it already.
                if soak.nodes[daemon].lock().await.upstream_id() == instance {
                    soak.replace_upstream(daemon, Duration::ZERO).await;
                }
            });
        }
        sleep(POLL_INTERVAL).await;
    }
}

impl HistoryState {
    /// A request that has ended three upstreams reaches few more, from daemons in touch.
    pub(super) fn check_deadly(&self, violations: &mut Vec<String>) {
        let mut requests: HashMap<&str, Vec<(Instant, &str)>> = HashMap::new();
        for (id, runs) in &self.runs {
            for (at, run) in runs.iter().filter(|(_, run)| run.path.contains(DEADLY_PATH)) {
                requests.entry(&run.path).or_default().push((*at, id));
            }
        }
        for (path, mut runs) in requests {
            runs.sort_unstable();
            let Some((third, _)) = runs.get(2).copied() else { continue };
            let is_late = |(at, id): &&(Instant, &str)| {
                *at > third + CRASH_STABLE_TIME && self.is_in_touch(id, third, *at)
            };
            let late = runs.iter().filter(is_late).count();
            if late > SENDS_AFTER_CRASHES_MAX {
                violations.push(format!("{path}: {late} sends after the third end of an upstream"));
            }
        }
    }
}
