//! The time of this process.

use std::time::Instant;

use model::Time;
use peer::Clock;

/// Reads the monotonic clock of the operating system.
pub(crate) struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    pub(crate) fn new() -> MonotonicClock {
        MonotonicClock { start: Instant::now() }
    }

    /// The instant of the runtime's timers at which this clock shows `time`.
    pub(crate) fn instant(&self, time: Time) -> tokio::time::Instant {
        let since_start = time.since(Time::ZERO);
        let far = std::time::Duration::from_secs(86_400);
        let instant = self.start.checked_add(since_start).unwrap_or_else(|| Instant::now() + far);
        instant.into()
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }
}
