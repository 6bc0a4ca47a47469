//! The adapter for the users' platform.

mod boundary;
mod records;
mod store;
mod store_copies;
