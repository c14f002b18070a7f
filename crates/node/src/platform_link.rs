//! Reachability of the platform, the age of what it has confirmed, and the delays of calls to it after
//! failures.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use config::{Freshness, FreshnessStep, Heard};
use log::{info, warn};
use model::{Revision, Time};
use rand::RngExt;
use store::StoreError;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::clock::SuspendAwareClock;
use crate::shared::lock;

/// Longest first delay before a failed call to the platform is retried.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Longest delay before the call that finds out whether the platform is back is retried. Nodes have to
/// work again about 2 s after the platform recovers, and a refused call is billed like any other.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(1600);

/// Longest delay before another call is retried that is not due to the recovery of the platform. It
/// covers a platform that refuses some calls and serves others.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(6);

/// What this node knows of the platform from its own calls, and whether it has what the platform holds.
#[derive(Clone)]
pub(crate) struct PlatformLink {
    reachable: Arc<watch::Sender<bool>>,
    loaded: Arc<watch::Sender<bool>>,
    freshness: Arc<Mutex<Freshness>>,
    /// Dates confirmations. A node that was suspended must not take its configuration for confirmed since then,
    /// and tell others so.
    clock: SuspendAwareClock,
    newer_config_known: Arc<Notify>,
}

impl PlatformLink {
    /// Creates a link that has not been used.
    pub(crate) fn new() -> PlatformLink {
        PlatformLink {
            reachable: Arc::new(watch::Sender::new(false)),
            loaded: Arc::new(watch::Sender::new(false)),
            freshness: Arc::default(),
            clock: SuspendAwareClock::new(),
            newer_config_known: Arc::default(),
        }
    }

    /// Whether the platform answered the last call.
    pub(crate) fn is_reachable(&self) -> bool {
        *self.reachable.borrow()
    }

    /// Records a call that was answered.
    pub(crate) fn record_success(&self) {
        if !self.reachable.send_replace(true) {
            info!("the platform is reachable");
        }
    }

    /// Records a call that failed.
    pub(crate) fn record_failure(&self, err: &StoreError) {
        if self.reachable.send_replace(false) {
            warn!("the platform is unreachable: {err}");
        }
    }

    /// Time by the clock that dates confirmations of the configuration.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Records that the platform had no newer imported configuration than `revision` at the time `at`,
    /// in an answer that has just arrived.
    pub(crate) fn confirm_config(&self, revision: Revision, at: Time) -> Heard {
        lock(&self.freshness).confirm(revision, at, self.now())
    }

    /// Records that a peer has `revision` of the imported configuration, and when it was known to be the
    /// newest one.
    pub(crate) fn hear_of_config(&self, revision: Revision, confirmed_at: Option<Time>) -> Heard {
        let heard = lock(&self.freshness).hear_of(revision, confirmed_at, self.now());
        if heard == Heard::NewerRevision {
            self.newer_config_known.notify_one();
        }
        heard
    }

    /// Whether a peer whose configuration was confirmed `ago` knows considerably more than a node that
    /// has the revision `own`.
    pub(crate) fn is_config_older_than(&self, ago: Duration, own: Revision) -> bool {
        lock(&self.freshness).is_older_than(ago, own, self.now())
    }

    /// Whether a node that has the revision `own` of the imported configuration asks the platform now.
    pub(crate) fn config_step(&self, own: Revision) -> FreshnessStep {
        lock(&self.freshness).next_step(own, self.now())
    }

    /// Waits until a newer imported configuration is heard of.
    pub(crate) async fn wait_for_newer_config(&self) {
        self.newer_config_known.notified().await;
    }

    /// Time since `own` was known to be the newest revision of the imported configuration.
    pub(crate) fn config_age(&self, own: Revision) -> Option<Duration> {
        lock(&self.freshness).age(own, self.now())
    }

    /// Records that the configuration and the stored objects have been received, from the platform or
    /// from a peer.
    pub(crate) fn record_loaded(&self) {
        self.loaded.send_replace(true);
    }

    /// Whether the configuration and the stored objects have been received.
    pub(crate) fn is_loaded(&self) -> bool {
        *self.loaded.borrow()
    }

    /// Waits until the configuration and the stored objects have been received, or until `latest`.
    pub(crate) async fn wait_until_loaded(&self, latest: Instant) {
        let mut loaded = self.loaded.subscribe();
        let _ = timeout_at(latest, loaded.wait_for(|loaded| *loaded)).await;
    }

    /// Waits for the next delay of `retries`, or, if the platform is unreachable, until another task has
    /// reached it, for the longest delay at most.
    pub(crate) async fn wait_for_recovery(&self, retries: &mut Retries) {
        if self.is_reachable() {
            return sleep(retries.next_delay(MAX_RETRY_DELAY)).await;
        }
        let mut reachable = self.reachable.subscribe();
        let delay = random_up_to(MAX_RETRY_DELAY);
        let _ = timeout(delay, reachable.wait_for(|reachable| *reachable)).await;
    }
}

/// Consecutive failures of one kind of call.
#[derive(Debug, Default)]
pub(crate) struct Retries {
    failures: u32,
}

impl Retries {
    /// Records a call that was answered.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Delay before the call that finds out whether the platform is back.
    pub(crate) fn next_probe_delay(&mut self) -> Duration {
        self.next_delay(MAX_PROBE_DELAY)
    }

    /// A random delay that grows with each failure, so that nodes don't all retry at the same moment.
    fn next_delay(&mut self, max: Duration) -> Duration {
        let longest = FIRST_RETRY_DELAY.saturating_mul(1 << self.failures.min(8)).min(max);
        self.failures = self.failures.saturating_add(1);
        random_up_to(longest)
    }
}

/// A random delay of at least half of `longest`.
fn random_up_to(longest: Duration) -> Duration {
    rand::rng().random_range(longest / 2..=longest)
}
