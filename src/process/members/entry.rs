//! What a daemon says of itself and of its backend server.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One run of a daemon at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// Where other daemons connect.
    #[serde(with = "address_text")]
    pub address: SocketAddr,
    /// Drawn at random when the process starts; tells two runs at one address apart.
    pub boot: u64,
}

/// An address as text in every format: the compact form cannot be read inside tagged messages.
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

/// A daemon with a backend server that takes work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamMember {
    /// The daemon.
    pub instance: InstanceId,
    /// The backend server's service.
    pub service: Arc<str>,
    /// The instance's availability zone.
    pub availability_zone: Arc<str>,
}

/// What is known of a daemon's life, in the order in which one state overrides another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberLiveness {
    /// It answers.
    Alive,
    /// A probe and its indirect probes went unanswered; the member may still refute that.
    Suspect,
    /// It said that it is stopping.
    Leaving,
    /// It did not refute a suspicion in time.
    Dead,
}

/// What one daemon knows of another. Of two entries for one address the greater wins, so that
/// the order in which daemons learn them does not matter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Raised by the daemon itself with each change of its own. It starts at the wall-clock time
    /// in milliseconds, so that a new run supersedes the old one.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// What is known of its life.
    #[serde(rename = "l")]
    pub liveness: MemberLiveness,
    /// The daemon.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// The service of its backend server, if one takes work.
    #[serde(rename = "s")]
    pub service: Option<Arc<str>>,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub availability_zone: Arc<str>,
}

impl MemberEntry {
    /// Whether the daemon takes part: it may be probed and told things.
    pub fn is_live(&self) -> bool {
        matches!(self.liveness, MemberLiveness::Alive | MemberLiveness::Suspect)
    }

    /// The upstream that the entry stands for, if the daemon takes work.
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
    /// A backend server takes work from now on.
    Join(UpstreamMember),
    /// The instance takes no new work.
    Leave {
        /// Who leaves.
        instance: InstanceId,
    },
}
