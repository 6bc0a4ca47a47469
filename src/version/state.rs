//! The configuration state that results from applying a prefix of the ticket stream.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

use super::digest::Sha256Digest;
use super::key_index::KeyIndex;
pub use super::key_index::KeyOwner;
use super::organisation::OrganisationState;
use super::route::RouteState;
use super::state_digest::XorDigest;
use super::ticket::{ChangeTicket, ObjectChange, ObjectKey, ObjectKind, TicketError};
use super::verdict::{TicketVerdict, VerdictTable};
use crate::error::ResultCode;

/// The part of the state that is shown to operators.
#[derive(Debug, Serialize)]
pub struct StateReport<'a> {
    /// The offset after the last applied record.
    pub next_offset: u64,
    /// The digest of the whole state, equal in all daemons at one offset.
    pub digest: Sha256Digest,
    /// Organisations in force.
    pub organisations: &'a BTreeMap<Arc<str>, Arc<OrganisationState>>,
    /// Routes in force.
    pub routes: &'a BTreeMap<Arc<str>, Arc<RouteState>>,
}

/// The outcome of applying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The ticket with this number is in force.
    Accepted(u64),
    /// The ticket was applied and accepted before.
    Repeated(u64),
    /// The ticket changes nothing: its number is too low.
    Stale(u64),
    /// The ticket changes nothing: another ticket has its number.
    Conflict(u64),
    /// The record is truncated or corrupt and changes nothing.
    Malformed,
    /// The record has the format of a newer release and changes nothing.
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

/// The configuration after all records of the log up to an offset.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    /// The offset after the last applied record.
    pub next_offset: u64,
    /// Organisations in force.
    pub organisations: BTreeMap<Arc<str>, Arc<OrganisationState>>,
    /// Routes in force.
    pub routes: BTreeMap<Arc<str>, Arc<RouteState>>,
    /// For each object, the number of the last ticket that touched it, sorted by key.
    touched: Vec<(ObjectKey, u64)>,
    verdicts: VerdictTable,
    keys: Arc<KeyIndex>,
    digest_sum: XorDigest,
    skipped_newer: u64,
}

impl ConfigState {
    /// Applies the record at `offset`.
    ///
    /// The outcome depends only on the prefix of the log. A ticket is accepted atomically if its
    /// number is above the floor of remembered numbers, was not used before and is higher than
    /// the last number of every object it touches. Any other record only advances the offset,
    /// except that the number of a stale ticket counts as used.
    pub fn apply_record(&mut self, offset: u64, record: &[u8]) -> ApplyOutcome {
        self.next_offset = offset + 1;
        match ChangeTicket::parse(record) {
            Ok(ticket) => self.apply_ticket(offset, &ticket, Sha256Digest::of(record)),
            Err(TicketError::Malformed { .. }) => ApplyOutcome::Malformed,
            Err(TicketError::NewerFormat { format }) => {
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
        self.insert_verdict(number, TicketVerdict { digest, offset, accepted });
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

    /// Whether a ticket with an unused number can never take effect.
    pub fn is_stale(&self, ticket: &ChangeTicket) -> bool {
        let is_outdated = |change: &ObjectChange| self.last_number(&change.key()) >= ticket.number;
        ticket.number <= self.verdicts.floor() || ticket.objects.iter().any(is_outdated)
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

    /// The state in force of an object, as the change that produces it.
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
        self.digest_sum.digest(self.next_offset, self.verdicts.floor())
    }

    /// The number of records in a newer format, which this release skipped.
    pub fn skipped_newer(&self) -> u64 {
        self.skipped_newer
    }

    /// The report for operators.
    pub fn report(&self) -> StateReport<'_> {
        StateReport {
            next_offset: self.next_offset,
            digest: self.digest(),
            organisations: &self.organisations,
            routes: &self.routes,
        }
    }

    /// The touched objects, deleted ones included, with the number of the last ticket.
    pub fn touched(&self) -> impl ExactSizeIterator<Item = &(ObjectKey, u64)> {
        self.touched.iter()
    }

    /// Rebuilds the state of a snapshot.
    pub(super) fn restore(
        next_offset: u64,
        objects: &[(ObjectChange, u64)],
        verdicts: VerdictTable,
    ) -> Self {
        let mut state = ConfigState { next_offset, ..ConfigState::default() };
        objects.iter().for_each(|(change, number)| state.apply_change(*number, change));
        verdicts
            .iter()
            .for_each(|(number, verdict)| state.digest_sum.toggle_verdict(*number, verdict));
        state.verdicts = verdicts;
        state
    }

    fn last_number(&self, key: &ObjectKey) -> u64 {
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
                self.digest_sum.toggle_object(self.touched[index].1, &old);
                self.touched[index].1 = number;
            }
            Err(index) => self.touched.insert(index, (key, number)),
        }
        self.digest_sum.toggle_object(number, change);
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

    fn insert_verdict(&mut self, number: u64, verdict: TicketVerdict) {
        self.digest_sum.toggle_verdict(number, &verdict);
        if let Some((number, forgotten)) = self.verdicts.insert(number, verdict) {
            self.digest_sum.toggle_verdict(number, &forgotten);
            self.drop_tombstones();
        }
    }

    /// Drops tombstones at or below the floor, where any new ticket is stale by its number alone.
    fn drop_tombstones(&mut self) {
        let floor = self.verdicts.floor();
        let (organisations, routes) = (&self.organisations, &self.routes);
        let digest_sum = &mut self.digest_sum;
        self.touched.retain(|(key, number)| {
            let exists = match key.kind {
                ObjectKind::Organisation => organisations.contains_key(&key.name),
                ObjectKind::Route => routes.contains_key(&key.name),
            };
            let kept = exists || *number > floor;
            if !kept {
                digest_sum.toggle_object(*number, &ObjectChange::deleted(key));
            }
            kept
        });
    }
}
