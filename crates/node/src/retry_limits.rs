//! Limits on the retries that the guard of this node accepts.

use admission::RetryLimit;
use wire::Call;

use crate::shared::{Node, lock, read};

/// Percentage of a service's spare retries that is split among its endpoints. The rest is a margin:
/// each node divides by the number of endpoints that it knows of, and nodes disagree on that number
/// while it changes.
const ASSIGNED_SPARE_RETRIES_PERCENT: u32 = 75;

/// The part of the spare retries of a service that the endpoint of a call may accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RetryPart {
    /// Number of endpoints among which the spare retries are divided.
    pub(crate) endpoints: usize,
}

impl RetryPart {
    /// The part of the endpoint of a call, as this node knows the service now.
    pub(crate) fn of(node: &Node, call: &Call) -> RetryPart {
        let service = lock(&node.announcements).endpoint(&call.endpoint).map(|e| e.service.clone());
        let endpoints =
            service.map_or(1, |service| read(&node.directory).endpoints_of(&service).len().max(1));
        RetryPart { endpoints }
    }

    /// Retry limit of the endpoint: the retry budget of the route, and its part of the spare retries.
    pub(crate) fn limit(self, node: &Node, call: &Call) -> RetryLimit {
        let share =
            read(&node.config).route_by_name(&call.route).map(|route| route.policy().retry_budget);
        let spare = u64::from(node.settings.upstream.spare_retries);
        let spare_milli =
            spare * u64::from(ASSIGNED_SPARE_RETRIES_PERCENT) * 10 / self.endpoints as u64;
        let spare_milli = u32::try_from(spare_milli).unwrap_or(u32::MAX);
        RetryLimit { share: share.unwrap_or_default(), spare_milli }
    }
}
