//! No organisation is admitted beyond its rate and burst over all daemons.

mod fleet;
mod model;
mod parts;
mod process_fleet;

use googletest::prelude::*;
use lentilway::process::members::MemberRecord;
use lentilway_lab::fleet::organisation;
use lentilway_lab::measure::rates::window::{AdmissionSpan, WindowExcess, worst_window};
use lentilway_stand_ins::log::LogFaults;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

use fleet::{BURST, RATE, RateFleet, deleted, wait};
use model::{ModelOp, RateModel};
use process_fleet::ProcessFleet;

const CASES: u32 = 200;
const OPS: usize = 300;
const SEED: [u8; 32] = [7; 32];

fn runner() -> TestRunner {
    let config = ProptestConfig {
        cases: CASES,
        max_shrink_iters: 500,
        failure_persistence: None,
        ..Default::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

#[test]
fn window_excess_found() -> googletest::Result<()> {
    let at = |millis: &[f64]| -> Vec<AdmissionSpan> {
        millis.iter().map(|millis| AdmissionSpan::at(*millis)).collect()
    };
    let excess =
        |millis: &[f64]| worst_window(&at(millis), 10.0, 2.0).expect("there are admissions").excess;
    verify_that!(excess(&[0.0, 0.0, 100.0, 200.0]), near(0.0, 1e-9))?;
    verify_that!(excess(&[0.0, 0.0, 99.0, 200.0]), gt(0.0))?;
    verify_that!(excess(&[0.0, 1000.0, 1000.0, 1000.0]), gt(0.0))
}

#[test]
fn every_window_random_faults() {
    let terms = prop_oneof![
        Just((20.0, 6.0)),
        Just((100.0, 40.0)),
        Just((400.0, 40.0)),
        Just((1000.0, 100.0)),
        Just((0.0, 8.0)),
        Just((1000.0, 1.0)),
    ];
    let ops = prop::collection::vec(ModelOp::any(), OPS);
    let run = runner().run(&(terms, ops), |((rate, burst), ops)| {
        let mut model = RateModel::new(rate, burst);
        ops.into_iter().for_each(|op| model.apply(op));
        let worst = model.worst_window();
        prop_assert!(worst.is_none_or(|worst| worst.excess <= 1e-6), "{worst:?}");
        prop_assert!(model.max_spendable <= model.burst_micros(), "{}", model.max_spendable);
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

#[test]
fn every_window_random_faults_not_vacuous() -> googletest::Result<()> {
    let mut runner = runner();
    let (mut admitted, mut lent, mut moved) = (0, 0, 0);
    let ops = prop::collection::vec(ModelOp::any(), OPS);
    for _ in 0..50 {
        let tree = ops.new_tree(&mut runner).expect("the strategy generates operations");
        let mut model = RateModel::new(100.0, 40.0);
        tree.current().into_iter().for_each(|op| model.apply(op));
        admitted += model.admissions.len();
        lent += model.grants_received;
        moved += model.shares_moved;
    }
    verify_that!(admitted, gt(1000))?;
    verify_that!(lent, gt(200))?;
    verify_that!(moved, gt(200))
}

/// Fault of a fleet under load.
#[derive(Clone, Copy, Debug)]
enum FleetFault {
    Nothing,
    OneCaller,
    LogCutPastLease,
    PeersCut,
    LogOutagePastLease,
    AnswersOfLogLost,
    PlannedRestart,
    MembersUnknown,
    DeletedAndCreated,
}

const FLEET_FAULTS: [FleetFault; 9] = [
    FleetFault::Nothing,
    FleetFault::OneCaller,
    FleetFault::LogCutPastLease,
    FleetFault::PeersCut,
    FleetFault::LogOutagePastLease,
    FleetFault::AnswersOfLogLost,
    FleetFault::PlannedRestart,
    FleetFault::MembersUnknown,
    FleetFault::DeletedAndCreated,
];

const FLEET_SIZE: usize = 4;
const PHASE: usize = 150;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_window_fleet_faults() -> googletest::Result<()> {
    for fault in FLEET_FAULTS {
        let (admitted, worst) = run_fleet_fault(fault).await;
        verify_that!(worst.excess, le(0.0))
            .with_failure_message(|| format!("{fault:?} {worst:?}"))?;
        verify_that!(admitted, ge(2 * PHASE)).with_failure_message(|| format!("{fault:?}"))?;
    }
    Ok(())
}

async fn run_fleet_fault(fault: FleetFault) -> (usize, WindowExcess) {
    let mut fleet = RateFleet::start(FLEET_SIZE).await;
    match fault {
        FleetFault::OneCaller => fleet.load(0, 1.0),
        _ => fleet.load_evenly(),
    }
    fleet.wait_admitted(PHASE).await;
    inject(&mut fleet, fault).await;
    fleet.wait_admitted(PHASE).await;
    fleet.finish().await
}

async fn inject(fleet: &mut RateFleet, fault: FleetFault) {
    match fault {
        FleetFault::Nothing | FleetFault::OneCaller => {}
        FleetFault::LogCutPastLease => {
            fleet.log_relays[0].set_partitioned(true);
            wait(|| fleet.held(0) == 0).await;
            fleet.wait_all_held().await;
            fleet.wait_admitted(PHASE).await;
            fleet.log_relays[0].set_partitioned(false);
        }
        FleetFault::PeersCut => {
            fleet.peer_relays.iter().for_each(|relay| relay.set_partitioned(true));
            fleet.wait_admitted(PHASE).await;
            fleet.peer_relays.iter().for_each(|relay| relay.set_partitioned(false));
        }
        FleetFault::LogOutagePastLease => {
            fleet.fleet.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
            wait(|| fleet.held_by_all() == 0).await;
            fleet.fleet.log.set_faults(LogFaults::default());
            fleet.wait_all_held().await;
        }
        FleetFault::AnswersOfLogLost => {
            let faults = LogFaults { lose_append_answers: 8, ..LogFaults::default() };
            fleet.fleet.log.set_faults(faults);
            fleet.wait_admitted(PHASE).await;
            fleet.wait_all_held().await;
        }
        FleetFault::PlannedRestart => {
            fleet.fleet.nodes.remove(0).daemon.stop().await;
            fleet.add("az1").await;
            fleet.load(FLEET_SIZE - 1, 0.25);
            fleet.wait_all_held().await;
        }
        FleetFault::MembersUnknown => {
            let members = fleet.shared(0).members.clone();
            for node in &fleet.fleet.nodes[1..] {
                let instance = node.daemon.shared.instance;
                members.apply(MemberRecord::Leave { instance });
            }
            fleet.wait_admitted(PHASE).await;
        }
        FleetFault::DeletedAndCreated => {
            fleet.submit(2, &[deleted("nord")]).await;
            fleet.submit(3, &[organisation("nord", "key-nord", RATE, BURST)]).await;
        }
    }
}

/// Fault of a daemon process.
#[derive(Clone, Copy, Debug)]
enum ProcessFault {
    KilledAndReplaced,
    FrozenPastLease,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_window_process_faults() -> googletest::Result<()> {
    for fault in [ProcessFault::KilledAndReplaced, ProcessFault::FrozenPastLease] {
        let mut fleet = ProcessFleet::start(3).await;
        fleet.wait_admitted(PHASE).await;
        match fault {
            ProcessFault::KilledAndReplaced => {
                fleet.kill(0);
                fleet.add("az1").await;
                fleet.wait_all_held(&[1, 2, 3]).await;
            }
            ProcessFault::FrozenPastLease => {
                fleet.suspend(0);
                fleet.wait_all_held(&[1, 2]).await;
                fleet.resume(0);
            }
        }
        fleet.wait_admitted(PHASE).await;
        let (admitted, worst) = fleet.finish().await;
        verify_that!(worst.excess, le(0.0))
            .with_failure_message(|| format!("{fault:?} {worst:?}"))?;
        verify_that!(admitted, ge(2 * PHASE))?;
    }
    Ok(())
}
