//! The state that a prefix of the ticket stream folds to.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

use super::digest::Sha256Digest;
use super::key_index::KeyIndex;
pub use super::key_index::KeyOwner;
use super::organisation::OrganisationState;
use super::route::RouteState;
use super::state_digest::XorDigest;
use super::ticket::{ChangeTicket, ObjectChange, ObjectKey, ObjectKind, TicketFault};
use super::verdict::{TicketVerdict, VerdictTable};
use crate::error::ResultCode;

/// The part of the state that operators are shown.
#[derive(Debug, Serialize)]
pub struct StateReport<'a> {
    /// The offset after the last record folded in.
    pub next_offset: u64,
    /// The digest of the whole state; daemons with one offset have one digest.
    pub digest: Sha256Digest,
    /// Organisations in force.
    pub organisations: &'a BTreeMap<Arc<str>, Arc<OrganisationState>>,
    /// Routes in force.
    pub routes: &'a BTreeMap<Arc<str>, Arc<RouteState>>,
}

/// What folding a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The ticket with this number is in force.
    Accepted(u64),
    /// The ticket was folded in before and accepted.
    Repeated(u64),
    /// The ticket changes nothing: its number is old.
    Stale(u64),
    /// The ticket changes nothing: another one has its number.
    Conflict(u64),
    /// The record is torn or corrupt and changes nothing.
    Malformed,
    /// The record is of a newer release and changes nothing here.
    NewerFormat(u16),
}

impl ApplyOutcome {
    /// The ticket's number, if the record held a ticket.
    pub fn number(self) -> Option<u64> {
        match self {
            ApplyOutcome::Accepted(number)
            | ApplyOutcome::Repeated(number)
            | ApplyOutcome::Stale(number)
            | ApplyOutcome::Conflict(number) => Some(number),
            ApplyOutcome::Malformed | ApplyOutcome::NewerFormat(_) => None,
        }
    }

    /// The result that an operator sees.
    pub fn code(self) -> ResultCode {
        match self {
            ApplyOutcome::Accepted(_) | ApplyOutcome::Repeated(_) => ResultCode::Answered,
            ApplyOutcome::Stale(_) => ResultCode::TicketStale,
            ApplyOutcome::Conflict(_) => ResultCode::TicketConflict,
            ApplyOutcome::Malformed | ApplyOutcome::NewerFormat(_) => ResultCode::TicketMalformed,
        }
    }
}

/// Configuration folded from the log, up to an offset.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    /// The offset after the last record folded in.
    pub next_offset: u64,
    /// Organisations in force.
    pub organisations: BTreeMap<Arc<str>, Arc<OrganisationState>>,
    /// Routes in force.
    pub routes: BTreeMap<Arc<str>, Arc<RouteState>>,
    /// For each object, the number of the last ticket that touched it, in the order of the keys.
    touched: Vec<(ObjectKey, u64)>,
    verdicts: VerdictTable,
    keys: Arc<KeyIndex>,
    sum: XorDigest,
    skipped_newer: u64,
}

impl ConfigState {
    /// Folds the record at `offset` in.
    ///
    /// The outcome depends on the prefix of the log alone: a ticket is accepted, all of it or
    /// none, if its number is above the floor of remembered numbers, was not used before and is
    /// higher than that of every object it touches. Any other record changes nothing but the
    /// offset, except that the number of a stale ticket counts as used.
    pub fn apply_record(&mut self, offset: u64, record: &[u8]) -> ApplyOutcome {
        self.next_offset = offset + 1;
        match ChangeTicket::parse(record) {
            Ok(ticket) => self.apply_ticket(offset, &ticket, Sha256Digest::of(record)),
            Err(TicketFault::Malformed { .. }) => ApplyOutcome::Malformed,
            Err(TicketFault::NewerFormat { format }) => {
                self.skipped_newer += 1;
                ApplyOutcome::NewerFormat(format)
            }
        }
    }

    fn apply_ticket(
        &mut self,
        offset: u64,
        ticket: &ChangeTicket,
        digest: Sha256Digest,
    ) -> ApplyOutcome {
        let number = ticket.number;
        if let Some(verdict) = self.verdicts.get(number) {
            return match (verdict.digest == digest, verdict.accepted) {
                (true, true) => ApplyOutcome::Repeated(number),
                (true, false) => ApplyOutcome::Stale(number),
                (false, _) => ApplyOutcome::Conflict(number),
            };
        }
        if number <= self.verdicts.floor() {
            return ApplyOutcome::Stale(number);
        }
        let accepted = !self.is_stale(ticket);
        if accepted {
            ticket.objects.iter().for_each(|change| self.apply_change(number, change));
        }
        self.remember(number, TicketVerdict { digest, offset, accepted });
        if accepted { ApplyOutcome::Accepted(number) } else { ApplyOutcome::Stale(number) }
    }

    /// The verdict on the ticket with this number, if it is remembered.
    pub fn verdict(&self, number: u64) -> Option<&TicketVerdict> {
        self.verdicts.get(number)
    }

    /// The verdicts on all tickets that are remembered.
    pub fn verdicts(&self) -> &VerdictTable {
        &self.verdicts
    }

    /// Whether a ticket with a new number would change nothing, now and for ever.
    pub fn is_stale(&self, ticket: &ChangeTicket) -> bool {
        let passed = |change: &ObjectChange| self.touched_by(&change.key()) >= ticket.number;
        ticket.number <= self.verdicts.floor() || ticket.objects.iter().any(passed)
    }

    /// The owner of the key with this digest.
    pub fn key_owner(&self, digest: &Sha256Digest) -> KeyOwner {
        self.keys.owner(digest)
    }

    /// The route with the longest prefix that matches.
    pub fn route(&self, method: &str, path: &str) -> Option<(&Arc<str>, &Arc<RouteState>)> {
        let matching = self.routes.iter().filter(|(_, route)| route.matches(method, path));
        matching.max_by_key(|(_, route)| route.prefix.len())
    }

    /// The state in force of an object, as a change that would put it there.
    pub fn object(&self, key: &ObjectKey) -> ObjectChange {
        let name = key.name.clone();
        match key.kind {
            ObjectKind::Organisation => {
                let state = self.organisations.get(&name).map(|state| (**state).clone());
                ObjectChange::Organisation { name, state }
            }
            ObjectKind::Route => {
                let state = self.routes.get(&name).map(|state| (**state).clone());
                ObjectChange::Route { name, state }
            }
        }
    }

    /// The digest of the whole state; equal prefixes of the log give equal digests.
    pub fn digest(&self) -> Sha256Digest {
        self.sum.digest(self.next_offset, self.verdicts.floor())
    }

    /// Records of a newer release that this one could not read.
    pub fn skipped_newer(&self) -> u64 {
        self.skipped_newer
    }

    /// The state as operators see it.
    pub fn report(&self) -> StateReport<'_> {
        StateReport {
            next_offset: self.next_offset,
            digest: self.digest(),
            organisations: &self.organisations,
            routes: &self.routes,
        }
    }

    /// Objects that were touched, with the last ticket's number.
    pub fn touched(&self) -> impl ExactSizeIterator<Item = &(ObjectKey, u64)> {
        self.touched.iter()
    }

    /// Rebuilds the state that a snapshot holds.
    pub(super) fn restore(
        next_offset: u64,
        objects: &[(ObjectChange, u64)],
        verdicts: VerdictTable,
    ) -> Self {
        let mut state = ConfigState { next_offset, ..ConfigState::default() };
        objects.iter().for_each(|(change, number)| state.apply_change(*number, change));
        verdicts.iter().for_each(|(number, verdict)| state.sum.toggle_verdict(*number, verdict));
        state.verdicts = verdicts;
        state
    }

    fn touched_by(&self, key: &ObjectKey) -> u64 {
        self.position(key).map_or(0, |index| self.touched[index].1)
    }

    fn position(&self, key: &ObjectKey) -> Result<usize, usize> {
        self.touched.binary_search_by(|(touched, _)| touched.cmp(key))
    }

    fn apply_change(&mut self, number: u64, change: &ObjectChange) {
        let key = change.key();
        match self.position(&key) {
            Ok(index) => {
                let old = self.object(&key);
                self.sum.toggle_object(self.touched[index].1, &old);
                self.touched[index].1 = number;
            }
            Err(index) => self.touched.insert(index, (key, number)),
        }
        self.sum.toggle_object(number, change);
        match change {
            ObjectChange::Organisation { name, state } => self.put_organisation(name, state),
            ObjectChange::Route { name, state: Some(state) } => {
                self.routes.insert(name.clone(), Arc::new(state.clone()));
            }
            ObjectChange::Route { name, state: None } => {
                self.routes.remove(name);
            }
        }
    }

    fn put_organisation(&mut self, name: &Arc<str>, state: &Option<OrganisationState>) {
        let old = match state {
            Some(state) => self.organisations.insert(name.clone(), Arc::new(state.clone())),
            None => self.organisations.remove(name),
        };
        let old_keys = old.as_ref().map(|old| &old.keys);
        if old_keys != state.as_ref().map(|state| &state.keys) {
            Arc::make_mut(&mut self.keys).replace(name, old.as_deref(), state.as_ref());
        }
    }

    fn remember(&mut self, number: u64, verdict: TicketVerdict) {
        self.sum.toggle_verdict(number, &verdict);
        if let Some((number, forgotten)) = self.verdicts.insert(number, verdict) {
            self.sum.toggle_verdict(number, &forgotten);
            self.drop_tombstones();
        }
    }

    /// Forgets deleted objects that no ticket above the floor can be too old for.
    fn drop_tombstones(&mut self) {
        let floor = self.verdicts.floor();
        let (organisations, routes) = (&self.organisations, &self.routes);
        let sum = &mut self.sum;
        self.touched.retain(|(key, number)| {
            let exists = match key.kind {
                ObjectKind::Organisation => organisations.contains_key(&key.name),
                ObjectKind::Route => routes.contains_key(&key.name),
            };
            let kept = exists || *number > floor;
            if !kept {
                sum.toggle_object(*number, &ObjectChange::deleted(key));
            }
            kept
        });
    }
}
