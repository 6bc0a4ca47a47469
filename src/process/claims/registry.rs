//! Grants the right to run a non-idempotent request.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use super::end_queue::EndQueue;
use super::forwarder::ClaimForwarder;
use super::key::{ClaimKey, KeyHash, is_within_lifetime, short_digest};
use super::message::{ClaimMessage, ClaimRequest};
use super::outcome::{AttemptOutcome, OutcomeTable};
use super::owner::OwnerTable;
use super::record::{RunAttempt, RunEnding};
use super::shard_state::{ClaimHolder, ClaimVerdict, RETAINED_LIMIT};
use super::shards::ShardTable;
use super::worker::{AttemptEnd, WorkerContext};
use crate::clock::{MilliClock, MilliTime, wall_time};
use crate::connection::control_link::ControlLinks;
use crate::error::ResultCode;
use crate::process::members::{InstanceId, MemberTable};
use crate::process::metrics::EventCounters;
use crate::process::platform_log::PlatformLog;
use crate::request::answer::BufferedAnswer;
use crate::version::digest::Sha256Digest;

/// How long ends are batched before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(20);
const END_RETRY_DELAY: Duration = Duration::from_millis(500);
const RECLAIM_DELAY: Duration = Duration::from_millis(25);
/// Time reserved for the holder's reply to arrive.
const REPLY_MARGIN: Duration = Duration::from_millis(100);
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// How the claimant must proceed.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// Run the request, then call [`ClaimRegistry::finish`] with the permit.
    Run(ClaimPermit),
    /// Return this answer, which the first run produced.
    Repeat(BufferedAnswer),
}

/// The right to run a request once.
#[derive(Debug)]
pub struct ClaimPermit {
    key: KeyHash,
    attempt: RunAttempt,
}

/// Components that a [`ClaimRegistry`] uses.
pub struct ClaimDependencies {
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// The member table.
    pub members: Arc<MemberTable>,
    /// Control links to peers.
    pub links: Arc<ControlLinks>,
    /// This daemon.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Member count from which on claims go through a relay in the availability zone.
    pub relay_members: usize,
    /// The process's clock.
    pub clock: MilliClock,
    /// Counters of internal events.
    pub events: EventCounters,
}

/// Claims for requests of this daemon's callers and backend server.
pub struct ClaimRegistry {
    instance: InstanceId,
    forwarder: Arc<ClaimForwarder>,
    outcomes: OutcomeTable,
    ends: EndQueue,
}

impl ClaimRegistry {
    /// A registry without claims.
    pub fn new(dependencies: ClaimDependencies) -> Arc<Self> {
        let instance = dependencies.instance;
        let forwarder = Arc::new(new_forwarder(dependencies));
        let (outcomes, ends) = (OutcomeTable::default(), EndQueue::default());
        Arc::new(ClaimRegistry { instance, forwarder, outcomes, ends })
    }

    /// The forwarder of claims to the owners of their shards.
    pub fn forwarder(&self) -> &Arc<ClaimForwarder> {
        &self.forwarder
    }

    /// Claims the right to run the request with `key`, issued at `issued`, before `deadline`.
    /// `digest` covers the request's method, path and body.
    ///
    /// # Errors
    /// The request was not run here; the code says whether another delivery with the same key
    /// may have run.
    pub async fn claim(
        &self,
        key: &ClaimKey,
        issued: MilliTime,
        digest: Sha256Digest,
        deadline: MilliTime,
    ) -> Result<ClaimOutcome, ResultCode> {
        if !is_within_lifetime(issued, wall_time()) {
            return Err(ResultCode::IdempotencyKeyExpired);
        }
        let attempt = RunAttempt { instance: self.instance, number: rand::rng().random() };
        let digest = short_digest(&digest);
        let claim = ClaimRequest { key: key.hash(), digest, attempt, issued, refresh: false };
        // Registered before the append, so that a query by a losing claimant waits for the end.
        self.outcomes.start(attempt.number);
        let mut in_doubt = false;
        let result = self.resolve(&claim, deadline, &mut in_doubt).await;
        if !matches!(result, Ok(ClaimOutcome::Run(_))) {
            self.withdraw(&claim, in_doubt);
        }
        result
    }

    async fn resolve(
        &self,
        claim: &ClaimRequest,
        deadline: MilliTime,
        in_doubt: &mut bool,
    ) -> Result<ClaimOutcome, ResultCode> {
        let mut claim = *claim;
        loop {
            let answer = self.forwarder.request_verdict(&claim, deadline).await;
            *in_doubt |= answer.in_doubt || answer.verdict == ClaimVerdict::Unproven;
            let holder = match answer.verdict {
                ClaimVerdict::Won => {
                    let permit = ClaimPermit { key: claim.key, attempt: claim.attempt };
                    return Ok(ClaimOutcome::Run(permit));
                }
                ClaimVerdict::Expired => return Err(ResultCode::IdempotencyKeyExpired),
                ClaimVerdict::Unproven => return Err(ResultCode::OutcomeUnknown),
                ClaimVerdict::Unavailable => return Err(ResultCode::StoreUnavailable),
                ClaimVerdict::Held(holder) => holder,
            };
            if holder.digest != claim.digest {
                return Err(ResultCode::IdempotencyKeyReused);
            }
            match self.query_holder(&holder, deadline).await {
                AttemptOutcome::Answered(answer) => return Ok(ClaimOutcome::Repeat(answer)),
                // The holder's release is being appended; the key is free afterwards.
                AttemptOutcome::NotRun => sleep(RECLAIM_DELAY).await,
                outcome => return Err(repeat_code(&holder, &outcome)),
            }
            if self.forwarder.clock.now() >= deadline {
                // The release was not appended in time, so this claim was not granted either.
                return Err(ResultCode::StoreUnavailable);
            }
            claim.refresh = true;
        }
    }

    /// Releases a claim that will not be run, if it is on the stream or may be appended later.
    fn withdraw(&self, claim: &ClaimRequest, in_doubt: bool) {
        if in_doubt {
            self.outcomes.end(claim.attempt.number, AttemptOutcome::NotRun);
            self.push_end(claim.key, claim.attempt, RunEnding::NotRun);
        } else {
            self.outcomes.remove(claim.attempt.number);
        }
    }

    /// Records the result of the run: its answer, or the code it failed with.
    pub fn finish(&self, permit: ClaimPermit, result: &Result<BufferedAnswer, ResultCode>) {
        let outcome = AttemptOutcome::from_result(result);
        let ending = match &outcome {
            AttemptOutcome::NotRun => Some(RunEnding::NotRun),
            AttemptOutcome::Answered(_) | AttemptOutcome::AnswerLost => Some(RunEnding::Ran),
            _ => None,
        };
        self.outcomes.end(permit.attempt.number, outcome);
        if let Some(ending) = ending {
            self.push_end(permit.key, permit.attempt, ending);
        }
    }

    fn push_end(&self, key: KeyHash, attempt: RunAttempt, ending: RunEnding) {
        if self.ends.push(AttemptEnd { key, attempt, ending }) {
            self.forwarder.events.count("claim_end_dropped");
        }
    }

    async fn query_holder(&self, holder: &ClaimHolder, deadline: MilliTime) -> AttemptOutcome {
        let attempt = holder.attempt;
        let remaining = deadline.until(self.forwarder.clock.now());
        if attempt.instance == self.instance {
            return self.outcome(attempt, remaining).await;
        }
        // The reply must arrive before the deadline.
        let wait = remaining.saturating_sub(REPLY_MARGIN);
        let message = ClaimMessage::Ask { attempt, wait_ms: wait.as_millis() as u64 };
        match self.forwarder.call(attempt.instance, message, remaining).await {
            Some(ClaimMessage::Outcome { outcome }) => outcome,
            _ => AttemptOutcome::Unknown,
        }
    }

    /// The outcome of an attempt of this daemon, after waiting up to `wait` for its end.
    pub async fn outcome(&self, attempt: RunAttempt, wait: Duration) -> AttemptOutcome {
        match attempt.instance == self.instance {
            true => self.outcomes.outcome(attempt.number, wait).await,
            false => AttemptOutcome::Unknown,
        }
    }

    /// Sends queued ends of attempts and opens owned shards until the task is aborted.
    pub async fn maintain(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = self.ends.filled() => {
                    sleep(BATCH_DELAY).await;
                    for (shard, ends) in self.ends.take() {
                        // One task for each batch: no shard waits for another, and no release
                        // waits for older ends.
                        tokio::spawn(self.clone().send_shard_ends(shard, ends));
                    }
                }
                () = sleep(MAINTENANCE_INTERVAL) => self.forwarder.shards.open_owned(),
            }
        }
    }

    async fn send_shard_ends(self: Arc<Self>, shard: u16, ends: Vec<AttemptEnd>) {
        if !self.forwarder.send_ends(shard, &ends).await {
            sleep(END_RETRY_DELAY).await;
            ends.into_iter().for_each(|end| self.push_end(end.key, end.attempt, end.ending));
        }
    }

    /// Sends every queued end once, before the daemon stops.
    pub async fn flush_ends(&self) {
        let sends = self
            .ends
            .take()
            .into_iter()
            .map(|(shard, ends)| async move { self.forwarder.send_ends(shard, &ends).await });
        futures_util::future::join_all(sends).await;
    }
}

fn new_forwarder(dependencies: ClaimDependencies) -> ClaimForwarder {
    let ClaimDependencies {
        log,
        members,
        links,
        instance,
        availability_zone,
        relay_members,
        clock,
        events,
    } = dependencies;
    let owners =
        OwnerTable::new(members, instance, availability_zone, relay_members, clock.clone());
    let owners = Arc::new(owners);
    let context = WorkerContext {
        log,
        instance,
        retained: Arc::default(),
        limit: RETAINED_LIMIT,
        events: events.clone(),
    };
    let shards = ShardTable::new(context, owners.clone());
    ClaimForwarder { instance, clock, links, owners, shards, events, relays: Mutex::default() }
}

/// The result code of a repeat whose holder cannot return an answer.
fn repeat_code(holder: &ClaimHolder, outcome: &AttemptOutcome) -> ResultCode {
    match outcome {
        AttemptOutcome::AnswerLost => ResultCode::AnswerLost,
        AttemptOutcome::Running => ResultCode::ClaimPending,
        AttemptOutcome::Unknown if holder.ending == Some(RunEnding::Ran) => ResultCode::AnswerLost,
        _ => ResultCode::OutcomeUnknown,
    }
}
