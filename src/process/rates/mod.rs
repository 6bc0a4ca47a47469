//! Rate limits of organisations, enforced over all instances together.

pub mod borrow_account;
pub mod borrow_round;
pub mod bucket;
pub mod held_shares;
pub mod lease;
pub mod lease_manager;
pub mod limiter;
pub mod loan;
pub mod message;
pub mod meter;
pub mod pool;
pub mod record;
pub mod share;
pub mod share_table;
pub mod terms;

pub use limiter::RateLimiter;
