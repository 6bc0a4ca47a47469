//! Which connections a listener keeps when more come than it has room for.
//!
//! Handles crowds that open connections faster than these time out, or keep them open. A new
//! connection is accepted at once, and the least recent one of the same standing is closed for it:
//! connections that have shown nothing make room for each other only, and a peer that has shown who
//! it is keeps its place.

/// Connections that each listed peer may have: the last one, and one before it that may still be
/// closing.
const LISTED_MAX: usize = 2;

/// What a connection has shown of its peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStanding {
    /// Nothing yet.
    New,
    /// A whole request or message.
    Proven,
    /// The name of a member of the fleet, which this is the key of.
    Listed(u64),
}

/// Largest numbers of connections by standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RosterLimits {
    /// Those that have shown nothing.
    pub new: usize,
    /// Those that are proven and not listed.
    pub proven: usize,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct ConnectionRoster {
    limits: RosterLimits,
    /// In the order of their last promotion, the least recent one first.
    entries: Vec<(u64, ConnectionStanding)>,
    next: u64,
}

impl ConnectionRoster {
    /// A roster without connections.
    pub fn new(limits: RosterLimits) -> Self {
        ConnectionRoster { limits, entries: Vec::new(), next: 0 }
    }

    /// Sets the limits; connections beyond them stay until others take their places.
    pub fn set_limits(&mut self, limits: RosterLimits) {
        self.limits = limits;
    }

    /// Adds a connection; returns its number, and that of the connection to close for it.
    ///
    /// ```
    /// use lentilway::policy::connection_roster::{
    ///     ConnectionRoster, ConnectionStanding, RosterLimits,
    /// };
    /// let mut roster = ConnectionRoster::new(RosterLimits { new: 2, proven: 1 });
    /// let numbers = [(); 3].map(|()| roster.admit());
    /// assert_eq!(numbers, [(0, None), (1, None), (2, Some(0))]);
    /// assert_eq!(roster.promote(1, ConnectionStanding::Proven), None);
    /// assert_eq!(roster.promote(2, ConnectionStanding::Proven), Some(1));
    /// ```
    pub fn admit(&mut self) -> (u64, Option<u64>) {
        let number = self.next;
        self.next += 1;
        self.entries.push((number, ConnectionStanding::New));
        (number, self.evict(ConnectionStanding::New))
    }

    /// Raises the standing of a connection, or marks its use; returns the connection to close for it.
    pub fn promote(&mut self, number: u64, standing: ConnectionStanding) -> Option<u64> {
        let index = self.entries.iter().position(|(other, _)| *other == number)?;
        self.entries.remove(index);
        self.entries.push((number, standing));
        self.evict(standing)
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, number: u64) {
        self.entries.retain(|(other, _)| *other != number);
    }

    /// The connections of this standing.
    pub fn count(&self, standing: ConnectionStanding) -> usize {
        self.entries.iter().filter(|(_, other)| *other == standing).count()
    }

    /// Removes the least recent connection of this standing if there are too many.
    fn evict(&mut self, standing: ConnectionStanding) -> Option<u64> {
        let limit = match standing {
            ConnectionStanding::New => self.limits.new,
            ConnectionStanding::Proven => self.limits.proven,
            ConnectionStanding::Listed(_) => LISTED_MAX,
        };
        if self.count(standing) <= limit {
            return None;
        }
        let index = self.entries.iter().position(|(_, other)| *other == standing)?;
        Some(self.entries.remove(index).0)
    }
}
