//! Frames between daemons: a length of four bytes (big-endian), then a postcard message.

use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Deserializer, Serialize};
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use crate::policy::backend_notice::KnownNotice;
use crate::policy::body_limit::SMALL_BODY_BYTES;
use crate::policy::crash_ledger::CrashReport;
use crate::policy::incarnation::LeaveRecord;
use crate::policy::placement::InstanceLoad;
use crate::policy::request_identity::RequestIdentity;
use crate::policy::root_admission::CostList;
use crate::policy::store_position::StorePosition;
use crate::policy::token_priority::{TokenCutoff, UrgencyCounts};
use crate::policy::zone_evacuation::EvacuationClaim;
use crate::sidecar::process::body_budget::{BodyBudget, BodyLease};
use crate::sidecar::process::topic_replica::TopicUpdate;
use crate::sidecar::request::context::{CallContext, CallOutcome, ForwardRequest};

const LENGTH_BYTES: usize = 4;
/// Larger frames are invalid: the limits on bodies are lower.
const FRAME_BYTES_MAX: usize = 80 << 20;
const READ_BUFFER_BYTES: usize = 16 * 1024;
const MESSAGES_PER_WRITE: usize = 64;
/// A write buffer with a larger capacity is freed after the write.
const WRITE_BUFFER_KEPT_BYTES: usize = 64 * 1024;

/// A message between daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Identifies the accepting daemon; the first message on a link.
    Hello { name: Arc<str>, service: Arc<str> },
    /// Keepalive.
    Alive,
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
        configuration: Option<ConfigReport>,
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

/// Reads frames from a socket.
pub(crate) struct FrameReader {
    socket: OwnedReadHalf,
    buffer: BytesMut,
    bodies: Arc<BodyBudget>,
    /// Memory for the large frame that is being read.
    lease: Option<BodyLease>,
}

impl FrameReader {
    /// A reader whose large frames take part in the budget of the bodies in flight.
    pub(crate) fn new(socket: OwnedReadHalf, bodies: Arc<BodyBudget>) -> Self {
        let buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        FrameReader { socket, buffer, bodies, lease: None }
    }

    /// Reads the next message. Cancel-safe.
    pub(crate) async fn read(&mut self) -> Result<PeerMessage, LinkError> {
        loop {
            if let Some(message) = self.parse()? {
                return Ok(message);
            }
            self.buffer.reserve(READ_BUFFER_BYTES);
            if self.socket.read_buf(&mut self.buffer).await? == 0 {
                return Err(LinkError::Closed);
            }
        }
    }

    fn parse(&mut self) -> Result<Option<PeerMessage>, LinkError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > FRAME_BYTES_MAX {
            return Err(LinkError::FrameTooLong { length });
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            if length > SMALL_BODY_BYTES && self.lease.is_none() {
                let lease = self.bodies.lease(length);
                self.lease = Some(lease.ok_or(LinkError::FrameTooLong { length })?);
            }
            return Ok(None);
        }
        self.lease = None;
        self.buffer.advance(LENGTH_BYTES);
        let frame = self.buffer.split_to(length);
        Ok(Some(postcard::from_bytes(&frame)?))
    }
}

/// Writes queued messages in batches until the queue or the socket closes.
pub(crate) async fn write_frames(
    mut socket: OwnedWriteHalf,
    mut queue: mpsc::UnboundedReceiver<PeerMessage>,
) -> Result<(), LinkError> {
    let mut messages = Vec::with_capacity(MESSAGES_PER_WRITE);
    let mut buffer = Vec::new();
    while queue.recv_many(&mut messages, MESSAGES_PER_WRITE).await > 0 {
        for message in messages.drain(..) {
            append_frame(&mut buffer, &message)?;
        }
        socket.write_all(&buffer).await?;
        buffer.clear();
        if buffer.capacity() > WRITE_BUFFER_KEPT_BYTES {
            buffer = Vec::new();
        }
    }
    Ok(())
}

fn append_frame(buffer: &mut Vec<u8>, message: &PeerMessage) -> Result<(), LinkError> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    *buffer = postcard::to_extend(message, std::mem::take(buffer))?;
    let length = (buffer.len() - start - LENGTH_BYTES) as u32;
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}
