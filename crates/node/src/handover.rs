//! Learns which departures earlier processes of this node have acknowledged, before endpoints of the instance
//! are used and before the node record is written. [`membership::Handover`] decides when they are known.

use std::sync::{Arc, Mutex};

use config::{Chunk, Feed};
use log::{info, warn};
use membership::{Evidence, Handover, HandoverStep};
use model::{NodeName, NodeRecord, Object, Revision, StoredObject};
use rand::seq::SliceRandom;
use tokio::sync::{Notify, watch};
use tokio::time::timeout_at;
use wire::Frame;

use crate::shared::{Node, lock};
use crate::{announce, gossip};

/// What this process knows of the departures that earlier processes of its node have acknowledged.
#[derive(Default)]
pub(crate) struct HandoverView {
    core: Mutex<Handover>,
    complete: watch::Sender<bool>,
    /// Wakes the task that asks other nodes.
    answered: Notify,
}

impl HandoverView {
    /// Whether the departures are known.
    pub(crate) fn is_complete(&self) -> bool {
        *self.complete.borrow()
    }

    pub(crate) async fn wait_until_complete(&self) {
        // The sender lives as long as the node.
        let _ = self.complete.subscribe().wait_for(|complete| *complete).await;
    }
}

/// Takes over what a listing of the store tells of earlier processes, and begins to ask other nodes if the
/// store may have lost a later record. The replica does not replace the listing here: it may have the
/// record from a peer, which sends no start times.
pub(crate) fn take_over_listed(node: &Arc<Node>, era: u64, own: Option<StoredObject>) {
    if let Some(record) = own.as_ref().and_then(|stored| earlier_record(node, stored)) {
        announce::take_over(node, record);
    }
    let revision = own.map(|stored| stored.revision);
    if lock(&node.handover.core).store_listed(era, revision, node.now()) {
        tokio::spawn(ask_other_nodes(Arc::clone(node)));
        if era > 0 {
            tokio::spawn(gossip::pull_retained(Arc::clone(node)));
        }
    }
}

/// The record of an earlier process of this node, if the object is one.
fn earlier_record<'a>(node: &Node, stored: &'a StoredObject) -> Option<&'a NodeRecord> {
    match stored.object.as_ref()? {
        Object::Node(record)
            if *stored.key.name == *node.info().node.as_str()
                && record.incarnation != node.info().incarnation =>
        {
            Some(record)
        }
        _ => None,
    }
}

async fn ask_other_nodes(node: Arc<Node>) {
    let mut candidates: Vec<NodeName> = node.peers.members().keys().cloned().collect();
    candidates.shuffle(&mut rand::rng());
    loop {
        let answered = node.handover.answered.notified();
        let step = lock(&node.handover.core).next_step(&candidates, node.now());
        match step {
            HandoverStep::ListStore => return,
            HandoverStep::Ask(names) => {
                for name in names {
                    tokio::spawn(ask(Arc::clone(&node), name));
                }
            }
            HandoverStep::WaitUntil(until) => {
                let _ = timeout_at(node.clock.to_instant(until), answered).await;
            }
            HandoverStep::Complete(evidence) => return complete(&node, evidence),
        }
    }
}

fn complete(node: &Node, evidence: Evidence) {
    if node.handover.complete.send_replace(true) {
        return;
    }
    match evidence {
        Evidence::Store => info!("earlier departures of endpoints are known from the store"),
        Evidence::Peers => info!("earlier departures of endpoints are known from other nodes"),
        Evidence::NoRecord => info!("no record of an earlier process of this node is known"),
        Evidence::Incomplete => warn!(
            "the store was restored since the record of this node was written, and no node that ran \
             before has answered: endpoints that had left may be in use again"
        ),
    }
    node.node_record_changed.notify_one();
}

/// Asks another node for the latest record of this node that it has seen.
async fn ask(node: Arc<Node>, name: NodeName) {
    let Some(peer) = node.peers.find(name.as_str()) else { return record_answer(&node, None) };
    let reply = match peer.control.request(Frame::PullOwnRecord).await {
        Ok(reply) => Some(reply.frame),
        // The peer can't be reached, or it is of an earlier version and closes the link.
        Err(err) => {
            info!("node {name} does not tell which record of this node it has seen: {err}");
            None
        }
    };
    match reply {
        Some(Frame::Objects(Feed::Objects, Chunk { compact_revision, objects, .. })) => {
            for record in objects.iter().filter_map(|stored| earlier_record(&node, stored)) {
                announce::restore(&node, &record.departed);
            }
            record_answer(&node, Some(compact_revision));
        }
        _ => record_answer(&node, None),
    }
}

fn record_answer(node: &Node, history_start: Option<Revision>) {
    lock(&node.handover.core).answered(history_start);
    node.handover.answered.notify_one();
}
