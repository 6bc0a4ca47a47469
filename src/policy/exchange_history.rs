//! What a connection to a backend server has carried, and which request an answer on it belongs to.
//!
//! Handles servers that answer more often than they are asked: on a kept connection, the surplus
//! answer arrives where the one to a later request is due. It names the request that it belongs to.
//! That tells it from the answer that is due only if a connection carries each request once.

use xxhash_rust::xxh3::xxh3_64;

/// Exchanges after which a connection is replaced, which bounds its history.
pub const EXCHANGES_MAX: usize = 1_000;

/// Which request an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerOrigin {
    /// It names the request that was sent last.
    Own,
    /// It names no request, and only one was sent on the connection.
    First,
    /// It names a request that was sent earlier on the connection.
    Earlier,
    /// It names a request that was never sent on the connection.
    Foreign,
    /// It names no request, and several were sent on the connection.
    Unnamed,
    /// It names more than one request.
    Ambiguous,
    /// Its head is made of those of two answers.
    Merged,
}

impl AnswerOrigin {
    /// Whether the answer belongs to the request that was sent last.
    ///
    /// ```
    /// use lentilway::policy::exchange_history::AnswerOrigin;
    /// assert!(AnswerOrigin::First.is_own());
    /// assert!(!AnswerOrigin::Unnamed.is_own());
    /// ```
    pub fn is_own(self) -> bool {
        matches!(self, AnswerOrigin::Own | AnswerOrigin::First)
    }

    /// The name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AnswerOrigin::Own => "own",
            AnswerOrigin::First => "first",
            AnswerOrigin::Earlier => "earlier",
            AnswerOrigin::Foreign => "foreign",
            AnswerOrigin::Unnamed => "unnamed",
            AnswerOrigin::Ambiguous => "ambiguous",
            AnswerOrigin::Merged => "merged",
        }
    }
}

/// The requests that were sent on one connection, by the hashes of their ids.
#[derive(Clone, Debug, Default)]
pub struct ExchangeHistory {
    hashes: Vec<u64>,
}

impl ExchangeHistory {
    /// Records that a request is sent.
    pub fn begin(&mut self, request_id: &str) {
        self.hashes.push(hash(request_id.as_bytes()));
    }

    /// Whether a request may be sent: an answer to it is told from all other answers if it was not
    /// sent before.
    ///
    /// ```
    /// use lentilway::policy::exchange_history::ExchangeHistory;
    /// let mut history = ExchangeHistory::default();
    /// history.begin("a");
    /// assert!(!history.may_carry("a"));
    /// assert!(history.may_carry("b"));
    /// ```
    pub fn may_carry(&self, request_id: &str) -> bool {
        !self.is_full() && self.sends(request_id) == 0
    }

    /// Whether the connection must be replaced.
    pub fn is_full(&self) -> bool {
        self.count() >= EXCHANGES_MAX
    }

    /// The number of requests that were sent.
    pub fn count(&self) -> usize {
        self.hashes.len()
    }

    /// How often a request was sent.
    ///
    /// ```
    /// use lentilway::policy::exchange_history::ExchangeHistory;
    /// let mut history = ExchangeHistory::default();
    /// history.begin("a");
    /// assert_eq!((history.sends("a"), history.sends("b")), (1, 0));
    /// ```
    pub fn sends(&self, request_id: &str) -> usize {
        let sent = hash(request_id.as_bytes());
        self.hashes.iter().filter(|hash| **hash == sent).count()
    }

    /// The origin of an answer that names these requests, if `request_id` was sent last.
    ///
    /// ```
    /// use lentilway::policy::exchange_history::{AnswerOrigin, ExchangeHistory};
    /// let mut history = ExchangeHistory::default();
    /// history.begin("a");
    /// assert_eq!(history.origin("a", []), AnswerOrigin::First);
    /// history.begin("b");
    /// assert_eq!(history.origin("b", [&b"a"[..]]), AnswerOrigin::Earlier);
    /// assert_eq!(history.origin("b", [&b"b"[..]]), AnswerOrigin::Own);
    /// ```
    pub fn origin<'a>(
        &self,
        request_id: &str,
        named: impl IntoIterator<Item = &'a [u8]>,
    ) -> AnswerOrigin {
        let mut named = named.into_iter();
        let Some(name) = named.next() else {
            return match self.count() {
                0 | 1 => AnswerOrigin::First,
                _ => AnswerOrigin::Unnamed,
            };
        };
        if named.next().is_some() {
            AnswerOrigin::Ambiguous
        } else if name == request_id.as_bytes() {
            AnswerOrigin::Own
        } else if self.hashes.contains(&hash(name)) {
            AnswerOrigin::Earlier
        } else {
            AnswerOrigin::Foreign
        }
    }
}

fn hash(request_id: &[u8]) -> u64 {
    xxh3_64(request_id)
}
