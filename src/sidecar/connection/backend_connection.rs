//! One connection to the backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::clock::MilliTime;
use crate::policy::exchange_history::ExchangeHistory;
use crate::sidecar::connection::metered_stream::{MeteredStream, ReadMeter};

/// A backend server on the same machine accepts a connection within this time or not at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum idle time for reuse; backend servers close idle connections after some seconds.
pub(super) const IDLE_MAX: Duration = Duration::from_secs(4);
/// Read buffer of a connection.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Numbers the connections of this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Closes a connection when dropped, by aborting its task.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(super) struct BackendConnection {
    /// Its number in this process.
    pub(super) number: u64,
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) address: SocketAddr,
    pub(super) idle_since: MilliTime,
    pub(super) idle_max: Duration,
    /// Whether it may be used again after the exchange under way.
    pub(super) is_kept: bool,
    pub(super) history: ExchangeHistory,
    /// Status lines in the head of its first answer, which continues no other one.
    pub(super) usual_status_lines: Option<usize>,
    pub(super) meter: Arc<ReadMeter>,
    task: ConnectionTask,
}

impl BackendConnection {
    /// Opens a connection; `on_surplus` is called if the server sends bytes on it while it is idle.
    pub(super) async fn open(
        address: SocketAddr,
        now: MilliTime,
        on_surplus: impl FnOnce() + Send + 'static,
    ) -> std::io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let meter = Arc::new(ReadMeter::default());
        let stream = TokioIo::new(MeteredStream::new(stream, meter.clone()));
        let builder = Builder::new().max_buf_size(READ_BUFFER_BYTES).to_owned();
        let (sender, connection) =
            builder.handshake(stream).await.map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // The exchange reports the errors that occur during it.
            if connection.await.is_err_and(|error| is_surplus(&error)) {
                on_surplus();
            }
        });
        Ok(BackendConnection {
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            sender,
            address,
            idle_since: now,
            idle_max: IDLE_MAX,
            is_kept: true,
            history: ExchangeHistory::default(),
            usual_status_lines: None,
            meter,
            task: ConnectionTask(task),
        })
    }

    /// Closes the connection, and returns when it is closed.
    pub(super) async fn close(mut self) {
        self.task.0.abort();
        // The task ends by the abort or ended before.
        let _ = (&mut self.task.0).await;
    }

    /// Whether it can be used for requests to a server at `address`.
    pub(super) fn is_usable(&self, address: SocketAddr, now: MilliTime) -> bool {
        self.address == address
            && now.since(self.idle_since) < self.idle_max
            && !self.history.is_full()
            && !self.sender.is_closed()
    }
}

/// Whether a connection ended because bytes arrived on it while it was idle. The library has no
/// predicate for this kind of error, which is the only one without a cause and a predicate.
fn is_surplus(error: &hyper::Error) -> bool {
    use std::error::Error;
    let is_known = error.is_parse()
        || error.is_user()
        || error.is_canceled()
        || error.is_closed()
        || error.is_incomplete_message()
        || error.is_body_write_aborted()
        || error.is_shutdown()
        || error.is_timeout();
    error.source().is_none() && !is_known
}
