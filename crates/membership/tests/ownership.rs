//! Checks of the steps of ownership, with a fleet of one member whose lease is always valid.

use std::time::Duration;

use assert_matches::assert_matches;
use membership::{
    Candidate, LEASE, LiveNodes, OwnerView, Ownership, PlatformState, QuorumLease, SETTLE, Step,
};
use model::{Epoch, Incarnation, NodeName, PartitionId, Revision, Time};

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
