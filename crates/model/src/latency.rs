//! Estimate of how long calls take.

use std::time::Duration;

/// Moving average of latencies and of their distance from it.
///
/// ```
/// use std::time::Duration;
///
/// let mut estimate = model::LatencyEstimate::default();
/// for millis in [100, 140, 100, 140] {
///     estimate.observe(Duration::from_millis(millis), 16);
/// }
/// assert_eq!(estimate.samples(), 4);
/// assert_eq!(estimate.mean(), Duration::from_millis(120));
/// assert!(estimate.upper(4) < Duration::from_millis(250));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatencyEstimate {
    mean_seconds: f64,
    deviation_seconds: f64,
    samples: u32,
}

impl LatencyEstimate {
    /// Adds a latency with a weight of 1/`divisor`, or as part of a plain average as long as there
    /// are fewer samples than that.
    pub fn observe(&mut self, latency: Duration, divisor: u32) {
        self.observe_weighted(latency, self.samples.saturating_add(1).min(divisor));
    }

    /// Adds a latency with a weight of 1/`divisor`, however many samples there are.
    pub fn observe_weighted(&mut self, latency: Duration, divisor: u32) {
        self.samples = self.samples.saturating_add(1);
        let weight = 1.0 / f64::from(divisor.max(1));
        let distance = latency.as_secs_f64() - self.mean_seconds;
        self.mean_seconds += distance * weight;
        // The first sample is its own average and says nothing about the deviation.
        if self.samples > 1 {
            self.deviation_seconds += (distance.abs() - self.deviation_seconds) * weight;
        }
    }

    /// Number of latencies observed.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Average latency.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_seconds.max(0.0))
    }

    /// The average plus `deviations` times the mean deviation from it.
    pub fn upper(&self, deviations: u32) -> Duration {
        let seconds = self.mean_seconds + f64::from(deviations) * self.deviation_seconds;
        Duration::from_secs_f64(seconds.max(0.0))
    }
}
