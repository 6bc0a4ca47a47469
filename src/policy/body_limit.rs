//! Sizes that the bodies of messages in flight may have.
//!
//! Handles backend servers in trouble that send bodies without end, several at a time, on machines
//! with little memory: each body may take a part of what is left, and while much is taken, only as
//! much as bodies of that kind usually have. Bodies of usual size are not affected.

/// Bodies up to this size are always accepted; their number is bounded by that of the connections.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Part of the free memory that one body may take.
const FREE_DIVISOR: usize = 4;
/// Largest multiple of the usual size while more than half of the memory is taken.
const USUAL_FACTOR: usize = 8;

/// The largest size of one body while `taken` of `limit` bytes are taken by others and the usual size
/// of such bodies is `usual`.
///
/// ```
/// use lentilway::policy::body_limit::{SMALL_BODY_BYTES, body_bytes_max};
/// assert_eq!(body_bytes_max(40 << 20, 0, 4_000), 10 << 20);
/// assert_eq!(body_bytes_max(40 << 20, 24 << 20, 100_000), 800_000);
/// assert_eq!(body_bytes_max(40 << 20, 40 << 20, 4_000), SMALL_BODY_BYTES);
/// ```
pub fn body_bytes_max(limit: usize, taken: usize, usual: usize) -> usize {
    let free = limit.saturating_sub(taken);
    let part = free / FREE_DIVISOR;
    let bound = if taken > limit / 2 { part.min(usual.saturating_mul(USUAL_FACTOR)) } else { part };
    bound.max(SMALL_BODY_BYTES)
}
