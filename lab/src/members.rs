//! The membership part of a daemon alone: gossip and probes on real UDP sockets.

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

/// The default shared secret of nodes.
pub const NODE_SECRET: &str = "member-node-secret-of-32-bytes!!";

/// The port of synthetic members; each has its own loopback address.
const SYNTHETIC_PORT: u16 = 17402;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSetup {
    /// The availability zone.
    pub zone: String,
    /// The service.
    pub service: String,
    /// The listen address; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The address that other nodes use, if it differs.
    pub advertise: Option<SocketAddr>,
    /// The accepted secrets; the first one signs.
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

/// The membership part of a daemon; on drop it stops at once, like a killed process.
pub struct MemberNode {
    /// Its member table and gossip.
    pub gossip: Arc<MemberGossip>,
    /// Its metrics.
    pub metrics: MetricRegistry,
    /// Counts of sent and received datagrams and bytes.
    pub traffic: Arc<Mutex<ProberTraffic>>,
    /// The transport with its secrets.
    pub transport: PeerTransport,
    /// The address of its socket.
    pub socket: SocketAddr,
    syncs: mpsc::Receiver<SocketAddr>,
    task: JoinHandle<()>,
}

impl MemberNode {
    /// Starts a node with an empty member table.
    ///
    /// # Errors
    /// An I/O error if the socket cannot be opened or the secrets are invalid.
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

    /// Starts a node for each setup and enters each into the tables of the others.
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

    /// The id of this instance.
    pub fn instance(&self) -> InstanceId {
        self.gossip.own().instance
    }

    /// Waits for the next peer whose table was found to differ from this one's.
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

    /// Waits until its table has this liveness for `instance`.
    pub async fn wait_liveness(&self, instance: InstanceId, liveness: MemberLiveness) {
        self.wait(|table| table.liveness(instance) == Some(liveness)).await;
    }

    /// Exchanges differing entries with `other`, as two daemons do over their control link.
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

/// Enters every node into the table of every other.
pub fn introduce(nodes: &[MemberNode]) {
    let entries: Vec<MemberEntry> = nodes.iter().map(|node| node.gossip.own()).collect();
    for node in nodes {
        entries.iter().for_each(|entry| {
            node.gossip.merge(entry);
        });
    }
}

/// An entry of a synthetic member, to fill tables to a given size.
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

/// Returns a task that answers pings for a synthetic member and ignores all other datagrams.
///
/// # Errors
/// An I/O error if the socket cannot be opened.
pub async fn answer_probes(
    entry: MemberEntry,
) -> std::io::Result<impl Future<Output = ()> + Send + 'static> {
    let socket = UdpSocket::bind(entry.instance.address).await?;
    let codec = DatagramCodec::new(&[SecretText::new(NODE_SECRET)]);
    Ok(async move {
        let mut buffer = [0; 2048];
        for sequence in 1.. {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
            let Ok(ping) = codec.decode(&buffer[..length]) else { continue };
            let DatagramKind::Ping(number) = ping.kind else { continue };
            let target = DatagramTarget { address: ping.from.address, boot: Some(ping.from.boot) };
            let kind = DatagramKind::Ack(number);
            let (from, digest) = (entry.instance, ping.digest);
            let entries = Vec::new();
            let answer = MemberDatagram { target, from, sequence, kind, digest, entries };
            // The prober handles a lost answer.
            let _ = socket.send_to(&codec.encode(&answer), ping.from.address).await;
        }
    })
}

/// Polls `check` until it returns true; returns false after `limit`.
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
