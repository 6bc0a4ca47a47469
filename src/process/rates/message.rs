//! Messages between daemons about organisations' rates.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::share::ShareId;
use crate::process::members::InstanceId;
use crate::process::shared::DaemonShared;

/// A message between daemons about organisations' rates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum QuotaMessage {
    /// Asks for tokens, or returns tokens.
    Ask(Box<QuotaAsk>),
    /// The reply to an ask.
    Grant(Box<QuotaGrant>),
    /// A message of a kind that the receiver does not support.
    #[serde(other)]
    Unknown,
}

/// Asks for tokens; amounts are millionths of a token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// The organisation.
    pub organisation: Arc<str>,
    /// Increases with each message of the borrower; an overtaken message is ignored.
    pub sequence: u64,
    /// Amount for waiting requests.
    pub need: u64,
    /// Amount for expected requests.
    pub ahead: u64,
    /// Whether the receiver, as the zone's relay, may re-lend borrowed tokens.
    pub relay: bool,
    /// What the borrower holds from the receiver; nothing from shares that are not listed.
    pub parts: SmallVec<[AskPart; 8]>,
}

impl QuotaAsk {
    /// What the borrower holds from `share`.
    pub fn part(&self, share: ShareId) -> AskPart {
        let part = self.parts.iter().find(|part| part.share == share).copied();
        part.unwrap_or(AskPart { share, held: 0, returned: 0 })
    }
}

/// What the borrower holds from one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskPart {
    /// The share.
    pub share: ShareId,
    /// Loans that are unspent.
    pub held: u64,
    /// Unspent loans that this message returns.
    pub returned: u64,
}

/// The reply to an ask, which lends tokens.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The amounts lent, by share.
    pub parts: GrantParts,
    /// Whether the lender holds shares of the organisation, or is a relay with a known holder.
    #[serde(rename = "minted")]
    pub holder_known: bool,
    /// Backoff before the next ask in milliseconds, 0 if the ask was met.
    pub retry_ms: u64,
}

/// The amounts lent, by share.
pub type GrantParts = SmallVec<[GrantPart; 8]>;

/// The amount lent from one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantPart {
    /// The share.
    pub share: ShareId,
    /// Millionths of a token.
    pub micros: u64,
    /// Time in which they may be spent, in milliseconds from before the ask was sent.
    pub life_ms: u64,
}

/// Handles a message of `from` and returns the reply, if there is one.
pub async fn handle(
    shared: &Arc<DaemonShared>,
    from: InstanceId,
    message: QuotaMessage,
) -> Option<QuotaMessage> {
    match message {
        QuotaMessage::Ask(ask) => {
            let state = shared.version.current();
            let terms = state.organisations.get(&ask.organisation).cloned();
            let grant = shared.rates.serve_ask(from, &ask, terms.as_deref()).await;
            Some(QuotaMessage::Grant(Box::new(grant)))
        }
        QuotaMessage::Grant(_) | QuotaMessage::Unknown => None,
    }
}
