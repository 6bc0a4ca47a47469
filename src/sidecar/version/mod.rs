//! What lives for one version of the configuration.

pub(crate) mod config_watch;
pub mod fleet_config;
