//! Failed calls from the endpoints of a node to other services.

use std::collections::VecDeque;

use model::Time;

/// Number of failures kept. An endpoint runs few calls at a time, and each of them ends with the first
/// failed call that it makes to another service.
const MAX_FAILURES: usize = 32;

/// Recent failed calls from the endpoints of one node to other services. They are used to tell server
/// errors caused by a dependency from those caused by the endpoint itself.
///
/// ```
/// use health::DependencyFailures;
/// use model::Time;
///
/// let mut failures = DependencyFailures::default();
/// failures.record(Time::from_micros(20));
/// assert!(failures.take_failure_since(Time::from_micros(10)));
/// assert!(!failures.take_failure_since(Time::from_micros(10)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct DependencyFailures {
    failed_at: VecDeque<Time>,
}

impl DependencyFailures {
    /// Records a failed call of an endpoint to another service.
    pub fn record(&mut self, now: Time) {
        if self.failed_at.len() == MAX_FAILURES {
            self.failed_at.pop_front();
        }
        self.failed_at.push_back(now);
    }

    /// Returns whether a recorded failure can have caused the server error of a call that started at
    /// `started`. Calls can't be matched to the failures they caused, so each failure is used for one
    /// error only.
    pub fn take_failure_since(&mut self, started: Time) -> bool {
        let cause = self.failed_at.iter().position(|at| *at >= started);
        cause.and_then(|index| self.failed_at.remove(index)).is_some()
    }
}
