//! Checks of the quorum lease, relays and confirmations with hand-made Pongs.

use std::time::Duration;

use expect_test::{Expect, expect};
use membership::{AfterPong, Confirmation, LEASE, Pong, QuorumLease, RelayRole, Relays};
use model::{FailureDomain, Incarnation, NodeName, Revision, Time};

fn name(node: usize) -> NodeName {
    format!("node-{node}").parse().unwrap()
}

fn at(millis: u64) -> Time {
    Time::from_micros(1000 * millis)
}

fn pong(sequence: u64, revision: u64) -> Pong {
    let (incarnation, revision) = (Incarnation(1), Revision(revision));
    Pong { incarnation, sequence, revision, synced: true }
}

/// A lease of node 0 among `n` members, synced at revision 10.
fn lease(n: usize) -> QuorumLease {
    let mut lease = QuorumLease::new(name(0));
    lease.set_members((0..n).map(name));
    lease.applied_listing(Revision(10));
    lease
}

/// Guards against fleets of one that can't work and against two nodes that need no other.
#[test]
fn the_size_of_the_fleet_decides_how_many_confirm() {
    let check = |members: usize, confirming: usize, expected: bool| {
        let mut lease = lease(members);
        for peer in 1..=confirming {
            lease.ping_sent(&name(peer), 1, at(0));
            lease.pong(&name(peer), &pong(1, 10), at(5));
        }
        assert_eq!(lease.is_valid(at(100)), expected, "{members} members, {confirming} confirm");
    };
    check(1, 0, true);
    check(2, 0, false);
    check(2, 1, true);
    check(3, 1, true);
    check(4, 1, false);
    check(4, 2, true);
    check(5, 2, true);
}

/// Guards against a lease that is counted from the receipt, that a late or repeated Pong shortens
/// or prolongs, or that outlives its majority when members change.
#[test]
fn the_lease_runs_from_the_send_time_that_a_majority_has_confirmed() {
    let mut lease = lease(5);
    for (sequence, sent) in [(1, 0), (2, 1000)] {
        for peer in 1..5 {
            lease.ping_sent(&name(peer), sequence, at(sent));
        }
    }
    let until = |lease: &QuorumLease| lease.valid_until(at(0)).map(|t| t.as_micros() / 1000);
    lease.pong(&name(1), &pong(2, 10), at(1500));
    assert_eq!(until(&lease), None);
    lease.pong(&name(2), &pong(1, 10), at(1500));
    assert_eq!(until(&lease), Some(3000));
    lease.pong(&name(2), &pong(1, 10), at(1600));
    lease.pong(&name(1), &pong(1, 10), at(1600));
    assert_eq!(until(&lease), Some(3000));
    lease.pong(&name(3), &pong(2, 10), at(1700));
    assert_eq!(until(&lease), Some(4000));
    assert!(!lease.is_valid(at(4000)));
    lease.set_members([0, 1, 2, 4].map(name));
    assert_eq!(until(&lease), Some(3000));
    lease.set_members([0, 1].map(name));
    assert_eq!(until(&lease), Some(4000));
    lease.set_members([1, 4].map(name));
    assert_eq!(until(&lease), None);
}

/// Guards against a lease that rests on a peer that is ahead, and against one that is lost for a
/// heartbeat although the node has caught up meanwhile.
#[test]
fn a_peer_that_is_ahead_confirms_once_the_node_has_caught_up() {
    let mut lease = lease(3);
    lease.ping_sent(&name(1), 1, at(0));
    assert_eq!(lease.pong(&name(1), &pong(1, 12), at(5)), AfterPong::PullFrom);
    assert!(!lease.is_valid(at(6)));
    lease.applied(Revision(11));
    assert!(!lease.is_valid(at(6)));
    lease.applied(Revision(12));
    assert_eq!(lease.valid_until(at(6)), Some(at(0) + LEASE));
}

/// Guards against a Pong of a process that was replaced, and against transfers that every Pong
/// starts again.
#[test]
fn transfers_start_once_and_replaced_processes_are_ignored() {
    let mut lease = lease(4);
    let mut check = |peer: usize, sequence: u64, incarnation: u64, revision: u64, expected| {
        let (peer, now) = (name(peer), at(10 * sequence));
        lease.ping_sent(&peer, sequence, now);
        let pong = Pong { incarnation: Incarnation(incarnation), ..pong(sequence, revision) };
        assert_eq!(lease.pong(&peer, &pong, now), expected);
    };
    check(1, 1, 1, 12, AfterPong::PullFrom);
    check(2, 2, 1, 12, AfterPong::Nothing);
    check(2, 3, 1, 13, AfterPong::PullFrom);
    check(3, 4, 1, 8, AfterPong::PushTo(Revision(8)));
    check(3, 5, 1, 8, AfterPong::Nothing);
    check(3, 60, 1, 8, AfterPong::PushTo(Revision(8)));
    check(3, 61, 2, 0, AfterPong::Nothing);
    check(3, 200, 1, 20, AfterPong::Nothing);
    assert_eq!(lease.incarnation(&name(3)), Some(Incarnation(2)));
    assert!(!lease.is_alive(&name(3), at(610 + 2000)));
}

/// Guards against a majority that was made up of reports from different moments: the peer that
/// reported first may have restarted before the other one applied the change.
#[test]
fn a_restart_between_two_rounds_voids_the_confirmation() {
    let check = |second_process: u64, expected: bool| {
        let mut lease = lease(3);
        let mut confirmation = Confirmation::new(Revision(10));
        let mut round = |sequence: u64, incarnation: u64| {
            let now = at(100 * sequence);
            lease.ping_sent(&name(1), sequence, now);
            let incarnation = Incarnation(incarnation);
            lease.pong(&name(1), &Pong { incarnation, ..pong(sequence, 10) }, now);
            confirmation.is_complete(&lease, now)
        };
        assert!(!round(1, 1));
        assert_eq!(round(2, second_process), expected);
    };
    check(1, true);
    check(2, false);
}

fn relay_roles(silent_millis: u64, dead: &[usize]) -> String {
    let domain = |node: usize| -> FailureDomain { format!("d{}", node % 2).parse().unwrap() };
    let members: Vec<_> = (0..10).map(|node| (name(node), domain(node))).collect();
    let role = |node: usize| {
        let mut relays = Relays::new(name(node), at(0));
        relays.set_members(&domain(node), members.iter().map(|(name, domain)| (name, domain)));
        let is_alive = |peer: &NodeName| !dead.iter().any(|node| name(*node) == *peer);
        let mut roles = Vec::new();
        for millis in (silent_millis..).step_by(500).take(8) {
            roles.push(match relays.role(at(millis), node as f64 / 10.0, is_alive) {
                RelayRole::Relay => 'R',
                RelayRole::Standby(_) => '.',
                RelayRole::TryPlatform => 'T',
            });
        }
        roles.into_iter().collect::<String>()
    };
    (0..10).map(|node| format!("{node} {}\n", role(node))).collect()
}

fn check_roles(silent_millis: u64, dead: &[usize], expected: Expect) {
    expected.assert_eq(&relay_roles(silent_millis, dead));
}

/// Guards against a domain with more or fewer than two relays while the platform answers, and
/// against tries of the whole fleet at one moment when it doesn't.
#[test]
fn relays_are_the_two_highest_ranked_live_nodes_of_each_domain() {
    check_roles(
        0,
        &[],
        expect![[r#"
        0 .......T
        1 .......T
        2 RRRRRRRR
        3 RRRRRRRR
        4 RRRRRRRR
        5 RRRRRRRR
        6 ........
        7 ........
        8 ........
        9 ........
    "#]],
    );
    check_roles(
        0,
        &[2, 3],
        expect![[r#"
        0 RRRRRRRR
        1 .......T
        2 RRRRRRRR
        3 RRRRRRRR
        4 RRRRRRRR
        5 RRRRRRRR
        6 ........
        7 RRRRRRRR
        8 ........
        9 ........
    "#]],
    );
    check_roles(
        3000,
        &[],
        expect![[r#"
        0 .T.....T
        1 .T......
        2 RRRRRRRR
        3 RRRRRRRR
        4 RRRRRRRR
        5 RRRRRRRR
        6 ....T...
        7 .....T..
        8 .....T..
        9 ......T.
    "#]],
    );
}

/// Guards against a node that is taken for alive long after its last Pong.
#[test]
fn a_peer_is_alive_for_two_seconds_after_its_pong() {
    let mut lease = lease(2);
    assert!(lease.is_alive(&name(0), at(0)) && !lease.is_alive(&name(1), at(0)));
    lease.ping_sent(&name(1), 1, at(0));
    lease.pong(&name(1), &pong(1, 10), at(5));
    let last = at(5) + Duration::from_secs(2);
    assert!(lease.is_alive(&name(1), last - Duration::from_micros(1)));
    assert!(!lease.is_alive(&name(1), last));
}
