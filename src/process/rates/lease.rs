//! This daemon's leases: what it sent, what came of it, and when a share may be used.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::pool::TokenPool;
use super::record::{HoldRecord, ReleasedLevel};
use super::share::ShareId;
use super::share_table::{PriorHolding, ShareEvent};
use crate::clock::MilliTime;
use crate::process::members::InstanceId;

/// How long an append that was answered may take to be read back.
const READ_BACK_LIMIT: Duration = Duration::from_secs(3);

/// A share that was taken after its holder lapsed; it is used once the configuration here is
/// as new as the share's lease.
#[derive(Clone, Copy, Debug)]
struct JoiningShare {
    share: ShareId,
    lease_end: MilliTime,
}

/// What this daemon knows of its own leases beyond the share stream.
#[derive(Clone, Debug)]
pub struct LeaseTracker {
    instance: InstanceId,
    sent: HashMap<u64, MilliTime>,
    under_way: HashMap<ShareId, MilliTime>,
    joining: Vec<JoiningShare>,
}

impl LeaseTracker {
    /// A tracker of the leases of `instance`.
    pub fn new(instance: InstanceId) -> Self {
        let (sent, under_way) = (HashMap::new(), HashMap::new());
        LeaseTracker { instance, sent, under_way, joining: Vec::new() }
    }

    /// Of `shares`, those that no record is under way for.
    pub fn not_under_way(&mut self, shares: Vec<ShareId>, now: MilliTime) -> Vec<ShareId> {
        self.under_way.retain(|_, at| now.since(*at) < READ_BACK_LIMIT);
        shares.into_iter().filter(|share| !self.under_way.contains_key(share)).collect()
    }

    /// A record that takes or renews `shares`, whose lease starts now, before it is sent; `seen`
    /// is the offset up to which the share stream was read.
    pub fn hold(
        &mut self,
        shares: Vec<ShareId>,
        term: Duration,
        seen: u64,
        sequence: u64,
        now: MilliTime,
    ) -> HoldRecord {
        self.sent.retain(|_, at| now.since(*at) < term.max(READ_BACK_LIMIT));
        self.sent.insert(sequence, now);
        self.under_way.extend(shares.iter().map(|share| (*share, now)));
        let term_ms = term.as_millis() as u64;
        HoldRecord { instance: self.instance, sequence, seen, term_ms, shares }
    }

    /// Takes in what a record of the share stream changed.
    pub fn apply(&mut self, event: ShareEvent, pool: &mut TokenPool, now: MilliTime) {
        match event {
            ShareEvent::Lost { share, holder } if holder == self.instance => {
                self.lose(share, pool);
            }
            ShareEvent::Lost { .. } => {}
            ShareEvent::Taken { share, holder, .. } if holder != self.instance => {
                self.lose(share, pool);
            }
            ShareEvent::Taken { share, sequence, term, prior, .. } => {
                if let Some(sent_at) = self.sent.get(&sequence).copied() {
                    self.take(share, sent_at + term, prior, pool, now);
                }
            }
        }
    }

    /// The shares that were taken after a lapse and are not used yet.
    pub fn pending(&self) -> Vec<ShareId> {
        self.joining.iter().map(|joining| joining.share).collect()
    }

    /// Starts to use `shares`. Organisations that tickets had `named` by the time that the
    /// shares were taken may have drawn on them, so these start with nothing.
    pub fn activate(
        &mut self,
        shares: &[ShareId],
        named: &[Arc<str>],
        pool: &mut TokenPool,
        now: MilliTime,
    ) {
        let (ready, rest) =
            self.joining.iter().partition(|joining| shares.contains(&joining.share));
        self.joining = rest;
        let ready: Vec<JoiningShare> = ready;
        for JoiningShare { share, lease_end } in ready {
            let drawn = named.iter().filter(|name| share.covers(name));
            let levels = drawn.map(|name| ReleasedLevel { organisation: name.clone(), micros: 0 });
            pool.held.take_over(share, lease_end, levels.collect(), now);
        }
    }

    fn take(
        &mut self,
        share: ShareId,
        lease_end: MilliTime,
        prior: PriorHolding,
        pool: &mut TokenPool,
        now: MilliTime,
    ) {
        self.under_way.remove(&share);
        match prior {
            PriorHolding::NeverHeld => pool.held.take_over(share, lease_end, Vec::new(), now),
            PriorHolding::Released(levels) => pool.held.take_over(share, lease_end, levels, now),
            PriorHolding::Lapsed => self.joining.push(JoiningShare { share, lease_end }),
            PriorHolding::Renewal => {
                pool.held.renew(share, lease_end);
                let joining = self.joining.iter_mut().filter(|joining| joining.share == share);
                joining.for_each(|joining| joining.lease_end = lease_end);
            }
        }
    }

    fn lose(&mut self, share: ShareId, pool: &mut TokenPool) {
        self.under_way.remove(&share);
        self.joining.retain(|joining| joining.share != share);
        pool.held.lose(share);
    }
}
