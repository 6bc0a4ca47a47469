//! Calls to other daemons over HTTP/2, with one connection per peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http2::{SendRequest, handshake};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};

use super::peer_transport::PeerTransport;
use crate::error::ResultCode;
use crate::process::members::InstanceId;
use crate::process::shared::DaemonShared;
use crate::request::answer::BufferedAnswer;
use crate::request::context::RequestContext;
use crate::request::header::{CONTEXT, RESULT, parse_number};
use crate::request::incoming::BufferedRequest;
use crate::request::report::CallReport;

/// Boot number of the target daemon; a call for an earlier run is refused.
pub const TARGET_BOOT: HeaderName = HeaderName::from_static("lentilway-target-boot");

/// The answer of another daemon, or of this one, to a call.
#[derive(Clone, Debug)]
pub struct PeerAnswer {
    /// The backend server's answer, or the code that the call ended with.
    pub result: Result<BufferedAnswer, ResultCode>,
    /// Retry and shed feedback.
    pub report: CallReport,
}

type PeerSender = SendRequest<Full<Bytes>>;
type SharedSender = Arc<tokio::sync::Mutex<Option<PeerSender>>>;

/// The connections for outgoing calls.
#[derive(Debug)]
pub struct PeerConnections {
    transport: PeerTransport,
    senders: Mutex<HashMap<SocketAddr, SharedSender>>,
}

impl PeerConnections {
    /// No connections yet.
    pub fn new(transport: PeerTransport) -> Self {
        PeerConnections { transport, senders: Mutex::default() }
    }

    /// A connection to `address` that is ready for a request.
    async fn sender(&self, address: SocketAddr) -> Option<PeerSender> {
        let shared_sender = self.shared_sender(address);
        let mut shared_sender = shared_sender.lock().await;
        if let Some(sender) = shared_sender.as_ref().filter(|sender| !sender.is_closed()) {
            return Some(sender.clone());
        }
        let stream = self.transport.connect(address).await.ok()?;
        let (sender, connection) =
            handshake(TokioExecutor::new(), TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        *shared_sender = Some(sender.clone());
        Some(sender)
    }

    fn shared_sender(&self, address: SocketAddr) -> SharedSender {
        let mut senders = self.senders.lock().expect("lock not poisoned");
        if let Some(shared_sender) = senders.get(&address) {
            return shared_sender.clone();
        }
        // Otherwise connections to daemons that have stopped would accumulate.
        senders.retain(|_, shared_sender| is_in_use(shared_sender));
        senders.entry(address).or_default().clone()
    }
}

/// Whether the connection is open or being opened.
fn is_in_use(shared_sender: &SharedSender) -> bool {
    match shared_sender.try_lock() {
        Ok(sender) => sender.as_ref().is_some_and(|sender| !sender.is_closed()),
        Err(_) => true,
    }
}

/// Sends `request` to `instance` and reads the complete answer.
pub async fn call_peer(
    shared: &DaemonShared,
    instance: &InstanceId,
    context: &RequestContext,
    request: &BufferedRequest,
) -> PeerAnswer {
    let timeout = Duration::from_millis(context.remaining_ms);
    let exchange = exchange(shared, instance, context, request);
    match tokio::time::timeout(timeout, exchange).await {
        Ok(answer) => answer,
        Err(_) => PeerAnswer { result: Err(ResultCode::AnswerLate), report: CallReport::lost() },
    }
}

async fn exchange(
    shared: &DaemonShared,
    instance: &InstanceId,
    context: &RequestContext,
    request: &BufferedRequest,
) -> PeerAnswer {
    let unspent = CallReport::unspent(context.retries);
    let not_sent = |code| PeerAnswer { result: Err(code), report: unspent };
    let Some(mut sender) = shared.peers.sender(instance.address).await else {
        return not_sent(ResultCode::NoUpstream);
    };
    if sender.ready().await.is_err() {
        return not_sent(ResultCode::NoUpstream);
    }
    let Some(outgoing) = outgoing_request(instance, context, request) else {
        return not_sent(ResultCode::RequestMalformed);
    };
    match sender.send_request(outgoing).await {
        Ok(answer) => read_answer(shared, answer).await,
        Err(_) => PeerAnswer { result: Err(ResultCode::AnswerMissing), report: CallReport::lost() },
    }
}

fn outgoing_request(
    instance: &InstanceId,
    context: &RequestContext,
    request: &BufferedRequest,
) -> Option<Request<Full<Bytes>>> {
    let url = format!("http://{}{}", instance.address, request.path);
    let outgoing = Request::builder().method(request.method.clone()).uri(url);
    let mut outgoing = outgoing.body(Full::new(request.body.clone())).ok()?;
    let headers = outgoing.headers_mut();
    *headers = request.headers.clone();
    headers.insert(CONTEXT, HeaderValue::try_from(context.encode()).ok()?);
    headers.insert(TARGET_BOOT, HeaderValue::from(instance.boot));
    Some(outgoing)
}

async fn read_answer(shared: &DaemonShared, answer: Response<Incoming>) -> PeerAnswer {
    let (parts, body) = answer.into_parts();
    let report = CallReport::read(&parts.headers);
    let code = parse_number(&parts.headers, &RESULT).and_then(ResultCode::from_number);
    let result = match code {
        Some(ResultCode::Answered) => {
            let limit = shared.config.limits.answer_bytes;
            let body = Limited::new(body, limit).collect().await;
            let body = body.map_err(|_| ResultCode::AnswerMissing);
            body.map(|body| BufferedAnswer::new(parts.status, &parts.headers, body.to_bytes()))
        }
        Some(code) => Err(code),
        None => Err(ResultCode::AnswerMissing),
    };
    PeerAnswer { result, report }
}
