//! Commands that submit and look up change tickets.

use std::io::Read;
use std::path::Path;

use hyper::Method;
use serde_json::Value;

use super::admin_client::send_request;
use super::args::{AdminArgs, TicketCommand};
use super::report::{TextRole, print_failure, print_fault, print_json, print_line, value_text};
use super::ticket_diff::diff_lines;
use crate::error::ResultCode;

/// Runs one of the ticket commands.
pub(super) async fn run_ticket(command: TicketCommand) -> ResultCode {
    let result = match command {
        TicketCommand::Submit { file, dry_run, admin } => match read_input(&file) {
            Ok(text) => submit(&admin, text, dry_run).await,
            Err(error) => Err(format!("cannot read {}: {error}", file.display())),
        },
        TicketCommand::Show { number, admin } => show(&admin, number).await,
        TicketCommand::List { admin } => list(&admin).await,
    };
    result.unwrap_or_else(|reason| print_failure(&reason))
}

fn read_input(file: &Path) -> std::io::Result<Vec<u8>> {
    if file != Path::new("-") {
        return std::fs::read(file);
    }
    let mut text = Vec::new();
    std::io::stdin().read_to_end(&mut text)?;
    Ok(text)
}

async fn submit(admin: &AdminArgs, text: Vec<u8>, dry_run: bool) -> Result<ResultCode, String> {
    if dry_run || !admin.json {
        let code = preview(admin, text.clone(), dry_run).await?;
        if dry_run || code == ResultCode::TicketMalformed {
            return Ok(code);
        }
    }
    let answer = send_request(admin, Method::POST, "/tickets", text).await?;
    if admin.json {
        return Ok(print_json(&answer));
    }
    if answer.code != ResultCode::Answered {
        return Ok(print_fault(answer.code, &answer.body));
    }
    let (number, offset) = (&answer.body["number"], &answer.body["offset"]);
    print_line(TextRole::Heading, format!("ticket {number} is in force, at offset {offset}"));
    Ok(ResultCode::Answered)
}

/// Prints the changes that the ticket would make and returns its expected result code.
async fn preview(
    admin: &AdminArgs,
    text: Vec<u8>,
    show_result: bool,
) -> Result<ResultCode, String> {
    let answer = send_request(admin, Method::POST, "/tickets/preview", text).await?;
    let code = match answer.code {
        ResultCode::Answered => preview_code(&answer.body),
        code => code,
    };
    if admin.json {
        print_json(&answer);
        return Ok(code);
    }
    if answer.code != ResultCode::Answered {
        return Ok(print_fault(answer.code, &answer.body));
    }
    let objects = answer.body["objects"].as_array().cloned().unwrap_or_default();
    for line in diff_lines(&objects) {
        print_line(line.role, line.text);
    }
    if show_result {
        print_verdict(&answer.body["number"], code);
    }
    Ok(code)
}

fn preview_code(body: &Value) -> ResultCode {
    let number = body["code"].as_u64().and_then(|number| u16::try_from(number).ok());
    number.and_then(ResultCode::from_number).unwrap_or(ResultCode::CommandFailed)
}

fn print_verdict(number: &Value, code: ResultCode) {
    if code == ResultCode::Answered {
        print_line(TextRole::Heading, format!("dry run: ticket {number} would be accepted"));
        return;
    }
    print_fault(code, &Value::Null);
}

async fn show(admin: &AdminArgs, number: u64) -> Result<ResultCode, String> {
    let answer =
        send_request(admin, Method::GET, &format!("/tickets/{number}"), Vec::new()).await?;
    if admin.json {
        return Ok(print_json(&answer));
    }
    if answer.code != ResultCode::Answered {
        return Ok(print_fault(answer.code, &answer.body));
    }
    print_ticket(&answer.body);
    Ok(ResultCode::Answered)
}

async fn list(admin: &AdminArgs) -> Result<ResultCode, String> {
    let answer = send_request(admin, Method::GET, "/tickets", Vec::new()).await?;
    if admin.json {
        return Ok(print_json(&answer));
    }
    if answer.code != ResultCode::Answered {
        return Ok(print_fault(answer.code, &answer.body));
    }
    answer.body.as_array().into_iter().flatten().for_each(print_ticket);
    Ok(ResultCode::Answered)
}

fn print_ticket(ticket: &Value) {
    let accepted = ticket["accepted"] == true;
    let (role, verdict) =
        if accepted { (TextRole::Plain, "accepted") } else { (TextRole::Removed, "stale") };
    let (number, offset) = (&ticket["number"], &ticket["offset"]);
    let digest = value_text(&ticket["digest"]);
    print_line(role, format!("{number:>8}  {verdict:<8}  offset {offset:<8}  {digest}"));
}
