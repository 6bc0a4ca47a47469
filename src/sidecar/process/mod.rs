//! State and tasks that last as long as the process.

pub(crate) mod backend_admission;
pub(crate) mod backend_call;
pub(crate) mod backend_pacing;
pub(crate) mod backend_watch;
pub(crate) mod body_budget;
pub(crate) mod config_copy;
pub(crate) mod crash_watch;
pub mod decision_log;
pub(crate) mod directory;
mod exchange_log;
pub mod keyed_store;
pub(crate) mod link_plan;
pub(crate) mod notice_watch;
pub(crate) mod peer_table;
pub(crate) mod quota_table;
pub mod settings;
pub mod sidecar_daemon;
pub mod sidecar_metrics;
pub(crate) mod sidecar_shared;
pub(crate) mod store_reader;
mod store_report;
pub(crate) mod store_view;
pub(crate) mod token_exchange;
pub mod topic_replica;
pub mod wire_dialect;
