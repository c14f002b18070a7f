//! What an entry knows about the load of endpoints.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use health::PathPenalty;
use model::{EndpointName, Time};
use routing::{KnownLoad, LoadView, QueryBudget};
use wire::EndpointLoad;

use crate::shared::{Map, Node, lock};

/// Time without any news after which an endpoint is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Cost of a path at the lowest weight. A path that fails every call should lose to any queue that
/// is worth waiting in.
const MAX_PATH_PENALTY: Duration = Duration::from_millis(500);

/// Least latency that a path is expected to have. A trip to another domain and back takes 2 to 3 ms,
/// which a path must not be blamed for when the upstream answers faster than that.
const MIN_EXPECTED: Duration = Duration::from_millis(5);

/// Load and path of all endpoints that this entry has used or heard of.
#[derive(Default)]
pub(crate) struct Loads {
    endpoints: Map<EndpointName, Known>,
    queries: Mutex<QueryBudget>,
}

#[derive(Default)]
struct Known {
    view: LoadView,
    path: PathPenalty,
    touched: Time,
}

impl Loads {
    /// Takes the load that a heartbeat or an answer reports.
    pub(crate) fn update<'a>(
        &self,
        loads: impl IntoIterator<Item = &'a EndpointLoad>,
        now: Time,
        round_trip: Duration,
    ) {
        let mut endpoints = lock(&self.endpoints);
        for load in loads {
            let known = endpoints.entry(load.endpoint.clone()).or_default();
            known.view.report(load.report, now, round_trip);
            known.touched = now;
        }
    }

    /// Takes up to `wanted` queries for loads from the budget and returns how many may be made.
    pub(crate) fn take_queries(&self, wanted: usize, now: Time) -> usize {
        lock(&self.queries).take(wanted as u32, now) as usize
    }

    /// Notes that a call was sent.
    fn sent(&self, endpoint: &EndpointName, now: Time) {
        let mut endpoints = lock(&self.endpoints);
        let known = endpoints.entry(endpoint.clone()).or_default();
        known.view.sent(now);
        known.touched = now;
    }

    /// Notes how the call ended that was sent at `sent_at`.
    fn ended(&self, endpoint: &EndpointName, sent_at: Time, end: PathEnd, now: Time) {
        let mut endpoints = lock(&self.endpoints);
        let known = endpoints.entry(endpoint.clone()).or_default();
        known.view.ended(sent_at);
        known.touched = now;
        match end {
            PathEnd::Answered(latency) => known.path.record_success(latency, now),
            PathEnd::Failed => known.path.record_failure(now),
            PathEnd::Neutral => {}
        }
    }

    /// Locks what is known, to look up several endpoints.
    pub(crate) fn look_up(&self) -> KnownLoads<'_> {
        KnownLoads(lock(&self.endpoints))
    }

    /// Forgets endpoints that have not been heard of for long.
    pub(crate) fn sweep(&self, now: Time) {
        lock(&self.endpoints).retain(|_, known| now.since(known.touched) < FORGET_AFTER);
    }

    pub(crate) fn len(&self) -> usize {
        let endpoints: &HashMap<_, _> = &lock(&self.endpoints);
        endpoints.len()
    }
}

/// What is known, while it does not change.
pub(crate) struct KnownLoads<'a>(MutexGuard<'a, HashMap<EndpointName, Known>>);

impl KnownLoads<'_> {
    /// Load of an endpoint and penalty of the path to it.
    pub(crate) fn at(&self, endpoint: &EndpointName, now: Time) -> (Option<KnownLoad>, Duration) {
        self.0.get(endpoint).map_or((None, Duration::ZERO), |known| known.at(now))
    }
}

impl Known {
    fn at(&self, now: Time) -> (Option<KnownLoad>, Duration) {
        let load = self.view.known(now);
        let expected = load.map(|load| load.report.mean_service.max(MIN_EXPECTED));
        let weight = self.path.weight(now, expected);
        let lost = 100 - u32::from(weight.value());
        (load, MAX_PATH_PENALTY * lost / 100)
    }
}

/// A call that was sent to an endpoint. Dropped without an end, for example because the caller went
/// away, it tells nothing about the path, but it no longer counts as in flight.
pub(crate) struct InFlight<'a> {
    node: &'a Node,
    endpoint: &'a EndpointName,
    sent_at: Time,
    end: PathEnd,
}

impl<'a> InFlight<'a> {
    pub(crate) fn start(node: &'a Node, endpoint: &'a EndpointName, now: Time) -> InFlight<'a> {
        node.loads.sent(endpoint, now);
        InFlight { node, endpoint, sent_at: now, end: PathEnd::Neutral }
    }

    pub(crate) fn ended(mut self, end: PathEnd) {
        self.end = end;
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.node.loads.ended(self.endpoint, self.sent_at, self.end, self.node.now());
    }
}

/// How a call ended, as far as it tells something about the path.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PathEnd {
    /// An answer came after this time.
    Answered(Duration),
    /// The path or the endpoint failed.
    Failed,
    /// It tells nothing.
    Neutral,
}
