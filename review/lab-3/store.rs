//! The platform's store: keyed topics of one partition.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_answer};

type Records = Vec<(String, Vec<u8>)>;

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Records>>,
    appended: Condvar,
}

impl Store {
    /// Starts to listen.
    pub fn open(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    /// Appends a record as the operator.
    pub fn append(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.to_vec()));
        self.appended.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if write_answer(&mut stream, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        let topic = field("topic").unwrap_or_default();
        match path {
            "/api/log-newest" => self.newest(&topic),
            "/api/log-read" => {
                let number = |name| field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                self.read(&topic, number("from") as usize, Duration::from_millis(number("wait_ms")))
            }
            "/api/log-append" => self.append_raw(&topic, &request.body),
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let mut newest: HashMap<&str, (usize, &[u8])> = HashMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        let end = records.len();
        let items = items.join(",");
        let body = format!(r#"{{"items":[{items}],"has_more":false,"end_offset":{end}}}"#);
        (200, body.into_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let end = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let length = topics.entry(topic.to_owned()).or_default().len();
            let left = end.saturating_duration_since(Instant::now());
            if length > from || left.is_zero() {
                break;
            }
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
        }
        let records = &topics[topic];
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        (200, body)
    }

    fn append_raw(&self, topic: &str, mut bytes: &[u8]) -> (u16, Vec<u8>) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
            let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            bytes = rest;
        }
        let end = records.len();
        self.appended.notify_all();
        (200, format!(r#"{{"offset":{offset},"end_offset":{end}}}"#).into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (group >> (18 - 6 * digit)) & 63;
            text.push(if digit <= chunk.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}
