//! Dispatches a peer's message to the handler of its topic.

use std::sync::Arc;

use super::members::InstanceId;
use super::shared::DaemonShared;
use super::{claims, members, rates};
use crate::connection::peer_message::PeerMessage;
use crate::version;

/// Handles a message from `from` and returns the reply, if the message has one.
pub async fn handle_peer(
    shared: &Arc<DaemonShared>,
    from: InstanceId,
    message: PeerMessage,
) -> Option<PeerMessage> {
    match message {
        PeerMessage::Unknown => None,
        PeerMessage::Members(message) => {
            members::message::handle(shared, from, message).await.map(PeerMessage::Members)
        }
        PeerMessage::Quota(message) => {
            rates::message::handle(shared, from, message).await.map(PeerMessage::Quota)
        }
        PeerMessage::Claims(message) => {
            claims::message::handle(shared, from, message).await.map(PeerMessage::Claims)
        }
        PeerMessage::State(message) => {
            version::message::handle(shared, from, message).await.map(PeerMessage::State)
        }
    }
}
