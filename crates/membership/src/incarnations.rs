//! Tracks the incarnations of a node and recognises messages from replaced ones.

use std::collections::VecDeque;

use model::Incarnation;

/// Maximum number of replaced incarnations to remember. A message can't be delayed beyond the
/// lifetime of the connection that carries it, so a few are enough.
const MAX_RETIRED: usize = 8;

/// How the incarnation of a message relates to the ones seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationStatus {
    /// The current incarnation.
    Current,
    /// An incarnation that was not seen before and is now the current one.
    New,
    /// An incarnation that was replaced by a newer one; the message is stale.
    Retired,
}

/// The incarnations of one node in the order in which they were first seen. Incarnations are
/// random numbers, so their values don't determine which one is newer.
#[derive(Debug, Clone, Default)]
pub struct IncarnationHistory {
    current: Option<Incarnation>,
    retired: VecDeque<Incarnation>,
}

impl IncarnationHistory {
    /// Returns the newest incarnation.
    pub fn current(&self) -> Option<Incarnation> {
        self.current
    }

    /// Records the incarnation of a message and returns how it relates to the known ones.
    pub fn observe(&mut self, incarnation: Incarnation) -> IncarnationStatus {
        if self.current == Some(incarnation) {
            return IncarnationStatus::Current;
        }
        if self.retired.contains(&incarnation) {
            return IncarnationStatus::Retired;
        }
        if let Some(replaced) = self.current.replace(incarnation) {
            self.retired.push_back(replaced);
            if self.retired.len() > MAX_RETIRED {
                self.retired.pop_front();
            }
        }
        IncarnationStatus::New
    }
}
