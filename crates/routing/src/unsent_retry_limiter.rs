//! Limit on retries after attempts that put no load on an upstream.

use std::collections::VecDeque;

use model::Time;

/// Length of the sliding window, in seconds. A short window keeps an outage from spending the
/// retries accumulated over a long period without failures.
const WINDOW_SECONDS: u64 = 4;

/// Retries allowed per window regardless of the number of answers. Enough for two calls that each
/// find no reachable node before the eighth.
const MIN_RETRIES_PER_WINDOW: u64 = 16;

/// Result of [`UnsentRetryLimiter::request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The retry is allowed and has been counted.
    Granted,
    /// No further retry is allowed in this window.
    Exhausted,
}

/// Counts of one second of the window.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    second: u64,
    answers: u64,
    retries: u64,
}

/// Limits the retries that an entry node makes after attempts that did not run and put no load on
/// the upstreams of a service.
///
/// Each such retry costs a round trip, which is wasted if nothing answers. Their number in the
/// sliding window is limited to the number of answers, with a fixed minimum for nodes that receive
/// few calls. Retries of attempts that did cause work at an upstream are limited by admission
/// control at the node that receives them.
///
/// ```
/// use model::Time;
/// use routing::{UnsentRetryLimiter, Grant};
///
/// let mut limiter = UnsentRetryLimiter::default();
/// (0..50).for_each(|_| limiter.record_answer(Time::ZERO));
/// let granted = (0..60).filter(|_| limiter.request(Time::ZERO) == Grant::Granted).count();
/// assert_eq!(granted, 50);
/// ```
#[derive(Debug, Clone, Default)]
pub struct UnsentRetryLimiter {
    buckets: VecDeque<Bucket>,
}

impl UnsentRetryLimiter {
    /// Counts an answer that is not an upstream failure.
    pub fn record_answer(&mut self, now: Time) {
        self.current(now).answers += 1;
    }

    /// Requests one retry, and counts it if it is granted.
    pub fn request(&mut self, now: Time) -> Grant {
        self.current(now);
        let answers: u64 = self.buckets.iter().map(|bucket| bucket.answers).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        if retries >= answers.max(MIN_RETRIES_PER_WINDOW) {
            return Grant::Exhausted;
        }
        self.current(now).retries += 1;
        Grant::Granted
    }

    /// Drops expired buckets and returns the bucket of the current second.
    fn current(&mut self, now: Time) -> &mut Bucket {
        let second = now.as_micros() / 1_000_000;
        while self.buckets.front().is_some_and(|oldest| oldest.second + WINDOW_SECONDS <= second) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|newest| newest.second < second) {
            self.buckets.push_back(Bucket { second, answers: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
