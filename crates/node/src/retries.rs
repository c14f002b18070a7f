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
    pub(crate) fn count_call(&self, route: &str, share: Percent, now: Time) {
        let mut budgets = lock(&self.budgets);
        if !budgets.contains_key(route) {
            budgets.insert(route.into(), RetryBudget::new(share));
        }
        if let Some(budget) = budgets.get_mut(route) {
            budget.set_share(share);
            budget.count_call(now);
        }
    }

    /// Runs a decision with the budget of a route.
    pub(crate) fn with<T>(
        &self,
        route: &str,
        share: Percent,
        decide: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(route.into()).or_insert_with(|| RetryBudget::new(share));
        decide(budget)
    }
}
