//! Takes new records in, whoever they come from, and hands them on.

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

const REFRESH_PAUSE: Duration = Duration::from_secs(1);

/// Where a part of the state came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StateSource {
    /// Read from the log.
    Log,
    /// Handed on by a peer.
    Push,
    /// Asked of a peer.
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

/// What the tasks that keep the state up to date share.
#[derive(Debug)]
pub struct StateSync {
    /// Evidence of contact with the log and with peers.
    pub contacts: ContactTable,
    tree: ArcSwap<ZoneTree>,
}

impl StateSync {
    /// Without members and without any contact.
    pub fn new(clock: MilliClock) -> Self {
        StateSync { contacts: ContactTable::new(clock), tree: ArcSwap::default() }
    }

    /// The zone's daemons as last seen.
    pub fn tree(&self) -> Arc<ZoneTree> {
        self.tree.load_full()
    }

    /// Whether a state at `next_offset` may be acted on now.
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

/// Folds a batch in, reports it and hands it on to the daemons below in the zone's tree.
pub fn apply_batch(
    shared: &Arc<DaemonShared>,
    batch: &RecordBatch,
    source: StateSource,
) -> ApplyReport {
    let report = shared.version.apply_batch(batch);
    for (offset, outcome) in &report.outcomes {
        report_fold(shared, *offset, *outcome, source);
    }
    if !report.outcomes.is_empty() {
        shared.metrics.count(source.metric());
        hand_on(shared, batch);
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

fn hand_on(shared: &Arc<DaemonShared>, batch: &RecordBatch) {
    for child in shared.sync.tree().children() {
        let message = StateMessage::Push { batch: batch.clone() };
        shared.links.cast(*child, PeerMessage::State(message));
    }
}

fn report_fold(shared: &DaemonShared, offset: u64, outcome: ApplyOutcome, from: StateSource) {
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

/// Refuses a request if the state in force may not be acted on.
///
/// # Errors
/// [`ResultCode::NotReady`] or [`ResultCode::StateStale`].
pub fn permit_request(shared: &DaemonShared, next_offset: u64) -> Result<(), ResultCode> {
    shared.sync.freshness(next_offset).permit()
}

/// Keeps the zone's order up to date for as long as the daemon runs.
pub async fn maintain_zone_tree(shared: Arc<DaemonShared>) {
    let mut changes = shared.members.subscribe();
    loop {
        refresh_zone(&shared);
        if changes.changed().await.is_err() {
            return;
        }
        // Changes that come together are taken in together.
        tokio::time::sleep(REFRESH_PAUSE).await;
        changes.borrow_and_update();
    }
}

fn refresh_zone(shared: &DaemonShared) {
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
