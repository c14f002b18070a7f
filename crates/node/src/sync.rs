//! Keeps the configuration up to date from the platform and, if another node has a newer revision,
//! from that node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use admission::DrainState;
use config::{Applied, Feed, ReceiveOutcome, Replica, Revisions};
use log::{info, warn};
use model::{EndpointName, Kind, NodeName, Revision};
use rand::RngExt;
use store::StoreError;
use tokio::task::spawn_blocking;
use tokio::time::sleep;
use wire::{Frame, MAX_TRANSFER_BYTES};

use crate::peers::Peer;
use crate::shared::{Node, lock, read, write};
use crate::{guard, node_record};

/// Long-poll timeout of a watch at the platform. Each watch is billed as a request. TCP keep-alive
/// detects a dead connection before the timeout ends.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Shortest and longest delay between a change of the stored objects and the next watch, if these
/// are node records and endpoint marks only. Changes come in bursts, for example when many nodes
/// start, and each watch is billed. The delay is random so that the first node to watch again
/// passes the change on with its calls, at a tenth of the cost of a watch.
const RECORDS_REWATCH_DELAY: [Duration; 2] =
    [Duration::from_millis(1000), Duration::from_millis(4000)];

/// Shortest and longest delay between a change of the stored objects and the next watch, if these
/// include the configuration, which operators expect to be in force soon.
const CONFIG_REWATCH_DELAY: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];

/// Shortest and longest delay between a change of the imported configuration and the next watch. A
/// change has to be in force within 2 s, and a watch of a slow store takes 250 ms.
const IMPORT_REWATCH_DELAY: [Duration; 2] =
    [Duration::from_millis(100), Duration::from_millis(500)];

/// Shortest delay before a failed call to the platform is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest delay before a failed call to the platform is retried. Entry nodes have to work again
/// about 2 s after the platform recovers.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Interval between comparisons of revisions with a peer. If the connection of a watch is dead,
/// changes arrive from a peer after at most this interval and [`CATCH_UP_DELAY`], within the 2 s in
/// which a configuration has to be in force.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1200);

/// Interval between comparisons of revisions with a peer while the platform is unreachable.
const OUTAGE_COMPARE_INTERVAL: Duration = Duration::from_millis(400);

/// One in this many comparisons goes to a peer in any failure domain, the others to a peer in this
/// node's own one. Traffic between domains is billed, but a whole domain may be cut off.
const CROSS_DOMAIN_DIVISOR: u32 = 4;

/// Time given to this node's own watch to deliver a change that a peer already has.
const CATCH_UP_DELAY: Duration = Duration::from_millis(100);

/// Follows the stored objects: lists them once, then watches for changes.
pub(crate) async fn sync_objects(node: Arc<Node>) {
    let mut listed = false;
    loop {
        let result = if listed { watch(&node).await } else { list(&node).await };
        match result {
            Ok(()) => {
                listed = true;
                mark_platform_reachable(&node);
                sleep(rewatch_delay(&node)).await;
            }
            Err(StoreError::RevisionCompacted) => listed = false,
            Err(err) => {
                mark_platform_unreachable(&node, &err);
                sleep(retry_delay()).await;
            }
        }
    }
}

async fn list(node: &Arc<Node>) -> Result<(), StoreError> {
    let store = Arc::clone(&node.interfaces.store);
    let listing = run_blocking(move || store.list()).await?;
    let applied = write(&node.config).objects.apply_listing(listing.revision, listing.objects);
    update_dependents(node, Feed::Objects, applied, "list");
    Ok(())
}

async fn watch(node: &Arc<Node>) -> Result<(), StoreError> {
    let store = Arc::clone(&node.interfaces.store);
    let since = read(&node.config).objects.revision();
    let wait = watch_wait(node);
    let changes = run_blocking(move || store.watch(since, wait)).await?;
    let applied = write(&node.config).objects.apply_delta(since, changes.revision, changes.objects);
    match applied {
        // A peer delivered a newer revision meanwhile; the next watch starts there.
        Applied::Gap if read(&node.config).objects.revision() > since => Ok(()),
        Applied::Gap | Applied::Malformed => Err(StoreError::RevisionCompacted),
        applied => {
            update_dependents(node, Feed::Objects, applied, "watch");
            Ok(())
        }
    }
}

/// Wait time of the next watch. After a failure the first watch returns at once, to find out
/// whether the platform is reachable.
fn watch_wait(node: &Node) -> Duration {
    match node.platform_reachable.load(Ordering::Relaxed) {
        true => WATCH_WAIT,
        false => Duration::ZERO,
    }
}

/// Follows the imported configuration, if the platform holds one.
pub(crate) async fn sync_config(node: Arc<Node>) {
    let Some(source) = node.interfaces.config_source.clone() else { return };
    loop {
        let since = read(&node.config).imported.revision();
        let (source, wait) = (Arc::clone(&source), watch_wait(&node));
        match run_blocking(move || source.wait_for_newer(since, wait)).await {
            Ok(newer) => {
                mark_platform_reachable(&node);
                if let Some(listing) = newer {
                    let applied = {
                        let mut config = write(&node.config);
                        config.imported.apply_listing(listing.revision, listing.objects)
                    };
                    update_dependents(&node, Feed::Imported, applied, "platform");
                    let [min, max] = IMPORT_REWATCH_DELAY;
                    sleep(random_between(min, max)).await;
                }
            }
            // The next call fetches a full listing.
            Err(StoreError::RevisionCompacted) => {}
            Err(StoreError::Invalid(reason)) => {
                warn!(
                    "the imported configuration is invalid; keeping the last valid one: {reason}"
                );
                sleep(retry_delay()).await;
            }
            Err(err) => {
                mark_platform_unreachable(&node, &err);
                sleep(retry_delay()).await;
            }
        }
    }
}

fn mark_platform_reachable(node: &Node) {
    if !node.platform_reachable.swap(true, Ordering::Relaxed) {
        info!("the platform is reachable");
    }
}

fn mark_platform_unreachable(node: &Node, err: &StoreError) {
    if node.platform_reachable.swap(false, Ordering::Relaxed) {
        warn!("the platform is unreachable: {err}");
    }
}

/// A random delay before a retry, so that nodes don't all retry at the same moment.
pub(crate) fn retry_delay() -> Duration {
    random_between(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}

/// A random delay between a change and the next watch.
fn rewatch_delay(node: &Node) -> Duration {
    let [min, max] = match node.interfaces.config_source {
        Some(_) => RECORDS_REWATCH_DELAY,
        None => CONFIG_REWATCH_DELAY,
    };
    random_between(min, max)
}

fn random_between(min: Duration, max: Duration) -> Duration {
    let range = min.as_millis() as u64..=max.as_millis() as u64;
    Duration::from_millis(rand::rng().random_range(range))
}

/// Runs a blocking call to the platform on a blocking thread of the runtime.
pub(crate) async fn run_blocking<T: Send + 'static>(
    call: impl FnOnce() -> Result<T, StoreError> + Send + 'static,
) -> Result<T, StoreError> {
    let joined = spawn_blocking(call).await;
    joined.unwrap_or_else(|err| Err(StoreError::Unavailable(err.to_string().into())))
}

/// Updates everything that depends on a replica after a change of it. `source` names the origin
/// of the change in the log.
pub(crate) fn update_dependents(node: &Arc<Node>, feed: Feed, applied: Applied, source: &str) {
    match applied {
        Applied::Applied => {}
        Applied::AlreadyKnown => return,
        Applied::Gap | Applied::Malformed => {
            return warn!("change of the {feed:?} feed from {source} was not applied: {applied:?}");
        }
    }
    let config = read(&node.config);
    let revisions = config.revisions();
    info!("{feed:?} feed updated to revision {} from {source}", config.replica(feed).revision());
    node.metrics.objects_revision.set(revisions.objects.0 as i64);
    node.metrics.imported_revision.set(revisions.imported.0 as i64);
    if feed == Feed::Imported {
        return;
    }
    node.peers.set_members(node, &config.objects);
    let marks = apply_marks(node, &config.objects);
    drop(config);
    // The guard locks the configuration itself, so the lock must be released by now.
    if let Some((drains, marked)) = marks {
        node.guard.set_marks(node, &drains, marked);
    }
    if !node_record::is_registered(node) {
        node.node_record_changed.notify_one();
    }
}

/// Drain states for the guard, and the names of all marked endpoints.
type GuardMarks = (Vec<(EndpointName, DrainState)>, Vec<EndpointName>);

/// Applies changed endpoint marks to the directory, and returns those for the guard. Returns `None`
/// if the marks have not changed.
fn apply_marks(node: &Arc<Node>, config: &Replica) -> Option<GuardMarks> {
    let previous = node.guard.begin_mark_update(config.kind_revision(Kind::EndpointMark))?;
    let marked: Vec<EndpointName> = config.marks().map(|(name, _)| name.clone()).collect();
    let removed: Vec<EndpointName> =
        previous.into_iter().filter(|name| config.mark(name).is_none()).collect();
    let marks = config.marks().map(|(name, mark)| (name.clone(), Some(mark.value().clone())));
    let unmarked = removed.iter().map(|name| (name.clone(), None));
    write(&node.directory).set_marks(marks.chain(unmarked));
    Some((guard::drain_states(config, &removed), marked))
}

/// The changes of a feed since a revision, split into chunks that fit into a frame. Returns a full
/// copy if the changes are no longer known, and `None` if there are none.
pub(crate) fn transfer_since(node: &Node, feed: Feed, from: Revision) -> Option<config::Chunks> {
    let config = read(&node.config);
    let replica = config.replica(feed);
    match replica.delta_since(from, MAX_TRANSFER_BYTES) {
        config::Delta::UpToDate => None,
        config::Delta::Changes(chunks) => Some(chunks),
        config::Delta::FullCopyNeeded => Some(replica.full_copy(MAX_TRANSFER_BYTES)),
    }
}

/// Pulls newer revisions from a peer, unless this node's own watch delivers them first.
pub(crate) fn catch_up(node: &Arc<Node>, peer: Arc<Peer>, peer_revisions: Revisions) {
    /// Set while a pull is pending or in progress, so that further calls from peers don't start
    /// another one.
    static PULLING: AtomicBool = AtomicBool::new(false);
    if PULLING.swap(true, Ordering::Relaxed) {
        return;
    }
    let node = Arc::clone(node);
    tokio::spawn(async move {
        sleep(CATCH_UP_DELAY).await;
        if peer_revisions.is_ahead_of(read(&node.config).revisions()) {
            pull_changes(&node, &peer).await;
        }
        PULLING.store(false, Ordering::Relaxed);
    });
}

/// Compares revisions with a peer at regular intervals, and pulls if the peer is ahead.
pub(crate) async fn compare_with_peers(node: Arc<Node>) {
    loop {
        let is_reachable = node.platform_reachable.load(Ordering::Relaxed);
        sleep(if is_reachable { COMPARE_INTERVAL } else { OUTAGE_COMPARE_INTERVAL }).await;
        match choose_peer(&node) {
            Some(peer) => compare_revisions(&node, peer).await,
            None if !is_reachable => fetch_from_seeds(&node).await,
            None => {}
        }
    }
}

/// A random peer, mostly one in this node's failure domain.
fn choose_peer(node: &Node) -> Option<Arc<Peer>> {
    let mut peers = node.peers.all();
    let is_same_domain = |peer: &Arc<Peer>| peer.domain == node.info().domain;
    if rand::rng().random_range(0..CROSS_DOMAIN_DIVISOR) > 0 && peers.iter().any(is_same_domain) {
        peers.retain(is_same_domain);
    }
    (!peers.is_empty()).then(|| peers.swap_remove(rand::rng().random_range(0..peers.len())))
}

async fn compare_revisions(node: &Arc<Node>, peer: Arc<Peer>) {
    let own = read(&node.config).revisions();
    match peer.control.request(Frame::Revisions(own)).await {
        Ok(reply) => {
            peer.record_success();
            let Frame::Revisions(peer_revisions) = reply.frame else { return };
            if peer_revisions.is_ahead_of(read(&node.config).revisions()) {
                catch_up(node, peer, peer_revisions);
            }
        }
        Err(err) => peer.record_failure(node.now(), &err),
    }
}

/// Fetches the configuration from the seeds if the platform is unreachable at startup.
async fn fetch_from_seeds(node: &Arc<Node>) {
    for seed in &node.settings.fleet_seeds {
        for feed in Feed::ALL {
            let since = read(&node.config).replica(feed).revision();
            let first = Frame::Pull(feed, since);
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
async fn pull_changes(node: &Arc<Node>, from: &Peer) {
    for feed in Feed::ALL {
        let since = read(&node.config).replica(feed).revision();
        let mut next = Some(Frame::Pull(feed, since));
        while let Some(frame) = next {
            let Ok(reply) = from.control.request(frame).await else { return };
            next = receive_chunk(node, &from.name, feed, reply.frame);
        }
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
