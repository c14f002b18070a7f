//! Announcements of the upstreams of this instance.

use std::net::SocketAddr;
use std::sync::Arc;

use log::{info, warn};
use membership::Announced;
use model::{Endpoint, EndpointName};
use upstream::AnnounceHandler;

use crate::peers::push_table;
use crate::shared::{Node, Phase, lock, write};

/// Takes in announcements.
pub(crate) struct Announcer {
    pub(crate) node: Arc<Node>,
}

impl AnnounceHandler for Announcer {
    fn announced(&self, endpoint: Endpoint) -> Result<(), Box<str>> {
        let node = &self.node;
        if node.phase() != Phase::Serving {
            return Err("the node is stopping".into());
        }
        if endpoint.slots.0 == 0 {
            return Err("an endpoint needs at least one slot".into());
        }
        let announced = lock(&node.announcements).announce(endpoint.clone(), node.now());
        if announced == Announced::Changed {
            info!("endpoint {} is {:?} at {}", endpoint.name, endpoint.state, endpoint.addr);
            node.guard.announce(node, &endpoint);
            publish(node);
        }
        Ok(())
    }
}

/// Drops endpoints whose announcements have stopped.
pub(crate) fn expire(node: &Arc<Node>) {
    // A stopping node takes no announcements. Its endpoints must not count as gone for that reason,
    // or calls in their queues would be refused instead of finished.
    if node.phase() != Phase::Serving {
        return;
    }
    let gone = lock(&node.announcements).expire(node.now());
    if gone.is_empty() {
        return;
    }
    for endpoint in &gone {
        warn!("endpoint {endpoint} is gone: its announcements have stopped");
        node.guard.gone(node, endpoint);
    }
    publish(node);
}

/// Takes an endpoint out of use whose upstream has refused a connection, until it announces itself
/// again. Calls in its queue are refused as not run.
pub(crate) fn withdraw(node: &Arc<Node>, endpoint: &EndpointName, addr: SocketAddr) {
    // The peers of a stopping node know already that its endpoints take no calls.
    if node.phase() != Phase::Serving {
        return;
    }
    // A restarted upstream may have announced another address since the call was sent.
    let is_current =
        lock(&node.announcements).endpoint(endpoint).is_some_and(|known| known.addr == addr);
    if !is_current {
        return;
    }
    // The announcement goes last: the next one is then a change and brings the endpoint back to the
    // guard, also if it arrives between these two steps.
    node.guard.gone(node, endpoint);
    if lock(&node.announcements).withdraw(endpoint) == Announced::Changed {
        warn!("endpoint {endpoint} is gone: it refused a connection at {addr}");
        publish(node);
    }
}

/// Brings the own table into the own directory and to the peers.
pub(crate) fn publish(node: &Arc<Node>) {
    let announcements = lock(&node.announcements);
    let (version, table) = (announcements.version(), announcements.table());
    drop(announcements);
    let info = node.info();
    write(&node.directory).apply_table(&info.node, info.incarnation, version, table);
    crate::health::review(node);
    let node = Arc::clone(node);
    tokio::spawn(async move { push_table(&node).await });
}
