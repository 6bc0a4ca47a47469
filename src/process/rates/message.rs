//! Messages about organisations' rates between daemons.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::share::ShareId;
use crate::process::members::InstanceId;
use crate::process::shared::DaemonShared;

/// Messages about organisations' rates between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum QuotaMessage {
    /// Asks for tokens, or hands tokens back.
    Ask(Box<QuotaAsk>),
    /// The reply to an ask.
    Grant(Box<QuotaGrant>),
    /// The receiver does not know the kind of message.
    #[serde(other)]
    Unknown,
}

/// Asks for tokens; amounts are millionths of a token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Whose tokens.
    pub organisation: Arc<str>,
    /// Rises with each message of the borrower; an overtaken message is ignored.
    pub sequence: u64,
    /// For requests that wait.
    pub need: u64,
    /// For requests that are expected.
    pub ahead: u64,
    /// Whether the receiver, as the relay of the zone, may lend what it borrowed itself.
    pub relay: bool,
    /// What the borrower has from the receiver; nothing from shares that are not named.
    pub parts: SmallVec<[AskPart; 8]>,
}

impl QuotaAsk {
    /// What the borrower has from `share`.
    pub fn part(&self, share: ShareId) -> AskPart {
        let part = self.parts.iter().find(|part| part.share == share).copied();
        part.unwrap_or(AskPart { share, held: 0, returned: 0 })
    }
}

/// What the borrower has from one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskPart {
    /// The share.
    pub share: ShareId,
    /// Lent earlier and unspent.
    pub held: u64,
    /// Lent earlier, unspent and handed back with this message.
    pub returned: u64,
}

/// Lends tokens.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// What the shares lend.
    pub parts: GrantParts,
    /// Whether the lender holds shares of the organisation, or as a relay knows who does.
    #[serde(rename = "minted")]
    pub holder_known: bool,
    /// Milliseconds in which asking again is of no use, 0 if the ask was met.
    pub retry_ms: u64,
}

/// What each share lends.
pub type GrantParts = SmallVec<[GrantPart; 8]>;

/// What one share lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantPart {
    /// The share.
    pub share: ShareId,
    /// Millionths of a token.
    pub micros: u64,
    /// How long they may be spent, in milliseconds from before the ask was sent.
    pub life_ms: u64,
}

/// Serves one message of `from` and returns the reply, if the message has one.
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
