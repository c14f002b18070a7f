//! Execution slots and weighted fair queue of one endpoint.

mod review;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use model::{AccountName, AttemptId, EndpointState, LoadReport, RouteName, Slots, Time};

use crate::account::{AccountState, RunningCall, weight_of};
use crate::attempt::{Attempt, RateStatus};
use crate::forecast::{GrantShares, StartClass};
use crate::limits::OverloadControl;
use crate::reserve::{SlotReserves, Urgency};
use crate::route::{RouteState, SERVED_SHARE_STEPS};

/// Mean service time assumed until the first call has finished.
const INITIAL_MEAN_SERVICE_TIME: Duration = Duration::from_millis(50);

/// A finished call contributes 1/16 to the moving averages of the service time.
const SERVICE_TIME_EWMA_DIVISOR: f64 = 16.0;

/// A call gets a slot only if this fraction of the mean service time of its route remains before its
/// deadline. Service times of a route vary by about a factor of two, and a call that runs out
/// of time fails after occupying a slot.
const MIN_SERVICE_TIME_FRACTION: f64 = 0.5;

/// Mean service times of the endpoint that must be left before the latest useful start of a call that can
/// wait. Within one, each slot is freed once on the mean; the second covers long calls.
const CAN_WAIT_SERVICE_TIMES: u32 = 2;

/// Share of the calls of a route, in 1/[`SERVED_SHARE_STEPS`], below which they count as starved: one in four.
const STARVED_SHARE: u8 = 16;

/// Interval between removals of accounts without calls.
const ACCOUNT_PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Result of adding a call to the queue.
#[derive(Debug)]
pub(crate) enum EnqueueResult {
    Queued,
    /// The call was queued, and this call was removed to make room for it.
    Displaced(Attempt),
    Full,
}

/// Order in which queued calls start. Lower values start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StartOrder {
    priority: u8,
    misses_goal: bool,
    can_wait: bool,
    /// Share of the recent calls of the route that were started, in 1/[`SERVED_SHARE_STEPS`].
    served_share: u8,
}

impl StartOrder {
    fn class(self) -> StartClass {
        let StartOrder { priority, misses_goal, can_wait, .. } = self;
        StartClass { priority, misses_goal, can_wait }
    }

    fn urgency(self) -> Urgency {
        Urgency { priority: self.priority, can_wait: self.can_wait }
    }
}

/// Slots and queue of one endpoint. Among calls with the same start order, the account with the least
/// usage in proportion to its weight is served first.
#[derive(Debug)]
pub(crate) struct EndpointQueue {
    pub(crate) slots: Slots,
    overload_control: OverloadControl,
    /// `None` once the endpoint is no longer announced.
    pub(crate) announced_state: Option<EndpointState>,
    /// An ordered map, so that ties are resolved deterministically.
    accounts: BTreeMap<Option<AccountName>, AccountState>,
    running: u32,
    queued: u32,
    mean_service_micros: f64,
    routes: HashMap<RouteName, RouteState>,
    grants: GrantShares,
    reserves: SlotReserves,
    next_prune_at: Time,
}

impl EndpointQueue {
    pub(crate) fn new(
        slots: Slots,
        state: EndpointState,
        overload_control: OverloadControl,
    ) -> EndpointQueue {
        EndpointQueue {
            slots,
            overload_control,
            announced_state: Some(state),
            accounts: BTreeMap::new(),
            running: 0,
            queued: 0,
            mean_service_micros: INITIAL_MEAN_SERVICE_TIME.as_micros() as f64,
            routes: HashMap::new(),
            grants: GrantShares::default(),
            reserves: SlotReserves::default(),
            next_prune_at: Time::ZERO,
        }
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.running < self.slots.0
    }

    /// Records that a call will miss its goal or its deadline for lack of a slot, so that less urgent calls
    /// leave slots free if some of them are running.
    pub(crate) fn record_blocked(&mut self, attempt: &Attempt, now: Time) {
        let urgency = self.start_order(attempt, now).urgency();
        let mut running = self.accounts.values().flat_map(|state| &state.running);
        if running.any(|call| call.urgency > urgency) {
            self.reserves.record_blocked(urgency, self.slots, now);
        }
    }

    /// Whether a call may take a slot now, given those that are reserved for more urgent ones.
    pub(crate) fn has_unreserved_slot(&mut self, attempt: &Attempt, now: Time) -> bool {
        let free = self.slots.0.saturating_sub(self.running);
        if free == 0 || self.is_short(attempt) {
            return free > 0;
        }
        let urgency = self.start_order(attempt, now).urgency();
        free > self.reserves.reserved_from(urgency, self.slots, now)
    }

    /// Whether a call holds a slot for no longer than the mean. Such a call leaves no slots free for more
    /// urgent ones: these would wait for it no longer than for each other.
    fn is_short(&self, attempt: &Attempt) -> bool {
        let mean_service = Duration::from_micros(self.mean_service_micros as u64);
        self.mean_service_time(attempt) <= mean_service
    }

    /// Whether the next queued call may take a slot now.
    pub(crate) fn may_start_next(&mut self, now: Time) -> bool {
        let first = self.first_queued(now).map(|(_, attempt)| attempt.clone());
        first.is_some_and(|first| self.has_unreserved_slot(&first, now))
    }

    pub(crate) fn load(&self) -> LoadReport {
        LoadReport {
            slots: self.slots,
            running: self.running,
            queued: self.queued,
            mean_service: Duration::from_micros(self.mean_service_micros as u64),
        }
    }

    /// Records that a call has arrived, whether it will be started, queued or refused.
    pub(crate) fn record_arrival(&mut self, attempt: &Attempt, now: Time) {
        if attempt.rate_status == RateStatus::WithinRate {
            self.routes.entry(attempt.route.clone()).or_default().record_arrival(now);
        }
    }

    pub(crate) fn start(&mut self, attempt: &Attempt, now: Time) {
        if attempt.rate_status == RateStatus::WithinRate {
            self.routes.entry(attempt.route.clone()).or_default().record_start(now);
        }
        let running = RunningCall {
            id: attempt.id,
            route: attempt.route.clone(),
            urgency: self.start_order(attempt, now).urgency(),
            started_at: now,
        };
        self.activate_account(attempt, now).running.push(running);
        self.running += 1;
    }

    /// Frees the slot of a call and adds its service time to the usage of its account.
    pub(crate) fn finish(&mut self, id: AttemptId, account: &Option<AccountName>, now: Time) {
        let Some(state) = self.accounts.get_mut(account) else { return };
        let Some(at) = state.running.iter().position(|call| call.id == id) else { return };
        let call = state.running.swap_remove(at);
        let service = now.since(call.started_at).as_micros() as f64;
        state.add_usage(service, now);
        self.running -= 1;
        self.mean_service_micros +=
            (service - self.mean_service_micros) / SERVICE_TIME_EWMA_DIVISOR;
        let route = self.routes.entry(call.route).or_default();
        if route.mean_service_micros == 0.0 {
            route.mean_service_micros = service;
        }
        route.mean_service_micros +=
            (service - route.mean_service_micros) / SERVICE_TIME_EWMA_DIVISOR;
    }

    /// Returns whether a call that starts now has a chance to finish before its deadline: at least
    /// [`MIN_SERVICE_TIME_FRACTION`] of the mean service time of its route must remain.
    pub(crate) fn has_time_to_run(&self, attempt: &Attempt, now: Time) -> bool {
        attempt.start_by.since(now) >= self.min_time_to_run(attempt)
    }

    /// Returns whether a call that is queued now has enough time for the expected wait and for running.
    /// `other_wait` is the wait for another reason than a slot, by the number of calls that start before.
    pub(crate) fn has_time_to_wait(
        &mut self,
        attempt: &Attempt,
        now: Time,
        other_wait: impl FnOnce(u32) -> Duration,
    ) -> bool {
        self.activate_account(attempt, now);
        let queued = self.queued_before(attempt, now);
        let slot_wait = LoadReport { queued, ..self.load() }.expected_wait();
        let wait = slot_wait.max(other_wait(queued));
        let has_time_to_run = attempt.start_by.since(now) >= wait + self.min_time_to_run(attempt);
        has_time_to_run && attempt.queue_until.since(now) > wait
    }

    /// Number of queued calls that would start before a new call. Of those with the same start order, another
    /// account's count only until its usage exceeds that of the account of the new call: otherwise the
    /// backlog of one account would have the calls of all others refused.
    fn queued_before(&self, attempt: &Attempt, now: Time) -> u32 {
        let mean = self.mean_service_micros;
        let start_order = self.start_order(attempt, now);
        let own = self.accounts.get(&attempt.account);
        let own_usage = own.map_or(0.0, |state| state.projected_weighted_usage(now, mean));
        let before_in = |(account, state): (&Option<AccountName>, &AccountState)| {
            let orders = state.queue.iter().map(|other| self.start_order(other, now));
            let earlier = orders.clone().filter(|order| *order < start_order).count();
            let same = orders.filter(|order| *order == start_order).count();
            let turns = (own_usage - state.weighted_usage(now, mean)) * state.weight / mean;
            match *account == attempt.account {
                true => earlier + same,
                false => earlier + same.min(turns.max(0.0).ceil() as usize),
            }
        };
        self.accounts.iter().map(before_in).sum::<usize>() as u32
    }

    fn min_time_to_run(&self, attempt: &Attempt) -> Duration {
        self.mean_service_time(attempt).mul_f64(MIN_SERVICE_TIME_FRACTION)
    }

    fn mean_service_time(&self, attempt: &Attempt) -> Duration {
        let mean = self.routes.get(&attempt.route).map_or(0.0, |route| route.mean_service_micros);
        Duration::from_micros(mean as u64)
    }

    /// Returns the start order of a queued call. A call that can no longer meet its latency goal waits for
    /// those of the same priority that can: under overload, serving calls in order of arrival would
    /// make all of them miss their goals. With overload control, a call that can wait does so for those that
    /// can't. Among the others, routes are served in equal shares: otherwise
    /// the slots would go to the calls that have the longest time to wait for them.
    fn start_order(&self, attempt: &Attempt, now: Time) -> StartOrder {
        let end = now + self.mean_service_time(attempt);
        let route = self.routes.get(&attempt.route);
        let served_share = route.map_or(SERVED_SHARE_STEPS as u8, RouteState::served_share);
        StartOrder {
            priority: attempt.priority,
            misses_goal: attempt.goal_by.is_some_and(|goal_by| goal_by < end),
            can_wait: self.overload_control == OverloadControl::On
                && self.can_wait(attempt, served_share, now),
            served_share,
        }
    }

    /// Whether a call still reaches its goal, or its deadline if it has none, when it starts after most of the
    /// running calls have ended. Calls of a route that is badly served don't have to wait for others.
    fn can_wait(&self, attempt: &Attempt, served_share: u8, now: Time) -> bool {
        let latest_start = attempt.goal_by.map(|goal_by| goal_by - self.mean_service_time(attempt));
        let slack = latest_start.unwrap_or(attempt.start_by).since(now);
        let mean_service = Duration::from_micros(self.mean_service_micros as u64);
        slack >= mean_service * CAN_WAIT_SERVICE_TIMES && served_share >= STARVED_SHARE
    }

    /// Queues a call. If the queue is full, the call displaces the last one of those that would start
    /// after it. If there is none, it displaces the newest call of the account with the highest projected
    /// usage, among the accounts whose newest call has no higher priority, provided that this usage exceeds
    /// the projected usage of the new call's account, so that the backlog of one account can't keep others
    /// out.
    pub(crate) fn enqueue(&mut self, attempt: Attempt, capacity: u32, now: Time) -> EnqueueResult {
        if self.queued < capacity {
            self.activate_account(&attempt, now).queue.push_back(attempt);
            self.queued += 1;
            return EnqueueResult::Queued;
        }
        if let Some(displaced) = self.displace_later_call(&attempt, now) {
            self.activate_account(&attempt, now).queue.push_back(attempt);
            return EnqueueResult::Displaced(displaced);
        }
        let mean = self.mean_service_micros;
        let state = self.activate_account(&attempt, now);
        let own_usage = state.projected_weighted_usage(now, mean) + mean / state.weight;
        let priority = attempt.priority;
        let is_displaceable = |state: &&mut AccountState| {
            state.queue.back().is_some_and(|last| last.priority >= priority)
        };
        let displaceable = self.accounts.values_mut().filter(is_displaceable);
        let most_used = displaceable.max_by(|a, b| {
            a.projected_weighted_usage(now, mean).total_cmp(&b.projected_weighted_usage(now, mean))
        });
        let most_used =
            most_used.filter(|state| state.projected_weighted_usage(now, mean) > own_usage);
        let Some(displaced) = most_used.and_then(|state| state.queue.pop_back()) else {
            return EnqueueResult::Full;
        };
        self.activate_account(&attempt, now).queue.push_back(attempt);
        EnqueueResult::Displaced(displaced)
    }

    /// Removes the newest call with the last start order if it would start after the given call.
    fn displace_later_call(&mut self, attempt: &Attempt, now: Time) -> Option<Attempt> {
        let queued = self.accounts.values().flat_map(|state| &state.queue);
        let last = queued.max_by_key(|other| (self.start_order(other, now), other.id))?;
        if self.start_order(last, now) <= self.start_order(attempt, now) {
            return None;
        }
        let (id, account) = (last.id, last.account.clone());
        let state = self.accounts.get_mut(&account)?;
        let at = state.queue.iter().position(|other| other.id == id)?;
        state.queue.remove(at)
    }

    /// Returns the call that starts next, and its order. Among calls with the same start order, it is the
    /// oldest call of the account with the least weighted usage.
    fn first_queued(&self, now: Time) -> Option<(StartOrder, &Attempt)> {
        let mean = self.mean_service_micros;
        let first_of = |state: &'_ AccountState| {
            let by_start_order = |attempt: &&Attempt| self.start_order(attempt, now);
            let first = state.queue.iter().min_by_key(by_start_order)?;
            Some((self.start_order(first, now), state.weighted_usage(now, mean), first.id))
        };
        let waiting = self.accounts.values().filter_map(|state| Some((first_of(state)?, state)));
        let ((order, _, id), state) =
            waiting.min_by(|((a, a_usage, a_id), _), ((b, b_usage, b_id), _)| {
                // Attempt ids break ties, so that the choice is deterministic.
                a.cmp(b).then(a_usage.total_cmp(b_usage)).then(a_id.cmp(b_id))
            })?;
        let attempt = state.queue.iter().find(|attempt| attempt.id == id)?;
        Some((order, attempt))
    }

    /// Removes the call that starts next.
    pub(crate) fn pop_next(&mut self, now: Time) -> Option<Attempt> {
        let (order, first) = self.first_queued(now)?;
        let (id, account) = (first.id, first.account.clone());
        let queued = self.accounts.values().flat_map(|state| &state.queue);
        let classes: BTreeSet<StartClass> =
            queued.map(|attempt| self.start_order(attempt, now).class()).collect();
        self.grants.record(order.class(), classes, now);
        self.remove_queued(id, &account)
    }

    pub(crate) fn remove_queued(
        &mut self,
        id: AttemptId,
        account: &Option<AccountName>,
    ) -> Option<Attempt> {
        let state = self.accounts.get_mut(account)?;
        let at = state.queue.iter().position(|attempt| attempt.id == id)?;
        self.queued -= 1;
        state.queue.remove(at)
    }

    /// Removes the queued calls that match, and returns them ordered by attempt id.
    pub(crate) fn remove_queued_if(&mut self, matches: impl Fn(&Attempt) -> bool) -> Vec<Attempt> {
        let mut removed = Vec::new();
        for state in self.accounts.values_mut() {
            let (matching, kept) = state.queue.drain(..).partition(|attempt| matches(attempt));
            state.queue = kept;
            let matching: VecDeque<Attempt> = matching;
            removed.extend(matching);
        }
        self.queued -= removed.len() as u32;
        removed.sort_by_key(|attempt| attempt.id);
        removed
    }

    pub(crate) fn has_queued(&self) -> bool {
        self.queued > 0
    }

    pub(crate) fn earliest_queue_deadline(&self) -> Option<Time> {
        let queued = self.accounts.values().flat_map(|state| &state.queue);
        queued.map(|attempt| attempt.queue_until).min()
    }

    /// Removes accounts without calls whose usage is negligible.
    pub(crate) fn prune_accounts(&mut self, now: Time) {
        if now < self.next_prune_at {
            return;
        }
        self.next_prune_at = now + ACCOUNT_PRUNE_INTERVAL;
        self.grants.prune(now);
        self.accounts.retain(|_, state| !state.is_negligible(now));
    }

    /// Returns the state of an account that is about to get a call, and updates its weight, and its usage if
    /// the account was idle.
    fn activate_account(&mut self, attempt: &Attempt, now: Time) -> &mut AccountState {
        let account = &attempt.account;
        let is_idle = self.accounts.get(account).is_none_or(AccountState::is_idle);
        let mean = self.mean_service_micros;
        let active_accounts = self.accounts.values().filter(|state| !state.is_idle());
        let least_usage = match is_idle {
            true => {
                active_accounts.map(|state| state.weighted_usage(now, mean)).min_by(f64::total_cmp)
            }
            false => None,
        };
        let state = self.accounts.entry(account.clone()).or_default();
        state.weight = weight_of(attempt);
        if is_idle {
            state.limit_idle_credit(least_usage, mean, now);
        }
        state
    }
}
