//! Service time and served share of the calls of one route at an endpoint.

use model::Time;

use crate::account::USAGE_HALF_LIFE;

/// Steps in which the served shares of routes are compared, well below the difference of 5 in 100 that
/// users care about.
pub(crate) const SERVED_SHARE_STEPS: f64 = 64.0;

/// Recent calls of a route below which its served share is not compared.
const MIN_RECENT_CALLS: f64 = 4.0;

/// Service time and recent calls of one route. Calls of accounts that exceed their rate are not counted: a
/// flood of them must not make their route look badly served.
#[derive(Debug, Default)]
pub(crate) struct RouteState {
    /// Zero until the first call has finished.
    pub(crate) mean_service_micros: f64,
    /// Calls that arrived, decayed up to `updated_at`.
    arrived: f64,
    /// Calls that were started, decayed up to `updated_at`.
    started: f64,
    updated_at: Time,
}

impl RouteState {
    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let factor = (-elapsed / USAGE_HALF_LIFE.as_secs_f64()).exp2();
        self.arrived *= factor;
        self.started *= factor;
        self.updated_at = now;
    }

    /// Share of the recent calls that were started. All of them, if there were few.
    pub(crate) fn served_share(&self) -> u8 {
        match self.arrived < MIN_RECENT_CALLS {
            true => SERVED_SHARE_STEPS as u8,
            false => (SERVED_SHARE_STEPS * (self.started / self.arrived).min(1.0)) as u8,
        }
    }

    /// Counts a call that has arrived.
    pub(crate) fn record_arrival(&mut self, now: Time) {
        self.decay(now);
        self.arrived += 1.0;
    }

    /// Counts a call that was started.
    pub(crate) fn record_start(&mut self, now: Time) {
        self.decay(now);
        self.started += 1.0;
    }
}
