//! Announcements of the upstreams of this instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{info, warn};
use membership::Announced;
use model::{Announcement, EndpointName, Report};
use upstream::AnnounceHandler;

use crate::shared::{Node, Phase, lock, write};

/// Takes in announcements.
pub(crate) struct Announcer {
    pub(crate) node: Arc<Node>,
}

impl AnnounceHandler for Announcer {
    fn announced(&self, mut announcement: Announcement) -> Result<(), Box<str>> {
        let node = &self.node;
        if let Report::Gone(name) = &announcement.report
            && lock(&node.announcements).endpoint(name).is_none()
        {
            // Whatever start sent the notice began before now.
            announcement.origin.started_ms.get_or_insert_with(unix_ms);
        }
        let origin = announcement.origin;
        let endpoint = match &announcement.report {
            Report::State(endpoint) if endpoint.slots.0 == 0 => {
                return Err("an endpoint needs at least one slot".into());
            }
            Report::State(endpoint) => Some(endpoint.clone()),
            Report::Gone(_) => None,
        };
        let announced = lock(&node.announcements).announce(announcement, node.now());
        match (announced, endpoint) {
            (Announced::Changed { replaced }, Some(endpoint)) => {
                for name in &replaced {
                    info!("endpoint {name} was replaced at {}", endpoint.addr);
                    node.guard.remove_endpoint(node, name);
                }
                // A stopping node has told its peers that its endpoints leave.
                let state = lock(&node.announcements).endpoint(&endpoint.name).map(|e| e.state);
                info!(
                    "endpoint {} is {:?} at {} (start {:?}, message {:?})",
                    endpoint.name, state, endpoint.addr, origin.started_ms, origin.sequence
                );
                node.guard.update_endpoint(node, &endpoint);
                publish(node);
            }
            (Announced::Gone(name), _) => {
                info!("endpoint {name} leaves for good (start {:?})", origin.started_ms);
                node.guard.remove_endpoint(node, &name);
                publish(node);
            }
            (Announced::Stale, _) => {
                info!("late announcement passed over (start {:?})", origin.started_ms);
            }
            (Announced::Unchanged | Announced::Changed { .. }, _) => {}
        }
        Ok(())
    }
}

/// Unix time in milliseconds.
fn unix_ms() -> u64 {
    // A clock before 1970 is that of a machine that never had the time; no start counts as earlier.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Drops endpoints whose announcements have stopped.
pub(crate) fn expire(node: &Arc<Node>) {
    // Endpoints of a stopping node must not count as gone because announcements are late, or calls
    // in their queues would be refused instead of finished.
    if node.phase() != Phase::Serving {
        return;
    }
    let gone = lock(&node.announcements).expire(node.now());
    if gone.is_empty() {
        return;
    }
    for endpoint in &gone {
        warn!("endpoint {endpoint} is gone: its announcements have stopped");
        node.guard.remove_endpoint(node, endpoint);
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
    node.guard.remove_endpoint(node, endpoint);
    if lock(&node.announcements).withdraw(endpoint) {
        warn!("endpoint {endpoint} is gone: it refused a connection at {addr}");
        publish(node);
    }
}

/// Brings the own table into the own directory and, by the node record, to the peers.
pub(crate) fn publish(node: &Arc<Node>) {
    let (version, table) = {
        let announcements = lock(&node.announcements);
        (announcements.version(), announcements.table())
    };
    let info = node.info();
    write(&node.directory).apply_table(&info.node, info.incarnation, version, table);
    node.record_changed.notify_one();
}
