//! State shared by the calls of one request at a daemon.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use super::admission::ConcurrencySlot;
use super::fraction::GroupFractions;
use super::report::CallReport;

/// Tracks the calls of one request at a daemon: shed feedback, failures and the time waited for
/// them.
#[derive(Debug)]
pub struct CallTracker {
    fractions: Mutex<GroupFractions>,
    failed: AtomicBool,
    waits: Mutex<CallWaits>,
    slot: OnceLock<Arc<ConcurrencySlot>>,
}

#[derive(Debug, Default)]
struct CallWaits {
    running: u32,
    since: Option<Instant>,
    total: Duration,
}

/// Marks a call as running until it is dropped.
#[derive(Debug)]
pub struct CallWait<'a> {
    tracker: &'a CallTracker,
}

impl Default for CallTracker {
    fn default() -> Self {
        CallTracker {
            fractions: Mutex::new(GroupFractions::ALL),
            failed: AtomicBool::new(false),
            waits: Mutex::default(),
            slot: OnceLock::new(),
        }
    }
}

impl CallTracker {
    /// Records an upstream's report.
    pub fn record_report(&self, report: &CallReport) {
        self.record_fractions(report.fractions);
    }

    /// Records fractions that are admitted here or downstream.
    pub fn record_fractions(&self, fractions: GroupFractions) {
        let mut lowest = self.fractions.lock().expect("lock not poisoned");
        *lowest = lowest.min(fractions);
    }

    /// The smallest fractions recorded.
    pub fn fractions(&self) -> GroupFractions {
        *self.fractions.lock().expect("lock not poisoned")
    }

    /// Records that a call failed after its retries, so that no earlier hop retries because of it.
    pub fn mark_failed(&self) {
        self.failed.store(true, Ordering::Release);
    }

    /// Whether a call failed after its retries.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::Acquire)
    }

    /// Sets the slot that is released while calls run.
    pub fn set_slot(&self, slot: Arc<ConcurrencySlot>) {
        // The slot is set only once, because a request is admitted once.
        let _ = self.slot.set(slot);
    }

    /// Records a running call until the returned value is dropped.
    pub fn start_wait(&self) -> CallWait<'_> {
        let mut waits = self.waits.lock().expect("lock not poisoned");
        waits.running += 1;
        if waits.running == 1 {
            waits.since = Some(Instant::now());
            self.slot.get().into_iter().for_each(|slot| slot.release());
        }
        CallWait { tracker: self }
    }

    /// Total time so far during which at least one call was running.
    pub fn wait_time(&self) -> Duration {
        let waits = self.waits.lock().expect("lock not poisoned");
        waits.total + waits.since.map(|since| since.elapsed()).unwrap_or_default()
    }
}

impl Drop for CallWait<'_> {
    fn drop(&mut self) {
        let mut waits = self.tracker.waits.lock().expect("lock not poisoned");
        waits.running -= 1;
        if waits.running == 0
            && let Some(since) = waits.since.take()
        {
            waits.total += since.elapsed();
            self.tracker.slot.get().into_iter().for_each(|slot| slot.reacquire());
        }
    }
}
