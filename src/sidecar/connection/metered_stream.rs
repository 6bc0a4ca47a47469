//! A stream that stops reading when the peer sends more than the reader has allowed.
//!
//! Parsers of HTTP skip or collect some bytes, such as empty lines, interim answers and digits of a
//! chunk's size, for as long as they come. A server that sends them without end would keep the
//! process busy.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::policy::head_scan::HeadScan;

/// Largest read.
const READ_BYTES_MAX: usize = 16 * 1024;

/// Counts the bytes read from a stream and bounds them, and scans the heads among them.
#[derive(Debug, Default)]
pub(crate) struct ReadMeter {
    read: AtomicUsize,
    allowed: AtomicUsize,
    scan: Mutex<HeadScan>,
}

impl ReadMeter {
    /// Allows `bytes` more than were read so far.
    pub(crate) fn allow(&self, bytes: usize) {
        let read = self.read.load(Ordering::Relaxed);
        self.allowed.store(read.saturating_add(bytes), Ordering::Relaxed);
    }

    /// Expects the head of an answer from here on.
    pub(crate) fn begin_head(&self) {
        *self.lock_scan() = HeadScan::begin();
    }

    /// The status lines in the head of the last answer.
    pub(crate) fn status_lines(&self) -> usize {
        self.lock_scan().status_lines()
    }

    fn lock_scan(&self) -> MutexGuard<'_, HeadScan> {
        self.scan.lock().expect("lock not poisoned")
    }

    fn remaining(&self) -> usize {
        let allowed = self.allowed.load(Ordering::Relaxed);
        allowed.saturating_sub(self.read.load(Ordering::Relaxed))
    }
}

/// A stream whose reads are bounded by a meter.
#[derive(Debug)]
pub(crate) struct MeteredStream<S> {
    stream: S,
    meter: Arc<ReadMeter>,
}

impl<S> MeteredStream<S> {
    pub(crate) fn new(stream: S, meter: Arc<ReadMeter>) -> Self {
        MeteredStream { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let remaining = self.meter.remaining();
        if remaining == 0 {
            let problem = "the server sends more than is expected";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, problem)));
        }
        let size = remaining.min(buffer.remaining()).min(READ_BYTES_MAX);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        let result = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let count = part.filled().len();
        self.meter.lock_scan().read(part.filled());
        buffer.advance(count);
        self.meter.read.fetch_add(count, Ordering::Relaxed);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
