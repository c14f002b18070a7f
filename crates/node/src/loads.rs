//! What an entry knows about the load of endpoints.

use std::collections::HashMap;
use std::sync::MutexGuard;
use std::time::Duration;

use health::PathPenalty;
use model::{EndpointName, Time};
use routing::{KnownLoad, LoadView};
use wire::EndpointLoad;

use crate::shared::{Map, Node, lock};

/// Time without any news after which an endpoint is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Cost of a path at the lowest weight. A path that fails every call should lose to any queue that
/// is worth waiting in.
const MAX_PATH_PENALTY: Duration = Duration::from_millis(500);

/// Time that a path and the guard are expected to add to the time of the upstream. A trip to another
/// domain and back takes 3 ms, and two nodes with a fifth of a core some milliseconds more.
const EXPECTED_OVERHEAD: Duration = Duration::from_millis(20);

/// Time for which an endpoint whose guard has refused a call as suspect, leaving or unknown gets no other;
/// doubles with each further refusal.
const MIN_AVOID_TIME: Duration = Duration::from_millis(300);

/// Longest such time. A suspect endpoint gets a trial in it from any one of the entries, and a restarted
/// node learns of its endpoint from the next announcement.
const MAX_AVOID_TIME: Duration = Duration::from_millis(1500);

/// Load and path of all endpoints that this entry has used or heard of.
#[derive(Default)]
pub(crate) struct Loads {
    endpoints: Map<EndpointName, Known>,
}

#[derive(Default)]
struct Known {
    view: LoadView,
    path: PathPenalty,
    suspect: Backoff,
    absent: Backoff,
    touched: Time,
}

/// Until when an endpoint gets no calls, after refusals for one reason.
#[derive(Default)]
struct Backoff {
    until: Time,
    /// Refusals since the last answer.
    refusals: u32,
}

impl Backoff {
    fn refused(&mut self, now: Time) {
        let pause = MIN_AVOID_TIME * 2_u32.pow(self.refusals.min(8));
        self.until = now + pause.min(MAX_AVOID_TIME);
        self.refusals += 1;
    }
}

impl Loads {
    /// Takes the load that an answer or a refusal reports.
    pub(crate) fn update<'a>(&self, loads: impl IntoIterator<Item = &'a EndpointLoad>, now: Time) {
        let mut endpoints = lock(&self.endpoints);
        for load in loads {
            let known = endpoints.entry(load.endpoint.clone()).or_default();
            known.view.report(load.report, now);
            known.touched = now;
        }
    }

    /// Notes that the guard of an endpoint holds it for suspect.
    pub(crate) fn suspect(&self, endpoint: &EndpointName, now: Time) {
        let mut endpoints = lock(&self.endpoints);
        let known = endpoints.entry(endpoint.clone()).or_default();
        known.suspect.refused(now);
        known.touched = now;
    }

    /// Notes that the node of an endpoint does not have it, or that it leaves. The directory tells so only
    /// once the store has delivered the record of that node.
    pub(crate) fn absent(&self, endpoint: &EndpointName, now: Time) {
        let mut endpoints = lock(&self.endpoints);
        let known = endpoints.entry(endpoint.clone()).or_default();
        known.absent.refused(now);
        known.touched = now;
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
            PathEnd::Answered(overhead) => {
                known.path.record_success(overhead, now);
                known.suspect.refusals = 0;
                known.absent.refusals = 0;
            }
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
    /// What is known of an endpoint.
    pub(crate) fn at(&self, endpoint: &EndpointName, now: Time) -> KnownEndpoint {
        self.0.get(endpoint).map_or_else(KnownEndpoint::default, |known| known.at(now))
    }
}

/// What is known of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KnownEndpoint {
    /// Its load.
    pub(crate) load: Option<KnownLoad>,
    /// Added cost for what was lately seen on the path.
    pub(crate) path_penalty: Duration,
    /// Whether its guard has lately held it for suspect.
    pub(crate) is_suspect: bool,
    /// Whether its node has lately said that it does not have it, or that it leaves.
    pub(crate) is_absent: bool,
}

impl Known {
    fn at(&self, now: Time) -> KnownEndpoint {
        let weight = self.path.weight(now, Some(EXPECTED_OVERHEAD));
        let lost = 100 - u32::from(weight.value());
        KnownEndpoint {
            load: self.view.known(now),
            path_penalty: MAX_PATH_PENALTY * lost / 100,
            is_suspect: now < self.suspect.until,
            is_absent: now < self.absent.until,
        }
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
    /// An answer came, and path and guard added this time to that of the upstream.
    Answered(Duration),
    /// The path or the endpoint failed.
    Failed,
    /// It tells nothing.
    Neutral,
}
