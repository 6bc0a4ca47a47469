//! Runs the commands and maps their results to exit codes.

use std::process::ExitCode;

use clap::Parser;
use log::Level;
use serde::Serialize;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::args::{CheckArgs, KeyCommand, LentilwayArgs, LentilwayCommand, RunArgs};
use super::check_command::run_check;
use super::manual::{print_completions, print_manual};
use super::status_command::run_status;
use super::ticket_command::run_ticket;
use crate::config::DaemonConfig;
use crate::error::ResultCode;
use crate::logging::{init_logging, log_event};
use crate::platform::{PlatformDialect, check_settings, run_sidecar};
use crate::process::daemon::{Daemon, DaemonAddresses};
use crate::version::digest::{Sha256Digest, new_key};

/// Parses the process's arguments and runs the command.
pub fn run_command() -> ExitCode {
    let args = LentilwayArgs::parse();
    let code = match args.command {
        LentilwayCommand::Run(args) => run(&args),
        LentilwayCommand::Check(CheckArgs { file: Some(file), against, .. }) => {
            run_check(&PlatformDialect::default(), &file, against.as_deref())
        }
        LentilwayCommand::Check(args) => check(&args.settings),
        LentilwayCommand::Sidecar(args) if args.check => check_settings(),
        LentilwayCommand::Sidecar(_) => run_sidecar(),
        LentilwayCommand::Ticket(command) => block_on(run_ticket(command)),
        LentilwayCommand::Status(admin) => block_on(run_status(&admin)),
        LentilwayCommand::Key(KeyCommand::New) => print_new_key(),
        LentilwayCommand::Codes => print_codes(),
        LentilwayCommand::Completions { shell } => print_completions(shell),
        LentilwayCommand::Man => print_manual(),
    };
    ExitCode::from(code.exit_code())
}

fn block_on(command: impl Future<Output = ResultCode>) -> ResultCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a Tokio runtime can be built").block_on(command)
}

fn parse_config(args: &RunArgs) -> Result<DaemonConfig, ResultCode> {
    args.to_config().map_err(|errors| {
        for error in &errors {
            eprintln!("error {}: {error}", ResultCode::SettingInvalid.number());
        }
        ResultCode::SettingInvalid
    })
}

fn check(args: &RunArgs) -> ResultCode {
    match parse_config(args) {
        Ok(_) => {
            println!("settings are valid");
            ResultCode::Answered
        }
        Err(code) => code,
    }
}

fn run(args: &RunArgs) -> ResultCode {
    let config = match parse_config(args) {
        Ok(config) => config,
        Err(code) => return code,
    };
    init_logging(config.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("a Tokio runtime can be built").block_on(serve(config, args))
}

#[derive(Serialize)]
struct StartEvent {
    version: &'static str,
    boot: u64,
    #[serde(flatten)]
    addresses: DaemonAddresses,
}

async fn serve(config: DaemonConfig, args: &RunArgs) -> ResultCode {
    // Installed before the process reports that it runs, so that no signal ends it unplanned.
    let mut signals = DaemonSignals::listen();
    let daemon = match Daemon::start(config).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("error {}: {error}", error.code().number());
            return error.code();
        }
    };
    let boot = daemon.shared.instance.boot;
    let version = env!("CARGO_PKG_VERSION");
    // The only line on standard output; it reports the ports if the settings have port 0.
    let event = StartEvent { version, boot, addresses: daemon.addresses };
    println!("{}", serde_json::to_string(&event).expect("the event has only string keys"));
    log_event(Level::Info, "daemon-started", event);
    signals.wait_stop(|| reload_secrets(&daemon, args)).await;
    daemon.stop().await;
    log_event(Level::Info, "daemon-stopped", ());
    ResultCode::Answered
}

#[derive(Serialize)]
struct ReloadEvent {
    secrets: usize,
    code: u16,
}

/// Reloads the peer secrets; on an error the secrets in use are kept.
fn reload_secrets(daemon: &Daemon, args: &RunArgs) {
    let read = args.read_peer_secrets();
    let secrets = read.as_ref().map_or(0, Vec::len);
    let reloaded = match read {
        Ok(secrets) => daemon.shared.transport.reload(&secrets).map_err(|error| error.code()),
        Err(_) => Err(ResultCode::SettingInvalid),
    };
    let code = reloaded.err().unwrap_or(ResultCode::Answered).number();
    log_event(Level::Info, "peer-secrets-reloaded", ReloadEvent { secrets, code });
}

struct DaemonSignals {
    reload: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl DaemonSignals {
    fn listen() -> Self {
        let listen = |kind| signal(kind).expect("a signal handler can be installed");
        DaemonSignals {
            reload: listen(SignalKind::hangup()),
            terminate: listen(SignalKind::terminate()),
            interrupt: listen(SignalKind::interrupt()),
        }
    }

    async fn wait_stop(&mut self, reload: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => reload(),
            }
        }
    }
}

fn print_new_key() -> ResultCode {
    let key = new_key();
    println!("key     {key}");
    println!("digest  {}", Sha256Digest::of(key.as_bytes()));
    ResultCode::Answered
}

fn print_codes() -> ResultCode {
    println!("| Code | Name | HTTP | Execution | Exit | Meaning |");
    println!("|---|---|---|---|---|---|");
    for code in ResultCode::ALL {
        println!(
            "| {} | {} | {} | {} | {} | {} |",
            code.number(),
            code.name(),
            code.status().as_u16(),
            code.execution().name(),
            code.exit_code(),
            code.text()
        );
    }
    ResultCode::Answered
}
