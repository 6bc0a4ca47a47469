//! Retries stay within the allowance of the whole call tree and happen next to the failure.

use std::sync::Arc;

use googletest::prelude::*;
use lentilway::clock::MilliClock;
use lentilway::config::ControlMode;
use lentilway::request::allowance::{RequestAllowance, RetryLoan};
use lentilway::request::resend::{ResendDetector, SendKind};
use lentilway_lab::fleet::{Fleet, NodePlan, organisation, read_route, ticket, write_route};
use lentilway_stand_ins::backend::{AnswerFault, BackendBehaviour, SubCall};
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::json;

const KEY: &str = "key-of-nord";
const RATE: f64 = 10_000.0;
/// Path of a non-idempotent route, where a request without an idempotency key runs nothing.
const WRITE_PATH: &str = "/probe";
const KEY_MISSING: u16 = 2009;
/// Long enough that the load of the machine does not affect results.
const ROUTE_TIMEOUT_MS: u64 = 60_000;

fn sub_call(service: usize) -> SubCall {
    SubCall { method: "GET".into(), path: format!("/s{service}") }
}

/// A fleet of `services`, each with a behaviour and a number of instances, behind an entry daemon
/// whose own backend server gets no calls.
async fn start_services(
    services: &[(BackendBehaviour, usize)],
    allowance: u8,
) -> googletest::Result<Fleet> {
    let write_probe = write_route("probe", WRITE_PATH, "s0");
    let mut objects = vec![organisation("nord", KEY, RATE, RATE), write_probe];
    let mut plans = vec![NodePlan::new("entry", "az1", BackendBehaviour::default())];
    for (index, (behaviour, instances)) in services.iter().enumerate() {
        let service = format!("s{index}");
        let mut route = read_route(&service, &format!("/{service}"), &service);
        route["state"]["timeout_ms"] = json!(ROUTE_TIMEOUT_MS);
        objects.push(route);
        let plan = NodePlan::new(&service, "az1", behaviour.clone());
        plans.extend(std::iter::repeat_n(plan, *instances));
    }
    let tickets = [ticket(1, &objects)];
    let configure = |config: &mut lentilway::config::DaemonConfig| {
        config.retry_allowance = allowance;
    };
    let fleet = Fleet::start(&tickets, &plans, configure).await.or_fail()?;
    wait_tokens(&fleet).await?;
    Ok(fleet)
}

/// Waits until the entry daemon has tokens of the organisation's rate: until a request without an
/// idempotency key is refused for the missing key and not for its rate. On a loaded machine the
/// tokens take longer to arrive.
async fn wait_tokens(fleet: &Fleet) -> googletest::Result<()> {
    let unkeyed = CallerRequest { method: "POST".into(), ..CallerRequest::get(WRITE_PATH, KEY) };
    loop {
        let answer = Caller::default().send(fleet.callers()[0], &unkeyed).await;
        if answer.map_err(|error| io_error(&error))?.code == KEY_MISSING {
            return Ok(());
        }
        tokio::task::yield_now().await;
    }
}

/// Executions of each service.
fn executions(fleet: &Fleet, services: &[(BackendBehaviour, usize)]) -> Vec<u64> {
    let mut nodes = fleet.nodes.iter().skip(1);
    let count = |instances: usize| {
        nodes.by_ref().take(instances).map(|node| node.backend.counts().executions).sum()
    };
    services.iter().map(|(_, instances)| *instances).map(count).collect()
}

async fn send(fleet: &Fleet, path: &str) -> googletest::Result<u16> {
    let answer = Caller::default().send(fleet.callers()[0], &CallerRequest::get(path, KEY)).await;
    Ok(answer.map_err(|error| io_error(&error))?.code)
}

fn io_error(error: &str) -> std::io::Error {
    std::io::Error::other(error.to_string())
}

fn failing(sub_calls: Vec<SubCall>) -> BackendBehaviour {
    let answer = AnswerFault::Reset;
    BackendBehaviour { sub_calls, parallel: true, answer, ..BackendBehaviour::default() }
}

/// In a chain of five failing services only the last hop retries, within the allowance.
#[tokio::test]
async fn relay_chain_all_failing() -> googletest::Result<()> {
    for (allowance, last) in [(0, 1), (1, 2), (2, 2), (8, 3)] {
        let mut services: Vec<(BackendBehaviour, usize)> =
            (1..5).map(|next| (failing(vec![sub_call(next)]), 3)).collect();
        services.push((failing(Vec::new()), 3));
        let fleet = start_services(&services, allowance).await?;
        verify_that!(send(&fleet, "/s0").await?, eq(3001))?;
        verify_that!(executions(&fleet, &services), eq(&vec![1, 1, 1, 1, last]))?;
        fleet.stop().await;
    }
    Ok(())
}

/// In a failing fan-out of three over two levels, executions exceed one per call by at most the
/// allowance.
#[tokio::test]
async fn relay_fan_out_all_failing() -> googletest::Result<()> {
    for allowance in [0, 2, 5] {
        let services = [
            (failing(vec![sub_call(1), sub_call(1), sub_call(1)]), 2),
            (failing(vec![sub_call(2), sub_call(2), sub_call(2)]), 4),
            (failing(Vec::new()), 4),
        ];
        let fleet = start_services(&services, allowance).await?;
        verify_that!(send(&fleet, "/s0").await?, eq(3001))?;
        let counts = executions(&fleet, &services);
        verify_that!(counts[..2], elements_are![eq(&1), eq(&3)])?;
        verify_that!(counts[2], all![ge(9), le(9 + u64::from(allowance))])?;
        fleet.stop().await;
    }
    Ok(())
}

/// A failure of a hop in the middle is retried by the hop before it.
#[tokio::test]
async fn relay_middle_fails_once() -> googletest::Result<()> {
    let middle = BackendBehaviour {
        sub_calls: vec![sub_call(2)],
        answer: AnswerFault::Reset,
        ..BackendBehaviour::default()
    };
    let head = BackendBehaviour { sub_calls: vec![sub_call(1)], ..BackendBehaviour::default() };
    let services = [(head, 1), (middle, 2), (BackendBehaviour::default(), 1)];
    let fleet = start_services(&services, 3).await?;
    verify_that!(send(&fleet, "/s0").await?, eq(1000))?;
    verify_that!(executions(&fleet, &services), eq(&vec![1, 2, 2]))?;
    fleet.stop().await;
    Ok(())
}

/// Refusals that ran nothing cost no retry, and the number of upstreams tried is bounded.
#[tokio::test]
async fn relay_refusals_bounded() -> googletest::Result<()> {
    let refusing = BackendBehaviour { answer: AnswerFault::Refused, ..BackendBehaviour::default() };
    let services = [(refusing.clone(), 6), (refusing, 1)];
    let fleet = start_services(&services, 0).await?;
    verify_that!(send(&fleet, "/s0").await?, eq(2020))?;
    let refused: u64 = fleet.nodes.iter().map(|node| node.backend.counts().refused).sum();
    verify_that!(refused, eq(4))?;
    fleet.nodes[7].backend.set_behaviour(BackendBehaviour::default());
    verify_that!(send(&fleet, "/s1").await?, eq(1000))?;
    fleet.stop().await;
    Ok(())
}

/// With plain retries, an attempt that may have run is not reported as "not run" when no upstream
/// is left for the next attempt.
#[tokio::test]
async fn relay_plain_upstream_gone() -> googletest::Result<()> {
    let behaviour =
        BackendBehaviour { service_ms: 2000.0, answer: AnswerFault::Reset, ..Default::default() };
    let mut route = read_route("s0", "/s0", "s0");
    route["state"]["timeout_ms"] = json!(ROUTE_TIMEOUT_MS);
    let tickets = [ticket(1, &[organisation("nord", KEY, RATE, RATE), route])];
    let plans = [
        NodePlan::new("entry", "az1", BackendBehaviour::default()),
        NodePlan::new("s0", "az1", behaviour),
    ];
    let configure =
        |config: &mut lentilway::config::DaemonConfig| config.control = ControlMode::PlainRetries;
    let fleet = Fleet::start(&tickets, &plans, configure).await.or_fail()?;
    let leave = async {
        fleet.nodes[1].backend.wait_executions(1).await;
        fleet.nodes[1].backend.leave().await;
    };
    let (code, ()) = tokio::join!(send(&fleet, "/s0"), leave);
    verify_that!(code?, eq(3001))?;
    verify_that!(fleet.nodes[1].backend.counts().executions, eq(1))
}

/// A refusal after an attempt that may have run is not reported as "not run".
#[tokio::test]
async fn relay_refusal_after_reset() -> googletest::Result<()> {
    let behaviour = |answer| BackendBehaviour { answer, ..BackendBehaviour::default() };
    let services = [(behaviour(AnswerFault::Reset), 2)];
    let fleet = start_services(&services, 2).await?;
    fleet.nodes[1].backend.set_behaviour(behaviour(AnswerFault::Refused));
    for _ in 0..8 {
        verify_that!(send(&fleet, "/s0").await?, eq(3001))?;
    }
    fleet.stop().await;
    Ok(())
}

/// Retries stay within a tenth of the calls plus the saved retry budget.
#[tokio::test]
async fn budget_bounds_retries() -> googletest::Result<()> {
    let services = [(failing(Vec::new()), 2)];
    let fleet = start_services(&services, 1).await?;
    for _ in 0..100 {
        verify_that!(send(&fleet, "/s0").await?, eq(3001))?;
    }
    let retries = executions(&fleet, &services)[0] - 100;
    verify_that!(retries, all![ge(20), le(30)])?;
    fleet.stop().await;
    Ok(())
}

/// Requests resent by a caller get no retries from the daemons and stay within the retry budget.
#[tokio::test]
async fn entry_counts_resends() -> googletest::Result<()> {
    let services = [(failing(Vec::new()), 2)];
    let fleet = start_services(&services, 1).await?;
    let id = ("lentilway-request-id".to_string(), "caller-1".to_string());
    let request = CallerRequest { headers: vec![id], ..CallerRequest::get("/s0", KEY) };
    let caller = Caller::default();
    let mut codes = Vec::new();
    for _ in 0..30 {
        let answer = caller.send(fleet.callers()[0], &request).await;
        codes.push(answer.map_err(|error| io_error(&error))?.code);
    }
    verify_that!(codes[..21], each(eq(&3001)))?;
    verify_that!(codes[21..], each(eq(&2007)))?;
    verify_that!(executions(&fleet, &services)[0], eq(22))?;
    fleet.stop().await;
    Ok(())
}

#[gtest]
fn classify_resend_forgotten() -> googletest::Result<()> {
    let clock = MilliClock::manual();
    let detector = ResendDetector::new(clock.clone());
    let classify = |organisation| detector.classify(Some(organisation), Some("r1"));
    verify_that!(classify("nord"), eq(SendKind::Fresh))?;
    verify_that!(classify("sued"), eq(SendKind::Fresh))?;
    verify_that!(classify("nord"), eq(SendKind::Repeat))?;
    clock.advance(std::time::Duration::from_secs(31));
    verify_that!(classify("nord"), eq(SendKind::Repeat))?;
    clock.advance(std::time::Duration::from_secs(31));
    verify_that!(classify("nord"), eq(SendKind::Repeat))?;
    clock.advance(std::time::Duration::from_secs(31));
    verify_that!(classify("west"), eq(SendKind::Fresh))
}

/// A call at another daemon, with a loan from its parent's allowance.
struct RunningCall {
    parent: usize,
    loan: RetryLoan,
}

/// One step of a random call tree.
#[derive(Clone, Copy, Debug)]
enum TreeStep {
    Call(usize),
    Retry(usize),
    Answer(usize, bool),
}

fn tree_step() -> impl Strategy<Value = TreeStep> {
    prop_oneof![
        any::<usize>().prop_map(TreeStep::Call),
        any::<usize>().prop_map(TreeStep::Retry),
        (any::<usize>(), any::<bool>()).prop_map(|(call, arrives)| TreeStep::Answer(call, arrives)),
    ]
}

/// Runs `steps` and returns the retries spent, lost and left.
fn run_tree(allowance: u8, steps: &[TreeStep]) -> (u32, u32, u32) {
    let mut allowances = vec![Arc::new(RequestAllowance::new(allowance))];
    let mut calls: Vec<Option<RunningCall>> = vec![None];
    let (mut spent, mut lost) = (0, 0);
    let mut end = |calls: &mut Vec<Option<RunningCall>>,
                   allowances: &[Arc<RequestAllowance>],
                   index: usize,
                   arrives: bool| {
        let Some(call) = calls[index].take() else { return };
        let unspent = allowances[index].take_unspent();
        assert!(call.parent < index);
        // An answer cannot return more than the loan.
        if arrives { call.loan.repay(unspent) } else { lost += u32::from(unspent) }
    };
    for step in steps {
        match *step {
            TreeStep::Call(choice) => {
                let parent = choice % allowances.len();
                let loan = allowances[parent].lend();
                allowances.push(Arc::new(RequestAllowance::new(loan.amount())));
                calls.push(Some(RunningCall { parent, loan }));
            }
            TreeStep::Retry(choice) => {
                spent += u32::from(allowances[choice % allowances.len()].spend());
            }
            TreeStep::Answer(choice, arrives) => {
                end(&mut calls, &allowances, choice % allowances.len(), arrives);
            }
        }
    }
    for index in (1..allowances.len()).rev() {
        end(&mut calls, &allowances, index, true);
    }
    // Retries repaid after `take_unspent` stay in their allowance and cannot be spent further up.
    let left = allowances.iter().map(|allowance| u32::from(allowance.left())).sum();
    (spent, lost, left)
}

/// In random call trees, retries spent, lost and left always sum to the allowance.
#[gtest]
fn allowance_conserved_random_trees() {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let trees = (0_u8..20, prop::collection::vec(tree_step(), 0..80));
    let result = runner.run(&trees, |(allowance, steps)| {
        let (spent, lost, left) = run_tree(allowance, &steps);
        prop_assert_eq!(spent + lost + left, u32::from(allowance));
        Ok(())
    });
    result.expect("every tree conserves its allowance");
}

#[gtest]
fn repay_more_than_lent() -> googletest::Result<()> {
    let allowance = Arc::new(RequestAllowance::new(3));
    allowance.lend().repay(200);
    verify_that!(allowance.left(), eq(3))?;
    drop(allowance.lend());
    verify_that!(allowance.left(), eq(1))
}

/// A failed call waits for the retry that a concurrent call repays.
#[tokio::test]
async fn spend_within_waits_for_loan() -> googletest::Result<()> {
    let allowance = Arc::new(RequestAllowance::new(1));
    let loan = allowance.lend();
    let waiting = allowance.clone();
    let spend =
        tokio::spawn(async move { waiting.spend_within(std::time::Duration::from_secs(30)).await });
    tokio::task::yield_now().await;
    loan.repay(1);
    verify_that!(spend.await?, eq(true))?;
    let limit = std::time::Duration::from_secs(30);
    verify_that!(allowance.spend_within(limit).await, eq(false))
}
