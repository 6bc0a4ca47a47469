//! HTTP client of the platform's log.

use std::time::Duration;

use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use super::platform_log::{LogError, LogPage, LogRecord, PlatformLog, StreamName};

const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Added to a read's wait time.
const READ_MARGIN: Duration = Duration::from_secs(2);
const PAGE_BYTES_LIMIT: usize = 64 * 1024 * 1024;

/// A client of the log's HTTP interface; `docs/PROTOCOL.md` describes it.
#[derive(Clone, Debug)]
pub struct HttpLog {
    base_url: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: u64,
}

#[derive(Deserialize)]
struct ReadAnswer {
    records: Vec<ReadRecord>,
    tail: u64,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: u64,
    body: String,
}

#[derive(Deserialize)]
struct GapAnswer {
    earliest: u64,
}

impl HttpLog {
    /// A client of the log at `base_url`, such as `http://127.0.0.1:7000`.
    pub fn new(base_url: &str) -> Self {
        // Answers name no request: only on a connection of its own is the answer known to be its own.
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
        HttpLog { base_url: base_url.trim_end_matches('/').to_string(), client }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), LogError> {
        let exchange = async {
            let answer = self.client.request(request).await.map_err(exchange_error)?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), PAGE_BYTES_LIMIT).collect().await;
            let body = body.map_err(|error| unavailable_reason(error.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        let timed = tokio::time::timeout(timeout, exchange).await;
        timed.unwrap_or_else(|_| Err(unavailable_reason("timeout".into())))
    }
}

/// Without an established connection no request was sent.
fn exchange_error(error: hyper_util::client::legacy::Error) -> LogError {
    let sent = !error.is_connect();
    LogError::Unavailable { reason: error.to_string(), sent }
}

fn unavailable(error: impl std::error::Error) -> LogError {
    unavailable_reason(error.to_string())
}

fn unavailable_reason(reason: String) -> LogError {
    LogError::Unavailable { reason, sent: true }
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, LogError> {
    serde_json::from_slice(body).map_err(unavailable)
}

#[async_trait]
impl PlatformLog for HttpLog {
    async fn append(&self, stream: &StreamName, body: Bytes) -> Result<u64, LogError> {
        let url = format!("{}/streams/{}/records", self.base_url, stream.as_str());
        let request = Request::post(url).body(Full::new(body)).map_err(unavailable)?;
        match self.exchange(request, APPEND_TIMEOUT).await? {
            (StatusCode::OK, body) => Ok(decode::<AppendAnswer>(&body)?.offset),
            (status, _) => Err(unavailable_reason(format!("append returned status {status}"))),
        }
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let url = format!(
            "{}/streams/{}/records?from={from}&limit={limit}&wait_ms={}",
            self.base_url,
            stream.as_str(),
            wait.as_millis()
        );
        let request = Request::get(url).body(Full::default()).map_err(unavailable)?;
        match self.exchange(request, wait + READ_MARGIN).await? {
            (StatusCode::OK, body) => decode_page(&body),
            (StatusCode::GONE, body) => {
                Err(LogError::Gap { earliest: decode::<GapAnswer>(&body)?.earliest })
            }
            (status, _) => Err(unavailable_reason(format!("read returned status {status}"))),
        }
    }
}

fn decode_page(body: &[u8]) -> Result<LogPage, LogError> {
    let answer: ReadAnswer = decode(body)?;
    let records = answer.records.into_iter().map(decode_record).collect::<Result<_, _>>()?;
    Ok(LogPage { records, tail: answer.tail })
}

fn decode_record(record: ReadRecord) -> Result<LogRecord, LogError> {
    let body = STANDARD.decode(record.body).map_err(unavailable)?;
    Ok(LogRecord { offset: record.offset, body: body.into() })
}
