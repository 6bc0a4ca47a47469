//! What the daemon needs of the platform's store.

use std::time::Duration;

use async_trait::async_trait;
use snafu::Snafu;

/// A topic whose newest record for each key is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreTopic {
    /// Whole versions of the configuration, written by operators.
    Configuration,
    /// The daemons, written by themselves.
    Directory,
}

/// The newest record of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRecord {
    /// The key.
    pub key: String,
    /// The value; `None` once the key was removed.
    pub value: Option<Vec<u8>>,
    /// Rises with every record of the topic.
    pub position: u64,
}

/// Records and the position up to which they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreRead {
    /// In the order of writing.
    pub records: Vec<StoreRecord>,
    /// Pass it to [`KeyedStore::changes`].
    pub cursor: u64,
}

/// Why a call to the store brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The store did not answer in time or the connection broke; a write may have taken effect.
    #[snafu(display("no answer from the store: {reason}"))]
    NoAnswer {
        /// What went wrong.
        reason: String,
    },
    /// The store refused the call; nothing was done.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The records after the position are not kept any more.
    #[snafu(display("the store has dropped the records asked for"))]
    Expired,
    /// The answer could not be read.
    #[snafu(display("unreadable answer of the store: {reason}"))]
    Unreadable {
        /// What was wrong with it.
        reason: String,
    },
}

/// A store of keyed topics that loses nothing it has acknowledged.
#[async_trait]
pub trait KeyedStore: Send + Sync {
    /// The newest record of every key.
    ///
    /// # Errors
    /// [`StoreError`] if the store did not answer.
    async fn snapshot(&self, topic: StoreTopic) -> Result<StoreRead, StoreError>;

    /// Records after `cursor`; waits up to `wait` for the first and is empty only after that.
    ///
    /// # Errors
    /// [`StoreError::Expired`] if a snapshot is needed, otherwise as [`KeyedStore::snapshot`].
    async fn changes(
        &self,
        topic: StoreTopic,
        cursor: u64,
        wait: Duration,
    ) -> Result<StoreRead, StoreError>;

    /// Writes the value of a key, or removes the key.
    ///
    /// # Errors
    /// [`StoreError::NoAnswer`] if the write may still take effect.
    async fn put(
        &self,
        topic: StoreTopic,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<(), StoreError>;
}
