//! Output of commands: JSON, coloured text on a terminal, plain text elsewhere.

use std::fmt::Display;
use std::io::IsTerminal;

use clap::builder::styling::{AnsiColor, Style};
use serde_json::Value;

use super::admin_client::AdminAnswer;
use crate::error::ResultCode;

/// The role of a line, which selects its colour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TextRole {
    Added,
    Removed,
    Changed,
    Heading,
    Plain,
}

impl TextRole {
    fn style(self) -> Style {
        let colour = |colour: AnsiColor| Style::new().fg_color(Some(colour.into()));
        match self {
            TextRole::Added => colour(AnsiColor::Green),
            TextRole::Removed => colour(AnsiColor::Red),
            TextRole::Changed => colour(AnsiColor::Yellow),
            TextRole::Heading => Style::new().bold(),
            TextRole::Plain => Style::new(),
        }
    }
}

/// Prints one line, in the role's colour if standard output is a terminal.
pub(super) fn print_line(role: TextRole, line: impl Display) {
    let style = role.style();
    match is_coloured() {
        true => println!("{style}{line}{style:#}"),
        false => println!("{line}"),
    }
}

fn is_coloured() -> bool {
    std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none()
}

/// Prints the answer's body as JSON and returns its code.
pub(super) fn print_json(answer: &AdminAnswer) -> ResultCode {
    println!("{:#}", answer.body);
    answer.code
}

/// Prints a fault that the daemon answered with and returns its code.
pub(super) fn print_fault(code: ResultCode, body: &Value) -> ResultCode {
    let detail = body["detail"].as_str().map(|detail| format!(" ({detail})")).unwrap_or_default();
    eprintln!("error {}: {}{detail}", code.number(), code.text());
    code
}

/// Prints the reason why a command did not reach its daemon.
pub(super) fn print_failure(reason: &str) -> ResultCode {
    eprintln!("error {}: {reason}", ResultCode::CommandFailed.number());
    ResultCode::CommandFailed
}

/// A value as text, strings without quotes.
pub(super) fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}
