//! Accepts connections of the platform, of operators and of the backend server that announces itself.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::caller_listener::count_connection;
use super::caller_watch::{CallerTimes, CallerWatch, WatchedStream};
use super::connection_table::{ConnectionSeat, ConnectionTable};
use super::http1_connection::{HeadLimits, serve_http1};
use crate::connection::listener::accept;
use crate::policy::connection_roster::ConnectionStanding;
use crate::policy::descriptor_share::{DescriptorUse, roster_limits};
use crate::process::stop::StopSignal;
use crate::sidecar::process::sidecar_shared::SidecarShared;

/// Heads of these requests are short.
const HEAD_BYTES_MAX: usize = 16 * 1024;
/// From the first byte of a head to its end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle connections make room for others long before.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Serves connections with `handler` until `stop` is raised and all have ended. One that has had a
/// request answered with success keeps its place before those that have not.
pub(crate) async fn serve_service<H, F>(
    shared: Arc<SidecarShared>,
    listener: TcpListener,
    stop: StopSignal,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let limits = roster_limits(shared.settings.descriptors_max, DescriptorUse::Service);
    let table = ConnectionTable::new(limits);
    let mut connections = JoinSet::new();
    let serve = |stream: TcpStream, seat: ConnectionSeat| {
        serve_client(shared.clone(), stream, seat, stop.clone(), handler.clone())
    };
    loop {
        tokio::select! {
            stream = accept(&listener) => {
                if table.admit(|seat| connections.spawn(serve(stream, seat))).await {
                    count_connection(&shared, "service-evicted", 1);
                }
            }
            Some(_) = connections.join_next() => {}
            () = stop.raised() => break,
        }
    }
    // Otherwise connections left in the system's accept queue would be reset.
    while let Some(stream) = accept(&listener).now_or_never() {
        table.admit(|seat| connections.spawn(serve(stream, seat))).await;
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_client<H, F>(
    shared: Arc<SidecarShared>,
    stream: TcpStream,
    seat: ConnectionSeat,
    stop: StopSignal,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    let times = CallerTimes { head_timeout: HEAD_TIMEOUT, idle_timeout: IDLE_TIMEOUT };
    let head_limits = HeadLimits { bytes: HEAD_BYTES_MAX, timeout: HEAD_TIMEOUT + IDLE_TIMEOUT };
    let watch = CallerWatch::new();
    let answer = |request: Request<Incoming>| {
        let (active, answer) = (watch.begin_request(), handler(request));
        let (shared, seat) = (&shared, &seat);
        async move {
            let _active = active;
            let answer = answer.await;
            if answer.status().is_success() && seat.promote(ConnectionStanding::Proven) {
                count_connection(shared, "service-evicted", 1);
            }
            answer
        }
    };
    let stream = WatchedStream::new(stream, watch.clone());
    let is_full = AtomicBool::new(false);
    tokio::select! {
        () = serve_http1(stream, stop, head_limits, answer) => {}
        reason = watch.closing(times, &is_full) => count_connection(&shared, reason.name(), 1),
    }
}
