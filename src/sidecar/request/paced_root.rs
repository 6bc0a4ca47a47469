//! Roots of a daemon that has just started, while it paces them.

use std::sync::Arc;
use std::time::Duration;

use super::context::BackendAnswer;
use super::response::RequestRefusal;
use crate::clock::MilliTime;
use crate::error::ResultCode;
use crate::policy::start_pace::PacedEnd;
use crate::sidecar::process::sidecar_shared::SidecarShared;

/// First status that reports a failure of the server.
const SERVER_ERROR: u16 = 500;

/// A root that the pace admitted; in flight until dropped.
pub(super) struct PacedRoot {
    shared: Arc<SidecarShared>,
    route: Arc<str>,
    admitted: MilliTime,
    end: PacedEnd,
}

impl PacedRoot {
    /// Admits a root; `None` if as many are in flight as the pace allows.
    pub(super) fn admit(shared: &Arc<SidecarShared>, route: &Arc<str>) -> Option<Self> {
        let admitted = shared.clock.now();
        if !shared.root_start.admit(shared, route) {
            return None;
        }
        let (shared, route) = (shared.clone(), route.clone());
        Some(PacedRoot { shared, route, admitted, end: PacedEnd::Neutral })
    }

    /// Records how the root ended; `target` is the time in which its answer is of use.
    pub(super) fn record(
        &mut self,
        result: &Result<BackendAnswer, RequestRefusal>,
        target: Duration,
    ) {
        let elapsed = self.shared.clock.now().since(self.admitted);
        self.end = match result {
            Ok(answer) if answer.status >= SERVER_ERROR => PacedEnd::Failed,
            Ok(_) => PacedEnd::answered(elapsed, target),
            Err(refusal) => match refusal.code {
                ResultCode::Overloaded => PacedEnd::Bad,
                ResultCode::BackendRefused | ResultCode::AnswerLate | ResultCode::AnswerMissing => {
                    PacedEnd::Failed
                }
                _ => PacedEnd::Neutral,
            },
        };
    }
}

impl Drop for PacedRoot {
    fn drop(&mut self) {
        self.shared.root_start.end_root(&self.shared, &self.route, self.admitted, self.end);
    }
}
