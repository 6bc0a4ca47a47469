//! Tests of the daemon, grouped by topic.

mod answers;
mod claim_shards;
mod claims;
mod codes;
mod draining;
mod identity;
mod members;
mod overload;
mod peers;
mod platform;
mod platform_log;
mod policy;
mod processes;
mod proofs;
mod rates;
mod session;
mod settings;
mod sidecar;
mod soak;
mod ticket_command;
mod ticket_decoders;
mod ticket_evidence;
mod ticket_fleet;
mod ticket_submission;
mod tickets;
mod upstream_answers;
