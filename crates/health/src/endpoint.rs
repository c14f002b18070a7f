//! Health of one endpoint as its guard sees it.

use std::collections::HashMap;
use std::time::Duration;

use model::{RouteName, Time};

/// Score at which an endpoint becomes suspect.
const SUSPECT_SCORE: f64 = 1.0;

/// Time in which the score of past failures halves.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Factor on the score for each success of a trusted endpoint. One error in three adds up to
/// suspicion with the third error, and one in a hundred never does.
const SUCCESS_FACTOR: f64 = 0.8;

/// Weight of a server error, some of which occur at healthy endpoints.
const ERROR_WEIGHT: f64 = 0.6;

/// Weight of a call that took much longer than usual. Its cause may lie in another service.
const SLOW_WEIGHT: f64 = 0.5;

/// Multiple of the usual time of a route above which a call is slow.
const SLOW_FACTOR: f64 = 4.0;

/// Least time above the usual one for a slow call, so that short calls on a busy processor are not.
const SLOW_MARGIN: Duration = Duration::from_millis(40);

/// Calls of a route after which its usual time is known.
const MIN_CALLS: u32 = 8;

/// Weight of a call in the moving average of the usual time, as a divisor.
const USUAL_SHIFT: f64 = 16.0;

/// The same for a slow call. The usual time follows a lasting change after some tens of calls.
const SLOW_SHIFT: f64 = 64.0;

/// Successful trials in a row after which a suspect endpoint is trusted again. An endpoint that
/// fails half of its calls passes two in a row one time in four.
const TRIALS_NEEDED: u32 = 2;

/// Pause between the failure that made an endpoint suspect and the first trial with an idempotent
/// call; it doubles with each failed trial up to [`MAX_TRIAL_PAUSE`].
const TRIAL_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause between two trials. Each failed trial costs a retry of the budget, and endpoints are
/// out of order for some seconds to some tens of seconds.
const MAX_TRIAL_PAUSE: Duration = Duration::from_secs(2);

/// Time for which a trial that is due waits for an idempotent call. Then a call that must not be
/// repeated serves as one, as services without idempotent calls could not return otherwise.
const IDEMPOTENT_FIRST: Duration = Duration::from_millis(1500);

/// Further time for which such a trial waits at an endpoint that gets idempotent calls: several of them may
/// come and fail in it. On a calm day 16 of 27 other trials lost their call.
const IDEMPOTENT_COMES: Duration = Duration::from_millis(4500);

/// Time in which an idempotent call has to have come for the endpoint to count as one that gets them.
const IDEMPOTENT_SEEN: Duration = Duration::from_secs(10);

/// How a call ended, as far as it tells something about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer that is not a server error, after this time.
    Success(Duration),
    /// The endpoint's own server error. Some occur at healthy endpoints.
    ServerError,
    /// No connection, a lost connection, no answer in time, or bytes that are no answer.
    Broken,
    /// The endpoint refused the call as not run; it is busy rather than ill.
    Shed,
    /// A server error that follows from a failed call of the endpoint to another service.
    DependencyFailed,
}

/// Whether a call may go to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Admitted(Trial),
    /// The endpoint is suspect and takes no call of this kind now.
    Refused,
}

/// Whether a call tries out a suspect endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trial {
    /// It does.
    Yes,
    /// It does not.
    No,
}

/// What is known of one endpoint from the calls that it has ended.
///
/// ```
/// use health::{Admission, CallResult, EndpointHealth, Trial};
/// use model::Time;
///
/// let mut health = EndpointHealth::default();
/// let route = "orders".parse().unwrap();
/// assert_eq!(health.admit(Time::ZERO, false, false), Admission::Admitted(Trial::No));
/// health.record(Time::ZERO, Time::ZERO, &route, CallResult::Broken);
/// assert_eq!(health.admit(Time::ZERO, false, false), Admission::Refused);
/// ```
#[derive(Debug, Clone, Default)]
pub struct EndpointHealth {
    score: f64,
    scored_at: Time,
    usual: HashMap<RouteName, UsualTime>,
    /// When the last idempotent call came, also if it was refused.
    idempotent_at: Option<Time>,
    /// Set while the endpoint is suspect.
    suspicion: Option<Suspicion>,
}

/// Moving average of the time that calls of a route take.
#[derive(Debug, Clone, Copy, Default)]
struct UsualTime {
    mean: f64,
    calls: u32,
}

impl UsualTime {
    /// Takes the time of a call, and tells whether it was slow.
    fn take(&mut self, took: Duration) -> bool {
        let seconds = took.as_secs_f64();
        let limit = (self.mean * SLOW_FACTOR).max(self.mean + SLOW_MARGIN.as_secs_f64());
        let is_slow = self.calls >= MIN_CALLS && seconds > limit;
        let shift = match is_slow {
            true => SLOW_SHIFT,
            false => f64::from(self.calls + 1).min(USUAL_SHIFT),
        };
        self.calls = self.calls.saturating_add(1);
        self.mean += (seconds - self.mean) / shift;
        is_slow
    }
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: Time,
    next_trial: Time,
    /// When a call that must not be repeated may serve as the next trial.
    last_trial: Time,
    successes: u32,
    failures: u32,
}

impl Suspicion {
    /// Sets the times of the next trials after a failure or at the start of a trial.
    fn pause(&mut self, now: Time) {
        let pause = TRIAL_PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        let pause = pause.min(MAX_TRIAL_PAUSE);
        self.next_trial = now + pause;
        self.last_trial = self.next_trial + IDEMPOTENT_FIRST;
    }
}

impl EndpointHealth {
    /// Decides about a call. `insists` tells that the entry knows no better endpoint.
    pub fn admit(&mut self, now: Time, is_idempotent: bool, insists: bool) -> Admission {
        if is_idempotent {
            self.idempotent_at = Some(now);
        }
        let Some(suspicion) = &mut self.suspicion else { return Admission::Admitted(Trial::No) };
        let comes = self.idempotent_at.is_some_and(|at| now.since(at) < IDEMPOTENT_SEEN);
        let due = match (is_idempotent, comes) {
            (true, _) => suspicion.next_trial,
            (false, true) => suspicion.last_trial + IDEMPOTENT_COMES,
            (false, false) => suspicion.last_trial,
        };
        if !insists && now < due {
            return Admission::Refused;
        }
        suspicion.pause(now);
        Admission::Admitted(Trial::Yes)
    }

    /// Takes the end of a call. Tells since when the endpoint is suspect if this call has made it
    /// suspect, or has ended that. A call from before the suspicion tells nothing new.
    pub fn record(
        &mut self,
        started: Time,
        now: Time,
        route: &RouteName,
        result: CallResult,
    ) -> Option<Time> {
        if self.suspicion.is_some_and(|suspicion| started < suspicion.since) {
            return None;
        }
        let elapsed = now.since(self.scored_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.score *= (-elapsed).exp2();
        self.scored_at = self.scored_at.max(now);
        match result {
            CallResult::Success(took) => match self.is_slow(route, took) {
                true => self.failed(now, SLOW_WEIGHT),
                false => self.succeeded(now),
            },
            CallResult::Shed | CallResult::DependencyFailed => None,
            CallResult::ServerError => self.failed(now, ERROR_WEIGHT),
            CallResult::Broken => self.failed(now, 1.0),
        }
    }

    /// Since when the endpoint is suspect.
    pub fn suspect_since(&self) -> Option<Time> {
        self.suspicion.map(|suspicion| suspicion.since)
    }

    fn is_slow(&mut self, route: &RouteName, took: Duration) -> bool {
        if let Some(usual) = self.usual.get_mut(route) {
            return usual.take(took);
        }
        self.usual.entry(route.clone()).or_default().take(took)
    }

    fn succeeded(&mut self, now: Time) -> Option<Time> {
        self.score *= SUCCESS_FACTOR;
        let suspicion = self.suspicion.as_mut()?;
        suspicion.successes += 1;
        // After a success the next trial need not wait.
        suspicion.next_trial = now;
        if suspicion.successes < TRIALS_NEEDED {
            return None;
        }
        let since = suspicion.since;
        self.suspicion = None;
        self.score = 0.0;
        Some(since)
    }

    fn failed(&mut self, now: Time, weight: f64) -> Option<Time> {
        self.score += weight;
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.successes = 0;
            suspicion.failures += 1;
            suspicion.pause(now);
            return None;
        }
        if self.score < SUSPECT_SCORE {
            return None;
        }
        let mut suspicion =
            Suspicion { since: now, next_trial: now, last_trial: now, successes: 0, failures: 0 };
        suspicion.pause(now);
        self.suspicion = Some(suspicion);
        Some(now)
    }
}
