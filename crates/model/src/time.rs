//! Monotonic time within one process.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// An instant on the monotonic clock of one process, in microseconds since an arbitrary epoch.
///
/// Instants of different processes must not be compared. A deadline that is sent to another process
/// is converted to the clock of the receiver.
///
/// ```
/// use model::Time;
/// use std::time::Duration;
///
/// let deadline = Time::ZERO + Duration::from_millis(5);
/// assert_eq!(deadline.since(Time::ZERO), Duration::from_millis(5));
/// assert_eq!(Time::ZERO.since(deadline), Duration::ZERO);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The epoch.
    pub const ZERO: Time = Time(0);

    /// An instant that is never reached.
    pub const NEVER: Time = Time(u64::MAX);

    /// Creates an instant from microseconds since the epoch.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Returns the microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
