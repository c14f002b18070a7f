//! Bound on the retries that cost no upstream anything.

use std::collections::VecDeque;

use model::Time;

/// Seconds whose answers bound the retries. A short window keeps an outage from using up at once what a
/// long calm period has earned.
const WINDOW_SECONDS: u64 = 4;

/// Retries that an entry may make in the window however few answers it has seen: those of two calls that
/// find no reachable node before the eighth.
const MIN_FREE_RETRIES: u64 = 16;

/// Answer of [`FreeRetries`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The retry may be made and has been counted.
    Granted,
    /// No further one is allowed now.
    Exhausted,
}

#[derive(Debug, Clone, Copy)]
struct Second {
    second: u64,
    answers: u64,
    retries: u64,
}

/// Retries of an entry after attempts that did not run and cost the upstreams of a service nothing. Each is
/// a trip, and where nothing answers they lead nowhere. There may be as many as answers in the window, or
/// a least number, as an entry with a call in some seconds sees few answers. Retries that follow work of an
/// upstream are bounded where they arrive, by the guards.
///
/// ```
/// use model::Time;
/// use routing::{FreeRetries, Grant};
///
/// let mut retries = FreeRetries::default();
/// (0..50).for_each(|_| retries.count_answer(Time::ZERO));
/// let granted = (0..60).filter(|_| retries.request(Time::ZERO) == Grant::Granted).count();
/// assert_eq!(granted, 50);
/// ```
#[derive(Debug, Clone, Default)]
pub struct FreeRetries {
    seconds: VecDeque<Second>,
}

impl FreeRetries {
    /// Counts an answer that is not a failure of the upstream.
    pub fn count_answer(&mut self, now: Time) {
        self.current(now).answers += 1;
    }

    /// Asks for one retry, and counts it if it is granted.
    pub fn request(&mut self, now: Time) -> Grant {
        self.current(now);
        let answers: u64 = self.seconds.iter().map(|second| second.answers).sum();
        let retries: u64 = self.seconds.iter().map(|second| second.retries).sum();
        if retries >= answers.max(MIN_FREE_RETRIES) {
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
            self.seconds.push_back(Second { second, answers: 0, retries: 0 });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}
