//! Callers that reuse a connection until it closes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use lentilway_stand_ins::platform::upstream::UpstreamStatement;
use lentilway_stand_ins::platform::{DEADLINE_MILLIS, HOST, REQUEST_ID, SIGNATURE};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::history::{CallerOutcome, SentRequest, SoakHistory};

/// The deadline that callers send with a request.
const REQUEST_DEADLINE: Duration = Duration::from_secs(2);
/// Time for an answer sent at the deadline to arrive.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// One request in this many is abandoned by its caller.
const ABANDON_ONE_IN: u32 = 40;
const PAUSE_MAX: Duration = Duration::from_millis(60);

/// A route that callers send requests to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerRoute {
    pub(crate) name: &'static str,
    pub(crate) is_safe: bool,
}

/// An organisation and the keys that callers use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerOrganisation {
    pub(crate) name: &'static str,
    pub(crate) keys: [&'static str; 2],
}

/// State shared by the callers of one daemon.
pub(crate) struct CallerGroup {
    pub(crate) daemon: usize,
    pub(crate) address: SocketAddr,
    /// Number of times the daemon was started.
    pub(crate) start: Arc<AtomicU32>,
    /// Whether the platform would route callers to the daemon.
    pub(crate) is_ready: watch::Receiver<bool>,
    pub(crate) routes: watch::Receiver<Vec<CallerRoute>>,
    pub(crate) organisations: Vec<CallerOrganisation>,
    pub(crate) history: Arc<SoakHistory>,
    pub(crate) next_id: Arc<AtomicU64>,
    pub(crate) end: watch::Receiver<bool>,
}

type Connection = SendRequest<Full<Bytes>>;

/// Sends requests one after the other until `end` is set.
pub(crate) async fn run_caller(group: Arc<CallerGroup>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut connection: Option<Connection> = None;
    while !*group.end.borrow() {
        sleep(PAUSE_MAX.mul_f64(random.random::<f64>())).await;
        let is_usable = connection.as_ref().is_some_and(|kept| !kept.is_closed());
        if !is_usable {
            connection = if *group.is_ready.borrow() { connect(group.address).await } else { None };
        }
        if let Some(kept) = connection.take() {
            connection = send(&group, kept, &mut random).await;
        }
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // An error also reaches the request that uses the connection.
        let _ = connection.await;
    });
    Some(sender)
}

/// Sends a request on a connection of its own; `None` if no whole answer arrives.
pub(crate) async fn send_once(
    address: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
) -> Option<CallerOutcome> {
    let mut connection = connect(address).await?;
    let received = receive(&mut connection, build_request(path, id, key));
    let (end, ..) = timeout(REQUEST_DEADLINE + DEADLINE_MARGIN, received).await.ok()??;
    Some(end)
}

fn build_request(path: &str, id: &str, key: &str) -> Request<Full<Bytes>> {
    let request = Request::get(path)
        .header("host", HOST)
        .header(REQUEST_ID, id)
        .header(DEADLINE_MILLIS, REQUEST_DEADLINE.as_millis().to_string())
        .header("authorization", format!("Bearer {key}"))
        .body(Full::default());
    request.expect("the path is a valid URI")
}

/// Sends one request; returns the connection if it can be reused.
async fn send(
    group: &CallerGroup,
    mut connection: Connection,
    random: &mut StdRng,
) -> Option<Connection> {
    if connection.ready().await.is_err() {
        return None;
    }
    let routes = group.routes.borrow().clone();
    let route = routes[random.random_range(0..routes.len())];
    let organisation = group.organisations[random.random_range(0..group.organisations.len())];
    let key = organisation.keys[random.random_range(0..organisation.keys.len())];
    let id = format!("request-{}", group.next_id.fetch_add(1, Ordering::SeqCst));
    let path = format!("/{}/{}", route.name, random.random::<u32>());
    let request = build_request(&path, &id, key);
    let sent = SentRequest {
        daemon: group.daemon,
        start: group.start.load(Ordering::SeqCst),
        route: route.name,
        is_safe: route.is_safe,
        organisation: organisation.name,
        key: key.to_owned(),
        at: Instant::now(),
        end: None,
    };
    group.history.record_sent(&id, sent);
    let is_abandoned = random.random_ratio(1, ABANDON_ONE_IN);
    let wait_limit = if is_abandoned { PAUSE_MAX } else { REQUEST_DEADLINE + DEADLINE_MARGIN };
    let received = timeout(wait_limit, receive(&mut connection, request)).await;
    let (end, is_reusable) = match received {
        Err(_) => (CallerOutcome::Left, false),
        Ok(None) => (CallerOutcome::Cut, false),
        Ok(Some((end, statement, is_reusable))) => {
            if let Some(statement) = statement {
                group.history.record_told(group.daemon, &statement);
            }
            (end, is_reusable)
        }
    };
    group.history.record_outcome(&id, end);
    is_reusable.then_some(connection)
}

async fn receive(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Option<(CallerOutcome, Option<UpstreamStatement>, bool)> {
    let answer = connection.send_request(request).await.ok()?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let closes = parts.headers.get("connection").is_some_and(|value| value == "close");
    let end = CallerOutcome::Answered {
        status: parts.status.as_u16(),
        body: String::from_utf8_lossy(&body).into_owned(),
        is_signed: parts.headers.contains_key(SIGNATURE),
    };
    Some((end, UpstreamStatement::decode(&parts.headers), !closes))
}
