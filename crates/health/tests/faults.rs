//! Faults that the arbiter must detect, and situations in which it must not eject.

mod common;
mod fleet;

use std::time::Duration;

use common::{endpoint, view};
use expect_test::expect;
use fleet::{Fleet, Mode};
use health::{Action, Availability, ProbeResult};

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn failing_if(sick: bool) -> Mode {
    if sick { Mode::Failing } else { Mode::Good }
}

/// Guards against a detection that needs more than 2 s, and pins the text for operators.
#[test]
fn one_failing_endpoint_is_ejected_and_returns_after_it_recovers() {
    let mut fleet = Fleet::new(8, 1, 60);
    fleet.run(secs(40), |i, _, t| failing_if(i == 2 && t < 4.0));
    expect![[r#"
        1.0 eject e2 from r0 until 14.000000s: 20 of 20 calls failed; 0.0% of its peers' calls do
        6.0 probe e2 for r0: the backoff has passed
        6.0 probation of e2 on r0 at 5%: the probe succeeded; calls must confirm it
        11.0 slow start of e2 on r0 at 15%: its calls succeed
        13.0 slow start of e2 on r0 at 30%: its calls succeed
        15.0 slow start of e2 on r0 at 50%: its calls succeed
        17.0 slow start of e2 on r0 at 75%: its calls succeed
        19.0 return e2 to r0: slow start is complete
    "#]]
    .assert_eq(&fleet.text());
}

/// Guards against a reference that is pulled up by the sick half, and against a floor that is
/// overrun when many endpoints are sick at once.
#[test]
fn half_of_the_endpoints_failing_are_ejected_down_to_the_floor() {
    let mut fleet = Fleet::new(8, 1, 60);
    fleet.run(secs(4), |i, _, _| failing_if(i < 4));
    assert_eq!(fleet.ejected(), [0, 1, 2]);
    assert_eq!(fleet.lowest_in_use, 15);
    let kept = fleet.log.iter().find(|(_, d)| d.action == Action::KeepBecauseOfFloor).unwrap();
    assert_eq!(kept.1.endpoint, endpoint(3));
}

/// Guards against latency ejections when half of the endpoints are slow, where the cause may be
/// shared.
#[test]
fn half_of_the_endpoints_slow_are_not_ejected() {
    let mut fleet = Fleet::new(8, 1, 50);
    fleet.run(secs(30), |i, _, _| if i < 4 { Mode::Slow } else { Mode::Good });
    assert_eq!(fleet.text(), "");
}

/// Guards against false ejections by a cause that all endpoints share.
#[test]
fn a_shared_slowdown_or_outage_ejects_nothing() {
    for shared in [Mode::Slow, Mode::Failing] {
        let mut fleet = Fleet::new(14, 2, 50);
        fleet.run(secs(60), |i, _, t| {
            // The slowdown reaches the endpoints one after the other within a second.
            let start = 5.0 + i as f64 / 14.0;
            if t > start && t < 30.0 { shared } else { Mode::Good }
        });
        assert_eq!(fleet.text(), "");
    }
}

/// Guards against ejections that stand although a lost failure domain took the capacity they
/// relied on, and against returning the wrong endpoint.
#[test]
fn the_least_sick_endpoint_returns_when_a_failure_domain_is_lost() {
    let mut fleet = Fleet::new(8, 1, 50);
    // Endpoint 0 fails every call, endpoint 1 every other half second.
    fleet.run(secs(4), |i, _, t| failing_if(i == 0 || (i == 1 && t % 1.0 > 0.0)));
    assert_eq!(fleet.ejected(), [0, 1]);
    let mut states = [Availability::Available; 8];
    states[5..].fill(Availability::Unreachable);
    fleet.set_view(view(0, 50, &states));
    // The entry uses both again at once, before it hears of the arbiter.
    let weight = |fleet: &Fleet, i| fleet.entry.weight(&common::route(0), &endpoint(i), fleet.now);
    assert_eq!((weight(&fleet, 0).value(), weight(&fleet, 1).value()), (1, 1));
    fleet.lowest_in_use = u64::MAX;
    fleet.run(secs(1), |i, _, _| failing_if(i < 2));
    let returned: Vec<_> = fleet.log.iter().filter(|(_, d)| d.action == Action::Return).collect();
    assert_eq!(returned[0].1.endpoint, endpoint(1));
    assert!(fleet.lowest_in_use >= 12);
}

/// Guards against ejecting the only other endpoint, and against a verdict on latency where one of
/// two may as well be the fast one.
#[test]
fn two_endpoints() {
    let mut fleet = Fleet::new(2, 1, 50);
    fleet.run(secs(4), |i, _, _| failing_if(i == 1));
    assert_eq!(fleet.ejected(), [1]);
    let mut fleet = Fleet::new(2, 1, 60);
    fleet.run(secs(4), |i, _, _| failing_if(i == 1));
    assert_eq!(fleet.ejected(), [0; 0]);
    let mut fleet = Fleet::new(2, 1, 50);
    fleet.run(secs(20), |i, _, _| if i == 1 { Mode::Slow } else { Mode::Good });
    assert_eq!(fleet.text(), "");
}

/// Guards against ejecting an endpoint without a peer to compare with.
#[test]
fn the_only_endpoint_stays() {
    let mut fleet = Fleet::new(1, 1, 0);
    fleet.run(secs(20), |_, _, _| Mode::Failing);
    assert_eq!(fleet.text(), "");
}

/// Guards against losing the healthy routes of an endpoint that fails one of them.
#[test]
fn only_the_failing_route_is_ejected() {
    let mut fleet = Fleet::new(6, 2, 60);
    fleet.run(secs(10), |i, r, _| failing_if(i == 4 && r == 1));
    assert!(!fleet.ejections(4, 1).is_empty());
    assert!(fleet.ejections(4, 0).is_empty());
    assert_eq!(fleet.ejected(), [4]);
}

/// Guards against a return that relies on probes: the pauses between ejections must grow to the
/// longest backoff.
#[test]
fn answering_probes_does_not_end_an_ejection() {
    let mut fleet = Fleet::new(8, 1, 60);
    fleet.run(secs(300), |i, _, _| failing_if(i == 3));
    let ejections = fleet.ejections(3, 0);
    assert!(ejections[0] <= 2.0, "{ejections:?}");
    let gaps: Vec<f64> = ejections.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.windows(2).all(|pair| pair[1] >= pair[0] - 3.0), "{gaps:?}");
    assert!(*gaps.last().unwrap() >= 60.0, "{gaps:?}");
}

/// Guards against a probe failure that returns the endpoint.
#[test]
fn failing_probes_prolong_the_ejection() {
    let mut fleet = Fleet::new(8, 1, 60);
    fleet.probe = ProbeResult::Bad;
    fleet.run(secs(90), |i, _, t| failing_if(i == 3 && t < 3.0));
    assert!(!fleet.text().contains("probation"), "{}", fleet.text());
}

/// Guards against a return within each good phase: an endpoint that flaps with a period of 5 s
/// must be out of use for most of the time.
#[test]
fn a_flapping_endpoint_stays_out_longer_each_time() {
    let mut fleet = Fleet::new(8, 1, 60);
    fleet.run(secs(300), |i, _, t| failing_if(i == 3 && t % 5.0 < 2.5));
    let ejections = fleet.ejections(3, 0);
    assert!(ejections[0] <= 2.5, "{ejections:?}");
    assert!((3..=12).contains(&ejections.len()), "{ejections:?}");
    assert_eq!(fleet.ejected(), [3]);
}
