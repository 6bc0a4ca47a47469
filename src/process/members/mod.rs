//! Membership: which daemons and backend servers exist and which are alive.

pub mod datagram;
pub mod entry;
pub mod gossip;
pub mod message;
pub mod prober;
pub mod socket;
pub mod stream;
pub mod sync;
pub mod table;
pub mod update_queue;
pub mod zone_reachability;

pub use entry::{InstanceId, MemberEntry, MemberLiveness, MemberRecord, UpstreamMember};
pub use gossip::MemberGossip;
pub use table::MemberTable;
