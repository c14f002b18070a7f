//! Graceful stop.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use log::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::shared::{Node, Phase, lock};
use crate::{announce, owners, peers, sync};

/// Time for the peers to confirm that they know of the leave. A peer that is silent for longer has
/// stopped using this node because of its missing Pongs.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for partitions to be handed over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest deadline of a route, plus a margin; no call lasts longer.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(610);

/// Pause between two looks at the calls in flight.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for SIGTERM, SIGINT or the request of an operator. A further signal ends the process at
/// once.
pub(crate) async fn wait_for_request(node: &Node) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.stop_requested.notified() => {}
    }
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        warn!("second signal: the process ends without waiting for calls in flight");
        std::process::exit(1);
    });
    Ok(())
}

/// Leaves the fleet without cutting off a call.
///
/// The order matters. Other nodes learn first that the endpoints leave, so that the calls which the
/// guard refuses from then on are few and are sent elsewhere. Ownership moves while the lease is
/// still valid. The guard refuses work only after that, and the callers' listener closes last, when
/// every other node has already taken over.
pub(crate) async fn leave(node: &Arc<Node>, close: watch::Sender<bool>, serving: JoinHandle<()>) {
    info!("stopping: telling peers that the endpoints leave");
    node.phase.send_replace(Phase::Leaving);
    lock(&node.announcements).stop();
    announce::publish(node);
    if timeout(LEAVE_TIMEOUT, peers::push_table(node)).await.is_err() {
        warn!("stopping: some peers did not confirm the leave");
    }
    if timeout(HANDOVER_TIMEOUT, owners::hand_over_all(node)).await.is_err() {
        warn!("stopping: some partitions were not handed over");
    }
    node.guard.stop();
    info!("stopping: finishing calls in flight");
    node.phase.send_replace(Phase::Draining);
    close.send_replace(true);
    let drained = async {
        let _ = serving.await;
        while !node.guard.is_empty() {
            sleep(LOOK_INTERVAL).await;
        }
    };
    if timeout(DRAIN_TIMEOUT, drained).await.is_err() {
        warn!("stopping: calls in flight did not end in time");
    }
    sync::unregister(node).await;
    info!("stopped");
}
