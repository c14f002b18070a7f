//! Server errors caused by failed calls of the endpoint to other services.

use health::{CallResult, DependencyFailures, EndpointHealth};
use model::Time;

fn ms(now: u64) -> Time {
    Time::from_micros(now * 1000)
}

/// An endpoint must not become suspect for the failures of a service that it calls.
#[test]
fn dependency_failures_do_not_make_an_endpoint_suspect() {
    let mut health = EndpointHealth::default();
    let route = "orders".parse().unwrap();
    for call in 0..20 {
        health.record(ms(call * 100), ms(call * 100), &route, CallResult::DependencyFailed);
    }
    assert_eq!(health.suspect_since(), None);
}

/// A single dependency failure must not hide several errors of the endpoint itself, and a failure from
/// before the call started must not count as its cause.
#[test]
fn a_dependency_failure_explains_one_error_of_a_call_running_at_that_time() {
    let mut failures = DependencyFailures::default();
    failures.record(ms(100));
    failures.record(ms(200));
    assert!(!failures.take_failure_since(ms(250)), "both failures precede the start of the call");
    assert!(failures.take_failure_since(ms(150)));
    assert!(!failures.take_failure_since(ms(150)), "the later failure has already been used");
    assert!(failures.take_failure_since(ms(50)));
    assert!(!failures.take_failure_since(ms(50)));
}

/// The number of recorded failures must stay bounded during an outage.
#[test]
fn recorded_failures_are_bounded() {
    let mut failures = DependencyFailures::default();
    (0..10_000).for_each(|at| failures.record(ms(at)));
    let taken = (0..10_000).filter(|_| failures.take_failure_since(ms(0))).count();
    assert!(taken < 100, "{taken} failures taken");
}
