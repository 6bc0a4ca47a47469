//! Shares of a process's memory for the bytes that it holds for others.
//!
//! Handles crowds of callers that read long answers slowly or send long bodies, backend servers that
//! send bodies without end, and daemons that all call one instance, on machines with little memory.
//! Bytes of each kind may take the budget up to their share only, so that requests leave room for
//! answers, and long bodies leave room for small ones.

/// Bodies up to this size count as small.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// The budget is this part of the machine's memory; the rest is for the program, its own tables and
/// what the allocator does not return.
const BUDGET_DIVISOR: usize = 2;
/// Part of the budget for callers' connections.
const CONNECTIONS_SHARE: (usize, usize) = (1, 2);
/// Part of the budget up to which long request bodies are taken in. It holds one body of 64 MiB on a
/// machine of 260 MB, and leaves room for answers: without one, requests would wait for their
/// answers and answers for the requests to end.
const REQUESTS_SHARE: (usize, usize) = (5, 8);
/// Part of the budget up to which answers of unknown length are taken in.
const STREAMED_SHARE: (usize, usize) = (1, 2);
/// Part of the budget up to which long answers are taken in.
const ANSWERS_SHARE: (usize, usize) = (7, 8);

/// What bytes are held for, as far as it decides on their share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// A caller's connection.
    Connection,
    /// A request's body.
    Request,
    /// An answer's body of known length.
    Answer,
    /// An answer's body of unknown length.
    StreamedAnswer,
}

/// The budget of a process on a machine with this much memory.
///
/// ```
/// use lentilway::policy::body_limit::memory_budget;
/// assert_eq!(memory_budget(260 << 20), 130 << 20);
/// ```
pub fn memory_budget(memory_bytes: usize) -> usize {
    memory_bytes / BUDGET_DIVISOR
}

/// The bytes of the whole budget that may be taken after `bytes` more are taken for `usage`.
///
/// ```
/// use lentilway::policy::body_limit::{MemoryUse, memory_share};
/// let budget = 128 << 20;
/// assert_eq!(memory_share(budget, MemoryUse::Request, 64 << 20), 80 << 20);
/// assert_eq!(memory_share(budget, MemoryUse::Request, 1_000), budget);
/// assert_eq!(memory_share(budget, MemoryUse::Answer, 64 << 20), 112 << 20);
/// ```
pub fn memory_share(budget: usize, usage: MemoryUse, bytes: usize) -> usize {
    let (part, whole) = match usage {
        MemoryUse::Connection => CONNECTIONS_SHARE,
        _ if bytes <= SMALL_BODY_BYTES => (1, 1),
        MemoryUse::Request => REQUESTS_SHARE,
        MemoryUse::Answer => ANSWERS_SHARE,
        MemoryUse::StreamedAnswer => STREAMED_SHARE,
    };
    budget / whole * part
}
