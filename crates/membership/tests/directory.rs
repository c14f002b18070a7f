//! Checks of the directory and of the own announcements.

use std::time::Duration;

use expect_test::{Expect, expect};
use membership::{Announced, Announcements, Directory, TableApplied};
use model::{
    Endpoint, EndpointMark, EndpointState, Incarnation, Labels, NodeName, Selector, Slots, Time,
};

fn endpoint(name: &str, service: &str, tier: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        name: name.parse().unwrap(),
        service: service.parse().unwrap(),
        labels: Labels::from([("tier".into(), tier.into())]),
        addr: "127.0.0.1:9000".parse().unwrap(),
        slots: Slots(3),
        state,
        load: 0,
    }
}

fn ready(name: &str, tier: &str) -> Endpoint {
    endpoint(name, "orders", tier, EndpointState::Ready)
}

fn node(name: &str) -> NodeName {
    name.parse().unwrap()
}

fn usable(directory: &Directory, selector: &str, millis: u64) -> String {
    let selector: Selector = selector.parse().unwrap();
    let now = Time::from_micros(1000 * millis);
    let found = directory.usable(&"orders".parse().unwrap(), &selector, now);
    let mut names: Vec<_> = found.map(|entry| format!("{}@{}", entry.name, entry.node)).collect();
    names.sort();
    names.join(" ")
}

fn check(directory: &Directory, selector: &str, millis: u64, expected: Expect) {
    expected.assert_eq(&usable(directory, selector, millis));
}

/// Guards against an older table that takes the place of a newer one, from the same process or
/// from one that was replaced.
#[test]
fn an_older_table_never_replaces_a_newer_one() {
    let mut directory = Directory::new(node("own"));
    let mut check = |incarnation, version, name: &str, expected, all: &str| {
        let table = vec![ready(name, "gold")];
        let applied = directory.apply_table(&node("n1"), Incarnation(incarnation), version, table);
        assert_eq!(applied, expected);
        let entries = directory.all(&"orders".parse().unwrap());
        let names: Vec<_> = entries.iter().map(|entry| entry.name.as_str()).collect();
        assert_eq!(names.join(" "), all);
    };
    check(9, 5, "a", TableApplied::Replaced, "a");
    check(9, 5, "b", TableApplied::Stale, "a");
    check(9, 4, "b", TableApplied::Stale, "a");
    check(9, 6, "b", TableApplied::Replaced, "b");
    check(2, 1, "c", TableApplied::Replaced, "c");
    check(9, 7, "d", TableApplied::Stale, "c");
    directory.pong(&node("n1"), Incarnation(3), Time::ZERO);
    assert_eq!(directory.table_version(&node("n1"), Incarnation(3)), None);
    assert!(directory.all(&"orders".parse().unwrap()).is_empty());
}

/// Guards against calls to an endpoint that is drained, not ready, not picked, or behind a node
/// that doesn't answer.
#[test]
fn only_open_endpoints_of_live_nodes_are_usable() {
    let mut directory = Directory::new(node("own"));
    let own = vec![ready("e1", "gold"), endpoint("e2", "dues", "gold", EndpointState::Ready)];
    directory.apply_table(&node("own"), Incarnation(1), 1, own);
    let theirs = vec![
        ready("e3", "gold"),
        ready("e4", "tin"),
        endpoint("e5", "orders", "gold", EndpointState::Starting),
        endpoint("e6", "orders", "gold", EndpointState::Leaving),
    ];
    directory.apply_table(&node("n1"), Incarnation(1), 1, theirs);
    check(&directory, "", 0, expect!["e1@own"]);
    directory.pong(&node("n1"), Incarnation(1), Time::ZERO);
    check(&directory, "", 1999, expect!["e1@own e3@n1 e4@n1"]);
    check(&directory, "", 2000, expect!["e1@own"]);
    check(&directory, "tier=gold", 100, expect!["e1@own e3@n1"]);

    let drain = EndpointMark { labels: Labels::new(), drained: true };
    let gold = Labels::from([("tier".into(), "gold".into()), ("x".into(), "y".into())]);
    let relabel = EndpointMark { labels: gold, drained: false };
    let set = |directory: &mut Directory, name: &str, mark| {
        directory.set_marks([(name.parse().unwrap(), mark)]);
    };
    set(&mut directory, "e1", Some(drain));
    set(&mut directory, "e4", Some(relabel));
    check(&directory, "tier=gold", 100, expect!["e3@n1 e4@n1"]);
    // A mark also applies to a table that arrives after it.
    directory.apply_table(&node("n1"), Incarnation(1), 2, vec![ready("e4", "tin")]);
    check(&directory, "tier=gold,x=y", 100, expect!["e4@n1"]);
    set(&mut directory, "e1", None);
    set(&mut directory, "e4", None);
    check(&directory, "", 100, expect!["e1@own e4@n1"]);
    check(&directory, "tier=tin", 100, expect!["e4@n1"]);

    directory.remove_node(&node("n1"));
    directory.apply_table(&node("n2"), Incarnation(1), 1, vec![ready("e7", "tin")]);
    check(&directory, "", 100, expect!["e1@own"]);
}

/// Guards against endpoints that stay after their upstream has gone, against a new table for each
/// change of the load, and against an announcement that undoes the stop.
#[test]
fn announcements_expire_and_a_stop_is_final() {
    let at = |millis: u64| Time::from_micros(1000 * millis);
    let mut own = Announcements::new();
    assert_eq!(own.announce(ready("a", "gold"), at(0)), Announced::Changed);
    assert_eq!(own.announce(ready("b", "gold"), at(500)), Announced::Changed);
    let loaded = Endpoint { load: 90, ..ready("a", "gold") };
    assert_eq!(own.announce(loaded, at(1000)), Announced::Unchanged);
    assert_eq!(own.endpoint(&"a".parse().unwrap()).unwrap().load, 90);
    assert_eq!(own.next_expiry(), Some(at(500) + Duration::from_secs(3)));
    assert!(own.expire(at(3499)).is_empty());
    assert_eq!(own.version(), 2);
    assert_eq!(own.expire(at(3500)), ["b".parse().unwrap()]);
    assert_eq!(own.version(), 3);
    own.stop();
    own.announce(ready("a", "gold"), at(3600));
    own.announce(ready("c", "gold"), at(3600));
    assert!(own.table().iter().all(|endpoint| endpoint.state == EndpointState::Leaving));
}

/// Guards against an endpoint that stays in the table after its upstream has refused a connection,
/// and against one that does not come back with its next announcement.
#[test]
fn a_withdrawn_endpoint_comes_back_with_its_next_announcement() {
    let (name, now) = ("a".parse().unwrap(), Time::ZERO);
    let mut own = Announcements::new();
    own.announce(ready("a", "gold"), now);
    assert_eq!(own.withdraw(&name), Announced::Changed);
    assert_eq!((own.version(), own.table().len(), own.next_expiry()), (2, 0, None));
    assert_eq!(own.withdraw(&name), Announced::Unchanged);
    assert_eq!(own.version(), 2);
    assert_eq!(own.announce(ready("a", "gold"), now), Announced::Changed);
    assert_eq!((own.version(), own.table().len()), (3, 1));
}
