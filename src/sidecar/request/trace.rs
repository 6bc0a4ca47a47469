//! The log line and the metrics of a request.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::response::RequestRefusal;
use crate::clock::MilliTime;
use crate::policy::request_rank::RequestRank;
use crate::sidecar::process::decision_log::LineCategory;
use crate::sidecar::process::sidecar_metrics::EndedRequest;
use crate::sidecar::process::sidecar_shared::SidecarShared;

/// Data for a request's log line and metrics, filled in while the request is handled.
pub(super) struct RequestTrace<'a> {
    shared: &'a SidecarShared,
    pub(super) started: MilliTime,
    pub(super) request: Arc<str>,
    pub(super) root: Option<Arc<str>>,
    pub(super) route: Option<Arc<str>>,
    pub(super) service: Option<Arc<str>>,
    pub(super) organisation: Option<Arc<str>>,
    pub(super) instance: Option<Arc<str>>,
    pub(super) rank: RequestRank,
    pub(super) version: u64,
    pub(super) sends: u32,
    /// The timeout from the request's header, or that of its route.
    pub(super) caller_timeout: Option<Duration>,
    pub(super) is_retry: bool,
    is_ended: bool,
}

#[derive(Serialize)]
struct RequestLine<'a> {
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    root: Option<&'a str>,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<u16>,
    #[serde(skip_serializing_if = "str::is_empty")]
    reason: &'a str,
    route: Option<&'a str>,
    service: Option<&'a str>,
    organisation: Option<&'a str>,
    instance: Option<&'a str>,
    is_root: bool,
    priority: u8,
    sends: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    is_return: bool,
    config_version: u64,
    evidence_age_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    elapsed_ms: u64,
}

impl<'a> RequestTrace<'a> {
    pub(super) fn new(shared: &'a SidecarShared, request: Arc<str>) -> Self {
        RequestTrace {
            shared,
            started: shared.clock.now(),
            request,
            root: None,
            route: None,
            service: None,
            organisation: None,
            instance: None,
            rank: RequestRank::root(u8::MAX),
            version: 0,
            sends: 0,
            caller_timeout: None,
            is_retry: false,
            is_ended: false,
        }
    }

    pub(super) fn end(
        &mut self,
        outcome: &'static str,
        status: Option<u16>,
        refusal: Option<&RequestRefusal>,
    ) {
        self.is_ended = true;
        let elapsed = self.shared.clock.now().since(self.started);
        self.shared.metrics.request_ended(&EndedRequest {
            service: self.service.as_deref().unwrap_or(""),
            organisation: self.organisation.as_deref().unwrap_or(""),
            priority: self.rank.priority,
            is_root: self.rank.is_root,
            outcome,
            elapsed,
        });
        let is_routine = status.is_some_and(|status| status < 500);
        let category = if is_routine { LineCategory::Routine } else { LineCategory::Failure };
        let event = if is_routine { "request" } else { "request-failed" };
        let age = self.shared.proof_age();
        let line = RequestLine {
            request: &self.request,
            root: self.root.as_deref(),
            outcome,
            status,
            code: refusal.map(|refusal| refusal.code.number()),
            reason: refusal.map_or("", |refusal| &refusal.reason),
            route: self.route.as_deref(),
            service: self.service.as_deref(),
            organisation: self.organisation.as_deref(),
            instance: self.instance.as_deref(),
            is_root: self.rank.is_root,
            priority: self.rank.priority,
            sends: self.sends,
            deadline_ms: self
                .caller_timeout
                .map(|caller_timeout| caller_timeout.as_millis() as u64),
            is_return: self.is_retry,
            config_version: self.version,
            evidence_age_ms: age.map(|age| age.as_millis() as u64),
            retry_after_ms: refusal
                .and_then(|refusal| refusal.retry_after)
                .map(|wait| wait.as_millis() as u64),
            elapsed_ms: elapsed.as_millis() as u64,
        };
        self.shared.log.write(category, event, &line);
    }
}

impl Drop for RequestTrace<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end("abandoned", None, None);
        }
    }
}
