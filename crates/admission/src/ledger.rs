//! Memory of the attempts that a guard has seen.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use model::{AttemptId, ResultCode, Time};

/// Time that an attempt is remembered after its start-by deadline, so that a fence that follows a
/// lost link still learns the outcome.
pub const KEEP_AFTER_START_BY: Duration = Duration::from_secs(5);

/// Longest accepted distance of a start-by deadline. Routes allow timeouts of up to 10 minutes;
/// the margin covers the difference between the clocks of entry and guard.
pub const MAX_START_BY: Duration = Duration::from_secs(605);

/// What a guard knows about a fenced attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FenceAnswer {
    /// The attempt did not run and never will.
    NotRun,
    /// The attempt has been started and has not finished.
    Running,
    /// The attempt has run to its end.
    Ran,
    /// The attempt may have run: its record has expired, or a fence for it can't be recorded.
    Unknown,
}

/// State of a remembered attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    Queued,
    Running,
    Ran,
    /// Refused or fenced; the same code is given to each further copy.
    Refused(ResultCode),
}

#[derive(Debug)]
struct Entry {
    state: State,
    forget_at: Time,
}

/// Whether a new attempt can be recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Room {
    /// There is room for attempts that may start.
    Any,
    /// Only refusals and fences can still be recorded.
    RefusalsOnly,
    /// Nothing can be recorded.
    Full,
}

/// Remembers attempts until [`KEEP_AFTER_START_BY`] after their start-by deadline.
#[derive(Debug)]
pub(crate) struct Ledger {
    entries: HashMap<AttemptId, Entry>,
    expiry: BinaryHeap<Reverse<(Time, AttemptId)>>,
    capacity: usize,
}

impl Ledger {
    pub(crate) fn new(capacity: usize) -> Ledger {
        Ledger { entries: HashMap::new(), expiry: BinaryHeap::new(), capacity }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Room is kept back for refusals and fences, since a refusal that is not recorded is no
    /// evidence that a late copy won't run.
    pub(crate) fn room(&self) -> Room {
        match self.entries.len() {
            len if len < self.capacity => Room::Any,
            len if len < self.capacity + self.capacity / 8 => Room::RefusalsOnly,
            _ => Room::Full,
        }
    }

    pub(crate) fn state(&self, id: AttemptId) -> Option<State> {
        self.entries.get(&id).map(|entry| entry.state)
    }

    pub(crate) fn record(&mut self, id: AttemptId, state: State, start_by: Time) {
        let forget_at = start_by + KEEP_AFTER_START_BY;
        self.entries.insert(id, Entry { state, forget_at });
        self.expiry.push(Reverse((forget_at, id)));
    }

    /// Changes the state of a remembered attempt. An attempt that ends after its time in the
    /// ledger is dropped at once, since its place in the expiry order has passed.
    pub(crate) fn set(&mut self, id: AttemptId, state: State, now: Time) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.state = state;
        let has_ended = matches!(state, State::Ran | State::Refused(_));
        if has_ended && entry.forget_at <= now {
            self.entries.remove(&id);
        }
    }

    /// Drops the attempts whose time has passed, except those that are still queued or running.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some(Reverse((forget_at, id))) = self.expiry.peek().copied() {
            if forget_at > now {
                return;
            }
            self.expiry.pop();
            let state = self.state(id);
            if matches!(state, Some(State::Ran | State::Refused(_))) {
                self.entries.remove(&id);
            }
        }
    }

    pub(crate) fn fence(&mut self, id: AttemptId, start_by: Time, now: Time) -> FenceAnswer {
        match self.state(id) {
            Some(State::Running) => FenceAnswer::Running,
            Some(State::Ran) => FenceAnswer::Ran,
            Some(State::Refused(_)) => FenceAnswer::NotRun,
            Some(State::Queued) => {
                self.set(id, State::Refused(ResultCode::AttemptFenced), now);
                FenceAnswer::NotRun
            }
            None if !is_recordable(start_by, now) || self.room() == Room::Full => {
                FenceAnswer::Unknown
            }
            None => {
                self.record(id, State::Refused(ResultCode::AttemptFenced), start_by);
                FenceAnswer::NotRun
            }
        }
    }
}

/// Tells whether an attempt with this start-by deadline is remembered for as long as a copy of it
/// could start. Of an earlier deadline the record may be gone; a later one would be kept too long.
pub(crate) fn is_recordable(start_by: Time, now: Time) -> bool {
    now < start_by + KEEP_AFTER_START_BY && start_by <= now + MAX_START_BY
}
