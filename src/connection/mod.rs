//! Connections: listeners, links between daemons, the link to the backend server.

pub mod backend_link;
pub mod control_link;
pub mod listener;
pub mod peer_call;
pub mod peer_listener;
pub mod peer_message;
pub mod peer_transport;
pub mod slot;
