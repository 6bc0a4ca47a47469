//! Messages that replicate the configuration between daemons.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::cell::RecordBatch;
use super::contact::ZoneAddress;
use super::digest::Sha256Digest;
use super::peer_exchange::pull_from;
use super::snapshot::encode_snapshot;
use super::sync::{StateSource, apply_batch};
use crate::process::members::InstanceId;
use crate::process::shared::DaemonShared;

/// Limit on the records in one answer, in bytes.
const ANSWER_RECORD_BYTES_MAX: usize = 64 * 1024;

/// A daemon's report of its own state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSummary {
    /// The offset after the last record in force.
    pub next_offset: u64,
    /// The first eight bytes of the state's digest.
    #[serde(rename = "check")]
    pub digest_prefix: u64,
    /// How long ago the state was last known to be up to date, in milliseconds.
    pub contact_age_ms: Option<u64>,
    /// The daemon's availability zone.
    pub zone: Arc<str>,
}

/// Messages that replicate the configuration between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum StateMessage {
    /// Requests the records from an offset on.
    Pull {
        /// The offset after the sender's last record.
        next_offset: u64,
    },
    /// Answers that the sender is up to date.
    Current {
        /// The answering daemon's state.
        #[serde(rename = "standing")]
        summary: StateSummary,
    },
    /// Answers with the records from the offset on.
    Records {
        /// The answering daemon's state.
        #[serde(rename = "standing")]
        summary: StateSummary,
        /// The records.
        batch: RecordBatch,
    },
    /// Answers with a snapshot, if the records are no longer kept.
    Snapshot {
        /// The answering daemon's state.
        #[serde(rename = "standing")]
        summary: StateSummary,
        /// The snapshot.
        body: Bytes,
        /// The availability zones in the answering daemon's contact table.
        zones: Vec<ZoneAddress>,
    },
    /// Forwards new records; there is no answer.
    Push {
        /// The records.
        batch: RecordBatch,
    },
    /// A message kind that this release does not support.
    #[serde(other)]
    Unknown,
}

/// The first eight bytes of a digest, which daemons compare.
pub fn digest_prefix(digest: &Sha256Digest) -> u64 {
    let [first, ..] = digest.bytes().as_chunks::<8>().0 else { return 0 };
    u64::from_be_bytes(*first)
}

/// Handles a message of `from` and returns the reply, if there is one.
pub async fn handle(
    shared: &Arc<DaemonShared>,
    from: InstanceId,
    message: StateMessage,
) -> Option<StateMessage> {
    match message {
        StateMessage::Pull { next_offset } => Some(answer_pull(shared, next_offset)),
        StateMessage::Push { batch } => {
            if apply_batch(shared, &batch, StateSource::Push).gap {
                shared.metrics.count("ticket_push_gap");
                // A failed pull is repeated by the next periodic one.
                let _ = pull_from(shared, from.address).await;
            }
            None
        }
        _ => None,
    }
}

fn answer_pull(shared: &DaemonShared, from: u64) -> StateMessage {
    let state = shared.version.current();
    let summary = StateSummary {
        next_offset: state.next_offset,
        digest_prefix: digest_prefix(&state.digest()),
        contact_age_ms: shared.sync.contacts.contact_age().map(|age| age.as_millis() as u64),
        zone: shared.config.availability_zone.clone(),
    };
    if from >= state.next_offset {
        return StateMessage::Current { summary };
    }
    if let Some(batch) = shared.version.records_from(from, ANSWER_RECORD_BYTES_MAX) {
        return StateMessage::Records { summary, batch };
    }
    if state.skipped_newer() > 0 {
        return StateMessage::Current { summary };
    }
    let zones = shared.sync.contacts.zones();
    StateMessage::Snapshot { summary, body: encode_snapshot(&state), zones }
}
