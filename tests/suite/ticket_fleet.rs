//! Tickets in fleets: snapshots, gaps, peers, dissemination, partitions, withdrawn keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use lentilway::config::DaemonConfig;
use lentilway::process::daemon::Daemon;
use lentilway::process::http_log::HttpLog;
use lentilway::process::platform_log::{LogError, LogPage, PlatformLog, StreamName};
use lentilway::process::submission::submit_ticket;
use lentilway::version::freshness::{CONTACT_AGE_MAX, StateFreshness};
use lentilway::version::snapshot::{decode_snapshot, encode_snapshot};
use lentilway_lab::fleet::{
    ANY_PORT, organisation, read_route, ticket, wait_members, wait_offset, wait_shares,
};
use lentilway_stand_ins::backend::{BackendBehaviour, BackendServer};
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use lentilway_stand_ins::log::{LogFaults, LogServer};
use lentilway_stand_ins::relay::PartitionRelay;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

const WAIT_MAX: Duration = Duration::from_secs(40);
const POLL: Duration = Duration::from_millis(20);
/// How long reads of a log lag behind; longer than its reads wait.
const LAG_SPAN: Duration = Duration::from_secs(3);

/// Waits until `is_met` holds and fails with `condition` on timeout.
async fn until(condition: &str, is_met: impl AsyncFn() -> bool) -> googletest::Result<()> {
    let met = timeout(WAIT_MAX, async {
        while !is_met().await {
            sleep(POLL).await;
        }
    });
    let met = met.await.is_ok();
    verify_that!(met, eq(true))
        .with_failure_message(|| format!("timed out waiting until {condition}"))
}

fn basic_tickets() -> [Value; 2] {
    let objects = [organisation("nord", "key-nord", 1e6, 1e6)];
    [ticket(1, &objects), ticket(2, &[read_route("stock-read", "/stock", "stock")])]
}

fn rate_ticket(number: u64, rate: f64) -> Value {
    ticket(number, &[organisation("nord", "key-nord", rate, 1e6)])
}

async fn start_log(tickets: &[Value]) -> LogServer {
    let log = LogServer::start(ANY_PORT, None).await.expect("the log starts");
    tickets.iter().for_each(|ticket| {
        log.append("tickets", ticket.to_string().as_bytes());
    });
    log
}

/// A daemon whose connections to the log and from its peers can be cut.
struct CutNode {
    daemon: Daemon,
    _backend: BackendServer,
    log: PartitionRelay,
    peer: PartitionRelay,
}

impl CutNode {
    async fn start(
        log: &LogServer,
        zone: &str,
        service: &str,
        configure: impl Fn(&mut DaemonConfig),
    ) -> CutNode {
        let log = PartitionRelay::start(Some(log.address())).await.expect("a relay starts");
        let peer = PartitionRelay::start(None).await.expect("a relay starts");
        let mut config = DaemonConfig::loopback(&format!("http://{}", log.address()), zone);
        config.peer_advertise = Some(peer.address());
        configure(&mut config);
        let daemon = Daemon::start(config).await.expect("the daemon starts");
        peer.set_target(daemon.addresses.peer);
        let slot = daemon.addresses.slot;
        let behaviour = BackendBehaviour::default();
        let backend = BackendServer::start(ANY_PORT, service, slot, behaviour).await;
        let backend = backend.expect("the backend server starts");
        CutNode { daemon, _backend: backend, log, peer }
    }

    fn daemon(&self) -> &Daemon {
        &self.daemon
    }

    fn next_offset(&self) -> u64 {
        self.daemon().shared.version.next_offset()
    }

    fn freshness(&self) -> StateFreshness {
        self.daemon().shared.sync.freshness(self.next_offset())
    }

    fn caller(&self) -> SocketAddr {
        self.daemon().addresses.caller
    }
}

/// Starts nodes in `zones`; only the first has a backend server for the route.
async fn start_nodes(log: &LogServer, zones: &[&str]) -> Vec<CutNode> {
    let mut nodes = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let service = if index == 0 { "stock" } else { "other" };
        nodes.push(CutNode::start(log, zone, service, |_| {}).await);
    }
    let offset = log.records("tickets").len() as u64;
    for node in &nodes {
        wait_offset(node.daemon(), offset).await;
        wait_members(node.daemon(), nodes.len()).await;
    }
    wait_shares(|| nodes.iter().map(CutNode::daemon)).await;
    nodes
}

async fn ask(caller: &Caller, address: SocketAddr) -> u16 {
    let answer = caller.send(address, &CallerRequest::get("/stock/1", "key-nord")).await;
    answer.map_or(0, |answer| answer.code)
}

async fn bare_daemon(log: &LogServer, zone: &str, seeds: Vec<SocketAddr>) -> Daemon {
    let mut config = DaemonConfig::loopback(&log.url(), zone);
    config.seed_peers = seeds;
    Daemon::start(config).await.expect("the daemon starts")
}

#[tokio::test]
async fn snapshot_newcomer_in_gap() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let mut config = DaemonConfig::loopback(&log.url(), "az1");
    config.log_retention = Duration::from_secs(4);
    let writer = Daemon::start(config).await.expect("the daemon starts");
    until("a snapshot is written", async || !log.records("snapshots").is_empty()).await?;
    log.append("tickets", rate_ticket(3, 3.0).to_string().as_bytes());
    log.expire("tickets", 2);
    let joining = bare_daemon(&log, "az2", Vec::new()).await;
    wait_offset(&joining, 3).await;
    wait_offset(&writer, 3).await;
    let (old, new) = (writer.shared.version.current(), joining.shared.version.current());
    verify_that!(new.digest(), eq(old.digest()))?;
    verify_that!(encode_snapshot(&new), eq(&encode_snapshot(&old)))
}

#[tokio::test]
async fn snapshot_rewritten_before_it_expires() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let mut daemons = Vec::new();
    for zone in ["az1", "az2", "az3"] {
        let mut config = DaemonConfig::loopback(&log.url(), zone);
        config.log_retention = Duration::from_secs(4);
        daemons.push(Daemon::start(config).await.expect("the daemon starts"));
    }
    // The state does not change, so all snapshots have the same bytes regardless of their writer.
    until("three snapshots are written", async || log.records("snapshots").len() >= 3).await?;
    let snapshots = log.records("snapshots");
    verify_that!(snapshots, each(eq(&snapshots[0])))?;
    // An outage during which snapshots and tickets expire.
    log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    log.expire("tickets", 2);
    log.expire("snapshots", snapshots.len() as u64 + 100);
    log.set_faults(LogFaults::default());
    until("a new snapshot is written", async || !log.records("snapshots").is_empty()).await?;
    let joining = bare_daemon(&log, "az4", Vec::new()).await;
    wait_offset(&joining, 2).await;
    let digest = daemons[0].shared.version.current().digest();
    verify_that!(joining.shared.version.current().digest(), eq(digest))
}

#[tokio::test]
async fn snapshot_torn_older_one_restored() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let first = bare_daemon(&log, "az1", Vec::new()).await;
    wait_offset(&first, 2).await;
    let whole = encode_snapshot(&first.shared.version.current());
    log.append("snapshots", &whole);
    log.append("snapshots", &whole[..whole.len() / 2]);
    log.append("snapshots", b"");
    log.append("tickets", rate_ticket(3, 3.0).to_string().as_bytes());
    log.expire("tickets", 2);
    let joining = bare_daemon(&log, "az2", Vec::new()).await;
    wait_offset(&joining, 3).await;
    wait_offset(&first, 3).await;
    verify_that!(joining.shared.metrics.counted("snapshot_refused"), eq(2))?;
    let digest = first.shared.version.current().digest();
    verify_that!(joining.shared.version.current().digest(), eq(digest))
}

#[tokio::test]
async fn snapshot_of_another_state_alarm() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let mut config = DaemonConfig::loopback(&log.url(), "az1");
    config.log_retention = Duration::from_secs(4);
    let daemon = Daemon::start(config).await.expect("the daemon starts");
    wait_offset(&daemon, 2).await;
    // A valid snapshot of a state that differs from the state of the log.
    let mut other = lentilway::version::state::ConfigState::default();
    basic_tickets().iter().zip(0..).for_each(|(ticket, offset)| {
        other.apply_record(offset, ticket.to_string().replace("1000000.0", "7.0").as_bytes());
    });
    verify_that!(other.next_offset, eq(2))?;
    log.append("snapshots", &encode_snapshot(&other));
    let shared = &daemon.shared;
    until("the alarm is raised", async || shared.metrics.counted("snapshot_differs") > 0).await?;
    verify_that!(shared.version.current().organisations["nord"].rate, eq(1e6))?;
    // The daemon writes a snapshot of its own state after it.
    until("a correct snapshot is written", async || log.records("snapshots").len() > 1).await?;
    let written = decode_snapshot(&log.records("snapshots")[1]).expect("it is a snapshot");
    verify_that!(written.digest(), eq(shared.version.current().digest()))
}

#[tokio::test]
async fn gap_without_snapshot_not_ready_until_peer() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let old = bare_daemon(&log, "az1", Vec::new()).await;
    wait_offset(&old, 2).await;
    log.expire("tickets", 2);
    let isolated = bare_daemon(&log, "az1", Vec::new()).await;
    let shared = &isolated.shared;
    until("the gap is detected", async || shared.metrics.counted("ticket_gap") > 0).await?;
    verify_that!(ask(&Caller::default(), isolated.addresses.caller).await, eq(2011))?;
    let seeded = bare_daemon(&log, "az1", vec![old.addresses.peer]).await;
    wait_offset(&seeded, 2).await;
    let digest = old.shared.version.current().digest();
    verify_that!(seeded.shared.version.current().digest(), eq(digest))
}

#[tokio::test]
async fn newcomer_log_down_state_from_peer() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let nodes = start_nodes(&log, &["az1", "az1"]).await;
    log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    let seeds = vec![nodes[1].daemon().addresses.peer];
    let seeded = bare_daemon(&log, "az1", seeds).await;
    wait_offset(&seeded, 2).await;
    let caller = Caller::default();
    // It has no backend server, so the request fails only when one is selected.
    let refused = ask(&caller, seeded.addresses.caller).await;
    verify_that!(refused, not(any![eq(2011), eq(2017)]))?;
    let isolated = bare_daemon(&log, "az1", Vec::new()).await;
    verify_that!(ask(&caller, isolated.addresses.caller).await, eq(2011))
}

#[tokio::test]
async fn dissemination_readers_to_whole_zone() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let nodes = start_nodes(&log, &["az1"; 8]).await;
    let readers = |nodes: &[CutNode]| {
        nodes.iter().filter(|node| node.daemon().shared.sync.tree().is_reader()).count()
    };
    let whole = |node: &CutNode| node.daemon().shared.sync.tree().len() == nodes.len();
    until("the trees are complete", async || nodes.iter().all(whole)).await?;
    verify_that!(readers(&nodes), eq(3))?;
    // The readers lose the log one after another, and every daemon still gets each ticket.
    let mut cut: Vec<&CutNode> = Vec::new();
    for (number, rate) in [(3, 3.0), (4, 4.0), (5, 5.0), (6, 6.0)] {
        log.append("tickets", rate_ticket(number, rate).to_string().as_bytes());
        for node in &nodes {
            timeout(WAIT_MAX, wait_offset(node.daemon(), number)).await?;
        }
        let next = nodes.iter().find(|node| {
            let is_cut = cut.iter().any(|cut| std::ptr::eq(*cut, *node));
            node.daemon().shared.sync.tree().is_reader() && !is_cut
        });
        if let Some(next) = next {
            next.log.set_partitioned(true);
            cut.push(next);
        }
    }
    verify_that!(cut.len(), eq(3))?;
    let counted = |name| nodes.iter().map(move |node| node.daemon().shared.metrics.counted(name));
    verify_that!(counted("ticket_batch_pushed").sum::<u64>(), gt(0))?;
    verify_that!(counted("state_digest_differs").sum::<u64>(), eq(0))?;
    let digests: Vec<_> =
        nodes.iter().map(|node| node.daemon().shared.version.current().digest()).collect();
    verify_that!(digests, each(eq(&digests[0])))
}

#[tokio::test]
async fn dissemination_reader_dead_and_push_lost() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let nodes = start_nodes(&log, &["az1"; 6]).await;
    let count = nodes.len();
    let whole = |node: &CutNode| node.daemon().shared.sync.tree().len() == count;
    until("the trees are complete", async || nodes.iter().all(whole)).await?;
    // Peers no longer reach one reader and one other daemon, so pushes to the other are lost and
    // its parent may be the unreachable reader; both still pull from peers themselves.
    let readers = |node: &&CutNode| node.daemon().shared.sync.tree().is_reader();
    let reader = nodes.iter().find(readers).expect("a zone has readers");
    let other = nodes.iter().find(|node| !readers(node)).expect("a zone has others");
    reader.peer.set_partitioned(true);
    reader.log.set_partitioned(true);
    other.peer.set_partitioned(true);
    log.append("tickets", rate_ticket(3, 3.0).to_string().as_bytes());
    for node in &nodes {
        timeout(WAIT_MAX, wait_offset(node.daemon(), 3)).await?;
    }
    Ok(())
}

#[tokio::test]
async fn dissemination_links_gone_silent() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let nodes = start_nodes(&log, &["az1", "az2"]).await;
    nodes[0].log.set_partitioned(true);
    log.append("tickets", rate_ticket(3, 3.0).to_string().as_bytes());
    timeout(WAIT_MAX, wait_offset(nodes[0].daemon(), 3)).await?;
    // Open connections go silent without a reset, as when a switch loses its connection table.
    nodes[1].peer.stall_open_connections();
    log.append("tickets", rate_ticket(4, 4.0).to_string().as_bytes());
    timeout(WAIT_MAX, wait_offset(nodes[0].daemon(), 4)).await?;
    Ok(())
}

#[tokio::test]
async fn withdrawn_key_kept_alive_connection() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let nodes = start_nodes(&log, &["az1", "az2"]).await;
    let caller = Caller::default();
    verify_that!(ask(&caller, nodes[0].caller()).await, eq(1000))?;
    let digest = lentilway::version::digest::Sha256Digest::of(b"key-nord");
    let keys = json!([{ "digest": digest, "withdrawn": true }]);
    let state = json!({ "keys": keys, "rate": 1e6, "burst": 1e6 });
    let object = json!({ "kind": "organisation", "name": "nord", "state": state });
    let withdrawal = ticket(3, &[object]).to_string();
    let receipt = submit_ticket(&nodes[1].daemon().shared, withdrawal.as_bytes()).await;
    verify_that!(receipt, ok(anything()))?;
    until("the key is refused", async || ask(&caller, nodes[0].caller()).await == 2003).await?;
    // It stays refused through an outage, and an old ticket does not restore it.
    let old = basic_tickets()[0].to_string();
    log.append("tickets", old.as_bytes());
    wait_offset(nodes[0].daemon(), 4).await;
    log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    verify_that!(ask(&caller, nodes[0].caller()).await, eq(2003))
}

/// Which connections are cut, and the expected freshness of the first daemon of two in `zones`.
struct CutRow {
    condition: &'static str,
    zones: [&'static str; 2],
    log_down: bool,
    own_log_cut: bool,
    peers_cut: bool,
    freshness: StateFreshness,
    code: u16,
}

fn cut_rows() -> [CutRow; 5] {
    let row = |condition, log_down, own_log_cut, peers_cut, freshness, code| CutRow {
        condition,
        zones: ["az1", "az2"],
        log_down,
        own_log_cut,
        peers_cut,
        freshness,
        code,
    };
    let (confirmed, log_down) = (StateFreshness::Confirmed, StateFreshness::LogDown);
    let cut_off = StateFreshness::CutOff;
    let one_zone = CutRow {
        zones: ["az1", "az1"],
        ..row("the log is down for one zone of two daemons", true, false, false, log_down, 1000)
    };
    [
        row("only the peers are cut", false, false, true, confirmed, 1000),
        row("only its own link to the log is cut", false, true, false, confirmed, 1000),
        row("the log is down for all", true, false, false, log_down, 1000),
        row("it is cut from the log and from its peers", false, true, true, cut_off, 2017),
        one_zone,
    ]
}

async fn check_row(row: CutRow) -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let nodes = start_nodes(&log, &row.zones).await;
    let caller = Caller::default();
    verify_that!(ask(&caller, nodes[0].caller()).await, eq(1000))?;
    log.set_faults(LogFaults { down: row.log_down, ..LogFaults::default() });
    nodes[0].log.set_partitioned(row.own_log_cut);
    nodes.iter().for_each(|node| node.peer.set_partitioned(row.peers_cut));
    let clock = &nodes[0].daemon().shared.clock;
    let cut_at = clock.now();
    until("the contact is old", async || clock.now().since(cut_at) > CONTACT_AGE_MAX).await?;
    until(row.condition, async || nodes[0].freshness() == row.freshness).await?;
    let code = ask(&caller, nodes[0].caller()).await;
    verify_that!(code, eq(row.code)).with_failure_message(|| row.condition.into())?;
    log.set_faults(LogFaults::default());
    nodes[0].log.set_partitioned(false);
    nodes.iter().for_each(|node| node.peer.set_partitioned(false));
    until("the state is confirmed", async || nodes[0].freshness() == StateFreshness::Confirmed)
        .await?;
    verify_that!(ask(&caller, nodes[0].caller()).await, eq(1000))
}

#[tokio::test]
async fn cut_daemon_each_row() -> googletest::Result<()> {
    join_all(cut_rows().into_iter().map(check_row)).await.into_iter().collect()
}

#[tokio::test]
async fn cut_zone_log_down_refused() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let nodes = start_nodes(&log, &["az1", "az2", "az3"]).await;
    until("each zone answers", async || {
        nodes[0].daemon().shared.sync.contacts.evidence(2).zones_answering == 2
    })
    .await?;
    log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    until("no daemon reaches the log", async || nodes[0].freshness() == StateFreshness::LogDown)
        .await?;
    // The others cannot rule out that the third zone reached the log and a newer configuration.
    nodes[2].peer.set_partitioned(true);
    until("the zone is lost", async || nodes[0].freshness() == StateFreshness::CutOff).await?;
    verify_that!(ask(&Caller::default(), nodes[0].caller()).await, eq(2017))?;
    nodes[2].peer.set_partitioned(false);
    until("the zone answers", async || nodes[0].freshness() == StateFreshness::LogDown).await?;
    verify_that!(ask(&Caller::default(), nodes[0].caller()).await, eq(1000))
}

/// A log whose reads lag behind what it has answered before, while it is told to.
struct LaggingLog {
    client: HttpLog,
    is_behind: Arc<AtomicBool>,
}

#[async_trait]
impl PlatformLog for LaggingLog {
    async fn append(&self, stream: &StreamName, body: Bytes) -> Result<u64, LogError> {
        self.client.append(stream, body).await
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let mut page = self.client.read(stream, from, limit, wait).await?;
        if self.is_behind.load(Ordering::SeqCst) {
            page = LogPage { records: Vec::new(), tail: from.saturating_sub(1) };
        }
        Ok(page)
    }
}

/// A read that ended before what was known already was taken as proof that the state is up to date.
#[tokio::test]
async fn tail_behind_no_contact() -> googletest::Result<()> {
    let log = start_log(&basic_tickets()).await;
    let is_behind = Arc::new(AtomicBool::new(false));
    let lagging = LaggingLog { client: HttpLog::new(&log.url()), is_behind: is_behind.clone() };
    let config = DaemonConfig::loopback(&log.url(), "az1");
    let daemon = Daemon::start_with_log(config, Arc::new(lagging)).await;
    let daemon = daemon.expect("the daemon starts");
    wait_offset(&daemon, 2).await;
    let contacts = &daemon.shared.sync.contacts;
    until("the log was reached", async || contacts.contact_age().is_some()).await?;
    is_behind.store(true, Ordering::SeqCst);
    let behind = || daemon.shared.metrics.counted("ticket_tail_behind") > 0;
    until("a read was behind", async || behind()).await?;
    let age = contacts.contact_age();
    sleep(LAG_SPAN).await;
    verify_that!(contacts.contact_age() >= age.map(|age| age + LAG_SPAN), eq(true))?;
    is_behind.store(false, Ordering::SeqCst);
    until("the log was reached again", async || contacts.contact_age() < Some(LAG_SPAN)).await
}
