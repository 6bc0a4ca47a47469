//! Tails the ticket stream in the daemons that read the log.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use rand::Rng;
use serde::Serialize;
use tokio::time::sleep;

use super::cell::RecordBatch;
use super::snapshot_writer::restore_newest;
use super::sync::{StateSource, apply_batch};
use crate::logging::log_event;
use crate::process::platform_log::{LogError, StreamName};
use crate::process::shared::DaemonShared;

const LONG_POLL_WAIT: Duration = Duration::from_millis(500);
const RETRY_BACKOFF: Duration = Duration::from_millis(400);
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// With a contact older than this, the standby readers of the zone read the log too.
const TAKEOVER_AGE: Duration = Duration::from_secs(2);

/// The backoff doubles up to this many times while the log does not answer.
const BACKOFF_DOUBLINGS_MAX: u32 = 2;
const READ_RECORDS_MAX: usize = 256;

#[derive(Serialize)]
struct GapEvent {
    next_offset: u64,
    earliest: u64,
}

#[derive(Serialize)]
struct TailEvent {
    next_offset: u64,
    tail: u64,
}

/// Reads the ticket stream while this daemon is a reader, for the lifetime of the daemon.
pub async fn follow_tickets(shared: Arc<DaemonShared>) {
    if shared.version.next_offset() == 0 {
        restore_newest(&shared).await;
    }
    let mut failures = 0;
    loop {
        if !is_reading(&shared) {
            sleep(ROLE_CHECK_PERIOD).await;
            continue;
        }
        match read_once(&shared, LONG_POLL_WAIT).await {
            Ok(_) => failures = 0,
            Err(LogError::Gap { earliest }) => recover_from_gap(&shared, earliest).await,
            Err(LogError::Unavailable { .. }) => {
                back_off(failures).await;
                failures += 1;
            }
        }
    }
}

/// Readers always read the log; standby readers do so while the contact is lost.
fn is_reading(shared: &DaemonShared) -> bool {
    let tree = shared.sync.tree();
    let is_lost = || shared.sync.contacts.contact_age().is_none_or(|age| age > TAKEOVER_AGE);
    tree.is_reader() || tree.is_standby() && is_lost()
}

/// Reads one page from the offset in force and applies it; returns whether it reached the tail.
///
/// # Errors
/// As [`crate::process::platform_log::PlatformLog::read`].
pub async fn read_once(shared: &Arc<DaemonShared>, wait: Duration) -> Result<bool, LogError> {
    let from = shared.version.next_offset();
    // The page reflects the log at some time after the read was sent, however late it arrives.
    let sent_at = shared.clock.now();
    let page = shared.log.read(&StreamName::tickets(), from, READ_RECORDS_MAX, wait).await?;
    let tail = page.tail;
    apply_batch(shared, &RecordBatch::of_page(from, page.records), StateSource::Log);
    let next_offset = shared.version.next_offset();
    // What was read before lies beyond this tail, so the page shows an earlier state.
    let is_behind = tail < from;
    if is_behind {
        shared.metrics.count("ticket_tail_behind");
        log_event(Level::Error, "ticket-tail-behind", TailEvent { next_offset, tail });
        back_off(0).await;
    }
    let reached_tail = !is_behind && next_offset >= tail;
    if reached_tail {
        shared.sync.contacts.confirm(sent_at);
    }
    Ok(reached_tail)
}

/// Missing records have expired: only a snapshot or a peer can supply the state beyond them.
async fn recover_from_gap(shared: &Arc<DaemonShared>, earliest: u64) {
    if restore_newest(shared).await {
        return;
    }
    let next_offset = shared.version.next_offset();
    if next_offset >= earliest {
        return;
    }
    shared.metrics.count("ticket_gap");
    log_event(Level::Error, "ticket-gap", GapEvent { next_offset, earliest });
    back_off(0).await;
}

async fn back_off(failures: u32) {
    let jitter = rand::rng().random_range(0.5..1.5);
    let backoff = RETRY_BACKOFF * 2_u32.pow(failures.min(BACKOFF_DOUBLINGS_MAX));
    sleep(backoff.mul_f64(jitter)).await;
}
