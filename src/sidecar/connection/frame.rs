//! Frames between daemons: a length of four bytes, then a message in postcard's encoding.

use std::sync::Arc;

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use crate::policy::placement::DoorLoad;
use crate::policy::root_admission::CostList;
use crate::sidecar::request::context::{CallContext, CallOutcome, ForwardRequest};

const LENGTH_BYTES: usize = 4;
/// Larger frames are a fault of the other side: bodies are bounded below this.
const FRAME_BYTES_MAX: usize = 80 << 20;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Messages that one write takes at most.
const MESSAGES_PER_WRITE: usize = 64;
/// A write buffer that grew beyond this is given back.
const WRITE_BUFFER_KEPT_BYTES: usize = 64 * 1024;

/// A message between daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Who listens here; the first message on a link.
    Hello { name: Arc<str>, service: Arc<str> },
    /// The sender lives.
    Alive,
    /// The load at the sender's backend server.
    Load(DoorLoad),
    /// Run a request there.
    Call(Box<PeerCall>),
    /// How a call ended.
    Answer(Box<PeerAnswer>),
    /// Nobody waits for this call any more.
    Cancel(u64),
    /// How new is what you know of the store?
    AskProof {
        /// Comes back with the answer.
        number: u64,
    },
    /// How new the sender's knowledge of the store is; without a number it only tells of a change.
    Proof {
        number: Option<u64>,
        configuration: Option<FreshnessProof>,
        directory: Option<FreshnessProof>,
    },
    /// Tokens that the receiver owns from now on.
    Tokens(Vec<TokenAmount>),
    /// Tokens that the sender would like to have.
    WantTokens(Vec<TokenAmount>),
}

/// A request to run at the receiver's backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PeerCall {
    /// Names the call on its connection.
    pub(crate) number: u64,
    pub(crate) context: CallContext,
    pub(crate) request: ForwardRequest,
    /// Milliseconds until nobody waits for the answer.
    pub(crate) deadline_millis: u32,
    /// Milliseconds until the answer is late.
    pub(crate) due_millis: u32,
    /// Whether it must not run twice.
    pub(crate) runs_once: bool,
}

/// How a call ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PeerAnswer {
    pub(crate) number: u64,
    pub(crate) outcome: CallOutcome,
    /// Slots used by the call and the calls below it.
    pub(crate) costs: CostList,
    /// The load at the backend server after the call.
    pub(crate) load: DoorLoad,
}

/// Everything written to a topic before `age_millis` ago stands before `cursor`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct FreshnessProof {
    pub(crate) cursor: u64,
    pub(crate) age_millis: u32,
}

/// Tokens of an organisation's rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct TokenAmount {
    pub(crate) organisation: Arc<str>,
    pub(crate) tokens: f64,
}

/// Why a link between daemons ended.
#[derive(Debug, Snafu)]
pub(crate) enum LinkError {
    #[snafu(display("connection ended"))]
    Closed,
    #[snafu(display("{source}"), context(false))]
    Socket { source: std::io::Error },
    #[snafu(display("unreadable frame: {source}"), context(false))]
    Unreadable { source: postcard::Error },
    #[snafu(display("frame of {length} bytes"))]
    FrameTooLong { length: usize },
    #[snafu(display("another daemon listens there: {name} beside {service}"))]
    WrongDaemon { name: Arc<str>, service: Arc<str> },
    #[snafu(display("nothing heard in time"))]
    Silent,
}

/// Reads frames.
pub(crate) struct FrameReader {
    socket: OwnedReadHalf,
    buffer: BytesMut,
}

impl FrameReader {
    pub(crate) fn new(socket: OwnedReadHalf) -> Self {
        FrameReader { socket, buffer: BytesMut::with_capacity(READ_BUFFER_BYTES) }
    }

    /// The next message; safe to cancel.
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
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let frame = self.buffer.split_to(length);
        Ok(Some(postcard::from_bytes(&frame)?))
    }
}

/// Writes what the queue brings, many messages at a time, until the queue or the socket closes.
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
