//! Messages on the control links between daemons, encoded as CBOR.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::process::claims::message::ClaimMessage;
use crate::process::members::InstanceId;
use crate::process::members::message::MemberMessage;
use crate::process::rates::message::QuotaMessage;
use crate::version::message::StateMessage;

/// Version of the peer protocol; a daemon ignores unknown message kinds.
pub const PEER_PROTOCOL: u16 = 1;

/// One frame on a control link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Matches a reply to its call.
    pub id: u64,
    /// Call, reply or cast.
    pub kind: FrameKind,
    /// The sender.
    pub from: InstanceId,
    /// The content.
    pub body: PeerMessage,
}

/// The kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FrameKind {
    /// A reply with the same id is expected.
    Call,
    /// The reply to a call.
    Reply,
    /// No reply is expected.
    Cast,
}

/// The content of a frame, with one variant per topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "topic", content = "message", rename_all = "kebab-case")]
pub enum PeerMessage {
    /// The reply to a call whose topic is unknown.
    Unknown,
    /// Membership.
    Members(MemberMessage),
    /// Organisations' rates.
    Quota(QuotaMessage),
    /// Claims of non-idempotent requests.
    Claims(ClaimMessage),
    /// The configuration.
    State(StateMessage),
}

impl PeerFrame {
    /// Encodes the frame.
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::with_capacity(128);
        ciborium::into_writer(self, &mut bytes).expect("writing to memory succeeds");
        bytes.into()
    }

    /// Decodes a frame.
    ///
    /// # Errors
    /// The decoder's error message.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        ciborium::from_reader(bytes).map_err(|error| error.to_string())
    }
}
