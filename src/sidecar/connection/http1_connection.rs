//! Serves one HTTP/1.1 connection. The platform's protocol knows no other version: a connection that
//! begins with the preface of HTTP/2 is closed.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};

use crate::connection::listener::{READ_BUFFER_BYTES, add_close};
use crate::process::stop::StopSignal;

/// The least that the library allows.
const READ_BUFFER_BYTES_MIN: usize = 8 * 1024;

/// Limits on the heads of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadLimits {
    /// Largest head in bytes.
    pub(crate) bytes: usize,
    /// Longest time from the end of a request, or the start of the connection, to that of the next
    /// head.
    pub(crate) timeout: Duration,
}

/// Serves a connection until it ends; after `stop` it ends with the request in flight.
pub(crate) async fn serve_http1<S, H, F>(
    stream: S,
    stop: StopSignal,
    limits: HeadLimits,
    handler: H,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    let stopping = stop.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = handler(request);
        let stopping = stopping.clone();
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(if stopping.is_raised() { add_close(answer) } else { answer })
        }
    });
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.timeout)
        .max_buf_size(limits.bytes.clamp(READ_BUFFER_BYTES_MIN, READ_BUFFER_BYTES));
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // An error of the connection affects only its client.
        _ = connection.as_mut() => return,
        () = stop.raised() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
