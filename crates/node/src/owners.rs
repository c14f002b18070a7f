//! Ownership of partitions: claims, handovers and what depends on them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::{info, warn};
use membership::{
    Candidate, Confirmation, Handover, HandoverReceived, LiveNodes, OwnerView, PlatformState, Step,
};
use model::{
    Epoch, Kind, NodeName, Object, ObjectKey, PartitionId, PartitionRecord, Revision, Time,
};
use platform::{Precondition, fresh_write_id, write_resolved};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use wire::{Frame, HandoverReply, PartitionHandover};

use crate::health::HandedArbiters;
use crate::shared::{Node, Phase, lock, read};
use crate::sync::blocking;
use crate::view::node_key;

/// Pause between two looks at all partitions.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Writes to the platform at the same time; a first start claims every partition at once.
const MAX_WRITES: usize = 8;

/// Time within which a claim must be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bits of a grant epoch that count the handovers within one epoch of the record.
const HOP_BITS: u32 = 16;

/// Most times that a request is sent on to the node that an answer names. Two handovers in a row by
/// nodes that stay alive are rare, and the trips must fit into the 30 ms after which an entry takes
/// an owner for silent.
pub(crate) const MAX_REDIRECTS: u32 = 3;

/// Silence of a member after which its record is removed. Long enough for a restart in place.
const REMOVE_AFTER: Duration = Duration::from_secs(120);

/// Orders the holders of a partition. A handover moves it within an epoch of the record, and each
/// adds one to what this returns for the record.
fn grant_epoch(epoch: Epoch) -> Epoch {
    Epoch(epoch.0 << HOP_BITS)
}

/// The node to ask about a partition: its owner as far as this node knows it, or, if that has left or
/// is silent, the node that it hands over to. A handover is known only to its two ends, and to those
/// that have asked the giver, until the platform has recorded it, which takes hours when the platform
/// is away.
pub(crate) fn node_to_ask(node: &Node, id: PartitionId) -> Option<NodeName> {
    let can_own = |name: &NodeName, process| node.peers.can_own(node, name, process);
    let owner = lock(&node.ownership).owner(id, can_own).cloned();
    owner.or_else(|| {
        node.peers.live(node).preferred(id, None).map(|candidate| candidate.name.clone())
    })
}

/// The node to ask after `asked` has answered that it does not own a partition, and has named the
/// newest handover that it knows of. `None` if there is no better one.
pub(crate) fn next_to_ask(
    node: &Node,
    id: PartitionId,
    asked: &NodeName,
    moved: Option<&Handover>,
) -> Option<NodeName> {
    if let Some(moved) = moved {
        lock(&node.ownership).learn(moved);
    }
    node_to_ask(node, id).filter(|next| next != asked)
}

/// Claims, keeps and gives up partitions.
pub(crate) async fn run(node: Arc<Node>) {
    let writes = Arc::new(Semaphore::new(MAX_WRITES));
    loop {
        sleep(LOOK_INTERVAL).await;
        if node.phase() != Phase::Serving {
            continue;
        }
        let live = node.peers.live(&node);
        let ids: Vec<PartitionId> = (0..limits::PARTITIONS).map(PartitionId).collect();
        for id in ids {
            look(&node, id, &live, &writes);
        }
    }
}

fn look(node: &Arc<Node>, id: PartitionId, live: &LiveNodes, writes: &Arc<Semaphore>) {
    let platform = match node.platform_reachable.load(Ordering::Relaxed) {
        true => PlatformState::Reachable,
        false => PlatformState::Unreachable,
    };
    let now = node.now();
    let mut ownership = lock(&node.ownership);
    let step = {
        let lease = lock(&node.lease);
        ownership.next(id, &OwnerView { lease: &lease, live, platform }, now)
    };
    match step {
        Step::Nothing | Step::WaitUntil(_) => {}
        Step::Write { record, expected } => {
            let node = Arc::clone(node);
            tokio::spawn(claim(node, id, record, expected, Arc::clone(writes)));
        }
        Step::StartEmpty(epoch) => {
            drop(ownership);
            start_empty(node, id, epoch, now);
        }
        Step::Stop => {
            drop(ownership);
            info!("partition {id} is lost to another owner");
            lock(&node.limiter.owner).lose(id);
            node.health.lose(id);
        }
        Step::HandOver(to) => {
            drop(ownership);
            let node = Arc::clone(node);
            tokio::spawn(async move { hand_over(&node, id, &to).await });
        }
    }
}

fn start_empty(node: &Node, id: PartitionId, epoch: Epoch, now: Time) {
    let epoch = grant_epoch(epoch);
    match lock(&node.limiter.owner).gain(now, id, epoch) {
        Ok(()) => info!("partition {id} is owned with empty buckets, epoch {epoch}"),
        Err(err) => warn!("partition {id} was not started: {err}"),
    }
    node.health.gain(id, epoch);
}

async fn claim(
    node: Arc<Node>,
    id: PartitionId,
    record: PartitionRecord,
    expected: Option<Revision>,
    writes: Arc<Semaphore>,
) {
    let Ok(_permit) = writes.acquire().await else { return };
    let store = Arc::clone(&node.store);
    let epoch = record.epoch;
    let written = blocking(move || {
        let key = ObjectKey::new(Kind::Partition, &id.to_string());
        let precondition = expected.map_or(Precondition::Absent, Precondition::At);
        let deadline = std::time::Instant::now() + WRITE_TIMEOUT;
        let object = Object::Partition(record);
        write_resolved(&*store, &key, precondition, Some(&object), &fresh_write_id(), deadline)
    });
    // The record shows in the replica, whether or not the answer arrives.
    match written.await {
        Ok(_) => info!("partition {id} is claimed with epoch {epoch}"),
        Err(err) => info!("partition {id} is not claimed: {err}"),
    }
}

/// Gives a partition to another node, or repeats the message that does. From the first line on this
/// process does not grant. The message is kept until it is acknowledged, with the buckets and arbiters in it.
async fn hand_over(node: &Arc<Node>, id: PartitionId, to: &Candidate) {
    let Some(message) = handover_message(node, id, to) else { return };
    let Some(peer) = node.peers.find(to.name.as_str()) else { return };
    match peer.client.request(Frame::Handover(Box::new(message.clone()))).await {
        Ok(Frame::HandoverReply(HandoverReply::Taken)) => {
            lock(&node.ownership).acknowledged(&message.right);
            lock(&node.limiter.given).remove(&id);
            info!("partition {id} was handed over to {}", to.name);
        }
        Ok(_) => warn!("{} refused partition {id}", to.name),
        Err(err) => warn!("handing over partition {id} to {}: {err}", to.name),
    }
}

fn handover_message(node: &Node, id: PartitionId, to: &Candidate) -> Option<PartitionHandover> {
    let right = lock(&node.ownership).hand_over(id, to, node.now())?;
    let mut given = lock(&node.limiter.given);
    if let Some(message) = given.get(&id).filter(|message| message.right == right) {
        return Some(message.clone());
    }
    let buckets = lock(&node.limiter.owner).hand_over(node.now(), id).ok()?;
    let HandedArbiters { wait, arbiters } = node.health.hand_over(id, node.now());
    let message = PartitionHandover { right, buckets, ejection_wait: wait, arbiters };
    given.insert(id, message.clone());
    Some(message)
}

/// Takes a handover.
pub(crate) fn receive(node: &Node, handover: &PartitionHandover) -> HandoverReply {
    let id = handover.right.partition;
    let mut ownership = lock(&node.ownership);
    match ownership.receive(&handover.right) {
        HandoverReceived::Refused => HandoverReply::Refused,
        HandoverReceived::Duplicate => HandoverReply::Taken,
        HandoverReceived::Accepted => {
            let accepted = lock(&node.limiter.owner).accept(node.now(), handover.buckets.clone());
            drop(ownership);
            match accepted {
                Ok(epoch) => {
                    let PartitionHandover { ejection_wait, arbiters, .. } = handover;
                    node.health.take_over(node, id, epoch, *ejection_wait, arbiters);
                    info!("partition {id} was taken over, epoch {epoch}");
                }
                Err(err) => warn!("the buckets of partition {id} were not taken: {err}"),
            }
            HandoverReply::Taken
        }
    }
}

/// Hands all partitions over at a graceful stop.
pub(crate) async fn hand_over_all(node: &Arc<Node>) {
    let live = node.peers.live(node);
    let held: Vec<PartitionId> = lock(&node.limiter.owner).partitions().collect();
    let moves = held.into_iter().filter_map(|id| {
        let to = lock(&node.ownership).successor(id, &live).cloned()?;
        Some(async move {
            // Once more if the first message or its reply was lost.
            hand_over(node, id, &to).await;
            if lock(&node.limiter.given).contains_key(&id) {
                hand_over(node, id, &to).await;
            }
        })
    });
    futures_util::future::join_all(moves).await;
}

/// Removes records of members that have been silent for long, one at a time, so that the majorities
/// of consecutive member lists always share a node.
pub(crate) async fn remove_dead_members(node: Arc<Node>) {
    let mut silent_since = std::collections::HashMap::new();
    let mut last_removal: Option<Confirmation> = None;
    loop {
        sleep(REMOVE_AFTER / 8).await;
        let now = node.now();
        let mut oldest: Option<(NodeName, Time)> = None;
        {
            let config = read(&node.config);
            let lease = lock(&node.lease);
            silent_since.retain(|name, _| config.member(name).is_some());
            for (name, _) in config.members() {
                if lease.is_alive(name, now) {
                    silent_since.remove(name);
                    continue;
                }
                let since = *silent_since.entry(name.clone()).or_insert(now);
                if oldest.as_ref().is_none_or(|(_, at)| since < *at) {
                    oldest = Some((name.clone(), since));
                }
            }
        }
        let Some((name, since)) = oldest else { continue };
        if now.since(since) >= REMOVE_AFTER && may_remove(&node, &mut last_removal) {
            last_removal = remove_member(&node, &name).await.map(Confirmation::new);
        }
    }
}

/// One node does the work, the owner of the first partition, and waits until a majority has confirmed
/// its last removal.
fn may_remove(node: &Node, last_removal: &mut Option<Confirmation>) -> bool {
    let ownership = lock(&node.ownership);
    let lease = lock(&node.lease);
    let now = node.now();
    let is_confirmed = last_removal.as_mut().is_none_or(|last| last.is_complete(&lease, now));
    is_confirmed && ownership.may_grant(PartitionId(0), &lease, now)
}

async fn remove_member(node: &Arc<Node>, name: &NodeName) -> Option<Revision> {
    let key = node_key(name);
    let revision = read(&node.config).member(name).map(|record| record.revision())?;
    let store = Arc::clone(&node.store);
    let removed =
        blocking(move || store.write(&key, Precondition::At(revision), None, &fresh_write_id()));
    match removed.await {
        Ok(revision) => {
            info!("the record of {name} was removed after {REMOVE_AFTER:?} of silence");
            Some(revision)
        }
        Err(err) => {
            info!("the record of {name} was not removed: {err}");
            None
        }
    }
}
