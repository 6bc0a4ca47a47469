//! Propagation of deadlines and cancellation down the call chain.

use std::time::Duration;

use googletest::prelude::*;
use lentilway_lab::fleet::{Fleet, NodePlan, organisation, read_route, ticket};
use lentilway_stand_ins::backend::{BackendBehaviour, SubCall};
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use serde_json::{Value, json};
use tokio::time::timeout;

const KEY: &str = "key-of-nord";
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than the test's wait, so that the cancellation is not due to a deadline.
const ROUTE_TIMEOUT_MS: u64 = 300_000;

fn slow_route(name: &str, prefix: &str, service: &str) -> Value {
    let mut route = read_route(name, prefix, service);
    route["state"]["timeout_ms"] = json!(ROUTE_TIMEOUT_MS);
    route
}

/// A chain of three services; the last takes `service_ms`.
async fn start_chain(service_ms: f64) -> googletest::Result<Fleet> {
    let objects = [
        organisation("nord", KEY, 1000.0, 1000.0),
        slow_route("a", "/a", "a"),
        slow_route("b", "/b", "b"),
        slow_route("c", "/c", "c"),
    ];
    let calls = |path: &str| BackendBehaviour {
        sub_calls: vec![SubCall { method: "GET".into(), path: path.into() }],
        ..BackendBehaviour::default()
    };
    let last = BackendBehaviour { service_ms, ..BackendBehaviour::default() };
    let plans = [
        NodePlan::new("entry", "az1", BackendBehaviour::default()),
        NodePlan::new("a", "az1", calls("/b")),
        NodePlan::new("b", "az1", calls("/c")),
        NodePlan::new("c", "az1", last),
    ];
    Fleet::start(&[ticket(1, &objects)], &plans, |_| {}).await.or_fail()
}

/// A caller that disconnects cancels the execution at every backend server of the chain.
#[tokio::test]
async fn disconnect_cancels_whole_chain() -> googletest::Result<()> {
    let fleet = start_chain(ROUTE_TIMEOUT_MS as f64).await?;
    let daemon = fleet.callers()[0];
    let call = tokio::spawn(async move {
        Caller::default().send(daemon, &CallerRequest::get("/a", KEY)).await
    });
    timeout(WAIT_TIMEOUT, fleet.nodes[3].backend.wait_executions(1)).await?;
    call.abort();
    let cancelled = async {
        for node in &fleet.nodes[1..] {
            while node.backend.counts().cancelled == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    };
    timeout(WAIT_TIMEOUT, cancelled).await?;
    for node in &fleet.nodes[1..] {
        verify_that!(node.daemon.shared.admission.running(), eq(0))?;
        verify_that!(node.backend.counts().executions, eq(1))?;
    }
    fleet.stop().await;
    Ok(())
}

/// The remaining time sent to each backend server never increases down the chain.
#[tokio::test]
async fn deadline_travels_down() -> googletest::Result<()> {
    let fleet = start_chain(1.0).await?;
    let limit = ("lentilway-timeout-ms".to_string(), "20000".to_string());
    let request = CallerRequest { headers: vec![limit], ..CallerRequest::get("/a", KEY) };
    let answer = Caller::default().send(fleet.callers()[0], &request).await;
    verify_that!(answer.map_err(std::io::Error::other)?.code, eq(1000))?;
    let mut limit = 20_000;
    for node in &fleet.nodes[1..] {
        let text = node.backend.counts().header_text;
        let line = text.lines().find_map(|line| line.strip_prefix("lentilway-timeout-ms: "));
        let remaining: u64 = line.or_fail()?.parse()?;
        verify_that!(remaining, le(limit))?;
        limit = remaining;
    }
    fleet.stop().await;
    Ok(())
}

/// A deadline that passes deep in the chain ends the request and cancels running executions.
#[tokio::test]
async fn deadline_cancels_execution() -> googletest::Result<()> {
    let fleet = start_chain(ROUTE_TIMEOUT_MS as f64).await?;
    let limit = ("lentilway-timeout-ms".to_string(), "300".to_string());
    let request = CallerRequest { headers: vec![limit], ..CallerRequest::get("/a", KEY) };
    let answer = Caller::default().send(fleet.callers()[0], &request).await;
    let code = answer.map_err(std::io::Error::other)?.code;
    verify_that!(code, any![eq(2006), eq(3003)])?;
    let cancelled = async {
        let last = &fleet.nodes[3].backend;
        while last.counts().cancelled < last.counts().executions {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, cancelled).await?;
    fleet.stop().await;
    Ok(())
}
