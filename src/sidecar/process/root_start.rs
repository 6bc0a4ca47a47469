//! Admission of roots at a daemon that has just started: paced until a peer tells what it knows.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use serde::Serialize;

use super::decision_log::LineCategory;
use super::sidecar_shared::SidecarShared;
use crate::clock::MilliTime;
use crate::policy::root_admission::RootKnowledge;
use crate::policy::start_pace::{PacedEnd, StartPace};

/// Peers that a starting daemon asks for what they know of roots: one that runs answers, and in a
/// fleet that starts whole none knows more.
const ASKS_MAX: u32 = 3;

/// Pace of the roots after a start.
#[derive(Debug, Default)]
pub(crate) struct RootStart {
    pace: Mutex<StartPace>,
    asked: AtomicU32,
}

/// Log line of what a peer told of roots.
#[derive(Serialize)]
struct KnowledgeLine<'a> {
    peer: &'a str,
    routes: usize,
    fractions: &'a [(Arc<str>, f32)],
}

impl RootStart {
    /// Admits a root, which is in flight until [`RootStart::end_root`]; `false` if as many are in
    /// flight as the pace allows.
    pub(crate) fn admit(&self, shared: &SidecarShared, route: &Arc<str>) -> bool {
        let mut pace = self.lock();
        let is_admitted = pace.admit(shared.clock.now(), route);
        let window = pace.window();
        drop(pace);
        shared.metrics.start_window.set(window.map_or(0, i64::from));
        if !is_admitted {
            shared.metrics.count("start_pace_refused");
        }
        is_admitted
    }

    /// Records the end of a root that was admitted at `admitted`.
    pub(crate) fn end_root(
        &self,
        shared: &SidecarShared,
        route: &Arc<str>,
        admitted: MilliTime,
        end: PacedEnd,
    ) {
        let mut pace = self.lock();
        let was_cut = pace.end_root(shared.clock.now(), route, admitted, end);
        drop(pace);
        if was_cut {
            shared.metrics.count("start_pace_cut");
        }
    }

    /// Whether to ask another peer for what it knows of roots.
    pub(crate) fn may_ask(&self) -> bool {
        self.lock().is_active() && self.asked.fetch_add(1, Ordering::Relaxed) < ASKS_MAX
    }

    /// What this daemon knows of roots, for one that has just started; empty while it has just
    /// started itself.
    pub(crate) fn knowledge(&self, shared: &SidecarShared) -> RootKnowledge {
        if self.lock().is_active() {
            return RootKnowledge::default();
        }
        shared.root_admission.lock().expect("lock not poisoned").knowledge()
    }

    /// Takes over what a peer knows of roots, and admits as it does from now on.
    pub(crate) fn learn(&self, shared: &SidecarShared, peer: &str, knowledge: &RootKnowledge) {
        let mut pace = self.lock();
        if knowledge.routes.is_empty() || !pace.is_active() {
            return;
        }
        pace.finish();
        drop(pace);
        shared.root_admission.lock().expect("lock not poisoned").learn(knowledge);
        shared.metrics.start_window.set(0);
        let (routes, fractions) = (knowledge.routes.len(), &knowledge.fractions[..]);
        let line = KnowledgeLine { peer, routes, fractions };
        shared.log.write(LineCategory::Change, "root-costs-learned", &line);
    }

    fn lock(&self) -> MutexGuard<'_, StartPace> {
        self.pace.lock().expect("lock not poisoned")
    }
}
