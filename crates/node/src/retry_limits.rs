//! Limits on the retries that the guard of this node accepts.

use admission::{RETRY_WINDOW, RecentPeak, RetryLimit};
use model::{Endpoint, Percent, RouteName, ServiceName, Time};

use crate::shared::{Node, SharedMap, lock, read};

/// Percentage of a service's spare retries that is split among its endpoints. The rest is a margin for
/// guards that start again, and for nodes that know different numbers of endpoints.
const ASSIGNED_SPARE_RETRIES_PERCENT: u64 = 75;

/// Percentage of the retry budget of a route that its calls allow at a guard. The rest is a margin for guards
/// that start again, and for calls that result from retries, whose number is only an estimate.
const ASSIGNED_SHARE_PERCENT: u16 = 70;

/// Smallest share that can be represented, apart from none.
const ONE_PERCENT: Percent = Percent::new(1).expect("1% is a percentage");

/// How many endpoints the services of this node's own endpoints have had lately.
#[derive(Default)]
pub(crate) struct ServiceSizes {
    services: SharedMap<ServiceName, ServiceSize>,
}

#[derive(Default)]
struct ServiceSize {
    peak: RecentPeak,
    /// Time until which the peak is needed although no endpoint of the service is at this node: one that is
    /// removed may come back.
    kept_until: Time,
}

impl ServiceSizes {
    /// Records the present sizes, also of services without calls, and forgets those that this node has had no
    /// endpoint of for a while.
    pub(crate) fn observe_all(&self, node: &Node) {
        let own: Vec<ServiceName> = lock(&node.announcements).services().cloned().collect();
        for service in &own {
            self.observe(node, service);
        }
        let (now, directory) = (node.now(), read(&node.directory));
        lock(&self.services).retain(|service, size| {
            size.peak.observe(directory.endpoints_of(service).len(), now);
            now < size.kept_until
        });
    }

    /// Records the present size of the service of an own endpoint, and returns the largest one lately.
    fn observe(&self, node: &Node, service: &ServiceName) -> usize {
        let endpoints = read(&node.directory).endpoints_of(service).len();
        let mut services = lock(&self.services);
        let now = node.now();
        let size = match services.get_mut(service) {
            Some(size) => size,
            None => services.entry(service.clone()).or_default(),
        };
        size.kept_until = now + RETRY_WINDOW;
        size.peak.observe(endpoints, now)
    }
}

/// The part of the spare retries of a service that the guard of this node may accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RetryPart {
    /// Number of endpoints of the service at this node.
    own: usize,
    /// Number of endpoints among which the spare retries are divided. `None` while this node does not know
    /// the others yet, and has no part.
    pub(crate) endpoints: Option<usize>,
}

impl RetryPart {
    /// The part of this node in the retries of the service of its endpoint `endpoint`, as it knows the service
    /// now.
    pub(crate) fn of(node: &Node, endpoint: &Endpoint) -> RetryPart {
        let service: &ServiceName = &endpoint.service;
        let own = lock(&node.announcements).endpoints_of(service).max(1);
        let endpoints = node.service_sizes.observe(node, service).max(own);
        RetryPart { own, endpoints: node.platform.is_loaded().then_some(endpoints) }
    }

    /// Retry limit of the service at this guard: the retry budget of the route, and the part of the spare
    /// retries.
    pub(crate) fn limit(self, node: &Node, route: &RouteName) -> RetryLimit {
        let budget =
            read(&node.config).route_by_name(route).map(|route| route.policy().retry_budget);
        let share = assigned_share(budget.unwrap_or_default());
        let spare = u64::from(node.settings.upstream.spare_retries);
        let assigned_milli = spare * ASSIGNED_SPARE_RETRIES_PERCENT * 10;
        let of_each = |endpoints| assigned_milli * self.own as u64 / endpoints as u64;
        let spare_milli = self.endpoints.map_or(0, of_each);
        let spare_milli = u32::try_from(spare_milli).unwrap_or(u32::MAX);
        RetryLimit { share, spare_milli }
    }
}

/// The part of a retry budget that calls allow at a guard: at least 1% of them, unless the budget is 0.
fn assigned_share(budget: Percent) -> Percent {
    let assigned = u16::from(budget.value()) * ASSIGNED_SHARE_PERCENT / 100;
    Percent::new(assigned as u8).unwrap_or_default().max(budget.min(ONE_PERCENT))
}
