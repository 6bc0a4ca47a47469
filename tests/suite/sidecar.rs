//! Sidecar daemons with a store, backend servers and callers of the tests' own.

mod fleet;
mod keys;
mod links;
mod outcomes;
mod stops;
