//! The other nodes: control links, heartbeats, and replies to their requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, MutexGuard, Weak};
use std::time::Duration;

use config::{Chunks, Incoming, Replica};
use log::{info, warn};
use membership::{AfterPong, Candidate, LiveNodes, QuorumLease};
use model::{FailureDomain, Incarnation, NodeName, ResultCode, Revision, Time};
use payload::Payload;
use peer::{ControlClient, ControlEvents, LinkError, PeerHandler, PeerInfo, Target};
use routing::{FenceResult, GuardClock};
use tokio::time::{Instant, sleep, sleep_until};
use wire::{Call, EndpointLoad, FenceStatus, Frame, HandoverReply, Ping, Pong, Table, Welcome};

use crate::shared::{Map, Node, Phase, lock, read, write};
use crate::{guard, owners, sync};

/// Interval of heartbeats.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest pause between two heartbeats to one peer, however many changes come in.
const MIN_PING_PAUSE: Duration = Duration::from_millis(20);

/// All other members.
#[derive(Default)]
pub(crate) struct Peers {
    members: Map<NodeName, Arc<Peer>>,
    /// Transfers that peers are pulling from this node.
    outgoing: Map<NodeName, Chunks>,
    /// Transfers that peers are sending to this node.
    pub(crate) incoming: Map<NodeName, Incoming>,
}

/// One other member.
pub(crate) struct Peer {
    pub(crate) name: NodeName,
    pub(crate) domain: FailureDomain,
    pub(crate) addr: SocketAddr,
    pub(crate) client: ControlClient,
    state: Arc<PeerState>,
    sequence: AtomicU64,
}

/// What is known from the link to a peer.
#[derive(Default)]
struct PeerState {
    link: std::sync::Mutex<LinkState>,
    clock: std::sync::Mutex<GuardClock>,
}

#[derive(Default)]
struct LinkState {
    /// The process at the other end, while the link is up.
    incarnation: Option<Incarnation>,
    /// Since when Pongs have come in without a break.
    alive_since: Option<Time>,
    last_pong: Option<LastPong>,
}

/// What the last Pong of a peer said.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LastPong {
    pub(crate) at: Time,
    pub(crate) revision: Revision,
    pub(crate) synced: bool,
    pub(crate) stopping: bool,
    pub(crate) round_trip: Duration,
}

impl Peers {
    /// Starts links to new members and drops those to removed ones.
    pub(crate) fn set_members(&self, node: &Arc<Node>, config: &Replica) {
        let own = &node.info().node;
        let mut members = lock(&self.members);
        members.retain(|name, peer| {
            let record = config.member(name);
            let keep = record.is_some_and(|record| record.value().peer_addr == peer.addr);
            if record.is_none() {
                write(&node.directory).remove_node(name);
            }
            keep
        });
        for (name, record) in config.members() {
            if name == own || members.contains_key(name) {
                continue;
            }
            let record = record.value();
            let peer = Peer::start(node, name, &record.domain, record.peer_addr);
            members.insert(name.clone(), peer);
        }
    }

    pub(crate) fn find(&self, name: &str) -> Option<Arc<Peer>> {
        lock(&self.members).get(name).cloned()
    }

    /// Number of other members.
    pub(crate) fn count(&self) -> usize {
        lock(&self.members).len()
    }

    /// Locks the members, to look up several of them.
    pub(crate) fn members(&self) -> MutexGuard<'_, HashMap<NodeName, Arc<Peer>>> {
        lock(&self.members)
    }

    pub(crate) fn all(&self) -> Vec<Arc<Peer>> {
        lock(&self.members).values().cloned().collect()
    }

    /// Members that could own partitions, the own node included unless it is stopping.
    pub(crate) fn live(&self, node: &Node) -> LiveNodes {
        let now = node.now();
        let mut live = LiveNodes::new();
        if node.phase() == Phase::Serving {
            let PeerInfo { node: name, incarnation, .. } = node.info().clone();
            live.insert(Candidate { name, incarnation, alive_since: Time::ZERO });
        }
        let lease = lock(&node.lease);
        for peer in lock(&self.members).values() {
            if let Some(candidate) = live_candidate(peer, &lease, now) {
                live.insert(candidate);
            }
        }
        live
    }

    /// Tells whether a member, or a certain process of it, could own partitions.
    pub(crate) fn can_own(
        &self,
        node: &Node,
        name: &NodeName,
        process: Option<Incarnation>,
    ) -> bool {
        let info = node.info();
        if *name == info.node {
            let is_process = process.is_none_or(|process| process == info.incarnation);
            return is_process && node.phase() == Phase::Serving;
        }
        let lease = lock(&node.lease);
        let members = lock(&self.members);
        let live = members.get(name).and_then(|peer| live_candidate(peer, &lease, node.now()));
        live.is_some_and(|live| process.is_none_or(|process| process == live.incarnation))
    }

    /// Number of members heard from lately, the own node included.
    pub(crate) fn alive(&self, node: &Node) -> usize {
        let now = node.now();
        let lease = lock(&node.lease);
        1 + lock(&self.members).keys().filter(|name| lease.is_alive(name, now)).count()
    }
}

/// A member that is heard from, synced and not stopping.
fn live_candidate(peer: &Peer, lease: &QuorumLease, now: Time) -> Option<Candidate> {
    let link = lock(&peer.state.link);
    let (incarnation, alive_since) = (link.incarnation?, link.alive_since?);
    let can_own = link.last_pong.is_some_and(|pong| pong.synced && !pong.stopping);
    let is_live = can_own && lease.is_alive(&peer.name, now);
    is_live.then(|| Candidate { name: peer.name.clone(), incarnation, alive_since })
}

impl Peer {
    fn start(
        node: &Arc<Node>,
        name: &NodeName,
        domain: &FailureDomain,
        addr: SocketAddr,
    ) -> Arc<Peer> {
        let state = Arc::new(PeerState::default());
        let events = Events { node: Arc::downgrade(node), state: Arc::clone(&state) };
        let client = ControlClient::start(addr, node.identity.clone(), Arc::new(events));
        let (name, domain) = (name.clone(), domain.clone());
        let sequence = AtomicU64::new(0);
        let peer = Arc::new(Peer { name, domain, addr, client, state, sequence });
        tokio::spawn(heartbeat(Arc::clone(node), Arc::downgrade(&peer)));
        peer
    }

    /// The process at the other end and where it takes calls.
    pub(crate) fn target(&self) -> Option<Target> {
        let incarnation = lock(&self.state.link).incarnation?;
        Some(Target { addr: self.addr, incarnation })
    }

    pub(crate) fn last_pong(&self) -> Option<LastPong> {
        lock(&self.state.link).last_pong
    }

    /// Round trip of the last heartbeat.
    pub(crate) fn round_trip(&self) -> Duration {
        self.last_pong().map_or(Duration::ZERO, |pong| pong.round_trip)
    }

    /// Estimate of the peer's clock.
    pub(crate) fn clock(&self) -> GuardClock {
        lock(&self.state.clock).clone()
    }

    /// Fences an attempt that was handed to `incarnation`.
    pub(crate) async fn fence(
        &self,
        attempt: model::AttemptId,
        start_by: Time,
        incarnation: Incarnation,
    ) -> FenceResult {
        let reply = self.client.request(Frame::Fence { attempt, start_by }).await;
        // Only the process that the attempt was handed to can tell that it will not run it.
        if self.target().map(|target| target.incarnation) != Some(incarnation) {
            return FenceResult::NoAnswer;
        }
        match reply {
            Ok(Frame::Fenced { attempt: fenced, status }) if fenced == attempt => match status {
                FenceStatus::NotRun => FenceResult::NotRun,
                FenceStatus::Running | FenceStatus::Ran | FenceStatus::Unknown => {
                    FenceResult::MayHaveRun
                }
            },
            _ => FenceResult::NoAnswer,
        }
    }
}

/// Reacts to the control link of one peer.
struct Events {
    node: Weak<Node>,
    state: Arc<PeerState>,
}

impl ControlEvents for Events {
    fn link_up(&self, welcome: &Welcome) {
        let Some(node) = self.node.upgrade() else { return };
        let now = node.now();
        lock(&self.state.clock).sample(welcome.incarnation, welcome.clock, now);
        *lock(&self.state.link) =
            LinkState { incarnation: Some(welcome.incarnation), ..LinkState::default() };
        info!("link to {} is up", welcome.node);
        node.trigger_heartbeat();
    }

    fn link_down(&self, err: &LinkError) {
        let was_up = std::mem::take(&mut *lock(&self.state.link)).incarnation.is_some();
        lock(&self.state.clock).clear();
        if was_up {
            warn!("link to a peer is down: {err}");
        }
    }
}

/// Sends heartbeats to one peer until it is no longer a member.
async fn heartbeat(node: Arc<Node>, peer: Weak<Peer>) {
    let mut triggered = node.ping_now.subscribe();
    loop {
        let Some(current) = peer.upgrade() else { return };
        tokio::spawn(ping(Arc::clone(&node), current));
        let earliest = Instant::now() + MIN_PING_PAUSE;
        tokio::select! {
            () = sleep_until(Instant::now() + PING_INTERVAL) => {}
            _ = triggered.changed() => sleep_until(earliest).await,
        }
    }
}

/// Sends one heartbeat and takes its reply.
pub(crate) async fn ping(node: Arc<Node>, peer: Arc<Peer>) {
    let Some(target) = peer.target() else { return };
    let sequence = peer.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    let table_version = lock(&node.announcements).version();
    let revision = {
        let mut lease = lock(&node.lease);
        lease.ping_sent(&peer.name, sequence, node.now());
        lease.revision()
    };
    let frame = Frame::Ping(Ping { sequence, revision, table_version });
    let sent = node.now();
    let Ok(Frame::Pong(pong)) = peer.client.request(frame).await else { return };
    if peer.target() != Some(target) {
        return;
    }
    take_pong(&node, &peer, target.incarnation, sent, pong).await;
}

async fn take_pong(
    node: &Arc<Node>,
    peer: &Peer,
    incarnation: Incarnation,
    sent: Time,
    pong: Pong,
) {
    let now = node.now();
    lock(&peer.state.clock).sample(incarnation, pong.clock, now);
    {
        let mut link = lock(&peer.state.link);
        link.alive_since.get_or_insert(now);
        let Pong { revision, synced, stopping, .. } = pong;
        let round_trip = now.since(sent);
        link.last_pong = Some(LastPong { at: now, revision, synced, stopping, round_trip });
    }
    write(&node.directory).pong(&peer.name, incarnation, now);
    if let Some(age) = pong.platform_age {
        // Counted from the sending of the ping, so that the contact is never taken for later than
        // it was.
        lock(&node.relays).platform_contact(sent - age);
    }
    node.loads.update(&pong.loads, now, now.since(sent));
    let after = lock(&node.lease).pong(
        &peer.name,
        &membership::Pong {
            incarnation,
            sequence: pong.sequence,
            revision: pong.revision,
            synced: pong.synced,
        },
        now,
    );
    let known = read(&node.directory).table_version(&peer.name, incarnation);
    if known != Some(pong.table_version)
        && let Ok(Frame::Table(table)) = peer.client.request(Frame::PullTable).await
    {
        take_table(node, &peer.name, incarnation, table);
    }
    match after {
        AfterPong::Nothing => {}
        AfterPong::PullFrom => sync::pull(node, peer).await,
        AfterPong::PushTo(since) => sync::push(node, peer, since).await,
    }
}

fn take_table(node: &Node, from: &NodeName, incarnation: Incarnation, table: Table) {
    write(&node.directory).apply_table(from, incarnation, table.version, table.endpoints);
    crate::health::review(node);
}

/// Sends the own endpoint table to all peers and waits for their replies.
pub(crate) async fn push_table(node: &Arc<Node>) {
    let table = {
        let announcements = lock(&node.announcements);
        Table { version: announcements.version(), endpoints: announcements.table() }
    };
    let pushes = node.peers.all().into_iter().map(|peer| {
        let frame = Frame::Table(table.clone());
        async move { peer.client.request(frame).await.is_ok() }
    });
    futures_util::future::join_all(pushes).await;
}

/// Replies to what other nodes send.
pub(crate) struct Handler {
    pub(crate) node: Arc<Node>,
}

impl PeerHandler for Handler {
    fn control(&self, peer: &PeerInfo, frame: Frame) -> Frame {
        let node = &self.node;
        match frame {
            Frame::Ping(ping) => pong(node, &ping),
            Frame::Pull(from) => {
                let chunks = sync::transfer_since(node, from);
                let mut outgoing = lock(&node.peers.outgoing);
                match chunks {
                    None => outgoing.remove(&peer.node),
                    Some(chunks) => outgoing.insert(peer.node.clone(), chunks),
                };
                next_part(&mut outgoing, &peer.node)
            }
            Frame::PullMore => next_part(&mut lock(&node.peers.outgoing), &peer.node),
            Frame::Objects(transfer) => {
                sync::receive(node, &peer.node, transfer);
                Frame::Done
            }
            Frame::PullTable => {
                let announcements = lock(&node.announcements);
                let (version, endpoints) = (announcements.version(), announcements.table());
                Frame::Table(Table { version, endpoints })
            }
            Frame::Table(table) => {
                take_table(node, &peer.node, peer.incarnation, table);
                Frame::Done
            }
            Frame::Fence { attempt, start_by } => {
                let status = node.guard.fence(attempt, start_by, node.now());
                Frame::Fenced { attempt, status }
            }
            Frame::TokenRequests(requests) => {
                Frame::TokenAnswers(node.limiter.serve(node, &requests))
            }
            Frame::Handover(handover) => Frame::HandoverReply(match node.phase() {
                Phase::Serving => owners::receive(node, &handover),
                Phase::Leaving | Phase::Draining => HandoverReply::Refused,
            }),
            frame => node
                .health
                .control(node, frame)
                .unwrap_or(Frame::Rejected(ResultCode::FrameUnexpected)),
        }
    }

    fn call(&self, _peer: &PeerInfo, call: Call, body: Payload) -> peer::PendingReply {
        let node = Arc::clone(&self.node);
        Box::pin(async move { guard::serve(&node, call, body).await })
    }
}

fn next_part(outgoing: &mut HashMap<NodeName, Chunks>, peer: &NodeName) -> Frame {
    match outgoing.get_mut(peer).and_then(Iterator::next) {
        Some(chunk) => Frame::Objects(chunk),
        None => {
            outgoing.remove(peer);
            Frame::Done
        }
    }
}

/// Load of the endpoints of this instance.
fn own_loads(node: &Node) -> Vec<EndpointLoad> {
    let own = lock(&node.announcements).table();
    node.guard.loads(&own)
}

/// Takes the load of the own endpoints at the interval at which heartbeats report that of others.
pub(crate) async fn follow_own_loads(node: Arc<Node>) {
    loop {
        node.loads.update(&own_loads(&node), node.now(), Duration::ZERO);
        sleep(PING_INTERVAL).await;
    }
}

fn pong(node: &Node, ping: &Ping) -> Frame {
    let now = node.now();
    let table_version = lock(&node.announcements).version();
    let age = lock(&node.relays).contact_age(now);
    let loads = own_loads(node);
    let lease = lock(&node.lease);
    Frame::Pong(Pong {
        sequence: ping.sequence,
        revision: lease.revision(),
        table_version,
        synced: lease.is_synced(),
        stopping: node.phase() != Phase::Serving,
        platform_age: Some(age),
        clock: now,
        loads,
    })
}
