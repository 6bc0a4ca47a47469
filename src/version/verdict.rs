//! Verdicts on tickets, remembered for a bounded number of them.

use serde::{Deserialize, Serialize};

use super::digest::Sha256Digest;

/// The number of remembered tickets, those with the highest numbers.
///
/// Acceptance depends on it: changing it requires a new format of tickets and snapshots.
pub const REMEMBERED_TICKETS: usize = 8192;

/// Whether a ticket was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketVerdict {
    /// The digest of the first ticket with this number.
    pub digest: Sha256Digest,
    /// The offset of the ticket's record.
    pub offset: u64,
    /// Whether the ticket is in force.
    pub accepted: bool,
}

/// The verdicts on the tickets with the highest numbers, and the floor of the numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerdictTable {
    floor: u64,
    verdicts: Vec<(u64, TicketVerdict)>,
}

impl VerdictTable {
    /// Restores the table of a snapshot; the numbers must be ascending.
    pub(super) fn restore(floor: u64, verdicts: Vec<(u64, TicketVerdict)>) -> Self {
        VerdictTable { floor, verdicts }
    }

    /// The verdict on the ticket with this number, if it is remembered.
    pub fn get(&self, number: u64) -> Option<&TicketVerdict> {
        self.position(number).ok().map(|index| &self.verdicts[index].1)
    }

    /// Numbers up to this one are stale unless they are remembered.
    ///
    /// ```
    /// use lentilway::version::verdict::VerdictTable;
    /// assert_eq!(VerdictTable::default().floor(), 0);
    /// ```
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// The remembered verdicts, in ascending order of the numbers.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &(u64, TicketVerdict)> {
        self.verdicts.iter()
    }

    /// Remembers a verdict and returns the one that was evicted for it.
    pub(super) fn insert(
        &mut self,
        number: u64,
        verdict: TicketVerdict,
    ) -> Option<(u64, TicketVerdict)> {
        match self.position(number) {
            Ok(index) => self.verdicts[index].1 = verdict,
            Err(index) => self.verdicts.insert(index, (number, verdict)),
        }
        if self.verdicts.len() < REMEMBERED_TICKETS {
            return None;
        }
        // Evicts one early, so that there is a free entry for the next ticket.
        let evicted = self.verdicts.remove(0);
        self.floor = evicted.0;
        Some(evicted)
    }

    fn position(&self, number: u64) -> Result<usize, usize> {
        self.verdicts.binary_search_by_key(&number, |(number, _)| *number)
    }
}
