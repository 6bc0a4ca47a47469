//! Interned claimant identities, shared by the retained claims.

use std::collections::HashSet;
use std::sync::Arc;

use crate::process::members::InstanceId;

const MIN_SWEEP_SIZE: usize = 1024;

/// Interned claimants. Unreferenced ones are removed when the pool has doubled in size.
#[derive(Debug)]
pub struct ClaimantPool {
    claimants: HashSet<Arc<InstanceId>>,
    sweep_at: usize,
}

impl Default for ClaimantPool {
    fn default() -> Self {
        ClaimantPool { claimants: HashSet::new(), sweep_at: MIN_SWEEP_SIZE }
    }
}

impl ClaimantPool {
    /// The shared copy of `instance`.
    pub fn intern(&mut self, instance: InstanceId) -> Arc<InstanceId> {
        if let Some(known) = self.claimants.get(&instance) {
            return known.clone();
        }
        if self.claimants.len() >= self.sweep_at {
            self.claimants.retain(|claimant| Arc::strong_count(claimant) > 1);
            self.sweep_at = MIN_SWEEP_SIZE.max(2 * self.claimants.len());
        }
        let shared = Arc::new(instance);
        self.claimants.insert(shared.clone());
        shared
    }
}
