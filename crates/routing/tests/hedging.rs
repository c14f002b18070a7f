//! Delay of second attempts.

use std::time::Duration;

use model::Time;
use routing::{
    AttemptEnd, BodyState, CallAttempts, HedgePolicy, Idempotence, RetryParams, UnsentRetryLimiter,
};

const TIMEOUT: Duration = Duration::from_millis(500);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a second attempt that comes too late to be answered before the timeout: at a route
/// without observations, and at one whose attempts hang.
#[test]
fn the_second_attempt_has_half_of_the_timeout() {
    let mut policy = HedgePolicy::default();
    assert_eq!(policy.delay(TIMEOUT), millis(250));
    for _ in 0..100 {
        policy.observe(millis(490));
    }
    assert_eq!(policy.delay(TIMEOUT), millis(250));
}

/// Guards against second attempts for calls of usual duration, which would double the load, and
/// against a delay that stays long after a service has become faster.
#[test]
fn the_delay_follows_the_latencies() {
    let mut policy = HedgePolicy::default();
    let latencies = [80, 100, 120, 140, 160];
    for millis in latencies.iter().cycle().take(200) {
        policy.observe(Duration::from_millis(*millis));
    }
    let delay = policy.delay(TIMEOUT);
    assert!((160..=220).contains(&delay.as_millis()), "{delay:?}");
    for _ in 0..100 {
        policy.observe(millis(10));
    }
    assert!(policy.delay(TIMEOUT) < millis(60), "{:?}", policy.delay(TIMEOUT));
}

/// Guards against a request that is sent to more endpoints than its route allows, and against a
/// non-idempotent one that runs twice.
#[test]
fn a_second_attempt_counts_towards_the_attempts_of_the_route() {
    let may_hedge = |idempotence, max_attempts, failures: u32, body| {
        let deadline = Time::from_micros(1_000_000);
        let mut attempts = CallAttempts::new(RetryParams { idempotence, deadline, max_attempts });
        let mut limiter = UnsentRetryLimiter::default();
        for _ in 0..failures {
            attempts.on_attempt_end(AttemptEnd::ServerError, body, &mut limiter, Time::ZERO);
        }
        attempts.may_hedge(body)
    };
    use BodyState::{Consumed, Replayable};
    use Idempotence::{Idempotent, NonIdempotent};
    assert!(may_hedge(Idempotent, 2, 0, Replayable));
    assert!(may_hedge(Idempotent, 3, 1, Replayable));
    assert!(!may_hedge(Idempotent, 1, 0, Replayable));
    assert!(!may_hedge(Idempotent, 2, 1, Replayable));
    assert!(!may_hedge(Idempotent, 2, 0, Consumed));
    assert!(!may_hedge(NonIdempotent, 8, 0, Replayable));
}
