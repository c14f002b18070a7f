//! Load-balancing weight of the path from an entry node to an endpoint.

use std::fmt;
use std::time::Duration;

use model::Time;

/// Percentage of its normal load that an endpoint receives, from 0 to 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Weight(u8);

impl Weight {
    /// The normal load.
    pub const FULL: Weight = Weight(100);

    /// Creates a weight; values above 100 are clamped to 100.
    pub const fn new(weight: u8) -> Weight {
        if weight > 100 { Weight::FULL } else { Weight(weight) }
    }

    /// Returns the weight as a number from 0 to 100.
    pub const fn value(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

/// Half-life of the recorded failures, successes and latencies.
const DECAY_HALF_LIFE: Duration = Duration::from_secs(2);

/// Successful calls assumed in addition to the recorded ones, so that one early failure does not take
/// all weight from a path.
const PRIOR_SUCCESSES: f64 = 3.0;

/// A path is slow if its mean latency exceeds the expected latency by more than this factor.
const SLOW_LATENCY_FACTOR: f64 = 2.0;

/// Recent failures and latency of one path. The weight never reaches 0, because the penalty is a local
/// decision of one entry node and must not eject the endpoint.
///
/// ```
/// use std::time::Duration;
///
/// use health::{PathPenalty, Weight};
/// use model::Time;
///
/// let mut path = PathPenalty::default();
/// for _ in 0..5 {
///     path.record_failure(Time::ZERO);
/// }
/// let expected = Some(Duration::from_millis(50));
/// assert!(path.weight(Time::ZERO, expected) < Weight::new(60));
/// let later = Time::ZERO + Duration::from_secs(30);
/// assert_eq!(path.weight(later, expected), Weight::FULL);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PathPenalty {
    failures: f64,
    successes: f64,
    latency_sum_seconds: f64,
    updated_at: Time,
}

impl PathPenalty {
    /// Records an answered call.
    pub fn record_success(&mut self, latency: Duration, now: Time) {
        self.apply_decay(now);
        self.successes += 1.0;
        self.latency_sum_seconds += latency.as_secs_f64();
    }

    /// Records a failed call or a lost connection.
    pub fn record_failure(&mut self, now: Time) {
        self.apply_decay(now);
        self.failures += 1.0;
    }

    /// Returns the weight at `now`. `expected` is the normal latency of the route; if it is unknown, the
    /// latency of the path is ignored.
    pub fn weight(&self, now: Time, expected: Option<Duration>) -> Weight {
        let decay = self.decay_factor(now);
        let failures = self.failures * decay;
        let successes = self.successes * decay;
        let success_ratio =
            (successes + PRIOR_SUCCESSES) / (failures + successes + PRIOR_SUCCESSES);
        let latency_ratio = expected.map_or(1.0, |expected| {
            let expected = expected.as_secs_f64().max(1e-6);
            let sum = self.latency_sum_seconds * decay + expected * PRIOR_SUCCESSES;
            sum / (successes + PRIOR_SUCCESSES) / expected
        });
        let latency_factor = if latency_ratio > SLOW_LATENCY_FACTOR {
            SLOW_LATENCY_FACTOR / latency_ratio
        } else {
            1.0
        };
        Weight::new((100.0 * success_ratio * latency_factor).round().max(1.0) as u8)
    }

    fn apply_decay(&mut self, now: Time) {
        let decay = self.decay_factor(now);
        self.failures *= decay;
        self.successes *= decay;
        self.latency_sum_seconds *= decay;
        self.updated_at = self.updated_at.max(now);
    }

    fn decay_factor(&self, now: Time) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / DECAY_HALF_LIFE.as_secs_f64()).exp2()
    }
}
