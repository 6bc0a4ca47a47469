//! What lives as long as the process.

pub(crate) mod backend_door;
pub(crate) mod backend_watch;
pub mod decision_log;
pub(crate) mod directory;
pub mod fleet_metrics;
pub mod keyed_store;
pub(crate) mod peer_table;
pub(crate) mod quota_book;
pub mod settings;
pub mod sidecar_daemon;
pub(crate) mod sidecar_shared;
pub(crate) mod store_view;
pub mod wire_dialect;
