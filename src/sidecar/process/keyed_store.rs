//! The interface to the platform's store.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::policy::store_position::{StoreEra, StorePosition};

/// A topic that retains the newest record of each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreTopic {
    /// Whole versions of the configuration, written by operators.
    Configuration,
    /// Records of the daemons, each written by its daemon.
    Directory,
}

impl StoreTopic {
    /// The name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            StoreTopic::Configuration => "configuration",
            StoreTopic::Directory => "directory",
        }
    }
}

/// The newest record of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRecord {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// The position in the topic, increasing with every record.
    pub position: StorePosition,
}

/// Records, and the position up to which the topic was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreRead {
    /// The records in write order.
    pub records: Vec<StoreRecord>,
    /// The read position, to be passed to [`KeyedStore::changes`].
    pub cursor: StorePosition,
    /// The number of records that could not be decoded and are left out.
    pub unreadable: usize,
    /// Whether the topic had more records than the answer holds, so that it proves nothing.
    pub is_partial: bool,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// Timeout or broken connection; a write may have taken effect.
    #[snafu(display("no answer from the store: {reason}"))]
    NoAnswer {
        /// The cause.
        reason: String,
    },
    /// The store refused the call, which had no effect.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The store came back from a copy: positions of earlier eras are void.
    #[snafu(display("the store came back from a copy, era {}", era.0))]
    Restored {
        /// Its era.
        era: StoreEra,
    },
    /// The answer is of an earlier era than one before it.
    #[snafu(display("the store answered from era {}, which is past", era.0))]
    Outdated {
        /// The era of the answer.
        era: StoreEra,
    },
    /// The records after the position are no longer retained.
    #[snafu(display("the store retains records from offset {} on, era {}", first.offset, first.era.0))]
    Expired {
        /// Changes can be read from here on.
        first: StorePosition,
    },
    /// The position is not one of the topic.
    #[snafu(display("the store does not know the requested position"))]
    UnknownPosition,
    /// The answer could not be decoded.
    #[snafu(display("unreadable answer from the store: {reason}"))]
    Unreadable {
        /// The cause.
        reason: String,
    },
}

/// A store of keyed topics that loses no acknowledged write within an era.
#[async_trait]
pub trait KeyedStore: Send + Sync {
    /// Reads the newest record of every key.
    ///
    /// # Errors
    /// [`StoreError`] if the store did not answer.
    async fn snapshot(&self, topic: StoreTopic) -> Result<StoreRead, StoreError>;

    /// Reads the records after `cursor`, or the first of them. Waits up to `wait` for the first, then
    /// returns empty.
    ///
    /// # Errors
    /// [`StoreError::Restored`], [`StoreError::Expired`] and [`StoreError::UnknownPosition`] if a snapshot
    /// is needed, otherwise as [`KeyedStore::snapshot`].
    async fn changes(
        &self,
        topic: StoreTopic,
        cursor: StorePosition,
        wait: Duration,
    ) -> Result<StoreRead, StoreError>;

    /// Writes the value of a key, `None` to remove the key; returns the era of the store.
    ///
    /// # Errors
    /// [`StoreError::NoAnswer`] if the write may still take effect.
    async fn put(
        &self,
        topic: StoreTopic,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<StoreEra, StoreError>;
}
