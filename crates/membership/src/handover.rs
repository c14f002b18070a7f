//! How a process that starts learns which departures earlier processes of its node have acknowledged.
//!
//! The acknowledgement of a notice binds every later process of the node. The node's record in the store
//! proves it, so a listing of the store is enough, with one exception: a store that was restored from a
//! backup may hold an earlier record, or none. Nodes that ran before the restore still have the latest one,
//! and nobody else writes it again. A process whose record was not written since the last restore therefore
//! asks other nodes before it uses endpoints and before it writes a record of its own.

use std::collections::BTreeSet;
use std::time::Duration;

use model::{NodeName, Revision, Time};

/// Number of nodes that are asked at the same time, and of answers that are enough if they come from
/// nodes that ran before the restore. A node that the record had not reached before the restore does not
/// have it, so one answer is not enough.
const ENOUGH: usize = 3;

/// Number of nodes that are asked at most. Of nodes that ran before the restore enough are found with it,
/// unless most of the fleet has started since.
const MAX_ASKED: usize = 12;

/// Time for answers. Endpoints have to be in use again about 2 s after the store is back, also if the
/// other nodes can't be reached.
const ASK_FOR: Duration = Duration::from_secs(2);

/// What a process does next to learn of earlier departures.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandoverStep {
    /// List the store.
    ListStore,
    /// Ask these nodes for the latest record of this node that they have seen.
    Ask(Vec<NodeName>),
    /// Wait for answers, until this time at most.
    WaitUntil(Time),
    /// Use endpoints.
    Complete(Evidence),
}

/// Why no further departures are expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The store has not been restored since the record was written.
    Store,
    /// Nodes that ran before the restore have answered.
    Peers,
    /// Neither the store nor a node that was asked has a record of an earlier process.
    NoRecord,
    /// The record is of before the restore, and no node that ran then has answered. Departures that the
    /// store has lost may be unknown.
    Incomplete,
}

/// What a process has learned of the record that earlier processes of its node have left.
///
/// ```
/// use membership::{Evidence, Handover, HandoverStep};
/// use model::{Revision, Time};
///
/// let mut handover = Handover::default();
/// assert_eq!(handover.next_step(&[], Time::ZERO), HandoverStep::ListStore);
/// handover.store_listed(2, Some(Revision::new(2, 7)), Time::ZERO);
/// assert_eq!(handover.next_step(&[], Time::ZERO), HandoverStep::Complete(Evidence::Store));
/// ```
#[derive(Debug, Default)]
pub struct Handover(State);

#[derive(Debug, Default)]
enum State {
    /// The store has not been listed.
    #[default]
    Unlisted,
    Asking(Asking),
    Complete(Evidence),
}

#[derive(Debug)]
struct Asking {
    /// Era of the store.
    era: u64,
    /// Whether the store has a record of an earlier process.
    has_record: bool,
    until: Time,
    asked: BTreeSet<NodeName>,
    unanswered: usize,
    /// Answers of nodes that ran before the restore.
    earlier: usize,
}

impl Handover {
    /// Records the first listing of the store, which is in `era` and holds the node's record at the revision
    /// `record`, if at all. Returns false if the store had been listed before, which changes nothing.
    pub fn store_listed(&mut self, era: u64, record: Option<Revision>, now: Time) -> bool {
        let State::Unlisted = self.0 else { return false };
        // Era 0 is that of a store that tells no restores.
        let is_latest = era == 0 || record.is_some_and(|record| record.era() >= era);
        self.0 = match is_latest {
            true => State::Complete(Evidence::Store),
            false => State::Asking(Asking {
                era,
                has_record: record.is_some(),
                until: now + ASK_FOR,
                asked: BTreeSet::new(),
                unanswered: 0,
                earlier: 0,
            }),
        };
        true
    }

    /// Decides what to do next. `candidates` are the other nodes, in the order in which they are asked.
    pub fn next_step(&mut self, candidates: &[NodeName], now: Time) -> HandoverStep {
        let step = match &mut self.0 {
            State::Unlisted => HandoverStep::ListStore,
            State::Asking(asking) => asking.next_step(candidates, now),
            State::Complete(evidence) => HandoverStep::Complete(*evidence),
        };
        if let HandoverStep::Complete(evidence) = step {
            self.0 = State::Complete(evidence);
        }
        step
    }

    /// Records the answer of a node that knows the writes since the revision `history_start`, or `None` if
    /// the node can't be asked. One that has started since the restore knows no earlier ones.
    pub fn answered(&mut self, history_start: Option<Revision>) {
        if let State::Asking(asking) = &mut self.0 {
            asking.unanswered = asking.unanswered.saturating_sub(1);
            let ran_before = history_start.is_some_and(|start| start.era() < asking.era);
            asking.earlier += usize::from(ran_before);
        }
    }
}

impl Asking {
    fn next_step(&mut self, candidates: &[NodeName], now: Time) -> HandoverStep {
        if self.earlier >= ENOUGH {
            return HandoverStep::Complete(Evidence::Peers);
        }
        if now >= self.until {
            return HandoverStep::Complete(self.evidence());
        }
        let wanted = ENOUGH.saturating_sub(self.earlier + self.unanswered);
        let wanted = wanted.min(MAX_ASKED - self.asked.len());
        let new = candidates.iter().filter(|name| !self.asked.contains(*name));
        let chosen: Vec<NodeName> = new.take(wanted).cloned().collect();
        self.unanswered += chosen.len();
        self.asked.extend(chosen.iter().cloned());
        match (chosen.is_empty(), self.unanswered) {
            (false, _) => HandoverStep::Ask(chosen),
            (true, 0) => HandoverStep::Complete(self.evidence()),
            (true, _) => HandoverStep::WaitUntil(self.until),
        }
    }

    fn evidence(&self) -> Evidence {
        match self.earlier {
            0 if self.has_record => Evidence::Incomplete,
            0 => Evidence::NoRecord,
            _ => Evidence::Peers,
        }
    }
}
