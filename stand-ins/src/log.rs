//! An in-memory version of the platform's append-only log with injected faults.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::http::{ReceivedRequest, ServerReply, json_response, serve};

const READ_RECORDS_LIMIT: u64 = 1000;

/// Faults of the log, replaced as a whole by `PUT /faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Prefix of the names of the affected streams.
    pub streams: String,
    /// Resets every connection.
    pub down: bool,
    /// Delay of each request in milliseconds.
    pub delay_ms: u64,
    /// Delay in milliseconds between the effect of an append and its answer.
    pub append_answer_delay_ms: u64,
    /// Appends wait and take effect once the faults are replaced.
    pub hold_appends: bool,
    /// Appends take effect, but their answers wait until the faults are replaced.
    pub hold_append_answers: bool,
    /// Number of appends that take effect without an answer.
    pub lose_append_answers: u32,
    /// Number of appends that get no answer and have no effect.
    pub drop_appends: u32,
}

impl LogFaults {
    /// The faults that affect `stream`.
    fn for_stream(&self, stream: &str) -> LogFaults {
        if stream.starts_with(&self.streams) { self.clone() } else { LogFaults::default() }
    }
}

#[derive(Debug, Default)]
struct LogStream {
    first: u64,
    records: Vec<(Instant, Bytes)>,
}

impl LogStream {
    fn tail(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, before: u64) {
        let count = before.saturating_sub(self.first).min(self.records.len() as u64);
        self.records.drain(..count as usize);
        self.first += count;
    }

    fn expire_older(&mut self, retention: Duration) {
        let expired = self.records.iter().take_while(|(at, _)| at.elapsed() > retention).count();
        self.expire(self.first + expired as u64);
    }
}

#[derive(Debug, Default)]
struct LogState {
    streams: Mutex<HashMap<String, LogStream>>,
    faults: Mutex<LogFaults>,
    faults_replaced: Notify,
    appends: Mutex<u64>,
    received: watch::Sender<u64>,
    appended: Notify,
    retention: Option<Duration>,
}

/// A running log.
#[derive(Debug)]
pub struct LogServer {
    address: SocketAddr,
    state: Arc<LogState>,
    _tasks: JoinSet<()>,
}

impl LogServer {
    /// Starts a log that keeps records for `retention`, or forever if it is `None`.
    ///
    /// # Errors
    /// The I/O error if `address` cannot be bound.
    pub async fn start(address: SocketAddr, retention: Option<Duration>) -> std::io::Result<Self> {
        let state = Arc::new(LogState { retention, ..LogState::default() });
        let shared = state.clone();
        let (address, tasks) =
            serve(address, move |request| handle_request(shared.clone(), request)).await?;
        Ok(LogServer { address, state, _tasks: tasks })
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state.set_faults(faults);
    }

    /// Removes the records of `stream` with offsets below `before`.
    pub fn expire(&self, stream: &str, before: u64) {
        let mut streams = self.state.streams.lock().expect("lock not poisoned");
        streams.entry(stream.to_string()).or_default().expire(before);
    }

    /// Appends a record as another writer would, regardless of faults; returns its offset.
    pub fn append(&self, stream: &str, body: &[u8]) -> u64 {
        self.state.append(stream, Bytes::copy_from_slice(body))
    }

    /// The records of `stream` that have not expired.
    pub fn records(&self, stream: &str) -> Vec<Bytes> {
        let streams = self.state.streams.lock().expect("lock not poisoned");
        let records = streams.get(stream).map(|stream| stream.records.as_slice());
        records.unwrap_or_default().iter().map(|(_, body)| body.clone()).collect()
    }

    /// Total size in bytes of the records of `stream` that have not expired.
    pub fn bytes(&self, stream: &str) -> usize {
        let streams = self.state.streams.lock().expect("lock not poisoned");
        let records = streams.get(stream).map(|stream| stream.records.as_slice());
        records.unwrap_or_default().iter().map(|(_, body)| body.len()).sum()
    }

    /// The number of append requests received, counted before any delay or fault.
    pub fn received_appends(&self) -> watch::Receiver<u64> {
        self.state.received.subscribe()
    }

    /// The number of appends that took effect, over all streams.
    pub fn append_count(&self) -> u64 {
        *self.state.appends.lock().expect("lock not poisoned")
    }
}

impl LogState {
    fn append(&self, stream: &str, body: Bytes) -> u64 {
        let mut streams = self.streams.lock().expect("lock not poisoned");
        let stream = streams.entry(stream.to_string()).or_default();
        stream.records.push((Instant::now(), body));
        let offset = stream.tail() - 1;
        *self.appends.lock().expect("lock not poisoned") += 1;
        self.appended.notify_waiters();
        offset
    }

    fn set_faults(&self, faults: LogFaults) {
        *self.faults.lock().expect("lock not poisoned") = faults;
        self.faults_replaced.notify_waiters();
    }

    /// Waits until `is_held` is false for the faults of `stream`.
    async fn wait_released(&self, stream: &str, is_held: impl Fn(&LogFaults) -> bool) {
        loop {
            let replaced = self.faults_replaced.notified();
            if !is_held(&self.faults.lock().expect("lock not poisoned").for_stream(stream)) {
                return;
            }
            replaced.await;
        }
    }

    fn consume_fault(&self, stream: &str, select: impl Fn(&mut LogFaults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock().expect("lock not poisoned");
        if !stream.starts_with(&faults.streams) {
            return false;
        }
        let count = select(&mut faults);
        let is_active = *count > 0;
        *count = count.saturating_sub(1);
        is_active
    }

    fn read_page(&self, stream: &str, from: u64, limit: u64) -> Result<ReadPage, u64> {
        let mut streams = self.streams.lock().expect("lock not poisoned");
        let stream = streams.entry(stream.to_string()).or_default();
        if let Some(retention) = self.retention {
            stream.expire_older(retention);
        }
        if from < stream.first {
            return Err(stream.first);
        }
        let remaining = stream.records.iter().enumerate().skip((from - stream.first) as usize);
        let records = remaining.take(limit as usize).map(|(index, (_, body))| ReadRecord {
            offset: stream.first + index as u64,
            body: STANDARD.encode(body),
        });
        Ok(ReadPage { records: records.collect(), tail: stream.tail() })
    }
}

#[derive(Debug, Serialize)]
struct ReadPage {
    records: Vec<ReadRecord>,
    tail: u64,
}

#[derive(Debug, Serialize)]
struct ReadRecord {
    offset: u64,
    body: String,
}

async fn handle_request(state: Arc<LogState>, request: ReceivedRequest) -> ServerReply {
    if request.method == "PUT" && request.path == "/faults" {
        return set_faults(&state, &request.body);
    }
    let stream = request.path.strip_prefix("/streams/");
    let stream = stream.and_then(|rest| rest.strip_suffix("/records"));
    let stream = stream.unwrap_or_default().to_string();
    let all_faults = state.faults.lock().expect("lock not poisoned").clone();
    let faults = all_faults.for_stream(&stream);
    if request.method == "POST" && stream.starts_with(&all_faults.streams) {
        state.received.send_modify(|count| *count += 1);
    }
    if faults.down {
        return ServerReply::Reset;
    }
    sleep(Duration::from_millis(faults.delay_ms)).await;
    match request.method.as_str() {
        _ if stream.is_empty() => {
            ServerReply::Send(json_response(StatusCode::NOT_FOUND, &json!({})))
        }
        "POST" => {
            state.wait_released(&stream, |faults| faults.hold_appends).await;
            let answer = append(&state, &stream, request.body);
            state.wait_released(&stream, |faults| faults.hold_append_answers).await;
            sleep(Duration::from_millis(faults.append_answer_delay_ms)).await;
            answer
        }
        "GET" => read(&state, &stream, &request).await,
        _ => ServerReply::Send(json_response(StatusCode::NOT_FOUND, &json!({}))),
    }
}

fn set_faults(state: &LogState, body: &[u8]) -> ServerReply {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            state.set_faults(faults);
            ServerReply::Send(json_response(StatusCode::OK, &json!({})))
        }
        Err(error) => {
            let body = json!({ "error": error.to_string() });
            ServerReply::Send(json_response(StatusCode::BAD_REQUEST, &body))
        }
    }
}

fn append(state: &LogState, stream: &str, body: Bytes) -> ServerReply {
    if state.consume_fault(stream, |faults| &mut faults.drop_appends) {
        return ServerReply::Reset;
    }
    let offset = state.append(stream, body);
    if state.consume_fault(stream, |faults| &mut faults.lose_append_answers) {
        return ServerReply::Reset;
    }
    ServerReply::Send(json_response(StatusCode::OK, &json!({ "offset": offset })))
}

async fn read(state: &LogState, stream: &str, request: &ReceivedRequest) -> ServerReply {
    let from = request.query_number("from").unwrap_or(0);
    let limit = request.query_number("limit").unwrap_or(READ_RECORDS_LIMIT).min(READ_RECORDS_LIMIT);
    let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
    let started = Instant::now();
    loop {
        let appended = state.appended.notified();
        match state.read_page(stream, from, limit) {
            Err(earliest) => {
                let body = json!({ "earliest": earliest });
                return ServerReply::Send(json_response(StatusCode::GONE, &body));
            }
            Ok(page) if !page.records.is_empty() || started.elapsed() >= wait => {
                return ServerReply::Send(json_response(StatusCode::OK, &page));
            }
            Ok(_) => {}
        }
        if state.faults.lock().expect("lock not poisoned").for_stream(stream).down {
            return ServerReply::Reset;
        }
        // The page is read again after an append and after a timeout.
        let _ = timeout(wait.saturating_sub(started.elapsed()), appended).await;
    }
}
