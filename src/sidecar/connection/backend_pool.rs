//! Connection pool for the backend server, and the exchange of a request for an answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, DATE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use prometheus_client::metrics::counter::Counter;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::backend_connection::{BackendConnection, IDLE_MAX};
use super::metered_stream::ReadMeter;
use crate::clock::MilliClock;
use crate::policy::answer_verdict::{AnswerTraits, AnswerVerdict};
use crate::policy::exchange_history::AnswerOrigin;
use crate::policy::head_scan::HeadScan;
use crate::policy::incarnation::BackendIncarnation;
use crate::policy::surplus_doubt::SurplusDoubt;
use crate::request::header::end_to_end;
use crate::sidecar::process::memory_budget::{BodyError, MemoryBudget};
use crate::sidecar::process::wire_dialect::HeaderNames;
use crate::sidecar::request::context::{
    BackendAnswer, CallContext, CallOutcome, ForwardRequest, NotRunCause, UnknownCause,
};

/// Maximum idle time for reuse for a request that must not run twice: after a reset it is unknown whether it ran.
const IDLE_MAX_RUNS_ONCE: Duration = Duration::from_millis(1_500);
/// Safety margin before the idle timeout announced by the backend server.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time in which the server notices that a connection is closed and accepts another in its place.
const CLOSE_NOTICE_TIME: Duration = Duration::from_millis(5);
/// Maximum size of an answer's body.
const ANSWER_BYTES_MAX: usize = 64 << 20;
/// Maximum bytes of an answer before its head is complete, interim answers among them.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// Maximum bytes between two parts of a body, such as sizes and extensions of chunks, and what is
/// read ahead.
const FRAMING_BYTES_MAX: usize = 192 * 1024;

/// The outcome of a request that could not be sent.
const UNREACHABLE: CallOutcome =
    CallOutcome::NotRun { cause: NotRunCause::Unreachable, capacity_in_millis: 0 };

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

    /// The head of an answer arrived, or the connection ended without one.
    fn observe_answer(&self, context: &CallContext, answer: &ExchangeAnswer<'_>);

    /// Nothing listens at the backend server's address any more.
    fn observe_end(&self, target: &BackendTarget);
}

/// A request for the backend server, without its contents.
#[derive(Clone, Copy)]
pub(crate) struct BackendExchange<'a> {
    pub(crate) target: &'a BackendTarget,
    pub(crate) context: &'a CallContext,
    /// Whether the request must not run twice.
    pub(crate) runs_once: bool,
    pub(crate) observer: &'a dyn ExchangeObserver,
}

/// What came back for a request on its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeAnswer<'a> {
    /// The number of the connection in this process.
    pub(crate) connection: u64,
    /// The number of the exchange on the connection, from 1.
    pub(crate) exchange: usize,
    /// How often the request was sent on the connection, this time included.
    pub(crate) sends: usize,
    /// The status and headers, with what they tell of their origin; `None` without an answer.
    pub(crate) head: Option<(StatusCode, &'a HeaderMap, AnswerOrigin)>,
}

/// Idle connections to the backend server.
#[derive(Debug)]
pub(crate) struct BackendPool {
    clock: MilliClock,
    headers: HeaderNames,
    memory: Arc<MemoryBudget>,
    idle: Mutex<Vec<BackendConnection>>,
    /// Counts idle connections on which bytes arrived.
    idle_surplus: Counter,
    doubt: Arc<Mutex<SurplusDoubt>>,
}

impl BackendPool {
    pub(crate) fn new(
        clock: MilliClock,
        headers: HeaderNames,
        memory: Arc<MemoryBudget>,
        idle_surplus: Counter,
    ) -> Self {
        BackendPool {
            clock,
            headers,
            memory,
            idle: Mutex::default(),
            idle_surplus,
            doubt: Arc::default(),
        }
    }

    /// Whether the server is expected to send answers too many.
    fn is_doubtful(&self) -> bool {
        self.doubt.lock().expect("lock not poisoned").is_raised(self.clock.now())
    }

    fn note_surplus(&self) {
        self.doubt.lock().expect("lock not poisoned").note(self.clock.now());
    }

    /// Forgets the server: another start of it is about to be used.
    pub(crate) fn reset(&self) {
        *self.doubt.lock().expect("lock not poisoned") = SurplusDoubt::default();
        self.clear();
    }

    /// Closes every idle connection.
    fn clear(&self) {
        self.idle.lock().expect("lock not poisoned").clear();
    }

    /// Sends a request and receives the complete answer. Dropping the future closes the connection.
    pub(crate) async fn exchange(
        &self,
        exchange: BackendExchange<'_>,
        request: &ForwardRequest,
        remaining: Duration,
    ) -> CallOutcome {
        let BackendExchange { target, context, observer, .. } = exchange;
        let Some(outgoing) = self.build_request(target, context, request, remaining) else {
            return CallOutcome::NotRun {
                cause: NotRunCause::BackendRefused,
                capacity_in_millis: 0,
            };
        };
        match self.send(exchange, outgoing).await {
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
        exchange: BackendExchange<'_>,
        mut outgoing: Request<Full<Bytes>>,
    ) -> CallOutcome {
        let BackendExchange { target, context, runs_once, observer } = exchange;
        loop {
            let is_alone = runs_once && self.is_doubtful();
            let pooled = match is_alone {
                true => None,
                false => self.take_idle(target.address, &context.request_id, runs_once),
            };
            let is_pooled = pooled.is_some();
            let opened = match pooled {
                Some(connection) => Ok(connection),
                None => self.connect_for(target.address, &context.request_id).await,
            };
            let mut connection = match opened {
                Ok(connection) => connection,
                Err(error) => {
                    if error.kind() == std::io::ErrorKind::ConnectionRefused {
                        observer.observe_end(target);
                    }
                    return UNREACHABLE;
                }
            };
            connection.meter.allow(HEAD_BYTES_MAX);
            connection.meter.begin_head();
            connection.history.begin(&context.request_id);
            connection.is_kept = !is_alone;
            observer.observe_send();
            match connection.sender.try_send_request(outgoing).await {
                Ok(answer) => return self.take_answer(exchange, connection, answer).await,
                Err(mut error) => match error.take_message() {
                    // The pooled connection was closed before anything was written.
                    Some(unsent) if is_pooled => outgoing = unsent,
                    Some(_) => return UNREACHABLE,
                    None => {
                        observer.observe_answer(context, &seen_on(&connection, context, None));
                        return self.give_up(&connection, UnknownCause::Broken);
                    }
                },
            }
        }
    }

    /// Decides what an answer is taken for, and receives its body.
    async fn take_answer(
        &self,
        exchange: BackendExchange<'_>,
        mut connection: BackendConnection,
        answer: Response<hyper::body::Incoming>,
    ) -> CallOutcome {
        let BackendExchange { target, context, runs_once, observer } = exchange;
        let origin = self.origin(&mut connection, context, &answer);
        let head = Some((answer.status(), answer.headers(), origin));
        observer.observe_answer(context, &seen_on(&connection, context, head));
        match origin.is_own() {
            true => observer.observe_head(target, answer.headers()),
            false => self.note_surplus(),
        }
        // No later answer without an id could be told from a copy of this one.
        connection.is_kept &= origin != AnswerOrigin::First;
        let verdict = self.answer_traits(&answer, origin, runs_once).verdict();
        self.finish_exchange(connection, answer, verdict).await
    }

    async fn finish_exchange(
        &self,
        mut connection: BackendConnection,
        answer: Response<hyper::body::Incoming>,
        verdict: AnswerVerdict,
    ) -> CallOutcome {
        let keep_alive = keep_alive_timeout(answer.headers());
        connection.is_kept &= !has_connection_close(answer.headers());
        if verdict == AnswerVerdict::Spoiled {
            return self.give_up(&connection, UnknownCause::Spoiled);
        }
        match self.receive(answer, verdict, &connection.meter).await {
            Ok(outcome) => {
                // Bytes after the answer close the connection.
                yield_now().await;
                if connection.is_kept && !connection.sender.is_closed() {
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
    fn give_up(&self, connection: &BackendConnection, cause: UnknownCause) -> CallOutcome {
        if connection.history.count() > 1 {
            self.clear();
        }
        CallOutcome::Unknown(cause)
    }

    async fn receive(
        &self,
        answer: Response<hyper::body::Incoming>,
        verdict: AnswerVerdict,
        meter: &ReadMeter,
    ) -> Result<CallOutcome, UnknownCause> {
        let (parts, body) = answer.into_parts();
        meter.allow(FRAMING_BYTES_MAX);
        let on_frame = || meter.allow(FRAMING_BYTES_MAX);
        let received = self.memory.receive_answer(body, ANSWER_BYTES_MAX, on_frame).await;
        let body = received.map_err(|error| match error {
            BodyError::Broken { .. } => UnknownCause::Broken,
            _ => UnknownCause::TooLarge,
        })?;
        match verdict {
            AnswerVerdict::Answered => {}
            AnswerVerdict::Refused => {
                let cause = NotRunCause::BackendRefused;
                return Ok(CallOutcome::NotRun { cause, capacity_in_millis: 0 });
            }
            AnswerVerdict::Spoiled | AnswerVerdict::Unproven => {
                return Ok(CallOutcome::Unknown(UnknownCause::Spoiled));
            }
        }
        let mut headers = end_to_end(&parts.headers);
        // The daemon that received the request sets the id and the date itself.
        headers.remove(&self.headers.request_id);
        headers.remove(DATE);
        headers.remove(&self.headers.not_run);
        let headers = header_pairs(&headers, &body);
        let status = parts.status.as_u16();
        Ok(CallOutcome::Answered(BackendAnswer { status, headers, body }))
    }

    fn origin(
        &self,
        connection: &mut BackendConnection,
        context: &CallContext,
        answer: &Response<hyper::body::Incoming>,
    ) -> AnswerOrigin {
        let (status, headers) = (answer.status(), answer.headers());
        let status_lines = connection.meter.status_lines();
        let usual = connection.usual_status_lines.get_or_insert(status_lines);
        if HeadScan::is_merged(status_lines, *usual, status.is_success()) {
            return AnswerOrigin::Merged;
        }
        let named = headers.get_all(&self.headers.request_id);
        connection.history.origin(&context.request_id, named.iter().map(HeaderValue::as_bytes))
    }

    fn answer_traits(
        &self,
        answer: &Response<hyper::body::Incoming>,
        origin: AnswerOrigin,
        runs_once: bool,
    ) -> AnswerTraits {
        let headers = answer.headers();
        AnswerTraits {
            origin,
            status: answer.status().as_u16(),
            is_marked: headers.contains_key(&self.headers.not_run),
            is_signed: headers.contains_key(&self.headers.signature),
            is_encoded: headers.contains_key(CONTENT_ENCODING),
            runs_once,
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

    /// Takes the newest idle connection that may carry the request.
    fn take_idle(
        &self,
        address: SocketAddr,
        request_id: &str,
        runs_once: bool,
    ) -> Option<BackendConnection> {
        let now = self.clock.now();
        let bound = if runs_once { IDLE_MAX_RUNS_ONCE } else { IDLE_MAX };
        let mut idle = self.idle.lock().expect("lock not poisoned");
        idle.retain(|connection| connection.is_usable(address, now));
        let may_carry = |connection: &BackendConnection| {
            now.since(connection.idle_since) < bound
                && connection.sender.is_ready()
                && connection.history.may_carry(request_id)
        };
        let newest = idle.iter().rposition(may_carry)?;
        Some(idle.remove(newest))
    }

    /// Opens a connection for a request. One that is idle and must not carry the request again makes
    /// room for it, as servers bound their connections.
    async fn connect_for(
        &self,
        address: SocketAddr,
        request_id: &str,
    ) -> std::io::Result<BackendConnection> {
        let carried = {
            let mut idle = self.idle.lock().expect("lock not poisoned");
            let has_carried =
                |connection: &BackendConnection| connection.history.sends(request_id) > 0;
            idle.iter().position(has_carried).map(|index| idle.remove(index))
        };
        if let Some(carried) = carried {
            carried.close().await;
            sleep(CLOSE_NOTICE_TIME).await;
        }
        self.connect(address).await
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<BackendConnection> {
        let (count, doubt) = (self.idle_surplus.clone(), self.doubt.clone());
        let clock = self.clock.clone();
        let on_surplus = move || {
            count.inc();
            doubt.lock().expect("lock not poisoned").note(clock.now());
        };
        BackendConnection::open(address, self.clock.now(), on_surplus).await
    }
}

fn seen_on<'a>(
    connection: &BackendConnection,
    context: &CallContext,
    head: Option<(StatusCode, &'a HeaderMap, AnswerOrigin)>,
) -> ExchangeAnswer<'a> {
    ExchangeAnswer {
        connection: connection.number,
        exchange: connection.history.count(),
        sends: connection.history.sends(&context.request_id),
        head,
    }
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
