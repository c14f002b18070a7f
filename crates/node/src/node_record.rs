//! Keeps the own node record in the platform, and removes those of nodes that are gone.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::{info, warn};
use membership::owner_of;
use model::{Kind, NodeName, Object, ObjectKey, PartitionId, Revision, Time, stable_hash};
use store::{Precondition, StoreError, fresh_write_id, write_resolved};
use tokio::time::{sleep, timeout, timeout_at};

use crate::peers::{Peer, displaced_members};
use crate::shared::{Node, Phase, lock, read};
use crate::sync::{blocking, retry_pause};

/// Time within which the own node record must be written before it is tried again.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for the own watch to show a record that was written, with the longest pause before the watch.
const RECORD_SHOWN_WITHIN: Duration = Duration::from_secs(5);

/// Longest wait of the first node record for an endpoint, which announces itself about each second.
const FIRST_RECORD_WAIT: Duration = Duration::from_millis(1800);

/// Time without contact after which the record of a node is removed. Longer than any partition or
/// restart that a node is expected to come back from.
const DEAD_AFTER: Duration = Duration::from_secs(20);

/// Pause between two looks for dead members.
const DEAD_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the own node record in the platform, so that others know this process and its endpoints.
pub(crate) async fn register(node: Arc<Node>) {
    // A timeout only means that no endpoint has announced itself yet.
    let _ = timeout(FIRST_RECORD_WAIT, node.record_changed.notified()).await;
    let mut written: Option<Written> = None;
    loop {
        if node.phase() != Phase::Serving {
            return;
        }
        if is_registered(&node) {
            node.record_changed.notified().await;
            continue;
        }
        let record = own_record(&node);
        if let Some(shown_by) = written.as_ref().and_then(|last| last.awaited(&node, &record)) {
            let changed = node.record_changed.notified();
            let _ = timeout_at(node.clock.instant(shown_by), changed).await;
            continue;
        }
        match write_record(&node, record.clone()).await {
            Ok(revision) => {
                info!("node record written at revision {revision}");
                let shown_by = node.now() + RECORD_SHOWN_WITHIN;
                written = Some(Written { record, revision, shown_by });
            }
            Err(err) => {
                warn!("writing the node record failed: {err}");
                sleep(retry_pause()).await;
            }
        }
    }
}

/// The last record that was written.
struct Written {
    record: model::NodeRecord,
    revision: Revision,
    /// When it is written again if the own replica has not come to its revision.
    shown_by: Time,
}

impl Written {
    /// Until when the replica is awaited to show this record, if it is the current one. A replica that is
    /// further and does not hold it shows that somebody has removed it.
    fn awaited(&self, node: &Node, current: &model::NodeRecord) -> Option<Time> {
        let is_behind = read(&node.config).objects.revision() < self.revision;
        let is_awaited = is_behind && self.record == *current && node.now() < self.shown_by;
        is_awaited.then_some(self.shown_by)
    }
}

pub(crate) fn is_registered(node: &Node) -> bool {
    let own = own_record(node);
    let config = read(&node.config);
    let record = config.objects.member(&node.info().node);
    record.is_some_and(|record| *record.value() == own)
}

fn own_record(node: &Node) -> model::NodeRecord {
    let announcements = lock(&node.announcements);
    let mut endpoints = announcements.table();
    for endpoint in &mut endpoints {
        // The load changes with each announcement and travels with the answers.
        endpoint.load = 0;
    }
    model::NodeRecord {
        domain: node.info().domain.clone(),
        peer_addr: node.settings.peer.advertise,
        operator_addr: node.settings.operator.listen,
        incarnation: node.info().incarnation,
        table_version: announcements.version(),
        endpoints,
    }
}

async fn write_record(node: &Arc<Node>, record: model::NodeRecord) -> Result<Revision, StoreError> {
    let store = Arc::clone(&node.interfaces.store);
    let key = node_key(&node.info().node);
    let object = Object::Node(record);
    let known = read(&node.config).objects.member(&node.info().node).map(|entry| entry.revision());
    blocking(move || {
        let deadline = std::time::Instant::now() + REGISTER_TIMEOUT;
        let put = |precondition| {
            let id = fresh_write_id();
            write_resolved(&*store, &key, precondition, Some(&object), &id, deadline)
        };
        let written = put(known.map_or(Precondition::Absent, Precondition::At));
        match written {
            // An earlier process of this node, or a write that the replica has not seen yet.
            Err(StoreError::Conflict { current: Some(revision) }) => {
                put(Precondition::At(revision))
            }
            Err(StoreError::Conflict { current: None }) => put(Precondition::Absent),
            written => written,
        }
    })
    .await
}

/// Removes the own node record, so that others stop using this node. Fails without harm when the
/// platform is away: the guard refuses what still arrives, and other nodes remove the record later.
pub(crate) async fn unregister(node: &Arc<Node>) {
    let key = node_key(&node.info().node);
    let entry = {
        let config = read(&node.config);
        let entry = config.objects.member(&node.info().node);
        entry.filter(|entry| entry.value().incarnation == node.info().incarnation).cloned()
    };
    let Some(entry) = entry else { return };
    if let Err(err) = remove(node, key, entry.revision()).await {
        warn!("removing the node record failed: {err}");
    }
}

async fn remove(node: &Arc<Node>, key: ObjectKey, at: Revision) -> Result<(), StoreError> {
    let store = Arc::clone(&node.interfaces.store);
    blocking(move || {
        let written = store.write(&key, Precondition::At(at), None, &fresh_write_id());
        match written {
            // Somebody else has removed or replaced it.
            Ok(_) | Err(StoreError::Conflict { current: None }) => Ok(()),
            Err(err) => Err(err),
        }
    })
    .await
}

/// Removes the records of members that can't be reached for long. One node does so for each record:
/// the one that would own it among the members that can be reached.
pub(crate) async fn remove_dead_members(node: Arc<Node>) {
    loop {
        sleep(DEAD_INTERVAL).await;
        if !node.platform_reachable.load(Ordering::Relaxed) {
            continue;
        }
        let now = node.now();
        let is_dead = |peer: &Arc<Peer>| {
            peer.unreachable_since().is_some_and(|since| now.since(since) >= DEAD_AFTER)
        };
        let (dead, alive): (Vec<_>, Vec<_>) = node.peers.all().into_iter().partition(is_dead);
        let own = &node.info().node;
        for name in displaced_here(&node) {
            warn!("node {name} had the address of this node; its record is removed");
            remove_record(&node, &name).await;
        }
        for peer in dead {
            let hash = stable_hash(&[b"dead", peer.name.as_str().as_bytes()]);
            let candidates = alive.iter().map(|peer| &peer.name).chain([own]);
            if owner_of(PartitionId(hash as u16), candidates) != Some(own) {
                continue;
            }
            warn!("node {} can't be reached for {DEAD_AFTER:?}; its record is removed", peer.name);
            remove_record(&node, &peer.name).await;
        }
    }
}

/// Nodes that had the own address before.
fn displaced_here(node: &Node) -> Vec<NodeName> {
    let config = read(&node.config);
    let addr = node.settings.peer.advertise;
    let had_it = |name: &NodeName| {
        config.objects.member(name).is_some_and(|entry| entry.value().peer_addr == addr)
    };
    let displaced = displaced_members(node, &config.objects);
    displaced.into_iter().filter(|name| had_it(name)).cloned().collect()
}

async fn remove_record(node: &Arc<Node>, name: &NodeName) {
    let entry = read(&node.config).objects.member(name).cloned();
    let Some(entry) = entry else { return };
    if let Err(err) = remove(node, node_key(name), entry.revision()).await {
        warn!("removing the record of node {name} failed: {err}");
    }
}

/// The key of a node's record.
pub(crate) fn node_key(name: &NodeName) -> ObjectKey {
    ObjectKey::new(Kind::Node, name.as_str())
}
