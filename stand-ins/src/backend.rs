//! A backend server with slots, a service time, sub-calls, cancellation and injected faults.

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

const HEADER_TEXT_BYTES_LIMIT: usize = 64 * 1024;
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("lentilway-attempt");
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("lentilway-not-run");

/// The fault of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// No fault.
    #[default]
    None,
    /// The answer carries the id of another attempt.
    Crossed,
    /// The body is shorter than `content-length`.
    Truncated,
    /// The connection is reset after the execution.
    Reset,
    /// The request is refused with the header that states that nothing ran.
    Refused,
    /// Status 500 after the execution.
    Failed,
}

/// A sub-call that each execution makes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubCall {
    /// The HTTP method.
    pub method: String,
    /// The path.
    pub path: String,
}

/// Settings of the server, replaced as a whole by `PUT /control/behaviour`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendBehaviour {
    /// Concurrent executions; further ones wait.
    pub slots: usize,
    /// Mean execution time in milliseconds.
    pub service_ms: f64,
    /// Whether execution times are exponentially distributed instead of fixed.
    pub exponential: bool,
    /// The server refuses requests while more executions than this wait for a slot.
    pub queue: usize,
    /// Factor on the execution time.
    pub slow_factor: f64,
    /// The fault of the answers.
    pub answer: AnswerFault,
    /// Number of answers that still get the fault; `None` means all.
    pub answer_fault_count: Option<u32>,
    /// Sub-calls of each execution, sent sequentially by default.
    pub sub_calls: Vec<SubCall>,
    /// Whether the sub-calls are sent concurrently.
    pub parallel: bool,
    /// Whether sub-calls carry the context handle.
    pub send_handle: bool,
    /// Health reported by `/health`.
    pub healthy: bool,
    /// Load reported by `/load`.
    pub stated_load: f64,
    /// Bytes added to each answer.
    pub padding_bytes: usize,
    /// Milliseconds after the start during which `cold_factor` applies.
    pub cold_ms: u64,
    /// Factor on the execution time after a cold start.
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

/// Counters of the server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounts {
    /// Executions started.
    pub executions: u64,
    /// Answers after an execution, faulty ones included.
    pub answers: u64,
    /// Executions cancelled before their end.
    pub cancelled: u64,
    /// Requests refused without running.
    pub refused: u64,
    /// Executions by idempotency key.
    pub by_key: BTreeMap<String, u64>,
    /// Executions by request body, for tests that identify requests by their bodies.
    pub by_body: BTreeMap<String, u64>,
    /// Received paths, queries and headers, in which tests search for keys that must not arrive.
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
    execution_started: Notify,
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
    /// Starts a server of `service` that announces itself to the slot listener at `slot`.
    ///
    /// # Errors
    /// The I/O error if `address` cannot be bound.
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
            execution_started: Notify::new(),
            started: Instant::now(),
            client: http_client(),
        });
        let shared = state.clone();
        let (address, mut tasks) =
            serve(address, move |request| handle_request(shared.clone(), request)).await?;
        let boot = rand::rng().random();
        tasks.spawn(announce_periodically(state.clone(), address, boot));
        Ok(BackendServer { address, boot, state, tasks })
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The random number that identifies this run of the server.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: BackendBehaviour) {
        self.state.set_behaviour(behaviour);
    }

    /// The current behaviour.
    pub fn behaviour(&self) -> BackendBehaviour {
        self.state.behaviour.lock().expect("lock not poisoned").clone()
    }

    /// The current counters.
    pub fn counts(&self) -> BackendCounts {
        self.state.counts.lock().expect("lock not poisoned").clone()
    }

    /// Returns a function that reads the counters at the time of its call.
    pub fn counts_reader(&self) -> impl Fn() -> BackendCounts + Send + 'static {
        let state = self.state.clone();
        move || state.counts.lock().expect("lock not poisoned").clone()
    }

    /// Waits until at least `count` executions have started.
    pub async fn wait_executions(&self, count: u64) {
        loop {
            let execution_started = self.state.execution_started.notified();
            if self.counts().executions >= count {
                return;
            }
            execution_started.await;
        }
    }

    /// Stops announcing, notifies the daemon and refuses new requests.
    pub async fn leave(&self) {
        self.state.draining.store(true, Ordering::Release);
        post(&self.state, "/lentilway/leave", Value::Null).await;
    }

    /// Stops announcing and refuses new requests, as if the notice to the daemon were lost.
    pub fn leave_without_notice(&self) {
        self.state.draining.store(true, Ordering::Release);
    }

    /// Stops immediately, like a killed process.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.tasks.abort_all();
        let attempts = self.state.attempts.lock().expect("lock not poisoned");
        attempts.values().for_each(AbortHandle::abort);
    }
}

impl BackendState {
    fn set_behaviour(&self, behaviour: BackendBehaviour) {
        let mut current = self.behaviour.lock().expect("lock not poisoned");
        if current.slots != behaviour.slots {
            *self.slots.lock().expect("lock not poisoned") =
                Arc::new(Semaphore::new(behaviour.slots));
        }
        *current = behaviour;
    }

    fn count(&self, change: impl FnOnce(&mut BackendCounts)) {
        change(&mut self.counts.lock().expect("lock not poisoned"));
    }

    fn service_time(&self, behaviour: &BackendBehaviour) -> Duration {
        let is_cold = self.started.elapsed() < Duration::from_millis(behaviour.cold_ms);
        let cold_factor = if is_cold { behaviour.cold_factor } else { 1.0 };
        let sample: f64 = match behaviour.exponential {
            true => -(1.0 - rand::rng().random::<f64>()).ln(),
            false => 1.0,
        };
        let millis = behaviour.service_ms * behaviour.slow_factor * cold_factor * sample;
        Duration::from_secs_f64(millis / 1000.0)
    }

    /// The fault of the next answer; decrements `answer_fault_count`.
    fn next_fault(&self) -> AnswerFault {
        let mut behaviour = self.behaviour.lock().expect("lock not poisoned");
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

async fn announce_periodically(state: Arc<BackendState>, address: SocketAddr, boot: u64) {
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
        // The daemon may not be running yet; the next announcement retries.
        let _ = exchange(&state.client, request).await;
    }
}

async fn handle_request(state: Arc<BackendState>, request: ReceivedRequest) -> ServerReply {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/health") => health(&state),
        ("GET", "/load") => load(&state),
        ("GET", "/control/counts") => {
            let counts = state.counts.lock().expect("lock not poisoned").clone();
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
    let healthy = state.behaviour.lock().expect("lock not poisoned").healthy;
    let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    ServerReply::Send(json_response(status, &json!({ "healthy": healthy })))
}

fn load(state: &BackendState) -> ServerReply {
    let load = state.behaviour.lock().expect("lock not poisoned").stated_load;
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
    let running = state.attempts.lock().expect("lock not poisoned").remove(attempt);
    if let Some(execution) = running {
        execution.abort();
        state.count(|counts| counts.cancelled += 1);
    }
    ServerReply::Send(json_response(StatusCode::OK, &json!({})))
}

async fn execute(state: &Arc<BackendState>, request: ReceivedRequest) -> ServerReply {
    let behaviour = state.behaviour.lock().expect("lock not poisoned").clone();
    let attempt = request.header("lentilway-attempt").to_string();
    let waiting = state.waiting.load(Ordering::Acquire) as usize;
    let is_refusing = state.draining.load(Ordering::Acquire) || waiting > behaviour.queue;
    if is_refusing || behaviour.answer == AnswerFault::Refused {
        state.count(|counts| counts.refused += 1);
        return refusal(&attempt);
    }
    let result = start_execution(state, behaviour.clone(), attempt.clone(), request.clone()).await;
    match result {
        Ok(answers) => build_reply(state, &behaviour, &attempt, &request, answers).await,
        // The execution was cancelled.
        Err(_) => ServerReply::Reset,
    }
}

/// Starts an execution that ends on cancellation, but not when its client disconnects.
fn start_execution(
    state: &Arc<BackendState>,
    behaviour: BackendBehaviour,
    attempt: String,
    request: ReceivedRequest,
) -> JoinHandle<Vec<Value>> {
    // Held until the attempt is inserted, so that the execution cannot end and remove it before.
    let mut attempts = state.attempts.lock().expect("lock not poisoned");
    let shared = state.clone();
    let key = attempt.clone();
    let execution = tokio::spawn(async move {
        let answers = run_execution(&shared, &behaviour, &request).await;
        shared.attempts.lock().expect("lock not poisoned").remove(&key);
        answers
    });
    attempts.insert(attempt, execution.abort_handle());
    execution
}

/// Counts an execution that waits for a slot; dropping it also covers a cancellation.
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

/// Waits for a slot and the service time, makes the sub-calls and returns their answers.
async fn run_execution(
    state: &Arc<BackendState>,
    behaviour: &BackendBehaviour,
    request: &ReceivedRequest,
) -> Vec<Value> {
    let count = WaitingCount::new(state);
    let slots = state.slots.lock().expect("lock not poisoned").clone();
    let slot = slots.acquire_owned().await;
    drop(count);
    state.count(|counts| count_execution(counts, request));
    state.execution_started.notify_waiters();
    let service_time = state.service_time(behaviour);
    // `sleep` rounds a duration of zero up to the next timer tick.
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
    if counts.header_text.len() < HEADER_TEXT_BYTES_LIMIT {
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

fn refusal(attempt: &str) -> ServerReply {
    let body = json!({ "error": "refused" });
    let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, &body);
    response.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("true"));
    set_attempt(&mut response, attempt);
    ServerReply::Send(response)
}

fn set_attempt(response: &mut Response<Full<Bytes>>, attempt: &str) {
    if let Ok(value) = HeaderValue::from_str(attempt) {
        response.headers_mut().insert(ATTEMPT_HEADER, value);
    }
}

async fn build_reply(
    state: &BackendState,
    behaviour: &BackendBehaviour,
    attempt: &str,
    request: &ReceivedRequest,
    sub_answers: Vec<Value>,
) -> ServerReply {
    state.count(|counts| counts.answers += 1);
    let fault = state.next_fault();
    let last_attempt = std::mem::replace(
        &mut *state.last_attempt.lock().expect("lock not poisoned"),
        attempt.to_string(),
    );
    let failed_sub_call = sub_answers.iter().any(|answer| answer["status"] != json!(200));
    let body = json!({
        "service": state.service,
        "path": request.path,
        "echo": String::from_utf8_lossy(&request.body),
        "sub_calls": sub_answers,
        "padding": "x".repeat(behaviour.padding_bytes),
    });
    let status = match failed_sub_call || fault == AnswerFault::Failed {
        true => StatusCode::INTERNAL_SERVER_ERROR,
        false => StatusCode::OK,
    };
    let mut response = json_response(status, &body);
    match fault {
        AnswerFault::Reset => return ServerReply::Reset,
        AnswerFault::Crossed => set_attempt(&mut response, &format!("crossed-{last_attempt}")),
        _ => set_attempt(&mut response, attempt),
    }
    if fault == AnswerFault::Truncated {
        let length = HeaderValue::from(body.to_string().len() as u64 + 100);
        response.headers_mut().insert(hyper::header::CONTENT_LENGTH, length);
    }
    ServerReply::Send(response)
}
