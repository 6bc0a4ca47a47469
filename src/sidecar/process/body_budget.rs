//! Memory for the bodies of messages in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;

use crate::policy::body_limit::body_bytes_max;

/// Usual sizes of bodies fall by this divisor with each smaller body.
const USUAL_DECAY_DIVISOR: usize = 64;

/// Why a body was not received.
#[derive(Debug, Snafu)]
pub(crate) enum BodyError {
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge { limit: usize },
    #[snafu(display("{source}"), context(false))]
    Broken { source: hyper::Error },
}

/// Bytes taken by the bodies in flight, and the bound on them.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    limit: usize,
    taken: AtomicUsize,
}

/// The bytes of one body, freed on drop.
#[derive(Debug)]
pub(crate) struct BodyLease {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.taken.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The largest recent size of bodies of one kind.
#[derive(Debug, Default)]
pub(crate) struct UsualSize {
    bytes: AtomicUsize,
}

impl UsualSize {
    fn observe(&self, size: usize) {
        let usual = self.bytes.load(Ordering::Relaxed);
        let decayed = usual - usual / USUAL_DECAY_DIVISOR;
        self.bytes.store(decayed.max(size), Ordering::Relaxed);
    }
}

impl BodyBudget {
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(BodyBudget { limit, taken: AtomicUsize::new(0) })
    }

    /// Takes `bytes` for a message of known size; `None` if they are not free.
    pub(crate) fn lease(self: &Arc<Self>, bytes: usize) -> Option<BodyLease> {
        let taken = self.taken.fetch_add(bytes, Ordering::Relaxed);
        let lease = BodyLease { budget: self.clone(), bytes };
        (taken + bytes <= self.limit).then_some(lease)
    }

    /// Receives a whole body of at most `bytes_max`; `on_frame` is called with each part.
    ///
    /// # Errors
    /// [`BodyError::TooLarge`] if it exceeds that or its part of the budget, and
    /// [`BodyError::Broken`] if it does not end properly.
    pub(crate) async fn receive(
        self: &Arc<Self>,
        mut body: Incoming,
        bytes_max: usize,
        usual: &UsualSize,
        on_frame: impl Fn(),
    ) -> Result<(Bytes, BodyLease), BodyError> {
        let mut lease = BodyLease { budget: self.clone(), bytes: 0 };
        let mut collected = Collected::default();
        while let Some(frame) = body.frame().await {
            on_frame();
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let limit = lease.bytes_max(usual).min(bytes_max);
            if lease.bytes + data.len() > limit {
                return Err(BodyError::TooLarge { limit });
            }
            lease.add(data.len());
            collected.push(data);
        }
        usual.observe(lease.bytes);
        Ok((collected.into_bytes(), lease))
    }
}

impl BodyLease {
    fn bytes_max(&self, usual: &UsualSize) -> usize {
        let taken = self.budget.taken.load(Ordering::Relaxed).saturating_sub(self.bytes);
        body_bytes_max(self.budget.limit, taken, usual.bytes.load(Ordering::Relaxed))
    }

    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.budget.taken.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// The parts of a body; most have one, which is not copied.
#[derive(Default)]
struct Collected {
    first: Bytes,
    rest: BytesMut,
}

impl Collected {
    fn push(&mut self, data: Bytes) {
        if self.first.is_empty() && self.rest.is_empty() {
            self.first = data;
            return;
        }
        if self.rest.is_empty() {
            self.rest.extend_from_slice(&self.first);
        }
        self.rest.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.rest.is_empty() { self.first } else { self.rest.freeze() }
    }
}
