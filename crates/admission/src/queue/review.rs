//! Forecasts for the calls of a queue, and the review of those that are late for their goal.

use std::time::Duration;

use model::{AttemptId, Time};

use super::EndpointQueue;
use crate::attempt::Attempt;
use crate::forecast::Forecast;

/// Fraction of the time until a call misses its goal that its expected wait may take up. Waits vary, and
/// during an overload most calls are accepted close to this limit: without a margin half of them would
/// become late in the queue.
const USABLE_SLACK_FRACTION: f64 = 0.5;

/// Interval between forecasts for a queued call that is late for its goal. Refused within it, a call has
/// most of its time left for another endpoint.
const LATE_REVIEW_INTERVAL: Duration = Duration::from_millis(100);

impl EndpointQueue {
    /// Forecasts whether a call that is queued now, or was before, gets a slot in time, given the share of
    /// the slots that calls of its class have got lately.
    pub(crate) fn forecast(&mut self, attempt: &Attempt, now: Time) -> Forecast {
        self.activate_account(attempt, now);
        let order = self.start_order(attempt, now);
        let class = order.class();
        let slot_interval = self.slot_interval();
        let ahead = self.queued_before(attempt, now);
        let wait = self.grants.expected_wait(class, ahead, slot_interval, now);
        let slack = attempt.goal_by.map(|goal_by| {
            let latest_start = goal_by - self.mean_service_time(attempt);
            latest_start.since(now).mul_f64(USABLE_SLACK_FRACTION)
        });
        let meets_goal = !class.misses_goal && slack.is_none_or(|slack| wait <= slack);
        if meets_goal && self.has_time_for(attempt, wait, now) {
            return Forecast::MeetsGoal;
        }
        let late = class.late();
        let queued = self.accounts.values().flat_map(|state| &state.queue);
        let others = queued.filter(|other| other.id != attempt.id);
        let ahead = others.filter(|other| self.start_order(other, now).class() <= late).count();
        let wait = self.grants.expected_wait(late, ahead as u32, slot_interval, now);
        match self.has_time_for(attempt, wait, now) {
            true => Forecast::StartsLate,
            false => Forecast::Starves,
        }
    }

    /// Whether a call that waits for so long still has time to run.
    fn has_time_for(&self, attempt: &Attempt, wait: Duration, now: Time) -> bool {
        let has_time_to_run = attempt.start_by.since(now) >= wait + self.min_time_to_run(attempt);
        has_time_to_run && attempt.queue_until.since(now) > wait
    }

    /// Mean time between two slots that become free while all are in use.
    fn slot_interval(&self) -> Duration {
        Duration::from_micros((self.mean_service_micros / f64::from(self.slots.0.max(1))) as u64)
    }

    /// Removes the queued calls that are late for their goal and unlikely to get a slot in time, ordered by
    /// attempt id.
    pub(crate) fn remove_starving(&mut self, now: Time) -> Vec<Attempt> {
        let queued = self.accounts.values().flat_map(|state| &state.queue);
        let late = queued.filter(|attempt| self.start_order(attempt, now).misses_goal);
        let late: Vec<Attempt> = late.cloned().collect();
        let starving =
            late.iter().filter(|attempt| self.forecast(attempt, now) == Forecast::Starves);
        let starving: Vec<AttemptId> = starving.map(|attempt| attempt.id).collect();
        self.remove_queued_if(|attempt| starving.contains(&attempt.id))
    }

    /// Returns when the next queued call becomes late for its goal, or is looked at again if it is late
    /// already.
    pub(crate) fn next_review(&self, now: Time) -> Option<Time> {
        let queued = self.accounts.values().flat_map(|state| &state.queue);
        let review = |attempt: &Attempt| {
            let latest_start = attempt.goal_by? - self.mean_service_time(attempt);
            Some(latest_start.max(now + LATE_REVIEW_INTERVAL))
        };
        queued.filter_map(review).min()
    }
}
