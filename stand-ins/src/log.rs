//! The platform's append-only log, in memory, with faults on command.

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

const READ_LIMIT: u64 = 1000;

/// What goes wrong at the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Only streams whose names begin with this are concerned.
    pub streams: String,
    /// Every connection is reset.
    pub down: bool,
    /// Each answer is this much later.
    pub delay_ms: u64,
    /// The answer of each append is this much later than its effect.
    pub append_answer_delay_ms: u64,
    /// Appends wait, and take effect once the faults are replaced.
    pub hold_appends: bool,
    /// Answers of appends wait after their effect until the faults are replaced.
    pub hold_append_answers: bool,
    /// This many appends take effect and then get no answer.
    pub lose_append_answers: u32,
    /// This many appends get no answer and take no effect.
    pub drop_appends: u32,
}

impl LogFaults {
    /// The faults of `stream`.
    fn of(&self, stream: &str) -> LogFaults {
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
    /// Starts a log that keeps records for `retention`, or for ever.
    ///
    /// # Errors
    /// The system's reason if the address cannot be opened.
    pub async fn start(address: SocketAddr, retention: Option<Duration>) -> std::io::Result<Self> {
        let state = Arc::new(LogState { retention, ..LogState::default() });
        let shared = state.clone();
        let (address, tasks) =
            serve(address, move |request| handle(shared.clone(), request)).await?;
        Ok(LogServer { address, state, _tasks: tasks })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state.set_faults(faults);
    }

    /// Drops the records of `stream` before `offset`.
    pub fn expire(&self, stream: &str, before: u64) {
        let mut streams = self.state.streams.lock().expect("no holder panics");
        streams.entry(stream.to_string()).or_default().expire(before);
    }

    /// Appends without any fault, as another writer would.
    pub fn append(&self, stream: &str, body: &[u8]) -> u64 {
        self.state.append(stream, Bytes::copy_from_slice(body))
    }

    /// The records of `stream` that are kept.
    pub fn records(&self, stream: &str) -> Vec<Bytes> {
        let streams = self.state.streams.lock().expect("no holder panics");
        let records = streams.get(stream).map(|stream| stream.records.as_slice());
        records.unwrap_or_default().iter().map(|(_, body)| body.clone()).collect()
    }

    /// Bytes of the records of `stream` that are kept.
    pub fn bytes(&self, stream: &str) -> usize {
        let streams = self.state.streams.lock().expect("no holder panics");
        let records = streams.get(stream).map(|stream| stream.records.as_slice());
        records.unwrap_or_default().iter().map(|(_, body)| body.len()).sum()
    }

    /// Counts the appends that have reached the log, before any delay or fault.
    pub fn received_appends(&self) -> watch::Receiver<u64> {
        self.state.received.subscribe()
    }

    /// Appends that took effect so far, over all streams.
    pub fn append_count(&self) -> u64 {
        *self.state.appends.lock().expect("no holder panics")
    }
}

impl LogState {
    fn append(&self, stream: &str, body: Bytes) -> u64 {
        let mut streams = self.streams.lock().expect("no holder panics");
        let stream = streams.entry(stream.to_string()).or_default();
        stream.records.push((Instant::now(), body));
        let offset = stream.tail() - 1;
        *self.appends.lock().expect("no holder panics") += 1;
        self.appended.notify_waiters();
        offset
    }

    fn set_faults(&self, faults: LogFaults) {
        *self.faults.lock().expect("no holder panics") = faults;
        self.faults_replaced.notify_waiters();
    }

    /// Waits until the faults of `stream` do not `hold` any more.
    async fn wait_released(&self, stream: &str, hold: impl Fn(&LogFaults) -> bool) {
        loop {
            let replaced = self.faults_replaced.notified();
            if !hold(&self.faults.lock().expect("no holder panics").of(stream)) {
                return;
            }
            replaced.await;
        }
    }

    fn take_fault(&self, stream: &str, pick: impl Fn(&mut LogFaults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock().expect("no holder panics");
        if !stream.starts_with(&faults.streams) {
            return false;
        }
        let count = pick(&mut faults);
        let taken = *count > 0;
        *count = count.saturating_sub(1);
        taken
    }

    fn page(&self, stream: &str, from: u64, limit: u64) -> Result<ReadPage, u64> {
        let mut streams = self.streams.lock().expect("no holder panics");
        let stream = streams.entry(stream.to_string()).or_default();
        if let Some(retention) = self.retention {
            stream.expire_older(retention);
        }
        if from < stream.first {
            return Err(stream.first);
        }
        let kept = stream.records.iter().enumerate().skip((from - stream.first) as usize);
        let records = kept.take(limit as usize).map(|(index, (_, body))| ReadRecord {
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

async fn handle(state: Arc<LogState>, request: ReceivedRequest) -> ServerReply {
    if request.method == "PUT" && request.path == "/faults" {
        return set_faults(&state, &request.body);
    }
    let stream = request.path.strip_prefix("/streams/");
    let stream = stream.and_then(|rest| rest.strip_suffix("/records"));
    let stream = stream.unwrap_or_default().to_string();
    let all_faults = state.faults.lock().expect("no holder panics").clone();
    let faults = all_faults.of(&stream);
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
    if state.take_fault(stream, |faults| &mut faults.drop_appends) {
        return ServerReply::Reset;
    }
    let offset = state.append(stream, body);
    if state.take_fault(stream, |faults| &mut faults.lose_append_answers) {
        return ServerReply::Reset;
    }
    ServerReply::Send(json_response(StatusCode::OK, &json!({ "offset": offset })))
}

async fn read(state: &LogState, stream: &str, request: &ReceivedRequest) -> ServerReply {
    let from = request.query_number("from").unwrap_or(0);
    let limit = request.query_number("limit").unwrap_or(READ_LIMIT).min(READ_LIMIT);
    let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
    let started = Instant::now();
    loop {
        let appended = state.appended.notified();
        match state.page(stream, from, limit) {
            Err(earliest) => {
                let body = json!({ "earliest": earliest });
                return ServerReply::Send(json_response(StatusCode::GONE, &body));
            }
            Ok(page) if !page.records.is_empty() || started.elapsed() >= wait => {
                return ServerReply::Send(json_response(StatusCode::OK, &page));
            }
            Ok(_) => {}
        }
        if state.faults.lock().expect("no holder panics").of(stream).down {
            return ServerReply::Reset;
        }
        // An append or the end of the wait: the page is read again either way.
        let _ = timeout(wait.saturating_sub(started.elapsed()), appended).await;
    }
}
