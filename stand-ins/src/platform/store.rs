//! An in-memory version of the platform's metadata store: keyed topics with one partition each.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use rand::Rng;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::http::{ReceivedRequest, ServerReply, json_response, serve};

const OPERATOR_TOPIC: &str = "keyed.op";
const CONFIG_KEY: &str = "config";
const EVACUATION_PREFIX: &str = "evacuate/";
/// The topic in which daemons discover each other.
const DIRECTORY_TOPIC: &str = "keyed.daemons";
const LENGTH_PREFIX_BYTES: usize = 4;
/// Header that rises by one each time the store comes back from a copy.
const ERA: &str = "store-era";

/// The fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StoreMode {
    /// No fault.
    #[default]
    Healthy,
    /// Refuses every request without effect.
    Busy,
    /// Answers no request.
    Silent,
    /// Delays each request.
    Slow(Duration),
    /// Leaves this fraction of the writes unanswered after their effect.
    LosesAnswers(f64),
}

type KeyedRecord = (String, Bytes);

#[derive(Debug)]
struct StoredRecord {
    record: KeyedRecord,
    written: Instant,
}

#[derive(Debug, Default)]
struct StoreState {
    topics: Mutex<HashMap<String, Vec<StoredRecord>>>,
    /// The first retained offset of each topic, if records were dropped.
    first_offsets: Mutex<HashMap<String, usize>>,
    /// How often the store came back from a copy.
    restores: AtomicU64,
    mode: Mutex<StoreMode>,
    links: Mutex<HashMap<String, SocketAddr>>,
    appended: Notify,
}

/// A running store.
#[derive(Debug)]
pub struct StoreServer {
    address: SocketAddr,
    state: Arc<StoreState>,
    _tasks: JoinSet<()>,
}

impl StoreServer {
    /// Starts an empty store.
    ///
    /// # Errors
    /// The I/O error if `address` cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(StoreState::default());
        let shared = state.clone();
        let (address, tasks) =
            serve(address, move |request| handle_request(shared.clone(), request)).await?;
        Ok(StoreServer { address, state, _tasks: tasks })
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of further requests.
    pub fn set_mode(&self, mode: StoreMode) {
        *self.state.mode.lock().expect("lock not poisoned") = mode;
    }

    /// Writes a configuration as the operator; it is stored when this returns.
    pub fn write_config(&self, config: &Value) {
        let value = config.to_string().into();
        self.state.append(OPERATOR_TOPIC, vec![(CONFIG_KEY.to_owned(), value)]);
    }

    /// Requests or ends, as the operator, that nothing is sent to the upstreams of a zone.
    pub fn write_evacuation(&self, zone: &str, is_evacuated: bool) {
        let value = if is_evacuated { Bytes::from_static(b"{}") } else { Bytes::new() };
        self.state.append(OPERATOR_TOPIC, vec![(format!("{EVACUATION_PREFIX}{zone}"), value)]);
    }

    /// Comes back from a copy that was taken `age` ago: what was written since is gone, and offsets
    /// are assigned again. The operator's records are to be written again by the caller.
    pub fn restore(&self, age: Duration) {
        let mut topics = self.state.topics.lock().expect("lock not poisoned");
        for records in topics.values_mut() {
            records.retain(|stored| stored.written.elapsed() >= age);
        }
        let mut first_offsets = self.state.first_offsets.lock().expect("lock not poisoned");
        for (topic, first) in first_offsets.iter_mut() {
            *first = (*first).min(topics.get(topic).map_or(0, Vec::len));
        }
        drop(first_offsets);
        self.state.restores.fetch_add(1, Ordering::SeqCst);
        drop(topics);
        self.state.appended.notify_waiters();
    }

    /// Drops all records of a topic except the newest one of each key.
    pub fn drop_history(&self, topic: &str) {
        let topics = self.state.topics.lock().expect("lock not poisoned");
        let end = topics.get(topic).map_or(0, Vec::len);
        let mut first_offsets = self.state.first_offsets.lock().expect("lock not poisoned");
        first_offsets.insert(topic.to_owned(), end);
    }

    /// Drops all records of all topics except the newest one of each key.
    pub fn drop_all_history(&self) {
        let topics = self.state.topics.lock().expect("lock not poisoned");
        let names: Vec<String> = topics.keys().cloned().collect();
        drop(topics);
        names.iter().for_each(|topic| self.drop_history(topic));
    }

    /// Advertises `link` to other daemons as the address of the daemon `name`.
    pub fn advertise_link(&self, name: &str, link: SocketAddr) {
        self.state.links.lock().expect("lock not poisoned").insert(name.to_owned(), link);
    }
}

impl StoreState {
    fn append(&self, topic: &str, records: Vec<KeyedRecord>) -> usize {
        let mut topics = self.topics.lock().expect("lock not poisoned");
        let stored = topics.entry(topic.to_owned()).or_default();
        let offset = stored.len();
        let written = Instant::now();
        stored.extend(records.into_iter().map(|record| StoredRecord { record, written }));
        drop(topics);
        self.appended.notify_waiters();
        offset
    }

    /// Replaces the address in a daemon's record by that of its link.
    fn replace_address(&self, (key, value): KeyedRecord) -> KeyedRecord {
        let link = self.links.lock().expect("lock not poisoned").get(&key).copied();
        let entry = serde_json::from_slice::<Value>(&value);
        let (Some(link), Ok(mut entry)) = (link, entry) else {
            return (key, value);
        };
        entry["address"] = json!(link.to_string());
        (key, entry.to_string().into())
    }

    fn newest(&self, topic: &str) -> Value {
        let topics = self.topics.lock().expect("lock not poisoned");
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, stored) in records.iter().enumerate() {
            let (key, value) = &stored.record;
            newest.insert(key, (offset, value));
        }
        let present = newest.into_iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<Value> = present
            .map(|(key, (offset, value))| {
                json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
            })
            .collect();
        json!({"items": items, "has_more": false, "end_offset": records.len()})
    }

    fn first_offset(&self, topic: &str) -> usize {
        let first_offsets = self.first_offsets.lock().expect("lock not poisoned");
        first_offsets.get(topic).copied().unwrap_or_default()
    }

    /// Encodes the end offset, the first offset and the records from `from`, and whether there are
    /// any; `None` if those from `from` on were dropped or the topic ends before it.
    fn read(&self, topic: &str, from: usize) -> Option<(Vec<u8>, bool)> {
        let topics = self.topics.lock().expect("lock not poisoned");
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let first = self.first_offset(topic);
        let rest = records.get(from..).filter(|_| from >= first)?;
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&(first as u64).to_be_bytes());
        for stored in rest {
            let (key, value) = &stored.record;
            let length = (1 + key.len() + value.len()) as u32;
            body.extend_from_slice(&length.to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        Some((body, !rest.is_empty()))
    }

    fn era(&self) -> u64 {
        1 + self.restores.load(Ordering::SeqCst)
    }
}

async fn handle_request(state: Arc<StoreState>, request: ReceivedRequest) -> ServerReply {
    let era = state.era();
    match answer_request(&state, request).await {
        ServerReply::Send(_) if state.era() != era => ServerReply::Reset,
        ServerReply::Send(mut answer) => {
            answer.headers_mut().insert(ERA, era.into());
            ServerReply::Send(answer)
        }
        ServerReply::Reset => ServerReply::Reset,
    }
}

async fn answer_request(state: &StoreState, request: ReceivedRequest) -> ServerReply {
    let mode = *state.mode.lock().expect("lock not poisoned");
    match mode {
        StoreMode::Busy => return refusal(StatusCode::SERVICE_UNAVAILABLE),
        StoreMode::Silent => std::future::pending().await,
        StoreMode::Slow(delay) => sleep(delay).await,
        StoreMode::Healthy | StoreMode::LosesAnswers(_) => {}
    }
    let topic = query_value(&request, "topic").unwrap_or_default().to_owned();
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/api/log-newest") => {
            ServerReply::Send(json_response(StatusCode::OK, &state.newest(&topic)))
        }
        ("GET", "/api/log-read") => read(state, &topic, &request).await,
        ("POST", "/api/log-append") if topic == OPERATOR_TOPIC => refusal(StatusCode::FORBIDDEN),
        ("POST", "/api/log-append") => {
            let Some(mut records) = parse_records(&request.body) else {
                return refusal(StatusCode::BAD_REQUEST);
            };
            if topic == DIRECTORY_TOPIC {
                records = records.into_iter().map(|record| state.replace_address(record)).collect();
            }
            let count = records.len();
            let offset = state.append(&topic, records);
            match mode {
                StoreMode::LosesAnswers(fraction) if rand::rng().random_bool(fraction) => {
                    ServerReply::Reset
                }
                _ => {
                    let ends = json!({"offset": offset, "end_offset": offset + count});
                    ServerReply::Send(json_response(StatusCode::OK, &ends))
                }
            }
        }
        _ => refusal(StatusCode::NOT_FOUND),
    }
}

fn refusal(status: StatusCode) -> ServerReply {
    ServerReply::Send(json_response(status, &json!({})))
}

fn query_value<'a>(request: &'a ReceivedRequest, name: &str) -> Option<&'a str> {
    let mut pairs = request.query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn parse_records(mut body: &[u8]) -> Option<Vec<KeyedRecord>> {
    let mut records = Vec::new();
    while let Some((prefix, rest)) = body.split_first_chunk::<LENGTH_PREFIX_BYTES>() {
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*prefix) as usize)?;
        let (length, record) = record.split_first()?;
        let (key, value) = record.split_at_checked(usize::from(*length))?;
        records.push((String::from_utf8(key.to_vec()).ok()?, Bytes::copy_from_slice(value)));
        body = rest;
    }
    body.is_empty().then_some(records)
}

async fn read(state: &StoreState, topic: &str, request: &ReceivedRequest) -> ServerReply {
    let from = request.query_number("from").unwrap_or(0) as usize;
    let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
    let end = Instant::now() + wait;
    let era = state.era();
    loop {
        let appended = state.appended.notified();
        if state.era() != era {
            return ServerReply::Reset;
        }
        let Some((body, has_records)) = state.read(topic, from) else {
            let first = json!({"first_offset": state.first_offset(topic)});
            return ServerReply::Send(json_response(StatusCode::GONE, &first));
        };
        if has_records || Instant::now() >= end {
            return ServerReply::Send(Response::new(Full::new(body.into())));
        }
        // The records are read again after an append and after a timeout.
        let _ = timeout(end - Instant::now(), appended).await;
    }
}
