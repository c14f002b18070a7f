//! Limits of a guard, and whether it controls overload.

use model::Time;

use crate::attempt::Attempt;
use crate::forecast::Forecast;
use crate::queue::EndpointQueue;

/// Limits of a guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardLimits {
    /// Number of records at which new attempts are refused. Refusals and fences may exceed it by an
    /// eighth.
    pub ledger_capacity: usize,
    /// Calls that may be queued at an endpoint, per slot.
    pub queue_per_slot: u32,
    /// Whether calls that are not expected to get a slot in time are refused at once.
    pub overload_control: OverloadControl,
}

/// Whether the guard refuses calls as soon as it foresees that they get no slot in time, and keeps retries
/// for urgent calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OverloadControl {
    /// A queued call waits until its queue deadline, and all calls share the retries.
    #[default]
    Off,
    /// A call that is likely to be overtaken until it has no time left is refused at once, and part of the
    /// retries is reserved for calls of the highest priority.
    On,
}

/// Default number of recorded attempts, which take about 27 MB. A record is kept until 5 s after the
/// start-by deadline, so a node runs at most this number of calls within the timeout of a route plus
/// 5 s: 7,100 calls/s at a timeout of 30 s.
const DEFAULT_LEDGER_CAPACITY: usize = 250_000;

impl GuardLimits {
    /// Whether overload control refuses a call that would be queued now.
    pub(crate) fn foresees_starvation(
        self,
        queue: &mut EndpointQueue,
        attempt: &Attempt,
        now: Time,
    ) -> bool {
        if self.overload_control == OverloadControl::Off {
            return false;
        }
        let forecast = queue.forecast(attempt, now);
        if forecast != Forecast::MeetsGoal {
            queue.record_blocked(attempt, now);
        }
        forecast == Forecast::Starves
    }
}

impl Default for GuardLimits {
    fn default() -> GuardLimits {
        GuardLimits {
            ledger_capacity: DEFAULT_LEDGER_CAPACITY,
            queue_per_slot: 4,
            overload_control: OverloadControl::Off,
        }
    }
}
