//! Records of recent attempts, used to reject duplicates and to answer fences.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use model::{AttemptId, ResultCode, Time};

/// How long a record is kept after the attempt's start-by deadline, so that a fence sent after a lost
/// connection still learns the outcome.
pub const RETENTION_AFTER_START_BY: Duration = Duration::from_secs(5);

/// How far in the future a start-by deadline may lie. Routes allow timeouts of up to 10 minutes;
/// the margin covers the clock difference between the entry node and the guard.
pub const MAX_START_BY_DISTANCE: Duration = Duration::from_secs(605);

/// The ledger accepts refusals and fences beyond its capacity, up to the capacity divided by this.
const REFUSAL_RESERVE_DIVISOR: usize = 8;

/// What the guard knows about a fenced attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FenceAnswer {
    /// The attempt did not run and will not start later.
    NotRun,
    /// The attempt is running.
    Running,
    /// The attempt has finished.
    Ran,
    /// The attempt may have run: its record has expired, or the ledger has no capacity for the fence.
    Unknown,
}

/// State of a recorded attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    Queued,
    Running,
    Ran,
    /// Refused or fenced. Every duplicate is refused with the same code.
    Refused(ResultCode),
}

#[derive(Debug)]
struct Record {
    state: AttemptState,
    expires_at: Time,
}

/// Which kinds of new attempts the ledger can record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LedgerCapacity {
    /// Attempts that may start, refusals and fences.
    Available,
    /// Only refusals and fences.
    RefusalsOnly,
    /// None.
    Full,
}

/// Keeps a record of each attempt until [`RETENTION_AFTER_START_BY`] after its start-by deadline.
#[derive(Debug)]
pub(crate) struct Ledger {
    records: HashMap<AttemptId, Record>,
    expiry: BinaryHeap<Reverse<(Time, AttemptId)>>,
    capacity: usize,
}

impl Ledger {
    pub(crate) fn new(capacity: usize) -> Ledger {
        Ledger { records: HashMap::new(), expiry: BinaryHeap::new(), capacity }
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Part of the capacity is reserved for refusals and fences, since a refusal that is not recorded
    /// doesn't prove that a delayed duplicate won't run.
    pub(crate) fn remaining_capacity(&self) -> LedgerCapacity {
        match self.records.len() {
            len if len < self.capacity => LedgerCapacity::Available,
            len if len < self.capacity + self.capacity / REFUSAL_RESERVE_DIVISOR => {
                LedgerCapacity::RefusalsOnly
            }
            _ => LedgerCapacity::Full,
        }
    }

    pub(crate) fn state(&self, id: AttemptId) -> Option<AttemptState> {
        self.records.get(&id).map(|record| record.state)
    }

    pub(crate) fn record(&mut self, id: AttemptId, state: AttemptState, start_by: Time) {
        let expires_at = start_by + RETENTION_AFTER_START_BY;
        self.records.insert(id, Record { state, expires_at });
        self.expiry.push(Reverse((expires_at, id)));
    }

    /// Changes the state of a recorded attempt. If the attempt ends after its record was due to
    /// expire, the record is removed here, since its entry in the expiry heap is already gone.
    pub(crate) fn update_state(&mut self, id: AttemptId, state: AttemptState, now: Time) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.state = state;
        let has_ended = matches!(state, AttemptState::Ran | AttemptState::Refused(_));
        if has_ended && record.expires_at <= now {
            self.records.remove(&id);
        }
    }

    /// Removes expired records, except those of attempts that are still queued or running.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some(Reverse((expires_at, id))) = self.expiry.peek().copied() {
            if expires_at > now {
                return;
            }
            self.expiry.pop();
            let state = self.state(id);
            if matches!(state, Some(AttemptState::Ran | AttemptState::Refused(_))) {
                self.records.remove(&id);
            }
        }
    }

    pub(crate) fn fence(&mut self, id: AttemptId, start_by: Time, now: Time) -> FenceAnswer {
        match self.state(id) {
            Some(AttemptState::Running) => FenceAnswer::Running,
            Some(AttemptState::Ran) => FenceAnswer::Ran,
            Some(AttemptState::Refused(_)) => FenceAnswer::NotRun,
            Some(AttemptState::Queued) => {
                self.update_state(id, AttemptState::Refused(ResultCode::AttemptFenced), now);
                FenceAnswer::NotRun
            }
            None if !is_recordable(start_by, now)
                || self.remaining_capacity() == LedgerCapacity::Full =>
            {
                FenceAnswer::Unknown
            }
            None => {
                self.record(id, AttemptState::Refused(ResultCode::AttemptFenced), start_by);
                FenceAnswer::NotRun
            }
        }
    }
}

/// Returns whether the record of an attempt with this start-by deadline outlives every duplicate that
/// could still start. For an earlier deadline the record may have expired already; for a later one it
/// would occupy the ledger for too long.
pub(crate) fn is_recordable(start_by: Time, now: Time) -> bool {
    now < start_by + RETENTION_AFTER_START_BY && start_by <= now + MAX_START_BY_DISTANCE
}
