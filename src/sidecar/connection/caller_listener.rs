//! Accepts callers' connections within the limits of the machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::caller_watch::{CallerTimes, CallerWatch, WatchedStream};
use super::connection_table::{ConnectionSeat, ConnectionTable};
use super::http1_connection::{HeadLimits, serve_http1};
use crate::connection::listener::{CONNECTIONS_LIMIT, READ_BUFFER_BYTES, accept, add_close};
use crate::policy::connection_roster::{ConnectionStanding, RosterLimits};
use crate::policy::descriptor_share::caller_limits;
use crate::process::stop::StopSignal;
use crate::sidecar::process::decision_log::LineCategory;
use crate::sidecar::process::memory_budget::{MemoryHolder, MemoryLease};
use crate::sidecar::process::sidecar_shared::SidecarShared;
use crate::sidecar::request::handler::serve_request;

/// Memory of a connection without its read buffer.
const CONNECTION_BYTES: usize = 8 * 1024;
/// What may be read beyond the configured size of a head: the request line and separators.
const HEAD_MARGIN_BYTES: usize = 4 * 1024;

#[derive(serde::Serialize)]
struct ConnectionLine {
    reason: &'static str,
    connections: usize,
}

/// Serves callers until `stop` is raised and all connections have ended. While callers keep all the
/// connections that they may, others are accepted for one request each, so that those that send
/// theirs at once are served.
pub(crate) async fn serve_callers(
    shared: Arc<SidecarShared>,
    listener: TcpListener,
    stop: StopSignal,
) {
    let limits = caller_limits(shared.settings.descriptors_max);
    let is_full = Arc::new(AtomicBool::new(false));
    let mut connections = JoinSet::new();
    // A request that is handled is not given up for others.
    let reserve_limits = |receiving| RosterLimits { new: receiving, proven: usize::MAX };
    let reserve = ConnectionTable::new(reserve_limits(limits.receiving));
    let mut reserved = JoinSet::new();
    loop {
        let memory_max = shared.memory.connections_max(connection_bytes(&shared));
        let limits = limits.within(memory_max);
        reserve.set_limits(reserve_limits(limits.receiving));
        let has_place = connections.len() < limits.kept.min(CONNECTIONS_LIMIT);
        is_full.store(!has_place, Ordering::Relaxed);
        let has_reserve = reserve.count(ConnectionStanding::Proven) < limits.handled;
        tokio::select! {
            (stream, lease) = accept_leased(&shared, &listener, &is_full), if has_place || has_reserve => {
                let caller = (stream, lease, is_full.clone());
                let serve = |seat| serve_caller(shared.clone(), caller, stop.clone(), seat);
                if has_place {
                    connections.spawn(serve(None));
                } else {
                    count_connection(&shared, "too-many", connections.len());
                    reserve.admit(|seat| reserved.spawn(serve(Some(Arc::new(seat))))).await;
                }
            }
            Some(_) = connections.join_next() => {}
            Some(_) = reserved.join_next() => {}
            () = stop.raised() => break,
        }
    }
    // Otherwise connections left in the system's accept queue would be reset.
    while let Some((stream, lease)) = accept_leased(&shared, &listener, &is_full).now_or_never() {
        let caller = (stream, lease, is_full.clone());
        connections.spawn(serve_caller(shared.clone(), caller, stop.clone(), None));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    while reserved.join_next().await.is_some() {}
}

/// Memory of a connection with its read buffer.
fn connection_bytes(shared: &SidecarShared) -> usize {
    let limits = shared.config().map(|config| config.limits).unwrap_or_default();
    CONNECTION_BYTES + READ_BUFFER_BYTES.min(limits.header_bytes + HEAD_MARGIN_BYTES)
}

/// Accepts a connection for which there is memory; others wait in the system's queue.
async fn accept_leased(
    shared: &SidecarShared,
    listener: &TcpListener,
    is_full: &AtomicBool,
) -> (TcpStream, MemoryLease) {
    let bytes = connection_bytes(shared);
    let lease = match shared.memory.lease(MemoryHolder::Connections, bytes) {
        Some(lease) => lease,
        None => {
            is_full.store(true, Ordering::Relaxed);
            count_connection(shared, "no-memory", 1);
            shared.memory.wait_lease(MemoryHolder::Connections, bytes).await
        }
    };
    (accept(listener).await, lease)
}

async fn serve_caller(
    shared: Arc<SidecarShared>,
    (stream, _lease, is_full): (TcpStream, MemoryLease, Arc<AtomicBool>),
    stop: StopSignal,
    seat: Option<Arc<ConnectionSeat>>,
) {
    let limits = shared.config().map(|config| config.limits).unwrap_or_default();
    let times =
        CallerTimes { head_timeout: limits.head_timeout, idle_timeout: limits.idle_timeout };
    let head_limits = HeadLimits {
        bytes: limits.header_bytes + HEAD_MARGIN_BYTES,
        // The watch tells a slow head from an idle connection, which the library does not.
        timeout: limits.head_timeout + limits.idle_timeout,
    };
    let watch = CallerWatch::new();
    let (state, requests) = (shared.clone(), watch.clone());
    let handler = move |mut request: hyper::Request<_>| {
        let active = requests.begin_request();
        let state = state.clone();
        let is_last = seat.is_some();
        if let Some(seat) = &seat {
            request.extensions_mut().insert(seat.clone());
        }
        async move {
            let _active = active;
            let answer = serve_request(state, request).await;
            if is_last { add_close(answer) } else { answer }
        }
    };
    let stream = WatchedStream::new(stream, watch.clone());
    tokio::select! {
        () = serve_http1(stream, stop, head_limits, handler) => {}
        reason = watch.closing(times, &is_full) => count_connection(&shared, reason.name(), 1),
    }
}

/// Counts connections that are closed or wait, with a line of the log within its bound per second.
pub(super) fn count_connection(shared: &SidecarShared, reason: &'static str, connections: usize) {
    shared.metrics.connection_limited(reason);
    if reason != "idle" {
        let line = ConnectionLine { reason, connections };
        shared.log.write(LineCategory::Change, "connection-limited", &line);
    }
}
