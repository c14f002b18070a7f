//! Keeps the configuration up to date: from the platform, and from other nodes where the platform
//! does not serve this one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use admission::Drain;
use config::{Applied, Feed, Received, Replica, Revisions};
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

/// How long one watch waits at the platform. Each watch is a call that is paid for; a connection that
/// goes silent is found by its keep-alive, not by the end of the wait.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Shortest and longest pause between a change of the product's objects and the next watch, if these
/// are node records and marks only. Changes come in groups, for example when many nodes start, and each
/// watch is a call that is paid for. Nodes pause for different times: the first one that watches again
/// brings a change to the others by its calls, which cost a tenth of a watch.
const RECORDS_PAUSE: [Duration; 2] = [Duration::from_millis(1000), Duration::from_millis(4000)];

/// The same if the objects are also the configuration, which operators expect to be in force soon.
const CONFIG_PAUSE: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];

/// The same between a change of the configuration that others write and the next watch. It has to be in
/// force within 2 s, and a watch of a slow store takes 250 ms.
const IMPORT_PAUSE: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(500)];

/// Shortest pause after a failed call to the platform.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a failed call to the platform. Entries have to be back about 2 s after the
/// platform's return.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Interval at which a peer is asked for its revisions. A watch whose connection has gone silent
/// brings no changes; they come from a peer in this time and [`CATCH_UP_DELAY`], within the 2 s in
/// which a configuration has to be in force.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1200);

/// The same while the platform does not answer.
const OUTAGE_INTERVAL: Duration = Duration::from_millis(400);

/// Part of the comparisons that go to any peer instead of one of the own failure domain, as a
/// divisor. Bytes between domains are paid for, but a whole domain may be cut off.
const FAR_DIVISOR: u32 = 4;

/// Time for the own watch to bring a change that another node knows already.
const CATCH_UP_DELAY: Duration = Duration::from_millis(100);

/// Follows the product's objects.
pub(crate) async fn follow_objects(node: Arc<Node>) {
    let mut listed = false;
    loop {
        let result = if listed { watch(&node).await } else { list(&node).await };
        match result {
            Ok(()) => {
                listed = true;
                note_contact(&node);
                sleep(group_pause(&node)).await;
            }
            Err(StoreError::ListNeeded) => listed = false,
            Err(err) => {
                note_failure(&node, &err);
                sleep(retry_pause()).await;
            }
        }
    }
}

async fn list(node: &Arc<Node>) -> Result<(), StoreError> {
    let store = Arc::clone(&node.interfaces.store);
    let listing = blocking(move || store.list()).await?;
    let applied = write(&node.config).objects.apply_listing(listing.revision, listing.objects);
    finish_change(node, Feed::Objects, applied, "list");
    Ok(())
}

async fn watch(node: &Arc<Node>) -> Result<(), StoreError> {
    let store = Arc::clone(&node.interfaces.store);
    let since = read(&node.config).objects.revision();
    let wait = watch_wait(node);
    let changes = blocking(move || store.watch(since, wait)).await?;
    let applied = write(&node.config).objects.apply_delta(since, changes.revision, changes.objects);
    match applied {
        // A peer was faster; the next watch starts at the newer revision.
        Applied::Gap if read(&node.config).objects.revision() > since => Ok(()),
        Applied::Gap | Applied::Malformed => Err(StoreError::ListNeeded),
        applied => {
            finish_change(node, Feed::Objects, applied, "watch");
            Ok(())
        }
    }
}

/// After a failure the platform has to be known to answer before a watch may wait for a change.
fn watch_wait(node: &Node) -> Duration {
    match node.platform_reachable.load(Ordering::Relaxed) {
        true => WATCH_WAIT,
        false => Duration::ZERO,
    }
}

/// Follows the configuration that others write.
pub(crate) async fn follow_config(node: Arc<Node>) {
    let Some(source) = node.interfaces.config_source.clone() else { return };
    loop {
        let since = read(&node.config).imported.revision();
        let (from, wait) = (Arc::clone(&source), watch_wait(&node));
        match blocking(move || from.newer_than(since, wait)).await {
            Ok(newer) => {
                note_contact(&node);
                if let Some(listing) = newer {
                    let applied = {
                        let mut config = write(&node.config);
                        config.imported.apply_listing(listing.revision, listing.objects)
                    };
                    finish_change(&node, Feed::Imported, applied, "platform");
                    let [min, max] = IMPORT_PAUSE;
                    sleep(random_between(min, max)).await;
                }
            }
            // The next call lists again.
            Err(StoreError::ListNeeded) => {}
            Err(StoreError::Invalid(reason)) => {
                warn!("the configuration can't be read and the last one is kept: {reason}");
                sleep(retry_pause()).await;
            }
            Err(err) => {
                note_failure(&node, &err);
                sleep(retry_pause()).await;
            }
        }
    }
}

fn note_contact(node: &Node) {
    if !node.platform_reachable.swap(true, Ordering::Relaxed) {
        info!("the platform answers");
    }
}

fn note_failure(node: &Node, err: &StoreError) {
    if node.platform_reachable.swap(false, Ordering::Relaxed) {
        warn!("the platform stopped answering: {err}");
    }
}

/// A pause that differs between nodes, so that they don't all come back at the same moment.
pub(crate) fn retry_pause() -> Duration {
    random_between(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE)
}

fn group_pause(node: &Node) -> Duration {
    let [min, max] = match node.interfaces.config_source {
        Some(_) => RECORDS_PAUSE,
        None => CONFIG_PAUSE,
    };
    random_between(min, max)
}

fn random_between(min: Duration, max: Duration) -> Duration {
    let range = min.as_millis() as u64..=max.as_millis() as u64;
    Duration::from_millis(rand::rng().random_range(range))
}

/// Runs a blocking call to the platform on a thread of its own.
pub(crate) async fn blocking<T: Send + 'static>(
    call: impl FnOnce() -> Result<T, StoreError> + Send + 'static,
) -> Result<T, StoreError> {
    let joined = spawn_blocking(call).await;
    joined.unwrap_or_else(|err| Err(StoreError::Unavailable(err.to_string().into())))
}

/// Carries a change of a replica to all that depends on it.
pub(crate) fn finish_change(node: &Arc<Node>, feed: Feed, applied: Applied, from: &str) {
    match applied {
        Applied::Applied => {}
        Applied::AlreadyKnown => return,
        Applied::Gap | Applied::Malformed => {
            return warn!("a change of the {feed:?} feed from {from} does not fit: {applied:?}");
        }
    }
    let config = read(&node.config);
    let revisions = config.revisions();
    info!("{feed:?} feed is at revision {} by {from}", config.feed(feed).revision());
    node.metrics.objects_revision.set(revisions.objects.0 as i64);
    node.metrics.imported_revision.set(revisions.imported.0 as i64);
    if feed == Feed::Imported {
        return;
    }
    node.peers.set_members(node, &config.objects);
    let marks = apply_marks(node, &config.objects);
    drop(config);
    // The guard looks into the configuration itself, so it must not be locked here any more.
    if let Some((drains, current)) = marks {
        node.guard.set_marks(node, &drains, current);
    }
    if !node_record::is_registered(node) {
        node.record_changed.notify_one();
    }
}

/// Drain marks for the guard, and the names of all marked endpoints.
type GuardMarks = (Vec<(EndpointName, Drain)>, Vec<EndpointName>);

fn apply_marks(node: &Arc<Node>, config: &Replica) -> Option<GuardMarks> {
    let known = node.guard.begin_mark_update(config.kind_revision(Kind::EndpointMark))?;
    let current: Vec<EndpointName> = config.marks().map(|(name, _)| name.clone()).collect();
    let removed: Vec<EndpointName> =
        known.into_iter().filter(|name| config.mark(name).is_none()).collect();
    let marks = config.marks().map(|(name, mark)| (name.clone(), Some(mark.value().clone())));
    let unmarked = removed.iter().map(|name| (name.clone(), None));
    write(&node.directory).set_marks(marks.chain(unmarked));
    Some((guard::drain_states(config, &removed), current))
}

/// The changes of a feed since a revision, cut into frames.
pub(crate) fn transfer_since(node: &Node, feed: Feed, from: Revision) -> Option<config::Chunks> {
    let config = read(&node.config);
    let replica = config.feed(feed);
    match replica.delta_since(from, MAX_TRANSFER_BYTES) {
        config::Delta::UpToDate => None,
        config::Delta::Changes(chunks) => Some(chunks),
        config::Delta::FullCopyNeeded => Some(replica.full_copy(MAX_TRANSFER_BYTES)),
    }
}

/// Pulls what a peer has shown to know, unless the own watch brings it in the meantime.
pub(crate) fn catch_up(node: &Arc<Node>, peer: Arc<Peer>, theirs: Revisions) {
    /// Set while a pull is under way, so that each call of the peer does not start another one.
    static PULLING: AtomicBool = AtomicBool::new(false);
    if PULLING.swap(true, Ordering::Relaxed) {
        return;
    }
    let node = Arc::clone(node);
    tokio::spawn(async move {
        sleep(CATCH_UP_DELAY).await;
        if theirs.is_ahead_of(read(&node.config).revisions()) {
            pull(&node, &peer).await;
        }
        PULLING.store(false, Ordering::Relaxed);
    });
}

/// Compares the own revisions with those of peers.
pub(crate) async fn follow_peers(node: Arc<Node>) {
    loop {
        let is_reachable = node.platform_reachable.load(Ordering::Relaxed);
        sleep(if is_reachable { COMPARE_INTERVAL } else { OUTAGE_INTERVAL }).await;
        match choose_peer(&node) {
            Some(peer) => compare(&node, peer).await,
            None if !is_reachable => ask_seeds(&node).await,
            None => {}
        }
    }
}

fn choose_peer(node: &Node) -> Option<Arc<Peer>> {
    let mut peers = node.peers.all();
    let near = |peer: &Arc<Peer>| peer.domain == node.info().domain;
    if rand::rng().random_range(0..FAR_DIVISOR) > 0 && peers.iter().any(near) {
        peers.retain(near);
    }
    (!peers.is_empty()).then(|| peers.swap_remove(rand::rng().random_range(0..peers.len())))
}

async fn compare(node: &Arc<Node>, peer: Arc<Peer>) {
    let own = read(&node.config).revisions();
    match peer.control.request(Frame::Revisions(own)).await {
        Ok(reply) => {
            peer.reached();
            let Frame::Revisions(theirs) = reply.frame else { return };
            if theirs.is_ahead_of(read(&node.config).revisions()) {
                catch_up(node, peer, theirs);
            }
        }
        Err(err) => peer.not_reached(node.now(), &err),
    }
}

/// Takes the configuration from a seed when the platform is away at the start.
async fn ask_seeds(node: &Arc<Node>) {
    for seed in &node.settings.fleet_seeds {
        for feed in Feed::ALL {
            let since = read(&node.config).feed(feed).revision();
            let first = Frame::Pull(feed, since);
            let copied = peer::request_all(*seed, &node.identity, first, |frame| {
                take_part(node, &seed_name(), feed, frame)
            });
            if let Err(err) = copied.await {
                info!("seed {seed} gave no configuration: {err}");
            }
        }
    }
}

/// Transfers of seeds are kept apart from those of members.
fn seed_name() -> NodeName {
    "seed".parse().expect("the text is a valid name")
}

/// Pulls the changes of both feeds that a peer has.
async fn pull(node: &Arc<Node>, from: &Peer) {
    for feed in Feed::ALL {
        let since = read(&node.config).feed(feed).revision();
        let mut next = Some(Frame::Pull(feed, since));
        while let Some(frame) = next {
            let Ok(reply) = from.control.request(frame).await else { return };
            next = take_part(node, &from.name, feed, reply.frame);
        }
    }
}

/// Takes a part of a transfer, and returns the request for the next one.
fn take_part(node: &Arc<Node>, from: &NodeName, feed: Feed, frame: Frame) -> Option<Frame> {
    let Frame::Objects(sent, transfer) = frame else { return None };
    if sent != feed {
        return None;
    }
    let last = transfer.last;
    let mut config = write(&node.config);
    let mut incoming = lock(&node.peers.incoming);
    let transfers = incoming.entry((from.clone(), feed)).or_default();
    let received = transfers.receive(transfer, config.feed_mut(feed));
    drop(incoming);
    drop(config);
    match received {
        Received::Incomplete => {}
        Received::OutOfOrder => return None,
        Received::Complete(applied) => finish_change(node, feed, applied, from.as_str()),
    }
    (!last).then_some(Frame::PullMore)
}
