//! Checks of the steps of ownership, with a fleet of one member whose lease is always valid.

use std::time::Duration;

use assert_matches::assert_matches;
use membership::{
    Candidate, Handover, HandoverReceived, LEASE, LiveNodes, OwnerView, Ownership, PlatformState,
    QuorumLease, SETTLE, Step,
};
use model::{Epoch, Incarnation, NodeName, PartitionId, PartitionRecord, Revision, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ID: PartitionId = PartitionId(3);

fn name(node: usize) -> NodeName {
    format!("node-{node}").parse().unwrap()
}

fn candidate(node: usize) -> Candidate {
    let incarnation = Incarnation(node as u64);
    Candidate { name: name(node), incarnation, alive_since: Time::ZERO }
}

struct Owner {
    ownership: Ownership,
    lease: QuorumLease,
    live: LiveNodes,
    platform: PlatformState,
    now: Time,
}

impl Owner {
    /// Node 1, which has just started and knows no record.
    fn new() -> Owner {
        let mut lease = QuorumLease::new(name(1));
        lease.set_members([name(1)]);
        lease.applied_listing(Revision(1));
        let mut live = LiveNodes::new();
        live.insert(candidate(1));
        Owner {
            ownership: Ownership::new(name(1), Incarnation(1), [ID]),
            lease,
            live,
            platform: PlatformState::Reachable,
            now: Time::ZERO,
        }
    }

    /// Node 1, which has become the owner in epoch 1 and then handed over to node 2.
    fn after_handover() -> Owner {
        let mut owner = Owner::new();
        owner.claim();
        owner.next_after(Duration::ZERO);
        owner.next_after(LEASE + SETTLE);
        assert!(owner.ownership.may_grant(ID, &owner.lease, owner.now));
        owner.live.insert(candidate(2));
        assert!(owner.ownership.hand_over(ID, &candidate(2), owner.now).is_some());
        assert!(!owner.ownership.may_grant(ID, &owner.lease, owner.now));
        assert_eq!(owner.next_after(Duration::ZERO), Step::Stop);
        owner
    }

    fn next_after(&mut self, pause: Duration) -> Step {
        self.now = self.now + pause;
        let view = OwnerView { lease: &self.lease, live: &self.live, platform: self.platform };
        self.ownership.next(ID, &view, self.now)
    }

    fn claim(&mut self) {
        let Step::Write { record, expected: None } = self.next_after(Duration::ZERO) else {
            panic!("expected a claim");
        };
        self.ownership.set_record(ID, &record, Revision(2));
        self.lease.applied(Revision(2));
    }
}

/// Guards against a partition without an owner, and against a start before the waits are over.
#[test]
fn a_claim_starts_after_the_lease_and_the_allowances_of_the_earlier_owner() {
    let mut owner = Owner::new();
    owner.claim();
    let start = Time::ZERO + LEASE + SETTLE;
    assert_eq!(owner.next_after(Duration::ZERO), Step::WaitUntil(start));
    assert!(!owner.ownership.may_grant(ID, &owner.lease, owner.now));
    let step = owner.next_after(LEASE + SETTLE - Duration::from_micros(1));
    assert_eq!(step, Step::WaitUntil(start));
    assert_eq!(owner.next_after(Duration::from_micros(1)), Step::StartEmpty(Epoch(1)));
    assert!(owner.ownership.may_grant(ID, &owner.lease, owner.now));
    assert_eq!(owner.next_after(Duration::ZERO), Step::Nothing);
}

/// Guards against writes while the platform is down, and against a claim that is written again
/// before its answer can have come, or never again after the answer was lost.
#[test]
fn a_claim_waits_for_the_platform_and_is_repeated() {
    let mut owner = Owner::new();
    owner.platform = PlatformState::Unreachable;
    assert_eq!(owner.next_after(Duration::ZERO), Step::Nothing);
    owner.platform = PlatformState::Reachable;
    assert_matches!(owner.next_after(Duration::ZERO), Step::Write { .. });
    assert_matches!(owner.next_after(Duration::from_secs(1)), Step::WaitUntil(_));
    assert_matches!(owner.next_after(Duration::from_secs(1)), Step::Write { .. });
}

/// Guards against a partition that stays without an owner because its handover got lost: nobody
/// else claims it while the recorded owner is alive.
#[test]
fn a_handover_is_repeated_until_it_is_acknowledged_or_has_failed() {
    let retry = Duration::from_millis(500);
    let mut owner = Owner::after_handover();
    assert_matches!(owner.next_after(Duration::ZERO), Step::WaitUntil(_));
    assert_eq!(owner.next_after(retry), Step::HandOver(candidate(2)));
    let again = owner.ownership.hand_over(ID, &candidate(2), owner.now).unwrap();
    assert_eq!((again.epoch, again.hop), (Epoch(1), 1));
    assert_eq!(owner.ownership.hand_over(ID, &candidate(3), owner.now), None);
    assert_matches!(owner.next_after(Duration::from_secs(2)), Step::Write { .. });

    let mut owner = Owner::after_handover();
    owner.ownership.acknowledged(&again);
    assert_eq!(owner.next_after(Duration::from_secs(9)), Step::Nothing);
    owner.live.remove(&name(2));
    assert_matches!(owner.next_after(Duration::ZERO), Step::Write { .. });
}

/// What a node knows of a partition that node 1 owns in epoch 1.
fn informed(node: usize) -> Ownership {
    let mut ownership = Ownership::new(name(node), Incarnation(node as u64), [ID]);
    ownership.set_record(ID, &record(1, 1), Revision(2));
    ownership
}

fn record(owner: usize, epoch: u64) -> PartitionRecord {
    let incarnation = Incarnation(owner as u64);
    PartitionRecord { owner: name(owner), incarnation, epoch: Epoch(epoch) }
}

fn handover(hop: u32, to: usize) -> Handover {
    let to_incarnation = Incarnation(to as u64);
    Handover { partition: ID, epoch: Epoch(1), hop, to: name(to), to_incarnation }
}

/// The node to ask if all nodes are live but `dead`.
fn asked(ownership: &Ownership, dead: Option<usize>) -> Option<NodeName> {
    let is_live = |node: &NodeName, process: Option<Incarnation>| {
        let number = node.as_str()["node-".len()..].parse().unwrap();
        Some(number) != dead && process.is_none_or(|p| p == Incarnation(number as u64))
    };
    ownership.owner(ID, is_live).cloned()
}

/// Guards against a third node that goes on asking the giver of a handover, or follows a handover
/// to a process that is gone, or one that the platform has recorded or replaced since.
#[test]
fn a_named_handover_is_followed_until_it_is_recorded_or_its_receiver_is_gone() {
    let giver = Owner::after_handover();
    let named = giver.ownership.moved(ID).cloned();
    assert_eq!(named, Some(handover(1, 2)));
    assert_eq!(asked(&giver.ownership, None), Some(name(2)));

    let mut third = informed(3);
    assert_eq!(asked(&third, None), Some(name(1)));
    third.learn(&named.unwrap());
    assert_eq!(asked(&third, None), Some(name(2)));
    assert_eq!(third.moved(ID), Some(&handover(1, 2)), "the third node can name it as well");
    // The giver has no right any more, so it is not asked in place of the receiver.
    assert_eq!(asked(&third, Some(2)), None);
    third.learn(&Handover { to_incarnation: Incarnation(20), ..handover(2, 2) });
    assert_eq!(asked(&third, None), None);

    let mut third = informed(3);
    third.learn(&handover(1, 2));
    third.set_record(ID, &record(4, 2), Revision(3));
    assert_eq!(third.moved(ID), None);
    third.learn(&handover(9, 2));
    assert_eq!(asked(&third, None), Some(name(4)));
}

/// Guards against a receiver that follows the handover that gave it the right, or an older one, after
/// it has handed over itself, and against a holder that asks another node.
#[test]
fn a_node_follows_no_handover_that_is_older_than_its_own_right() {
    let mut node = informed(2);
    assert_eq!(node.receive(&handover(2, 2)), HandoverReceived::Accepted);
    node.learn(&handover(1, 3));
    node.learn(&handover(2, 2));
    assert_eq!((asked(&node, None), node.moved(ID)), (Some(name(2)), None));
    let given = node.hand_over(ID, &candidate(4), Time::ZERO).unwrap();
    assert_eq!(given, handover(3, 4));
    node.learn(&handover(2, 2));
    assert_eq!(asked(&node, None), Some(name(4)));
    node.learn(&handover(4, 5));
    assert_eq!(asked(&node, None), Some(name(5)));
}

#[derive(Debug, Clone)]
enum Op {
    /// The holder hands over to a node, and the message arrives or is lost.
    HandOver { to: usize, arrives: bool },
    /// A node records itself if it holds the right, or if `takes` while nobody does. The record
    /// comes only to the nodes of the mask.
    Record { node: usize, takes: bool, known_to: u8 },
    /// A node asks for grants, see [`ask`].
    Ask { node: usize },
}

const NODES: usize = 5;

fn op() -> impl Strategy<Value = Op> {
    let node = || 0..NODES;
    prop_oneof![
        4 => (node(), prop::bool::weighted(0.8))
            .prop_map(|(to, arrives)| Op::HandOver { to, arrives }),
        1 => (node(), any::<bool>(), any::<u8>())
            .prop_map(|(node, takes, known_to)| Op::Record { node, takes, known_to }),
        4 => node().prop_map(|node| Op::Ask { node }),
    ]
}

/// Asks from node to node as the node crate does but without a limit, and returns those asked.
fn ask(nodes: &mut [Ownership], from: usize) -> Vec<usize> {
    let mut path = Vec::new();
    while let Some(next) = asked(&nodes[from], None) {
        let next: usize = next.as_str()["node-".len()..].parse().unwrap();
        if path.last() == Some(&next) {
            break;
        }
        path.push(next);
        assert!(path.len() <= 100, "asked without end: {path:?}");
        if let Some(moved) = nodes[next].moved(ID).cloned() {
            nodes[from].learn(&moved);
        }
    }
    path
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        cases: 2000,
        ..ProptestConfig::default()
    })]

    /// Guards against nodes that send an asking node round in a circle or past the holder, whatever
    /// each of them knows of records and handovers. Every node is live and no process restarts.
    #[test]
    fn asking_ends_at_the_holder(ops in prop::collection::vec(op(), 1..40)) {
        let new = |node| Ownership::new(name(node), Incarnation(node as u64), [ID]);
        let mut nodes: Vec<Ownership> = (0..NODES).map(new).collect();
        for node in &mut nodes {
            node.set_record(ID, &record(0, 1), Revision(1));
        }
        prop_assert_eq!(nodes[0].receive(&handover(1, 0)), HandoverReceived::Accepted);
        let (mut holder, mut epoch) = (Some(0), 1);
        // A node that lacks the last record may not reach the nodes that only the record leads to.
        let mut informed = u8::MAX;
        for op in ops {
            match op {
                Op::HandOver { to, arrives } => {
                    let Some(from) = holder else { continue };
                    let Some(message) = nodes[from].hand_over(ID, &candidate(to), Time::ZERO) else {
                        continue;
                    };
                    holder = None;
                    // As long as the receiver lacks the giver's record it takes the right anyway.
                    if arrives && nodes[to].receive(&message) == HandoverReceived::Accepted {
                        holder = Some(to);
                    }
                }
                Op::Record { node, takes, known_to } => {
                    let is_holder = holder == Some(node);
                    let is_free = takes && holder.is_none();
                    if !is_holder && !is_free {
                        continue;
                    }
                    epoch += 1;
                    informed = known_to | 1 << node;
                    let known = (0..NODES).filter(|other| informed & (1 << other) != 0);
                    for other in known.collect::<Vec<_>>() {
                        nodes[other].set_record(ID, &record(node, epoch), Revision(epoch));
                    }
                    if !is_holder {
                        // Stands for the waits of a new owner.
                        let start = Handover { epoch: Epoch(epoch), ..handover(1, node) };
                        prop_assert_eq!(nodes[node].receive(&start), HandoverReceived::Accepted);
                        holder = Some(node);
                    }
                }
                Op::Ask { node } => {
                    let path = ask(&mut nodes, node);
                    let Some(holder) = holder else { continue };
                    if informed & (1 << node) != 0 {
                        prop_assert_eq!(path.last(), Some(&holder), "asked {:?}", path);
                    }
                }
            }
        }
    }
}
