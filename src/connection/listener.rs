//! Accepts HTTP connections, serves each in its own task and shuts down gracefully.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::error::{DaemonError, ListenSnafu};
use crate::process::stop::StopSignal;

/// Maximum concurrent connections of one listener; more wait in the system's accept queue.
pub const CONNECTIONS_LIMIT: usize = 20_000;

pub(crate) const READ_BUFFER_BYTES: usize = 64 * 1024;
const STREAMS_LIMIT: u32 = 1024;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens a listening socket.
///
/// # Errors
/// [`DaemonError::Listen`] with the system's error.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Accepts one connection; retries after errors such as too many open files.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // An error is harmless: small answers then wait for acknowledgements.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionTimeouts {
    /// Maximum time for a client to send a request's head.
    pub head_timeout: Duration,
    /// Time after the stop signal during which requests are still answered, so that a request in
    /// transit does not meet a closed connection.
    pub drain_time: Duration,
}

/// Serves plaintext HTTP connections with `handler` until `stop` is raised and all have ended.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    stop: StopSignal,
    times: ConnectionTimeouts,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let end = drain_end(&stop, times.drain_time);
    let mut end = std::pin::pin!(end);
    loop {
        tokio::select! {
            stream = accept(&listener), if connections.len() < CONNECTIONS_LIMIT => {
                let serve = serve_connection(stream, stop.clone(), times, handler.clone());
                connections.spawn(serve);
            }
            Some(_) = connections.join_next() => {}
            () = &mut end => break,
        }
    }
    // Otherwise connections left in the system's accept queue would be reset.
    while let Some(stream) = accept(&listener).now_or_never() {
        connections.spawn(serve_connection(stream, stop.clone(), times, handler.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn drain_end(stop: &StopSignal, span: Duration) {
    stop.raised().await;
    tokio::time::sleep(span).await;
}

/// Serves one HTTP/1 or HTTP/2 connection; after `stop` it ends with the requests in flight.
pub async fn serve_connection<S, H, F>(
    stream: S,
    stop: StopSignal,
    times: ConnectionTimeouts,
    handler: H,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let is_http2 = Arc::new(AtomicBool::new(false));
    let (stopping, http2_seen) = (stop.clone(), is_http2.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let version = request.version();
        http2_seen.fetch_or(version == Version::HTTP_2, Ordering::Relaxed);
        let answer = handler(request);
        let stopping = stopping.clone();
        async move {
            let answer = answer.await;
            let closes = version != Version::HTTP_2 && stopping.is_raised();
            Ok::<_, Infallible>(if closes { add_close(answer) } else { answer })
        }
    });
    let builder = Arc::new(http_builder(times));
    let connection = builder.serve_connection_with_upgrades(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // An error of the connection affects only its client.
        _ = connection.as_mut() => return,
        () = stop.raised() => {}
    }
    // HTTP/2 announces the shutdown by GOAWAY; HTTP/1 needs an answer with `connection: close`.
    if !is_http2.load(Ordering::Relaxed) {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = tokio::time::sleep(times.drain_time) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Announces that the connection closes after this answer.
pub(crate) fn add_close(mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    if answer.status() != StatusCode::SWITCHING_PROTOCOLS {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

fn http_builder(times: ConnectionTimeouts) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(times.head_timeout)
        .max_buf_size(READ_BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(READ_BUFFER_BYTES as u32)
        .max_concurrent_streams(STREAMS_LIMIT);
    builder
}
