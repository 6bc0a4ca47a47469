//! Finds the run that made a call.
//!
//! A backend server's own calls carry no context, but they expire when their parent does. The
//! daemon beside it knows the deadline of every run there, so the run whose deadline is nearest is
//! the parent. Rank and cost of the root request follow its calls this way.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::MilliTime;

/// Deadlines of call and parent differ by the way to the backend server and back, and rounding.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(40);

/// Runs in flight at one backend server, by deadline.
#[derive(Debug)]
pub struct RunBook<T> {
    runs: BTreeMap<(MilliTime, u64), T>,
    next: u64,
}

impl<T> Default for RunBook<T> {
    fn default() -> Self {
        RunBook { runs: BTreeMap::new(), next: 0 }
    }
}

/// Names an entry of a [`RunBook`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEntry {
    deadline: MilliTime,
    number: u64,
}

impl<T> RunBook<T> {
    /// Notes a run that expires at `deadline`.
    pub fn start(&mut self, deadline: MilliTime, run: T) -> RunEntry {
        self.next += 1;
        self.runs.insert((deadline, self.next), run);
        RunEntry { deadline, number: self.next }
    }

    /// Forgets a run and returns what was noted of it.
    pub fn end(&mut self, entry: RunEntry) -> Option<T> {
        self.runs.remove(&(entry.deadline, entry.number))
    }

    /// The run whose deadline is nearest to that of a call, within the tolerance.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::run_book::RunBook;
    /// let mut book = RunBook::default();
    /// book.start(MilliTime(1_000), "a");
    /// book.start(MilliTime(1_400), "b");
    /// assert_eq!(book.parent(MilliTime(1_395)), Some(&"b"));
    /// assert_eq!(book.parent(MilliTime(3_000)), None);
    /// ```
    pub fn parent(&self, deadline: MilliTime) -> Option<&T> {
        let after = self.runs.range((deadline, 0)..).next();
        let before = self.runs.range(..(deadline, 0)).next_back();
        let distance = |at: MilliTime| at.since(deadline).max(deadline.since(at));
        let nearest = after.into_iter().chain(before).min_by_key(|((at, _), _)| distance(*at))?;
        let ((at, _), run) = nearest;
        (distance(*at) <= DEADLINE_TOLERANCE).then_some(run)
    }

    /// Runs in flight.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether nothing runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
