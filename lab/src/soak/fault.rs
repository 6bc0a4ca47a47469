//! The fault schedule of a soak, drawn from its seed.

use std::time::Duration;

use lentilway_stand_ins::platform::answer_faults::AnswerFaultPlan;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::evacuations::EVACUATION_TIMEOUT;
use super::node::ZONES;

/// Faults per second of the run.
const FAULTS_PER_SECOND: f64 = 1.2;
const STORE_RETURN_SEED: u64 = 0x5702_e2a1;
const DEADLY_SEED: u64 = 0xdead_1e57;
const LEAVE_SEED: u64 = 0x1ea7_e5e5;
const ANSWER_SEED: u64 = 0x0503_c0b1;
const HISTORY_SEED: u64 = 0x4151_0c04;
const COLD_SEED: u64 = 0x00c0_1d5e;
const EVACUATION_SEED: u64 = 0xe0ac_5eed;

/// A fault of one node or of a shared component; the `usize` is the node's index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SoakFault {
    /// The daemon is suspended (SIGSTOP), later resumed.
    Suspend(usize),
    /// The daemon is killed and restarted.
    Kill(usize),
    /// The daemon is stopped gracefully and restarted.
    Stop(usize),
    /// The daemon reloads its settings.
    Reload(usize),
    /// The upstream ends without notice and is replaced.
    CrashUpstream(usize),
    /// The upstream drains and is replaced.
    DrainUpstream(usize),
    /// The upstream states for a while how many requests per second it takes.
    LimitUpstream(usize),
    /// The upstream tells of its leave in answers only, and is replaced.
    TellLeave(usize),
    /// The daemon restarts, its upstream leaves before it announces itself to the new process, and a
    /// heartbeat from before the restart arrives late.
    RestartAndLeave {
        node: usize,
        /// Whether the daemon is killed, or else stopped gracefully.
        is_kill: bool,
        /// Whether it is killed again once the leave was acknowledged.
        is_repeated: bool,
    },
    /// A link of the node fails.
    Link(usize, NodeLink, LinkFault),
    /// The store refuses requests, does not answer, is slow or loses answers.
    Store(StoreFault),
    /// The store comes back from a copy; the operator writes again what it lacks.
    RestoreStore,
    /// The store is silent, and drops its records while it is; the operator goes on meanwhile.
    DropHistory,
    /// A request that ends each upstream that runs it is sent again and again.
    SendDeadly {
        /// Whether it may run twice.
        is_safe: bool,
    },
    /// All upstreams refuse a share of the requests and send answers once more.
    CopyAnswers(AnswerFaultPlan),
    /// The upstream becomes cold: it takes few requests per second for a while.
    ChillUpstream(usize),
    /// Nothing may be sent to the upstreams of a zone for a while.
    EvacuateZone(usize),
    /// A key of an organisation is withdrawn.
    WithdrawKey,
    /// A route is added.
    AddRoute,
}

/// A link between a node and its surroundings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum NodeLink {
    Peers,
    Store,
    Upstream,
}

/// How a link fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LinkFault {
    Delay,
    Silent,
    OneWay,
    Reset,
}

/// How the store fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StoreFault {
    Busy,
    Silent,
    Slow,
    LosesAnswers,
}

/// A fault with its start, measured from the start of the run, and its duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: SoakFault,
}

impl SoakFault {
    /// Whether connections of callers may close because of it.
    pub(crate) fn may_cut_connections(self) -> bool {
        use SoakFault::{CopyAnswers, SendDeadly};
        !self.is_planned_operation() && !matches!(self, SendDeadly { .. } | CopyAnswers(_))
    }

    /// Whether this is a planned operation, during which no request may be lost.
    pub(crate) fn is_planned_operation(self) -> bool {
        use SoakFault::{
            AddRoute, ChillUpstream, DrainUpstream, EvacuateZone, LimitUpstream, Reload,
            RestartAndLeave, Stop, TellLeave, WithdrawKey,
        };
        matches!(
            self,
            Stop(_)
                | RestartAndLeave { is_kill: false, is_repeated: false, .. }
                | Reload(_)
                | DrainUpstream(_)
                | LimitUpstream(_)
                | TellLeave(_)
                | ChillUpstream(_)
                | EvacuateZone(_)
                | WithdrawKey
                | AddRoute
        )
    }
}

/// The faults of a run of `length` over `nodes` nodes, in order of their start. Some seeds have
/// planned operations only.
pub(crate) fn draw_plan(seed: u64, nodes: usize, length: Duration) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let planned_only = random.random_bool(0.25);
    let count = (length.as_secs_f64() * FAULTS_PER_SECOND) as usize;
    let mut plan: Vec<PlannedFault> = Vec::new();
    while plan.len() < count {
        let fault = draw_fault(&mut random, nodes);
        if planned_only && !fault.is_planned_operation() {
            continue;
        }
        let at = length.mul_f64(random.random_range(0.0..0.8));
        let duration = Duration::from_millis(random.random_range(200..4_000));
        // A fault may repeat soon after it ended.
        for repeat in 0..random.random_range(1..3_u32) {
            let at = at + (duration + Duration::from_millis(300)) * repeat;
            plan.push(PlannedFault { at, duration, fault });
        }
    }
    plan.extend(draw_store_returns(seed, length, planned_only));
    plan.extend(draw_history_losses(seed, length, planned_only));
    plan.extend(draw_deadly_requests(seed, length));
    plan.extend(draw_leaves(seed, nodes, length, planned_only));
    plan.extend(draw_answer_faults(seed, length));
    plan.extend(draw_cold_upstreams(seed, nodes, length));
    plan.extend(draw_evacuation(seed, length));
    plan.sort_by_key(|planned| planned.at);
    plan
}

/// Returns of the store from a copy, in half of the runs with unplanned faults. They are drawn apart
/// from the other faults, so that the plans of seeds stay as they were.
fn draw_store_returns(seed: u64, length: Duration, planned_only: bool) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ STORE_RETURN_SEED);
    let count = random.random_range(0..4_usize).saturating_sub(1);
    if planned_only {
        return Vec::new();
    }
    let mut draw = || PlannedFault {
        at: length.mul_f64(random.random_range(0.0..0.6)),
        duration: Duration::from_millis(random.random_range(100..1_500)),
        fault: SoakFault::RestoreStore,
    };
    (0..count).map(|_| draw()).collect()
}

/// Losses of the store's history in outages, one or two in half of the runs with unplanned faults. They
/// are drawn apart as well.
fn draw_history_losses(seed: u64, length: Duration, planned_only: bool) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ HISTORY_SEED);
    let count = random.random_range(0..4_usize).saturating_sub(1);
    if planned_only {
        return Vec::new();
    }
    let mut draw = || PlannedFault {
        at: length.mul_f64(random.random_range(0.3..1.0)),
        duration: Duration::from_millis(random.random_range(1_000..6_000)),
        fault: SoakFault::DropHistory,
    };
    (0..count).map(|_| draw()).collect()
}

/// Deadly requests in half of the runs, those with planned operations only among them. They are drawn
/// apart as well.
fn draw_deadly_requests(seed: u64, length: Duration) -> Option<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ DEADLY_SEED);
    random.random_bool(0.5).then(|| PlannedFault {
        at: length.mul_f64(random.random_range(0.0..0.4)),
        duration: Duration::from_millis(random.random_range(100..2_000)),
        fault: SoakFault::SendDeadly { is_safe: random.random_bool(0.5) },
    })
}

/// Leaves after restarts, one or two in each run. They are drawn apart as well.
fn draw_leaves(seed: u64, nodes: usize, length: Duration, planned_only: bool) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ LEAVE_SEED);
    let mut draw = || PlannedFault {
        at: length.mul_f64(random.random_range(0.0..0.5)),
        duration: Duration::from_millis(random.random_range(200..2_000)),
        fault: SoakFault::RestartAndLeave {
            node: random.random_range(0..nodes),
            is_kill: !planned_only && random.random_bool(0.7),
            is_repeated: !planned_only && random.random_bool(0.5),
        },
    };
    (0..2).map(|_| draw()).collect()
}

/// Refusals with copies of answers, twice in half of the runs, those with planned operations only
/// among them. They are drawn apart as well.
fn draw_answer_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ ANSWER_SEED);
    if random.random_bool(0.5) {
        return Vec::new();
    }
    let mut draw = |part: f64| PlannedFault {
        at: length.mul_f64(part + random.random_range(0.0..0.2)),
        duration: Duration::from_millis(random.random_range(1_000..3_000)),
        fault: SoakFault::CopyAnswers(AnswerFaultPlan {
            seed: random.random(),
            refused: random.random_range(0.3..0.9),
            refusals_copied: random.random_range(0.1..0.9),
            others_copied: random.random_range(0.01..0.1),
        }),
    };
    vec![draw(0.0), draw(0.5)]
}

/// Upstreams that become cold, three in half of the runs, those with planned operations only among
/// them. They are drawn apart as well.
fn draw_cold_upstreams(seed: u64, nodes: usize, length: Duration) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ COLD_SEED);
    if random.random_bool(0.5) {
        return Vec::new();
    }
    let mut draw = || PlannedFault {
        at: length.mul_f64(random.random_range(0.0..0.8)),
        duration: Duration::from_millis(random.random_range(800..3_000)),
        fault: SoakFault::ChillUpstream(random.random_range(0..nodes)),
    };
    (0..3).map(|_| draw()).collect()
}

/// The evacuation of a zone in half of the runs, those with planned operations only among them. It is
/// drawn apart as well.
fn draw_evacuation(seed: u64, length: Duration) -> Option<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ EVACUATION_SEED);
    random.random_bool(0.5).then(|| PlannedFault {
        at: length.mul_f64(random.random_range(0.0..0.4)),
        duration: EVACUATION_TIMEOUT + Duration::from_millis(random.random_range(200..3_000)),
        fault: SoakFault::EvacuateZone(random.random_range(0..ZONES)),
    })
}

fn draw_fault(random: &mut StdRng, nodes: usize) -> SoakFault {
    let node = random.random_range(0..nodes);
    match random.random_range(0..17) {
        0 | 1 => SoakFault::Suspend(node),
        2 => SoakFault::Kill(node),
        3 | 4 => SoakFault::Stop(node),
        5 => SoakFault::Reload(node),
        6 => SoakFault::CrashUpstream(node),
        7 => SoakFault::DrainUpstream(node),
        8..=10 => {
            let links = [NodeLink::Peers, NodeLink::Store, NodeLink::Upstream];
            let faults = [LinkFault::Delay, LinkFault::Silent, LinkFault::OneWay, LinkFault::Reset];
            let link = links[random.random_range(0..links.len())];
            SoakFault::Link(node, link, faults[random.random_range(0..faults.len())])
        }
        11 => {
            let faults =
                [StoreFault::Busy, StoreFault::Silent, StoreFault::Slow, StoreFault::LosesAnswers];
            SoakFault::Store(faults[random.random_range(0..faults.len())])
        }
        12 => SoakFault::WithdrawKey,
        13 | 14 => SoakFault::LimitUpstream(node),
        15 => SoakFault::TellLeave(node),
        _ => SoakFault::AddRoute,
    }
}
