//! Retry policy of a call: decides what happens after each attempt.

use std::time::Duration;

use model::{Incarnation, ResultCode, Time};

use crate::unsent_retry_limiter::{Grant, UnsentRetryLimiter};

/// Maximum attempts per call that ended because the endpoint or its node was unreachable or accepted
/// no calls. About the number of endpoints of a small service.
const MAX_UNSENT_ATTEMPTS: u32 = 8;

/// Number of busy refusals after which a call queues at the next endpoint. Three are too few: at
/// 60% utilization of 3 slots, more than 1 call in 100 finds three full endpoints in a row, and
/// queueing costs several times the round trip of a refusal.
const MAX_BUSY_REFUSALS: u32 = 5;

/// Number of attempts that were refused for a full queue, or timed out in one, after which a call
/// fails. Such an attempt never reached an upstream, and another endpoint may have a free slot.
const MAX_QUEUE_REFUSALS: u32 = 3;

/// Number of refusals by endpoints that have reached their retry limit after which a call fails.
const MAX_RETRY_LIMIT_REFUSALS: u32 = 3;

/// Number of refusals by suspect endpoints after which a call asks to be accepted by a suspect
/// endpoint. Each refusal costs a round trip, and in a large service the next endpoint may be
/// suspect as well.
const SUSPECT_REFUSALS_BEFORE_ACCEPT: u32 = 8;

/// Number of refusals by suspect endpoints after which a call fails, although it asked to be
/// accepted.
const MAX_SUSPECT_REFUSALS: u32 = 2 * SUSPECT_REFUSALS_BEFORE_ACCEPT;

/// Number of refusals by endpoints in evacuated failure domains after which a call fails. The entry
/// avoids a failure domain after the first one, so that there are about as many as failure domains.
const MAX_EVACUATION_REFUSALS: u32 = 16;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Idempotence {
    /// The request may run any number of times.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// Whether the request body can be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BodyState {
    /// The body is empty or kept in memory.
    Replayable,
    /// Part of the body has been sent and was not buffered.
    Consumed,
}

/// Whether a refusal proves that the attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// The attempt did not run and will not run later.
    NotRun,
    /// The attempt may have run.
    Missing,
}

/// Result of fencing an attempt, that is, of asking its receiver not to run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FenceResult {
    /// The process that received the attempt confirms that it did not run and will not run later.
    NotRun,
    /// The attempt is running or has run, or its record has been discarded.
    MayHaveRun,
    /// The request timed out, or another process answered it.
    NoAnswer,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// The complete response has arrived, or is being streamed to the caller.
    AnsweredWhole,
    /// The response is a server error, and none of it has been sent to the caller.
    ServerError,
    /// The attempt was refused by admission control, by the upstream or before it was forwarded.
    Refused {
        /// The reason.
        code: ResultCode,
        /// Whether the refusal proves that the attempt did not run.
        evidence: Evidence,
    },
    /// Admission control refused the attempt because no slot was free and the attempt asked not to
    /// be queued. The next choice prefers other endpoints; if there are none, it falls back to this
    /// one and queues.
    Busy,
    /// The outcome is unknown, and no byte of a response has been sent to the caller.
    Unknown {
        /// What happened, from the 2xxx group.
        code: ResultCode,
    },
    /// The attempt had an unknown outcome and was then fenced.
    Fenced {
        /// The result of the fence.
        result: FenceResult,
    },
    /// The response was truncated after part of it had been sent to the caller.
    AnswerCut {
        /// What happened, from the 2xxx group.
        code: ResultCode,
    },
}

/// Next action of the entry node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NextAction {
    /// Return the response to the caller.
    Answer,
    /// Make a new attempt, with a new attempt id, at another endpoint.
    Retry,
    /// Fence the attempt over another link and report the result as [`AttemptEnd::Fenced`].
    Fence,
    /// Report to the caller that the request was refused and did not run.
    Refuse(ResultCode),
    /// Report to the caller that the outcome is unknown.
    ReportUnknown(ResultCode),
}

/// Expected queue wait above which a call tries another endpoint. About one round trip to it.
pub const MAX_EXPECTED_WAIT: Duration = Duration::from_millis(3);

/// What an attempt asks for if all slots of the endpoint are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BusyPolicy {
    /// Refuse immediately and report the current load ([`AttemptEnd::Busy`]).
    Refuse,
    /// Queue the attempt.
    Queue,
}

/// What an attempt asks for if the endpoint is suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SuspectPolicy {
    /// Refuse, unless the call is used as a health probe.
    Refuse,
    /// Accept the call.
    Accept,
}

/// Properties of a call that determine its retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryParams {
    /// Whether the request may run more than once.
    pub idempotence: Idempotence,
    /// Deadline of the call, on the clock of this node.
    pub deadline: Time,
    /// Maximum number of attempts that may reach an endpoint.
    pub max_attempts: u32,
}

/// Tracks the attempts of one call. [`CallAttempts::on_attempt_end`] must be called at the end of each
/// attempt, in order.
///
/// ```
/// use model::{ResultCode, Time};
/// use routing::{
///     AttemptEnd, BodyState, CallAttempts, RetryParams, Evidence, UnsentRetryLimiter, Idempotence, NextAction,
/// };
///
/// let deadline = Time::from_micros(1_000_000);
/// let idempotence = Idempotence::NonIdempotent;
/// let params = RetryParams { idempotence, deadline, max_attempts: 3 };
/// let mut attempts = CallAttempts::new(params);
/// let mut unsent_retry_limiter = UnsentRetryLimiter::default();
/// let refused = AttemptEnd::Refused { code: ResultCode::UpstreamShed, evidence: Evidence::NotRun };
/// let action = attempts.on_attempt_end(refused, BodyState::Replayable, &mut unsent_retry_limiter, Time::ZERO);
/// assert_eq!(action, NextAction::Retry);
/// ```
#[derive(Debug, Clone)]
pub struct CallAttempts {
    params: RetryParams,
    /// Ended attempts that count towards `max_attempts`: those that may have reached an endpoint,
    /// those that were fenced, and refusals that none of the counters below covers.
    reached: u32,
    /// Refusals because no slot was free. Not counted in `reached`, as no upstream was involved.
    busy_refusals: u32,
    /// Refusals because the endpoint is suspect.
    suspect_refusals: u32,
    /// Refusals because the queue was full or the wait in it timed out.
    queue_refusals: u32,
    /// Refusals because the endpoint has reached its retry limit.
    retry_limit_refusals: u32,
    /// Refusals because the failure domain of the endpoint is evacuated.
    evacuation_refusals: u32,
    /// Attempts refused for other reasons before they reached an endpoint, or by another endpoint at its
    /// address.
    unsent: u32,
    /// Whether one of the attempts in `unsent` was refused by another endpoint.
    is_refused_elsewhere: bool,
    /// Code of the first attempt that may have run. If set, the outcome of the call is unknown,
    /// even if later attempts are refused.
    may_have_run: Option<ResultCode>,
    /// Code of the attempt that is being fenced.
    fenced_code: Option<ResultCode>,
}

impl CallAttempts {
    /// Creates the state of a call before its first attempt.
    pub fn new(params: RetryParams) -> CallAttempts {
        CallAttempts {
            params,
            reached: 0,
            busy_refusals: 0,
            suspect_refusals: 0,
            queue_refusals: 0,
            retry_limit_refusals: 0,
            evacuation_refusals: 0,
            unsent: 0,
            is_refused_elsewhere: false,
            may_have_run: None,
            fenced_code: None,
        }
    }

    /// Number of ended attempts that count towards [`RetryParams::max_attempts`]. Refusals that
    /// have a limit of their own are not counted.
    pub fn reached_endpoint(&self) -> u32 {
        self.reached
    }

    /// Whether an attempt that has ended may have arrived at an upstream, so that the next one is a retry.
    pub fn has_arrived(&self) -> bool {
        self.reached > 0 || self.is_refused_elsewhere
    }

    /// Whether the next attempt queues at a busy endpoint or is refused by it. It queues after
    /// several busy refusals, or if the body can't be sent again.
    pub fn busy_policy(&self, body: BodyState) -> BusyPolicy {
        let may_refuse = self.busy_refusals < MAX_BUSY_REFUSALS;
        match body == BodyState::Replayable && may_refuse {
            true => BusyPolicy::Refuse,
            false => BusyPolicy::Queue,
        }
    }

    /// Whether the next attempt is refused by a suspect endpoint or accepted. It asks to be
    /// accepted after several such refusals.
    pub fn suspect_policy(&self) -> SuspectPolicy {
        match self.suspect_refusals < SUSPECT_REFUSALS_BEFORE_ACCEPT {
            true => SuspectPolicy::Refuse,
            false => SuspectPolicy::Accept,
        }
    }

    /// Whether a second attempt may start beside a running one. Both count towards
    /// [`RetryParams::max_attempts`].
    pub fn may_hedge(&self, body: BodyState) -> bool {
        self.params.idempotence == Idempotence::Idempotent
            && body == BodyState::Replayable
            && self.reached.saturating_add(1) < self.params.max_attempts
    }

    /// Records the end of an attempt and returns the next action.
    pub fn on_attempt_end(
        &mut self,
        end: AttemptEnd,
        body: BodyState,
        unsent_retry_limiter: &mut UnsentRetryLimiter,
        now: Time,
    ) -> NextAction {
        match end {
            AttemptEnd::AnsweredWhole => NextAction::Answer,
            AttemptEnd::ServerError => self.after_server_error(body, now),
            AttemptEnd::AnswerCut { code } => NextAction::ReportUnknown(code),
            // No upstream was involved, so the retry adds no load and is not counted as an attempt.
            AttemptEnd::Busy => {
                self.busy_refusals += 1;
                match self.busy_refusals <= MAX_BUSY_REFUSALS && self.can_retry(body, now) {
                    true => NextAction::Retry,
                    false => self.final_action(ResultCode::QueueFull),
                }
            }
            AttemptEnd::Refused {
                code: code @ (ResultCode::QueueFull | ResultCode::DeadlineBeforeStart),
                evidence: Evidence::NotRun,
            } => {
                self.queue_refusals += 1;
                match self.queue_refusals < MAX_QUEUE_REFUSALS && self.can_retry(body, now) {
                    true => NextAction::Retry,
                    false => self.final_action(code),
                }
            }
            AttemptEnd::Refused {
                code: code @ ResultCode::RetriesExhausted,
                evidence: Evidence::NotRun,
            } => {
                self.retry_limit_refusals += 1;
                match self.retry_limit_refusals < MAX_RETRY_LIMIT_REFUSALS
                    && self.can_retry(body, now)
                {
                    true => NextAction::Retry,
                    false => self.final_action(code),
                }
            }
            // Not an attempt: an evacuation takes many endpoints out of use at the same moment, and a
            // call must not fail because it was sent to some of them.
            AttemptEnd::Refused {
                code: code @ ResultCode::DomainEvacuated,
                evidence: Evidence::NotRun,
            } => {
                self.evacuation_refusals += 1;
                match self.evacuation_refusals < MAX_EVACUATION_REFUSALS
                    && self.can_retry(body, now)
                {
                    true => NextAction::Retry,
                    false => self.final_action(code),
                }
            }
            // Like `Busy`, but counted separately, so that refusals by suspect endpoints don't make
            // the call fail or queue early.
            AttemptEnd::Refused {
                code: ResultCode::EndpointSuspect,
                evidence: Evidence::NotRun,
            } => {
                self.suspect_refusals += 1;
                let is_below_limit = self.suspect_refusals < MAX_SUSPECT_REFUSALS;
                match is_below_limit && self.can_retry(body, now) {
                    true => NextAction::Retry,
                    false => self.final_action(ResultCode::EndpointSuspect),
                }
            }
            AttemptEnd::Refused { code, evidence: Evidence::NotRun } => {
                match is_unsent(code) {
                    true => self.unsent += 1,
                    false => self.reached += 1,
                }
                self.is_refused_elsewhere |= code == ResultCode::EndpointReplaced;
                self.after_not_run(code, body, unsent_retry_limiter, now)
            }
            AttemptEnd::Refused { evidence: Evidence::Missing, .. } => {
                self.after_unknown(ResultCode::LinkLost, body, now)
            }
            AttemptEnd::Unknown { code } => self.after_unknown(code, body, now),
            AttemptEnd::Fenced { result: FenceResult::NotRun } => {
                self.fenced_code = None;
                self.reached += 1;
                self.after_not_run(ResultCode::AttemptFenced, body, unsent_retry_limiter, now)
            }
            AttemptEnd::Fenced { .. } => {
                let code = self.fenced_code.take().unwrap_or(ResultCode::LinkLost);
                self.reached += 1;
                self.may_have_run.get_or_insert(code);
                self.final_action(code)
            }
        }
    }

    /// Returns the action that ends the call without another attempt: an unknown outcome if an
    /// attempt may have run, otherwise a refusal with `code`.
    pub fn final_action(&self, code: ResultCode) -> NextAction {
        match self.may_have_run {
            Some(unknown) => NextAction::ReportUnknown(unknown),
            None => NextAction::Refuse(code),
        }
    }

    fn after_not_run(
        &mut self,
        code: ResultCode,
        body: BodyState,
        unsent_retry_limiter: &mut UnsentRetryLimiter,
        now: Time,
    ) -> NextAction {
        // Request the unsent retry last, so that only retries that take place are counted.
        if !is_worth_retrying(code) || !self.can_retry(body, now) {
            return self.final_action(code);
        }
        if is_unsent(code) && unsent_retry_limiter.request(now) == Grant::Exhausted {
            return self.final_action(code);
        }
        NextAction::Retry
    }

    fn after_unknown(&mut self, code: ResultCode, body: BodyState, now: Time) -> NextAction {
        if self.params.idempotence == Idempotence::NonIdempotent {
            // After the deadline the caller no longer waits for the result of a fence.
            if now < self.params.deadline {
                self.fenced_code = Some(code);
                return NextAction::Fence;
            }
            self.reached += 1;
            return NextAction::ReportUnknown(code);
        }
        self.reached += 1;
        self.may_have_run.get_or_insert(code);
        match self.can_retry(body, now) {
            true => NextAction::Retry,
            false => self.final_action(code),
        }
    }

    fn after_server_error(&mut self, body: BodyState, now: Time) -> NextAction {
        self.reached += 1;
        let may_repeat = self.params.idempotence == Idempotence::Idempotent;
        match may_repeat && self.can_retry(body, now) {
            true => NextAction::Retry,
            false => NextAction::Answer,
        }
    }

    fn can_retry(&self, body: BodyState, now: Time) -> bool {
        let has_attempts_left =
            self.reached < self.params.max_attempts && self.unsent < MAX_UNSENT_ATTEMPTS;
        has_attempts_left && now < self.params.deadline && body == BodyState::Replayable
    }
}

/// Returns whether a refusal proves that an attempt did not run.
///
/// A refusal by a process other than the one that received the attempt proves nothing: the receiver
/// may be paused and run the attempt later. [`ResultCode::AttemptRepeated`] proves nothing either,
/// as another copy of the attempt may have run.
pub fn refusal_evidence(
    code: ResultCode,
    handed_to: Incarnation,
    refused_by: Incarnation,
) -> Evidence {
    let is_not_run = code.outcome() == model::Outcome::NotRun;
    match is_not_run && code != ResultCode::AttemptRepeated && handed_to == refused_by {
        true => Evidence::NotRun,
        false => Evidence::Missing,
    }
}

/// Returns whether another endpoint might accept a call that was refused with this code.
fn is_worth_retrying(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::Superseded
            | ResultCode::NotSynced
            | ResultCode::Stopping
            | ResultCode::ConnectFailed
            | ResultCode::EndpointLeaving
            | ResultCode::EndpointUnknown
            | ResultCode::EndpointReplaced
            | ResultCode::UpstreamShed
            | ResultCode::TooManyConnections
            | ResultCode::AttemptFenced
            | ResultCode::LinkUnavailable
    )
}

/// Returns whether a refusal with this code implies that the attempt put no load on an upstream,
/// because the endpoint or its node is unreachable or accepts no calls, or the endpoint is gone.
fn is_unsent(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::ConnectFailed
            | ResultCode::NotSynced
            | ResultCode::Superseded
            | ResultCode::EndpointLeaving
            | ResultCode::EndpointUnknown
            | ResultCode::EndpointReplaced
            | ResultCode::Stopping
            | ResultCode::LinkUnavailable
    )
}
