//! State that the tasks of the node share.
//!
//! Locks are held for one decision only, never across an `await`. Where several are needed they are
//! taken in the order of the fields.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use config::Configuration;
use health::DependencyFailures;
use limits::Allowances;
use membership::{Announcements, Directory};
use model::{AttemptId, HeaderNames, Incarnation, ServiceName, Time};
use payload::BodyLimits;
use peer::{CallPool, Clock, FrameTap, Identity, PeerInfo, Secret};
use routing::SplitMix64;
use settings::Settings;
use store::{ConfigSource, ObjectStore};
use tokio::sync::{Notify, watch};
use upstream::{AnnounceFormat, UpstreamClient};

use crate::clock::MonotonicClock;
use crate::guard::LocalGuard;
use crate::limiter::Limiter;
use crate::loads::Loads;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::records::Records;
use crate::retries::ServiceRetries;

/// Whether the node takes part in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It serves.
    Serving,
    /// It is stopping: it is no longer a member, but still takes what is on its way to it.
    Leaving,
    /// It takes no new work; only calls in flight are left.
    Draining,
}

/// What a node speaks with, apart from other nodes.
pub struct Interfaces {
    /// Holds the product's objects.
    pub store: Arc<dyn ObjectStore>,
    /// Gives the configuration that others write, if there is one.
    pub config_source: Option<Arc<dyn ConfigSource>>,
    /// Reads announcements.
    pub announcements: Arc<dyn AnnounceFormat>,
    /// Names of the headers of requests and answers.
    pub headers: HeaderNames,
    /// Path on the readiness address.
    pub ready_path: &'static str,
}

/// The state of one node.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) interfaces: Interfaces,
    pub(crate) identity: Identity,
    pub(crate) clock: Arc<MonotonicClock>,
    pub(crate) config: RwLock<Configuration>,
    pub(crate) directory: RwLock<Directory>,
    pub(crate) announcements: Mutex<Announcements>,
    pub(crate) guard: LocalGuard,
    /// Failed calls of the endpoints beside this node.
    pub(crate) dependencies: Mutex<DependencyFailures>,
    pub(crate) limiter: Limiter,
    pub(crate) loads: Loads,
    pub(crate) free_retries: ServiceRetries,
    pub(crate) peers: Peers,
    pub(crate) call_pool: CallPool,
    pub(crate) upstreams: UpstreamClient,
    pub(crate) records: Records,
    pub(crate) metrics: Metrics,
    pub(crate) random: Mutex<SplitMix64>,
    /// Service of the upstream on this instance; the settings may change it.
    pub(crate) service: Mutex<Option<ServiceName>>,
    /// Wakes the writer of the node record.
    pub(crate) record_changed: Notify,
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
        interfaces: Interfaces,
        tap: Option<Arc<dyn FrameTap>>,
    ) -> Arc<Node> {
        let clock = Arc::new(MonotonicClock::new());
        let incarnation = Incarnation(rand::random());
        let name = settings.node.name.clone();
        let info = PeerInfo { node: name, domain: settings.node.domain.clone(), incarnation };
        let identity = Identity {
            info,
            secret: Secret::new(settings.fleet_secret.reveal()),
            clock: Arc::clone(&clock) as Arc<dyn Clock>,
            tap,
        };
        let limits =
            BodyLimits { stall_timeout: settings.caller.idle_timeout, max_bytes: u64::MAX };
        let now = clock.now();
        Arc::new(Node {
            identity: identity.clone(),
            interfaces,
            config: RwLock::new(Configuration::default()),
            directory: RwLock::new(Directory::new()),
            announcements: Mutex::new(Announcements::new(settings.upstream.ttl)),
            guard: LocalGuard::new(),
            dependencies: Mutex::default(),
            limiter: Limiter::new(Allowances::new(incarnation), now),
            loads: Loads::default(),
            free_retries: ServiceRetries::default(),
            peers: Peers::default(),
            call_pool: CallPool::new(identity),
            upstreams: UpstreamClient::new(limits),
            records: Records::new(),
            metrics: Metrics::new(),
            random: Mutex::new(SplitMix64::new(rand::random())),
            service: Mutex::new(settings.node.service.clone()),
            record_changed: Notify::new(),
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

    pub(crate) fn headers(&self) -> &HeaderNames {
        &self.interfaces.headers
    }

    /// Makes the id of a new attempt.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        let sequence = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        AttemptId { entry: self.info().incarnation, sequence }
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Tells whether a configuration is known. Without one a node can't tell which requests are
    /// allowed.
    pub(crate) fn is_synced(&self) -> bool {
        let revisions = read(&self.config).revisions();
        match self.interfaces.config_source {
            Some(_) => revisions.imported > model::Revision::ZERO,
            None => revisions.objects > model::Revision::ZERO,
        }
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
