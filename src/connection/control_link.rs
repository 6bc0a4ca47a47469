//! Control links between daemons: CBOR frames over WebSocket.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, SEC_WEBSOCKET_ACCEPT, SEC_WEBSOCKET_KEY, UPGRADE};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::sync::{mpsc, oneshot};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::handshake::derive_accept_key;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::tungstenite::{self, Message};

use super::peer_message::{FrameKind, PeerFrame, PeerMessage};
use super::peer_transport::{PeerStream, PeerTransport};
use crate::error::ResultCode;
use crate::process::members::InstanceId;
use crate::process::peer_topics::handle_peer;
use crate::process::shared::DaemonShared;

/// HTTP path of the control link's WebSocket upgrade.
pub const CONTROL_PATH: &str = "/lentilway/control";

/// The largest frame, in bytes.
pub const FRAME_BYTES_LIMIT: usize = 16 * 1024 * 1024;

const LINK_QUEUE: usize = 256;
const LINK_READ_BYTES: usize = 4 * 1024;
const LINK_OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum silence of a link after a call has timed out, before the link is reopened.
const LINK_SILENCE_LIMIT: Duration = Duration::from_secs(1);

const LINK_IDLE_LIMIT: Duration = Duration::from_secs(60);

struct OutgoingFrame {
    body: PeerMessage,
    reply: Option<oneshot::Sender<PeerMessage>>,
}

/// The outgoing control links of this daemon, with one task per peer.
pub struct ControlLinks {
    transport: PeerTransport,
    instance: InstanceId,
    links: Mutex<HashMap<SocketAddr, mpsc::Sender<OutgoingFrame>>>,
}

impl ControlLinks {
    /// No links yet; links open on demand and close when idle.
    pub fn new(transport: PeerTransport, instance: InstanceId) -> Arc<Self> {
        Arc::new(ControlLinks { transport, instance, links: Mutex::default() })
    }

    /// Sends `body` to `address` and waits for the reply.
    ///
    /// # Errors
    /// [`ResultCode::PeerUnavailable`] if none arrived within `timeout`.
    pub async fn call(
        self: &Arc<Self>,
        address: SocketAddr,
        body: PeerMessage,
        timeout: Duration,
    ) -> Result<PeerMessage, ResultCode> {
        let (reply, answer) = oneshot::channel();
        let link = self.link(address);
        let exchange = async {
            link.send(OutgoingFrame { body, reply: Some(reply) }).await.ok()?;
            answer.await.ok()
        };
        let answer = tokio::time::timeout(timeout, exchange).await;
        answer.ok().flatten().ok_or(ResultCode::PeerUnavailable)
    }

    /// Sends `body` to `address` without waiting; it is dropped if the link is full or broken.
    pub fn cast(self: &Arc<Self>, address: SocketAddr, body: PeerMessage) {
        // A cast may be lost; senders repeat what must arrive.
        let _ = self.link(address).try_send(OutgoingFrame { body, reply: None });
    }

    fn link(self: &Arc<Self>, address: SocketAddr) -> mpsc::Sender<OutgoingFrame> {
        let mut links = self.links.lock().expect("lock not poisoned");
        if let Some(link) = links.get(&address).filter(|link| !link.is_closed()) {
            return link.clone();
        }
        // Otherwise links to daemons that have stopped would accumulate.
        links.retain(|_, link| !link.is_closed());
        let (sender, receiver) = mpsc::channel(LINK_QUEUE);
        links.insert(address, sender.clone());
        tokio::spawn(run_link(self.transport.clone(), self.instance, address, receiver));
        sender
    }
}

/// Runs one outgoing link until it fails or is idle.
async fn run_link(
    transport: PeerTransport,
    instance: InstanceId,
    address: SocketAddr,
    mut outgoing: mpsc::Receiver<OutgoingFrame>,
) {
    let opened = tokio::time::timeout(LINK_OPEN_TIMEOUT, open_link(&transport, address)).await;
    let Ok(Some(mut socket)) = opened else { return };
    let mut silent_since = None;
    let mut pending: HashMap<u64, oneshot::Sender<PeerMessage>> = HashMap::new();
    let mut next_id = 0;
    loop {
        tokio::select! {
            frame = outgoing.recv() => {
                let Some(frame) = frame else { return };
                next_id += 1;
                let kind = if frame.reply.is_some() { FrameKind::Call } else { FrameKind::Cast };
                if let Some(reply) = frame.reply {
                    pending.insert(next_id, reply);
                }
                let frame = PeerFrame { id: next_id, kind, from: instance, body: frame.body };
                let sent = socket.send(Message::Binary(frame.encode()));
                if !matches!(tokio::time::timeout(LINK_OPEN_TIMEOUT, sent).await, Ok(Ok(()))) {
                    return;
                }
                if pending.extract_if(|_, reply| reply.is_closed()).count() > 0 {
                    silent_since.get_or_insert_with(Instant::now);
                }
                if silent_since.is_some_and(|since| since.elapsed() > LINK_SILENCE_LIMIT) {
                    return;
                }
            }
            message = socket.next() => {
                silent_since = None;
                let Some(Ok(message)) = message else { return };
                let Message::Binary(bytes) = message else { continue };
                let Ok(frame) = PeerFrame::decode(&bytes) else { return };
                if let Some(reply) = pending.remove(&frame.id) {
                    // The caller may have timed out.
                    let _ = reply.send(frame.body);
                }
            }
            () = tokio::time::sleep(LINK_IDLE_LIMIT) => return,
        }
    }
}

async fn open_link(
    transport: &PeerTransport,
    address: SocketAddr,
) -> Option<WebSocketStream<impl PeerStream>> {
    let stream = transport.connect(address).await.ok()?;
    let url = format!("ws://{address}{CONTROL_PATH}");
    let config = Some(link_config());
    let opened = tokio_tungstenite::client_async_with_config(url, stream, config).await;
    opened.ok().map(|(socket, _)| socket)
}

/// Accepts a control link opened by another daemon.
pub fn accept_link(
    shared: Arc<DaemonShared>,
    mut request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let Some(key) = request.headers().get(SEC_WEBSOCKET_KEY) else {
        return crate::request::answer::refusal(ResultCode::PeerMalformed);
    };
    let accept = derive_accept_key(key.as_bytes());
    tokio::spawn(async move {
        if let Ok(upgraded) = hyper::upgrade::on(&mut request).await {
            serve_link(shared, TokioIo::new(upgraded)).await;
        }
    });
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static("websocket"));
    if let Ok(accept) = HeaderValue::from_str(&accept) {
        headers.insert(SEC_WEBSOCKET_ACCEPT, accept);
    }
    response
}

/// Serves one incoming link until the peer closes it or the daemon stops.
async fn serve_link(shared: Arc<DaemonShared>, stream: impl PeerStream) {
    let config = Some(link_config());
    let socket = WebSocketStream::from_raw_socket(stream, Role::Server, config).await;
    let (mut sink, mut source) = socket.split();
    let (replies, mut queue) = mpsc::channel::<PeerFrame>(LINK_QUEUE);
    loop {
        tokio::select! {
            message = source.next() => {
                let message = match message {
                    Some(Ok(message)) => message,
                    Some(Err(error)) => return count_violation(&shared, &error),
                    None => return,
                };
                let Message::Binary(bytes) = message else { continue };
                let Ok(frame) = PeerFrame::decode(&bytes) else {
                    shared.metrics.count("peer_malformed");
                    return;
                };
                tokio::spawn(serve_frame(shared.clone(), frame, replies.clone()));
            }
            Some(frame) = queue.recv() => {
                if sink.send(Message::Binary(frame.encode())).await.is_err() {
                    return;
                }
            }
            () = shared.close.raised() => return,
        }
    }
}

/// Counts a link that ended with a protocol violation by the peer.
fn count_violation(shared: &DaemonShared, error: &tungstenite::Error) {
    if matches!(error, tungstenite::Error::Capacity(_) | tungstenite::Error::Protocol(_)) {
        shared.metrics.count("peer_malformed");
    }
}

async fn serve_frame(
    shared: Arc<DaemonShared>,
    frame: PeerFrame,
    replies: mpsc::Sender<PeerFrame>,
) {
    let answer = handle_peer(&shared, frame.from, frame.body).await;
    if frame.kind == FrameKind::Call {
        let body = answer.unwrap_or(PeerMessage::Unknown);
        let kind = FrameKind::Reply;
        // If the link has closed, the caller's timeout applies.
        let _ = replies.send(PeerFrame { id: frame.id, kind, from: shared.instance, body }).await;
    }
}

fn link_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(LINK_READ_BYTES)
        .max_message_size(Some(FRAME_BYTES_LIMIT))
        .max_frame_size(Some(FRAME_BYTES_LIMIT))
}
