//! Demand of an account at an entry.

use std::time::Duration;

use model::Time;

/// Demand is counted over windows of this length; an entry requests tokens for one window ahead.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// Calls per window: the calls of the current window, plus the part of the previous window that a
/// window ending now covers.
#[derive(Debug)]
pub(crate) struct Demand {
    started: Time,
    current: u32,
    previous: u32,
}

impl Demand {
    pub(crate) fn new(now: Time) -> Demand {
        Demand { started: now, current: 0, previous: 0 }
    }

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

    pub(crate) fn count(&mut self) {
        self.current = self.current.saturating_add(1);
    }

    pub(crate) fn per_window(&self, now: Time) -> u32 {
        let window = DEMAND_WINDOW.as_micros() as u64;
        let left = window.saturating_sub(now.since(self.started).as_micros() as u64);
        let previous = u64::from(self.previous) * left / window;
        self.current.saturating_add(previous as u32)
    }
}
