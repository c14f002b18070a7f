//! Load, path quality and recent refusals of endpoints, as observed by this entry.

use std::collections::HashMap;
use std::sync::MutexGuard;
use std::time::Duration;

use health::PathPenalty;
use model::{EndpointName, Time};
use routing::{Idempotence, KnownLoad, LoadView};
use wire::EndpointLoad;

use crate::shared::{Node, SharedMap, lock};

/// Time without updates after which the state of an endpoint is removed.
const STALE_AFTER: Duration = Duration::from_secs(60);

/// Upper limit of the cost added to a path, approached as all calls on it fail. It exceeds any queue wait
/// that is preferable to a failing path.
const MAX_PATH_PENALTY: Duration = Duration::from_millis(500);

/// Expected latency that the path and the guard add to the service time of the upstream. A round trip to
/// another failure domain takes 3 ms, and two nodes with a fifth of a core each add some milliseconds.
const EXPECTED_OVERHEAD: Duration = Duration::from_millis(20);

/// Time for which an endpoint gets no calls after its guard has refused one because the endpoint is
/// suspect, leaving or unknown. It doubles with each further refusal.
const MIN_AVOID_TIME: Duration = Duration::from_millis(300);

/// Upper limit of the avoid time. Within it, at least one of the entries sends a trial call to a suspect
/// endpoint, and a restarted node learns of its endpoint from the next announcement.
const MAX_AVOID_TIME: Duration = Duration::from_millis(1500);

/// State of all endpoints that this entry has used or received a load report for.
#[derive(Default)]
pub(crate) struct EndpointLoads {
    endpoints: SharedMap<EndpointName, EndpointRecord>,
}

#[derive(Default)]
struct EndpointRecord {
    view: LoadView,
    path: PathPenalty,
    /// Refusals of idempotent calls because the endpoint is suspect.
    suspect: Backoff,
    /// The same for non-idempotent calls. A guard refuses these for longer, since idempotent calls
    /// are its probes, so their refusals must not keep idempotent calls away.
    suspect_non_idempotent: Backoff,
    absent: Backoff,
    last_update: Time,
}

/// Exponential backoff after refusals for one reason.
#[derive(Default)]
struct Backoff {
    /// The endpoint gets no calls before this time.
    until: Time,
    /// Refusals since the last response.
    refusals: u32,
}

impl Backoff {
    fn record_refusal(&mut self, now: Time) {
        let pause = MIN_AVOID_TIME * 2_u32.pow(self.refusals.min(8));
        self.until = now + pause.min(MAX_AVOID_TIME);
        self.refusals += 1;
    }
}

impl EndpointLoads {
    /// Records the load reported by a response or a refusal.
    pub(crate) fn update<'a>(&self, loads: impl IntoIterator<Item = &'a EndpointLoad>, now: Time) {
        let mut endpoints = lock(&self.endpoints);
        for load in loads {
            let record = endpoints.entry(load.endpoint.clone()).or_default();
            record.view.record_report(load.report, now);
            record.last_update = now;
        }
    }

    /// Records that a guard has refused a call because the endpoint is suspect.
    pub(crate) fn record_suspect(
        &self,
        endpoint: &EndpointName,
        idempotence: Idempotence,
        now: Time,
    ) {
        let mut endpoints = lock(&self.endpoints);
        let record = endpoints.entry(endpoint.clone()).or_default();
        match idempotence {
            Idempotence::Idempotent => record.suspect.record_refusal(now),
            Idempotence::NonIdempotent => record.suspect_non_idempotent.record_refusal(now),
        }
        record.last_update = now;
    }

    /// Records that a node has refused a call because the endpoint is unknown there, leaving or evacuated. The
    /// directory shows this only after the store has delivered the record of that node.
    pub(crate) fn record_absent(&self, endpoint: &EndpointName, now: Time) {
        let mut endpoints = lock(&self.endpoints);
        let record = endpoints.entry(endpoint.clone()).or_default();
        record.absent.record_refusal(now);
        record.last_update = now;
    }

    fn record_sent(&self, endpoint: &EndpointName, now: Time) {
        let mut endpoints = lock(&self.endpoints);
        let record = endpoints.entry(endpoint.clone()).or_default();
        record.view.record_sent(now);
        record.last_update = now;
    }

    /// Records the outcome of the call that was sent at `sent_at`.
    fn record_end(&self, endpoint: &EndpointName, sent_at: Time, outcome: PathOutcome, now: Time) {
        let mut endpoints = lock(&self.endpoints);
        let record = endpoints.entry(endpoint.clone()).or_default();
        record.view.record_end(sent_at);
        record.last_update = now;
        match outcome {
            PathOutcome::Answered(overhead) => {
                record.path.record_success(overhead, now);
                record.suspect.refusals = 0;
                record.suspect_non_idempotent.refusals = 0;
                record.absent.refusals = 0;
            }
            PathOutcome::Failed => record.path.record_failure(now),
            PathOutcome::Neutral => {}
        }
    }

    /// Locks the state of all endpoints, for several lookups in a row.
    pub(crate) fn lock_all(&self) -> LockedLoads<'_> {
        LockedLoads(lock(&self.endpoints))
    }

    /// Removes endpoints without an update for [`STALE_AFTER`].
    pub(crate) fn remove_stale(&self, now: Time) {
        lock(&self.endpoints).retain(|_, record| now.since(record.last_update) < STALE_AFTER);
    }

    pub(crate) fn len(&self) -> usize {
        let endpoints: &HashMap<_, _> = &lock(&self.endpoints);
        endpoints.len()
    }
}

/// The locked state of all endpoints.
pub(crate) struct LockedLoads<'a>(MutexGuard<'a, HashMap<EndpointName, EndpointRecord>>);

impl LockedLoads<'_> {
    /// Returns the state of an endpoint at `now`, or the default if the endpoint is unknown.
    pub(crate) fn get(&self, endpoint: &EndpointName, now: Time) -> EndpointSnapshot {
        self.0.get(endpoint).map_or_else(EndpointSnapshot::default, |record| record.snapshot(now))
    }
}

/// State of an endpoint at one point in time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EndpointSnapshot {
    pub(crate) load: Option<KnownLoad>,
    /// Cost added for recent failures or high latency of the path.
    pub(crate) path_penalty: Duration,
    /// Whether its guard has recently refused an idempotent call because the endpoint is suspect.
    refuses_idempotent: bool,
    /// Whether its guard has recently refused a call of either kind for that reason.
    pub(crate) is_suspect: bool,
    /// Whether its node has recently refused a call because the endpoint is unknown or leaving.
    pub(crate) is_absent: bool,
}

impl EndpointSnapshot {
    /// Whether calls of this kind avoid the endpoint because it is suspect.
    pub(crate) fn is_suspect_for(&self, idempotence: Idempotence) -> bool {
        match idempotence {
            Idempotence::Idempotent => self.refuses_idempotent,
            Idempotence::NonIdempotent => self.is_suspect,
        }
    }
}

impl EndpointRecord {
    fn snapshot(&self, now: Time) -> EndpointSnapshot {
        let weight = self.path.weight(now, Some(EXPECTED_OVERHEAD));
        let lost_percent = 100 - u32::from(weight.value());
        let refuses_idempotent = now < self.suspect.until;
        EndpointSnapshot {
            load: self.view.current(now),
            path_penalty: MAX_PATH_PENALTY * lost_percent / 100,
            refuses_idempotent,
            is_suspect: refuses_idempotent || now < self.suspect_non_idempotent.until,
            is_absent: now < self.absent.until,
        }
    }
}

/// A call in flight to an endpoint. Dropping it ends the call. If it is dropped without
/// [`InFlightCall::finish`], for example because the caller has disconnected, the call does not affect
/// the path quality.
pub(crate) struct InFlightCall<'a> {
    node: &'a Node,
    endpoint: EndpointName,
    sent_at: Time,
    outcome: PathOutcome,
}

impl<'a> InFlightCall<'a> {
    pub(crate) fn start(node: &'a Node, endpoint: &EndpointName, now: Time) -> InFlightCall<'a> {
        node.loads.record_sent(endpoint, now);
        let endpoint = endpoint.clone();
        InFlightCall { node, endpoint, sent_at: now, outcome: PathOutcome::Neutral }
    }

    pub(crate) fn finish(mut self, outcome: PathOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlightCall<'_> {
    fn drop(&mut self) {
        self.node.loads.record_end(&self.endpoint, self.sent_at, self.outcome, self.node.now());
    }
}

/// What the end of a call says about the path to the endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PathOutcome {
    /// The endpoint responded; the path and the guard added this much latency.
    Answered(Duration),
    /// The path or the endpoint failed.
    Failed,
    /// No evidence about the path.
    Neutral,
}
