//! Overload: algorithms for the concurrency limit, compared on one simulated backend server.

mod model;
mod rules;

use lentilway::request::admission::ConcurrencyLimit;

use model::{LoadPhase, ModelResult, ServerModel, run_model};
use rules::{AimdRule, GradientRule, LimitRule, StaticRule};

const SERVERS: [ServerModel; 2] = [
    ServerModel { slots: 16, service_seconds: 0.010 },
    ServerModel { slots: 4, service_seconds: 0.040 },
];
const INITIAL_LIMIT: usize = 64;

/// Runs the measurement and prints its table.
pub async fn run(seed: u64) {
    println!("deadline 500 ms, exponential service, seed {seed}");
    println!(
        "{:<12} {:<18} {:<21} {:>8} {:>9} {:>7} {:>6}",
        "server", "scenario", "rule", "goodput", "recovery", "p99 ms", "limit"
    );
    for server in SERVERS {
        for (scenario, phases) in scenarios(server) {
            for (name, rule) in rules(server.slots) {
                let result = run_model(server, &phases, rule, seed);
                print_row(server, scenario, name, &result);
            }
        }
    }
}

fn print_row(server: ServerModel, scenario: &str, rule: &str, result: &ModelResult) {
    let server = format!("{} x {} ms", server.slots, server.service_seconds * 1000.0);
    let limit = Some(result.limit).filter(|limit| *limit < usize::MAX);
    println!(
        "{server:<12} {scenario:<18} {rule:<21} {:>7.1}% {:>8.1}s {:>7.0} {:>6}",
        result.goodput * 100.0,
        result.recovery_seconds,
        result.p99_seconds * 1000.0,
        limit.map_or("-".to_string(), |limit| limit.to_string())
    );
}

// Goodput is measured in the middle phase, as a fraction of the calls that could be served.
fn scenarios(server: ServerModel) -> Vec<(&'static str, [LoadPhase; 3])> {
    let capacity = server.slots as f64 / server.service_seconds;
    let phase =
        |seconds, load: f64, slow_factor| LoadPhase { seconds, rate: capacity * load, slow_factor };
    let before = phase(5.0, 0.7, 1.0);
    let after = phase(8.0, 0.7, 1.0);
    vec![
        ("0.7x throughout", [before, phase(10.0, 0.7, 1.0), after]),
        ("3x surge", [before, phase(10.0, 3.0, 1.0), after]),
        ("10x slow at 0.7x", [before, phase(10.0, 0.7, 10.0), after]),
        ("10x slow at 0.05x", [before, phase(10.0, 0.05, 10.0), after]),
        ("3x surge, 2x slow", [before, phase(10.0, 3.0, 2.0), after]),
    ]
}

fn rules(slots: usize) -> Vec<(&'static str, Box<dyn LimitRule>)> {
    vec![
        ("no limit", Box::new(StaticRule { limit: usize::MAX, queues: false })),
        ("static 64", Box::new(StaticRule { limit: INITIAL_LIMIT, queues: true })),
        ("static, its slots", Box::new(StaticRule { limit: slots, queues: true })),
        ("aimd", Box::new(AimdRule::new(INITIAL_LIMIT))),
        ("gradient, least seen", Box::new(GradientRule::new(INITIAL_LIMIT))),
        ("gradient, probed", Box::new(ConcurrencyLimit::new(INITIAL_LIMIT))),
    ]
}
