//! Forecast of the wait of a queued call while calls that start before it keep arriving.
//!
//! It answers the load in which an endpoint is asked for more than it can do for some seconds. Slots
//! then go to the higher priorities, and within a priority to the calls that can still reach their
//! latency goal, first to those that reach it only if they start soon. A call behind them waits without
//! getting a slot, although the queue ahead of it looks short: each freed slot goes to a call that
//! arrived later. The length of the queue does not show that, but the recent grants of slots do.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;

/// Half-life of the recorded grants. A surge lasts for seconds, and a forecast must follow its end
/// within the time that callers wait.
const GRANT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Grants below which a class is forgotten.
const NEGLIGIBLE_GRANTS: f64 = 0.05;

/// Calls that compete for slots on equal terms. Lower values start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StartClass {
    pub(crate) priority: u8,
    /// Whether the call can't reach its latency goal any more.
    pub(crate) misses_goal: bool,
    /// Whether the call reaches its goal even if it gets none of the next free slots.
    pub(crate) can_wait: bool,
}

impl StartClass {
    /// The class of the same call once it misses its goal.
    pub(crate) fn late(self) -> StartClass {
        StartClass { misses_goal: true, can_wait: false, ..self }
    }
}

/// What the forecast says about a call that would be queued, or is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Forecast {
    /// It is likely to get a slot early enough to reach its goal.
    MeetsGoal,
    /// It is likely to get a slot in time, but not to reach its goal.
    StartsLate,
    /// It is likely to be overtaken until it has no time left to run.
    Starves,
}

/// Grants of slots while calls of one class were waiting.
#[derive(Debug, Default)]
struct Grants {
    /// Slots that went to the class.
    own: f64,
    /// Slots that went to a class that starts before it.
    others: f64,
    updated_at: Time,
}

impl Grants {
    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let factor = (-elapsed / GRANT_HALF_LIFE.as_secs_f64()).exp2();
        self.own *= factor;
        self.others *= factor;
        self.updated_at = now;
    }

    /// Share of the slots that the class gets. One slot is assumed to have gone to it, so that a class
    /// about which little is known counts as served.
    fn share(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let factor = (-elapsed / GRANT_HALF_LIFE.as_secs_f64()).exp2();
        let (own, others) = (self.own * factor + 1.0, self.others * factor);
        own / (own + others)
    }
}

/// Share of the freed slots that each class of waiting calls has got lately.
#[derive(Debug, Default)]
pub(crate) struct GrantShares {
    classes: BTreeMap<StartClass, Grants>,
}

impl GrantShares {
    /// Records that a slot went to a call of the class `granted` while calls of the classes `waiting`,
    /// each given once, were waiting as well.
    pub(crate) fn record(
        &mut self,
        granted: StartClass,
        waiting: impl IntoIterator<Item = StartClass>,
        now: Time,
    ) {
        let grants = self.classes.entry(granted).or_default();
        grants.decay(now);
        grants.own += 1.0;
        for class in waiting {
            if class > granted {
                let grants = self.classes.entry(class).or_default();
                grants.decay(now);
                grants.others += 1.0;
            }
        }
    }

    /// Expected wait of a call with `ahead` calls before it, at an endpoint that frees a slot in each
    /// `slot_interval` while it is busy.
    pub(crate) fn expected_wait(
        &self,
        class: StartClass,
        ahead: u32,
        slot_interval: Duration,
        now: Time,
    ) -> Duration {
        let share = self.classes.get(&class).map_or(1.0, |grants| grants.share(now));
        slot_interval.mul_f64(f64::from(ahead + 1) / share)
    }

    /// Forgets classes without recent grants.
    pub(crate) fn prune(&mut self, now: Time) {
        self.classes.retain(|_, grants| {
            grants.decay(now);
            grants.own + grants.others > NEGLIGIBLE_GRANTS
        });
    }
}
