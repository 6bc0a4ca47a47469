//! Claims: appends per second, latency, bytes and memory by load, members and claims.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hyper::{HeaderMap, StatusCode};
use lentilway::clock::{MilliClock, wall_time};
use lentilway::config::SecretText;
use lentilway::connection::control_link::ControlLinks;
use lentilway::connection::peer_message::{FrameKind, PeerFrame, PeerMessage};
use lentilway::connection::peer_transport::PeerTransport;
use lentilway::process::claims::key::{CLAIM_SHARDS, KeyHash};
use lentilway::process::claims::message::{ClaimMessage, ClaimRequest};
use lentilway::process::claims::owner::rank;
use lentilway::process::claims::record::{ClaimBatch, ClaimEntry, RunAttempt};
use lentilway::process::claims::registry::ClaimDependencies;
use lentilway::process::claims::shard_state::{ClaimVerdict, ShardState};
use lentilway::process::claims::{ClaimKey, ClaimOutcome, ClaimRegistry};
use lentilway::process::daemon::Daemon;
use lentilway::process::http_log::HttpLog;
use lentilway::process::members::InstanceId;
use lentilway::process::metrics::EventCounters;
use lentilway::request::answer::BufferedAnswer;
use lentilway::version::digest::Sha256Digest;
use lentilway_stand_ins::backend::BackendBehaviour;
use lentilway_stand_ins::log::LogServer;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::fleet::{ANY_PORT, Fleet, FleetError, NodePlan};

const LOAD_TIME: Duration = Duration::from_secs(6);
const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);
const LOG_DELAY_MS: u64 = 3;
const LATENCY_MAX_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const CLAIMS_PER_BATCH: u64 = 100;
const CLAIM_COUNTS: [u64; 4] = [50_000, 100_000, 200_000, 300_000];
const MEMBER_COUNTS: [u16; 4] = [14, 100, 1_000, 13_000];
const FLEET_SIZES: [usize; 3] = [3, 7, 14];
const CLAIM_RATES: [f64; 5] = [50.0, 200.0, 500.0, 1_000.0, 2_000.0];
const MESSAGE_ROUNDS: usize = 100_000;
const MESSAGE_SIZES: [usize; 3] = [1, 10, 100];

/// Runs the measurement and prints its tables.
pub async fn run(seed: u64) {
    print_ranking();
    print_messages();
    print_memory();
    print_takeovers().await;
    print_fleets(seed).await;
}

fn instance(number: u16) -> InstanceId {
    let address = ([10, 0, (number >> 8) as u8, number as u8], 7402).into();
    InstanceId { address, boot: u64::from(number) * 0x9e37_79b9_7f4a_7c15 }
}

fn print_ranking() {
    println!("owners of all shards by members");
    println!("{:>8} {:>12}", "members", "cpu_ms");
    for count in MEMBER_COUNTS {
        let instances: Vec<InstanceId> = (0..count).map(instance).collect();
        let started = Instant::now();
        for shard in 0..CLAIM_SHARDS {
            black_box(rank(shard, &instances));
        }
        println!("{count:>8} {:>12.3}", started.elapsed().as_secs_f64() * 1000.0);
    }
}

fn print_messages() {
    let attempt = RunAttempt { instance: instance(1), number: u64::MAX };
    let key = KeyHash(u64::MAX, u64::MAX);
    let claim =
        ClaimRequest { key, digest: u64::MAX, attempt, issued: wall_time(), refresh: false };
    println!("\nmessages by their number of claims");
    println!("{:>8} {:>8} {:>8} {:>16}", "message", "claims", "bytes", "codec_us_a_claim");
    for count in MESSAGE_SIZES {
        let claims = ClaimMessage::Claims { boot: u64::MAX, claims: vec![claim; count] };
        let verdicts = ClaimMessage::Verdicts { verdicts: vec![ClaimVerdict::Won; count] };
        print_message("claims", count, claims);
        print_message("verdicts", count, verdicts);
    }
}

fn print_message(name: &str, count: usize, message: ClaimMessage) {
    let body = PeerMessage::Claims(message);
    let frame = PeerFrame { id: 1 << 20, kind: FrameKind::Call, from: instance(1), body };
    let rounds = MESSAGE_ROUNDS / count;
    let started = Instant::now();
    for _ in 0..rounds {
        black_box(PeerFrame::decode(&black_box(&frame).encode()).is_ok());
    }
    let micros = started.elapsed().as_secs_f64() * 1e6 / (rounds * count) as f64;
    println!("{name:>8} {count:>8} {:>8} {micros:>16.2}", frame.encode().len());
}

fn print_memory() {
    println!("\nremembered claims");
    println!("{:>8} {:>14} {:>14} {:>14}", "claims", "bytes_a_claim", "record_bytes", "fold_us");
    for size in CLAIM_COUNTS {
        let batches: Vec<_> = (0..size / CLAIMS_PER_BATCH).map(claim_batch).collect();
        let records: usize = batches.iter().map(|batch| batch.len()).sum();
        let before = resident_bytes();
        let started = Instant::now();
        let mut state = ShardState::new(Arc::default(), usize::MAX);
        for (offset, body) in batches.iter().enumerate() {
            let applied = state.apply_record(offset as u64, body, wall_time());
            assert!(applied.is_ok(), "the record was just encoded");
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / size as f64;
        let memory = resident_bytes().saturating_sub(before) as f64 / size as f64;
        let record = records as f64 / size as f64;
        println!("{:>8} {memory:>14.1} {record:>14.1} {micros:>14.2}", state.len());
    }
}

fn claim_batch(number: u64) -> bytes::Bytes {
    let mut batch = ClaimBatch::empty(number, wall_time(), number);
    let mut random = StdRng::seed_from_u64(number);
    for _ in 0..CLAIMS_PER_BATCH {
        let claimant = batch.claimant(instance(random.random_range(0..50)));
        let key = KeyHash(random.random(), random.random());
        batch.claims.push(ClaimEntry {
            key,
            digest: random.random(),
            claimant,
            attempt: random.random(),
        });
    }
    batch.encode()
}

/// Resident memory of this process in bytes, 0 where the system does not report it.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    1024 * kib.unwrap_or(0)
}

async fn print_takeovers() {
    println!("\ntime of a new owner from the first claim to its verdict, by claims on the stream");
    println!("{:>8} {:>10}", "claims", "ms");
    for size in CLAIM_COUNTS {
        let Ok(log) = LogServer::start(ANY_PORT, None).await else { return };
        for number in 0..size / CLAIMS_PER_BATCH {
            log.append("claims-0", &claim_batch(number));
        }
        let Some(registry) = standalone_registry(&log) else { return };
        let attempt = RunAttempt { instance: instance(1), number: 1 };
        let (key, issued) = (KeyHash(0, 0), wall_time());
        let claim = ClaimRequest { key, digest: 0, attempt, issued, refresh: false };
        let started = Instant::now();
        black_box(registry.forwarder().shards.decide(&[claim]).await);
        println!("{size:>8} {:>10.0}", started.elapsed().as_secs_f64() * 1000.0);
    }
}

/// The claim registry of a daemon without peers.
fn standalone_registry(log: &LogServer) -> Option<Arc<ClaimRegistry>> {
    let transport = PeerTransport::new(&[SecretText::new("a-secret-of-the-measurement")]).ok()?;
    Some(ClaimRegistry::new(ClaimDependencies {
        log: Arc::new(HttpLog::new(&log.url())),
        members: Arc::default(),
        links: ControlLinks::new(transport, instance(1)),
        instance: instance(1),
        availability_zone: "az1".into(),
        relay_members: usize::MAX,
        clock: MilliClock::monotonic(),
        events: EventCounters::default(),
    }))
}

async fn print_fleets(seed: u64) {
    println!("\nclaims in fleets, the log answers after {LOG_DELAY_MS} ms, {LOAD_TIME:?} each");
    println!(
        "{:>8} {:>9} {:>9} {:>10} {:>10} {:>8} {:>8} {:>9} {:>6}",
        "daemons",
        "claims/s",
        "appends/s",
        "log_B/clm",
        "claims/app",
        "p50_ms",
        "p99_ms",
        "links",
        "lost"
    );
    for daemons in FLEET_SIZES {
        for rate in CLAIM_RATES {
            match measure_fleet(daemons, rate, seed).await {
                Ok(row) => println!("{row}"),
                Err(error) => eprintln!("error: {error}"),
            }
        }
    }
}

async fn measure_fleet(daemons: usize, rate: f64, seed: u64) -> Result<String, FleetError> {
    let plans: Vec<NodePlan> = (0..daemons)
        .map(|index| {
            NodePlan::new("wallet", &format!("az{}", index % 3), BackendBehaviour::default())
        })
        .collect();
    let fleet = Fleet::start(&[], &plans, |_| {}).await?;
    fleet.log.set_faults(lentilway_stand_ins::log::LogFaults {
        delay_ms: LOG_DELAY_MS,
        ..Default::default()
    });
    let appends = fleet.log.append_count();
    let (times, lost) = run_claims(&fleet, rate, seed).await;
    let appends = (fleet.log.append_count() - appends) as f64;
    let bytes: usize =
        (0..CLAIM_SHARDS).map(|shard| fleet.log.bytes(&format!("claims-{shard}"))).sum();
    let claims = times.len() as f64;
    let seconds = LOAD_TIME.as_secs_f64();
    let quantile_ms = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    let row = format!(
        "{daemons:>8} {:>9.0} {:>9.1} {:>10.1} {:>10.2} {:>8.1} {:>8.1} {:>9} {lost:>6}",
        claims / seconds,
        appends / seconds,
        bytes as f64 / claims,
        claims / appends,
        quantile_ms(0.5),
        quantile_ms(0.99),
        daemons * (daemons - 1),
    );
    fleet.stop().await;
    Ok(row)
}

/// Claims keys at `rate` per second over all daemons; returns the latencies in microseconds and
/// the number of claims that failed.
async fn run_claims(fleet: &Fleet, rate: f64, seed: u64) -> (Histogram<u64>, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let (sender, mut results) = mpsc::unbounded_channel();
    let started = Instant::now();
    let mut next = Duration::ZERO;
    let mut number = 0;
    loop {
        next += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate);
        if next >= LOAD_TIME {
            break;
        }
        sleep_until((started + next).into()).await;
        let daemon: &Daemon = &fleet.nodes[number % fleet.nodes.len()].daemon;
        let deadline = daemon.shared.clock.now() + CLAIM_TIMEOUT;
        let (claims, sender) = (daemon.shared.claims.clone(), sender.clone());
        tokio::spawn(async move {
            let is_won = claim_once(&claims, number, deadline).await;
            // The receiver outlives all senders, so sending cannot fail.
            let _ = sender.send((is_won, (started + next).elapsed()));
        });
        number += 1;
    }
    drop(sender);
    let mut times = Histogram::new_with_bounds(1, LATENCY_MAX_MICROS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants");
    let mut lost = 0;
    while let Some((is_won, time)) = results.recv().await {
        times.saturating_record(time.as_micros() as u64);
        lost += u64::from(!is_won);
    }
    (times, lost)
}

async fn claim_once(
    claims: &ClaimRegistry,
    number: usize,
    deadline: lentilway::clock::MilliTime,
) -> bool {
    let key = ClaimKey {
        organisation: Some("nord".into()),
        method: "POST".into(),
        path: "/top-up".into(),
        key: format!("key-{number}").into(),
    };
    let outcome = claims.claim(&key, wall_time(), Sha256Digest::of(b"50"), deadline).await;
    let Ok(ClaimOutcome::Run(permit)) = outcome else { return false };
    let answer = BufferedAnswer::new(StatusCode::OK, &HeaderMap::new(), bytes::Bytes::new());
    claims.finish(permit, &Ok(answer));
    true
}
