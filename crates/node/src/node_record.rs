//! Keeps this node's record in the platform up to date, and removes the records of dead nodes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use config::{Applied, Feed, Replica};
use log::{info, warn};
use membership::owner_of;
use model::{
    Kind, NodeName, Object, ObjectKey, PartitionId, Revision, StoredObject, Time, stable_hash,
};
use store::{Precondition, StoreError, new_write_id, write_and_resolve};
use tokio::time::{Instant, sleep, timeout_at};

use crate::announce;
use crate::peers::{Peer, displaced_members};
use crate::platform_link::Retries;
use crate::shared::{Node, Phase, lock, read, write};
use crate::sync::{run_blocking, update_dependents};

/// Timeout of a write of the node record. The write is retried afterwards.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for the watch to deliver a record that was written, including the longest delay before it.
const RECORD_ECHO_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest delay of the first node record, so that it can include an endpoint. Endpoints announce
/// themselves about once per second.
const FIRST_RECORD_MAX_DELAY: Duration = Duration::from_millis(1800);

/// Time without contact after which a node's record is removed. It is longer than any partition or
/// restart from which a node is expected to return.
const DEAD_NODE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between checks for dead members.
const DEAD_NODE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which the record that a stopped node has left is removed. A message of an endpoint that
/// arrives after its notice is late by seconds.
const STOPPED_RECORD_LIFETIME: Duration = Duration::from_secs(60);

/// Keeps this node's record in the store up to date, so that other nodes know this process and its
/// endpoints. When the node stops, the record is removed, or kept as that of a stopped node if
/// the next process of the node needs it: for the list of departed endpoints, or for the start time of a
/// process that has just started itself and taken retries. Keeping it is one write, like the removal, and
/// so is replacing it instead of creating one, so that restarts cost the same. A failure to leave is
/// harmless for the other nodes: the guard refuses calls that still arrive, and the record is removed
/// later.
pub(crate) async fn register(node: Arc<Node>) {
    wait_for_start(&node).await;
    let mut written: Option<WrittenRecord> = None;
    let mut retries = Retries::default();
    loop {
        let result = match next_step(&node, written.as_ref()) {
            Step::Wait => {
                node.node_record_changed.notified().await;
                continue;
            }
            Step::WaitForEcho(deadline) => {
                let changed = node.node_record_changed.notified();
                let _ = timeout_at(node.clock.to_instant(deadline), changed).await;
                continue;
            }
            Step::Write(record) => write_record(&node, record, &mut written).await,
            Step::Leave(stored) => {
                let last = written.as_ref().map(|last| last.revision);
                remove_own_record(&node, last.max(stored)).await
            }
        };
        match result {
            Ok(()) => retries.reset(),
            Err(err) => {
                warn!("writing the node record failed: {err}");
                let changed = node.node_record_changed.notified();
                tokio::select! {
                    () = node.platform.wait_for_recovery(&mut retries) => {}
                    () = changed => {}
                }
            }
        }
    }
}

/// What [`register`] does next.
enum Step {
    /// The record is up to date; wait for a change.
    Wait,
    /// The record was written; wait until the replica holds it, or until this time.
    WaitForEcho(Time),
    /// Write this record.
    Write(model::NodeRecord),
    /// Remove the record. The replica holds the one of this process at the given revision, if any.
    Leave(Option<Revision>),
}

fn next_step(node: &Node, written: Option<&WrittenRecord>) -> Step {
    let record = own_record(node);
    if record.stopped && record.departed.is_empty() {
        let stored = stored_revision(node);
        let is_stored = written.is_some() || stored.is_some();
        if *node.has_left.borrow() {
            return Step::Wait;
        }
        if !is_stored || !node.guard.next_process_needs_start(node.now()) {
            return Step::Leave(stored);
        }
    }
    // A stopping process may not live to see the echo of its last record.
    let is_written = written.is_some_and(|last| last.record == record);
    if is_registered(node) || (record.stopped && is_written) {
        return Step::Wait;
    }
    match written.and_then(|last| last.pending_until(node, &record)) {
        Some(deadline) => Step::WaitForEcho(deadline),
        None => Step::Write(record),
    }
}

/// Waits until the departures that earlier processes of this node have acknowledged are known, and then for
/// the first announcement of an endpoint for at most [`FIRST_RECORD_MAX_DELAY`] since the start. Ends when
/// the node stops.
async fn wait_for_start(node: &Node) {
    let latest = Instant::now() + FIRST_RECORD_MAX_DELAY;
    // Changes of the configuration wake the task as well.
    while node.phase() == Phase::Serving && !node.handover.is_complete() {
        node.node_record_changed.notified().await;
    }
    let has_endpoint = || !lock(&node.announcements).table().is_empty();
    while node.phase() == Phase::Serving && !has_endpoint() {
        if timeout_at(latest, node.node_record_changed.notified()).await.is_err() {
            return;
        }
    }
}

/// The node record that was written last.
struct WrittenRecord {
    record: model::NodeRecord,
    revision: Revision,
    /// Time at which the record is written again if this node's replica has not reached its
    /// revision.
    echo_deadline: Time,
}

impl WrittenRecord {
    /// Time until which to wait for the replica to deliver this record, if it is still current. If
    /// the replica has passed its revision without holding it, another process has removed the
    /// record.
    fn pending_until(&self, node: &Node, current: &model::NodeRecord) -> Option<Time> {
        let is_behind = read(&node.config).objects.revision() < self.revision;
        let is_pending = is_behind && self.record == *current && node.now() < self.echo_deadline;
        is_pending.then_some(self.echo_deadline)
    }
}

/// Whether the replica holds this node's current record, and the store has it.
pub(crate) fn is_registered(node: &Node) -> bool {
    let own = own_record(node);
    let config = read(&node.config);
    if config.objects.is_retained(&node_key(&node.info().node)) {
        return false;
    }
    let record = config.objects.node_record(&node.info().node);
    // Peers don't send the start time, and it does not change.
    record.is_some_and(|record| {
        let started_ms = record.value().started_ms;
        *record.value() == model::NodeRecord { started_ms, ..own }
    })
}

fn own_record(node: &Node) -> model::NodeRecord {
    let stopped = node.phase() != Phase::Serving;
    let announcements = lock(&node.announcements);
    let mut endpoints = if stopped { Vec::new() } else { announcements.table() };
    for endpoint in &mut endpoints {
        // The load changes with each announcement and is sent with the responses instead.
        endpoint.load = 0;
    }
    model::NodeRecord {
        domain: node.info().domain.clone(),
        peer_addr: node.settings.peer.advertise,
        operator_addr: node.settings.operator.listen,
        incarnation: node.info().incarnation,
        table_version: announcements.version(),
        endpoints,
        departed: announcements.departed(),
        stopped,
        started_ms: node.started_ms,
    }
}

/// Writes the record of this node, and tells those who wait for it.
async fn write_record(
    node: &Arc<Node>,
    record: model::NodeRecord,
    written: &mut Option<WrittenRecord>,
) -> Result<(), StoreError> {
    let last = written.as_ref().map(|last| last.revision);
    let (record, revision) = store_record(node, record, last).await?;
    info!("node record written at revision {revision}");
    node.stored_departures.send_replace(record.departed.clone());
    node.has_left.send_replace(record.stopped);
    let echo_deadline = node.now() + RECORD_ECHO_TIMEOUT;
    *written = Some(WrittenRecord { record, revision, echo_deadline });
    Ok(())
}

/// Stores the record of this node, which this process has written last at revision `last`, if at all.
/// Returns the record as it was stored, with its revision.
async fn store_record(
    node: &Arc<Node>,
    record: model::NodeRecord,
    last: Option<Revision>,
) -> Result<(model::NodeRecord, Revision), StoreError> {
    let entry = read(&node.config).objects.node_record(&node.info().node).cloned();
    let known = entry.as_ref().map(|entry| entry.revision());
    // A peer has sent the record of an earlier process, but not when that started.
    let is_incomplete = |record: &model::NodeRecord| {
        record.incarnation != node.info().incarnation && record.started_ms.is_none()
    };
    if let (Some(entry), None) = (&entry, last)
        && is_incomplete(entry.value())
    {
        return replace_record(node, entry.revision()).await;
    }
    let precondition = known.max(last).map_or(Precondition::Absent, Precondition::At);
    match put_record(node, record.clone(), precondition).await {
        // Written by an earlier process of this node, or by this one and not yet in the replica.
        Err(StoreError::Conflict { current: Some(revision) }) => {
            replace_record(node, revision).await
        }
        Err(StoreError::Conflict { current: None }) => {
            put_record(node, record, Precondition::Absent).await
        }
        written => written,
    }
}

/// Replaces a record that the replica does not hold as it is in the store, and that was last seen at
/// `revision`. A process that has ended may have recorded departures in it, and its start, that this one
/// does not know yet.
async fn replace_record(
    node: &Arc<Node>,
    revision: Revision,
) -> Result<(model::NodeRecord, Revision), StoreError> {
    let (store, key) = (Arc::clone(&node.interfaces.store), node_key(&node.info().node));
    let precondition = match run_blocking(move || store.read(&key)).await {
        Ok(Some(StoredObject { object: Some(object), revision, .. })) => {
            if let Object::Node(record) = object
                && record.incarnation != node.info().incarnation
            {
                announce::take_over(node, &record);
            }
            Precondition::At(revision)
        }
        Ok(Some(StoredObject { object: None, .. }) | None) => Precondition::Absent,
        // The entry of another writer, which tells nothing about endpoints.
        Err(StoreError::Invalid(_)) => Precondition::At(revision),
        Err(err) => return Err(err),
    };
    put_record(node, own_record(node), precondition).await
}

async fn put_record(
    node: &Arc<Node>,
    record: model::NodeRecord,
    precondition: Precondition,
) -> Result<(model::NodeRecord, Revision), StoreError> {
    let (store, key) = (Arc::clone(&node.interfaces.store), node_key(&node.info().node));
    run_blocking(move || {
        let deadline = std::time::Instant::now() + REGISTER_TIMEOUT;
        let object = Object::Node(record.clone());
        let id = new_write_id();
        let revision =
            write_and_resolve(&*store, &key, precondition, Some(&object), &id, deadline)?;
        Ok((record, revision))
    })
    .await
}

/// Revision of this process's record in the replica.
fn stored_revision(node: &Node) -> Option<Revision> {
    let config = read(&node.config);
    let entry = config.objects.node_record(&node.info().node)?;
    (entry.value().incarnation == node.info().incarnation).then(|| entry.revision())
}

/// Removes this process's record, of which `known` is the latest revision, and tells those who wait.
async fn remove_own_record(node: &Arc<Node>, known: Option<Revision>) -> Result<(), StoreError> {
    if let Some(revision) = known {
        let key = || node_key(&node.info().node);
        match remove(node, key(), revision).await {
            // A write of this process whose response was lost.
            Err(StoreError::Conflict { current: Some(current) }) => {
                remove(node, key(), current).await?;
            }
            removed => removed?,
        }
    }
    node.has_left.send_replace(true);
    Ok(())
}

/// Waits until the record shows that this node has left the members, or is removed.
pub(crate) async fn wait_until_left(node: &Node) {
    // The sender lives as long as the node.
    let _ = node.has_left.subscribe().wait_for(|has_left| *has_left).await;
}

async fn remove(node: &Arc<Node>, key: ObjectKey, at: Revision) -> Result<(), StoreError> {
    let store = Arc::clone(&node.interfaces.store);
    run_blocking(move || {
        let written = store.write(&key, Precondition::At(at), None, &new_write_id());
        match written {
            // Another process has already removed it.
            Ok(_) | Err(StoreError::Conflict { current: None }) => Ok(()),
            Err(err) => Err(err),
        }
    })
    .await
}

/// Removes the records of members that have been unreachable for [`DEAD_NODE_TIMEOUT`], and those that
/// stopped nodes left [`STOPPED_RECORD_LIFETIME`] ago. To avoid duplicate writes, the owner of each
/// record among the live members removes it.
pub(crate) async fn remove_dead_members(node: Arc<Node>) {
    let mut stopped = StoppedRecords::default();
    loop {
        sleep(DEAD_NODE_CHECK_INTERVAL).await;
        if !node.platform.is_reachable() {
            continue;
        }
        let now = node.now();
        let is_dead = |peer: &Arc<Peer>| {
            peer.unreachable_since().is_some_and(|since| now.since(since) >= DEAD_NODE_TIMEOUT)
        };
        let (dead, alive): (Vec<_>, Vec<_>) = node.peers.all().into_iter().partition(is_dead);
        let own = &node.info().node;
        for name in previous_address_holders(&node) {
            warn!("removing the record of node {name}, a previous holder of this node's address");
            remove_record(&node, &name).await;
        }
        let is_removed_here = |name: &NodeName| {
            let hash = stable_hash(&[b"dead", name.as_str().as_bytes()]);
            let candidates = alive.iter().map(|peer| &peer.name).chain([own]);
            owner_of(PartitionId(hash as u16), candidates) == Some(own)
        };
        let expired = stopped.expired(&read(&node.config).objects, now);
        for name in expired {
            if !forget_lost_record(&node, &name) && is_removed_here(&name) {
                info!("removing the record of node {name}, which has stopped");
                remove_record(&node, &name).await;
            }
        }
        for peer in dead {
            if forget_lost_record(&node, &peer.name) || !is_removed_here(&peer.name) {
                continue;
            }
            warn!(
                "removing the record of node {}, unreachable for {DEAD_NODE_TIMEOUT:?}",
                peer.name
            );
            remove_record(&node, &peer.name).await;
        }
    }
}

/// Records of stopped nodes, each with its revision and the time from which it is removed.
#[derive(Default)]
struct StoppedRecords(HashMap<NodeName, (Revision, Time)>);

impl StoppedRecords {
    /// Returns the nodes whose records have been those of stopped nodes for their whole lifetime, as
    /// far as this node has seen.
    fn expired(&mut self, objects: &Replica, now: Time) -> Vec<NodeName> {
        let earlier = std::mem::take(&mut self.0);
        for (name, entry) in objects.stopped_nodes() {
            let known = earlier.get(name).filter(|(revision, _)| *revision == entry.revision());
            let expires = known.map_or(now + STOPPED_RECORD_LIFETIME, |(_, expires)| *expires);
            self.0.insert(name.clone(), (entry.revision(), expires));
        }
        let expired = self.0.iter().filter(|(_, (_, expires))| *expires <= now);
        expired.map(|(name, _)| name.clone()).collect()
    }
}

/// Nodes whose records still hold the peer address of this node.
fn previous_address_holders(node: &Node) -> Vec<NodeName> {
    let config = read(&node.config);
    let addr = node.settings.peer.advertise;
    let holds_address = |name: &NodeName| {
        config.objects.node_record(name).is_some_and(|entry| entry.value().peer_addr == addr)
    };
    let displaced = displaced_members(node, &config.objects);
    displaced.into_iter().filter(|name| holds_address(name)).cloned().collect()
}

/// Forgets the record of a node if only the replicas have it, because the store lost it. Each node does so
/// by itself, as there is nothing to remove whose removal the feed could tell.
fn forget_lost_record(node: &Arc<Node>, name: &NodeName) -> bool {
    let is_forgotten = write(&node.config).objects.forget_retained(&node_key(name));
    if is_forgotten {
        info!("forgetting the record of node {name}, which the store lost");
        update_dependents(node, Feed::Objects, Applied::Applied, "removal");
    }
    is_forgotten
}

async fn remove_record(node: &Arc<Node>, name: &NodeName) {
    let revision = read(&node.config).objects.revision_in_store(&node_key(name));
    let Some(revision) = revision else { return };
    if let Err(err) = remove(node, node_key(name), revision).await {
        warn!("removing the record of node {name} failed: {err}");
    }
}

/// The key of a node's record.
pub(crate) fn node_key(name: &NodeName) -> ObjectKey {
    ObjectKey::new(Kind::Node, name.as_str())
}
