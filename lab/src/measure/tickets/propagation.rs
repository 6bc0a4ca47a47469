//! Time until a ticket is applied on every daemon of a fleet.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lentilway::config::DaemonConfig;
use lentilway::process::daemon::Daemon;
use lentilway::process::submission::submit_ticket;
use lentilway::version::digest::Sha256Digest;
use lentilway_stand_ins::backend::{BackendBehaviour, BackendServer};
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use lentilway_stand_ins::log::LogServer;
use lentilway_stand_ins::relay::PartitionRelay;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::process_usage::{cpu_time, open_files, resident_bytes};
use super::state_cost::organisation_of;
use crate::fleet::{
    ANY_PORT, Fleet, FleetError, NodePlan, organisation, read_route, ticket, wait_members,
    wait_offset,
};

const ORGANISATIONS: usize = 100;
const STEADY_TICKETS: u64 = 8;
const STEADY_RATE: f64 = 0.3;
const BURST: u64 = 200;
const IDLE_TIME: Duration = Duration::from_secs(10);
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const KEY: &str = "measured-key";
const TIMED_OUT: Duration = Duration::from_secs(999);

pub(super) async fn print_tables(seed: u64) {
    println!(
        "in force: {STEADY_TICKETS} tickets at {STEADY_RATE}/s, then {BURST} at once, seed {seed}"
    );
    println!(
        "| daemons | zones | steady p50, ms | steady max, ms | burst max, ms | by push | by pull | \
         idle CPU a daemon, % of a core | memory a node, KiB | open files | withdrawn key, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for (daemons, zones) in [(10, 1), (40, 1), (40, 4), (120, 1), (120, 4)] {
        if let Err(error) = print_fleet_row(daemons, zones, seed).await {
            println!("| {daemons} | {zones} | failed: {error} |");
        }
    }
    println!();
    println!("readers cut from the log, one zone of 12 daemons, seed {seed}");
    println!("| readers cut | dead to peers as well | in force on all, the cut ones too, ms |");
    println!("|---|---|---|");
    for (cut, cut_peers) in [(0, false), (1, false), (2, false), (3, false), (1, true), (3, true)] {
        println!("| {cut} | {cut_peers} | {} |", cut_readers(cut, cut_peers).await.as_millis());
    }
}

async fn print_fleet_row(daemons: usize, zones: usize, seed: u64) -> Result<(), FleetError> {
    let resident_before = resident_bytes();
    let plan = |index: usize| {
        let service = if index == 0 { "stock" } else { "other" };
        NodePlan::new(service, &format!("az{}", index % zones), BackendBehaviour::default())
    };
    let plans: Vec<NodePlan> = (0..daemons).map(plan).collect();
    let mut tickets: Vec<_> = (0..ORGANISATIONS)
        .map(|index| ticket(index as u64 + 1, &[organisation_of(index, 100.0)]))
        .collect();
    let measured = [organisation("measured", KEY, 1e6, 1e6), read_route("r", "/r", "stock")];
    tickets.push(ticket(ORGANISATIONS as u64 + 1, &measured));
    let mut fleet = FleetRun {
        fleet: Fleet::start(&tickets, &plans, |_| {}).await?,
        number: ORGANISATIONS as u64 + 1,
        random: StdRng::seed_from_u64(seed),
    };
    let idle = fleet.idle_cpu().await;
    let (before_push, before_pull) = fleet.batches();
    let mut steady = fleet.steady().await;
    let burst = fleet.burst().await;
    let (push, pull) = fleet.batches();
    let files = open_files();
    let memory = resident_bytes().saturating_sub(resident_before) / daemons as u64 / 1024;
    let withdrawn = fleet.withdraw().await;
    steady.sort();
    println!(
        "| {daemons} | {zones} | {} | {} | {} | {} | {} | {idle:.2} | {memory} | {files} | {} |",
        steady[steady.len() / 2].as_millis(),
        steady.last().unwrap_or(&TIMED_OUT).as_millis(),
        burst.as_millis(),
        push - before_push,
        pull - before_pull,
        withdrawn.as_millis()
    );
    fleet.fleet.stop().await;
    Ok(())
}

struct FleetRun {
    fleet: Fleet,
    number: u64,
    random: StdRng,
}

impl FleetRun {
    /// Appends tickets and returns each daemon's time until all of them are applied.
    async fn append(&mut self, count: u64) -> Vec<Duration> {
        let started = Instant::now();
        let mut last = 0;
        for _ in 0..count {
            self.number += 1;
            let index = self.random.random_range(0..ORGANISATIONS);
            let ticket = ticket(self.number, &[organisation_of(index, self.number as f64)]);
            last = self.fleet.log.append("tickets", ticket.to_string().as_bytes());
        }
        let daemons = self.fleet.nodes.iter().map(|node| &node.daemon);
        apply_times(daemons, last + 1, started).await
    }

    async fn steady(&mut self) -> Vec<Duration> {
        let mut times = Vec::new();
        for _ in 0..STEADY_TICKETS {
            let gap = -(1.0 - self.random.random::<f64>()).ln() / STEADY_RATE;
            sleep(Duration::from_secs_f64(gap)).await;
            times.extend(self.append(1).await);
        }
        times
    }

    async fn burst(&mut self) -> Duration {
        self.append(BURST).await.into_iter().max().unwrap_or(TIMED_OUT)
    }

    /// CPU time of a daemon and its stand-in while nothing changes, in percent of a core.
    async fn idle_cpu(&self) -> f64 {
        let before = cpu_time();
        sleep(IDLE_TIME).await;
        let spent = cpu_time().saturating_sub(before).as_secs_f64();
        100.0 * spent / IDLE_TIME.as_secs_f64() / self.fleet.nodes.len() as f64
    }

    fn batches(&self) -> (u64, u64) {
        let counted = |name| {
            let metrics = self.fleet.nodes.iter().map(|node| &node.daemon.shared.metrics);
            metrics.map(|metrics| metrics.counted(name)).sum()
        };
        (counted("ticket_batch_pushed"), counted("ticket_batch_pulled"))
    }

    /// Time from the submission of a key withdrawal until the last daemon refuses the key on a
    /// connection that was already open.
    async fn withdraw(&mut self) -> Duration {
        let callers = self.fleet.callers();
        let mut watchers = JoinSet::new();
        let caller = Caller::default();
        for address in callers {
            // The first request opens the connection.
            send_request(&caller, address).await;
            let caller = caller.clone();
            watchers.spawn(async move {
                while send_request(&caller, address).await != 2003 {
                    sleep(Duration::from_millis(5)).await;
                }
            });
        }
        self.number += 1;
        let keys = json!([{ "digest": Sha256Digest::of(KEY.as_bytes()), "withdrawn": true }]);
        let state = json!({ "keys": keys, "rate": 1e6, "burst": 1e6 });
        let object = json!({ "kind": "organisation", "name": "measured", "state": state });
        let text = ticket(self.number, &[object]).to_string();
        let shared = &self.fleet.nodes[self.fleet.nodes.len() - 1].daemon.shared;
        let started = Instant::now();
        let refusal = submit_ticket(shared, text.as_bytes()).await.err();
        let refused = timeout(WAIT_TIMEOUT, watchers.join_all()).await;
        if refusal.is_some() || refused.is_err() {
            return TIMED_OUT;
        }
        started.elapsed()
    }
}

async fn send_request(caller: &Caller, address: SocketAddr) -> u16 {
    let answer = caller.send(address, &CallerRequest::get("/r", KEY)).await;
    answer.map_or(0, |answer| answer.code)
}

async fn apply_times<'a>(
    daemons: impl Iterator<Item = &'a Daemon>,
    next_offset: u64,
    started: Instant,
) -> Vec<Duration> {
    let mut waits = JoinSet::new();
    for daemon in daemons {
        let mut offsets = daemon.shared.version.subscribe();
        waits.spawn(async move {
            let applied = offsets.wait_for(|offset| *offset >= next_offset);
            let applied = timeout(WAIT_TIMEOUT, applied).await.is_ok();
            if applied { started.elapsed() } else { TIMED_OUT }
        });
    }
    waits.join_all().await
}

struct RelayedNode {
    daemon: Daemon,
    _backend: BackendServer,
    log: PartitionRelay,
    peer: PartitionRelay,
}

async fn start_relayed_node(log: &LogServer) -> std::io::Result<RelayedNode> {
    let log = PartitionRelay::start(Some(log.address())).await?;
    let peer = PartitionRelay::start(None).await?;
    let mut config = DaemonConfig::loopback(&format!("http://{}", log.address()), "az1");
    config.peer_advertise = Some(peer.address());
    let daemon = Daemon::start(config).await.map_err(std::io::Error::other)?;
    peer.set_target(daemon.addresses.peer);
    let slot = daemon.addresses.slot;
    let behaviour = BackendBehaviour::default();
    let backend = BackendServer::start(ANY_PORT, "stock", slot, behaviour).await?;
    Ok(RelayedNode { daemon, _backend: backend, log, peer })
}

/// Cuts `count` readers off, appends a ticket and returns the time until all daemons have it.
/// `cut_peers` cuts them off from their peers as well.
async fn cut_readers(count: usize, cut_peers: bool) -> Duration {
    const DAEMONS: usize = 12;
    let Ok(log) = LogServer::start(ANY_PORT, None).await else { return TIMED_OUT };
    log.append("tickets", ticket(1, &[organisation_of(0, 1.0)]).to_string().as_bytes());
    let mut nodes = Vec::new();
    for _ in 0..DAEMONS {
        let Ok(node) = start_relayed_node(&log).await else { return TIMED_OUT };
        nodes.push(node);
    }
    for node in &nodes {
        wait_offset(&node.daemon, 1).await;
        wait_members(&node.daemon, DAEMONS).await;
        while node.daemon.shared.sync.tree().len() < DAEMONS {
            sleep(Duration::from_millis(20)).await;
        }
    }
    // The links for the regular pulls are open after this time.
    sleep(Duration::from_secs(3)).await;
    let readers = nodes.iter().filter(|node| node.daemon.shared.sync.tree().is_reader());
    for reader in readers.take(count) {
        reader.log.set_partitioned(true);
        reader.peer.set_partitioned(cut_peers);
    }
    let started = Instant::now();
    log.append("tickets", ticket(2, &[organisation_of(0, 2.0)]).to_string().as_bytes());
    let daemons = nodes.iter().map(|node| &node.daemon);
    let times = apply_times(daemons, 2, started).await;
    times.into_iter().max().unwrap_or(TIMED_OUT)
}
