//! Output of the experiments as a Markdown table and as JSON lines.

use std::fmt::Write;

use serde::Serialize;

use super::figures::ExperimentFigures;
use super::run::ControlVariant;
use super::scenario::Scenario;

/// The parameters and figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentRow {
    /// The deployment's name.
    pub deployment: &'static str,
    /// The scenario.
    pub scenario: Scenario,
    /// The overload control of the daemons.
    pub variant: ControlVariant,
    /// The seed.
    pub seed: u64,
    /// The figures.
    pub figures: ExperimentFigures,
}

const HEADER: &str = "| Deployment | Scenario | Control | Goodput | High whole | Low whole | Recovery s \
| Worst organisation | Wrongful | Wasted | Runs/root | p50 ms | p99 ms |\n\
|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

/// The rows as a Markdown table.
pub fn table(rows: &[ExperimentRow]) -> String {
    let mut text = HEADER.to_string();
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

/// The rows in JSON Lines format.
pub fn json_lines(rows: &[ExperimentRow]) -> String {
    let json = rows.iter().filter_map(|row| serde_json::to_string(row).ok());
    json.map(|line| line + "\n").collect()
}

/// The command-line name of a scenario or variant.
pub fn name(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_string()
}

fn percent(fraction: f64) -> String {
    format!("{:.1}%", fraction * 100.0)
}
