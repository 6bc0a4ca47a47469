//! Limits the backend server's concurrency and sheds calls under overload.

pub mod allocator;
pub mod controller;
pub mod feedback;
pub mod limit;
pub mod queue;

pub use allocator::{CallerGroup, CapacityAllocator};
pub use controller::{
    AdmissionController, AdmissionPermit, CallSample, ConcurrencySlot, ShedCause, ShedNotice,
};
pub use feedback::ShedFeedback;
pub use limit::ConcurrencyLimit;
