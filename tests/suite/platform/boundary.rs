//! The platform's names are confined to its adapter.

use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// Names of headers, API calls and fields on the platform's wire.
const WIRE_NAMES: [&str; 24] = [
    "x-lentilway-",
    "server-limit",
    "server-leaving",
    "log-append",
    "log-read",
    "log-newest",
    "log-join",
    "log-commit",
    "keyed.",
    "/api/",
    "api_keys",
    "rate_per_s",
    "traffic_split",
    "path_prefix",
    "target_latency_s",
    "timeout_s",
    "max_attempts",
    "entry_kind",
    "cold_remaining_s",
    "app_addr",
    "listen_addrs",
    "port_range",
    "node_name",
    "LENTILWAY_BOOT",
];

fn sources(folder: &Path, found: &mut Vec<(PathBuf, String)>) {
    for entry in fs::read_dir(folder).expect("the folder can be read").flatten() {
        match entry.path() {
            path if path.is_dir() => sources(&path, found),
            path if path.extension().is_some_and(|extension| extension == "rs") => {
                let text = fs::read_to_string(&path).expect("sources are text");
                found.push((path, text));
            }
            _ => {}
        }
    }
}

fn sources_of(folder: &str) -> Vec<(PathBuf, String)> {
    let mut found = Vec::new();
    sources(&Path::new(ROOT).join(folder), &mut found);
    found
}

#[gtest]
fn wire_names_outside_adapter() {
    let mut leaks = Vec::new();
    for (path, text) in sources_of("src") {
        let lower = text.to_lowercase();
        for name in WIRE_NAMES.iter().filter(|name| lower.contains(&name.to_lowercase())) {
            leaks.push(format!("{}: {name}", path.display()));
        }
    }
    expect_that!(leaks, is_empty());
}

#[gtest]
fn adapter_small() {
    let lines =
        |folder| -> usize { sources_of(folder).iter().map(|(_, text)| text.lines().count()).sum() };
    expect_that!(lines("platform") * 10, lt(lines("src")));
}

/// Only the command line may depend on the adapter.
#[gtest]
fn adapter_used_by_command_line_only() {
    let uses = |(path, text): &(PathBuf, String)| {
        text.contains("crate::platform") && !path.ends_with("cli/command.rs")
    };
    let users: Vec<PathBuf> =
        sources_of("src").into_iter().filter(uses).map(|(path, _)| path).collect();
    expect_that!(users, is_empty());
}
