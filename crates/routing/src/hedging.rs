//! Decides when an idempotent request gets a second attempt beside a running one.
//!
//! It answers upstreams that hang: they accept a request and give no sign until its deadline, while
//! their health checks and their other requests are fine. A retry after the deadline is too late.

use std::time::Duration;

use model::LatencyEstimate;

/// Mean deviations above the mean latency after which a second attempt starts. About 1 in 20 requests
/// of a healthy service takes longer.
const HEDGE_DEVIATIONS: u32 = 3;

/// Number of latencies needed before the estimate is used.
const MIN_SAMPLES: u32 = 4;

/// A latency contributes 1/16 to the estimate.
const ESTIMATE_DIVISOR: u32 = 16;

/// The second attempt starts at the latest when this fraction of the timeout, as a divisor, is over, so
/// that it has as much time as the first one had.
const MAX_DELAY_DIVISOR: u32 = 2;

/// Shortest delay. A busy node with a fifth of a core adds delays of this size to any request.
const MIN_DELAY: Duration = Duration::from_millis(30);

/// Latencies of a route, and the delay of second attempts that follows from them.
///
/// ```
/// use std::time::Duration;
///
/// use routing::HedgePolicy;
///
/// let timeout = Duration::from_millis(1000);
/// let mut policy = HedgePolicy::default();
/// assert_eq!(policy.delay(timeout), Duration::from_millis(500));
/// for millis in [100, 120, 100, 120, 100, 120] {
///     policy.observe(Duration::from_millis(millis));
/// }
/// assert!(policy.delay(timeout) < Duration::from_millis(200));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct HedgePolicy {
    latency: LatencyEstimate,
}

impl HedgePolicy {
    /// Adds the latency of an attempt. Attempts that are abandoned count with the time that they took
    /// until then.
    pub fn observe(&mut self, latency: Duration) {
        self.latency.observe(latency, ESTIMATE_DIVISOR);
    }

    /// Time from the start of an attempt to that of a second one, for a request with this timeout.
    pub fn delay(&self, timeout: Duration) -> Duration {
        let latest = timeout / MAX_DELAY_DIVISOR;
        match self.latency.samples() {
            ..MIN_SAMPLES => latest,
            _ => self.latency.upper(HEDGE_DEVIATIONS).max(MIN_DELAY).min(latest),
        }
    }
}
