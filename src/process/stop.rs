//! Planned stop.

use std::pin::Pin;
use std::sync::Mutex;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::logging::log_event;

/// Tells every task that the daemon is stopping.
#[derive(Clone, Debug)]
pub struct StopSignal {
    stopping: watch::Sender<bool>,
}

impl Default for StopSignal {
    fn default() -> Self {
        StopSignal { stopping: watch::Sender::new(false) }
    }
}

impl StopSignal {
    /// Starts the stop.
    pub fn raise(&self) {
        self.stopping.send_replace(true);
    }

    /// Whether the stop has started.
    pub fn is_raised(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Waits until the stop has started.
    pub async fn raised(&self) {
        let mut stopping = self.stopping.subscribe();
        // The sender lives in self, so the wait cannot fail.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    }
}

/// Counts the calls of peers that run here.
#[derive(Clone, Debug)]
pub struct InFlightCalls {
    count: watch::Sender<usize>,
}

impl Default for InFlightCalls {
    fn default() -> Self {
        InFlightCalls { count: watch::Sender::new(0) }
    }
}

/// One running call; it has ended when this is dropped.
#[derive(Debug)]
pub struct InFlightCall {
    count: watch::Sender<usize>,
}

impl InFlightCalls {
    /// Counts a call until the result is dropped.
    pub fn enter(&self) -> InFlightCall {
        self.count.send_modify(|count| *count += 1);
        InFlightCall { count: self.count.clone() }
    }

    /// Waits until no call runs.
    pub async fn drained(&self) {
        let mut count = self.count.subscribe();
        // The sender lives in self, so the wait cannot fail.
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

/// How long each step of a release may take; what it holds then lapses by its lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// What the daemon hands back in a planned stop, after the last request here has ended, of callers
/// and of peers, and while peers can still be reached.
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
    /// Adds a step; steps run one after another, in the order in which they were added.
    pub fn add<F>(&self, name: &'static str, step: impl FnOnce() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let step: ReleaseStep = Box::new(move || Box::pin(step()));
        self.steps.lock().expect("no holder panics").push((name, step));
    }

    /// Runs every step; one that hangs is given up.
    pub async fn run(&self) {
        let steps = std::mem::take(&mut *self.steps.lock().expect("no holder panics"));
        for (name, step) in steps {
            let finished = timeout(RELEASE_TIMEOUT, step()).await.is_ok();
            log_event(Level::Info, "released", ReleaseEvent { step: name, finished });
        }
    }
}
