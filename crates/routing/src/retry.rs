//! What follows when an attempt has ended.

use std::time::Duration;

use model::{Incarnation, ResultCode, Time};

use crate::free_retries::{FreeRetries, Grant};

/// Most refusals of one call that reached no endpoint, apart from those by busy guards. It is about
/// the number of endpoints of a small service.
const MAX_UNSENT: u32 = 8;

/// Refusals by busy guards after which a call waits at the next endpoint. At 60% use of 3 slots,
/// all of three endpoints are full for more than 1 call in 100, and a wait costs several times the
/// round trip of a refusal.
const MAX_BUSY: u32 = 5;

/// Queues of guards that a call tries when they refuse it as full, or after it has waited in vain. Nothing
/// has reached an upstream, and a slot elsewhere may be free.
const MAX_QUEUES: u32 = 3;

/// Endpoints that refuse a retry for the number of their retries before it is given up.
const MAX_EXHAUSTED: u32 = 3;

/// Refusals by suspect endpoints after which a call looks for no other and insists. Each is a trip, and
/// the next endpoint of a large service may be suspect as well.
const MAX_SUSPECTS: u32 = 8;

/// Refusals by suspect endpoints after which a call is given up, although it insists.
const MAX_SUSPECT_REFUSALS: u32 = 2 * MAX_SUSPECTS;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Idempotence {
    /// Running it again does no harm.
    Idempotent,
    /// It must run at most once.
    NonIdempotent,
}

/// Whether the body of a request can be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Body {
    /// The body is empty or kept in memory.
    Replayable,
    /// A part of the body has been sent and is not kept.
    Consumed,
}

/// Whether a refusal proves that the attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// The attempt did not run and never will.
    NotRun,
    /// The attempt may have run.
    Missing,
}

/// Answer to a fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FenceResult {
    /// The process to which the attempt was handed says that it did not run and never will.
    NotRun,
    /// It runs or has run, or its record is gone.
    MayHaveRun,
    /// No answer in time, or the answer of another process.
    NoAnswer,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// The complete answer has arrived, or is being streamed to the caller.
    AnsweredWhole,
    /// The answer is a server error, of which nothing has gone to the caller yet.
    ServerError,
    /// The attempt was refused by the guard, by the upstream or before it was handed on.
    Refused {
        /// The reason.
        code: ResultCode,
        /// Whether the refusal proves that the attempt did not run.
        evidence: Evidence,
    },
    /// The guard refused an impatient attempt at once, since it would have had to wait. The next
    /// choice avoids the endpoint, but may fall back to it, and then wait, if there is no other.
    Busy,
    /// The outcome is unknown, and no byte of an answer has gone to the caller.
    Unknown {
        /// What happened, from the 2xxx group.
        code: ResultCode,
    },
    /// The answer to the fence that followed an unknown outcome.
    Fenced {
        /// The answer.
        result: FenceResult,
    },
    /// The answer broke off after a part of it had gone to the caller.
    AnswerCut {
        /// What happened, from the 2xxx group.
        code: ResultCode,
    },
}

/// What the entry does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Next {
    /// Answer the caller.
    Answer,
    /// Choose another endpoint and make a new attempt with a new attempt id.
    RetryElsewhere,
    /// Fence the attempt on another link and report [`AttemptEnd::Fenced`].
    FenceThenDecide,
    /// Tell the caller that the request was refused and did not run.
    RefuseToCaller(ResultCode),
    /// Tell the caller that the outcome is unknown.
    UnknownToCaller(ResultCode),
}

/// Expected wait above which a call goes to another endpoint: about a round trip there.
pub const PATIENCE: Duration = Duration::from_millis(3);

/// What an attempt asks of a guard whose slots are all in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WhenBusy {
    /// Refuse at once with the current load, as [`AttemptEnd::Busy`].
    GoElsewhere,
    /// Queue the attempt.
    Wait,
}

/// What an attempt asks of a guard whose endpoint is suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WhenSuspect {
    /// Refuse, unless the call serves as a trial.
    GoElsewhere,
    /// Take the call all the same.
    Insist,
}

/// What the retry policy needs to know of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallKind {
    /// Whether the request may run more than once.
    pub idempotence: Idempotence,
    /// Deadline of the call in the own time.
    pub deadline: Time,
    /// Endpoints that the call may be sent to.
    pub attempts: u32,
}

/// The attempts of one call. To be told of the end of each attempt, in order.
///
/// ```
/// use model::{ResultCode, Time};
/// use routing::{
///     AttemptEnd, Body, CallAttempts, CallKind, Evidence, FreeRetries, Idempotence, Next,
/// };
///
/// let deadline = Time::from_micros(1_000_000);
/// let idempotence = Idempotence::NonIdempotent;
/// let kind = CallKind { idempotence, deadline, attempts: 3 };
/// let mut attempts = CallAttempts::new(kind);
/// let mut free = FreeRetries::default();
/// let refused = AttemptEnd::Refused { code: ResultCode::UpstreamShed, evidence: Evidence::NotRun };
/// let next = attempts.next(refused, Body::Replayable, &mut free, Time::ZERO);
/// assert_eq!(next, Next::RetryElsewhere);
/// ```
#[derive(Debug, Clone)]
pub struct CallAttempts {
    kind: CallKind,
    /// Attempts that reached an endpoint or may have done so.
    ended: u32,
    /// Refusals by busy guards. Nothing reached an upstream, so they don't count as attempts.
    busy: u32,
    /// Refusals by guards whose endpoint is suspect.
    suspects: u32,
    /// Refusals by guards in whose queue the call would have waited or has waited.
    queues: u32,
    /// Refusals by endpoints that take no further retries.
    exhausted: u32,
    /// Other refusals before anything reached an endpoint.
    unsent: u32,
    /// Code of the first attempt that may have run. While there is one, no refusal of a later
    /// attempt makes the whole call "not run".
    may_have_run: Option<ResultCode>,
    /// Code of the attempt that is being fenced.
    fencing: Option<ResultCode>,
}

impl CallAttempts {
    /// Starts with the first attempt.
    pub fn new(kind: CallKind) -> CallAttempts {
        CallAttempts {
            kind,
            ended: 0,
            busy: 0,
            suspects: 0,
            queues: 0,
            exhausted: 0,
            unsent: 0,
            may_have_run: None,
            fencing: None,
        }
    }

    /// Number of attempts that have ended, without those that a busy guard refused.
    pub fn ended(&self) -> u32 {
        self.ended
    }

    /// Whether the next attempt should wait at a busy endpoint or rather go to another one. It waits
    /// after several busy refusals, and if its body can't be sent again.
    pub fn when_busy(&self, body: Body) -> WhenBusy {
        let has_other = self.busy < MAX_BUSY;
        match body == Body::Replayable && has_other {
            true => WhenBusy::GoElsewhere,
            false => WhenBusy::Wait,
        }
    }

    /// Whether the next attempt should look for an endpoint that is not suspect. It insists after
    /// several refusals.
    pub fn when_suspect(&self) -> WhenSuspect {
        match self.suspects < MAX_SUSPECTS {
            true => WhenSuspect::GoElsewhere,
            false => WhenSuspect::Insist,
        }
    }

    /// Decides what follows the end of an attempt.
    pub fn next(&mut self, end: AttemptEnd, body: Body, free: &mut FreeRetries, now: Time) -> Next {
        match end {
            AttemptEnd::AnsweredWhole => Next::Answer,
            AttemptEnd::ServerError => self.after_server_error(body, now),
            AttemptEnd::AnswerCut { code } => Next::UnknownToCaller(code),
            // Nothing reached the upstream, so the retry can't add to its load and is not charged.
            AttemptEnd::Busy => {
                self.busy += 1;
                match self.busy <= MAX_BUSY && self.has_attempt_left(body, now) {
                    true => Next::RetryElsewhere,
                    false => self.settle(ResultCode::QueueFull),
                }
            }
            AttemptEnd::Refused {
                code: code @ (ResultCode::QueueFull | ResultCode::DeadlineBeforeStart),
                evidence: Evidence::NotRun,
            } => {
                self.queues += 1;
                match self.queues < MAX_QUEUES && self.has_attempt_left(body, now) {
                    true => Next::RetryElsewhere,
                    false => self.settle(code),
                }
            }
            AttemptEnd::Refused {
                code: code @ ResultCode::RetriesExhausted,
                evidence: Evidence::NotRun,
            } => {
                self.exhausted += 1;
                match self.exhausted < MAX_EXHAUSTED && self.has_attempt_left(body, now) {
                    true => Next::RetryElsewhere,
                    false => self.settle(code),
                }
            }
            // As for a busy guard, but a call that suspect endpoints have refused has not waited yet.
            AttemptEnd::Refused {
                code: ResultCode::EndpointSuspect,
                evidence: Evidence::NotRun,
            } => {
                self.suspects += 1;
                let is_looking = self.suspects < MAX_SUSPECT_REFUSALS;
                match is_looking && self.has_attempt_left(body, now) {
                    true => Next::RetryElsewhere,
                    false => self.settle(ResultCode::EndpointSuspect),
                }
            }
            AttemptEnd::Refused { code, evidence: Evidence::NotRun } => {
                match costs_no_upstream(code) {
                    true => self.unsent += 1,
                    false => self.ended += 1,
                }
                self.after_not_run(code, body, free, now)
            }
            AttemptEnd::Refused { evidence: Evidence::Missing, .. } => {
                self.after_unknown(ResultCode::LinkLost, body, now)
            }
            AttemptEnd::Unknown { code } => self.after_unknown(code, body, now),
            AttemptEnd::Fenced { result: FenceResult::NotRun } => {
                self.fencing = None;
                self.ended += 1;
                self.after_not_run(ResultCode::AttemptFenced, body, free, now)
            }
            AttemptEnd::Fenced { .. } => {
                let code = self.fencing.take().unwrap_or(ResultCode::LinkLost);
                self.ended += 1;
                self.may_have_run.get_or_insert(code);
                self.settle(code)
            }
        }
    }

    /// No endpoint is left for a further attempt: says how the call ends.
    pub fn give_up(&self, code: ResultCode) -> Next {
        self.settle(code)
    }

    fn after_not_run(
        &mut self,
        code: ResultCode,
        body: Body,
        free: &mut FreeRetries,
        now: Time,
    ) -> Next {
        // The free retries are asked last, so that only those that are made are counted.
        if !is_worth_retrying(code) || !self.has_attempt_left(body, now) {
            return self.settle(code);
        }
        if costs_no_upstream(code) && free.request(now) == Grant::Exhausted {
            return self.settle(code);
        }
        Next::RetryElsewhere
    }

    fn after_unknown(&mut self, code: ResultCode, body: Body, now: Time) -> Next {
        if self.kind.idempotence == Idempotence::NonIdempotent {
            // Past the deadline nobody waits for what a fence would tell.
            if now < self.kind.deadline {
                self.fencing = Some(code);
                return Next::FenceThenDecide;
            }
            self.ended += 1;
            return Next::UnknownToCaller(code);
        }
        self.ended += 1;
        self.may_have_run.get_or_insert(code);
        match self.has_attempt_left(body, now) {
            true => Next::RetryElsewhere,
            false => self.settle(code),
        }
    }

    fn after_server_error(&mut self, body: Body, now: Time) -> Next {
        self.ended += 1;
        let may_repeat = self.kind.idempotence == Idempotence::Idempotent;
        match may_repeat && self.has_attempt_left(body, now) {
            true => Next::RetryElsewhere,
            false => Next::Answer,
        }
    }

    fn has_attempt_left(&self, body: Body, now: Time) -> bool {
        let has_room = self.ended < self.kind.attempts && self.unsent < MAX_UNSENT;
        has_room && now < self.kind.deadline && body == Body::Replayable
    }

    fn settle(&self, code: ResultCode) -> Next {
        match self.may_have_run {
            Some(unknown) => Next::UnknownToCaller(unknown),
            None => Next::RefuseToCaller(code),
        }
    }
}

/// Tells whether a refusal proves that an attempt did not run. A refusal by another process than
/// the one to which the attempt was handed proves nothing, since the first one may be paused.
/// [`ResultCode::AttemptRepeated`] proves nothing, since another copy may have run.
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

/// Tells whether another endpoint might accept what this one refused.
fn is_worth_retrying(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::Superseded
            | ResultCode::NotSynced
            | ResultCode::Stopping
            | ResultCode::ConnectFailed
            | ResultCode::EndpointLeaving
            | ResultCode::EndpointUnknown
            | ResultCode::UpstreamShed
            | ResultCode::TooManyConnections
            | ResultCode::AttemptFenced
            | ResultCode::LinkUnavailable
    )
}

/// Tells whether an attempt that was refused with this code has certainly put no load on an
/// upstream, because the endpoint or its node can't be reached or takes no calls.
fn costs_no_upstream(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::ConnectFailed
            | ResultCode::NotSynced
            | ResultCode::Superseded
            | ResultCode::EndpointLeaving
            | ResultCode::EndpointUnknown
            | ResultCode::Stopping
            | ResultCode::LinkUnavailable
    )
}
