//! Writes again what the store lost when it was restored from a backup.
//!
//! [`config::Rewrites`] decides which node writes what and when. A record of a member is not among it:
//! each node writes its own one, see [`crate::node_record`].

use std::sync::Arc;
use std::time::Duration;

use config::{Retained, RewriteStep, Rewrites};
use log::{info, warn};
use model::{NodeName, ObjectKey};
use rand::RngExt;
use store::{Precondition, StoreError, write_and_resolve};
use tokio::time::sleep;

use crate::peers::Reachability;
use crate::shared::{Node, read, write};
use crate::sync::run_blocking;

/// Interval between checks for lost writes.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one write. It is tried again later.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes again what the store lacks, as far as it is this node's turn.
pub(crate) async fn rewrite_lost_objects(node: Arc<Node>) {
    let mut rewrites = Rewrites::default();
    loop {
        match next_step(&node, &mut rewrites) {
            RewriteStep::Idle | RewriteStep::WaitUntil(_) => sleep(CHECK_INTERVAL).await,
            RewriteStep::Write(key) => {
                write_again(&node, &key).await;
                rewrites.record_attempt(&key, node.now());
            }
        }
    }
}

fn next_step(node: &Node, rewrites: &mut Rewrites) -> RewriteStep {
    let retained: Vec<Retained> = read(&node.config).objects.retained().collect();
    if retained.is_empty() || !node.platform.is_reachable() {
        rewrites.restart();
        return RewriteStep::Idle;
    }
    let now = node.now();
    let peers = node.peers.all();
    let reachable = peers.iter().filter(|p| p.reachability(now) == Reachability::Reachable);
    let members: Vec<NodeName> = reachable.map(|peer| peer.name.clone()).collect();
    let random = |max: Duration| rand::rng().random_range(Duration::ZERO..=max);
    rewrites.next_step(&retained, &node.info().node, &members, now, random)
}

/// Writes or deletes an object again, if the store still has what its listing showed.
async fn write_again(node: &Arc<Node>, key: &ObjectKey) {
    let lost = read(&node.config).objects.retained().find(|lost| lost.write.key == *key);
    let Some(Retained { write: lost, in_store }) = lost else { return };
    let precondition = in_store.map_or(Precondition::Absent, Precondition::At);
    let (store, revision) = (Arc::clone(&node.interfaces.store), lost.revision);
    let written = run_blocking(move || {
        let deadline = std::time::Instant::now() + WRITE_TIMEOUT;
        let object = lost.object.as_ref();
        write_and_resolve(&*store, &lost.key, precondition, object, &lost.write_id, deadline)
    });
    match written.await {
        Ok(written) => {
            info!("{key} of revision {revision}, which the store lost, written at {written}");
            node.metrics.objects_rewritten.inc();
        }
        // Another node or an operator has written or deleted it. The feed tells if that is later.
        Err(StoreError::Conflict { current }) => {
            write(&node.config).objects.set_in_store(key, current);
        }
        Err(err) => warn!("writing {key} again, which the store lost, failed: {err}"),
    }
}
