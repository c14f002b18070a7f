//! Follows the evacuations of failure domains: asks the platform for them, passes changes on to peers,
//! and applies them to the guard.
//!
//! Two nodes of each failure domain watch the platform. Each end of a watch confirms what is known, and
//! confirmations spread to the other nodes in the same way as changes. A node that has heard of none for
//! too long asks the platform itself. Without the setting `platform.evacuate_within`, only the
//! evacuations among the product's own objects are followed, and no call or frame is sent for them.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use evacuation::{Change, Evacuations, Pace, Snapshot, Step};
use log::{info, warn};
use model::{FailureDomain, NodeName, Revision, Time};
use peer::ControlReply;
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};
use wire::Frame;

use crate::peers::Peer;
use crate::platform_link::Retries;
use crate::shared::{Node, lock};
use crate::sync::{is_reader_now, random_between, run_blocking, time_to_next_period};

/// Number of nodes in each failure domain that watch the platform for the others. A node that they don't
/// reach asks the platform itself.
const READERS: usize = 2;

/// Bound that the intervals are derived from if the settings have none.
const DEFAULT_BOUND: Duration = Duration::from_secs(5);

/// Longest delay between the time from which a node may ask the platform and its call. Nodes that have
/// the same confirmation don't all ask then, but take over that of the first.
const MAX_ASK_DELAY: Duration = Duration::from_millis(400);

/// Number of peers to which a node passes on what is new to it. With three, a change reaches 60 nodes of
/// a failure domain in about four steps.
const ANNOUNCE_FANOUT: usize = 3;

/// Minimum interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between comparisons with a random peer.
const COMPARE_INTERVAL: Duration = Duration::from_millis(800);

/// The same while what this node knows has not been confirmed for too long, so that only peers in other
/// failure domains may know more.
const OUTAGE_COMPARE_INTERVAL: Duration = Duration::from_millis(400);

/// The same before this node has any snapshot, as after its start.
const START_COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// One in this many comparisons goes to a peer in any failure domain. Traffic between domains is billed.
const CROSS_DOMAIN_DIVISOR: u32 = 6;

/// The same while what this node knows has not been confirmed for too long.
const OUTAGE_CROSS_DOMAIN_DIVISOR: u32 = 2;

/// Number of peers whose retained evacuations a node takes over after its start, and of questions at most.
/// A peer whose snapshot differs is asked again later.
const RETAINING_PEERS: usize = 3;
const MAX_RETAINED_QUESTIONS: usize = 12;

/// Time between two such questions, if an answer could not be used.
const RETAINED_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum interval between two questions to peers that have refused calls because of an evacuation of
/// which this node does not know.
const ASK_PEER_INTERVAL: Duration = Duration::from_millis(100);

/// What this node knows of evacuations.
pub(crate) struct EvacuationView {
    core: Mutex<Evacuations>,
    /// Whether the evacuations of the platform are followed.
    is_enabled: bool,
    /// Wakes the task that passes changes and confirmations on.
    spread: Notify,
    /// Whether there is a snapshot, the platform could not be asked, or it is not followed.
    is_settled: AtomicBool,
    asked_peer_at: Mutex<Time>,
}

impl EvacuationView {
    /// Creates a view that follows the evacuations of the platform if there is a bound for them.
    pub(crate) fn new(bound: Option<Duration>) -> EvacuationView {
        let pace = Pace::for_bound(bound.unwrap_or(DEFAULT_BOUND));
        EvacuationView {
            core: Mutex::new(Evacuations::new(pace)),
            is_enabled: bound.is_some(),
            spread: Notify::new(),
            is_settled: AtomicBool::new(bound.is_none()),
            asked_peer_at: Mutex::default(),
        }
    }

    /// All evacuated failure domains.
    pub(crate) fn domains(&self) -> Arc<BTreeSet<FailureDomain>> {
        Arc::clone(lock(&self.core).domains())
    }

    pub(crate) fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        lock(&self.core).is_evacuated(domain)
    }

    /// Time since the snapshot of the platform was known to be the newest one.
    pub(crate) fn age(&self, now: Time) -> Option<Duration> {
        lock(&self.core).age(now)
    }

    /// Whether the evacuations are known, or could not be read from the platform at the first attempt.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_settled.load(Ordering::Relaxed)
    }

    fn next_step(&self, now: Time) -> Step {
        lock(&self.core).next_step(now)
    }

    /// Whether a snapshot has the same failure domains as the latest one.
    fn is_unchanged(&self, snapshot: &Snapshot) -> bool {
        lock(&self.core).snapshot().is_some_and(|known| known.domains == snapshot.domains)
    }

    /// Revision of the latest snapshot; zero without one.
    fn revision(&self) -> Revision {
        lock(&self.core).snapshot().map_or(Revision::ZERO, |known| known.revision)
    }

    fn is_known(&self) -> bool {
        lock(&self.core).snapshot().is_some()
    }
}

/// Follows the evacuations at the platform, if the settings ask for that.
pub(crate) async fn follow_platform(node: Arc<Node>) {
    let Some(source) = node.interfaces.evacuation_source.clone() else {
        return settle(&node);
    };
    let watch_wait =
        Pace::for_bound(node.settings.evacuate_within.unwrap_or(DEFAULT_BOUND)).watch_wait;
    let mut retries = Retries::default();
    let mut is_failing = false;
    loop {
        let known = lock(&node.evacuations.core).snapshot().map(|known| known.revision);
        let wait = match is_reader(&node) {
            true => watch_wait,
            false => Duration::ZERO,
        };
        let source = Arc::clone(&source);
        let asked_at = node.now();
        let result = run_blocking(move || source.wait_for_change(known, wait)).await;
        let now = node.now();
        match result {
            Ok(snapshot) if known.is_none_or(|known| snapshot.revision >= known) => {
                retries.reset();
                if std::mem::take(&mut is_failing) {
                    info!("the evacuations are read from the platform again");
                }
                // A watch without a change looked at the store at the end of its wait time. The answer to
                // one with a change may have been on its way for longer than that.
                let end = asked_at + wait;
                let is_unchanged = node.evacuations.is_unchanged(&snapshot);
                let confirmed_at = if now >= end && is_unchanged { end } else { asked_at };
                apply(&node, snapshot, Some(confirmed_at), "the platform");
                wait_to_ask(&node).await;
            }
            // The answer is older than what a peer has told, or the peer is wrong.
            Ok(_) => sleep(retries.next_probe_delay()).await,
            Err(err) => {
                if !std::mem::replace(&mut is_failing, true) {
                    warn!("the evacuations can't be read from the platform: {err}");
                }
                settle(&node);
                match node.platform.is_reachable() {
                    true => sleep(retries.next_probe_delay()).await,
                    // The task that follows the configuration finds out when the platform is back.
                    false => node.platform.wait_for_recovery(&mut retries).await,
                }
            }
        }
    }
}

fn is_reader(node: &Node) -> bool {
    is_reader_now(node, READERS)
}

/// Records that requests need not wait for the evacuations any longer.
fn settle(node: &Node) {
    if !node.evacuations.is_settled.swap(true, Ordering::Relaxed) && node.is_loaded() {
        node.platform.record_loaded();
    }
}

/// Waits until this node asks the platform: at once if it is a reader, otherwise when nobody has
/// confirmed what it knows for too long.
async fn wait_to_ask(node: &Node) {
    let delay = random_between(Duration::ZERO, MAX_ASK_DELAY);
    while !is_reader(node) {
        let until = match node.evacuations.next_step(node.now() - delay) {
            Step::AskPlatform => return,
            Step::TrustUntil(until) => node.clock.to_instant(until + delay),
        };
        sleep_until(until.min(Instant::now() + time_to_next_period())).await;
    }
}

/// Passes changes and later confirmations on to a few peers in this node's failure domain, which pass
/// them on in turn.
pub(crate) async fn announce_changes(node: Arc<Node>) {
    loop {
        node.evacuations.spread.notified().await;
        if !node.evacuations.is_enabled {
            continue;
        }
        let mut peers = node.peers.all();
        peers.retain(|peer| peer.domain == node.info().domain);
        let chosen: Vec<Arc<Peer>> =
            peers.sample(&mut rand::rng(), ANNOUNCE_FANOUT).cloned().collect();
        for peer in chosen {
            tokio::spawn(compare(Arc::clone(&node), peer));
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Compares with a random peer at regular intervals, mostly one in this node's failure domain, and ends
/// evacuations that have to end by themselves.
pub(crate) async fn compare_with_peers(node: Arc<Node>) {
    if !node.evacuations.is_enabled {
        return;
    }
    loop {
        let is_outdated = node.evacuations.next_step(node.now()) == Step::AskPlatform;
        sleep(match (node.evacuations.is_known(), is_outdated) {
            (false, _) => START_COMPARE_INTERVAL,
            (true, true) => OUTAGE_COMPARE_INTERVAL,
            (true, false) => COMPARE_INTERVAL,
        })
        .await;
        let change = lock(&node.evacuations.core).tick(node.now());
        react(&node, change, "the end of the time after a restore");
        if let Some(peer) = choose_peer(&node, is_outdated) {
            tokio::spawn(compare(Arc::clone(&node), peer));
        }
    }
}

fn choose_peer(node: &Node, is_outdated: bool) -> Option<Arc<Peer>> {
    let mut peers = node.peers.all();
    let is_same_domain = |peer: &Arc<Peer>| peer.domain == node.info().domain;
    let divisor = if is_outdated { OUTAGE_CROSS_DOMAIN_DIVISOR } else { CROSS_DOMAIN_DIVISOR };
    if rand::rng().random_range(0..divisor) > 0 && peers.iter().any(is_same_domain) {
        peers.retain(is_same_domain);
    }
    peers.choose(&mut rand::rng()).cloned()
}

/// Takes over the evacuations that peers retain after a restore of the store. A node that has started since
/// then finds them neither in the store nor in a snapshot.
pub(crate) async fn pull_retained(node: Arc<Node>) {
    if !node.evacuations.is_enabled {
        return;
    }
    while !node.evacuations.is_known() {
        sleep(START_COMPARE_INTERVAL).await;
    }
    while node.peers.count() == 0 {
        sleep(COMPARE_INTERVAL).await;
    }
    // Era 0 is that of a store that tells no restores.
    if node.evacuations.revision().era() == 0 {
        return;
    }
    let mut peers = node.peers.all();
    peers.shuffle(&mut rand::rng());
    let mut usable = 0;
    for peer in peers.iter().cycle().take(MAX_RETAINED_QUESTIONS) {
        match pull_retained_from(&node, peer).await {
            true => usable += 1,
            false => {
                compare(Arc::clone(&node), Arc::clone(peer)).await;
                sleep(RETAINED_INTERVAL).await;
            }
        }
        if usable == RETAINING_PEERS {
            return;
        }
    }
}

/// Returns whether the answer of the peer could be used.
async fn pull_retained_from(node: &Arc<Node>, peer: &Peer) -> bool {
    let reply = peer.control.request(Frame::PullRetainedEvacuations).await;
    // An error means that the peer can't be reached, or that it is of an earlier version and closes the link.
    let Ok(ControlReply { frame: Frame::RetainedEvacuations { revision, retained }, .. }) = reply
    else {
        return false;
    };
    let change = lock(&node.evacuations.core).apply_retained(revision, retained, node.now());
    let is_usable = change.is_some();
    react(node, change.unwrap_or(Change::None), peer.name.as_str());
    is_usable
}

/// What this node retains, for a peer.
pub(crate) fn retained_frame(node: &Node) -> Frame {
    let revision = node.evacuations.revision();
    let retained = lock(&node.evacuations.core).retained(node.now());
    Frame::RetainedEvacuations { revision, retained }
}

/// Sends what this node knows to a peer, and takes over what the peer knows.
async fn compare(node: Arc<Node>, peer: Arc<Peer>) {
    let asked_at = node.now();
    let reply = peer.exchange_evacuations(&node, own_frame(&node)).await;
    if let Some(Frame::Evacuations { snapshot: Some(snapshot), confirmed_ago }) = reply {
        // The peer counts the time from its reply, which is later than the request.
        let confirmed_at = confirmed_ago.map(|ago| asked_at - ago);
        apply(&node, snapshot, confirmed_at, peer.name.as_str());
    }
}

/// What this node knows, for a peer.
pub(crate) fn own_frame(node: &Node) -> Frame {
    let core = lock(&node.evacuations.core);
    let confirmed_ago = core.age(node.now());
    Frame::Evacuations { snapshot: core.snapshot().cloned(), confirmed_ago }
}

/// Takes over what a peer has sent. If its confirmation is considerably later than that of this node, the
/// peer is asked for it: how long the frame has been on its way is not known.
pub(crate) fn receive(
    node: &Arc<Node>,
    from: &NodeName,
    snapshot: Option<Snapshot>,
    confirmed_ago: Option<Duration>,
) {
    if !node.evacuations.is_enabled {
        return;
    }
    if let Some(snapshot) = snapshot {
        apply(node, snapshot, None, from.as_str());
    }
    let is_older = |ago| lock(&node.evacuations.core).is_older_than(ago, node.now());
    if confirmed_ago.is_some_and(is_older)
        && let Some(peer) = node.peers.find(from.as_str())
    {
        tokio::spawn(compare(Arc::clone(node), peer));
    }
}

/// Asks a peer that has refused a call because its failure domain is evacuated, unless this node knows of
/// that.
pub(crate) fn ask_if_unknown(node: &Arc<Node>, peer: Arc<Peer>) {
    if !node.evacuations.is_enabled || node.evacuations.is_evacuated(&peer.domain) {
        return;
    }
    let now = node.now();
    let mut asked_at = lock(&node.evacuations.asked_peer_at);
    if *asked_at == Time::ZERO || now >= *asked_at + ASK_PEER_INTERVAL {
        *asked_at = now;
        tokio::spawn(compare(Arc::clone(node), peer));
    }
}

/// Applies the evacuations among the product's own objects.
pub(crate) fn set_objects(node: &Arc<Node>, domains: BTreeSet<FailureDomain>) {
    let change = lock(&node.evacuations.core).set_objects(domains, node.now());
    react(node, change, "the objects of the product");
}

fn apply(node: &Arc<Node>, snapshot: Snapshot, confirmed_at: Option<Time>, source: &str) {
    let change = lock(&node.evacuations.core).apply(snapshot, confirmed_at, node.now());
    react(node, change, source);
    settle(node);
}

/// Applies a change to the guard, and wakes the task that passes it on.
fn react(node: &Arc<Node>, change: Change, source: &str) {
    match change {
        Change::None => {}
        Change::Confirmed => node.evacuations.spread.notify_one(),
        Change::Domains { begun, ended } => {
            node.evacuations.spread.notify_one();
            node.guard.update_evacuation(node);
            node.metrics.evacuated_domains.set(node.evacuations.domains().len() as i64);
            begun.iter().for_each(|domain| log_begin(node, domain, source));
            for domain in &ended {
                info!("the evacuation of failure domain {domain} has ended, known from {source}");
            }
        }
    }
}

fn log_begin(node: &Node, domain: &FailureDomain, source: &str) {
    let own = &node.info().domain;
    match domain == own || node.peers.all().iter().any(|peer| peer.domain == *domain) {
        true => info!("failure domain {domain} is evacuated, known from {source}"),
        false => warn!(
            "failure domain {domain} is evacuated, known from {source}, but no known node is in it"
        ),
    }
}
