//! Forwards claims and ends of attempts to the daemons that own their shards.
//!
//! In a large fleet they go through a relay in this availability zone, which forwards them in
//! batches, so that an owner holds one link for each zone instead of one for each daemon.

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

/// How long one daemon may take to decide a claim before the next candidate is tried.
const DECISION_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a relay collects a batch before it forwards it.
const RELAY_BATCH_DELAY: Duration = Duration::from_millis(50);
const RELAY_IDLE_LIMIT: Duration = Duration::from_secs(60);
const RELAY_QUEUE_LIMIT: usize = 8192;

const NO_ANSWER: ClaimAnswer = ClaimAnswer { verdict: ClaimVerdict::Unavailable, in_doubt: false };

/// Sends claims and ends to shard owners, directly or through a relay.
pub struct ClaimForwarder {
    /// This daemon.
    pub instance: InstanceId,
    /// The process's clock.
    pub clock: MilliClock,
    /// Control links to peers.
    pub links: Arc<ControlLinks>,
    /// The owners of the shards.
    pub owners: Arc<OwnerTable>,
    /// The shards that this daemon decides.
    pub shards: ShardTable,
    /// Counters of internal events.
    pub events: EventCounters,
    /// Queues of the relay tasks, by shard.
    pub relays: Mutex<HashMap<u16, mpsc::Sender<ShardCommand>>>,
}

/// A verdict, and whether the claim may still be appended by another daemon.
#[derive(Clone, Copy, Debug)]
pub struct ClaimAnswer {
    /// The decision of the stream, as far as it is known.
    pub verdict: ClaimVerdict,
    /// Whether a daemon that was sent the claim returned no verdict.
    pub in_doubt: bool,
}

impl ClaimForwarder {
    /// Requests the verdict on a claim, through the zone's relay if there is one.
    pub async fn request_verdict(&self, claim: &ClaimRequest, deadline: MilliTime) -> ClaimAnswer {
        let mut in_doubt = false;
        if let Some(relay) = self.owners.relay(claim.key.shard()) {
            let wait = self.candidate_timeout(deadline);
            let message =
                ClaimMessage::RelayClaim { boot: relay.boot, claim: *claim, wait_ms: millis(wait) };
            match self.call(relay, message, wait).await {
                Some(ClaimMessage::Verdicts { verdicts }) => {
                    if let Some(verdict) = verdicts.first().filter(|one| one.is_decided()) {
                        return ClaimAnswer { verdict: *verdict, in_doubt };
                    }
                }
                _ => self.report_silent(relay),
            }
            in_doubt = true;
        }
        let answers = self.query_owners(std::slice::from_ref(claim), deadline).await;
        let answer = answers.first().copied().unwrap_or(NO_ANSWER);
        ClaimAnswer { in_doubt: in_doubt || answer.in_doubt, ..answer }
    }

    /// Queries the candidates of a shard in turn until each of its `claims` has a verdict.
    async fn query_owners(&self, claims: &[ClaimRequest], deadline: MilliTime) -> Vec<ClaimAnswer> {
        let mut answers = vec![NO_ANSWER; claims.len()];
        let Some(shard) = claims.first().map(|claim| claim.key.shard()) else {
            return answers;
        };
        for candidate in self.owners.candidates(shard) {
            let open: Vec<usize> =
                (0..claims.len()).filter(|index| !answers[*index].verdict.is_decided()).collect();
            let wait = self.candidate_timeout(deadline);
            if open.is_empty() || wait.is_zero() {
                break;
            }
            let requested = open.iter().map(|index| claims[*index]).collect();
            let received = self.query_owner(candidate, requested, wait).await;
            if received.is_none() {
                self.report_silent(candidate);
            }
            let mut received = received.unwrap_or_default().into_iter();
            for index in open {
                let verdict = received.next().unwrap_or(ClaimVerdict::Unavailable);
                let in_doubt = answers[index].in_doubt || !verdict.is_decided();
                answers[index] = ClaimAnswer { verdict, in_doubt };
            }
        }
        answers
    }

    /// At most half of the remaining time, so that the next candidate can still be tried.
    fn candidate_timeout(&self, deadline: MilliTime) -> Duration {
        (deadline.until(self.clock.now()) / 2).min(DECISION_TIMEOUT)
    }

    fn report_silent(&self, instance: InstanceId) {
        self.events.count("claim_owner_silent");
        self.owners.mark_suspect(instance);
    }

    async fn query_owner(
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

    /// Appends ends, all of one shard, to its stream, through the zone's relay if there is one.
    pub async fn send_ends(&self, shard: u16, ends: &[AttemptEnd]) -> bool {
        if let Some(relay) = self.owners.relay(shard) {
            let message = ClaimMessage::RelayEnds { boot: relay.boot, ends: ends.to_vec() };
            match self.call(relay, message, DECISION_TIMEOUT).await {
                Some(ClaimMessage::EndsTaken { taken: true }) => return true,
                Some(_) => {}
                None => self.report_silent(relay),
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
            let appended = timeout(DECISION_TIMEOUT, self.shards.append_ends(ends)).await;
            return appended.unwrap_or(false);
        }
        let reply =
            self.call(owner, ClaimMessage::Ends { boot: owner.boot, ends }, DECISION_TIMEOUT).await;
        matches!(reply, Some(ClaimMessage::EndsTaken { taken: true }))
    }

    /// Sends a message to a peer and waits up to `wait` for the reply.
    pub async fn call(
        &self,
        peer: InstanceId,
        message: ClaimMessage,
        wait: Duration,
    ) -> Option<ClaimMessage> {
        let message = PeerMessage::Claims(message);
        match self.links.call(peer.address, message, wait).await {
            Ok(PeerMessage::Claims(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Forwards a claim of another daemon in this zone.
    pub async fn relay_claim(
        self: &Arc<Self>,
        claim: ClaimRequest,
        wait: Duration,
    ) -> ClaimVerdict {
        let (reply, verdict) = oneshot::channel();
        self.enqueue(claim.key.shard(), ShardCommand::Claim(PendingClaim { claim, reply }));
        let verdict = timeout(wait, verdict).await;
        verdict.ok().and_then(Result::ok).unwrap_or(ClaimVerdict::Unavailable)
    }

    /// Forwards ends, all of one shard, of another daemon in this zone.
    pub async fn relay_ends(self: &Arc<Self>, ends: Vec<AttemptEnd>) -> bool {
        let Some(shard) = ends.first().map(|end| end.key.shard()) else {
            return true;
        };
        let (reply, appended) = oneshot::channel();
        self.enqueue(shard, ShardCommand::Ends(ends, reply));
        appended.await.unwrap_or(false)
    }

    fn enqueue(self: &Arc<Self>, shard: u16, command: ShardCommand) {
        let mut relays = self.relays.lock().expect("lock not poisoned");
        let open = relays.get(&shard).filter(|relay| !relay.is_closed()).cloned();
        let relay = open.unwrap_or_else(|| {
            let (sender, commands) = mpsc::channel(RELAY_QUEUE_LIMIT);
            tokio::spawn(run_relay(self.clone(), shard, commands));
            relays.insert(shard, sender.clone());
            sender
        });
        if relay.try_send(command).is_err() {
            self.events.count("claim_queue_full");
        }
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Forwards the zone's claims and ends for one shard in batches, until none arrive for
/// [`RELAY_IDLE_LIMIT`].
async fn run_relay(
    forwarder: Arc<ClaimForwarder>,
    shard: u16,
    mut commands: mpsc::Receiver<ShardCommand>,
) {
    while let Ok(Some(first)) = timeout(RELAY_IDLE_LIMIT, commands.recv()).await {
        sleep(RELAY_BATCH_DELAY).await;
        let commands = collect_queued(vec![first], &mut commands);
        // The next batch is collected while this one is in flight.
        tokio::spawn(forward_batch(forwarder.clone(), shard, commands));
    }
}

async fn forward_batch(forwarder: Arc<ClaimForwarder>, shard: u16, commands: Vec<ShardCommand>) {
    let (mut claims, mut ends, mut end_replies) = (Vec::new(), Vec::new(), Vec::new());
    for command in commands {
        match command {
            ShardCommand::Claim(claim) => claims.push(claim),
            ShardCommand::Ends(entries, reply) => {
                ends.extend(entries);
                end_replies.push(reply);
            }
        }
    }
    let requests: Vec<ClaimRequest> = claims.iter().map(|pending| pending.claim).collect();
    let deadline = forwarder.clock.now() + 2 * DECISION_TIMEOUT;
    let requested = forwarder.query_owners(&requests, deadline);
    let sent = async { ends.is_empty() || forwarder.send_ends_to_owners(shard, &ends).await };
    let (answers, appended) = tokio::join!(requested, sent);
    for (pending, answer) in claims.into_iter().zip(answers) {
        // The claimant may have timed out.
        let _ = pending.reply.send(answer.verdict);
    }
    for reply in end_replies {
        let _ = reply.send(appended);
    }
}
