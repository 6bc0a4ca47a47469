//! At-most-once execution of non-idempotent requests.
//!
//! Keys hash to shards, each with a stream on the platform's log. A claim is appended to its
//! stream before its request runs; the claim at the lowest offset wins. A claim has no lease:
//! only its claimant releases it, and only if the request did not and will not run.

pub mod claimant_pool;
pub mod end_queue;
pub mod forwarder;
pub mod key;
pub mod message;
pub mod outcome;
pub mod owner;
pub mod record;
pub mod registry;
pub mod shard_state;
pub mod shards;
pub mod worker;

pub use key::ClaimKey;
pub use registry::{ClaimOutcome, ClaimPermit, ClaimRegistry};
