//! The command line.

mod admin_client;
mod args;
mod check_command;
mod command;
mod manual;
mod report;
mod settings;
mod status_command;
mod ticket_command;
mod ticket_diff;

pub use args::{LentilwayArgs, RunArgs};
pub use command::run_command;
pub use settings::SettingError;
