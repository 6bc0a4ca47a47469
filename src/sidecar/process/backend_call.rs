//! A request for the backend server beside a daemon.

use std::sync::Arc;
use std::time::Duration;

use super::memory_budget::MemoryLease;
use crate::clock::MilliTime;
use crate::sidecar::request::context::{CallContext, ForwardRequest};

/// A request for the backend server with its times.
#[derive(Clone, Debug)]
pub(crate) struct BackendCall {
    pub(crate) context: CallContext,
    pub(crate) request: ForwardRequest,
    pub(crate) accepted: MilliTime,
    pub(crate) deadline: MilliTime,
    pub(crate) due: MilliTime,
    /// Whether it must not run twice.
    pub(crate) runs_once: bool,
    /// Memory for the call of another daemon, until the call has ended.
    pub(crate) _lease: Option<Arc<MemoryLease>>,
}

impl BackendCall {
    /// The time between acceptance and deadline.
    pub(crate) fn planned_time(&self) -> Duration {
        self.deadline.since(self.accepted)
    }
}
