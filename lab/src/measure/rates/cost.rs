//! Memory and CPU time by the number of organisations and members.

use std::collections::HashMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilway::clock::MilliTime;
use lentilway::config::{DaemonConfig, SecretText};
use lentilway::connection::control_link::ControlLinks;
use lentilway::connection::peer_message::{FrameKind, PeerFrame, PeerMessage};
use lentilway::connection::peer_transport::PeerTransport;
use lentilway::process::daemon::Daemon;
use lentilway::process::members::InstanceId;
use lentilway::process::rates::message::{AskPart, GrantPart, QuotaAsk, QuotaGrant, QuotaMessage};
use lentilway::process::rates::pool::TokenPool;
use lentilway::process::rates::record::HoldRecord;
use lentilway::process::rates::record::ShareRecord;
use lentilway::process::rates::share::ShareId;
use lentilway::process::rates::share_table::ShareTable;
use lentilway::process::rates::terms::{LeaseTerms, ShareTerms};
use lentilway_stand_ins::log::LogServer;
use smallvec::smallvec;

use crate::fleet::ANY_PORT;

const ORGANISATION_COUNTS: [usize; 3] = [10, 100, 1_000];
const MEMBER_COUNTS: [usize; 3] = [100, 1_000, 13_000];
const TERMS_RATE: f64 = 1e9;
const PAGE_KIB: f64 = 4.0;
const LINKS: usize = 100;
const CALLS: usize = 20_000;

/// Measures and prints the tables.
pub async fn run() {
    println!("\nBytes: an ask {}, a grant {}", frame_bytes(ask_message(1)), frame_bytes(grant()));
    let bytes = hold_bytes(1);
    println!("A renewal's record: {bytes} bytes with one share, {} with ten", hold_bytes(10));
    // Runs first: memory freed by the other measurements would hide what links allocate.
    links().await;
    organisations();
    members();
}

fn instance(index: usize) -> InstanceId {
    let address = SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7402));
    InstanceId { address, boot: index as u64 * 0x9e37_79b9 }
}

fn ask(sequence: u64) -> QuotaAsk {
    let share = ShareId::of_organisation("organisation-0")
        .next()
        .expect("an organisation has eight shares");
    let part = AskPart { share, held: 1_500_000, returned: 0 };
    QuotaAsk {
        organisation: "organisation-0".into(),
        sequence,
        need: 1_000_000,
        ahead: 2_000_000,
        relay: true,
        parts: smallvec![part],
    }
}

fn ask_message(sequence: u64) -> PeerMessage {
    PeerMessage::Quota(QuotaMessage::Ask(Box::new(ask(sequence))))
}

fn grant() -> PeerMessage {
    let share = ShareId::of_organisation("organisation-0")
        .next()
        .expect("an organisation has eight shares");
    let part = GrantPart { share, micros: 2_000_000, life_ms: 1000 };
    let grant = QuotaGrant { parts: smallvec![part], holder_known: true, retry_ms: 0 };
    PeerMessage::Quota(QuotaMessage::Grant(Box::new(grant)))
}

fn frame_bytes(body: PeerMessage) -> usize {
    PeerFrame { id: 1000, kind: FrameKind::Call, from: instance(1), body }.encode().len()
}

fn hold_bytes(count: usize) -> usize {
    let shares = ShareId::all().skip(1000).step_by(8).take(count).collect();
    let record = HoldRecord {
        instance: instance(300),
        sequence: 1000,
        seen: 100_000,
        term_ms: 180_000,
        shares,
    };
    serde_json::to_vec(&ShareRecord::Hold(record)).expect("the record serializes to JSON").len()
}

/// Resident memory of this process in KiB.
fn resident_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_KIB
}

/// CPU time of this process so far.
fn cpu_time() -> Duration {
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = [11, 12].map(|field| fields.get(field).and_then(|text| text.parse::<f64>().ok()));
    Duration::from_secs_f64(ticks.iter().flatten().sum::<f64>() / TICKS_PER_SECOND)
}

fn nanos_each(count: usize, mut operation: impl FnMut(usize)) -> f64 {
    let started = Instant::now();
    (0..count).for_each(&mut operation);
    started.elapsed().as_nanos() as f64 / count as f64
}

fn held_pool(now: MilliTime) -> TokenPool {
    let mut pool = TokenPool::default();
    let end = now + Duration::from_secs(3600);
    ShareId::all().for_each(|share| pool.held.take_over(share, end, Vec::new(), now));
    pool
}

/// A pool that has borrowed many tokens for each organisation.
fn borrowing_pool(names: &[Arc<str>], terms: &ShareTerms) -> TokenPool {
    let now = MilliTime(1);
    let mut pool = TokenPool::default();
    for name in names {
        let share =
            ShareId::of_organisation(name).next().expect("an organisation has eight shares");
        let part = GrantPart { share, micros: 1 << 40, life_ms: 1_000_000 };
        let grant = QuotaGrant { parts: smallvec![part], holder_known: true, retry_ms: 0 };
        pool.account(name).count_arrivals(1.0, now);
        pool.account(name).receive(instance(1), &grant, now, now);
        pool.take(name, terms, now);
    }
    pool
}

fn organisations() {
    const COPIES: usize = 20;
    println!(
        "\n| organisations | KiB of a borrower | ns an admission | µs a sweep | KiB of a holder of all shares |"
    );
    println!("|---|---|---|---|---|");
    let terms = ShareTerms::new(TERMS_RATE, TERMS_RATE);
    for count in ORGANISATION_COUNTS {
        let names: Vec<Arc<str>> =
            (0..count).map(|index| format!("organisation-{index}").into()).collect();
        let before = resident_kib();
        let mut pools: Vec<TokenPool> =
            (0..COPIES).map(|_| borrowing_pool(&names, &terms)).collect();
        let borrower = (resident_kib() - before) / COPIES as f64;
        let pool = &mut pools[0];
        let admission = nanos_each(200_000, |index| {
            black_box(pool.take(&names[index % count], &terms, MilliTime(2)));
        });
        let sweep = nanos_each(200, |_| {
            black_box(pool.take_unused(|| 1, MilliTime(3)));
        });
        let before = resident_kib();
        let mut holders: Vec<TokenPool> = (0..COPIES).map(|_| held_pool(MilliTime(0))).collect();
        for pool in &mut holders {
            names.iter().for_each(|name| {
                black_box(pool.take(name, &terms, MilliTime(1)));
            });
        }
        let holder = (resident_kib() - before) / COPIES as f64;
        println!(
            "| {count} | {borrower:.0} | {admission:.0} | {:.1} | {holder:.0} |",
            sweep / 1000.0
        );
        drop((pools, holders));
    }
}

fn members() {
    println!(
        "\n| members | KiB of loans to each, one organisation | ns an ask served | µs to rank one share | ms to rank all | KiB of the share book |"
    );
    println!("|---|---|---|---|---|---|");
    let terms = ShareTerms::new(TERMS_RATE, TERMS_RATE);
    for count in MEMBER_COUNTS {
        let instances: Vec<InstanceId> = (0..count).map(instance).collect();
        let before = resident_kib();
        let mut pool = held_pool(MilliTime(0));
        let mut sequence = 0;
        let mut now = 0;
        let served = nanos_each(count * 4, |index| {
            sequence += 1;
            now = 1 + (index / count) as u64;
            let ask = ask(sequence);
            let from = instances[index % count];
            pool.settle(from, &ask, MilliTime(now));
            black_box(pool.lend(from, &ask, &terms, MilliTime(now)));
        });
        let loans = resident_kib() - before;
        let share = ShareId::all().next().expect("the share list is not empty");
        let rank = nanos_each(20, |index| {
            black_box(share.rank(&instances[index], &instances));
        });
        let all = Instant::now();
        let first = ShareId::all().filter(|share| share.rank(&instances[0], &instances) == 0);
        black_box(first.count());
        let all = all.elapsed().as_secs_f64() * 1000.0;
        let before = resident_kib();
        black_box(full_table(&instances));
        let table = resident_kib() - before;
        println!(
            "| {count} | {loans:.0} | {served:.0} | {:.1} | {all:.1} | {table:.0} |",
            rank / 1000.0
        );
    }
}

fn full_table(instances: &[InstanceId]) -> ShareTable {
    let now = MilliTime(0);
    let mut table = ShareTable::new(0, now, LeaseTerms::default().long);
    let mut held: HashMap<InstanceId, Vec<ShareId>> = HashMap::new();
    for (index, share) in ShareId::all().enumerate() {
        held.entry(instances[index % instances.len()]).or_default().push(share);
    }
    for (offset, (instance, shares)) in held.into_iter().enumerate() {
        let (sequence, seen, term_ms) = (1, offset as u64, 180_000);
        let record = HoldRecord { instance, sequence, seen, term_ms, shares };
        let body =
            serde_json::to_vec(&ShareRecord::Hold(record)).expect("the record serializes to JSON");
        table.apply(offset as u64, &body, now);
    }
    table
}

/// Measures the cost of a control link and of an ask with its reply over it, on both sides.
async fn links() {
    let log = LogServer::start(ANY_PORT, None).await.expect("the log starts");
    let config = DaemonConfig::loopback(&log.url(), "az1");
    let secrets: Vec<SecretText> = config.peer_secrets.clone();
    let daemon = Daemon::start(config).await.expect("the daemon starts");
    let target = daemon.addresses.peer;
    let transport = PeerTransport::new(&secrets).expect("the secrets are valid");
    let limit = Duration::from_secs(5);
    let before = resident_kib();
    let mut all_links = Vec::new();
    for index in 0..LINKS {
        let links = ControlLinks::new(transport.clone(), instance(index));
        links.call(target, ask_message(1), limit).await.expect("the daemon answers");
        all_links.push(links);
    }
    let link = (resident_kib() - before) / LINKS as f64;
    let used = cpu_time();
    let started = Instant::now();
    for call in 0..CALLS {
        let links = &all_links[call % LINKS];
        links.call(target, ask_message(call as u64 + 2), limit).await.expect("the daemon answers");
    }
    let each = |span: Duration| span.as_micros() as f64 / CALLS as f64;
    println!(
        "\nA link: {link:.0} KiB, both sides. An ask with its reply: {:.0} µs of processor time, both sides, {:.0} µs elapsed",
        each(cpu_time() - used),
        each(started.elapsed()),
    );
    drop(all_links);
    daemon.stop().await;
}
