//! Versions of the configuration and how they are read.

pub mod config_check;
pub(crate) mod config_watch;
pub(crate) mod evacuation_watch;
pub mod fleet_config;
