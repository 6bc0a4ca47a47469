//! Overload experiments on loopback: open-loop load through real daemons and stand-ins.

pub mod deployment;
pub mod figures;
pub mod load;
pub mod plot;
pub mod report;
pub mod run;
pub mod scenario;

pub use deployment::Deployment;
pub use run::{ExperimentPlan, run_experiments};
pub use scenario::Scenario;
