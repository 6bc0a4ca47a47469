//! Compares the table with that of another daemon and evens out what differs.

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
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const PAUSE_LIMIT: Duration = Duration::from_secs(5);

/// Compares with each daemon that `asked` names.
pub async fn serve_syncs(
    hub: Arc<ControlLinks>,
    gossip: Arc<MemberGossip>,
    mut asked: mpsc::Receiver<SocketAddr>,
) {
    while let Some(address) = asked.recv().await {
        sync_with(&hub, &gossip, address).await;
    }
}

/// Takes the table of one other daemon over, asking seeds and known members until one answers.
pub async fn bootstrap(hub: Arc<ControlLinks>, gossip: Arc<MemberGossip>, seeds: Vec<SocketAddr>) {
    let mut pause = FIRST_PAUSE;
    let own = gossip.own().instance.address;
    loop {
        let known = gossip.table().all_upstreams();
        let known = known.iter().map(|member| member.instance.address);
        let mut candidates: Vec<SocketAddr> = known.chain(seeds.iter().copied()).collect();
        candidates.retain(|address| *address != own);
        let candidate = candidates.choose(&mut rand::rng()).copied();
        if let Some(address) = candidate
            && sync_with(&hub, &gossip, address).await
        {
            return;
        }
        sleep(pause).await;
        pause = (pause * 2).min(PAUSE_LIMIT);
    }
}

/// Exchanges the entries that differ with the daemon at `address`; false if it did not answer.
pub async fn sync_with(
    hub: &Arc<ControlLinks>,
    gossip: &Arc<MemberGossip>,
    address: SocketAddr,
) -> bool {
    let digests = gossip.table().digests().to_vec();
    let compare = PeerMessage::Members(MemberMessage::Compare { digests });
    let answer = hub.call(address, compare, SYNC_TIMEOUT).await;
    let Ok(PeerMessage::Members(MemberMessage::Entries { digests, entries })) = answer else {
        return false;
    };
    gossip.merge_many(entries);
    let entries = gossip.table().differing(&digests);
    if !entries.is_empty() {
        let digests = gossip.table().digests().to_vec();
        let message = MemberMessage::Entries { digests, entries };
        hub.cast(address, PeerMessage::Members(message));
    }
    true
}
