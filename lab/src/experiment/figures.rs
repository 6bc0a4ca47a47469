//! The figures of an experiment, computed from its samples and executions.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::deployment::Deployment;
use super::load::RootSample;
use super::scenario::{PhaseTimes, Scenario};

const RECOVERY_WINDOW: Duration = Duration::from_millis(200);
const RECOVERY_WINDOWS: usize = 3;
const RECOVERED_FRACTION: f64 = 0.95;
const RATE_EXCEEDED: u16 = 2005;
/// The classes in order of priority; the last is shed first.
const CLASSES: [&str; 3] = ["high", "normal", "low"];

/// The figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentFigures {
    /// Root requests sent.
    pub sent: usize,
    /// Rate of successful answers during the trigger, relative to the rate that could be served.
    pub goodput: f64,
    /// Successful fraction of the high-class requests sent during the trigger.
    pub high_whole: f64,
    /// Successful fraction of the low-class requests sent during the trigger.
    pub low_whole: f64,
    /// Seconds from the trigger's end until answers are steadily successful; `None` if never.
    pub recovery_s: Option<f64>,
    /// Successful answers of the worst-served organisation during the trigger, relative to its
    /// fair share.
    pub worst_organisation: f64,
    /// Rate refusals in excess of those of one token bucket for each organisation, relative to
    /// all requests. Which requests of an organisation over its rate are refused does not matter;
    /// one within its rate must not lose any.
    pub wrongful_refusals: f64,
    /// Executions for root requests that failed, relative to all executions.
    pub wasted_work: f64,
    /// Executions for each root request that was sent.
    pub executions_per_root: f64,
    /// Median latency of successful answers before the trigger, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of successful answers before the trigger, in milliseconds.
    pub p99_ms: f64,
    /// Number of answers during the trigger by result code.
    pub codes: BTreeMap<u16, usize>,
}

/// Computes the figures; `executions` counts executions by the root request's id.
pub fn compute_figures(
    deployment: &Deployment,
    scenario: Scenario,
    times: &PhaseTimes,
    samples: &[RootSample],
    executions: &BTreeMap<String, u64>,
) -> ExperimentFigures {
    let triggered: Vec<&RootSample> =
        samples.iter().filter(|sample| times.in_trigger(sample.due)).collect();
    let trigger = times.trigger.as_secs_f64();
    let fair = fair_shares(deployment, scenario, &triggered, trigger);
    let served = served(deployment, samples, times);
    let mut codes = BTreeMap::new();
    for sample in &triggered {
        *codes.entry(sample.code).or_default() += 1;
    }
    let before: Vec<&RootSample> =
        samples.iter().filter(|sample| sample.due < times.before && sample.is_success()).collect();
    let total: u64 = executions.values().sum();
    ExperimentFigures {
        sent: samples.len(),
        goodput: served.iter().sum::<f64>() / fair.iter().sum::<f64>(),
        high_whole: class_success(deployment, &triggered, "high"),
        low_whole: class_success(deployment, &triggered, "low"),
        recovery_s: recovery(times, samples),
        worst_organisation: worst_organisation(&served, &fair),
        wrongful_refusals: wrongful_refusals(deployment, scenario, samples),
        wasted_work: wasted_executions(samples, executions) as f64 / total.max(1) as f64,
        executions_per_root: total as f64 / samples.len().max(1) as f64,
        p50_ms: quantile_ms(&before, 0.5),
        p99_ms: quantile_ms(&before, 0.99),
        codes,
    }
}

fn count_success(samples: &[&RootSample]) -> usize {
    samples.iter().filter(|sample| sample.is_success()).count()
}

fn class_success(deployment: &Deployment, samples: &[&RootSample], class: &str) -> f64 {
    let of_class: Vec<&RootSample> = samples
        .iter()
        .copied()
        .filter(|sample| deployment.requests[sample.kind].class == class)
        .collect();
    count_success(&of_class) as f64 / of_class.len().max(1) as f64
}

/// Each organisation's fair share of the bottleneck, in answers per second: capacity goes to the
/// classes in strict priority, and within a class to the organisations by max-min fairness, up to
/// their rates.
fn fair_shares(
    deployment: &Deployment,
    scenario: Scenario,
    triggered: &[&RootSample],
    trigger: f64,
) -> Vec<f64> {
    let mut remaining = available_capacity(deployment, scenario);
    let mut fair = vec![0.0; deployment.weights().len()];
    for class in CLASSES {
        let demand = demand(deployment, scenario, triggered, class, trigger);
        let shares = max_min_share(&demand, remaining);
        remaining -= shares.iter().sum::<f64>();
        for (total, share) in fair.iter_mut().zip(shares) {
            *total += share;
        }
    }
    fair
}

/// Requests per second of a class that each organisation sends through the bottleneck. The demand
/// of one that exceeds its rate is scaled down equally in each class.
fn demand(
    deployment: &Deployment,
    scenario: Scenario,
    triggered: &[&RootSample],
    class: &str,
    trigger: f64,
) -> Vec<f64> {
    let mut sent = vec![0.0; deployment.weights().len()];
    let mut demand = sent.clone();
    for sample in triggered {
        let kind = &deployment.requests[sample.kind];
        sent[sample.organisation] += 1.0 / trigger;
        if kind.idempotent && kind.class == class {
            demand[sample.organisation] += 1.0 / trigger;
        }
    }
    for (index, (demand, sent)) in demand.iter_mut().zip(sent).enumerate() {
        let rate = deployment.rate(index, scenario.rate_scale());
        *demand *= (rate / f64::max(sent, f64::MIN_POSITIVE)).min(1.0);
    }
    demand
}

/// Successful answers per second through the bottleneck of each organisation during the trigger.
fn served(deployment: &Deployment, samples: &[RootSample], times: &PhaseTimes) -> Vec<f64> {
    let mut served = vec![0.0; deployment.weights().len()];
    for sample in samples.iter().filter(|sample| sample.is_success()) {
        let uses_bottleneck = deployment.requests[sample.kind].idempotent;
        if uses_bottleneck && times.in_trigger(sample.ended) {
            served[sample.organisation] += 1.0 / times.trigger.as_secs_f64();
        }
    }
    served
}

/// Executions per second that the bottleneck can serve during the trigger.
fn available_capacity(deployment: &Deployment, scenario: Scenario) -> f64 {
    let surviving = match scenario.loses_zone() {
        true => surviving_fraction(deployment),
        false => 1.0,
    };
    deployment.bottleneck_capacity() * surviving / scenario.slow_factor()
}

/// The fraction of the bottleneck's backend servers outside the first availability zone.
fn surviving_fraction(deployment: &Deployment) -> f64 {
    let upstreams = deployment.bottleneck_service().upstreams;
    let lost = upstreams.div_ceil(deployment.zones);
    (upstreams - lost) as f64 / upstreams as f64
}

/// Divides `capacity` by max-min fairness: no share exceeds its demand, and what small demands
/// leave unused is divided equally among the others.
///
/// ```
/// use lentilway_lab::experiment::figures::max_min_share;
/// assert_eq!(max_min_share(&[1.0, 5.0, 9.0], 9.0), vec![1.0, 4.0, 4.0]);
/// ```
pub fn max_min_share(demand: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demand.len()).collect();
    order.sort_by(|left, right| demand[*left].total_cmp(&demand[*right]));
    let mut shares = vec![0.0; demand.len()];
    let mut remaining = capacity;
    for (position, index) in order.iter().enumerate() {
        let equal = remaining / (demand.len() - position) as f64;
        shares[*index] = demand[*index].min(equal);
        remaining -= shares[*index];
    }
    shares
}

fn worst_organisation(served: &[f64], fair: &[f64]) -> f64 {
    let ratios = served.iter().zip(fair).map(|(served, fair)| served / fair.max(0.1));
    ratios.fold(f64::INFINITY, f64::min)
}

/// Seconds from the trigger's end to the first [`RECOVERY_WINDOWS`] consecutive steady windows.
fn recovery(times: &PhaseTimes, samples: &[RootSample]) -> Option<f64> {
    let windows = (times.after.as_secs_f64() / RECOVERY_WINDOW.as_secs_f64()) as usize;
    let steady: Vec<bool> = (0..windows)
        .map(|index| {
            let from = times.trigger_end() + RECOVERY_WINDOW * index as u32;
            is_steady(samples, from, from + RECOVERY_WINDOW)
        })
        .collect();
    let first = (0..windows).find(|index| {
        let run = &steady[*index..windows.min(index + RECOVERY_WINDOWS)];
        run.len() == RECOVERY_WINDOWS && run.iter().all(|steady| *steady)
    })?;
    Some(RECOVERY_WINDOW.as_secs_f64() * first as f64)
}

fn is_steady(samples: &[RootSample], from: Duration, to: Duration) -> bool {
    let due: Vec<&RootSample> =
        samples.iter().filter(|sample| (from..to).contains(&sample.due)).collect();
    count_success(&due) as f64 >= RECOVERED_FRACTION * due.len() as f64
}

/// Replays each organisation's requests through one token bucket that starts full.
fn wrongful_refusals(deployment: &Deployment, scenario: Scenario, samples: &[RootSample]) -> f64 {
    let mut excess = 0;
    for organisation in 0..deployment.weights().len() {
        let rate = deployment.rate(organisation, scenario.rate_scale());
        let (mut tokens, mut at) = (rate, Duration::ZERO);
        let (mut refused, mut refused_by_bucket) = (0_usize, 0);
        for sample in samples.iter().filter(|sample| sample.organisation == organisation) {
            let refilled = rate * (sample.due - at).as_secs_f64();
            (tokens, at) = ((tokens + refilled).min(rate), sample.due);
            refused += usize::from(sample.code == RATE_EXCEEDED);
            match tokens >= 1.0 {
                true => tokens -= 1.0,
                false => refused_by_bucket += 1,
            }
        }
        excess += refused.saturating_sub(refused_by_bucket);
    }
    excess as f64 / samples.len().max(1) as f64
}

fn wasted_executions(samples: &[RootSample], executions: &BTreeMap<String, u64>) -> u64 {
    let failed = samples.iter().filter(|sample| !sample.is_success());
    failed.filter_map(|sample| executions.get(&sample.id)).sum()
}

fn quantile_ms(samples: &[&RootSample], quantile: f64) -> f64 {
    let mut times: Vec<Duration> = samples.iter().map(|sample| sample.elapsed()).collect();
    times.sort();
    let index = ((times.len() as f64 * quantile) as usize).min(times.len().saturating_sub(1));
    times.get(index).map(|time| time.as_secs_f64() * 1000.0).unwrap_or(0.0)
}
