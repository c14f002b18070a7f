//! Order of the incarnations of one node.

use std::collections::VecDeque;

use model::Incarnation;

/// Replaced incarnations that are remembered. A message can only be late by the life of a link, so
/// a few are enough.
const MAX_RETIRED: usize = 8;

/// What a message says about the process that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// The process that is already known.
    Current,
    /// A process that has replaced the known one.
    New,
    /// A process that was replaced; its message is late.
    Retired,
}

/// The incarnations of one node in the order in which they were first seen. Incarnations are
/// random, so their numbers don't tell which is the newer one.
#[derive(Debug, Clone, Default)]
pub struct Incarnations {
    current: Option<Incarnation>,
    retired: VecDeque<Incarnation>,
}

impl Incarnations {
    /// The newest incarnation.
    pub fn current(&self) -> Option<Incarnation> {
        self.current
    }

    /// Takes the incarnation of a message into account.
    pub fn observe(&mut self, incarnation: Incarnation) -> Seen {
        if self.current == Some(incarnation) {
            return Seen::Current;
        }
        if self.retired.contains(&incarnation) {
            return Seen::Retired;
        }
        if let Some(replaced) = self.current.replace(incarnation) {
            self.retired.push_back(replaced);
            if self.retired.len() > MAX_RETIRED {
                self.retired.pop_front();
            }
        }
        Seen::New
    }
}
