//! Prometheus metrics of the node.

use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label set with the way a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestEndLabel {
    /// `answered`, `caller_gone`, or the number of the result code.
    pub(crate) end: String,
}

/// Label set with the expectation for an attempt that asked not to wait, and what it met.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LoadExpectationLabel {
    /// `free` or `full`.
    pub(crate) expected: &'static str,
    /// `slot` or `busy`.
    pub(crate) met: &'static str,
}

/// Label set with what the guard has decided about a retry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct GuardRetryLabel {
    /// `accepted`, `exhausted` if the retries of the service are used up, or `refused` for another reason.
    pub(crate) end: &'static str,
}

/// The metrics and the registry that exports them.
pub(crate) struct Metrics {
    pub(crate) registry: Arc<Registry>,
    pub(crate) requests: Family<RequestEndLabel, Counter>,
    pub(crate) retries: Counter,
    pub(crate) hedges: Counter,
    pub(crate) guard_retries: Family<GuardRetryLabel, Counter>,
    pub(crate) fences: Counter,
    pub(crate) suspicions: Counter,
    pub(crate) request_seconds: Histogram,
    pub(crate) objects_revision: Gauge,
    pub(crate) imported_revision: Gauge,
    pub(crate) imported_age_ms: Gauge,
    pub(crate) members: Gauge,
    pub(crate) members_unreachable: Gauge,
    pub(crate) platform_reachable: Gauge,
    pub(crate) endpoints_known: Gauge,
    pub(crate) load_expectations: Family<LoadExpectationLabel, Counter>,
    pub(crate) log_lines_dropped: Counter,
    pub(crate) entries_skipped: Gauge,
    pub(crate) evacuated_domains: Gauge,
    pub(crate) evacuations_age_ms: Gauge,
    pub(crate) evacuation_refusals: Counter,
    pub(crate) cold_endpoints: Gauge,
    pub(crate) initial_retries_withheld: Gauge,
    pub(crate) cold_refusals: Counter,
    pub(crate) cold_waits: Counter,
    pub(crate) refill_waits_skipped: Counter,
    pub(crate) store_era: Gauge,
    pub(crate) store_era_seen_seconds: Gauge,
    pub(crate) objects_retained: Gauge,
    pub(crate) objects_rewritten: Counter,
    /// Queries where a request would be routed.
    pub(crate) route_queries: Counter,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Arc::default(),
            requests: Family::default(),
            retries: Counter::default(),
            hedges: Counter::default(),
            guard_retries: Family::default(),
            fences: Counter::default(),
            suspicions: Counter::default(),
            request_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 14)),
            objects_revision: Gauge::default(),
            imported_revision: Gauge::default(),
            imported_age_ms: Gauge::default(),
            members: Gauge::default(),
            members_unreachable: Gauge::default(),
            platform_reachable: Gauge::default(),
            endpoints_known: Gauge::default(),
            load_expectations: Family::default(),
            log_lines_dropped: Counter::default(),
            entries_skipped: Gauge::default(),
            evacuated_domains: Gauge::default(),
            evacuations_age_ms: Gauge::default(),
            evacuation_refusals: Counter::default(),
            cold_endpoints: Gauge::default(),
            initial_retries_withheld: Gauge::default(),
            cold_refusals: Counter::default(),
            cold_waits: Counter::default(),
            refill_waits_skipped: Counter::default(),
            store_era: Gauge::default(),
            store_era_seen_seconds: Gauge::default(),
            objects_retained: Gauge::default(),
            objects_rewritten: Counter::default(),
            route_queries: Counter::default(),
        };
        metrics.registry = Arc::new(metrics.register());
        metrics
    }

    fn register(&self) -> Registry {
        let mut registry = Registry::default();
        let r = registry.sub_registry_with_prefix("zinniacross");
        r.register("requests", "Requests by outcome", self.requests.clone());
        r.register("retries", "Attempts after the first one of a request", self.retries.clone());
        r.register("hedges", "Second attempts started beside a running one", self.hedges.clone());
        r.register(
            "guard_retries",
            "Retries at the guard of this node by its decision",
            self.guard_retries.clone(),
        );
        r.register("fences", "Attempts fenced after an unknown outcome", self.fences.clone());
        r.register(
            "suspicions",
            "Transitions of endpoints of this node to suspect",
            self.suspicions.clone(),
        );
        r.register(
            "request_seconds",
            "Time from the request head to the response",
            self.request_seconds.clone(),
        );
        r.register(
            "objects_revision",
            "Revision of the product's objects",
            self.objects_revision.clone(),
        );
        r.register(
            "imported_revision",
            "Revision of the imported configuration",
            self.imported_revision.clone(),
        );
        r.register(
            "imported_age_ms",
            "Milliseconds since the imported configuration was known to be the newest; -1 if unknown",
            self.imported_age_ms.clone(),
        );
        r.register("members", "Other nodes of the fleet", self.members.clone());
        r.register(
            "members_unreachable",
            "Other nodes whose last exchange failed",
            self.members_unreachable.clone(),
        );
        r.register(
            "platform_reachable",
            "1 if the platform answered the last call",
            self.platform_reachable.clone(),
        );
        r.register(
            "endpoints_known",
            "Endpoints with load information",
            self.endpoints_known.clone(),
        );
        r.register(
            "load_expectations",
            "Attempts by whether a free slot was expected and what they met; with load_estimate = aged",
            self.load_expectations.clone(),
        );
        r.register(
            "log_lines_dropped",
            "Log lines dropped because the log queue was full",
            self.log_lines_dropped.clone(),
        );
        r.register(
            "entries_skipped",
            "Unusable entries of the platform's store and of announcements, counted each time that one is read",
            self.entries_skipped.clone(),
        );
        r.register(
            "evacuated_domains",
            "Evacuated failure domains, also those without any node",
            self.evacuated_domains.clone(),
        );
        r.register(
            "evacuations_age_ms",
            "Milliseconds since the evacuations of the platform were known to be the newest; -1 if unknown",
            self.evacuations_age_ms.clone(),
        );
        r.register(
            "evacuation_refusals",
            "Calls that the guard of this node refused because its failure domain is evacuated",
            self.evacuation_refusals.clone(),
        );
        r.register(
            "cold_endpoints",
            "Endpoints of this node whose rate is limited because they are cold",
            self.cold_endpoints.clone(),
        );
        r.register(
            "initial_retries_withheld",
            "1 while the endpoints of this node get no spare retries, after two starts of the node within 10 s",
            self.initial_retries_withheld.clone(),
        );
        r.register(
            "cold_refusals",
            "Calls refused by this node's guard for the rate of a cold endpoint",
            self.cold_refusals.clone(),
        );
        r.register(
            "cold_waits",
            "Calls queued by this node's guard for the rate of a cold endpoint",
            self.cold_waits.clone(),
        );
        r.register(
            "refill_waits_skipped",
            "Calls refused for the rate of their account without waiting for refill; with overload control",
            self.refill_waits_skipped.clone(),
        );
        r.register(
            "store_era",
            "Era of the platform's store, which increases with each restore; 0 if it tells none",
            self.store_era.clone(),
        );
        r.register(
            "store_era_seen_seconds",
            "Time at which that era was first seen, in seconds since 1970; 0 if none was",
            self.store_era_seen_seconds.clone(),
        );
        r.register(
            "objects_retained",
            "Objects and deletions in effect that a restored store lacks",
            self.objects_retained.clone(),
        );
        r.register(
            "objects_rewritten",
            "Objects and deletions that this node wrote again after a restore of the store",
            self.objects_rewritten.clone(),
        );
        r.register(
            "route_queries",
            "Queries of operators where a request would be routed",
            self.route_queries.clone(),
        );
        registry
    }
}
