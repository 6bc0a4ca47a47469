//! Rules of leases, loans and buckets, on a simulated clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::process::members::InstanceId;
use lentilway::process::rates::borrow_account::BorrowAccount;
use lentilway::process::rates::bucket::ShareBucket;
use lentilway::process::rates::lease::LeaseTracker;
use lentilway::process::rates::loan::LoanLedger;
use lentilway::process::rates::message::{AskPart, GrantPart, QuotaAsk, QuotaGrant};
use lentilway::process::rates::pool::TokenPool;
use lentilway::process::rates::record::{HoldRecord, ReleaseRecord, ReleasedShare, ShareRecord};
use lentilway::process::rates::share::ShareId;
use lentilway::process::rates::share_table::ShareTable;
use lentilway::process::rates::terms::{GRANT_MARGIN, ShareTerms, lapse_bound};
use smallvec::smallvec;

const TERM: Duration = Duration::from_millis(1000);

fn instance(number: u64) -> InstanceId {
    InstanceId { address: SocketAddr::from(([127, 0, 0, 1], 7000)), boot: number }
}

fn nord() -> Arc<str> {
    "nord".into()
}

fn share() -> ShareId {
    ShareId::of_organisation("nord").next().expect("an organisation has eight shares")
}

fn report(held: u64, returned: u64) -> AskPart {
    AskPart { share: share(), held, returned }
}

fn hold(holder: u64, sequence: u64, seen: u64) -> Vec<u8> {
    let (instance, term_ms) = (instance(holder), TERM.as_millis() as u64);
    let record = HoldRecord { instance, sequence, seen, term_ms, shares: vec![share()] };
    serde_json::to_vec(&ShareRecord::Hold(record)).expect("a record serializes to JSON")
}

fn release(holder: u64, seen: u64) -> Vec<u8> {
    let shares = vec![ReleasedShare { share: share(), levels: Vec::new() }];
    let record = ReleaseRecord { instance: instance(holder), seen, shares };
    serde_json::to_vec(&ShareRecord::Release(record)).expect("a record serializes to JSON")
}

fn table(start: u64, records: &[Vec<u8>]) -> ShareTable {
    let mut table = ShareTable::new(start, MilliTime(0), TERM);
    for (offset, record) in records.iter().enumerate() {
        table.apply(start + offset as u64, record, MilliTime(0));
    }
    table
}

fn lent_ledger(expires: u64) -> LoanLedger {
    let mut ledger = LoanLedger::default();
    ledger.settle(instance(1), 1, report(0, 0), MilliTime(0));
    ledger.lend(instance(1), 1, 500, MilliTime(expires));
    ledger
}

#[test]
fn settle_overtaken() -> googletest::Result<()> {
    let mut ledger = lent_ledger(1000);
    ledger.settle(instance(1), 3, report(200, 0), MilliTime(10));
    let late = ledger.settle(instance(1), 2, report(0, 0), MilliTime(11));
    verify_that!(late, none())?;
    verify_that!(ledger.lent(), eq(200))
}

#[test]
fn settle_returned_after_expiry() -> googletest::Result<()> {
    let mut ledger = lent_ledger(100);
    let late = ledger.settle(instance(1), 2, report(0, 500), MilliTime(500));
    verify_that!(late.map(|late| late.returned), some(eq(0)))
}

#[test]
fn settle_returned_in_time() -> googletest::Result<()> {
    let mut ledger = lent_ledger(100);
    let settled = ledger.settle(instance(1), 2, report(200, 300), MilliTime(50));
    verify_that!(settled.map(|settled| settled.returned), some(eq(300)))?;
    verify_that!(ledger.lent(), eq(200))
}

#[test]
fn expire_with_margin() -> googletest::Result<()> {
    let mut ledger = lent_ledger(100);
    let last = MilliTime(100) + GRANT_MARGIN;
    ledger.expire(MilliTime(last.0 - 1));
    verify_that!(ledger.lent(), eq(500))?;
    ledger.expire(last);
    verify_that!(ledger.lent(), eq(0))
}

#[test]
fn expire_extended() -> googletest::Result<()> {
    let mut ledger = lent_ledger(100);
    ledger.settle(instance(1), 2, report(500, 0), MilliTime(50));
    ledger.lend(instance(1), 2, 0, MilliTime(1050));
    ledger.expire(MilliTime(500));
    verify_that!(ledger.lent(), eq(500))
}

#[test]
fn lease_starts_at_send() -> googletest::Result<()> {
    let mut pool = TokenPool::default();
    let mut leases = LeaseTracker::new(instance(1));
    let record = leases.hold(vec![share()], TERM, 0, 1, MilliTime(0));
    let body = serde_json::to_vec(&ShareRecord::Hold(record)).expect("a record serializes to JSON");
    let read_at = MilliTime(900);
    for event in ShareTable::new(0, MilliTime(0), TERM).apply(0, &body, read_at) {
        leases.apply(event, &mut pool, read_at);
    }
    let terms = ShareTerms::new(80.0, 80.0);
    let level = |pool: &mut TokenPool, now| pool.level(&nord(), &terms, MilliTime(now));
    verify_that!(level(&mut pool, 999), gt(0))?;
    verify_that!(level(&mut pool, 1000), eq(0))
}

#[test]
fn lend_grant_ends_with_lease() -> googletest::Result<()> {
    let mut pool = TokenPool::default();
    pool.held.take_over(share(), MilliTime(300), Vec::new(), MilliTime(0));
    let organisation = nord();
    let (sequence, need, ahead, relay) = (1, 1_000_000, 0, false);
    let ask = QuotaAsk { organisation, sequence, need, ahead, relay, parts: smallvec![] };
    let terms = ShareTerms::new(80.0, 80.0);
    let grant = pool.lend(instance(2), &ask, &terms, MilliTime(200));
    verify_that!(grant.parts.len(), eq(1))?;
    verify_that!(grant.parts[0].life_ms, eq(100))
}

#[test]
fn release_repeated() -> googletest::Result<()> {
    let records = [hold(1, 1, 0), release(1, 1), hold(1, 2, 2), release(1, 1)];
    verify_that!(table(0, &records).holder(share(), MilliTime(1)), some(eq(instance(1))))
}

#[test]
fn claim_overtaken_by_renewal() -> googletest::Result<()> {
    let records = [hold(1, 1, 0), hold(1, 2, 1), hold(2, 1, 1)];
    verify_that!(table(0, &records).holder(share(), MilliTime(1)), some(eq(instance(1))))
}

#[test]
fn claim_lapsed_holder() -> googletest::Result<()> {
    let records = [hold(1, 1, 0), hold(2, 1, 1)];
    verify_that!(table(0, &records).holder(share(), MilliTime(1)), some(eq(instance(2))))
}

#[test]
fn renewal_after_release() -> googletest::Result<()> {
    let records = [hold(1, 1, 0), release(1, 1), hold(1, 2, 1)];
    verify_that!(table(0, &records).holder(share(), MilliTime(1)), none())
}

#[test]
fn free_after_certain_lapse() -> googletest::Result<()> {
    let held = table(0, &[hold(1, 1, 0)]);
    let lapse = lapse_bound(TERM).as_millis() as u64;
    verify_that!(lapse, gt(TERM.as_millis() as u64))?;
    verify_that!(held.free_since(share(), MilliTime(lapse - 1)), none())?;
    verify_that!(held.free_since(share(), MilliTime(lapse)), some(anything()))
}

#[test]
fn free_unknown_past() -> googletest::Result<()> {
    let lapse = MilliTime(lapse_bound(TERM).as_millis() as u64);
    let before = MilliTime(lapse.0 - 1);
    for records in [vec![], vec![release(1, 6)], vec![hold(1, 1, 3)]] {
        let table = table(5, &records);
        verify_that!(table.free_since(share(), before), none())?;
        verify_that!(table.free_since(share(), lapse), some(anything()))?;
    }
    Ok(())
}

#[test]
fn spend_expired() -> googletest::Result<()> {
    let mut account = BorrowAccount::default();
    let part = GrantPart { share: share(), micros: 3_000_000, life_ms: 100 };
    let grant = QuotaGrant { parts: smallvec![part], holder_known: true, retry_ms: 0 };
    // The ask was sent at 50, so the late reply does not extend the loan.
    account.receive(instance(1), &grant, MilliTime(50), MilliTime(120));
    verify_that!(account.level(MilliTime(149)), eq(3_000_000))?;
    verify_that!(account.level(MilliTime(150)), eq(0))?;
    verify_that!(account.spend(1_000_000, MilliTime(150)), eq(0))
}

#[test]
fn sweep_reports_every_lot() -> googletest::Result<()> {
    let mut account = BorrowAccount::default();
    let shares: Vec<ShareId> = ShareId::of_organisation("nord").take(2).collect();
    for (share, at) in [(shares[0], 0), (shares[1], 500)] {
        let part = GrantPart { share, micros: 1_000_000, life_ms: 1000 };
        let grant = QuotaGrant { parts: smallvec![part], holder_known: true, retry_ms: 0 };
        account.receive(instance(1), &grant, MilliTime(at), MilliTime(at));
    }
    let reports = account.sweep(MilliTime(501));
    verify_that!(reports.len(), eq(1))?;
    let seen: Vec<(u64, u64)> =
        reports[0].parts.iter().map(|part| (part.held, part.returned)).collect();
    verify_that!(seen, unordered_elements_are![eq(&(0, 1_000_000)), eq(&(1_000_000, 0))])
}

#[test]
fn refill_lowered_burst() -> googletest::Result<()> {
    let mut bucket = ShareBucket::new(10_000_000, MilliTime(0));
    let lowered = ShareTerms::new(8.0, 16.0);
    verify_that!(bucket.level(&lowered, MilliTime(0)), eq(2_000_000))
}

#[test]
fn refill_full_in_tick() -> googletest::Result<()> {
    // A bucket that is full at the end of a tick must not refill a whole tick at the start of the
    // next.
    let terms = ShareTerms::new(8000.0, 80.0);
    let mut bucket = ShareBucket::new(10_000_000, MilliTime(0));
    verify_that!(bucket.take(10_000_000, &terms, MilliTime(5)), eq(10_000_000))?;
    verify_that!(bucket.level(&terms, MilliTime(6)), eq(0))?;
    verify_that!(bucket.level(&terms, MilliTime(7)), eq(1_000_000))
}
