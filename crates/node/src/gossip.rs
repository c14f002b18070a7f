//! Spreads changes from node to node: announces new revisions to peers, compares revisions with them,
//! and pulls what is missing. How long ago the platform confirmed the configuration spreads in the same
//! way.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use config::{Applied, Chunk, Feed, Heard, ReceiveOutcome, Revisions};
use log::info;
use model::{NodeName, Revision, StoredObject};
use peer::{ControlReply, LinkError};
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time::sleep;
use wire::Frame;

use crate::node_record;
use crate::peers::{Peer, Reachability};
use crate::shared::{Node, lock, read, write};
use crate::sync::{is_config_reader, transfer_since, update_dependents};

/// Interval between comparisons of revisions with a peer. By them a node learns how long ago the
/// platform confirmed the configuration, several times in the time for which it trusts that.
const COMPARE_INTERVAL: Duration = Duration::from_millis(800);

/// Interval between comparisons of revisions with a peer while the platform is unreachable.
const OUTAGE_COMPARE_INTERVAL: Duration = Duration::from_millis(400);

/// One in this many comparisons goes to a peer in any failure domain, the others to a peer in this
/// node's own one. Traffic between domains is billed, but a whole domain may be cut off.
const CROSS_DOMAIN_DIVISOR: u32 = 6;

/// The same while the platform is unreachable and the configuration can come only from peers.
const OUTAGE_CROSS_DOMAIN_DIVISOR: u32 = 4;

/// Time given to this node's own watch to deliver a change that a peer already has.
const CATCH_UP_DELAY: Duration = Duration::from_millis(100);

/// Number of peers to which a node announces revisions that are new to it. With three, a change
/// reaches 60 nodes of a failure domain in about four steps.
const ANNOUNCE_FANOUT: usize = 3;

/// Minimum interval between two announcements. Changes come in bursts, for example when many nodes
/// start.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(150);

/// Announces new revisions and later confirmations to a few peers of this node's failure domain, which
/// pull what they lack and announce it in turn.
pub(crate) async fn announce_changes(node: Arc<Node>) {
    loop {
        node.revisions_changed.notified().await;
        let mut peers = node.peers.all();
        peers.retain(|peer| peer.domain == node.info().domain);
        let chosen: Vec<Arc<Peer>> =
            peers.sample(&mut rand::rng(), ANNOUNCE_FANOUT).cloned().collect();
        for peer in chosen {
            tokio::spawn(compare_revisions(Arc::clone(&node), peer));
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Time that a started node has to receive the configuration by itself before a peer sends it. Nodes that
/// reach the platform have it after 0.7 s, also if 400 of them start at the same moment.
const SUPPLY_DELAY: Duration = Duration::from_secs(1);

/// Pulls newer revisions from a peer, unless this node's own watch delivers them first.
pub(crate) fn catch_up(node: &Arc<Node>, peer: Arc<Peer>, peer_revisions: Revisions) {
    if node.peers.is_pulling.swap(true, Ordering::Relaxed) {
        return;
    }
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let is_config_ahead = peer_revisions.imported > read(&node.config).revisions().imported;
        if is_config_ahead && is_config_reader(&node) {
            sleep(CATCH_UP_DELAY).await;
        }
        if peer_revisions.is_ahead_of(read(&node.config).revisions()) {
            pull_changes(&node, &peer, peer_revisions).await;
        }
        node.peers.is_pulling.store(false, Ordering::Relaxed);
    });
}

/// Compares revisions with a peer at regular intervals, and pulls if the peer is ahead.
pub(crate) async fn compare_with_peers(node: Arc<Node>) {
    loop {
        let is_reachable = node.platform.is_reachable();
        sleep(if is_reachable { COMPARE_INTERVAL } else { OUTAGE_COMPARE_INTERVAL }).await;
        match choose_peer(&node) {
            // A peer that does not reply takes up to a second, in which others are asked.
            Some(peer) => {
                tokio::spawn(compare_revisions(Arc::clone(&node), peer));
            }
            None if !is_reachable => fetch_from_seeds(&node).await,
            None => {}
        }
    }
}

/// A random peer, mostly one in this node's failure domain.
fn choose_peer(node: &Node) -> Option<Arc<Peer>> {
    let mut peers = node.peers.all();
    let is_same_domain = |peer: &Arc<Peer>| peer.domain == node.info().domain;
    let divisor = match node.platform.is_reachable() {
        true => CROSS_DOMAIN_DIVISOR,
        false => OUTAGE_CROSS_DOMAIN_DIVISOR,
    };
    if rand::rng().random_range(0..divisor) > 0 && peers.iter().any(is_same_domain) {
        peers.retain(is_same_domain);
    }
    (!peers.is_empty()).then(|| peers.swap_remove(rand::rng().random_range(0..peers.len())))
}

async fn compare_revisions(node: Arc<Node>, peer: Arc<Peer>) {
    let asked_at = node.platform.now();
    match request_revisions(&node, &peer).await {
        Ok(None) => peer.record_success(),
        Ok(Some(PeerConfig { revisions: peer_revisions, confirmed_ago })) => {
            peer.record_success();
            // The peer counts the time from its reply, which is later than the request.
            let confirmed_at = confirmed_ago.map(|ago| asked_at - ago);
            let imported = peer_revisions.imported;
            let heard = node.platform.hear_of_config(imported, confirmed_at);
            pass_on(&node, heard);
            if !feeds_to_supply(&node, peer_revisions).is_empty() && peer.begin_supply() {
                tokio::spawn(supply(Arc::clone(&node), Arc::clone(&peer)));
            }
            if peer_revisions.is_ahead_of(read(&node.config).revisions()) {
                catch_up(&node, peer, peer_revisions);
            }
        }
        Err(err) => peer.record_failure(node.now(), &err),
    }
}

/// The revisions of this node, and how long ago its imported configuration was known to be the newest
/// one.
pub(crate) fn own_config(node: &Node) -> (Revisions, Option<Duration>) {
    let revisions = read(&node.config).revisions();
    (revisions, node.platform.config_age(revisions.imported))
}

/// Tells a few peers of a later confirmation of the configuration. A newer revision is announced once
/// it is applied.
pub(crate) fn pass_on(node: &Node, heard: Heard) {
    match heard {
        Heard::LaterConfirmation => node.revisions_changed.notify_one(),
        Heard::NothingNew | Heard::NewerRevision => {}
    }
}

/// Asks a peer for its revisions if its configuration was confirmed considerably later than that of this
/// node. The age in its request can't be taken over, as the request may have been on its way for long.
pub(crate) fn compare_if_older(node: &Arc<Node>, from: &NodeName, confirmed_ago: Option<Duration>) {
    let own = read(&node.config).imported.revision();
    let is_older = |ago: &Duration| node.platform.is_config_older_than(*ago, own);
    if confirmed_ago.as_ref().is_some_and(is_older)
        && let Some(peer) = node.peers.find(from.as_str())
    {
        tokio::spawn(compare_revisions(Arc::clone(node), peer));
    }
}

/// What a peer has of the configuration.
struct PeerConfig {
    revisions: Revisions,
    /// How long ago its imported configuration was known to be the newest one.
    confirmed_ago: Option<Duration>,
}

/// Asks a peer for its revisions. Returns `None` if it replied something else.
async fn request_revisions(node: &Node, peer: &Peer) -> Result<Option<PeerConfig>, LinkError> {
    let (own, confirmed_ago) = own_config(node);
    Ok(match peer.compare(own, confirmed_ago).await? {
        Frame::Compare { revisions, confirmed_ago } => {
            Some(PeerConfig { revisions, confirmed_ago })
        }
        Frame::Revisions(revisions) => Some(PeerConfig { revisions, confirmed_ago: None }),
        _ => None,
    })
}

/// Feeds of which this node holds something and a peer nothing.
fn feeds_to_supply(node: &Node, peer_revisions: Revisions) -> Vec<Feed> {
    let own = read(&node.config).revisions();
    let lacks =
        |feed: &Feed| own.of(*feed) > Revision::ZERO && peer_revisions.of(*feed) == Revision::ZERO;
    Feed::ALL.into_iter().filter(lacks).collect()
}

/// Sends a peer what it has not received by itself [`SUPPLY_DELAY`] after this node noticed. It has started
/// while it can't reach the platform, and knows no node to pull from: the list of nodes is on the
/// platform.
async fn supply(node: Arc<Node>, peer: Arc<Peer>) {
    sleep(SUPPLY_DELAY).await;
    let own = read(&node.config).revisions();
    if let Ok(reply) = peer.control.request(Frame::Revisions(own)).await
        && let Frame::Revisions(peer_revisions) = reply.frame
    {
        for feed in feeds_to_supply(&node, peer_revisions) {
            info!("sending the {feed:?} feed to node {}, which has none", peer.name);
            push_feed(&node, &peer, feed).await;
        }
    }
    peer.end_supply();
}

async fn push_feed(node: &Node, peer: &Peer, feed: Feed) {
    let own = read(&node.config).replica(feed).revision();
    let start = start_of_transfer(Revision::ZERO, own);
    let Some(chunks) = transfer_since(node, feed, start) else { return };
    for chunk in chunks {
        match peer.control.request(Frame::Objects(feed, chunk)).await {
            Ok(reply) if reply.frame == Frame::Done => {}
            Ok(_) | Err(_) => return,
        }
    }
}

/// Processes a chunk that a peer has sent unasked, because this node had nothing of the feed.
pub(crate) fn receive_supply(node: &Arc<Node>, from: &NodeName, feed: Feed, chunk: Chunk) {
    if read(&node.config).replica(feed).revision() == Revision::ZERO {
        receive_chunk(node, from, feed, Frame::Objects(feed, chunk));
    }
}

/// Fetches the configuration from the seeds if the platform is unreachable at startup.
async fn fetch_from_seeds(node: &Arc<Node>) {
    for seed in &node.settings.fleet_seeds {
        // Whether the seed orders the imported configuration by versions is not known.
        let versioned = (Feed::Imported, Revision::of_version(0));
        let starts = Feed::ALL.map(|feed| (feed, Revision::ZERO)).into_iter().chain([versioned]);
        for (feed, start) in starts {
            let own = read(&node.config).replica(feed).revision();
            if own.version().is_some() != start.version().is_some() && own > start {
                continue;
            }
            let first = Frame::Pull(feed, own.max(start));
            let fetched = peer::request_all(*seed, &node.identity, first, |frame| {
                receive_chunk(node, &seed_name(), feed, frame)
            });
            if let Err(err) = fetched.await {
                info!("fetching the configuration from seed {seed} failed: {err}");
            }
        }
    }
}

/// Name under which transfers from seeds are tracked, apart from those of members.
fn seed_name() -> NodeName {
    "seed".parse().expect("`seed` is a valid node name")
}

/// Pulls the changes of both feeds from a peer.
async fn pull_changes(node: &Arc<Node>, from: &Peer, peer_revisions: Revisions) {
    // The imported configuration has less time to be in force.
    for feed in [Feed::Imported, Feed::Objects] {
        let own = read(&node.config).replica(feed).revision();
        // A node of the previous version closes the link when it is asked for versions.
        if feed == Feed::Imported && peer_revisions.imported <= own {
            continue;
        }
        let since = start_of_transfer(own, peer_revisions.of(feed));
        if !pull_feed(node, from, feed, since).await {
            return;
        }
    }
}

/// Pulls the changes of a feed from a peer. Returns whether the peer has answered.
async fn pull_feed(node: &Arc<Node>, from: &Peer, feed: Feed, since: Revision) -> bool {
    let mut next = Some(Frame::Pull(feed, since));
    while let Some(frame) = next {
        match from.control.request(frame).await {
            Ok(reply) => next = receive_chunk(node, &from.name, feed, reply.frame),
            Err(err) => {
                info!("pulling the {feed:?} feed from node {} failed: {err}", from.name);
                return false;
            }
        }
    }
    true
}

/// Number of peers that a node asks before it lists a restored store.
const PEERS_BEFORE_LISTING: usize = 2;

/// Pulls the changes of the stored objects from a few peers. A node that was paused while the store was
/// restored learns of deletions since then, which a listing of the store does not show.
pub(crate) async fn pull_from_some(node: &Arc<Node>) {
    let now = node.now();
    let mut peers = node.peers.all();
    peers.retain(|peer| peer.reachability(now) == Reachability::Reachable);
    let chosen: Vec<Arc<Peer>> =
        peers.sample(&mut rand::rng(), PEERS_BEFORE_LISTING).cloned().collect();
    for peer in chosen {
        let since = read(&node.config).objects.revision();
        pull_feed(node, &peer, Feed::Objects, since).await;
    }
}

/// Number of peers that ran before a restore of the store whose retained writes a node takes over after its
/// start. One that was behind when the store was restored does not retain all of them.
const RETAINING_PEERS: usize = 2;

/// Number of questions about it at most, and the time after one without a usable answer. Peers list a store
/// within about 2 s after its restore, and can't tell what it lacks before that.
const MAX_RETAINED_QUESTIONS: usize = 12;
const RETAINED_INTERVAL: Duration = Duration::from_millis(400);

/// Takes over what peers retain that have seen writes which the store lost in a restore. A node that has
/// started since then has listed the store, and neither its listing nor deltas of peers contain them.
pub(crate) async fn pull_retained(node: Arc<Node>) {
    let mut peers = node.peers.all();
    peers.shuffle(&mut rand::rng());
    let mut retaining = 0;
    for peer in peers.iter().cycle().take(MAX_RETAINED_QUESTIONS) {
        match pull_retained_from(&node, peer).await {
            RetainedAnswer::RanBefore => retaining += 1,
            RetainedAnswer::StartedSince => {}
            RetainedAnswer::Unusable => sleep(RETAINED_INTERVAL).await,
        }
        if retaining == RETAINING_PEERS {
            return;
        }
    }
}

/// Answer of a peer to a question what it retains.
enum RetainedAnswer {
    /// The peer ran before the last restore of the store.
    RanBefore,
    /// The peer has started since then. It knows what others have told it.
    StartedSince,
    /// The peer can't be reached or is of an earlier version, or it or this node may not know yet what has
    /// replaced the writes.
    Unusable,
}

async fn pull_retained_from(node: &Arc<Node>, peer: &Peer) -> RetainedAnswer {
    let mut lost: Vec<StoredObject> = Vec::new();
    let mut revision = None;
    for index in 0.. {
        let reply = peer.control.request(Frame::PullRetained(index)).await;
        let Ok(ControlReply { frame: Frame::Objects(Feed::Objects, chunk), .. }) = reply else {
            return RetainedAnswer::Unusable;
        };
        // What the peer retains may change between two parts.
        if *revision.get_or_insert(chunk.to) != chunk.to {
            return RetainedAnswer::Unusable;
        }
        lost.extend(chunk.objects);
        if chunk.last {
            let is_earlier = chunk.compact_revision.era() < chunk.to.era();
            return match take_over_retained(node, peer, chunk.to, lost) {
                Applied::Gap | Applied::Malformed => RetainedAnswer::Unusable,
                Applied::Applied | Applied::AlreadyKnown if is_earlier => RetainedAnswer::RanBefore,
                Applied::Applied | Applied::AlreadyKnown => RetainedAnswer::StartedSince,
            };
        }
    }
    RetainedAnswer::Unusable
}

fn take_over_retained(
    node: &Arc<Node>,
    peer: &Peer,
    revision: Revision,
    mut lost: Vec<StoredObject>,
) -> Applied {
    // Each process writes the record of its node itself.
    let own_record = node_record::node_key(&node.info().node);
    lost.retain(|write| write.key != own_record);
    let count = lost.len();
    let applied = write(&node.config).objects.apply_retained(revision, lost);
    if applied == Applied::Applied {
        info!("took over up to {count} writes that the store lost from node {}", peer.name);
        node.guard.require_mark_update();
        update_dependents(node, Feed::Objects, applied, peer.name.as_str());
    }
    applied
}

/// The revision from which a transfer starts to a node that has `own` from one that has `theirs`. A
/// configuration that is ordered by the revision of the store is replaced by one with a version.
fn start_of_transfer(own: Revision, theirs: Revision) -> Revision {
    match theirs.version() {
        Some(_) => own.max(Revision::of_version(0)),
        None => own,
    }
}

/// Processes a chunk of a transfer and returns the request for the next one, if more follow.
fn receive_chunk(node: &Arc<Node>, from: &NodeName, feed: Feed, frame: Frame) -> Option<Frame> {
    let Frame::Objects(sent_feed, transfer) = frame else { return None };
    if sent_feed != feed {
        return None;
    }
    let last = transfer.last;
    let mut config = write(&node.config);
    let mut incoming = lock(&node.peers.incoming_transfers);
    let receiver = incoming.entry((from.clone(), feed)).or_default();
    let received = receiver.receive(transfer, config.replica_mut(feed));
    drop(incoming);
    drop(config);
    match received {
        ReceiveOutcome::Incomplete => {}
        ReceiveOutcome::OutOfOrder => return None,
        ReceiveOutcome::Complete(applied) => update_dependents(node, feed, applied, from.as_str()),
    }
    (!last).then_some(Frame::PullMore)
}
