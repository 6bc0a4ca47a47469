//! Messages between daemons about members.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::process::members::{InstanceId, MemberEntry};
use crate::process::shared::DaemonShared;

/// Messages between daemons about members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum MemberMessage {
    /// The receiver does not support the kind of message.
    Unknown,
    /// Requests the entries of the buckets whose digests differ.
    Compare {
        /// The sender's bucket digests.
        digests: Vec<u64>,
    },
    /// Entries, and the digests of the table that they come from.
    Entries {
        /// The sender's bucket digests.
        digests: Vec<u64>,
        /// Entries of the buckets that differed.
        entries: Vec<MemberEntry>,
    },
}

/// Handles a message from a peer and returns the reply, if the message has one.
pub async fn handle(
    shared: &Arc<DaemonShared>,
    _from: InstanceId,
    message: MemberMessage,
) -> Option<MemberMessage> {
    match message {
        MemberMessage::Unknown => None,
        MemberMessage::Compare { digests } => Some(MemberMessage::Entries {
            entries: shared.members.differing(&digests),
            digests: shared.members.digests().to_vec(),
        }),
        MemberMessage::Entries { entries, .. } => {
            shared.gossip.merge_many(entries);
            None
        }
    }
}
