//! The administration API.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use subtle::ConstantTimeEq;

use super::members::InstanceId;
use super::shared::DaemonShared;
use super::submission::{TicketRefusal, preview_ticket, submit_ticket};
use crate::error::ResultCode;
use crate::request::incoming::BufferedRequest;
use crate::version::digest::Sha256Digest;
use crate::version::verdict::TicketVerdict;

const BEARER_PREFIX: &[u8] = b"Bearer ";
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type AdminResponse = Response<Full<Bytes>>;

#[derive(Serialize)]
struct AdminError {
    code: u16,
    name: &'static str,
    text: &'static str,
    #[serde(skip_serializing_if = "String::is_empty")]
    detail: String,
}

#[derive(Serialize)]
struct ReadyReport {
    ready: bool,
    next_offset: u64,
    standing: &'static str,
    stopping: bool,
}

#[derive(Serialize)]
struct StatusReport {
    version: &'static str,
    instance: InstanceId,
    availability_zone: Arc<str>,
    next_offset: u64,
    digest: Sha256Digest,
    standing: &'static str,
    contact_age_ms: Option<u64>,
    reads_log: bool,
    zones_known: usize,
    zones_answering: usize,
    organisations: usize,
    routes: usize,
    remembered_tickets: usize,
    ticket_floor: u64,
    skipped_newer: u64,
    members: usize,
    stopping: bool,
}

#[derive(Serialize)]
struct TicketReport<'a> {
    number: u64,
    #[serde(flatten)]
    verdict: &'a TicketVerdict,
}

/// Serves a request of an operator.
pub async fn serve_admin(shared: Arc<DaemonShared>, request: Request<Incoming>) -> AdminResponse {
    let result = route(&shared, request).await;
    result.unwrap_or_else(error_response)
}

async fn route(
    shared: &Arc<DaemonShared>,
    request: Request<Incoming>,
) -> Result<AdminResponse, TicketRefusal> {
    let path = request.uri().path().to_string();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/ready") => Ok(ready(shared)),
        (&Method::GET, "/metrics") => Ok(metrics(shared)),
        _ => {
            authorise(shared, &request)?;
            route_operator(shared, request, &path).await
        }
    }
}

async fn route_operator(
    shared: &Arc<DaemonShared>,
    request: Request<Incoming>,
    path: &str,
) -> Result<AdminResponse, TicketRefusal> {
    let state = shared.version.current();
    match (request.method(), path) {
        (&Method::POST, "/tickets") => {
            let request = BufferedRequest::read(request, &shared.config.limits).await?;
            Ok(json(&submit_ticket(shared, &request.body).await?))
        }
        (&Method::POST, "/tickets/preview") => {
            let request = BufferedRequest::read(request, &shared.config.limits).await?;
            Ok(json(&preview_ticket(shared, &request.body)?))
        }
        (&Method::GET, "/tickets") => {
            let verdicts = state.verdicts().iter();
            let reports =
                verdicts.map(|(number, verdict)| TicketReport { number: *number, verdict });
            Ok(json(&reports.collect::<Vec<_>>()))
        }
        (&Method::GET, "/status") => Ok(json(&status(shared))),
        (&Method::GET, "/state") => Ok(json(&state.report())),
        (&Method::GET, "/daemons") => Ok(json(&shared.members.entries())),
        (&Method::GET, "/members") => Ok(json(&shared.members.all_upstreams())),
        (&Method::GET, path) => {
            let number = path.strip_prefix("/tickets/").and_then(|number| number.parse().ok());
            let number: u64 = number.ok_or(ResultCode::AdminRouteUnknown)?;
            let verdict = state.verdict(number).ok_or(ResultCode::TicketUnknown)?;
            Ok(json(&TicketReport { number, verdict }))
        }
        _ => Err(ResultCode::AdminRouteUnknown.into()),
    }
}

fn authorise(shared: &DaemonShared, request: &Request<Incoming>) -> Result<(), ResultCode> {
    let presented = request.headers().get(AUTHORIZATION).map(HeaderValue::as_bytes);
    let presented =
        presented.and_then(|value| value.strip_prefix(BEARER_PREFIX)).unwrap_or_default();
    // Digests have equal lengths, so the comparison does not reveal the token's length.
    let presented = Sha256Digest::of(presented);
    let expected = Sha256Digest::of(shared.config.operator_token.expose());
    match presented.bytes().ct_eq(expected.bytes()).into() {
        true => Ok(()),
        false => Err(ResultCode::OperatorRefused),
    }
}

fn ready(shared: &DaemonShared) -> AdminResponse {
    let next_offset = shared.version.next_offset();
    let stopping = shared.stop.is_raised();
    let freshness = shared.sync.freshness(next_offset);
    let ready = freshness.permit().is_ok() && !stopping;
    let standing = freshness.name();
    let mut response = json(&ReadyReport { ready, next_offset, standing, stopping });
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn status(shared: &DaemonShared) -> StatusReport {
    let state = shared.version.current();
    let contacts = &shared.sync.contacts;
    let evidence = contacts.evidence(state.next_offset);
    StatusReport {
        version: env!("CARGO_PKG_VERSION"),
        instance: shared.instance,
        availability_zone: shared.config.availability_zone.clone(),
        next_offset: state.next_offset,
        digest: state.digest(),
        standing: evidence.freshness().name(),
        contact_age_ms: evidence.contact_age.map(|age| age.as_millis() as u64),
        reads_log: shared.sync.tree().is_reader(),
        zones_known: evidence.zones_known,
        zones_answering: evidence.zones_answering,
        organisations: state.organisations.len(),
        routes: state.routes.len(),
        remembered_tickets: state.verdicts().iter().len(),
        ticket_floor: state.verdicts().floor(),
        skipped_newer: state.skipped_newer(),
        members: shared.members.all_upstreams().len(),
        stopping: shared.stop.is_raised(),
    }
}

fn metrics(shared: &DaemonShared) -> AdminResponse {
    let mut response = Response::new(Full::new(shared.metrics.render().into()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_TYPE));
    response
}

fn json(value: &impl Serialize) -> AdminResponse {
    let body = serde_json::to_vec(value).expect("reports have only string keys");
    let mut response = Response::new(Full::new(body.into()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn error_response(refusal: TicketRefusal) -> AdminResponse {
    let code = refusal.code;
    let error = AdminError {
        code: code.number(),
        name: code.name(),
        text: code.text(),
        detail: refusal.detail,
    };
    let mut response = json(&error);
    *response.status_mut() = code.status();
    response
}
