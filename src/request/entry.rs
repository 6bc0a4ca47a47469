//! Serves root requests at the entry daemon.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use log::Level;
use rand::Rng;
use serde::Serialize;

use super::allowance::RequestAllowance;
use super::answer::{BufferedAnswer, respond, set_request_id};
use super::call::{OutgoingCall, run_call};
use super::context::RequestContext;
use super::credential::{contains_encoded_key, contains_key, take_key};
use super::header::{REQUEST_ID, TIMEOUT_MS, end_to_end, parse_number};
use super::incoming::BufferedRequest;
use super::resend::SendKind;
use super::tracker::CallTracker;
use crate::error::ResultCode;
use crate::process::shared::DaemonShared;
use crate::version::digest::Sha256Digest;
use crate::version::route::{RequestClass, RouteState};
use crate::version::state::{ConfigState, KeyOwner};
use crate::version::sync::permit_request;

const ENTRY_SHED_CAUSE: &str = "entry";

/// Labels of a request in its log line and metrics, filled in as they become available.
#[derive(Clone, Debug, Default)]
struct RequestLabels {
    organisation: Option<Arc<str>>,
    route: Option<Arc<str>>,
    class: Option<RequestClass>,
}

#[derive(Serialize)]
struct RequestEvent<'a> {
    request: &'a str,
    organisation: Option<&'a str>,
    route: Option<&'a str>,
    code: u16,
    elapsed_ms: u64,
}

/// The listener that accepted a root request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryPoint {
    /// The callers' listener.
    Caller,
    /// The slot's listener. A backend server has no key, so a key sent here is dropped.
    Slot,
}

/// Serves one root request; the response always has a numbered result code.
pub async fn serve_entry(
    shared: Arc<DaemonShared>,
    request: Request<Incoming>,
    point: EntryPoint,
) -> Response<Full<Bytes>> {
    let started = Instant::now();
    let request_id: Arc<str> = format!("{:032x}", rand::rng().random::<u128>()).into();
    let mut labels = RequestLabels::default();
    let result = serve(&shared, request, point, &request_id, &mut labels).await;
    report(&shared, &request_id, &labels, &result, started.elapsed());
    let mut response = respond(result);
    set_request_id(&mut response, &request_id);
    response
}

async fn serve(
    shared: &Arc<DaemonShared>,
    request: Request<Incoming>,
    point: EntryPoint,
    request_id: &Arc<str>,
    labels: &mut RequestLabels,
) -> Result<BufferedAnswer, ResultCode> {
    if shared.stop.is_raised() {
        return Err(ResultCode::Stopping);
    }
    let mut request = BufferedRequest::read(request, &shared.config.limits).await?;
    let key = take_key(&mut request.headers, &mut request.path, &shared.config.key_header);
    if key.as_ref().is_some_and(|key| key_remains(&request, key)) {
        return Err(ResultCode::RequestMalformed);
    }
    let key = key.filter(|_| point == EntryPoint::Caller);
    let state = shared.version.current();
    permit_request(shared, state.next_offset)?;
    let found = state.route(request.method.as_str(), request.bare_path());
    let (name, route) = found.ok_or(ResultCode::RouteUnknown)?;
    labels.route = Some(name.clone());
    labels.class = Some(route.class);
    let organisation = authenticate(&state, route, key.as_deref())?;
    labels.organisation = organisation.clone();
    let retries = retry_allowance(shared, &request.headers, &organisation, route)?;
    let weight = shared.feedback.admit(name, &organisation, request_id);
    let weight = weight.ok_or_else(|| shed_at_entry(shared, labels))?;
    if let Some(organisation) = &organisation {
        let terms = state.organisations.get(organisation).ok_or(ResultCode::KeyUnknown)?;
        shared.rates.admit(organisation, terms).await?;
    }
    let timeout = timeout(&request.headers, route);
    let context = RequestContext {
        request_id: request_id.clone(),
        organisation,
        class: route.class,
        route: name.clone(),
        service: route.service.clone(),
        idempotent: route.idempotent,
        remaining_ms: timeout.as_millis() as u64,
        retries: 0,
        weight,
        depth: 0,
    };
    request.headers = end_to_end(&request.headers);
    let call = OutgoingCall {
        request,
        context,
        deadline: shared.clock.now() + timeout,
        allowance: Arc::new(RequestAllowance::new(retries)),
        tracker: Arc::new(CallTracker::default()),
    };
    let (context, tracker) = (call.context.clone(), call.tracker.clone());
    let result = run_call(shared, call).await;
    shared.feedback.record(&context.route, &context.organisation, tracker.fractions());
    if result.is_err() {
        // The response has the request's identity, with which the caller may resend it.
        shared.resends.record(context.organisation.as_deref(), request_id);
    }
    result
}

/// Retries that the daemons may add; a request that the caller resends gets none.
fn retry_allowance(
    shared: &DaemonShared,
    headers: &HeaderMap,
    organisation: &Option<Arc<str>>,
    route: &RouteState,
) -> Result<u8, ResultCode> {
    // A repeat with an idempotency key runs nothing and returns the saved answer.
    if !route.idempotent {
        return Ok(shared.config.retry_allowance);
    }
    let stated = headers.get(REQUEST_ID).and_then(|value| value.to_str().ok());
    match shared.resends.classify(organisation.as_deref(), stated) {
        SendKind::Fresh => Ok(shared.config.retry_allowance),
        SendKind::Repeat => Ok(0),
        SendKind::Excess => {
            shared.metrics.count("resend_refused");
            Err(ResultCode::Overloaded)
        }
    }
}

fn shed_at_entry(shared: &DaemonShared, labels: &RequestLabels) -> ResultCode {
    let class = labels.class.unwrap_or(RequestClass::Low);
    shared.metrics.call_shed(labels.organisation.as_ref(), class, ENTRY_SHED_CAUSE);
    ResultCode::Overloaded
}

fn key_remains(request: &BufferedRequest, key: &str) -> bool {
    contains_encoded_key(&request.path, key) || contains_key(&request.body, key.as_bytes())
}

/// Finds the organisation of `key`. An open route needs no key, but a key sent must be valid.
fn authenticate(
    state: &ConfigState,
    route: &RouteState,
    key: Option<&str>,
) -> Result<Option<Arc<str>>, ResultCode> {
    let Some(key) = key else {
        return if route.open { Ok(None) } else { Err(ResultCode::KeyMissing) };
    };
    match state.key_owner(&Sha256Digest::of(key.as_bytes())) {
        KeyOwner::Organisation(name) => Ok(Some(name)),
        KeyOwner::Withdrawn => Err(ResultCode::KeyWithdrawn),
        KeyOwner::Unknown => Err(ResultCode::KeyUnknown),
    }
}

fn timeout(headers: &HeaderMap, route: &RouteState) -> Duration {
    let requested: Option<u64> = parse_number(headers, &TIMEOUT_MS);
    Duration::from_millis(requested.unwrap_or(route.timeout_ms).min(route.timeout_ms))
}

fn report(
    shared: &DaemonShared,
    request_id: &str,
    labels: &RequestLabels,
    result: &Result<BufferedAnswer, ResultCode>,
    elapsed: Duration,
) {
    let code = result.as_ref().err().copied().unwrap_or(ResultCode::Answered);
    shared.metrics.request_ended(labels.organisation.as_ref(), labels.class, code, elapsed);
    let event = RequestEvent {
        request: request_id,
        organisation: labels.organisation.as_deref(),
        route: labels.route.as_deref(),
        code: code.number(),
        elapsed_ms: elapsed.as_millis() as u64,
    };
    log_request(event);
}

fn log_request(event: RequestEvent<'_>) {
    crate::logging::log_event(Level::Info, "request", event);
}
