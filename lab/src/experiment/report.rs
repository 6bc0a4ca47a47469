//! The table and the machine-readable lines of the experiments.

use std::fmt::Write;

use serde::Serialize;

use super::figures::ExperimentFigures;
use super::run::ControlVariant;
use super::scenario::Scenario;

/// One run with what it was.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentRow {
    /// The deployment's name.
    pub deployment: &'static str,
    /// The scenario.
    pub scenario: Scenario,
    /// The control.
    pub variant: ControlVariant,
    /// The seed.
    pub seed: u64,
    /// The figures.
    pub figures: ExperimentFigures,
}

const HEAD: &str = "| Deployment | Scenario | Control | Goodput | High whole | Low whole | Recovery s \
| Worst organisation | Wrongful | Wasted | Runs/root | p50 ms | p99 ms |\n\
|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

/// The rows as a Markdown table.
pub fn table(rows: &[ExperimentRow]) -> String {
    let mut text = HEAD.to_string();
    for row in rows {
        let figures = &row.figures;
        let recovery = figures.recovery_s.map_or("never".into(), |time| format!("{time:.1}"));
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {recovery} | {} | {:.2}% | {} | {:.2} | {:.1} | {:.1} |",
            row.deployment,
            name(&row.scenario),
            name(&row.variant),
            percent(figures.goodput),
            percent(figures.high_whole),
            percent(figures.low_whole),
            percent(figures.worst_organisation),
            figures.wrongful_refusals * 100.0,
            percent(figures.wasted_work),
            figures.executions_per_root,
            figures.p50_ms,
            figures.p99_ms,
        );
    }
    text
}

/// The rows as JSON lines.
pub fn lines(rows: &[ExperimentRow]) -> String {
    let lines = rows.iter().filter_map(|row| serde_json::to_string(row).ok());
    lines.map(|line| line + "\n").collect()
}

/// The name of a scenario or variant as on the command line.
pub fn name(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_string()
}

fn percent(part: f64) -> String {
    format!("{:.1}%", part * 100.0)
}
