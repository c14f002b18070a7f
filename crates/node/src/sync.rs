//! Keeps the configuration and the stored objects up to date from the platform.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use admission::DrainState;
use config::{Applied, Feed, FreshnessStep, Replica};
use log::{info, warn};
use membership::{READER_PERIOD, is_reader};
use model::{EndpointName, Kind, Revision, Time};
use rand::RngExt;
use store::{Listing, StoreError};
use tokio::task::spawn_blocking;
use tokio::time::{Instant, sleep, sleep_until};
use wire::MAX_TRANSFER_BYTES;

use crate::peers::Reachability;
use crate::platform_link::Retries;
use crate::shared::{Node, read, write};
use crate::{announce, evacuations, gossip, guard, handover, node_record};

/// Long-poll timeout of a watch at the platform. Each watch is billed as a request. TCP keep-alive
/// detects a dead connection before the timeout ends.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Number of nodes in each failure domain that follow the stored objects at the platform for the others.
/// With three, one draw in 27 has no reader that reaches the platform while it turns a third of the
/// nodes away, and the other failure domains have readers as well.
const OBJECT_READERS: usize = 3;

/// The same for the imported configuration. A node that these readers don't reach asks the platform
/// itself, see [`config::Freshness`].
const CONFIG_READERS: usize = 3;

/// Long-poll timeout of the watch of the imported configuration. Each end of a watch confirms that there
/// is nothing newer, and a connection that has fallen silent is noticed after this time.
const CONFIG_WATCH_WAIT: Duration = Duration::from_millis(1500);

/// Longest delay between the time from which a node may ask the platform for a confirmation and its
/// call. Nodes that have the same confirmation don't all ask then, but take over that of the first.
const MAX_CONFIRM_DELAY: Duration = Duration::from_millis(400);

/// Shortest and longest delay between a change of the stored objects and the next watch of a reader,
/// if these are node records and endpoint marks only. Changes come in bursts, for example when many
/// nodes start, and each watch is billed.
const RECORDS_REWATCH_DELAY: [Duration; 2] =
    [Duration::from_millis(300), Duration::from_millis(900)];

/// Shortest and longest delay between two reads of the changes by a node that is not a reader. These
/// bound the time for which a node knows nothing of a change if no peer passes it on.
const FALLBACK_READ_DELAY: [Duration; 2] = [Duration::from_secs(12), Duration::from_secs(20)];

/// Interval of the checks of a node that is not a reader whether the store was restored, as peers or the
/// watch of the configuration tell.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest delay between the time at which a node learns that the store was restored and its listing of the
/// store. Each node writes its record after that: 2,700 nodes make 1,800 writes a second, of 3,200 that the
/// store allows.
const MAX_NEW_ERA_DELAY: Duration = Duration::from_millis(1500);

/// Shortest and longest delay between a change of the stored objects and the next watch, if these
/// include the configuration, which operators expect to be in force soon.
const CONFIG_REWATCH_DELAY: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];

/// Shortest and longest delay between a change of the imported configuration and the next watch. A
/// change has to be in force within 2 s, and a watch of a slow store takes 250 ms.
const IMPORT_REWATCH_DELAY: [Duration; 2] =
    [Duration::from_millis(100), Duration::from_millis(500)];

/// Follows the stored objects: lists them once, then watches for changes.
pub(crate) async fn sync_objects(node: Arc<Node>) {
    let mut listed = false;
    let mut retries = Retries::default();
    loop {
        if listed && is_in_new_era(&node) {
            // A store that is back after a restore is listed by all nodes.
            sleep(random_between(Duration::ZERO, MAX_NEW_ERA_DELAY)).await;
            listed = false;
        }
        if is_in_new_era(&node) {
            gossip::pull_from_some(&node).await;
        }
        let result = if listed { watch(&node).await } else { list(&node).await };
        match result {
            Ok(()) => {
                listed = true;
                retries.reset();
                node.platform.record_success();
                sleep(rewatch_delay(&node)).await;
                if node.interfaces.config_source.is_some() {
                    wait_for_objects_turn(&node).await;
                }
            }
            Err(StoreError::RevisionCompacted) => listed = false,
            Err(err) => {
                // The same changes would be unreadable again, for as long as the store keeps its history.
                listed &= !matches!(err, StoreError::Invalid(_));
                node.platform.record_failure(&err);
                match node.interfaces.config_source {
                    // The task that follows the configuration finds out when the platform is back.
                    Some(_) => node.platform.wait_for_recovery(&mut retries).await,
                    None => sleep(retries.next_probe_delay()).await,
                }
            }
        }
    }
}

/// Whether the store was restored since this node has listed it.
fn is_in_new_era(node: &Node) -> bool {
    let seen = node.interfaces.store.era_seen().map_or(0, |seen| seen.era);
    let objects = &read(&node.config).objects;
    objects.revision() > Revision::ZERO && !objects.is_listed_in(objects.revision().era().max(seen))
}

/// Waits until this node is one of the readers of the stored objects, or until its next fallback read is
/// due, or the store was restored. Returns at once while the platform is unreachable, to find out when it
/// is back.
async fn wait_for_objects_turn(node: &Node) {
    let [min, max] = FALLBACK_READ_DELAY;
    let fallback_at = Instant::now() + random_between(min, max);
    while node.platform.is_reachable()
        && !is_reader_now(node, OBJECT_READERS)
        && !is_in_new_era(node)
        && Instant::now() < fallback_at
    {
        let check_at = Instant::now() + time_to_next_period().min(ERA_CHECK_INTERVAL);
        sleep_until(fallback_at.min(check_at)).await;
    }
}

/// Whether this node follows the imported configuration at the platform.
pub(crate) fn is_config_reader(node: &Node) -> bool {
    is_reader_now(node, CONFIG_READERS)
}

pub(crate) fn is_reader_now(node: &Node, readers: usize) -> bool {
    let now = node.now();
    let peers = node.peers.all();
    let others = peers.iter().filter(|peer| {
        peer.domain == node.info().domain && peer.reachability(now) == Reachability::Reachable
    });
    let period = unix_time().as_millis() / READER_PERIOD.as_millis();
    is_reader(&node.info().node, others.map(|peer| &peer.name), readers, period as u64)
}

/// Time until the next period of the readers begins.
pub(crate) fn time_to_next_period() -> Duration {
    let elapsed = unix_time().as_millis() % READER_PERIOD.as_millis();
    READER_PERIOD - Duration::from_millis(elapsed as u64)
}

/// Time of day, which the nodes have in common, so that they draw readers for the same period.
fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

async fn list(node: &Arc<Node>) -> Result<(), StoreError> {
    let store = Arc::clone(&node.interfaces.store);
    let listing = run_blocking(move || store.list()).await?;
    let key = node_record::node_key(&node.info().node);
    let own = listing.objects.iter().find(|stored| stored.key == key).cloned();
    let revision = listing.revision;
    let applied = write(&node.config).objects.apply_listing(revision, listing.objects);
    update_dependents(node, Feed::Objects, applied, "list");
    handover::take_over_listed(node, revision.era(), own);
    Ok(())
}

async fn watch(node: &Arc<Node>) -> Result<(), StoreError> {
    let store = Arc::clone(&node.interfaces.store);
    let since = read(&node.config).objects.revision();
    let wait = match node.interfaces.config_source {
        // The watch of a reader ends with its period, and that of another node is a fallback read.
        Some(_) if !is_reader_now(node, OBJECT_READERS) => Duration::ZERO,
        Some(_) => watch_wait(node).min(time_to_next_period()),
        None => watch_wait(node),
    };
    let changes = run_blocking(move || store.watch(since, wait)).await?;
    let applied = write(&node.config).objects.apply_delta(since, changes.revision, changes.objects);
    match applied {
        // A peer delivered a newer revision meanwhile; the next watch starts there.
        Applied::Gap if read(&node.config).objects.revision() > since => Ok(()),
        Applied::Gap | Applied::Malformed => Err(StoreError::RevisionCompacted),
        applied => {
            update_dependents(node, Feed::Objects, applied, "watch");
            Ok(())
        }
    }
}

/// Wait time of the next watch. After a failure the first watch returns at once, to find out
/// whether the platform is reachable.
fn watch_wait(node: &Node) -> Duration {
    match node.platform.is_reachable() {
        true => WATCH_WAIT,
        false => Duration::ZERO,
    }
}

/// Follows the imported configuration, if the platform holds one.
pub(crate) async fn sync_config(node: Arc<Node>) {
    let Some(source) = node.interfaces.config_source.clone() else { return };
    let mut retries = Retries::default();
    loop {
        let since = read(&node.config).imported.revision();
        let wait = match is_config_reader(&node) {
            true => watch_wait(&node).min(CONFIG_WATCH_WAIT),
            false => Duration::ZERO,
        };
        let source = Arc::clone(&source);
        let asked_at = node.platform.now();
        match run_blocking(move || source.wait_for_newer(since, wait)).await {
            Ok(newer) => {
                retries.reset();
                node.platform.record_success();
                let newest = newer.as_ref().map_or(since, |listing| listing.revision);
                confirm_config(&node, newest, asked_at, wait);
                if let Some(listing) = newer {
                    apply_config(&node, listing);
                    let [min, max] = IMPORT_REWATCH_DELAY;
                    sleep(random_between(min, max)).await;
                }
                wait_to_ask_for_config(&node).await;
            }
            // The next call fetches a full listing.
            Err(StoreError::RevisionCompacted) => {}
            Err(StoreError::Invalid(reason)) => {
                warn!(
                    "the imported configuration is invalid; keeping the last valid one: {reason}"
                );
                sleep(retries.next_probe_delay()).await;
            }
            Err(err) => {
                node.platform.record_failure(&err);
                sleep(retries.next_probe_delay()).await;
            }
        }
    }
}

/// Records that the platform had nothing newer than `newest`, as its answer to a watch shows. A watch
/// that ended with its wait time looked at the store at the end of it.
fn confirm_config(node: &Node, newest: Revision, asked_at: Time, wait: Duration) {
    let (now, end) = (node.platform.now(), asked_at + wait);
    let confirmed_at = if now >= end { end } else { asked_at };
    let heard = node.platform.confirm_config(newest, confirmed_at);
    gossip::pass_on(node, heard);
}

fn apply_config(node: &Arc<Node>, listing: Listing) {
    let applied = write(&node.config).imported.apply_listing(listing.revision, listing.objects);
    update_dependents(node, Feed::Imported, applied, "platform");
}

/// Waits until this node asks the platform for the configuration: at once if it is a reader, otherwise
/// when nobody has confirmed its configuration for too long. Returns at once while the platform is
/// unreachable, to find out when it is back.
async fn wait_to_ask_for_config(node: &Node) {
    while node.platform.is_reachable() && !is_config_reader(node) {
        let own = read(&node.config).imported.revision();
        let until = match node.platform.config_step(own) {
            FreshnessStep::AskPlatform => return,
            FreshnessStep::TrustUntil(until) => Instant::now() + until.since(node.platform.now()),
        };
        let until = until + random_between(Duration::ZERO, MAX_CONFIRM_DELAY);
        tokio::select! {
            () = sleep_until(until.min(Instant::now() + time_to_next_period())) => {}
            () = node.platform.wait_for_newer_config() => {}
        }
    }
}

/// A random delay between a change and the next watch.
fn rewatch_delay(node: &Node) -> Duration {
    let [min, max] = match node.interfaces.config_source {
        Some(_) => RECORDS_REWATCH_DELAY,
        None => CONFIG_REWATCH_DELAY,
    };
    random_between(min, max)
}

pub(crate) fn random_between(min: Duration, max: Duration) -> Duration {
    let range = min.as_millis() as u64..=max.as_millis() as u64;
    Duration::from_millis(rand::rng().random_range(range))
}

/// Runs a blocking call to the platform on a blocking thread of the runtime.
pub(crate) async fn run_blocking<T: Send + 'static>(
    call: impl FnOnce() -> Result<T, StoreError> + Send + 'static,
) -> Result<T, StoreError> {
    let joined = spawn_blocking(call).await;
    joined.unwrap_or_else(|err| Err(StoreError::Unavailable(err.to_string().into())))
}

/// Updates everything that depends on a replica after a change of it. `source` names the origin
/// of the change in the log.
pub(crate) fn update_dependents(node: &Arc<Node>, feed: Feed, applied: Applied, source: &str) {
    match applied {
        Applied::Applied => {}
        Applied::AlreadyKnown => return,
        Applied::Gap | Applied::Malformed => {
            return warn!("change of the {feed:?} feed from {source} was not applied: {applied:?}");
        }
    }
    refresh_dependents(node, feed, source);
    if feed == Feed::Imported {
        node.guard.update_service_policies(node);
    }
    if node.is_loaded() {
        node.platform.record_loaded();
    }
}

fn refresh_dependents(node: &Arc<Node>, feed: Feed, source: &str) {
    let config = read(&node.config);
    let revisions = config.revisions();
    let revision = config.replica(feed).revision();
    match revision.version() {
        Some(version) => info!("{feed:?} feed updated to version {version} from {source}"),
        None => info!("{feed:?} feed updated to revision {revision} from {source}"),
    }
    node.metrics.objects_revision.set(revisions.objects.0 as i64);
    let imported = revisions.imported;
    node.metrics.imported_revision.set(imported.version().unwrap_or(imported.0) as i64);
    node.revisions_changed.notify_one();
    if feed == Feed::Imported {
        return;
    }
    let has_earlier_record = config
        .objects
        .node_record(&node.info().node)
        .is_some_and(|record| record.value().incarnation != node.info().incarnation);
    node.peers.set_members(node, &config.objects);
    let marks = apply_marks(node, &config.objects);
    let evacuated = config.objects.evacuated_domains().cloned().collect();
    drop(config);
    evacuations::set_objects(node, evacuated);
    // The guard locks the configuration itself, so the lock must be released by now.
    if let Some((drains, marked)) = marks {
        node.guard.set_marks(node, &drains, marked);
    }
    if has_earlier_record {
        announce::take_over_stored(node);
    }
    if !node_record::is_registered(node) {
        node.node_record_changed.notify_one();
    }
}

/// Drain states for the guard, and the names of all marked endpoints.
type GuardMarks = (Vec<(EndpointName, DrainState)>, Vec<EndpointName>);

/// Applies changed endpoint marks to the directory, and returns those for the guard. Returns `None`
/// if the marks have not changed.
fn apply_marks(node: &Arc<Node>, config: &Replica) -> Option<GuardMarks> {
    let previous = node.guard.begin_mark_update(config.kind_revision(Kind::EndpointMark))?;
    let marked: Vec<EndpointName> = config.marks().map(|(name, _)| name.clone()).collect();
    let removed: Vec<EndpointName> =
        previous.into_iter().filter(|name| config.mark(name).is_none()).collect();
    let marks = config.marks().map(|(name, mark)| (name.clone(), Some(mark.value().clone())));
    let unmarked = removed.iter().map(|name| (name.clone(), None));
    write(&node.directory).set_marks(marks.chain(unmarked));
    Some((guard::drain_states(config, &removed), marked))
}

/// The changes of a feed since a revision, split into chunks that fit into a frame. Returns a full
/// copy if the changes are no longer known, and `None` if there are none for a node at that revision.
pub(crate) fn transfer_since(node: &Node, feed: Feed, from: Revision) -> Option<config::Chunks> {
    let config = read(&node.config);
    let replica = config.replica(feed);
    // A node that orders the imported configuration by the revision of the store can't use a version.
    if from.version().is_none() && replica.revision().version().is_some() {
        return None;
    }
    match replica.delta_since(from, MAX_TRANSFER_BYTES) {
        config::Delta::UpToDate => None,
        config::Delta::Changes(chunks) => Some(chunks),
        config::Delta::FullCopyNeeded => Some(replica.full_copy(MAX_TRANSFER_BYTES)),
    }
}
