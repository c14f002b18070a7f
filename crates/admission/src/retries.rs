//! Bound on the retries that an endpoint takes.

use std::collections::VecDeque;
use std::time::Duration;

use model::{Percent, Time};

/// Time in which the retries of a service are bounded. The users' platform counts them over 10 s.
const WINDOW: Duration = Duration::from_secs(10);

/// Time of the window that counts as passed when an endpoint is new. It may stand in for another one whose
/// part was used up lately, but needs some retries at once, as nothing is known of the endpoints then.
const HEAD_START: Duration = Duration::from_secs(5);

/// Length of the steps in which calls and retries are counted.
const STEP: Duration = Duration::from_millis(250);

/// One retry, in the unit in which allowances are counted.
const RETRY: u64 = 100_000;

/// Retries that an endpoint may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAllowance {
    /// Share of the calls of a route.
    pub share: Percent,
    /// Thousandths of a retry in 10 s beside the share: the endpoint's part of those of its service.
    pub spare_milli: u32,
}

/// How an attempt counts for the bound on retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Arrival {
    /// The first attempt of a request to reach an endpoint.
    First {
        /// Chance that an upstream has made the request while it ran a retry. The request would not be
        /// there without that retry, so that it counts as one too.
        of_retry: Percent,
    },
    /// An earlier attempt has reached an endpoint or may have done so.
    Retry,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    number: u64,
    /// Allowed retries, in parts of [`RETRY`].
    earned: u64,
    /// In parts of [`RETRY`] as well.
    retries: u64,
}

/// Calls and retries of one endpoint in the last 10 s. All that an endpoint gets passes its guard, so that
/// these bounds add up to one for the service, however many entries there are.
#[derive(Debug)]
pub(crate) struct RetryWindow {
    /// The spare retries grow from here on.
    opened: Time,
    steps: VecDeque<Step>,
}

impl RetryWindow {
    pub(crate) fn new(now: Time) -> RetryWindow {
        RetryWindow { opened: now, steps: VecDeque::new() }
    }

    /// Whether a further retry stays within the bound.
    pub(crate) fn has_room(&mut self, allowance: RetryAllowance, now: Time) -> bool {
        self.current(now);
        let known = (now.since(self.opened) + HEAD_START).min(WINDOW);
        let spare = u64::from(allowance.spare_milli) * (RETRY / 1000);
        let spare = spare * known.as_millis() as u64 / WINDOW.as_millis() as u64;
        let earned: u64 = self.steps.iter().map(|step| step.earned).sum();
        let retries: u64 = self.steps.iter().map(|step| step.retries).sum();
        retries + RETRY <= earned + spare
    }

    /// Counts a call that the guard has accepted.
    pub(crate) fn count(&mut self, arrival: Arrival, allowance: RetryAllowance, now: Time) {
        let step = self.current(now);
        match arrival {
            Arrival::First { of_retry } => {
                let of_retry = u64::from(of_retry.value());
                step.retries += of_retry * (RETRY / 100);
                step.earned +=
                    (100 - of_retry) * u64::from(allowance.share.value()) * RETRY / 10_000;
            }
            Arrival::Retry => step.retries += RETRY,
        }
    }

    fn current(&mut self, now: Time) -> &mut Step {
        let number = now.as_micros() / STEP.as_micros() as u64;
        let steps = (WINDOW.as_micros() / STEP.as_micros()) as u64;
        // One more step than the window has, as the first one may have begun before it.
        while self.steps.front().is_some_and(|first| first.number + steps < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|last| last.number < number) {
            self.steps.push_back(Step { number, earned: 0, retries: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
