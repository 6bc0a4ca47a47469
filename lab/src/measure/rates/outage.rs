//! Rate left in an outage of the log and rate lost after a crash, worked out from lease terms.

use std::time::Duration;

use lentilway::process::rates::share::{PART_COUNT, SHARE_COUNT, ShareId};
use lentilway::process::rates::terms::{LeaseTerms, lapse_bound};

const MINUTE: Duration = Duration::from_secs(60);
const FLEET: f64 = 13_000.0;
const CRASHES_A_DAY: f64 = 39.0;
const REPLACED_A_DAY: f64 = 2_100.0;
const OUTAGE_MINUTES: [u32; 7] = [1, 3, 10, 30, 60, 80, 100];

/// A way to lease an organisation's rate.
struct LeaseWay {
    name: &'static str,
    /// The parts of the rate with the lease's length and the time between renewals.
    parts: Vec<(f64, Duration, Duration)>,
    /// Leases over all organisations.
    leases: f64,
}

impl LeaseWay {
    /// The part of the rate left `outage` after the log went away: a lease is between nothing
    /// and a renewal's interval old then.
    fn left(&self, outage: Duration) -> f64 {
        let part = |(part, term, interval): &(f64, Duration, Duration)| {
            let oldest = term.saturating_sub(*interval).as_secs_f64();
            let late = (outage.as_secs_f64() - oldest) / interval.as_secs_f64();
            part * (1.0 - late.clamp(0.0, 1.0))
        };
        self.parts.iter().map(part).sum()
    }

    /// The most of one organisation's rate that one crash takes, and for how long.
    fn crash(&self) -> (f64, Duration) {
        let worst = self.parts.iter().max_by_key(|(_, term, _)| *term).expect("it has parts");
        (1.0 / self.holders(), lapse_bound(worst.1))
    }

    fn holders(&self) -> f64 {
        if self.leases >= f64::from(SHARE_COUNT) { f64::from(PART_COUNT) } else { 1.0 }
    }

    fn renewals(&self) -> f64 {
        let seconds = |interval: &Duration| interval.as_secs_f64();
        let one = self.parts.iter().map(|(part, _, interval)| part / seconds(interval));
        self.leases * one.sum::<f64>()
    }
}

fn ways() -> Vec<LeaseWay> {
    let terms = LeaseTerms::default();
    let short = ShareId::all().filter(|share| share.is_short()).count() as f64;
    let short = short / f64::from(SHARE_COUNT);
    let (fast, slow) = (terms.short / 3, terms.long / 6);
    vec![
        LeaseWay {
            name: "eight shares, two with the short lease (built)",
            parts: vec![(short, terms.short, fast), (1.0 - short, terms.long, slow)],
            leases: f64::from(SHARE_COUNT),
        },
        LeaseWay {
            name: "eight shares, all short",
            parts: vec![(1.0, terms.short, fast)],
            leases: f64::from(SHARE_COUNT),
        },
        LeaseWay {
            name: "one owner an organisation group, short",
            parts: vec![(1.0, terms.short, fast)],
            leases: f64::from(SHARE_COUNT / PART_COUNT),
        },
        LeaseWay {
            name: "one owner an organisation group, long",
            parts: vec![(1.0, terms.long, slow)],
            leases: f64::from(SHARE_COUNT / PART_COUNT),
        },
        LeaseWay {
            name: "a share at each of 13,000 daemons, short",
            parts: vec![(1.0, terms.short, fast)],
            leases: FLEET,
        },
    ]
}

/// Prints the tables.
pub fn run() {
    println!("\nRate left after an outage of the log, in percent (arithmetic from lease terms)");
    let minutes = OUTAGE_MINUTES.map(|minutes| format!("{minutes} min")).join(" | ");
    println!("| way | {minutes} | one crash takes of an organisation | for up to | renewals/s |");
    println!("|---|{}---|---|---|", "---|".repeat(OUTAGE_MINUTES.len()));
    for way in ways() {
        let left =
            OUTAGE_MINUTES.map(|minutes| format!("{:.0}", 100.0 * way.left(MINUTE * minutes)));
        let (part, lapse) = way.crash();
        let part = if way.leases == FLEET { 1.0 / FLEET } else { part };
        println!(
            "| {} | {} | {:.2}% | {} min | {:.1} |",
            way.name,
            left.join(" | "),
            100.0 * part,
            lapse.as_secs() / 60,
            way.renewals()
        );
    }
    let unheld = CRASHES_A_DAY / FLEET * LeaseTerms::default().long.as_secs_f64() / 86_400.0;
    println!("Mean part of a long share's time without holder, at 39 crashes a day: {unheld:.5}");
    let moves = REPLACED_A_DAY * f64::from(SHARE_COUNT) / FLEET;
    println!("Shares released and taken a day by 2,100 planned replacements: {moves:.0}");
}
