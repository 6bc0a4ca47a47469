//! Snapshots of the state at an offset, with its digest.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::digest::Sha256Digest;
use super::state::ConfigState;
use super::ticket::ObjectChange;
use super::verdict::{REMEMBERED_TICKETS, TicketVerdict, VerdictTable};

/// The snapshot format that this release reads and writes.
pub const SNAPSHOT_FORMAT: u16 = 1;

/// Why a snapshot is not applied.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SnapshotError {
    /// The bytes are truncated or corrupt.
    #[snafu(display("the snapshot could not be read: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// A release with another format wrote the snapshot.
    #[snafu(display("the snapshot has format {format}, not {SNAPSHOT_FORMAT}"))]
    OtherFormat {
        /// The snapshot's format.
        format: u16,
    },
    /// The state does not match the digest in the snapshot.
    #[snafu(display("the snapshot's state does not match its digest"))]
    DigestDiffers,
}

#[derive(Deserialize)]
struct FormatProbe {
    format: u16,
}

#[derive(Serialize, Deserialize)]
struct SnapshotRecord {
    format: u16,
    next_offset: u64,
    floor: u64,
    digest: Sha256Digest,
    objects: Vec<(ObjectChange, u64)>,
    verdicts: Vec<(u64, Sha256Digest, u64, bool)>,
}

/// Encodes the state; equal states give equal bytes.
pub fn encode_snapshot(state: &ConfigState) -> Bytes {
    let objects = state.touched().map(|(key, number)| (state.object(key), *number));
    let verdicts = state
        .verdicts()
        .iter()
        .map(|(number, verdict)| (*number, verdict.digest, verdict.offset, verdict.accepted));
    let record = SnapshotRecord {
        format: SNAPSHOT_FORMAT,
        next_offset: state.next_offset,
        floor: state.verdicts().floor(),
        digest: state.digest(),
        objects: objects.collect(),
        verdicts: verdicts.collect(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&record, &mut bytes).expect("writing to memory succeeds");
    bytes.into()
}

/// Decodes a snapshot and verifies the digest of its state.
///
/// # Errors
/// [`SnapshotError`]; such a snapshot must not be applied.
///
/// ```
/// use lentilway::version::snapshot::{decode_snapshot, encode_snapshot};
/// use lentilway::version::state::ConfigState;
/// let state = ConfigState::default();
/// assert_eq!(decode_snapshot(&encode_snapshot(&state)), Ok(state));
/// assert!(decode_snapshot(b"torn").is_err());
/// ```
pub fn decode_snapshot(bytes: &[u8]) -> Result<ConfigState, SnapshotError> {
    let probe: FormatProbe = read(bytes)?;
    if probe.format != SNAPSHOT_FORMAT {
        return Err(SnapshotError::OtherFormat { format: probe.format });
    }
    let record: SnapshotRecord = read(bytes)?;
    let verdicts = record.verdicts.into_iter().map(|(number, digest, offset, accepted)| {
        (number, TicketVerdict { digest, offset, accepted })
    });
    let verdicts: Vec<_> = verdicts.collect();
    if verdicts.len() > REMEMBERED_TICKETS || !verdicts.is_sorted_by(|a, b| a.0 < b.0) {
        return Err(SnapshotError::Malformed { reason: "verdicts out of order".into() });
    }
    let table = VerdictTable::restore(record.floor, verdicts);
    let state = ConfigState::restore(record.next_offset, &record.objects, table);
    match state.digest() == record.digest {
        true => Ok(state),
        false => Err(SnapshotError::DigestDiffers),
    }
}

fn read<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, SnapshotError> {
    let decoded = ciborium::from_reader(bytes);
    decoded.map_err(|error: ciborium::de::Error<_>| SnapshotError::Malformed {
        reason: error.to_string(),
    })
}
