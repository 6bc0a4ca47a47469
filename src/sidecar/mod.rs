//! The daemon for platforms with their own store, announcements and configuration format.
//!
//! It serves the same purpose as [`crate::process::daemon`] in a simpler way: whole configurations
//! instead of tickets, a keyed store instead of an append-only log, and plain TCP frames between
//! daemons. A [`process::wire_dialect::WireDialect`] defines its external names and formats.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
