//! Overload and fault policies, free of input and output.
//!
//! Callers pass in all inputs and times; no type here opens a connection or starts a task. Each
//! module names the load pattern that it handles; the tests under `tests/suite/policy` replay those
//! patterns.

pub mod admission_queue;
pub mod answer_size;
pub mod answer_verdict;
pub mod backend_notice;
pub mod backend_pace;
pub mod body_limit;
pub mod caller_retry;
pub mod config_state;
pub mod connection_roster;
pub mod crash_ledger;
pub mod descriptor_share;
pub mod exchange_history;
pub mod fair_share;
pub mod freshness;
pub mod head_scan;
pub mod incarnation;
pub mod link_subset;
pub mod moving_average;
pub mod placement;
pub mod read_backoff;
pub mod read_schedule;
pub mod region_rule;
pub mod request_identity;
pub mod request_pacer;
pub mod request_rank;
pub mod restore_hold;
pub mod retry_allowance;
pub mod root_admission;
pub mod root_costs;
pub mod route_success;
pub mod run_registry;
pub mod slow_start;
pub mod start_pace;
pub mod stop_schedule;
pub mod store_position;
pub mod surplus_doubt;
pub mod token_priority;
pub mod token_share;
pub mod topic_position;
pub mod weighted_split;
pub mod zone_evacuation;
