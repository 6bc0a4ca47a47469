//! When a daemon reads the platform's store itself and when it asks other daemons.
//!
//! Handles hundreds of daemons that need every change within seconds from a store whose calls are
//! billed: one daemon of each group reads, the others ask it for records and proofs of freshness.
//!
//! Also handles a store that is down or refuses only some daemons. A daemon whose proof is stale
//! asks any others before it reads itself, the daemons of a group read one after the other, and
//! failed reads are repeated at growing, spread intervals.

use std::time::Duration;

/// The place of a daemon among those of its group that may read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderRank {
    /// Daemons of the group that come before it.
    pub before: usize,
    /// Whether one of them is reachable, and so reads for the group.
    pub has_reader: bool,
}

/// What a daemon does next to keep its copy of a topic fresh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// It reads the store; the read waits up to `wait` for changes.
    Read {
        /// Longest wait of the read.
        wait: Duration,
    },
    /// It asks other daemons and decides again after `pause`.
    Ask {
        /// Whether its proof is stale, so that it asks more daemons than its reader.
        is_stale: bool,
        /// Time until the next decision.
        pause: Duration,
    },
}

/// Intervals at which a group's reader reads a topic and the other daemons ask for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadSchedule {
    /// How long a read waits for changes.
    pub changes_wait: Duration,
    /// Time between requests to the reader.
    pub ask_interval: Duration,
    /// Age of the proof from which on any other daemon is asked.
    pub stale_age: Duration,
    /// Age of the proof from which on a daemon with a reader reads the store itself.
    pub own_read_age: Duration,
}

/// Time between requests to other daemons while the proof is stale.
const STALE_ASK_INTERVAL: Duration = Duration::from_millis(150);
/// Time in which the next daemon of a group takes over if those before it are unreachable.
const TAKEOVER_STEP: Duration = Duration::from_millis(100);
/// Delay of a daemon's own read for each daemon before it in the group: the first one that succeeds
/// spares the others. Later ones wait longer, since a store that refused so many is down for all.
const RANK_STEP: Duration = Duration::from_millis(100);
const LATE_RANK_STEP: Duration = Duration::from_millis(250);
/// Daemons with the shorter delay.
const EARLY_RANKS: usize = 4;
/// Longest time of a read while the store works.
const READ_TIME: Duration = Duration::from_millis(300);
/// Time in which the first daemons of each group try to read, if all readers fail.
const RANK_SPAN: Duration = Duration::from_millis(300);
/// Time that a stale daemon has to find another one with a fresh proof.
const STALE_SPAN: Duration = Duration::from_millis(200);
/// Transit and timer delays between a reader's proof and a daemon that asks for it.
const ASK_MARGIN: Duration = Duration::from_millis(100);
const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest wait of a read for changes.
const CHANGES_WAIT_MIN: Duration = Duration::from_millis(400);

impl ReadSchedule {
    /// The list of daemons rarely changes, and rates need a view younger than 6 s.
    pub const DIRECTORY: ReadSchedule = ReadSchedule {
        changes_wait: Duration::from_millis(4_000),
        ask_interval: Duration::from_millis(700),
        stale_age: Duration::from_millis(4_900),
        own_read_age: Duration::from_millis(5_200),
    };

    /// The schedule for the configuration, whose changes must be in force within `bound` also at
    /// a daemon whose reader missed them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::policy::read_schedule::ReadSchedule;
    /// let schedule = ReadSchedule::configuration(Duration::from_secs(3));
    /// assert_eq!(schedule.changes_wait, Duration::from_millis(1_800));
    /// assert_eq!(schedule.own_read_age, Duration::from_millis(2_400));
    /// ```
    pub fn configuration(bound: Duration) -> Self {
        let own_read_age = bound.saturating_sub(READ_TIME + RANK_SPAN);
        let stale_age = own_read_age.saturating_sub(STALE_SPAN);
        let changes_wait = stale_age.saturating_sub(ASK_INTERVAL + ASK_MARGIN);
        ReadSchedule {
            changes_wait: changes_wait.max(CHANGES_WAIT_MIN),
            ask_interval: ASK_INTERVAL,
            stale_age,
            own_read_age,
        }
    }

    /// The next step of a daemon. `proof_age` is the age of its proof, or the time since its start
    /// while it has none; `unled` the time for which its group has had no reachable reader.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::policy::read_schedule::{ReadSchedule, ReadStep, ReaderRank};
    /// let schedule = ReadSchedule::DIRECTORY;
    /// let first = ReaderRank { before: 0, has_reader: false };
    /// let step = schedule.next_step(Duration::ZERO, first, Duration::ZERO);
    /// assert_eq!(step, ReadStep::Read { wait: schedule.changes_wait });
    /// let other = ReaderRank { before: 2, has_reader: true };
    /// let step = schedule.next_step(Duration::ZERO, other, Duration::ZERO);
    /// assert_eq!(step, ReadStep::Ask { is_stale: false, pause: schedule.ask_interval });
    /// ```
    pub fn next_step(&self, proof_age: Duration, rank: ReaderRank, unled: Duration) -> ReadStep {
        let own_read_age = self.own_read_age + own_read_delay(rank.before);
        if proof_age >= own_read_age {
            return ReadStep::Read { wait: Duration::ZERO };
        }
        let is_stale = proof_age >= self.stale_age;
        let interval = if is_stale { STALE_ASK_INTERVAL } else { self.ask_interval };
        let mut remaining = own_read_age - proof_age;
        if !is_stale {
            remaining = remaining.min(self.stale_age - proof_age);
        }
        if !rank.has_reader {
            let takeover = times(TAKEOVER_STEP, rank.before).min(self.stale_age);
            if unled >= takeover {
                // A read that returns a change proves only the time at which it was sent.
                return ReadStep::Read { wait: self.changes_wait.saturating_sub(proof_age) };
            }
            remaining = remaining.min(takeover - unled);
        }
        ReadStep::Ask { is_stale, pause: interval.min(remaining) }
    }
}

fn own_read_delay(before: usize) -> Duration {
    let late = before.saturating_sub(EARLY_RANKS);
    times(RANK_STEP, before - late) + times(LATE_RANK_STEP, late)
}

fn times(step: Duration, count: usize) -> Duration {
    step.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}

/// The part of `span` that a daemon waits so that many do not act at once: by its key, which is a
/// hash.
///
/// ```
/// use std::time::Duration;
/// use lentilway::policy::read_schedule::spread_by_key;
/// assert_eq!(spread_by_key(u64::MAX / 2, Duration::from_millis(500)).as_millis(), 250);
/// ```
pub fn spread_by_key(key: u64, span: Duration) -> Duration {
    span.mul_f64(key as f64 / u64::MAX as f64)
}

/// Time in which daemons that start together read the directory for the first time after they
/// registered.
const FIRST_READ_SPAN: Duration = Duration::from_millis(500);

/// The delay until a daemon that has registered reads the directory. Of many that start together, the
/// one with the lowest key, which is the first of its group, reads soonest and tells the others.
///
/// ```
/// use std::time::Duration;
/// use lentilway::policy::read_schedule::first_read_delay;
/// assert_eq!(first_read_delay(0), Duration::ZERO);
/// assert_eq!(first_read_delay(u64::MAX / 2).as_millis(), 250);
/// ```
pub fn first_read_delay(key: u64) -> Duration {
    spread_by_key(key, FIRST_READ_SPAN)
}

/// Delay after the first failed read of a reader.
const READER_RETRY_DELAY: Duration = Duration::from_millis(150);
const READER_RETRY_DELAY_MAX: Duration = Duration::from_millis(900);
/// The same for a daemon with a reachable reader.
const FOLLOWER_RETRY_DELAY: Duration = Duration::from_millis(2_000);
const FOLLOWER_RETRY_DELAY_MAX: Duration = Duration::from_millis(8_000);

/// The delay until the next read after `failures` failed ones in a row, spread by `draw` (0 to 1)
/// over half to one and a half times the interval.
///
/// ```
/// use std::time::Duration;
/// use lentilway::policy::read_schedule::{ReaderRank, read_retry_delay};
/// let reader = ReaderRank { before: 0, has_reader: false };
/// assert_eq!(read_retry_delay(1, reader, 0.5), Duration::from_millis(150));
/// assert_eq!(read_retry_delay(2, reader, 0.5), Duration::from_millis(300));
/// assert_eq!(read_retry_delay(9, reader, 0.5), Duration::from_millis(900));
/// let follower = ReaderRank { before: 3, has_reader: true };
/// assert_eq!(read_retry_delay(1, follower, 0.0), Duration::from_secs(1));
/// ```
pub fn read_retry_delay(failures: u32, rank: ReaderRank, draw: f64) -> Duration {
    let (first, max) = match rank.has_reader {
        false => (READER_RETRY_DELAY, READER_RETRY_DELAY_MAX),
        true => (FOLLOWER_RETRY_DELAY, FOLLOWER_RETRY_DELAY_MAX),
    };
    let doublings = failures.saturating_sub(1).min(16);
    first.saturating_mul(1 << doublings).min(max).mul_f64(0.5 + draw)
}

/// The delay until the snapshot that the store's refusal of a position calls for. The store has
/// answered, so earlier failures do not add to it; a daemon with a reachable reader leaves that one
/// the time to read, if others may have failed like itself.
///
/// ```
/// use std::time::Duration;
/// use lentilway::policy::read_schedule::{ReaderRank, snapshot_delay};
/// let reader = ReaderRank { before: 0, has_reader: false };
/// assert_eq!(snapshot_delay(9, reader, 1.0), Duration::ZERO);
/// let follower = ReaderRank { before: 3, has_reader: true };
/// assert_eq!(snapshot_delay(0, follower, 1.0), Duration::ZERO);
/// assert_eq!(snapshot_delay(9, follower, 1.0), Duration::from_secs(3));
/// ```
pub fn snapshot_delay(failures: u32, rank: ReaderRank, draw: f64) -> Duration {
    match rank.has_reader && failures > 0 {
        true => read_retry_delay(1, rank, draw),
        false => Duration::ZERO,
    }
}
