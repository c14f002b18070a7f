//! Limits, per service, on retries after attempts that put no load on an upstream.

use model::{ServiceName, Time};
use routing::UnsentRetryLimiter;

use crate::shared::{SharedMap, lock};

/// Limiters of the unsent retries of this entry, by service.
#[derive(Default)]
pub(crate) struct UnsentRetryLimiters {
    services: SharedMap<ServiceName, UnsentRetryLimiter>,
}

impl UnsentRetryLimiters {
    /// Counts a response of a service, which allows further unsent retries.
    pub(crate) fn record_answer(&self, service: &ServiceName, now: Time) {
        self.with_service(service, |limiter| limiter.record_answer(now));
    }

    /// Calls `decide` with the locked limiter of a service.
    pub(crate) fn with_service<T>(
        &self,
        service: &ServiceName,
        decide: impl FnOnce(&mut UnsentRetryLimiter) -> T,
    ) -> T {
        decide(lock(&self.services).entry(service.clone()).or_default())
    }
}
