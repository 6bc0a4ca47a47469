//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A message: the start line, the headers with names in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A value of the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; `None` if the connection ends before its first byte or in it.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message { start: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let is_chunked = message.header("transfer-encoding").is_some();
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    if is_chunked {
        read_chunks(reader, &mut message.body)?;
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).ok()
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk).ok()?;
        read_line(reader)?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk);
    }
}

/// Writes a message with the length of its body.
pub fn write_message(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// An answer of a server.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Answer { status, headers: Vec::new(), body: body.into() }
    }
}

/// Serves each connection in a thread of its own; the connections end with the process.
pub fn serve(listener: TcpListener, handler: impl Fn(Message) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Message) -> Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(copy), stream);
    while let Some(request) = read_message(&mut reader) {
        let answer = handler(request);
        let start = format!("HTTP/1.1 {} Status", answer.status);
        if write_message(&mut writer, &start, &answer.headers, &answer.body).is_err() {
            return;
        }
    }
}

/// A kept connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr, limit: Duration) -> Option<Self> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        writer.set_nodelay(true).ok()?;
        writer.set_read_timeout(Some(limit)).ok()?;
        Some(Connection { reader: BufReader::new(writer.try_clone().ok()?), writer })
    }

    /// Sends a request and reads its answer; `None` if the connection ended without one.
    pub fn exchange(
        &mut self,
        start: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Option<Message> {
        write_message(&mut self.writer, start, headers, body).ok()?;
        read_message(&mut self.reader)
    }
}
