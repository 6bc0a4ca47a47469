//! Applies new records and snapshots from any source and forwards records to peers.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::Level;
use serde::Serialize;

use super::cell::{ApplyReport, RecordBatch};
use super::contact::{ContactTable, ZoneAddress};
use super::freshness::StateFreshness;
use super::message::StateMessage;
use super::state::{ApplyOutcome, ConfigState};
use super::zone_tree::ZoneTree;
use crate::clock::MilliClock;
use crate::connection::peer_message::PeerMessage;
use crate::error::ResultCode;
use crate::logging::log_event;
use crate::process::shared::DaemonShared;

const REBUILD_DELAY: Duration = Duration::from_secs(1);

/// The source of a batch or snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StateSource {
    /// Read from the log.
    Log,
    /// Forwarded by a peer.
    Push,
    /// Pulled from a peer.
    Pull,
}

impl StateSource {
    fn metric(self) -> &'static str {
        match self {
            StateSource::Log => "ticket_batch_read",
            StateSource::Push => "ticket_batch_pushed",
            StateSource::Pull => "ticket_batch_pulled",
        }
    }
}

/// State shared by the tasks that replicate the configuration.
#[derive(Debug)]
pub struct StateSync {
    /// Evidence of contact with the log and with peers.
    pub contacts: ContactTable,
    tree: ArcSwap<ZoneTree>,
}

impl StateSync {
    /// Without members or contacts.
    pub fn new(clock: MilliClock) -> Self {
        StateSync { contacts: ContactTable::new(clock), tree: ArcSwap::default() }
    }

    /// The relay tree of the current members of the zone.
    pub fn tree(&self) -> Arc<ZoneTree> {
        self.tree.load_full()
    }

    /// The current freshness of a state at `next_offset`.
    pub fn freshness(&self, next_offset: u64) -> StateFreshness {
        if next_offset > 0 && self.contacts.is_recent() {
            return StateFreshness::Confirmed;
        }
        self.contacts.evidence(next_offset).freshness()
    }
}

#[derive(Serialize)]
struct TicketEvent {
    offset: u64,
    ticket: Option<u64>,
    code: u16,
    from: StateSource,
}

#[derive(Serialize)]
struct NewerRecordEvent {
    offset: u64,
    format: u16,
}

#[derive(Serialize)]
struct InstallEvent {
    next_offset: u64,
    from: StateSource,
}

/// Applies a batch, reports its outcomes and forwards it to the children in the zone's tree.
pub fn apply_batch(
    shared: &Arc<DaemonShared>,
    batch: &RecordBatch,
    source: StateSource,
) -> ApplyReport {
    let report = shared.version.apply_batch(batch);
    for (offset, outcome) in &report.outcomes {
        report_outcome(shared, *offset, *outcome, source);
    }
    if !report.outcomes.is_empty() {
        shared.metrics.count(source.metric());
        forward_batch(shared, batch);
    }
    report
}

/// Puts the state of a snapshot in force, if it is newer.
pub fn install_snapshot(shared: &DaemonShared, state: ConfigState, source: StateSource) -> bool {
    let next_offset = state.next_offset;
    let installed = shared.version.install(state);
    if installed {
        shared.metrics.count("snapshot_installed");
        log_event(Level::Info, "snapshot-installed", InstallEvent { next_offset, from: source });
    }
    installed
}

fn forward_batch(shared: &Arc<DaemonShared>, batch: &RecordBatch) {
    for child in shared.sync.tree().children() {
        let message = StateMessage::Push { batch: batch.clone() };
        shared.links.cast(*child, PeerMessage::State(message));
    }
}

fn report_outcome(shared: &DaemonShared, offset: u64, outcome: ApplyOutcome, from: StateSource) {
    let (ticket, code) = (outcome.number(), outcome.code().number());
    let event = TicketEvent { offset, ticket, code, from };
    match outcome {
        ApplyOutcome::Malformed => {
            shared.metrics.count("ticket_malformed");
            log_event(Level::Error, "ticket-malformed", event);
        }
        ApplyOutcome::NewerFormat(format) => {
            shared.metrics.count("ticket_newer_format");
            log_event(Level::Error, "ticket-newer-format", NewerRecordEvent { offset, format });
        }
        _ => log_event(Level::Info, "ticket-folded", event),
    }
}

/// Refuses a request if the state in force is not fresh enough.
///
/// # Errors
/// [`ResultCode::NotReady`] or [`ResultCode::StateStale`].
pub fn permit_request(shared: &DaemonShared, next_offset: u64) -> Result<(), ResultCode> {
    shared.sync.freshness(next_offset).permit()
}

/// Rebuilds the zone's tree when the members change, for the lifetime of the daemon.
pub async fn maintain_zone_tree(shared: Arc<DaemonShared>) {
    let mut changes = shared.members.subscribe();
    loop {
        rebuild_zone_tree(&shared);
        if changes.changed().await.is_err() {
            return;
        }
        // Coalesces changes that come in quick succession.
        tokio::time::sleep(REBUILD_DELAY).await;
        changes.borrow_and_update();
    }
}

fn rebuild_zone_tree(shared: &DaemonShared) {
    let members = shared.members.all_upstreams();
    let zone = &shared.config.availability_zone;
    let tree = ZoneTree::new(&members, shared.instance, zone);
    let mut present = tree.remote_peers(0);
    if let Some(address) = tree.neighbour(0) {
        present.push(ZoneAddress { zone: zone.clone(), address });
    }
    shared.sync.contacts.update_zones(&present);
    shared.sync.tree.store(Arc::new(tree));
}
