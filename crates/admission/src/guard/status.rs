//! What a guard tells about its state.

use std::time::Duration;

use model::{AttemptId, EndpointName, LoadReport, Percent, Time};

use super::{ActiveAttempt, Guard};
use crate::attempt::StopState;
use crate::ledger::AttemptState;
use crate::limits::OverloadControl;
use crate::queue::EndpointQueue;

/// Longest difference between the deadline of a request that an upstream makes and that of the attempt on
/// whose behalf it makes it. The upstream computes the former from the time left, with its own delays.
const MAX_ORIGIN_DISTANCE: Duration = Duration::from_millis(50);

/// Deadlines are passed on in whole milliseconds, at two hops.
const DEADLINE_RESOLUTION: Duration = Duration::from_millis(2);

impl Guard {
    /// Returns the earliest time at which [`Guard::tick`] has something to decide: the first
    /// `queue_until` of the queued attempts, the time at which one of them can't reach its goal any more,
    /// or the time at which the limit of a cold endpoint allows one of them to start.
    pub fn next_queue_deadline(&self) -> Option<Time> {
        let deadlines = self.endpoints.values().filter_map(EndpointQueue::earliest_queue_deadline);
        let reviews = match self.limits.overload_control {
            OverloadControl::On => Some(self.endpoints.values()),
            OverloadControl::Off => None,
        };
        let reviews = reviews.into_iter().flatten();
        let reviews = reviews.filter_map(|queue| queue.next_review(self.now));
        let limited = self.endpoints.keys().filter(|name| self.waits_for_limit(name));
        let starts = limited.map(|name| self.cold.start_time(name, 0, self.now));
        deadlines.chain(reviews).chain(starts).min()
    }

    /// Returns whether attempts are queued although a slot is free, because their endpoint is cold. The
    /// caller then has to look at [`Guard::next_queue_deadline`] again.
    pub fn has_limited_attempts(&self) -> bool {
        self.endpoints.keys().any(|name| self.waits_for_limit(name))
    }

    fn waits_for_limit(&self, endpoint: &EndpointName) -> bool {
        let has_free_slot = |queue: &EndpointQueue| queue.has_queued() && queue.has_free_slot();
        self.cold.has_policy(endpoint) && self.endpoints.get(endpoint).is_some_and(has_free_slot)
    }

    /// Returns the number of endpoints that are cold and have a limit.
    pub fn cold_endpoints(&self) -> usize {
        self.cold.limited(self.now)
    }

    /// Returns the progress of a graceful shutdown.
    pub fn stop_state(&self) -> StopState {
        match self.active.len() {
            _ if !self.is_stopping => StopState::Serving,
            0 => StopState::Empty,
            calls => StopState::Finishing { calls },
        }
    }

    /// Returns the load of an endpoint, which is sent to other nodes with answers and tables.
    /// The slots of a cold endpoint are those that its limit allows to be used.
    pub fn load(&self, endpoint: &EndpointName) -> Option<LoadReport> {
        let load = self.endpoints.get(endpoint)?.load();
        Some(LoadReport { slots: self.cold.slots_on_offer(endpoint, &load, self.now), ..load })
    }

    /// Returns the probability that a request which an upstream of this node sends now results from a retry.
    /// `deadline` is the time until which the upstream waits for the answer. A request that an upstream
    /// makes on behalf of another one has the same deadline, up to delays in the upstream, which tells
    /// the running attempts apart. If none fits, it is the share of retries among all of them.
    pub fn retry_origin(&self, deadline: Option<Time>) -> Percent {
        let is_running = |id: &AttemptId| self.ledger.state(*id) == Some(AttemptState::Running);
        let running = self.active.iter().filter(|(id, _)| is_running(id)).map(|(_, active)| active);
        let running: Vec<&ActiveAttempt> = running.collect();
        let distance = |active: &ActiveAttempt| {
            let start_by = active.start_by;
            deadline.map_or(Duration::MAX, |at| at.since(start_by).max(start_by.since(at)))
        };
        let nearest = running.iter().map(|active| distance(active)).min();
        let limit = match nearest {
            Some(nearest) if nearest <= MAX_ORIGIN_DISTANCE => nearest + DEADLINE_RESOLUTION,
            _ => Duration::MAX,
        };
        let origins = running.iter().filter(|active| distance(active) <= limit);
        let percents = origins.map(|active| u32::from(active.kind.retry_percent()));
        let (sum, count) =
            percents.fold((0, 0), |(sum, count), percent| (sum + percent, count + 1));
        Percent::new((sum / count.max(1)) as u8).unwrap_or_default()
    }

    /// Returns the number of recorded attempts.
    pub fn ledger_len(&self) -> usize {
        self.ledger.len()
    }
}
