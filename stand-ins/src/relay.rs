//! A TCP and UDP relay that simulates network partitions between processes.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

const BIND_RETRIES_MAX: usize = 16;
const DATAGRAM_BYTES_MAX: usize = 2048;

/// A running relay; TCP and UDP share one port number. While it is partitioned, it closes all
/// connections, including new ones, and drops datagrams.
#[derive(Debug)]
pub struct PartitionRelay {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    partitioned: watch::Sender<bool>,
    stalled: watch::Sender<()>,
    blocked_senders: Arc<Mutex<HashSet<SocketAddr>>>,
    _tasks: JoinSet<()>,
}

impl PartitionRelay {
    /// Starts a relay to `target`; without one, nothing is forwarded until it is set.
    ///
    /// # Errors
    /// The I/O error if no port can be bound.
    pub async fn start(target: Option<SocketAddr>) -> std::io::Result<Self> {
        let (listener, socket) = bind_sockets().await?;
        let address = listener.local_addr()?;
        let target = watch::Sender::new(target);
        let partitioned = watch::Sender::new(false);
        let stalled = watch::Sender::new(());
        let mut tasks = JoinSet::new();
        let (partition, stall) = (partitioned.subscribe(), stalled.subscribe());
        tasks.spawn(accept_connections(listener, target.subscribe(), partition, stall));
        let blocked_senders = Arc::new(Mutex::new(HashSet::new()));
        let datagrams = relay_datagrams(
            socket,
            target.subscribe(),
            partitioned.subscribe(),
            blocked_senders.clone(),
        );
        tasks.spawn(datagrams);
        Ok(PartitionRelay { address, target, partitioned, stalled, blocked_senders, _tasks: tasks })
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections and of datagrams.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Permanently stops forwarding on every open connection without closing it; new ones work.
    pub fn stall_open_connections(&self) {
        self.stalled.send_replace(());
    }

    /// Starts or ends the partition.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.send_replace(partitioned);
    }

    /// Drops the datagrams of `sender`.
    pub fn block_sender(&self, sender: SocketAddr) {
        self.blocked_senders.lock().expect("no holder panics").insert(sender);
    }

    /// Stops dropping the datagrams of blocked senders.
    pub fn unblock_senders(&self) {
        self.blocked_senders.lock().expect("no holder panics").clear();
    }
}

async fn bind_sockets() -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut retries = 0;
    loop {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if retries == BIND_RETRIES_MAX => return Err(error),
            Err(_) => retries += 1,
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    partitioned: watch::Receiver<bool>,
    stalled: watch::Receiver<()>,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let address = *target.borrow();
        let is_partitioned = *partitioned.borrow();
        if let Some(address) = address.filter(|_| !is_partitioned) {
            connections.spawn(relay(stream, address, partitioned.clone(), stalled.clone()));
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn relay(
    mut inbound: TcpStream,
    target: SocketAddr,
    mut partitioned: watch::Receiver<bool>,
    mut stalled: watch::Receiver<()>,
) {
    stalled.mark_unchanged();
    let Ok(mut outbound) = TcpStream::connect(target).await else { return };
    // An error is harmless: small messages then wait for acknowledgements.
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    tokio::select! {
        _ = copy_bidirectional(&mut inbound, &mut outbound) => return,
        _ = partitioned.wait_for(|is_partitioned| *is_partitioned) => return,
        _ = stalled.changed() => {}
    }
    // Both connections stay open until a partition, but no more data is forwarded.
    let _ = partitioned.wait_for(|is_partitioned| *is_partitioned).await;
}

/// Uses one socket per sender, so that answers can be returned to it.
async fn relay_datagrams(
    socket: UdpSocket,
    target: watch::Receiver<Option<SocketAddr>>,
    partitioned: watch::Receiver<bool>,
    blocked_senders: Arc<Mutex<HashSet<SocketAddr>>>,
) {
    let socket = Arc::new(socket);
    let mut senders: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut answers = JoinSet::new();
    let mut buffer = [0; DATAGRAM_BYTES_MAX];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(target) = *target.borrow() else { continue };
        let is_blocked = blocked_senders.lock().expect("no holder panics").contains(&source);
        if is_blocked || *partitioned.borrow() {
            continue;
        }
        let sender = match senders.entry(source) {
            Entry::Occupied(occupied) => occupied.into_mut(),
            Entry::Vacant(vacant) => {
                let Ok(sender) = UdpSocket::bind(("127.0.0.1", 0)).await else { continue };
                let sender = vacant.insert(Arc::new(sender));
                answers.spawn(relay_answers(
                    sender.clone(),
                    socket.clone(),
                    source,
                    partitioned.clone(),
                ));
                sender
            }
        };
        // A datagram that cannot be sent is lost, which UDP allows.
        let _ = sender.send_to(&buffer[..length], target).await;
    }
}

async fn relay_answers(
    from: Arc<UdpSocket>,
    to: Arc<UdpSocket>,
    source: SocketAddr,
    partitioned: watch::Receiver<bool>,
) {
    let mut buffer = [0; DATAGRAM_BYTES_MAX];
    loop {
        let Ok((length, _)) = from.recv_from(&mut buffer).await else { continue };
        if !*partitioned.borrow() {
            let _ = to.send_to(&buffer[..length], source).await;
        }
    }
}
