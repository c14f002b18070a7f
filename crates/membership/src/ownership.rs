//! Ownership of partitions: who may grant tokens and eject endpoints.
//!
//! The record of a partition in the platform names its owner and an epoch that grows with each
//! record. The right to grant in an epoch belongs to one process at a time. It comes into being
//! when the process named by a new record has waited until no earlier owner can still act, and it
//! moves by a handover, in which the giver gives up the right before it sends the message.
//!
//! Until the platform has recorded a handover, only its two ends know of it. A node that is asked in
//! vain therefore names the newest handover that it knows of, and the asking node remembers it, see
//! [`Ownership::learn`]. Handovers within an epoch are numbered, so two nodes that each name the
//! other are told apart by the number, and a node never follows an older handover after a newer one.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{
    Epoch, Incarnation, NodeName, PartitionId, PartitionRecord, Revision, Time, stable_hash,
};

use crate::lease::{Confirmation, LEASE, QuorumLease};

/// Wait for the allowances of an earlier owner, after its lease can't be valid any more.
pub const SETTLE: Duration = Duration::from_millis(1200);

/// Time for a conditional write to be answered and to reach the replica.
const WRITE_RETRY: Duration = Duration::from_secs(2);

/// Time between two sends of a handover message that is not acknowledged.
const HANDOVER_RETRY: Duration = Duration::from_millis(500);

/// Time after which a handover that is not acknowledged is taken for failed, and the giver claims
/// the partition anew.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// An owner hands over to a node that ranks higher after the node has been alive for this long, so
/// that a node that keeps restarting doesn't move partitions each time.
const STABLE: Duration = Duration::from_secs(10);

/// A live member that could own partitions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub name: NodeName,
    /// Its current process.
    pub incarnation: Incarnation,
    /// Since when it has been heard from without a break.
    pub alive_since: Time,
}

/// Members that are alive, synced and not stopping, the own node included.
///
/// Each node's name is hashed once. Hashing every name for every partition would take several
/// hundred milliseconds of a tick at the design size.
#[derive(Debug, Clone, Default)]
pub struct LiveNodes {
    nodes: BTreeMap<NodeName, (Candidate, u64)>,
}

impl LiveNodes {
    /// No nodes.
    pub fn new() -> LiveNodes {
        LiveNodes::default()
    }

    /// Adds a node, or a new process in place of an earlier one.
    pub fn insert(&mut self, candidate: Candidate) {
        let hash = match self.nodes.get(&candidate.name) {
            Some((_, hash)) => *hash,
            None => stable_hash(&[candidate.name.as_str().as_bytes()]),
        };
        self.nodes.insert(candidate.name.clone(), (candidate, hash));
    }

    /// Removes a node.
    pub fn remove(&mut self, name: &NodeName) {
        self.nodes.remove(name);
    }

    /// The node with a name.
    pub fn candidate(&self, name: &NodeName) -> Option<&Candidate> {
        self.nodes.get(name).map(|(candidate, _)| candidate)
    }

    /// The node with the highest rank for the partition, `without` one node. Adding or removing a
    /// node moves only the partitions that it wins.
    pub fn preferred(&self, id: PartitionId, without: Option<&NodeName>) -> Option<&Candidate> {
        let seed = mix(u64::from(id.0));
        let nodes = self.nodes.values().filter(|(node, _)| Some(&node.name) != without);
        // Of two equal ranks the later name wins, on every node.
        nodes.max_by_key(|(_, hash)| mix(hash ^ seed)).map(|(candidate, _)| candidate)
    }

    fn process(&self, name: &NodeName, incarnation: Incarnation) -> Option<&Candidate> {
        self.candidate(name).filter(|candidate| candidate.incarnation == incarnation)
    }
}

/// Spreads every input bit over the whole result, by the finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// What a decision is based on.
#[derive(Debug, Clone, Copy)]
pub struct OwnerView<'a> {
    /// The own lease.
    pub lease: &'a QuorumLease,
    /// The nodes that could own partitions.
    pub live: &'a LiveNodes,
    /// Whether the own node has had an answer of the platform lately.
    pub platform: PlatformState,
}

/// Whether the platform can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformState {
    /// It answers.
    Reachable,
    /// It doesn't answer.
    Unreachable,
}

/// The message that moves the right to grant without the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handover {
    /// The partition.
    pub partition: PartitionId,
    /// Epoch of the record under which the giver granted.
    pub epoch: Epoch,
    /// Number of handovers within the epoch, this one included.
    pub hop: u32,
    /// The receiving node.
    pub to: NodeName,
    /// The receiving process; a later one must not act on the message.
    pub to_incarnation: Incarnation,
}

/// What became of a handover message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverReceived {
    /// The own node owns the partition now and takes over the bucket levels of the message.
    Accepted,
    /// A duplicate of a message that was accepted. To be acknowledged again, without effect.
    Duplicate,
    /// The message is for another process or late.
    Refused,
}

/// What to do next for a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing before the next event.
    Nothing,
    /// Ask again at this time.
    WaitUntil(Time),
    /// Write the record if the partition's record still has the given revision (`None`: if there
    /// is none). The outcome shows in the replica, also when the answer is lost.
    Write {
        /// The record to write.
        record: PartitionRecord,
        /// Revision of the record that it replaces.
        expected: Option<Revision>,
    },
    /// The own node has become the owner: start with empty buckets and without ejections.
    StartEmpty(Epoch),
    /// The own node is no longer the owner: drop the buckets and ejections.
    Stop,
    /// The process should hand over to this candidate: call [`Ownership::hand_over`]. Also asks
    /// for the repetition of a message that was not acknowledged.
    HandOver(Candidate),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Right {
    None,
    Held { epoch: Epoch, hop: u32 },
}

#[derive(Debug)]
enum Claim {
    None,
    Writing { until: Time },
    Confirming(Confirmation),
    Waiting { until: Time },
}

/// A handover that the process has made.
#[derive(Debug)]
struct Given {
    message: Handover,
    since: Time,
    next_send: Time,
    is_acknowledged: bool,
}

#[derive(Debug)]
struct Partition {
    record: Option<(PartitionRecord, Revision)>,
    right: Right,
    claim: Claim,
    /// Epoch and hop of the newest right that was held; an older one must not be accepted.
    newest: (Epoch, u32),
    /// The handover that gave the newest right away.
    given: Option<Given>,
    /// The newest handover that is known, made by this process or learned from another node, while
    /// it is newer than the record and than every right that this process has held.
    moved: Option<Handover>,
    /// Whether the caller has buckets for the partition.
    is_started: bool,
}

/// Ownership of all partitions, as one process sees it.
#[derive(Debug)]
pub struct Ownership {
    own: NodeName,
    incarnation: Incarnation,
    partitions: BTreeMap<PartitionId, Partition>,
}

impl Ownership {
    /// A process that owns nothing.
    pub fn new(
        own: NodeName,
        incarnation: Incarnation,
        partitions: impl IntoIterator<Item = PartitionId>,
    ) -> Ownership {
        let empty = || Partition {
            record: None,
            right: Right::None,
            claim: Claim::None,
            newest: (Epoch(0), 0),
            given: None,
            moved: None,
            is_started: false,
        };
        let partitions = partitions.into_iter().map(|id| (id, empty())).collect();
        Ownership { own, incarnation, partitions }
    }

    /// The record of a partition in the own replica, with the revision of its write. To be called
    /// together with the move of the replica, before the lease learns of it.
    pub fn set_record(&mut self, id: PartitionId, record: &PartitionRecord, revision: Revision) {
        let is_own = record.owner == self.own && record.incarnation == self.incarnation;
        let Some(partition) = self.partitions.get_mut(&id) else { return };
        if partition.record.as_ref().is_some_and(|(_, known)| *known >= revision) {
            return;
        }
        partition.record = Some((record.clone(), revision));
        partition.claim = Claim::None;
        partition.moved.take_if(|moved| moved.epoch < record.epoch);
        let Right::Held { epoch, .. } = partition.right else {
            if is_own && record.epoch > partition.newest.0 {
                partition.claim = Claim::Confirming(Confirmation::new(revision));
            }
            return;
        };
        if epoch >= record.epoch {
            return;
        }
        // The own record directly after the epoch of a handover only records it.
        if is_own && record.epoch.0 == epoch.0 + 1 {
            partition.hold(record.epoch, 0);
            return;
        }
        partition.right = Right::None;
        if is_own {
            partition.claim = Claim::Confirming(Confirmation::new(revision));
        }
    }

    /// Tells whether the own process may grant for the partition at this moment. To be asked in
    /// the same step as each grant.
    pub fn may_grant(&self, id: PartitionId, lease: &QuorumLease, now: Time) -> bool {
        let Some(partition) = self.partitions.get(&id) else { return false };
        let Right::Held { epoch, .. } = partition.right else { return false };
        let recorded = partition.record.as_ref().map(|(record, _)| record.epoch);
        recorded == Some(epoch) && lease.is_valid(now)
    }

    /// The node to ask for grants: the own one while it holds the right, else the receiver of the
    /// newest known handover, else the recorded owner. `None` if `can_own` rejects that node: a
    /// received right is lost with its process, so an earlier holder is not asked instead.
    ///
    /// `can_own` tells whether a node, or a certain process of it, is live.
    pub fn owner(
        &self,
        id: PartitionId,
        can_own: impl Fn(&NodeName, Option<Incarnation>) -> bool,
    ) -> Option<&NodeName> {
        let partition = self.partitions.get(&id)?;
        let (owner, process) = match (partition.right, &partition.moved, &partition.record) {
            (Right::Held { .. }, _, _) => (&self.own, None),
            (Right::None, Some(moved), _) => (&moved.to, Some(moved.to_incarnation)),
            (Right::None, None, Some((record, _))) => (&record.owner, None),
            (Right::None, None, None) => return None,
        };
        can_own(owner, process).then_some(owner)
    }

    /// The newest known handover that the platform has not recorded, to be named to a node that
    /// asks this one in vain.
    pub fn moved(&self, id: PartitionId) -> Option<&Handover> {
        self.partitions.get(&id)?.moved.as_ref()
    }

    /// Takes note of a handover that another node has named. Ignored unless it is newer than the
    /// record, than every other known handover, and than the rights that this process has held.
    pub fn learn(&mut self, moved: &Handover) {
        let Some(partition) = self.partitions.get_mut(&moved.partition) else { return };
        let number = (moved.epoch, moved.hop);
        let known = partition.moved.as_ref().map(|known| (known.epoch, known.hop));
        let recorded = partition.record.as_ref().map(|(record, _)| record.epoch);
        let is_newer = number > partition.newest
            && known.is_none_or(|known| number > known)
            && recorded.is_none_or(|epoch| moved.epoch >= epoch);
        if is_newer {
            partition.moved = Some(moved.clone());
        }
    }

    /// Decides what to do next for a partition. To be called on a timer and after each event.
    pub fn next(&mut self, id: PartitionId, view: &OwnerView<'_>, now: Time) -> Step {
        let Some(partition) = self.partitions.get_mut(&id) else { return Step::Nothing };
        let is_held = partition.right != Right::None;
        if partition.is_started && !is_held {
            partition.is_started = false;
            return Step::Stop;
        }
        if is_held && !partition.is_started {
            partition.is_started = true;
            return Step::StartEmpty(partition.newest.0);
        }
        let can_write = view.platform == PlatformState::Reachable;
        match &mut partition.claim {
            Claim::Writing { until } if now < *until => return Step::WaitUntil(*until),
            Claim::Writing { .. } => partition.claim = Claim::None,
            Claim::Confirming(confirmation) => {
                if !confirmation.is_complete(view.lease, now) {
                    return Step::Nothing;
                }
                let until = now + LEASE + SETTLE;
                partition.claim = Claim::Waiting { until };
                return Step::WaitUntil(until);
            }
            Claim::Waiting { until } if now < *until => return Step::WaitUntil(*until),
            // A process without a lease may have been deposed without knowing it.
            Claim::Waiting { .. } if !view.lease.is_valid(now) => return Step::Nothing,
            Claim::Waiting { .. } => {
                partition.claim = Claim::None;
                if let Some((record, _)) = &partition.record {
                    partition.hold(record.epoch, 0);
                    partition.is_started = true;
                    return Step::StartEmpty(partition.newest.0);
                }
            }
            Claim::None => {}
        }
        if !view.lease.is_valid(now) {
            return Step::Nothing;
        }
        let recorded = partition.record.as_ref().map(|(record, _)| record);
        let is_recorded = recorded.is_some_and(|record| {
            record.owner == self.own && record.incarnation == self.incarnation
        });
        if is_held && !is_recorded && can_write {
            return partition.write(&self.own, self.incarnation, now);
        }
        if is_held {
            let preferred = view.live.preferred(id, None).filter(|_| can_write);
            return match preferred.filter(|c| now >= c.alive_since + STABLE) {
                Some(candidate) if candidate.name != self.own => Step::HandOver(candidate.clone()),
                _ => Step::Nothing,
            };
        }
        if is_recorded {
            // Nobody else claims while the recorded owner is alive, so a handover that fails has
            // to be noticed by its giver.
            if let Some(step) = partition.follow_up(view.live, now) {
                return step;
            }
        }
        let is_owner_alive =
            || recorded.is_some_and(|r| view.live.process(&r.owner, r.incarnation).is_some());
        let is_preferred =
            || view.live.preferred(id, None).is_some_and(|candidate| candidate.name == self.own);
        if !can_write || !is_recorded && (is_owner_alive() || !is_preferred()) {
            return Step::Nothing;
        }
        partition.write(&self.own, self.incarnation, now)
    }

    /// The candidate to hand a partition to when the process stops: the highest ranked other one.
    pub fn successor<'a>(&self, id: PartitionId, live: &'a LiveNodes) -> Option<&'a Candidate> {
        live.preferred(id, Some(&self.own))
    }

    /// Gives the right away and returns the message, which carries the bucket levels and may be
    /// repeated until it is acknowledged. `None` if the process doesn't hold the right.
    ///
    /// From here on the process doesn't grant, whether or not the message arrives.
    pub fn hand_over(&mut self, id: PartitionId, to: &Candidate, now: Time) -> Option<Handover> {
        let partition = self.partitions.get_mut(&id)?;
        if let Some(Given { message, next_send, .. }) = &mut partition.given {
            *next_send = now + HANDOVER_RETRY;
            let is_same = message.to == to.name && message.to_incarnation == to.incarnation;
            return is_same.then(|| message.clone());
        }
        let Right::Held { epoch, hop } = partition.right else { return None };
        if to.name == self.own {
            return None;
        }
        let message = Handover {
            partition: id,
            epoch,
            hop: hop + 1,
            to: to.name.clone(),
            to_incarnation: to.incarnation,
        };
        partition.right = Right::None;
        partition.claim = Claim::None;
        let next_send = now + HANDOVER_RETRY;
        let given =
            Given { message: message.clone(), since: now, next_send, is_acknowledged: false };
        partition.given = Some(given);
        partition.moved = Some(message.clone());
        Some(message)
    }

    /// The receiver has accepted the handover.
    pub fn acknowledged(&mut self, handover: &Handover) {
        let partition = self.partitions.get_mut(&handover.partition);
        if let Some(given) = partition.and_then(|partition| partition.given.as_mut()) {
            given.is_acknowledged |= given.message == *handover;
        }
    }

    /// Takes a handover message. Whether the process may grant then still depends on its lease and
    /// its replica, see [`Ownership::may_grant`].
    pub fn receive(&mut self, handover: &Handover) -> HandoverReceived {
        if handover.to != self.own || handover.to_incarnation != self.incarnation {
            return HandoverReceived::Refused;
        }
        let Some(partition) = self.partitions.get_mut(&handover.partition) else {
            return HandoverReceived::Refused;
        };
        let offered = (handover.epoch, handover.hop);
        if offered == partition.newest {
            return HandoverReceived::Duplicate;
        }
        let recorded = partition.record.as_ref().map(|(record, _)| record.epoch);
        if offered < partition.newest || recorded.is_some_and(|epoch| epoch > handover.epoch) {
            return HandoverReceived::Refused;
        }
        partition.claim = Claim::None;
        partition.hold(handover.epoch, handover.hop);
        partition.is_started = true;
        HandoverReceived::Accepted
    }
}

impl Partition {
    fn hold(&mut self, epoch: Epoch, hop: u32) {
        self.right = Right::Held { epoch, hop };
        self.newest = (epoch, hop);
        self.given = None;
        self.moved = None;
    }

    /// What the giver of a handover has to do, or `None` if there is none or it has failed.
    fn follow_up(&self, live: &LiveNodes, now: Time) -> Option<Step> {
        let given = self.given.as_ref()?;
        let Handover { to, to_incarnation, .. } = &given.message;
        let to = live.process(to, *to_incarnation)?;
        if given.is_acknowledged {
            return Some(Step::Nothing);
        }
        if now >= given.since + HANDOVER_TIMEOUT {
            return None;
        }
        if now < given.next_send {
            return Some(Step::WaitUntil(given.next_send));
        }
        Some(Step::HandOver(to.clone()))
    }

    fn write(&mut self, own: &NodeName, incarnation: Incarnation, now: Time) -> Step {
        self.claim = Claim::Writing { until: now + WRITE_RETRY };
        let recorded = self.record.as_ref();
        let epoch = recorded.map_or(0, |(record, _)| record.epoch.0);
        Step::Write {
            record: PartitionRecord { owner: own.clone(), incarnation, epoch: Epoch(epoch + 1) },
            expected: recorded.map(|(_, revision)| *revision),
        }
    }
}
