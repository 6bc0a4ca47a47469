//! The `lentilway` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    lentilway::cli::run_command()
}
