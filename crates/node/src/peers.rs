//! The other nodes of the fleet: connections to them, their reachability, and replies to their
//! requests.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use config::{Chunks, Feed, Replica, Revisions, TransferReceiver};
use log::info;
use membership::{Owners, Standing, displaced_nodes};
use model::{FailureDomain, Incarnation, NodeName, PartitionId, ResultCode, Revision, Time};
use payload::Payload;
use peer::{ControlClient, LinkError, PeerHandler, PeerInfo, SentAttempt};
use routing::FenceResult;
pub(crate) use routing::Reachability;
use wire::{Call, FenceStatus, Frame, MAX_TRANSFER_BYTES};

use crate::shared::{Node, Phase, SharedMap, lock, read, write};
use crate::{evacuations, gossip, guard, node_record, sync};

/// Time for which a peer is avoided after the first failure to reach it. It doubles with each
/// further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Upper limit of the time for which a peer is avoided.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Time for which a peer that closes links on [`Frame::Evacuations`] gets none. Such a link carries other
/// requests as well, which fail when it is closed.
const EVACUATIONS_BACKOFF: Duration = Duration::from_secs(20);

/// All other members of the fleet.
#[derive(Default)]
pub(crate) struct Peers {
    members: SharedMap<NodeName, Arc<Peer>>,
    owners: Mutex<KnownOwners>,
    /// Transfers to peers that pull from this node.
    outgoing_transfers: SharedMap<NodeName, (Feed, Chunks)>,
    /// Set while a pull from a peer is pending or in progress, so that hints of others don't start another
    /// one.
    pub(crate) is_pulling: AtomicBool,
    /// Transfers that this node pulls from peers.
    pub(crate) incoming_transfers: SharedMap<(NodeName, Feed), TransferReceiver>,
}

/// Owners of partitions among the current members, and whether this node is one of them.
#[derive(Default)]
struct KnownOwners {
    owners: Owners,
    includes_own: bool,
    /// Whether the other nodes count this node.
    standing: Standing,
}

/// Another member of the fleet.
pub(crate) struct Peer {
    pub(crate) name: NodeName,
    pub(crate) domain: FailureDomain,
    pub(crate) addr: SocketAddr,
    pub(crate) control: ControlClient,
    path: Mutex<PathState>,
    /// Whether this node is sending the configuration to the peer, or will do so.
    is_supplied: AtomicBool,
    /// The process of the peer if it is of an earlier version, which closes links on [`Frame::Compare`].
    without_compare: Mutex<Option<Incarnation>>,
    /// Time until which the peer gets no [`Frame::Evacuations`], on which a process of an earlier version
    /// closes links.
    without_evacuations: Mutex<Time>,
}

/// State of the network path to a peer, as observed by this node's own exchanges.
#[derive(Debug, Clone, Copy, Default)]
struct PathState {
    consecutive_failures: u32,
    backoff_until: Time,
    unreachable_since: Option<Time>,
}

impl Peers {
    /// Updates the members and their endpoint tables from the configuration.
    pub(crate) fn set_members(&self, node: &Arc<Node>, config: &Replica) {
        let own = &node.info().node;
        let displaced = displaced_members(node, config);
        let own_record = config.node_record(own);
        self.set_standing(node, Standing::of(own_record.map(|record| record.value())));
        let mut members = lock(&self.members);
        let known = members.len();
        let (mut is_changed, mut left) = (false, Vec::new());
        members.retain(|name, peer| {
            let record = config.node_record(name);
            let record = record.filter(|record| !record.value().stopped);
            let record = record.filter(|_| !displaced.contains(name));
            if record.is_none() {
                info!("node {name} is no longer a member");
                write(&node.directory).remove_node(name);
                left.push(name.clone());
            }
            record.is_some_and(|record| record.value().peer_addr == peer.addr)
        });
        is_changed |= members.len() < known;
        for (name, record) in config.members() {
            let record = record.value();
            if name == own || displaced.contains(name) {
                continue;
            }
            if !members.contains_key(name) {
                let peer = Peer::new(node, name, &record.domain, record.peer_addr);
                members.insert(name.clone(), Arc::new(peer));
                is_changed = true;
            }
            let endpoints = record.endpoints.clone();
            let (incarnation, version) = (record.incarnation, record.table_version);
            write(&node.directory).apply_table(name, incarnation, version, endpoints);
        }
        if is_changed {
            lock(&self.owners).owners.clear();
        }
        let addrs: Vec<SocketAddr> = members.values().map(|peer| peer.addr).collect();
        node.call_pool.retain(|addr| addrs.contains(addr));
        drop(members);
        left.iter().for_each(|name| node.limiter.take_over_from(node, name));
    }

    /// Sets whether the other nodes count this node among the owners of partitions.
    fn set_standing(&self, node: &Node, standing: Standing) {
        if lock(&self.owners).standing == standing {
            return;
        }
        match standing {
            Standing::Listed => {
                info!("this node is an owner of partitions now");
                node.limiter.join(node);
            }
            Standing::Unlisted => info!("this node is no longer an owner of partitions"),
        }
        lock(&self.owners).standing = standing;
    }

    pub(crate) fn find(&self, name: &str) -> Option<Arc<Peer>> {
        lock(&self.members).get(name).cloned()
    }

    /// Number of other members.
    pub(crate) fn count(&self) -> usize {
        lock(&self.members).len()
    }

    /// Locks the members for several lookups.
    pub(crate) fn members(&self) -> MutexGuard<'_, HashMap<NodeName, Arc<Peer>>> {
        lock(&self.members)
    }

    pub(crate) fn all(&self) -> Vec<Arc<Peer>> {
        lock(&self.members).values().cloned().collect()
    }

    /// The owner of a partition among the members, including this node if it counts itself and unless it is
    /// stopping.
    pub(crate) fn owner(&self, node: &Node, partition: PartitionId) -> Option<NodeName> {
        let members = lock(&self.members);
        let mut known = lock(&self.owners);
        let includes_own =
            known.standing.counts_itself(!members.is_empty()) && node.phase() == Phase::Serving;
        if known.includes_own != includes_own {
            known.owners.clear();
            known.includes_own = includes_own;
        }
        let own = includes_own.then_some(&node.info().node);
        known.owners.find(partition, || members.keys().chain(own)).cloned()
    }
}

impl Peer {
    fn new(node: &Node, name: &NodeName, domain: &FailureDomain, addr: SocketAddr) -> Peer {
        let control = ControlClient::start(addr, node.identity.clone());
        let path = Mutex::default();
        let (is_supplied, without_compare) = (AtomicBool::new(false), Mutex::default());
        let (name, domain) = (name.clone(), domain.clone());
        let without_evacuations = Mutex::default();
        Peer {
            name,
            domain,
            addr,
            control,
            path,
            is_supplied,
            without_compare,
            without_evacuations,
        }
    }

    /// Asks the peer for its revisions by a frame that also tells how old they are, or by one without
    /// that if its process is of an earlier version.
    pub(crate) async fn compare(
        &self,
        own: Revisions,
        confirmed_ago: Option<Duration>,
    ) -> Result<Frame, LinkError> {
        let known = *lock(&self.without_compare);
        if known.is_none() {
            let frame = Frame::Compare { revisions: own, confirmed_ago };
            let mut reply = self.control.request(frame.clone()).await;
            if let Err(LinkError::Closed) = reply {
                // A kept link may have ended with an earlier process of the peer.
                reply = self.control.request(frame).await;
            }
            match reply {
                Err(LinkError::Closed) => {}
                reply => return reply.map(|reply| reply.frame),
            }
        }
        let reply = self.control.request(Frame::Revisions(own)).await?;
        // A later process is asked by the other frame again.
        let is_later = known.is_some_and(|process| process != reply.from);
        *lock(&self.without_compare) = (!is_later).then_some(reply.from);
        Ok(reply.frame)
    }

    /// Sends the evacuated failure domains that this node knows of, and returns the reply. Returns `None`
    /// if the peer is of an earlier version or can't be reached.
    pub(crate) async fn exchange_evacuations(&self, node: &Node, own: Frame) -> Option<Frame> {
        if node.now() < *lock(&self.without_evacuations) {
            return None;
        }
        let mut reply = self.control.request(own.clone()).await;
        if let Err(LinkError::Closed) = reply {
            // A kept link may have ended with an earlier process of the peer.
            reply = self.control.request(own).await;
        }
        if let Err(LinkError::Closed) = reply {
            // A peer that can't be reached must not count as one of an earlier version.
            let revisions = Frame::Revisions(read(&node.config).revisions());
            if self.control.request(revisions).await.is_ok() {
                *lock(&self.without_evacuations) = node.now() + EVACUATIONS_BACKOFF;
            }
        }
        reply.ok().map(|reply| reply.frame)
    }

    /// Claims the task of sending the configuration to the peer. Returns false if it is claimed already.
    pub(crate) fn begin_supply(&self) -> bool {
        !self.is_supplied.swap(true, Ordering::Relaxed)
    }

    pub(crate) fn end_supply(&self) {
        self.is_supplied.store(false, Ordering::Relaxed);
    }

    pub(crate) fn reachability(&self, now: Time) -> Reachability {
        let path = lock(&self.path);
        match path.consecutive_failures {
            0 => Reachability::Reachable,
            _ if now < path.backoff_until => Reachability::BackingOff,
            _ => Reachability::Retryable,
        }
    }

    /// Records a successful exchange.
    pub(crate) fn record_success(&self) {
        let mut path = lock(&self.path);
        if path.consecutive_failures > 0 {
            info!("node {} is reachable again", self.name);
            *path = PathState::default();
        }
    }

    /// Records an exchange that failed because of the network path or the peer.
    pub(crate) fn record_failure(&self, now: Time, reason: &dyn std::fmt::Display) {
        let mut path = lock(&self.path);
        if path.consecutive_failures == 0 {
            info!("node {} is unreachable: {reason}", self.name);
        }
        let backoff = MIN_BACKOFF * 2_u32.pow(path.consecutive_failures.min(8));
        path.consecutive_failures += 1;
        path.backoff_until = now + backoff.min(MAX_BACKOFF);
        path.unreachable_since.get_or_insert(now);
    }

    /// Time of the first failure since the last successful exchange, if there is one.
    pub(crate) fn unreachable_since(&self) -> Option<Time> {
        lock(&self.path).unreachable_since
    }

    /// Fences an attempt that was sent to a process of this peer.
    pub(crate) async fn fence(&self, sent: SentAttempt) -> FenceResult {
        let SentAttempt { attempt, process, start_by } = sent;
        let reply = self.control.request(Frame::Fence { attempt, start_by }).await;
        let Ok(reply) = reply else { return FenceResult::NoAnswer };
        // Only the process that received the attempt can confirm that it will not run it. A
        // restarted process has no record of it.
        if reply.from != process {
            return FenceResult::NoAnswer;
        }
        match reply.frame {
            Frame::Fenced { attempt: fenced, status } if fenced == attempt => match status {
                FenceStatus::NotRun => FenceResult::NotRun,
                FenceStatus::Running | FenceStatus::Ran | FenceStatus::Unknown => {
                    FenceResult::MayHaveRun
                }
            },
            _ => FenceResult::NoAnswer,
        }
    }
}

/// Nodes whose peer address has been taken over by another node while their records still exist.
pub(crate) fn displaced_members<'a>(node: &'a Node, config: &'a Replica) -> HashSet<&'a NodeName> {
    let own_name = &node.info().node;
    let others = config.members().filter(|(name, _)| *name != own_name);
    let others = others.map(|(name, entry)| (name, entry.value().peer_addr, entry.revision()));
    // No other node can be reached at this node's own address, so this node counts as its newest
    // holder even if its record is not written yet.
    let own = (own_name, node.settings.peer.advertise, Revision(u64::MAX));
    displaced_nodes(others.chain([own]))
}

/// Handles control frames and calls from other nodes.
pub(crate) struct NodeHandler {
    pub(crate) node: Arc<Node>,
}

impl PeerHandler for NodeHandler {
    fn control(&self, peer: &PeerInfo, frame: Frame) -> Frame {
        let node = &self.node;
        match frame {
            Frame::Pull(feed, from) => {
                let chunks = sync::transfer_since(node, feed, from);
                let mut outgoing = lock(&node.peers.outgoing_transfers);
                match chunks {
                    None => outgoing.remove(&peer.node),
                    Some(chunks) => outgoing.insert(peer.node.clone(), (feed, chunks)),
                };
                next_chunk(&mut outgoing, &peer.node)
            }
            Frame::Revisions(peer_revisions) => {
                catch_up_if_behind(node, &peer.node, peer_revisions);
                Frame::Revisions(read(&node.config).revisions())
            }
            Frame::Compare { revisions, confirmed_ago } => {
                catch_up_if_behind(node, &peer.node, revisions);
                gossip::compare_if_older(node, &peer.node, confirmed_ago);
                let (revisions, confirmed_ago) = gossip::own_config(node);
                Frame::Compare { revisions, confirmed_ago }
            }
            Frame::Evacuations { snapshot, confirmed_ago } => {
                evacuations::receive(node, &peer.node, snapshot, confirmed_ago);
                evacuations::own_frame(node)
            }
            Frame::PullRetainedEvacuations => evacuations::retained_frame(node),
            Frame::Objects(feed, transfer) => {
                gossip::receive_supply(node, &peer.node, feed, transfer);
                Frame::Done
            }
            Frame::PullOwnRecord => {
                let key = node_record::node_key(&peer.node);
                Frame::Objects(Feed::Objects, read(&node.config).objects.copy_of(&key))
            }
            Frame::PullRetained(index) => {
                let mut chunks = read(&node.config).objects.retained_copy(MAX_TRANSFER_BYTES);
                let chunk = chunks.nth(index as usize);
                chunk.map_or(Frame::Done, |chunk| Frame::Objects(Feed::Objects, chunk))
            }
            Frame::PullMore => next_chunk(&mut lock(&node.peers.outgoing_transfers), &peer.node),
            Frame::Fence { attempt, start_by } => {
                let status = node.guard.fence(attempt, start_by, node.now());
                Frame::Fenced { attempt, status }
            }
            Frame::TokenRequests(requests) => {
                Frame::TokenAnswers(node.limiter.serve(node, &requests))
            }
            _ => Frame::Rejected(ResultCode::FrameUnexpected),
        }
    }

    fn call(&self, peer: &PeerInfo, call: Call, body: Payload) -> peer::PendingReply {
        let node = Arc::clone(&self.node);
        catch_up_if_behind(&node, &peer.node, call.revisions);
        Box::pin(async move { guard::serve(&node, call, body).await })
    }
}

/// Starts to pull changes from another node if its revisions are ahead of this node's.
pub(crate) fn catch_up_if_behind(node: &Arc<Node>, from: &NodeName, peer_revisions: Revisions) {
    let own = read(&node.config).revisions();
    if peer_revisions.imported > own.imported {
        let _ = node.platform.hear_of_config(peer_revisions.imported, None);
    }
    if peer_revisions.is_ahead_of(own)
        && let Some(peer) = node.peers.find(from.as_str())
    {
        gossip::catch_up(node, peer, peer_revisions);
    }
}

/// The next chunk of the transfer to a peer, or [`Frame::Done`] after the last one.
fn next_chunk(outgoing: &mut HashMap<NodeName, (Feed, Chunks)>, peer: &NodeName) -> Frame {
    let next = outgoing.get_mut(peer).and_then(|(feed, chunks)| Some((*feed, chunks.next()?)));
    match next {
        Some((feed, chunk)) => Frame::Objects(feed, chunk),
        None => {
            outgoing.remove(peer);
            Frame::Done
        }
    }
}
