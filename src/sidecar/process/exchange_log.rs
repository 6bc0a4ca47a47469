//! Observes the exchanges with the backend server: log lines, metrics and what answers state.

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use serde::Serialize;

use super::crash_watch::observe_crash;
use super::decision_log::LineCategory;
use super::notice_watch::observe_notice;
use super::sidecar_shared::SidecarShared;
use crate::sidecar::connection::backend_pool::{BackendTarget, ExchangeAnswer, ExchangeObserver};
use crate::sidecar::request::context::CallContext;

/// The kind of server in the metric of surplus answers.
pub(super) const SURPLUS_SERVER: &str = "backend";

#[derive(Serialize)]
struct ExchangeLine<'a> {
    request: &'a str,
    root: &'a str,
    connection: u64,
    exchange: usize,
    /// How often the request was sent on the connection; an answer too many to an earlier send
    /// looks like the one to the last.
    sends_on_connection: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer_request: Option<&'a str>,
    origin: &'static str,
    is_refusal: bool,
}

impl ExchangeObserver for SidecarShared {
    fn observe_send(&self) {
        self.metrics.backend_sends.inc();
        self.notice_watch.count_send();
    }

    fn observe_head(&self, target: &BackendTarget, headers: &HeaderMap) {
        observe_notice(self, &target.incarnation, &self.dialect.notice(headers));
    }

    fn observe_answer(&self, context: &CallContext, answer: &ExchangeAnswer<'_>) {
        let names = self.dialect.headers();
        let headers = answer.head.map(|(_, headers, _)| headers);
        let named = headers.and_then(|headers| headers.get(&names.request_id));
        let is_refusal = headers.is_some_and(|headers| headers.contains_key(&names.not_run));
        let origin = answer.head.map(|(.., origin)| origin);
        if let Some(origin) = origin.filter(|origin| !origin.is_own()) {
            self.metrics.surplus_answers(SURPLUS_SERVER, origin.name()).inc();
        }
        let line = ExchangeLine {
            request: &context.request_id,
            root: &context.root_id,
            connection: answer.connection,
            exchange: answer.exchange,
            sends_on_connection: answer.sends,
            status: answer.head.map(|(status, ..)| status.as_u16()),
            answer_request: named.and_then(|id: &HeaderValue| id.to_str().ok()),
            origin: origin.map_or("none", |origin| origin.name()),
            is_refusal,
        };
        let is_routine = !is_refusal && origin.is_some_and(|origin| origin.is_own());
        let (category, event) = match is_routine {
            true => (LineCategory::Routine, "backend-exchange"),
            false => (LineCategory::Failure, "backend-exchange-failed"),
        };
        self.log.write(category, event, &line);
    }

    fn observe_end(&self, target: &BackendTarget) {
        observe_crash(self, &target.incarnation);
    }
}
