//! Pulls missing records from peers, and the age of their contact with the log.

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

/// Readers and standby readers pull more often, to notice sooner that another must read the log.
const STANDBY_PULL_PERIOD: Duration = Duration::from_millis(500);

const PULL_TIMEOUT: Duration = Duration::from_millis(1500);

/// With a contact older than this, the daemon pulls from every availability zone.
const STALE_CONTACT_AGE: Duration = Duration::from_secs(5);

/// The highest contact age of a reader in normal operation, with a margin.
const READER_CONTACT_AGE_MAX: Duration = Duration::from_millis(1500);

/// Consecutive pulls from one peer, so that a daemon far behind catches up in one round.
const CONSECUTIVE_PULLS_MAX: usize = 64;

#[derive(Serialize)]
struct DigestEvent {
    next_offset: u64,
    peer: SocketAddr,
}

/// Pulls from peers about once a second, for the lifetime of the daemon.
pub async fn exchange_with_peers(shared: Arc<DaemonShared>) {
    for round in 0.. {
        pull_from_peers(&shared, round).await;
        let jitter = rand::rng().random_range(0.9..1.1);
        let tree = shared.sync.tree();
        let period = if tree.is_standby() { STANDBY_PULL_PERIOD } else { PULL_PERIOD };
        sleep(period.mul_f64(jitter)).await;
    }
}

async fn pull_from_peers(shared: &Arc<DaemonShared>, round: usize) {
    shared.sync.contacts.remove_dead_zones();
    let tree = shared.sync.tree();
    let local = pull_in_zone(shared, &tree);
    let remote = select_remote_peers(shared, &tree, round);
    let remote = join_all(remote.into_iter().map(|address| pull_from(shared, address)));
    tokio::join!(local, remote);
}

/// Pulls from the parent in the tree, or from a random daemon of the zone if there is no parent,
/// it does not answer or its own contact is too old.
async fn pull_in_zone(shared: &Arc<DaemonShared>, tree: &ZoneTree) {
    if let Some(parent) = tree.parent()
        && let Ok(summary) = pull_from(shared, parent).await
        && is_in_contact(&summary, relay_depth(tree.position()) - 1)
    {
        return;
    }
    let pick = rand::rng().random_range(0..tree.len().max(1));
    if let Some(neighbour) = tree.neighbour(pick) {
        // The next round pulls again.
        let _ = pull_from(shared, neighbour).await;
    }
}

/// Whether the contact of a daemon `depth` levels below a reader is as recent as expected.
fn is_in_contact(summary: &StateSummary, depth: usize) -> bool {
    let age_max = READER_CONTACT_AGE_MAX + PULL_PERIOD * depth as u32;
    summary.contact_age_ms.is_some_and(|age| u128::from(age) <= age_max.as_millis())
}

/// In every second round, a daemon of one other zone; while the contact is stale, one of each.
fn select_remote_peers(
    shared: &DaemonShared,
    tree: &ZoneTree,
    round: usize,
) -> BTreeSet<SocketAddr> {
    let candidates = tree.remote_peers(round / 2);
    let zones = shared.sync.contacts.zones();
    let mut peers = BTreeSet::new();
    if shared.version.next_offset() == 0 {
        peers.extend(addresses(&zones).chain(addresses(&candidates)));
        peers.extend(shared.config.seed_peers.iter());
    } else if !round.is_multiple_of(2) {
        return peers;
    } else if is_contact_stale(shared) {
        // Alternates between the daemon that answered last and others, in case it has stopped.
        let chosen = if round.is_multiple_of(4) { &zones } else { &candidates };
        peers.extend(addresses(chosen));
        peers.extend(shared.config.seed_peers.iter());
    } else if !candidates.is_empty() {
        peers.insert(candidates[(round / 2) % candidates.len()].address);
    }
    peers
}

fn addresses(zones: &[ZoneAddress]) -> impl Iterator<Item = SocketAddr> {
    zones.iter().map(|entry| entry.address)
}

fn is_contact_stale(shared: &DaemonShared) -> bool {
    shared.sync.contacts.contact_age().is_none_or(|age| age > STALE_CONTACT_AGE)
}

/// Pulls the records after the state in force from one peer and applies them.
///
/// # Errors
/// [`ResultCode::PeerUnavailable`] if the peer gave no usable answer.
pub async fn pull_from(
    shared: &Arc<DaemonShared>,
    peer: SocketAddr,
) -> Result<StateSummary, ResultCode> {
    for pull in 1.. {
        let sent_at = shared.clock.now();
        let before = shared.version.next_offset();
        let message = PeerMessage::State(StateMessage::Pull { next_offset: before });
        let answer = shared.links.call(peer, message, PULL_TIMEOUT).await?;
        let summary = apply_answer(shared, answer).ok_or(ResultCode::PeerUnavailable)?;
        record_summary(shared, peer, &summary, sent_at);
        let after = shared.version.next_offset();
        if after >= summary.next_offset || after == before || pull == CONSECUTIVE_PULLS_MAX {
            return Ok(summary);
        }
    }
    Err(ResultCode::PeerUnavailable)
}

fn apply_answer(shared: &Arc<DaemonShared>, answer: PeerMessage) -> Option<StateSummary> {
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
                Err(error) => super::snapshot_writer::report_refused(shared, &error),
            }
            shared.sync.contacts.add_zones(&zones);
            Some(summary)
        }
        StateMessage::Pull { .. } | StateMessage::Push { .. } | StateMessage::Unknown => None,
    }
}

/// Records a peer's evidence. Its contact age counts from `sent_at`, before the pull was sent.
fn record_summary(
    shared: &DaemonShared,
    peer: SocketAddr,
    summary: &StateSummary,
    sent_at: MilliTime,
) {
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
