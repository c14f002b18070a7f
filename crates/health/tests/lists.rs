//! How an entry applies lists, and how a new arbiter adopts what entries hold.

mod common;
#[expect(dead_code, reason = "these tests need only a part of the fleet")]
mod fleet;

use std::time::Duration;

use common::{endpoint, route, view};
use fleet::{Fleet, Mode};
use health::{
    Action, Applied, Arbiter, Availability, EJECTION_LEASE, EjectionList, Ejections, ListEntry,
    QuorumLease, TAKEOVER_WAIT, Weight,
};
use model::{Epoch, Time};

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1000)
}

fn list(epoch: u64, sequence: u64, ejected: &[usize]) -> EjectionList {
    let entries = ejected.iter().map(|&i| ListEntry {
        route: route(0),
        endpoint: endpoint(i),
        weight: Weight::EJECTED,
        remaining: EJECTION_LEASE,
        held: EJECTION_LEASE,
        level: 2,
    });
    EjectionList { epoch: Epoch(epoch), sequence, entries: entries.collect() }
}

struct Entry(Ejections);

impl Entry {
    fn apply(&mut self, list: &EjectionList, sent: Option<Time>, now: Time) -> Applied {
        let applied = self.0.apply(list, sent, now);
        self.0.review(&view(0, 50, &[Availability::Available; 4]), now);
        applied
    }

    fn check(&self, now: Time, expected: [u8; 4]) {
        let weight = |i| self.0.weight(&route(0), &endpoint(i), now).value();
        assert_eq!([0, 1, 2, 3].map(weight), expected, "at {now}");
    }
}

/// Guards against a list that was long under way: counted from its receipt, the ejection would
/// outlive the arbiter's count of it.
#[test]
fn a_lease_counts_from_the_sending_of_the_request() {
    let mut entry = Entry(Ejections::new());
    entry.apply(&list(1, 1, &[0]), Some(at(1000)), at(5000));
    entry.check(at(5400), [0, 100, 100, 100]);
    entry.check(at(5500), [100, 100, 100, 100]);
    entry.apply(&list(1, 2, &[0]), Some(at(5000)), at(10_000));
    entry.check(at(10_000), [100, 100, 100, 100]);
}

/// Guards against an ejection by a list of unknown age.
#[test]
fn a_list_that_answers_no_request_ejects_nothing() {
    let mut entry = Entry(Ejections::new());
    entry.apply(&list(1, 1, &[0]), None, at(1000));
    entry.check(at(1000), [1, 100, 100, 100]);
}

/// Guards against duplicates that renew a lease and late lists that undo a newer one.
#[test]
fn older_lists_and_duplicates_are_ignored() {
    let mut entry = Entry(Ejections::new());
    let first = list(1, 7, &[0]);
    assert_eq!(entry.apply(&first, Some(at(0)), at(10)), Applied::Applied);
    assert_eq!(entry.apply(&first, Some(at(4000)), at(4010)), Applied::Older);
    entry.check(at(4500), [100, 100, 100, 100]);
    assert_eq!(entry.apply(&list(2, 1, &[1]), Some(at(4500)), at(4510)), Applied::Applied);
    assert_eq!(entry.apply(&list(1, 8, &[0]), Some(at(4520)), at(4530)), Applied::Older);
    entry.check(at(4530), [100, 0, 100, 100]);
}

/// Guards against ejections that are in force without a check of the floor by the entry.
#[test]
fn the_entry_suspends_ejections_that_its_own_view_does_not_allow() {
    let mut entry = Entry(Ejections::new());
    entry.0.apply(&list(1, 1, &[0, 1]), Some(at(0)), at(0));
    entry.check(at(0), [1, 1, 100, 100]);
    entry.0.review(&view(0, 50, &[Availability::Available; 4]), at(0));
    entry.check(at(0), [0, 0, 100, 100]);
    let mut states = [Availability::Available; 4];
    states[3] = Availability::Unreachable;
    entry.0.review(&view(0, 50, &states), at(0));
    entry.check(at(0), [1, 1, 100, 100]);
}

/// Guards against an adopted ejection that is lost, counted twice or renewed before the
/// predecessor can no longer have replaced it.
#[test]
fn a_new_arbiter_adopts_ejections() {
    let mut fleet = Fleet::new(6, 1, 50);
    fleet.run(Duration::from_secs(2), |i, _, _| if i == 0 { Mode::Failing } else { Mode::Good });
    let now = fleet.now;
    let held = fleet.entry.held(now);
    assert_eq!(held.len(), 1);
    assert_eq!(held[0].level, 1);
    let mut arbiter = Arbiter::new(Epoch(2), now);
    arbiter.update_route(fleet.views[0].clone(), now);
    arbiter.adopt(&held[0], now);
    arbiter.adopt(&held[0], now);
    let list = arbiter.list(now);
    assert_eq!(list.entries.len(), 1);
    assert_eq!(list.entries[0].weight, Weight::LOWEST);
    assert_eq!(list.entries[0].held, held[0].remaining);
    let mut t = now;
    while t < now + TAKEOVER_WAIT {
        assert_eq!(arbiter.tick(QuorumLease::Valid, t), []);
        t = t + Duration::from_millis(250);
    }
    let decisions = arbiter.tick(QuorumLease::Valid, t);
    assert_eq!(decisions.len(), 1, "{decisions:?}");
    assert_eq!(decisions[0].action, Action::Eject { until: t + EJECTION_LEASE });
}

/// Guards against a gap or a wait after a graceful handover.
#[test]
fn a_handover_continues_ejections() {
    let mut fleet = Fleet::new(6, 1, 50);
    fleet.run(Duration::from_secs(2), |i, _, _| if i == 0 { Mode::Failing } else { Mode::Good });
    let now = fleet.now;
    let old = std::mem::replace(&mut fleet.arbiter, Arbiter::new(Epoch(1), now));
    let mut arbiter = Arbiter::resume(Epoch(2), &old.hand_over(now), fleet.views.clone(), now);
    let list = arbiter.list(now + Duration::from_millis(100));
    assert_eq!(list.entries[0].weight, Weight::EJECTED);
    assert_eq!(list.entries[0].endpoint, endpoint(0));
}

/// Guards against a second wait of 8 s after a graceful handover, in which nothing is ejected, and
/// against a handover that cuts the wait of its giver short.
#[test]
fn a_handover_continues_the_wait() {
    let mut fleet = Fleet::new(6, 1, 50);
    let start = fleet.now;
    for waited in [Duration::from_secs(3), TAKEOVER_WAIT, TAKEOVER_WAIT * 2] {
        let now = start + waited;
        let old = Arbiter::new(Epoch(1), start);
        let handover = old.hand_over(now);
        assert_eq!(handover.wait, TAKEOVER_WAIT.saturating_sub(waited));
        fleet.now = now;
        fleet.arbiter = Arbiter::resume(Epoch(2), &handover, fleet.views.clone(), now);
        let failing = |i, _, _| if i == 0 { Mode::Failing } else { Mode::Good };
        fleet.run(handover.wait.saturating_sub(Duration::from_millis(500)), failing);
        assert!(fleet.entry.held(fleet.now).is_empty(), "ejected within the wait");
        let is_ejected = (0..5).any(|_| {
            fleet.run(Duration::from_millis(500), failing);
            !fleet.entry.held(fleet.now).is_empty()
        });
        assert!(is_ejected, "not ejected within 2 s after the wait");
        fleet = Fleet::new(6, 1, 50);
    }
}

/// Guards against an endpoint that takes all calls again because its arbiter changed in the middle
/// of its return, and against a backoff that starts anew.
#[test]
fn a_handover_continues_probation_and_the_level() {
    let mut fleet = Fleet::new(6, 1, 50);
    fleet.run(Duration::from_secs(2), |i, _, _| if i == 0 { Mode::Failing } else { Mode::Good });
    fleet.run(Duration::from_secs(6), |_, _, _| Mode::Good);
    let now = fleet.now;
    let before = fleet.arbiter.list(now);
    assert!((1..100).contains(&before.entries[0].weight.value()), "{before:?}");
    let old = std::mem::replace(&mut fleet.arbiter, Arbiter::new(Epoch(1), now));
    let mut arbiter = Arbiter::resume(Epoch(2), &old.hand_over(now), fleet.views.clone(), now);
    assert_eq!(arbiter.list(now).entries, before.entries);
}

/// Guards against an ejection that is not counted because the new arbiter does not know its route.
#[test]
fn a_handover_of_an_unknown_route_waits() {
    let mut fleet = Fleet::new(6, 1, 50);
    fleet.run(Duration::from_secs(2), |i, _, _| if i == 0 { Mode::Failing } else { Mode::Good });
    let now = fleet.now;
    let old = std::mem::replace(&mut fleet.arbiter, Arbiter::new(Epoch(1), now));
    let arbiter = Arbiter::resume(Epoch(2), &old.hand_over(now), Vec::new(), now);
    assert_eq!(arbiter.hand_over(now).wait, TAKEOVER_WAIT);
}

/// Guards against an arbiter that goes on ejecting after its node lost the majority.
#[test]
fn a_lapsed_quorum_lease_ends_ejections() {
    let mut fleet = Fleet::new(6, 1, 50);
    fleet.run(Duration::from_secs(2), |i, _, _| if i == 0 { Mode::Failing } else { Mode::Good });
    let later = fleet.now + EJECTION_LEASE;
    fleet.arbiter.tick(QuorumLease::Lapsed, fleet.now + Duration::from_secs(1));
    assert!(fleet.arbiter.list(later).entries.iter().all(|e| e.weight > Weight::EJECTED));
    let decisions = fleet.arbiter.tick(QuorumLease::Lapsed, later);
    assert_eq!(decisions[0].action, Action::Return);
}
