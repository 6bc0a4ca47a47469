//! Crowds of callers that open many HTTP/2 streams on each connection.

use bytes::Bytes;

use super::*;

/// Streams of a connection whose answers nobody reads, and the size of each answer.
const UNREAD_STREAMS: u32 = 100;
const UNREAD_ANSWER_BYTES: usize = 4 << 10;
/// Streams of a connection that stay open, and the size of the head of each, below
/// `max_header_bytes`.
const OPEN_STREAMS: u32 = 1_000;
const OPEN_HEAD_BYTES: usize = 3_500;
/// Connections with such streams: each sends its heads at once.
const OPEN_STREAMS_CROWD: usize = 100;
/// Streams of a connection on which a body comes byte by byte.
const DRIPPED_STREAMS: u32 = 100;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
const INITIAL_WINDOW_SIZE: u8 = 4;

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

/// A length in the seven low bits of its first byte, as header fields have it.
fn field_text(text: &str) -> Vec<u8> {
    let mut encoded = Vec::new();
    let mut rest = text.len();
    if rest < 127 {
        encoded.push(rest as u8);
    } else {
        encoded.push(127);
        rest -= 127;
        while rest >= 128 {
            encoded.push((rest % 128) as u8 | 128);
            rest /= 128;
        }
        encoded.push(rest as u8);
    }
    encoded.extend(text.as_bytes());
    encoded
}

/// The header block of a request, with literal fields alone.
fn header_block(method: &str, path: &str, padding: usize) -> Vec<u8> {
    let (key, padding) = (format!("Bearer {KEY}"), "a".repeat(padding));
    let mut fields = vec![
        (":method", method),
        (":scheme", "http"),
        (":path", path),
        (":authority", HOST),
        (REQUEST_ID, "crowd"),
        ("authorization", &key),
    ];
    if !padding.is_empty() {
        fields.push(("x-long", &padding));
    }
    let encoded = fields
        .into_iter()
        .flat_map(|(name, value)| [vec![0], field_text(name), field_text(value)].concat());
    encoded.collect()
}

/// The numbers of a caller's first streams.
fn stream_ids(streams: u32) -> impl Iterator<Item = u32> {
    (0..streams).map(|number| 2 * number + 1)
}

/// The start of a connection whose answers must not exceed `window` bytes, with a request on each of
/// its streams.
fn connection_start(window: u32, streams: u32, flags: u8, block: &[u8]) -> Bytes {
    let setting = [&[0, INITIAL_WINDOW_SIZE], &window.to_be_bytes()[..]].concat();
    let settings = frame(SETTINGS, 0, 0, &setting);
    let mut start = [PREFACE, &settings].concat();
    for stream in stream_ids(streams) {
        start.extend(frame(HEADERS, flags | END_HEADERS, stream, block));
    }
    start.into()
}

/// Guards against answers on streams without a window, which are in no budget and block no socket.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_answers_unread_spare_memory() {
    let block = header_block("GET", &format!("/near/{UNREAD_ANSWER_BYTES}"), 0);
    let start = connection_start(0, UNREAD_STREAMS, END_STREAM, &block);
    let caller = CrowdCaller::sending(start, frame(PING, 0, 0, &[0; 8]));
    face_crowd(vec![caller; CROWD], Duration::ZERO).await;
}

/// Guards against heads of open streams, which are in no budget.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_heads_spare_memory() {
    let block = header_block("POST", "/near/1", OPEN_HEAD_BYTES);
    let start = connection_start(0, OPEN_STREAMS, 0, &block);
    let caller = CrowdCaller::sending(start, frame(PING, 0, 0, &[0; 8]));
    face_crowd(vec![caller; OPEN_STREAMS_CROWD], Duration::ZERO).await;
}

/// Guards against connections that are kept open by new bytes on any of their streams.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_bodies_dripped_closed() {
    let block = header_block("POST", "/near/1", 0);
    let start = connection_start(65_535, DRIPPED_STREAMS, 0, &block);
    let drips: Vec<u8> =
        stream_ids(DRIPPED_STREAMS).flat_map(|stream| frame(DATA, 0, stream, b"a")).collect();
    face_crowd(vec![CrowdCaller::sending(start, drips); CROWD], Duration::ZERO).await;
}
