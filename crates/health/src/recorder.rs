//! Records finished calls at the guard.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{EndpointName, Incarnation, RouteName, Time};

/// Time between two reports of a guard.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of latency buckets.
pub(crate) const BUCKETS: usize = 32;

/// How a call ended, as far as it tells something about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallResult {
    /// The upstream answered with a status below 500.
    Success,
    /// The upstream answered with a status of 500 or more.
    ServerError,
    /// No connection to the upstream could be made.
    ConnectFailure,
    /// The connection was lost before the answer was complete.
    ConnectionLost,
    /// The deadline passed before the answer was complete.
    Deadline,
}

/// Counts of successful calls by latency. Buckets grow by a factor of the square root of 2 and
/// cover 1 ms to 33 s; shorter and longer calls are in the first and last bucket.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LatencyCounts(Vec<(u8, u32)>);

impl LatencyCounts {
    /// Makes counts from pairs of bucket and count. Buckets out of range count as the last one.
    pub fn from_pairs(pairs: impl IntoIterator<Item = (u8, u32)>) -> LatencyCounts {
        let mut counts = LatencyCounts::default();
        for (bucket, count) in pairs {
            counts.add_to(bucket.min(BUCKETS as u8 - 1), count);
        }
        counts
    }

    /// Counts one call.
    pub fn add(&mut self, latency: Duration) {
        self.add_to(bucket_of(latency), 1);
    }

    /// Pairs of bucket and count; buckets without calls are left out.
    pub fn pairs(&self) -> &[(u8, u32)] {
        &self.0
    }

    fn add_to(&mut self, bucket: u8, count: u32) {
        match self.0.binary_search_by_key(&bucket, |pair| pair.0) {
            Ok(at) => self.0[at].1 = self.0[at].1.saturating_add(count),
            Err(at) => self.0.insert(at, (bucket, count)),
        }
    }
}

fn bucket_of(latency: Duration) -> u8 {
    let micros = latency.as_micros().clamp(1, 1 << 31) as u64;
    // The logarithm of the square counts half octaves.
    let half_octaves = (micros * micros).ilog2();
    half_octaves.saturating_sub(1_000_000_u64.ilog2()).min(BUCKETS as u32 - 1) as u8
}

/// Calls of one endpoint on one route since the last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportEntry {
    /// The route.
    pub route: RouteName,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Calls that failed.
    pub failures: u32,
    /// Calls that succeeded, by latency.
    pub successes: LatencyCounts,
}

/// What changed at a guard since its last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthReport {
    /// The process of the guard.
    pub guard: Incarnation,
    /// Grows with each report of the process.
    pub sequence: u64,
    /// Endpoints with finished calls.
    pub entries: Vec<ReportEntry>,
}

#[derive(Debug, Clone, Default)]
struct Counts {
    failures: u32,
    successes: LatencyCounts,
}

/// Records the finished calls of a guard.
///
/// ```
/// use std::time::Duration;
///
/// use health::{CallResult, Recorder};
/// use model::{Incarnation, Time};
///
/// let mut recorder = Recorder::new(Incarnation(7), Time::ZERO);
/// let (route, endpoint) = ("orders".parse().unwrap(), "orders-1".parse().unwrap());
/// recorder.record(&route, &endpoint, CallResult::Success, Duration::from_millis(40));
/// recorder.record(&route, &endpoint, CallResult::Deadline, Duration::from_secs(1));
/// let now = Time::ZERO + Duration::from_millis(500);
/// let report = recorder.report(now).unwrap();
/// assert_eq!(report.entries[0].failures, 1);
/// // Nothing changed since, so there is nothing to report.
/// assert_eq!(recorder.report(now + Duration::from_millis(500)), None);
/// ```
#[derive(Debug)]
pub struct Recorder {
    guard: Incarnation,
    sequence: u64,
    due: Time,
    counts: BTreeMap<RouteName, BTreeMap<EndpointName, Counts>>,
}

impl Recorder {
    /// Makes a recorder without calls. The first report is due after [`REPORT_INTERVAL`].
    pub fn new(guard: Incarnation, now: Time) -> Recorder {
        Recorder { guard, sequence: 0, due: now + REPORT_INTERVAL, counts: BTreeMap::new() }
    }

    /// Records a finished call. Calls that were refused as not run, other than by a connect
    /// failure, say nothing about the upstream and are not recorded.
    pub fn record(
        &mut self,
        route: &RouteName,
        endpoint: &EndpointName,
        result: CallResult,
        latency: Duration,
    ) {
        let counts = self.counts_mut(route, endpoint);
        match result {
            CallResult::Success => counts.successes.add(latency),
            _ => counts.failures = counts.failures.saturating_add(1),
        }
    }

    /// The time of the next report.
    pub fn next_report(&self) -> Time {
        self.due
    }

    /// The report of the calls since the last one, if it is due and there are any.
    pub fn report(&mut self, now: Time) -> Option<HealthReport> {
        if now < self.due {
            return None;
        }
        self.due = now + REPORT_INTERVAL;
        if self.counts.is_empty() {
            return None;
        }
        self.sequence += 1;
        let mut entries = Vec::new();
        for (route, endpoints) in std::mem::take(&mut self.counts) {
            entries.extend(endpoints.into_iter().map(|(endpoint, counts)| ReportEntry {
                route: route.clone(),
                endpoint,
                failures: counts.failures,
                successes: counts.successes,
            }));
        }
        Some(HealthReport { guard: self.guard, sequence: self.sequence, entries })
    }

    fn counts_mut(&mut self, route: &RouteName, endpoint: &EndpointName) -> &mut Counts {
        // Names are cloned only for the first call of a report.
        if !self.counts.contains_key(route) {
            self.counts.insert(route.clone(), BTreeMap::new());
        }
        let endpoints = self.counts.get_mut(route).expect("the route was inserted above");
        if !endpoints.contains_key(endpoint) {
            endpoints.insert(endpoint.clone(), Counts::default());
        }
        endpoints.get_mut(endpoint).expect("the endpoint was inserted above")
    }
}
