//! Stand-ins for the services around lentilway: the platform, a backend server and a caller.
//!
//! They share no code with the daemon and use only its published protocols.

pub mod backend;
pub mod caller;
pub mod http;
pub mod link;
pub mod log;
pub mod platform;
pub mod relay;
