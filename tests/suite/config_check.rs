//! The check of a configuration by the real binary, compared with golden texts.

use std::path::PathBuf;
use std::process::Output;

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::processes::lentilway;

struct CheckResult {
    exit: Option<i32>,
    output: String,
}

/// Runs the check with these arguments, in the folder `directory`.
fn run_check(directory: &PathBuf, args: &[&str]) -> CheckResult {
    let command = lentilway().current_dir(directory).arg("check").args(args).output();
    let Output { status, stdout, .. } = command.expect("the process runs");
    CheckResult { exit: status.code(), output: String::from_utf8_lossy(&stdout).into_owned() }
}

/// A new folder with these files.
fn folder(name: &str, files: &[(&str, String)]) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).unwrap();
    for (name, text) in files {
        std::fs::write(directory.join(name), text).unwrap();
    }
    directory
}

fn entry(kind: &str, name: &str, spec: &Value) -> Value {
    json!({"entry_kind": kind, "metadata": {"name": name}, "spec": spec})
}

fn route(name: &str, prefix: &str) -> Value {
    entry(
        "routes",
        name,
        &json!({"hostname": "shop.example", "path_prefix": prefix, "kind": "safe",
            "timeout_s": 2, "target_latency_s": 1, "service": "stock", "max_attempts": 2}),
    )
}

fn whole(version: u64) -> Value {
    json!({"version": version, "resources": [
        route("read", "/read/"),
        route("write", "/write/"),
        entry("services", "stock", &json!({"health_path": "/health"})),
        entry("tenants", "nord", &json!({"api_keys": ["a", "b"], "rate_per_s": 5, "burst": 5})),
    ]})
}

#[gtest]
fn check_valid() {
    let directory = folder("check_valid", &[("new.json", whole(7).to_string())]);
    let result = run_check(&directory, &["new.json"]);
    expect_that!(result.exit, some(eq(0)));
    expect_that!(result.output, eq("version 7: 0 errors, 0 warnings, 0 differences\n"));
}

#[gtest]
fn check_rejected() {
    let mut negative = whole(7);
    negative["resources"][0]["spec"]["timeout_s"] = json!(-1);
    let directory = folder("check_rejected", &[("new.json", negative.to_string())]);
    let result = run_check(&directory, &["new.json"]);
    expect_that!(result.exit, some(eq(6)));
    expect_that!(result.output, eq("error: new.json: read: -1 s; expected 0 or more\n"));
    let result = run_check(&directory, &["absent.json"]);
    expect_that!(result.exit, some(eq(6)));
    expect_that!(result.output, starts_with("error: absent.json: "));
}

const FAULTY: &str = r#"error: routes later: unknown kind "later"; requests run at most once
error: tenants odd: invalid type: integer `7`, expected a sequence at line 1 column 13
warning: organisation keyless: never matches: it has no key, or others have all of its keys
warning: organisation slow: its burst of less than 1 admits no request at once
warning: route copy: never matches: route read has its host and prefix
warning: route late: its target latency of 3s exceeds its timeout of 2s
warning: route lost: no entry describes its service other
warning: route nowhere: no service gets its requests: all weights are 0
warning: route region: never matches: no organisation may run in its regions
warning: route relative: never matches: its prefix does not begin with /
warning: service cold: its limit while cold has no effect: it is cold for no time
version 7: 2 errors, 9 warnings, 0 differences
"#;

#[gtest]
fn check_faulty() {
    let mut config = whole(7);
    let altered = |name: &str, prefix: &str, field: &str, value: Value| {
        let mut route = route(name, prefix);
        route["spec"][field] = value;
        route
    };
    let regions = json!(["ost"]);
    config["resources"][3]["spec"]["allowed_regions"] = regions.clone();
    let tenant = |name, spec: Value| entry("tenants", name, &spec);
    config["resources"].as_array_mut().unwrap().extend([
        altered("later", "/later/", "kind", json!("later")),
        tenant("odd", json!({"api_keys": 7})),
        tenant("keyless", json!({"allowed_regions": regions})),
        tenant(
            "slow",
            json!({"api_keys": ["c"], "rate_per_s": 5, "burst": 0.5, "allowed_regions": regions}),
        ),
        route("copy", "/read/"),
        altered("late", "/late/", "target_latency_s", json!(3)),
        altered("lost", "/lost/", "service", json!("other")),
        altered("region", "/region/", "allowed_regions", json!(["west"])),
        route("relative", "relative/"),
        entry("services", "cold", &json!({"cold_per_s": 15})),
        entry(
            "routes",
            "nowhere",
            &json!({"hostname": "shop.example", "path_prefix": "/nowhere/", "kind": "safe",
                "traffic_split": [{"service": "stock", "weight": 0}]}),
        ),
    ]);
    let directory = folder("check_faulty", &[("new.json", config.to_string())]);
    let result = run_check(&directory, &["new.json"]);
    expect_that!(result.exit, some(eq(6)));
    let mut lines: Vec<&str> = result.output.lines().collect();
    let summary = lines.pop();
    lines.sort_unstable();
    lines.extend(summary);
    expect_that!(lines.join("\n") + "\n", eq(FAULTY));
}

const DIFFERENCES: &str = "difference: limits: changed
difference: route added: added
difference: route read: changed: idempotence, timeout
difference: route write: removed
difference: service stock: changed: limit while cold
difference: organisation nord: changed: keys added, keys withdrawn, rate
version 8: 0 errors, 0 warnings, 6 differences
";

#[gtest]
fn check_against() {
    let mut new = whole(8);
    new["resources"][0]["spec"]["kind"] = json!("unsafe");
    new["resources"][0]["spec"]["timeout_s"] = json!(4);
    new["resources"][1] = route("added", "/added/");
    new["resources"][2]["spec"] =
        json!({"health_path": "/health", "cold_per_s": 15, "cold_start_s": 3});
    new["resources"][3]["spec"] = json!({"api_keys": ["b", "c"], "rate_per_s": 6, "burst": 5});
    let limits = json!({"entry_kind": "limits", "metadata": {}, "spec": {"max_body_bytes": 9}});
    new["resources"].as_array_mut().unwrap().push(limits);
    let files = [("old.json", whole(7).to_string()), ("new.json", new.to_string())];
    let directory = folder("check_against", &files);
    let result = run_check(&directory, &["new.json", "--against", "old.json"]);
    expect_that!(result.exit, some(eq(0)));
    expect_that!(result.output, eq(DIFFERENCES));
    // A version that is not above the one in force would have no effect.
    let result = run_check(&directory, &["old.json", "--against", "new.json"]);
    expect_that!(result.exit, some(eq(6)));
    expect_that!(
        result.output,
        contains_substring("error: version: 7 has no effect: 8 is in force")
    );
}
