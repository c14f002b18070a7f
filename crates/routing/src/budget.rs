//! Budget of retries of a route.

use std::collections::VecDeque;

use model::{Percent, Time};

/// Seconds over which retries are compared with calls. A short window keeps an outage from using
/// up at once what a long calm period has earned.
const WINDOW_SECONDS: u64 = 4;

/// Retries that are granted each second whatever the share, so that a route with few calls can
/// retry at all.
const MIN_RETRIES_PER_SECOND: u64 = 3;

/// Answer of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The retry may be made and has been charged.
    Granted,
    /// The budget is used up.
    Exhausted,
}

#[derive(Debug, Clone, Copy)]
struct Second {
    second: u64,
    calls: u64,
    retries: u64,
}

/// Retries that a route may make, as a share of its calls, at one entry.
///
/// ```
/// use model::{Percent, Time};
/// use routing::{Grant, RetryBudget};
///
/// let mut budget = RetryBudget::new(Percent::new(20).unwrap());
/// let now = Time::ZERO;
/// (0..50).for_each(|_| budget.count_call(now));
/// let granted = (0..50).filter(|_| budget.request_retry(now) == Grant::Granted).count();
/// assert_eq!(granted, 10);
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: Percent,
    seconds: VecDeque<Second>,
}

impl RetryBudget {
    /// Makes a budget of `share` of the calls, and at least 3 retries a second.
    pub fn new(share: Percent) -> RetryBudget {
        RetryBudget { share, seconds: VecDeque::new() }
    }

    /// Takes a changed share from the configuration.
    pub fn set_share(&mut self, share: Percent) {
        self.share = share;
    }

    /// Counts a new call, not its retries.
    pub fn count_call(&mut self, now: Time) {
        self.current(now).calls += 1;
    }

    /// Asks for one retry and charges it if it is granted.
    pub fn request_retry(&mut self, now: Time) -> Grant {
        let this_second = self.current(now).retries;
        let calls: u64 = self.seconds.iter().map(|second| second.calls).sum();
        let retries: u64 = self.seconds.iter().map(|second| second.retries).sum();
        let within_share = (retries + 1) * 100 <= calls * u64::from(self.share.value());
        if !within_share && this_second >= MIN_RETRIES_PER_SECOND {
            return Grant::Exhausted;
        }
        self.current(now).retries += 1;
        Grant::Granted
    }

    fn current(&mut self, now: Time) -> &mut Second {
        let second = now.as_micros() / 1_000_000;
        while self.seconds.front().is_some_and(|first| first.second + WINDOW_SECONDS <= second) {
            self.seconds.pop_front();
        }
        if self.seconds.back().is_none_or(|last| last.second < second) {
            self.seconds.push_back(Second { second, calls: 0, retries: 0 });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}
