//! Budget of queries for the load of endpoints.

use std::time::Duration;

use model::Time;

/// Queries that one entry makes in a second. One costs about 90 bytes at both ends together, and
/// the control traffic of a node is to stay within 4 KB/s.
const QUERIES_PER_SECOND: u32 = 20;

/// Queries that an entry saves up while it needs none.
const BURST: u32 = 20;

/// Limits the queries of one entry, so that their traffic does not grow with the use of the slots.
///
/// ```
/// use model::Time;
/// use routing::QueryBudget;
///
/// let mut budget = QueryBudget::default();
/// assert_eq!(budget.take(30, Time::ZERO), 20);
/// assert_eq!(budget.take(30, Time::from_micros(100_000)), 2);
/// ```
#[derive(Debug, Clone)]
pub struct QueryBudget {
    saved: u32,
    saved_at: Time,
}

impl Default for QueryBudget {
    fn default() -> QueryBudget {
        QueryBudget { saved: BURST, saved_at: Time::ZERO }
    }
}

impl QueryBudget {
    /// Takes up to `wanted` queries and returns how many may be made.
    pub fn take(&mut self, wanted: u32, now: Time) -> u32 {
        let interval = Duration::from_secs(1) / QUERIES_PER_SECOND;
        let earned = (now.since(self.saved_at).as_micros() / interval.as_micros()) as u32;
        self.saved = self.saved.saturating_add(earned).min(BURST);
        // Time that has earned less than a query is left to count next time.
        self.saved_at = self.saved_at + interval * earned;
        let taken = wanted.min(self.saved);
        self.saved -= taken;
        taken
    }
}
