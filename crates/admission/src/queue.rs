//! Slots and fair queue of one endpoint.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use model::{AccountName, AttemptId, EndpointState, LoadReport, RouteName, Slots, Time};

use crate::attempt::{Attempt, Standing};
use crate::retries::RetryWindow;

/// Service time assumed before the first call has finished.
const FIRST_MEAN_SERVICE: Duration = Duration::from_millis(50);

/// Weight of the latest call in the moving average of service times, as a divisor.
const MEAN_SHIFT: f64 = 16.0;

/// Half-life of the service charged to an account, so that use from long ago doesn't count.
const CHARGE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Calls of mean length by which an account that was idle may be ahead of the least-served one.
const CREDIT_CALLS: f64 = 4.0;

/// Least rate that accounts are compared by, in calls per second.
const MIN_RATE: f64 = 0.001;

/// Divisor of the rate of an account that exceeds it. It keeps a small part of its share, so that
/// it is not starved for as long as slots are short.
const OVER_RATE_DIVISOR: f64 = 8.0;

/// Charge in microseconds below which an account without calls is dropped.
const NEGLIGIBLE_CHARGE: f64 = 1000.0;

/// Part of the mean time of its route that a call needs to be worth a slot. Times of a route vary by
/// about a factor of two, and a call without enough time ends as a failure that has used up a slot.
const LEAST_TIME_SHARE: f64 = 0.5;

/// Time between two removals of accounts without calls.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// What happens to a call when no slot is free.
#[derive(Debug)]
pub(crate) enum Enqueued {
    Queued,
    /// The call is queued in the place of this one.
    Displaced(Attempt),
    Full,
}

/// A call in a slot.
#[derive(Debug)]
struct Running {
    id: AttemptId,
    route: RouteName,
    since: Time,
}

/// When a queued call goes; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    rank: u8,
    misses_goal: bool,
}

#[derive(Debug, Default)]
struct AccountShare {
    /// Charged service in microseconds, as of `charged_at`.
    charge: f64,
    charged_at: Time,
    running: Vec<Running>,
    queue: VecDeque<Attempt>,
    /// Calls per second that the account is entitled to.
    rate: f64,
}

impl AccountShare {
    fn charge_at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.charged_at).as_secs_f64();
        self.charge * (-elapsed / CHARGE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Charged service plus that of the running calls, in proportion to the rate. A call that has
    /// just started counts with the mean, so that one account doesn't take several slots that
    /// become free together.
    fn service(&self, now: Time, mean: f64) -> f64 {
        let run = |call: &Running| (now.since(call.since).as_micros() as f64).max(mean);
        (self.charge_at(now) + self.running.iter().map(run).sum::<f64>()) / self.rate
    }

    /// Service that the account has had once its queued calls have run.
    fn service_with_queue(&self, now: Time, mean: f64) -> f64 {
        self.service(now, mean) + self.queue.len() as f64 * mean / self.rate
    }

    fn set_charge(&mut self, charge: f64, now: Time) {
        self.charge = charge;
        self.charged_at = now;
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }
}

/// Slots and queue of one endpoint. The queue serves the account with the least service so far
/// in proportion to its rate.
#[derive(Debug)]
pub(crate) struct EndpointQueue {
    pub(crate) slots: Slots,
    /// `None` when the announcements have stopped.
    pub(crate) state: Option<EndpointState>,
    pub(crate) retries: RetryWindow,
    /// Ordered, so that ties don't depend on hashing.
    accounts: BTreeMap<Option<AccountName>, AccountShare>,
    running: u32,
    queued: u32,
    mean_service: f64,
    /// Mean service of the calls of each route.
    service_by_route: HashMap<RouteName, f64>,
    prune_at: Time,
}

impl EndpointQueue {
    pub(crate) fn new(slots: Slots, state: EndpointState, now: Time) -> EndpointQueue {
        EndpointQueue {
            slots,
            state: Some(state),
            retries: RetryWindow::new(now),
            accounts: BTreeMap::new(),
            running: 0,
            queued: 0,
            mean_service: FIRST_MEAN_SERVICE.as_micros() as f64,
            service_by_route: HashMap::new(),
            prune_at: Time::ZERO,
        }
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.running < self.slots.0
    }

    pub(crate) fn load(&self) -> LoadReport {
        LoadReport {
            slots: self.slots,
            running: self.running,
            queued: self.queued,
            mean_service: Duration::from_micros(self.mean_service as u64),
        }
    }

    pub(crate) fn start(&mut self, attempt: &Attempt, now: Time) {
        let running = Running { id: attempt.id, route: attempt.route.clone(), since: now };
        self.activate(attempt, now).running.push(running);
        self.running += 1;
    }

    /// Frees the slot of a call and charges its account.
    pub(crate) fn finish(&mut self, id: AttemptId, account: &Option<AccountName>, now: Time) {
        let Some(share) = self.accounts.get_mut(account) else { return };
        let Some(at) = share.running.iter().position(|call| call.id == id) else { return };
        let call = share.running.swap_remove(at);
        let service = now.since(call.since).as_micros() as f64;
        share.set_charge(share.charge_at(now) + service, now);
        self.running -= 1;
        self.mean_service += (service - self.mean_service) / MEAN_SHIFT;
        let of_route = self.service_by_route.entry(call.route).or_insert(service);
        *of_route += (service - *of_route) / MEAN_SHIFT;
    }

    /// Tells whether a call that would start now has enough time to end before its deadline.
    pub(crate) fn has_time_to_run(&self, attempt: &Attempt, now: Time) -> bool {
        attempt.start_by.since(now) >= self.least_time(attempt)
    }

    /// Tells whether a call that would be queued now has enough time to wait and to end.
    pub(crate) fn has_time_to_wait(&self, attempt: &Attempt, now: Time) -> bool {
        let order = self.order(attempt, now);
        let queued = self.accounts.values().flat_map(|share| &share.queue);
        let queued = queued.filter(|other| self.order(other, now) <= order).count() as u32;
        let wait = LoadReport { queued, ..self.load() }.expected_wait();
        let has_time_to_run = attempt.start_by.since(now) >= wait + self.least_time(attempt);
        has_time_to_run && attempt.queue_until.since(now) > wait
    }

    fn least_time(&self, attempt: &Attempt) -> Duration {
        self.mean_time(attempt).mul_f64(LEAST_TIME_SHARE)
    }

    fn mean_time(&self, attempt: &Attempt) -> Duration {
        let mean = self.service_by_route.get(&attempt.route).copied().unwrap_or_default();
        Duration::from_micros(mean as u64)
    }

    /// When a call goes. One that can't reach its goal any more waits for those of its rank that can:
    /// with more calls than slots, serving in order of arrival would make all of them miss theirs.
    fn order(&self, attempt: &Attempt, now: Time) -> Order {
        let end = now + self.mean_time(attempt);
        Order {
            rank: attempt.priority,
            misses_goal: attempt.goal_by.is_some_and(|goal_by| goal_by < end),
        }
    }

    /// Queues a call. With a full queue, it takes the place of the last call that goes later by its rank
    /// or its goal. If there is none, it takes that of the newest call of the account that would be ahead
    /// in service once its queued calls have run, unless that is its own account. A backlog of one
    /// account can't keep others out.
    pub(crate) fn enqueue(&mut self, attempt: Attempt, capacity: u32, now: Time) -> Enqueued {
        if self.queued < capacity {
            self.activate(&attempt, now).queue.push_back(attempt);
            self.queued += 1;
            return Enqueued::Queued;
        }
        if let Some(displaced) = self.take_later(&attempt, now) {
            self.activate(&attempt, now).queue.push_back(attempt);
            return Enqueued::Displaced(displaced);
        }
        let mean = self.mean_service;
        let share = self.activate(&attempt, now);
        let own = share.service_with_queue(now, mean) + mean / share.rate;
        let rank = attempt.priority;
        let is_displaceable = |share: &&mut AccountShare| {
            share.queue.back().is_some_and(|last| last.priority >= rank)
        };
        let waiting = self.accounts.values_mut().filter(is_displaceable);
        let most = waiting.max_by(|a, b| {
            a.service_with_queue(now, mean).total_cmp(&b.service_with_queue(now, mean))
        });
        let most = most.filter(|share| share.service_with_queue(now, mean) > own);
        let Some(displaced) = most.and_then(|share| share.queue.pop_back()) else {
            return Enqueued::Full;
        };
        self.activate(&attempt, now).queue.push_back(attempt);
        Enqueued::Displaced(displaced)
    }

    /// Takes the newest of the calls that go last, if these go later than the given one.
    fn take_later(&mut self, attempt: &Attempt, now: Time) -> Option<Attempt> {
        let queued = self.accounts.values().flat_map(|share| &share.queue);
        let last = queued.max_by_key(|other| (self.order(other, now), other.id))?;
        if self.order(last, now) <= self.order(attempt, now) {
            return None;
        }
        let (id, account) = (last.id, last.account.clone());
        let share = self.accounts.get_mut(&account)?;
        let at = share.queue.iter().position(|other| other.id == id)?;
        share.queue.remove(at)
    }

    /// Takes the first call in order. Of several, it is the oldest one of the account with the least
    /// service so far.
    pub(crate) fn take_next(&mut self, now: Time) -> Option<Attempt> {
        let mean = self.mean_service;
        let first_of = |share: &AccountShare| {
            let by_order = |attempt: &&Attempt| self.order(attempt, now);
            let first = share.queue.iter().min_by_key(by_order)?;
            Some((self.order(first, now), share.service(now, mean), first.id))
        };
        let waiting =
            self.accounts.iter().filter_map(|(name, share)| Some((first_of(share)?, name)));
        let ((_, _, id), account) =
            waiting.min_by(|((a, a_served, a_id), _), ((b, b_served, b_id), _)| {
                // Ties follow the order of attempts, so that the choice doesn't depend on hashing.
                a.cmp(b).then(a_served.total_cmp(b_served)).then(a_id.cmp(b_id))
            })?;
        let account = account.clone();
        self.remove_queued(id, &account)
    }

    pub(crate) fn remove_queued(
        &mut self,
        id: AttemptId,
        account: &Option<AccountName>,
    ) -> Option<Attempt> {
        let share = self.accounts.get_mut(account)?;
        let at = share.queue.iter().position(|attempt| attempt.id == id)?;
        self.queued -= 1;
        share.queue.remove(at)
    }

    /// Removes the queued calls that match.
    pub(crate) fn drain_queued(&mut self, matches: impl Fn(&Attempt) -> bool) -> Vec<Attempt> {
        let mut drained = Vec::new();
        for share in self.accounts.values_mut() {
            let (out, kept) = share.queue.drain(..).partition(|attempt| matches(attempt));
            share.queue = kept;
            let out: VecDeque<Attempt> = out;
            drained.extend(out);
        }
        self.queued -= drained.len() as u32;
        drained.sort_by_key(|attempt| attempt.id);
        drained
    }

    pub(crate) fn earliest_queue_until(&self) -> Option<Time> {
        let queued = self.accounts.values().flat_map(|share| &share.queue);
        queued.map(|attempt| attempt.queue_until).min()
    }

    /// Drops accounts without calls whose charge has decayed.
    pub(crate) fn prune(&mut self, now: Time) {
        if now < self.prune_at {
            return;
        }
        self.prune_at = now + PRUNE_INTERVAL;
        self.accounts
            .retain(|_, share| !share.is_idle() || share.charge_at(now) > NEGLIGIBLE_CHARGE);
    }

    /// The share of an account that is about to have a call. If it had none, its lead over the
    /// least-served account with calls is cut to a small credit.
    fn activate(&mut self, attempt: &Attempt, now: Time) -> &mut AccountShare {
        let account = &attempt.account;
        let divisor = match attempt.standing {
            Standing::WithinRate => 1.0,
            Standing::OverRate => OVER_RATE_DIVISOR,
        };
        let rate = (attempt.rate.milli_per_second() as f64 / 1000.0 / divisor).max(MIN_RATE);
        let is_idle = self.accounts.get(account).is_none_or(AccountShare::is_idle);
        let mean = self.mean_service;
        let active = self.accounts.values().filter(|share| !share.is_idle());
        let least = match is_idle {
            true => active.map(|share| share.service(now, mean)).min_by(f64::total_cmp),
            false => None,
        };
        let share = self.accounts.entry(account.clone()).or_default();
        share.rate = rate;
        if is_idle {
            let floor = least.map_or(0.0, |least| least * rate - CREDIT_CALLS * mean);
            share.set_charge(share.charge_at(now).max(floor), now);
        }
        share
    }
}
