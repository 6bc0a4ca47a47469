//! Fleets of daemons and stand-ins in one process, for the demonstration, experiments and tests.

pub mod cpu;
pub mod demo;
pub mod experiment;
pub mod fleet;
pub mod latency;
pub mod measure;
pub mod members;
pub mod soak;
