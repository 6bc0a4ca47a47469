//! Load balancing: choice of the upstream daemon for a call.

pub mod budget;
pub mod router;
pub mod subset;
pub mod upstream;

pub use budget::RetryBudget;
pub use router::{UpstreamGuard, UpstreamRouter};
pub use upstream::CallOutcome;
