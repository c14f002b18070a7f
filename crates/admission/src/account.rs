//! Usage of an endpoint by one client account, and the weight of the account in the fair queue.

use std::collections::VecDeque;
use std::time::Duration;

use model::{AttemptId, RouteName, Time};

use crate::attempt::{Attempt, RateStatus};
use crate::reserve::Urgency;

/// Half-life of the recorded usage of an account, so that old usage doesn't count against it.
pub(crate) const USAGE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Maximum credit for idle time, in mean service times: how far the usage of an account that becomes
/// active may lie below that of the active account with the least weighted usage.
const MAX_IDLE_CREDIT_CALLS: f64 = 4.0;

/// Lower bound of an account's weight, in calls per second, since usage is divided by the weight.
const MIN_WEIGHT_PER_SECOND: f64 = 0.001;

/// Divisor of the rate of an account that exceeds its rate limit. The account keeps a small share of
/// the slots, so that it is not starved while slots are scarce.
const OVER_RATE_WEIGHT_DIVISOR: f64 = 8.0;

/// An account without calls is removed once its usage has decayed to this value.
const NEGLIGIBLE_USAGE_MICROS: f64 = 1000.0;

/// A call that occupies a slot.
#[derive(Debug)]
pub(crate) struct RunningCall {
    pub(crate) id: AttemptId,
    pub(crate) route: RouteName,
    pub(crate) urgency: Urgency,
    pub(crate) started_at: Time,
}

/// Usage, running calls and queued calls of one client account.
#[derive(Debug, Default)]
pub(crate) struct AccountState {
    /// Service time used by finished calls, decayed up to `usage_updated_at`.
    usage_micros: f64,
    usage_updated_at: Time,
    pub(crate) running: Vec<RunningCall>,
    pub(crate) queue: VecDeque<Attempt>,
    /// Weight of the account in the fair queue: its rate in calls per second, reduced while it exceeds
    /// that rate.
    pub(crate) weight: f64,
}

impl AccountState {
    fn usage_micros_at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.usage_updated_at).as_secs_f64();
        self.usage_micros * (-elapsed / USAGE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Service time of finished and running calls, divided by the weight. A running call counts as at
    /// least one mean service time, so that one account doesn't take several slots that become free
    /// at the same time.
    pub(crate) fn weighted_usage(&self, now: Time, mean_service_micros: f64) -> f64 {
        let service_micros = |call: &RunningCall| {
            (now.since(call.started_at).as_micros() as f64).max(mean_service_micros)
        };
        (self.usage_micros_at(now) + self.running.iter().map(service_micros).sum::<f64>())
            / self.weight
    }

    /// Weighted usage after the queued calls have run.
    pub(crate) fn projected_weighted_usage(&self, now: Time, mean_service_micros: f64) -> f64 {
        let queued_micros = self.queue.len() as f64 * mean_service_micros;
        self.weighted_usage(now, mean_service_micros) + queued_micros / self.weight
    }

    fn set_usage_micros(&mut self, usage_micros: f64, now: Time) {
        self.usage_micros = usage_micros;
        self.usage_updated_at = now;
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Whether the account has no calls and hardly any usage, so that nothing is lost with its state.
    pub(crate) fn is_negligible(&self, now: Time) -> bool {
        self.is_idle() && self.usage_micros_at(now) <= NEGLIGIBLE_USAGE_MICROS
    }

    /// Adds the service time of a call that has finished.
    pub(crate) fn add_usage(&mut self, service_micros: f64, now: Time) {
        self.set_usage_micros(self.usage_micros_at(now) + service_micros, now);
    }

    /// Raises the usage of an account that was idle until it is at most [`MAX_IDLE_CREDIT_CALLS`] mean
    /// service times below the least weighted usage of the active accounts, so that idle time earns only a
    /// small credit.
    pub(crate) fn limit_idle_credit(
        &mut self,
        least_usage: Option<f64>,
        mean_service_micros: f64,
        now: Time,
    ) {
        let credit = MAX_IDLE_CREDIT_CALLS * mean_service_micros;
        let min_usage = least_usage.map_or(0.0, |usage| usage * self.weight - credit);
        self.set_usage_micros(self.usage_micros_at(now).max(min_usage), now);
    }
}

/// Weight of the account of a call.
pub(crate) fn weight_of(attempt: &Attempt) -> f64 {
    let divisor = match attempt.rate_status {
        RateStatus::WithinRate => 1.0,
        RateStatus::OverRate => OVER_RATE_WEIGHT_DIVISOR,
    };
    (attempt.rate.milli_per_second() as f64 / 1000.0 / divisor).max(MIN_WEIGHT_PER_SECOND)
}
