//! The worker task of a shard: it batches commands, appends to the stream and replays it.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::key::{CLAIM_SHARDS, CLOCK_SKEW_LIMIT, KEY_LIFETIME, KeyHash};
use super::message::ClaimRequest;
use super::record::{ClaimBatch, ClaimEntry, EndEntry, RunAttempt, RunEnding};
use super::shard_state::{ClaimVerdict, RetainedCount, ShardState};
use crate::clock::{MilliTime, wall_time};
use crate::logging::log_event;
use crate::process::members::InstanceId;
use crate::process::metrics::EventCounters;
use crate::process::platform_log::{LogError, PlatformLog, StreamName};

/// Maximum number of appends per second of all shards of the fleet together, at any load.
pub const APPEND_BUDGET: u16 = 256;
/// The interval between two appends to a shard under load; after a pause, two may follow at once.
pub const APPEND_INTERVAL: Duration =
    Duration::from_millis(1000 * CLAIM_SHARDS as u64 / APPEND_BUDGET as u64);

/// Daemons that do not own the shard append less often by this factor, since there may be many.
const NON_OWNER_INTERVAL_FACTOR: u32 = 4;
/// How long ends without a waiting claimant are delayed, to share a batch with the next claims.
const END_BATCH_DELAY: Duration = Duration::from_secs(1);
const OWNER_TRIES: usize = 3;
/// A daemon that does not own the shard tries once, so that claimants get an early answer while
/// the log is down.
const NON_OWNER_TRIES: usize = 1;
const READ_TRIES: usize = 3;
const RETRY_DELAY: Duration = Duration::from_millis(25);
const READ_LIMIT: usize = 128;
const COMMAND_QUEUE_LIMIT: usize = 8192;
const BATCH_LIMIT: usize = 4096;
/// After this long without work a shard gets an empty batch. Its stamp bounds the age of older
/// records, so that verdicts stay provable when these expire.
const MARKER_INTERVAL: Duration = Duration::from_secs(120);
/// After this long without work a shard that this daemon does not own is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// A claim that waits for its verdict.
#[derive(Debug)]
pub struct PendingClaim {
    /// The claim.
    pub claim: ClaimRequest,
    /// Receives the verdict.
    pub reply: oneshot::Sender<ClaimVerdict>,
}

/// The end of an attempt, to be appended to the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The key.
    pub key: KeyHash,
    /// The attempt.
    pub attempt: RunAttempt,
    /// How it ended.
    pub ending: RunEnding,
}

/// Work for a shard's worker.
#[derive(Debug)]
pub enum ShardCommand {
    /// A claim.
    Claim(PendingClaim),
    /// Ends of attempts; the reply is true if they are on the stream.
    Ends(Vec<AttemptEnd>, oneshot::Sender<bool>),
}

impl ShardCommand {
    fn needs_refresh(&self) -> bool {
        matches!(self, ShardCommand::Claim(pending) if pending.claim.refresh)
    }

    /// Whether it may be delayed. A release may not, since it frees a key.
    fn is_deferrable(&self) -> bool {
        let ran = |end: &AttemptEnd| end.ending == RunEnding::Ran;
        matches!(self, ShardCommand::Ends(ends, _) if ends.iter().all(ran))
    }
}

/// State shared by the workers of a daemon.
#[derive(Clone)]
pub struct WorkerContext {
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// This daemon.
    pub instance: InstanceId,
    /// Number of retained claims of all shards.
    pub retained: RetainedCount,
    /// Maximum number of retained claims of all shards.
    pub limit: usize,
    /// Counters of internal events.
    pub events: EventCounters,
}

/// Starts the worker task of a shard. It ends when it is idle and `is_owned` returns false.
pub fn start_worker(
    context: WorkerContext,
    shard: u16,
    is_owned: impl Fn() -> bool + Send + 'static,
) -> mpsc::Sender<ShardCommand> {
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE_LIMIT);
    let state = ShardState::new(context.retained.clone(), context.limit);
    let stream = shard_stream(shard);
    let next_append = Instant::now() + APPEND_INTERVAL;
    let worker = ShardWorker {
        context,
        stream,
        state,
        loaded: false,
        interval: APPEND_INTERVAL,
        tries: OWNER_TRIES,
        next_append,
    };
    tokio::spawn(worker.run(commands, is_owned));
    sender
}

/// The stream of a shard.
pub fn shard_stream(shard: u16) -> StreamName {
    StreamName::new(&format!("claims-{shard}"))
}

#[derive(Serialize)]
struct RecordEvent<'a> {
    stream: &'a str,
    offset: u64,
    reason: &'a str,
}

struct ShardWorker {
    context: WorkerContext,
    stream: StreamName,
    state: ShardState,
    loaded: bool,
    interval: Duration,
    tries: usize,
    /// Theoretical arrival time of the next append; the burst allows one interval earlier.
    next_append: Instant,
}

impl ShardWorker {
    async fn run(
        mut self,
        mut commands: mpsc::Receiver<ShardCommand>,
        is_owned: impl Fn() -> bool + Send + 'static,
    ) {
        let mut marker_due = Instant::now() + MARKER_INTERVAL;
        loop {
            match timeout_at(Instant::now() + IDLE_LIMIT, commands.recv()).await {
                Ok(Some(first)) => {
                    let gathered = gather(first, &mut commands).await;
                    self.set_role(is_owned());
                    self.wait_for_append_slot().await;
                    self.serve(collect_queued(gathered, &mut commands)).await;
                    marker_due = Instant::now() + MARKER_INTERVAL;
                }
                Ok(None) => return,
                Err(_) if !is_owned() => return,
                Err(_) if Instant::now() >= marker_due => {
                    self.append_marker().await;
                    marker_due = Instant::now() + MARKER_INTERVAL;
                }
                Err(_) => {}
            }
        }
    }

    fn set_role(&mut self, is_owner: bool) {
        let (factor, tries) =
            if is_owner { (1, OWNER_TRIES) } else { (NON_OWNER_INTERVAL_FACTOR, NON_OWNER_TRIES) };
        self.interval = factor * APPEND_INTERVAL;
        self.tries = tries;
    }

    /// Waits until the shard may append again, while more commands are queued.
    async fn wait_for_append_slot(&mut self) {
        sleep_until(self.next_append - self.interval).await;
    }

    /// Charges an append to the shard's rate (generic cell rate algorithm, burst of two).
    fn charge_append(&mut self) {
        self.context.events.count("claim_append");
        self.next_append = self.next_append.max(Instant::now()) + self.interval;
    }

    async fn serve(&mut self, commands: Vec<ShardCommand>) {
        if !self.loaded || commands.iter().any(ShardCommand::needs_refresh) {
            self.loaded |= self.catch_up(0).await.is_ok();
        }
        let now = wall_time();
        self.state.evict_expired(now);
        let mut batch = self.new_batch(now);
        let mut claims = Vec::new();
        let mut ends = Vec::new();
        for command in commands {
            match command {
                ShardCommand::Claim(claim) => claims.extend(self.add_claim(&mut batch, claim, now)),
                ShardCommand::Ends(entries, reply) => {
                    entries.iter().for_each(|end| self.add_end(&mut batch, end));
                    ends.push(reply);
                }
            }
        }
        let idle = batch.claims.is_empty() && batch.ends.is_empty();
        let confirmed = self.loaded && (idle || self.append(batch).await);
        for pending in claims {
            let verdict = confirmed.then(|| self.verdict(&pending)).flatten();
            // The claimant may have timed out.
            let _ = pending.reply.send(verdict.unwrap_or(ClaimVerdict::Unavailable));
        }
        for reply in ends {
            let _ = reply.send(confirmed);
        }
    }

    fn new_batch(&self, now: MilliTime) -> ClaimBatch {
        ClaimBatch::empty(rand::rng().random(), now, self.state.next_offset())
    }

    /// Adds a claim to the batch, or replies at once if the stream has already decided it.
    fn add_claim(
        &self,
        batch: &mut ClaimBatch,
        pending: PendingClaim,
        now: MilliTime,
    ) -> Option<PendingClaim> {
        let claim = pending.claim;
        let expired = claim.issued + KEY_LIFETIME + CLOCK_SKEW_LIMIT < now;
        let known = if expired { Some(ClaimVerdict::Expired) } else { self.verdict(&pending) };
        if let Some(verdict) = known.filter(|_| self.loaded) {
            let _ = pending.reply.send(verdict);
            return None;
        }
        let claimant = batch.claimant(claim.attempt.instance);
        batch.claims.push(ClaimEntry {
            key: claim.key,
            digest: claim.digest,
            claimant,
            attempt: claim.attempt.number,
        });
        Some(pending)
    }

    fn add_end(&self, batch: &mut ClaimBatch, end: &AttemptEnd) {
        if self.state.changes_state(end.key, &end.attempt, end.ending) {
            let claimant = batch.claimant(end.attempt.instance);
            let (key, attempt, ending) = (end.key, end.attempt.number, end.ending);
            batch.ends.push(EndEntry { key, claimant, attempt, ending });
        }
    }

    fn verdict(&self, pending: &PendingClaim) -> Option<ClaimVerdict> {
        self.state.verdict(pending.claim.key, &pending.claim.attempt, pending.claim.issued)
    }

    async fn append_marker(&mut self) {
        if self.loaded && self.state.next_offset() > 0 {
            self.state.evict_expired(wall_time());
            let batch = self.new_batch(wall_time());
            self.append(batch).await;
        }
    }

    /// Appends the batch until it is confirmed to be on the stream, and applies the stream up to
    /// it.
    ///
    /// The same bytes may be appended more than once; each attempt's claim counts once.
    async fn append(&mut self, batch: ClaimBatch) -> bool {
        let body = batch.encode();
        for _ in 0..self.tries {
            self.wait_for_append_slot().await;
            self.charge_append();
            match self.context.log.append(&self.stream, body.clone()).await {
                Ok(offset) if offset == self.state.next_offset() => {
                    self.state.apply_batch(offset, batch);
                    return true;
                }
                Ok(offset) => return self.read_through(offset, batch.id).await,
                Err(_) => self.context.events.count("claim_append_lost"),
            }
            if self.catch_up(batch.id).await == Ok(true) {
                return true;
            }
        }
        false
    }

    /// Reads the stream up to this worker's batch at `offset`, including the records of other
    /// writers.
    async fn read_through(&mut self, offset: u64, id: u64) -> bool {
        self.context.events.count("claim_append_raced");
        for _ in 0..READ_TRIES {
            // Everything up to the offset is applied, which includes the batch.
            if self.catch_up(id).await.is_ok() && self.state.next_offset() > offset {
                return true;
            }
            sleep(RETRY_DELAY).await;
        }
        false
    }

    /// Applies every record up to the tail. Returns whether the batch `id` was among them.
    async fn catch_up(&mut self, id: u64) -> Result<bool, LogError> {
        let mut found = false;
        loop {
            let from = self.state.next_offset();
            let page = self.context.log.read(&self.stream, from, READ_LIMIT, Duration::ZERO).await;
            let page = match page {
                Ok(page) => page,
                Err(LogError::Gap { earliest }) if earliest > from => {
                    self.context.events.count("claim_stream_gap");
                    self.state.skip_gap(earliest, wall_time());
                    continue;
                }
                Err(error) => return Err(error),
            };
            for record in &page.records {
                found |= self.apply(record.offset, &record.body) == Some(id);
            }
            if self.state.next_offset() >= page.tail {
                return Ok(found);
            }
        }
    }

    fn apply(&mut self, offset: u64, body: &[u8]) -> Option<u64> {
        match self.state.apply_record(offset, body, wall_time()) {
            Ok(id) => Some(id),
            Err(reason) => {
                self.context.events.count("claim_record_unreadable");
                let (stream, reason) = (self.stream.as_str(), reason.as_str());
                log_event(
                    Level::Warn,
                    "claim-record-unreadable",
                    RecordEvent { stream, offset, reason },
                );
                None
            }
        }
    }
}

/// Collects commands until one is not deferrable or [`END_BATCH_DELAY`] has passed.
async fn gather(
    first: ShardCommand,
    commands: &mut mpsc::Receiver<ShardCommand>,
) -> Vec<ShardCommand> {
    let until = Instant::now() + END_BATCH_DELAY;
    let mut gathered = vec![first];
    while gathered.len() < BATCH_LIMIT
        && gathered.iter().all(ShardCommand::is_deferrable)
        && let Ok(Some(command)) = timeout_at(until, commands.recv()).await
    {
        gathered.push(command);
    }
    gathered
}

/// Adds the commands that are already queued to `commands`, up to `BATCH_LIMIT`.
pub fn collect_queued(
    mut commands: Vec<ShardCommand>,
    queue: &mut mpsc::Receiver<ShardCommand>,
) -> Vec<ShardCommand> {
    while commands.len() < BATCH_LIMIT
        && let Ok(command) = queue.try_recv()
    {
        commands.push(command);
    }
    commands
}
