//! The versioned configuration: change tickets, the state they produce, routes and organisations.

pub mod cell;
pub mod contact;
pub mod digest;
pub mod freshness;
pub mod key_index;
pub mod message;
pub mod organisation;
pub mod peer_exchange;
pub mod reader;
pub mod route;
pub mod snapshot;
pub mod snapshot_writer;
pub mod state;
mod state_digest;
pub mod sync;
pub mod ticket;
pub mod verdict;
pub mod zone_tree;
