//! Finds the run that made a call.
//!
//! A backend server's own calls carry no context. Many servers derive the id of a call from that
//! of its run, `RUN.CALL`; where they do not, the deadline tells: calls expire when their run does,
//! and the daemon beside the server knows the deadline of every run there. Rank and cost of the
//! root request follow its calls this way.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::MilliTime;

/// Deadlines of call and parent differ by the way to the backend server and back, and rounding.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(40);
/// Stands between the id of a run and what a call adds to it.
const ID_SEPARATOR: char = '.';

/// Runs in flight at one backend server.
#[derive(Debug)]
pub struct RunRegistry<T> {
    runs: BTreeMap<RunKey, T>,
    by_id: HashMap<Arc<str>, RunKey>,
    next: u64,
}

impl<T> Default for RunRegistry<T> {
    fn default() -> Self {
        RunRegistry { runs: BTreeMap::new(), by_id: HashMap::new(), next: 0 }
    }
}

/// Names an entry of a [`RunRegistry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunKey {
    deadline: MilliTime,
    number: u64,
}

impl<T> RunRegistry<T> {
    /// Notes a run of the request with this id that expires at `deadline`.
    pub fn start(&mut self, id: &Arc<str>, deadline: MilliTime, run: T) -> RunKey {
        self.next += 1;
        let entry = RunKey { deadline, number: self.next };
        self.runs.insert(entry, run);
        self.by_id.insert(id.clone(), entry);
        entry
    }

    /// Forgets a run of the request with this id and returns what was noted of it.
    pub fn end(&mut self, id: &str, entry: RunKey) -> Option<T> {
        if self.by_id.get(id) == Some(&entry) {
            self.by_id.remove(id);
        }
        self.runs.remove(&entry)
    }

    /// The run that made the call with this id and deadline: by its id, or else the one whose
    /// deadline is nearest, within the tolerance.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::run_registry::RunRegistry;
    /// let mut book = RunRegistry::default();
    /// book.start(&"a".into(), MilliTime(1_000), "run a");
    /// book.start(&"b".into(), MilliTime(1_400), "run b");
    /// assert_eq!(book.parent("a.7", MilliTime(1_395)), Some(&"run a"));
    /// assert_eq!(book.parent("x", MilliTime(1_395)), Some(&"run b"));
    /// assert_eq!(book.parent("x", MilliTime(3_000)), None);
    /// ```
    pub fn parent(&self, call_id: &str, deadline: MilliTime) -> Option<&T> {
        let prefix = call_id.rsplit_once(ID_SEPARATOR).map(|(prefix, _)| prefix);
        let by_id = prefix.and_then(|prefix| self.by_id.get(prefix));
        let entry = by_id.copied().or_else(|| self.nearest(deadline))?;
        self.runs.get(&entry)
    }

    fn nearest(&self, deadline: MilliTime) -> Option<RunKey> {
        let bound = RunKey { deadline, number: 0 };
        let after = self.runs.range(bound..).next();
        let before = self.runs.range(..bound).next_back();
        let distance = |at: MilliTime| at.since(deadline).max(deadline.since(at));
        let entries = after.into_iter().chain(before).map(|(entry, _)| *entry);
        let nearest = entries.min_by_key(|entry| distance(entry.deadline))?;
        (distance(nearest.deadline) <= DEADLINE_TOLERANCE).then_some(nearest)
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
