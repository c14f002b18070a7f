//! The largest size in the last seconds.

use std::collections::VecDeque;

use model::Time;

use crate::retries::RETRY_WINDOW;

/// Largest number of endpoints that a service has had in the last [`RETRY_WINDOW`].
///
/// The guards of a service divide its spare retries by this number. If endpoints go, those that are left
/// must not share the retries of the others as long as these still count.
///
/// ```
/// use admission::RecentPeak;
/// use model::Time;
///
/// let at = |seconds: u64| Time::from_micros(seconds * 1_000_000);
/// let mut peak = RecentPeak::default();
/// assert_eq!(peak.observe(8, at(0)), 8);
/// assert_eq!(peak.observe(2, at(5)), 8);
/// assert_eq!(peak.observe(3, at(14)), 8);
/// assert_eq!(peak.observe(3, at(15)), 3);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RecentPeak {
    /// Sizes that no later one exceeds, in decreasing order, each with the time until which it counts.
    sizes: VecDeque<(usize, Time)>,
}

impl RecentPeak {
    /// Records the size at `now` and returns the largest recent one. The previous size is taken to have lasted
    /// until now. Times must not decrease.
    pub fn observe(&mut self, size: usize, now: Time) -> usize {
        let counts_until = now + RETRY_WINDOW;
        if let Some((_, until)) = self.sizes.back_mut() {
            *until = counts_until;
        }
        while self.sizes.back().is_some_and(|(last, _)| *last <= size) {
            self.sizes.pop_back();
        }
        self.sizes.push_back((size, counts_until));
        while self.sizes.front().is_some_and(|(_, until)| *until <= now) {
            self.sizes.pop_front();
        }
        self.sizes.front().map_or(size, |(largest, _)| *largest)
    }
}
