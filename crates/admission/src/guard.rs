//! Admission control: decides whether each attempt starts, waits for a slot or is refused.

mod endpoints;
mod status;

use std::collections::{BTreeMap, HashMap, HashSet};

use model::{AccountName, AttemptId, EndpointName, EndpointState, ResultCode, Time};

use crate::attempt::{Attempt, AttemptDecision, CancelOutcome, Check, Checks, Decision, WaitLimit};
use crate::cold::ColdEndpoints;
use crate::ledger::{AttemptState, FenceAnswer, Ledger, LedgerCapacity, is_recordable};
use crate::limits::{GuardLimits, OverloadControl};
use crate::queue::{EndpointQueue, EnqueueResult};
use crate::retries::{AttemptKind, RetryPart, RetryWindows};

/// Code of a refusal that doesn't prove to the entry node that the attempt did not run: either a
/// duplicate of the attempt may have run, or the refusal could not be recorded.
const INCONCLUSIVE_REFUSAL: ResultCode = ResultCode::AttemptRepeated;

/// Location of a queued or running attempt, and how it counts towards the retry limit.
#[derive(Debug)]
struct ActiveAttempt {
    endpoint: EndpointName,
    account: Option<AccountName>,
    kind: AttemptKind,
    start_by: Time,
}

/// Admission control for the endpoints of one node; the [crate] has an example.
#[derive(Debug)]
pub struct Guard {
    limits: GuardLimits,
    endpoints: BTreeMap<EndpointName, EndpointQueue>,
    cold: ColdEndpoints,
    drained: HashSet<EndpointName>,
    active: HashMap<AttemptId, ActiveAttempt>,
    ledger: Ledger,
    is_stopping: bool,
    /// Whether the failure domain of the node is evacuated.
    is_evacuated: bool,
    retries: RetryWindows,
    now: Time,
}

impl Guard {
    /// Creates a guard without endpoints.
    pub fn new(limits: GuardLimits) -> Guard {
        Guard {
            limits,
            endpoints: BTreeMap::new(),
            cold: ColdEndpoints::default(),
            drained: HashSet::new(),
            active: HashMap::new(),
            ledger: Ledger::new(limits.ledger_capacity),
            is_stopping: false,
            is_evacuated: false,
            retries: RetryWindows::default(),
            now: Time::ZERO,
        }
    }

    /// Decides about a new attempt. The first decision is about this attempt; others are about an attempt
    /// that it displaced from the queue, and about queued ones for which the limit of a cold endpoint has
    /// become free.
    pub fn submit(
        &mut self,
        attempt: Attempt,
        now: Time,
        checks: &dyn Checks,
    ) -> Vec<AttemptDecision> {
        let now = self.advance_clock(now);
        self.ledger.expire(now);
        let id = attempt.id;
        let refuse = |code| vec![AttemptDecision { attempt: id, decision: Decision::Refuse(code) }];
        match self.ledger.state(id) {
            Some(AttemptState::Refused(code)) => return refuse(code),
            Some(_) => return refuse(INCONCLUSIVE_REFUSAL),
            None => {}
        }
        if !is_recordable(attempt.start_by, now) {
            return refuse(INCONCLUSIVE_REFUSAL);
        }
        let refusal_code = match self.ledger.remaining_capacity() {
            LedgerCapacity::Full => return refuse(INCONCLUSIVE_REFUSAL),
            LedgerCapacity::RefusalsOnly => Some(ResultCode::QueueFull),
            LedgerCapacity::Available if self.is_stopping => Some(ResultCode::Stopping),
            LedgerCapacity::Available => self.refusal_code(&attempt, now, checks),
        };
        if let Some(code) = refusal_code {
            self.ledger.record(id, AttemptState::Refused(code), attempt.start_by);
            return refuse(code);
        }
        // A call that has waited for the limit of a cold endpoint goes before a new one.
        let due = match self.cold.has_policy(&attempt.endpoint) {
            true => self.start_queued(&attempt.endpoint, now, checks),
            false => Vec::new(),
        };
        let mut decisions = self.start_or_queue(attempt, now);
        decisions.extend(due);
        decisions
    }

    /// Frees the slot of a running attempt that has finished, and starts queued ones.
    pub fn finish(
        &mut self,
        id: AttemptId,
        now: Time,
        checks: &dyn Checks,
    ) -> Vec<AttemptDecision> {
        let now = self.advance_clock(now);
        if self.ledger.state(id) != Some(AttemptState::Running) {
            return Vec::new();
        }
        self.ledger.update_state(id, AttemptState::Ran, now);
        let Some(active) = self.active.remove(&id) else { return Vec::new() };
        if let Some(queue) = self.endpoints.get_mut(&active.endpoint) {
            queue.finish(id, &active.account, now);
        }
        let decisions = self.start_queued(&active.endpoint, now, checks);
        self.remove_if_unannounced(&active.endpoint);
        decisions
    }

    /// Cancels an attempt that the entry node has abandoned, for example by closing the connection.
    pub fn cancel(&mut self, id: AttemptId, now: Time) -> CancelOutcome {
        let now = self.advance_clock(now);
        match self.ledger.state(id) {
            Some(AttemptState::Running) => CancelOutcome::Running,
            Some(AttemptState::Queued) => {
                self.dequeue(id);
                self.ledger.update_state(id, AttemptState::Refused(ResultCode::AttemptFenced), now);
                CancelOutcome::Dequeued
            }
            _ => CancelOutcome::NotActive,
        }
    }

    /// Prevents an attempt from starting, unless it has started already. `start_by` is the start-by
    /// deadline of the attempt by the clock of this guard; it shows whether a record of the attempt
    /// would still exist. If the attempt was queued, the decision refuses it.
    pub fn fence(
        &mut self,
        id: AttemptId,
        start_by: Time,
        now: Time,
    ) -> (FenceAnswer, Option<AttemptDecision>) {
        let now = self.advance_clock(now);
        self.ledger.expire(now);
        let is_queued = self.ledger.state(id) == Some(AttemptState::Queued);
        let answer = self.ledger.fence(id, start_by, now);
        if !is_queued {
            return (answer, None);
        }
        self.dequeue(id);
        let decision = Decision::Refuse(ResultCode::AttemptFenced);
        (answer, Some(AttemptDecision { attempt: id, decision }))
    }

    /// Refuses queued attempts whose `queue_until` has passed, starts others in free slots, and removes
    /// expired records. The caller runs it at [`Guard::next_queue_deadline`] and at least once a second.
    pub fn tick(&mut self, now: Time, checks: &dyn Checks) -> Vec<AttemptDecision> {
        let now = self.advance_clock(now);
        let mut decisions = Vec::new();
        let (mut expired, mut starving) = (Vec::new(), Vec::new());
        for queue in self.endpoints.values_mut() {
            expired.extend(queue.remove_queued_if(|attempt| attempt.queue_until <= now));
            if self.limits.overload_control == OverloadControl::On {
                starving.extend(queue.remove_starving(now));
            }
            queue.prune_accounts(now);
        }
        for attempt in expired {
            decisions.push(self.refuse_queued(attempt.id, ResultCode::DeadlineBeforeStart));
        }
        for attempt in starving {
            decisions.push(self.refuse_queued(attempt.id, ResultCode::QueueFull));
        }
        let names: Vec<EndpointName> = self.endpoints.keys().cloned().collect();
        for name in names {
            decisions.extend(self.start_queued(&name, now, checks));
        }
        self.cold.prune(|name| self.endpoints.contains_key(name), now);
        self.retries.prune(now);
        self.ledger.expire(now);
        decisions
    }

    /// Begins a graceful shutdown: new attempts are refused, queued and running ones finish.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Keeps the clock of the guard monotonic, since an earlier time could let a duplicate of an attempt
    /// whose record has expired pass the start-by check.
    fn advance_clock(&mut self, now: Time) -> Time {
        self.now = self.now.max(now);
        self.retries.begin(self.now);
        self.now
    }

    /// Returns the reason why an attempt must not run now, if there is one. Called in the same step in
    /// which the attempt is recorded as running or queued.
    fn refusal_code(
        &self,
        attempt: &Attempt,
        now: Time,
        checks: &dyn Checks,
    ) -> Option<ResultCode> {
        let Some(queue) = self.endpoints.get(&attempt.endpoint) else {
            return Some(ResultCode::EndpointUnknown);
        };
        match queue.announced_state {
            Some(EndpointState::Ready) if !self.drained.contains(&attempt.endpoint) => {}
            Some(EndpointState::Starting) => return Some(ResultCode::EndpointUnknown),
            _ => return Some(ResultCode::EndpointLeaving),
        }
        if self.is_evacuated {
            return Some(ResultCode::DomainEvacuated);
        }
        if attempt.start_by <= now {
            return Some(ResultCode::DeadlineBeforeStart);
        }
        match checks.check(attempt) {
            Check::Allowed => None,
            Check::Refused(code) => Some(code),
        }
    }

    fn start_or_queue(&mut self, attempt: Attempt, now: Time) -> Vec<AttemptDecision> {
        let id = attempt.id;
        let start_by = attempt.start_by;
        let decide = |decision| AttemptDecision { attempt: id, decision };
        let Some(queue) = self.endpoints.get_mut(&attempt.endpoint) else { return Vec::new() };
        let active = ActiveAttempt {
            endpoint: attempt.endpoint.clone(),
            account: attempt.account.clone(),
            kind: attempt.kind,
            start_by,
        };
        let (service, kind, retry_limit) =
            (attempt.service.clone(), attempt.kind, attempt.retry_limit);
        let has_reserve = self.limits.overload_control == OverloadControl::On;
        let part = match has_reserve && attempt.priority > 0 {
            true => RetryPart::Unreserved,
            false => RetryPart::Whole,
        };
        let retries = &mut self.retries;
        if kind.is_limited() && !retries.allows_retry(&service, retry_limit, part, now) {
            self.ledger.record(id, AttemptState::Refused(ResultCode::RetriesExhausted), start_by);
            return vec![decide(Decision::Refuse(ResultCode::RetriesExhausted))];
        }
        queue.record_arrival(&attempt, now);
        let has_slot = match self.limits.overload_control {
            OverloadControl::On => queue.has_unreserved_slot(&attempt, now),
            OverloadControl::Off => queue.has_free_slot(),
        };
        let is_reserved = !has_slot && queue.has_free_slot();
        let cold = &mut self.cold;
        let is_limited = has_slot && !cold.may_start(&attempt.endpoint, now);
        if has_slot && !is_limited {
            queue.start(&attempt, now);
            cold.record_start(&attempt.endpoint, now);
            retries.record(&service, kind, retry_limit, now);
            self.ledger.record(id, AttemptState::Running, start_by);
            self.active.insert(id, active);
            return vec![decide(Decision::Start)];
        }
        let cold_wait = |ahead| cold.start_time(&attempt.endpoint, ahead, now).since(now);
        let is_wait_too_long = match attempt.wait_limit {
            WaitLimit::AtMost(wait) => {
                let load = queue.load();
                is_reserved || load.expected_wait().max(cold_wait(load.queued)) > wait
            }
            WaitLimit::UntilDeadline => {
                !queue.has_time_to_wait(&attempt, now, cold_wait)
                    || self.limits.foresees_starvation(queue, &attempt, now)
            }
        };
        if is_limited {
            match is_wait_too_long {
                true => cold.record_refused(),
                false => cold.record_queued(),
            }
        }
        if is_wait_too_long {
            self.ledger.record(id, AttemptState::Refused(ResultCode::QueueFull), start_by);
            return vec![decide(Decision::Refuse(ResultCode::QueueFull))];
        }
        let capacity = queue.slots.0 * self.limits.queue_per_slot;
        let mut decisions = vec![decide(Decision::Queued)];
        let enqueued = queue.enqueue(attempt, capacity, now);
        // An attempt that is limited counts at once: otherwise one retry that is left would admit all that
        // arrive before the first of them starts. Others count once they start: if they are refused in the
        // queue, the call counts at the endpoint that it goes to next.
        if !matches!(enqueued, EnqueueResult::Full) && kind.is_limited() {
            retries.record(&service, kind, retry_limit, now);
        }
        match enqueued {
            EnqueueResult::Queued => {}
            EnqueueResult::Displaced(other) => {
                decisions.push(self.refuse_queued(other.id, ResultCode::QueueFull));
            }
            EnqueueResult::Full => {
                self.ledger.record(id, AttemptState::Refused(ResultCode::QueueFull), start_by);
                return vec![decide(Decision::Refuse(ResultCode::QueueFull))];
            }
        }
        self.ledger.record(id, AttemptState::Queued, start_by);
        self.active.insert(id, active);
        decisions
    }

    /// Starts queued attempts while slots are free and the limit of a cold endpoint allows it, after the same
    /// checks as at arrival. If the endpoint takes no calls, all its queued attempts are refused.
    fn start_queued(
        &mut self,
        endpoint: &EndpointName,
        now: Time,
        checks: &dyn Checks,
    ) -> Vec<AttemptDecision> {
        let mut decisions = Vec::new();
        let is_drained = self.drained.contains(endpoint) || self.is_evacuated;
        while let Some(queue) = self.endpoints.get_mut(endpoint) {
            let takes_calls = queue.announced_state == Some(EndpointState::Ready) && !is_drained;
            let may_start = queue.has_free_slot() && self.cold.may_start(endpoint, now);
            if takes_calls && !may_start {
                break;
            }
            let has_reserves = self.limits.overload_control == OverloadControl::On;
            if takes_calls && has_reserves && !queue.may_start_next(now) {
                break;
            }
            let Some(attempt) = queue.pop_next(now) else { break };
            // A call that is unlikely to finish before its deadline would take the slot from one that can.
            let is_late = takes_calls && !queue.has_time_to_run(&attempt, now);
            let late_code = is_late.then_some(ResultCode::DeadlineBeforeStart);
            if let Some(code) = late_code.or_else(|| self.refusal_code(&attempt, now, checks)) {
                decisions.push(self.refuse_queued(attempt.id, code));
                continue;
            }
            if let Some(queue) = self.endpoints.get_mut(endpoint) {
                queue.start(&attempt, now);
                if !attempt.kind.is_limited() {
                    let Attempt { service, kind, retry_limit, .. } = &attempt;
                    self.retries.record(service, *kind, *retry_limit, now);
                }
                self.cold.record_start(endpoint, now);
            }
            self.ledger.update_state(attempt.id, AttemptState::Running, now);
            decisions.push(AttemptDecision { attempt: attempt.id, decision: Decision::Start });
        }
        decisions
    }

    /// Records the refusal of an attempt that has been removed from its queue.
    fn refuse_queued(&mut self, id: AttemptId, code: ResultCode) -> AttemptDecision {
        self.active.remove(&id);
        self.ledger.update_state(id, AttemptState::Refused(code), self.now);
        AttemptDecision { attempt: id, decision: Decision::Refuse(code) }
    }

    fn dequeue(&mut self, id: AttemptId) {
        let Some(active) = self.active.remove(&id) else { return };
        if let Some(queue) = self.endpoints.get_mut(&active.endpoint) {
            queue.remove_queued(id, &active.account);
        }
    }

    fn remove_if_unannounced(&mut self, endpoint: &EndpointName) {
        let is_removable =
            |queue: &EndpointQueue| queue.announced_state.is_none() && queue.load().running == 0;
        if self.endpoints.get(endpoint).is_some_and(is_removable) {
            self.endpoints.remove(endpoint);
        }
    }
}
