//! The daemon for platforms that bring their own store, announcements and configuration format.
//!
//! It serves the same purpose as [`crate::process::daemon`] with less: whole configurations in
//! place of tickets, a keyed store in place of an append-only log, and plain frames between
//! daemons. What it speaks to the outside is given by a [`process::wire_dialect::WireDialect`].

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
