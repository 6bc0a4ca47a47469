//! Connections to other daemons and to the backend server.

pub(crate) mod backend_pool;
pub(crate) mod frame;
pub(crate) mod metered_stream;
pub(crate) mod peer_link;
pub(crate) mod peer_server;
