//! The ticket commands of the real binary, compared with golden texts.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Output, Stdio};
use std::time::Duration;

use googletest::prelude::*;
use lentilway::version::digest::Sha256Digest;
use lentilway::version::freshness::CONTACT_AGE_MAX;
use lentilway_lab::fleet::{organisation, read_route, ticket};
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::processes::{lentilway, start_backend, start_daemon, start_log};

const ESCAPE: &str = "\u{1b}";

struct CommandResult {
    exit: Option<i32>,
    output: String,
    errors: String,
}

fn run(admin: SocketAddr, args: &[&str], input: &str) -> CommandResult {
    let mut command = lentilway();
    command.args(args).args(["--admin", &admin.to_string()]);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the process starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin.write_all(input.as_bytes()).expect("the process reads its input");
    drop(stdin);
    let Output { status, stdout, stderr } = child.wait_with_output().expect("the process ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    CommandResult { exit: status.code(), output: text(&stdout), errors: text(&stderr) }
}

fn first_ticket() -> String {
    let objects = [organisation("nord", "key", 5.0, 2.0), read_route("stock", "/stock", "stock")];
    ticket(1, &objects).to_string()
}

fn second_ticket() -> String {
    let delete = json!({ "kind": "route", "name": "stock", "state": null });
    ticket(2, &[organisation("nord", "new-key", 7.0, 2.0), delete]).to_string()
}

const SUBMIT: [&str; 3] = ["ticket", "submit", "-"];
const DRY_RUN: [&str; 4] = ["ticket", "submit", "--dry-run", "-"];

#[test]
fn submit_difference_shown() -> googletest::Result<()> {
    let (_log, log) = start_log();
    let (_daemon, addresses) = start_daemon(log, "az1");
    let admin = addresses.admin;
    let first = run(admin, &SUBMIT, &first_ticket());
    verify_that!(first.exit, some(eq(0)))?;
    verify_that!(first.output, contains_substring("ticket 1 is in force, at offset 0\n"))?;

    let preview = run(admin, &DRY_RUN, &second_ticket());
    let expected = "~ organisation nord\n    \
        keys: - 2c70e12b7a06.. working\n    \
        keys: + 479a61d5370a.. working\n    \
        rate: 5.0 -> 7.0\n\
        - route stock\n    \
        class: normal\n    idempotent: true\n    method: GET\n    open: false\n    \
        prefix: /stock\n    service: stock\n    timeout_ms: 2000\n\
        dry run: ticket 2 would be accepted\n";
    verify_that!(preview.output, eq(expected))?;
    verify_that!(preview.output, not(contains_substring(ESCAPE)))?;
    let shown = run(admin, &["ticket", "show", "2"], "");
    verify_that!(shown.exit, some(eq(5)))?;
    verify_that!(shown.errors, eq("error 5007: No ticket with this number is known.\n"))?;

    let second = run(admin, &SUBMIT, &second_ticket());
    verify_that!(second.output, contains_substring("ticket 2 is in force, at offset 1\n"))?;
    let listed = run(admin, &["ticket", "list"], "");
    verify_that!(listed.output.lines().count(), eq(2))
}

#[test]
fn submit_each_refusal_exit_code() -> googletest::Result<()> {
    let (_log, log) = start_log();
    let (_daemon, addresses) = start_daemon(log, "az1");
    let admin = addresses.admin;
    verify_that!(run(admin, &SUBMIT, &second_ticket()).exit, some(eq(0)))?;
    let conflict = ticket(2, &[organisation("sued", "key", 1.0, 1.0)]).to_string();
    let newer = first_ticket().replace("\"number\"", "\"format\":2,\"number\"");
    let rows = [
        (first_ticket(), "error 5003: "),
        (conflict, "error 5002: "),
        ("{\"number\": 4}".to_string(), "error 5001: "),
        ("{".to_string(), "error 5001: "),
        (newer, "error 5001: "),
    ];
    for (text, error) in rows {
        for args in [&SUBMIT[..], &DRY_RUN[..]] {
            let result = run(admin, args, &text);
            verify_that!(result.exit, some(eq(5)))?;
            verify_that!(result.errors, starts_with(error))?;
            verify_that!(result.errors.lines().count(), eq(1))?;
        }
    }
    Ok(())
}

fn withdrawal() -> String {
    let keys = json!([{ "digest": Sha256Digest::of(b"key"), "withdrawn": true }]);
    let state = json!({ "keys": keys, "rate": 1e6, "burst": 1e6 });
    ticket(3, &[json!({ "kind": "organisation", "name": "nord", "state": state })]).to_string()
}

/// A daemon that is stopped by SIGSTOP while a key is withdrawn must not accept the key when it
/// continues, not even for requests that were already waiting in its sockets.
#[tokio::test]
async fn withdrawn_key_frozen_daemon() -> googletest::Result<()> {
    let (_log, log) = start_log();
    let (suspended, addresses) = start_daemon(log, "az1");
    let (_other, other) = start_daemon(log, "az2");
    let _backend = start_backend("stock", addresses.slot, "{}");
    let _second = start_backend("other", other.slot, "{}");
    verify_that!(run(other.admin, &SUBMIT, &first_ticket()).exit, some(eq(0)))?;
    let caller = Caller::default();
    let request = CallerRequest::get("/stock/1", "key");
    let ask = async || caller.send(addresses.caller, &request).await.map_or(0, |got| got.code);
    while ask().await != 1000 {
        sleep(Duration::from_millis(50)).await;
    }
    suspended.send(Signal::STOP);
    verify_that!(run(other.admin, &SUBMIT, &withdrawal()).exit, some(eq(0)))?;
    let waiting = tokio::spawn({
        let (caller, request) = (caller.clone(), request.clone());
        async move { caller.send(addresses.caller, &request).await.map_or(0, |got| got.code) }
    });
    sleep(CONTACT_AGE_MAX + Duration::from_secs(1)).await;
    suspended.send(Signal::CONT);
    verify_that!(waiting.await?, any![eq(2003), eq(2017)])?;
    let settled = timeout(Duration::from_secs(30), async {
        loop {
            let code = ask().await;
            if code != 2017 {
                return code;
            }
        }
    });
    verify_that!(settled.await?, eq(2003))
}

#[test]
fn commands_json_for_machines() -> googletest::Result<()> {
    let (_log, log) = start_log();
    let (_daemon, addresses) = start_daemon(log, "az1");
    let read = |args: &[&str], input: &str| -> Value {
        let result = run(addresses.admin, args, input);
        serde_json::from_str(&result.output).expect("the output is JSON alone")
    };
    let preview = read(&["ticket", "submit", "--dry-run", "--json", "-"], &first_ticket());
    verify_that!(preview["code"], eq(&json!(1000)))?;
    let receipt = read(&["ticket", "submit", "--json", "-"], &first_ticket());
    verify_that!(receipt["digest"], eq(&preview["digest"]))?;
    let shown = read(&["ticket", "show", "--json", "1"], "");
    verify_that!(shown["accepted"], eq(&json!(true)))?;
    let status = read(&["status", "--json"], "");
    verify_that!(status["status"]["standing"], eq(&json!("confirmed")))?;
    verify_that!(status["state"]["next_offset"], eq(&json!(1)))?;
    let text = run(addresses.admin, &["status"], "");
    verify_that!(text.output, contains_substring("  nord                 5.0/s, burst 2.0, 1 keys"))
}
