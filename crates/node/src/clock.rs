//! The clocks of this process.

use std::time::{Duration, Instant};

use model::Time;
use peer::Clock;
use rustix::time::{ClockId, Timespec, clock_gettime};

/// Delay that stands for a time too far in the future to represent.
const FAR_FUTURE: Duration = Duration::from_secs(86_400);

/// Monotonic clock that starts at zero with the process.
pub(crate) struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    pub(crate) fn new() -> MonotonicClock {
        MonotonicClock { start: Instant::now() }
    }

    /// Converts a time of this clock to an instant for tokio timers. A time that an instant can't
    /// represent becomes one day from now.
    pub(crate) fn to_instant(&self, time: Time) -> tokio::time::Instant {
        let since_start = time.since(Time::ZERO);
        let instant = self.start.checked_add(since_start);
        let instant = instant.unwrap_or_else(|| Instant::now() + FAR_FUTURE);
        instant.into()
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }
}

/// Clock that starts at zero with the process and, unlike [`MonotonicClock`], counts the time for which the
/// machine is suspended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SuspendAwareClock {
    start: Duration,
}

impl SuspendAwareClock {
    pub(crate) fn new() -> SuspendAwareClock {
        SuspendAwareClock { start: since_boot() }
    }

    pub(crate) fn now(&self) -> Time {
        Time::ZERO + since_boot().saturating_sub(self.start)
    }
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    Duration::new(tv_sec as u64, tv_nsec as u32)
}
