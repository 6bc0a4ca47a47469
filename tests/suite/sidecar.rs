//! Tests of sidecar daemons with an in-memory store, test backend servers and callers.

mod bounded_connections;
mod copied_refusals;
mod crashes;
mod dropped_positions;
mod endless;
mod exchange_orders;
mod fleet;
pub(crate) mod floods;
mod held_links;
mod kept_connections;
mod keys;
mod leaves;
mod limits;
mod links;
mod merged_answers;
mod odd_entries;
mod outcomes;
mod planned_server;
mod replica;
mod restores;
mod stops;
mod surplus_answers;
mod untrusted;
