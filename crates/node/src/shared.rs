//! State that the tasks of the node share.
//!
//! Locks are held for one decision only, never across an `await`. Where several are needed they are
//! taken in the order of the fields.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use config::Replica;
use limits::{Allowances, PARTITIONS};
use membership::{Announcements, Directory, Ownership, QuorumLease, Relays};
use model::{AttemptId, Incarnation, PartitionId, Time};
use payload::BodyLimits;
use peer::{CallPool, Clock, FrameTap, Identity, PeerInfo, Secret};
use platform::ObjectStore;
use routing::SplitMix64;
use settings::Settings;
use tokio::sync::{Notify, watch};
use upstream::UpstreamClient;

use crate::clock::MonotonicClock;
use crate::guard::LocalGuard;
use crate::health::Health;
use crate::limiter::Limiter;
use crate::loads::Loads;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::records::Records;
use crate::retries::RetryBudgets;
use crate::routes::RouteIndex;

/// Whether the node takes part in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It serves.
    Serving,
    /// It is stopping: it takes no new work from other nodes.
    Leaving,
    /// It has handed everything over; only calls in flight are left.
    Draining,
}

/// The state of one node.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) clock: Arc<MonotonicClock>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) config: RwLock<Replica>,
    pub(crate) routes: RouteIndex,
    pub(crate) directory: RwLock<Directory>,
    pub(crate) ownership: Mutex<Ownership>,
    pub(crate) lease: Mutex<QuorumLease>,
    pub(crate) relays: Mutex<Relays>,
    pub(crate) announcements: Mutex<Announcements>,
    pub(crate) guard: LocalGuard,
    pub(crate) limiter: Limiter,
    pub(crate) health: Health,
    pub(crate) loads: Loads,
    pub(crate) budgets: RetryBudgets,
    pub(crate) peers: Peers,
    pub(crate) call_pool: CallPool,
    pub(crate) upstreams: UpstreamClient,
    pub(crate) records: Records,
    pub(crate) metrics: Metrics,
    pub(crate) random: Mutex<SplitMix64>,
    /// Wakes the heartbeat before its next second.
    pub(crate) ping_now: watch::Sender<u64>,
    /// Wakes the loops that depend on the configuration.
    pub(crate) config_changed: Notify,
    pub(crate) phase: watch::Sender<Phase>,
    /// An operator has asked for a graceful stop.
    pub(crate) stop_requested: Notify,
    /// Set when the platform has answered the last call.
    pub(crate) platform_reachable: AtomicBool,
    attempts: AtomicU64,
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        store: Arc<dyn ObjectStore>,
        tap: Option<Arc<dyn FrameTap>>,
    ) -> Arc<Node> {
        let clock = Arc::new(MonotonicClock::new());
        let incarnation = Incarnation(rand::random());
        let name = settings.node.name.clone();
        let info =
            PeerInfo { node: name.clone(), domain: settings.node.domain.clone(), incarnation };
        let identity = Identity {
            info,
            secret: Secret::new(settings.fleet_secret.reveal()),
            clock: Arc::clone(&clock) as Arc<dyn Clock>,
            tap,
        };
        let limits =
            BodyLimits { stall_timeout: settings.caller.idle_timeout, max_bytes: u64::MAX };
        let partitions = (0..PARTITIONS).map(PartitionId);
        let now = clock.now();
        Arc::new(Node {
            identity: identity.clone(),
            store,
            config: RwLock::new(Replica::new()),
            routes: RouteIndex::default(),
            directory: RwLock::new(Directory::new(name.clone())),
            ownership: Mutex::new(Ownership::new(name.clone(), incarnation, partitions)),
            lease: Mutex::new(QuorumLease::new(name.clone())),
            relays: Mutex::new(Relays::new(name, now)),
            announcements: Mutex::new(Announcements::new()),
            guard: LocalGuard::new(),
            limiter: Limiter::new(Allowances::new(incarnation)),
            health: Health::new(incarnation, now),
            loads: Loads::default(),
            budgets: RetryBudgets::default(),
            peers: Peers::default(),
            call_pool: CallPool::new(identity),
            upstreams: UpstreamClient::new(limits),
            records: Records::new(),
            metrics: Metrics::new(),
            random: Mutex::new(SplitMix64::new(rand::random())),
            ping_now: watch::Sender::new(0),
            config_changed: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            stop_requested: Notify::new(),
            platform_reachable: AtomicBool::new(false),
            attempts: AtomicU64::new(0),
            clock,
            settings,
        })
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn info(&self) -> &PeerInfo {
        &self.identity.info
    }

    /// Makes the id of a new attempt.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        let sequence = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        AttemptId { entry: self.info().incarnation, sequence }
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Sends the next heartbeat at once, because something has changed that peers should see.
    pub(crate) fn trigger_heartbeat(&self) {
        self.ping_now.send_modify(|count| *count += 1);
    }
}

/// Locks a mutex. A panic of another task while it held the lock is not passed on: the cores keep
/// no state half changed across a call that can panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn read<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn write<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}

/// Maps keyed by names, as they appear in several parts of the state.
pub(crate) type Map<K, V> = Mutex<HashMap<K, V>>;
