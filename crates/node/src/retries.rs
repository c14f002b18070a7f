//! Retry budgets of the routes.

use model::{Percent, Time};
use routing::RetryBudget;

use crate::shared::{Map, lock};

/// The budget of each route at this entry.
#[derive(Default)]
pub(crate) struct RetryBudgets {
    budgets: Map<Box<str>, RetryBudget>,
}

impl RetryBudgets {
    /// Counts a call and applies the current share of its route.
    pub(crate) fn count_call(&self, route: &str, share: Percent, entries: usize, now: Time) {
        let mut budgets = lock(&self.budgets);
        if !budgets.contains_key(route) {
            budgets.insert(route.into(), RetryBudget::new(share, entries));
        }
        if let Some(budget) = budgets.get_mut(route) {
            budget.set_share(share);
            budget.set_entries(entries);
            budget.count_call(now);
        }
    }

    /// Counts an answer. The route has a budget since its call was counted.
    pub(crate) fn count_answer(&self, route: &str, now: Time) {
        if let Some(budget) = lock(&self.budgets).get_mut(route) {
            budget.count_answer(now);
        }
    }

    /// Runs a decision with the budget of a route.
    pub(crate) fn with<T>(
        &self,
        route: &str,
        share: Percent,
        entries: usize,
        decide: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = lock(&self.budgets);
        let budget =
            budgets.entry(route.into()).or_insert_with(|| RetryBudget::new(share, entries));
        decide(budget)
    }
}
