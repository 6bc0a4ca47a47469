//! A backend server: slots, service time, sub-calls, cancellation and faults on command.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{AbortHandle, JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::http::{
    HttpClient, ReceivedRequest, ServerReply, exchange, http_client, json_response, serve,
};

const HEADER_TEXT_LIMIT: usize = 64 * 1024;
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("lentilway-attempt");
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("lentilway-not-run");

/// How the server answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// Whole and right.
    #[default]
    None,
    /// With another attempt's identity.
    Crossed,
    /// With fewer bytes than announced.
    Truncated,
    /// The connection is reset after the work is done.
    Reset,
    /// A refusal that says that nothing ran.
    Refused,
    /// An internal error after the work is done.
    Failed,
}

/// A sub-call that each execution makes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubCall {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
}

/// What the server does; replaced as a whole on command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendBehaviour {
    /// Executions at a time; more wait.
    pub slots: usize,
    /// Mean time of one execution.
    pub service_ms: f64,
    /// Whether the time is drawn from an exponential distribution instead of being fixed.
    pub exponential: bool,
    /// Executions that may wait for a slot before the server refuses.
    pub queue: usize,
    /// Executions slow down by this factor.
    pub slow_factor: f64,
    /// How answers go wrong.
    pub answer: AnswerFault,
    /// The next so many answers go wrong; none means all.
    pub answer_fault_count: Option<u32>,
    /// Sub-calls of each execution, one after another.
    pub sub_calls: Vec<SubCall>,
    /// Whether the sub-calls are sent at once instead.
    pub parallel: bool,
    /// Whether the server sends the handle with its sub-calls.
    pub send_handle: bool,
    /// What the health endpoint says.
    pub healthy: bool,
    /// What the load endpoint says.
    pub stated_load: f64,
    /// Bytes added to each answer.
    pub padding_bytes: usize,
    /// For this long after its start, executions are slower by the cold factor.
    pub cold_ms: u64,
    /// The factor while the server is cold.
    pub cold_factor: f64,
}

impl Default for BackendBehaviour {
    fn default() -> Self {
        BackendBehaviour {
            slots: 16,
            service_ms: 1.0,
            exponential: false,
            queue: 1000,
            slow_factor: 1.0,
            answer: AnswerFault::None,
            answer_fault_count: None,
            sub_calls: Vec::new(),
            parallel: false,
            send_handle: true,
            healthy: true,
            stated_load: 0.0,
            padding_bytes: 0,
            cold_ms: 0,
            cold_factor: 1.0,
        }
    }
}

/// What the server has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounts {
    /// Executions started.
    pub executions: u64,
    /// Answers given, whole or not.
    pub answers: u64,
    /// Executions cancelled before their end.
    pub cancelled: u64,
    /// Requests refused without running.
    pub refused: u64,
    /// Executions by idempotency key.
    pub by_key: BTreeMap<String, u64>,
    /// Executions by the body of the request, for tests that tell requests apart by it.
    pub by_body: BTreeMap<String, u64>,
    /// Paths, queries and headers seen, to look for keys that should not be there.
    pub header_text: String,
}

struct BackendState {
    service: String,
    slot_url: String,
    behaviour: Mutex<BackendBehaviour>,
    slots: Mutex<Arc<Semaphore>>,
    waiting: AtomicU64,
    counts: Mutex<BackendCounts>,
    attempts: Mutex<HashMap<String, AbortHandle>>,
    last_attempt: Mutex<String>,
    draining: AtomicBool,
    executed: Notify,
    started: Instant,
    client: HttpClient,
}

/// A running backend server.
pub struct BackendServer {
    address: SocketAddr,
    boot: u64,
    state: Arc<BackendState>,
    tasks: JoinSet<()>,
}

impl BackendServer {
    /// Starts a server of `service` whose daemon's slot listener is at `slot`.
    ///
    /// # Errors
    /// The system's reason if the address cannot be opened.
    pub async fn start(
        address: SocketAddr,
        service: &str,
        slot: SocketAddr,
        behaviour: BackendBehaviour,
    ) -> std::io::Result<Self> {
        let state = Arc::new(BackendState {
            service: service.to_string(),
            slot_url: format!("http://{slot}"),
            slots: Mutex::new(Arc::new(Semaphore::new(behaviour.slots))),
            behaviour: Mutex::new(behaviour),
            waiting: AtomicU64::new(0),
            counts: Mutex::default(),
            attempts: Mutex::default(),
            last_attempt: Mutex::default(),
            draining: AtomicBool::new(false),
            executed: Notify::new(),
            started: Instant::now(),
            client: http_client(),
        });
        let shared = state.clone();
        let (address, mut tasks) =
            serve(address, move |request| handle(shared.clone(), request)).await?;
        let boot = rand::rng().random();
        tasks.spawn(keep_announcing(state.clone(), address, boot));
        Ok(BackendServer { address, boot, state, tasks })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number that tells this run apart.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: BackendBehaviour) {
        self.state.set_behaviour(behaviour);
    }

    /// What it does now.
    pub fn behaviour(&self) -> BackendBehaviour {
        self.state.behaviour.lock().expect("no holder panics").clone()
    }

    /// What it has seen.
    pub fn counts(&self) -> BackendCounts {
        self.state.counts.lock().expect("no holder panics").clone()
    }

    /// What it has seen at the time of each call of the result.
    pub fn counts_reader(&self) -> impl Fn() -> BackendCounts + Send + 'static {
        let state = self.state.clone();
        move || state.counts.lock().expect("no holder panics").clone()
    }

    /// Waits until at least `count` executions have started.
    pub async fn wait_executions(&self, count: u64) {
        loop {
            let executed = self.state.executed.notified();
            if self.counts().executions >= count {
                return;
            }
            executed.await;
        }
    }

    /// Stops announcing, tells the daemon and refuses new work.
    pub async fn leave(&self) {
        self.state.draining.store(true, Ordering::Release);
        post(&self.state, "/lentilway/leave", Value::Null).await;
    }

    /// Stops announcing and refuses new work, and the message to the daemon is lost.
    pub fn leave_without_notice(&self) {
        self.state.draining.store(true, Ordering::Release);
    }

    /// Stops at once, as a killed process would.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.tasks.abort_all();
        let attempts = self.state.attempts.lock().expect("no holder panics");
        attempts.values().for_each(AbortHandle::abort);
    }
}

impl BackendState {
    fn set_behaviour(&self, behaviour: BackendBehaviour) {
        let mut current = self.behaviour.lock().expect("no holder panics");
        if current.slots != behaviour.slots {
            *self.slots.lock().expect("no holder panics") =
                Arc::new(Semaphore::new(behaviour.slots));
        }
        *current = behaviour;
    }

    fn count(&self, change: impl FnOnce(&mut BackendCounts)) {
        change(&mut self.counts.lock().expect("no holder panics"));
    }

    fn service_time(&self, behaviour: &BackendBehaviour) -> Duration {
        let cold = self.started.elapsed() < Duration::from_millis(behaviour.cold_ms);
        let cold = if cold { behaviour.cold_factor } else { 1.0 };
        let draw: f64 = match behaviour.exponential {
            true => -(1.0 - rand::rng().random::<f64>()).ln(),
            false => 1.0,
        };
        let millis = behaviour.service_ms * behaviour.slow_factor * cold * draw;
        Duration::from_secs_f64(millis / 1000.0)
    }

    /// The fault of the next answer.
    fn next_fault(&self) -> AnswerFault {
        let mut behaviour = self.behaviour.lock().expect("no holder panics");
        let fault = behaviour.answer;
        if let Some(count) = &mut behaviour.answer_fault_count {
            if *count == 0 {
                return AnswerFault::None;
            }
            *count -= 1;
        }
        fault
    }
}

async fn keep_announcing(state: Arc<BackendState>, address: SocketAddr, boot: u64) {
    while !state.draining.load(Ordering::Acquire) {
        let body = json!({ "service": state.service, "address": address, "boot": boot });
        post(&state, "/lentilway/announce", body).await;
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn post(state: &BackendState, path: &str, body: Value) {
    let request = Request::post(format!("{}{path}", state.slot_url));
    let request = request.body(Full::new(Bytes::from(body.to_string())));
    if let Ok(request) = request {
        // The daemon may not be there yet; the next announcement tries again.
        let _ = exchange(&state.client, request).await;
    }
}

async fn handle(state: Arc<BackendState>, request: ReceivedRequest) -> ServerReply {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/health") => health(&state),
        ("GET", "/load") => load(&state),
        ("GET", "/control/counts") => {
            let counts = state.counts.lock().expect("no holder panics").clone();
            ServerReply::Send(json_response(StatusCode::OK, &counts))
        }
        ("PUT", "/control/behaviour") => set_behaviour(&state, &request.body),
        ("POST", "/control/leave") => {
            state.draining.store(true, Ordering::Release);
            post(&state, "/lentilway/leave", Value::Null).await;
            ServerReply::Send(json_response(StatusCode::OK, &json!({})))
        }
        ("DELETE", path) if path.starts_with("/lentilway/attempts/") => cancel(&state, path),
        _ => execute(&state, request).await,
    }
}

fn health(state: &BackendState) -> ServerReply {
    let healthy = state.behaviour.lock().expect("no holder panics").healthy;
    let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    ServerReply::Send(json_response(status, &json!({ "healthy": healthy })))
}

fn load(state: &BackendState) -> ServerReply {
    let load = state.behaviour.lock().expect("no holder panics").stated_load;
    ServerReply::Send(json_response(StatusCode::OK, &json!({ "load": load })))
}

fn set_behaviour(state: &BackendState, body: &[u8]) -> ServerReply {
    match serde_json::from_slice(body) {
        Ok(behaviour) => {
            state.set_behaviour(behaviour);
            ServerReply::Send(json_response(StatusCode::OK, &json!({})))
        }
        Err(error) => {
            let body = json!({ "error": error.to_string() });
            ServerReply::Send(json_response(StatusCode::BAD_REQUEST, &body))
        }
    }
}

fn cancel(state: &BackendState, path: &str) -> ServerReply {
    let attempt = path.trim_start_matches("/lentilway/attempts/");
    let running = state.attempts.lock().expect("no holder panics").remove(attempt);
    if let Some(execution) = running {
        execution.abort();
        state.count(|counts| counts.cancelled += 1);
    }
    ServerReply::Send(json_response(StatusCode::OK, &json!({})))
}

async fn execute(state: &Arc<BackendState>, request: ReceivedRequest) -> ServerReply {
    let behaviour = state.behaviour.lock().expect("no holder panics").clone();
    let attempt = request.header("lentilway-attempt").to_string();
    let queued = state.waiting.load(Ordering::Acquire) as usize;
    let refuses = state.draining.load(Ordering::Acquire) || queued > behaviour.queue;
    if refuses || behaviour.answer == AnswerFault::Refused {
        state.count(|counts| counts.refused += 1);
        return refuse(&attempt);
    }
    let result = start(state, behaviour.clone(), attempt.clone(), request.clone()).await;
    match result {
        Ok(subs) => reply(state, &behaviour, &attempt, &request, subs).await,
        // The execution was cancelled.
        Err(_) => ServerReply::Reset,
    }
}

/// Starts an execution; a client that disconnects does not end it, a cancellation does.
fn start(
    state: &Arc<BackendState>,
    behaviour: BackendBehaviour,
    attempt: String,
    request: ReceivedRequest,
) -> JoinHandle<Vec<Value>> {
    // The lock is held until the attempt is entered, so that its end finds it there.
    let mut attempts = state.attempts.lock().expect("no holder panics");
    let shared = state.clone();
    let name = attempt.clone();
    let execution = tokio::spawn(async move {
        let subs = run(&shared, &behaviour, &request).await;
        shared.attempts.lock().expect("no holder panics").remove(&name);
        subs
    });
    attempts.insert(attempt, execution.abort_handle());
    execution
}

/// Counts an execution that waits for a slot, also one that is cancelled there.
struct WaitingCount<'a>(&'a BackendState);

impl<'a> WaitingCount<'a> {
    fn new(state: &'a BackendState) -> Self {
        state.waiting.fetch_add(1, Ordering::AcqRel);
        WaitingCount(state)
    }
}

impl Drop for WaitingCount<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Waits for a slot, works, and makes the sub-calls; returns their statuses and bodies.
async fn run(
    state: &Arc<BackendState>,
    behaviour: &BackendBehaviour,
    request: &ReceivedRequest,
) -> Vec<Value> {
    let waiting = WaitingCount::new(state);
    let slots = state.slots.lock().expect("no holder panics").clone();
    let slot = slots.acquire_owned().await;
    drop(waiting);
    state.count(|counts| count_execution(counts, request));
    state.executed.notify_waiters();
    let service_time = state.service_time(behaviour);
    // A timer would round a time of zero up to its next tick.
    if !service_time.is_zero() {
        sleep(service_time).await;
    }
    drop(slot);
    if behaviour.parallel {
        let sub_calls = behaviour.sub_calls.iter();
        return join_all(sub_calls.map(|call| send_sub_call(state, behaviour, request, call)))
            .await;
    }
    let mut answers = Vec::new();
    for sub_call in &behaviour.sub_calls {
        answers.push(send_sub_call(state, behaviour, request, sub_call).await);
    }
    answers
}

fn count_execution(counts: &mut BackendCounts, request: &ReceivedRequest) {
    counts.executions += 1;
    let key = request.header("idempotency-key");
    if !key.is_empty() {
        *counts.by_key.entry(key.to_string()).or_default() += 1;
    }
    if let Ok(body) = std::str::from_utf8(&request.body)
        && !body.is_empty()
    {
        *counts.by_body.entry(body.to_string()).or_default() += 1;
    }
    if counts.header_text.len() < HEADER_TEXT_LIMIT {
        counts.header_text.push_str(&format!("{}?{}\n", request.path, request.query));
        for (name, value) in &request.headers {
            let value = String::from_utf8_lossy(value.as_bytes());
            counts.header_text.push_str(&format!("{name}: {value}\n"));
        }
    }
}

async fn send_sub_call(
    state: &BackendState,
    behaviour: &BackendBehaviour,
    request: &ReceivedRequest,
    sub_call: &SubCall,
) -> Value {
    let url = format!("{}{}", state.slot_url, sub_call.path);
    let mut outgoing = Request::builder().method(sub_call.method.as_str()).uri(url);
    if behaviour.send_handle {
        outgoing = outgoing.header("lentilway-context", request.header("lentilway-context"));
    }
    let key = request.header("idempotency-key");
    if !key.is_empty() {
        outgoing = outgoing.header("idempotency-key", format!("{key}/{}", sub_call.path));
        let issued = request.header("idempotency-key-issued");
        outgoing = outgoing.header("idempotency-key-issued", issued);
    }
    let Ok(outgoing) = outgoing.body(Full::new(request.body.clone())) else {
        return json!({ "error": "malformed sub-call" });
    };
    match exchange(&state.client, outgoing).await {
        Ok((status, headers, body)) => json!({
            "status": status.as_u16(),
            "result": headers.get("lentilway-result").and_then(|value| value.to_str().ok()),
            "body": serde_json::from_slice::<Value>(&body).unwrap_or(Value::Null),
        }),
        Err(error) => json!({ "error": error }),
    }
}

fn refuse(attempt: &str) -> ServerReply {
    let body = json!({ "error": "refused" });
    let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, &body);
    response.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("true"));
    echo(&mut response, attempt);
    ServerReply::Send(response)
}

fn echo(response: &mut Response<Full<Bytes>>, attempt: &str) {
    if let Ok(value) = HeaderValue::from_str(attempt) {
        response.headers_mut().insert(ATTEMPT_HEADER, value);
    }
}

async fn reply(
    state: &BackendState,
    behaviour: &BackendBehaviour,
    attempt: &str,
    request: &ReceivedRequest,
    sub_calls: Vec<Value>,
) -> ServerReply {
    state.count(|counts| counts.answers += 1);
    let fault = state.next_fault();
    let former = std::mem::replace(
        &mut *state.last_attempt.lock().expect("no holder panics"),
        attempt.to_string(),
    );
    let failed_sub_call = sub_calls.iter().any(|answer| answer["status"] != json!(200));
    let body = json!({
        "service": state.service,
        "path": request.path,
        "echo": String::from_utf8_lossy(&request.body),
        "sub_calls": sub_calls,
        "padding": "x".repeat(behaviour.padding_bytes),
    });
    let status = match failed_sub_call || fault == AnswerFault::Failed {
        true => StatusCode::INTERNAL_SERVER_ERROR,
        false => StatusCode::OK,
    };
    let mut response = json_response(status, &body);
    match fault {
        AnswerFault::Reset => return ServerReply::Reset,
        AnswerFault::Crossed => echo(&mut response, &format!("crossed-{former}")),
        _ => echo(&mut response, attempt),
    }
    if fault == AnswerFault::Truncated {
        let length = HeaderValue::from(body.to_string().len() as u64 + 100);
        response.headers_mut().insert(hyper::header::CONTENT_LENGTH, length);
    }
    ServerReply::Send(response)
}
