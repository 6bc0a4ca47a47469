//! Frames between daemons: a length of four bytes (big-endian), then a postcard message.

use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use postcard::ser_flavors::Flavor;
use serde::{Deserialize, Deserializer, Serialize};
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::coop::consume_budget;
use tokio::time::sleep;

use super::link_queue::LinkReceiver;
use crate::policy::backend_notice::KnownNotice;
use crate::policy::body_limit::SMALL_BODY_BYTES;
use crate::policy::crash_ledger::CrashReport;
use crate::policy::incarnation::LeaveRecord;
use crate::policy::placement::InstanceLoad;
use crate::policy::request_identity::RequestIdentity;
use crate::policy::root_admission::{CostList, RootKnowledge};
use crate::policy::store_position::StorePosition;
use crate::policy::token_priority::{TokenCutoff, UrgencyCounts};
use crate::policy::zone_evacuation::EvacuationClaim;
use crate::sidecar::process::memory_budget::{
    FREE_POLL_INTERVAL, MemoryBudget, MemoryHolder, MemoryLease, keep_lease,
};
use crate::sidecar::process::topic_replica::TopicUpdate;
use crate::sidecar::request::context::{CallContext, CallOutcome, ForwardRequest};
use crate::sidecar::request::shared_body::with_frame;

const LENGTH_BYTES: usize = 4;
/// Larger frames are invalid: the limits on bodies are lower.
const FRAME_BYTES_MAX: usize = 80 << 20;
const READ_BUFFER_BYTES: usize = 16 * 1024;
const MESSAGES_PER_WRITE: usize = 64;
/// A message's kind and number lie in this many of its first bytes.
const KIND_BYTES: usize = 16;
/// The positions of [`PeerMessage::Call`] and [`PeerMessage::Answer`] among the kinds.
const CALL_VARIANT: u32 = 3;
const ANSWER_VARIANT: u32 = 4;
/// The number of kinds of [`PeerMessage`].
const VARIANTS: u32 = 20;
/// A write buffer with a larger capacity is freed after the write.
const WRITE_BUFFER_KEPT_BYTES: usize = 64 * 1024;

/// A message between daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Identifies the accepting daemon; the first message on a link.
    Hello { name: Arc<str>, service: Arc<str> },
    /// Keepalive; the first one names the daemon that opened the link.
    Alive {
        /// Absent from messages of earlier releases.
        #[serde(deserialize_with = "deserialize_last")]
        name: Option<Arc<str>>,
    },
    /// The load at the sender's backend server.
    Load(InstanceLoad),
    /// Requests a run at the receiver's backend server.
    Call(Box<PeerCall>),
    /// The outcome of a call.
    Answer(Box<PeerAnswer>),
    /// Cancels the call with this number.
    Cancel(u64),
    /// Requests the receiver's records of the store's topics.
    AskRecords {
        /// Echoed in the answer.
        number: u64,
        /// The version of the configuration that the sender knows.
        version: u64,
        /// The position up to which the sender knows the directory.
        directory: Option<StorePosition>,
    },
    /// The sender's records; without a number when they changed since it was last asked.
    Records {
        number: Option<u64>,
        configuration: Option<Box<ConfigReport>>,
        directory: Option<TopicReport>,
        /// Absent from messages of releases without evacuations.
        #[serde(deserialize_with = "deserialize_last")]
        evacuations: Option<EvacuationClaim>,
        /// `ConfigReport::unread`; absent from messages of releases that do not pass it on.
        #[serde(deserialize_with = "deserialize_last")]
        unread: Option<Box<Bytes>>,
    },
    /// Transfers tokens to the receiver.
    Tokens(Vec<TokenAmount>),
    /// Requests tokens for the sender.
    #[serde(rename = "WantTokens")]
    RequestTokens(Vec<TokenAmount>),
    /// What the receiver's backend server last told the sender; sent when it has linked.
    Notice(KnownNotice),
    /// The leaves at the receiver that the sender knows of; sent when it has linked.
    Leaves(LeaveRecord),
    /// Asks the receiver, which has linked to the sender, to hold the sender's leaves.
    HoldLeaves {
        /// Echoed in the answer.
        number: u64,
        leaves: LeaveRecord,
    },
    /// The sender holds the leaves.
    LeavesHeld { number: u64 },
    /// The sender's backend server ended.
    Crash(CrashReport),
    /// A run of a suspect ended well at the sender's backend server.
    Release(RequestIdentity),
    /// The sender's demand for tokens that are scarce; answered with their cutoffs.
    TokenDemand(Vec<TokenDemand>),
    /// Which requests of organisations may take scarce tokens.
    TokenCutoffs(Vec<OrganisationCutoff>),
    /// Asks the receiver for what it knows of roots; sent by a daemon that has just started.
    AskRootKnowledge,
    /// The costs of routes and the admitted fractions at the sender.
    RootKnowledge(RootKnowledge),
}

/// Deserializes the last field of a message, which earlier releases do not send.
fn deserialize_last<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::deserialize(deserializer).unwrap_or_default())
}

/// A request to run at the receiver's backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PeerCall {
    /// Identifies the call on its connection.
    pub(crate) number: u64,
    pub(crate) context: CallContext,
    pub(crate) request: ForwardRequest,
    /// Milliseconds until the deadline.
    pub(crate) deadline_millis: u32,
    /// Milliseconds until the answer is late.
    pub(crate) due_millis: u32,
    /// Whether it must not run twice.
    pub(crate) runs_once: bool,
    /// What the sender last heard from the receiver's backend server.
    pub(crate) notice: Option<KnownNotice>,
    /// The receiver's memory for the call.
    #[serde(skip)]
    pub(crate) lease: Option<Arc<MemoryLease>>,
}

/// The outcome of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PeerAnswer {
    pub(crate) number: u64,
    pub(crate) outcome: CallOutcome,
    /// Slot costs of the call and of the calls that it made.
    pub(crate) costs: CostList,
    /// The load at the backend server after the call.
    pub(crate) load: InstanceLoad,
    /// What is known of the backend server's notices.
    pub(crate) notice: Option<KnownNotice>,
}

/// What the sender knows of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ConfigReport {
    /// The newest version that it knows; 0 if none.
    pub(crate) version: u64,
    /// The position up to which it knows that no other version was written.
    pub(crate) position: Option<StorePosition>,
    /// No higher version was acknowledged longer ago than this; `None` without proof.
    pub(crate) age_millis: Option<u32>,
    /// The record of the version, if the receiver lacks it.
    pub(crate) record: Option<Bytes>,
    /// A record before `position` that the sender cannot read, but a receiver of another release may.
    /// It is sent at the end of the message, which earlier releases do not read.
    #[serde(skip)]
    pub(crate) unread: Option<Bytes>,
}

impl ConfigReport {
    /// The report with the record that came beside it.
    pub(crate) fn with_unread(mut self: Box<Self>, unread: Option<Box<Bytes>>) -> Box<Self> {
        self.unread = unread.map(|record| *record);
        self
    }
}

/// What the sender knows of a topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct TopicReport {
    /// The position up to which it knows the topic.
    pub(crate) cursor: StorePosition,
    /// Every record written longer ago than this lies before `cursor`; `None` without proof.
    pub(crate) age_millis: Option<u32>,
    /// What the receiver lacks.
    pub(crate) update: Option<TopicUpdate>,
}

/// An amount of tokens of an organisation's bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct TokenAmount {
    pub(crate) organisation: Arc<str>,
    pub(crate) tokens: f64,
}

/// Requests of an organisation since the sender's last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct TokenDemand {
    pub(crate) organisation: Arc<str>,
    pub(crate) counts: UrgencyCounts,
}

/// The cutoff of an organisation's tokens; `None` if they are not scarce.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OrganisationCutoff {
    pub(crate) organisation: Arc<str>,
    pub(crate) cutoff: Option<TokenCutoff>,
}

/// Why a link between daemons ended.
#[derive(Debug, Snafu)]
pub(crate) enum LinkError {
    #[snafu(display("connection closed"))]
    Closed,
    #[snafu(display("{source}"), context(false))]
    Socket { source: std::io::Error },
    #[snafu(display("unreadable frame: {source}"), context(false))]
    Unreadable { source: postcard::Error },
    #[snafu(display("frame of {length} bytes is too long"))]
    FrameTooLong { length: usize },
    #[snafu(display("wrong daemon at this address: {name} of service {service}"))]
    WrongDaemon { name: Arc<str>, service: Arc<str> },
    #[snafu(display("no message within the silence timeout"))]
    Silent,
}

/// What was read from a socket.
#[derive(Debug)]
pub(crate) enum ReadFrame {
    Message(PeerMessage),
    /// There is no memory for the call with this number.
    RefusedCall(u64),
    /// A message of a kind that only later releases know.
    Unknown,
}

/// Kind of a message, as its first bytes state it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FrameKind {
    Call(u64),
    Answer,
    Other,
}

/// Reads frames from a socket.
pub(crate) struct FrameReader {
    socket: OwnedReadHalf,
    buffer: BytesMut,
    memory: Arc<MemoryBudget>,
    /// Memory for the frame that is being read.
    lease: Option<MemoryLease>,
    /// Whether the frame waits for memory.
    is_waiting: bool,
    /// Bytes of a refused call that are still to come.
    skipped: usize,
}

impl FrameReader {
    /// A reader whose frames take part in the budget.
    pub(crate) fn new(socket: OwnedReadHalf, memory: Arc<MemoryBudget>) -> Self {
        FrameReader {
            socket,
            buffer: BytesMut::with_capacity(READ_BUFFER_BYTES),
            memory,
            lease: None,
            is_waiting: false,
            skipped: 0,
        }
    }

    /// Whether a frame is left unread until there is memory for it.
    pub(crate) fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Reads the next message. Cancel-safe.
    pub(crate) async fn read(&mut self) -> Result<ReadFrame, LinkError> {
        // A buffer may hold thousands of short messages: other tasks run between them.
        consume_budget().await;
        loop {
            let skipped = self.skipped.min(self.buffer.len());
            self.buffer.advance(skipped);
            self.skipped -= skipped;
            if self.skipped == 0
                && let Some(frame) = self.parse()?
            {
                return Ok(frame);
            }
            if self.is_waiting {
                sleep(FREE_POLL_INTERVAL).await;
                continue;
            }
            self.buffer.reserve(READ_BUFFER_BYTES);
            if self.socket.read_buf(&mut self.buffer).await? == 0 {
                return Err(LinkError::Closed);
            }
        }
    }

    fn parse(&mut self) -> Result<Option<ReadFrame>, LinkError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > FRAME_BYTES_MAX {
            return Err(LinkError::FrameTooLong { length });
        }
        let is_whole = self.buffer.len() >= LENGTH_BYTES + length;
        let is_long = length > SMALL_BODY_BYTES;
        if !is_whole && (!is_long || self.buffer.len() < LENGTH_BYTES + KIND_BYTES) {
            return Ok(None);
        }
        if self.lease.is_none() {
            let kind = frame_kind(&self.buffer[LENGTH_BYTES..]);
            let holder = match kind {
                FrameKind::Call(_) => MemoryHolder::Calls,
                FrameKind::Answer => MemoryHolder::Answers,
                FrameKind::Other => MemoryHolder::Messages,
            };
            self.lease = self.memory.lease(holder, length);
            self.is_waiting = false;
            match (&self.lease, kind) {
                (None, FrameKind::Call(number)) => {
                    self.skipped = LENGTH_BYTES + length;
                    return Ok(Some(ReadFrame::RefusedCall(number)));
                }
                (None, _) if is_long => {
                    self.is_waiting = true;
                    return Ok(None);
                }
                // Short messages, such as the state of the link, never wait.
                _ => {}
            }
        }
        if !is_whole {
            let missing = LENGTH_BYTES + length - self.buffer.len();
            // Memory that is not written to yet is not resident.
            self.buffer.reserve(missing);
            return Ok(None);
        }
        self.take_frame(length, is_long).map(Some)
    }

    fn take_frame(&mut self, length: usize, is_long: bool) -> Result<ReadFrame, LinkError> {
        let lease = self.lease.take().map(Arc::new);
        self.buffer.advance(LENGTH_BYTES);
        let frame = self.buffer.split_to(length).freeze();
        if is_long || (self.buffer.is_empty() && self.buffer.capacity() > READ_BUFFER_BYTES) {
            // The rest of the allocation belongs to the long frame and ends with it.
            let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
            buffer.extend_from_slice(&self.buffer);
            self.buffer = buffer;
        }
        if postcard::take_from_bytes(&frame).is_ok_and(|(kind, _): (u32, _)| kind >= VARIANTS) {
            return Ok(ReadFrame::Unknown);
        }
        let mut message = with_frame(&frame, || postcard::from_bytes(&frame))?;
        match &mut message {
            PeerMessage::Call(call) => call.lease = lease,
            PeerMessage::Answer(answer) => {
                if let (CallOutcome::Answered(answer), Some(lease)) = (&mut answer.outcome, lease) {
                    answer.body = keep_lease(std::mem::take(&mut answer.body), lease);
                }
            }
            _ => {}
        }
        Ok(ReadFrame::Message(message))
    }
}

/// The kind of the message that begins with `start`.
fn frame_kind(start: &[u8]) -> FrameKind {
    match postcard::take_from_bytes::<(u32, u64)>(start) {
        Ok(((CALL_VARIANT, number), _)) => FrameKind::Call(number),
        Ok(((ANSWER_VARIANT, _), _)) => FrameKind::Answer,
        _ => FrameKind::Other,
    }
}

/// Writes queued messages in batches until the queue or the socket closes.
pub(crate) async fn write_frames(
    mut socket: OwnedWriteHalf,
    mut queue: LinkReceiver,
) -> Result<(), LinkError> {
    let mut messages = Vec::with_capacity(MESSAGES_PER_WRITE);
    let mut buffer = Vec::new();
    while queue.take(&mut messages, MESSAGES_PER_WRITE).await > 0 {
        for message in messages.drain(..) {
            let body = message.long_body();
            let Some(position) = append_frame(&mut buffer, &message, body)? else {
                continue;
            };
            socket.write_all(&buffer[..position]).await?;
            socket.write_all(body.map_or(&[], |body| &body[..])).await?;
            buffer.drain(..position);
        }
        socket.write_all(&buffer).await?;
        buffer.clear();
        if buffer.capacity() > WRITE_BUFFER_KEPT_BYTES {
            buffer = Vec::new();
        }
    }
    Ok(())
}

impl PeerMessage {
    /// The body of the message if it is long.
    fn long_body(&self) -> Option<&Bytes> {
        let body = match self {
            PeerMessage::Call(call) => &call.request.body,
            PeerMessage::Answer(answer) => match &answer.outcome {
                CallOutcome::Answered(answer) => &answer.body,
                _ => return None,
            },
            _ => return None,
        };
        (body.len() > SMALL_BODY_BYTES).then_some(body)
    }
}

/// Serializes into a buffer, with a long body left out.
struct FrameOutput<'a> {
    buffer: &'a mut Vec<u8>,
    body: Option<&'a Bytes>,
    body_position: Option<usize>,
}

impl Flavor for FrameOutput<'_> {
    type Output = Option<usize>;

    fn try_push(&mut self, byte: u8) -> postcard::Result<()> {
        self.buffer.push(byte);
        Ok(())
    }

    fn try_extend(&mut self, bytes: &[u8]) -> postcard::Result<()> {
        let is_body = |body: &&Bytes| body.as_ptr() == bytes.as_ptr() && body.len() == bytes.len();
        match self.body.filter(is_body) {
            Some(_) => self.body_position = Some(self.buffer.len()),
            None => self.buffer.extend_from_slice(bytes),
        }
        Ok(())
    }

    fn finalize(self) -> postcard::Result<Self::Output> {
        Ok(self.body_position)
    }
}

/// Appends the frame of a message without its long body; the position of the body in the buffer.
fn append_frame(
    buffer: &mut Vec<u8>,
    message: &PeerMessage,
    body: Option<&Bytes>,
) -> Result<Option<usize>, LinkError> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    let output = FrameOutput { buffer, body, body_position: None };
    let position = postcard::serialize_with_flavor(message, output)?;
    let left_out = position.and(body).map_or(0, Bytes::len);
    let length = (buffer.len() - start - LENGTH_BYTES + left_out) as u32;
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(position)
}
