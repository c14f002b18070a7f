//! Free retries by service: retries that put no load on an upstream.

use model::{ServiceName, Time};
use routing::FreeRetries;

use crate::shared::{SharedMap, lock};

/// The free retries that this entry may make, by service.
#[derive(Default)]
pub(crate) struct FreeRetriesByService {
    services: SharedMap<ServiceName, FreeRetries>,
}

impl FreeRetriesByService {
    /// Counts a response of a service, which earns free retries.
    pub(crate) fn count_answer(&self, service: &ServiceName, now: Time) {
        self.with_service(service, |retries| retries.count_answer(now));
    }

    /// Calls `decide` with the locked free retries of a service.
    pub(crate) fn with_service<T>(
        &self,
        service: &ServiceName,
        decide: impl FnOnce(&mut FreeRetries) -> T,
    ) -> T {
        decide(lock(&self.services).entry(service.clone()).or_default())
    }
}
