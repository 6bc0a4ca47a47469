//! A TCP relay whose connections can be delayed, blocked in one or both directions, or reset.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 16 * 1024;

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
        tasks.spawn(accept_connections(listener, target, mode.subscribe()));
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

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    mode: watch::Receiver<LinkMode>,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((inbound, _)) = listener.accept().await else { continue };
        connections.spawn(relay(inbound, target, mode.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn relay(inbound: TcpStream, target: SocketAddr, mode: watch::Receiver<LinkMode>) {
    // Makes closing a socket reset its connection; after an error it closes normally instead.
    let _ = inbound.set_zero_linger();
    let Ok(outbound) = TcpStream::connect(target).await else { return };
    let _ = outbound.set_zero_linger();
    // An error is harmless: small messages then wait for acknowledgements.
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let mut reset = mode.clone();
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    tokio::select! {
        _ = reset.wait_for(|mode| *mode == LinkMode::Reset) => {}
        _ = async {
            tokio::join!(
                forward(inbound_read, outbound_write, mode.clone(), false),
                forward(outbound_read, inbound_write, mode.clone(), true),
            )
        } => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    is_from_target: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        if mode.wait_for(|mode| !mode.blocks(is_from_target)).await.is_err() {
            return;
        }
        let current = *mode.borrow();
        if let LinkMode::Delay(delay) = current {
            sleep(delay).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    // This fails if the other side has already closed.
    let _ = to.shutdown().await;
}
