//! The UDP socket for member datagrams, which signs, verifies and counts them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use tokio::net::UdpSocket;

use super::datagram::{
    DATAGRAM_BYTES_LIMIT, DatagramError, DatagramKind, DatagramTarget, MemberDatagram, ReplayWindow,
};
use super::entry::{InstanceId, MemberEntry};
use super::gossip::MemberGossip;
use crate::connection::peer_transport::PeerTransport;
use crate::process::metrics::EventCounters;

/// IPv4 and UDP headers.
const PACKET_HEADER_BYTES: u64 = 28;
/// Beyond this number of senders all replay windows are dropped, to bound their memory.
const WINDOWS_LIMIT: usize = 30_000;
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// Bytes and datagrams that a prober sent and received, including packet headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProberTraffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

/// The socket of one daemon, with its sequence number and the replay windows of its peers.
pub(super) struct MemberSocket {
    gossip: Arc<MemberGossip>,
    socket: UdpSocket,
    transport: PeerTransport,
    events: EventCounters,
    instance: InstanceId,
    sequence: u64,
    windows: HashMap<InstanceId, ReplayWindow>,
    traffic: Arc<Mutex<ProberTraffic>>,
    buffer: [u8; RECEIVE_BUFFER_BYTES],
}

impl MemberSocket {
    pub(super) fn new(
        gossip: Arc<MemberGossip>,
        socket: UdpSocket,
        transport: PeerTransport,
        events: EventCounters,
    ) -> Self {
        MemberSocket {
            instance: gossip.own().instance,
            gossip,
            socket,
            transport,
            events,
            sequence: 0,
            windows: HashMap::new(),
            traffic: Arc::default(),
            buffer: [0; RECEIVE_BUFFER_BYTES],
        }
    }

    pub(super) fn traffic(&self) -> Arc<Mutex<ProberTraffic>> {
        self.traffic.clone()
    }

    pub(super) fn sent_bytes(&self) -> u64 {
        self.traffic.lock().expect("lock not poisoned").sent_bytes
    }

    /// Waits for a datagram and returns its length; [`MemberSocket::decode`] decodes it.
    pub(super) async fn receive(&mut self) -> std::io::Result<usize> {
        let (length, _) = self.socket.recv_from(&mut self.buffer).await?;
        Ok(length)
    }

    /// Decodes the last received datagram, if it is valid, addressed to this run and not a replay.
    pub(super) fn decode(&mut self, length: usize) -> Option<MemberDatagram> {
        self.count_received(length);
        match self.check(length) {
            Ok(datagram) => Some(datagram),
            Err(event) => {
                self.events.count(event);
                None
            }
        }
    }

    fn check(&mut self, length: usize) -> Result<MemberDatagram, &'static str> {
        let decoded = self.transport.open_datagram(&self.buffer[..length]);
        let datagram = decoded.map_err(|error| match error {
            DatagramError::Unauthenticated => "peer_refused",
            DatagramError::Malformed => "peer_malformed",
        })?;
        if datagram.target.address != self.instance.address || datagram.from == self.instance {
            return Err("datagram_misdirected");
        }
        if datagram.target.boot.is_some_and(|boot| boot != self.instance.boot) {
            self.send(datagram.from, DatagramKind::Push, vec![self.gossip.own()]);
            return Err("datagram_for_former_instance");
        }
        if self.windows.len() >= WINDOWS_LIMIT {
            self.windows.clear();
        }
        let window = self.windows.entry(datagram.from).or_default();
        if window.accept(datagram.sequence) { Ok(datagram) } else { Err("peer_replayed") }
    }

    /// Sends a datagram. It is lost if the send buffer is full, as it may be on the network.
    pub(super) fn send(
        &mut self,
        target: InstanceId,
        kind: DatagramKind,
        entries: Vec<MemberEntry>,
    ) {
        self.sequence += 1;
        let datagram = MemberDatagram {
            target: DatagramTarget { address: target.address, boot: Some(target.boot) },
            from: self.instance,
            sequence: self.sequence,
            kind,
            digest: self.gossip.table().digest(),
            entries,
        };
        let bytes = self.transport.seal_datagram(&datagram);
        if bytes.len() > DATAGRAM_BYTES_LIMIT {
            return self.events.count("datagram_oversized");
        }
        let _ = self.socket.try_send_to(&bytes, target.address);
        let mut traffic = self.traffic.lock().expect("lock not poisoned");
        traffic.sent += 1;
        traffic.sent_bytes += bytes.len() as u64 + PACKET_HEADER_BYTES;
    }

    fn count_received(&self, bytes: usize) {
        let mut traffic = self.traffic.lock().expect("lock not poisoned");
        traffic.received += 1;
        traffic.received_bytes += bytes as u64 + PACKET_HEADER_BYTES;
    }
}
