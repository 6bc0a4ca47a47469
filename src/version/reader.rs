//! Follows the ticket stream in the daemons that read the log.

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

const READ_WAIT: Duration = Duration::from_millis(500);
const RETRY_PAUSE: Duration = Duration::from_millis(400);
const ROLE_PAUSE: Duration = Duration::from_millis(100);

/// A contact older than this makes the next daemons in the zone's order read the log.
const TAKEOVER_AGE: Duration = Duration::from_secs(2);

/// The pause doubles up to this many times while the log does not answer.
const RETRY_DOUBLINGS: u32 = 2;
const READ_LIMIT: usize = 256;

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

/// Reads the ticket stream whenever it is this daemon's turn, for as long as the daemon runs.
pub async fn follow_tickets(shared: Arc<DaemonShared>) {
    if shared.version.next_offset() == 0 {
        restore_newest(&shared).await;
    }
    let mut failures = 0;
    loop {
        if !is_reading(&shared) {
            sleep(ROLE_PAUSE).await;
            continue;
        }
        match read_once(&shared, READ_WAIT).await {
            Ok(_) => failures = 0,
            Err(LogError::Gap { earliest }) => cross_gap(&shared, earliest).await,
            Err(LogError::Unavailable { .. }) => {
                pause(failures).await;
                failures += 1;
            }
        }
    }
}

/// The zone's readers read; more daemons do while the contact is lost.
fn is_reading(shared: &DaemonShared) -> bool {
    let tree = shared.sync.tree();
    let lost = || shared.sync.contacts.contact_age().is_none_or(|age| age > TAKEOVER_AGE);
    tree.is_reader() || tree.is_standby() && lost()
}

/// Reads one page from the offset in force and takes it in; tells whether it reached the tail.
///
/// # Errors
/// As [`crate::process::platform_log::PlatformLog::read`].
pub async fn read_once(shared: &Arc<DaemonShared>, wait: Duration) -> Result<bool, LogError> {
    let from = shared.version.next_offset();
    // The answer shows the log as it was after the question was sent, however late it is seen.
    let sent_at = shared.clock.now();
    let page = shared.log.read(&StreamName::tickets(), from, READ_LIMIT, wait).await?;
    let tail = page.tail;
    apply_batch(shared, &RecordBatch::of_page(from, page.records), StateSource::Log);
    let next_offset = shared.version.next_offset();
    if tail < from {
        shared.metrics.count("ticket_tail_behind");
        log_event(Level::Error, "ticket-tail-behind", TailEvent { next_offset, tail });
        pause(0).await;
    }
    let reached = next_offset >= tail;
    if reached {
        shared.sync.contacts.confirm(sent_at);
    }
    Ok(reached)
}

/// Records that this daemon lacks have expired: a snapshot, or a peer, must bring it past them.
async fn cross_gap(shared: &Arc<DaemonShared>, earliest: u64) {
    if restore_newest(shared).await {
        return;
    }
    let next_offset = shared.version.next_offset();
    if next_offset >= earliest {
        return;
    }
    shared.metrics.count("ticket_gap");
    log_event(Level::Error, "ticket-gap", GapEvent { next_offset, earliest });
    pause(0).await;
}

async fn pause(failures: u32) {
    let spread = rand::rng().random_range(0.5..1.5);
    let longest = RETRY_PAUSE * 2_u32.pow(failures.min(RETRY_DOUBLINGS));
    sleep(longest.mul_f64(spread)).await;
}
