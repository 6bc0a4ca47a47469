//! Claimants that many remembered claims refer to.

use std::collections::HashSet;
use std::sync::Arc;

use crate::process::members::InstanceId;

const FIRST_SWEEP: usize = 1024;

/// Shared claimants; those that no claim refers to any more are dropped now and then.
#[derive(Debug)]
pub struct ClaimantPool {
    claimants: HashSet<Arc<InstanceId>>,
    sweep_at: usize,
}

impl Default for ClaimantPool {
    fn default() -> Self {
        ClaimantPool { claimants: HashSet::new(), sweep_at: FIRST_SWEEP }
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
            self.sweep_at = FIRST_SWEEP.max(2 * self.claimants.len());
        }
        let shared = Arc::new(instance);
        self.claimants.insert(shared.clone());
        shared
    }
}
