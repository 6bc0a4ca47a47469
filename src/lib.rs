//! Overload control for service call graphs.
//!
//! One daemon runs beside each backend server instance. Daemons take callers' requests, find the
//! organisation by its key, hold it to its rate, choose an upstream daemon, and protect the backend
//! server there. Configuration comes from change tickets on the platform's append-only log.

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
