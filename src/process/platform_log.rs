//! The interface to the platform's append-only log.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;

/// The name of a stream on the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamName(Arc<str>);

impl StreamName {
    /// A stream name, which may contain only letters, digits and `-`.
    pub fn new(name: &str) -> Self {
        StreamName(name.into())
    }

    /// The stream of change tickets.
    pub fn tickets() -> Self {
        StreamName::new("tickets")
    }

    /// The stream of configuration snapshots.
    pub fn snapshots() -> Self {
        StreamName::new("snapshots")
    }

    /// The stream of member records.
    pub fn members() -> Self {
        StreamName::new("members")
    }

    /// The name as it appears in the log's URL paths.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// The record's offset in the stream.
    pub offset: u64,
    /// The record's bytes.
    pub body: Bytes,
}

/// The result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// The records in order, starting at the requested offset.
    pub records: Vec<LogRecord>,
    /// The offset of the next append at the time of the read.
    pub tail: u64,
}

/// Why a log request failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum LogError {
    /// No answer, or an error; an append may have taken effect.
    #[snafu(display("the platform's log did not answer: {reason}"))]
    Unavailable {
        /// The client's error.
        reason: String,
        /// Whether the log may have received the request.
        sent: bool,
    },
    /// Records at the requested offset have expired.
    #[snafu(display("records before offset {earliest} have expired"))]
    Gap {
        /// The earliest offset that is still stored.
        earliest: u64,
    },
}

/// The platform's log.
#[async_trait]
pub trait PlatformLog: Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    /// [`LogError::Unavailable`]; the record may be on the stream nevertheless.
    async fn append(&self, stream: &StreamName, body: Bytes) -> Result<u64, LogError>;

    /// Reads up to `limit` records from `from`, waiting up to `wait` for the first.
    ///
    /// # Errors
    /// [`LogError::Unavailable`], or [`LogError::Gap`] if `from` has expired.
    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError>;
}
