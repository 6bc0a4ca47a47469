//! The open connections of a listener, and how one of them is closed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::policy::connection_roster::{ConnectionRoster, ConnectionStanding, RosterLimits};

/// Time for a new connection to show something, before the next one can take its place.
const EVICTION_PAUSE: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct TableState {
    roster: ConnectionRoster,
    handles: HashMap<u64, AbortHandle>,
}

/// The connections of one listener.
#[derive(Debug)]
pub(crate) struct ConnectionTable(Mutex<TableState>);

/// The place of a connection in its table, given up when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionSeat {
    table: Arc<ConnectionTable>,
    number: u64,
}

impl ConnectionTable {
    pub(crate) fn new(limits: RosterLimits) -> Arc<Self> {
        let roster = ConnectionRoster::new(limits);
        Arc::new(ConnectionTable(Mutex::new(TableState { roster, handles: HashMap::new() })))
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.0.lock().expect("lock not poisoned")
    }

    /// Adds a connection that has shown nothing yet, and has `spawn` start its task; returns whether
    /// another one is closed for it.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        spawn: impl FnOnce(ConnectionSeat) -> AbortHandle,
    ) -> bool {
        let has_evicted = {
            // A seat that is dropped at once, on another thread, waits for the lock.
            let mut state = self.lock();
            let (number, evicted) = state.roster.admit();
            let handle = spawn(ConnectionSeat { table: self.clone(), number });
            state.handles.insert(number, handle);
            state.close(evicted)
        };
        if has_evicted {
            sleep(EVICTION_PAUSE).await;
        }
        has_evicted
    }

    /// Sets the limits for the connections that are admitted from now on.
    pub(crate) fn set_limits(&self, limits: RosterLimits) {
        self.lock().roster.set_limits(limits);
    }

    /// The connections of this standing.
    pub(crate) fn count(&self, standing: ConnectionStanding) -> usize {
        self.lock().roster.count(standing)
    }
}

impl TableState {
    /// Closes a connection, if any; returns whether there was one.
    fn close(&mut self, evicted: Option<u64>) -> bool {
        let handle = evicted.and_then(|number| self.handles.remove(&number));
        handle.inspect(AbortHandle::abort).is_some()
    }
}

impl ConnectionSeat {
    /// Records what the peer has shown; returns whether another connection is closed for it.
    pub(crate) fn promote(&self, standing: ConnectionStanding) -> bool {
        let mut state = self.table.lock();
        let evicted = state.roster.promote(self.number, standing);
        state.close(evicted)
    }
}

impl Drop for ConnectionSeat {
    fn drop(&mut self) {
        let mut state = self.table.lock();
        state.roster.remove(self.number);
        state.handles.remove(&self.number);
    }
}
