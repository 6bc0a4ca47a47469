//! An upstream beside a daemon, which announces itself, runs requests and makes sub-calls.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::answer_faults::AnswerFaults;
use super::connection::serve_connection;
use super::{
    COLD_MILLIS, DEADLINE_MILLIS, HEALTH_PATH, HOST, INSTANCE, LEAVING, LIMIT, NOT_EXECUTED,
    ORGANISATION, REQUEST_ID, SIGNATURE, TARGET,
};
use crate::http::{HttpClient, ReceivedRequest, ServerReply, exchange, http_client, serve_streams};

/// A request whose path contains this ends the upstream that runs it, unless its deadline comes first.
pub const DEADLY_PATH: &str = "deadly";
/// Execution time of such a request until the upstream ends.
const DEADLY_TIME: Duration = Duration::from_millis(30);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Later acknowledgements are ignored.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Its service.
    pub service: String,
    /// Execution time without the sub-calls.
    pub service_time: Duration,
    /// Paths of the sub-calls of each run, made sequentially.
    pub calls: Vec<String>,
    /// The address at which daemons reach it, which it announces.
    pub announced: SocketAddr,
    /// The daemon's listener for sub-calls.
    pub outbound: SocketAddr,
    /// The daemon's listener for announcements.
    pub control: SocketAddr,
    /// What goes wrong with its answers; may be shared by upstreams that follow each other.
    pub answer_faults: Arc<AnswerFaults>,
}

/// One run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRun {
    /// The path of the request.
    pub path: String,
    /// The request id that the caller assigned.
    pub request_id: String,
    /// The upstream's service.
    pub service: String,
    /// The instance id of the upstream.
    pub instance: String,
    /// The organisation according to the daemon, empty if there is none.
    pub organisation: String,
    /// Whether the daemon forwarded the caller's key.
    pub has_key: bool,
}

/// What an upstream states about itself in an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamStatement {
    /// The instance id of the upstream.
    pub instance: String,
    /// The requests per second that it takes.
    pub limit: Option<f64>,
    /// Whether it leaves.
    pub is_leaving: bool,
}

impl UpstreamStatement {
    /// Decodes the head of an answer; `None` if no upstream signed it.
    pub fn decode(headers: &HeaderMap) -> Option<Self> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        Some(UpstreamStatement {
            instance: text(SIGNATURE)?.to_owned(),
            limit: text(LIMIT).and_then(|limit| limit.parse().ok()),
            is_leaving: text(LEAVING) == Some("1"),
        })
    }
}

/// Receives the events of upstreams.
pub trait UpstreamObserver: Send + Sync {
    /// A request starts to run.
    fn started(&self, run: &UpstreamRun);
    /// An upstream ended under a request.
    fn crashed(&self, instance: &str);
    /// The daemon acknowledged that an upstream leaves.
    fn leave_acknowledged(&self, instance: &str);
    /// An upstream states a limit, or no longer does.
    fn limit_changed(&self, instance: &str, limit: Option<f64>);
    /// The daemon beside an upstream passed on the answer to one of its sub-calls.
    fn statement_received(&self, receiver: &str, statement: &UpstreamStatement);
}

struct UpstreamState {
    plan: UpstreamPlan,
    instance: String,
    observer: Arc<dyn UpstreamObserver>,
    client: HttpClient,
    is_draining: AtomicBool,
    /// Whether it sends no heartbeats of its own accord.
    is_silent: AtomicBool,
    /// Whether answers tell of a leave that is not announced.
    tells_leave: AtomicBool,
    limit: Mutex<Option<f64>>,
    /// Until when it is cold.
    cold_until: Mutex<Option<Instant>>,
    /// Notified when a request ends the upstream.
    crash: Notify,
    sequence: AtomicU64,
    calls: AtomicU64,
    started_ms: u64,
}

/// A running upstream, stopped on drop.
pub struct UpstreamServer {
    address: SocketAddr,
    state: Arc<UpstreamState>,
    tasks: Arc<Mutex<JoinSet<()>>>,
    _crash_watch: JoinSet<()>,
}

impl UpstreamServer {
    /// Starts an upstream at `address` with the id `instance`.
    ///
    /// # Errors
    /// The I/O error if `address` cannot be bound.
    pub async fn start(
        address: SocketAddr,
        instance: String,
        plan: UpstreamPlan,
        observer: Arc<dyn UpstreamObserver>,
    ) -> std::io::Result<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let state = Arc::new(UpstreamState {
            plan,
            instance,
            observer,
            client: http_client(),
            is_draining: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            tells_leave: AtomicBool::new(false),
            limit: Mutex::new(None),
            cold_until: Mutex::new(None),
            crash: Notify::new(),
            sequence: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            started_ms: since_epoch.expect("the clock is past the Unix epoch").as_millis() as u64,
        });
        let shared = state.clone();
        let (address, mut tasks) = serve_streams(address, move |stream| {
            let state = shared.clone();
            let faults = state.plan.answer_faults.clone();
            serve_connection(stream, faults, move |request| run_request(state.clone(), request))
        })
        .await?;
        tasks.spawn(send_heartbeats(state.clone()));
        let tasks = Arc::new(Mutex::new(tasks));
        let mut crash_watch = JoinSet::new();
        crash_watch.spawn(end_on_crash(state.clone(), tasks.clone()));
        Ok(UpstreamServer { address, state, tasks, _crash_watch: crash_watch })
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// States in its answers how many requests per second it takes; `None` ends the limit.
    pub fn set_limit(&self, limit: Option<f64>) {
        *self.state.limit.lock().expect("lock not poisoned") = limit;
        self.state.observer.limit_changed(&self.state.instance, limit);
    }

    /// Becomes cold for `span`, as heartbeats and answers to health checks tell.
    pub fn become_cold(&self, span: Duration) {
        *self.state.cold_until.lock().expect("lock not poisoned") = Some(Instant::now() + span);
    }

    /// Says in its answers that it leaves, while its heartbeats are late and still say "ready".
    pub fn tell_leave(&self) {
        self.state.tells_leave.store(true, Ordering::SeqCst);
    }

    /// Sends no more heartbeats; returns its announcements to the daemon, which outlast it.
    pub fn take_announcements(&self) -> UpstreamAnnouncer {
        self.state.is_silent.store(true, Ordering::SeqCst);
        UpstreamAnnouncer { state: self.state.clone() }
    }

    /// Announces that it drains, while it continues to serve requests.
    pub fn drain(&self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
        let state = self.state.clone();
        let heartbeat = async move {
            send_heartbeat(&state).await;
        };
        self.tasks.lock().expect("lock not poisoned").spawn(heartbeat);
    }
}

/// The announcements of an upstream that sends no heartbeats by itself.
pub struct UpstreamAnnouncer {
    state: Arc<UpstreamState>,
}

/// A heartbeat that was sent and has not arrived.
pub struct HeldHeartbeat {
    body: String,
}

impl UpstreamAnnouncer {
    /// Sends a heartbeat that arrives only when it is delivered.
    pub fn hold_heartbeat(&self) -> HeldHeartbeat {
        HeldHeartbeat { body: heartbeat_body(&self.state) }
    }

    /// Has a heartbeat arrive.
    pub async fn deliver(&self, heartbeat: HeldHeartbeat) {
        // It is late in any case.
        let _ = announce(&self.state, Method::PUT, heartbeat.body).await;
    }

    /// Says that the upstream is gone, while it continues to serve requests; whether that was
    /// acknowledged.
    pub async fn leave(&self) -> bool {
        let is_acknowledged = announce(&self.state, Method::DELETE, String::new()).await;
        if is_acknowledged {
            self.state.observer.leave_acknowledged(&self.state.instance);
        }
        is_acknowledged
    }
}

/// Closes the listener and all connections once a request ends the upstream.
async fn end_on_crash(state: Arc<UpstreamState>, tasks: Arc<Mutex<JoinSet<()>>>) {
    state.crash.notified().await;
    // Recorded before a client can notice it.
    state.observer.crashed(&state.instance);
    tasks.lock().expect("lock not poisoned").abort_all();
}

async fn send_heartbeats(state: Arc<UpstreamState>) {
    loop {
        if !state.is_silent.load(Ordering::SeqCst) {
            send_heartbeat(&state).await;
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn send_heartbeat(state: &UpstreamState) {
    let is_draining = state.is_draining.load(Ordering::SeqCst);
    // A failed heartbeat is not retried; the next one follows.
    let is_acknowledged = announce(state, Method::PUT, heartbeat_body(state)).await;
    if is_draining && is_acknowledged {
        state.observer.leave_acknowledged(&state.instance);
    }
}

fn heartbeat_body(state: &UpstreamState) -> String {
    let is_draining = state.is_draining.load(Ordering::SeqCst);
    let phase = if is_draining { "draining" } else { "ready" };
    let sequence = state.sequence.fetch_add(1, Ordering::SeqCst);
    let cold = state.cold_remaining().as_secs_f64();
    let body = json!({"address": state.plan.announced.to_string(), "born": state.started_ms,
        "info": {"service": state.plan.service, "version": "v1", "zone": "zone", "slots": 16},
        "status": {"phase": phase, "sequence": sequence, "cold_remaining_s": cold}});
    body.to_string()
}

impl UpstreamState {
    fn cold_remaining(&self) -> Duration {
        let until = *self.cold_until.lock().expect("lock not poisoned");
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }
}

fn build_health(state: &UpstreamState) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if state.is_draining.load(Ordering::SeqCst) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    let headers = response.headers_mut();
    headers.insert(INSTANCE, state.instance.parse().expect("an id is a valid header value"));
    headers.insert(COLD_MILLIS, HeaderValue::from(state.cold_remaining().as_millis() as u64));
    response
}

/// Sends an announcement to the daemon; whether it was acknowledged.
async fn announce(state: &UpstreamState, method: Method, body: String) -> bool {
    let uri = format!("http://{}/api/instances/{}", state.plan.control, state.instance);
    let request = Request::builder().method(method).uri(uri).body(Full::new(Bytes::from(body)));
    let request = request.expect("the address and path form a valid URI");
    let answer = timeout(ACKNOWLEDGEMENT_TIMEOUT, exchange(&state.client, request)).await;
    matches!(answer, Ok(Ok((StatusCode::OK, ..))))
}

async fn run_request(state: Arc<UpstreamState>, request: ReceivedRequest) -> ServerReply {
    if request.path == HEALTH_PATH {
        return ServerReply::Send(build_health(&state));
    }
    let id = request.header(REQUEST_ID).to_owned();
    if request.header(TARGET) != state.instance {
        return ServerReply::Send(build_response(
            StatusCode::MISDIRECTED_REQUEST,
            &id,
            String::new(),
        ));
    }
    if state.plan.answer_faults.draw_refusal() {
        return ServerReply::Send(build_refusal(&id));
    }
    state.observer.started(&UpstreamRun {
        path: request.path.clone(),
        request_id: id.clone(),
        service: state.plan.service.clone(),
        instance: state.instance.clone(),
        organisation: request.header(ORGANISATION).to_owned(),
        has_key: request.headers.contains_key("authorization"),
    });
    if request.path.contains(DEADLY_PATH) {
        let remaining = request.header(DEADLINE_MILLIS).parse().map(Duration::from_millis);
        if let Some(remaining) = remaining.ok().filter(|remaining| *remaining < DEADLY_TIME) {
            sleep(remaining).await;
            let late = build_response(StatusCode::GATEWAY_TIMEOUT, &id, String::new());
            return ServerReply::Send(sign(&state, late));
        }
        sleep(DEADLY_TIME).await;
        state.crash.notify_one();
        return std::future::pending().await;
    }
    sleep(state.plan.service_time).await;
    for path in &state.plan.calls {
        if !send_sub_call(&state, &id, path, request.header(DEADLINE_MILLIS)).await {
            let failed = build_response(StatusCode::INTERNAL_SERVER_ERROR, &id, String::new());
            return ServerReply::Send(sign(&state, failed));
        }
    }
    let answer = build_response(StatusCode::OK, &id, format!("{id}@{}", state.instance));
    ServerReply::Send(sign(&state, answer))
}

/// Adds the signature and what the upstream states about itself.
fn sign(state: &UpstreamState, mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    let headers = answer.headers_mut();
    let text = |text: &str| text.parse().expect("the text is a valid header value");
    headers.insert(SIGNATURE, text(&state.instance));
    if let Some(limit) = *state.limit.lock().expect("lock not poisoned") {
        headers.insert(LIMIT, text(&limit.to_string()));
    }
    let is_leaving = [&state.is_draining, &state.tells_leave];
    if is_leaving.iter().any(|flag| flag.load(Ordering::SeqCst)) {
        headers.insert(LEAVING, text("1"));
    }
    answer
}

fn build_refusal(id: &str) -> Response<Full<Bytes>> {
    let mut refusal =
        build_response(StatusCode::SERVICE_UNAVAILABLE, id, "no free slot".to_owned());
    refusal.headers_mut().insert(NOT_EXECUTED, HeaderValue::from_static("1"));
    refusal
}

fn build_response(status: StatusCode, id: &str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    if let Ok(id) = id.parse() {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Sends a sub-call of a run through the local daemon; whether it succeeded.
async fn send_sub_call(
    state: &UpstreamState,
    parent_id: &str,
    path: &str,
    deadline_millis: &str,
) -> bool {
    let number = state.calls.fetch_add(1, Ordering::SeqCst);
    let request = Request::get(format!("http://{}{path}", state.plan.outbound))
        .header("host", HOST)
        .header(REQUEST_ID, format!("{parent_id}.{}-{number}", state.instance))
        .header(DEADLINE_MILLIS, deadline_millis)
        .body(Full::default());
    let request = request.expect("the address and path form a valid URI");
    let Ok((status, headers, _)) = exchange(&state.client, request).await else {
        return false;
    };
    if let Some(statement) = UpstreamStatement::decode(&headers) {
        state.observer.statement_received(&state.instance, &statement);
    }
    status == StatusCode::OK
}
