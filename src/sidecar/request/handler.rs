//! Handles requests from callers and calls from the backend server beside this daemon.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, Uri};
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use super::context::{BackendAnswer, CallContext, ForwardRequest, NotRunCause, UnknownCause};
use super::dispatch::{DispatchOutcome, RequestDispatch};
use super::refused_body::discard_body;
use super::response::{RequestRefusal, answer_response, refusal_response};
use super::root_entry::{admit_paced, admit_root, caller_retry_delay, check_quota};
use super::trace::RequestTrace;
use crate::clock::MilliTime;
use crate::error::ResultCode;
use crate::policy::connection_roster::ConnectionStanding;
use crate::policy::crash_ledger::RequestStanding;
use crate::policy::region_rule::RegionRule;
use crate::policy::request_identity::{RequestContents, RequestIdentity};
use crate::policy::request_rank::RequestRank;
use crate::request::header::{end_to_end, parse_number};
use crate::sidecar::connection::backend_pool::header_pairs;
use crate::sidecar::connection::connection_table::ConnectionSeat;
use crate::sidecar::process::backend_admission::RunRecord;
use crate::sidecar::process::backend_call::BackendCall;
use crate::sidecar::process::memory_budget::BodyError;
use crate::sidecar::process::sidecar_shared::SidecarShared;
use crate::sidecar::version::fleet_config::{FleetConfig, FleetOrganisation, FleetRoute};

/// `Retry-After` while the configuration is missing or lacks a recent freshness proof.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A long body waits unread for memory for this long before its request is refused.
const MEMORY_WAIT_MAX: Duration = Duration::from_millis(500);
/// Number of distinct route priorities.
const ROUTE_PRIORITY_LEVELS: u8 = 15;

/// Handles one request and records its outcome.
pub(crate) async fn serve_request(
    shared: Arc<SidecarShared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let id_header = &shared.dialect.headers().request_id;
    let id = request.headers().get(id_header).and_then(|id| id.to_str().ok()).unwrap_or("");
    let mut trace = RequestTrace::new(&shared, id.into());
    let (parts, mut body) = request.into_parts();
    let mut response = match handle(&shared, &parts, &mut body, &mut trace).await {
        Ok(answer) => {
            let outcome = if answer.is_success() { "served" } else { "answered" };
            trace.end(outcome, Some(answer.status), None);
            let mut response = answer_response(answer);
            if let Ok(id) = HeaderValue::from_str(&trace.request) {
                response.headers_mut().insert(id_header, id);
            }
            response
        }
        Err(refusal) => {
            trace.end(refusal.code.execution().name(), None, Some(&refusal));
            // A body that came too slowly has had its time.
            if refusal.code != ResultCode::DeadlineExpired {
                discard_body(&parts.headers, &mut body).await;
            }
            refusal_response(&refusal)
        }
    };
    if shared.stop.is_raised() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A request with its route and caller resolved.
pub(super) struct IdentifiedRequest {
    pub(super) route: Arc<FleetRoute>,
    pub(super) organisation: Option<Arc<FleetOrganisation>>,
    pub(super) parent: Option<Arc<RunRecord>>,
    pub(super) deadline: MilliTime,
    pub(super) rank: RequestRank,
    /// Whether the caller retries after a refusal.
    pub(super) is_retry: bool,
}

async fn handle(
    shared: &Arc<SidecarShared>,
    parts: &Parts,
    body: &mut Incoming,
    trace: &mut RequestTrace<'_>,
) -> Result<BackendAnswer, RequestRefusal> {
    if trace.request.is_empty() {
        return Err(RequestRefusal::new(ResultCode::RequestMalformed, "missing request id header"));
    }
    let config = shared.config().ok_or_else(|| {
        RequestRefusal::new(ResultCode::NotReady, "no configuration loaded")
            .retry_after(STALE_RETRY_AFTER)
    })?;
    trace.version = config.version;
    let identified = identify(shared, &config, parts, trace)?;
    let remaining = identified.deadline.until(shared.clock.now());
    let received = timeout(remaining, read_body(shared, body, config.limits.body_bytes)).await;
    let body = received.unwrap_or_else(|_| {
        Err(RequestRefusal::new(ResultCode::DeadlineExpired, "the body did not arrive in time"))
    })?;
    // A connection that was accepted for this request keeps its place from here on.
    if let Some(seat) = parts.extensions.get::<Arc<ConnectionSeat>>() {
        seat.promote(ConnectionStanding::Proven);
    }
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let identity = RequestIdentity::of(&RequestContents {
        caller: trace.organisation.as_deref().unwrap_or(&shared.settings.service),
        host: request_host(&parts.headers, &parts.uri),
        method: parts.method.as_str(),
        path,
        body: &body,
    });
    if let RequestStanding::Held { remaining } = shared.crash_watch.standing(shared, identity) {
        return Err(held_refusal(remaining));
    }
    check_stop(shared, &identified)?;
    if let Some(organisation) = &identified.organisation {
        check_quota(shared, organisation, &identified).await?;
    }
    let (is_entitled, mut paced) = match &identified.parent {
        Some(parent) => (parent.context.is_entitled, None),
        None if identified.rank.is_root => {
            let is_entitled = admit_root(shared, &identified, &trace.request)?;
            (is_entitled, Some(admit_paced(shared, &identified)?))
        }
        None => (false, None),
    };
    let service = choose_service(shared, &identified.route);
    trace.service = Some(service.clone());
    let context = CallContext {
        request_id: trace.request.clone(),
        identity,
        root_id: trace.root.clone().unwrap_or_else(|| trace.request.clone()),
        organisation: identified.organisation.as_ref().map(|found| found.name.clone()),
        rank: identified.rank,
        caller_service: shared.settings.service.clone(),
        service,
        is_repeat: identified.parent.as_ref().is_some_and(|parent| parent.context.is_repeat),
        is_resend: false,
        is_entitled,
        is_suspect: false,
    };
    let forward = ForwardRequest {
        method: parts.method.as_str().to_owned(),
        path: path.to_owned(),
        headers: forward_headers(shared, &parts.headers, &body),
        body,
    };
    let target = identified.route.target_latency.min(identified.route.timeout);
    let due = identified.parent.as_ref().map_or(trace.started + target, |parent| parent.due);
    let mut call = BackendCall {
        context,
        request: forward,
        accepted: trace.started,
        deadline: identified.deadline,
        due,
        runs_once: !identified.route.is_idempotent,
        _lease: None,
    };
    let result = dispatch(shared, &identified, &mut call, trace).await;
    paced.iter_mut().for_each(|paced| paced.record(&result, target));
    result
}

/// Resolves the route, organisation, parent run and deadline of a request.
fn identify(
    shared: &SidecarShared,
    config: &FleetConfig,
    parts: &Parts,
    trace: &mut RequestTrace<'_>,
) -> Result<IdentifiedRequest, RequestRefusal> {
    let names = shared.dialect.headers();
    let host = request_host(&parts.headers, &parts.uri);
    let route = config.route(host, parts.uri.path());
    let route = route.ok_or_else(|| match shared.has_fresh_config() {
        true => {
            let reason = format!("no matching route for host {host}");
            RequestRefusal::new(ResultCode::RouteUnknown, reason)
        }
        false => stale_refusal(),
    })?;
    trace.route = Some(route.name.clone());
    let caller_timeout: Option<u64> = parse_number(&parts.headers, &names.deadline_millis);
    let caller_timeout = caller_timeout.map_or(route.timeout, Duration::from_millis);
    trace.caller_timeout = Some(caller_timeout);
    let deadline = trace.started + caller_timeout.min(route.timeout);
    let organisation = match route.is_open {
        true => None,
        false => Some(authenticate(shared, config, &parts.headers)?),
    };
    trace.organisation = organisation.as_ref().map(|found| found.name.clone());
    let parent = match route.is_open {
        true => shared.backend_admission.parent(&trace.request, trace.started + caller_timeout),
        false => None,
    };
    let rank = match (&parent, &organisation) {
        (Some(parent), _) => RequestRank::call(parent.context.rank.priority),
        // A call without a known parent still belongs to a run in progress.
        (None, None) => RequestRank::call(priority(route, None)),
        (None, Some(found)) => RequestRank::root(priority(route, Some(found))),
    };
    let is_retry = rank.is_root && {
        let mut detector = shared.retry_detector.lock().expect("lock not poisoned");
        detector.is_retry(&route.name, caller_timeout)
    };
    trace.is_retry = is_retry;
    trace.root = parent.as_ref().map(|parent| parent.context.root_id.clone());
    trace.rank = rank;
    let route = route.clone();
    Ok(IdentifiedRequest { route, organisation, parent, deadline, rank, is_retry })
}

/// Combines both priorities: the organisation's decides, the route's breaks ties.
fn priority(route: &FleetRoute, organisation: Option<&Arc<FleetOrganisation>>) -> u8 {
    let first = organisation.and_then(|found| found.priority).unwrap_or(0);
    first.min(ROUTE_PRIORITY_LEVELS).saturating_mul(ROUTE_PRIORITY_LEVELS)
        + route.priority.min(ROUTE_PRIORITY_LEVELS - 1)
}

fn request_host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let header = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = header.or_else(|| uri.host()).unwrap_or("");
    host.split(':').next().unwrap_or("")
}

/// The refusal of a request under which backend servers ended.
fn held_refusal(remaining: Duration) -> RequestRefusal {
    let refusal = RequestRefusal::new(ResultCode::CrashSuspected, "backend servers ended under it");
    refusal.retry_after(remaining)
}

/// The refusal of a request that a newer configuration may decide otherwise.
fn stale_refusal() -> RequestRefusal {
    let reason = "no recent freshness proof of the configuration";
    RequestRefusal::new(ResultCode::StateStale, reason).retry_after(STALE_RETRY_AFTER)
}

/// Returns the organisation that owns the request's key. Fails without a recent freshness proof,
/// since a newer configuration may have withdrawn the key.
fn authenticate(
    shared: &SidecarShared,
    config: &FleetConfig,
    headers: &HeaderMap,
) -> Result<Arc<FleetOrganisation>, RequestRefusal> {
    if !shared.has_fresh_config() {
        return Err(stale_refusal());
    }
    let names = shared.dialect.headers();
    let header = headers.get(&names.key).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix(names.key_prefix));
    let key = key.ok_or_else(|| RequestRefusal::new(ResultCode::KeyMissing, ""))?;
    let owner = config.key_owner(key);
    owner.cloned().ok_or_else(|| RequestRefusal::new(ResultCode::KeyUnknown, ""))
}

/// Receives the body of a request. One that is within the limit of the configuration may still be
/// too large for the memory that is left now.
async fn read_body(
    shared: &SidecarShared,
    body: &mut Incoming,
    bytes_max: usize,
) -> Result<Bytes, RequestRefusal> {
    let received = shared.memory.receive_request(body, bytes_max, MEMORY_WAIT_MAX).await;
    received.map_err(|error| match error {
        BodyError::TooLarge { .. } => RequestRefusal::new(ResultCode::BodyTooLarge, ""),
        BodyError::TooSlow => RequestRefusal::new(ResultCode::DeadlineExpired, error.to_string()),
        BodyError::NoMemory => {
            shared.metrics.count("request_refused_memory");
            let refusal = RequestRefusal::new(ResultCode::Overloaded, error.to_string());
            refusal.retry_after(STALE_RETRY_AFTER)
        }
        BodyError::Broken { .. } => {
            RequestRefusal::new(ResultCode::RequestMalformed, error.to_string())
        }
    })
}

/// Refuses a caller's request that a stop could cut off. Calls of runs under way pass, so that these
/// can finish.
fn check_stop(
    shared: &SidecarShared,
    identified: &IdentifiedRequest,
) -> Result<(), RequestRefusal> {
    if identified.parent.is_some() {
        return Ok(());
    }
    let Some(end) = shared.stop_end_for(identified.deadline) else {
        return Ok(());
    };
    let restart_in = end.until(shared.clock.now());
    let refusal = RequestRefusal::new(ResultCode::Stopping, "it may run longer than the stop");
    Err(refusal.retry_after(caller_retry_delay(shared, identified, Some(restart_in))))
}

fn choose_service(shared: &SidecarShared, route: &FleetRoute) -> Arc<str> {
    let [only] = &route.destinations[..] else {
        let weights: Vec<u32> =
            route.destinations.iter().map(|destination| destination.weight).collect();
        let mut split = shared.destination_split.lock().expect("lock not poisoned");
        return route.destinations[split.choose(&route.name, &weights)].service.clone();
    };
    only.service.clone()
}

/// The caller's headers that are forwarded to the backend server.
fn forward_headers(
    shared: &SidecarShared,
    headers: &HeaderMap,
    body: &Bytes,
) -> Vec<(String, Bytes)> {
    let names = shared.dialect.headers();
    let mut kept = end_to_end(headers);
    for name in [
        &names.key,
        &names.request_id,
        &names.deadline_millis,
        &names.organisation,
        &names.target,
        &names.caller_service,
    ] {
        kept.remove(name);
    }
    if let Some(host) = headers.get(HOST) {
        kept.insert(HOST, host.clone());
    }
    header_pairs(&kept, body)
}

async fn dispatch(
    shared: &Arc<SidecarShared>,
    identified: &IdentifiedRequest,
    call: &mut BackendCall,
    trace: &mut RequestTrace<'_>,
) -> Result<BackendAnswer, RequestRefusal> {
    let (route, path) = (&identified.route.name, call.request.path.clone());
    let expected = shared.answer_sizes.expected(route, &path);
    let _expected = shared.memory.expect_answer(expected).ok_or_else(|| {
        shared.metrics.count("answer_refused_memory");
        let reason = format!("no memory for an answer of {expected} bytes");
        let refusal = RequestRefusal::new(ResultCode::Overloaded, reason);
        refusal.retry_after(caller_retry_delay(shared, identified, Some(STALE_RETRY_AFTER)))
    })?;
    let remaining = call.deadline.until(shared.clock.now());
    let organisation = identified.organisation.as_ref();
    let regions = RegionRule {
        route: &identified.route.regions,
        organisation: organisation.map_or(&[], |organisation| &organisation.regions),
    };
    let mut dispatch = RequestDispatch::new(shared, call, identified.route.attempts_max, regions);
    let ended = timeout(remaining, dispatch.run()).await;
    trace.sends = dispatch.sends;
    trace.instance = dispatch.instance.clone();
    let succeeded = matches!(&ended, Ok(DispatchOutcome::Answered(answer)) if answer.is_success());
    if let Some(parent) = &identified.parent {
        parent.call_ended(&dispatch.costs, succeeded);
    }
    if identified.rank.is_root && !dispatch.costs.is_empty() {
        let mut admission = shared.root_admission.lock().expect("lock not poisoned");
        admission.observe_cost(&identified.route.name, &dispatch.costs, succeeded);
    }
    if identified.rank.is_root && counts_for_success(&ended) {
        let mut success = shared.route_success.lock().expect("lock not poisoned");
        success.observe(shared.clock.now(), &identified.route.name, succeeded);
    }
    match ended {
        Ok(DispatchOutcome::Answered(answer)) => {
            shared.answer_sizes.observe(route, &path, answer.body.len());
            Ok(answer)
        }
        Ok(DispatchOutcome::NotRun { cause, capacity_in }) => {
            Err(not_run_refusal(shared, identified, cause, capacity_in))
        }
        Ok(DispatchOutcome::Unknown(UnknownCause::TooLarge)) => {
            Err(RequestRefusal::new(ResultCode::AnswerTooLarge, ""))
        }
        Ok(DispatchOutcome::Unknown(cause)) => {
            Err(RequestRefusal::new(ResultCode::AnswerMissing, format!("{cause:?}")))
        }
        Err(_) if dispatch.may_have_run() => {
            Err(RequestRefusal::new(ResultCode::AnswerLate, "deadline"))
        }
        Err(_) => {
            Err(RequestRefusal::new(ResultCode::Overloaded, "deadline expired before it was sent"))
        }
    }
}

/// Whether the outcome counts for the success fraction of the route.
fn counts_for_success(ended: &Result<DispatchOutcome, Elapsed>) -> bool {
    match ended {
        Ok(DispatchOutcome::NotRun { cause, .. }) => {
            matches!(cause, NotRunCause::BackendRefused | NotRunCause::RetryBudget)
        }
        Ok(_) | Err(_) => true,
    }
}

fn not_run_refusal(
    shared: &SidecarShared,
    identified: &IdentifiedRequest,
    cause: NotRunCause,
    capacity_in: Option<Duration>,
) -> RequestRefusal {
    let code = match cause {
        NotRunCause::Held => return held_refusal(capacity_in.unwrap_or_default()),
        NotRunCause::NoBackend | NotRunCause::Unreachable => ResultCode::NoUpstream,
        NotRunCause::TooLate => ResultCode::Overloaded,
        NotRunCause::BackendRefused | NotRunCause::RetryBudget => ResultCode::BackendRefused,
    };
    let refusal = RequestRefusal::new(code, format!("{cause:?}"));
    refusal.retry_after(caller_retry_delay(shared, identified, capacity_in))
}
