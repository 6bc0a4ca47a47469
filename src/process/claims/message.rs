//! Messages about claims between daemons.

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

/// The longest that a daemon holds a message back for an attempt to end.
const OUTCOME_WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A claim on its way to a daemon that decides its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// The request's short digest.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Who claims.
    #[serde(rename = "a")]
    pub attempt: RunAttempt,
    /// When the key was issued.
    #[serde(rename = "t")]
    pub issued: MilliTime,
    /// Whether the stream must be read first: the holder says that it released the key.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub refresh: bool,
}

/// Messages about claims between daemons.
///
/// Externally tagged: serde's buffer for other representations cannot carry addresses in CBOR.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimMessage {
    /// The receiver does not know the kind of message.
    Unknown,
    /// Append these claims, all of one shard, and say what the stream decided.
    Claims {
        /// The boot of the daemon that is meant; another at its address does not answer.
        boot: u64,
        /// The claims.
        claims: Vec<ClaimRequest>,
    },
    /// Send this claim on together with others.
    RelayClaim {
        /// The boot of the daemon that is meant; another at its address does not answer.
        boot: u64,
        /// The claim.
        claim: ClaimRequest,
        /// How long the claimant waits, in milliseconds.
        wait_ms: u64,
    },
    /// The answer to claims, in their order.
    Verdicts {
        /// What the stream decided.
        verdicts: Vec<ClaimVerdict>,
    },
    /// Append these ends of attempts, all of one shard.
    Ends {
        /// The boot of the daemon that is meant; another at its address does not answer.
        boot: u64,
        /// The ends.
        ends: Vec<AttemptEnd>,
    },
    /// Send these ends on together with others.
    RelayEnds {
        /// The boot of the daemon that is meant; another at its address does not answer.
        boot: u64,
        /// The ends.
        ends: Vec<AttemptEnd>,
    },
    /// The answer to ends.
    EndsTaken {
        /// Whether they are on the stream.
        taken: bool,
    },
    /// Say how an attempt of the receiver ended.
    Ask {
        /// The attempt.
        attempt: RunAttempt,
        /// How long its end may be waited for, in milliseconds.
        wait_ms: u64,
    },
    /// The answer to a question for an outcome.
    Outcome {
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
}

/// Serves one message of `_from` and returns the reply, if the message has one.
pub async fn handle(
    shared: &Arc<DaemonShared>,
    _from: InstanceId,
    message: ClaimMessage,
) -> Option<ClaimMessage> {
    let forwarder = shared.claims.forwarder();
    let here = shared.instance.boot;
    match message {
        ClaimMessage::Claims { boot, claims } if boot == here => {
            let verdicts = forwarder.shards.decide(&claims).await;
            Some(ClaimMessage::Verdicts { verdicts })
        }
        ClaimMessage::RelayClaim { boot, claim, wait_ms } if boot == here => {
            let wait = Duration::from_millis(wait_ms);
            let verdicts = vec![forwarder.relay_claim(claim, wait).await];
            Some(ClaimMessage::Verdicts { verdicts })
        }
        ClaimMessage::Ends { boot, ends } if boot == here => {
            let taken = forwarder.shards.append_ends(ends).await;
            Some(ClaimMessage::EndsTaken { taken })
        }
        ClaimMessage::RelayEnds { boot, ends } if boot == here => {
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
