//! The outgoing connection to another daemon, for calls to its backend server.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use super::frame::{
    FrameReader, LinkError, PeerAnswer, PeerCall, PeerMessage, ReadFrame, write_frames,
};
use super::link_queue::{LinkSender, link_queue};
use super::record_request::RecordRequests;
use crate::clock::MilliTime;
use crate::policy::answer_verdict::is_final_status;
use crate::sidecar::process::peer_table::PeerEntry;
use crate::sidecar::process::sidecar_shared::{SidecarShared, StoreReports};
use crate::sidecar::process::store_view::PositionSource;
use crate::sidecar::request::context::{CallOutcome, UnknownCause};

pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(900);
/// A link without messages for this long is closed: two keepalives are missing.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
const RECONNECT_DELAY_MAX: Duration = Duration::from_millis(1_200);

/// An open connection to another daemon.
#[derive(Debug)]
pub(crate) struct PeerLink {
    sender: LinkSender,
    pending: Mutex<HashMap<u64, oneshot::Sender<PeerAnswer>>>,
    next_number: AtomicU64,
    record_requests: Mutex<RecordRequests>,
}

/// Cancels a call at the other daemon when dropped, unless it was answered.
struct CallGuard<'a> {
    link: &'a PeerLink,
    number: u64,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let waiting = self.link.pending.lock().expect("lock not poisoned").remove(&self.number);
        if waiting.is_some() {
            self.link.send(PeerMessage::Cancel(self.number));
        }
    }
}

/// Ends the calls that wait on a link when dropped, also when the task of the link is aborted.
struct OpenLink(Arc<PeerLink>);

impl Drop for OpenLink {
    fn drop(&mut self) {
        self.0.drop_calls();
    }
}

impl PeerLink {
    fn new(sender: LinkSender) -> Self {
        PeerLink {
            sender,
            pending: Mutex::default(),
            next_number: AtomicU64::new(0),
            record_requests: Mutex::default(),
        }
    }

    /// Queues a message; on a closed link it is dropped.
    pub(crate) fn send(&self, message: PeerMessage) {
        let _ = self.sender.send(message);
    }

    /// Sends a call and waits for its answer; `None` if the link closes first.
    pub(crate) async fn call(&self, mut call: PeerCall) -> Option<PeerAnswer> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        call.number = number;
        let (sender, receiver) = oneshot::channel();
        self.pending.lock().expect("lock not poisoned").insert(number, sender);
        let _guard = CallGuard { link: self, number };
        if self.sender.send(PeerMessage::Call(Box::new(call))).is_err() {
            return None;
        }
        receiver.await.ok()
    }

    /// Requests the records that the other daemon has and this one lacks.
    pub(crate) fn ask_records(&self, shared: &SidecarShared) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let now = shared.clock.now();
        self.record_requests.lock().expect("lock not poisoned").record(number, now);
        let view = &shared.store_view;
        self.send(PeerMessage::AskRecords {
            number,
            version: view.configuration.version(),
            directory: view.directory.cursor(),
        });
    }

    /// The time of the request for records that an answer names.
    fn requested_at(&self, number: Option<u64>) -> Option<MilliTime> {
        self.record_requests.lock().expect("lock not poisoned").requested_at(number)
    }

    /// Ends the call that an answer names. An answer with a status that none can have is not the backend
    /// server's, which may have run the request.
    fn complete_call(&self, mut answer: PeerAnswer) {
        if matches!(&answer.outcome, CallOutcome::Answered(from) if !is_final_status(from.status)) {
            answer.outcome = CallOutcome::Unknown(UnknownCause::Spoiled);
        }
        let waiting = self.pending.lock().expect("lock not poisoned").remove(&answer.number);
        if let Some(waiting) = waiting {
            // The caller may have been dropped meanwhile.
            let _ = waiting.send(answer);
        }
    }

    /// Ends all pending calls with an unknown outcome.
    fn drop_calls(&self) {
        self.pending.lock().expect("lock not poisoned").clear();
    }
}

/// Connects to `peer`, and reconnects, until the task is aborted.
pub(crate) async fn maintain_link(shared: Arc<SidecarShared>, peer: Arc<PeerEntry>) {
    let mut delay = RECONNECT_DELAY;
    loop {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.address)).await;
        if let Ok(Ok(stream)) = connected {
            let error = run_link(&shared, &peer, stream).await;
            peer.clear_link();
            shared.log_peer(&peer, false, &error);
            delay = RECONNECT_DELAY;
        }
        sleep(delay).await;
        delay = (delay * 2).min(RECONNECT_DELAY_MAX);
    }
}

async fn run_link(
    shared: &Arc<SidecarShared>,
    peer: &Arc<PeerEntry>,
    stream: TcpStream,
) -> LinkError {
    if let Err(source) = stream.set_nodelay(true) {
        return LinkError::Socket { source };
    }
    let (read_half, write_half) = stream.into_split();
    let (sender, queue) = link_queue();
    let link = Arc::new(PeerLink::new(sender));
    let _open = OpenLink(link.clone());
    let writing = write_frames(write_half, queue);
    let reading =
        read_messages(shared, peer, &link, FrameReader::new(read_half, shared.memory.clone()));
    tokio::select! {
        result = writing => result.err().unwrap_or(LinkError::Closed),
        error = reading => error,
    }
}

async fn read_messages(
    shared: &Arc<SidecarShared>,
    peer: &Arc<PeerEntry>,
    link: &Arc<PeerLink>,
    mut reader: FrameReader,
) -> LinkError {
    let mut keepalive = interval(KEEPALIVE_INTERVAL);
    keepalive.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut silence = std::pin::pin!(sleep(SILENCE_TIMEOUT));
    let mut own_name = Some(shared.settings.name.clone());
    loop {
        tokio::select! {
            biased;
            message = reader.read() => match message {
                Ok(ReadFrame::Message(PeerMessage::Hello { name, service }))
                    if name != peer.name || service != peer.service =>
                {
                    return LinkError::WrongDaemon { name, service };
                }
                Ok(ReadFrame::Unknown) => shared.metrics.count("message_unknown"),
                // Calls go the other way.
                Ok(ReadFrame::RefusedCall(_)) => {}
                Ok(ReadFrame::Message(message)) => {
                    silence.as_mut().reset(tokio::time::Instant::now() + SILENCE_TIMEOUT);
                    handle_message(shared, peer, link, message);
                }
                Err(error) => return error,
            },
            _ = keepalive.tick() => link.send(PeerMessage::Alive { name: own_name.take() }),
            // What is left unread for want of memory hides the messages behind it.
            () = &mut silence, if !reader.is_waiting() => return LinkError::Silent,
        }
    }
}

fn handle_message(
    shared: &Arc<SidecarShared>,
    peer: &Arc<PeerEntry>,
    link: &Arc<PeerLink>,
    message: PeerMessage,
) {
    match message {
        PeerMessage::Load(load) => {
            if peer.record_load(link, load) {
                shared.log_peer(peer, true, &"connected");
            }
            shared.observe_load(peer, &load);
        }
        PeerMessage::Answer(answer) => {
            peer.record_load(link, answer.load);
            shared.observe_load(peer, &answer.load);
            link.complete_call(*answer);
        }
        PeerMessage::Tokens(amounts) => shared.quota.receive(&amounts),
        PeerMessage::RootKnowledge(knowledge) => {
            shared.root_start.learn(shared, &peer.name, &knowledge);
        }
        PeerMessage::TokenCutoffs(cutoffs) => shared.quota.set_cutoffs(&cutoffs),
        PeerMessage::Records { number, configuration, directory, evacuations, unread } => {
            let configuration = configuration.map(|report| report.with_unread(unread));
            let source = PositionSource::Daemon(peer.name.clone());
            let requested = link.requested_at(number);
            let reports = StoreReports { configuration, directory, evacuations };
            shared.merge_reports(&source, requested, reports);
        }
        PeerMessage::AskRecords { number, version, directory } => {
            link.send(shared.store_reports(Some(number), version, directory));
        }
        PeerMessage::Hello { .. } => {
            if let Some(notice) = shared.notice_of(peer.key) {
                link.send(PeerMessage::Notice(notice));
            }
            if let Some(leaves) = shared.leaves_at(&peer.name) {
                link.send(PeerMessage::Leaves(leaves));
            }
            if shared.root_start.may_ask() {
                link.send(PeerMessage::AskRootKnowledge);
            }
        }
        PeerMessage::HoldLeaves { number, leaves } => {
            shared.hold_leaves(&peer.name, &leaves);
            link.send(PeerMessage::LeavesHeld { number });
        }
        PeerMessage::Crash(report) => shared.crash_watch.learn(shared, &report),
        PeerMessage::Release(identity) => shared.crash_watch.release(shared, identity),
        PeerMessage::Alive { .. }
        | PeerMessage::Call(_)
        | PeerMessage::Cancel(_)
        | PeerMessage::Notice(_)
        | PeerMessage::Leaves(_)
        | PeerMessage::LeavesHeld { .. }
        | PeerMessage::RequestTokens(_)
        | PeerMessage::TokenDemand(_)
        | PeerMessage::AskRootKnowledge => {}
    }
}
