//! Checks a file with a version of the configuration.

use std::path::Path;

use crate::error::ResultCode;
use crate::sidecar::process::wire_dialect::WireDialect;
use crate::sidecar::version::config_check::{FindingLevel, check_config};
use crate::sidecar::version::fleet_config::FleetConfig;

/// Checks `file`, and compares it with the version in force in `against` if that is given.
pub(super) fn run_check(
    dialect: &dyn WireDialect,
    file: &Path,
    against: Option<&Path>,
) -> ResultCode {
    let read = |file| read_config(dialect, file);
    let checked = read(file).and_then(|config| {
        let in_force = against.map(read).transpose()?;
        Ok((config.version, check_config(&config, in_force.as_ref())))
    });
    let (version, findings) = match checked {
        Ok(checked) => checked,
        Err(problem) => {
            println!("error: {problem}");
            return ResultCode::SettingInvalid;
        }
    };
    for finding in &findings {
        println!("{finding}");
    }
    let count = |level| findings.iter().filter(|finding| finding.level == level).count();
    let errors = count(FindingLevel::Error);
    let warnings = count(FindingLevel::Warning);
    let differences = count(FindingLevel::Difference);
    println!("version {version}: {errors} errors, {warnings} warnings, {differences} differences");
    if errors > 0 { ResultCode::SettingInvalid } else { ResultCode::Answered }
}

fn read_config(dialect: &dyn WireDialect, file: &Path) -> Result<FleetConfig, String> {
    let described = |problem: String| format!("{}: {problem}", file.display());
    let bytes = std::fs::read(file).map_err(|error| described(error.to_string()))?;
    dialect.config(&bytes).map_err(|error| described(error.to_string()))
}
