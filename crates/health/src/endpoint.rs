//! Outlier detection for one endpoint, based on the results of its calls.

use std::collections::HashMap;
use std::time::Duration;

use model::{LatencyEstimate, RouteName, Time};

/// Failure score at which an endpoint becomes suspect.
const SUSPECT_SCORE_THRESHOLD: f64 = 1.0;

/// Half-life of the failure score.
const SCORE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Factor applied to the score for each successful call. With server errors evenly
/// spaced at one in three calls, the third makes the endpoint suspect; at one in a hundred, none does.
const SUCCESS_SCORE_FACTOR: f64 = 0.8;

/// Score of a server error. It is below the threshold because healthy endpoints return some too.
const SERVER_ERROR_SCORE: f64 = 0.6;

/// Score of a slow call. It is low because another service may be the cause.
const SLOW_CALL_SCORE: f64 = 0.5;

/// A call is slow above this multiple of the mean latency of its route.
const SLOW_LATENCY_FACTOR: f64 = 4.0;

/// A slow call also exceeds the mean latency by this margin, so that scheduling delays on a busy
/// processor don't make short calls slow.
const SLOW_LATENCY_MARGIN: Duration = Duration::from_millis(40);

/// A call is overdue when it has run for the mean latency of its route plus this many mean
/// deviations. About 1 in 40 calls of a healthy endpoint takes longer, even if latencies vary by a
/// factor of two.
const OVERDUE_DEVIATIONS: u32 = 4;

/// Shortest time after which a call is overdue if its route has no baseline. Calls of most routes take
/// 50 to 800 ms.
const MIN_DEFAULT_OVERDUE_AFTER: Duration = Duration::from_millis(1500);

/// Fraction of the latency goal of a route, as a divisor, after which a call is overdue if the route has no
/// baseline. The goal tells how long the calls of the route may take: with a fixed time, routes whose
/// calls take seconds made each new endpoint suspect by their first two calls.
const DEFAULT_OVERDUE_GOAL_DIVISOR: u32 = 2;

/// Calls of a route needed before its mean latency is used as a baseline.
const MIN_BASELINE_CALLS: u32 = 8;

/// A call contributes 1/16 to the moving average of the latency.
const BASELINE_EWMA_DIVISOR: u32 = 16;

/// A slow call contributes 1/64, so the baseline takes some tens of calls to follow a lasting change.
const SLOW_CALL_EWMA_DIVISOR: u32 = 64;

/// Consecutive successful probes after which a suspect endpoint is trusted again. An endpoint that
/// fails half of its calls passes two in a row one time in four.
const REQUIRED_PROBE_SUCCESSES: u32 = 2;

/// Delay between the failure that made an endpoint suspect and the first probe with an idempotent
/// call. It doubles with each failed probe up to [`MAX_PROBE_INTERVAL`].
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest delay between probes. Longer than the first intervals, since each failed probe uses up a retry
/// of the retry limit; short compared with outages, which last from some seconds to some tens of seconds,
/// so that recovery is noticed soon.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a due probe waits for an idempotent call. After that, a non-idempotent call may serve as
/// the probe, since endpoints without idempotent calls could not recover otherwise.
const NON_IDEMPOTENT_PROBE_DELAY: Duration = Duration::from_millis(1500);

/// Additional delay of non-idempotent probes at endpoints that receive idempotent calls, long enough for
/// several idempotent probes to fail first. Even under low load, most non-idempotent probes (16 of 27)
/// fail, and their calls with them.
const EXTRA_NON_IDEMPOTENT_PROBE_DELAY: Duration = Duration::from_millis(4500);

/// An endpoint counts as receiving idempotent calls if the last one arrived within this time.
const RECENT_IDEMPOTENT_CALL_WINDOW: Duration = Duration::from_secs(10);

/// Result of a call, classified by what it says about the health of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// A complete answer other than a server error, with this latency.
    Success(Duration),
    /// The call has run for longer than [`EndpointHealth::overdue_after`] and goes on. Such calls are
    /// reported while they run, because an endpoint that hangs has failed many calls by the time
    /// that the first one reaches its deadline.
    Overdue,
    /// A complete answer other than a server error to a call that was reported as overdue.
    SuccessAfterOverdue(Duration),
    /// A server error caused by the endpoint itself. Healthy endpoints return some too.
    ServerError,
    /// The connection failed or was lost, the answer timed out, or it was malformed.
    Broken,
    /// The endpoint refused the call without running it, which shows overload rather than a fault.
    Shed,
    /// A server error caused by a failed call of the endpoint to another service.
    DependencyFailed,
}

/// Whether the endpoint accepts a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthDecision {
    /// The call may run.
    Admitted(CallRole),
    /// The endpoint is suspect and accepts no call of this kind now.
    Refused,
}

/// Role of an admitted call in outlier detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRole {
    /// The call tests whether a suspect endpoint has recovered.
    Probe,
    /// The endpoint is trusted.
    Regular,
}

/// Health of one endpoint, derived from the results of its calls. Failures add to a decaying score; at
/// the threshold the endpoint becomes suspect, and accepts only probes until some succeed in a row.
///
/// ```
/// use health::{CallResult, CallRole, EndpointHealth, HealthDecision};
/// use model::Time;
///
/// let mut health = EndpointHealth::default();
/// let route = "orders".parse().unwrap();
/// assert_eq!(health.admit(Time::ZERO, false, false), HealthDecision::Admitted(CallRole::Regular));
/// health.record(Time::ZERO, Time::ZERO, &route, CallResult::Broken);
/// assert_eq!(health.admit(Time::ZERO, false, false), HealthDecision::Refused);
/// ```
#[derive(Debug, Clone, Default)]
pub struct EndpointHealth {
    score: f64,
    score_updated_at: Time,
    baselines: HashMap<RouteName, LatencyBaseline>,
    /// Arrival of the last idempotent call, whether it was admitted or refused.
    last_idempotent_at: Option<Time>,
    /// Set while the endpoint is suspect.
    suspect_state: Option<SuspectState>,
}

/// Moving average of the latency of a route.
#[derive(Debug, Clone, Copy, Default)]
struct LatencyBaseline(LatencyEstimate);

impl LatencyBaseline {
    /// Adds the latency of a call, and returns whether the call was slow.
    fn observe(&mut self, latency: Duration) -> bool {
        let mean = self.0.mean();
        let limit = mean.mul_f64(SLOW_LATENCY_FACTOR).max(mean + SLOW_LATENCY_MARGIN);
        let is_slow = self.is_known() && latency > limit;
        match is_slow {
            true => self.0.observe_weighted(latency, SLOW_CALL_EWMA_DIVISOR),
            false => self.0.observe(latency, BASELINE_EWMA_DIVISOR),
        }
        is_slow
    }

    /// Whether there have been enough calls to compare others with them.
    fn is_known(&self) -> bool {
        self.0.samples() >= MIN_BASELINE_CALLS
    }
}

/// Progress of probing while the endpoint is suspect.
#[derive(Debug, Clone, Copy)]
struct SuspectState {
    since: Time,
    next_probe_at: Time,
    /// When a non-idempotent call may serve as the next probe.
    next_non_idempotent_probe_at: Time,
    probe_successes: u32,
    probe_failures: u32,
}

impl SuspectState {
    /// Schedules the next probes after a failure or when a probe starts.
    fn schedule_probes(&mut self, now: Time) {
        let interval = INITIAL_PROBE_INTERVAL * 2_u32.saturating_pow(self.probe_failures.min(8));
        let interval = interval.min(MAX_PROBE_INTERVAL);
        self.next_probe_at = now + interval;
        self.next_non_idempotent_probe_at = self.next_probe_at + NON_IDEMPOTENT_PROBE_DELAY;
    }
}

impl EndpointHealth {
    /// Decides whether a call may run. `accepts_suspect` is set when the entry node has no better
    /// endpoint; the call is then admitted even if no probe is due.
    pub fn admit(
        &mut self,
        now: Time,
        is_idempotent: bool,
        accepts_suspect: bool,
    ) -> HealthDecision {
        if is_idempotent {
            self.last_idempotent_at = Some(now);
        }
        let Some(suspect) = &mut self.suspect_state else {
            return HealthDecision::Admitted(CallRole::Regular);
        };
        let gets_idempotent_calls =
            self.last_idempotent_at.is_some_and(|at| now.since(at) < RECENT_IDEMPOTENT_CALL_WINDOW);
        let due_at = match (is_idempotent, gets_idempotent_calls) {
            (true, _) => suspect.next_probe_at,
            (false, true) => {
                suspect.next_non_idempotent_probe_at + EXTRA_NON_IDEMPOTENT_PROBE_DELAY
            }
            (false, false) => suspect.next_non_idempotent_probe_at,
        };
        if !accepts_suspect && now < due_at {
            return HealthDecision::Refused;
        }
        suspect.schedule_probes(now);
        HealthDecision::Admitted(CallRole::Probe)
    }

    /// Records the result of a call. If the endpoint becomes suspect, or is trusted again, returns the
    /// time at which it became suspect (`now` in the first case). Calls that started before that time are ignored while it is suspect.
    pub fn record(
        &mut self,
        started: Time,
        now: Time,
        route: &RouteName,
        result: CallResult,
    ) -> Option<Time> {
        if self.suspect_state.is_some_and(|suspect| started < suspect.since) {
            return None;
        }
        let elapsed =
            now.since(self.score_updated_at).as_secs_f64() / SCORE_HALF_LIFE.as_secs_f64();
        self.score *= (-elapsed).exp2();
        self.score_updated_at = self.score_updated_at.max(now);
        match result {
            CallResult::Success(latency) => match self.observe_latency(route, latency) {
                true => self.record_failure(now, SLOW_CALL_SCORE),
                false => self.record_success(now),
            },
            CallResult::Overdue => self.record_failure(now, SLOW_CALL_SCORE),
            CallResult::SuccessAfterOverdue(latency) => {
                self.observe_latency(route, latency);
                self.record_success(now)
            }
            CallResult::Shed | CallResult::DependencyFailed => None,
            CallResult::ServerError => self.record_failure(now, SERVER_ERROR_SCORE),
            // A single broken call makes the endpoint suspect.
            CallResult::Broken => self.record_failure(now, 1.0),
        }
    }

    /// Returns when the endpoint became suspect, if it is suspect now.
    pub fn suspect_since(&self) -> Option<Time> {
        self.suspect_state.map(|suspect| suspect.since)
    }

    /// Time after which a running call of a route is overdue. `goal` is the latency goal of the route, if it
    /// has one; it counts as long as too few calls of the route have ended here.
    pub fn overdue_after(&self, route: &RouteName, goal: Option<Duration>) -> Duration {
        match self.baselines.get(route).filter(|baseline| baseline.is_known()) {
            Some(LatencyBaseline(estimate)) => {
                estimate.upper(OVERDUE_DEVIATIONS).max(estimate.mean() + SLOW_LATENCY_MARGIN)
            }
            None => {
                let by_goal = goal.map(|goal| goal / DEFAULT_OVERDUE_GOAL_DIVISOR);
                by_goal.unwrap_or_default().max(MIN_DEFAULT_OVERDUE_AFTER)
            }
        }
    }

    /// Adds the latency of a call to the baseline of its route, and returns whether the call was slow.
    fn observe_latency(&mut self, route: &RouteName, latency: Duration) -> bool {
        if let Some(baseline) = self.baselines.get_mut(route) {
            return baseline.observe(latency);
        }
        self.baselines.entry(route.clone()).or_default().observe(latency)
    }

    fn record_success(&mut self, now: Time) -> Option<Time> {
        self.score *= SUCCESS_SCORE_FACTOR;
        let suspect = self.suspect_state.as_mut()?;
        suspect.probe_successes += 1;
        // The next probe may follow a successful one immediately.
        suspect.next_probe_at = now;
        if suspect.probe_successes < REQUIRED_PROBE_SUCCESSES {
            return None;
        }
        let since = suspect.since;
        self.suspect_state = None;
        self.score = 0.0;
        Some(since)
    }

    fn record_failure(&mut self, now: Time, score: f64) -> Option<Time> {
        self.score += score;
        if let Some(suspect) = &mut self.suspect_state {
            suspect.probe_successes = 0;
            suspect.probe_failures += 1;
            suspect.schedule_probes(now);
            return None;
        }
        if self.score < SUSPECT_SCORE_THRESHOLD {
            return None;
        }
        let mut suspect = SuspectState {
            since: now,
            next_probe_at: now,
            next_non_idempotent_probe_at: now,
            probe_successes: 0,
            probe_failures: 0,
        };
        suspect.schedule_probes(now);
        self.suspect_state = Some(suspect);
        Some(now)
    }
}
