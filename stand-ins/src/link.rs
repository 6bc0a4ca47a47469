//! A TCP relay whose connections can be delayed, silenced, cut one way or reset.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 16 * 1024;

/// What a link does with what it is given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// It passes everything on.
    #[default]
    Pass,
    /// It passes everything on after a while.
    Delay(Duration),
    /// It holds everything back, both ways.
    Silent,
    /// It holds back what comes from the target.
    OneWay,
    /// It resets connections, new ones too.
    Reset,
}

impl LinkMode {
    fn holds(self, is_back: bool) -> bool {
        self == LinkMode::Silent || (is_back && self == LinkMode::OneWay)
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
    /// The system's reason if no port can be opened.
    pub async fn start(ip: Ipv4Addr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(accept_connections(listener, target, mode.subscribe()));
        Ok(FaultyLink { address, mode, _tasks: tasks })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens from now on.
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
        let Ok((near, _)) = listener.accept().await else { continue };
        connections.spawn(relay(near, target, mode.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn relay(near: TcpStream, target: SocketAddr, mode: watch::Receiver<LinkMode>) {
    // Closing a socket with this option resets its connection; without it the end is plainer.
    let _ = near.set_zero_linger();
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = far.set_zero_linger();
    // Without the option small messages wait for acknowledgements; nothing breaks.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let mut reset = mode.clone();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        _ = reset.wait_for(|mode| *mode == LinkMode::Reset) => {}
        _ = async {
            tokio::join!(
                pump(near_read, far_write, mode.clone(), false),
                pump(far_read, near_write, mode.clone(), true),
            )
        } => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    is_back: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        if mode.wait_for(|mode| !mode.holds(is_back)).await.is_err() {
            return;
        }
        let now = *mode.borrow();
        if let LinkMode::Delay(delay) = now {
            sleep(delay).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    // The other side may have closed already.
    let _ = to.shutdown().await;
}
