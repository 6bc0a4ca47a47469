//! Keys and context handles: authentication, and which credentials reach backend servers.

use googletest::prelude::*;
use lentilway_lab::fleet::{Fleet, NodePlan, organisation, read_route, route, ticket};
use lentilway_stand_ins::backend::{BackendBehaviour, SubCall};
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use serde_json::{Value, json};

const KEY: &str = "key-nord-0123456789-abcdefghijklmnopqrstuv";

fn open_route(name: &str, prefix: &str, service: &str) -> Value {
    let mut object = route(name, "GET", prefix, service, "low", true);
    object["state"]["open"] = json!(true);
    object
}

fn tickets() -> [Value; 1] {
    let objects = [
        organisation("nord", KEY, 100_000.0, 100_000.0),
        read_route("stock-read", "/stock", "stock"),
        read_route("price-read", "/price", "pricing"),
        open_route("open-stock", "/open", "stock"),
        open_route("open-price", "/public", "pricing"),
    ];
    [ticket(1, &objects)]
}

fn with_sub_call(path: &str) -> BackendBehaviour {
    let sub_call = SubCall { method: "GET".into(), path: path.into() };
    BackendBehaviour { sub_calls: vec![sub_call], ..BackendBehaviour::default() }
}

async fn start_fleet(stock: BackendBehaviour) -> Fleet {
    let plans = [
        NodePlan::new("stock", "az1", stock),
        NodePlan::new("pricing", "az2", BackendBehaviour::default()),
    ];
    Fleet::start(&tickets(), &plans, |_| {}).await.expect("the fleet starts")
}

fn single_header(name: &str, value: &str) -> Vec<(String, String)> {
    vec![(name.to_string(), value.to_string())]
}

/// A key is removed from headers and query wherever it occurs; in the path or body it is refused.
#[gtest]
#[tokio::test]
async fn key_places_stripped() -> Result<()> {
    let header = CallerRequest::get("/stock/7", KEY);
    let keyless = CallerRequest { key: None, ..header.clone() };
    let bearer = format!("Bearer {KEY}");
    let cookie = format!("a=1; lentilway-key={KEY}; b=2");
    let encoded: String = KEY.bytes().map(|byte| format!("%{byte:02x}")).collect();
    let at = |path: String| CallerRequest { path, ..keyless.clone() };
    let table = [
        ("header", header.clone(), 1000),
        (
            "bearer",
            CallerRequest { headers: single_header("authorization", &bearer), ..keyless.clone() },
            1000,
        ),
        (
            "cookie",
            CallerRequest { headers: single_header("cookie", &cookie), ..keyless.clone() },
            1000,
        ),
        ("query", at(format!("/stock/7?a=1&lentilway-key={KEY}")), 1000),
        (
            "copy in a header",
            CallerRequest { headers: single_header("x-copy", KEY), ..header.clone() },
            1000,
        ),
        (
            "copy in the query",
            CallerRequest { path: format!("/stock/7?x={KEY}"), ..header.clone() },
            1000,
        ),
        (
            "encoded in the query",
            CallerRequest { path: format!("/stock/7?x={encoded}"), ..header.clone() },
            1000,
        ),
        (
            "second header",
            CallerRequest { headers: single_header("lentilway-key", KEY), ..header.clone() },
            1000,
        ),
        (
            "copy in the path",
            CallerRequest { path: format!("/stock/{KEY}"), ..header.clone() },
            2014,
        ),
        ("copy in the body", CallerRequest { body: format!("x{KEY}x"), ..header }, 2014),
        ("on an open route", CallerRequest::get("/open/7", KEY), 1000),
    ];
    let fleet = start_fleet(with_sub_call("/price/1")).await;
    let caller = Caller::default();
    for (place, request, expected) in table {
        for daemon in fleet.callers() {
            let answer = caller.send(daemon, &request).await.expect("the daemon answers");
            expect_that!(answer.code, eq(expected), "{place}");
        }
    }
    for node in &fleet.nodes {
        let received = node.backend.counts().header_text;
        expect_that!(received.contains(KEY), eq(false));
        expect_that!(received.contains(&encoded), eq(false));
        expect_that!(received.is_empty(), eq(false));
    }
    let received = fleet.nodes[0].backend.counts().header_text;
    expect_that!(received, contains_substring("cookie: a=1; b=2"));
    expect_that!(received, contains_substring("/stock/7?a=1\n"));
    Ok(())
}

fn sub_call(path: &str, handle: Option<&str>) -> CallerRequest {
    CallerRequest {
        method: "GET".into(),
        path: path.into(),
        headers: handle
            .map(|handle| single_header("lentilway-context", handle))
            .unwrap_or_default(),
        ..CallerRequest::default()
    }
}

/// The handles that the backend server of `node` has received.
fn handles_received(fleet: &Fleet, node: usize) -> Vec<String> {
    let text = fleet.nodes[node].backend.counts().header_text;
    let handles = text.lines().filter_map(|line| line.strip_prefix("lentilway-context: "));
    handles.map(str::to_string).collect()
}

#[gtest]
#[tokio::test]
async fn handle_invalid_table() -> Result<()> {
    let fleet = start_fleet(BackendBehaviour::default()).await;
    let caller = Caller::default();
    let answer = caller.send(fleet.callers()[0], &CallerRequest::get("/stock/7", KEY)).await;
    expect_that!(answer.map(|answer| answer.code), ok(eq(&1000)));
    let expired = handles_received(&fleet, 0).pop().expect("the backend server received a handle");

    let slow = BackendBehaviour { service_ms: 5000.0, ..BackendBehaviour::default() };
    fleet.nodes[1].backend.set_behaviour(slow);
    let daemon = fleet.callers()[1];
    let running = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.send(daemon, &CallerRequest::get("/price/7", KEY)).await })
    };
    fleet.nodes[1].backend.wait_executions(1).await;
    let live = handles_received(&fleet, 1).pop().expect("the backend server received a handle");

    let slots: Vec<_> = fleet.nodes.iter().map(|node| node.daemon.addresses.slot).collect();
    let keyed = CallerRequest { key: Some(KEY.into()), ..sub_call("/stock/7", None) };
    let table = [
        ("live at its own daemon", slots[1], sub_call("/stock/7", Some(&live)), 1000),
        ("live at another daemon", slots[0], sub_call("/stock/7", Some(&live)), 2015),
        ("expired", slots[0], sub_call("/stock/7", Some(&expired)), 2015),
        ("expired on an open route", slots[0], sub_call("/open/7", Some(&expired)), 2015),
        ("forged", slots[0], sub_call("/stock/7", Some(&"7".repeat(32))), 2015),
        ("malformed", slots[0], sub_call("/stock/7", Some("nord")), 2015),
        ("none, keyed route", slots[0], sub_call("/stock/7", None), 2001),
        ("none, open route", slots[0], sub_call("/open/7", None), 1000),
        ("a key instead", slots[0], keyed, 2001),
    ];
    for (case, slot, request, expected) in table {
        let answer = caller.send(slot, &request).await.expect("the daemon answers");
        expect_that!(answer.code, eq(expected), "{case}");
    }
    running.abort();
    Ok(())
}

/// Protocol headers sent by a caller are dropped; its context header is not taken as a handle.
#[gtest]
#[tokio::test]
async fn entry_protocol_headers_dropped() -> Result<()> {
    let fleet = start_fleet(BackendBehaviour::default()).await;
    let caller = Caller::default();
    let forged = CallerRequest {
        headers: vec![
            ("lentilway-context".into(), "forged-context".into()),
            ("lentilway-attempt".into(), "forged-attempt".into()),
            ("lentilway-retries-left".into(), "100".into()),
            ("lentilway-target-boot".into(), "1".into()),
        ],
        ..CallerRequest::get("/stock/7", KEY)
    };
    for daemon in fleet.callers() {
        let answer = caller.send(daemon, &forged).await.expect("the daemon answers");
        expect_that!(answer.code, eq(1000));
    }
    let received = fleet.nodes[0].backend.counts().header_text;
    expect_that!(received.contains("forged"), eq(false));
    expect_that!(received.contains("target-boot"), eq(false));
    Ok(())
}

/// A request without a key does not reach a keyed route through a sub-call.
#[gtest]
#[tokio::test]
async fn sub_call_keyless_refused() -> Result<()> {
    let fleet = start_fleet(with_sub_call("/price/1")).await;
    let caller = Caller::default();
    let open = CallerRequest { key: None, ..CallerRequest::get("/open/7", "") };
    let answer = caller.send(fleet.callers()[1], &open).await.expect("the daemon answers");
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    expect_that!(body["sub_calls"][0]["result"].as_str(), some(eq("2001")));
    expect_that!(fleet.nodes[1].backend.counts().executions, eq(0));
    Ok(())
}
