//! Registry of running requests that finds the run that made a call.
//!
//! The calls of a backend server carry no context. Many servers derive the id of a call from the id
//! of its run, `RUN.CALL`. For others the run is found by its deadline: a call expires with its
//! run, and the daemon has the deadlines of all runs of its server. The call then gets the rank of
//! its root request, and its cost is added to that run.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::MilliTime;

/// Deadlines of call and parent differ by the round trip to the backend server and by rounding.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(40);
/// Separates the id of a run from the suffix of a call.
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

/// Key of a run in a [`RunRegistry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunKey {
    deadline: MilliTime,
    number: u64,
}

impl<T> RunRegistry<T> {
    /// Adds a run of the request with this id that expires at `deadline`.
    pub fn start(&mut self, id: &Arc<str>, deadline: MilliTime, run: T) -> RunKey {
        self.next += 1;
        let key = RunKey { deadline, number: self.next };
        self.runs.insert(key, run);
        self.by_id.insert(id.clone(), key);
        key
    }

    /// Removes a run of the request with this id and returns its value.
    pub fn end(&mut self, id: &str, key: RunKey) -> Option<T> {
        if self.by_id.get(id) == Some(&key) {
            self.by_id.remove(id);
        }
        self.runs.remove(&key)
    }

    /// The run that made the call with this id and deadline: found by the id, otherwise by the
    /// nearest deadline within the tolerance.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use lentilway::policy::run_registry::RunRegistry;
    /// let mut registry = RunRegistry::default();
    /// registry.start(&"a".into(), MilliTime(1_000), "run a");
    /// registry.start(&"b".into(), MilliTime(1_400), "run b");
    /// assert_eq!(registry.parent("a.7", MilliTime(1_395)), Some(&"run a"));
    /// assert_eq!(registry.parent("x", MilliTime(1_395)), Some(&"run b"));
    /// assert_eq!(registry.parent("x", MilliTime(3_000)), None);
    /// ```
    pub fn parent(&self, call_id: &str, deadline: MilliTime) -> Option<&T> {
        let prefix = call_id.rsplit_once(ID_SEPARATOR).map(|(prefix, _)| prefix);
        let by_id = prefix.and_then(|prefix| self.by_id.get(prefix));
        let key = by_id.copied().or_else(|| self.nearest(deadline))?;
        self.runs.get(&key)
    }

    fn nearest(&self, deadline: MilliTime) -> Option<RunKey> {
        let bound = RunKey { deadline, number: 0 };
        let after = self.runs.range(bound..).next();
        let before = self.runs.range(..bound).next_back();
        let distance = |at: MilliTime| at.since(deadline).max(deadline.since(at));
        let keys = after.into_iter().chain(before).map(|(key, _)| *key);
        let nearest = keys.min_by_key(|key| distance(key.deadline))?;
        (distance(nearest.deadline) <= DEADLINE_TOLERANCE).then_some(nearest)
    }

    /// The values of all runs in flight.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.runs.values()
    }

    /// Number of runs in flight.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no run is in flight.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
