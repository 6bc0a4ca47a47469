//! Serves calls from other daemons.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::caller_listener::count_connection;
use super::connection_table::{ConnectionSeat, ConnectionTable};
use super::frame::{
    FrameReader, LinkError, OrganisationCutoff, PeerAnswer, PeerCall, PeerMessage, ReadFrame,
    write_frames,
};
use super::link_queue::{LinkSender, link_queue};
use super::peer_link::{KEEPALIVE_INTERVAL, SILENCE_TIMEOUT};
use super::record_request::RecordRequests;
use crate::clock::MilliTime;
use crate::connection::listener::accept;
use crate::policy::connection_roster::ConnectionStanding;
use crate::policy::descriptor_share::{DescriptorUse, roster_limits};
use crate::policy::root_admission::CostList;
use crate::policy::store_position::StorePosition;
use crate::policy::zone_evacuation::ZoneSet;
use crate::sidecar::process::backend_call::BackendCall;
use crate::sidecar::process::backend_watch::note_leaves;
use crate::sidecar::process::notice_watch::learn_notice;
use crate::sidecar::process::peer_table::instance_key;
use crate::sidecar::process::sidecar_shared::{SidecarShared, StoreReports};
use crate::sidecar::process::store_view::PositionSource;
use crate::sidecar::request::context::{CallOutcome, NotRunCause};

/// Accepts links from other daemons until the task is aborted. Those of daemons that the directory
/// lists keep their places before others.
pub(crate) async fn serve_peers(shared: Arc<SidecarShared>, listener: TcpListener) {
    let limits = roster_limits(shared.settings.descriptors_max, DescriptorUse::Links);
    let table = ConnectionTable::new(limits);
    // Dropping the set closes the links.
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            stream = accept(&listener) => {
                let serve = |seat| links.spawn(serve_link(shared.clone(), stream, seat));
                if table.admit(serve).await {
                    count_connection(&shared, "link-evicted", 1);
                }
            }
            Some(_) = links.join_next() => {}
        }
    }
}

/// What is known of the daemon that opened a link.
struct LinkOpener {
    seat: ConnectionSeat,
    standing: ConnectionStanding,
    /// The key of the name that it stated.
    key: Option<u64>,
}

impl LinkOpener {
    fn new(seat: ConnectionSeat) -> Self {
        LinkOpener { seat, standing: ConnectionStanding::New, key: None }
    }

    /// Takes note of a message. A daemon may be listed some time after it has stated its name.
    fn observe(&mut self, shared: &SidecarShared, message: &PeerMessage) {
        if let PeerMessage::Alive { name: Some(name) } = message {
            self.key = Some(instance_key(name));
        }
        let listed = match self.standing {
            ConnectionStanding::Listed(_) => return,
            _ => self.key.filter(|key| shared.peers.is_listed(*key)),
        };
        let standing = listed.map_or(ConnectionStanding::Proven, ConnectionStanding::Listed);
        if standing != self.standing {
            self.standing = standing;
            if self.seat.promote(standing) {
                count_connection(shared, "link-evicted", 1);
            }
        }
    }
}

/// Running calls of one link, aborted when the link closes.
#[derive(Default)]
struct LinkCalls {
    running: HashMap<u64, AbortHandle>,
}

impl Drop for LinkCalls {
    fn drop(&mut self) {
        self.running.values().for_each(AbortHandle::abort);
    }
}

/// Time after which a call that was refused for want of memory may find some.
const MEMORY_RETRY_MILLIS: u32 = 500;
const START_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Questions that come sooner after the last one are not answered: its answer serves them as well.
const ASK_INTERVAL_MIN: Duration = Duration::from_millis(20);
/// A daemon that asked for records gets changes unasked for this long.
const FOLLOWER_SPAN: Duration = Duration::from_secs(3);

/// The daemon at the other end, if it asks for records, and what it has been sent.
#[derive(Default)]
struct RecordFollower {
    asked: Option<MilliTime>,
    version: u64,
    directory: Option<StorePosition>,
    /// The last record sent that this daemon cannot read; it is sent once.
    unread: Option<Box<Bytes>>,
    /// The evacuated zones of the last message.
    evacuated: Arc<ZoneSet>,
}

impl RecordFollower {
    /// Records a question; whether it is to be answered.
    fn ask(&mut self, now: MilliTime) -> bool {
        let is_due = self.asked.is_none_or(|asked| now.since(asked) >= ASK_INTERVAL_MIN);
        if is_due {
            self.asked = Some(now);
        }
        is_due
    }

    /// The answer to a follower that knows this version and the directory up to this position.
    fn reports(
        &mut self,
        shared: &SidecarShared,
        number: Option<u64>,
        version: u64,
        directory: Option<StorePosition>,
    ) -> PeerMessage {
        self.version = shared.store_view.configuration.version().max(version);
        self.directory = shared.store_view.directory.cursor().max(directory);
        self.evacuated = shared.evacuated.load_full();
        let mut reports = shared.store_reports(number, version, directory);
        if let PeerMessage::Records { unread, .. } = &mut reports {
            let sent = unread.take_if(|unread| self.unread.as_ref() == Some(unread));
            self.unread = sent.or_else(|| unread.clone());
        }
        reports
    }

    /// The records that changed since the last message, if the daemon asked for any lately.
    fn news(&mut self, shared: &SidecarShared) -> Option<PeerMessage> {
        let now = shared.clock.now();
        self.asked.filter(|asked| now.since(*asked) < FOLLOWER_SPAN)?;
        let view = &shared.store_view;
        let has_news =
            view.configuration.version() > self.version || view.directory.cursor() > self.directory;
        let has_news = has_news || *self.evacuated != **shared.evacuated.load();
        has_news.then(|| self.reports(shared, None, self.version, self.directory))
    }
}

async fn serve_link(shared: Arc<SidecarShared>, stream: TcpStream, seat: ConnectionSeat) {
    let (read_half, write_half) = stream.into_split();
    let (sender, queue) = link_queue();
    let mut reader = FrameReader::new(read_half, shared.memory.clone());
    // The daemon that opened the link logs why it ended.
    tokio::select! {
        _ = write_frames(write_half, queue) => {}
        _ = read_calls(&shared, &mut reader, sender, LinkOpener::new(seat)) => {}
    }
}

/// Sends cutoffs, if there are any; `false` if the link is closed.
fn send_cutoffs(sender: &LinkSender, cutoffs: Vec<OrganisationCutoff>) -> bool {
    cutoffs.is_empty() || sender.send(PeerMessage::TokenCutoffs(cutoffs)).is_ok()
}

/// Reads the next message once there is room for what answers it. Cancel-safe.
async fn read_with_room(
    reader: &mut FrameReader,
    sender: &LinkSender,
) -> Result<ReadFrame, LinkError> {
    sender.has_room().await;
    reader.read().await
}

async fn read_calls(
    shared: &Arc<SidecarShared>,
    reader: &mut FrameReader,
    sender: LinkSender,
    mut opener: LinkOpener,
) -> LinkError {
    let mut calls = LinkCalls::default();
    let (name, service) = (shared.settings.name.clone(), shared.settings.service.clone());
    if sender.send(PeerMessage::Hello { name, service }).is_err() {
        return LinkError::Closed;
    }
    let mut start_requests = RecordRequests::default();
    let mut start_numbers = 0_u64..;
    let mut start_checks = interval(START_CHECK_INTERVAL);
    start_checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut follower = RecordFollower::default();
    let (ended_sender, mut ended) = mpsc::unbounded_channel();
    let mut load_changes = shared.backend_admission.subscribe();
    let mut store_changes = shared.store_view.subscribe();
    let mut crash_news = shared.crash_watch.subscribe();
    let mut keepalive = interval(KEEPALIVE_INTERVAL);
    keepalive.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut silence = std::pin::pin!(sleep(SILENCE_TIMEOUT));
    loop {
        tokio::select! {
            biased;
            message = read_with_room(reader, &sender) => {
                let message = match message {
                    Ok(ReadFrame::Message(message)) => message,
                    Ok(ReadFrame::Unknown) => {
                        shared.metrics.count("message_unknown");
                        continue;
                    }
                    Ok(ReadFrame::RefusedCall(number)) => {
                        if sender.send(refused_call(shared, number)).is_err() {
                            return LinkError::Closed;
                        }
                        continue;
                    }
                    Err(error) => return error,
                };
                silence.as_mut().reset(tokio::time::Instant::now() + SILENCE_TIMEOUT);
                opener.observe(shared, &message);
                match message {
                    PeerMessage::Call(call) => {
                        let number = call.number;
                        let run = run_call(shared.clone(), call, sender.clone(), ended_sender.clone());
                        calls.running.insert(number, tokio::spawn(run).abort_handle());
                    }
                    PeerMessage::Cancel(number) => {
                        calls.running.remove(&number).iter().for_each(AbortHandle::abort);
                    }
                    PeerMessage::Tokens(amounts) => {
                        shared.quota.receive(&amounts);
                        let cutoffs = shared.quota.cutoffs(&amounts);
                        if !send_cutoffs(&sender, cutoffs) {
                            return LinkError::Closed;
                        }
                    }
                    PeerMessage::RequestTokens(requests) => {
                        let lent = shared.quota.lend(&requests);
                        if !lent.is_empty() && sender.send(PeerMessage::Tokens(lent)).is_err() {
                            return LinkError::Closed;
                        }
                        let cutoffs = shared.quota.cutoffs(&requests);
                        if !send_cutoffs(&sender, cutoffs) {
                            return LinkError::Closed;
                        }
                    }
                    PeerMessage::AskRootKnowledge => {
                        let knowledge = PeerMessage::RootKnowledge(shared.root_start.knowledge(shared));
                        if sender.send(knowledge).is_err() {
                            return LinkError::Closed;
                        }
                    }
                    PeerMessage::TokenDemand(demands) => {
                        let cutoffs = shared.quota.observe_demand(&demands);
                        if !send_cutoffs(&sender, cutoffs) {
                            return LinkError::Closed;
                        }
                    }
                    PeerMessage::AskRecords { number, version, directory } => {
                        if !follower.ask(shared.clock.now()) {
                            continue;
                        }
                        let reports = follower.reports(shared, Some(number), version, directory);
                        if sender.send(reports).is_err() {
                            return LinkError::Closed;
                        }
                    }
                    PeerMessage::Records { number, configuration, directory, evacuations, unread } => {
                        let configuration = configuration.map(|report| report.with_unread(unread));
                        let requested = start_requests.requested_at(number);
                        let source = PositionSource::LinkedDaemon;
                        let reports = StoreReports { configuration, directory, evacuations };
                        shared.merge_reports(&source, requested, reports);
                    }
                    PeerMessage::Notice(notice) => learn_notice(shared, notice),
                    PeerMessage::LeavesHeld { number } => shared.backend_watch.confirm_held(number),
                    PeerMessage::Leaves(leaves) => note_leaves(shared, &leaves),
                    PeerMessage::Crash(report) => shared.crash_watch.learn(shared, &report),
                    PeerMessage::Release(identity) => shared.crash_watch.release(shared, identity),
                    PeerMessage::Hello { .. }
                    | PeerMessage::Alive { .. }
                    | PeerMessage::Load(_)
                    | PeerMessage::Answer(_)
                    | PeerMessage::HoldLeaves { .. }
                    | PeerMessage::TokenCutoffs(_)
                    | PeerMessage::RootKnowledge(_) => {}
                }
            }
            Some(number) = ended.recv() => {
                calls.running.remove(&number);
            }
            _ = store_changes.changed() => {
                let news = follower.news(shared);
                if news.is_some_and(|news| sender.send(news).is_err()) {
                    return LinkError::Closed;
                }
            }
            Ok(message) = crash_news.recv() => {
                if sender.send(message).is_err() {
                    return LinkError::Closed;
                }
            }
            _ = load_changes.changed() => {
                if sender.send(PeerMessage::Load(shared.backend_admission.load())).is_err() {
                    return LinkError::Closed;
                }
            }
            _ = keepalive.tick() => {
                if sender.send(PeerMessage::Load(shared.backend_admission.load())).is_err() {
                    return LinkError::Closed;
                }
            }
            // This daemon has just started, with many others or while the store is down.
            _ = start_checks.tick(), if !shared.is_listed() => {
                if shared.take_start_request()
                    && let Some(number) = start_numbers.next()
                {
                    start_requests.record(number, shared.clock.now());
                    let ask = PeerMessage::AskRecords {
                        number,
                        version: shared.store_view.configuration.version(),
                        directory: shared.store_view.directory.cursor(),
                    };
                    if sender.send(ask).is_err() {
                        return LinkError::Closed;
                    }
                }
            }
            // What is left unread for want of memory hides the messages behind it.
            () = &mut silence, if !reader.is_waiting() => return LinkError::Silent,
        }
    }
}

/// The answer to a call for which there is no memory.
fn refused_call(shared: &SidecarShared, number: u64) -> PeerMessage {
    shared.metrics.count("call_refused_memory");
    let capacity_in_millis = MEMORY_RETRY_MILLIS;
    let outcome = CallOutcome::NotRun { cause: NotRunCause::TooLate, capacity_in_millis };
    let load = shared.backend_admission.load();
    let notice = shared.notice_watch.known();
    PeerMessage::Answer(Box::new(PeerAnswer {
        number,
        outcome,
        costs: CostList::new(),
        load,
        notice,
    }))
}

async fn run_call(
    shared: Arc<SidecarShared>,
    call: Box<PeerCall>,
    sender: LinkSender,
    ended: mpsc::UnboundedSender<u64>,
) {
    let now = shared.clock.now();
    let PeerCall {
        number,
        context,
        request,
        deadline_millis,
        due_millis,
        runs_once,
        notice,
        lease,
    } = *call;
    if let Some(notice) = notice {
        learn_notice(&shared, notice);
    }
    let call = BackendCall {
        context,
        request,
        accepted: now,
        deadline: now + Duration::from_millis(u64::from(deadline_millis)),
        due: now + Duration::from_millis(u64::from(due_millis)),
        runs_once,
        _lease: lease,
    };
    let (outcome, costs) = shared.run_on_backend(&call).await;
    let load = shared.backend_admission.load();
    let notice = shared.notice_watch.known();
    let answer = PeerAnswer { number, outcome, costs, load, notice };
    // Both sends fail only if the link has closed.
    let _ = sender.send(PeerMessage::Answer(Box::new(answer)));
    let _ = ended.send(number);
}
