//! Membership: bytes, CPU and memory by the number of members; times to detect a failure and to
//! leave.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use lentilway::config::SecretText;
use lentilway::connection::peer_transport::{PeerStream, PeerTransport};
use lentilway::process::members::socket::ProberTraffic;
use lentilway::process::members::{MemberEntry, MemberLiveness, MemberTable};
use lentilway_stand_ins::backend::BackendBehaviour;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::fleet::{Fleet, NodePlan};
use crate::members::{
    MemberNode, NODE_SECRET, NodeSetup, answer_probes, introduce, synthetic_entry,
};

const TARGET_DAEMONS: usize = 13_000;
const TARGET_ZONES: usize = 19;
const TARGET_SERVICES: usize = 340;
const STEADY_TIME: Duration = Duration::from_secs(10);
const DETECTIONS: usize = 5;
const HANDSHAKES: u32 = 200;

/// Runs the measurement and prints its tables.
pub async fn run(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    handshake_cost().await;
    table_costs(&mut random);
    steady_state_costs().await;
    propagation_times().await;
    detection_times().await;
    leave_times().await;
}

/// Measures the member table alone, filled with synthetic members.
fn table_costs(random: &mut StdRng) {
    println!("table of synthetic members, {TARGET_ZONES} zones, {TARGET_SERVICES} services");
    println!("members  kB_resident  merge_us  lookup_ns  digest_ns  compare_us  compare_B");
    for count in [100, 1_000, TARGET_DAEMONS] {
        let mut entries: Vec<MemberEntry> =
            (0..count).map(|index| synthetic_entry(index, TARGET_ZONES, TARGET_SERVICES)).collect();
        entries.shuffle(random);
        // As many tables as contain [`TARGET_DAEMONS`] members in total.
        let copies = TARGET_DAEMONS / count;
        let before = resident_kilobytes();
        let tables: Vec<MemberTable> = (0..copies).map(|_| MemberTable::default()).collect();
        let merge = time_each(copies * count, |index| {
            tables[index / count].merge(entries[index % count].clone());
        });
        let resident = resident_kilobytes().saturating_sub(before) / copies as u64;
        let table = &tables[0];
        let lookup = time_each(100_000, |index| {
            std::hint::black_box(table.upstreams(services(index)));
        });
        let digest = time_each(100_000, |_| {
            std::hint::black_box(table.digest());
        });
        let mut digests = table.digests();
        digests[0] ^= 1;
        let compare = time_each(100, |_| {
            std::hint::black_box(table.differing(&digests));
        });
        let mut bytes = Vec::new();
        ciborium::into_writer(&table.differing(&digests), &mut bytes).expect("memory");
        println!(
            "{count:>7} {resident:>12} {:>9.2} {:>10.0} {:>10.0} {:>11.1} {:>10}",
            merge * 1e6,
            lookup * 1e9,
            digest * 1e9,
            compare * 1e6,
            bytes.len()
        );
    }
    println!();
}

fn services(index: usize) -> &'static str {
    ["service-0", "service-7", "service-99", "service-12"][index % 4]
}

fn time_each(count: usize, mut operation: impl FnMut(usize)) -> f64 {
    let started = Instant::now();
    (0..count).for_each(&mut operation);
    started.elapsed().as_secs_f64() / count as f64
}

/// Measures members on real sockets in their own zones; their tables also hold synthetic members of
/// other zones.
async fn steady_state_costs() {
    println!("steady state over {} s, real members on UDP sockets", STEADY_TIME.as_secs());
    println!("members  real  datagrams_s  out_B_s  in_B_s  cpu_percent  kB_resident_each");
    // Synthetic members answer probes but send none. The CPU time includes their answers.
    for (members, real) in [(100, 60), (1_000, 60), (TARGET_DAEMONS, 60)] {
        let synthetic =
            (0..members - real).map(|index| synthetic_entry(index, 17, TARGET_SERVICES));
        let synthetic: Vec<MemberEntry> = synthetic.collect();
        let mut answering = JoinSet::new();
        for entry in synthetic.clone() {
            let Ok(task) = answer_probes(entry).await else { return };
            answering.spawn(task);
        }
        let before = resident_kilobytes();
        let Ok(nodes) = start_nodes(real, 2).await else { return };
        for node in &nodes {
            synthetic.iter().for_each(|entry| {
                node.gossip.table().merge(entry.clone());
            });
        }
        let resident = resident_kilobytes().saturating_sub(before) / real as u64;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (traffic, cpu) = (sum_traffic(&nodes), cpu_seconds());
        tokio::time::sleep(STEADY_TIME).await;
        let (after, cpu) = (sum_traffic(&nodes), cpu_seconds() - cpu);
        let each = |after: u64, before: u64| {
            (after - before) as f64 / real as f64 / STEADY_TIME.as_secs_f64()
        };
        println!(
            "{members:>7} {real:>5} {:>12.1} {:>8.0} {:>7.0} {:>12.3} {:>17}",
            each(after.sent, traffic.sent),
            each(after.sent_bytes, traffic.sent_bytes),
            each(after.received_bytes, traffic.received_bytes),
            cpu / real as f64 / STEADY_TIME.as_secs_f64() * 100.0,
            resident
        );
        answering.shutdown().await;
    }
    println!();
}

async fn start_nodes(count: usize, zones: usize) -> std::io::Result<Vec<MemberNode>> {
    let mut nodes = Vec::new();
    for index in 0..count {
        let setup = NodeSetup::new("stock", &format!("real-{}", index % zones));
        nodes.push(MemberNode::start(setup).await?);
    }
    introduce(&nodes);
    Ok(nodes)
}

fn sum_traffic(nodes: &[MemberNode]) -> ProberTraffic {
    let mut sum = ProberTraffic::default();
    for node in nodes {
        let traffic = *node.traffic.lock().expect("lock not poisoned");
        sum.sent += traffic.sent;
        sum.sent_bytes += traffic.sent_bytes;
        sum.received += traffic.received;
        sum.received_bytes += traffic.received_bytes;
    }
    sum
}

/// Measures the time from the kill of a member until it is dead in the tables of all others.
async fn detection_times() {
    println!("time until a killed member is dead at all others, {DETECTIONS} times");
    println!("real  zones  first_ms  median_ms  slowest_ms  out_B_s_each_meanwhile");
    for (real, zones) in [(20, 2), (100, 2), (400, 2)] {
        let Ok(mut nodes) = start_nodes(real, zones).await else { return };
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut times = Vec::new();
        let before = sum_traffic(&nodes);
        let started = Instant::now();
        let mut first_times = Vec::new();
        for _ in 0..DETECTIONS {
            let killed_node = nodes.swap_remove(rand::rng().random_range(0..nodes.len()));
            let instance = killed_node.instance();
            let killed = Instant::now();
            drop(killed_node);
            let is_dead = |node: &MemberNode| {
                node.gossip.table().liveness(instance) == Some(MemberLiveness::Dead)
            };
            while !nodes.iter().any(is_dead) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            first_times.push(killed.elapsed());
            while !nodes.iter().all(is_dead) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            times.push(killed.elapsed());
        }
        let after = sum_traffic(&nodes);
        let seconds = started.elapsed().as_secs_f64();
        let rate =
            after.sent_bytes.saturating_sub(before.sent_bytes) as f64 / real as f64 / seconds;
        first_times.sort();
        times.sort();
        println!(
            "{real:>4} {zones:>6} {:>9} {:>10} {:>11} {rate:>23.0}",
            first_times[DETECTIONS / 2].as_millis(),
            times[DETECTIONS / 2].as_millis(),
            times[DETECTIONS - 1].as_millis()
        );
    }
    println!();
}

/// Measures the time from a leave until gossip alone has spread it to every other member.
async fn propagation_times() {
    println!("time until a leave is in the tables of all others, {DETECTIONS} times");
    println!("real  zones  median_ms  slowest_ms");
    for (real, zones) in [(20, 4), (100, 4), (400, 4), (800, 19)] {
        let Ok(nodes) = start_nodes(real, zones).await else { return };
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut times = Vec::new();
        for leaving in &nodes[..DETECTIONS] {
            let instance = leaving.instance();
            let started = Instant::now();
            leaving.gossip.leave();
            let has_left = |node: &MemberNode| {
                node.gossip.table().liveness(instance) == Some(MemberLiveness::Leaving)
            };
            while !nodes.iter().all(has_left) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            times.push(started.elapsed());
        }
        times.sort();
        println!(
            "{real:>4} {zones:>6} {:>10} {:>11}",
            times[DETECTIONS / 2].as_millis(),
            times[DETECTIONS - 1].as_millis()
        );
    }
    println!();
}

/// Measures the time from a leave until no daemon routes to the upstream, in fleets of complete
/// daemons.
async fn leave_times() {
    println!("time until no daemon routes to a leaving backend server");
    println!("daemons  told_ms  message_lost_ms  stop_ms");
    for count in [4, 12, 40] {
        let plans: Vec<NodePlan> = (0..count)
            .map(|index| {
                let zone = format!("az{}", index % 3);
                NodePlan::new("stock", &zone, BackendBehaviour::default())
            })
            .collect();
        let Ok(mut fleet) = Fleet::start(&[], &plans, |_| {}).await else { return };
        let mut left = count;
        let mut times = BTreeMap::new();
        for (index, notice) in ["told", "lost"].into_iter().enumerate() {
            let started = Instant::now();
            match notice {
                "told" => fleet.nodes[index].backend.leave().await,
                _ => fleet.nodes[index].backend.leave_without_notice(),
            }
            left -= 1;
            wait_upstreams(&fleet, left).await;
            times.insert(notice, started.elapsed().as_millis());
        }
        let node = fleet.nodes.pop().expect("the fleet has nodes");
        let started = Instant::now();
        let stop = tokio::spawn(node.daemon.stop());
        wait_upstreams(&fleet, left - 1).await;
        let stopped = started.elapsed().as_millis();
        // Only the time until no daemon routes to the upstream is measured.
        let _ = stop.await;
        println!("{count:>7} {:>8} {:>16} {stopped:>8}", times["told"], times["lost"]);
        fleet.stop().await;
    }
    println!();
}

async fn wait_upstreams(fleet: &Fleet, count: usize) {
    for node in &fleet.nodes {
        while node.daemon.shared.members.upstreams("stock").len() > count {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Measures the alternative to UDP probes: probing over control links needs a connection to each
/// probed member.
async fn handshake_cost() {
    println!("cost of one connection between daemons, {HANDSHAKES} times");
    println!("cpu_us_both_sides  kB_resident_both_sides");
    let secrets = [SecretText::new(NODE_SECRET)];
    let Ok(transport) = PeerTransport::new(&secrets) else { return };
    let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
    let Ok(address) = listener.local_addr() else { return };
    let server = transport.clone();
    let accepting = tokio::spawn(async move {
        let mut streams: Vec<Box<dyn PeerStream>> = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            if let Ok(stream) = server.accept(stream).await {
                streams.push(Box::new(stream));
            }
        }
    });
    let (resident, cpu) = (resident_kilobytes(), cpu_seconds());
    let mut streams = Vec::new();
    for _ in 0..HANDSHAKES {
        if let Ok(stream) = transport.connect(address).await {
            streams.push(stream);
        }
    }
    let cpu = (cpu_seconds() - cpu) / f64::from(HANDSHAKES);
    let resident = resident_kilobytes().saturating_sub(resident) / u64::from(HANDSHAKES);
    println!("{:>17.0} {resident:>23}", cpu * 1e6);
    accepting.abort();
}

fn resident_kilobytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// CPU time of this process so far; the kernel counts in ticks of 10 ms.
fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok());
    ticks.sum::<f64>() / 100.0
}
