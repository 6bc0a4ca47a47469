//! Watches callers' connections, and decides when one that makes no progress is closed.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, sleep};

/// A caller that reads takes this many bytes of its answer in each [`READING_INTERVAL`]. The
/// interval is longer than the socket takes to accept more at 400 KiB/s with full system buffers of
/// 4 MiB: about 4 s.
const READING_BYTES: usize = 64 * 1024;
const READING_INTERVAL: Duration = Duration::from_secs(10);
/// The same while no further caller can connect.
const READING_INTERVAL_FULL: Duration = Duration::from_secs(5);
/// Part of the idle timeout after which idle connections are closed while no further caller can
/// connect: callers may keep more of them than there is room for.
const IDLE_DIVISOR_FULL: u32 = 8;
/// Time between looks at a connection on which a request is under way.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Times within which a caller must act.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerTimes {
    /// From the first byte of a head to its end.
    pub(crate) head_timeout: Duration,
    /// From an answer, or the start of the connection, to the next request.
    pub(crate) idle_timeout: Duration,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// A head, or empty lines before it, did not end in time.
    HeadTimeout,
    /// No request came.
    Idle,
    /// The caller does not read its answer.
    NotReading,
}

impl CloseReason {
    pub(crate) fn name(self) -> &'static str {
        match self {
            CloseReason::HeadTimeout => "head-timeout",
            CloseReason::Idle => "idle",
            CloseReason::NotReading => "not-reading",
        }
    }
}

#[derive(Debug)]
struct CallerState {
    /// Requests that are handled.
    active: usize,
    /// Whether the last answer is not written yet.
    is_writing: bool,
    idle_since: Instant,
    /// When the first byte of the next head came.
    head_since: Option<Instant>,
    /// Since when the caller has read too little, and how much.
    blocked: Option<(Instant, usize)>,
}

/// What is known of the progress on a connection.
#[derive(Clone, Debug)]
pub(crate) struct CallerWatch(Arc<Mutex<CallerState>>);

impl CallerWatch {
    pub(crate) fn new() -> Self {
        CallerWatch(Arc::new(Mutex::new(CallerState {
            active: 0,
            is_writing: false,
            idle_since: Instant::now(),
            head_since: None,
            blocked: None,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, CallerState> {
        self.0.lock().expect("lock not poisoned")
    }

    /// The head of a request is complete; its handling lasts until the result is dropped.
    pub(crate) fn begin_request(&self) -> ActiveRequest {
        let mut state = self.lock();
        state.active += 1;
        state.head_since = None;
        ActiveRequest(self.clone())
    }

    /// Waits until the connection must be closed; `is_full` tells whether no other can be opened.
    pub(crate) async fn closing(&self, times: CallerTimes, is_full: &AtomicBool) -> CloseReason {
        loop {
            match self.check(times, is_full.load(Ordering::Relaxed)) {
                Ok(wait) => sleep(wait).await,
                Err(reason) => return reason,
            }
        }
    }

    /// The time until the next check is due.
    fn check(&self, times: CallerTimes, is_full: bool) -> Result<Duration, CloseReason> {
        let now = Instant::now();
        let state = self.lock();
        if let Some((since, _)) = state.blocked {
            let end = since + if is_full { READING_INTERVAL_FULL } else { READING_INTERVAL };
            return if now >= end { Err(CloseReason::NotReading) } else { Ok(WATCH_INTERVAL) };
        }
        if state.active > 0 || state.is_writing {
            return Ok(WATCH_INTERVAL);
        }
        let (end, reason) = match state.head_since {
            Some(since) => (since + times.head_timeout, CloseReason::HeadTimeout),
            None if is_full => {
                (state.idle_since + times.idle_timeout / IDLE_DIVISOR_FULL, CloseReason::Idle)
            }
            None => (state.idle_since + times.idle_timeout, CloseReason::Idle),
        };
        match now >= end {
            true => Err(reason),
            // The first byte of a head may come meanwhile.
            false => Ok((end - now).min(times.head_timeout).min(WATCH_INTERVAL)),
        }
    }
}

/// A request that is handled. Its answer is about to be written when it is dropped, or it was
/// cancelled by the caller.
pub(crate) struct ActiveRequest(CallerWatch);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.active -= 1;
        state.is_writing = true;
    }
}

/// A caller's connection whose progress is watched.
#[derive(Debug)]
pub(crate) struct WatchedStream<S> {
    stream: S,
    watch: CallerWatch,
}

impl<S> WatchedStream<S> {
    pub(crate) fn new(stream: S, watch: CallerWatch) -> Self {
        WatchedStream { stream, watch }
    }

    fn note_write(&self, written: &Poll<io::Result<usize>>) {
        let mut state = self.watch.lock();
        match (written, state.blocked) {
            (Poll::Pending, None) => state.blocked = Some((Instant::now(), 0)),
            (Poll::Ready(Ok(count)), Some((since, before))) => {
                let read = before + count;
                state.blocked = (read < READING_BYTES).then_some((since, read));
            }
            _ => {}
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            let mut state = self.watch.lock();
            if state.active == 0 && state.head_since.is_none() {
                state.head_since = Some(Instant::now());
            }
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes when it has written everything.
        let mut state = self.watch.lock();
        state.blocked = None;
        if state.is_writing && state.active == 0 {
            state.is_writing = false;
            state.idle_since = Instant::now();
        }
        drop(state);
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.note_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
