//! An upstream beside a daemon: it announces itself, runs requests and makes calls of its own.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::{DEADLINE_MILLIS, HOST, ORGANISATION, REQUEST_ID, SIGNATURE, TARGET};
use crate::http::{HttpClient, ReceivedRequest, ServerReply, exchange, http_client, serve};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// An acknowledgement counts if it arrives within this time.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// How an upstream works.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Its service.
    pub service: String,
    /// The time of a run beside its calls.
    pub service_time: Duration,
    /// The paths that each run calls, one after the other.
    pub calls: Vec<String>,
    /// Where daemons reach it, which it announces.
    pub announced: SocketAddr,
    /// The daemon beside it: for calls, and for announcements.
    pub outbound: SocketAddr,
    /// Where it announces itself.
    pub control: SocketAddr,
}

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRun {
    /// The caller's id.
    pub request_id: String,
    /// The upstream's service.
    pub service: String,
    /// The upstream's id.
    pub instance: String,
    /// The organisation that the daemon named, empty if none.
    pub organisation: String,
    /// Whether the caller's key came with it.
    pub has_key: bool,
}

/// Is told what upstreams do.
pub trait UpstreamObserver: Send + Sync {
    /// A request begins to run.
    fn started(&self, run: &UpstreamRun);
    /// An upstream's leaving was acknowledged.
    fn leave_acknowledged(&self, instance: &str);
}

struct UpstreamState {
    plan: UpstreamPlan,
    instance: String,
    observer: Arc<dyn UpstreamObserver>,
    client: HttpClient,
    is_draining: AtomicBool,
    beats: AtomicU64,
    calls: AtomicU64,
    born: u64,
}

/// A running upstream; it ends when this is dropped.
pub struct UpstreamServer {
    address: SocketAddr,
    state: Arc<UpstreamState>,
    tasks: Mutex<JoinSet<()>>,
}

impl UpstreamServer {
    /// Starts an upstream at `address` with this id.
    ///
    /// # Errors
    /// The system's reason if the address cannot be opened.
    pub async fn start(
        address: SocketAddr,
        instance: String,
        plan: UpstreamPlan,
        observer: Arc<dyn UpstreamObserver>,
    ) -> std::io::Result<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let state = Arc::new(UpstreamState {
            plan,
            instance,
            observer,
            client: http_client(),
            is_draining: AtomicBool::new(false),
            beats: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            born: since_epoch.expect("the clock is set").as_millis() as u64,
        });
        let shared = state.clone();
        let (address, mut tasks) =
            serve(address, move |request| run(shared.clone(), request)).await?;
        tasks.spawn(announce(state.clone()));
        Ok(UpstreamServer { address, state, tasks: Mutex::new(tasks) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Announces from now on that it leaves; it goes on serving.
    pub fn drain(&self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
        let state = self.state.clone();
        let beat = async move {
            beat(&state).await;
        };
        self.tasks.lock().expect("no holder panics").spawn(beat);
    }
}

async fn announce(state: Arc<UpstreamState>) {
    loop {
        beat(&state).await;
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn beat(state: &UpstreamState) {
    let is_draining = state.is_draining.load(Ordering::SeqCst);
    let phase = if is_draining { "draining" } else { "ready" };
    let sequence = state.beats.fetch_add(1, Ordering::SeqCst);
    let body = json!({"address": state.plan.announced.to_string(), "born": state.born,
        "info": {"service": state.plan.service, "version": "v1", "zone": "zone", "slots": 16},
        "status": {"phase": phase, "sequence": sequence, "cold_remaining_s": 0}});
    let uri = format!("http://{}/api/instances/{}", state.plan.control, state.instance);
    let request = Request::put(uri).body(Full::new(Bytes::from(body.to_string())));
    let request = request.expect("the address makes a URI");
    // A heartbeat without an answer is followed by the next one.
    let answer = timeout(ACKNOWLEDGEMENT_TIMEOUT, exchange(&state.client, request)).await;
    if is_draining && matches!(answer, Ok(Ok((StatusCode::OK, ..)))) {
        state.observer.leave_acknowledged(&state.instance);
    }
}

async fn run(state: Arc<UpstreamState>, request: ReceivedRequest) -> ServerReply {
    let id = request.header(REQUEST_ID).to_owned();
    if request.header(TARGET) != state.instance {
        return ServerReply::Send(reply(StatusCode::MISDIRECTED_REQUEST, &id, String::new()));
    }
    state.observer.started(&UpstreamRun {
        request_id: id.clone(),
        service: state.plan.service.clone(),
        instance: state.instance.clone(),
        organisation: request.header(ORGANISATION).to_owned(),
        has_key: request.headers.contains_key("authorization"),
    });
    sleep(state.plan.service_time).await;
    for path in &state.plan.calls {
        if !call(&state, &id, path, request.header(DEADLINE_MILLIS)).await {
            let mut failed = reply(StatusCode::INTERNAL_SERVER_ERROR, &id, String::new());
            failed.headers_mut().insert(SIGNATURE, state.instance.parse().expect("it is plain"));
            return ServerReply::Send(failed);
        }
    }
    let mut answer = reply(StatusCode::OK, &id, format!("{id}@{}", state.instance));
    answer.headers_mut().insert(SIGNATURE, state.instance.parse().expect("it is plain"));
    ServerReply::Send(answer)
}

fn reply(status: StatusCode, id: &str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    if let Ok(id) = id.parse() {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Makes a call of a run through the daemon beside this upstream.
async fn call(state: &UpstreamState, run: &str, path: &str, deadline_millis: &str) -> bool {
    let number = state.calls.fetch_add(1, Ordering::SeqCst);
    let request = Request::get(format!("http://{}{path}", state.plan.outbound))
        .header("host", HOST)
        .header(REQUEST_ID, format!("{run}.{}-{number}", state.instance))
        .header(DEADLINE_MILLIS, deadline_millis)
        .body(Full::default());
    let request = request.expect("the address makes a URI");
    matches!(exchange(&state.client, request).await, Ok((StatusCode::OK, ..)))
}
