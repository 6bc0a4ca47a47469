//! The manual page and shell completions, generated from the definition of the arguments.

use std::io::{self, Write};

use clap::CommandFactory;
use clap_complete::Shell;
use clap_mangen::Man;

use super::args::LentilwayArgs;
use crate::error::ResultCode;

const BINARY_NAME: &str = "lentilway";

/// Prints the completions for `shell`.
pub(super) fn print_completions(shell: Shell) -> ResultCode {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut LentilwayArgs::command(), BINARY_NAME, &mut text);
    print_text(&text)
}

/// Prints the manual page, with a section for each command.
pub(super) fn print_manual() -> ResultCode {
    let mut text = Vec::new();
    let command = LentilwayArgs::command();
    let rendered = Man::new(command.clone()).render(&mut text).and_then(|()| {
        let mut commands = command.get_subcommands().cloned();
        commands.try_for_each(|command| Man::new(command).render(&mut text))
    });
    match rendered {
        Ok(()) => print_text(&text),
        Err(_) => ResultCode::CommandFailed,
    }
}

/// Writes to standard output; a broken pipe, as from a pager that quits, is not a failure.
fn print_text(text: &[u8]) -> ResultCode {
    match io::stdout().write_all(text) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => ResultCode::CommandFailed,
        _ => ResultCode::Answered,
    }
}
