//! Idle connections, which give way to new callers when there are as many as allowed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Time without a request after which a connection may be closed for another caller. A caller that
/// has just connected, or just got an answer, may already have sent its next request.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// The connections without a request, by the order in which they became idle.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections(Mutex<Waiting>);

#[derive(Debug, Default)]
struct Waiting {
    next_ticket: u64,
    by_ticket: BTreeMap<u64, (Instant, Arc<Notify>)>,
}

impl IdleConnections {
    /// Tells the connection that has been idle longest to close, if one has been long enough.
    pub(crate) fn close_longest(&self) -> Closing {
        let mut waiting = lock(&self.0);
        match waiting.by_ticket.first_entry() {
            Some(first) if first.get().0.elapsed() >= MIN_IDLE => {
                first.remove().1.notify_one();
                Closing::Started
            }
            _ => Closing::NoneIdle,
        }
    }

    fn enter(&self, close: &Arc<Notify>) -> u64 {
        let mut waiting = lock(&self.0);
        let ticket = waiting.next_ticket;
        waiting.next_ticket += 1;
        waiting.by_ticket.insert(ticket, (Instant::now(), Arc::clone(close)));
        ticket
    }

    fn leave(&self, ticket: u64) {
        lock(&self.0).by_ticket.remove(&ticket);
    }
}

/// Whether a connection was told to close.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Closing {
    Started,
    NoneIdle,
}

/// The use of one connection. It leaves the idle ones when it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionUse {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    idle: Arc<IdleConnections>,
    close: Arc<Notify>,
    state: Mutex<UseState>,
}

#[derive(Debug)]
enum UseState {
    Idle { ticket: u64 },
    Busy { requests: usize },
    Closed,
}

impl ConnectionUse {
    /// A new connection, which is idle.
    pub(crate) fn new(idle: Arc<IdleConnections>) -> ConnectionUse {
        let close = Arc::new(Notify::new());
        let state = Mutex::new(UseState::Idle { ticket: idle.enter(&close) });
        ConnectionUse { shared: Arc::new(Shared { idle, close, state }) }
    }

    /// Notified when the connection shall give way.
    pub(crate) fn close(&self) -> Arc<Notify> {
        Arc::clone(&self.shared.close)
    }

    /// Counts a request until the result is dropped.
    pub(crate) fn begin_request(&self) -> RequestUse {
        let mut state = lock(&self.shared.state);
        match &mut *state {
            UseState::Idle { ticket } => {
                self.shared.idle.leave(*ticket);
                *state = UseState::Busy { requests: 1 };
            }
            UseState::Busy { requests } => *requests += 1,
            UseState::Closed => {}
        }
        RequestUse { shared: Arc::clone(&self.shared) }
    }
}

impl Drop for ConnectionUse {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        if let UseState::Idle { ticket } = *state {
            self.shared.idle.leave(ticket);
        }
        // The body of an answer may outlive the connection and must not make it idle again.
        *state = UseState::Closed;
    }
}

/// A request and its answer, on a connection.
#[derive(Debug)]
pub(crate) struct RequestUse {
    shared: Arc<Shared>,
}

impl Drop for RequestUse {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        let UseState::Busy { requests } = &mut *state else { return };
        *requests -= 1;
        if *requests == 0 {
            let ticket = self.shared.idle.enter(&self.shared.close);
            *state = UseState::Idle { ticket };
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
