//! Brings claims and ends to the daemons that decide their shards.
//!
//! In a large fleet they go through a relay in the own availability zone, which sends many on at
//! once: an owner then holds a link to each zone and not to each daemon.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use super::message::{ClaimMessage, ClaimRequest};
use super::owner::OwnerTable;
use super::shard_state::ClaimVerdict;
use super::shards::ShardTable;
use super::worker::{AttemptEnd, PendingClaim, ShardCommand, collect_queued};
use crate::clock::{MilliClock, MilliTime};
use crate::connection::control_link::ControlLinks;
use crate::connection::peer_message::PeerMessage;
use crate::process::members::InstanceId;
use crate::process::metrics::EventCounters;

/// How long one daemon may take to decide a claim before the next is asked.
const DECIDE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a relay gathers before it sends on.
const RELAY_GATHER_TIME: Duration = Duration::from_millis(50);
const RELAY_IDLE_LIMIT: Duration = Duration::from_secs(60);
const RELAY_QUEUE: usize = 8192;

const NO_ANSWER: ClaimAnswer = ClaimAnswer { verdict: ClaimVerdict::Unavailable, in_doubt: false };

/// The way from a claimant to the owners of the shards.
pub struct ClaimForwarder {
    /// This daemon.
    pub instance: InstanceId,
    /// The process's clock.
    pub clock: MilliClock,
    /// Control links.
    pub hub: Arc<ControlLinks>,
    /// Who decides which shard.
    pub owners: Arc<OwnerTable>,
    /// The shards that are decided here.
    pub shards: ShardTable,
    /// For operators.
    pub events: EventCounters,
    /// Tasks that gather for a shard's owner.
    pub relays: Mutex<HashMap<u16, mpsc::Sender<ShardCommand>>>,
}

/// A verdict, and whether the claim may yet land on the stream by another way.
#[derive(Clone, Copy, Debug)]
pub struct ClaimAnswer {
    /// What the stream decided, as far as it is known.
    pub verdict: ClaimVerdict,
    /// Whether a daemon that took the claim gave no verdict.
    pub in_doubt: bool,
}

impl ClaimForwarder {
    /// Asks for the verdict on a claim, through the zone's relay if there is one.
    pub async fn request_verdict(&self, claim: &ClaimRequest, deadline: MilliTime) -> ClaimAnswer {
        let mut in_doubt = false;
        if let Some(relay) = self.owners.relay(claim.key.shard()) {
            let wait = self.turn(deadline);
            let message =
                ClaimMessage::RelayClaim { boot: relay.boot, claim: *claim, wait_ms: millis(wait) };
            match self.call(relay, message, wait).await {
                Some(ClaimMessage::Verdicts { verdicts }) => {
                    if let Some(verdict) = verdicts.first().filter(|one| one.is_decided()) {
                        return ClaimAnswer { verdict: *verdict, in_doubt };
                    }
                }
                _ => self.suspect(relay),
            }
            in_doubt = true;
        }
        let answers = self.ask_owners(std::slice::from_ref(claim), deadline).await;
        let answer = answers.first().copied().unwrap_or(NO_ANSWER);
        ClaimAnswer { in_doubt: in_doubt || answer.in_doubt, ..answer }
    }

    /// Asks the candidates of a shard in turn until each of its `claims` has a verdict.
    async fn ask_owners(&self, claims: &[ClaimRequest], deadline: MilliTime) -> Vec<ClaimAnswer> {
        let mut answers = vec![NO_ANSWER; claims.len()];
        let Some(shard) = claims.first().map(|claim| claim.key.shard()) else {
            return answers;
        };
        for candidate in self.owners.candidates(shard) {
            let open: Vec<usize> =
                (0..claims.len()).filter(|index| !answers[*index].verdict.is_decided()).collect();
            let wait = self.turn(deadline);
            if open.is_empty() || wait.is_zero() {
                break;
            }
            let asked = open.iter().map(|index| claims[*index]).collect();
            let given = self.ask_owner(candidate, asked, wait).await;
            if given.is_none() {
                self.suspect(candidate);
            }
            let mut given = given.unwrap_or_default().into_iter();
            for index in open {
                let verdict = given.next().unwrap_or(ClaimVerdict::Unavailable);
                let in_doubt = answers[index].in_doubt || !verdict.is_decided();
                answers[index] = ClaimAnswer { verdict, in_doubt };
            }
        }
        answers
    }

    /// Half of what is left, so that the next candidate has a turn.
    fn turn(&self, deadline: MilliTime) -> Duration {
        (deadline.until(self.clock.now()) / 2).min(DECIDE_TIMEOUT)
    }

    fn suspect(&self, instance: InstanceId) {
        self.events.count("claim_owner_silent");
        self.owners.mark_suspect(instance);
    }

    async fn ask_owner(
        &self,
        owner: InstanceId,
        claims: Vec<ClaimRequest>,
        wait: Duration,
    ) -> Option<Vec<ClaimVerdict>> {
        if owner == self.instance {
            return timeout(wait, self.shards.decide(&claims)).await.ok();
        }
        match self.call(owner, ClaimMessage::Claims { boot: owner.boot, claims }, wait).await? {
            ClaimMessage::Verdicts { verdicts } => Some(verdicts),
            _ => None,
        }
    }

    /// Puts ends, all of one shard, on its stream, through the zone's relay if there is one.
    pub async fn send_ends(&self, shard: u16, ends: &[AttemptEnd]) -> bool {
        if let Some(relay) = self.owners.relay(shard) {
            let message = ClaimMessage::RelayEnds { boot: relay.boot, ends: ends.to_vec() };
            match self.call(relay, message, DECIDE_TIMEOUT).await {
                Some(ClaimMessage::EndsTaken { taken: true }) => return true,
                Some(_) => {}
                None => self.suspect(relay),
            }
        }
        self.send_ends_to_owners(shard, ends).await
    }

    async fn send_ends_to_owners(&self, shard: u16, ends: &[AttemptEnd]) -> bool {
        for candidate in self.owners.candidates(shard) {
            if self.send_ends_to(candidate, ends.to_vec()).await {
                return true;
            }
        }
        false
    }

    async fn send_ends_to(&self, owner: InstanceId, ends: Vec<AttemptEnd>) -> bool {
        if owner == self.instance {
            let taken = timeout(DECIDE_TIMEOUT, self.shards.append_ends(ends)).await;
            return taken.unwrap_or(false);
        }
        let reply =
            self.call(owner, ClaimMessage::Ends { boot: owner.boot, ends }, DECIDE_TIMEOUT).await;
        matches!(reply, Some(ClaimMessage::EndsTaken { taken: true }))
    }

    /// Sends a message to a peer and waits for the reply.
    pub async fn call(
        &self,
        peer: InstanceId,
        message: ClaimMessage,
        wait: Duration,
    ) -> Option<ClaimMessage> {
        let message = PeerMessage::Claims(message);
        match self.hub.call(peer.address, message, wait).await {
            Ok(PeerMessage::Claims(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Relays a claim of another daemon in this zone.
    pub async fn relay_claim(
        self: &Arc<Self>,
        claim: ClaimRequest,
        wait: Duration,
    ) -> ClaimVerdict {
        let (reply, verdict) = oneshot::channel();
        self.relay(claim.key.shard(), ShardCommand::Claim(PendingClaim { claim, reply }));
        let verdict = timeout(wait, verdict).await;
        verdict.ok().and_then(Result::ok).unwrap_or(ClaimVerdict::Unavailable)
    }

    /// Relays ends, all of one shard, of another daemon in this zone.
    pub async fn relay_ends(self: &Arc<Self>, ends: Vec<AttemptEnd>) -> bool {
        let Some(shard) = ends.first().map(|end| end.key.shard()) else {
            return true;
        };
        let (reply, taken) = oneshot::channel();
        self.relay(shard, ShardCommand::Ends(ends, reply));
        taken.await.unwrap_or(false)
    }

    fn relay(self: &Arc<Self>, shard: u16, order: ShardCommand) {
        let mut relays = self.relays.lock().expect("no holder panics");
        let open = relays.get(&shard).filter(|relay| !relay.is_closed()).cloned();
        let relay = open.unwrap_or_else(|| {
            let (sender, orders) = mpsc::channel(RELAY_QUEUE);
            tokio::spawn(run_relay(self.clone(), shard, orders));
            relays.insert(shard, sender.clone());
            sender
        });
        if relay.try_send(order).is_err() {
            self.events.count("claim_queue_full");
        }
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Gathers what the zone has for one shard and sends it on until nothing came for a while.
async fn run_relay(
    forwarder: Arc<ClaimForwarder>,
    shard: u16,
    mut orders: mpsc::Receiver<ShardCommand>,
) {
    while let Ok(Some(first)) = timeout(RELAY_IDLE_LIMIT, orders.recv()).await {
        sleep(RELAY_GATHER_TIME).await;
        let orders = collect_queued(vec![first], &mut orders);
        // The next ones gather while these are on their way.
        tokio::spawn(send_on(forwarder.clone(), shard, orders));
    }
}

async fn send_on(forwarder: Arc<ClaimForwarder>, shard: u16, orders: Vec<ShardCommand>) {
    let (mut claims, mut ends, mut enders) = (Vec::new(), Vec::new(), Vec::new());
    for order in orders {
        match order {
            ShardCommand::Claim(order) => claims.push(order),
            ShardCommand::Ends(entries, reply) => {
                ends.extend(entries);
                enders.push(reply);
            }
        }
    }
    let requests: Vec<ClaimRequest> = claims.iter().map(|order| order.claim).collect();
    let deadline = forwarder.clock.now() + 2 * DECIDE_TIMEOUT;
    let asked = forwarder.ask_owners(&requests, deadline);
    let sent = async { ends.is_empty() || forwarder.send_ends_to_owners(shard, &ends).await };
    let (answers, taken) = tokio::join!(asked, sent);
    for (order, answer) in claims.into_iter().zip(answers) {
        // The claimant may have given up.
        let _ = order.reply.send(answer.verdict);
    }
    for reply in enders {
        let _ = reply.send(taken);
    }
}
