//! Datagrams between daemons: CBOR with a message authentication code.

use std::net::SocketAddr;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use super::entry::{InstanceId, MemberEntry};
use crate::config::SecretText;
use crate::connection::peer_transport::derive_key;

/// Maximum size of a datagram in bytes, so that it fits into one packet on any path.
pub const DATAGRAM_BYTES_LIMIT: usize = 1200;

/// Maximum size of the entries in a datagram, in bytes.
pub const ENTRY_BYTES_LIMIT: usize = 600;

const FORMAT_VERSION: u8 = 1;
const TAG_BYTES: usize = 16;
const MAC_LABEL: &[u8] = b"lentilway member datagram 1";

/// The addressee of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramTarget {
    /// The address that the receiver advertises.
    pub address: SocketAddr,
    /// The boot of the receiver's run, if the sender has it.
    pub boot: Option<u64>,
}

/// The kind of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DatagramKind {
    /// Requests a [`DatagramKind::Ack`] with the same number.
    Ping(u64),
    /// Answers a ping.
    Ack(u64),
    /// Requests that the receiver pings another daemon and forwards the answer.
    PingRequest(u64, InstanceId),
    /// Carries only entries.
    Push,
    /// The sender cannot reach an availability zone; the receiver should probe it itself.
    ZoneHint(std::sync::Arc<str>),
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDatagram {
    /// The receiver.
    #[serde(rename = "t")]
    pub target: DatagramTarget,
    /// The sender.
    #[serde(rename = "f")]
    pub from: InstanceId,
    /// Sequence number, incremented with each datagram of the sender.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// The kind, with its parameters.
    #[serde(rename = "k")]
    pub kind: DatagramKind,
    /// The digest of the sender's table.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Entries that the receiver may not have yet.
    #[serde(rename = "e")]
    pub entries: Vec<MemberEntry>,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// Its authentication code matches none of the accepted secrets.
    Unauthenticated,
    /// Its authentication code is valid, but its content cannot be decoded.
    Malformed,
}

/// Encodes and decodes datagrams. It signs with the first secret and accepts all of them.
#[derive(Clone)]
pub struct DatagramCodec {
    keys: Vec<Hmac<Sha256>>,
}

impl DatagramCodec {
    /// A codec with `secrets`, which has at least one element.
    pub fn new(secrets: &[SecretText]) -> Self {
        let keys = secrets.iter().map(|secret| derive_key(secret, MAC_LABEL));
        let keys =
            keys.map(|key| Hmac::new_from_slice(&key).expect("HMAC accepts keys of any length"));
        DatagramCodec { keys: keys.collect() }
    }

    /// Encodes and signs a datagram.
    pub fn encode(&self, datagram: &MemberDatagram) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(DATAGRAM_BYTES_LIMIT);
        bytes.push(FORMAT_VERSION);
        ciborium::into_writer(datagram, &mut bytes).expect("writing to memory succeeds");
        if let Some(key) = self.keys.first() {
            let tag = tag(key, &bytes);
            bytes.extend_from_slice(&tag);
        }
        bytes
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    /// [`DatagramError::Unauthenticated`], checked before the content is decoded, or
    /// [`DatagramError::Malformed`].
    pub fn decode(&self, bytes: &[u8]) -> Result<MemberDatagram, DatagramError> {
        if bytes.len() > DATAGRAM_BYTES_LIMIT || bytes.len() <= TAG_BYTES {
            return Err(DatagramError::Unauthenticated);
        }
        let (content, received) = bytes.split_at(bytes.len() - TAG_BYTES);
        let is_valid = |key| bool::from(tag(key, content).ct_eq(received));
        if !self.keys.iter().any(is_valid) {
            return Err(DatagramError::Unauthenticated);
        }
        match content.split_first() {
            Some((&FORMAT_VERSION, body)) => {
                ciborium::from_reader(body).map_err(|_| DatagramError::Malformed)
            }
            _ => Err(DatagramError::Malformed),
        }
    }
}

fn tag(key: &Hmac<Sha256>, content: &[u8]) -> [u8; TAG_BYTES] {
    let mut mac = key.clone();
    mac.update(content);
    let full = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&full[..TAG_BYTES]);
    tag
}

/// Replay protection for one sender: the newest sequence number and a bitmap of the last 64.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    newest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Records a sequence number. Returns false if it was seen before or is older than the window.
    ///
    /// ```
    /// use lentilway::process::members::datagram::ReplayWindow;
    /// let mut window = ReplayWindow::default();
    /// assert!(window.accept(5));
    /// assert!(window.accept(4));
    /// assert!(!window.accept(5));
    /// ```
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let shift = sequence - self.newest;
            self.seen = if shift < 64 { self.seen << shift } else { 0 } | 1;
            self.newest = sequence;
            return true;
        }
        let age = self.newest - sequence;
        if age >= 64 || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}
