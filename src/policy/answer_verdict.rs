//! What an answer of a backend server says about the run of a request.
//!
//! Handles overloaded servers that refuse requests, and faulty ones whose answers contradict
//! themselves. "Not run" is believed only where nothing speaks against it: it lets the request be sent
//! again, or is passed on to the caller as a promise.

use super::exchange_history::AnswerOrigin;

/// Statuses with which a server may state that it did not run a request.
const REFUSAL_STATUSES: [u16; 5] = [400, 408, MISDIRECTED, 429, 503];
/// Another server than the one that was named got the request.
const MISDIRECTED: u16 = 421;
/// Statuses that promise a caller that its request did not run.
const PROMISE_STATUSES: [u16; 4] = [408, MISDIRECTED, 429, 503];

/// Whether a final answer can have this status: three digits, and not that of an interim answer.
///
/// ```
/// use lentilway::policy::answer_verdict::is_final_status;
/// assert!(is_final_status(200) && is_final_status(503));
/// assert!(!is_final_status(0) && !is_final_status(99) && !is_final_status(1_000));
/// assert!(!is_final_status(101));
/// ```
pub fn is_final_status(status: u16) -> bool {
    (200..1_000).contains(&status)
}

/// The head of an answer, as far as it tells about the run.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTraits {
    /// The request that it belongs to.
    pub origin: AnswerOrigin,
    /// The HTTP status.
    pub status: u16,
    /// Whether it states that the request did not run.
    pub is_marked: bool,
    /// Whether the server signed it.
    pub is_signed: bool,
    /// Whether its body is encoded, which is not the server's.
    pub is_encoded: bool,
    /// Whether the request must not run twice.
    pub runs_once: bool,
}

/// What an answer is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The server answered; the caller gets the answer.
    Answered,
    /// The server did not run the request and never will.
    Refused,
    /// It says nothing about the request, which may have run.
    Spoiled,
    /// It belongs to the request, and would promise the caller what the server did not state.
    Unproven,
}

impl AnswerTraits {
    /// What the answer is taken for.
    ///
    /// ```
    /// use lentilway::policy::answer_verdict::{AnswerTraits, AnswerVerdict};
    /// use lentilway::policy::exchange_history::AnswerOrigin;
    /// let refusal = AnswerTraits {
    ///     origin: AnswerOrigin::Own,
    ///     status: 503,
    ///     is_marked: true,
    ///     is_signed: false,
    ///     is_encoded: false,
    ///     runs_once: true,
    /// };
    /// assert_eq!(refusal.verdict(), AnswerVerdict::Refused);
    /// let copy = AnswerTraits { origin: AnswerOrigin::Earlier, ..refusal };
    /// assert_eq!(copy.verdict(), AnswerVerdict::Spoiled);
    /// ```
    pub fn verdict(&self) -> AnswerVerdict {
        if !self.origin.is_own() || !is_final_status(self.status) {
            return AnswerVerdict::Spoiled;
        }
        if (200..300).contains(&self.status) {
            let is_proven = self.is_signed && !self.is_encoded && self.origin == AnswerOrigin::Own;
            return if is_proven { AnswerVerdict::Answered } else { AnswerVerdict::Spoiled };
        }
        let is_refusal = self.is_marked && REFUSAL_STATUSES.contains(&self.status);
        if is_refusal || self.status == MISDIRECTED {
            return AnswerVerdict::Refused;
        }
        match self.runs_once && PROMISE_STATUSES.contains(&self.status) {
            true => AnswerVerdict::Unproven,
            false => AnswerVerdict::Answered,
        }
    }
}
