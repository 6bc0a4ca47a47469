//! The shares under lease here, whose tokens this daemon refills, spends and lends.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use smallvec::SmallVec;

use super::bucket::ShareBucket;
use super::message::{GrantPart, GrantParts, QuotaAsk};
use super::record::{ReleasedLevel, ReleasedShare};
use super::share::ShareId;
use super::terms::{GRANT_LIFETIME, GRANT_MARGIN, ShareTerms};
use crate::clock::MilliTime;
use crate::process::members::InstanceId;

/// A share under lease, with a bucket for each organisation that ever drew on it.
#[derive(Clone, Debug)]
struct LeasedShare {
    lease_end: MilliTime,
    buckets: HashMap<Arc<str>, ShareBucket>,
}

impl LeasedShare {
    /// The bucket of an organisation, full if the organisation never drew on the share.
    fn bucket(
        &mut self,
        organisation: &Arc<str>,
        terms: &ShareTerms,
        now: MilliTime,
    ) -> &mut ShareBucket {
        let full = || ShareBucket::new(terms.burst_micros, now);
        self.buckets.entry(organisation.clone()).or_insert_with(full)
    }
}

/// The shares that this daemon holds.
#[derive(Clone, Debug, Default)]
pub struct HeldShares {
    shares: BTreeMap<ShareId, LeasedShare>,
}

impl HeldShares {
    /// Takes over a share whose buckets have `levels`; other organisations never drew on it.
    /// Refilling starts after the loans of the previous holder have expired.
    pub fn take_over(
        &mut self,
        share: ShareId,
        lease_end: MilliTime,
        levels: Vec<ReleasedLevel>,
        now: MilliTime,
    ) {
        let refill_from = now + GRANT_LIFETIME + GRANT_MARGIN;
        let buckets = levels
            .into_iter()
            .map(|level| (level.organisation, ShareBucket::new(level.micros, refill_from)));
        let buckets = buckets.collect();
        self.shares.insert(share, LeasedShare { lease_end, buckets });
    }

    /// Extends the lease of a held share.
    pub fn renew(&mut self, share: ShareId, lease_end: MilliTime) {
        if let Some(held) = self.shares.get_mut(&share) {
            held.lease_end = held.lease_end.max(lease_end);
        }
    }

    /// Removes a share that another instance took.
    pub fn remove(&mut self, share: ShareId) {
        self.shares.remove(&share);
    }

    /// Stops refilling and lending `shares` and returns their levels.
    pub fn release(&mut self, shares: &[ShareId]) -> Vec<ReleasedShare> {
        let removed = shares.iter().filter_map(|share| Some((*share, self.shares.remove(share)?)));
        removed.map(|(share, held)| released_share(share, held)).collect()
    }

    /// The shares with the ends of their leases.
    pub fn leases(&self) -> impl Iterator<Item = (ShareId, MilliTime)> {
        self.shares.iter().map(|(share, held)| (*share, held.lease_end))
    }

    /// Whether the share is held, even if its lease has lapsed.
    pub fn holds(&self, share: ShareId) -> bool {
        self.shares.contains_key(&share)
    }

    /// Whether a share of `organisation` is held here under a valid lease.
    pub fn holds_any(&mut self, organisation: &str, now: MilliTime) -> bool {
        ShareId::of_organisation(organisation).any(|share| self.active(share, now).is_some())
    }

    /// Level of `organisation`'s buckets here, in millionths of a token, and the number of shares.
    pub fn level(
        &mut self,
        organisation: &Arc<str>,
        terms: &ShareTerms,
        now: MilliTime,
    ) -> (u64, u32) {
        let mut total = (0, 0);
        for share in ShareId::of_organisation(organisation) {
            if let Some(held) = self.active(share, now) {
                total.0 += held.bucket(organisation, terms, now).level(terms, now);
                total.1 += 1;
            }
        }
        total
    }

    /// Takes up to `micros` from the buckets here and returns the amount taken.
    pub fn take(
        &mut self,
        organisation: &Arc<str>,
        micros: u64,
        terms: &ShareTerms,
        now: MilliTime,
    ) -> u64 {
        let mut taken = 0;
        for share in self.fullest_first(organisation, terms, now) {
            if let Some(held) = self.active(share, now) {
                let bucket = held.bucket(organisation, terms, now);
                taken += bucket.take(micros - taken, terms, now);
            }
        }
        taken
    }

    /// Level of `organisation`'s bucket in one share, in millionths of a token.
    pub fn share_level(
        &mut self,
        share: ShareId,
        organisation: &Arc<str>,
        terms: &ShareTerms,
        now: MilliTime,
    ) -> u64 {
        let held = self.active(share, now);
        held.map_or(0, |held| held.bucket(organisation, terms, now).level(terms, now))
    }

    /// The shares of `organisation`, the fullest first: the refill of a full bucket is lost.
    fn fullest_first(
        &mut self,
        organisation: &Arc<str>,
        terms: &ShareTerms,
        now: MilliTime,
    ) -> SmallVec<[ShareId; 8]> {
        let mut levels: SmallVec<[(u64, ShareId); 8]> = ShareId::of_organisation(organisation)
            .map(|share| (self.share_level(share, organisation, terms, now), share))
            .collect();
        levels.sort_by(|one, other| other.cmp(one));
        levels.into_iter().map(|(_, share)| share).collect()
    }

    /// Settles the report of `borrower`; `false` if a later one was already settled.
    pub fn settle(&mut self, borrower: InstanceId, ask: &QuotaAsk, now: MilliTime) -> bool {
        let mut current = true;
        for share in ShareId::of_organisation(&ask.organisation) {
            let Some(held) = self.active(share, now) else { continue };
            let Some(bucket) = held.buckets.get_mut(&ask.organisation) else { continue };
            match bucket.loans.settle(borrower, ask.sequence, ask.part(share), now) {
                Some(report) => bucket.adjust(report),
                None => current = false,
            }
        }
        current
    }

    /// Lends up to `micros` to `borrower`, whose report was settled. The grant includes every share
    /// from which the borrower still holds tokens, which extends these loans.
    pub fn lend(
        &mut self,
        borrower: InstanceId,
        ask: &QuotaAsk,
        micros: u64,
        terms: &ShareTerms,
        now: MilliTime,
    ) -> GrantParts {
        let mut parts = GrantParts::new();
        let mut remaining = micros;
        for share in self.fullest_first(&ask.organisation, terms, now) {
            let Some(held) = self.active(share, now) else { continue };
            let expires = (now + GRANT_LIFETIME).min(held.lease_end);
            let bucket = held.bucket(&ask.organisation, terms, now);
            let amount = bucket.level(terms, now).min(remaining);
            if amount == 0 && ask.part(share).held == 0 {
                continue;
            }
            if bucket.loans.lend(borrower, ask.sequence, amount, expires) {
                bucket.take(amount, terms, now);
                remaining -= amount;
                let life_ms = expires.since(now).as_millis() as u64;
                parts.push(GrantPart { share, micros: amount, life_ms });
            }
        }
        parts
    }

    fn active(&mut self, share: ShareId, now: MilliTime) -> Option<&mut LeasedShare> {
        self.shares.get_mut(&share).filter(|held| held.lease_end > now)
    }
}

fn released_share(share: ShareId, held: LeasedShare) -> ReleasedShare {
    let mut levels: Vec<ReleasedLevel> = held
        .buckets
        .into_iter()
        .map(|(organisation, bucket)| ReleasedLevel { organisation, micros: bucket.stored() })
        .collect();
    levels.sort_by(|one, other| one.organisation.cmp(&other.organisation));
    ReleasedShare { share, levels }
}
