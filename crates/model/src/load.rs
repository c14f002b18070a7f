//! Load of an endpoint as its guard sees it.

use std::time::Duration;

use crate::units::Slots;

/// What a guard reports to entries about an endpoint with each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that the endpoint runs at the same time.
    pub slots: Slots,
    /// Calls that run now.
    pub running: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Moving average of the time that a call runs.
    pub mean_service: Duration,
}

impl LoadReport {
    /// Time that one more call is expected to wait for a slot.
    ///
    /// ```
    /// use model::{LoadReport, Slots};
    /// use std::time::Duration;
    ///
    /// let mean_service = Duration::from_millis(30);
    /// let load = LoadReport { slots: Slots(3), running: 3, queued: 1, mean_service };
    /// assert_eq!(load.expected_wait(), Duration::from_millis(20));
    /// ```
    pub fn expected_wait(&self) -> Duration {
        let slots = self.slots.0.max(1);
        let ahead = (self.running + self.queued + 1).saturating_sub(slots);
        self.mean_service * ahead / slots
    }
}
