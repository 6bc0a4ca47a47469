//! The platform's store: keyed topics of one partition each. It loses nothing.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Message, serve};

type Record = (String, Vec<u8>);

#[derive(Default)]
struct Topics {
    records: Mutex<HashMap<String, Vec<Record>>>,
    appended: Condvar,
    /// Whether it turns the machines away; the operator is served.
    refuses: AtomicBool,
}

/// Largest number of bytes of records in the answer to a read, unless the first is larger.
const READ_BYTES_MAX: usize = 1_024 << 10;

/// A running store.
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<Topics>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let topics = Arc::new(Topics::default());
        let shared = topics.clone();
        serve(listener, move |request| shared.answer(&request));
        Store { address, topics }
    }

    /// Writes a version of the configuration as the operator.
    pub fn write_config(&self, config: &str) {
        let record = ("config".to_owned(), config.as_bytes().to_vec());
        self.topics.append("keyed.op", vec![record]);
    }

    /// Turns the machines away with 503, or serves them again.
    pub fn set_refuses(&self, refuses: bool) {
        self.topics.refuses.store(refuses, Ordering::SeqCst);
        self.topics.appended.notify_all();
    }
}

impl Topics {
    fn append(&self, topic: &str, records: Vec<Record>) -> (usize, usize) {
        let mut topics = self.records.lock().expect("lock not poisoned");
        let stored = topics.entry(topic.to_owned()).or_default();
        let offset = stored.len();
        stored.extend(records);
        let end = stored.len();
        self.appended.notify_all();
        (offset, end)
    }

    fn answer(&self, request: &Message) -> Answer {
        let topic = request.query("topic").unwrap_or("");
        if self.refuses.load(Ordering::SeqCst) {
            return Answer::new(503, "{}");
        }
        match (request.method(), request.path()) {
            ("GET", "/api/log-newest") => Answer::new(200, self.newest(topic)),
            ("GET", "/api/log-read") => self.read(topic, request),
            ("POST", "/api/log-append") if topic == "keyed.op" => Answer::new(403, "{}"),
            ("POST", "/api/log-append") => match parse_records(&request.body) {
                Some(records) => {
                    let (offset, end) = self.append(topic, records);
                    Answer::new(200, format!("{{\"offset\":{offset},\"end_offset\":{end}}}"))
                }
                None => Answer::new(400, "{}"),
            },
            _ => Answer::new(404, "{}"),
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.records.lock().expect("lock not poisoned");
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest: BTreeMap<&String, (usize, &Vec<u8>)> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let present = newest.into_iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = present
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}")
    }

    fn read(&self, topic: &str, request: &Message) -> Answer {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut topics = self.records.lock().expect("lock not poisoned");
        loop {
            let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let Some(rest) = records.get(from..) else {
                return Answer::new(410, "{\"first_offset\":0}");
            };
            let now = Instant::now();
            if self.refuses.load(Ordering::SeqCst) {
                return Answer::new(503, "{}");
            }
            if !rest.is_empty() || now >= end {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                let mut left = READ_BYTES_MAX;
                for (key, value) in rest {
                    let size = 5 + key.len() + value.len();
                    if size > left && left < READ_BYTES_MAX {
                        break;
                    }
                    left = left.saturating_sub(size);
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return Answer::new(200, body);
            }
            let waited = self.appended.wait_timeout(topics, end - now);
            topics = waited.expect("lock not poisoned").0;
        }
    }
}

fn parse_records(mut body: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while let Some((prefix, rest)) = body.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*prefix) as usize)?;
        let (length, record) = record.split_first()?;
        let (key, value) = record.split_at_checked(usize::from(*length))?;
        records.push((String::from_utf8(key.to_vec()).ok()?, value.to_vec()));
        body = rest;
    }
    body.is_empty().then_some(records)
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let octet = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let word = octet(0) << 16 | octet(1) << 8 | octet(2);
        for index in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= part.len() { letter } else { '=' });
        }
    }
    text
}
