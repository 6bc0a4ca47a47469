//! The memory that this process holds for others: callers, backend servers and other daemons.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;
use tokio::time::{sleep, timeout};

use crate::policy::body_limit::{MemoryUse, SMALL_BODY_BYTES, memory_budget, memory_share};

/// Time between looks for free memory by what waits for it.
pub(crate) const FREE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Part of the budget that one body of unknown length may take. It bounds backend servers that
/// never end an answer.
const STREAMED_DIVISOR: usize = 4;
/// A request body of more than [`SMALL_BODY_BYTES`] brings this many bytes in each
/// [`PROGRESS_INTERVAL`], so that announced bodies that never come do not keep others out.
const PROGRESS_BYTES: usize = 16 * 1024;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Why a body was not received.
#[derive(Debug, Snafu)]
pub(crate) enum BodyError {
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge { limit: usize },
    #[snafu(display("no memory for the body"))]
    NoMemory,
    #[snafu(display("less than {PROGRESS_BYTES} bytes of the body in {PROGRESS_INTERVAL:?}"))]
    TooSlow,
    #[snafu(display("{source}"), context(false))]
    Broken { source: hyper::Error },
}

/// Whom or what bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryHolder {
    /// Callers' connections with the heads of their requests.
    Connections,
    /// Bodies of callers' requests, until they were answered and written to other daemons.
    Requests,
    /// Calls of other daemons while they are read, wait and run.
    Calls,
    /// Answers of backend servers, until the last byte is written to whoever reads them.
    Answers,
    /// Other long messages of other daemons, while they are read.
    Messages,
}

impl MemoryHolder {
    pub(crate) const ALL: [MemoryHolder; 5] = [
        MemoryHolder::Connections,
        MemoryHolder::Requests,
        MemoryHolder::Calls,
        MemoryHolder::Answers,
        MemoryHolder::Messages,
    ];

    /// Its name in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            MemoryHolder::Connections => "connections",
            MemoryHolder::Requests => "requests",
            MemoryHolder::Calls => "calls",
            MemoryHolder::Answers => "answers",
            MemoryHolder::Messages => "messages",
        }
    }

    fn usage(self) -> MemoryUse {
        match self {
            MemoryHolder::Connections => MemoryUse::Connection,
            MemoryHolder::Requests | MemoryHolder::Calls => MemoryUse::Request,
            MemoryHolder::Answers => MemoryUse::Answer,
            MemoryHolder::Messages => MemoryUse::StreamedAnswer,
        }
    }
}

/// The bytes held for others, and the bound on them.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    limit: usize,
    taken: AtomicUsize,
    /// Sizes of the long answers that requests under way are expected to get.
    expected: AtomicUsize,
    held: [AtomicUsize; MemoryHolder::ALL.len()],
}

/// Bytes of the budget, freed on drop.
#[derive(Debug)]
pub(crate) struct MemoryLease {
    budget: Arc<MemoryBudget>,
    holder: MemoryHolder,
    bytes: usize,
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.budget.taken.fetch_sub(self.bytes, Ordering::Relaxed);
        self.budget.held[self.holder as usize].fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Room for the expected answer to a request until it ends. It is not taken from the budget, so that
/// the answer itself finds it.
#[derive(Debug)]
pub(crate) struct ExpectedAnswer {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Drop for ExpectedAnswer {
    fn drop(&mut self) {
        self.budget.expected.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes whose lease ends when the last reference to them is dropped, wherever that is.
struct LeasedBytes {
    data: Bytes,
    _lease: Arc<MemoryLease>,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Has `data` keep its lease. The lease of empty data ends at once.
pub(crate) fn keep_lease(data: Bytes, lease: Arc<MemoryLease>) -> Bytes {
    if data.is_empty() { data } else { Bytes::from_owner(LeasedBytes { data, _lease: lease }) }
}

impl MemoryBudget {
    /// The budget of a process on a machine with this much memory.
    pub(crate) fn new(memory_bytes: usize) -> Arc<Self> {
        Arc::new(MemoryBudget {
            limit: memory_budget(memory_bytes),
            taken: AtomicUsize::new(0),
            expected: AtomicUsize::new(0),
            held: Default::default(),
        })
    }

    /// The bytes held now.
    pub(crate) fn held(&self, holder: MemoryHolder) -> usize {
        self.held[holder as usize].load(Ordering::Relaxed)
    }

    /// The connections of this many bytes that fit into their share.
    pub(crate) fn connections_max(&self, bytes: usize) -> usize {
        memory_share(self.limit, MemoryUse::Connection, bytes) / bytes.max(1)
    }

    /// Takes `bytes`; `None` if they are not free.
    pub(crate) fn lease(
        self: &Arc<Self>,
        holder: MemoryHolder,
        bytes: usize,
    ) -> Option<MemoryLease> {
        let mut lease = MemoryLease { budget: self.clone(), holder, bytes: 0 };
        lease.grow(holder.usage(), bytes).then_some(lease)
    }

    /// Expects an answer of `bytes`; `None` if it would not fit beside those held and expected.
    pub(crate) fn expect_answer(self: &Arc<Self>, bytes: usize) -> Option<ExpectedAnswer> {
        let bytes = if is_long(bytes) { bytes } else { 0 };
        let before = self.expected.fetch_add(bytes, Ordering::Relaxed);
        let expected = ExpectedAnswer { budget: self.clone(), bytes };
        let taken = self.taken.load(Ordering::Relaxed);
        let share = memory_share(self.limit, MemoryUse::Answer, bytes);
        (bytes == 0 || taken + before + bytes <= share).then_some(expected)
    }

    /// Takes `bytes` as soon as they are free.
    pub(crate) async fn wait_lease(
        self: &Arc<Self>,
        holder: MemoryHolder,
        bytes: usize,
    ) -> MemoryLease {
        loop {
            match self.lease(holder, bytes) {
                Some(lease) => return lease,
                None => sleep(FREE_POLL_INTERVAL).await,
            }
        }
    }

    /// Receives the whole body of a caller's request of at most `bytes_max`, which waits unread for
    /// memory for at most `wait_max`.
    ///
    /// # Errors
    /// [`BodyError`] if it is too large, does not fit, comes too slowly or does not end properly.
    pub(crate) async fn receive_request(
        self: &Arc<Self>,
        body: &mut Incoming,
        bytes_max: usize,
        wait_max: Duration,
    ) -> Result<Bytes, BodyError> {
        let announced = announced_bytes(body, bytes_max)?;
        let begun = self.wait_lease(MemoryHolder::Requests, announced.unwrap_or(0));
        let mut lease = timeout(wait_max, begun).await.map_err(|_| BodyError::NoMemory)?;
        let mut collected = Collected::new(announced);
        let (mut received, mut since_progress) = (0, 0);
        let mut progress = std::pin::pin!(sleep(PROGRESS_INTERVAL));
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = &mut progress, if received > SMALL_BODY_BYTES || announced.is_some_and(is_long) => {
                    if since_progress < PROGRESS_BYTES {
                        return Err(BodyError::TooSlow);
                    }
                    since_progress = 0;
                    progress.set(sleep(PROGRESS_INTERVAL));
                    continue;
                }
            };
            let Some(frame) = frame else { break };
            let Ok(data) = frame?.into_data() else { continue };
            received += data.len();
            since_progress += data.len();
            if received > bytes_max {
                return Err(BodyError::TooLarge { limit: bytes_max });
            }
            if received > lease.bytes && !lease.grow(MemoryUse::Request, data.len()) {
                return Err(BodyError::NoMemory);
            }
            collected.push(data);
        }
        Ok(keep_lease(collected.into_bytes(), Arc::new(lease)))
    }

    /// Receives the whole body of a backend server's answer of at most `bytes_max`, which waits
    /// unread for memory; `on_frame` is called with each part.
    ///
    /// # Errors
    /// [`BodyError::TooLarge`] and [`BodyError::Broken`].
    pub(crate) async fn receive_answer(
        self: &Arc<Self>,
        mut body: Incoming,
        bytes_max: usize,
        on_frame: impl Fn(),
    ) -> Result<Bytes, BodyError> {
        let announced = announced_bytes(&body, bytes_max)?;
        let (bytes_max, usage) = match announced {
            Some(_) => (bytes_max, MemoryUse::Answer),
            None => (self.limit / STREAMED_DIVISOR, MemoryUse::StreamedAnswer),
        };
        let mut lease = self.wait_lease(MemoryHolder::Answers, announced.unwrap_or(0)).await;
        let mut collected = Collected::new(announced);
        let mut received = 0;
        while let Some(frame) = body.frame().await {
            on_frame();
            let Ok(data) = frame?.into_data() else { continue };
            received += data.len();
            if received > bytes_max {
                return Err(BodyError::TooLarge { limit: bytes_max });
            }
            while received > lease.bytes && !lease.grow(usage, received - lease.bytes) {
                sleep(FREE_POLL_INTERVAL).await;
            }
            collected.push(data);
        }
        Ok(keep_lease(collected.into_bytes(), Arc::new(lease)))
    }
}

fn is_long(bytes: usize) -> bool {
    bytes > SMALL_BODY_BYTES
}

/// The announced length of a body, if any.
fn announced_bytes(body: &Incoming, bytes_max: usize) -> Result<Option<usize>, BodyError> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    match announced {
        Some(bytes) if bytes > bytes_max => Err(BodyError::TooLarge { limit: bytes_max }),
        _ => Ok(announced),
    }
}

impl MemoryLease {
    /// Takes `bytes` more; whether they are free.
    fn grow(&mut self, usage: MemoryUse, bytes: usize) -> bool {
        let budget = &self.budget;
        let held = &budget.held[self.holder as usize];
        let share = memory_share(budget.limit, usage, self.bytes + bytes);
        let others = match usage {
            // A budget full of answers does not keep callers from connecting.
            MemoryUse::Connection => held,
            _ => &budget.taken,
        };
        let fits = |before: usize| before + bytes <= share;
        if bytes > 0 && !fits(others.load(Ordering::Relaxed)) {
            return false;
        }
        let taken_before = budget.taken.fetch_add(bytes, Ordering::Relaxed);
        let held_before = held.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        let before = if usage == MemoryUse::Connection { held_before } else { taken_before };
        if bytes > 0 && !fits(before) {
            budget.taken.fetch_sub(bytes, Ordering::Relaxed);
            held.fetch_sub(bytes, Ordering::Relaxed);
            self.bytes -= bytes;
            return false;
        }
        true
    }
}

/// The parts of a body; most have one, which is not copied.
#[derive(Default)]
struct Collected {
    first: Bytes,
    rest: BytesMut,
    announced: usize,
}

impl Collected {
    fn new(announced: Option<usize>) -> Self {
        Collected { announced: announced.unwrap_or(0), ..Collected::default() }
    }

    fn push(&mut self, data: Bytes) {
        if self.first.is_empty() && self.rest.is_empty() {
            self.first = data;
            return;
        }
        if self.rest.is_empty() {
            // Memory that is not written to yet is not resident.
            self.rest.reserve(self.announced);
            self.rest.extend_from_slice(&self.first);
            self.first = Bytes::new();
        }
        self.rest.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.rest.is_empty() { self.first } else { self.rest.freeze() }
    }
}
