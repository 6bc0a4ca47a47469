//! Wrongful refusals and messages of an in-process fleet with real links on loopback.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lentilway::process::rates::share::SHARE_COUNT;
use lentilway::process::shared::DaemonShared;
use lentilway::version::organisation::OrganisationState;
use lentilway_stand_ins::backend::BackendBehaviour;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use super::arrivals::{CallerSpread, RequestArrival, draw_arrivals};
use super::window::{AdmissionSpan, IdealBucket, worst_window};
use crate::fleet::{Fleet, NodePlan, organisation, ticket};

const DAEMONS: usize = 12;
const ZONES: [&str; 3] = ["az1", "az2", "az3"];
const SECONDS: f64 = 10.0;
const RATE: f64 = 1000.0;
const BURST: f64 = 200.0;
/// Shares have moved to their first candidates after this time.
const SETTLE_TIME: Duration = Duration::from_secs(15);

const LOADS: [(CallerSpread, f64); 6] = [
    (CallerSpread::Even, 0.95),
    (CallerSpread::Even, 0.99),
    (CallerSpread::Zipf, 0.95),
    (CallerSpread::Zipf, 0.99),
    (CallerSpread::Even, 5.0),
    (CallerSpread::Zipf, 5.0),
];

struct RequestOutcome {
    millis: f64,
    admitted: bool,
    waited: Duration,
    span: AdmissionSpan,
}

/// Runs each load with its own organisation and prints the table.
pub async fn run(seed: u64) {
    let organisations: Vec<_> = (0..LOADS.len())
        .map(|index| organisation(&name(index), &format!("key-{index}"), RATE, BURST))
        .collect();
    let plan = |index: usize| NodePlan::new("stock", ZONES[index % 3], BackendBehaviour::default());
    let plans: Vec<NodePlan> = (0..DAEMONS).map(plan).collect();
    let fleet = Fleet::start(&[ticket(1, &organisations)], &plans, |_| {}).await;
    let fleet = fleet.expect("the fleet starts");
    sleep(SETTLE_TIME).await;
    let held = |shared: &Arc<DaemonShared>| shared.rates.held_shares().len();
    let shares: Vec<usize> = fleet.nodes.iter().map(|node| held(&node.daemon.shared)).collect();
    println!("\nShares held by each of {DAEMONS} daemons (of {SHARE_COUNT}): {shares:?}");
    println!("Appends since the start: {}", fleet.log.append_count());
    println!("\n{DAEMONS} daemons in 3 zones, rate {RATE}/s, burst {BURST}, Poisson, {SECONDS} s");
    println!(
        "| callers | load | refused | wrongful | of it a lender silent | of what fits | messages a request | wait p50 | wait p99 | worst window |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for (index, (spread, load)) in LOADS.into_iter().enumerate() {
        run_load(&fleet, index, spread, load, seed).await;
    }
    fleet.stop().await;
}

fn name(index: usize) -> String {
    format!("organisation-{index}")
}

async fn run_load(fleet: &Fleet, index: usize, spread: CallerSpread, load: f64, seed: u64) {
    let arrivals = draw_arrivals(spread, DAEMONS, RATE * load, SECONDS, seed);
    let shared: Vec<Arc<DaemonShared>> =
        fleet.nodes.iter().map(|node| node.daemon.shared.clone()).collect();
    let before = messages_sent(&shared);
    let refused_silent = refused_suspect(&shared);
    let outcomes = send_all(&shared, &name(index).into(), &arrivals).await;
    let sent = messages_sent(&shared) - before;
    let refused_silent = refused_suspect(&shared) - refused_silent;
    let mut ideal = IdealBucket::new(RATE, BURST);
    let (mut refused, mut wrongful, mut conforming) = (0, 0, 0);
    let mut waits = Histogram::<u64>::new(3).expect("the bound is a constant");
    let mut spans = Vec::new();
    for outcome in &outcomes {
        let conforms = ideal.admit(outcome.millis);
        conforming += usize::from(conforms);
        refused += usize::from(!outcome.admitted);
        wrongful += usize::from(conforms && !outcome.admitted);
        if outcome.admitted {
            waits.saturating_record(outcome.waited.as_micros() as u64);
            spans.push(outcome.span);
        }
    }
    let total = outcomes.len() as f64;
    let admitted_ratio = spans.len() as f64 / conforming as f64;
    let excess = worst_window(&spans, RATE, BURST).map_or(0.0, |worst| worst.excess);
    println!(
        "| {spread:?} | {load} | {:.2}% | {:.3}% | {refused_silent} | {:.2}% | {:.2} | {} µs | {} µs | {excess:.1} |",
        100.0 * refused as f64 / total,
        100.0 * wrongful as f64 / total,
        100.0 * admitted_ratio,
        sent as f64 / total,
        waits.value_at_quantile(0.5),
        waits.value_at_quantile(0.99),
    );
}

fn messages_sent(shared: &[Arc<DaemonShared>]) -> u64 {
    let sent = |shared: &Arc<DaemonShared>| {
        let rates = &shared.metrics.rates;
        rates.asks_sent.get() + rates.returns_sent.get()
    };
    shared.iter().map(sent).sum()
}

fn refused_suspect(shared: &[Arc<DaemonShared>]) -> u64 {
    shared.iter().map(|shared| shared.metrics.rates.refused_suspect.get()).sum()
}

async fn send_all(
    shared: &[Arc<DaemonShared>],
    name: &Arc<str>,
    arrivals: &[RequestArrival],
) -> Vec<RequestOutcome> {
    let state = shared[0].version.current();
    let terms = state.organisations.get(name).expect("the organisation is configured").clone();
    let origin = Instant::now();
    let mut requests = JoinSet::new();
    for arrival in arrivals {
        let due = origin + Duration::from_secs_f64(arrival.millis / 1000.0);
        sleep_until(due.into()).await;
        let (shared, name) = (shared[arrival.daemon].clone(), name.clone());
        requests.spawn(send(shared, name, terms.clone(), origin));
    }
    let mut outcomes = requests.join_all().await;
    outcomes.sort_by(|one, other| one.millis.total_cmp(&other.millis));
    outcomes
}

async fn send(
    shared: Arc<DaemonShared>,
    name: Arc<str>,
    terms: Arc<OrganisationState>,
    origin: Instant,
) -> RequestOutcome {
    let after = Instant::now();
    let admitted = shared.rates.admit(&name, &terms).await.is_ok();
    let span = AdmissionSpan::between(origin, after, Instant::now());
    RequestOutcome { millis: span.after, admitted, waited: after.elapsed(), span }
}
