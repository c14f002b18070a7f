//! Handles the announcements of the upstreams of this instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use admission::ColdNotice;
use log::{info, warn};
use membership::AnnounceOutcome;
use model::{Announcement, DepartedEndpoint, EndpointName, EndpointState, NodeRecord, Report};
use tokio::time::timeout;
use upstream::{AnnounceError, AnnounceHandler, PendingAck};

use crate::shared::{Node, Phase, lock, read, write};

/// Applies announcements to the endpoint table and the guard.
pub(crate) struct LocalAnnounceHandler {
    pub(crate) node: Arc<Node>,
}

impl AnnounceHandler for LocalAnnounceHandler {
    fn announced(&self, announcement: Announcement) -> PendingAck<'_> {
        Box::pin(async move {
            let departing = match &announcement.report {
                Report::Gone(name) => Some(name.clone()),
                Report::State(endpoint) if endpoint.state == EndpointState::Leaving => {
                    Some(endpoint.name.clone())
                }
                Report::State(_) => None,
            };
            let node = &self.node;
            if departing.is_none() {
                wait_for_handover(node).await?;
            }
            apply(node, announcement)?;
            match departing {
                Some(name) => wait_until_stored(node, &name).await,
                None => Ok(()),
            }
        })
    }
}

/// Time for which the acknowledgement of an announcement waits for the platform. Endpoints take a response
/// after a second for a lost one.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// Waits until the departures that earlier processes of this node have acknowledged are known. Before, a
/// late message can't be told from one of an endpoint that is still there.
async fn wait_for_handover(node: &Node) -> Result<(), AnnounceError> {
    let complete = timeout(STORE_TIMEOUT, node.handover.wait_until_complete()).await;
    complete.map_err(|_| AnnounceError::Unavailable)
}

/// Waits until the platform holds the departure of an endpoint. The acknowledgement of a notice promises
/// that no process of this node uses the endpoint again, also if this one is killed right after it.
/// A notice without a start time and a number can't be compared with other messages, and is not stored.
async fn wait_until_stored(node: &Node, name: &EndpointName) -> Result<(), AnnounceError> {
    let Some(departure) = lock(&node.announcements).departure(name) else { return Ok(()) };
    let mut stored = node.stored_departures.subscribe();
    let holds =
        |stored: &Vec<DepartedEndpoint>| stored.iter().any(|known| known.covers(&departure));
    if holds(&stored.borrow()) {
        return Ok(());
    }
    // A write that has failed is tried again now.
    node.node_record_changed.notify_one();
    match timeout(STORE_TIMEOUT, stored.wait_for(holds)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(AnnounceError::Unavailable),
    }
}

/// Applies an announcement to the endpoint table and the guard.
fn apply(node: &Arc<Node>, mut announcement: Announcement) -> Result<(), AnnounceError> {
    if let Report::Gone(name) = &announcement.report
        && lock(&node.announcements).endpoint(name).is_none()
    {
        // The endpoint is unknown, so there is no start time to use if the notice has none. Its
        // sender started before now, so the current time is an upper bound.
        announcement.origin.started_ms.get_or_insert_with(unix_ms);
    }
    let origin = announcement.origin;
    let endpoint = match &announcement.report {
        Report::State(endpoint) if endpoint.slots.0 == 0 => {
            return Err(AnnounceError::Invalid("an endpoint needs at least one slot".into()));
        }
        Report::State(endpoint) => Some(endpoint.clone()),
        Report::Gone(_) => None,
    };
    let cold_left = announcement.cold_left;
    let (result, order) = {
        let mut announcements = lock(&node.announcements);
        (announcements.apply(announcement, node.now()), node.guard.next_announcement())
    };
    // The limit of a cold endpoint has to be known before its first call.
    if let (AnnounceOutcome::Changed { .. } | AnnounceOutcome::Unchanged, Some(endpoint)) =
        (&result, &endpoint)
    {
        let notice = ColdNotice { order, started_ms: origin.started_ms, cold_left };
        node.guard.announce_cold(node, endpoint, notice);
    }
    match (result, endpoint) {
        (AnnounceOutcome::Changed { replaced }, Some(endpoint)) => {
            for name in &replaced {
                info!("endpoint {name} was replaced at {}", endpoint.addr);
                node.guard.remove_endpoint(node, name);
            }
            info!(
                "endpoint {} is {:?} at {} (start {:?}, message {:?})",
                endpoint.name, endpoint.state, endpoint.addr, origin.started_ms, origin.sequence
            );
            node.guard.update_endpoint(node, &endpoint);
            publish_table(node);
        }
        (AnnounceOutcome::ShutDown(name), _) => {
            info!("endpoint {name} announced its removal (start {:?})", origin.started_ms);
            node.guard.remove_endpoint(node, &name);
            publish_table(node);
        }
        (AnnounceOutcome::Stale, _) => {
            info!("ignored a stale announcement (start {:?})", origin.started_ms);
        }
        (AnnounceOutcome::Unchanged | AnnounceOutcome::Changed { .. }, _) => {}
    }
    Ok(())
}

/// Takes over what the record of an earlier process of this node tells, if the replica holds one.
pub(crate) fn take_over_stored(node: &Arc<Node>) {
    let info = node.info();
    let record = read(&node.config).objects.node_record(&info.node).cloned();
    if let Some(record) = record.filter(|record| record.value().incarnation != info.incarnation) {
        take_over(node, record.value());
    }
}

/// Takes over what the record of an earlier process of this node tells: when the process started, and
/// which endpoints have departed.
pub(crate) fn take_over(node: &Arc<Node>, earlier: &NodeRecord) {
    node.guard.set_previous_start(node, earlier.started_ms);
    restore(node, &earlier.departed);
}

/// Restores departures, and removes the endpoints that late messages have added meanwhile.
pub(crate) fn restore(node: &Arc<Node>, departed: &[DepartedEndpoint]) {
    let late = lock(&node.announcements).restore_departed(departed);
    for endpoint in &late {
        warn!("endpoint {endpoint} was removed: it had left before this process started");
        node.guard.remove_endpoint(node, endpoint);
    }
    if !late.is_empty() {
        publish_table(node);
    }
}

/// Unix time in milliseconds. A clock that shows a time before 1970 was never set; it counts as 0,
/// which is before all starts.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Removes endpoints whose announcements have stopped.
pub(crate) fn remove_expired(node: &Arc<Node>) {
    // While the node stops, late announcements must not remove endpoints, or calls in their queues
    // would be refused instead of finished.
    if node.phase() != Phase::Serving {
        return;
    }
    let expired = lock(&node.announcements).expire(node.now());
    if expired.is_empty() {
        return;
    }
    for endpoint in &expired {
        warn!("endpoint {endpoint} was removed: its announcements have stopped");
        node.guard.remove_endpoint(node, endpoint);
    }
    publish_table(node);
}

/// Removes an endpoint whose upstream has refused a connection, until it announces itself again.
/// Calls in its queue are refused as not run.
pub(crate) fn remove_refusing(node: &Arc<Node>, endpoint: &EndpointName, addr: SocketAddr) {
    remove_at(node, endpoint, addr, "it refused a connection");
}

/// Removes an endpoint whose address another one has taken, until it announces itself again.
pub(crate) fn remove_replaced(node: &Arc<Node>, endpoint: &EndpointName, addr: SocketAddr) {
    remove_at(node, endpoint, addr, "another endpoint answered");
}

fn remove_at(node: &Arc<Node>, endpoint: &EndpointName, addr: SocketAddr, reason: &str) {
    // The peers of a stopping node already know that its endpoints accept no calls.
    if node.phase() != Phase::Serving {
        return;
    }
    // A restarted upstream may have announced another address since the call was sent.
    let is_current =
        lock(&node.announcements).endpoint(endpoint).is_some_and(|known| known.addr == addr);
    if !is_current {
        return;
    }
    // Remove the endpoint from the guard before the table. The next announcement then counts as a
    // change and restores the endpoint in the guard, also if it arrives between these two steps.
    node.guard.remove_endpoint(node, endpoint);
    if lock(&node.announcements).remove(endpoint) {
        warn!("endpoint {endpoint} was removed: {reason} at {addr}");
        publish_table(node);
    }
}

/// Publishes this node's endpoint table to its directory and, through the node record, to the
/// peers.
pub(crate) fn publish_table(node: &Arc<Node>) {
    let (version, table) = {
        let announcements = lock(&node.announcements);
        (announcements.version(), announcements.table())
    };
    let info = node.info();
    write(&node.directory).apply_table(&info.node, info.incarnation, version, table);
    node.node_record_changed.notify_one();
}
