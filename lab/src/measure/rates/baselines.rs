//! Baseline schemes for a rate limit over many daemons, on the same arrivals with a manual clock.

use super::arrivals::{CallerSpread, RequestArrival, draw_arrivals};
use super::window::{AdmissionSpan, IdealBucket, worst_window};

const DAEMONS: usize = 12;
const RATE: f64 = 1000.0;
const BURST: f64 = 200.0;
const SECONDS: f64 = 20.0;
const GOSSIP_MILLIS: f64 = 100.0;

/// Runs the baselines and prints their table.
pub fn run(seed: u64) {
    println!(
        "\nBaselines, {DAEMONS} daemons, rate {RATE}/s, burst {BURST}, {SECONDS} s, manual clock"
    );
    println!("| scheme | callers | load | wrongful | worst window over the bound |");
    println!("|---|---|---|---|---|");
    for (spread, load) in [
        (CallerSpread::Even, 0.99),
        (CallerSpread::Zipf, 0.95),
        (CallerSpread::Zipf, 0.99),
        (CallerSpread::Even, 5.0),
    ] {
        let arrivals = draw_arrivals(spread, DAEMONS, RATE * load, SECONDS, seed);
        report("whole rate at each daemon", spread, load, &arrivals, whole_rate(&arrivals));
        report("static equal split", spread, load, &arrivals, equal_split(&arrivals));
        report(
            "counters gossiped every 100 ms",
            spread,
            load,
            &arrivals,
            gossiped_counters(&arrivals),
        );
    }
}

fn report(
    scheme: &str,
    spread: CallerSpread,
    load: f64,
    arrivals: &[RequestArrival],
    admitted: Vec<bool>,
) {
    let mut ideal = IdealBucket::new(RATE, BURST);
    let mut wrongful = 0;
    let mut spans = Vec::new();
    for (arrival, admitted) in arrivals.iter().zip(admitted) {
        let conforms = ideal.admit(arrival.millis);
        wrongful += usize::from(conforms && !admitted);
        if admitted {
            spans.push(AdmissionSpan::at(arrival.millis));
        }
    }
    let wrongful_percent = 100.0 * wrongful as f64 / arrivals.len() as f64;
    let excess = worst_window(&spans, RATE, BURST).map_or(0.0, |worst| worst.excess.max(0.0));
    println!("| {scheme} | {spread:?} | {load} | {wrongful_percent:.2}% | {excess:.0} |");
}

fn whole_rate(arrivals: &[RequestArrival]) -> Vec<bool> {
    let mut buckets = [IdealBucket::new(RATE, BURST); DAEMONS];
    arrivals.iter().map(|arrival| buckets[arrival.daemon].admit(arrival.millis)).collect()
}

fn equal_split(arrivals: &[RequestArrival]) -> Vec<bool> {
    let divisor = DAEMONS as f64;
    let mut buckets = [IdealBucket::new(RATE / divisor, BURST / divisor); DAEMONS];
    arrivals.iter().map(|arrival| buckets[arrival.daemon].admit(arrival.millis)).collect()
}

/// Each daemon has a bucket with the whole rate and charges it with the admissions that the others
/// gossip.
fn gossiped_counters(arrivals: &[RequestArrival]) -> Vec<bool> {
    let mut buckets = [IdealBucket::new(RATE, BURST); DAEMONS];
    let mut counts = [0.0; DAEMONS];
    let mut next_round = GOSSIP_MILLIS;
    let mut admitted = Vec::new();
    for arrival in arrivals {
        while arrival.millis >= next_round {
            let total: f64 = counts.iter().sum();
            for (bucket, count) in buckets.iter_mut().zip(&mut counts) {
                bucket.charge(total - *count, next_round);
                *count = 0.0;
            }
            next_round += GOSSIP_MILLIS;
        }
        let admits = buckets[arrival.daemon].admit(arrival.millis);
        counts[arrival.daemon] += f64::from(u8::from(admits));
        admitted.push(admits);
    }
    admitted
}
