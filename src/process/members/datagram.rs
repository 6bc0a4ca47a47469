//! Datagrams between daemons: CBOR under a message authentication code.

use std::net::SocketAddr;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use super::entry::{InstanceId, MemberEntry};
use crate::config::SecretText;
use crate::connection::peer_transport::derive_key;

/// The most bytes of a datagram, so that it fits one packet on any path.
pub const DATAGRAM_BYTES_LIMIT: usize = 1200;

/// The bytes of a datagram that entries may take.
pub const ENTRY_BYTES_LIMIT: usize = 600;

const FORMAT_VERSION: u8 = 1;
const TAG_BYTES: usize = 16;
const SEAL_LABEL: &[u8] = b"lentilway member datagram 1";

/// Whom a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramTarget {
    /// The address that the receiver advertises.
    pub address: SocketAddr,
    /// The receiver's run, if the sender knows it.
    pub boot: Option<u64>,
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DatagramKind {
    /// Asks for an [`DatagramKind::Ack`] with the same number.
    Ping(u64),
    /// Answers a ping.
    Ack(u64),
    /// Asks the receiver to ping another daemon and to pass the answer on.
    PingRequest(u64, InstanceId),
    /// Carries entries alone.
    Push,
    /// The sender cannot reach an availability zone; the receiver should look for itself.
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
    /// Rises with each datagram of the sender.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// What it asks or answers.
    #[serde(rename = "k")]
    pub kind: DatagramKind,
    /// The digest of the sender's table.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Entries that the receiver may not know.
    #[serde(rename = "e")]
    pub entries: Vec<MemberEntry>,
}

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// It carries no code of a secret that this daemon accepts.
    Unauthenticated,
    /// Its code is right, but its content cannot be read.
    Malformed,
}

/// Signs with the first secret and accepts every one.
#[derive(Clone)]
pub struct DatagramCodec {
    keys: Vec<Hmac<Sha256>>,
}

impl DatagramCodec {
    /// A seal under `secrets`, of which there is at least one.
    pub fn new(secrets: &[SecretText]) -> Self {
        let keys = secrets.iter().map(|secret| derive_key(secret, SEAL_LABEL));
        let keys = keys.map(|key| Hmac::new_from_slice(&key).expect("any length will do"));
        DatagramCodec { keys: keys.collect() }
    }

    /// The datagram as bytes.
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

    /// Reads a datagram.
    ///
    /// # Errors
    /// [`DatagramError::Unauthenticated`] before anything of it was read, or
    /// [`DatagramError::Malformed`].
    pub fn decode(&self, bytes: &[u8]) -> Result<MemberDatagram, DatagramError> {
        if bytes.len() > DATAGRAM_BYTES_LIMIT || bytes.len() <= TAG_BYTES {
            return Err(DatagramError::Unauthenticated);
        }
        let (content, shown) = bytes.split_at(bytes.len() - TAG_BYTES);
        let is_right = |key| bool::from(tag(key, content).ct_eq(shown));
        if !self.keys.iter().any(is_right) {
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

/// The sequence numbers of one sender that were seen, the newest and the 64 before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    newest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Takes a sequence number; false if it was seen before or is too old to tell.
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
