//! Anti-entropy: compares the member table with another daemon's and exchanges what differs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::gossip::MemberGossip;
use super::message::MemberMessage;
use crate::connection::control_link::ControlLinks;
use crate::connection::peer_message::PeerMessage;

const SYNC_TIMEOUT: Duration = Duration::from_secs(5);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Synchronises the table with each daemon received on `requests`.
pub async fn serve_syncs(
    links: Arc<ControlLinks>,
    gossip: Arc<MemberGossip>,
    mut requests: mpsc::Receiver<SocketAddr>,
) {
    while let Some(address) = requests.recv().await {
        sync_with(&links, &gossip, address).await;
    }
}

/// Synchronises the table with one other daemon, trying seeds and known members until one answers.
pub async fn bootstrap(
    links: Arc<ControlLinks>,
    gossip: Arc<MemberGossip>,
    seeds: Vec<SocketAddr>,
) {
    let mut delay = MIN_RETRY_DELAY;
    let own = gossip.own().instance.address;
    loop {
        let known = gossip.table().all_upstreams();
        let known = known.iter().map(|member| member.instance.address);
        let mut candidates: Vec<SocketAddr> = known.chain(seeds.iter().copied()).collect();
        candidates.retain(|address| *address != own);
        let candidate = candidates.choose(&mut rand::rng()).copied();
        if let Some(address) = candidate
            && sync_with(&links, &gossip, address).await
        {
            return;
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Exchanges differing entries with the daemon at `address`. Returns false if it did not answer.
pub async fn sync_with(
    links: &Arc<ControlLinks>,
    gossip: &Arc<MemberGossip>,
    address: SocketAddr,
) -> bool {
    let digests = gossip.table().digests().to_vec();
    let compare = PeerMessage::Members(MemberMessage::Compare { digests });
    let answer = links.call(address, compare, SYNC_TIMEOUT).await;
    let Ok(PeerMessage::Members(MemberMessage::Entries { digests, entries })) = answer else {
        return false;
    };
    gossip.merge_many(entries);
    let entries = gossip.table().differing(&digests);
    if !entries.is_empty() {
        let digests = gossip.table().digests().to_vec();
        let message = MemberMessage::Entries { digests, entries };
        links.cast(address, PeerMessage::Members(message));
    }
    true
}
