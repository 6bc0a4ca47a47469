//! An upstream's side of one HTTP/1.1 connection, on which answers may be sent once more unasked.

use std::io::{Error, ErrorKind};
use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::NOT_EXECUTED;
use super::answer_faults::{AnswerFaults, CopyForm, CopyMoment, CopyPlan};
use crate::http::{ReceivedRequest, ServerReply};

const HEADERS_MAX: usize = 64;
const HEAD_BYTES_MAX: usize = 64 * 1024;

/// An answer as it is written to the connection.
struct EncodedAnswer {
    bytes: Bytes,
    head_length: usize,
}

/// Numbers of requests that were received and answered on a connection.
#[derive(Clone, Copy, Default)]
struct ExchangeCounts {
    received: u64,
    answered: u64,
}

/// Serves the requests of one connection in turn until it closes. A request under way is dropped
/// when the client closes the connection.
pub(super) async fn serve_connection<H, F>(stream: TcpStream, faults: Arc<AnswerFaults>, handler: H)
where
    H: Fn(ReceivedRequest) -> F,
    F: Future<Output = ServerReply>,
{
    let (reader, writer) = stream.into_split();
    let mut reader = RequestReader { reader, buffer: BytesMut::new() };
    let writer = Arc::new(Mutex::new(writer));
    let counts = watch::Sender::new(ExchangeCounts::default());
    let mut copies = JoinSet::new();
    while let Ok(request) = reader.read_request().await {
        counts.send_modify(|counts| counts.received += 1);
        let is_last = request.header(CONNECTION.as_str()).eq_ignore_ascii_case("close");
        let reply = tokio::select! {
            reply = handler(request) => reply,
            () = reader.closed() => return,
        };
        let ServerReply::Send(response) = reply else { return };
        let is_refusal = response.headers().contains_key(NOT_EXECUTED);
        let answer = encode_answer(response).await;
        if writer.lock().await.write_all(&answer.bytes).await.is_err() || is_last {
            return;
        }
        counts.send_modify(|counts| counts.answered += 1);
        if let Some(plan) = faults.draw_copy(is_refusal) {
            let answered = counts.borrow().answered;
            copies.spawn(send_copy(plan, answer, answered, writer.clone(), counts.subscribe()));
        }
    }
}

async fn encode_answer(response: Response<Full<Bytes>>) -> EncodedAnswer {
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await;
    let body = body.to_bytes();
    let reason = parts.status.canonical_reason().unwrap_or_default();
    let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", parts.status.as_u16()).into_bytes();
    for (name, value) in &parts.headers {
        bytes.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat());
    }
    bytes.extend(format!("{CONTENT_LENGTH}: {}\r\n\r\n", body.len()).into_bytes());
    let head_length = bytes.len();
    bytes.extend_from_slice(&body);
    EncodedAnswer { bytes: bytes.into(), head_length }
}

/// Sends an answer once more, which was the one with the number `answered` on its connection.
async fn send_copy(
    plan: CopyPlan,
    answer: EncodedAnswer,
    answered: u64,
    writer: Arc<Mutex<OwnedWriteHalf>>,
    mut counts: watch::Receiver<ExchangeCounts>,
) {
    let reached = match plan.moment {
        CopyMoment::Answered => Ok(()),
        CopyMoment::NextReceived => {
            counts.wait_for(|counts| counts.received > answered).await.map(drop)
        }
        CopyMoment::NextAnswered => {
            counts.wait_for(|counts| counts.answered > answered).await.map(drop)
        }
    };
    if reached.is_err() {
        return;
    }
    sleep(plan.delay).await;
    // The connection may have closed meanwhile.
    let _ = write_copy(plan.form, &answer, &writer).await;
}

async fn write_copy(
    form: CopyForm,
    answer: &EncodedAnswer,
    writer: &Mutex<OwnedWriteHalf>,
) -> std::io::Result<()> {
    let bytes = &answer.bytes;
    let cut_after = |from: usize, cut: f64| from + ((bytes.len() - from) as f64 * cut) as usize;
    let mut open = writer.lock().await;
    match form {
        CopyForm::Whole => open.write_all(bytes).await,
        CopyForm::Pieces { cut, pause } => {
            let (first, rest) = bytes.split_at(cut_after(0, cut));
            open.write_all(first).await?;
            sleep(pause).await;
            open.write_all(rest).await
        }
        CopyForm::Interleaved { cut, pause } => {
            let (first, rest) = bytes.split_at(cut_after(answer.head_length, cut));
            open.write_all(first).await?;
            drop(open);
            sleep(pause).await;
            writer.lock().await.write_all(rest).await
        }
        CopyForm::BrokenOff { cut } => {
            open.write_all(&bytes[..cut_after(0, cut)]).await?;
            open.shutdown().await
        }
    }
}

/// Reads requests from a connection.
struct RequestReader {
    reader: OwnedReadHalf,
    buffer: BytesMut,
}

impl RequestReader {
    async fn read_request(&mut self) -> std::io::Result<ReceivedRequest> {
        let mut request = loop {
            if let Some(request) = self.take_head()? {
                break request;
            }
            if self.buffer.len() > HEAD_BYTES_MAX {
                return Err(malformed("a head that is too long"));
            }
            self.read_more().await?;
        };
        request.body = self.read_body(&request.headers).await?;
        Ok(request)
    }

    /// Takes a complete head from the buffer.
    fn take_head(&mut self) -> std::io::Result<Option<ReceivedRequest>> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut head = httparse::Request::new(&mut headers);
        let parsed = head.parse(&self.buffer).map_err(malformed)?;
        let httparse::Status::Complete(length) = parsed else { return Ok(None) };
        let target = head.path.unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = ReceivedRequest {
            method: head.method.unwrap_or_default().to_owned(),
            path: path.to_owned(),
            query: query.to_owned(),
            headers: header_map(head.headers)?,
            body: Bytes::new(),
        };
        self.buffer.advance(length);
        Ok(Some(request))
    }

    async fn read_body(&mut self, headers: &HeaderMap) -> std::io::Result<Bytes> {
        if headers.contains_key(TRANSFER_ENCODING) {
            return self.read_chunks().await;
        }
        let Some(length) = headers.get(CONTENT_LENGTH) else { return Ok(Bytes::new()) };
        let length = length.to_str().map_err(malformed)?.parse().map_err(malformed)?;
        self.read_exact(length).await
    }

    async fn read_chunks(&mut self) -> std::io::Result<Bytes> {
        let mut body = BytesMut::new();
        loop {
            let (size_length, size) = self.read_chunk_size().await?;
            self.buffer.advance(size_length);
            let chunk = self.read_exact(size as usize).await?;
            // The line end after a chunk; trailers are not supported.
            self.read_exact(2).await?;
            if chunk.is_empty() {
                return Ok(body.freeze());
            }
            body.extend_from_slice(&chunk);
        }
    }

    async fn read_chunk_size(&mut self) -> std::io::Result<(usize, u64)> {
        loop {
            let parsed = httparse::parse_chunk_size(&self.buffer);
            match parsed.map_err(|_| malformed("an invalid chunk size"))? {
                httparse::Status::Complete(size) => return Ok(size),
                httparse::Status::Partial => self.read_more().await?,
            }
        }
    }

    async fn read_exact(&mut self, length: usize) -> std::io::Result<Bytes> {
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn read_more(&mut self) -> std::io::Result<()> {
        match self.reader.read_buf(&mut self.buffer).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Returns once the client has closed the connection.
    async fn closed(&mut self) {
        while self.read_more().await.is_ok() {}
    }
}

fn header_map(parsed: &[httparse::Header<'_>]) -> std::io::Result<HeaderMap> {
    let mut headers = HeaderMap::new();
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(malformed)?;
        headers.append(name, HeaderValue::from_bytes(header.value).map_err(malformed)?);
    }
    Ok(headers)
}

fn malformed(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Error {
    Error::new(ErrorKind::InvalidData, error)
}
