//! Metrics of the node.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// How a request ended, as a label.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndLabel {
    /// `answered`, or the number of the result code.
    pub(crate) end: String,
}

/// The metrics and their registry.
pub(crate) struct Metrics {
    pub(crate) registry: Arc<Registry>,
    pub(crate) requests: Family<EndLabel, Counter>,
    pub(crate) retries: Counter,
    pub(crate) fences: Counter,
    pub(crate) ejections: Counter,
    pub(crate) seconds: Histogram,
    pub(crate) revision: Gauge,
    pub(crate) lease_valid: Gauge,
    pub(crate) members_alive: Gauge,
    pub(crate) platform_silence: Gauge<f64, AtomicU64>,
    pub(crate) partitions: Gauge,
    pub(crate) loads: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Arc::default(),
            requests: Family::default(),
            retries: Counter::default(),
            fences: Counter::default(),
            ejections: Counter::default(),
            seconds: Histogram::new(exponential_buckets(0.0005, 2.0, 16)),
            revision: Gauge::default(),
            lease_valid: Gauge::default(),
            members_alive: Gauge::default(),
            platform_silence: Gauge::default(),
            partitions: Gauge::default(),
            loads: Gauge::default(),
        };
        metrics.registry = Arc::new(metrics.register());
        metrics
    }

    fn register(&self) -> Registry {
        let mut registry = Registry::default();
        let r = registry.sub_registry_with_prefix("zinniacross");
        r.register("requests", "Requests by how they ended", self.requests.clone());
        r.register("retries", "Further attempts made", self.retries.clone());
        r.register("fences", "Attempts fenced after an unknown outcome", self.fences.clone());
        r.register("ejections", "Ejections decided by this node", self.ejections.clone());
        r.register("request_seconds", "Time from head to answer", self.seconds.clone());
        r.register("config_revision", "Revision of the configuration", self.revision.clone());
        r.register("lease_valid", "1 while keys may be accepted", self.lease_valid.clone());
        r.register("members_alive", "Members heard from in 2 s", self.members_alive.clone());
        r.register(
            "platform_silence_seconds",
            "Time since any node reached the platform",
            self.platform_silence.clone(),
        );
        r.register("endpoints_known", "Endpoints with known load", self.loads.clone());
        r.register("partitions_owned", "Partitions owned", self.partitions.clone());
        registry
    }
}
