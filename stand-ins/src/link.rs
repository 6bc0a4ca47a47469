//! A TCP relay whose connections can be delayed, blocked in one or both directions, or reset. It
//! refuses connections while its target does.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

const BUFFER_BYTES: usize = 16 * 1024;
/// Parts of up to `BUFFER_BYTES` that are delayed at a time; then no more is read.
const DELAYED_PARTS_MAX: usize = 256;
/// Time between attempts to reach a target that refuses connections.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(20);

const TARGET_END_TIME: Duration = Duration::from_millis(2);

/// How a link treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards all data.
    #[default]
    Pass,
    /// Forwards all data after a delay.
    Delay(Duration),
    /// Holds back data in both directions.
    Silent,
    /// Holds back data from the target.
    OneWay,
    /// Resets open and new connections.
    Reset,
}

impl LinkMode {
    fn blocks(self, is_from_target: bool) -> bool {
        self == LinkMode::Silent || (is_from_target && self == LinkMode::OneWay)
    }
}

/// A running relay to one target.
#[derive(Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    _tasks: JoinSet<()>,
}

impl FaultyLink {
    /// Starts a relay on `ip` to `target`.
    ///
    /// # Errors
    /// The I/O error if no port can be bound.
    pub async fn start(ip: Ipv4Addr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::default();
        let mut tasks = JoinSet::new();
        let ends = LinkEnds {
            target,
            mode: mode.subscribe(),
            wants_listener: Arc::default(),
            has_listener: Arc::default(),
        };
        tasks.spawn(accept_connections(listener, address, ends));
        Ok(FaultyLink { address, mode, _tasks: tasks })
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of open and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

/// What the connections of a link share.
#[derive(Clone)]
struct LinkEnds {
    target: SocketAddr,
    mode: watch::Receiver<LinkMode>,
    /// Whether the link should listen, and whether it does.
    wants_listener: Arc<watch::Sender<bool>>,
    has_listener: Arc<watch::Sender<bool>>,
}

impl LinkEnds {
    /// Closes the listener if the target refuses connections, and waits until it is closed.
    async fn follow_target(&self) {
        // The target's listener may close a moment after its connections.
        sleep(TARGET_END_TIME).await;
        if !accepts_connections(self.target).await {
            self.wants_listener.send_replace(false);
            // The sender lives as long as `self`.
            let _ = self.has_listener.subscribe().wait_for(|has_listener| !has_listener).await;
        }
    }
}

async fn accept_connections(mut listener: TcpListener, address: SocketAddr, ends: LinkEnds) {
    let mut connections = JoinSet::new();
    loop {
        ends.wants_listener.send_replace(true);
        ends.has_listener.send_replace(true);
        let mut wants_listener = ends.wants_listener.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((inbound, _)) = accepted else { continue };
                    connections.spawn(relay(inbound, ends.clone()));
                    while connections.try_join_next().is_some() {}
                }
                _ = wants_listener.wait_for(|wants_listener| !wants_listener) => break,
            }
        }
        drop(listener);
        ends.has_listener.send_replace(false);
        while !accepts_connections(ends.target).await {
            sleep(TARGET_POLL_INTERVAL).await;
        }
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => sleep(TARGET_POLL_INTERVAL).await,
            }
        };
    }
}

async fn accepts_connections(target: SocketAddr) -> bool {
    let connected = TcpStream::connect(target).await;
    !connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

async fn relay(inbound: TcpStream, ends: LinkEnds) {
    // Makes closing a socket reset its connection; after an error it closes normally instead.
    let _ = inbound.set_zero_linger();
    let Ok(outbound) = TcpStream::connect(ends.target).await else {
        return ends.follow_target().await;
    };
    let _ = outbound.set_zero_linger();
    // An error is harmless: small messages then wait for acknowledgements.
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let mut reset = ends.mode.clone();
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    tokio::select! {
        _ = reset.wait_for(|mode| *mode == LinkMode::Reset) => {}
        _ = async {
            tokio::join!(
                forward(inbound_read, outbound_write, &ends, false),
                forward(outbound_read, inbound_write, &ends, true),
            )
        } => {}
    }
}

async fn forward(from: OwnedReadHalf, to: OwnedWriteHalf, ends: &LinkEnds, is_from_target: bool) {
    let (sender, receiver) = mpsc::channel(DELAYED_PARTS_MAX);
    let mut reading = pin!(read_parts(from, sender, ends.mode.clone(), is_from_target));
    let mut writing = pin!(write_parts(to, receiver));
    let written = tokio::select! {
        written = &mut writing => written,
        is_open = &mut reading => writing.await.filter(|_| is_open),
    };
    let Some(mut to) = written else {
        return;
    };
    if is_from_target {
        ends.follow_target().await;
    }
    // This fails if the other side has already closed.
    let _ = to.shutdown().await;
}

/// Bytes to write, and when.
type DelayedPart = (Instant, Vec<u8>);

/// Reads until the connection ends; `false` if the link is dropped first or nothing is written any
/// more. What is delayed does not hold up what is read after it.
async fn read_parts(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<DelayedPart>,
    mut mode: watch::Receiver<LinkMode>,
    is_from_target: bool,
) -> bool {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(length) if length > 0 => length,
            _ => return true,
        };
        if mode.wait_for(|mode| !mode.blocks(is_from_target)).await.is_err() {
            return false;
        }
        let current = *mode.borrow();
        let delay = if let LinkMode::Delay(delay) = current { delay } else { Duration::ZERO };
        if sender.send((Instant::now() + delay, buffer[..length].to_vec())).await.is_err() {
            return false;
        }
    }
}

/// Writes all parts, each when it is due, and returns where to; `None` if the connection fails.
async fn write_parts(
    mut to: OwnedWriteHalf,
    mut parts: mpsc::Receiver<DelayedPart>,
) -> Option<OwnedWriteHalf> {
    while let Some((due, bytes)) = parts.recv().await {
        sleep_until(due).await;
        to.write_all(&bytes).await.ok()?;
    }
    Some(to)
}
