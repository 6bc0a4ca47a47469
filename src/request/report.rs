//! Retry and shed feedback in the answer to a call between daemons.

use hyper::HeaderMap;
use hyper::header::HeaderValue;

use super::fraction::{AdmitFraction, GroupFractions};
use super::header::{KEPT, KEPT_CLASS, RETRIED, RETRIES_LEFT, parse_number};

/// The feedback that a daemon returns with the result of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallReport {
    /// Retries of the loan that were not spent.
    pub retries_left: u8,
    /// Whether the hop next to the failure has already decided on retries.
    pub retried: bool,
    /// The smallest fractions that any backend server downstream admits of the call's group.
    pub fractions: GroupFractions,
}

impl CallReport {
    /// The report of a call that was not sent, or was refused before any retry decision.
    pub fn unspent(retries_left: u8) -> Self {
        CallReport { retries_left, retried: false, fractions: GroupFractions::ALL }
    }

    /// The report of a call without an answer: its retries are lost.
    pub fn lost() -> Self {
        CallReport::unspent(0)
    }

    /// Reads the report from an answer's headers.
    pub fn read(headers: &HeaderMap) -> Self {
        let fraction = |name| {
            parse_number(headers, name).map_or(AdmitFraction::ALL, AdmitFraction::from_millis)
        };
        CallReport {
            retries_left: parse_number(headers, &RETRIES_LEFT).unwrap_or(0),
            retried: parse_number(headers, &RETRIED).unwrap_or(false),
            fractions: GroupFractions {
                organisation: fraction(&KEPT),
                class: fraction(&KEPT_CLASS),
            },
        }
    }

    /// Writes the report to an answer's headers.
    pub fn write(&self, headers: &mut HeaderMap) {
        headers.insert(RETRIES_LEFT, HeaderValue::from(u16::from(self.retries_left)));
        if self.retried {
            headers.insert(RETRIED, HeaderValue::from_static("true"));
        }
        if self.fractions != GroupFractions::ALL {
            headers.insert(KEPT, HeaderValue::from(self.fractions.organisation.millis()));
            headers.insert(KEPT_CLASS, HeaderValue::from(self.fractions.class.millis()));
        }
    }
}
