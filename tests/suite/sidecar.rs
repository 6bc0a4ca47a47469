//! Tests of sidecar daemons with an in-memory store, test backend servers and callers.

mod bounded_connections;
mod config_reading;
mod copied_refusals;
mod crashes;
mod dropped_positions;
mod endless;
mod exchange_orders;
mod fleet;
pub(crate) mod floods;
mod held_links;
mod invalid_statuses;
mod kept_connections;
mod keys;
mod leaves;
mod limits;
mod links;
mod log_output;
mod merged_answers;
mod odd_entries;
mod older_release;
mod outcomes;
mod planned_server;
mod record_requests;
mod replica;
mod restores;
mod stops;
mod surplus_answers;
