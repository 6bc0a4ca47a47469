//! The link to the backend server in this daemon's slot.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::ext::ReasonPhrase;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::clock::MilliTime;
use crate::error::ResultCode;
use crate::policy::head_scan::HeadScan;
use crate::process::shared::DaemonShared;
use crate::request::answer::BufferedAnswer;
use crate::request::handle::ContextHandle;
use crate::request::header::{ATTEMPT, CONTEXT, NOT_RUN, TIMEOUT_MS, parse_number};
use crate::request::incoming::BufferedRequest;

const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A backend server as it announces itself to its daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The service it serves.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Random number drawn at start; a new number supersedes the previous run.
    pub boot: u64,
}

/// The slot for the backend server beside this daemon, with its HTTP client.
#[derive(Debug)]
pub struct BackendSlot {
    server: RwLock<Option<BackendServer>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A connector with TCP_NODELAY: small requests do not wait for acknowledgements.
fn nodelay_connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector
}

impl Default for BackendSlot {
    fn default() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(nodelay_connector());
        BackendSlot { server: RwLock::default(), client }
    }
}

impl BackendSlot {
    /// The backend server that is currently in the slot.
    pub fn current(&self) -> Option<BackendServer> {
        self.server.read().expect("lock not poisoned").clone()
    }

    /// Replaces the backend server and returns the previous one.
    pub fn replace(&self, server: Option<BackendServer>) -> Option<BackendServer> {
        std::mem::replace(&mut *self.server.write().expect("lock not poisoned"), server)
    }
}

/// Cancels an attempt at the backend server on drop, unless disarmed.
struct CancelGuard {
    client: Client<HttpConnector, Full<Bytes>>,
    url: String,
    armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let Ok(mut request) = Request::delete(&self.url).body(Full::default()) else {
            return;
        };
        let connection = capture_connection(&mut request);
        let cancel = self.client.request(request);
        tokio::spawn(async move {
            // A cancellation that is lost wastes work only.
            let _ = tokio::time::timeout(CANCEL_TIMEOUT, cancel).await;
            // The answer names no attempt, so an earlier one may have taken its place.
            retire(&connection);
        });
    }
}

/// Prevents further requests on a connection that may be one answer behind its requests.
fn retire(connection: &CaptureConnection) {
    if let Some(connection) = connection.connection_metadata().as_ref() {
        connection.poison();
    }
}

/// Sends `request` to `server` and reads the complete answer before `deadline`.
///
/// # Errors
/// [`ResultCode::BackendRefused`] if the server reports that it did not run the request,
/// [`ResultCode::NoUpstream`] if it cannot be reached, [`ResultCode::RequestMalformed`] if the
/// request cannot be built, otherwise a code for a request that may have run.
pub async fn exchange(
    shared: &DaemonShared,
    server: &BackendServer,
    handle: &ContextHandle,
    deadline: MilliTime,
    request: &BufferedRequest,
) -> Result<BufferedAnswer, ResultCode> {
    let attempt = format!("{:032x}", rand::rng().random::<u128>());
    let remaining = deadline.until(shared.clock.now());
    let mut outgoing = outgoing_request(server, handle, remaining, &attempt, request)?;
    let connection = capture_connection(&mut outgoing);
    let client = shared.backend.client.clone();
    let url = format!("http://{}/lentilway/attempts/{attempt}", server.address);
    let mut cancel = CancelGuard { client: client.clone(), url, armed: true };
    let exchange = async {
        let answer = client.request(outgoing).await.map_err(send_error_code)?;
        if !echoes(&answer, &attempt) || is_merged(&answer) {
            retire(&connection);
            shared.metrics.count("answer_crossed");
            return Err(ResultCode::AnswerMissing);
        }
        read_answer(shared, answer).await
    };
    let result = tokio::time::timeout(remaining, exchange).await;
    let result = result.unwrap_or(Err(ResultCode::AnswerLate));
    cancel.armed = result == Err(ResultCode::AnswerLate);
    result
}

fn outgoing_request(
    server: &BackendServer,
    handle: &ContextHandle,
    remaining: Duration,
    attempt: &str,
    request: &BufferedRequest,
) -> Result<Request<Full<Bytes>>, ResultCode> {
    let url = format!("http://{}{}", server.address, request.path);
    let outgoing = Request::builder().method(request.method.clone()).uri(url);
    let outgoing = outgoing.body(Full::new(request.body.clone()));
    let mut outgoing = outgoing.map_err(|_| ResultCode::RequestMalformed)?;
    let headers = outgoing.headers_mut();
    *headers = request.headers.clone();
    insert_text(headers, &CONTEXT, &handle.text());
    insert_text(headers, &ATTEMPT, attempt);
    headers.insert(TIMEOUT_MS, HeaderValue::from(remaining.as_millis() as u64));
    Ok(outgoing)
}

fn insert_text(headers: &mut hyper::HeaderMap, name: &hyper::header::HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn send_error_code(error: hyper_util::client::legacy::Error) -> ResultCode {
    match error.is_connect() {
        true => ResultCode::NoUpstream,
        false => ResultCode::AnswerMissing,
    }
}

/// Whether the answer names this attempt and no other.
fn echoes(answer: &Response<Incoming>, attempt: &str) -> bool {
    let mut named = answer.headers().get_all(ATTEMPT).iter();
    named.next().is_some_and(|value| value == attempt) && named.next().is_none()
}

/// Whether a part of the head contains another status line, as where an answer that was cut is
/// continued by the next one.
fn is_merged(answer: &Response<Incoming>) -> bool {
    let reason = answer.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let mut parts = answer.headers().values().map(HeaderValue::as_bytes).chain(reason);
    parts.any(|part| {
        let mut scan = HeadScan::begin();
        scan.read(part);
        scan.status_lines() > 0
    })
}

async fn read_answer(
    shared: &DaemonShared,
    answer: Response<Incoming>,
) -> Result<BufferedAnswer, ResultCode> {
    let (parts, body) = answer.into_parts();
    if parts.status == StatusCode::SERVICE_UNAVAILABLE
        && parse_number::<bool>(&parts.headers, &NOT_RUN) == Some(true)
    {
        return Err(ResultCode::BackendRefused);
    }
    let framed = parts.headers.contains_key(CONTENT_LENGTH)
        || parts.headers.contains_key(TRANSFER_ENCODING)
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    if !framed {
        shared.metrics.count("answer_unframed");
        return Err(ResultCode::AnswerMissing);
    }
    let limit = shared.config.limits.answer_bytes;
    let body = Limited::new(body, limit).collect().await;
    let body = body.map_err(|error| match error.is::<LengthLimitError>() {
        true => ResultCode::AnswerTooLarge,
        false => ResultCode::AnswerMissing,
    })?;
    Ok(BufferedAnswer::new(parts.status, &parts.headers, body.to_bytes()))
}
