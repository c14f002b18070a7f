//! Endpoints of a guard: announcements, drains, evacuations, cold phases and initial retries.

use model::{EndpointName, EndpointState, ServicePolicy, Slots, Time};

use super::Guard;
use crate::attempt::{AttemptDecision, Checks, DrainState};
use crate::cold::{ColdChange, ColdCounts, ColdLimit, ColdNotice};
use crate::queue::EndpointQueue;
use crate::retries::InitialRetries;

impl Guard {
    /// Adds an endpoint or updates its slots and state. Returns decisions about its queued attempts:
    /// they are started if slots have become free, and refused if the endpoint takes no calls.
    pub fn update_endpoint(
        &mut self,
        endpoint: &EndpointName,
        slots: Slots,
        state: EndpointState,
        now: Time,
        checks: &dyn Checks,
    ) -> Vec<AttemptDecision> {
        let now = self.advance_clock(now);
        let entry = self.endpoints.entry(endpoint.clone());
        let overload_control = self.limits.overload_control;
        let queue = entry.or_insert_with(|| EndpointQueue::new(slots, state, overload_control));
        queue.slots = slots;
        queue.announced_state = Some(state);
        self.start_queued(endpoint, now, checks)
    }

    /// Removes an endpoint that is no longer announced. Its queued attempts are refused; running ones
    /// continue.
    pub fn remove_endpoint(
        &mut self,
        endpoint: &EndpointName,
        now: Time,
        checks: &dyn Checks,
    ) -> Vec<AttemptDecision> {
        let now = self.advance_clock(now);
        if let Some(queue) = self.endpoints.get_mut(endpoint) {
            queue.announced_state = None;
        }
        let decisions = self.start_queued(endpoint, now, checks);
        self.remove_if_unannounced(endpoint);
        decisions
    }

    /// Applies what an announcement tells about how long its endpoint remains cold. `policy` is that of
    /// the service of the endpoint; without one the endpoint has no limit. Returns decisions about queued
    /// attempts that may start now.
    pub fn announce_cold(
        &mut self,
        endpoint: &EndpointName,
        notice: ColdNotice,
        policy: Option<ServicePolicy>,
        now: Time,
        checks: &dyn Checks,
    ) -> (ColdChange, Vec<AttemptDecision>) {
        let now = self.advance_clock(now);
        let change = self.cold.announce(endpoint, notice, policy, now);
        (change, self.start_unlimited(endpoint, change, now, checks))
    }

    /// Applies a changed policy of the service of an endpoint.
    pub fn set_service_policy(
        &mut self,
        endpoint: &EndpointName,
        policy: Option<ServicePolicy>,
        now: Time,
        checks: &dyn Checks,
    ) -> (ColdChange, Vec<AttemptDecision>) {
        let now = self.advance_clock(now);
        let change = self.cold.set_policy(endpoint, policy, now);
        (change, self.start_unlimited(endpoint, change, now, checks))
    }

    /// Starts the attempts that no limit holds back any more.
    fn start_unlimited(
        &mut self,
        endpoint: &EndpointName,
        change: ColdChange,
        now: Time,
        checks: &dyn Checks,
    ) -> Vec<AttemptDecision> {
        match change {
            ColdChange::Unchanged if !self.cold.has_policy(endpoint) => Vec::new(),
            _ => self.start_queued(endpoint, now, checks),
        }
    }

    /// Returns the calls held up by limits of cold endpoints since the last call of this function.
    pub fn take_cold_counts(&mut self) -> ColdCounts {
        self.cold.take_counts()
    }

    /// Returns the limit of an endpoint that is cold at `now`, if it has one.
    pub fn cold_limit(&self, endpoint: &EndpointName, now: Time) -> Option<ColdLimit> {
        self.cold.limit(endpoint, now)
    }

    /// Drains an endpoint, or puts a drained one back into use.
    pub fn set_drain(
        &mut self,
        endpoint: &EndpointName,
        drain: DrainState,
        now: Time,
        checks: &dyn Checks,
    ) -> Vec<AttemptDecision> {
        let now = self.advance_clock(now);
        match drain {
            DrainState::Drained => self.drained.insert(endpoint.clone()),
            DrainState::InUse => self.drained.remove(endpoint),
        };
        self.start_queued(endpoint, now, checks)
    }

    /// Begins or ends the evacuation of the failure domain of the node. While it lasts, no attempt
    /// starts at any endpoint. Queued attempts are refused when it begins; running ones continue.
    pub fn set_evacuated(
        &mut self,
        is_evacuated: bool,
        now: Time,
        checks: &dyn Checks,
    ) -> Vec<AttemptDecision> {
        let now = self.advance_clock(now);
        self.is_evacuated = is_evacuated;
        let names: Vec<EndpointName> = self.endpoints.keys().cloned().collect();
        names.iter().flat_map(|name| self.start_queued(name, now, checks)).collect()
    }

    /// Applies which retries are granted at first. Those that have been taken still count. Returns whether
    /// this withholds spare retries for longer than before.
    pub fn set_initial_retries(&mut self, initial: InitialRetries) -> bool {
        self.retries.set_initial(initial)
    }

    /// Returns whether no spare retries are granted yet.
    pub fn withholds_initial_retries(&self, now: Time) -> bool {
        self.retries.withholds_spare(now)
    }

    /// Returns whether this guard has started or queued a retry in the last [`crate::RETRY_WINDOW`].
    pub fn has_taken_retries(&self, now: Time) -> bool {
        self.retries.has_taken_lately(now)
    }
}
