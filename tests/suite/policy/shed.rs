//! A deep service whose backend servers refuse more than half of their requests for some seconds,
//! although they have room: the retry budget limits how many runs come through.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::caller_retry::{RetryDetector, retry_delay};
use lentilway::policy::moving_average::FailureFraction;
use lentilway::policy::placement::{InstanceLoad, PlacementCandidate, choose_retry_instance};
use lentilway::policy::retry_allowance::{RetryAllowance, RetryClaim, RetryTerms, hash_fraction};
use lentilway::policy::root_admission::{
    CostList, RootAdmission, RootDecision, RootGroup, RootLimit, SlotCost,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SERVICE: &str = "prices";
const TERMS: RetryTerms =
    RetryTerms { per_request: 0.2, slack: 213.0, window: Duration::from_secs(10) };
const INSTANCES: usize = 12;
const SHED: std::ops::Range<u64> = 13_000..21_500;
const REFUSED_FRACTION: f64 = 0.55;
const END_MS: u64 = 30_000;
const CALL_MS: u64 = 40;
/// Entries get reports at least this often.
const REPORT_MS: u64 = 600;
const REFUSALS_MAX: u32 = 12;
const UNSENT_MAX: u32 = 3;

/// A kind of root request.
#[derive(Clone, Copy)]
struct RootKind {
    name: &'static str,
    priority: u8,
    per_second: f64,
    calls: u32,
    credit: f64,
    is_idempotent: bool,
}

const KINDS: [RootKind; 3] = [
    RootKind {
        name: "read",
        priority: 17,
        per_second: 540.0,
        calls: 8,
        credit: 1.0,
        is_idempotent: true,
    },
    RootKind {
        name: "top-up",
        priority: 15,
        per_second: 220.0,
        calls: 4,
        credit: 3.0,
        is_idempotent: false,
    },
    RootKind {
        name: "price",
        priority: 17,
        per_second: 74.0,
        calls: 1,
        credit: 1.0,
        is_idempotent: false,
    },
];

/// What happens next to a root.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RootStep {
    Arrive { may_retry: bool },
    Call { entry: usize, left: u32, done: u32, is_entitled: bool, may_retry: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RootEvent {
    at: u64,
    id: u64,
    kind: usize,
    /// When its caller first sent it.
    sent: u64,
    step: RootStep,
}

struct ReplayInstance {
    allowance: RetryAllowance,
    refused: FailureFraction,
}

impl ReplayInstance {
    fn load(&mut self, now: MilliTime) -> InstanceLoad {
        InstanceLoad {
            slots: 1_000,
            service_micros: 50_000,
            ended_per_second: self.refused.events_per_second(now) as u32,
            refused_permille: self.refused.permille(now),
            retries_denied_permille: self.allowance.denied_permille(now),
            retries_permille: self.allowance.earned_permille(),
            ..InstanceLoad::default()
        }
    }
}

/// Whether entries admit by the retries that are left.
#[derive(Clone, Copy, PartialEq)]
enum EntryRule {
    /// All roots are admitted; the baseline.
    Open,
    Limited,
}

struct ShedReplay {
    rule: EntryRule,
    entries: Vec<RootAdmission>,
    detectors: Vec<RetryDetector>,
    instances: Vec<ReplayInstance>,
    loads: Vec<InstanceLoad>,
    events: BinaryHeap<Reverse<RootEvent>>,
    random: StdRng,
    next: u64,
    requests: Vec<u64>,
    retries: Vec<u64>,
    /// Served and all roots by kind and the second in which their caller sent them.
    served: Vec<[u32; 3]>,
    offered: Vec<[u32; 3]>,
    /// Roots that failed after work, by the second in which they were sent.
    wasted: Vec<u32>,
}

const DEADLINE_MS: u64 = 5_000;

impl ShedReplay {
    fn run(rule: EntryRule, entries: usize, seed: u64) -> Self {
        let now = MilliTime(0);
        let seconds = (END_MS / 1_000) as usize;
        let mut allowance = RetryAllowance::new(now, TERMS);
        allowance.set_instances(INSTANCES);
        let instance = || ReplayInstance {
            allowance: allowance.clone(),
            refused: FailureFraction::with_window(0.4, now),
        };
        let mut replay = ShedReplay {
            rule,
            entries: (0..entries).map(|_| RootAdmission::new(now, TERMS.per_request)).collect(),
            detectors: vec![RetryDetector::default(); entries],
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            loads: vec![InstanceLoad::default(); INSTANCES],
            events: BinaryHeap::new(),
            random: StdRng::seed_from_u64(seed),
            next: 0,
            requests: Vec::new(),
            retries: Vec::new(),
            served: vec![[0; 3]; seconds],
            offered: vec![[0; 3]; seconds],
            wasted: vec![0; seconds],
        };
        replay.play();
        replay
    }

    fn play(&mut self) {
        for millis in 0..END_MS {
            self.arrive_firsts(millis);
            while self.events.peek().is_some_and(|event| event.0.at <= millis) {
                let Some(Reverse(event)) = self.events.pop() else { break };
                self.step(MilliTime(millis), event);
            }
            if millis % 50 == 0 {
                let now = MilliTime(millis);
                self.loads = self.instances.iter_mut().map(|each| each.load(now)).collect();
            }
            self.report(millis);
        }
    }

    /// Each entry hears from each instance every 600 ms, at times of its own.
    fn report(&mut self, millis: u64) {
        for (number, entry) in self.entries.iter_mut().enumerate() {
            for (instance, load) in self.loads.iter().enumerate() {
                let phase = millis + 37 * number as u64 + 50 * instance as u64;
                if phase.is_multiple_of(REPORT_MS) {
                    entry.observe_load(MilliTime(millis), &SERVICE.into(), instance as u64, load);
                }
            }
        }
    }

    fn arrive_firsts(&mut self, millis: u64) {
        for (kind, each) in KINDS.iter().enumerate() {
            let mut expected = each.per_second / 1_000.0;
            while self.random.random::<f64>() < expected {
                expected -= 1.0;
                self.offered[(millis / 1_000) as usize][kind] += 1;
                self.push(millis, kind, millis, RootStep::Arrive { may_retry: true });
            }
        }
    }

    fn push(&mut self, at: u64, kind: usize, sent: u64, step: RootStep) {
        self.next += 1;
        let id = self.random.random::<u64>();
        self.events.push(Reverse(RootEvent { at, id, kind, sent, step }));
    }

    fn step(&mut self, now: MilliTime, event: RootEvent) {
        match event.step {
            RootStep::Arrive { may_retry } => self.arrive(now, event, may_retry),
            RootStep::Call { entry, left, done, is_entitled, may_retry } => {
                self.call(now, event, (entry, left, done, is_entitled, may_retry));
            }
        }
    }

    fn arrive(&mut self, now: MilliTime, event: RootEvent, may_retry: bool) {
        let kind = KINDS[event.kind];
        let entry = self.random.random_range(0..self.entries.len());
        let remaining = Duration::from_millis((event.sent + DEADLINE_MS).saturating_sub(now.0));
        let route: Arc<str> = kind.name.into();
        let is_retry = self.detectors[entry].is_retry(&route, remaining);
        let group = RootGroup { route, priority: kind.priority };
        let draw = hash_fraction(event.id);
        let decision = self.entries[entry].admit(now, &group, is_retry, draw);
        let is_entitled = match (self.rule, decision) {
            (EntryRule::Open, _) => false,
            (EntryRule::Limited, RootDecision::Admit { is_entitled }) => is_entitled,
            (EntryRule::Limited, RootDecision::Refuse { limit, .. }) => {
                expect_that!(limit, eq(RootLimit::Retries));
                if may_retry {
                    let expected = Some(Duration::from_secs(4));
                    let wait = retry_delay(remaining, expected, self.random.random());
                    let at = now.0 + wait.as_millis() as u64;
                    self.push(at, event.kind, event.sent, RootStep::Arrive { may_retry: false });
                }
                return;
            }
        };
        let left = kind.calls;
        let step = RootStep::Call { entry, left, done: 0, is_entitled, may_retry };
        self.events.push(Reverse(RootEvent { step, ..event }));
    }

    fn call(
        &mut self,
        now: MilliTime,
        event: RootEvent,
        (entry, left, done, is_entitled, may_retry): (usize, u32, u32, bool, bool),
    ) {
        let kind = KINDS[event.kind];
        if !self.send(now, event.id, kind, is_entitled) {
            self.observe(entry, kind, done, false);
            self.wasted[(event.sent / 1_000) as usize] += 1;
            // A price read is refused unsent, so that its caller may return.
            if may_retry && (kind.is_idempotent || kind.calls == 1) {
                let at = now.0 + 100;
                self.push(at, event.kind, event.sent, RootStep::Arrive { may_retry: false });
            }
            return;
        }
        let (left, done) = (left - 1, done + 1);
        let at = now.0 + CALL_MS;
        if left > 0 {
            let step = RootStep::Call { entry, left, done, is_entitled, may_retry };
            self.events.push(Reverse(RootEvent { at, step, ..event }));
            return;
        }
        self.observe(entry, kind, done, true);
        if at < event.sent + 2_000 {
            self.served[(event.sent / 1_000) as usize][event.kind] += 1;
        }
    }

    fn observe(&mut self, entry: usize, kind: RootKind, done: u32, succeeded: bool) {
        let calls = done as f32;
        let cost = SlotCost { service: SERVICE.into(), millis: calls * CALL_MS as f32, calls };
        let costs: CostList = [cost].into_iter().collect();
        self.entries[entry].observe_cost(&kind.name.into(), &costs, succeeded);
    }

    /// Sends a call until an instance runs it; `false` if it is given up.
    fn send(&mut self, now: MilliTime, root_hash: u64, kind: RootKind, is_entitled: bool) -> bool {
        let mut instance = self.random.random_range(0..INSTANCES);
        self.instances[instance].allowance.count_request(now);
        self.requests.push(now.0);
        let (mut refused, mut unsent) = (0, 0);
        loop {
            let is_refused = SHED.contains(&now.0) && self.random.random_bool(REFUSED_FRACTION);
            self.instances[instance].refused.add(now, is_refused);
            if !is_refused {
                return true;
            }
            refused += 1;
            if refused >= REFUSALS_MAX {
                return false;
            }
            let claim = RetryClaim { priority: kind.priority, root_hash, is_entitled };
            loop {
                instance = self.choose_for_retry();
                if self.instances[instance].allowance.spend(now, claim) {
                    self.retries.push(now.0);
                    break;
                }
                unsent += 1;
                if unsent >= UNSENT_MAX {
                    return false;
                }
            }
        }
    }

    fn choose_for_retry(&mut self) -> usize {
        let candidate = |load: &InstanceLoad| PlacementCandidate {
            load: *load,
            in_flight: 0,
            in_flight_at_report: 0,
            same_zone: true,
            failed_permille: 0,
            report_age: Duration::ZERO,
        };
        let candidates: Vec<PlacementCandidate> = self.loads.iter().map(candidate).collect();
        choose_retry_instance(&candidates, self.random.random()).unwrap_or(0)
    }

    /// Served credit over the offered, of roots sent in these seconds.
    fn credit(&self, seconds: std::ops::Range<usize>) -> f64 {
        let sum = |counts: &[[u32; 3]]| {
            let credits = counts.iter().flat_map(|each| each.iter().zip(KINDS));
            credits.map(|(count, kind)| f64::from(*count) * kind.credit).sum::<f64>()
        };
        sum(&self.served[seconds.clone()]) / sum(&self.offered[seconds])
    }

    fn served_fraction(&self, name: &str, seconds: std::ops::Range<usize>) -> f64 {
        let kind = KINDS.iter().position(|kind| kind.name == name).expect("a known kind");
        let sum = |counts: &[[u32; 3]]| counts.iter().map(|each| each[kind]).sum::<u32>();
        f64::from(sum(&self.served[seconds.clone()])) / f64::from(sum(&self.offered[seconds]))
    }

    fn expect_within_budget(&self) {
        let within = |times: &[u64], from: u64| {
            times.iter().filter(|at| (from..from + 10_000).contains(at)).count() as f64
        };
        for from in (0..END_MS - 10_000).step_by(1_000) {
            let counted =
                [0, 5_000, 10_000].map(|back| within(&self.requests, from.saturating_sub(back)));
            let most = counted.into_iter().fold(0.0, f64::max);
            expect_that!(within(&self.retries, from), le(most * 0.2 + TERMS.slack), "{from}");
        }
    }
}

/// Credit that could be served if every retry of the budget completed a run, urgent roots first.
fn fluid_optimum() -> f64 {
    let demand: f64 = KINDS.iter().map(|kind| kind.per_second * f64::from(kind.calls)).sum();
    let mut retries = demand * TERMS.per_request + TERMS.slack / 10.0;
    let needed = REFUSED_FRACTION / (1.0 - REFUSED_FRACTION);
    let mut credit = 0.0;
    for kind in [KINDS[1], KINDS[2], KINDS[0]] {
        let each = f64::from(kind.calls) * needed;
        let served = kind.per_second.min(retries / each);
        retries -= served * each;
        credit += served * kind.credit;
    }
    credit / KINDS.iter().map(|kind| kind.per_second * kind.credit).sum::<f64>()
}

/// Seconds in which the service refuses and entries know of it.
const SHED_SECONDS: std::ops::Range<usize> = 14..21;
const RECOVERED_SECONDS: std::ops::Range<usize> = 23..28;

fn report(name: &str, replay: &ShedReplay) {
    let retries = replay.retries.iter().filter(|at| SHED.contains(at)).count();
    println!(
        "{name}: credit {:.3}, after {:.3}, top-ups {:.3}, prices {:.3}, reads {:.3}, retries {retries}",
        replay.credit(SHED_SECONDS),
        replay.credit(RECOVERED_SECONDS),
        replay.served_fraction("top-up", SHED_SECONDS),
        replay.served_fraction("price", SHED_SECONDS),
        replay.served_fraction("read", SHED_SECONDS),
    );
    println!("{name}: roots that failed after work, by second {:?}", &replay.wasted[12..24]);
}

/// The retries that the budget allows complete urgent runs, whatever the number of entries, and few
/// runs are begun that cannot be completed.
#[gtest]
fn admit_shed_completes_urgent_runs() {
    println!("fluid optimum {:.3}", fluid_optimum());
    let open = ShedReplay::run(EntryRule::Open, 200, 1);
    report("open", &open);
    for entries in [30, 200, 1_000] {
        let limited = ShedReplay::run(EntryRule::Limited, entries, 1);
        report(&format!("{entries} entries"), &limited);
        limited.expect_within_budget();
        expect_that!(limited.credit(SHED_SECONDS), gt(0.9 * fluid_optimum()), "{entries}");
        expect_that!(limited.credit(RECOVERED_SECONDS), gt(0.98), "{entries}");
        let wasted = |replay: &ShedReplay| replay.wasted[SHED_SECONDS].iter().sum::<u32>();
        expect_that!(wasted(&limited), lt(wasted(&open) / 4), "{entries}");
        let fractions =
            ["top-up", "price", "read"].map(|name| limited.served_fraction(name, SHED_SECONDS));
        // The urgent kind is served at least as often as the others.
        expect_that!(fractions[0], ge(fractions[1].max(fractions[2])), "{entries}");
    }
}
