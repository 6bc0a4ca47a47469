//! Records of the shard streams, encoded as CBOR.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::key::KeyHash;
use crate::clock::MilliTime;
use crate::process::members::InstanceId;

/// The record format that this release writes and reads.
pub const RECORD_FORMAT: u8 = 1;

/// One attempt of a daemon to run a request, unique across daemons and over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunAttempt {
    /// The claimant.
    pub instance: InstanceId,
    /// Drawn at random for each attempt.
    pub number: u64,
}

/// How an attempt that held a claim ended, according to its claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnding {
    /// The attempt did not run the request and will not run it.
    NotRun,
    /// The request ran to completion.
    Ran,
}

/// A claim of a key by an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// The key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// The request's short digest.
    #[serde(rename = "d")]
    pub digest: u64,
    /// The claimant's index in [`ClaimBatch::claimants`].
    #[serde(rename = "c")]
    pub claimant: u32,
    /// The attempt's number.
    #[serde(rename = "a")]
    pub attempt: u64,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndEntry {
    /// The key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// The claimant's index in [`ClaimBatch::claimants`].
    #[serde(rename = "c")]
    pub claimant: u32,
    /// The attempt's number.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// How it ended.
    #[serde(rename = "e")]
    pub ending: RunEnding,
}

/// One record: claims and ends that are appended together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// [`RECORD_FORMAT`].
    pub format: u8,
    /// Random; identifies the batch on the stream when the answer to the append was lost.
    pub id: u64,
    /// The writer's wall-clock time after it had read every record before `base`.
    pub stamp: MilliTime,
    /// The offset up to which the writer had read the stream.
    pub base: u64,
    /// Claimants that the entries refer to.
    pub claimants: Vec<InstanceId>,
    /// Claims; the first one for a key wins.
    pub claims: Vec<ClaimEntry>,
    /// Ends of attempts.
    pub ends: Vec<EndEntry>,
}

impl ClaimBatch {
    /// A batch with no entries.
    pub fn empty(id: u64, stamp: MilliTime, base: u64) -> Self {
        ClaimBatch {
            format: RECORD_FORMAT,
            id,
            stamp,
            base,
            claimants: Vec::new(),
            claims: Vec::new(),
            ends: Vec::new(),
        }
    }

    /// The index of `instance` in the list; it is added if missing.
    pub fn claimant(&mut self, instance: InstanceId) -> u32 {
        let known = self.claimants.iter().position(|known| *known == instance);
        let index = known.unwrap_or_else(|| {
            self.claimants.push(instance);
            self.claimants.len() - 1
        });
        index as u32
    }

    /// The attempt that an entry refers to.
    pub fn attempt(&self, claimant: u32, number: u64) -> Option<RunAttempt> {
        let instance = *self.claimants.get(claimant as usize)?;
        Some(RunAttempt { instance, number })
    }

    /// The batch as bytes.
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::with_capacity(64 + 64 * (self.claims.len() + self.ends.len()));
        ciborium::into_writer(self, &mut bytes).expect("writing to memory succeeds");
        bytes.into()
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// The reason: the record is truncated, has another format, or refers to an unlisted claimant.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        let mut remaining = bytes;
        let batch: ClaimBatch =
            ciborium::from_reader(&mut remaining).map_err(|error| error.to_string())?;
        if batch.format != RECORD_FORMAT {
            return Err(format!("unsupported format {}", batch.format));
        }
        if !remaining.is_empty() {
            return Err("trailing bytes after the record".to_string());
        }
        let claims = batch.claims.iter().map(|claim| claim.claimant);
        let mut indexes = claims.chain(batch.ends.iter().map(|end| end.claimant));
        match indexes.all(|claimant| (claimant as usize) < batch.claimants.len()) {
            true => Ok(batch),
            false => Err("an entry's claimant index is out of range".to_string()),
        }
    }
}
