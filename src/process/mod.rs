//! Components with the lifetime of the process: log client, members, rates, claims, routing,
//! administration.

pub mod admin;
pub mod claims;
pub mod daemon;
pub mod http_log;
pub mod members;
pub mod metrics;
pub mod peer_topics;
pub mod platform_log;
pub mod presence;
pub mod rates;
pub mod routing;
pub mod shared;
pub mod stop;
pub mod submission;
