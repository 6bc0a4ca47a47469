//! The shards that this daemon decides, even if other daemons also consider themselves owners.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use futures_util::future::join_all;
use tokio::sync::{mpsc, oneshot};

use super::key::CLAIM_SHARDS;
use super::message::ClaimRequest;
use super::owner::OwnerTable;
use super::shard_state::ClaimVerdict;
use super::worker::{AttemptEnd, PendingClaim, ShardCommand, WorkerContext, start_worker};

/// The open shards, with one worker task each.
pub struct ShardTable {
    context: WorkerContext,
    owners: Arc<OwnerTable>,
    workers: Mutex<HashMap<u16, mpsc::Sender<ShardCommand>>>,
}

impl ShardTable {
    /// A table without open shards.
    pub fn new(context: WorkerContext, owners: Arc<OwnerTable>) -> Self {
        ShardTable { context, owners, workers: Mutex::default() }
    }

    /// Decides claims of one shard.
    pub async fn decide(&self, claims: &[ClaimRequest]) -> Vec<ClaimVerdict> {
        let verdicts = claims.iter().map(|claim| {
            let (reply, verdict) = oneshot::channel();
            let pending = PendingClaim { claim: *claim, reply };
            self.dispatch(claim.key.shard(), ShardCommand::Claim(pending));
            async move { verdict.await.unwrap_or(ClaimVerdict::Unavailable) }
        });
        join_all(verdicts).await
    }

    /// Appends the ends of attempts, all of one shard, to its stream. Returns whether they are on
    /// the stream.
    pub async fn append_ends(&self, ends: Vec<AttemptEnd>) -> bool {
        let Some(shard) = ends.first().map(|end| end.key.shard()) else {
            return true;
        };
        let (reply, appended) = oneshot::channel();
        self.dispatch(shard, ShardCommand::Ends(ends, reply));
        appended.await.unwrap_or(false)
    }

    /// Reads the streams of the shards that this daemon owns before the first claim arrives.
    pub fn open_owned(&self) {
        for shard in 0..CLAIM_SHARDS {
            let open = self.workers.lock().expect("lock not poisoned").contains_key(&shard);
            if !open && self.owners.is_owner(shard) {
                let (reply, _) = oneshot::channel();
                self.dispatch(shard, ShardCommand::Ends(Vec::new(), reply));
            }
        }
    }

    /// Number of retained claims over all shards.
    pub fn retained(&self) -> usize {
        self.context.retained.load(Ordering::Acquire)
    }

    /// Sends a command to the shard's worker. A full queue drops it, which closes its reply channel.
    fn dispatch(&self, shard: u16, command: ShardCommand) {
        let mut workers = self.workers.lock().expect("lock not poisoned");
        let open = workers.get(&shard).filter(|worker| !worker.is_closed()).cloned();
        let worker = open.unwrap_or_else(|| {
            let owners = self.owners.clone();
            let worker = start_worker(self.context.clone(), shard, move || owners.is_owner(shard));
            workers.insert(shard, worker.clone());
            worker
        });
        if worker.try_send(command).is_err() {
            self.context.events.count("claim_queue_full");
        }
    }
}
