//! Rate available during an outage of the log and rate lost after a crash, calculated from the
//! lease terms.

use std::time::Duration;

use lentilway::process::rates::share::{PART_COUNT, SHARE_COUNT, ShareId};
use lentilway::process::rates::terms::{LeaseTerms, lapse_bound};

const MINUTE: Duration = Duration::from_secs(60);
const FLEET_SIZE: f64 = 13_000.0;
const CRASHES_PER_DAY: f64 = 39.0;
const REPLACEMENTS_PER_DAY: f64 = 2_100.0;
const OUTAGE_MINUTES: [u32; 7] = [1, 3, 10, 30, 60, 80, 100];

/// A scheme for leasing an organisation's rate.
struct LeaseScheme {
    name: &'static str,
    /// Fractions of the rate with their lease term and renewal interval.
    parts: Vec<(f64, Duration, Duration)>,
    /// Number of leases over all organisations.
    leases: f64,
}

impl LeaseScheme {
    /// The fraction of the rate still available when the log has been down for `outage`. At the
    /// start of the outage the age of a lease is uniform between zero and the renewal interval.
    fn remaining(&self, outage: Duration) -> f64 {
        let fraction = |(fraction, term, interval): &(f64, Duration, Duration)| {
            let oldest = term.saturating_sub(*interval).as_secs_f64();
            let expired = (outage.as_secs_f64() - oldest) / interval.as_secs_f64();
            fraction * (1.0 - expired.clamp(0.0, 1.0))
        };
        self.parts.iter().map(fraction).sum()
    }

    /// The largest fraction of one organisation's rate that one crash takes, and for how long.
    fn crash_loss(&self) -> (f64, Duration) {
        let worst = self.parts.iter().max_by_key(|(_, term, _)| *term).expect("a scheme has parts");
        (1.0 / self.holders(), lapse_bound(worst.1))
    }

    fn holders(&self) -> f64 {
        if self.leases >= f64::from(SHARE_COUNT) { f64::from(PART_COUNT) } else { 1.0 }
    }

    fn renewals(&self) -> f64 {
        let seconds = |interval: &Duration| interval.as_secs_f64();
        let per_lease =
            self.parts.iter().map(|(fraction, _, interval)| fraction / seconds(interval));
        self.leases * per_lease.sum::<f64>()
    }
}

fn schemes() -> Vec<LeaseScheme> {
    let terms = LeaseTerms::default();
    let short = ShareId::all().filter(|share| share.is_short()).count() as f64;
    let short = short / f64::from(SHARE_COUNT);
    let (fast, slow) = (terms.short / 3, terms.long / 6);
    vec![
        LeaseScheme {
            name: "eight shares, two with the short lease (built)",
            parts: vec![(short, terms.short, fast), (1.0 - short, terms.long, slow)],
            leases: f64::from(SHARE_COUNT),
        },
        LeaseScheme {
            name: "eight shares, all short",
            parts: vec![(1.0, terms.short, fast)],
            leases: f64::from(SHARE_COUNT),
        },
        LeaseScheme {
            name: "one owner an organisation group, short",
            parts: vec![(1.0, terms.short, fast)],
            leases: f64::from(SHARE_COUNT / PART_COUNT),
        },
        LeaseScheme {
            name: "one owner an organisation group, long",
            parts: vec![(1.0, terms.long, slow)],
            leases: f64::from(SHARE_COUNT / PART_COUNT),
        },
        LeaseScheme {
            name: "a share at each of 13,000 daemons, short",
            parts: vec![(1.0, terms.short, fast)],
            leases: FLEET_SIZE,
        },
    ]
}

/// Prints the tables.
pub fn run() {
    println!("\nRate left after an outage of the log, in percent (arithmetic from lease terms)");
    let minutes = OUTAGE_MINUTES.map(|minutes| format!("{minutes} min")).join(" | ");
    println!("| way | {minutes} | one crash takes of an organisation | for up to | renewals/s |");
    println!("|---|{}---|---|---|", "---|".repeat(OUTAGE_MINUTES.len()));
    for scheme in schemes() {
        let remaining = OUTAGE_MINUTES
            .map(|minutes| format!("{:.0}", 100.0 * scheme.remaining(MINUTE * minutes)));
        let (fraction, duration) = scheme.crash_loss();
        let fraction = if scheme.leases == FLEET_SIZE { 1.0 / FLEET_SIZE } else { fraction };
        println!(
            "| {} | {} | {:.2}% | {} min | {:.1} |",
            scheme.name,
            remaining.join(" | "),
            100.0 * fraction,
            duration.as_secs() / 60,
            scheme.renewals()
        );
    }
    let unowned =
        CRASHES_PER_DAY / FLEET_SIZE * LeaseTerms::default().long.as_secs_f64() / 86_400.0;
    println!("Mean part of a long share's time without holder, at 39 crashes a day: {unowned:.5}");
    let moves = REPLACEMENTS_PER_DAY * f64::from(SHARE_COUNT) / FLEET_SIZE;
    println!("Shares released and taken a day by 2,100 planned replacements: {moves:.0}");
}
