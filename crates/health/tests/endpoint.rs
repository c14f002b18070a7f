//! Health of one endpoint as its guard sees it.

use std::time::Duration;

use health::{Admission, CallResult, EndpointHealth, Trial};
use model::{RouteName, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const QUICK: CallResult = CallResult::Success(Duration::from_millis(50));

fn ms(now: u64) -> Time {
    Time::from_micros(now * 1000)
}

fn route() -> RouteName {
    "orders".parse().unwrap()
}

/// Records calls 100 ms apart and returns the number after which the endpoint is suspect.
fn suspect_after(health: &mut EndpointHealth, results: impl Iterator<Item = CallResult>) -> usize {
    let mut now = ms(0);
    for (index, result) in results.enumerate() {
        now = now + Duration::from_millis(100);
        health.record(now, now, &route(), result);
        if health.suspect_since().is_some() {
            return index + 1;
        }
    }
    usize::MAX
}

#[track_caller]
fn check(results: &[CallResult], expected: usize) {
    let mut health = EndpointHealth::default();
    let endless = results.iter().copied().cycle().take(300);
    assert_eq!(suspect_after(&mut health, endless), expected, "{results:?}");
}

/// Guards against a detection that needs more calls than an endpoint sees in some seconds, and
/// against suspicion of a healthy endpoint for its usual errors.
#[test]
fn few_calls_decide() {
    use CallResult::{Broken, ServerError, Shed};
    check(&[Broken], 1);
    check(&[QUICK, Broken], 2);
    check(&[ServerError], 2);
    check(&[QUICK, QUICK, ServerError], 9);
    check(&[Shed], usize::MAX);
    let mut mostly_good = vec![QUICK; 30];
    mostly_good.push(ServerError);
    check(&mostly_good, usize::MAX);
}

/// Guards against a slow endpoint that stays in use, and against suspicion of one that has always
/// been slow, or whose short calls vary.
#[test]
fn slowness_is_measured_against_the_own_past() {
    let slow = CallResult::Success(Duration::from_millis(400));
    let mut turned_slow = vec![QUICK; 20];
    turned_slow.extend([slow; 20]);
    check(&turned_slow, 23);
    check(&[slow], usize::MAX);
    let short = |ms| CallResult::Success(Duration::from_millis(ms));
    let mut varying = vec![short(2); 20];
    varying.extend([short(30); 20]);
    check(&varying, usize::MAX);
}

/// Guards against non-idempotent calls as trials while there is an alternative, against trials that
/// follow each other at once, and against an endpoint that never comes back.
#[test]
fn a_suspect_endpoint_is_tried_by_idempotent_calls() {
    let mut health = EndpointHealth::default();
    health.record(ms(0), ms(0), &route(), CallResult::Broken);
    let trial = Admission::Admitted(Trial::Yes);
    assert_eq!(health.admit(ms(10), true, false), Admission::Refused);
    assert_eq!(health.admit(ms(10), false, true), trial, "an entry insists");
    assert_eq!(health.admit(ms(250), true, false), Admission::Refused, "a trial is under way");
    assert_eq!(health.admit(ms(270), true, false), trial);
    assert_eq!(health.record(ms(300), ms(300), &route(), QUICK), None);
    assert_eq!(health.admit(ms(300), false, false), Admission::Refused);
    assert_eq!(health.admit(ms(301), true, false), trial);
    assert_eq!(health.record(ms(350), ms(350), &route(), QUICK), Some(ms(0)));
    assert_eq!(health.admit(ms(351), false, false), Admission::Admitted(Trial::No));
}

/// Guards against calls that are lost as trials of an endpoint which idempotent calls would try as well.
#[test]
fn where_idempotent_calls_come_others_are_trials_much_later() {
    let mut health = EndpointHealth::default();
    assert_eq!(health.admit(ms(0), true, false), Admission::Admitted(Trial::No));
    health.record(ms(0), ms(0), &route(), CallResult::Broken);
    // From 250 ms on an idempotent call is a trial; others wait for it for 6 s.
    assert_eq!(health.admit(ms(6249), false, false), Admission::Refused);
    assert_eq!(health.admit(ms(6250), false, false), Admission::Admitted(Trial::Yes));
    // 10 s without one: the endpoint gets none.
    health.record(ms(6250), ms(6300), &route(), CallResult::Broken);
    assert_eq!(health.admit(ms(9_999), false, false), Admission::Refused);
    assert_eq!(health.admit(ms(10_000), false, false), Admission::Admitted(Trial::Yes));
}

/// Guards against trials that keep failing calls while an endpoint is out of order for long, and
/// against one that has to wait for long after its recovery.
#[test]
fn failed_trials_follow_at_growing_pauses() {
    let mut health = EndpointHealth::default();
    health.record(ms(0), ms(0), &route(), CallResult::Broken);
    let (mut tried_at, mut last) = (Vec::new(), 0);
    for now in 1..=8000 {
        if health.admit(ms(now), true, false) != Admission::Refused {
            health.record(ms(now), ms(now), &route(), CallResult::Broken);
            tried_at.push(now - last);
            last = now;
        }
    }
    assert_eq!(tried_at, [250, 500, 1000, 2000, 2000, 2000]);
    assert_eq!(health.record(ms(8001), ms(8001), &route(), QUICK), None);
    assert_eq!(health.record(ms(8002), ms(8002), &route(), QUICK), Some(ms(0)));
}

/// Guards against an endpoint that is tried late because several calls were under way when it broke, and
/// against one that is trusted again for answers from before.
#[test]
fn calls_from_before_a_suspicion_are_no_trials() {
    let mut health = EndpointHealth::default();
    health.record(ms(0), ms(100), &route(), CallResult::Broken);
    for call in 0..5 {
        health.record(ms(call), ms(101), &route(), CallResult::Broken);
        health.record(ms(call), ms(102), &route(), QUICK);
    }
    assert!(health.suspect_since().is_some());
    assert_eq!(health.admit(ms(349), true, false), Admission::Refused);
    assert_eq!(health.admit(ms(350), true, false), Admission::Admitted(Trial::Yes));
}

/// Guards against a service without idempotent calls whose endpoints never come back, and against calls
/// that are lost as trials although an idempotent one would have come soon after.
#[test]
fn without_idempotent_calls_another_one_is_the_trial() {
    let mut health = EndpointHealth::default();
    health.record(ms(0), ms(0), &route(), CallResult::Broken);
    assert_eq!(health.admit(ms(1749), false, false), Admission::Refused);
    assert_eq!(health.admit(ms(1750), false, false), Admission::Admitted(Trial::Yes));
    assert_eq!(health.admit(ms(1900), false, false), Admission::Refused);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against suspicion that a failing endpoint escapes by chance or that a good one never
    /// leaves, whatever happened before.
    #[test]
    fn the_latest_calls_decide(before in prop::collection::vec(0..4_u8, 0..60)) {
        let mut health = EndpointHealth::default();
        let mut now = ms(0);
        let mut step = |health: &mut EndpointHealth, result| {
            now = now + Duration::from_millis(100);
            health.record(now, now, &route(), result);
        };
        for kind in before {
            step(&mut health, match kind {
                0 => QUICK,
                1 => CallResult::ServerError,
                2 => CallResult::Broken,
                _ => CallResult::Shed,
            });
        }
        step(&mut health, CallResult::Broken);
        prop_assert!(health.suspect_since().is_some());
        for _ in 0..2 {
            step(&mut health, QUICK);
        }
        prop_assert!(health.suspect_since().is_none());
    }
}
