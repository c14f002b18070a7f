//! Demand of an account at an entry node.

use std::time::Duration;

use model::Time;

/// Length of the window over which demand is measured. An entry node requests tokens for one window
/// ahead.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// Sliding-window estimate of the calls per window: the calls of the current window, plus those of
/// the previous window in proportion to its overlap with a window that ends now.
#[derive(Debug, Clone)]
pub(crate) struct Demand {
    /// Start of the current window.
    started: Time,
    current: u32,
    previous: u32,
}

impl Demand {
    pub(crate) fn new(now: Time) -> Demand {
        Demand { started: now, current: 0, previous: 0 }
    }

    /// Starts a new window if the current one has ended.
    pub(crate) fn advance(&mut self, now: Time) {
        let windows = now.since(self.started).as_micros() / DEMAND_WINDOW.as_micros();
        if windows == 0 {
            return;
        }
        self.previous = if windows == 1 { self.current } else { 0 };
        self.current = 0;
        let windows = u32::try_from(windows).unwrap_or(u32::MAX);
        self.started = self.started + DEMAND_WINDOW.saturating_mul(windows);
    }

    /// Counts a call.
    pub(crate) fn count(&mut self) {
        self.current = self.current.saturating_add(1);
    }

    /// Returns the estimated number of calls per window.
    pub(crate) fn per_window(&self, now: Time) -> u32 {
        let window = DEMAND_WINDOW.as_micros() as u64;
        let overlap = window.saturating_sub(now.since(self.started).as_micros() as u64);
        let previous = u64::from(self.previous) * overlap / window;
        self.current.saturating_add(previous as u32)
    }
}
