//! Latency and CPU time that daemons add to a direct call of the backend server.

use std::net::SocketAddr;
use std::time::Duration;

use lentilway_stand_ins::backend::BackendBehaviour;
use lentilway_stand_ins::caller::{CallerRequest, LoadPlan, LoadSample, histogram, run_load};

use crate::cpu::cpu_time;
use crate::fleet::{Fleet, FleetError, NodePlan, organisation, read_route, ticket};

const KEY: &str = "key-of-the-latency-benchmark";
/// Requests per second.
const RATES: [f64; 3] = [200.0, 1000.0, 3000.0];
const WARM_UP: Duration = Duration::from_secs(1);

/// Results of one path at one rate.
#[derive(Clone, Debug)]
pub struct LatencyRow {
    /// The path.
    pub path: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Requests sent.
    pub sent: usize,
    /// Answers with status 200; a direct call has no result code.
    pub succeeded: usize,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// CPU time per call in microseconds, of the whole process including caller and backend server.
    pub cpu_us: f64,
}

/// Measures each path at each rate.
///
/// # Errors
/// [`FleetError`] if the fleet does not start.
pub async fn measure_latency(seconds: f64, seed: u64) -> Result<Vec<LatencyRow>, FleetError> {
    let objects =
        [organisation("nord", KEY, 1e6, 1e6), read_route("stock-read", "/stock", "stock")];
    let fast = BackendBehaviour { slots: 1000, service_ms: 0.0, ..BackendBehaviour::default() };
    let plans = [NodePlan::new("other", "az1", fast.clone()), NodePlan::new("stock", "az1", fast)];
    let fleet = Fleet::start(&[ticket(1, &objects)], &plans, |_| {}).await?;
    let direct = fleet.nodes[1].backend.address();
    let via_one = fleet.nodes[1].daemon.addresses.caller;
    let via_two = fleet.nodes[0].daemon.addresses.caller;
    let paths = [("direct", direct), ("one daemon", via_one), ("two daemons", via_two)];
    let mut rows = Vec::new();
    for rate in RATES {
        for (path, target) in paths {
            rows.push(measure_path(path, target, rate, seconds, seed).await);
        }
    }
    fleet.abort();
    Ok(rows)
}

async fn measure_path(
    path: &'static str,
    target: SocketAddr,
    rate: f64,
    seconds: f64,
    seed: u64,
) -> LatencyRow {
    run_load(load_plan(target, rate, WARM_UP, seed)).await;
    let started = cpu_time();
    let samples = run_load(load_plan(target, rate, Duration::from_secs_f64(seconds), seed)).await;
    let cpu_used = cpu_time().saturating_sub(started);
    let succeeded: Vec<&LoadSample> =
        samples.iter().filter(|sample| sample.status == 200).collect();
    let times = histogram(succeeded.iter().copied());
    LatencyRow {
        path,
        rate,
        sent: samples.len(),
        succeeded: succeeded.len(),
        p50_us: times.value_at_quantile(0.5),
        p99_us: times.value_at_quantile(0.99),
        cpu_us: cpu_used.as_secs_f64() * 1e6 / samples.len().max(1) as f64,
    }
}

fn load_plan(target: SocketAddr, rate: f64, duration: Duration, seed: u64) -> LoadPlan {
    LoadPlan {
        targets: vec![target],
        request: CallerRequest::get("/stock/7", KEY),
        rate,
        duration,
        timeout: Duration::from_secs(5),
        seed,
    }
}

/// The rows as a Markdown table.
pub fn table(rows: &[LatencyRow]) -> String {
    let mut text = "| Path | Rate /s | Sent | Whole | p50 us | p99 us | CPU us a call |\n\
                    |---|---|---|---|---|---|---|\n"
        .to_string();
    for row in rows {
        text.push_str(&format!(
            "| {} | {} | {} | {} | {} | {} | {:.0} |\n",
            row.path, row.rate, row.sent, row.succeeded, row.p50_us, row.p99_us, row.cpu_us
        ));
    }
    text
}
