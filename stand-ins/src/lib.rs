//! Stand-ins for what surrounds lentilway: the platform's log, a backend server and a caller.
//!
//! They share no code with the daemon and speak to it through the published protocols alone.

pub mod backend;
pub mod caller;
pub mod http;
pub mod link;
pub mod log;
pub mod platform;
pub mod relay;
