//! Connections to other daemons and to the backend server.

mod backend_connection;
pub(crate) mod backend_pool;
pub(crate) mod caller_listener;
mod caller_watch;
pub(crate) mod connection_table;
pub(crate) mod frame;
mod http1_connection;
mod link_queue;
pub(crate) mod metered_stream;
pub(crate) mod peer_link;
pub(crate) mod peer_server;
pub mod record_request;
pub(crate) mod service_listener;
pub(crate) mod single_call;
