//! A small fake of a fleet: nodes with lease and ownership, one queue of messages that are
//! delivered in any order, late, twice or never, and a platform that keeps a log of writes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use membership::{
    Candidate, Handover, HandoverReceived, LEASE, LiveNodes, OwnerView, Ownership, PlatformState,
    Pong, QuorumLease, SETTLE, Step,
};
use model::{Incarnation, NodeName, PartitionId, PartitionRecord, Revision, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

pub const PARTITION: PartitionId = PartitionId(0);
/// Nodes that may become members.
const NODES: usize = 5;
const ALL: u8 = (1 << NODES) - 1;

#[derive(Debug, Clone)]
pub enum Op {
    /// Some time passes and every node sends heartbeats. The nodes of the connected group exchange
    /// changes, get their messages and decide.
    Tick {
        millis: u64,
        exchange: Exchange,
    },
    /// From now on these nodes are connected, and one node restarts before.
    Regroup(u8, Option<usize>),
    Advance(u64),
    Ping(usize),
    /// Delivers everything to the nodes of the mask and to the platform.
    Deliver(u8),
    /// Delivers one message and may keep it for another delivery.
    DeliverOne(usize, bool),
    Lose(usize),
    Write,
    ToggleMember(usize),
    Relay(usize),
    Pull(usize, usize),
    Restart(usize),
    Decide(usize, u8),
    /// The holder, or else the node that gave last, hands over to a node.
    HandOver(usize),
    /// A handover message of the past arrives once more.
    RepeatHandover(usize),
    SetPlatform(bool),
}

/// How far the nodes of a group catch up with the newest of them in one tick.
#[derive(Debug, Clone, Copy)]
pub enum Exchange {
    Nothing,
    OneRevision,
    Everything,
}

/// What happened in a run, so that a test can tell whether its oracle had anything to judge.
#[derive(Debug, Default, Clone, Copy)]
pub struct Seen {
    pub leases: usize,
    pub resynced: usize,
    pub member_changes: usize,
    pub starts: usize,
    pub handovers: usize,
    pub grants_in_outage_after_handover: usize,
}

#[derive(Debug, Clone)]
enum Body {
    Ping(u64),
    Pong(Pong),
    State(Revision),
    Write(PartitionRecord, Option<Revision>),
    Handover(Handover),
    Acknowledge(Handover),
}

#[derive(Debug, Clone)]
struct Message {
    from: usize,
    /// The receiving node, or `None` for the platform.
    to: Option<usize>,
    /// The process that the link leads to, where a later one would not get the message.
    process: Option<Incarnation>,
    body: Body,
}

enum Change {
    Other,
    Members(BTreeSet<usize>),
    Record(PartitionRecord),
}

struct Node {
    incarnation: Incarnation,
    lease: QuorumLease,
    ownership: Ownership,
    restarted: bool,
    received_handover: bool,
}

pub struct Fleet {
    now: Time,
    nodes: Vec<Node>,
    queue: Vec<Message>,
    /// The change of each revision, from revision 1 on.
    log: Vec<Change>,
    is_platform_up: bool,
    group: u8,
    handovers: Vec<Message>,
    giver: Option<usize>,
    next_number: u64,
    /// Moments at which a majority held a revision.
    held: Vec<(Time, Revision)>,
    /// Latest moment at which each process might grant.
    granted: BTreeMap<Incarnation, Time>,
    pub seen: Seen,
}

fn name(node: usize) -> NodeName {
    format!("node-{node}").parse().unwrap()
}

fn bits(mask: u8) -> impl Iterator<Item = usize> + Clone {
    (0..NODES).filter(move |node| mask & (1 << node) != 0)
}

impl Fleet {
    /// A fleet whose first `members` nodes are members and have read the platform.
    pub fn new(members: usize) -> Fleet {
        let mut fleet = Fleet {
            now: Time::from_micros(1_000_000),
            nodes: Vec::new(),
            queue: Vec::new(),
            log: vec![Change::Members((0..members).collect())],
            is_platform_up: true,
            group: ALL,
            handovers: Vec::new(),
            giver: None,
            next_number: 1,
            held: Vec::new(),
            granted: BTreeMap::new(),
            seen: Seen::default(),
        };
        for node in 0..NODES {
            let started = fleet.start(node, false);
            fleet.nodes.push(started);
            fleet.apply(node, Revision(1), true);
        }
        fleet
    }

    fn start(&mut self, node: usize, restarted: bool) -> Node {
        self.next_number += 1;
        let incarnation = Incarnation(self.next_number);
        Node {
            incarnation,
            lease: QuorumLease::new(name(node)),
            ownership: Ownership::new(name(node), incarnation, [PARTITION]),
            restarted,
            received_handover: false,
        }
    }

    /// Runs one step and checks both promises after it.
    pub fn run(&mut self, op: &Op) -> Result<(), TestCaseError> {
        match *op {
            Op::Tick { millis, exchange } => self.tick(millis, exchange)?,
            Op::Advance(millis) => self.advance(Duration::from_millis(millis)),
            Op::Regroup(group, restart) => {
                self.group = group;
                if let Some(node) = restart {
                    self.nodes[node] = self.start(node, true);
                }
            }
            Op::Ping(node) => self.ping(node),
            Op::Deliver(mask) => self.deliver_to(mask),
            Op::DeliverOne(at, keep) if !self.queue.is_empty() => {
                let at = at % self.queue.len();
                let message = self.queue.remove(at);
                if keep {
                    self.queue.push(message.clone());
                }
                self.deliver(message);
            }
            Op::Lose(at) if !self.queue.is_empty() => {
                let at = at % self.queue.len();
                self.queue.remove(at);
            }
            Op::DeliverOne(..) | Op::Lose(_) => {}
            Op::Write => self.write(Change::Other),
            Op::ToggleMember(node) => self.toggle_member(node),
            Op::Relay(node) if self.is_platform_up => self.apply(node, self.latest(), false),
            Op::Relay(_) => {}
            Op::Pull(to, from) => {
                let state = Body::State(self.nodes[from].lease.revision());
                self.send(from, Some(to), None, state);
            }
            Op::Restart(node) => self.nodes[node] = self.start(node, true),
            Op::Decide(node, mask) => self.decide(node, mask)?,
            Op::HandOver(to) => {
                let holds =
                    |node: &Node| node.ownership.may_grant(PARTITION, &node.lease, self.now);
                if let Some(from) = self.nodes.iter().position(holds).or(self.giver) {
                    self.hand_over(from, to);
                }
            }
            Op::RepeatHandover(at) if !self.handovers.is_empty() => {
                let message = self.handovers[at % self.handovers.len()].clone();
                self.deliver(message);
            }
            Op::RepeatHandover(_) => {}
            Op::SetPlatform(up) => self.is_platform_up = up,
        }
        self.check_lease()?;
        self.check_grants()
    }

    fn latest(&self) -> Revision {
        Revision(self.log.len() as u64)
    }

    fn advance(&mut self, by: Duration) {
        let next = self.now + by;
        for node in &self.nodes {
            if node.ownership.may_grant(PARTITION, &node.lease, self.now) {
                let until = node.lease.valid_until(self.now).unwrap().min(next);
                self.granted.insert(node.incarnation, until);
            }
        }
        self.now = next;
    }

    fn tick(&mut self, millis: u64, exchange: Exchange) -> Result<(), TestCaseError> {
        self.advance(Duration::from_millis(millis));
        let group = self.group;
        let newest = match self.is_platform_up {
            true => Some(self.latest()),
            false => bits(group).map(|node| self.nodes[node].lease.revision()).max(),
        };
        for node in bits(group) {
            let next = Revision(self.nodes[node].lease.revision().0 + 1);
            match (exchange, newest) {
                (Exchange::Everything, Some(newest)) => self.apply(node, newest, false),
                (Exchange::OneRevision, Some(newest)) => self.apply(node, next.min(newest), false),
                _ => {}
            }
        }
        (0..NODES).for_each(|node| self.ping(node));
        self.deliver_to(group);
        bits(group).try_for_each(|node| self.decide(node, group))
    }

    fn send(&mut self, from: usize, to: Option<usize>, process: Option<Incarnation>, body: Body) {
        // The oldest messages are lost, which bounds the work of a run.
        if self.queue.len() == 200 {
            self.queue.remove(0);
        }
        self.queue.push(Message { from, to, process, body });
    }

    fn ping(&mut self, node: usize) {
        for peer in bits(ALL).filter(|peer| *peer != node) {
            self.next_number += 1;
            self.nodes[node].lease.ping_sent(&name(peer), self.next_number, self.now);
            let process = Some(self.nodes[node].incarnation);
            self.send(node, Some(peer), process, Body::Ping(self.next_number));
        }
    }

    fn deliver_to(&mut self, mask: u8) {
        let is_due = |message: &Message| message.to.is_none_or(|to| mask & (1 << to) != 0);
        for _ in 0..2 {
            let (due, rest) = std::mem::take(&mut self.queue).into_iter().partition(is_due);
            self.queue = rest;
            let due: Vec<Message> = due;
            due.into_iter().for_each(|message| self.deliver(message));
        }
    }

    fn deliver(&mut self, message: Message) {
        let Some(to) = message.to else {
            self.deliver_to_platform(message);
            return;
        };
        let node = &mut self.nodes[to];
        match message.body {
            Body::Ping(sequence) => {
                let (revision, synced) = (node.lease.revision(), node.lease.is_synced());
                let pong = Pong { incarnation: node.incarnation, sequence, revision, synced };
                self.send(to, Some(message.from), message.process, Body::Pong(pong));
            }
            Body::Pong(pong) if message.process == Some(node.incarnation) => {
                node.lease.pong(&name(message.from), &pong, self.now);
            }
            Body::Pong(_) | Body::Write(..) => {}
            Body::State(revision) => self.apply(to, revision, false),
            Body::Handover(handover) => match node.ownership.receive(&handover) {
                HandoverReceived::Refused => {}
                received => {
                    if received == HandoverReceived::Accepted {
                        self.seen.handovers += 1;
                        node.received_handover = true;
                    }
                    self.send(to, Some(message.from), None, Body::Acknowledge(handover));
                }
            },
            Body::Acknowledge(handover) => node.ownership.acknowledged(&handover),
        }
    }

    fn deliver_to_platform(&mut self, message: Message) {
        if !self.is_platform_up {
            self.queue.push(message);
            return;
        }
        let Body::Write(record, expected) = message.body else { return };
        let current = self.log.iter().rposition(|change| matches!(change, Change::Record(_)));
        if current.map(|at| Revision(at as u64 + 1)) == expected {
            self.log.push(Change::Record(record));
        }
    }

    fn write(&mut self, change: Change) {
        if self.is_platform_up {
            self.log.push(change);
        }
    }

    fn members(&self, revision: Revision) -> &BTreeSet<usize> {
        let known = self.log[..revision.0 as usize].iter().rev();
        known
            .filter_map(|change| match change {
                Change::Members(members) => Some(members),
                _ => None,
            })
            .next()
            .expect("the first change sets the members")
    }

    /// Adds or removes one member, once the change before is in force.
    fn toggle_member(&mut self, node: usize) {
        let last = self.log.iter().rposition(|change| matches!(change, Change::Members(_)));
        let last = Revision(last.unwrap() as u64 + 1);
        let in_force =
            |(at, revision): &(Time, Revision)| *revision >= last && *at + LEASE <= self.now;
        if !self.held.iter().any(in_force) {
            return;
        }
        let mut members = self.members(self.latest()).clone();
        if !members.remove(&node) {
            members.insert(node);
        }
        if members.len() >= 2 {
            self.write(Change::Members(members));
            self.seen.member_changes += 1;
        }
    }

    fn apply(&mut self, node: usize, to: Revision, is_listing: bool) {
        let from = self.nodes[node].lease.revision();
        if to <= from {
            return;
        }
        let members: Vec<_> = self.members(to).iter().map(|member| name(*member)).collect();
        let Node { lease, ownership, .. } = &mut self.nodes[node];
        // A delta holds the last write of each object only.
        let mut records = self.log[from.0 as usize..to.0 as usize].iter().enumerate().rev();
        let record = records.find_map(|(at, change)| match change {
            Change::Record(record) => Some((record, Revision(from.0 + at as u64 + 1))),
            _ => None,
        });
        if let Some((record, revision)) = record {
            ownership.set_record(PARTITION, record, revision);
        }
        lease.set_members(members);
        if is_listing { lease.applied_listing(to) } else { lease.applied(to) }
    }

    fn candidate(&self, node: usize) -> Candidate {
        let incarnation = self.nodes[node].incarnation;
        Candidate { name: name(node), incarnation, alive_since: Time::ZERO }
    }

    fn decide(&mut self, at: usize, mask: u8) -> Result<(), TestCaseError> {
        let mut live = LiveNodes::new();
        bits(mask).for_each(|node| live.insert(self.candidate(node)));
        let platform = match self.is_platform_up {
            true => PlatformState::Reachable,
            false => PlatformState::Unreachable,
        };
        let node = &mut self.nodes[at];
        let view = OwnerView { lease: &node.lease, live: &live, platform };
        match node.ownership.next(PARTITION, &view, self.now) {
            Step::Write { record, expected } => {
                self.send(at, None, None, Body::Write(record, expected));
            }
            Step::HandOver(to) => {
                let to = (0..NODES).find(|node| name(*node) == to.name).unwrap();
                self.hand_over(at, to);
            }
            Step::StartEmpty(_) => {
                self.seen.starts += 1;
                for (process, until) in &self.granted {
                    let is_spent = *process == node.incarnation || *until + SETTLE <= self.now;
                    prop_assert!(is_spent, "allowances of {process} outlive its successor's start");
                }
            }
            Step::Nothing | Step::WaitUntil(_) | Step::Stop => {}
        }
        Ok(())
    }

    fn hand_over(&mut self, from: usize, to: usize) {
        let target = &self.candidate(to);
        if let Some(handover) = self.nodes[from].ownership.hand_over(PARTITION, target, self.now) {
            self.send(from, Some(to), None, Body::Handover(handover));
            self.giver = Some(from);
            self.handovers.extend(self.queue.last().cloned());
        }
    }

    /// The theorem of section 6.1 of the design page.
    fn check_lease(&mut self) -> Result<(), TestCaseError> {
        let is_held = |revision: &Revision| {
            let members = self.members(*revision);
            let has = |node: &&usize| self.nodes[**node].lease.revision() >= *revision;
            members.iter().filter(has).count() > members.len() / 2
        };
        let held = (1..=self.latest().0).rev().map(Revision).find(is_held);
        self.held.extend(held.map(|revision| (self.now, revision)));
        let past = self.held.iter().filter(|(at, _)| *at + LEASE <= self.now);
        let in_force = past.map(|(_, revision)| *revision).max().unwrap_or_default();
        for (node, state) in self.nodes.iter_mut().enumerate() {
            if state.lease.is_valid(self.now) {
                let own = state.lease.revision();
                prop_assert!(own >= in_force, "node {node} has {own}, in force is {in_force}");
                self.seen.leases += 1;
                self.seen.resynced += usize::from(std::mem::take(&mut state.restarted));
            }
        }
        Ok(())
    }

    fn check_grants(&mut self) -> Result<(), TestCaseError> {
        let may = |node: &&Node| node.ownership.may_grant(PARTITION, &node.lease, self.now);
        let granting: Vec<&Node> = self.nodes.iter().filter(may).collect();
        prop_assert!(granting.len() <= 1, "{} nodes may grant", granting.len());
        for node in granting {
            self.granted.insert(node.incarnation, self.now);
            let is_moved = node.received_handover && !self.is_platform_up;
            self.seen.grants_in_outage_after_handover += usize::from(is_moved);
        }
        Ok(())
    }
}

fn mask() -> impl Strategy<Value = u8> {
    prop_oneof![1 => Just(ALL), 3 => 1..=ALL]
}

/// Steps in which `disorder` is the weight of everything but regular operation.
pub fn ops(disorder: u32) -> impl Strategy<Value = Vec<Op>> {
    let node = 0..NODES;
    let millis = prop_oneof![3 => Just(50u64), 1 => Just(200), 2 => Just(900)];
    let exchange = prop_oneof![
        1 => Just(Exchange::Nothing),
        1 => Just(Exchange::OneRevision),
        4 => Just(Exchange::Everything),
    ];
    let regroup = (mask(), prop::option::of(node.clone()));
    let op = prop_oneof![
        40 => (millis, exchange).prop_map(|(millis, exchange)| Op::Tick { millis, exchange }),
        4 => regroup.prop_map(|(mask, restart)| Op::Regroup(mask, restart)),
        4 => Just(Op::Write),
        // Mostly between two nodes, so that partitions come back to earlier holders.
        8 => prop_oneof![3 => 0..2usize, 1 => node.clone()].prop_map(Op::HandOver),
        2 => any::<bool>().prop_map(Op::SetPlatform),
        1 => node.clone().prop_map(Op::ToggleMember),
        3 => (0usize..50).prop_map(Op::RepeatHandover),
        disorder => (1u64..4000).prop_map(Op::Advance),
        disorder => node.clone().prop_map(Op::Ping),
        2 * disorder => mask().prop_map(Op::Deliver),
        disorder => (0usize..200, any::<bool>()).prop_map(|(at, keep)| Op::DeliverOne(at, keep)),
        disorder => (0usize..200).prop_map(Op::Lose),
        disorder => node.clone().prop_map(Op::Relay),
        disorder => (node.clone(), node.clone()).prop_map(|(to, from)| Op::Pull(to, from)),
        disorder => node.clone().prop_map(Op::Restart),
        disorder => (node, mask()).prop_map(|(node, mask)| Op::Decide(node, mask)),
    ];
    prop::collection::vec(op, 1..160)
}

/// A configuration with a fixed seed, so that every run checks the same cases.
pub fn cfg(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
