//! Decoding of configurations, heartbeats and settings by the adapter.

use std::time::Duration;

use googletest::prelude::*;
use hyper::{HeaderMap, Method};
use lentilway::platform::{PlatformDialect, parse_settings};
use lentilway::policy::backend_notice::{BackendNotice, RequestLimit, StatedLimit};
use lentilway::policy::retry_allowance::RetryTerms;
use lentilway::policy::token_share::RateWindow;
use lentilway::sidecar::process::settings::WarmUpTerms;
use lentilway::sidecar::process::wire_dialect::{BackendAnnouncement, WireDialect};
use lentilway::sidecar::version::fleet_config::WarmUpLimit;
use serde_json::{Value, json};

const HEARTBEAT_PATH: &str = "/api/instances/i-7f3a91c2";

fn config() -> Value {
    json!({"version": 7, "resources": [
        {"entry_kind": "routes", "metadata": {"name": "r-1"}, "spec": {
            "hostname": "hulo84.example", "path_prefix": "/leny950/", "kind": "safe",
            "timeout_s": 1, "target_latency_s": 1.5, "priority": 2,
            "traffic_split": [{"service": "huvo11a", "weight": 90},
                {"service": "lovo22d", "weight": 10}],
            "max_attempts": 2, "public": false}},
        {"entry_kind": "routes", "metadata": {"name": "r-2"}, "spec": {
            "hostname": "hulo84.example", "path_prefix": "/leny950/deep/", "kind": "unsafe",
            "timeout_s": 1.2, "target_latency_s": 2, "priority": 0, "service": "wuno96b",
            "max_attempts": 1, "public": true}},
        {"entry_kind": "services", "metadata": {"name": "huvo11a"}, "spec": {
            "health_path": "/healthz", "max_conns": 568, "protocol": "h1", "tls": false}},
        {"entry_kind": "tenants", "metadata": {"name": "pulo780"}, "spec": {
            "api_keys": ["one", "two"], "priority": 1, "rate_per_s": 97, "burst": 98}},
        {"entry_kind": "limits", "metadata": {}, "spec": {
            "max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_s": 3,
            "idle_timeout_s": 15}}]})
}

fn heartbeat() -> Value {
    json!({"address": "10.128.0.9:8080", "born": 1700000000000_u64,
        "info": {"service": "huvo11a", "version": "v1", "zone": "wien-a", "slots": 78},
        "status": {"phase": "ready", "sequence": 4, "cold_remaining_s": 0.5}})
}

fn announce(body: &Value) -> Option<BackendAnnouncement> {
    let dialect = PlatformDialect::default();
    let body = body.to_string();
    dialect.announcement(&Method::PUT, HEARTBEAT_PATH, body.as_bytes())?.ok()
}

#[gtest]
fn config_whole() -> googletest::Result<()> {
    let dialect = PlatformDialect::default();
    let config = dialect.config(config().to_string().as_bytes()).or_fail()?;
    expect_that!(config.version, eq(7));
    expect_that!(config.limits.body_bytes, eq(1000));
    let split = config.route("hulo84.example", "/leny950/2f").or_fail()?;
    expect_that!(split.is_idempotent, eq(true));
    expect_that!(split.timeout, eq(Duration::from_secs(1)));
    expect_that!(split.destinations.len(), eq(2));
    expect_that!(split.destinations[0].weight, eq(90));
    let deep = config.route("hulo84.example", "/leny950/deep/1").or_fail()?;
    expect_that!(deep.is_idempotent, eq(false));
    expect_that!(deep.is_open, eq(true));
    expect_that!(deep.attempts_max, eq(1));
    let organisation = config.key_owner("two").or_fail()?;
    expect_that!(&*organisation.name, eq("pulo780"));
    expect_that!(organisation.rate.or_fail()?.burst, eq(98.0));
    Ok(())
}

/// A configuration with long idempotent answers was rejected as a whole.
#[gtest]
fn config_download_idempotent() -> googletest::Result<()> {
    let mut record = config();
    record["resources"][0]["spec"]["kind"] = json!("download");
    let config = PlatformDialect::default().config(record.to_string().as_bytes()).or_fail()?;
    expect_that!(config.route("hulo84.example", "/leny950/2f").or_fail()?.is_idempotent, eq(true));
    Ok(())
}

/// The limit of cold backend servers and the regions were not read.
#[gtest]
fn config_warm_up_and_regions() -> googletest::Result<()> {
    let mut record = config();
    record["resources"][2]["spec"]["cold_start_s"] = json!(3.0);
    record["resources"][2]["spec"]["cold_per_s"] = json!(15.0);
    record["resources"][0]["spec"]["allowed_regions"] = json!(["ost"]);
    record["resources"][3]["spec"]["allowed_regions"] = json!(["ost", "west"]);
    let config = PlatformDialect::default().config(record.to_string().as_bytes()).or_fail()?;
    let service = config.service("huvo11a").or_fail()?;
    let warm_up = WarmUpLimit { per_second: 15.0, span: Duration::from_secs(3) };
    expect_that!(service.warm_up, some(eq(warm_up)));
    expect_that!(service.health_path.as_deref(), some(eq("/healthz")));
    expect_that!(config.route("hulo84.example", "/leny950/2f").or_fail()?.regions.len(), eq(1));
    expect_that!(config.key_owner("two").or_fail()?.regions.len(), eq(2));
    Ok(())
}

/// A kind of a later release cost the whole version, and all routes with it.
#[gtest]
fn config_unknown_kind_runs_once() -> googletest::Result<()> {
    let mut record = config();
    record["resources"][0]["spec"]["kind"] = json!("other");
    let config = PlatformDialect::default().config(record.to_string().as_bytes()).or_fail()?;
    let route = config.route("hulo84.example", "/leny950/2f").or_fail()?;
    expect_that!(route.is_idempotent, eq(false));
    expect_that!(&*route.name, eq("r-1"));
    expect_that!(config.route_count(), eq(2));
    expect_that!(config.unreadable.len(), eq(1));
    let entry = &config.unreadable[0];
    expect_that!((entry.kind.as_str(), &*entry.name), eq(("routes", "r-1")));
    expect_that!(entry.problem, contains_substring("other"));
    Ok(())
}

/// The text of a configuration whose field at `pointer` has this text as its value.
fn config_with(pointer: &str, text: &str) -> String {
    const MARK: &str = "replaced";
    let mut record = config();
    *record.pointer_mut(pointer).expect("the field exists") = json!(MARK);
    record.to_string().replace(&format!("\"{MARK}\""), text)
}

/// An entry of another shape cost the whole version.
#[gtest]
fn config_unreadable_entry_alone() -> googletest::Result<()> {
    let deep = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    for (pointer, text, kind, name) in [
        ("/resources/0", "null", "", ""),
        ("/resources/0", deep.as_str(), "", ""),
        ("/resources/0/entry_kind", "7", "", "r-1"),
        ("/resources/0/metadata", "7", "routes", ""),
        ("/resources/0/metadata/name", "null", "routes", ""),
        ("/resources/0/spec", "[]", "routes", "r-1"),
        ("/resources/0/spec", deep.as_str(), "routes", "r-1"),
        ("/resources/0/spec/kind", "7", "routes", "r-1"),
        ("/resources/0/spec/hostname", "null", "routes", "r-1"),
        ("/resources/0/spec/timeout_s", r#""1""#, "routes", "r-1"),
        ("/resources/0/spec/priority", "256", "routes", "r-1"),
        ("/resources/0/spec/priority", "1e400", "routes", "r-1"),
        ("/resources/0/spec/max_attempts", "-1", "routes", "r-1"),
        ("/resources/0/spec/traffic_split/1/weight", "4294967296", "routes", "r-1"),
        ("/resources/0/spec/traffic_split", deep.as_str(), "routes", "r-1"),
        ("/resources/2/spec/health_path", "{}", "services", "huvo11a"),
        ("/resources/3/spec/api_keys", r#""one""#, "tenants", "pulo780"),
        ("/resources/3/spec/rate_per_s", "1e400", "tenants", "pulo780"),
        ("/resources/4/spec/max_body_bytes", "-1", "limits", ""),
    ] {
        let text = config_with(pointer, text);
        let start = &text[..text.len().min(200)];
        let config = PlatformDialect::default().config(text.as_bytes()).or_fail()?;
        expect_that!(config.unreadable.len(), eq(1), "{pointer}: {start}");
        let entry = &config.unreadable[0];
        expect_that!((entry.kind.as_str(), &*entry.name), eq((kind, name)), "{pointer}");
        let is_skipped = |index| pointer.starts_with(&format!("/resources/{index}"));
        let route = config.route("hulo84.example", "/leny950/2f");
        expect_that!(route.is_none(), eq(is_skipped(0)), "{pointer}");
        expect_that!(config.route("hulo84.example", "/leny950/deep/1"), some(anything()));
        expect_that!(config.service("huvo11a").is_none(), eq(is_skipped(2)), "{pointer}");
        expect_that!(config.key_owner("two").is_none(), eq(is_skipped(3)), "{pointer}");
        expect_that!(config.limits.body_bytes == 1000, eq(!is_skipped(4)), "{pointer}");
    }
    Ok(())
}

/// Entries of unknown kinds are none of this daemon's, whatever their shape.
#[gtest]
fn config_unknown_entry_ignored() -> googletest::Result<()> {
    let mut record = config();
    let entries = record["resources"].as_array_mut().or_fail()?;
    entries.push(json!({"entry_kind": "other", "metadata": 7}));
    entries[0]["spec"]["other"] = json!({"odd": [null]});
    let config = PlatformDialect::default().config(record.to_string().as_bytes()).or_fail()?;
    expect_that!(config.unreadable.len(), eq(0));
    expect_that!(config.route_count(), eq(2));
    Ok(())
}

#[gtest]
fn config_unusable() {
    let dialect = PlatformDialect::default();
    let whole = config().to_string();
    let mut texts = vec![whole[..whole.len() / 2].to_owned()];
    for seconds in ["-1", "-1e-9", "1e300", "1e400", "-1e400"] {
        texts.push(config_with("/resources/0/spec/timeout_s", seconds));
        texts.push(config_with("/resources/1/spec/target_latency_s", seconds));
    }
    texts.push(config_with("/resources/0/spec/traffic_split", "[]"));
    texts.push(config_with("/resources/1/spec/service", "null"));
    texts.push(config_with("/resources", "7"));
    for text in texts {
        expect_that!(dialect.config(text.as_bytes()), err(anything()), "{text}");
    }
}

/// The number of a version is known also where the version is rejected.
#[gtest]
fn config_version_of_rejected() {
    let version = |text: &str| PlatformDialect::default().config_version(text.as_bytes());
    let negative = config_with("/resources/0/spec/timeout_s", "-1");
    expect_that!(version(&negative), some(eq(7)));
    expect_that!(version(r#"{"version":9,"resources":{}}"#), some(eq(9)));
    for text in [r#"{"version":9"#, r#"{"version":"9"}"#, r#"{"version":9,"version":10}"#, "[]"] {
        expect_that!(version(text), none(), "{text}");
    }
}

#[gtest]
fn heartbeat_whole() {
    let Some(BackendAnnouncement::Heartbeat(heartbeat)) = announce(&heartbeat()) else {
        return expect_that!("a heartbeat", eq("not decoded"));
    };
    expect_that!(&*heartbeat.incarnation.id, eq("i-7f3a91c2"));
    expect_that!(heartbeat.incarnation.born, eq(1_700_000_000_000));
    expect_that!(heartbeat.number, eq(4));
    expect_that!(heartbeat.slots, eq(78));
    expect_that!(heartbeat.is_draining, eq(false));
    expect_that!(heartbeat.cold_for, eq(Duration::from_millis(500)));
}

/// Entries of other writers, with fields of other types, are not decoded as heartbeats.
#[gtest]
fn heartbeat_foreign() {
    for (pointer, value) in [
        ("/address", json!(7)),
        ("/born", json!("yesterday")),
        ("/info/service", json!(null)),
        ("/info/slots", json!(-3)),
        ("/status/phase", json!("resting")),
        ("/status/sequence", json!("4")),
        ("/status/cold_remaining_s", json!(-1)),
    ] {
        let mut foreign = heartbeat();
        *foreign.pointer_mut(pointer).expect("the field exists") = value;
        expect_that!(announce(&foreign), none(), "{pointer}");
    }
}

#[gtest]
fn announcement_leave() {
    let dialect = PlatformDialect::default();
    let leave = dialect.announcement(&Method::DELETE, HEARTBEAT_PATH, b"");
    let expected = BackendAnnouncement::Leave { id: "i-7f3a91c2".into() };
    expect_that!(leave, some(ok(eq(&expected))));
    expect_that!(dialect.announcement(&Method::GET, "/other", b""), none());
}

const SETTINGS: &str = r#"
[self]
node_name = "sidecar-waw-a-1"
zone = "waw-a"
app_addr = "127.0.0.1:8547"
service = "huvo11a"
unknown = "ignored"
[network]
port_range = [7000,7015]
[network.listen_addrs]
inbound = "127.0.0.1:8543"
outbound = "127.0.0.1:8548"
ready = "127.0.0.1:8546"
control = "127.0.0.1:8540"
[platform]
heartbeat_s = 1.5
[platform.platform]
address = "127.0.0.1:8545"
[terms.bounds]
revoke_s = 5
grace_s = 6
quota_window_s = 5
quota_slack = 20
quota_overage = 0.1
retry_budget_ratio = 0.2
budget_slack = 50
"#;

#[gtest]
fn settings_whole() -> googletest::Result<()> {
    let settings = parse_settings(SETTINGS).or_fail()?;
    expect_that!(&*settings.name, eq("sidecar-waw-a-1"));
    expect_that!(settings.request_listen.port(), eq(8548));
    expect_that!(settings.metrics_listen.port(), eq(7001));
    expect_that!(settings.withdrawal_bound, eq(Duration::from_secs(5)));
    let window = RateWindow { span: Duration::from_secs(5), slack: 20.0, overage: 0.1 };
    expect_that!(settings.rate_window, eq(window));
    expect_that!(
        settings.retry_terms,
        eq(RetryTerms { per_request: 0.2, slack: 50.0, window: Duration::from_secs(10) })
    );
    expect_that!(settings.warm_up_terms, eq(WarmUpTerms::default()));
    let shifted =
        SETTINGS.replace("revoke_s = 5", "revoke_s = 5\ncold_overage = 1.5\ncold_slack = 8");
    let terms = parse_settings(&shifted).or_fail()?.warm_up_terms;
    expect_that!(terms, eq(WarmUpTerms { overage: 1.5, slack: 8.0 }));
    Ok(())
}

#[gtest]
fn settings_fault_names_field() {
    for (field, text) in [
        ("service", SETTINGS.replace("service =", "other =")),
        ("outbound", SETTINGS.replace("127.0.0.1:8548", "nowhere")),
        ("revoke_s", SETTINGS.replace("revoke_s = 5", "revoke_s = -5")),
    ] {
        let fault = parse_settings(&text).map_err(|fault| fault.to_string());
        expect_that!(fault, err(contains_substring(field)));
    }
}

fn notice(headers: &[(&'static str, &str)]) -> BackendNotice {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(*name, value.parse().expect("the value is valid in a header"));
    }
    PlatformDialect::default().notice(&map)
}

#[gtest]
fn notice_limit() {
    let limit = |text| notice(&[("server-limit", text)]).limit;
    let rate = |per_second| RequestLimit::new(per_second).map(StatedLimit::Rate);
    expect_that!(notice(&[]).limit, eq(StatedLimit::Absent));
    for (text, per_second) in [("17.3", 17.3), ("0", 0.0), (" 4 ", 4.0), ("90000000000", 9e10)] {
        expect_that!(Some(limit(text)), eq(rate(per_second)), "{text}");
    }
    for text in ["", "-1", "nan", "inf", "many", "1,2", "0x10", "1e400"] {
        expect_that!(limit(text), eq(StatedLimit::Unreadable), "{text}");
    }
    let twice = notice(&[("server-limit", "1"), ("server-limit", "2")]);
    expect_that!(twice.limit, eq(StatedLimit::Unreadable));
}

#[gtest]
fn notice_leaving() {
    expect_that!(notice(&[]).is_leaving, eq(false));
    expect_that!(notice(&[("server-leaving", "1")]).is_leaving, eq(true));
    expect_that!(notice(&[("server-leaving", "0")]).is_leaving, eq(false));
    let both = notice(&[("server-leaving", "1"), ("server-limit", "none")]);
    expect_that!(both.is_leaving, eq(true));
}
