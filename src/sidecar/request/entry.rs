//! Serves a request of a caller, or a call of the backend server beside this daemon.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response};
use serde::Serialize;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use super::context::{BackendAnswer, CallContext, ForwardRequest, NotRunCause};
use super::dispatch::{DispatchEnd, RequestDispatch};
use super::response::{RequestRefusal, answer_response, refusal_response};
use crate::clock::MilliTime;
use crate::error::ResultCode;
use crate::policy::caller_retry::retry_delay;
use crate::policy::request_rank::RequestRank;
use crate::policy::root_admission::{RootDecision, RootGroup};
use crate::policy::route_success::RECOVERY_TIME;
use crate::request::header::{end_to_end, parse_number};
use crate::sidecar::connection::backend_pool::list_headers;
use crate::sidecar::process::backend_door::{DoorCall, RunNotes};
use crate::sidecar::process::decision_log::LineWeight;
use crate::sidecar::process::fleet_metrics::EndedRequest;
use crate::sidecar::process::sidecar_shared::SidecarShared;
use crate::sidecar::version::fleet_config::{FleetConfig, FleetOrganisation, FleetRoute};

/// When a caller should come back to a daemon that has no proof of its configuration.
const EVIDENCE_ROOM: Duration = Duration::from_millis(500);

/// Priorities of routes that are told apart.
const ROUTE_PRIORITIES: u8 = 15;

/// What is known of a request for its log line and metrics, filled in as it is found out.
struct RequestTrace<'a> {
    shared: &'a SidecarShared,
    started: MilliTime,
    request: Arc<str>,
    root: Option<Arc<str>>,
    route: Option<Arc<str>>,
    service: Option<Arc<str>>,
    organisation: Option<Arc<str>>,
    instance: Option<Arc<str>>,
    rank: RequestRank,
    version: u64,
    sends: u32,
    /// How long the caller said that it waits.
    stated: Option<Duration>,
    is_return: bool,
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
    fn new(shared: &'a SidecarShared, request: Arc<str>) -> Self {
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
            stated: None,
            is_return: false,
            is_ended: false,
        }
    }

    fn end(
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
        let weight = if is_routine { LineWeight::Routine } else { LineWeight::Failure };
        let event = if is_routine { "request" } else { "request-failed" };
        let age = self.shared.evidence_age();
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
            deadline_ms: self.stated.map(|stated| stated.as_millis() as u64),
            is_return: self.is_return,
            config_version: self.version,
            evidence_age_ms: age.map(|age| age.as_millis() as u64),
            retry_after_ms: refusal
                .and_then(|refusal| refusal.retry_after)
                .map(|wait| wait.as_millis() as u64),
            elapsed_ms: elapsed.as_millis() as u64,
        };
        self.shared.log.write(weight, event, &line);
    }
}

impl Drop for RequestTrace<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end("abandoned", None, None);
        }
    }
}

/// Serves one request.
pub(crate) async fn serve_request(
    shared: Arc<SidecarShared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let id_header = &shared.dialect.headers().request_id;
    let id = request.headers().get(id_header).and_then(|id| id.to_str().ok()).unwrap_or("");
    let mut trace = RequestTrace::new(&shared, id.into());
    let mut response = match handle(&shared, request, &mut trace).await {
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
            refusal_response(&refusal)
        }
    };
    if shared.stop.is_raised() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A request whose route and caller are known.
struct AdmittedRequest {
    route: Arc<FleetRoute>,
    organisation: Option<Arc<FleetOrganisation>>,
    parent: Option<Arc<RunNotes>>,
    deadline: MilliTime,
    rank: RequestRank,
    /// Its caller was refused before.
    is_return: bool,
}

async fn handle(
    shared: &Arc<SidecarShared>,
    request: Request<Incoming>,
    trace: &mut RequestTrace<'_>,
) -> Result<BackendAnswer, RequestRefusal> {
    if trace.request.is_empty() {
        return Err(RequestRefusal::new(ResultCode::RequestMalformed, "no request id"));
    }
    let config = shared.config().ok_or_else(|| {
        RequestRefusal::new(ResultCode::NotReady, "no configuration yet").retry_after(EVIDENCE_ROOM)
    })?;
    trace.version = config.version;
    let admitted = identify(shared, &config, &request, trace)?;
    let (parts, body) = request.into_parts();
    let body = read_body(body, config.limits.body_bytes).await?;
    if let Some(organisation) = &admitted.organisation {
        check_quota(shared, organisation, &admitted).await?;
    }
    if admitted.rank.is_root {
        admit_root(shared, &admitted)?;
    }
    let service = choose_service(shared, &admitted.route);
    trace.service = Some(service.clone());
    let context = CallContext {
        request_id: trace.request.clone(),
        root_id: trace.root.clone().unwrap_or_else(|| trace.request.clone()),
        organisation: admitted.organisation.as_ref().map(|found| found.name.clone()),
        rank: admitted.rank,
        caller_service: shared.settings.service.clone(),
        service,
        is_repeat: admitted.parent.as_ref().is_some_and(|parent| parent.context.is_repeat),
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let forward = ForwardRequest {
        method: parts.method.as_str().to_owned(),
        path: path.to_owned(),
        headers: forward_headers(shared, &parts.headers, &body),
        body,
    };
    let due = match &admitted.parent {
        Some(parent) => parent.due,
        None => {
            let target = admitted.route.target_latency.min(admitted.route.timeout);
            trace.started + target
        }
    };
    let mut call = DoorCall {
        context,
        request: forward,
        accepted: trace.started,
        deadline: admitted.deadline,
        due,
        runs_once: !admitted.route.is_idempotent,
    };
    dispatch(shared, &admitted, &mut call, trace).await
}

/// Finds route, organisation, parent and deadline of a request.
fn identify(
    shared: &SidecarShared,
    config: &FleetConfig,
    request: &Request<Incoming>,
    trace: &mut RequestTrace<'_>,
) -> Result<AdmittedRequest, RequestRefusal> {
    let names = shared.dialect.headers();
    let host = host_of(request);
    let route = config.route(host, request.uri().path());
    let route = route
        .ok_or_else(|| RequestRefusal::new(ResultCode::RouteUnknown, format!("host {host}")))?;
    trace.route = Some(route.name.clone());
    let stated: Option<u64> = parse_number(request.headers(), &names.deadline_millis);
    let stated = stated.map_or(route.timeout, Duration::from_millis);
    trace.stated = Some(stated);
    let deadline = trace.started + stated.min(route.timeout);
    let organisation = match route.is_open {
        true => None,
        false => Some(authenticate(shared, config, request.headers())?),
    };
    trace.organisation = organisation.as_ref().map(|found| found.name.clone());
    let parent = match route.is_open {
        true => shared.door.parent(&trace.request, trace.started + stated),
        false => None,
    };
    let rank = match (&parent, &organisation) {
        (Some(parent), _) => RequestRank::call(parent.context.rank.priority),
        // A call whose parent is not found is still work of a run under way.
        (None, None) => RequestRank::call(priority(route, None)),
        (None, Some(found)) => RequestRank::root(priority(route, Some(found))),
    };
    let is_return = rank.is_root && {
        let mut returns = shared.returns.lock().expect("no holder panics");
        returns.is_retry(&route.name, stated)
    };
    trace.is_return = is_return;
    trace.root = parent.as_ref().map(|parent| parent.context.root_id.clone());
    trace.rank = rank;
    let route = route.clone();
    Ok(AdmittedRequest { route, organisation, parent, deadline, rank, is_return })
}

/// The priority of the organisation goes before that of the route, which orders requests of
/// organisations with equal priority.
fn priority(route: &FleetRoute, organisation: Option<&Arc<FleetOrganisation>>) -> u8 {
    let first = organisation.and_then(|found| found.priority).unwrap_or(0);
    first.min(ROUTE_PRIORITIES).saturating_mul(ROUTE_PRIORITIES)
        + route.priority.min(ROUTE_PRIORITIES - 1)
}

fn host_of(request: &Request<Incoming>) -> &str {
    let header = request.headers().get(HOST).and_then(|host| host.to_str().ok());
    let host = header.or_else(|| request.uri().host()).unwrap_or("");
    host.split(':').next().unwrap_or("")
}

/// The organisation whose key came with a request. Without proof that no newer configuration
/// withdrew the key nothing is promised in its name.
fn authenticate(
    shared: &SidecarShared,
    config: &FleetConfig,
    headers: &HeaderMap,
) -> Result<Arc<FleetOrganisation>, RequestRefusal> {
    if !shared.trusts_keys() {
        let refusal = RequestRefusal::new(ResultCode::StateStale, "no recent proof from the store");
        return Err(refusal.retry_after(EVIDENCE_ROOM));
    }
    let names = shared.dialect.headers();
    let shown = headers.get(&names.key).and_then(|value| value.to_str().ok());
    let key = shown.and_then(|value| value.strip_prefix(names.key_prefix));
    let key = key.ok_or_else(|| RequestRefusal::new(ResultCode::KeyMissing, ""))?;
    let owner = config.key_owner(key);
    owner.cloned().ok_or_else(|| RequestRefusal::new(ResultCode::KeyUnknown, ""))
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, RequestRefusal> {
    let body = Limited::new(body, limit).collect().await;
    let body = body.map_err(|error| match error.is::<LengthLimitError>() {
        true => RequestRefusal::new(ResultCode::BodyTooLarge, ""),
        false => RequestRefusal::new(ResultCode::RequestMalformed, error.to_string()),
    })?;
    Ok(body.to_bytes())
}

async fn check_quota(
    shared: &SidecarShared,
    organisation: &FleetOrganisation,
    admitted: &AdmittedRequest,
) -> Result<(), RequestRefusal> {
    if shared.quota.admit(shared, organisation).await {
        return Ok(());
    }
    let reason = shared.quota.explain(organisation);
    let refusal = RequestRefusal::new(ResultCode::RateExceeded, reason);
    Err(refusal.retry_after(return_time(shared, admitted, None)))
}

/// Admits a root if its run has prospects and the services that it will reach have room.
fn admit_root(shared: &SidecarShared, admitted: &AdmittedRequest) -> Result<(), RequestRefusal> {
    let now = shared.clock.now();
    let failing = match admitted.is_return {
        true => None,
        false => {
            let mut success = shared.success.lock().expect("no holder panics");
            success.refuse(now, &admitted.route.name, rand::random::<f64>())
        }
    };
    if let Some(part) = failing {
        let reason = format!("of late {:.0}% of the runs succeed", part * 100.0);
        return Err(refuse_root(shared, admitted, reason, Some(RECOVERY_TIME)));
    }
    let (group, draw) = (root_group(admitted), rand::random::<f64>());
    let mut admission = shared.admission.lock().expect("no holder panics");
    let verdict = admission.admit(now, &group, admitted.is_return, draw);
    drop(admission);
    let RootDecision::Refuse { service, fraction } = verdict else {
        return Ok(());
    };
    let kind = if admitted.is_return { "returns" } else { "first tries" };
    let reason = format!("{service} is full: {:.0}% of the {kind} are admitted", fraction * 100.0);
    Err(refuse_root(shared, admitted, reason, None))
}

fn refuse_root(
    shared: &SidecarShared,
    admitted: &AdmittedRequest,
    reason: String,
    room_in: Option<Duration>,
) -> RequestRefusal {
    if let Some(organisation) = &admitted.organisation {
        shared.quota.hand_back(organisation);
    }
    let refusal = RequestRefusal::new(ResultCode::Overloaded, reason);
    refusal.retry_after(return_time(shared, admitted, room_in))
}

fn root_group(admitted: &AdmittedRequest) -> RootGroup {
    RootGroup { route: admitted.route.name.clone(), priority: admitted.rank.priority }
}

fn return_time(
    shared: &SidecarShared,
    admitted: &AdmittedRequest,
    room_in: Option<Duration>,
) -> Duration {
    let remaining = admitted.deadline.until(shared.clock.now());
    retry_delay(remaining, room_in, rand::random::<f64>())
}

fn choose_service(shared: &SidecarShared, route: &FleetRoute) -> Arc<str> {
    let [only] = &route.destinations[..] else {
        let weights: Vec<u32> = route.destinations.iter().map(|part| part.weight).collect();
        let mut split = shared.split.lock().expect("no holder panics");
        return route.destinations[split.choose(&route.name, &weights)].service.clone();
    };
    only.service.clone()
}

/// The headers that a backend server gets as the caller sent them.
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
    list_headers(&kept, body)
}

async fn dispatch(
    shared: &Arc<SidecarShared>,
    admitted: &AdmittedRequest,
    call: &mut DoorCall,
    trace: &mut RequestTrace<'_>,
) -> Result<BackendAnswer, RequestRefusal> {
    let remaining = call.deadline.until(shared.clock.now());
    let service = call.context.service.clone();
    let mut dispatch = RequestDispatch::new(shared, call, admitted.route.attempts_max);
    let ended = timeout(remaining, dispatch.run()).await;
    trace.sends = dispatch.sends;
    trace.instance = dispatch.instance.clone();
    let succeeded = matches!(&ended, Ok(DispatchEnd::Answered(answer)) if answer.is_success());
    if let Some(parent) = &admitted.parent {
        parent.call_ended(&dispatch.costs, succeeded);
    }
    if admitted.rank.is_root && !dispatch.costs.is_empty() {
        let mut admission = shared.admission.lock().expect("no holder panics");
        admission.observe_cost(&root_group(admitted), &dispatch.costs);
    }
    if admitted.rank.is_root && was_tried(&ended) {
        let mut success = shared.success.lock().expect("no holder panics");
        success.observe(shared.clock.now(), &admitted.route.name, succeeded);
    }
    match ended {
        Ok(DispatchEnd::Answered(answer)) => Ok(answer),
        Ok(DispatchEnd::NotRun { cause, room_in }) => {
            Err(not_run(shared, admitted, &service, cause, room_in))
        }
        Ok(DispatchEnd::Unknown(cause)) => {
            Err(RequestRefusal::new(ResultCode::AnswerMissing, format!("{cause:?}")))
        }
        Err(_) if dispatch.may_have_run() => {
            Err(RequestRefusal::new(ResultCode::AnswerLate, "deadline"))
        }
        Err(_) => Err(RequestRefusal::new(ResultCode::Overloaded, "deadline before it was sent")),
    }
}

/// Whether the end of a request says how its backend servers fare.
fn was_tried(ended: &Result<DispatchEnd, Elapsed>) -> bool {
    match ended {
        Ok(DispatchEnd::NotRun { cause, .. }) => *cause == NotRunCause::BackendRefused,
        Ok(_) | Err(_) => true,
    }
}

fn not_run(
    shared: &SidecarShared,
    admitted: &AdmittedRequest,
    service: &str,
    cause: NotRunCause,
    room_in: Option<Duration>,
) -> RequestRefusal {
    let code = match cause {
        NotRunCause::NoBackend | NotRunCause::Unreachable => ResultCode::NoUpstream,
        NotRunCause::TooLate => ResultCode::Overloaded,
        NotRunCause::BackendRefused => ResultCode::BackendRefused,
    };
    let mut reason = format!("{cause:?}");
    if cause == NotRunCause::BackendRefused {
        let share = shared.retries.lock().expect("no holder panics").eligible_fraction(service);
        reason += &format!(", retries for {:.0}% of the roots", share * 100.0);
    }
    let refusal = RequestRefusal::new(code, reason);
    refusal.retry_after(return_time(shared, admitted, room_in))
}
