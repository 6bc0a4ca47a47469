//! An incremental digest of the whole state, which each change updates in constant time.

use sha2::{Digest, Sha256};

use super::digest::Sha256Digest;
use super::ticket::ObjectChange;
use super::verdict::TicketVerdict;

const OBJECT_LABEL: &[u8] = b"object";
const VERDICT_LABEL: &[u8] = b"verdict";

/// The XOR of the digests of all objects and verdicts.
///
/// It detects divergence caused by faults. It is not collision resistant against an attacker;
/// the log and the authenticated links keep attackers out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct XorDigest([u8; 32]);

impl XorDigest {
    /// Adds the object, or removes it if it was added before.
    pub(super) fn toggle_object(&mut self, number: u64, change: &ObjectChange) {
        let mut hasher = Sha256::new_with_prefix(OBJECT_LABEL);
        hasher.update(number.to_be_bytes());
        hasher.update(serde_json::to_vec(change).expect("an object has only string keys"));
        self.toggle(hasher);
    }

    /// Adds the verdict, or removes it if it was added before.
    pub(super) fn toggle_verdict(&mut self, number: u64, verdict: &TicketVerdict) {
        let mut hasher = Sha256::new_with_prefix(VERDICT_LABEL);
        hasher.update(number.to_be_bytes());
        hasher.update(verdict.digest.bytes());
        hasher.update(verdict.offset.to_be_bytes());
        hasher.update([verdict.accepted.into()]);
        self.toggle(hasher);
    }

    /// The digest of the state: the XOR of objects and verdicts, the offset and the floor.
    pub(super) fn digest(&self, next_offset: u64, floor: u64) -> Sha256Digest {
        let mut hasher = Sha256::new_with_prefix(self.0);
        hasher.update(next_offset.to_be_bytes());
        hasher.update(floor.to_be_bytes());
        Sha256Digest::from_bytes(hasher.finalize().into())
    }

    fn toggle(&mut self, hasher: Sha256) {
        let digest: [u8; 32] = hasher.finalize().into();
        self.0.iter_mut().zip(digest).for_each(|(total, byte)| *total ^= byte);
    }
}
