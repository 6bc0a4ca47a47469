//! Serves calls over HTTP/2 and control links over WebSocket for other daemons.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::control_link::{CONTROL_PATH, accept_link};
use super::listener::{CONNECTIONS_LIMIT, ConnectionTimeouts, accept, serve_connection};
use super::peer_call::TARGET_BOOT;
use crate::error::ResultCode;
use crate::process::shared::DaemonShared;
use crate::process::stop::StopSignal;
use crate::request::answer::{refusal, respond};
use crate::request::context::RequestContext;
use crate::request::header::{CONTEXT, end_to_end, parse_number};
use crate::request::incoming::BufferedRequest;
use crate::request::local::serve_local;
use crate::request::report::CallReport;

/// Serves connections of other daemons until `close` is raised.
pub async fn serve_peers(shared: Arc<DaemonShared>, listener: TcpListener, close: StopSignal) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            stream = accept(&listener), if connections.len() < CONNECTIONS_LIMIT => {
                connections.spawn(serve_peer(shared.clone(), stream, close.clone()));
            }
            Some(_) = connections.join_next() => {}
            () = close.raised() => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_peer(shared: Arc<DaemonShared>, stream: TcpStream, close: StopSignal) {
    let Ok(stream) = shared.transport.accept(stream).await else {
        shared.metrics.count("peer_refused");
        return;
    };
    let head_timeout = shared.config.limits.head_timeout;
    let times = ConnectionTimeouts { head_timeout, ..ConnectionTimeouts::default() };
    let handler = move |request| serve_request(shared.clone(), request);
    serve_connection(stream, close, times, handler).await;
}

async fn serve_request(
    shared: Arc<DaemonShared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if request.uri().path() == CONTROL_PATH {
        return accept_link(shared, request);
    }
    serve_call(&shared, request).await
}

async fn serve_call(
    shared: &Arc<DaemonShared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _in_flight = shared.in_flight.enter();
    let Some(value) = request.headers().get(CONTEXT) else {
        return refusal(ResultCode::RequestMalformed);
    };
    let Some(context) = RequestContext::decode(value.as_bytes()) else {
        return refusal(ResultCode::RequestMalformed);
    };
    if parse_number(request.headers(), &TARGET_BOOT) != Some(shared.instance.boot) {
        shared.metrics.count("call_for_former_instance");
        return with_report(refusal(ResultCode::NoUpstream), CallReport::unspent(context.retries));
    }
    let mut request = match BufferedRequest::read(request, &shared.config.limits).await {
        Ok(request) => request,
        Err(code) => return with_report(refusal(code), CallReport::unspent(context.retries)),
    };
    request.headers = end_to_end(&request.headers);
    let answer = serve_local(shared, &context, &request).await;
    with_report(respond(answer.result), answer.report)
}

fn with_report(mut response: Response<Full<Bytes>>, report: CallReport) -> Response<Full<Bytes>> {
    report.write(response.headers_mut());
    response
}
