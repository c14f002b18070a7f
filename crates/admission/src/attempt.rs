//! Attempts as a guard sees them, and what it decides about them.

use std::time::Duration;

use model::{AccountName, AttemptId, EndpointName, Rate, ResultCode, RouteName, Time};

use crate::retries::{Arrival, RetryAllowance};

/// An attempt as it arrives at the guard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Identifier, used for one attempt at one guard only.
    pub id: AttemptId,
    /// The endpoint that the entry has chosen.
    pub endpoint: EndpointName,
    /// The route of the request.
    pub route: RouteName,
    /// The client account, or none on open routes.
    pub account: Option<AccountName>,
    /// Rate of the account. Accounts are entitled to service in proportion to their rates.
    pub rate: Rate,
    /// Whether the account stays within its rate, as far as the entry knows.
    pub standing: Standing,
    /// Latest start, in the time of this guard.
    pub start_by: Time,
    /// Latest end of a wait for a slot, not after `start_by`. A caller that is refused in time can turn
    /// elsewhere.
    pub queue_until: Time,
    /// Time by which the answer should be there to be worth most, if the route has such a goal.
    pub goal_by: Option<Time>,
    /// How long the attempt may wait for a slot.
    pub patience: Patience,
    /// Rank in the queue; 0 goes first.
    pub priority: u8,
    /// How it counts for the bound on retries.
    pub arrival: Arrival,
    /// Retries that its endpoint may take.
    pub allowance: RetryAllowance,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the attempt is also for a suspect endpoint.
    pub insists: bool,
}

/// Whether an account stays within its rate. The limiter cuts an account to its rate, after which
/// the guard can't tell it from one that stays within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Standing {
    /// The limiter has not refused calls of the account lately, or the route is open.
    WithinRate,
    /// The limiter refuses calls of the account. It is served after others where slots are short.
    OverRate,
}

/// How long an attempt may wait for a slot before the entry would rather try another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// Until its start-by deadline.
    UntilStartBy,
    /// It is refused at once if the expected wait is longer.
    AtMost(Duration),
}

/// Result of the checks that need the configuration or the health of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// The attempt may run.
    Allowed,
    /// The attempt must not run, for this reason.
    Refused(ResultCode),
}

/// Checks key, configuration and health for an attempt. The guard asks in the same step in
/// which it starts the attempt, and asks again when a queued attempt is started.
pub trait Checks {
    /// Checks one attempt.
    fn check(&self, attempt: &Attempt) -> Check;
}

impl<F: Fn(&Attempt) -> Check> Checks for F {
    fn check(&self, attempt: &Attempt) -> Check {
        self(attempt)
    }
}

/// What happens to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The attempt is marked as running and has a slot; it must be handed to the upstream.
    Start,
    /// The attempt waits for a slot.
    Queued,
    /// The attempt is refused and has not run.
    Refuse(ResultCode),
}

/// The decision about one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// The attempt.
    pub attempt: AttemptId,
    /// What happens to it.
    pub decision: Decision,
}

/// Whether an operator has drained an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drain {
    /// The endpoint gets no new work.
    Drained,
    /// The endpoint is in use.
    InUse,
}

/// What a cancellation by the entry met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The attempt was queued and won't run.
    Dequeued,
    /// The attempt is running and keeps its slot until it is reported as finished.
    Running,
    /// The attempt is neither queued nor running.
    NotActive,
}

/// Progress of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopState {
    /// No stop was asked for.
    Serving,
    /// Calls are still queued or running.
    Finishing {
        /// Number of queued and running calls.
        calls: usize,
    },
    /// Every call has finished.
    Empty,
}
