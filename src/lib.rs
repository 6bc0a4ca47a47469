//! Overload control for service call graphs.
//!
//! One daemon runs beside each backend server instance. It identifies the organisation of a
//! caller's request by its key, enforces its rate, selects an upstream daemon, and protects its own
//! backend server. Configuration comes from change tickets on the platform's append-only log.

pub mod cli;
pub mod clock;
pub mod config;
pub mod connection;
pub mod error;
pub mod logging;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod policy;
pub mod process;
pub mod request;
pub mod sidecar;
pub mod version;
