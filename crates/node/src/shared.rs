//! State shared by the tasks of a node.
//!
//! A lock is held for one decision only, never across an `await`. Several locks are acquired in the
//! order of the fields of [`Node`], with two exceptions: the members in `peers` are locked before
//! `directory`, and the state of `guard` is locked before `config`.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use config::Configuration;
use health::DependencyFailures;
use membership::{Announcements, Directory};
use model::{AttemptId, DepartedEndpoint, HeaderNames, Incarnation, ServiceName, Time};
use payload::BodyLimits;
use peer::{CallPool, Clock, FrameTap, Identity, PeerInfo, Secret};
use routing::SplitMix64;
use settings::Settings;
use store::{ConfigSource, EvacuationSource, ObjectStore};
use tokio::sync::{Notify, watch};
use upstream::{AnnounceFormat, UpstreamClient};

use crate::announce::unix_ms;
use crate::clock::MonotonicClock;
use crate::evacuations::EvacuationView;
use crate::guard::LocalGuard;
use crate::handover::HandoverView;
use crate::limiter::Limiter;
use crate::loads::EndpointLoads;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::platform_link::PlatformLink;
use crate::records::RecentRequests;
use crate::retries::UnsentRetryLimiters;
use crate::retry_limits::ServiceSizes;

/// Lifecycle phase of the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The node is a member of the fleet and accepts requests.
    Serving,
    /// The node is stopping. It is no longer a member, but still accepts calls that are already on
    /// their way to it.
    Leaving,
    /// The node accepts no new calls and waits for those in flight.
    Draining,
}

/// Adapters to the systems outside the fleet.
pub struct Interfaces {
    /// Store of the product's objects.
    pub store: Arc<dyn ObjectStore>,
    /// Source of a configuration that is managed outside the product, if there is one.
    pub config_source: Option<Arc<dyn ConfigSource>>,
    /// Source of the evacuations that the platform's operators begin and end, if they are followed.
    pub evacuation_source: Option<Arc<dyn EvacuationSource>>,
    /// Format of the announcements of upstreams.
    pub announcements: Arc<dyn AnnounceFormat>,
    /// Header names of requests and responses.
    pub headers: HeaderNames,
    /// Path of the readiness check on the status address.
    pub ready_path: &'static str,
    /// Features that the environment calls for. They are in use unless the settings say otherwise.
    pub called_for: Features,
}

/// Features that are not in use everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Features {
    /// Calls that are not expected to get a slot or a token in time are refused at once, and retries are kept for
    /// urgent calls.
    pub overload_control: bool,
}

/// The state of one node.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) interfaces: Interfaces,
    pub(crate) identity: Identity,
    pub(crate) clock: Arc<MonotonicClock>,
    /// Unix time at which the process started, in milliseconds, unless its clock was never set.
    pub(crate) started_ms: Option<u64>,
    pub(crate) config: RwLock<Configuration>,
    pub(crate) directory: RwLock<Directory>,
    pub(crate) announcements: Mutex<Announcements>,
    pub(crate) guard: LocalGuard,
    /// Failed calls that the endpoints of this node made to other services.
    pub(crate) dependency_failures: Mutex<DependencyFailures>,
    pub(crate) limiter: Limiter,
    pub(crate) loads: EndpointLoads,
    pub(crate) unsent_retry_limiters: UnsentRetryLimiters,
    pub(crate) service_sizes: ServiceSizes,
    pub(crate) peers: Peers,
    pub(crate) call_pool: CallPool,
    pub(crate) upstreams: UpstreamClient,
    pub(crate) recent_requests: RecentRequests,
    pub(crate) metrics: Metrics,
    pub(crate) rng: Mutex<SplitMix64>,
    /// Service of the upstream on this instance. A reload of the settings may change it.
    pub(crate) local_service: Mutex<Option<ServiceName>>,
    /// Wakes the task that writes the node record.
    pub(crate) node_record_changed: Notify,
    /// Wakes the task that announces new revisions to peers.
    pub(crate) revisions_changed: Notify,
    pub(crate) phase: watch::Sender<Phase>,
    /// What is known of the departures that earlier processes of this node have acknowledged.
    pub(crate) handover: HandoverView,
    /// Departures in the node record that this process has written last.
    pub(crate) stored_departures: watch::Sender<Vec<DepartedEndpoint>>,
    /// Whether the node record shows that this process has left the members.
    pub(crate) has_left: watch::Sender<bool>,
    /// Time by which the process has to exit, once it is stopping. A further signal may move it.
    pub(crate) exit_at: watch::Sender<Option<Time>>,
    /// Notified when an operator requests a graceful stop.
    pub(crate) stop_requested: Notify,
    pub(crate) platform: PlatformLink,
    pub(crate) evacuations: EvacuationView,
    attempt_sequence: AtomicU64,
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
        let upstreams = UpstreamClient::new(limits, interfaces.headers.request_id);
        let overload_control =
            settings.admission.overload_control.resolve(interfaces.called_for.overload_control);
        let now = clock.now();
        Arc::new(Node {
            identity: identity.clone(),
            interfaces,
            started_ms: Some(unix_ms()).filter(|ms| *ms > 0),
            config: RwLock::new(Configuration::default()),
            directory: RwLock::new(Directory::new()),
            announcements: Mutex::new(Announcements::new(settings.upstream.ttl)),
            guard: LocalGuard::new(overload_control),
            dependency_failures: Mutex::default(),
            limiter: Limiter::new(incarnation, overload_control, now),
            loads: EndpointLoads::default(),
            unsent_retry_limiters: UnsentRetryLimiters::default(),
            service_sizes: ServiceSizes::default(),
            peers: Peers::default(),
            call_pool: CallPool::new(identity),
            upstreams,
            recent_requests: RecentRequests::new(),
            metrics: Metrics::new(),
            rng: Mutex::new(SplitMix64::new(rand::random())),
            local_service: Mutex::new(settings.node.service.clone()),
            node_record_changed: Notify::new(),
            revisions_changed: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            handover: HandoverView::default(),
            stored_departures: watch::Sender::new(Vec::new()),
            has_left: watch::Sender::new(false),
            exit_at: watch::Sender::new(None),
            stop_requested: Notify::new(),
            platform: PlatformLink::new(),
            evacuations: EvacuationView::new(settings.evacuate_within),
            attempt_sequence: AtomicU64::new(0),
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

    /// Generates a new attempt id.
    pub(crate) fn next_attempt_id(&self) -> AttemptId {
        let sequence = self.attempt_sequence.fetch_add(1, Ordering::Relaxed) + 1;
        AttemptId { entry: self.info().incarnation, sequence }
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Number of unusable entries that were read from the platform's store and from announcements.
    pub(crate) fn skipped_entries(&self) -> u64 {
        let Interfaces { store, config_source, evacuation_source, announcements, .. } =
            &self.interfaces;
        let of_config = config_source.as_ref().map_or(0, |source| source.skipped_entries());
        let of_evacuations =
            evacuation_source.as_ref().map_or(0, |source| source.skipped_entries());
        store.skipped_entries() + of_config + of_evacuations + announcements.skipped_values()
    }

    /// Returns whether the node has received a configuration and the stored objects, which contain the
    /// other nodes.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_synced()
            && read(&self.config).objects.revision() > model::Revision::ZERO
            && self.evacuations.is_settled()
    }

    /// Returns whether the node has received a configuration. Without one it can't decide which
    /// requests are allowed.
    pub(crate) fn is_synced(&self) -> bool {
        let revisions = read(&self.config).revisions();
        match self.interfaces.config_source {
            Some(_) => revisions.imported > model::Revision::ZERO,
            None => revisions.objects > model::Revision::ZERO,
        }
    }
}

/// Locks a mutex and ignores poisoning: the state behind the locks is never left inconsistent across a
/// call that can panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Locks for reading and ignores poisoning, like [`lock`].
pub(crate) fn read<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

/// Locks for writing and ignores poisoning, like [`lock`].
pub(crate) fn write<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}

/// A shared map, usually keyed by name.
pub(crate) type SharedMap<K, V> = Mutex<HashMap<K, V>>;
