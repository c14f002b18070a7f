//! Inputs and decisions of the guard.

use std::time::Duration;

use model::{AccountName, AttemptId, EndpointName, Rate, ResultCode, RouteName, ServiceName, Time};

use crate::retries::{AttemptKind, RetryLimit};

/// One attempt to run a request at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Identifier, unique to this attempt. An attempt is sent to one guard only.
    pub id: AttemptId,
    /// The endpoint selected by the entry node.
    pub endpoint: EndpointName,
    /// The service of that endpoint.
    pub service: ServiceName,
    /// The route of the request.
    pub route: RouteName,
    /// The client account, or `None` on open routes.
    pub account: Option<AccountName>,
    /// Rate of the account. Accounts share the slots in proportion to their rates.
    pub rate: Rate,
    /// Whether the account stays within its rate, as far as the entry node knows.
    pub rate_status: RateStatus,
    /// Deadline of the call, by the clock of this guard. The attempt must start before it, and its
    /// response must arrive before it.
    pub start_by: Time,
    /// Deadline for getting a slot, at most `start_by`. An attempt refused early enough can be retried
    /// at another endpoint.
    pub queue_until: Time,
    /// When the answer is due to meet the latency goal of the route, if it has one.
    pub goal_by: Option<Time>,
    /// How long the attempt may wait for a slot.
    pub wait_limit: WaitLimit,
    /// Priority in the queue; 0 is the highest.
    pub priority: u8,
    /// How the attempt counts towards the retry limit.
    pub kind: AttemptKind,
    /// Retry limit of the service at this guard.
    pub retry_limit: RetryLimit,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the attempt may run even if the endpoint is suspect.
    pub accepts_suspect: bool,
}

/// Whether an account stays within its rate. The rate limiter cuts the calls of an account down to its
/// rate, so the guard can't tell from the calls it gets whether the account exceeds the rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RateStatus {
    /// The rate limiter has not refused calls of the account recently, or the route is open.
    WithinRate,
    /// The rate limiter has refused calls of the account recently. The account gets a smaller share of
    /// the slots while they are scarce.
    OverRate,
}

/// How long an attempt may wait for a slot before the entry node prefers another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitLimit {
    /// It may wait as long as its deadlines allow.
    UntilDeadline,
    /// It is refused immediately if the expected wait is longer.
    AtMost(Duration),
}

/// Result of [`Checks::check`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// The attempt may run.
    Allowed,
    /// The attempt must not run; the code gives the reason.
    Refused(ResultCode),
}

/// Checks of an attempt against key, configuration and endpoint health. The guard runs them in the
/// same step in which it starts or queues an attempt, and again before it starts a queued one.
pub trait Checks {
    /// Returns whether the attempt may run now.
    fn check(&self, attempt: &Attempt) -> Check;
}

impl<F: Fn(&Attempt) -> Check> Checks for F {
    fn check(&self, attempt: &Attempt) -> Check {
        self(attempt)
    }
}

/// Outcome of admission for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The attempt holds a slot and is recorded as running; the caller must send it to the upstream.
    Start,
    /// The attempt is queued for a slot.
    Queued,
    /// The attempt is refused with this code.
    Refuse(ResultCode),
}

/// An attempt and the decision about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptDecision {
    /// The attempt that the decision is about.
    pub attempt: AttemptId,
    /// The decision.
    pub decision: Decision,
}

/// Whether an operator has drained the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainState {
    /// The endpoint takes no calls; queued ones are refused.
    Drained,
    /// The endpoint is not drained.
    InUse,
}

/// Effect of cancelling an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The attempt was removed from the queue and won't run.
    Dequeued,
    /// The attempt is running and keeps its slot until [`Guard::finish`](crate::Guard::finish) is
    /// called.
    Running,
    /// The attempt is neither queued nor running.
    NotActive,
}

/// Progress of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopState {
    /// No shutdown has been requested.
    Serving,
    /// New calls are refused; some calls are still queued or running.
    Finishing {
        /// Number of queued and running calls.
        calls: usize,
    },
    /// No calls are queued or running.
    Empty,
}
