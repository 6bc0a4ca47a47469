//! What lives for one request.

pub mod context;
pub(crate) mod dispatch;
pub(crate) mod entry;
pub(crate) mod response;
