//! Keeps the replica up to date: from the platform, and from and to other nodes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use admission::Drain;
use config::{Applied, Received};
use log::{info, warn};
use membership::RelayRole;
use model::{EndpointName, Kind, NodeName, Object, Revision};
use platform::{Precondition, StoreError, fresh_write_id, write_resolved};
use tokio::task::spawn_blocking;
use tokio::time::sleep;
use wire::{Frame, MAX_TRANSFER_BYTES};

use crate::guard;
use crate::shared::{Node, Phase, lock, read, write};
use crate::view::node_key;

/// How long one watch waits at the platform. The end of a watch is the contact that other nodes
/// hear of a heartbeat later; a longer wait would let their `PLATFORM_SILENCE` of 3 s pass while
/// nothing changes, and all of them would try the platform.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// Pause after a failed call to the platform.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause between two looks at the own role.
const MAX_STANDBY: Duration = Duration::from_millis(500);

/// Time within which the own node record must be written before it is tried again.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);

/// Follows the platform while this node is a relay.
pub(crate) async fn follow_platform(node: Arc<Node>) {
    let mut listed = false;
    loop {
        match role(&node) {
            RelayRole::Standby(until) => {
                sleep(until.since(node.now()).min(MAX_STANDBY)).await;
                continue;
            }
            RelayRole::Relay | RelayRole::TryPlatform => {}
        }
        let result = if listed { watch(&node).await } else { list(&node).await };
        match result {
            Ok(()) => {
                listed = true;
                note_contact(&node);
            }
            Err(StoreError::ListNeeded) => listed = false,
            // The platform is there; it asks for fewer calls.
            Err(StoreError::Throttled) => sleep(RETRY_PAUSE).await,
            Err(err) => {
                if node.platform_reachable.swap(false, Ordering::Relaxed) {
                    warn!("the platform stopped answering: {err}");
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn role(node: &Node) -> RelayRole {
    let now = node.now();
    let lease = lock(&node.lease);
    let mut relays = lock(&node.relays);
    relays.role(now, rand::random(), |name| lease.is_alive(name, now))
}

fn note_contact(node: &Node) {
    if !node.platform_reachable.swap(true, Ordering::Relaxed) {
        info!("the platform answers");
    }
    lock(&node.relays).platform_contact(node.now());
}

async fn list(node: &Arc<Node>) -> Result<(), StoreError> {
    let store = Arc::clone(&node.store);
    let listing = blocking(move || store.list()).await?;
    let revision = listing.revision;
    let outcome = write(&node.config).apply_listing(revision, listing.objects);
    finish_change(node, outcome, Source::Listing(revision));
    Ok(())
}

async fn watch(node: &Arc<Node>) -> Result<(), StoreError> {
    let store = Arc::clone(&node.store);
    let since = read(&node.config).revision();
    // After a failure the platform has to be known to answer before a watch may wait for a change.
    let wait = match node.platform_reachable.load(Ordering::Relaxed) {
        true => WATCH_WAIT,
        false => Duration::ZERO,
    };
    let changes = blocking(move || store.watch(since, wait)).await?;
    let outcome = write(&node.config).apply_delta(since, changes.revision, changes.objects);
    match outcome {
        // Another node was faster; the next watch starts at the newer revision.
        Applied::Gap if read(&node.config).revision() > since => Ok(()),
        Applied::Gap | Applied::Malformed => Err(StoreError::ListNeeded),
        outcome => {
            finish_change(node, outcome, Source::Peer);
            Ok(())
        }
    }
}

/// Runs a blocking call to the platform on a thread of its own.
pub(crate) async fn blocking<T: Send + 'static>(
    call: impl FnOnce() -> Result<T, StoreError> + Send + 'static,
) -> Result<T, StoreError> {
    let joined = spawn_blocking(call).await;
    joined.unwrap_or_else(|err| Err(StoreError::Unavailable(err.to_string().into())))
}

/// Where a change of the replica came from.
#[derive(Clone, Copy)]
pub(crate) enum Source {
    /// A full listing of the platform at this revision.
    Listing(Revision),
    /// Changes, from the platform or from a peer.
    Peer,
}

/// Carries a change of the replica to all that depends on it.
///
/// The lease learns of the revision last: until then this node must not confirm it to others, nor
/// rely on it itself.
pub(crate) fn finish_change(node: &Arc<Node>, outcome: Applied, source: Source) {
    let config = read(&node.config);
    let revision = config.revision();
    let mut marks = None;
    if outcome == Applied::Applied {
        apply_members(node, &config);
        marks = apply_marks(node, &config);
        let mut ownership = lock(&node.ownership);
        for (id, record) in config.partitions() {
            ownership.set_record(id, record.value(), record.revision());
        }
    }
    let mut lease = lock(&node.lease);
    let is_new = revision > lease.revision();
    match source {
        Source::Listing(revision) => lease.applied_listing(revision),
        Source::Peer => lease.applied(revision),
    }
    drop(lease);
    drop(config);
    // The guard looks into the configuration itself, so it must not be locked here any more.
    if let Some((drains, current)) = marks {
        node.guard.set_marks(node, &drains, current);
    }
    if is_new {
        info!("configuration is at revision {revision}");
        node.metrics.revision.set(revision.0 as i64);
        node.config_changed.notify_waiters();
        node.trigger_heartbeat();
    }
}

fn apply_members(node: &Arc<Node>, config: &config::Replica) {
    let names: Vec<NodeName> = config.members().map(|(name, _)| name.clone()).collect();
    lock(&node.lease).set_members(names);
    let domains = config.members().map(|(name, record)| (name, &record.value().domain));
    lock(&node.relays).set_members(&node.info().domain, domains);
    node.peers.set_members(node, config);
}

/// Drain marks for the guard, and the names of all marked endpoints.
type GuardMarks = (Vec<(EndpointName, Drain)>, Vec<EndpointName>);

fn apply_marks(node: &Arc<Node>, config: &config::Replica) -> Option<GuardMarks> {
    let known = node.guard.marked(config.kind_revision(Kind::EndpointMark))?;
    let current: Vec<EndpointName> = config.marks().map(|(name, _)| name.clone()).collect();
    let removed: Vec<EndpointName> =
        known.into_iter().filter(|name| config.mark(name).is_none()).collect();
    let marks = config.marks().map(|(name, mark)| (name.clone(), Some(mark.value().clone())));
    let unmarked = removed.iter().map(|name| (name.clone(), None));
    write(&node.directory).set_marks(marks.chain(unmarked));
    Some((guard::drains(config, &removed), current))
}

/// Takes a part of a transfer from a peer.
pub(crate) fn receive(node: &Arc<Node>, from: &NodeName, transfer: config::Chunk) {
    let mut config = write(&node.config);
    let mut incoming = lock(&node.peers.incoming);
    let received = incoming.entry(from.clone()).or_default().receive(transfer, &mut config);
    drop(incoming);
    drop(config);
    match received {
        Received::Incomplete | Received::OutOfOrder => {}
        Received::Complete(Applied::Malformed) => warn!("malformed transfer from {from}"),
        Received::Complete(outcome) => finish_change(node, outcome, Source::Peer),
    }
}

/// The changes since a revision, cut into frames.
pub(crate) fn transfer_since(node: &Node, from: Revision) -> Option<config::Chunks> {
    let config = read(&node.config);
    match config.delta_since(from, MAX_TRANSFER_BYTES) {
        config::Delta::UpToDate => None,
        config::Delta::Changes(chunks) => Some(chunks),
        config::Delta::FullCopyNeeded => Some(config.full_copy(MAX_TRANSFER_BYTES)),
    }
}

/// Keeps the own node record in the platform, so that others know this process.
pub(crate) async fn register(node: Arc<Node>) {
    loop {
        if node.phase() == Phase::Serving && !is_registered(&node) {
            match write_record(&node).await {
                Ok(revision) => info!("node record written at revision {revision}"),
                Err(err) => warn!("writing the node record failed: {err}"),
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

fn is_registered(node: &Node) -> bool {
    let config = read(&node.config);
    let record = config.member(&node.info().node);
    record.is_some_and(|record| *record.value() == own_record(node))
}

fn own_record(node: &Node) -> model::NodeRecord {
    model::NodeRecord {
        domain: node.info().domain.clone(),
        peer_addr: node.settings.peer.advertise,
        operator_addr: node.settings.operator.listen,
        incarnation: node.info().incarnation,
    }
}

async fn write_record(node: &Arc<Node>) -> Result<Revision, StoreError> {
    let store = Arc::clone(&node.store);
    let key = node_key(&node.info().node);
    let object = Object::Node(own_record(node));
    blocking(move || {
        let current = store.read(&key)?;
        let live = current.filter(|stored| stored.object.is_some());
        if let Some(stored) = live.as_ref().filter(|stored| stored.object.as_ref() == Some(&object))
        {
            // Written before; the replica has not seen it yet.
            return Ok(stored.revision);
        }
        let precondition =
            live.map_or(Precondition::Absent, |stored| Precondition::At(stored.revision));
        let deadline = std::time::Instant::now() + REGISTER_TIMEOUT;
        let id = fresh_write_id();
        write_resolved(&*store, &key, precondition, Some(&object), &id, deadline)
    })
    .await
}

/// Removes the own node record at the end of a graceful stop. Fails without harm when the platform
/// is away: other nodes remove the record later.
pub(crate) async fn unregister(node: &Arc<Node>) {
    let store = Arc::clone(&node.store);
    let key = node_key(&node.info().node);
    let incarnation = node.info().incarnation;
    let removed = blocking(move || {
        let Some(stored) = store.read(&key)? else { return Ok(()) };
        let is_own =
            matches!(&stored.object, Some(Object::Node(r)) if r.incarnation == incarnation);
        if !is_own {
            return Ok(());
        }
        let deadline = std::time::Instant::now() + REGISTER_TIMEOUT;
        let precondition = Precondition::At(stored.revision);
        write_resolved(&*store, &key, precondition, None, &fresh_write_id(), deadline).map(drop)
    });
    if let Err(err) = removed.await {
        warn!("removing the node record failed: {err}");
    }
}

/// Pulls the changes that a peer has.
pub(crate) async fn pull(node: &Arc<Node>, from: &crate::peers::Peer) {
    let since = read(&node.config).revision();
    let mut frame = Frame::Pull(since);
    loop {
        let Ok(Frame::Objects(transfer)) = from.client.request(frame).await else { return };
        let last = transfer.last;
        receive(node, &from.name, transfer);
        if last {
            return;
        }
        frame = Frame::PullMore;
    }
}

/// Pushes the changes that a peer lacks. A peer that needs a full copy asks one node of its choice
/// for it; pushed, it would get one from every node.
pub(crate) async fn push(node: &Arc<Node>, to: &crate::peers::Peer, since: Revision) {
    let delta = read(&node.config).delta_since(since, MAX_TRANSFER_BYTES);
    let config::Delta::Changes(chunks) = delta else { return };
    for chunk in chunks {
        if to.client.request(Frame::Objects(chunk)).await.is_err() {
            return;
        }
    }
    // The next heartbeat confirms the revision to this node without a wait of a second.
    node.trigger_heartbeat();
}

/// Takes the configuration from a seed when the platform is away at the start.
///
/// The copy is not relied on until a majority has confirmed that it is not behind, see
/// [`membership::QuorumLease`].
pub(crate) async fn follow_seeds(node: Arc<Node>) {
    for seed in node.settings.fleet_seeds.iter().cycle() {
        sleep(RETRY_PAUSE).await;
        if read(&node.config).revision() > Revision::ZERO {
            return;
        }
        let copied =
            peer::request_all(*seed, &node.identity, Frame::Pull(Revision::ZERO), |frame| {
                let Frame::Objects(transfer) = frame else { return None };
                let last = transfer.last;
                receive(&node, &seed_name(), transfer);
                (!last).then_some(Frame::PullMore)
            });
        if let Err(err) = copied.await {
            info!("seed {seed} gave no configuration: {err}");
        }
    }
}

/// Transfers of seeds are kept apart from those of members.
fn seed_name() -> NodeName {
    "seed".parse().expect("the text is a valid name")
}
