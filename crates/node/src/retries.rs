//! Free retries of the services.

use model::{ServiceName, Time};
use routing::FreeRetries;

use crate::shared::{Map, lock};

/// The free retries of each service at this entry.
#[derive(Default)]
pub(crate) struct ServiceRetries {
    services: Map<ServiceName, FreeRetries>,
}

impl ServiceRetries {
    /// Counts an answer.
    pub(crate) fn count_answer(&self, service: &ServiceName, now: Time) {
        self.with(service, |retries| retries.count_answer(now));
    }

    /// Runs a decision with the free retries of a service.
    pub(crate) fn with<T>(
        &self,
        service: &ServiceName,
        decide: impl FnOnce(&mut FreeRetries) -> T,
    ) -> T {
        decide(lock(&self.services).entry(service.clone()).or_default())
    }
}
