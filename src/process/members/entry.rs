//! Membership entries: the state of a daemon and of its backend server.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One run of a daemon at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// The address that other daemons connect to.
    #[serde(with = "address_text")]
    pub address: SocketAddr,
    /// Random number drawn at process start, to distinguish two runs at one address.
    pub boot: u64,
}

/// Encodes an address as text in every format, because the compact form cannot be decoded inside
/// tagged messages.
mod address_text {
    use std::net::SocketAddr;

    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(
        address: &SocketAddr,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(address)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

/// A daemon with a backend server that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamMember {
    /// The daemon.
    pub instance: InstanceId,
    /// The backend server's service.
    pub service: Arc<str>,
    /// The instance's availability zone.
    pub availability_zone: Arc<str>,
}

/// The liveness of a daemon. At equal incarnation a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberLiveness {
    /// The member answers probes.
    Alive,
    /// A probe and its indirect probes were not answered; the member may still refute that.
    Suspect,
    /// The member announced that it is stopping.
    Leaving,
    /// The member did not refute a suspicion in time.
    Dead,
}

/// The state of one daemon. Of two entries for one address the greater wins, so that the result
/// does not depend on the order in which they are merged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Incremented by the daemon itself with each change of its entry. It starts at the wall-clock
    /// time in milliseconds, so that a new run supersedes the old one.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// Its liveness.
    #[serde(rename = "l")]
    pub liveness: MemberLiveness,
    /// The daemon.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// The service of its backend server, if that accepts requests.
    #[serde(rename = "s")]
    pub service: Option<Arc<str>>,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub availability_zone: Arc<str>,
}

impl MemberEntry {
    /// Whether the daemon takes part in probes and gossip.
    pub fn is_live(&self) -> bool {
        matches!(self.liveness, MemberLiveness::Alive | MemberLiveness::Suspect)
    }

    /// The entry as an upstream, if the daemon is live and its backend server accepts requests.
    pub fn upstream(&self) -> Option<UpstreamMember> {
        let service = self.service.clone().filter(|_| self.is_live())?;
        let availability_zone = self.availability_zone.clone();
        Some(UpstreamMember { instance: self.instance, service, availability_zone })
    }
}

/// A record of the members stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum MemberRecord {
    /// A daemon's newest entry for itself.
    Entry(MemberEntry),
    /// A backend server accepts requests from now on.
    Join(UpstreamMember),
    /// The instance accepts no new requests.
    Leave {
        /// The instance that leaves.
        instance: InstanceId,
    },
}
