//! A relay for TCP and UDP that can be cut, to part processes from each other.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

const PORT_TRIES: usize = 16;
const DATAGRAM_BYTES: usize = 2048;

/// A running relay; TCP and UDP share one port number. While it is cut, connections break, new
/// ones are refused and datagrams are lost.
#[derive(Debug)]
pub struct PartitionRelay {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    cut: watch::Sender<bool>,
    silenced: watch::Sender<()>,
    parted: Arc<Mutex<HashSet<SocketAddr>>>,
    _tasks: JoinSet<()>,
}

impl PartitionRelay {
    /// Starts a relay to `target`, which may be set later.
    ///
    /// # Errors
    /// The system's reason if no port can be opened.
    pub async fn start(target: Option<SocketAddr>) -> std::io::Result<Self> {
        let (listener, socket) = bind_both().await?;
        let address = listener.local_addr()?;
        let target = watch::Sender::new(target);
        let cut = watch::Sender::new(false);
        let silenced = watch::Sender::new(());
        let mut tasks = JoinSet::new();
        let (ends, silence) = (cut.subscribe(), silenced.subscribe());
        tasks.spawn(accept_connections(listener, target.subscribe(), ends, silence));
        let parted = Arc::new(Mutex::new(HashSet::new()));
        let datagrams =
            relay_datagrams(socket, target.subscribe(), cut.subscribe(), parted.clone());
        tasks.spawn(datagrams);
        Ok(PartitionRelay { address, target, cut, silenced, parted, _tasks: tasks })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where new connections lead.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Silences every open connection for good without closing it; new ones work.
    pub fn stall_open_connections(&self) {
        self.silenced.send_replace(());
    }

    /// Cuts the relay, or heals it.
    pub fn set_partitioned(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// Loses the datagrams of one sender.
    pub fn block_sender(&self, sender: SocketAddr) {
        self.parted.lock().expect("no holder panics").insert(sender);
    }

    /// Loses the datagrams of no sender any more.
    pub fn unblock_senders(&self) {
        self.parted.lock().expect("no holder panics").clear();
    }
}

async fn bind_both() -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut tries = 0;
    loop {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if tries == PORT_TRIES => return Err(error),
            Err(_) => tries += 1,
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    cut: watch::Receiver<bool>,
    silenced: watch::Receiver<()>,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let address = *target.borrow();
        let is_cut = *cut.borrow();
        if let Some(address) = address.filter(|_| !is_cut) {
            connections.spawn(relay(stream, address, cut.clone(), silenced.clone()));
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn relay(
    mut near: TcpStream,
    target: SocketAddr,
    mut cut: watch::Receiver<bool>,
    mut silenced: watch::Receiver<()>,
) {
    silenced.mark_unchanged();
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    // Without the option small messages wait for acknowledgements; nothing breaks.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        _ = cut.wait_for(|cut| *cut) => return,
        _ = silenced.changed() => {}
    }
    // Both ends stay open and hear nothing more.
    let _ = cut.wait_for(|cut| *cut).await;
}

/// Keeps a socket for each sender, so that answers find their way back.
async fn relay_datagrams(
    socket: UdpSocket,
    target: watch::Receiver<Option<SocketAddr>>,
    cut: watch::Receiver<bool>,
    parted: Arc<Mutex<HashSet<SocketAddr>>>,
) {
    let socket = Arc::new(socket);
    let mut senders: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut answers = JoinSet::new();
    let mut buffer = [0; DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(target) = *target.borrow() else { continue };
        let is_parted = parted.lock().expect("no holder panics").contains(&source);
        if is_parted || *cut.borrow() {
            continue;
        }
        let sender = match senders.entry(source) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(vacant) => {
                let Ok(sender) = UdpSocket::bind(("127.0.0.1", 0)).await else { continue };
                let sender = vacant.insert(Arc::new(sender));
                answers.spawn(relay_answers(sender.clone(), socket.clone(), source, cut.clone()));
                sender
            }
        };
        // A lost datagram is what the relay is for.
        let _ = sender.send_to(&buffer[..length], target).await;
    }
}

async fn relay_answers(
    from: Arc<UdpSocket>,
    to: Arc<UdpSocket>,
    source: SocketAddr,
    cut: watch::Receiver<bool>,
) {
    let mut buffer = [0; DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = from.recv_from(&mut buffer).await else { continue };
        if !*cut.borrow() {
            let _ = to.send_to(&buffer[..length], source).await;
        }
    }
}
