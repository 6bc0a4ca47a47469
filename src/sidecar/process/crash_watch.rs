//! Ends of the backend server beside this daemon without notice, and what ran there.

use serde::Serialize;

use super::backend_watch::close_admission;
use super::decision_log::LineCategory;
use super::sidecar_shared::SidecarShared;
use crate::policy::incarnation::BackendIncarnation;

/// Requests named in the log line about the end of a backend server.
const NAMED_REQUESTS_MAX: usize = 64;

#[derive(Serialize)]
struct CrashLine<'a> {
    backend: &'a str,
    born: u64,
    running: usize,
    /// Identities of the requests that ran there, the last ones first.
    identities: Vec<String>,
}

/// Records that an incarnation of the backend server ended while it ran requests.
pub(crate) fn observe_crash(shared: &SidecarShared, incarnation: &BackendIncarnation) {
    let now = shared.clock.now();
    let Some(running) = shared.backend_admission.record_ended(incarnation, now) else {
        return;
    };
    close_admission(shared, incarnation);
    shared.metrics.count("backend_ended");
    let identities = running.iter().map(|record| record.context.identity.to_string());
    let line = CrashLine {
        backend: &incarnation.id,
        born: incarnation.born,
        running: running.len(),
        identities: identities.take(NAMED_REQUESTS_MAX).collect(),
    };
    shared.log.write(LineCategory::Change, "backend-server-ended", &line);
}
