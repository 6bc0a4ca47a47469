//! One task for each shard that this daemon decides: batches, appends, reads.

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

/// Appends a second that all shards of the fleet together stay under, whatever the load.
pub const APPEND_BUDGET: u16 = 256;
/// The time between two appends to a shard under load; one more may follow a pause at once.
pub const APPEND_INTERVAL: Duration =
    Duration::from_millis(1000 * CLAIM_SHARDS as u64 / APPEND_BUDGET as u64);

/// Daemons that stand in for an owner append this much less often, since there may be many.
const STAND_IN_FACTOR: u32 = 4;
/// How long ends that nobody waits for are held back, to go with the next claims.
const END_HOLD_TIME: Duration = Duration::from_secs(1);
const OWNER_TRIES: usize = 3;
/// A stand-in tries once: while the log is down, whoever waits is told soon.
const STAND_IN_TRIES: usize = 1;
const READ_TRIES: usize = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(25);
const READ_LIMIT: usize = 128;
const ORDER_QUEUE: usize = 8192;
const BATCH_LIMIT: usize = 4096;
/// A shard without work for this long gets an empty batch, so that its stream stays provable.
const MARKER_INTERVAL: Duration = Duration::from_secs(120);
/// A shard that this daemon does not own is closed after this long without work.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// A claim that waits for its verdict.
#[derive(Debug)]
pub struct PendingClaim {
    /// The claim.
    pub claim: ClaimRequest,
    /// Where the verdict goes.
    pub reply: oneshot::Sender<ClaimVerdict>,
}

/// The end of an attempt, on its way to the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The key.
    pub key: KeyHash,
    /// The attempt.
    pub attempt: RunAttempt,
    /// How it ended.
    pub ending: RunEnding,
}

/// Work for a shard.
#[derive(Debug)]
pub enum ShardCommand {
    /// A claim.
    Claim(PendingClaim),
    /// Ends of attempts; the reply says whether they are on the stream.
    Ends(Vec<AttemptEnd>, oneshot::Sender<bool>),
}

impl ShardCommand {
    fn needs_refresh(&self) -> bool {
        matches!(self, ShardCommand::Claim(order) if order.claim.refresh)
    }

    /// Whether it may wait: a release may not, since it frees a key.
    fn may_wait(&self) -> bool {
        let ran = |end: &AttemptEnd| end.ending == RunEnding::Ran;
        matches!(self, ShardCommand::Ends(ends, _) if ends.iter().all(ran))
    }
}

/// What the workers of a daemon share.
#[derive(Clone)]
pub struct WorkerContext {
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// This daemon.
    pub instance: InstanceId,
    /// Remembered claims of all shards.
    pub retained: RetainedCount,
    /// The most that may be remembered.
    pub limit: usize,
    /// For operators.
    pub events: EventCounters,
}

/// Starts the task of a shard; it ends once it is idle and `owned` says that it may.
pub fn start_worker(
    context: WorkerContext,
    shard: u16,
    owned: impl Fn() -> bool + Send + 'static,
) -> mpsc::Sender<ShardCommand> {
    let (sender, orders) = mpsc::channel(ORDER_QUEUE);
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
    tokio::spawn(worker.run(orders, owned));
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
    /// When the shard may append, were it not for the burst.
    next_append: Instant,
}

impl ShardWorker {
    async fn run(
        mut self,
        mut orders: mpsc::Receiver<ShardCommand>,
        owned: impl Fn() -> bool + Send + 'static,
    ) {
        let mut marker_due = Instant::now() + MARKER_INTERVAL;
        loop {
            match timeout_at(Instant::now() + IDLE_LIMIT, orders.recv()).await {
                Ok(Some(first)) => {
                    let held = hold(first, &mut orders).await;
                    self.set_role(owned());
                    self.pace().await;
                    self.serve(collect_queued(held, &mut orders)).await;
                    marker_due = Instant::now() + MARKER_INTERVAL;
                }
                Ok(None) => return,
                Err(_) if !owned() => return,
                Err(_) if Instant::now() >= marker_due => {
                    self.mark().await;
                    marker_due = Instant::now() + MARKER_INTERVAL;
                }
                Err(_) => {}
            }
        }
    }

    fn set_role(&mut self, owned: bool) {
        let (factor, tries) =
            if owned { (1, OWNER_TRIES) } else { (STAND_IN_FACTOR, STAND_IN_TRIES) };
        self.interval = factor * APPEND_INTERVAL;
        self.tries = tries;
    }

    /// Waits until the shard may append again; more orders arrive meanwhile.
    async fn pace(&mut self) {
        sleep_until(self.next_append - self.interval).await;
    }

    /// Counts an append against the shard's rate (generic cell rate algorithm, burst of two).
    fn count_append(&mut self) {
        self.context.events.count("claim_append");
        self.next_append = self.next_append.max(Instant::now()) + self.interval;
    }

    async fn serve(&mut self, orders: Vec<ShardCommand>) {
        if !self.loaded || orders.iter().any(ShardCommand::needs_refresh) {
            self.loaded |= self.catch_up(0).await.is_ok();
        }
        let now = wall_time();
        self.state.evict_expired(now);
        let mut batch = self.new_batch(now);
        let mut claims = Vec::new();
        let mut ends = Vec::new();
        for order in orders {
            match order {
                ShardCommand::Claim(order) => claims.extend(self.seal(&mut batch, order, now)),
                ShardCommand::Ends(entries, reply) => {
                    entries.iter().for_each(|end| self.seal_end(&mut batch, end));
                    ends.push(reply);
                }
            }
        }
        let idle = batch.claims.is_empty() && batch.ends.is_empty();
        let settled = self.loaded && (idle || self.append(batch).await);
        for order in claims {
            let verdict = settled.then(|| self.verdict(&order)).flatten();
            // The claimant may have given up.
            let _ = order.reply.send(verdict.unwrap_or(ClaimVerdict::Unavailable));
        }
        for reply in ends {
            let _ = reply.send(settled);
        }
    }

    fn new_batch(&self, now: MilliTime) -> ClaimBatch {
        ClaimBatch::empty(rand::rng().random(), now, self.state.next_offset())
    }

    /// Adds a claim to the batch, or answers it at once if the stream has decided already.
    fn seal(
        &self,
        batch: &mut ClaimBatch,
        order: PendingClaim,
        now: MilliTime,
    ) -> Option<PendingClaim> {
        let claim = order.claim;
        let expired = claim.issued + KEY_LIFETIME + CLOCK_SKEW_LIMIT < now;
        let known = if expired { Some(ClaimVerdict::Expired) } else { self.verdict(&order) };
        if let Some(verdict) = known.filter(|_| self.loaded) {
            let _ = order.reply.send(verdict);
            return None;
        }
        let claimant = batch.claimant(claim.attempt.instance);
        batch.claims.push(ClaimEntry {
            key: claim.key,
            digest: claim.digest,
            claimant,
            attempt: claim.attempt.number,
        });
        Some(order)
    }

    fn seal_end(&self, batch: &mut ClaimBatch, end: &AttemptEnd) {
        if self.state.changes_state(end.key, &end.attempt, end.ending) {
            let claimant = batch.claimant(end.attempt.instance);
            let (key, attempt, ending) = (end.key, end.attempt.number, end.ending);
            batch.ends.push(EndEntry { key, claimant, attempt, ending });
        }
    }

    fn verdict(&self, order: &PendingClaim) -> Option<ClaimVerdict> {
        self.state.verdict(order.claim.key, &order.claim.attempt, order.claim.issued)
    }

    async fn mark(&mut self) {
        if self.loaded && self.state.next_offset() > 0 {
            self.state.evict_expired(wall_time());
            let batch = self.new_batch(wall_time());
            self.append(batch).await;
        }
    }

    /// Appends the batch until it is known to be on the stream, and folds up to it.
    ///
    /// The same bytes may land more than once: a claim counts once for its attempt.
    async fn append(&mut self, batch: ClaimBatch) -> bool {
        let body = batch.encode();
        for _ in 0..self.tries {
            self.pace().await;
            self.count_append();
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

    /// Reads the records of other writers that came before ours at `offset`, and ours.
    async fn read_through(&mut self, offset: u64, id: u64) -> bool {
        self.context.events.count("claim_append_raced");
        for _ in 0..READ_TRIES {
            // What is already folded up to the offset includes the batch.
            if self.catch_up(id).await.is_ok() && self.state.next_offset() > offset {
                return true;
            }
            sleep(RETRY_PAUSE).await;
        }
        false
    }

    /// Folds everything up to the tail; says whether the batch `id` was among it.
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
                found |= self.fold(record.offset, &record.body) == Some(id);
            }
            if self.state.next_offset() >= page.tail {
                return Ok(found);
            }
        }
    }

    fn fold(&mut self, offset: u64, body: &[u8]) -> Option<u64> {
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

/// Takes orders until one of them may not wait, or the first has waited long enough.
async fn hold(first: ShardCommand, orders: &mut mpsc::Receiver<ShardCommand>) -> Vec<ShardCommand> {
    let until = Instant::now() + END_HOLD_TIME;
    let mut held = vec![first];
    while held.len() < BATCH_LIMIT
        && held.iter().all(ShardCommand::may_wait)
        && let Ok(Some(order)) = timeout_at(until, orders.recv()).await
    {
        held.push(order);
    }
    held
}

/// The orders and those that queued up behind them.
pub fn collect_queued(
    mut orders: Vec<ShardCommand>,
    queue: &mut mpsc::Receiver<ShardCommand>,
) -> Vec<ShardCommand> {
    while orders.len() < BATCH_LIMIT
        && let Ok(order) = queue.try_recv()
    {
        orders.push(order);
    }
    orders
}
