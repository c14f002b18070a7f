//! The quorum lease: whether this node's configuration is recent enough to be relied on.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use model::{Incarnation, NodeName, Revision, Time};

use crate::incarnations::{Incarnations, Seen};

/// How long a lease lasts after the send time that a majority has confirmed.
pub const LEASE: Duration = Duration::from_secs(3);

/// A peer without a Pong for this long is not used.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Pings to one peer that may be unanswered; answers to older ones are ignored.
const MAX_PINGS: usize = 8;

/// Time for a pull or push to take effect before it is started again. Shorter than the interval
/// of heartbeats, so that a lost transfer costs at most one of them.
const TRANSFER_RETRY: Duration = Duration::from_millis(500);

/// The answer of a peer to a Ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pong {
    /// The peer's process.
    pub incarnation: Incarnation,
    /// Sequence of the Ping.
    pub sequence: u64,
    /// The peer's revision.
    pub revision: Revision,
    /// Whether the peer is synced.
    pub synced: bool,
}

/// What to do after a Pong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterPong {
    /// Nothing.
    Nothing,
    /// The peer is ahead: ask it for the changes after the own revision.
    PullFrom,
    /// The peer is behind: send it the changes after this revision.
    PushTo(Revision),
}

#[derive(Debug, Default)]
struct Peer {
    incarnations: Incarnations,
    pings: VecDeque<(u64, Time)>,
    /// Latest send time at which the peer was synced and not ahead of this node.
    confirmed: Option<Time>,
    /// Send time and revision of a Pong from a synced peer that was ahead; it confirms as soon as
    /// this node has caught up.
    ahead: Option<(Time, Revision)>,
    last_pong: Option<LastPong>,
    pushed: Option<(Revision, Time)>,
}

#[derive(Debug, Clone, Copy)]
struct LastPong {
    sent: Time,
    received: Time,
    revision: Revision,
}

/// State of the lease of one node.
///
/// The lease rests on one argument. Let a majority of the members hold revision R at one moment,
/// and let [`LEASE`] pass. A lease that is valid then was confirmed by a majority after that
/// moment. The two majorities share a member that is not ahead of this node, so this node has R.
///
/// ```
/// use membership::{LEASE, QuorumLease};
/// use model::{Revision, Time};
///
/// let own: model::NodeName = "node-1".parse().unwrap();
/// let mut lease = QuorumLease::new(own.clone());
/// lease.set_members([own]);
/// assert!(!lease.is_valid(Time::ZERO));
/// lease.applied_listing(Revision(5));
/// assert_eq!(lease.valid_until(Time::ZERO), Some(Time::ZERO + LEASE));
/// ```
#[derive(Debug)]
pub struct QuorumLease {
    own: NodeName,
    is_member: bool,
    synced: bool,
    revision: Revision,
    peers: HashMap<NodeName, Peer>,
    confirmed: Confirmed,
    pulled: Option<(Revision, Time)>,
}

impl QuorumLease {
    /// A node that has just started: without members, state or lease.
    pub fn new(own: NodeName) -> QuorumLease {
        QuorumLease {
            own,
            is_member: false,
            synced: false,
            revision: Revision::ZERO,
            peers: HashMap::new(),
            confirmed: Confirmed::default(),
            pulled: None,
        }
    }

    /// Sets the members, which are the node records of the own replica. The own node counts as a
    /// member only if it is one of them.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = NodeName>) {
        let mut members: HashSet<NodeName> = members.into_iter().collect();
        self.is_member = members.remove(&self.own);
        self.peers.retain(|name, _| members.contains(name));
        for name in members {
            self.peers.entry(name).or_default();
        }
        let times = self.peers.values().filter_map(|peer| peer.confirmed);
        self.confirmed = Confirmed::new(self.others_needed(), times);
        self.check_synced();
    }

    /// The own replica moved to a revision by a full listing of the platform, which makes the
    /// node synced.
    pub fn applied_listing(&mut self, revision: Revision) {
        self.synced = true;
        self.applied(revision);
    }

    /// The own replica moved to a revision by changes or by a copy from a peer.
    pub fn applied(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        for peer in self.peers.values_mut() {
            let Some((sent, needed)) = peer.ahead else { continue };
            if needed <= self.revision {
                peer.ahead = None;
                confirm(&mut self.confirmed, peer, sent);
            }
        }
        self.check_synced();
    }

    /// Records when a Ping was sent. To be called before it is handed to the link.
    pub fn ping_sent(&mut self, peer: &NodeName, sequence: u64, now: Time) {
        let Some(peer) = self.peers.get_mut(peer) else { return };
        if peer.pings.len() == MAX_PINGS {
            peer.pings.pop_front();
        }
        peer.pings.push_back((sequence, now));
    }

    /// Takes a Pong that came over a link of this process. Duplicates, answers to unknown Pings
    /// and answers of a replaced process are ignored.
    pub fn pong(&mut self, name: &NodeName, pong: &Pong, now: Time) -> AfterPong {
        let Some(peer) = self.peers.get_mut(name) else { return AfterPong::Nothing };
        let Some(at) = peer.pings.iter().position(|(sequence, _)| *sequence == pong.sequence)
        else {
            return AfterPong::Nothing;
        };
        let seen = peer.incarnations.observe(pong.incarnation);
        if seen == Seen::Retired {
            return AfterPong::Nothing;
        }
        // Later Pings stay, because Pongs may arrive in another order.
        let (_, sent) = peer.pings.remove(at).expect("the position was just found");
        let is_newest = seen == Seen::New || peer.last_pong.is_none_or(|last| sent >= last.sent);
        if is_newest {
            peer.last_pong = Some(LastPong { sent, received: now, revision: pong.revision });
        }
        if pong.synced && pong.revision <= self.revision {
            confirm(&mut self.confirmed, peer, sent);
        } else if pong.synced && peer.ahead.is_none_or(|(earlier, _)| sent > earlier) {
            peer.ahead = Some((sent, pong.revision));
        }
        let next = if is_newest {
            after_pong(self.revision, &mut self.pulled, peer, pong.revision, now)
        } else {
            AfterPong::Nothing
        };
        self.check_synced();
        next
    }

    /// Tells whether the state has been compared with a majority or comes from the platform.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// The own revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// End of the lease, or `None` without one. May lie in the past.
    pub fn valid_until(&self, now: Time) -> Option<Time> {
        if !self.synced {
            return None;
        }
        if self.others_needed() == 0 {
            return Some(now + LEASE);
        }
        self.confirmed.base.map(|confirmed| confirmed + LEASE)
    }

    /// Tells whether keyed calls, grants and ejections are allowed.
    pub fn is_valid(&self, now: Time) -> bool {
        self.valid_until(now).is_some_and(|until| now < until)
    }

    /// Tells whether a peer has answered within [`PEER_TIMEOUT`]. The own node is always alive.
    pub fn is_alive(&self, name: &NodeName, now: Time) -> bool {
        if *name == self.own {
            return true;
        }
        let last = self.peers.get(name).and_then(|peer| peer.last_pong);
        last.is_some_and(|last| now < last.received + PEER_TIMEOUT)
    }

    /// The newest process of a peer that has answered.
    pub fn incarnation(&self, name: &NodeName) -> Option<Incarnation> {
        self.peers.get(name)?.incarnations.current()
    }

    /// Number of members, the own node included if it is one.
    pub fn members(&self) -> usize {
        self.peers.len() + usize::from(self.is_member)
    }

    /// Members that have not reported a revision. To be listed when a change is not in force.
    pub fn missing(&self, revision: Revision) -> Vec<NodeName> {
        let has = |peer: &Peer| peer.last_pong.is_some_and(|last| last.revision >= revision);
        let mut names: Vec<_> =
            self.peers.iter().filter(|(_, p)| !has(p)).map(|(n, _)| n.clone()).collect();
        if self.is_member && self.revision < revision {
            names.push(self.own.clone());
        }
        names.sort();
        names
    }

    fn majority(&self) -> usize {
        self.members() / 2 + 1
    }

    /// Confirmations needed from other members.
    fn others_needed(&self) -> usize {
        self.majority() - usize::from(self.is_member)
    }

    /// A restarted node needs a majority of all members without itself, because its earlier
    /// process may have been a part of the majority that held a revision that the node has lost.
    fn check_synced(&mut self) {
        if !self.synced && self.revision > Revision::ZERO {
            self.synced = self.confirmed.count >= self.majority();
        }
    }
}

fn confirm(confirmed: &mut Confirmed, peer: &mut Peer, sent: Time) {
    if peer.confirmed.is_none_or(|earlier| sent > earlier) {
        confirmed.raise(peer.confirmed, sent);
        peer.confirmed = Some(sent);
    }
}

fn after_pong(
    own: Revision,
    pulled: &mut Option<(Revision, Time)>,
    peer: &mut Peer,
    theirs: Revision,
    now: Time,
) -> AfterPong {
    if theirs > own {
        let running =
            |(revision, at): (Revision, Time)| revision >= theirs && now < at + TRANSFER_RETRY;
        if pulled.is_some_and(running) {
            return AfterPong::Nothing;
        }
        *pulled = Some((theirs, now));
        return AfterPong::PullFrom;
    }
    // A peer without any state pulls a copy from one node of its choice; otherwise every member
    // would send it a full copy.
    if theirs == own || theirs == Revision::ZERO {
        return AfterPong::Nothing;
    }
    let running = |(revision, at): (Revision, Time)| revision >= own && now < at + TRANSFER_RETRY;
    if peer.pushed.is_some_and(running) {
        return AfterPong::Nothing;
    }
    peer.pushed = Some((own, now));
    AfterPong::PushTo(theirs)
}

/// The confirmed send times of the peers, and the one that enough of them have reached. A Pong
/// costs logarithmic time, since sorting all peers at each Pong would take most of the processor
/// share of the control traffic at the design size.
#[derive(Debug, Default)]
struct Confirmed {
    times: BTreeMap<Time, usize>,
    count: usize,
    needed: usize,
    base: Option<Time>,
    /// Peers with a later time than `base`; always fewer than `needed`.
    above: usize,
}

impl Confirmed {
    fn new(needed: usize, times: impl Iterator<Item = Time>) -> Confirmed {
        let mut confirmed = Confirmed { needed, ..Confirmed::default() };
        for time in times {
            confirmed.raise(None, time);
        }
        confirmed
    }

    fn raise(&mut self, earlier: Option<Time>, time: Time) {
        match earlier {
            None => self.count += 1,
            Some(earlier) => self.remove(earlier),
        }
        *self.times.entry(time).or_default() += 1;
        let is_above = |at: Time| self.base.is_none_or(|base| at > base);
        if is_above(time) && !earlier.is_some_and(is_above) {
            self.above += 1;
        }
        while self.needed > 0 && self.above >= self.needed {
            let after = self.base.map_or(Bound::Unbounded, Bound::Excluded);
            let Some((next, peers)) = self.times.range((after, Bound::Unbounded)).next() else {
                return;
            };
            self.base = Some(*next);
            self.above -= peers;
        }
    }

    fn remove(&mut self, time: Time) {
        if let Some(peers) = self.times.get_mut(&time) {
            *peers -= 1;
            if *peers == 0 {
                self.times.remove(&time);
            }
        }
    }
}

/// Establishes that a majority holds a revision at one moment.
///
/// Each peer must have reported the revision before some moment and report it again, from the
/// same process, for a Ping sent after that moment. A single round of reports is not enough: a
/// peer may lose the revision by a restart while others have not yet got it.
#[derive(Debug, Clone)]
pub struct Confirmation {
    revision: Revision,
    first: Option<(Time, Vec<(NodeName, Incarnation)>)>,
}

impl Confirmation {
    /// Starts to establish that a majority holds the revision.
    pub fn new(revision: Revision) -> Confirmation {
        Confirmation { revision, first: None }
    }

    /// Tells whether a majority is now known to have held the revision at one moment. To be
    /// called after Pongs; takes time in proportion to the members.
    pub fn is_complete(&mut self, lease: &QuorumLease, now: Time) -> bool {
        if lease.is_member && lease.revision < self.revision {
            return false;
        }
        let needed = lease.others_needed();
        let Some((since, holders)) = &self.first else {
            self.start_second_round(lease, now);
            return needed == 0;
        };
        let same = |(name, incarnation): &&(NodeName, Incarnation)| {
            lease.incarnation(name) == Some(*incarnation)
        };
        let again = |(name, _): &&(NodeName, Incarnation)| {
            let last = lease.peers.get(name).and_then(|peer| peer.last_pong);
            last.is_some_and(|last| last.sent >= *since && last.revision >= self.revision)
        };
        if holders.iter().filter(same).filter(again).count() >= needed {
            return true;
        }
        // Holders that stay silent may be replaced by peers that have the revision by now.
        if now >= *since + PEER_TIMEOUT || holders.iter().filter(same).count() < needed {
            self.first = None;
        }
        false
    }

    fn start_second_round(&mut self, lease: &QuorumLease, now: Time) {
        let holders: Vec<_> = lease
            .peers
            .iter()
            .filter(|(_, peer)| peer.last_pong.is_some_and(|p| p.revision >= self.revision))
            .filter_map(|(name, peer)| Some((name.clone(), peer.incarnations.current()?)))
            .collect();
        if holders.len() >= lease.others_needed() {
            self.first = Some((now, holders));
        }
    }
}
