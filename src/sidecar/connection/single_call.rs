//! A call on a connection of its own.
//!
//! The first answer on a connection is the one to its only request, whatever it says of itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::Builder;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::metered_stream::{MeteredStream, ReadMeter};

/// Largest head of an answer, and room for the framing of its body.
const FRAMING_BYTES_MAX: usize = 256 * 1024;
/// Read buffer of a connection.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Bounds of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimits {
    /// Time for the connection to open.
    pub(crate) connect_timeout: Duration,
    /// Maximum size of the answer's body.
    pub(crate) answer_bytes: usize,
}

/// Closes the connection when dropped.
struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request and receives the complete answer. Dropping the future closes the connection.
///
/// # Errors
/// The I/O error if the connection cannot be opened, or ends or exceeds the limits before the answer
/// is complete.
pub(crate) async fn call(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    limits: CallLimits,
) -> std::io::Result<Response<Bytes>> {
    let host = HeaderValue::from_str(&address.to_string()).map_err(std::io::Error::other)?;
    request.headers_mut().insert(HOST, host);
    let stream = timeout(limits.connect_timeout, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let meter = Arc::new(ReadMeter::default());
    meter.allow(limits.answer_bytes + FRAMING_BYTES_MAX);
    let stream = TokioIo::new(MeteredStream::new(stream, meter));
    let builder = Builder::new().max_buf_size(READ_BUFFER_BYTES).to_owned();
    let (mut sender, connection) =
        builder.handshake(stream).await.map_err(std::io::Error::other)?;
    // The call gets the connection's error, too.
    let _guard = ConnectionGuard(tokio::spawn(connection).abort_handle());
    let answer = sender.send_request(request).await.map_err(std::io::Error::other)?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
    Ok(Response::from_parts(parts, body))
}
