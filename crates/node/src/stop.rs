//! The graceful stop of the node.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use log::{info, warn};
use model::Time;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

use crate::shared::{Node, Phase, lock};
use crate::{announce, node_record};

/// Timeout of the last change of the node record, so that an unreachable platform does not delay the
/// stop.
const UNREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay between the last change of the node record and the refusal of calls from other nodes. Nodes
/// with a watch in progress know of the change by then. Calls from the others are refused as not
/// run and retried at another node.
const LEAVE_GRACE_PERIOD: Duration = Duration::from_millis(400);

/// Part of `node.stop_within` that is reserved for the exit of the process, whatever calls are still
/// in flight.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Time before the exit at which the requests in progress are answered without their upstream, so that
/// their callers learn how they ended.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_millis(200);

/// Interval between checks for calls in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Signals that end the process.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers. Until then a signal ends the process at once, so this happens before the
    /// process accepts connections.
    pub(crate) fn install() -> Result<StopSignals> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for SIGTERM, SIGINT or a stop request from an operator, and sets the time by which the
    /// process has to exit. A further SIGINT ends the process at once. A further SIGTERM cuts off no
    /// call: whoever stops many processes in series may signal one twice. The time allowed for the stop
    /// then counts from the last signal.
    pub(crate) async fn wait_for_request(mut self, node: &Arc<Node>) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
            () = node.stop_requested.notified() => {}
        }
        allow_stop_time(node);
        let node = Arc::clone(node);
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = self.terminate.recv() => {
                        info!("SIGTERM again: already stopping");
                        allow_stop_time(&node);
                    }
                    _ = self.interrupt.recv() => break,
                }
            }
            warn!("SIGINT while stopping: exiting without waiting for calls in flight");
            std::process::exit(1);
        });
    }
}

/// Sets the time by which the process has to exit if it is told to stop now.
pub(crate) fn allow_stop_time(node: &Node) {
    let at = node.now() + node.settings.node.stop_within.saturating_sub(EXIT_MARGIN);
    node.exit_at.send_replace(Some(at));
}

/// Latest time for the response to a request, once the node is stopping.
pub(crate) fn last_answers_by(node: &Node) -> Option<Time> {
    node.exit_at.borrow().map(|at| at - LAST_ANSWERS_MARGIN)
}

/// Waits until the requests that are still in progress have to be answered because the process exits.
pub(crate) async fn wait_for_last_answers(node: &Node) {
    wait_until_exit(node, LAST_ANSWERS_MARGIN).await;
}

/// Waits until a time before that of the exit, however often that is moved.
async fn wait_until_exit(node: &Node, margin: Duration) {
    let mut exit_at = node.exit_at.subscribe();
    loop {
        let at = *exit_at.borrow_and_update();
        let passed = async {
            match at {
                Some(at) => sleep_until(node.clock.to_instant(at - margin)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = passed => return,
            // The sender lives as long as the node.
            _ = exit_at.changed() => {}
        }
    }
}

/// Stops the node gracefully: leaves the fleet and finishes the calls in flight.
///
/// The order matters. Other nodes must learn that this node is leaving before its guard refuses
/// calls, so that few calls are refused and those are retried at other nodes. The caller listener
/// closes last.
pub(crate) async fn stop_gracefully(
    node: &Arc<Node>,
    close: watch::Sender<bool>,
    caller_server: JoinHandle<()>,
) {
    info!("stopping: leaving the fleet");
    node.phase.send_replace(Phase::Leaving);
    lock(&node.announcements).stop();
    announce::publish_table(node);
    close.send_replace(true);
    if timeout(UNREGISTER_TIMEOUT, node_record::wait_until_left(node)).await.is_err() {
        warn!(
            "stopping: the node record was not changed in time; other nodes do not know of the stop"
        );
    }
    sleep(LEAVE_GRACE_PERIOD).await;
    info!("stopping: finishing calls in flight");
    node.guard.stop();
    node.phase.send_replace(Phase::Draining);
    let drained = async {
        if let Err(err) = caller_server.await {
            warn!("stopping: the caller server failed: {err}");
        }
        while !node.guard.is_drained() {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = drained => info!("stopped"),
        () = wait_until_exit(node, Duration::ZERO) => {
            warn!("stopped with calls in flight: the time allowed by node.stop_within is used up");
        }
    }
}
