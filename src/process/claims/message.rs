//! Messages between daemons about claims.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::key::KeyHash;
use super::outcome::AttemptOutcome;
use super::record::RunAttempt;
use super::shard_state::ClaimVerdict;
use super::worker::AttemptEnd;
use crate::clock::MilliTime;
use crate::process::members::InstanceId;
use crate::process::shared::DaemonShared;

/// The longest that a daemon delays a reply while it waits for an attempt to end.
const OUTCOME_WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A claim that is sent to a daemon that decides its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// The request's short digest.
    #[serde(rename = "d")]
    pub digest: u64,
    /// The attempt that claims.
    #[serde(rename = "a")]
    pub attempt: RunAttempt,
    /// When the key was issued.
    #[serde(rename = "t")]
    pub issued: MilliTime,
    /// Whether the stream must be read first, because the holder reported a release.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub refresh: bool,
}

/// Messages between daemons about claims.
///
/// Externally tagged: serde's buffer for other representations cannot carry addresses in CBOR.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimMessage {
    /// The receiver does not support the kind of message.
    Unknown,
    /// Appends these claims, all of one shard; the reply is [`ClaimMessage::Verdicts`].
    Claims {
        /// The boot of the addressed daemon; a later one at its address does not reply.
        boot: u64,
        /// The claims.
        claims: Vec<ClaimRequest>,
    },
    /// Forwards this claim in a batch with others.
    RelayClaim {
        /// The boot of the addressed daemon; a later one at its address does not reply.
        boot: u64,
        /// The claim.
        claim: ClaimRequest,
        /// How long the claimant waits, in milliseconds.
        wait_ms: u64,
    },
    /// The reply to claims, in their order.
    Verdicts {
        /// The decisions of the stream.
        verdicts: Vec<ClaimVerdict>,
    },
    /// Appends these ends of attempts, all of one shard.
    Ends {
        /// The boot of the addressed daemon; a later one at its address does not reply.
        boot: u64,
        /// The ends.
        ends: Vec<AttemptEnd>,
    },
    /// Forwards these ends in a batch with others.
    RelayEnds {
        /// The boot of the addressed daemon; a later one at its address does not reply.
        boot: u64,
        /// The ends.
        ends: Vec<AttemptEnd>,
    },
    /// The reply to ends.
    EndsTaken {
        /// Whether the ends are on the stream.
        taken: bool,
    },
    /// Requests the outcome of an attempt of the receiver.
    Ask {
        /// The attempt.
        attempt: RunAttempt,
        /// How long the receiver may wait for the end, in milliseconds.
        wait_ms: u64,
    },
    /// The reply to [`ClaimMessage::Ask`].
    Outcome {
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
}

/// Handles a message from a peer and returns the reply, if the message has one.
pub async fn handle(
    shared: &Arc<DaemonShared>,
    _from: InstanceId,
    message: ClaimMessage,
) -> Option<ClaimMessage> {
    let forwarder = shared.claims.forwarder();
    let own_boot = shared.instance.boot;
    match message {
        ClaimMessage::Claims { boot, claims } if boot == own_boot => {
            let verdicts = forwarder.shards.decide(&claims).await;
            Some(ClaimMessage::Verdicts { verdicts })
        }
        ClaimMessage::RelayClaim { boot, claim, wait_ms } if boot == own_boot => {
            let wait = Duration::from_millis(wait_ms);
            let verdicts = vec![forwarder.relay_claim(claim, wait).await];
            Some(ClaimMessage::Verdicts { verdicts })
        }
        ClaimMessage::Ends { boot, ends } if boot == own_boot => {
            let taken = forwarder.shards.append_ends(ends).await;
            Some(ClaimMessage::EndsTaken { taken })
        }
        ClaimMessage::RelayEnds { boot, ends } if boot == own_boot => {
            let taken = forwarder.relay_ends(ends).await;
            Some(ClaimMessage::EndsTaken { taken })
        }
        ClaimMessage::Ask { attempt, wait_ms } => {
            let wait = Duration::from_millis(wait_ms).min(OUTCOME_WAIT_LIMIT);
            let outcome = shared.claims.outcome(attempt, wait).await;
            Some(ClaimMessage::Outcome { outcome })
        }
        _ => None,
    }
}
