//! Handling of one request.

pub mod context;
pub(crate) mod dispatch;
pub(crate) mod handler;
mod paced_root;
mod refused_body;
pub(crate) mod response;
mod root_entry;
pub(crate) mod shared_body;
mod trace;
