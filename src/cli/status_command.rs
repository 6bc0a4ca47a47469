//! Shows a daemon's status, its configuration in force and its members.

use std::collections::BTreeMap;

use hyper::Method;
use serde_json::{Value, json};

use super::admin_client::{AdminAnswer, send_request};
use super::args::AdminArgs;
use super::report::{TextRole, print_failure, print_fault, print_json, print_line, value_text};
use crate::error::ResultCode;

/// The parts of a daemon's status.
struct StatusParts {
    status: Value,
    state: Value,
    members: Value,
}

/// Runs the status command.
pub(super) async fn run_status(admin: &AdminArgs) -> ResultCode {
    match read_parts(admin).await {
        Ok(Ok(parts)) => print_parts(admin, parts),
        Ok(Err(answer)) if admin.json => print_json(&answer),
        Ok(Err(answer)) => print_fault(answer.code, &answer.body),
        Err(reason) => print_failure(&reason),
    }
}

async fn read_parts(admin: &AdminArgs) -> Result<Result<StatusParts, AdminAnswer>, String> {
    let mut bodies = Vec::new();
    for path in ["/status", "/state", "/members"] {
        let answer = send_request(admin, Method::GET, path, Vec::new()).await?;
        if answer.code != ResultCode::Answered {
            return Ok(Err(answer));
        }
        bodies.push(answer.body);
    }
    let [status, state, members] = bodies.try_into().expect("there are three paths");
    Ok(Ok(StatusParts { status, state, members }))
}

fn print_parts(admin: &AdminArgs, parts: StatusParts) -> ResultCode {
    let StatusParts { status, state, members } = parts;
    if admin.json {
        let body = json!({ "status": status, "state": state, "members": members });
        println!("{body:#}");
        return ResultCode::Answered;
    }
    print_line(TextRole::Heading, "daemon");
    print_fields(&status);
    print_line(TextRole::Heading, "organisations");
    print_objects(&state["organisations"], organisation_text);
    print_line(TextRole::Heading, "routes");
    print_objects(&state["routes"], route_text);
    print_line(TextRole::Heading, "members");
    print_members(&members);
    ResultCode::Answered
}

fn print_fields(status: &Value) {
    for (name, value) in status.as_object().into_iter().flatten() {
        let healthy = ["confirmed", "log-down"];
        let is_unhealthy =
            name == "standing" && !healthy.contains(&value.as_str().unwrap_or_default());
        let role = if is_unhealthy { TextRole::Removed } else { TextRole::Plain };
        print_line(role, format!("  {name:<20} {}", value_text(value)));
    }
}

fn print_objects(objects: &Value, text: impl Fn(&Value) -> String) {
    for (name, object) in objects.as_object().into_iter().flatten() {
        print_line(TextRole::Plain, format!("  {name:<20} {}", text(object)));
    }
}

fn organisation_text(organisation: &Value) -> String {
    let keys = organisation["keys"].as_array().cloned().unwrap_or_default();
    let withdrawn = keys.iter().filter(|key| key["withdrawn"] == true).count();
    let working = keys.len() - withdrawn;
    let (rate, burst) = (&organisation["rate"], &organisation["burst"]);
    format!("{rate}/s, burst {burst}, {working} keys, {withdrawn} withdrawn")
}

fn route_text(route: &Value) -> String {
    let field = |name: &str| value_text(&route[name]);
    let repeat = if route["idempotent"] == true { "idempotent" } else { "non-idempotent" };
    let open = if route["open"] == true { ", open" } else { "" };
    format!(
        "{} {} to {}, class {}, {repeat}, {} ms{open}",
        field("method"),
        field("prefix"),
        field("service"),
        field("class"),
        field("timeout_ms")
    )
}

fn print_members(members: &Value) {
    let mut services: BTreeMap<(String, String), usize> = BTreeMap::new();
    for member in members.as_array().into_iter().flatten() {
        let service = (value_text(&member["service"]), value_text(&member["availability_zone"]));
        *services.entry(service).or_default() += 1;
    }
    for ((service, zone), count) in services {
        print_line(TextRole::Plain, format!("  {service:<20} {zone:<12} {count}"));
    }
}
