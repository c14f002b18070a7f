//! Intervals that keep the time until an evacuation is in effect below its bound.

use std::time::Duration;

/// Longest age of a confirmation by the platform. With the delays of a call to a slow platform, a
/// silent connection and its retry, the state is at most 4.3 s old, of the 5 s that are allowed on
/// today's deployment. Each call is billed: with 1.5 s there were 42% more calls on a calm day.
const MAX_CONFIRM_WITHIN: Duration = Duration::from_millis(2500);

/// Longest wait of a watch. Each end of a watch confirms the state, so that the readers confirm it
/// more often than the other nodes would ask for it.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1600);

/// Shortest interval, whatever the bound is. Each call is billed.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Shares of the bound, as divisors.
const CONFIRM_DIVISOR: u32 = 2;
const WATCH_DIVISOR: u32 = 3;

/// How often the platform is asked for the evacuated failure domains.
///
/// ```
/// use evacuation::Pace;
/// use std::time::Duration;
///
/// let pace = Pace::for_bound(Duration::from_secs(5));
/// assert_eq!(pace.confirm_within, Duration::from_millis(2500));
/// assert_eq!(pace.watch_wait, Duration::from_millis(1600));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Age of a confirmation from which a node asks the platform itself.
    pub confirm_within: Duration,
    /// Wait time of the watches of a reader.
    pub watch_wait: Duration,
}

impl Pace {
    /// Returns the intervals for an evacuation that has to be in effect within `bound`.
    pub fn for_bound(bound: Duration) -> Pace {
        Pace {
            confirm_within: (bound / CONFIRM_DIVISOR).clamp(MIN_INTERVAL, MAX_CONFIRM_WITHIN),
            watch_wait: (bound / WATCH_DIVISOR).clamp(MIN_INTERVAL, MAX_WATCH_WAIT),
        }
    }
}
