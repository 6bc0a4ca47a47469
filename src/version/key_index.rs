//! Index from the digest of a key to its organisation.

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

use super::digest::Sha256Digest;
use super::organisation::{KeyEntry, OrganisationState};

/// The owner of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOwner {
    /// A valid key of this organisation.
    Organisation(Arc<str>),
    /// A withdrawn key.
    Withdrawn,
    /// The key of no organisation.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KeyListing {
    organisation: Arc<str>,
    withdrawn: bool,
}

/// The keys of all organisations, by digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyIndex {
    listings: HashMap<Sha256Digest, SmallVec<[KeyListing; 1]>>,
}

impl KeyIndex {
    /// The owner of the key with this digest.
    ///
    /// A key listed by several organisations is withdrawn if any of them withdrew it; otherwise
    /// it belongs to the first organisation by name.
    pub fn owner(&self, digest: &Sha256Digest) -> KeyOwner {
        let Some((listed, listings)) = self.listings.get_key_value(digest) else {
            return KeyOwner::Unknown;
        };
        if !listed.matches(digest) {
            return KeyOwner::Unknown;
        }
        if listings.iter().any(|listing| listing.withdrawn) {
            return KeyOwner::Withdrawn;
        }
        let first = listings.first().map(|listing| listing.organisation.clone());
        first.map_or(KeyOwner::Unknown, KeyOwner::Organisation)
    }

    /// Replaces the keys of an organisation's old state by those of its new state.
    pub(super) fn replace(
        &mut self,
        name: &Arc<str>,
        old: Option<&OrganisationState>,
        new: Option<&OrganisationState>,
    ) {
        keys(old).for_each(|entry| self.remove(name, entry));
        keys(new).for_each(|entry| self.insert(name, entry));
    }

    fn remove(&mut self, name: &Arc<str>, entry: &KeyEntry) {
        let Some(listings) = self.listings.get_mut(&entry.digest) else { return };
        listings.retain(|listing| listing.organisation != *name);
        if listings.is_empty() {
            self.listings.remove(&entry.digest);
        }
    }

    fn insert(&mut self, name: &Arc<str>, entry: &KeyEntry) {
        let listing = KeyListing { organisation: name.clone(), withdrawn: entry.withdrawn };
        let listings = self.listings.entry(entry.digest).or_default();
        let index = listings.partition_point(|known| known.organisation <= *name);
        listings.insert(index, listing);
    }
}

fn keys(state: Option<&OrganisationState>) -> impl Iterator<Item = &KeyEntry> {
    state.into_iter().flat_map(|state| state.keys.iter())
}
