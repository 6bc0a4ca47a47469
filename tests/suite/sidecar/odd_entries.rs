//! Entries of other writers among those that daemons read.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::sidecar::process::keyed_store::StoreTopic;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use super::fleet::{KEY, TestFleet, UNREADABLE_KEY, WITHDRAWN_KEY, config};

const NESTED_DEPTH: usize = 50_000;
const GAUGE: &str = "lentilway_configuration_unreadable_entries";

fn nested() -> String {
    format!("{}{}", "[".repeat(NESTED_DEPTH), "]".repeat(NESTED_DEPTH))
}

/// An entry of the directory with one field replaced by the text.
fn entry_with(field: &str, text: &str) -> Vec<u8> {
    let fields = [
        ("name", r#""odd""#),
        ("address", r#""127.0.0.1:9""#),
        ("service", r#""stock""#),
        ("availability_zone", r#""zone""#),
    ];
    let usual = fields.iter().filter(|(name, _)| *name != field);
    let usual = usual.map(|(name, value)| format!("\"{name}\":{value}"));
    let members: Vec<String> = usual.chain([format!("\"{field}\":{text}")]).collect();
    format!("{{{}}}", members.join(",")).into_bytes()
}

fn odd_entries() -> Vec<Vec<u8>> {
    let deep = nested();
    let huge = "1".repeat(400);
    let most = u64::MAX.to_string();
    let server = |born: &str| format!(r#"{{"id":"odd","born":{born}}}"#);
    let known = format!(r#"{{"era":{most},"version":{most}}}"#);
    let mut entries = vec![
        Vec::new(),
        vec![0xff, 0xfe, 0x00],
        deep.clone().into_bytes(),
        format!("{{\"name\":{deep}}}").into_bytes(),
        b"null".to_vec(),
        huge.clone().into_bytes(),
        entry_with("address", r#""127.0.0.1:0""#),
        entry_with("address", r#""127.0.0.1:65536""#),
        entry_with("address", r#""0.0.0.0:0""#),
        entry_with("address", r#""[::1%0]:1""#),
        entry_with("address", "7"),
        entry_with("name", r#""another""#),
        entry_with("service", &deep),
        entry_with("another", &deep),
        entry_with("left", &server(&huge)),
        entry_with("left", &server("-1")),
        entry_with("left", &server("1e400")),
        entry_with("left", &server("\"NaN\"")),
        entry_with("left", &server(&most)),
        entry_with("known", &known),
        entry_with("crashes", &deep),
        entry_with("crashes", r#"[{"running":[7]}]"#),
        [entry_with("left", "null"), b"{".to_vec()].concat(),
    ];
    let whole = entry_with("left", "null");
    let twice = String::from_utf8(whole.clone()).unwrap().replacen('{', r#"{"name":"odd","#, 1);
    entries.push(twice.into_bytes());
    entries.extend((1..whole.len()).step_by(7).map(|end| whole[..end].to_vec()));
    entries
}

/// Daemons follow both topics past each odd entry, and a daemon that starts reads past all of them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn directory_odd_entries() {
    let fleet = TestFleet::new();
    let entry = fleet.start("entry", "prices").await;
    fleet.until(&entry, "/none/1", KEY, 404).await;
    for (number, value) in odd_entries().into_iter().enumerate() {
        fleet.store.write(StoreTopic::Directory, "odd", Some(value.clone()));
        fleet.store.write(StoreTopic::Directory, &format!("odd-{number}"), Some(value.clone()));
        fleet.store.write(StoreTopic::Configuration, &format!("odd-{number}"), Some(value));
    }
    let stock = fleet.start("one", "stock").await;
    fleet.until(&entry, "/read/1", KEY, 200).await;
    let starting = fleet.start("late", "prices").await;
    fleet.until(&starting, "/read/1", KEY, 200).await;
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(2, false)));
    for daemon in [&entry, &stock, &starting] {
        fleet.until(daemon, "/read/1", WITHDRAWN_KEY, 401).await;
        expect_that!(fleet.send(daemon, "/read/1", KEY).await.status, eq(200));
    }
}

/// A read that ends early with a record that is left out proves nothing beyond its request: a daemon
/// that loses the store then stops serving keyed requests in time.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn freshness_record_left_out() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", WITHDRAWN_KEY, 200).await;
    // The read that follows the first record has waited for a short time when the second one comes.
    for key in ["another", UNREADABLE_KEY] {
        fleet.store.write(StoreTopic::Configuration, key, None);
        sleep(Duration::from_millis(20)).await;
    }
    fleet.store.set_down(true);
    let lost = Instant::now();
    for number in 2.. {
        fleet.announce(&daemon, number, false).await;
        if fleet.send(&daemon, "/read/1", WITHDRAWN_KEY).await.status != 200 {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    expect_that!(lost.elapsed(), le(daemon.settings.withdrawal_bound));
}

/// A configuration that cannot be decoded changes nothing, and the next one is in force.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn config_odd_versions() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", WITHDRAWN_KEY, 200).await;
    let deep = nested();
    let route = |field: &str, value: &str| {
        format!(
            r#"{{"version":9,"resources":[{{"entry_kind":"routes","metadata":{{"name":"r"}},"spec":{{"hostname":"h","path_prefix":"/","kind":"safe","{field}":{value}}}}}]}}"#
        )
    };
    let odd_versions = [
        deep.clone(),
        format!(r#"{{"version":{deep},"resources":[]}}"#),
        r#"{"version":9,"resources":{}}"#.to_owned(),
        r#"{"version":1e400,"resources":[]}"#.to_owned(),
        r#"{"version":-9,"resources":[]}"#.to_owned(),
        r#"{"version":99999999999999999999999999,"resources":[]}"#.to_owned(),
        r#"{"version":9,"version":10,"resources":[]}"#.to_owned(),
        route("timeout_s", "1e300"),
        route("timeout_s", "-1"),
        route("timeout_s", "1e400"),
        route("traffic_split", "[]"),
    ];
    for odd in odd_versions {
        fleet.store.write(StoreTopic::Configuration, "config", Some(odd.clone().into_bytes()));
    }
    for (version, has_second_key, status) in [(2, false, 401), (3, true, 200)] {
        fleet.store.write(
            StoreTopic::Configuration,
            "config",
            Some(config(version, has_second_key)),
        );
        fleet.until(&daemon, "/read/1", WITHDRAWN_KEY, status).await;
    }
}

/// Entries that cannot be decoded cost those entries alone, and are logged and counted.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn config_odd_entries() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", WITHDRAWN_KEY, 200).await;
    let deep = nested();
    let route = |field: &str, value: &str| {
        format!(
            r#"{{"entry_kind":"routes","metadata":{{"name":"r"}},"spec":{{"hostname":"shop.example","path_prefix":"/odd/","kind":"safe","{field}":{value}}}}}"#
        )
    };
    let odd_entries = [
        "null".to_owned(),
        deep.clone(),
        route("traffic_split", r#"[{"service":"stock","weight":4294967296}]"#),
        route("traffic_split", &deep),
        route("max_attempts", "-1"),
        route("priority", "256"),
        route("path_prefix", r#""/odd/""#),
    ];
    for (version, odd) in (2..).zip(odd_entries) {
        let has_second_key = version % 2 == 1;
        let whole = String::from_utf8(config(version, has_second_key)).unwrap();
        let whole = whole.replacen(r#""resources":["#, &format!(r#""resources":[{odd},"#), 1);
        fleet.store.write(StoreTopic::Configuration, "config", Some(whole.into_bytes()));
        let status = if has_second_key { 200 } else { 401 };
        fleet.until(&daemon, "/read/1", WITHDRAWN_KEY, status).await;
        expect_that!(fleet.send(&daemon, "/odd/1", KEY).await.status, eq(404));
        expect_that!(fleet.metrics(&daemon).await, contains_substring(format!("{GAUGE} 1\n")));
    }
    fleet.store.write(StoreTopic::Configuration, "config", Some(config(100, true)));
    fleet.until(&daemon, "/read/1", WITHDRAWN_KEY, 200).await;
    expect_that!(fleet.metrics(&daemon).await, contains_substring(format!("{GAUGE} 0\n")));
    let lines = daemon.output.lines("configuration-entry-unreadable").await;
    expect_that!(lines.len(), eq(7));
    expect_that!(lines[2]["version"], eq(&json!(4)));
    expect_that!(lines[2]["kind"], eq(&json!("routes")));
    expect_that!(lines[2]["name"], eq(&json!("r")));
    expect_that!(lines[2]["problem"].as_str(), some(contains_substring("4294967296")));
}

/// Values at the ends of their ranges are served without a panic.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn config_extreme_values() {
    let fleet = TestFleet::new();
    let daemon = fleet.start("one", "stock").await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    let mut version = 1;
    for extreme in [
        json!({"timeout_s": 1e18, "target_latency_s": 1e18}),
        json!({"timeout_s": 0, "target_latency_s": 0}),
        json!({"max_attempts": u32::MAX}),
        json!({"max_attempts": 0}),
        json!({"service": null, "traffic_split": [{"service": "stock", "weight": u32::MAX},
            {"service": "stock", "weight": u32::MAX}]}),
        json!({"service": null, "traffic_split": [{"service": "stock", "weight": 0}]}),
    ] {
        version += 1;
        let mut spec = json!({"hostname": "shop.example", "path_prefix": format!("/x{version}/"),
            "kind": "safe", "timeout_s": 3, "service": "stock", "max_attempts": 2});
        spec.as_object_mut().unwrap().extend(extreme.as_object().unwrap().clone());
        let mut whole: serde_json::Value = serde_json::from_slice(&config(version, true)).unwrap();
        let resources = whole["resources"].as_array_mut().unwrap();
        resources.push(json!({"entry_kind": "routes", "metadata": {"name": "x"}, "spec": spec}));
        for (rate, burst) in [(1e308, 1e308), (1e-308, 1e308), (1e308, 0.0), (-1.0, -1.0)] {
            let name = format!("t{rate}");
            resources.push(json!({"entry_kind": "tenants", "metadata": {"name": name},
                "spec": {"api_keys": [name], "rate_per_s": rate, "burst": burst}}));
        }
        fleet.store.write(StoreTopic::Configuration, "config", Some(whole.to_string().into()));
        let path = format!("/x{version}/1");
        let known = async {
            while fleet.send(&daemon, &path, KEY).await.status == 404 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let known = timeout(Duration::from_secs(10), known).await;
        expect_that!(known, ok(anything()), "{extreme}");
        for key in ["t1e308", "t1e-308", "t-1"] {
            fleet.send(&daemon, &path, key).await;
        }
        expect_that!(fleet.send(&daemon, "/read/1", KEY).await.status, eq(200), "{extreme}");
    }
}
