//! Latencies of the routes at this entry, which decide when a second attempt starts.

use std::time::Duration;

use model::RouteName;
use routing::HedgePolicy;

use crate::shared::{SharedMap, lock};

/// Maximum number of routes whose latencies are kept. Beyond it, all are forgotten and learned
/// again, which costs a few late second attempts.
const MAX_ROUTES: usize = 4096;

/// Observed latencies by route.
#[derive(Default)]
pub(crate) struct RouteLatencies {
    routes: SharedMap<RouteName, HedgePolicy>,
}

impl RouteLatencies {
    /// Adds the latency of an attempt.
    pub(crate) fn observe(&self, route: &RouteName, latency: Duration) {
        let mut routes = lock(&self.routes);
        if let Some(policy) = routes.get_mut(route) {
            return policy.observe(latency);
        }
        if routes.len() >= MAX_ROUTES {
            routes.clear();
        }
        routes.entry(route.clone()).or_default().observe(latency);
    }

    /// Time after which an attempt gets a second one beside it, for requests with this timeout.
    pub(crate) fn hedge_delay(&self, route: &RouteName, timeout: Duration) -> Duration {
        let routes = lock(&self.routes);
        routes.get(route).copied().unwrap_or_default().delay(timeout)
    }
}
