//! Decides for each attempt whether it starts, waits or is refused.

use std::collections::{BTreeMap, HashMap, HashSet};

use model::{
    AccountName, AttemptId, EndpointName, EndpointState, LoadReport, Percent, ResultCode, Slots,
    Time,
};

use crate::attempt::{
    Attempt, Cancelled, Check, Checks, Decision, Drain, Patience, StopState, Verdict,
};
use crate::ledger::{FenceAnswer, Ledger, Room, State, is_recordable};
use crate::queue::{EndpointQueue, Enqueued};
use crate::retries::Arrival;

/// Refusal that is no evidence for the entry: either another copy of the attempt may have run, or
/// the refusal could not be recorded.
const UNPROVEN: ResultCode = ResultCode::AttemptRepeated;

/// Limits of a guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardLimits {
    /// Attempts that are remembered; above it, new ones are refused.
    pub ledger_entries: usize,
    /// Calls that may wait at an endpoint, for each of its slots.
    pub queue_per_slot: u32,
}

/// Attempts that a guard remembers, about 27 MB. An attempt is remembered until 5 s after its
/// start-by deadline, so a node runs at most this number of calls in the timeout of a route plus
/// 5 s: 7,100 calls/s at a timeout of 30 s.
const LEDGER_ENTRIES: usize = 250_000;

impl Default for GuardLimits {
    fn default() -> GuardLimits {
        GuardLimits { ledger_entries: LEDGER_ENTRIES, queue_per_slot: 4 }
    }
}

/// Where a queued or running attempt is kept.
#[derive(Debug)]
struct Active {
    endpoint: EndpointName,
    account: Option<AccountName>,
    arrival: Arrival,
}

/// The guard before the endpoints of one node.
///
/// ```
/// use admission::{
///     Arrival, Attempt, Check, Decision, Guard, GuardLimits, Patience, RetryAllowance, Standing,
/// };
/// use model::{AttemptId, EndpointState, Incarnation, Percent, Rate, Slots, Time};
/// use std::time::Duration;
///
/// let mut guard = Guard::new(GuardLimits::default());
/// let allow = |_: &Attempt| Check::Allowed;
/// let now = Time::ZERO;
/// let endpoint = "orders-1".parse().unwrap();
/// guard.announce(&endpoint, Slots(1), EndpointState::Ready, now, &allow);
/// let id = AttemptId { entry: Incarnation(1), sequence: 1 };
/// let route = "orders".parse().unwrap();
/// let start_by = now + Duration::from_secs(1);
/// let patience = Patience::UntilStartBy;
/// let rate = Rate::per_second(10);
/// let standing = Standing::WithinRate;
/// let attempt = Attempt {
///     id,
///     endpoint,
///     route,
///     account: None,
///     rate,
///     standing,
///     start_by,
///     queue_until: start_by,
///     goal_by: None,
///     patience,
///     priority: 0,
///     arrival: Arrival::First { of_retry: Percent::ZERO },
///     allowance: RetryAllowance { share: Percent::default(), spare_milli: 0 },
///     is_idempotent: true,
///     insists: false,
/// };
/// let verdicts = guard.arrive(attempt, now, &allow);
/// assert_eq!(verdicts[0].decision, Decision::Start);
/// ```
#[derive(Debug)]
pub struct Guard {
    limits: GuardLimits,
    endpoints: BTreeMap<EndpointName, EndpointQueue>,
    drained: HashSet<EndpointName>,
    active: HashMap<AttemptId, Active>,
    ledger: Ledger,
    is_stopping: bool,
    now: Time,
}

impl Guard {
    /// Makes a guard without endpoints.
    pub fn new(limits: GuardLimits) -> Guard {
        Guard {
            limits,
            endpoints: BTreeMap::new(),
            drained: HashSet::new(),
            active: HashMap::new(),
            ledger: Ledger::new(limits.ledger_entries),
            is_stopping: false,
            now: Time::ZERO,
        }
    }

    /// Takes a new or changed announcement of an endpoint. Queued attempts of an endpoint that
    /// takes no calls are refused, and those that got a slot are started.
    pub fn announce(
        &mut self,
        endpoint: &EndpointName,
        slots: Slots,
        state: EndpointState,
        now: Time,
        checks: &dyn Checks,
    ) -> Vec<Verdict> {
        let now = self.advance(now);
        let entry = self.endpoints.entry(endpoint.clone());
        let queue = entry.or_insert_with(|| EndpointQueue::new(slots, state, now));
        queue.slots = slots;
        queue.state = Some(state);
        self.refill(endpoint, now, checks)
    }

    /// Notes that the announcements of an endpoint have stopped.
    pub fn gone(
        &mut self,
        endpoint: &EndpointName,
        now: Time,
        checks: &dyn Checks,
    ) -> Vec<Verdict> {
        let now = self.advance(now);
        if let Some(queue) = self.endpoints.get_mut(endpoint) {
            queue.state = None;
        }
        let verdicts = self.refill(endpoint, now, checks);
        self.remove_if_gone(endpoint);
        verdicts
    }

    /// Takes a changed drain mark of an operator.
    pub fn set_drain(
        &mut self,
        endpoint: &EndpointName,
        drain: Drain,
        now: Time,
        checks: &dyn Checks,
    ) -> Vec<Verdict> {
        let now = self.advance(now);
        match drain {
            Drain::Drained => self.drained.insert(endpoint.clone()),
            Drain::InUse => self.drained.remove(endpoint),
        };
        self.refill(endpoint, now, checks)
    }

    /// Takes an attempt. The first verdict is about it; a second one is about an attempt that it
    /// displaced from the queue.
    pub fn arrive(&mut self, attempt: Attempt, now: Time, checks: &dyn Checks) -> Vec<Verdict> {
        let now = self.advance(now);
        self.ledger.expire(now);
        let id = attempt.id;
        let refuse = |code| vec![Verdict { attempt: id, decision: Decision::Refuse(code) }];
        match self.ledger.state(id) {
            Some(State::Refused(code)) => return refuse(code),
            Some(_) => return refuse(UNPROVEN),
            None => {}
        }
        if !is_recordable(attempt.start_by, now) {
            return refuse(UNPROVEN);
        }
        let refusal = match self.ledger.room() {
            Room::Full => return refuse(UNPROVEN),
            Room::RefusalsOnly => Some(ResultCode::QueueFull),
            Room::Any if self.is_stopping => Some(ResultCode::Stopping),
            Room::Any => self.refusal(&attempt, now, checks),
        };
        if let Some(code) = refusal {
            self.ledger.record(id, State::Refused(code), attempt.start_by);
            return refuse(code);
        }
        self.start_or_queue(attempt, now)
    }

    /// Notes that a running attempt has finished, and starts queued ones.
    pub fn finish(&mut self, id: AttemptId, now: Time, checks: &dyn Checks) -> Vec<Verdict> {
        let now = self.advance(now);
        if self.ledger.state(id) != Some(State::Running) {
            return Vec::new();
        }
        self.ledger.set(id, State::Ran, now);
        let Some(active) = self.active.remove(&id) else { return Vec::new() };
        if let Some(queue) = self.endpoints.get_mut(&active.endpoint) {
            queue.finish(id, &active.account, now);
        }
        let verdicts = self.refill(&active.endpoint, now, checks);
        self.remove_if_gone(&active.endpoint);
        verdicts
    }

    /// Notes that the entry has given up an attempt, for example by closing the link.
    pub fn cancel(&mut self, id: AttemptId, now: Time) -> Cancelled {
        let now = self.advance(now);
        match self.ledger.state(id) {
            Some(State::Running) => Cancelled::Running,
            Some(State::Queued) => {
                self.dequeue(id);
                self.ledger.set(id, State::Refused(ResultCode::AttemptFenced), now);
                Cancelled::Dequeued
            }
            _ => Cancelled::NotActive,
        }
    }

    /// Fences an attempt, so that it never starts unless it has already. `start_by` is that of the
    /// attempt, in the time of this guard; it tells whether the ledger would still know the
    /// attempt. A queued attempt is refused, which the verdict says.
    pub fn fence(
        &mut self,
        id: AttemptId,
        start_by: Time,
        now: Time,
    ) -> (FenceAnswer, Option<Verdict>) {
        let now = self.advance(now);
        self.ledger.expire(now);
        let is_queued = self.ledger.state(id) == Some(State::Queued);
        let answer = self.ledger.fence(id, start_by, now);
        if !is_queued {
            return (answer, None);
        }
        self.dequeue(id);
        let decision = Decision::Refuse(ResultCode::AttemptFenced);
        (answer, Some(Verdict { attempt: id, decision }))
    }

    /// Refuses queued attempts that have waited for their longest time and drops old records. To be
    /// called at [`Guard::wakeup`] and at least once a second.
    pub fn tick(&mut self, now: Time, checks: &dyn Checks) -> Vec<Verdict> {
        let now = self.advance(now);
        let mut verdicts = Vec::new();
        let mut late = Vec::new();
        for queue in self.endpoints.values_mut() {
            late.extend(queue.drain_queued(|attempt| attempt.queue_until <= now));
            queue.prune(now);
        }
        for attempt in late {
            verdicts.push(self.refuse_queued(attempt.id, ResultCode::DeadlineBeforeStart));
        }
        let names: Vec<EndpointName> = self.endpoints.keys().cloned().collect();
        for name in names {
            verdicts.extend(self.refill(&name, now, checks));
        }
        self.ledger.expire(now);
        verdicts
    }

    /// When the next queued attempt will have waited for its longest time.
    pub fn wakeup(&self) -> Option<Time> {
        self.endpoints.values().filter_map(EndpointQueue::earliest_queue_until).min()
    }

    /// Refuses new attempts from now on, and finishes the running and queued ones.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Progress of a graceful stop.
    pub fn stop_state(&self) -> StopState {
        match self.active.len() {
            _ if !self.is_stopping => StopState::Serving,
            0 => StopState::Empty,
            calls => StopState::Finishing { calls },
        }
    }

    /// Load of an endpoint, to be sent with each answer and table.
    pub fn load(&self, endpoint: &EndpointName) -> Option<LoadReport> {
        self.endpoints.get(endpoint).map(EndpointQueue::load)
    }

    /// Chance that a call which an upstream of this node makes now follows from a retry: the part of these
    /// in the running attempts.
    pub fn retry_share(&self) -> Percent {
        let is_running = |id: &AttemptId| self.ledger.state(*id) == Some(State::Running);
        let running = self.active.iter().filter(|(id, _)| is_running(id)).map(|(_, active)| active);
        let (retries, others): (Vec<_>, Vec<_>) =
            running.partition(|active| active.arrival == Arrival::Retry);
        let share = retries.len() * 100 / (retries.len() + others.len()).max(1);
        Percent::new(share as u8).unwrap_or_default()
    }

    /// Number of remembered attempts.
    pub fn ledger_len(&self) -> usize {
        self.ledger.len()
    }

    /// Time never runs backwards in the guard, since an older time could let a forgotten attempt
    /// pass the start-by check.
    fn advance(&mut self, now: Time) -> Time {
        self.now = self.now.max(now);
        self.now
    }

    /// The checks that are made in the same step as marking an attempt as running.
    fn refusal(&self, attempt: &Attempt, now: Time, checks: &dyn Checks) -> Option<ResultCode> {
        let Some(queue) = self.endpoints.get(&attempt.endpoint) else {
            return Some(ResultCode::EndpointUnknown);
        };
        match queue.state {
            Some(EndpointState::Ready) if !self.drained.contains(&attempt.endpoint) => {}
            Some(EndpointState::Starting) => return Some(ResultCode::EndpointUnknown),
            _ => return Some(ResultCode::EndpointLeaving),
        }
        if attempt.start_by <= now {
            return Some(ResultCode::DeadlineBeforeStart);
        }
        match checks.check(attempt) {
            Check::Allowed => None,
            Check::Refused(code) => Some(code),
        }
    }

    fn start_or_queue(&mut self, attempt: Attempt, now: Time) -> Vec<Verdict> {
        let id = attempt.id;
        let start_by = attempt.start_by;
        let verdict = |decision| Verdict { attempt: id, decision };
        let Some(queue) = self.endpoints.get_mut(&attempt.endpoint) else { return Vec::new() };
        let active = Active {
            endpoint: attempt.endpoint.clone(),
            account: attempt.account.clone(),
            arrival: attempt.arrival,
        };
        let (arrival, allowance) = (attempt.arrival, attempt.allowance);
        if arrival == Arrival::Retry && !queue.retries.has_room(allowance, now) {
            self.ledger.record(id, State::Refused(ResultCode::RetriesExhausted), start_by);
            return vec![verdict(Decision::Refuse(ResultCode::RetriesExhausted))];
        }
        if queue.has_free_slot() {
            queue.start(&attempt, now);
            queue.retries.count(arrival, allowance, now);
            self.ledger.record(id, State::Running, start_by);
            self.active.insert(id, active);
            return vec![verdict(Decision::Start)];
        }
        let is_too_long = match attempt.patience {
            Patience::AtMost(wait) => queue.load().expected_wait() > wait,
            Patience::UntilStartBy => !queue.has_time_to_wait(&attempt, now),
        };
        if is_too_long {
            self.ledger.record(id, State::Refused(ResultCode::QueueFull), start_by);
            return vec![verdict(Decision::Refuse(ResultCode::QueueFull))];
        }
        let capacity = queue.slots.0 * self.limits.queue_per_slot;
        let mut verdicts = vec![verdict(Decision::Queued)];
        let enqueued = queue.enqueue(attempt, capacity, now);
        if !matches!(enqueued, Enqueued::Full) {
            queue.retries.count(arrival, allowance, now);
        }
        match enqueued {
            Enqueued::Queued => {}
            Enqueued::Displaced(other) => {
                verdicts.push(self.refuse_queued(other.id, ResultCode::QueueFull));
            }
            Enqueued::Full => {
                self.ledger.record(id, State::Refused(ResultCode::QueueFull), start_by);
                return vec![verdict(Decision::Refuse(ResultCode::QueueFull))];
            }
        }
        self.ledger.record(id, State::Queued, start_by);
        self.active.insert(id, active);
        verdicts
    }

    /// Starts queued attempts while slots are free, with the same checks as at arrival. Where the
    /// endpoint takes no calls, all queued attempts are refused.
    fn refill(&mut self, endpoint: &EndpointName, now: Time, checks: &dyn Checks) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let is_drained = self.drained.contains(endpoint);
        while let Some(queue) = self.endpoints.get_mut(endpoint) {
            let takes_calls = queue.state == Some(EndpointState::Ready) && !is_drained;
            if takes_calls && !queue.has_free_slot() {
                break;
            }
            let Some(attempt) = queue.take_next(now) else { break };
            // A call that must fail at its deadline would keep the slot from one that can succeed.
            let is_late = takes_calls && !queue.has_time_to_run(&attempt, now);
            let late = is_late.then_some(ResultCode::DeadlineBeforeStart);
            if let Some(code) = late.or_else(|| self.refusal(&attempt, now, checks)) {
                verdicts.push(self.refuse_queued(attempt.id, code));
                continue;
            }
            if let Some(queue) = self.endpoints.get_mut(endpoint) {
                queue.start(&attempt, now);
            }
            self.ledger.set(attempt.id, State::Running, now);
            verdicts.push(Verdict { attempt: attempt.id, decision: Decision::Start });
        }
        verdicts
    }

    /// Records the refusal of an attempt that has left its queue.
    fn refuse_queued(&mut self, id: AttemptId, code: ResultCode) -> Verdict {
        self.active.remove(&id);
        self.ledger.set(id, State::Refused(code), self.now);
        Verdict { attempt: id, decision: Decision::Refuse(code) }
    }

    fn dequeue(&mut self, id: AttemptId) {
        let Some(active) = self.active.remove(&id) else { return };
        if let Some(queue) = self.endpoints.get_mut(&active.endpoint) {
            queue.remove_queued(id, &active.account);
        }
    }

    fn remove_if_gone(&mut self, endpoint: &EndpointName) {
        let is_gone = |queue: &EndpointQueue| queue.state.is_none() && queue.load().running == 0;
        if self.endpoints.get(endpoint).is_some_and(is_gone) {
            self.endpoints.remove(endpoint);
        }
    }
}
