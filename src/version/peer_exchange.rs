//! Asks peers for what this daemon lacks and for their contact with the log.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use log::Level;
use rand::Rng;
use serde::Serialize;
use tokio::time::sleep;

use super::contact::ZoneAddress;
use super::message::{StateMessage, StateSummary, digest_prefix};
use super::snapshot::decode_snapshot;
use super::sync::{StateSource, apply_batch, install_snapshot};
use super::zone_tree::{ZoneTree, relay_depth};
use crate::clock::MilliTime;
use crate::connection::peer_message::PeerMessage;
use crate::error::ResultCode;
use crate::logging::log_event;
use crate::process::shared::DaemonShared;

const PULL_PERIOD: Duration = Duration::from_secs(1);

/// Readers, and the daemons that would read the log next, ask more often, to see sooner that
/// another must read.
const STANDBY_PULL_PERIOD: Duration = Duration::from_millis(500);

const PULL_TIMEOUT: Duration = Duration::from_millis(1500);

/// A contact older than this makes the daemon ask every availability zone.
const SUSPECT_AGE: Duration = Duration::from_secs(5);

/// How old a reader's contact is at most while all is well, with a margin.
const READER_AGE: Duration = Duration::from_millis(1500);

/// Pulls in a row, so that a daemon far behind catches up at once.
const PULLS_IN_A_ROW: usize = 64;

#[derive(Serialize)]
struct DigestEvent {
    next_offset: u64,
    peer: SocketAddr,
}

/// Asks peers once a second for as long as the daemon runs.
pub async fn exchange_with_peers(shared: Arc<DaemonShared>) {
    for turn in 0.. {
        ask_peers(&shared, turn).await;
        let spread = rand::rng().random_range(0.9..1.1);
        let tree = shared.sync.tree();
        let period = if tree.is_standby() { STANDBY_PULL_PERIOD } else { PULL_PERIOD };
        sleep(period.mul_f64(spread)).await;
    }
}

async fn ask_peers(shared: &Arc<DaemonShared>, turn: usize) {
    shared.sync.contacts.remove_dead_zones();
    let tree = shared.sync.tree();
    let near = ask_near(shared, &tree);
    let far = far_peers(shared, &tree, turn);
    let far = join_all(far.into_iter().map(|address| pull_from(shared, address)));
    tokio::join!(near, far);
}

/// Asks the daemon above in the tree, and another of the zone if that one does not answer or has
/// lost its own contact.
async fn ask_near(shared: &Arc<DaemonShared>, tree: &ZoneTree) {
    if let Some(parent) = tree.parent()
        && let Ok(summary) = pull_from(shared, parent).await
        && is_in_contact(&summary, relay_depth(tree.position()) - 1)
    {
        return;
    }
    let draw = rand::rng().random_range(0..tree.len().max(1));
    if let Some(neighbour) = tree.neighbour(draw) {
        // The next turn asks again.
        let _ = pull_from(shared, neighbour).await;
    }
}

/// Whether a daemon `depth` steps below a reader has the contact that it should have.
fn is_in_contact(summary: &StateSummary, depth: usize) -> bool {
    let usual = READER_AGE + PULL_PERIOD * depth as u32;
    summary.contact_age_ms.is_some_and(|age| u128::from(age) <= usual.as_millis())
}

/// Every other turn, one daemon of one other zone; while the contact is in doubt, one of each.
fn far_peers(shared: &DaemonShared, tree: &ZoneTree, turn: usize) -> BTreeSet<SocketAddr> {
    let partners = tree.remote_peers(turn / 2);
    let zones = shared.sync.contacts.zones();
    let mut peers = BTreeSet::new();
    if shared.version.next_offset() == 0 {
        peers.extend(addresses(&zones).chain(addresses(&partners)));
        peers.extend(shared.config.seed_peers.iter());
    } else if !turn.is_multiple_of(2) {
        return peers;
    } else if in_doubt(shared) {
        // The daemon that answered last, and others in case it is gone.
        let asked = if turn.is_multiple_of(4) { &zones } else { &partners };
        peers.extend(addresses(asked));
        peers.extend(shared.config.seed_peers.iter());
    } else if !partners.is_empty() {
        peers.insert(partners[(turn / 2) % partners.len()].address);
    }
    peers
}

fn addresses(zones: &[ZoneAddress]) -> impl Iterator<Item = SocketAddr> {
    zones.iter().map(|entry| entry.address)
}

fn in_doubt(shared: &DaemonShared) -> bool {
    shared.sync.contacts.contact_age().is_none_or(|age| age > SUSPECT_AGE)
}

/// Asks one peer for what follows the state in force, and takes it in.
///
/// # Errors
/// [`ResultCode::PeerUnavailable`] if the peer gave no answer of use.
pub async fn pull_from(
    shared: &Arc<DaemonShared>,
    peer: SocketAddr,
) -> Result<StateSummary, ResultCode> {
    for pull in 1.. {
        let sent_at = shared.clock.now();
        let before = shared.version.next_offset();
        let message = PeerMessage::State(StateMessage::Pull { next_offset: before });
        let answer = shared.links.call(peer, message, PULL_TIMEOUT).await?;
        let summary = take_answer(shared, answer).ok_or(ResultCode::PeerUnavailable)?;
        learn(shared, peer, &summary, sent_at);
        let after = shared.version.next_offset();
        if after >= summary.next_offset || after == before || pull == PULLS_IN_A_ROW {
            return Ok(summary);
        }
    }
    Err(ResultCode::PeerUnavailable)
}

fn take_answer(shared: &Arc<DaemonShared>, answer: PeerMessage) -> Option<StateSummary> {
    let PeerMessage::State(answer) = answer else { return None };
    match answer {
        StateMessage::Current { summary } => Some(summary),
        StateMessage::Records { summary, batch } => {
            apply_batch(shared, &batch, StateSource::Pull);
            Some(summary)
        }
        StateMessage::Snapshot { summary, body, zones } => {
            match decode_snapshot(&body) {
                Ok(state) => {
                    install_snapshot(shared, state, StateSource::Pull);
                }
                Err(fault) => super::snapshot_writer::report_refused(shared, &fault),
            }
            shared.sync.contacts.add_zones(&zones);
            Some(summary)
        }
        StateMessage::Pull { .. } | StateMessage::Push { .. } | StateMessage::Unknown => None,
    }
}

/// Takes a peer's evidence in; its age counts from before the question was sent.
fn learn(shared: &DaemonShared, peer: SocketAddr, summary: &StateSummary, sent_at: MilliTime) {
    let contacts = &shared.sync.contacts;
    contacts.record_answer(&summary.zone, peer, summary.next_offset);
    let digest = shared.version.digest_at(summary.next_offset);
    if digest.is_some_and(|digest| digest_prefix(&digest) != summary.digest_prefix) {
        shared.metrics.count("state_digest_differs");
        let next_offset = summary.next_offset;
        log_event(Level::Error, "state-digest-differs", DigestEvent { next_offset, peer });
        return;
    }
    let caught_up = summary.next_offset <= shared.version.next_offset();
    let contact = summary.contact_age_ms.and_then(|age| sent_at.0.checked_sub(age));
    if let Some(time) = contact.filter(|_| caught_up) {
        contacts.confirm(MilliTime(time));
    }
}
