//! Load of an endpoint, measured by the node in front of it.

use std::time::Duration;

use crate::units::Slots;

/// Load of an endpoint. The node in front of the endpoint sends it to the entry nodes with each
/// response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Maximum number of concurrent calls.
    pub slots: Slots,
    /// Number of running calls.
    pub running: u32,
    /// Number of calls that wait for a slot.
    pub queued: u32,
    /// Moving average of the service time of a call.
    pub mean_service: Duration,
}

impl LoadReport {
    /// Estimates how long one more call would wait for a slot.
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
