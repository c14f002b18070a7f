//! Graceful stop.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use log::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::shared::{Node, Phase, lock};
use crate::{announce, node_record};

/// Time for the removal of the node record. A platform that does not answer must not hold up the
/// stop.
const UNREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between the removal of the node record and the refusal of calls from other nodes. Nodes whose
/// watch is waiting know of it by then; calls of the others are refused as not run and go elsewhere.
const LEAVE_GRACE: Duration = Duration::from_millis(400);

/// Time before the end of the allowed time at which the process ends whatever is left.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

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
/// The order matters. Other nodes learn first that this one is no longer a member, so that the calls
/// which the guard refuses from then on are few and are sent elsewhere. The callers' listener closes
/// last.
pub(crate) async fn leave(node: &Arc<Node>, close: watch::Sender<bool>, serving: JoinHandle<()>) {
    let deadline = Instant::now() + node.settings.node.stop_within.saturating_sub(EXIT_MARGIN);
    info!("stopping: leaving the fleet");
    node.phase.send_replace(Phase::Leaving);
    lock(&node.announcements).stop();
    announce::publish(node);
    close.send_replace(true);
    if timeout(UNREGISTER_TIMEOUT, node_record::unregister(node)).await.is_err() {
        warn!("stopping: the platform did not answer, so other nodes are not told");
    }
    sleep(LEAVE_GRACE).await;
    info!("stopping: finishing calls in flight");
    node.guard.stop();
    node.phase.send_replace(Phase::Draining);
    let drained = async {
        if let Err(err) = serving.await {
            warn!("stopping: the task that serves callers failed: {err}");
        }
        while !node.guard.is_drained() {
            sleep(LOOK_INTERVAL).await;
        }
    };
    match timeout_at(deadline, drained).await {
        Ok(()) => info!("stopped"),
        Err(_) => warn!("stopped, although calls in flight did not end in time"),
    }
}
