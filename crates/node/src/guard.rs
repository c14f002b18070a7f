//! The guard role: runs attempts at the endpoints of this instance.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use admission::{
    Arrival, Attempt, Cancelled, Check, Checks, Decision, Drain, FenceAnswer, Guard, GuardLimits,
    Patience, RetryAllowance, Standing, StopState, Verdict,
};
use config::{Replica, Revisions};
use health::{Admission, CallResult, EndpointHealth};
use log::info;
use model::{
    Access, AccountName, AttemptId, Endpoint, EndpointName, KeyId, Percent, Rate, ResultCode,
    Revision, Time,
};
use payload::Payload;
use peer::CallReply;
use tokio::sync::oneshot;
use tokio::time::sleep;
use wire::{Call, EndpointLoad, FenceStatus};

use crate::call_log::CallLog;
use crate::shared::{Map, Node, lock, read};
use crate::upstream_call;

/// Longest pause between two looks at the queues.
const MAX_TICK: Duration = Duration::from_millis(500);

/// Shortest pause between two looks at the queues.
const MIN_TICK: Duration = Duration::from_millis(2);

/// Part of the spare retries of a service, in percent, that its endpoints are given. They divide them by
/// the number of endpoints that each knows, and may disagree while that changes.
const SPARE_USE_PERCENT: u32 = 75;

/// Rate by which all calls on open routes together are served, against those of the accounts.
const OPEN_RATE: Rate = Rate::per_second(100);

/// The guard core with what belongs to each attempt in it.
pub(crate) struct LocalGuard {
    state: Mutex<State>,
    /// Locked after `state`.
    health: Map<EndpointName, EndpointHealth>,
    /// Until when connections to endpoints that have sent stray answers are not used again.
    pub(crate) strays: Map<EndpointName, Time>,
    marks: Mutex<(Revision, Vec<EndpointName>)>,
}

struct State {
    core: Guard,
    waiting: HashMap<AttemptId, oneshot::Sender<Decision>>,
    credentials: HashMap<AttemptId, Credentials>,
}

/// What an attempt shows for the checks of the guard.
struct Credentials {
    account: Option<(AccountName, KeyId)>,
    revisions: Revisions,
}

impl LocalGuard {
    pub(crate) fn new() -> LocalGuard {
        let state = State {
            core: Guard::new(GuardLimits::default()),
            waiting: HashMap::new(),
            credentials: HashMap::new(),
        };
        LocalGuard {
            state: Mutex::new(state),
            health: Map::default(),
            strays: Map::default(),
            marks: Mutex::default(),
        }
    }

    /// Tells which endpoints were marked when the marks were last applied, or `None` if they have
    /// not changed since.
    pub(crate) fn marked(&self, revision: Revision) -> Option<Vec<EndpointName>> {
        let mut marks = lock(&self.marks);
        if marks.0 >= revision {
            return None;
        }
        marks.0 = revision;
        Some(std::mem::take(&mut marks.1))
    }

    /// Applies the drain marks of the operators.
    pub(crate) fn set_marks(
        &self,
        node: &Node,
        drained: &[(EndpointName, Drain)],
        current: Vec<EndpointName>,
    ) {
        lock(&self.marks).1 = current;
        for (endpoint, drain) in drained {
            self.change(node, |core, now, checks| core.set_drain(endpoint, *drain, now, checks));
        }
    }

    pub(crate) fn announce(&self, node: &Node, endpoint: &Endpoint) {
        let Endpoint { name, slots, state, .. } = endpoint;
        self.change(node, |core, now, checks| core.announce(name, *slots, *state, now, checks));
    }

    pub(crate) fn gone(&self, node: &Node, endpoint: &EndpointName) {
        lock(&self.health).remove(endpoint);
        lock(&self.strays).remove(endpoint);
        self.change(node, |core, now, checks| core.gone(endpoint, now, checks));
    }

    pub(crate) fn stop(&self) {
        lock(&self.state).core.stop();
    }

    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.state).core.stop_state() == StopState::Empty
    }

    pub(crate) fn fence(&self, attempt: AttemptId, start_by: Time, now: Time) -> FenceStatus {
        let mut state = lock(&self.state);
        let (answer, verdict) = state.core.fence(attempt, start_by, now);
        state.dispatch(verdict);
        match answer {
            FenceAnswer::NotRun => FenceStatus::NotRun,
            FenceAnswer::Running => FenceStatus::Running,
            FenceAnswer::Ran => FenceStatus::Ran,
            FenceAnswer::Unknown => FenceStatus::Unknown,
        }
    }

    /// Since when an endpoint of this node is suspect.
    pub(crate) fn suspect_since(&self, endpoint: &EndpointName) -> Option<Time> {
        lock(&self.health).get(endpoint).and_then(EndpointHealth::suspect_since)
    }

    /// Takes the end of a call into the health of its endpoint.
    pub(crate) fn record(&self, node: &Node, call: &Call, started: Time, result: CallResult) {
        let (now, endpoint) = (node.now(), &call.endpoint);
        let mut endpoints = lock(&self.health);
        let health = endpoints.entry(endpoint.clone()).or_default();
        let Some(since) = health.record(started, now, &call.route, result) else { return };
        match health.suspect_since() {
            Some(_) => {
                node.metrics.suspicions.inc();
                let id = &call.request;
                info!("endpoint {endpoint} is suspect after request {id} was {result:?}");
            }
            None => info!("endpoint {endpoint} is trusted again after {:?}", now.since(since)),
        }
    }

    /// Chance that a call which an upstream of this node makes now follows from a retry.
    pub(crate) fn retry_share(&self) -> Percent {
        lock(&self.state).core.retry_share()
    }

    pub(crate) fn load(&self, endpoint: &EndpointName) -> Option<EndpointLoad> {
        lock(&self.state).load(endpoint)
    }

    fn change(
        &self,
        node: &Node,
        event: impl FnOnce(&mut Guard, Time, &dyn Checks) -> Vec<Verdict>,
    ) {
        let mut state = lock(&self.state);
        let State { core, credentials, .. } = &mut *state;
        let checks = GuardChecks { node, credentials };
        let verdicts = event(core, node.now(), &checks);
        state.dispatch(verdicts);
    }

    fn wakeup(&self) -> Option<Time> {
        lock(&self.state).core.wakeup()
    }
}

impl State {
    fn load(&self, endpoint: &EndpointName) -> Option<EndpointLoad> {
        let report = self.core.load(endpoint)?;
        Some(EndpointLoad { endpoint: endpoint.clone(), report })
    }

    /// Tells the waiting attempts what was decided about them.
    fn dispatch(&mut self, verdicts: impl IntoIterator<Item = Verdict>) {
        for Verdict { attempt, decision } in verdicts {
            if let Some(tx) = self.waiting.remove(&attempt) {
                let _ = tx.send(decision);
            }
        }
    }
}

/// The checks that need the configuration or the health of the endpoint.
struct GuardChecks<'a> {
    node: &'a Node,
    credentials: &'a HashMap<AttemptId, Credentials>,
}

impl Checks for GuardChecks<'_> {
    fn check(&self, attempt: &Attempt) -> Check {
        let Some(shown) = self.credentials.get(&attempt.id) else {
            return Check::Refused(ResultCode::KeyMissing);
        };
        if let Some(code) = self.refusal(attempt, shown) {
            return Check::Refused(code);
        }
        let mut endpoints = lock(&self.node.guard.health);
        let health = endpoints.entry(attempt.endpoint.clone()).or_default();
        match health.admit(self.node.now(), attempt.is_idempotent, attempt.insists) {
            Admission::Admitted(_) => Check::Allowed,
            Admission::Refused => Check::Refused(ResultCode::EndpointSuspect),
        }
    }
}

impl GuardChecks<'_> {
    /// The entry has checked the request by its own configuration. Only what a newer configuration
    /// of this node takes away is refused here, so that a node that is behind refuses nothing that
    /// the entry rightly allows.
    fn refusal(&self, attempt: &Attempt, shown: &Credentials) -> Option<ResultCode> {
        let config = read(&self.node.config);
        if !config.revisions().is_ahead_of(shown.revisions) {
            return None;
        }
        let superseded = Some(ResultCode::Superseded);
        let Some(route) = config.route_named(&attempt.route) else { return superseded };
        if route.policy().access == Access::Open {
            return None;
        }
        let Some((account, key)) = &shown.account else { return superseded };
        let entry = config.key(key.as_str());
        let is_valid = entry.is_some_and(|entry| entry.account() == account.as_str());
        if is_valid { None } else { superseded }
    }
}

/// Runs one attempt, and logs what became of it.
pub(crate) async fn serve(node: &Arc<Node>, call: Call, body: Payload) -> CallReply {
    let log = CallLog::start(node, &call);
    let reply = admit_and_run(node, call, body).await;
    log.ended(&reply);
    reply
}

async fn admit_and_run(node: &Arc<Node>, call: Call, body: Payload) -> CallReply {
    let Some(addr) = endpoint_addr(node, &call.endpoint) else {
        return refused(node, &call, ResultCode::EndpointUnknown);
    };
    let refused = |code| refused(node, &call, code);
    let active = match arrive(node, &call) {
        Arrived::Refused(code) => return refused(code),
        Arrived::Started(active) => active,
        Arrived::Queued(active, rx) => match rx.await {
            Ok(Decision::Start) => active,
            Ok(Decision::Refuse(code)) => return refused(code),
            Ok(Decision::Queued) | Err(_) => return refused(ResultCode::Stopping),
        },
    };
    upstream_call::run(node, call, addr, body, active).await
}

/// Refuses a call that has not run.
pub(crate) fn refused(node: &Node, call: &Call, code: ResultCode) -> CallReply {
    let (load, revisions) = (node.guard.load(&call.endpoint), read(&node.config).revisions());
    CallReply::Refused { code, load, revisions }
}

fn endpoint_addr(node: &Node, endpoint: &EndpointName) -> Option<std::net::SocketAddr> {
    lock(&node.announcements).endpoint(endpoint).map(|endpoint| endpoint.addr)
}

enum Arrived {
    Started(Active),
    Queued(Active, oneshot::Receiver<Decision>),
    Refused(ResultCode),
}

fn arrive(node: &Arc<Node>, call: &Call) -> Arrived {
    let id = call.attempt;
    let attempt = Attempt {
        id,
        endpoint: call.endpoint.clone(),
        route: call.route.clone(),
        account: call.account.as_ref().map(|(account, _)| account.clone()),
        rate: account_rate(node, call),
        standing: if call.over_rate { Standing::OverRate } else { Standing::WithinRate },
        start_by: call.start_by,
        queue_until: call.queue_until,
        goal_by: call.goal_by,
        patience: call.patience.map_or(Patience::UntilStartBy, Patience::AtMost),
        priority: call.priority,
        arrival: match call.retry {
            true => Arrival::Retry,
            false => Arrival::First { of_retry: call.of_retry },
        },
        allowance: retry_allowance(node, call),
        is_idempotent: call.idempotent,
        insists: call.insists,
    };
    let mut state = lock(&node.guard.state);
    // A repeated frame must not disturb the attempt that it repeats.
    let is_first = !state.credentials.contains_key(&id);
    if is_first {
        let shown = Credentials { account: call.account.clone(), revisions: call.revisions };
        state.credentials.insert(id, shown);
    }
    let State { core, credentials, .. } = &mut *state;
    let checks = GuardChecks { node, credentials };
    let mut verdicts = core.arrive(attempt, node.now(), &checks).into_iter();
    let decision = verdicts.next().map(|verdict| verdict.decision);
    state.dispatch(verdicts);
    let active = || Active { node: Arc::clone(node), id };
    match decision {
        Some(Decision::Start) => Arrived::Started(active()),
        Some(Decision::Queued) => {
            let (tx, rx) = oneshot::channel();
            state.waiting.insert(id, tx);
            Arrived::Queued(active(), rx)
        }
        refusal => {
            if is_first {
                state.credentials.remove(&id);
            }
            match refusal {
                Some(Decision::Refuse(code)) => Arrived::Refused(code),
                _ => Arrived::Refused(ResultCode::EndpointUnknown),
            }
        }
    }
}

/// The part of an endpoint in the retries of its service.
fn retry_allowance(node: &Node, call: &Call) -> RetryAllowance {
    let share =
        read(&node.config).route_named(&call.route).map(|route| route.policy().retry_budget);
    let endpoint = lock(&node.announcements).endpoint(&call.endpoint).map(|e| e.service.clone());
    let endpoints = endpoint.map_or(1, |service| read(&node.directory).all(&service).len().max(1));
    let spare = node.settings.upstream.spare_retries * SPARE_USE_PERCENT * 10;
    RetryAllowance { share: share.unwrap_or_default(), spare_milli: spare / endpoints as u32 }
}

/// The rate of the account that pays for a call; slots are shared in proportion to it.
fn account_rate(node: &Node, call: &Call) -> Rate {
    let Some((account, _)) = &call.account else { return OPEN_RATE };
    let config = read(&node.config);
    config.account(account.as_str()).map_or(OPEN_RATE, |account| account.value().rate)
}

/// An attempt in the queue or in a slot. Dropping it frees its place.
pub(crate) struct Active {
    node: Arc<Node>,
    id: AttemptId,
}

impl Drop for Active {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut state = lock(&self.node.guard.state);
        state.waiting.remove(&self.id);
        let State { core, credentials, .. } = &mut *state;
        let verdicts = match core.cancel(self.id, now) {
            Cancelled::Running => {
                let checks = GuardChecks { node: &self.node, credentials };
                core.finish(self.id, now, &checks)
            }
            Cancelled::Dequeued | Cancelled::NotActive => Vec::new(),
        };
        state.credentials.remove(&self.id);
        state.dispatch(verdicts);
    }
}

/// Refuses queued attempts in time and notices endpoints whose announcements have stopped.
pub(crate) async fn tick(node: Arc<Node>) {
    loop {
        let now = node.now();
        let pause = node.guard.wakeup().map_or(MAX_TICK, |at| at.since(now));
        // An attempt that is queued during a longer pause is refused late by less than its entry
        // waits for that.
        sleep(pause.clamp(MIN_TICK, MAX_TICK)).await;
        node.guard.change(&node, |core, now, checks| core.tick(now, checks));
        crate::announce::expire(&node);
    }
}

/// The drain marks in a configuration.
pub(crate) fn drains(config: &Replica, removed: &[EndpointName]) -> Vec<(EndpointName, Drain)> {
    let marked = config.marks().map(|(name, mark)| {
        let drain = if mark.value().drained { Drain::Drained } else { Drain::InUse };
        (name.clone(), drain)
    });
    marked.chain(removed.iter().map(|name| (name.clone(), Drain::InUse))).collect()
}
