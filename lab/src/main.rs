//! Demonstration, experiments and benchmarks of lentilway on loopback.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use lentilway_lab::demo::{DemoRow, render, run_demo};
use lentilway_lab::experiment::report::{ExperimentRow, json_lines, table};
use lentilway_lab::experiment::run::ControlVariant;
use lentilway_lab::experiment::scenario::PhaseTimes;
use lentilway_lab::experiment::{Deployment, ExperimentPlan, Scenario, run_experiments};
use lentilway_lab::latency::measure_latency;
use lentilway_lab::soak::{SoakPaths, SoakSettings, run_soak};
use lentilway_lab::{latency, measure};

/// Demonstration, experiments and benchmarks of lentilway on loopback.
#[derive(Debug, Parser)]
enum LabCommand {
    /// Start a small fleet, send it a short load and print the results
    Demo,
    /// Run overload experiments and print their table
    Experiment {
        /// Deployments to run [default: all]
        #[arg(long, value_enum)]
        deployment: Vec<DeploymentName>,
        /// Scenarios to run [default: all]
        #[arg(long, value_enum)]
        scenario: Vec<Scenario>,
        /// Overload controls to run [default: all]
        #[arg(long, value_enum)]
        control: Vec<ControlVariant>,
        /// Seconds of steady load before the trigger
        #[arg(long, default_value_t = 2.0)]
        before: f64,
        /// Seconds of the trigger
        #[arg(long, default_value_t = 3.0)]
        trigger: f64,
        /// Seconds of steady load after the trigger
        #[arg(long, default_value_t = 4.0)]
        after: f64,
        /// Seed of every random draw
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// File for the figures in JSON Lines format
        #[arg(long)]
        json: Option<PathBuf>,
        /// Folder for SVG plots
        #[arg(long)]
        pictures: Option<PathBuf>,
    },
    /// Measure the latency and CPU that two daemons add to a direct call
    Latency {
        /// Seconds for each path and rate
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Seed of every random draw
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Inject faults into daemons on the users' platform and check their guarantees
    Soak(SoakArgs),
    /// Measure one mechanism and print its table
    Measure {
        /// Mechanism to measure
        mechanism: Mechanism,
        /// Seed of every random draw
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// Arguments of the soak command.
#[derive(Debug, clap::Args)]
struct SoakArgs {
    /// Seed of the first soak; each further soak adds one
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of soaks, run one after the other
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of daemons in each soak
    #[arg(long, default_value_t = 6)]
    nodes: usize,
    /// Seconds during which faults are injected
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// The daemon's executable [default: lentilway in this program's folder]
    #[arg(long)]
    program: Option<PathBuf>,
    /// Folder for settings files and logs; removed after a soak without findings
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

/// A deployment to run experiments on.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum DeploymentName {
    Zniczomat,
    Siphonwerk,
}

impl DeploymentName {
    fn deployment(self) -> Deployment {
        match self {
            DeploymentName::Zniczomat => Deployment::zniczomat(),
            DeploymentName::Siphonwerk => Deployment::siphonwerk(),
        }
    }
}

/// A mechanism to measure.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Mechanism {
    Claims,
    Rates,
    Tickets,
    Members,
    Overload,
}

#[tokio::main]
async fn main() -> ExitCode {
    match LabCommand::parse() {
        LabCommand::Demo => demo().await,
        LabCommand::Experiment {
            deployment,
            scenario,
            control,
            before,
            trigger,
            after,
            seed,
            json,
            pictures,
        } => {
            let deployments = all_if_empty(deployment);
            let plan = ExperimentPlan {
                deployments: deployments.into_iter().map(DeploymentName::deployment).collect(),
                scenarios: all_if_empty(scenario),
                variants: all_if_empty(control),
                times: PhaseTimes::seconds(before, trigger, after),
                seed,
                pictures,
            };
            experiment(&plan, json).await
        }
        LabCommand::Latency { seconds, seed } => latency(seconds, seed).await,
        LabCommand::Soak(args) => soak(args).await,
        LabCommand::Measure { mechanism, seed } => measure(mechanism, seed).await,
    }
}

fn all_if_empty<T: ValueEnum + Clone>(values: Vec<T>) -> Vec<T> {
    if values.is_empty() { T::value_variants().to_vec() } else { values }
}

async fn experiment(plan: &ExperimentPlan, json: Option<PathBuf>) -> ExitCode {
    let report = |row: &ExperimentRow| eprint!("{}", table(std::slice::from_ref(row)));
    let rows = match run_experiments(plan, report).await {
        Ok(rows) => rows,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    print!("{}", table(&rows));
    let Some(file) = json else { return ExitCode::SUCCESS };
    match std::fs::write(&file, json_lines(&rows)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot write {}: {error}", file.display());
            ExitCode::FAILURE
        }
    }
}

async fn latency(seconds: f64, seed: u64) -> ExitCode {
    match measure_latency(seconds, seed).await {
        Ok(rows) => {
            print!("{}", latency::table(&rows));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(mechanism: Mechanism, seed: u64) -> ExitCode {
    match mechanism {
        Mechanism::Claims => measure::claims::run(seed).await,
        Mechanism::Rates => measure::rates::run(seed).await,
        Mechanism::Tickets => measure::tickets::run(seed).await,
        Mechanism::Members => measure::members::run(seed).await,
        Mechanism::Overload => measure::overload::run(seed).await,
    }
    ExitCode::SUCCESS
}

/// Runs the soaks and prints a line for each; fails if a guarantee was violated.
async fn soak(args: SoakArgs) -> ExitCode {
    let sibling = std::env::current_exe().map(|own| own.with_file_name("lentilway"));
    let Some(program) = args.program.or_else(|| sibling.ok()) else {
        eprintln!("error: cannot determine the folder of this program; set --program");
        return ExitCode::FAILURE;
    };
    let mut exit_code = ExitCode::SUCCESS;
    for seed in args.seed..args.seed + args.seeds {
        let folder = args.folder.join(seed.to_string());
        let paths = SoakPaths { program: program.clone(), folder: folder.clone() };
        let duration = Duration::from_secs_f64(args.seconds);
        match run_soak(paths, &SoakSettings { seed, nodes: args.nodes, duration }).await {
            Ok(report) if report.violations.is_empty() => {
                println!("seed {seed}: {report}");
                // Remaining files only take up disk space.
                let _ = std::fs::remove_dir_all(&folder);
            }
            Ok(report) => {
                println!("seed {seed}: {report}; logs in {}", folder.display());
                report.violations.iter().for_each(|line| println!("  {line}"));
                exit_code = ExitCode::FAILURE;
            }
            Err(error) => {
                eprintln!("error: seed {seed}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    exit_code
}

async fn demo() -> ExitCode {
    match run_demo().await {
        Ok(rows) => {
            print!("{}", render(&rows));
            let all_expected = rows.iter().all(DemoRow::is_expected);
            if all_expected { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
