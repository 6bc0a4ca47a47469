//! Expected sizes of answers.
//!
//! Handles callers that read long answers slowly: while there is no memory for a long answer, a
//! request for it is refused before it runs, and requests with short answers are served. The size
//! is learned by path, and by route for paths that were not seen lately.

use std::sync::atomic::{AtomicUsize, Ordering};

use xxhash_rust::xxh3::xxh3_64;

/// Paths and routes that are told apart; others with the same hash share an entry.
const ENTRIES: usize = 2_048;
/// The largest recent size of a route's answers falls by this divisor with each smaller one.
const DECAY_DIVISOR: usize = 16;

/// The last sizes of answers, by path and by route.
#[derive(Debug)]
pub struct AnswerSizes {
    /// A size and one; 0 if unknown.
    entries: Box<[AtomicUsize]>,
}

impl Default for AnswerSizes {
    fn default() -> Self {
        AnswerSizes { entries: (0..ENTRIES).map(|_| AtomicUsize::new(0)).collect() }
    }
}

impl AnswerSizes {
    /// Records the size of an answer.
    ///
    /// ```
    /// use lentilway::policy::answer_size::AnswerSizes;
    /// let sizes = AnswerSizes::default();
    /// assert_eq!(sizes.expected("films", "/films/1"), 0);
    /// sizes.observe("films", "/films/1", 8 << 20);
    /// sizes.observe("films", "/films/list", 200);
    /// assert_eq!(sizes.expected("films", "/films/1?part=2"), 8 << 20);
    /// assert_eq!(sizes.expected("films", "/films/list"), 200);
    /// assert!(sizes.expected("films", "/films/2") > 7 << 20);
    /// ```
    pub fn observe(&self, route: &str, path: &str, size: usize) {
        self.entry(path_of(path)).store(size + 1, Ordering::Relaxed);
        let entry = self.entry(route);
        let largest = entry.load(Ordering::Relaxed);
        entry.store((largest - largest / DECAY_DIVISOR).max(size + 1), Ordering::Relaxed);
    }

    /// The expected size of the answer; 0 if nothing is known of it.
    pub fn expected(&self, route: &str, path: &str) -> usize {
        let entries = [path_of(path), route].map(|key| self.entry(key).load(Ordering::Relaxed));
        entries.into_iter().find_map(|entry| entry.checked_sub(1)).unwrap_or(0)
    }

    fn entry(&self, key: &str) -> &AtomicUsize {
        &self.entries[xxh3_64(key.as_bytes()) as usize % ENTRIES]
    }
}

fn path_of(path: &str) -> &str {
    path.split('?').next().unwrap_or(path)
}
