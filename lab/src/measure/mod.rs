//! Measurements, one per mechanism; each prints a table for `docs/MEASUREMENTS.md`.

pub mod claims;
pub mod members;
pub mod overload;
pub mod rates;
pub mod tickets;
