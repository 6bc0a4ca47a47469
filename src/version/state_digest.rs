//! A digest of the whole state that each change updates in constant time.

use sha2::{Digest, Sha256};

use super::digest::Sha256Digest;
use super::ticket::ObjectChange;
use super::verdict::TicketVerdict;

const OBJECT_LABEL: &[u8] = b"object";
const VERDICT_LABEL: &[u8] = b"verdict";

/// The exclusive or of the digests of every object and verdict.
///
/// It finds differences that faults make; it does not withstand a forger, whom the log and the
/// authenticated links keep out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct XorDigest([u8; 32]);

impl XorDigest {
    /// Adds the object, or takes it out again.
    pub(super) fn toggle_object(&mut self, number: u64, change: &ObjectChange) {
        let mut hasher = Sha256::new_with_prefix(OBJECT_LABEL);
        hasher.update(number.to_be_bytes());
        hasher.update(serde_json::to_vec(change).expect("an object has only string keys"));
        self.toggle(hasher);
    }

    /// Adds the verdict, or takes it out again.
    pub(super) fn toggle_verdict(&mut self, number: u64, verdict: &TicketVerdict) {
        let mut hasher = Sha256::new_with_prefix(VERDICT_LABEL);
        hasher.update(number.to_be_bytes());
        hasher.update(verdict.digest.bytes());
        hasher.update(verdict.offset.to_be_bytes());
        hasher.update([verdict.accepted.into()]);
        self.toggle(hasher);
    }

    /// The digest of the sum with what the state holds beside objects and verdicts.
    pub(super) fn digest(&self, next_offset: u64, floor: u64) -> Sha256Digest {
        let mut hasher = Sha256::new_with_prefix(self.0);
        hasher.update(next_offset.to_be_bytes());
        hasher.update(floor.to_be_bytes());
        Sha256Digest::from_bytes(hasher.finalize().into())
    }

    fn toggle(&mut self, hasher: Sha256) {
        let digest: [u8; 32] = hasher.finalize().into();
        self.0.iter_mut().zip(digest).for_each(|(sum, byte)| *sum ^= byte);
    }
}
