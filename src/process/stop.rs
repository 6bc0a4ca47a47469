//! Signals, counters and release steps of a planned stop.

use std::pin::Pin;
use std::sync::Mutex;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::logging::log_event;

/// Notifies tasks of a phase of the stop.
#[derive(Clone, Debug)]
pub struct StopSignal {
    raised: watch::Sender<bool>,
}

impl Default for StopSignal {
    fn default() -> Self {
        StopSignal { raised: watch::Sender::new(false) }
    }
}

impl StopSignal {
    /// Raises the signal.
    pub fn raise(&self) {
        self.raised.send_replace(true);
    }

    /// Whether the signal is raised.
    pub fn is_raised(&self) -> bool {
        *self.raised.borrow()
    }

    /// Waits until the signal is raised.
    pub async fn raised(&self) {
        let mut raised = self.raised.subscribe();
        // `self` owns the sender, so the wait cannot fail.
        let _ = raised.wait_for(|raised| *raised).await;
    }
}

/// Counts the calls of peers that are in flight here.
#[derive(Clone, Debug)]
pub struct InFlightCalls {
    count: watch::Sender<usize>,
}

impl Default for InFlightCalls {
    fn default() -> Self {
        InFlightCalls { count: watch::Sender::new(0) }
    }
}

/// Guard of a call in flight; dropping it ends the call.
#[derive(Debug)]
pub struct InFlightCall {
    count: watch::Sender<usize>,
}

impl InFlightCalls {
    /// Counts a call until the returned guard is dropped.
    pub fn enter(&self) -> InFlightCall {
        self.count.send_modify(|count| *count += 1);
        InFlightCall { count: self.count.clone() }
    }

    /// Waits until no call is in flight.
    pub async fn drained(&self) {
        let mut count = self.count.subscribe();
        // `self` owns the sender, so the wait cannot fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}

type ReleaseFuture = Pin<Box<dyn Future<Output = ()> + Send>>;
type ReleaseStep = Box<dyn FnOnce() -> ReleaseFuture + Send>;

/// Timeout of each release step. What a step does not release then expires with its lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Release steps of a planned stop. They run after the last request of callers and peers has
/// ended, while peers are still reachable.
#[derive(Default)]
pub struct ReleaseList {
    steps: Mutex<Vec<(&'static str, ReleaseStep)>>,
}

#[derive(Serialize)]
struct ReleaseEvent {
    step: &'static str,
    finished: bool,
}

impl ReleaseList {
    /// Adds a step. Steps run one after another, in the order in which they were added.
    pub fn add<F>(&self, name: &'static str, step: impl FnOnce() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let step: ReleaseStep = Box::new(move || Box::pin(step()));
        self.steps.lock().expect("lock not poisoned").push((name, step));
    }

    /// Runs every step, each limited by a timeout.
    pub async fn run(&self) {
        let steps = std::mem::take(&mut *self.steps.lock().expect("lock not poisoned"));
        for (name, step) in steps {
            let finished = timeout(RELEASE_TIMEOUT, step()).await.is_ok();
            log_event(Level::Info, "released", ReleaseEvent { step: name, finished });
        }
    }
}
