//! Members without the rest of a daemon: gossip and probes on real UDP sockets.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lentilway::clock::MilliClock;
use lentilway::config::SecretText;
use lentilway::connection::peer_transport::PeerTransport;
use lentilway::process::members::datagram::{
    DatagramCodec, DatagramKind, DatagramTarget, MemberDatagram,
};
use lentilway::process::members::prober::MemberProber;
use lentilway::process::members::socket::ProberTraffic;
use lentilway::process::members::{
    InstanceId, MemberEntry, MemberGossip, MemberLiveness, MemberTable,
};
use lentilway::process::metrics::MetricRegistry;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::fleet::ANY_PORT;

/// The secret that nodes share unless another is given.
pub const NODE_SECRET: &str = "member-node-secret-of-32-bytes!!";

/// The port of members that do not exist; their addresses are spread over the loopback network.
const SYNTHETIC_PORT: u16 = 17402;

/// How a node is started.
#[derive(Clone, Debug)]
pub struct NodeSetup {
    /// The availability zone.
    pub zone: String,
    /// The service.
    pub service: String,
    /// Where it listens; a port of 0 asks for a free one.
    pub listen: SocketAddr,
    /// Where others reach it, if that differs.
    pub advertise: Option<SocketAddr>,
    /// The secrets, the first signs.
    pub secrets: Vec<SecretText>,
}

impl NodeSetup {
    /// A node of `service` in `zone`.
    pub fn new(service: &str, zone: &str) -> Self {
        NodeSetup {
            zone: zone.into(),
            service: service.into(),
            listen: ANY_PORT,
            advertise: None,
            secrets: vec![SecretText::new(NODE_SECRET)],
        }
    }
}

/// The members part of a daemon; it ends at once when dropped, as a killed process would.
pub struct MemberNode {
    /// What it says and passes on.
    pub gossip: Arc<MemberGossip>,
    /// What it counted.
    pub metrics: MetricRegistry,
    /// What it sent and received.
    pub traffic: Arc<Mutex<ProberTraffic>>,
    /// The signing secrets.
    pub transport: PeerTransport,
    /// Where its socket is.
    pub socket: SocketAddr,
    syncs: mpsc::Receiver<SocketAddr>,
    task: JoinHandle<()>,
}

impl MemberNode {
    /// Starts a node that knows nobody.
    ///
    /// # Errors
    /// The system's reason if the socket cannot be opened.
    pub async fn start(setup: NodeSetup) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(setup.listen).await?;
        let listen = socket.local_addr()?;
        let address = setup.advertise.unwrap_or(listen);
        let instance = InstanceId { address, boot: rand::rng().random() };
        let transport = PeerTransport::new(&setup.secrets).map_err(std::io::Error::other)?;
        let clock = MilliClock::monotonic();
        let table = Arc::new(MemberTable::default());
        let zone: Arc<str> = setup.zone.as_str().into();
        let gossip = Arc::new(MemberGossip::new(table, clock.clone(), instance, zone));
        gossip.set_service(Some(setup.service.as_str().into()));
        let metrics = MetricRegistry::default();
        let (sync, syncs) = mpsc::channel(4);
        let events = metrics.events();
        let prober =
            MemberProber::new(gossip.clone(), socket, transport.clone(), clock, events, sync);
        let traffic = prober.traffic();
        let task = tokio::spawn(prober.run());
        Ok(MemberNode { gossip, metrics, traffic, transport, socket: listen, syncs, task })
    }

    /// Starts a node for each setup and introduces them to each other.
    ///
    /// # Errors
    /// As [`MemberNode::start`].
    pub async fn start_all(setups: Vec<NodeSetup>) -> std::io::Result<Vec<Self>> {
        let mut nodes = Vec::new();
        for setup in setups {
            nodes.push(MemberNode::start(setup).await?);
        }
        introduce(&nodes);
        Ok(nodes)
    }

    /// Its own run.
    pub fn instance(&self) -> InstanceId {
        self.gossip.own().instance
    }

    /// The daemon whose table differs from this one's, once that was noticed.
    pub async fn differing(&mut self) -> Option<SocketAddr> {
        self.syncs.recv().await
    }

    /// Waits until its table satisfies `holds`.
    pub async fn wait(&self, holds: impl Fn(&MemberTable) -> bool) {
        let table = self.gossip.table();
        let mut changes = table.subscribe();
        while !holds(table) {
            // The table keeps the sender, so the wait cannot fail.
            let _ = changes.changed().await;
        }
    }

    /// Waits until it thinks so of `instance`.
    pub async fn wait_liveness(&self, instance: InstanceId, liveness: MemberLiveness) {
        self.wait(|table| table.liveness(instance) == Some(liveness)).await;
    }

    /// Compares its table with that of `other`, as two daemons do over their control link.
    pub fn sync(&self, other: &MemberNode) {
        let (mine, theirs) = (self.gossip.table(), other.gossip.table());
        self.gossip.merge_many(theirs.differing(&mine.digests()));
        other.gossip.merge_many(mine.differing(&theirs.digests()));
    }
}

impl Drop for MemberNode {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Puts every node into the table of every other.
pub fn introduce(nodes: &[MemberNode]) {
    let entries: Vec<MemberEntry> = nodes.iter().map(|node| node.gossip.own()).collect();
    for node in nodes {
        entries.iter().for_each(|entry| {
            node.gossip.merge(entry);
        });
    }
}

/// An entry of a member that does not exist, for tables of a given size.
pub fn synthetic_entry(index: usize, zones: usize, services: usize) -> MemberEntry {
    let [_, high, middle, low] = (index as u32).to_be_bytes();
    let address = SocketAddr::from(([127, 1 + high, middle, low], SYNTHETIC_PORT));
    MemberEntry {
        incarnation: 1_800_000_000_000 + index as u64,
        liveness: MemberLiveness::Alive,
        instance: InstanceId {
            address,
            boot: 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(index as u64),
        },
        service: Some(format!("service-{}", index % services).into()),
        availability_zone: format!("zone-{}", index % zones).into(),
    }
}

/// The task that answers probes in the name of a member that does not exist, and nothing else.
///
/// # Errors
/// The system's reason if its socket cannot be opened.
pub async fn answer_probes(
    entry: MemberEntry,
) -> std::io::Result<impl Future<Output = ()> + Send + 'static> {
    let socket = UdpSocket::bind(entry.instance.address).await?;
    let codec = DatagramCodec::new(&[SecretText::new(NODE_SECRET)]);
    Ok(async move {
        let mut buffer = [0; 2048];
        for sequence in 1.. {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
            let Ok(asked) = codec.decode(&buffer[..length]) else { continue };
            let DatagramKind::Ping(number) = asked.kind else { continue };
            let target =
                DatagramTarget { address: asked.from.address, boot: Some(asked.from.boot) };
            let kind = DatagramKind::Ack(number);
            let (from, digest) = (entry.instance, asked.digest);
            let entries = Vec::new();
            let answer = MemberDatagram { target, from, sequence, kind, digest, entries };
            // A lost answer is noticed by the prober.
            let _ = socket.send_to(&codec.encode(&answer), asked.from.address).await;
        }
    })
}

/// Repeats `check` until it holds; gives up after `limit`.
pub async fn eventually(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let deadline = tokio::time::Instant::now() + limit;
    while !check() {
        if tokio::time::Instant::now() > deadline {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    true
}
