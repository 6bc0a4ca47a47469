//! Connection pool for the backend server, and the exchange of a request for an answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, DATE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::timeout;

use crate::clock::{MilliClock, MilliTime};
use crate::policy::incarnation::BackendIncarnation;
use crate::request::header::end_to_end;
use crate::sidecar::connection::metered_stream::{MeteredStream, ReadMeter};
use crate::sidecar::process::body_budget::{BodyBudget, BodyError, UsualSize};
use crate::sidecar::process::wire_dialect::HeaderNames;
use crate::sidecar::request::context::{
    BackendAnswer, CallContext, CallOutcome, ForwardRequest, NotRunCause, UnknownCause,
};

/// A backend server on the same machine accepts a connection within this time or not at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum idle time for reuse; backend servers close idle connections after some seconds.
const IDLE_MAX: Duration = Duration::from_secs(4);
/// The same for a request that must not run twice: after a reset it is unknown whether it ran.
const IDLE_MAX_RUNS_ONCE: Duration = Duration::from_millis(1_500);
/// Safety margin before the idle timeout announced by the backend server.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum size of an answer's body.
const ANSWER_BYTES_MAX: usize = 64 << 20;
/// Maximum bytes of an answer before its head is complete, interim answers among them.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// Maximum bytes between two parts of a body, such as sizes and extensions of chunks, and what is
/// read ahead.
const FRAMING_BYTES_MAX: usize = 192 * 1024;
/// Read buffer of a connection.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The address and incarnation of the backend server for an exchange.
#[derive(Clone, Debug)]
pub(crate) struct BackendTarget {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: BackendIncarnation,
}

/// Observes an exchange with the backend server.
pub(crate) trait ExchangeObserver: Sync {
    /// A request is written to a connection.
    fn observe_send(&self);

    /// The head of an answer to the request arrived.
    fn observe_head(&self, target: &BackendTarget, headers: &HeaderMap);

    /// Nothing listens at the backend server's address any more.
    fn observe_end(&self, target: &BackendTarget);
}

/// Closes a connection when dropped, by aborting its task.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    idle_since: MilliTime,
    idle_max: Duration,
    /// Whether an answer was received on it.
    has_answered: bool,
    meter: Arc<ReadMeter>,
    _task: ConnectionTask,
}

/// Idle connections to the backend server.
#[derive(Debug)]
pub(crate) struct BackendPool {
    clock: MilliClock,
    headers: HeaderNames,
    bodies: Arc<BodyBudget>,
    usual_size: UsualSize,
    idle: Mutex<Vec<PooledConnection>>,
}

impl BackendPool {
    pub(crate) fn new(clock: MilliClock, headers: HeaderNames, bodies: Arc<BodyBudget>) -> Self {
        let usual_size = UsualSize::default();
        BackendPool { clock, headers, bodies, usual_size, idle: Mutex::default() }
    }

    /// Closes every idle connection.
    pub(crate) fn clear(&self) {
        self.idle.lock().expect("lock not poisoned").clear();
    }

    /// Sends a request and receives the complete answer. Dropping the future closes the connection.
    pub(crate) async fn exchange(
        &self,
        target: &BackendTarget,
        context: &CallContext,
        request: &ForwardRequest,
        remaining: Duration,
        runs_once: bool,
        observer: &dyn ExchangeObserver,
    ) -> CallOutcome {
        let Some(outgoing) = self.build_request(target, context, request, remaining) else {
            return CallOutcome::NotRun {
                cause: NotRunCause::BackendRefused,
                capacity_in_millis: 0,
            };
        };
        match self.send(target, context, outgoing, runs_once, observer).await {
            CallOutcome::Unknown(UnknownCause::Broken) if self.has_ended(target).await => {
                observer.observe_end(target);
                CallOutcome::Unknown(UnknownCause::ServerEnded)
            }
            outcome => outcome,
        }
    }

    /// Whether nothing listens at the backend server's address any more. A connection that opens is
    /// kept for the next request.
    async fn has_ended(&self, target: &BackendTarget) -> bool {
        match self.connect(target.address).await {
            Ok(connection) => {
                self.idle.lock().expect("lock not poisoned").push(connection);
                false
            }
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        }
    }

    async fn send(
        &self,
        target: &BackendTarget,
        context: &CallContext,
        mut outgoing: Request<Full<Bytes>>,
        runs_once: bool,
        observer: &dyn ExchangeObserver,
    ) -> CallOutcome {
        loop {
            let pooled = self.take_idle(target.address, runs_once);
            let is_pooled = pooled.is_some();
            let connection = match pooled {
                Some(connection) => connection,
                None => match self.connect(target.address).await {
                    Ok(connection) => connection,
                    Err(error) => {
                        if error.kind() == std::io::ErrorKind::ConnectionRefused {
                            observer.observe_end(target);
                        }
                        let cause = NotRunCause::Unreachable;
                        return CallOutcome::NotRun { cause, capacity_in_millis: 0 };
                    }
                },
            };
            let mut connection = connection;
            connection.meter.allow(HEAD_BYTES_MAX);
            observer.observe_send();
            match connection.sender.try_send_request(outgoing).await {
                Ok(answer) => {
                    if self.is_answer_to(context, &connection, answer.headers()) {
                        observer.observe_head(target, answer.headers());
                    }
                    return self.finish_exchange(connection, answer, context).await;
                }
                Err(mut error) => match error.take_message() {
                    // The pooled connection was closed before anything was written.
                    Some(unsent) if is_pooled => outgoing = unsent,
                    Some(_) => {
                        let cause = NotRunCause::Unreachable;
                        return CallOutcome::NotRun { cause, capacity_in_millis: 0 };
                    }
                    None => return self.give_up(&connection, UnknownCause::Broken),
                },
            }
        }
    }

    async fn finish_exchange(
        &self,
        mut connection: PooledConnection,
        answer: Response<hyper::body::Incoming>,
        context: &CallContext,
    ) -> CallOutcome {
        let keep_alive = keep_alive_timeout(answer.headers());
        let closes = has_connection_close(answer.headers());
        if !self.is_answer_to(context, &connection, answer.headers()) {
            return self.give_up(&connection, UnknownCause::Spoiled);
        }
        match self.receive(answer, context, &connection.meter).await {
            Ok(outcome) => {
                connection.has_answered = true;
                // Bytes after the answer close the connection.
                yield_now().await;
                if !closes && !connection.sender.is_closed() {
                    connection.idle_max = keep_alive.unwrap_or(IDLE_MAX).min(IDLE_MAX);
                    connection.idle_since = self.clock.now();
                    self.idle.lock().expect("lock not poisoned").push(connection);
                }
                outcome
            }
            Err(cause) => self.give_up(&connection, cause),
        }
    }

    /// Ends an exchange without an answer. If its connection was a kept one, the others may be spoiled
    /// too, so that they are closed and a resend gets a new one.
    fn give_up(&self, connection: &PooledConnection, cause: UnknownCause) -> CallOutcome {
        if connection.has_answered {
            self.clear();
        }
        CallOutcome::Unknown(cause)
    }

    async fn receive(
        &self,
        answer: Response<hyper::body::Incoming>,
        context: &CallContext,
        meter: &ReadMeter,
    ) -> Result<CallOutcome, UnknownCause> {
        let (parts, body) = answer.into_parts();
        meter.allow(FRAMING_BYTES_MAX);
        let on_frame = || meter.allow(FRAMING_BYTES_MAX);
        let received =
            self.bodies.receive(body, ANSWER_BYTES_MAX, &self.usual_size, on_frame).await;
        let (body, _lease) = received.map_err(|error| match error {
            BodyError::TooLarge { .. } => UnknownCause::TooLarge,
            BodyError::Broken { .. } => UnknownCause::Broken,
        })?;
        let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected || parts.headers.contains_key(&self.headers.not_run) {
            let cause = NotRunCause::BackendRefused;
            return Ok(CallOutcome::NotRun { cause, capacity_in_millis: 0 });
        }
        let is_signed = parts.headers.contains_key(&self.headers.signature);
        let is_encoded = parts.headers.contains_key(CONTENT_ENCODING);
        let has_request_id = id_matches(&parts.headers, &self.headers.request_id, context);
        if parts.status.is_success() && (!is_signed || is_encoded || !has_request_id) {
            return Err(UnknownCause::Spoiled);
        }
        let mut headers = end_to_end(&parts.headers);
        // The daemon that received the request sets the id and the date itself.
        headers.remove(&self.headers.request_id);
        headers.remove(DATE);
        let headers = header_pairs(&headers, &body);
        let status = parts.status.as_u16();
        Ok(CallOutcome::Answered(BackendAnswer { status, headers, body }))
    }

    /// Whether the answer belongs to the request: it names its id, or names none and is the first on
    /// its connection. On a kept connection, an earlier answer may arrive once more.
    fn is_answer_to(
        &self,
        context: &CallContext,
        connection: &PooledConnection,
        headers: &HeaderMap,
    ) -> bool {
        match headers.get(&self.headers.request_id) {
            Some(id) => id.as_bytes() == context.request_id.as_bytes(),
            None => !connection.has_answered,
        }
    }

    fn build_request(
        &self,
        target: &BackendTarget,
        context: &CallContext,
        request: &ForwardRequest,
        remaining: Duration,
    ) -> Option<Request<Full<Bytes>>> {
        let builder = Request::builder().method(request.method.as_str());
        let builder = builder.uri(request.path.as_str());
        let mut outgoing = builder.body(Full::new(request.body.clone())).ok()?;
        let headers = outgoing.headers_mut();
        for (name, value) in &request.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_maybe_shared(value.clone()).ok()?);
        }
        let names = &self.headers;
        headers.insert(&names.request_id, text_value(&context.request_id)?);
        headers.insert(&names.target, text_value(&target.incarnation.id)?);
        headers.insert(&names.caller_service, text_value(&context.caller_service)?);
        headers.insert(&names.deadline_millis, HeaderValue::from(remaining.as_millis() as u64));
        if let Some(organisation) = &context.organisation {
            headers.insert(&names.organisation, text_value(organisation)?);
        }
        Some(outgoing)
    }

    fn take_idle(&self, address: SocketAddr, runs_once: bool) -> Option<PooledConnection> {
        let now = self.clock.now();
        let bound = if runs_once { IDLE_MAX_RUNS_ONCE } else { IDLE_MAX };
        let mut idle = self.idle.lock().expect("lock not poisoned");
        let is_usable = |connection: &PooledConnection| {
            let age = now.since(connection.idle_since);
            connection.address == address
                && age < connection.idle_max
                && !connection.sender.is_closed()
        };
        idle.retain(is_usable);
        let newest = idle.last()?;
        if now.since(newest.idle_since) >= bound || !newest.sender.is_ready() {
            return None;
        }
        idle.pop()
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<PooledConnection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let meter = Arc::new(ReadMeter::default());
        let stream = TokioIo::new(MeteredStream::new(stream, meter.clone()));
        let builder = Builder::new().max_buf_size(READ_BUFFER_BYTES).to_owned();
        let (sender, connection) =
            builder.handshake(stream).await.map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // The exchange reports the connection's error.
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender,
            address,
            idle_since: self.clock.now(),
            idle_max: IDLE_MAX,
            has_answered: false,
            meter,
            _task: ConnectionTask(task),
        })
    }
}

fn id_matches(headers: &HeaderMap, name: &HeaderName, context: &CallContext) -> bool {
    headers.get(name).is_some_and(|id| id.as_bytes() == context.request_id.as_bytes())
}

fn text_value(text: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(text).ok()
}

/// Copies headers for a frame, without the length of a nonempty body, which follows from the body.
pub(crate) fn header_pairs(headers: &HeaderMap, body: &Bytes) -> Vec<(String, Bytes)> {
    let copy = |value: &HeaderValue| Bytes::copy_from_slice(value.as_bytes());
    let is_sent = |name: &HeaderName| *name != CONTENT_LENGTH || body.is_empty();
    let headers = headers.iter().filter(|(name, _)| is_sent(name));
    headers.map(|(name, value)| (name.as_str().to_owned(), copy(value))).collect()
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let value = headers.get(CONNECTION).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// The idle timeout announced by the backend server, less a margin.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout_text = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = timeout_text.parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}
