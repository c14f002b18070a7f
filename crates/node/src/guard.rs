//! The guard: admits attempts to the endpoints of this instance, queues them and runs them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use admission::{
    Attempt, AttemptDecision, AttemptKind, CancelOutcome, Check, Checks, ColdChange, ColdLimit,
    ColdNotice, Decision, DrainState, FenceAnswer, Guard, GuardLimits, InitialRetries,
    OverloadControl, RateStatus, StopState, WaitLimit,
};
use config::{Replica, Revisions};
use health::{CallResult, EndpointHealth, HealthDecision};
use log::info;
use model::{
    Access, AccountName, AttemptId, Endpoint, EndpointName, KeyId, Percent, Rate, ResultCode,
    Revision, Time,
};
use payload::Payload;
use peer::CallReply;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};
use wire::{Call, EndpointLoad, FenceStatus};

use crate::call_log::CallLog;
use crate::metrics::GuardRetryLabel;
use crate::retry_limits::RetryPart;
use crate::shared::{Node, SharedMap, lock, read};
use crate::upstream_call;

/// Longest interval between two queue checks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest interval between two queue checks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);

/// Fair-share weight of all calls on open routes combined, relative to the rates of the accounts.
const OPEN_ROUTE_RATE: Rate = Rate::per_second(100);

/// The admission core together with the per-attempt and per-endpoint state of this node.
pub(crate) struct LocalGuard {
    state: Mutex<State>,
    /// Locked after `state`.
    health: SharedMap<EndpointName, EndpointHealth>,
    /// Endpoints that sent a response to another request, with the time until which connections to
    /// them are not reused.
    pub(crate) reuse_suspended_until: SharedMap<EndpointName, Time>,
    applied_marks: Mutex<AppliedMarks>,
    /// Number of announcements that were accepted.
    announcements: AtomicU64,
    /// Wakes the queue check when a call waits for the limit of a cold endpoint.
    queue_check_moved: Notify,
}

/// The drain marks that were applied last.
#[derive(Default)]
struct AppliedMarks {
    revision: Revision,
    endpoints: Vec<EndpointName>,
}

struct State {
    core: Guard,
    /// Channels that deliver the decisions for queued attempts to their tasks.
    decision_senders: HashMap<AttemptId, oneshot::Sender<Decision>>,
    credentials: HashMap<AttemptId, Credentials>,
}

/// Client account, key and configuration revisions with which the entry node accepted an attempt.
struct Credentials {
    account: Option<(AccountName, KeyId)>,
    revisions: Revisions,
}

impl LocalGuard {
    pub(crate) fn new(overload_control: bool) -> LocalGuard {
        let overload_control = match overload_control {
            true => OverloadControl::On,
            false => OverloadControl::Off,
        };
        let state = State {
            core: Guard::new(GuardLimits { overload_control, ..GuardLimits::default() }),
            decision_senders: HashMap::new(),
            credentials: HashMap::new(),
        };
        LocalGuard {
            state: Mutex::new(state),
            health: SharedMap::default(),
            reuse_suspended_until: SharedMap::default(),
            applied_marks: Mutex::default(),
            announcements: AtomicU64::new(0),
            queue_check_moved: Notify::new(),
        }
    }

    /// Begins to apply the drain marks of `revision`. Returns the endpoints marked by the previous
    /// update, or `None` if that update was at this revision or a later one.
    pub(crate) fn begin_mark_update(&self, revision: Revision) -> Option<Vec<EndpointName>> {
        let mut applied = lock(&self.applied_marks);
        if applied.revision >= revision {
            return None;
        }
        applied.revision = revision;
        Some(std::mem::take(&mut applied.endpoints))
    }

    /// Makes the next update apply the drain marks, although the replica is at the revision of the last one.
    pub(crate) fn require_mark_update(&self) {
        lock(&self.applied_marks).revision = Revision::ZERO;
    }

    /// Applies the operators' drain marks. `marked` lists all endpoints that now carry a mark.
    pub(crate) fn set_marks(
        &self,
        node: &Node,
        drained: &[(EndpointName, DrainState)],
        marked: Vec<EndpointName>,
    ) {
        lock(&self.applied_marks).endpoints = marked;
        for (endpoint, drain) in drained {
            self.apply(node, |core, now, checks| core.set_drain(endpoint, *drain, now, checks));
        }
    }

    /// Takes over from the view of the node whether its failure domain is evacuated. Queued attempts are
    /// refused at once if it is.
    pub(crate) fn update_evacuation(&self, node: &Node) {
        self.apply(node, |core, now, checks| {
            // Read under the lock of the guard, so that the latest state is applied last.
            let is_evacuated = node.evacuations.is_evacuated(&node.info().domain);
            core.set_evacuated(is_evacuated, now, checks)
        });
    }

    /// Adds an endpoint, or updates its slots and state.
    pub(crate) fn update_endpoint(&self, node: &Node, endpoint: &Endpoint) {
        let Endpoint { name, slots, state, .. } = endpoint;
        self.apply(node, |core, now, checks| {
            core.update_endpoint(name, *slots, *state, now, checks)
        });
    }

    /// Position of an announcement among those that were accepted. The caller holds the lock of the
    /// announcements, so that the positions have the order in which they were accepted.
    pub(crate) fn next_announcement(&self) -> u64 {
        self.announcements.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Applies what an accepted announcement tells about how long its endpoint remains cold.
    pub(crate) fn announce_cold(&self, node: &Node, endpoint: &Endpoint, notice: ColdNotice) {
        let policy = read(&node.config).service_policy(&endpoint.service);
        let name = &endpoint.name;
        let source = match notice.cold_left {
            Some(_) => "announced",
            None => "assumed, since its announcement doesn't tell",
        };
        self.change_cold(node, name, source, |core, now, checks| {
            core.announce_cold(name, notice, policy, now, checks)
        });
    }

    /// Applies the policies of a changed configuration to the endpoints of this node.
    pub(crate) fn update_service_policies(&self, node: &Node) {
        let endpoints = lock(&node.announcements).table();
        for Endpoint { name, service, .. } in &endpoints {
            let policy = read(&node.config).service_policy(service);
            self.change_cold(node, name, "by the configuration", |core, now, checks| {
                core.set_service_policy(name, policy, now, checks)
            });
        }
    }

    fn change_cold(
        &self,
        node: &Node,
        endpoint: &EndpointName,
        source: &str,
        event: impl FnOnce(&mut Guard, Time, &dyn Checks) -> (ColdChange, Vec<AttemptDecision>),
    ) {
        let mut change = ColdChange::Unchanged;
        self.apply(node, |core, now, checks| {
            let (cold_change, decisions) = event(core, now, checks);
            change = cold_change;
            decisions
        });
        match change {
            ColdChange::Unchanged => {}
            ColdChange::BecameCold(limit) => {
                let left = limit.until.since(node.now());
                let rate = limit.per_second;
                info!("endpoint {endpoint} is cold for {left:?} and gets {rate} ({source})");
            }
            ColdChange::BecameWarm => info!("endpoint {endpoint} is no longer cold ({source})"),
        }
        self.report_cold(node);
    }

    /// Updates the metrics of cold endpoints.
    fn report_cold(&self, node: &Node) {
        let mut state = lock(&self.state);
        let counts = state.core.take_cold_counts();
        node.metrics.cold_endpoints.set(state.core.cold_endpoints() as i64);
        node.metrics.cold_refusals.inc_by(counts.refused);
        node.metrics.cold_waits.inc_by(counts.queued);
    }

    pub(crate) fn remove_endpoint(&self, node: &Node, endpoint: &EndpointName) {
        lock(&self.health).remove(endpoint);
        lock(&self.reuse_suspended_until).remove(endpoint);
        self.apply(node, |core, now, checks| core.remove_endpoint(endpoint, now, checks));
    }

    /// Applies when the previous process of this node started, as its record tells. If that was just before
    /// this process, the spare retries that endpoints have got at once are withheld again.
    pub(crate) fn set_previous_start(&self, node: &Node, previous_ms: Option<u64>) {
        // The clock of the node starts with its process.
        let initial = InitialRetries::after(previous_ms, node.started_ms, Time::ZERO);
        let is_later = lock(&self.state).core.set_initial_retries(initial);
        if let (InitialRetries::Successor { spare_from }, true) = (initial, is_later) {
            let left = spare_from.since(node.now());
            info!("no spare retries for {left:?}: the previous process had just started");
        }
    }

    /// Whether endpoints get no spare retries yet.
    pub(crate) fn withholds_initial_retries(&self, now: Time) -> bool {
        lock(&self.state).core.withholds_initial_retries(now)
    }

    /// Whether the next process of the node has to know of this one: if it follows soon, it must not grant the
    /// retries again that this one may have granted, or the one before it.
    pub(crate) fn next_process_needs_start(&self, now: Time) -> bool {
        let state = lock(&self.state);
        state.core.has_taken_retries(now) || state.core.withholds_initial_retries(now)
    }

    /// Stops admitting attempts; queued and running ones are finished.
    pub(crate) fn stop(&self) {
        lock(&self.state).core.stop();
    }

    /// Whether the guard has been stopped and all of its attempts have ended.
    pub(crate) fn is_drained(&self) -> bool {
        lock(&self.state).core.stop_state() == StopState::Empty
    }

    /// Fences an attempt: keeps it from starting if it has not started yet, and returns its status.
    pub(crate) fn fence(&self, attempt: AttemptId, start_by: Time, now: Time) -> FenceStatus {
        let mut state = lock(&self.state);
        let (answer, decision) = state.core.fence(attempt, start_by, now);
        state.dispatch(decision);
        match answer {
            FenceAnswer::NotRun => FenceStatus::NotRun,
            FenceAnswer::Running => FenceStatus::Running,
            FenceAnswer::Ran => FenceStatus::Ran,
            FenceAnswer::Unknown => FenceStatus::Unknown,
        }
    }

    /// Time since which an endpoint of this node has been suspect.
    pub(crate) fn suspect_since(&self, endpoint: &EndpointName) -> Option<Time> {
        lock(&self.health).get(endpoint).and_then(EndpointHealth::suspect_since)
    }

    /// Limit of an endpoint of this node that is cold at `now`.
    pub(crate) fn cold_limit(&self, endpoint: &EndpointName, now: Time) -> Option<ColdLimit> {
        lock(&self.state).core.cold_limit(endpoint, now)
    }

    /// Updates the health of an endpoint with the result of a call.
    pub(crate) fn record_result(
        &self,
        node: &Node,
        call: &Call,
        started: Time,
        result: CallResult,
    ) {
        let (now, endpoint) = (node.now(), &call.endpoint);
        let mut endpoints = lock(&self.health);
        let health = endpoints.entry(endpoint.clone()).or_default();
        let Some(suspect_since) = health.record(started, now, &call.route, result) else { return };
        match health.suspect_since() {
            Some(_) => {
                node.metrics.suspicions.inc();
                let id = &call.request;
                info!("endpoint {endpoint} is suspect after request {id} ended with {result:?}");
            }
            None => {
                let suspect_for = now.since(suspect_since);
                info!(
                    "endpoint {endpoint} is trusted again after being suspect for {suspect_for:?}"
                );
            }
        }
    }

    /// Time after which a running call counts as overdue.
    pub(crate) fn overdue_after(&self, node: &Node, call: &Call) -> Duration {
        let route = read(&node.config).route_by_name(&call.route).cloned();
        let goal = route.and_then(|route| route.policy().goal());
        let mut endpoints = lock(&self.health);
        endpoints.entry(call.endpoint.clone()).or_default().overdue_after(&call.route, goal)
    }

    /// Probability that a call which a local upstream makes now, and waits for until `deadline`, was caused by
    /// a retry.
    pub(crate) fn retry_origin(&self, deadline: Option<Time>) -> Percent {
        lock(&self.state).core.retry_origin(deadline)
    }

    pub(crate) fn load(&self, endpoint: &EndpointName) -> Option<EndpointLoad> {
        lock(&self.state).load(endpoint)
    }

    /// Passes an event to the core and delivers the decisions that it causes.
    fn apply(
        &self,
        node: &Node,
        event: impl FnOnce(&mut Guard, Time, &dyn Checks) -> Vec<AttemptDecision>,
    ) {
        let mut state = lock(&self.state);
        let State { core, credentials, .. } = &mut *state;
        let checks = GuardChecks { node, credentials };
        let decisions = event(core, node.now(), &checks);
        state.dispatch(decisions);
        self.move_queue_check(&state);
    }

    /// Has the time of the next queue check determined anew if a call waits for the limit of a cold
    /// endpoint. It may wait for that only since another one has freed its slot.
    fn move_queue_check(&self, state: &State) {
        if state.core.has_limited_attempts() {
            self.queue_check_moved.notify_one();
        }
    }

    /// Earliest time at which the queue check has something to decide.
    fn next_queue_deadline(&self) -> Option<Time> {
        lock(&self.state).core.next_queue_deadline()
    }
}

impl State {
    fn load(&self, endpoint: &EndpointName) -> Option<EndpointLoad> {
        let report = self.core.load(endpoint)?;
        Some(EndpointLoad { endpoint: endpoint.clone(), report })
    }

    /// Delivers decisions to the attempts that wait for them.
    fn dispatch(&mut self, decisions: impl IntoIterator<Item = AttemptDecision>) {
        for AttemptDecision { attempt, decision } in decisions {
            if let Some(tx) = self.decision_senders.remove(&attempt) {
                let _ = tx.send(decision);
            }
        }
    }
}

/// Admission checks that need the configuration or the health of the endpoint.
struct GuardChecks<'a> {
    node: &'a Node,
    credentials: &'a HashMap<AttemptId, Credentials>,
}

impl Checks for GuardChecks<'_> {
    fn check(&self, attempt: &Attempt) -> Check {
        let Some(credentials) = self.credentials.get(&attempt.id) else {
            return Check::Refused(ResultCode::KeyMissing);
        };
        if let Some(code) = self.refusal(attempt, credentials) {
            return Check::Refused(code);
        }
        let mut endpoints = lock(&self.node.guard.health);
        let health = endpoints.entry(attempt.endpoint.clone()).or_default();
        match health.admit(self.node.now(), attempt.is_idempotent, attempt.accepts_suspect) {
            HealthDecision::Admitted(_) => Check::Allowed,
            HealthDecision::Refused => Check::Refused(ResultCode::EndpointSuspect),
        }
    }
}

impl GuardChecks<'_> {
    /// Checks the authorization again if this node's configuration is newer than the entry node's.
    ///
    /// The entry node has already checked the request against its own configuration. A node whose
    /// configuration is older must not refuse what the entry node rightly allows.
    fn refusal(&self, attempt: &Attempt, credentials: &Credentials) -> Option<ResultCode> {
        let config = read(&self.node.config);
        if !config.revisions().supersedes(credentials.revisions) {
            return None;
        }
        let superseded = Some(ResultCode::Superseded);
        let Some(route) = config.route_by_name(&attempt.route) else { return superseded };
        if route.policy().access == Access::Open {
            return None;
        }
        let Some((account, key)) = &credentials.account else { return superseded };
        let known_key = config.key(key.as_str());
        let is_valid = known_key.is_some_and(|known| known.account() == account.as_str());
        if is_valid { None } else { superseded }
    }
}

/// Runs one attempt and logs its outcome.
pub(crate) async fn serve(node: &Arc<Node>, call: Call, body: Payload) -> CallReply {
    let mut log = CallLog::start(node, &call);
    let reply = admit_and_run(node, call, body, &mut log).await;
    log.finish(&reply);
    reply
}

async fn admit_and_run(
    node: &Arc<Node>,
    call: Call,
    body: Payload,
    log: &mut CallLog,
) -> CallReply {
    let Some(endpoint) = lock(&node.announcements).endpoint(&call.endpoint).cloned() else {
        return refused(node, &call, ResultCode::EndpointUnknown);
    };
    let refused = |code| refused(node, &call, code);
    let retry_part = RetryPart::of(node, &endpoint);
    log.record_retry_part(retry_part);
    let active = match submit(node, &call, &endpoint, retry_part) {
        Submitted::Refused(code) => return refused(code),
        Submitted::Started(active) => active,
        Submitted::Queued(active, rx) => match rx.await {
            Ok(Decision::Start) => active,
            Ok(Decision::Refuse(code)) => return refused(code),
            Ok(Decision::Queued) | Err(_) => return refused(ResultCode::Stopping),
        },
    };
    log.record_start();
    upstream_call::run(node, call, endpoint.addr, body, active).await
}

/// The reply to a call that was not run.
pub(crate) fn refused(node: &Node, call: &Call, code: ResultCode) -> CallReply {
    if code == ResultCode::DomainEvacuated {
        node.metrics.evacuation_refusals.inc();
    }
    let (load, revisions) = (node.guard.load(&call.endpoint), read(&node.config).revisions());
    CallReply::Refused { code, load, revisions }
}

/// Result of submitting an attempt to the core.
enum Submitted {
    Started(ActiveAttempt),
    Queued(ActiveAttempt, oneshot::Receiver<Decision>),
    Refused(ResultCode),
}

fn submit(node: &Arc<Node>, call: &Call, endpoint: &Endpoint, retry_part: RetryPart) -> Submitted {
    let id = call.attempt;
    let attempt = Attempt {
        id,
        endpoint: endpoint.name.clone(),
        service: endpoint.service.clone(),
        route: call.route.clone(),
        account: call.account.as_ref().map(|(account, _)| account.clone()),
        rate: account_rate(node, call),
        rate_status: if call.over_rate { RateStatus::OverRate } else { RateStatus::WithinRate },
        start_by: call.start_by,
        queue_until: call.queue_until,
        goal_by: call.goal_by,
        wait_limit: call.max_expected_wait.map_or(WaitLimit::UntilDeadline, WaitLimit::AtMost),
        priority: call.priority,
        kind: match call.is_retry {
            true => AttemptKind::Retry,
            false => AttemptKind::First { retry_origin_percent: call.retry_origin_percent },
        },
        retry_limit: retry_part.limit(node, &call.route),
        is_idempotent: call.idempotent,
        accepts_suspect: call.accepts_suspect,
    };
    let mut state = lock(&node.guard.state);
    // A duplicate frame must not affect the attempt that is already known.
    let is_first = !state.credentials.contains_key(&id);
    if is_first {
        let credentials = Credentials { account: call.account.clone(), revisions: call.revisions };
        state.credentials.insert(id, credentials);
    }
    let State { core, credentials, .. } = &mut *state;
    let checks = GuardChecks { node, credentials };
    let mut decisions = core.submit(attempt, node.now(), &checks).into_iter();
    let decision = decisions.next().map(|d| d.decision);
    state.dispatch(decisions);
    if call.is_retry {
        count_retry(node, decision);
    }
    let active = || ActiveAttempt { node: Arc::clone(node), id };
    match decision {
        Some(Decision::Start) => Submitted::Started(active()),
        Some(Decision::Queued) => {
            node.guard.move_queue_check(&state);
            let (tx, rx) = oneshot::channel();
            state.decision_senders.insert(id, tx);
            Submitted::Queued(active(), rx)
        }
        refusal => {
            if is_first {
                state.credentials.remove(&id);
            }
            match refusal {
                Some(Decision::Refuse(code)) => Submitted::Refused(code),
                _ => Submitted::Refused(ResultCode::EndpointUnknown),
            }
        }
    }
}

/// Counts a retry by what the guard has decided about it.
fn count_retry(node: &Node, decision: Option<Decision>) {
    let end = match decision {
        Some(Decision::Start | Decision::Queued) => "accepted",
        Some(Decision::Refuse(ResultCode::RetriesExhausted)) => "exhausted",
        _ => "refused",
    };
    node.metrics.guard_retries.get_or_create(&GuardRetryLabel { end }).inc();
}

/// Rate of the client account of a call. Slots are shared in proportion to it.
fn account_rate(node: &Node, call: &Call) -> Rate {
    let Some((account, _)) = &call.account else { return OPEN_ROUTE_RATE };
    let config = read(&node.config);
    config.account(account.as_str()).map_or(OPEN_ROUTE_RATE, |account| account.value().rate)
}

/// An attempt that is queued or holds a slot. Dropping it removes the attempt from the queue or
/// releases the slot.
pub(crate) struct ActiveAttempt {
    node: Arc<Node>,
    id: AttemptId,
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut state = lock(&self.node.guard.state);
        state.decision_senders.remove(&self.id);
        let State { core, credentials, .. } = &mut *state;
        let decisions = match core.cancel(self.id, now) {
            CancelOutcome::Running => {
                let checks = GuardChecks { node: &self.node, credentials };
                core.finish(self.id, now, &checks)
            }
            CancelOutcome::Dequeued | CancelOutcome::NotActive => Vec::new(),
        };
        state.credentials.remove(&self.id);
        state.dispatch(decisions);
        self.node.guard.move_queue_check(&state);
    }
}

/// Refuses queued attempts whose queue deadline has passed, and removes endpoints whose
/// announcements have stopped.
pub(crate) async fn tick(node: Arc<Node>) {
    loop {
        wait_for_tick(&node).await;
        node.guard.apply(&node, |core, now, checks| core.tick(now, checks));
        node.guard.report_cold(&node);
        node.service_sizes.observe_all(&node);
        crate::announce::remove_expired(&node);
    }
}

/// Waits until the next queue check is due.
async fn wait_for_tick(node: &Node) {
    let begin = node.now();
    let latest = begin + MAX_TICK_INTERVAL;
    loop {
        let due = node.guard.next_queue_deadline().unwrap_or(latest);
        let due = due.max(begin + MIN_TICK_INTERVAL).min(latest);
        // Of newly queued attempts, only those at cold endpoints shorten a wait in progress. The refusal
        // of others may therefore be late, but by less than the time for which its entry node waits for it.
        let due: Instant = node.clock.to_instant(due);
        tokio::select! {
            () = sleep_until(due) => return,
            () = node.guard.queue_check_moved.notified() => {}
        }
    }
}

/// Drain states of the endpoints marked in a configuration and of those whose mark was removed.
pub(crate) fn drain_states(
    config: &Replica,
    removed: &[EndpointName],
) -> Vec<(EndpointName, DrainState)> {
    let marked = config.marks().map(|(name, mark)| {
        let drain = if mark.value().drained { DrainState::Drained } else { DrainState::InUse };
        (name.clone(), drain)
    });
    marked.chain(removed.iter().map(|name| (name.clone(), DrainState::InUse))).collect()
}
