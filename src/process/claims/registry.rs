//! Who may run a non-idempotent request.

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

/// How long ends gather before they are sent on.
const GATHER_TIME: Duration = Duration::from_millis(20);
const END_RETRY_PAUSE: Duration = Duration::from_millis(500);
const RECLAIM_PAUSE: Duration = Duration::from_millis(25);
const REPLY_MARGIN: Duration = Duration::from_millis(100);
const TEND_INTERVAL: Duration = Duration::from_secs(1);

/// What a claimant may do.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// Run the request, then call [`ClaimRegistry::finish`] with the permit.
    Run(ClaimPermit),
    /// Return this answer of the first run.
    Repeat(BufferedAnswer),
}

/// The right to run a request once.
#[derive(Debug)]
pub struct ClaimPermit {
    key: KeyHash,
    attempt: RunAttempt,
}

/// What the claims of a daemon need of it.
pub struct ClaimDependencies {
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// Known members.
    pub members: Arc<MemberTable>,
    /// Control links.
    pub hub: Arc<ControlLinks>,
    /// This daemon.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Members from which on claims go through a relay in the own zone.
    pub relay_members: usize,
    /// The process's clock.
    pub clock: MilliClock,
    /// For operators.
    pub events: EventCounters,
}

/// The claims of this daemon's callers and backend server.
pub struct ClaimRegistry {
    instance: InstanceId,
    forwarder: Arc<ClaimForwarder>,
    outcomes: OutcomeTable,
    ends: EndQueue,
}

impl ClaimRegistry {
    /// A book with no claims.
    pub fn new(parts: ClaimDependencies) -> Arc<Self> {
        let instance = parts.instance;
        let forwarder = Arc::new(new_forwarder(parts));
        let (outcomes, ends) = (OutcomeTable::default(), EndQueue::default());
        Arc::new(ClaimRegistry { instance, forwarder, outcomes, ends })
    }

    /// The way to the owners of the shards.
    pub fn forwarder(&self) -> &Arc<ClaimForwarder> {
        &self.forwarder
    }

    /// Claims the right to run the request with `key`, issued at `issued`, whose method, path and
    /// body digest to `digest`, before `deadline`.
    ///
    /// # Errors
    /// A code that is true of this request: it was not run here, and if another delivery with the
    /// key may have run, the code says so.
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
        // Before the claim can be on the stream, so that a loser who asks is made to wait.
        self.outcomes.start(attempt.number);
        let mut in_doubt = false;
        let result = self.settle(&claim, deadline, &mut in_doubt).await;
        if !matches!(result, Ok(ClaimOutcome::Run(_))) {
            self.give_up(&claim, in_doubt);
        }
        result
    }

    async fn settle(
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
            match self.ask_holder(&holder, deadline).await {
                AttemptOutcome::Answered(answer) => return Ok(ClaimOutcome::Repeat(answer)),
                // Its release is on its way to the stream; then the key is free.
                AttemptOutcome::NotRun => sleep(RECLAIM_PAUSE).await,
                outcome => return Err(repeat_code(&holder, &outcome)),
            }
            if self.forwarder.clock.now() >= deadline {
                // The release did not reach the stream, and so neither did this claim.
                return Err(ResultCode::StoreUnavailable);
            }
            claim.refresh = true;
        }
    }

    /// Withdraws a claim that will never be run, if it may be on the stream or land there later.
    fn give_up(&self, claim: &ClaimRequest, in_doubt: bool) {
        if in_doubt {
            self.outcomes.end(claim.attempt.number, AttemptOutcome::NotRun);
            self.push_end(claim.key, claim.attempt, RunEnding::NotRun);
        } else {
            self.outcomes.remove(claim.attempt.number);
        }
    }

    /// Records how the run ended: its answer, or the code it failed with.
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

    async fn ask_holder(&self, holder: &ClaimHolder, deadline: MilliTime) -> AttemptOutcome {
        let attempt = holder.attempt;
        let remaining = deadline.until(self.forwarder.clock.now());
        if attempt.instance == self.instance {
            return self.outcome(attempt, remaining).await;
        }
        // The reply must be back before the deadline.
        let wait = remaining.saturating_sub(REPLY_MARGIN);
        let message = ClaimMessage::Ask { attempt, wait_ms: wait.as_millis() as u64 };
        match self.forwarder.call(attempt.instance, message, remaining).await {
            Some(ClaimMessage::Outcome { outcome }) => outcome,
            _ => AttemptOutcome::Unknown,
        }
    }

    /// How an attempt of this daemon ended, waiting up to `wait` for its end.
    pub async fn outcome(&self, attempt: RunAttempt, wait: Duration) -> AttemptOutcome {
        match attempt.instance == self.instance {
            true => self.outcomes.outcome(attempt.number, wait).await,
            false => AttemptOutcome::Unknown,
        }
    }

    /// Sends ends of attempts on and opens owned shards for as long as the daemon runs.
    pub async fn maintain(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = self.ends.filled() => {
                    sleep(GATHER_TIME).await;
                    for (shard, ends) in self.ends.take() {
                        // Shards do not wait for each other, and releases not for older ends.
                        tokio::spawn(self.clone().send_shard_ends(shard, ends));
                    }
                }
                () = sleep(TEND_INTERVAL) => self.forwarder.shards.open_owned(),
            }
        }
    }

    async fn send_shard_ends(self: Arc<Self>, shard: u16, ends: Vec<AttemptEnd>) {
        if !self.forwarder.send_ends(shard, &ends).await {
            sleep(END_RETRY_PAUSE).await;
            ends.into_iter().for_each(|end| self.push_end(end.key, end.attempt, end.ending));
        }
    }

    /// Sends every waiting end once, before the daemon stops.
    pub async fn flush_ends(&self) {
        let sends = self
            .ends
            .take()
            .into_iter()
            .map(|(shard, ends)| async move { self.forwarder.send_ends(shard, &ends).await });
        futures_util::future::join_all(sends).await;
    }
}

fn new_forwarder(parts: ClaimDependencies) -> ClaimForwarder {
    let ClaimDependencies {
        log,
        members,
        hub,
        instance,
        availability_zone,
        relay_members,
        clock,
        events,
    } = parts;
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
    ClaimForwarder { instance, clock, hub, owners, shards, events, relays: Mutex::default() }
}

/// What a repeat is told whose holder has no answer for it.
fn repeat_code(holder: &ClaimHolder, outcome: &AttemptOutcome) -> ResultCode {
    match outcome {
        AttemptOutcome::AnswerLost => ResultCode::AnswerLost,
        AttemptOutcome::Running => ResultCode::ClaimPending,
        AttemptOutcome::Unknown if holder.ending == Some(RunEnding::Ran) => ResultCode::AnswerLost,
        _ => ResultCode::OutcomeUnknown,
    }
}
