//! Decisions under load and faults, apart from input and output.
//!
//! Every type here is driven by its caller with inputs and times, opens no connection and starts
//! no task. Each module names the load pattern that its decision answers; the tests under
//! `tests/suite/policy` replay those patterns.

pub mod admission_queue;
pub mod caller_retry;
pub mod freshness;
pub mod incarnation;
pub mod moving_average;
pub mod placement;
pub mod request_rank;
pub mod retry_allowance;
pub mod root_admission;
pub mod route_success;
pub mod run_registry;
pub mod token_share;
pub mod weighted_split;
