//! Entries of other writers among those that daemons read.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::sidecar::process::keyed_store::StoreTopic;
use tokio::time::{Instant, sleep};

use super::fleet::{KEY, TestFleet, UNREADABLE_KEY, WITHDRAWN_KEY, config};

const NESTED_DEPTH: usize = 50_000;

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
