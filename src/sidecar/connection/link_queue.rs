//! Messages that wait to be written to a link.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::mpsc;
use tokio::time::sleep;

use super::frame::PeerMessage;
use crate::sidecar::process::memory_budget::FREE_POLL_INTERVAL;

/// Largest weight of the messages that wait before the link is left unread.
const WEIGHT_MAX: usize = 512;
/// The weight of a message with records, which may have the whole directory.
const RECORDS_WEIGHT: usize = 64;

/// A new queue, empty.
pub(crate) fn link_queue() -> (LinkSender, LinkReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let weight = Arc::new(AtomicUsize::new(0));
    (LinkSender { sender, weight: weight.clone() }, LinkReceiver { receiver, weight, taken: 0 })
}

/// The link is closed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueClosed;

/// Adds messages to the queue of a link.
#[derive(Clone, Debug)]
pub(crate) struct LinkSender {
    sender: mpsc::UnboundedSender<PeerMessage>,
    weight: Arc<AtomicUsize>,
}

/// Takes messages from the queue of a link.
#[derive(Debug)]
pub(crate) struct LinkReceiver {
    receiver: mpsc::UnboundedReceiver<PeerMessage>,
    weight: Arc<AtomicUsize>,
    /// The weight of the messages that were taken and may not be written yet.
    taken: usize,
}

impl LinkSender {
    /// Adds a message, however many wait.
    pub(crate) fn send(&self, message: PeerMessage) -> Result<(), QueueClosed> {
        self.weight.fetch_add(weight_of(&message), Ordering::Relaxed);
        self.sender.send(message).map_err(|_| QueueClosed)
    }

    /// Waits until so few messages wait that another one may be read and answered.
    pub(crate) async fn has_room(&self) {
        while self.weight.load(Ordering::Relaxed) > WEIGHT_MAX {
            sleep(FREE_POLL_INTERVAL).await;
        }
    }
}

impl LinkReceiver {
    /// Takes up to `limit` messages once those taken before are written; returns their number, 0 if
    /// the queue is closed.
    pub(crate) async fn take(&mut self, messages: &mut Vec<PeerMessage>, limit: usize) -> usize {
        self.weight.fetch_sub(self.taken, Ordering::Relaxed);
        self.taken = 0;
        let count = self.receiver.recv_many(messages, limit).await;
        self.taken = messages.iter().map(weight_of).sum();
        count
    }
}

fn weight_of(message: &PeerMessage) -> usize {
    if matches!(message, PeerMessage::Records { .. }) { RECORDS_WEIGHT } else { 1 }
}
