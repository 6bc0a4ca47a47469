//! The shards that this daemon decides, whoever else may think to own them.

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

/// The open shards, one task for each.
pub struct ShardTable {
    context: WorkerContext,
    owners: Arc<OwnerTable>,
    workers: Mutex<HashMap<u16, mpsc::Sender<ShardCommand>>>,
}

impl ShardTable {
    /// No shards open yet.
    pub fn new(context: WorkerContext, owners: Arc<OwnerTable>) -> Self {
        ShardTable { context, owners, workers: Mutex::default() }
    }

    /// Decides claims of one shard.
    pub async fn decide(&self, claims: &[ClaimRequest]) -> Vec<ClaimVerdict> {
        let verdicts = claims.iter().map(|claim| {
            let (reply, verdict) = oneshot::channel();
            let order = PendingClaim { claim: *claim, reply };
            self.order(claim.key.shard(), ShardCommand::Claim(order));
            async move { verdict.await.unwrap_or(ClaimVerdict::Unavailable) }
        });
        join_all(verdicts).await
    }

    /// Puts the ends of attempts, all of one shard, on its stream; says whether they are there.
    pub async fn append_ends(&self, ends: Vec<AttemptEnd>) -> bool {
        let Some(shard) = ends.first().map(|end| end.key.shard()) else {
            return true;
        };
        let (reply, taken) = oneshot::channel();
        self.order(shard, ShardCommand::Ends(ends, reply));
        taken.await.unwrap_or(false)
    }

    /// Reads the streams of shards that this daemon owns before the first claim needs them.
    pub fn open_owned(&self) {
        for shard in 0..CLAIM_SHARDS {
            let open = self.workers.lock().expect("no holder panics").contains_key(&shard);
            if !open && self.owners.is_owner(shard) {
                let (reply, _) = oneshot::channel();
                self.order(shard, ShardCommand::Ends(Vec::new(), reply));
            }
        }
    }

    /// Claims remembered over all shards.
    pub fn retained(&self) -> usize {
        self.context.retained.load(Ordering::Acquire)
    }

    /// Hands work to the shard's worker; a full queue drops it, which its sender sees.
    fn order(&self, shard: u16, order: ShardCommand) {
        let mut workers = self.workers.lock().expect("no holder panics");
        let open = workers.get(&shard).filter(|worker| !worker.is_closed()).cloned();
        let worker = open.unwrap_or_else(|| {
            let owners = self.owners.clone();
            let worker = start_worker(self.context.clone(), shard, move || owners.is_owner(shard));
            workers.insert(shard, worker.clone());
            worker
        });
        if worker.try_send(order).is_err() {
            self.context.events.count("claim_queue_full");
        }
    }
}
