//! Runs experiments one after another.

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::ValueEnum;
use lentilway::config::{ControlMode, DaemonConfig};
use lentilway_stand_ins::backend::BackendBehaviour;
use lentilway_stand_ins::log::LogFaults;
use serde::Serialize;
use tokio::time::sleep;

use super::deployment::Deployment;
use super::figures::compute_figures;
use super::load::{ExperimentLoad, RootSample};
use super::plot::{GoodputCurve, draw};
use super::report::{ExperimentRow, name};
use super::scenario::{PhaseTimes, Scenario};
use crate::fleet::{Fleet, FleetError, FleetNode, NodePlan};

const LOST_ZONE: &str = "az1";

/// The overload control that the daemons run with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlVariant {
    /// The default configuration.
    Full,
    /// A fixed concurrency limit equal to the backend server's slots.
    StaticLimit,
    /// No concurrency limit.
    NoControl,
    /// No concurrency limit, and plain retries at each hop.
    PlainRetries,
}

impl ControlVariant {
    fn configure(self, config: &mut DaemonConfig, slots: usize) {
        (config.control, config.initial_concurrency) = match self {
            ControlVariant::Full => (ControlMode::Full, config.initial_concurrency),
            ControlVariant::StaticLimit => (ControlMode::FixedLimit, slots),
            ControlVariant::NoControl => (ControlMode::Unlimited, slots),
            ControlVariant::PlainRetries => (ControlMode::PlainRetries, slots),
        };
    }
}

/// The experiments to run.
#[derive(Clone, Debug)]
pub struct ExperimentPlan {
    /// The deployments.
    pub deployments: Vec<Deployment>,
    /// The scenarios.
    pub scenarios: Vec<Scenario>,
    /// The overload controls.
    pub variants: Vec<ControlVariant>,
    /// The phases.
    pub times: PhaseTimes,
    /// Seed of every random draw.
    pub seed: u64,
    /// Folder for the plots, if any.
    pub pictures: Option<PathBuf>,
}

/// Runs every combination and returns the rows; calls `report` with each row as soon as it is
/// complete.
///
/// # Errors
/// [`FleetError`] if a fleet does not start.
pub async fn run_experiments(
    plan: &ExperimentPlan,
    report: impl Fn(&ExperimentRow),
) -> Result<Vec<ExperimentRow>, FleetError> {
    let mut rows = Vec::new();
    for deployment in &plan.deployments {
        for scenario in &plan.scenarios {
            let mut curves = Vec::new();
            for variant in &plan.variants {
                let (row, curve) = run_one(plan, deployment, *scenario, *variant).await?;
                report(&row);
                rows.push(row);
                curves.push(curve);
            }
            plot_curves(plan, deployment, *scenario, &curves);
        }
    }
    Ok(rows)
}

fn plot_curves(
    plan: &ExperimentPlan,
    deployment: &Deployment,
    scenario: Scenario,
    curves: &[GoodputCurve],
) {
    let Some(folder) = &plan.pictures else { return };
    let title = format!("{} {}", deployment.name, name(&scenario));
    let file = folder.join(format!("{}.svg", title.replace(' ', "-")));
    if let Err(error) = draw(&file, &title, curves) {
        eprintln!("cannot write the plot {}: {error}", file.display());
    }
}

async fn run_one(
    plan: &ExperimentPlan,
    deployment: &Deployment,
    scenario: Scenario,
    variant: ControlVariant,
) -> Result<(ExperimentRow, GoodputCurve), FleetError> {
    let tickets = deployment.tickets(scenario.rate_scale());
    let plans = deployment.plans();
    let configure = |config: &mut DaemonConfig, plan: &NodePlan| {
        variant.configure(config, plan.behaviour.slots);
    };
    let mut fleet = Fleet::start_each(&tickets, &plans, configure).await?;
    if scenario.store_down() {
        fleet.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    }
    let load = ExperimentLoad {
        deployment: deployment.clone(),
        scenario,
        times: plan.times,
        daemons: fleet.callers(),
        seed: plan.seed,
    };
    let mut executions = BTreeMap::new();
    let load = tokio::spawn(load.run());
    sleep(plan.times.before).await;
    start_trigger(&mut fleet, deployment, scenario, &mut executions).await;
    sleep(plan.times.trigger).await;
    set_slow_factor(&fleet, deployment, 1.0);
    let samples: Vec<RootSample> = load.await.unwrap_or_default();
    count_executions(&fleet, &mut executions);
    fleet.abort();
    let figures = compute_figures(deployment, scenario, &plan.times, &samples, &executions);
    let curve = GoodputCurve::new(name(&variant), &plan.times, &samples);
    let deployment = deployment.name;
    Ok((ExperimentRow { deployment, scenario, variant, seed: plan.seed, figures }, curve))
}

async fn start_trigger(
    fleet: &mut Fleet,
    deployment: &Deployment,
    scenario: Scenario,
    executions: &mut BTreeMap<String, u64>,
) {
    set_slow_factor(fleet, deployment, scenario.slow_factor());
    if !scenario.loses_zone() {
        return;
    }
    let in_zone = |node: &mut FleetNode| &*node.daemon.shared.config.availability_zone == LOST_ZONE;
    let lost: Vec<FleetNode> = fleet.nodes.extract_if(.., in_zone).collect();
    for node in lost {
        for (id, count) in node.backend.counts().by_body {
            *executions.entry(id).or_default() += count;
        }
        node.daemon.abort();
        node.backend.kill();
    }
}

fn set_slow_factor(fleet: &Fleet, deployment: &Deployment, slow_factor: f64) {
    for node in &fleet.nodes {
        let behaviour = node.backend.behaviour();
        if node.service == deployment.bottleneck && behaviour.slow_factor != slow_factor {
            node.backend.set_behaviour(BackendBehaviour { slow_factor, ..behaviour });
        }
    }
}

fn count_executions(fleet: &Fleet, executions: &mut BTreeMap<String, u64>) {
    for node in &fleet.nodes {
        for (id, count) in node.backend.counts().by_body {
            *executions.entry(id).or_default() += count;
        }
    }
}
