//! Tracks idle connections, which are evicted for new callers at the connection limit.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Minimum idle time before a connection may be evicted. A caller that has just connected or
/// received a response may already have sent its next request.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(1);

/// The connections without a running request, in the order in which they became idle.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections(Mutex<IdleQueue>);

#[derive(Debug, Default)]
struct IdleQueue {
    /// Key of the next entry. Keys increase, so the first entry has been idle longest.
    next_position: u64,
    entries: BTreeMap<u64, (Instant, Arc<Notify>)>,
}

impl IdleConnections {
    /// Signals the connection that has been idle longest to close, if it has been idle for at least
    /// [`MIN_IDLE_BEFORE_EVICTION`].
    pub(crate) fn evict_oldest(&self) -> Eviction {
        let mut queue = lock(&self.0);
        match queue.entries.first_entry() {
            Some(first) if first.get().0.elapsed() >= MIN_IDLE_BEFORE_EVICTION => {
                first.remove().1.notify_one();
                Eviction::Started
            }
            _ => Eviction::NoCandidate,
        }
    }

    fn insert(&self, evicted: &Arc<Notify>) -> u64 {
        let mut queue = lock(&self.0);
        let position = queue.next_position;
        queue.next_position += 1;
        queue.entries.insert(position, (Instant::now(), Arc::clone(evicted)));
        position
    }

    fn remove(&self, position: u64) {
        lock(&self.0).entries.remove(&position);
    }
}

/// Result of [`IdleConnections::evict_oldest`].
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Eviction {
    Started,
    NoCandidate,
}

/// Tracks whether one connection is idle. Dropping it removes the connection from the idle ones.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    idle: Arc<IdleConnections>,
    evicted: Arc<Notify>,
    state: Mutex<ActivityState>,
}

#[derive(Debug)]
enum ActivityState {
    Idle { position: u64 },
    Busy { active_requests: usize },
    Closed,
}

impl ConnectionActivity {
    /// Registers a new connection as idle.
    pub(crate) fn new(idle: Arc<IdleConnections>) -> ConnectionActivity {
        let evicted = Arc::new(Notify::new());
        let state = Mutex::new(ActivityState::Idle { position: idle.insert(&evicted) });
        ConnectionActivity { shared: Arc::new(Shared { idle, evicted, state }) }
    }

    /// Returns the signal that is notified when the connection must close for another one.
    pub(crate) fn eviction_signal(&self) -> Arc<Notify> {
        Arc::clone(&self.shared.evicted)
    }

    /// Marks the connection as busy until the returned guard is dropped.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        let mut state = lock(&self.shared.state);
        match &mut *state {
            ActivityState::Idle { position } => {
                self.shared.idle.remove(*position);
                *state = ActivityState::Busy { active_requests: 1 };
            }
            ActivityState::Busy { active_requests } => *active_requests += 1,
            ActivityState::Closed => {}
        }
        RequestGuard { shared: Arc::clone(&self.shared) }
    }
}

impl Drop for ConnectionActivity {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        if let ActivityState::Idle { position } = *state {
            self.shared.idle.remove(position);
        }
        // The body of a response may outlive the connection. Its guard must not mark the connection
        // as idle again.
        *state = ActivityState::Closed;
    }
}

/// Marks a connection as busy while a request or the body of its response is in progress.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    shared: Arc<Shared>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        let ActivityState::Busy { active_requests } = &mut *state else { return };
        *active_requests -= 1;
        if *active_requests == 0 {
            let position = self.shared.idle.insert(&self.shared.evicted);
            *state = ActivityState::Idle { position };
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
